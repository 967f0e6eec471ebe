//! Appended records and snapshots that outlive a crash: what the log of fleet decisions and the quotas' counts stand on.
//!
//! A [`Store`] holds records in the order they were appended and at most one snapshot, which covers a beginning of them.
//! What was synced is there after any crash; what was not may be there, in part, never altered: a torn tail is found at
//! the next opening and cut. What every store must hold is written down in `crates/contracts`.
//!
//! [`Log`] keeps it on a [`disk::Disk`], which is a directory or, in tests, the simulated [`sim::SimDisk`]; [`Memory`] keeps
//! it for as long as the process lives. The ledger stands on the same disk.
//!
//! Central types: [`Store`], [`Log`], [`Seq`], [`Recovered`], [`StoreError`].

pub mod disk;
mod frame;
mod log;
mod memory;
mod recover;
pub mod sim;
mod store;

pub use log::{Log, SEGMENT_BYTES};
pub use memory::{Memory, MemoryMedium};
pub use store::{Recovered, Seq, Store, StoreError, TornTail, RECORD_MAX_BYTES};
