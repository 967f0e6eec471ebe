//! Appended records and snapshots that survive a crash. The log of fleet decisions and the quota counters are
//! stored here.
//!
//! A [`Store`] holds records in the order they were appended and at most one snapshot, which replaces the
//! first of them. Synced records are present after any crash. Unsynced ones may be present, all or some, but
//! never altered: a torn tail is detected and cut when the store is next opened. `crates/contracts` specifies
//! and checks what every store guarantees.
//!
//! [`Log`] stores on a [`disk::Disk`], which is a directory or, in tests, the simulated [`sim::SimDisk`];
//! [`Memory`] stores for the lifetime of the process. The ledger uses the same disk interface.
//!
//! Central types: [`Store`], [`Log`], [`Seq`], [`Recovered`], [`StoreError`].

pub mod disk;
mod format;
mod log;
mod memory;
mod recover;
pub mod sim;
mod store;

pub use log::{Log, SEGMENT_BYTES};
pub use memory::{Memory, MemoryMedium};
pub use store::{Recovered, Seq, Store, StoreError, TornTail, RECORD_MAX_BYTES};
