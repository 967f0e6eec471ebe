//! Appended records and snapshots that outlive a crash: what the log of fleet decisions and the quotas' counts stand on.
//!
//! A [`Store`] holds records in the order they were appended and at most one snapshot, which covers a beginning of them.
//! What was synced is there after any crash; what was not may be there, in part, never altered: a torn tail is found at
//! the next opening and cut. What every store must hold is written down in `crates/contracts`.
//!
//! Central types: [`Store`], [`Seq`], [`Recovered`], [`StoreError`].

mod store;

pub use store::{Cut, Recovered, Seq, Store, StoreError, RECORD_MAX};
