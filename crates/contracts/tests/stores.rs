//! The stores of this repository pass the conformance suite.

use magpietally_contracts::store::media::{Directory, InMemory, SimulatedDisk};
use magpietally_contracts::store::{check, Clause, StoreMedium};
use magpietally_store::{Store, StoreError};

#[test]
fn a_store_on_a_simulated_disk_holds_every_clause() {
    let clauses = check::<SimulatedDisk>().expect("holds");
    assert_eq!(clauses.len(), 13, "{clauses:?}");
}

#[test]
fn a_store_in_memory_holds_every_clause() {
    let clauses = check::<InMemory>().expect("holds");
    assert_eq!(clauses.len(), 13, "{clauses:?}");
}

#[test]
fn a_store_in_a_directory_holds_every_clause_that_a_directory_can_play() {
    let clauses = check::<Directory>().expect("holds");
    // A user who may write everywhere can't test a read-only directory.
    let played = clauses.iter().filter(|clause| **clause != Clause::ReadOnlyIsSaid).count();
    assert_eq!(played, 10, "{clauses:?}");
    assert!(!clauses.contains(&Clause::FullRefusesAndGoesOn) && !clauses.contains(&Clause::DoubtUntilOpened));
}

const CHILD_STORE_PATH_ENV: &str = "MAGPIETALLY_STORE_OF_ANOTHER";

#[test]
fn two_processes_cannot_open_one_store() {
    if let Ok(path) = std::env::var(CHILD_STORE_PATH_ENV) {
        // The child process: its exit status reports the result of opening the store.
        let opened = magpietally_store::Log::open_dir(path.as_ref(), "node-1");
        std::process::exit(if matches!(opened, Err(StoreError::Locked(_))) { 41 } else { 42 });
    }
    let medium = Directory::new_empty();
    let (mut store, _) = medium.open().expect("opens");
    store.append(b"mine").expect("taken");
    let child = || {
        let executable = std::env::current_exe().expect("the path of the test binary");
        let mut command = std::process::Command::new(executable);
        command
            .args(["--exact", "two_processes_cannot_open_one_store"])
            .env(CHILD_STORE_PATH_ENV, medium.path());
        command.status().expect("runs").code()
    };
    assert_eq!(child(), Some(41));
    drop(store);
    assert_eq!(child(), Some(42));
}
