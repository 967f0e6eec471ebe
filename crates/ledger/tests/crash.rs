//! Crashes at every point of a scripted life, on a disk that loses what it may lose.

mod common;

use common::*;
use magpietally_ledger::directory::{FollowEvent, Follower, ReadScope};
use magpietally_ledger::journal::{Durability, Journal, JournalOptions};
use magpietally_ledger::record::{Intent, Record, ID_MAX_BYTES, NAME_MAX_BYTES};
use magpietally_ledger::recovery::Finding;
use magpietally_ledger::segment::{file_name, SegmentNo};
use magpietally_ledger::sim::{files_after_crash, Loss, Op, SimDisk};

type Files = std::collections::BTreeMap<String, Vec<u8>>;

/// Between intent and send, between an answer and its outcome, within a rotation: wherever a process dies, what was
/// promised is there.
#[test]
fn a_process_may_die_at_every_byte() {
    let mut points = 0;
    for segments in [100, 3] {
        let disk = SimDisk::default();
        play(&disk, journal_options(Durability::ProcessCrash, segments));
        points += crash_everywhere(&disk.ops(), Durability::ProcessCrash, segments == 100, true);
    }
    println!("{points} crash points");
    assert!(points > 10_000, "{points}");
}

#[test]
fn power_may_go_at_every_byte_with_pages_lost_or_out_of_order() {
    let mut points = 0;
    for segments in [100, 3] {
        let disk = SimDisk::default();
        play(&disk, journal_options(Durability::PowerLoss, segments));
        points += crash_everywhere(&disk.ops(), Durability::PowerLoss, segments == 100, true);
    }
    println!("{points} crash points");
    assert!(points > 20_000, "{points}");
}

/// A part of the calls here; `docs/measurements/ledger.sh` has them all.
#[test]
fn each_call_may_fail_and_a_crash_follow_at_any_operation() {
    for promise in [Durability::ProcessCrash, Durability::PowerLoss] {
        let (lives, points) = fail_everywhere(promise, 7, false);
        assert!(lives > 40 && points > 2_000, "{lives} lives, {points} points");
    }
}

#[test]
fn a_new_life_takes_over_what_any_crash_left() {
    for promise in [Durability::ProcessCrash, Durability::PowerLoss] {
        let disk = SimDisk::default();
        play(&disk, journal_options(promise, 3));
        let ops = disk.ops();
        for n in 0..=ops.len() {
            live_on(&files_after_crash(&ops[..n], None, Loss::Process), journal_options(promise, 3));
            live_on(&files_after_crash(&ops[..n], None, Loss::All), journal_options(promise, 3));
        }
    }
}

/// An intent that retention would remove is told again at the head of each later segment.
#[test]
fn retention_removes_segments_and_no_open_intent() {
    let disk = SimDisk::default();
    play(&disk, journal_options(Durability::ProcessCrash, 2));
    let files = disk.files();
    let segments = files.keys().filter(|n| n.ends_with(".seg")).count();
    assert!(segments <= 2 && !files.contains_key(&file_name(1)), "{:?}", files.keys());
    let (recovered, seen) = read(&files, ReadScope::All);
    // Intents 1, 5, 9 ... never have an outcome.
    let open: Vec<u64> = recovered.open.iter().map(|o| o.intent.number).collect();
    assert!(open.starts_with(&[1, 5, 9]) && recovered.findings.is_empty(), "{open:?}");
    assert!(!seen.iter().any(|s| s.record == intent(1, 0)), "the first segment is gone");
}

#[test]
fn a_record_as_long_as_the_segment_has_one_to_itself() {
    let disk = SimDisk::default();
    let tight = JournalOptions { segment_bytes: 1, ..journal_options(Durability::ProcessCrash, 100) };
    let (mut journal, _) = Journal::open(disk.clone(), OWNER, tight).expect("names can be read");
    journal.ensure_segment(now(0)).expect("a good disk");
    let mut long = Vec::new();
    for n in 0..4 {
        let Record::Intent(own) = intent(n, 0) else { unreachable!("it is one") };
        let (class, server) = ("c".repeat(NAME_MAX_BYTES), "s".repeat(NAME_MAX_BYTES));
        long.push(Record::Intent(Intent { id: "i".repeat(ID_MAX_BYTES), class, server, ..own }));
        journal.commit(&long[n as usize..], now(n)).expect("a good disk");
    }
    let (recovered, seen) = read(&disk.files(), ReadScope::All);
    assert_eq!((recovered.open.len(), recovered.segments, recovered.findings.len()), (4, 4, 0));
    assert!(long.iter().all(|r| seen.iter().any(|s| s.record == *r)));
}

#[test]
fn a_segment_that_is_missing_doubled_foreign_later_or_bent_is_named() {
    let disk = SimDisk::default();
    play(&disk, journal_options(Durability::ProcessCrash, 100));
    let good = disk.files();
    let two = || SegmentNo(2);
    let find = |change: &dyn Fn(&mut Files)| {
        let mut files = good.clone();
        change(&mut files);
        let (recovered, _) = read(&files, ReadScope::All);
        assert_eq!(recovered.open.len(), read(&good, ReadScope::All).0.open.len(), "later ones set it right");
        live_on(&files, journal_options(Durability::ProcessCrash, 100));
        recovered.findings
    };
    let resum = |bytes: &mut Vec<u8>| {
        let sum = crc32_of(&bytes[..64]);
        bytes[64..68].copy_from_slice(&sum.to_le_bytes());
    };
    let missing = find(&|files| drop(files.remove(&file_name(2))));
    assert!(missing.contains(&Finding::Missing { segment: two() }), "{missing:?}");
    let doubled =
        find(&|files| drop(files.insert(format!("{} (1)", file_name(2)), files[&file_name(2)].clone())));
    assert_eq!(doubled, [Finding::Doubled { file: format!("{} (1)", file_name(2)) }]);
    let misnamed = find(&|files| drop(files.insert(file_name(2), files[&file_name(1)].clone())));
    assert!(misnamed.contains(&Finding::Misnamed { segment: two(), says: SegmentNo(1) }), "{misnamed:?}");
    let foreign = find(&|files| {
        let bytes = files.get_mut(&file_name(2)).expect("it is there");
        bytes[16] ^= 1;
        resum(bytes);
    });
    assert!(matches!(&foreign[0], Finding::Foreign { segment, .. } if *segment == two()), "{foreign:?}");
    let later = find(&|files| files.get_mut(&file_name(2)).expect("it is there")[8] = 7);
    assert!(later.contains(&Finding::Later { segment: two(), version: 7 }), "{later:?}");
    let bent = find(&|files| files.get_mut(&file_name(2)).expect("it is there")[70] ^= 1);
    assert!(matches!(bent[0], Finding::Damaged { segment, from: 68, .. } if segment == two()), "{bent:?}");
}

/// CRC-32 as the format page says it, by its definition.
fn crc32_of(bytes: &[u8]) -> u32 {
    !bytes.iter().fold(!0u32, |sum, byte| {
        (0..8).fold(sum ^ u32::from(*byte), |s, _| if s & 1 == 1 { (s >> 1) ^ 0xEDB8_8320 } else { s >> 1 })
    })
}

/// Damage in the last segment is kept aside, and what was read behind it stays untrusted in the next life.
#[test]
fn what_follows_damage_is_not_trusted_now_nor_in_the_next_life() {
    let disk = SimDisk::default();
    let roomy = JournalOptions { segment_bytes: 1 << 20, ..journal_options(Durability::ProcessCrash, 100) };
    play(&disk, roomy);
    let mut files = disk.files();
    let bytes = files.get_mut(&file_name(1)).expect("it is there");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x55;
    let (recovered, seen) = read(&files, ReadScope::All);
    let first_bad = seen.iter().position(|s| !s.trusted).expect("some are not trusted");
    assert!(seen[first_bad..].iter().all(|s| !s.trusted) && recovered.is_damaged());
    // Behind the damage no outcome closes anything: what it seems to end stays in question.
    let doubtful = recovered.open.iter().filter(|o| !o.trusted).count();
    assert!(doubtful > 10, "{doubtful}");
    live_on(&files, roomy);
    let next = SimDisk::with_files(files);
    let (mut journal, _) = Journal::open(next.clone(), OWNER, roomy).expect("names can be read");
    journal.ensure_segment(now(200)).expect("a good disk");
    drop(journal);
    let kept = next.files().into_iter().find(|(name, _)| name.ends_with(".kept"));
    assert!(kept.is_some_and(|(_, bytes)| !bytes.is_empty()));
    let (again, _) = read(&next.files(), ReadScope::Checkpoint);
    assert_eq!(again.open.iter().filter(|o| !o.trusted).count(), doubtful);
}

/// A reader that keeps up misses nothing over rotations; one that does not is told what it missed.
#[test]
fn a_reader_follows_while_the_writer_rotates() {
    let disk = SimDisk::default();
    let (mut journal, _) = Journal::open(disk.clone(), OWNER, journal_options(Durability::ProcessCrash, 2))
        .expect("names can be read");
    let (mut quick, mut slow) = (Follower::new(OWNER), Follower::new(OWNER));
    let (mut seen, mut reader) = (Vec::new(), disk.clone());
    journal.ensure_segment(now(0)).expect("a good disk");
    slow.poll(&mut reader, &mut |_| {}).expect("names can be read");
    for (step, batch) in (0..).zip(batches()) {
        journal.commit(&batch, now(step)).expect("a good disk");
        quick.poll(&mut reader, &mut |news| seen.push(news)).expect("names can be read");
    }
    assert!(seen.iter().all(|n| matches!(n, FollowEvent::Record(_))), "nothing torn, nothing missed");
    for record in batches().iter().flatten() {
        assert!(
            seen.iter().any(|n| matches!(n, FollowEvent::Record(s) if s.record == *record)),
            "{record:?}"
        );
    }
    let mut late = Vec::new();
    slow.poll(&mut reader, &mut |news| late.push(news)).expect("names can be read");
    assert!(late.iter().any(|n| matches!(n, FollowEvent::Missed { from: 1, .. })), "{late:?}");
}

/// A sync that fails closes its segment; what it held is doubted by name, and never synced again.
#[test]
fn a_failed_sync_is_not_tried_again() {
    let calm = SimDisk::default();
    play(&calm, journal_options(Durability::PowerLoss, 100));
    // The calls by number: makes, writes, syncs of files and of names.
    let calls: Vec<Op> = calm.ops().into_iter().filter(|op| !matches!(op, Op::Mark(_))).collect();
    let sync = calls.iter().enumerate().filter(|(_, op)| matches!(op, Op::Sync(_))).nth(3).expect("four").0;
    let disk = SimDisk::default();
    disk.fail(sync..sync + 1, magpietally_ledger::sim::DiskFault::Io);
    let failed = play(&disk, journal_options(Durability::PowerLoss, 100));
    assert_eq!(failed.len(), 1);
    let (recovered, _) = read(&disk.files(), ReadScope::All);
    assert!(matches!(recovered.findings[..], [Finding::Doubted { .. }]), "{:?}", recovered.findings);
    assert!(!recovered.is_damaged());
}
