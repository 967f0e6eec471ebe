//! The stores of this repository pass the suite.

use magpietally_contracts::store::media::{Directory, InMemory, SimulatedDisk};
use magpietally_contracts::store::{check, Clause, StoreMedium};
use magpietally_store::{Store, StoreError};

#[test]
fn a_store_on_a_simulated_disk_holds_every_clause() {
    let held = check::<SimulatedDisk>().expect("holds");
    assert_eq!(held.len(), 13, "{held:?}");
}

#[test]
fn a_store_in_memory_holds_every_clause() {
    let held = check::<InMemory>().expect("holds");
    assert_eq!(held.len(), 13, "{held:?}");
}

#[test]
fn a_store_in_a_directory_holds_every_clause_that_a_directory_can_play() {
    let held = check::<Directory>().expect("holds");
    // Who may write everywhere can't play a directory that can only be read.
    let played = held.iter().filter(|clause| **clause != Clause::ReadOnlyIsSaid).count();
    assert_eq!(played, 10, "{held:?}");
    assert!(!held.contains(&Clause::FullRefusesAndGoesOn) && !held.contains(&Clause::DoubtUntilOpened));
}

const CHILD: &str = "MAGPIETALLY_STORE_OF_ANOTHER";

#[test]
fn two_processes_cannot_open_one_store() {
    if let Ok(path) = std::env::var(CHILD) {
        // The other process: it says by its end what it met.
        let met = magpietally_store::Log::open_dir(path.as_ref(), "node-1");
        std::process::exit(if matches!(met, Err(StoreError::Locked(_))) { 41 } else { 42 });
    }
    let medium = Directory::new_empty();
    let (mut store, _) = medium.open().expect("opens");
    store.append(b"mine").expect("taken");
    let child = || {
        let own = std::env::current_exe().expect("the test's file");
        let mut other = std::process::Command::new(own);
        other.args(["--exact", "two_processes_cannot_open_one_store"]).env(CHILD, medium.path());
        other.status().expect("runs").code()
    };
    assert_eq!(child(), Some(41));
    drop(store);
    assert_eq!(child(), Some(42));
}
