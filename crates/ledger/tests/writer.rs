//! The ledger as a node uses it: its queue, its writer thread and its directory.

mod common;

use std::path::PathBuf;
use std::time::Duration;

use common::{journal_options, OWNER};
use magpietally_ledger::disk::{read_identity, DirectoryError, Lock};
use magpietally_ledger::journal::{Durability, Journal, JournalOptions};
use magpietally_ledger::sim::{DiskFault, SimDisk};
use magpietally_ledger::writer::StartError;
use magpietally_ledger::{AttemptOutcome, IntentError, Ledger, NewIntent, Options, WriterHandle};

const CLOSE_TIMEOUT: Duration = Duration::from_secs(20);

fn new_intent(id: &str) -> NewIntent {
    NewIntent {
        id: id.into(),
        class: "signup".into(),
        tenant: String::new(),
        key: None,
        attempt: 0,
        server: "app-1".into(),
        server_start_ms: 0,
        left: Duration::from_secs(1),
    }
}

fn options(journal_options: JournalOptions) -> Options {
    Options {
        directory: PathBuf::from("simulated"),
        journal_options,
        queue: 32,
        stall: Duration::from_secs(60),
    }
}

fn run(disk: &SimDisk, options: Options) -> (Ledger, WriterHandle) {
    let (journal, recovered) =
        Journal::open(disk.clone(), OWNER, options.journal_options).expect("file names are readable");
    Ledger::run(journal, &recovered, options, None).expect("a thread")
}

#[test]
fn waiting_intents_share_a_sync_and_a_full_queue_rejects_more() {
    let disk = SimDisk::default();
    let one_segment = JournalOptions { segment_bytes: 1 << 20, ..journal_options(Durability::PowerLoss, 10) };
    let (ledger, running) = run(&disk, options(one_segment));
    disk.set_latency(Duration::from_millis(100));
    let first = ledger.record_intent(new_intent("first")).expect("room in the queue");
    // The first intent counts as waiting until it is written; the queue fills up behind it.
    while ledger.status_line().contains("waiting 1") {
        std::thread::yield_now();
    }
    let before = ledger.stats().journal.syncs;
    let waiting: Vec<_> = (0..31)
        .map(|n| ledger.record_intent(new_intent(&format!("{n}"))).expect("room in the queue"))
        .collect();
    assert_eq!(ledger.record_intent(new_intent("one more")).expect_err("full"), IntentError::QueueFull);
    for pending in std::iter::once(first).chain(waiting) {
        assert_eq!(pending.confirmed.blocking_recv(), Ok(true));
    }
    assert!(running.close(CLOSE_TIMEOUT));
    let syncs = ledger.stats().journal.syncs - before;
    assert!(syncs <= 3, "{syncs} syncs for 32 intents");
    assert_eq!(
        ledger.record_intent(new_intent("late")).expect_err("the ledger is closed"),
        IntentError::Closed
    );
}

/// Intents of earlier incarnations count against the limit, so that the next incarnation can always take over
/// all open intents.
#[test]
fn the_limit_on_open_intents_includes_those_of_earlier_incarnations() {
    let disk = SimDisk::default();
    let small = options(JournalOptions { open: 4, ..journal_options(Durability::ProcessCrash, 10) });
    let (ledger, running) = run(&disk, small.clone());
    for n in 0..3 {
        let pending = ledger.record_intent(new_intent(&n.to_string())).expect("room in the queue");
        assert_eq!(pending.confirmed.blocking_recv(), Ok(true));
    }
    assert!(running.close(CLOSE_TIMEOUT));
    let (ledger, running) = run(&disk, small);
    assert_eq!(ledger.unknown_count(), 3);
    let fourth = ledger.record_intent(new_intent("3")).expect("room for one intent");
    assert_eq!(ledger.check_available(), Err(IntentError::TooManyOpen));
    let number = fourth.number;
    assert_eq!(fourth.confirmed.blocking_recv(), Ok(true));
    ledger.record_outcome(number, AttemptOutcome::Done);
    while ledger.check_available().is_err() {
        std::thread::yield_now();
    }
    assert_eq!(
        ledger.record_intent(new_intent(&"x".repeat(300))).expect_err("too long"),
        IntentError::IdTooLong
    );
    drop(running);
}

/// Outcomes that are recorded while the disk is down are written after it recovers.
#[test]
fn outcomes_recorded_while_the_disk_is_down_are_not_lost() {
    let disk = SimDisk::default();
    let (ledger, running) = run(&disk, options(journal_options(Durability::PowerLoss, 10)));
    let pending = ledger.record_intent(new_intent("1")).expect("room in the queue");
    let number = pending.number;
    assert_eq!(pending.confirmed.blocking_recv(), Ok(true));
    disk.fail(0..usize::MAX, DiskFault::ReadOnly);
    let lost = ledger.record_intent(new_intent("2")).expect("the failure is not known yet");
    assert_eq!(lost.confirmed.blocking_recv(), Ok(false), "the intent is not confirmed");
    ledger.record_outcome(number, AttemptOutcome::Done);
    assert_eq!(ledger.record_intent(new_intent("3")).expect_err("the disk is down"), IntentError::Down);
    disk.repair();
    while ledger.check_available().is_err() {
        std::thread::yield_now();
    }
    assert!(running.close(CLOSE_TIMEOUT));
    let (ledger, _running) = run(&disk, options(journal_options(Durability::PowerLoss, 10)));
    assert_eq!((ledger.unknown_count(), ledger.stats().journal.lost), (0, 0));
}

#[test]
fn a_directory_belongs_to_one_node_and_a_stale_lock_file_does_not_block_it() {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("one-node");
    // An earlier run may have left it.
    let _ = std::fs::remove_dir_all(&directory);
    let options =
        Options { directory: directory.clone(), ..options(journal_options(Durability::ProcessCrash, 10)) };
    let (_, running, recovered) = Ledger::start("node-0", options.clone()).expect("a new directory");
    assert_eq!(
        (recovered.segments, read_identity(&directory).expect("an identity").node),
        (0, "node-0".to_string())
    );
    let holder = format!("process {}", std::process::id());
    match Ledger::start("node-0", options.clone()) {
        Err(StartError::Directory(DirectoryError::Locked(by))) => assert_eq!(by, holder),
        _ => panic!("two writers in one directory"),
    }
    assert!(running.close(CLOSE_TIMEOUT));
    // A killed process leaves the lock file, which nobody holds locked.
    std::fs::write(directory.join("lock"), "process 4194304\n").expect("a file");
    match Ledger::start("node-1", options.clone()) {
        Err(StartError::Directory(DirectoryError::OtherNode(node))) => assert_eq!(node, "node-0"),
        _ => panic!("another node's directory"),
    }
    let (_, running, _) = Ledger::start("node-0", options.clone()).expect("the lock is free");
    assert!(running.close(CLOSE_TIMEOUT));
    drop(Lock::acquire(&directory).expect("the lock is free"));
    let mut later =
        std::fs::read(directory.join(magpietally_ledger::segment::file_name(1))).expect("the first segment");
    later[8] = 9;
    std::fs::write(directory.join(magpietally_ledger::segment::file_name(9)), later).expect("a file");
    assert!(
        matches!(Ledger::start("node-0", options), Err(StartError::Later(_))),
        "a segment of a later version"
    );
}
