//! The ledger as a node holds it: its queue, its thread, its directory.

mod common;

use std::path::PathBuf;
use std::time::Duration;

use common::{journal_options, OWNER};
use magpietally_ledger::disk::{read_identity, DirectoryError, Lock};
use magpietally_ledger::journal::{Durability, Journal, JournalOptions};
use magpietally_ledger::sim::{DiskFault, SimDisk};
use magpietally_ledger::writer::StartError;
use magpietally_ledger::{AttemptOutcome, IntentError, Ledger, NewIntent, Options, WriterHandle};

const PATIENCE: Duration = Duration::from_secs(20);

fn draft(id: &str) -> NewIntent {
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
        Journal::open(disk.clone(), OWNER, options.journal_options).expect("names can be read");
    Ledger::run(journal, &recovered, options, None).expect("a thread")
}

#[test]
fn those_that_wait_share_a_sync_and_more_than_the_queue_holds_are_turned_away() {
    let disk = SimDisk::default();
    let roomy = JournalOptions { segment_bytes: 1 << 20, ..journal_options(Durability::PowerLoss, 10) };
    let (ledger, running) = run(&disk, options(roomy));
    disk.set_latency(Duration::from_millis(100));
    let first = ledger.record_intent(draft("first")).expect("there is room");
    // The first one is being written, and counts until it is; the queue fills up behind it.
    while ledger.status_line().contains("waiting 1") {
        std::thread::yield_now();
    }
    let before = ledger.stats().journal.syncs;
    let waiting: Vec<_> =
        (0..31).map(|n| ledger.record_intent(draft(&format!("{n}"))).expect("room")).collect();
    assert_eq!(ledger.record_intent(draft("one more")).expect_err("full"), IntentError::QueueFull);
    for pending in std::iter::once(first).chain(waiting) {
        assert_eq!(pending.confirmed.blocking_recv(), Ok(true));
    }
    assert!(running.close(PATIENCE));
    let syncs = ledger.stats().journal.syncs - before;
    assert!(syncs <= 3, "{syncs} syncs for 32 intents");
    assert_eq!(ledger.record_intent(draft("late")).expect_err("it has ended"), IntentError::Closed);
}

/// What earlier lives left counts against the bound, so that what is kept for the next life always fits.
#[test]
fn as_many_may_be_open_as_are_allowed_those_of_earlier_lives_among_them() {
    let disk = SimDisk::default();
    let tight = options(JournalOptions { open: 4, ..journal_options(Durability::ProcessCrash, 10) });
    let (ledger, running) = run(&disk, tight.clone());
    for n in 0..3 {
        let pending = ledger.record_intent(draft(&n.to_string())).expect("room");
        assert_eq!(pending.confirmed.blocking_recv(), Ok(true));
    }
    assert!(running.close(PATIENCE));
    let (ledger, running) = run(&disk, tight);
    assert_eq!(ledger.unknown_count(), 3);
    let fourth = ledger.record_intent(draft("3")).expect("room for one");
    assert_eq!(ledger.check_available(), Err(IntentError::TooManyOpen));
    let number = fourth.number;
    assert_eq!(fourth.confirmed.blocking_recv(), Ok(true));
    ledger.record_outcome(number, AttemptOutcome::Done);
    while ledger.check_available().is_err() {
        std::thread::yield_now();
    }
    assert_eq!(ledger.record_intent(draft(&"x".repeat(300))).expect_err("too long"), IntentError::IdTooLong);
    drop(running);
}

/// Outcomes that come while the disk is away are written when it is back.
#[test]
fn what_ends_while_the_disk_is_away_is_not_forgotten() {
    let disk = SimDisk::default();
    let (ledger, running) = run(&disk, options(journal_options(Durability::PowerLoss, 10)));
    let pending = ledger.record_intent(draft("1")).expect("room");
    let number = pending.number;
    assert_eq!(pending.confirmed.blocking_recv(), Ok(true));
    disk.fail(0..usize::MAX, DiskFault::ReadOnly);
    let lost = ledger.record_intent(draft("2")).expect("nobody knows yet");
    assert_eq!(lost.confirmed.blocking_recv(), Ok(false), "no promise, no send");
    ledger.record_outcome(number, AttemptOutcome::Done);
    assert_eq!(ledger.record_intent(draft("3")).expect_err("it is away"), IntentError::Down);
    disk.repair();
    while ledger.check_available().is_err() {
        std::thread::yield_now();
    }
    assert!(running.close(PATIENCE));
    let (ledger, _running) = run(&disk, options(journal_options(Durability::PowerLoss, 10)));
    assert_eq!((ledger.unknown_count(), ledger.stats().journal.lost), (0, 0));
}

#[test]
fn a_directory_is_one_nodes_and_a_lock_left_behind_holds_nobody_up() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("one-node");
    // It is not there yet, or an earlier run's.
    let _ = std::fs::remove_dir_all(&folder);
    let options =
        Options { directory: folder.clone(), ..options(journal_options(Durability::ProcessCrash, 10)) };
    let (_, running, recovered) = Ledger::start("node-0", options.clone()).expect("a new directory");
    assert_eq!(
        (recovered.segments, read_identity(&folder).expect("an identity").node),
        (0, "node-0".to_string())
    );
    let own = format!("process {}", std::process::id());
    match Ledger::start("node-0", options.clone()) {
        Err(StartError::Directory(DirectoryError::Locked(by))) => assert_eq!(by, own),
        _ => panic!("two writers in one directory"),
    }
    assert!(running.close(PATIENCE));
    // What a process that was killed leaves: the file, and nobody who holds it.
    std::fs::write(folder.join("lock"), "process 4194304\n").expect("a file");
    match Ledger::start("node-1", options.clone()) {
        Err(StartError::Directory(DirectoryError::OtherNode(node))) => assert_eq!(node, "node-0"),
        _ => panic!("another node's directory"),
    }
    let (_, running, _) = Ledger::start("node-0", options.clone()).expect("nobody holds it");
    assert!(running.close(PATIENCE));
    drop(Lock::acquire(&folder).expect("free again"));
    let mut later =
        std::fs::read(folder.join(magpietally_ledger::segment::file_name(1))).expect("the first segment");
    later[8] = 9;
    std::fs::write(folder.join(magpietally_ledger::segment::file_name(9)), later).expect("a file");
    assert!(matches!(Ledger::start("node-0", options), Err(StartError::Later(_))), "a later program's");
}
