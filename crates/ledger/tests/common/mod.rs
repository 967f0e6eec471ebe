//! A scripted life of a ledger on a simulated disk, and what must hold after a crash at any point of it.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use magpietally_ledger::directory::{recover, ReadScope};
use magpietally_ledger::journal::{Durability, Journal, JournalOptions};
use magpietally_ledger::record::{
    AttemptOutcome, Final, FinalOutcome, Intent, KeyDigest, Outcome, Record, Timestamp,
};
use magpietally_ledger::recovery::{LocatedRecord, Recovered, RecoveryLimits};
use magpietally_ledger::segment::Owner;
use magpietally_ledger::sim::{files_after_crash, DiskFault, Loss, Op, SimDisk, PAGE_BYTES};

pub const OWNER: Owner = Owner([9; 16]);
/// Batches of the script.
pub const BATCHES: u64 = 16;

pub fn journal_options(promise: Durability, segments: usize) -> JournalOptions {
    JournalOptions {
        durability: promise,
        segment_bytes: 600,
        segment_age_us: 1_000_000,
        segments,
        age_us: 3_600_000_000,
        open: 64,
        backlog: 64,
    }
}

pub fn now(step: u64) -> Timestamp {
    // The wall's clock steps back by a minute half way.
    let back = if step > BATCHES / 2 { 60_000_000 } else { 0 };
    Timestamp { wall_us: 1_800_000_000_000_000 + step * 1000 - back, mono_us: step * 1000 }
}

pub fn intent(number: u64, step: u64) -> Record {
    Record::Intent(Intent {
        number,
        id: format!("txn-{number}"),
        class: if number.is_multiple_of(2) { "signup" } else { "fee-payment" }.into(),
        tenant: "punjab-clubs".into(),
        key: (number % 2 == 1).then(|| KeyDigest::of(&number.to_le_bytes())),
        attempt: 0,
        server: format!("app-{}", number % 3),
        server_start_ms: 0,
        left_us: 900_000,
        at: now(step),
        boot: 1,
    })
}

pub fn outcome(intent: u64, step: u64) -> Record {
    Record::Outcome(Outcome { intent, how: AttemptOutcome::Done, at: now(step) })
}

/// The batches: each brings two intents, ends one of the batch before, and leaves every fourth one open for long.
pub fn batches() -> Vec<Vec<Record>> {
    (0..BATCHES)
        .map(|step| {
            let mut batch = vec![intent(2 * step, step), intent(2 * step + 1, step)];
            if step > 0 {
                let over = 2 * (step - 1);
                batch.push(outcome(over, step));
                let (id, told, at) = (format!("txn-{over}"), FinalOutcome::Served, now(step));
                batch.push(Record::Final(Final { intent: over, id, told, at }));
                if step % 2 == 0 {
                    batch.push(outcome(over + 1, step));
                }
            }
            batch
        })
        .collect()
}

/// Plays the script; each batch that holds is marked on the disk. Which ones did not.
pub fn play(disk: &SimDisk, journal_options: JournalOptions) -> Vec<u64> {
    let (mut journal, _) = Journal::open(disk.clone(), OWNER, journal_options).expect("names can be read");
    let mut failed = Vec::new();
    for (step, batch) in (0..).zip(batches()) {
        // While the disk is away this fails, and is tried again at the next step.
        let _ = journal.ensure_segment(now(step));
        match journal.commit(&batch, now(step)) {
            Ok(()) => disk.mark(step as usize),
            Err(_) => failed.push(step),
        }
    }
    failed
}

pub fn read(files: &BTreeMap<String, Vec<u8>>, reach: ReadScope) -> (Recovered, Vec<LocatedRecord>) {
    let mut seen = Vec::new();
    let mut disk = SimDisk::with_files(files.clone());
    let recovered = recover(&mut disk, OWNER, RecoveryLimits::default(), reach, &mut |s| seen.push(s));
    (recovered.expect("names can be read"), seen)
}

/// Which batches had been promised.
fn marks(ops: &[Op]) -> BTreeSet<usize> {
    ops.iter().filter_map(|op| if let Op::Mark(n) = op { Some(*n) } else { None }).collect()
}

/// What must hold of the files after a crash behind these operations; `whole` where nothing was removed yet.
pub fn check(ops: &[Op], files: &BTreeMap<String, Vec<u8>>, whole: bool, point: &dyn Fn() -> String) {
    let all = batches();
    let confirmed = marks(ops);
    let (recovered, _) = read(files, ReadScope::Checkpoint);
    let open: BTreeMap<u64, bool> = recovered.open.iter().map(|o| (o.intent.number, o.trusted)).collect();
    for o in &recovered.open {
        let was = all.iter().flatten().any(|r| *r == Record::Intent(o.intent.clone()));
        assert!(was, "{}: an intent that was never written: {o:?}", point());
    }
    let ends = |batch: &[Record], number| {
        batch.iter().any(|r| matches!(r, Record::Outcome(o) if o.intent == number))
    };
    for step in &confirmed {
        for record in &all[*step] {
            let Record::Intent(intent) = record else { continue };
            let ended = |n: &usize| ends(&all[*n], intent.number);
            let ended_for_good = confirmed.iter().any(ended);
            let ended_at_all = (0..all.len()).any(|n| ended(&n));
            let is = open.get(&intent.number);
            if ended_for_good {
                assert_eq!(is, None, "{}: {} has its outcome", point(), intent.id);
            } else if !ended_at_all || confirmed.last().is_some_and(|last| !(0..=last + 1).any(|n| ended(&n)))
            {
                assert_eq!(is, Some(&true), "{}: {} was promised", point(), intent.id);
            }
        }
    }
    let (everything, seen) = read(files, ReadScope::All);
    assert!(everything.findings.len() < 20, "{}: {:?}", point(), everything.findings);
    let mut last = None;
    for s in &seen {
        assert!(last < Some(s.seq), "{}: out of order", point());
        last = Some(s.seq);
        let ours = matches!(
            s.record,
            Record::Carried(_) | Record::Checkpoint { .. } | Record::Doubt { .. } | Record::Closed { .. }
        );
        assert!(ours || all.iter().flatten().any(|r| *r == s.record), "{}: {s:?}", point());
    }
    if whole {
        for record in confirmed.iter().flat_map(|step| &all[*step]) {
            let there = seen.iter().any(|s| s.trusted && s.record == *record);
            assert!(there, "{}: {record:?} was promised", point());
        }
    }
}

/// A new life from these files: it must take the old one's open intents over and write behind them.
pub fn live_on(files: &BTreeMap<String, Vec<u8>>, journal_options: JournalOptions) {
    let (before, _) = read(files, ReadScope::Checkpoint);
    let disk = SimDisk::with_files(files.clone());
    let (mut journal, _) = Journal::open(disk.clone(), OWNER, journal_options).expect("names can be read");
    journal.ensure_segment(now(100)).expect("nothing is wrong with the disk");
    journal.commit(&[intent(1000, 100)], now(100)).expect("nothing is wrong with the disk");
    let (after, _) = read(&disk.files(), ReadScope::Checkpoint);
    let numbers = |r: &Recovered| r.open.iter().map(|o| o.intent.number).collect::<Vec<_>>();
    assert_eq!(numbers(&after), [numbers(&before), vec![1000]].concat());
}

/// Crashes at every operation, with every write torn at every byte, and with power for each thing that may be lost. How
/// many crashes that were.
pub fn crash_everywhere(ops: &[Op], promise: Durability, whole: bool, bytes: bool) -> u64 {
    let mut points = 0;
    for n in 0..=ops.len() {
        let done = &ops[..n];
        let mut crash = |files: &BTreeMap<String, Vec<u8>>, what: &str| {
            points += 1;
            check(done, files, whole, &|| format!("after {n} operations, {what}"));
        };
        crash(&files_after_crash(done, None, Loss::Process), "process");
        let length = match done.last() {
            Some(Op::Write(_, bytes)) => bytes.len(),
            _ => 0,
        };
        if bytes {
            for torn in 0..length {
                crash(&files_after_crash(done, Some(torn), Loss::Process), &format!("torn at {torn}"));
            }
        }
        if promise == Durability::ProcessCrash {
            continue;
        }
        crash(&files_after_crash(done, None, Loss::All), "all that was not synced");
        if !bytes {
            continue;
        }
        for kept in (0..length).chain([usize::MAX / 2]) {
            crash(&files_after_crash(done, None, Loss::Prefix(kept)), &format!("all but {kept} bytes"));
        }
        let pages = 1 + length / PAGE_BYTES;
        let first = match done.last() {
            Some(Op::Write(name, bytes)) => {
                let size = files_after_crash(done, None, Loss::Process)[name].len();
                (size - bytes.len()) / PAGE_BYTES
            }
            _ => continue,
        };
        for page in first..=first + pages {
            crash(
                &files_after_crash(done, None, Loss::Pages(&mut |_, p| p != page)),
                &format!("without page {page}"),
            );
            crash(
                &files_after_crash(done, None, Loss::Pages(&mut |_, p| p == page)),
                &format!("with page {page} alone"),
            );
        }
        for seed in 0..8u64 {
            let mut roll = (n as u64) << 8 | seed;
            let mut some = |_: &str, _: usize| {
                roll = roll.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                roll >> 63 == 1
            };
            crash(
                &files_after_crash(done, None, Loss::Pages(&mut some)),
                &format!("some pages, seed {seed}"),
            );
        }
    }
    points
}

/// The script with each call failing in each way, alone and five in a row, and a crash at every operation of it. How many
/// lives, and how many crashes.
pub fn fail_everywhere(promise: Durability, every: usize, bytes: bool) -> (u64, u64) {
    let calm = SimDisk::default();
    assert_eq!(play(&calm, journal_options(promise, 100)), [0u64; 0], "a calm disk fails no batch");
    let (mut lives, mut points) = (0, 0);
    for call in (0..calm.calls()).step_by(every) {
        for trouble in [DiskFault::NoSpace, DiskFault::Io, DiskFault::ShortWrite, DiskFault::ReadOnly] {
            for long in [1, 5] {
                let disk = SimDisk::default();
                disk.fail(call..call + long, trouble);
                let failed = play(&disk, journal_options(promise, 100));
                assert!(trouble != DiskFault::ShortWrite || failed.is_empty(), "a short write is no failure");
                let late = disk.calls() > call + long + 4;
                assert!(!late || !failed.contains(&(BATCHES - 1)), "call {call}, {trouble:?}: not healed");
                let ops = disk.ops();
                never_trusts_a_failed_sync(&ops);
                lives += 1;
                points += crash_everywhere(&ops, promise, true, bytes);
            }
        }
    }
    (lives, points)
}

/// A file whose sync has failed is neither written nor synced again.
fn never_trusts_a_failed_sync(ops: &[Op]) {
    let mut failed = BTreeSet::new();
    for op in ops {
        match op {
            Op::SyncFailed(name) => {
                failed.insert(name.as_str());
            }
            Op::Sync(name) | Op::Write(name, _) => assert!(!failed.contains(name.as_str()), "{name}"),
            Op::Create(name) => {
                failed.remove(name.as_str());
            }
            _ => {}
        }
    }
}
