//! The log of fleet decisions: what the nodes agree on, one entry after the other (policy versions, quota leases, address
//! ownership).
//!
//! Every node learns the same decided entries in the same order, late or soon. What may be **assumed** of the log, and no
//! more: a proposal is decided at most once, or never, and its proposer learns of it only by seeing it decided; entries
//! are never undone; a node that was down, stopped or cut off learns all it missed, in order, perhaps as a snapshot.
//! [`model::Model`] is a log in virtual time that holds just that and takes every liberty beyond it; rooms that stand on
//! the log are tested on it.
//!
//! [`Node`] is the log itself, one node's part of it: a few named **voters** decide, every other node **learns**. It is
//! pure; what has to be durable before what may be sent comes out of it as a value ([`Ready`]). [`check`] holds its
//! histories to the rules. The reasons are in `docs/design/consensus.md`.
//!
//! Central types: [`DecidedEntry`], [`Proposal`], [`Node`], [`StateMachine`] (a room that stands on the log), [`Leases`] and [`HeldLease`].

#[cfg(test)]
extern crate self as magpietally_consensus;

mod chain;
pub mod check;
mod entry;
mod founding;
mod head;
mod learn;
mod lease;
mod machine;
pub mod model;
mod node;
mod ready;
mod settings;
#[cfg(test)]
mod sim;
mod storage;
mod voter;
mod wire;

pub use chain::{MachineSnapshots, SNAPSHOT_MAX_BYTES};
pub use entry::{DecidedEntry, Index, Proposal, Timestamp, Topic, BODY_MAX_BYTES};
pub use founding::NoVoteReason;
pub use head::{Hash, PROPOSERS_MAX};
pub use learn::PEERS_MAX;
pub use lease::{Grant, HeldLease, Leases, DRIFT, SLACK};
pub use machine::{SnapshotError, StateMachine};
pub use node::{Node, OpenError, ProposeError, Status};
pub use ready::{Ready, StoredError, Write};
pub use settings::{Settings, SettingsError, VOTER_COUNT};
pub use wire::MESSAGE_MAX_BYTES;
