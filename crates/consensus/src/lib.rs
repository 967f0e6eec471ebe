//! The log of fleet decisions: what the nodes agree on, one entry after the other (policy versions, quota leases, address
//! ownership).
//!
//! Every node learns the same decided entries in the same order, late or soon. What may be **assumed** of the log, and no
//! more: a proposal is decided at most once, or never, and its proposer learns of it only by seeing it decided; entries
//! are never undone; a node that was down, stopped or cut off learns all it missed, in order, perhaps as a snapshot.
//! [`model::Model`] is a log in virtual time that holds just that and takes every liberty beyond it; rooms that stand on
//! the log are tested on it.
//!
//! Central types: [`Decided`], [`Proposal`], [`Machine`] (a room that stands on the log), [`Leases`] and [`Held`].

mod entry;
mod lease;
mod machine;
pub mod model;

pub use entry::{Decided, Index, Proposal, Stamp, Topic, BODY_MAX};
pub use lease::{Grant, Held, Leases, DRIFT, SLACK};
pub use machine::{Machine, SnapshotError};
