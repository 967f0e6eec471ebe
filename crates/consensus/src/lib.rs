//! Replicated log of fleet decisions: the ordered entries all nodes agree on (policy versions, quota leases,
//! address ownership).
//!
//! Every node learns the same decided entries in the same order, possibly with a delay. Users of the log may
//! assume only the following. A proposal is decided at most once, or never; its proposer learns the result
//! only by seeing the decided entry. Decided entries are never undone. A node that was down, paused or
//! disconnected later learns everything it missed, in order, possibly as a snapshot. [`model::Model`] is a
//! log in virtual time that provides exactly these guarantees and otherwise behaves as adversely as they
//! allow; state machines that use the log are tested against it.
//!
//! [`Node`] is one node's part of the log. A few named **voters** decide; all other nodes are **learners**.
//! `Node` performs no I/O: what must be durable before dependent messages may be sent is returned as a value
//! ([`Ready`]). [`check`] verifies recorded histories against the rules. The design rationale is in
//! `docs/design/consensus.md`.
//!
//! Central types: [`DecidedEntry`], [`Proposal`], [`Node`], [`StateMachine`] (the trait of the log's users),
//! [`Leases`] and [`HeldLease`].

#[cfg(test)]
extern crate self as magpietally_consensus;

mod bootstrap;
pub mod check;
mod entry;
mod head;
mod learned_log;
mod learner;
mod lease;
pub mod model;
mod node;
mod ready;
mod settings;
#[cfg(test)]
mod sim;
mod state_machine;
mod storage;
mod voter;
mod wire;

pub use bootstrap::NoVoteReason;
pub use entry::{DecidedEntry, Index, Proposal, Timestamp, Topic, BODY_MAX_BYTES};
pub use head::{Hash, PROPOSERS_MAX};
pub use learned_log::{MachineSnapshots, SNAPSHOT_MAX_BYTES};
pub use learner::PEERS_MAX;
pub use lease::{Grant, HeldLease, Leases, DRIFT, SLACK};
pub use node::{Node, OpenError, ProposeError, Status};
pub use ready::{Ready, StoredError, Write};
pub use settings::{Settings, SettingsError, VOTER_COUNT};
pub use state_machine::{SnapshotError, StateMachine};
pub use wire::MESSAGE_MAX_BYTES;
