//! Crashes at every point of a scripted workload, on a simulated disk that loses unsynced data.

mod common;

use common::*;
use magpietally_ledger::directory::{FollowEvent, Follower, ReadScope};
use magpietally_ledger::journal::{Durability, Journal, JournalOptions};
use magpietally_ledger::record::{Intent, Record, ID_MAX_BYTES, NAME_MAX_BYTES};
use magpietally_ledger::recovery::Finding;
use magpietally_ledger::segment::{file_name, SegmentNo};
use magpietally_ledger::sim::{files_after_crash, Loss, Op, SimDisk};

type Files = std::collections::BTreeMap<String, Vec<u8>>;

/// Whenever a process dies, every confirmed record is on disk: between intent and send, between a response and
/// its outcome, or during a rotation.
#[test]
fn a_process_crash_at_any_byte_loses_nothing_confirmed() {
    let mut points = 0;
    for segments in [100, 3] {
        let disk = SimDisk::default();
        run_workload(&disk, journal_options(Durability::ProcessCrash, segments));
        points += crash_everywhere(&disk.ops(), Durability::ProcessCrash, segments == 100, true);
    }
    println!("{points} crash points");
    assert!(points > 10_000, "{points}");
}

#[test]
fn a_power_loss_at_any_byte_with_pages_lost_or_out_of_order_loses_nothing_confirmed() {
    let mut points = 0;
    for segments in [100, 3] {
        let disk = SimDisk::default();
        run_workload(&disk, journal_options(Durability::PowerLoss, segments));
        points += crash_everywhere(&disk.ops(), Durability::PowerLoss, segments == 100, true);
    }
    println!("{points} crash points");
    assert!(points > 20_000, "{points}");
}

/// Only some of the calls fail here; `docs/measurements/ledger.sh` runs all of them.
#[test]
fn a_failed_call_followed_by_a_crash_loses_nothing_confirmed() {
    for promise in [Durability::ProcessCrash, Durability::PowerLoss] {
        let (runs, points) = fail_everywhere(promise, 7, false);
        assert!(runs > 40 && points > 2_000, "{runs} runs, {points} points");
    }
}

#[test]
fn a_new_incarnation_takes_over_after_any_crash() {
    for promise in [Durability::ProcessCrash, Durability::PowerLoss] {
        let disk = SimDisk::default();
        run_workload(&disk, journal_options(promise, 3));
        let ops = disk.ops();
        for n in 0..=ops.len() {
            restart(&files_after_crash(&ops[..n], None, Loss::Process), journal_options(promise, 3));
            restart(&files_after_crash(&ops[..n], None, Loss::All), journal_options(promise, 3));
        }
    }
}

/// Open intents of removed segments are repeated in the checkpoint of each later segment.
#[test]
fn retention_removes_segments_but_no_open_intent() {
    let disk = SimDisk::default();
    run_workload(&disk, journal_options(Durability::ProcessCrash, 2));
    let files = disk.files();
    let segments = files.keys().filter(|n| n.ends_with(".seg")).count();
    assert!(segments <= 2 && !files.contains_key(&file_name(1)), "{:?}", files.keys());
    let (recovered, seen) = read(&files, ReadScope::All);
    // Intents 1, 5, 9, ... never have an outcome.
    let open: Vec<u64> = recovered.open.iter().map(|o| o.intent.number).collect();
    assert!(open.starts_with(&[1, 5, 9]) && recovered.findings.is_empty(), "{open:?}");
    assert!(!seen.iter().any(|s| s.record == intent(1, 0)), "the first segment is gone");
}

#[test]
fn a_record_as_long_as_a_segment_gets_its_own() {
    let disk = SimDisk::default();
    let tiny_segments = JournalOptions { segment_bytes: 1, ..journal_options(Durability::ProcessCrash, 100) };
    let (mut journal, _) =
        Journal::open(disk.clone(), OWNER, tiny_segments).expect("file names are readable");
    journal.ensure_segment(now(0)).expect("the disk works");
    let mut long = Vec::new();
    for n in 0..4 {
        let Record::Intent(own) = intent(n, 0) else { unreachable!("it is an intent") };
        let (class, server) = ("c".repeat(NAME_MAX_BYTES), "s".repeat(NAME_MAX_BYTES));
        long.push(Record::Intent(Intent { id: "i".repeat(ID_MAX_BYTES), class, server, ..own }));
        journal.commit(&long[n as usize..], now(n)).expect("the disk works");
    }
    let (recovered, seen) = read(&disk.files(), ReadScope::All);
    assert_eq!((recovered.open.len(), recovered.segments, recovered.findings.len()), (4, 4, 0));
    assert!(long.iter().all(|r| seen.iter().any(|s| s.record == *r)));
}

#[test]
fn a_missing_copied_misnamed_foreign_later_or_damaged_segment_is_reported() {
    let disk = SimDisk::default();
    run_workload(&disk, journal_options(Durability::ProcessCrash, 100));
    let good = disk.files();
    let second = || SegmentNo(2);
    let find = |change: &dyn Fn(&mut Files)| {
        let mut files = good.clone();
        change(&mut files);
        let (recovered, _) = read(&files, ReadScope::All);
        assert_eq!(
            recovered.open.len(),
            read(&good, ReadScope::All).0.open.len(),
            "later segments repeat the open intents"
        );
        restart(&files, journal_options(Durability::ProcessCrash, 100));
        recovered.findings
    };
    let update_checksum = |bytes: &mut Vec<u8>| {
        let checksum = crc32_of(&bytes[..64]);
        bytes[64..68].copy_from_slice(&checksum.to_le_bytes());
    };
    let missing = find(&|files| drop(files.remove(&file_name(2))));
    assert!(missing.contains(&Finding::Missing { segment: second() }), "{missing:?}");
    let copied =
        find(&|files| drop(files.insert(format!("{} (1)", file_name(2)), files[&file_name(2)].clone())));
    assert_eq!(copied, [Finding::Doubled { file: format!("{} (1)", file_name(2)) }]);
    let misnamed = find(&|files| drop(files.insert(file_name(2), files[&file_name(1)].clone())));
    assert!(misnamed.contains(&Finding::Misnamed { segment: second(), says: SegmentNo(1) }), "{misnamed:?}");
    let foreign = find(&|files| {
        let bytes = files.get_mut(&file_name(2)).expect("the segment exists");
        bytes[16] ^= 1;
        update_checksum(bytes);
    });
    assert!(matches!(&foreign[0], Finding::Foreign { segment, .. } if *segment == second()), "{foreign:?}");
    let later = find(&|files| files.get_mut(&file_name(2)).expect("the segment exists")[8] = 7);
    assert!(later.contains(&Finding::Later { segment: second(), version: 7 }), "{later:?}");
    let damaged = find(&|files| files.get_mut(&file_name(2)).expect("the segment exists")[70] ^= 1);
    assert!(
        matches!(damaged[0], Finding::Damaged { segment, from: 68, .. } if segment == second()),
        "{damaged:?}"
    );
}

/// CRC-32 by its definition, as stated in the format description.
fn crc32_of(bytes: &[u8]) -> u32 {
    !bytes.iter().fold(!0u32, |sum, byte| {
        (0..8).fold(sum ^ u32::from(*byte), |s, _| if s & 1 == 1 { (s >> 1) ^ 0xEDB8_8320 } else { s >> 1 })
    })
}

/// Damaged bytes of the last segment are saved, and the records after them stay untrusted in the next
/// incarnation.
#[test]
fn records_after_damage_stay_untrusted_in_the_next_incarnation() {
    let disk = SimDisk::default();
    let one_segment =
        JournalOptions { segment_bytes: 1 << 20, ..journal_options(Durability::ProcessCrash, 100) };
    run_workload(&disk, one_segment);
    let mut files = disk.files();
    let bytes = files.get_mut(&file_name(1)).expect("the segment exists");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x55;
    let (recovered, seen) = read(&files, ReadScope::All);
    let first_bad = seen.iter().position(|s| !s.trusted).expect("some are not trusted");
    assert!(seen[first_bad..].iter().all(|s| !s.trusted) && recovered.is_damaged());
    // After the damage no outcome closes an intent: the intents that it names stay open and untrusted.
    let untrusted = recovered.open.iter().filter(|o| !o.trusted).count();
    assert!(untrusted > 10, "{untrusted}");
    restart(&files, one_segment);
    let next = SimDisk::with_files(files);
    let (mut journal, _) = Journal::open(next.clone(), OWNER, one_segment).expect("file names are readable");
    journal.ensure_segment(now(200)).expect("the disk works");
    drop(journal);
    let saved = next.files().into_iter().find(|(name, _)| name.ends_with(".kept"));
    assert!(saved.is_some_and(|(_, bytes)| !bytes.is_empty()));
    let (again, _) = read(&next.files(), ReadScope::Checkpoint);
    assert_eq!(again.open.iter().filter(|o| !o.trusted).count(), untrusted);
}

/// A follower that keeps up misses nothing during rotations; a slow one is told what it missed.
#[test]
fn a_follower_reads_while_the_writer_rotates() {
    let disk = SimDisk::default();
    let (mut journal, _) = Journal::open(disk.clone(), OWNER, journal_options(Durability::ProcessCrash, 2))
        .expect("file names are readable");
    let (mut fast, mut slow) = (Follower::new(OWNER), Follower::new(OWNER));
    let (mut seen, mut reader) = (Vec::new(), disk.clone());
    journal.ensure_segment(now(0)).expect("the disk works");
    slow.poll(&mut reader, &mut |_| {}).expect("file names are readable");
    for (step, batch) in (0..).zip(batches()) {
        journal.commit(&batch, now(step)).expect("the disk works");
        fast.poll(&mut reader, &mut |event| seen.push(event)).expect("file names are readable");
    }
    assert!(seen.iter().all(|n| matches!(n, FollowEvent::Record(_))), "no finding and nothing missed");
    for record in batches().iter().flatten() {
        assert!(
            seen.iter().any(|n| matches!(n, FollowEvent::Record(s) if s.record == *record)),
            "{record:?}"
        );
    }
    let mut late = Vec::new();
    slow.poll(&mut reader, &mut |event| late.push(event)).expect("file names are readable");
    assert!(late.iter().any(|n| matches!(n, FollowEvent::Missed { from: 1, .. })), "{late:?}");
}

/// After a failed sync the segment is closed and never synced again, and its unconfirmed records are reported.
#[test]
fn a_failed_sync_is_not_retried() {
    let healthy = SimDisk::default();
    run_workload(&healthy, journal_options(Durability::PowerLoss, 100));
    // The calls by number: creations, writes, and syncs of files and directories.
    let calls: Vec<Op> = healthy.ops().into_iter().filter(|op| !matches!(op, Op::Mark(_))).collect();
    let sync =
        calls.iter().enumerate().filter(|(_, op)| matches!(op, Op::Sync(_))).nth(3).expect("four syncs").0;
    let disk = SimDisk::default();
    disk.fail(sync..sync + 1, magpietally_ledger::sim::DiskFault::Io);
    let failed = run_workload(&disk, journal_options(Durability::PowerLoss, 100));
    assert_eq!(failed.len(), 1);
    let (recovered, _) = read(&disk.files(), ReadScope::All);
    assert!(matches!(recovered.findings[..], [Finding::Doubted { .. }]), "{:?}", recovered.findings);
    assert!(!recovered.is_damaged());
}
