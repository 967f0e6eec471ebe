//! A scripted workload of a ledger on a simulated disk, and the checks that must hold after a crash at any
//! point of it.
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
/// The number of batches of the workload.
pub const BATCHES: u64 = 16;

pub fn journal_options(durability: Durability, segments: usize) -> JournalOptions {
    JournalOptions {
        durability,
        segment_bytes: 600,
        segment_age_us: 1_000_000,
        segments,
        age_us: 3_600_000_000,
        open: 64,
        backlog: 64,
    }
}

pub fn now(step: u64) -> Timestamp {
    // The wall clock steps back by a minute half way.
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

/// The batches. Each records two intents and ends one of the previous batch; every fourth intent stays open.
pub fn batches() -> Vec<Vec<Record>> {
    (0..BATCHES)
        .map(|step| {
            let mut batch = vec![intent(2 * step, step), intent(2 * step + 1, step)];
            if step > 0 {
                let ended = 2 * (step - 1);
                batch.push(outcome(ended, step));
                let (id, told, at) = (format!("txn-{ended}"), FinalOutcome::Served, now(step));
                batch.push(Record::Final(Final { intent: ended, id, told, at }));
                if step % 2 == 0 {
                    batch.push(outcome(ended + 1, step));
                }
            }
            batch
        })
        .collect()
}

/// Runs the workload and marks each confirmed batch on the disk. Returns the batches that failed.
pub fn run_workload(disk: &SimDisk, journal_options: JournalOptions) -> Vec<u64> {
    let (mut journal, _) =
        Journal::open(disk.clone(), OWNER, journal_options).expect("file names are readable");
    let mut failed = Vec::new();
    for (step, batch) in (0..).zip(batches()) {
        // This fails while the disk is down, and is retried with the next batch.
        let _ = journal.ensure_segment(now(step));
        match journal.commit(&batch, now(step)) {
            Ok(()) => disk.mark(step as usize),
            Err(_) => failed.push(step),
        }
    }
    failed
}

pub fn read(files: &BTreeMap<String, Vec<u8>>, scope: ReadScope) -> (Recovered, Vec<LocatedRecord>) {
    let mut seen = Vec::new();
    let mut disk = SimDisk::with_files(files.clone());
    let recovered = recover(&mut disk, OWNER, RecoveryLimits::default(), scope, &mut |s| seen.push(s));
    (recovered.expect("file names are readable"), seen)
}

/// The batches that were confirmed.
fn confirmed_batches(ops: &[Op]) -> BTreeSet<usize> {
    ops.iter().filter_map(|op| if let Op::Mark(n) = op { Some(*n) } else { None }).collect()
}

/// Checks the files after a crash that follows these operations; `whole` if no segment was removed yet.
pub fn check(ops: &[Op], files: &BTreeMap<String, Vec<u8>>, whole: bool, point: &dyn Fn() -> String) {
    let all = batches();
    let confirmed = confirmed_batches(ops);
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
                assert_eq!(is, Some(&true), "{}: {} was confirmed", point(), intent.id);
            }
        }
    }
    let (all_records, seen) = read(files, ReadScope::All);
    assert!(all_records.findings.len() < 20, "{}: {:?}", point(), all_records.findings);
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
            assert!(there, "{}: {record:?} was confirmed", point());
        }
    }
}

/// Starts a new incarnation on these files: it must take over the open intents and write after them.
pub fn restart(files: &BTreeMap<String, Vec<u8>>, journal_options: JournalOptions) {
    let (before, _) = read(files, ReadScope::Checkpoint);
    let disk = SimDisk::with_files(files.clone());
    let (mut journal, _) =
        Journal::open(disk.clone(), OWNER, journal_options).expect("file names are readable");
    journal.ensure_segment(now(100)).expect("the disk works");
    journal.commit(&[intent(1000, 100)], now(100)).expect("the disk works");
    let (after, _) = read(&disk.files(), ReadScope::Checkpoint);
    let numbers = |r: &Recovered| r.open.iter().map(|o| o.intent.number).collect::<Vec<_>>();
    assert_eq!(numbers(&after), [numbers(&before), vec![1000]].concat());
}

/// Crashes after every operation and with every write torn at every byte. For power loss also with none, a
/// prefix, one page, all pages but one, or random pages of the unsynced data on disk. Returns the number of
/// crashes.
pub fn crash_everywhere(ops: &[Op], durability: Durability, whole: bool, bytes: bool) -> u64 {
    let mut points = 0;
    for n in 0..=ops.len() {
        let done = &ops[..n];
        let mut crash = |files: &BTreeMap<String, Vec<u8>>, what: &str| {
            points += 1;
            check(done, files, whole, &|| format!("after {n} operations, {what}"));
        };
        crash(&files_after_crash(done, None, Loss::Process), "process crash");
        let length = match done.last() {
            Some(Op::Write(_, bytes)) => bytes.len(),
            _ => 0,
        };
        if bytes {
            for torn in 0..length {
                crash(&files_after_crash(done, Some(torn), Loss::Process), &format!("torn at {torn}"));
            }
        }
        if durability == Durability::ProcessCrash {
            continue;
        }
        crash(&files_after_crash(done, None, Loss::All), "all unsynced data lost");
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
            let mut random = (n as u64) << 8 | seed;
            let mut some = |_: &str, _: usize| {
                random =
                    random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                random >> 63 == 1
            };
            crash(
                &files_after_crash(done, None, Loss::Pages(&mut some)),
                &format!("some pages, seed {seed}"),
            );
        }
    }
    points
}

/// Runs the workload with each call failing in each way, once and five times in a row, and crashes at every
/// operation. Returns the number of runs and the number of crashes.
pub fn fail_everywhere(durability: Durability, every: usize, bytes: bool) -> (u64, u64) {
    let healthy = SimDisk::default();
    assert_eq!(
        run_workload(&healthy, journal_options(durability, 100)),
        [0u64; 0],
        "a healthy disk fails no batch"
    );
    let (mut runs, mut points) = (0, 0);
    for call in (0..healthy.calls()).step_by(every) {
        for fault in [DiskFault::NoSpace, DiskFault::Io, DiskFault::ShortWrite, DiskFault::ReadOnly] {
            for long in [1, 5] {
                let disk = SimDisk::default();
                disk.fail(call..call + long, fault);
                let failed = run_workload(&disk, journal_options(durability, 100));
                assert!(fault != DiskFault::ShortWrite || failed.is_empty(), "a short write is no failure");
                let late = disk.calls() > call + long + 4;
                assert!(!late || !failed.contains(&(BATCHES - 1)), "call {call}, {fault:?}: did not recover");
                let ops = disk.ops();
                check_no_use_after_failed_sync(&ops);
                runs += 1;
                points += crash_everywhere(&ops, durability, true, bytes);
            }
        }
    }
    (runs, points)
}

/// Checks that a file is neither written nor synced again after a failed sync.
fn check_no_use_after_failed_sync(ops: &[Op]) {
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
