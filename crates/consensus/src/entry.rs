//! Proposals and decided entries.

use magpietally_transport::Peer;
use serde::{Deserialize, Serialize};

/// The largest body of a proposal, in bytes. Policy documents are the largest bodies, and an entry must fit
/// into one stream message together with the other proposals of its batch.
pub const BODY_MAX_BYTES: usize = 64 << 10;

/// Position of an entry in the log; the first is 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Index(pub u64);

/// Log time: Unix time in milliseconds, from the wall clock of the leader that proposed the entry, but never
/// earlier than the timestamp of the previous entry. All nodes see the same timestamps, and calendar days are
/// derived from them. Log time can stand still or jump ahead, so it is not used to measure durations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Timestamp(pub u64);

/// The state machine an entry belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Topic {
    /// The log itself: the set of voters.
    Voters,
    /// Policy versions.
    Policy,
    /// Quota leases.
    Quota,
    /// Address ownership.
    Addresses,
}

/// A request to have something decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// The state machine it belongs to.
    pub topic: Topic,
    /// The proposing node and its session.
    pub proposer: Peer,
    /// The proposer's number for this proposal, starting at 1 in each session. The log decides each
    /// (proposer, id) at most once, and only ids above the last decided id of the same session: a proposal
    /// that overtakes earlier ones supersedes them.
    pub id: u64,
    /// Payload in the state machine's own encoding, at most [`BODY_MAX_BYTES`] bytes.
    pub body: Vec<u8>,
}

/// A decided entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecidedEntry {
    /// Position in the log.
    pub index: Index,
    /// Log time of the entry.
    pub timestamp: Timestamp,
    /// The proposal that was decided.
    pub proposal: Proposal,
}
