//! What is proposed and what is decided.

use magpietally_transport::Peer;
use serde::{Deserialize, Serialize};

/// The largest body of a proposal, in bytes: a policy document is the largest, and an entry has to fit one message of a
/// stream with a batch's other proposals.
pub const BODY_MAX_BYTES: usize = 64 << 10;

/// An entry's place in the log: the first is 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Index(pub u64);

/// The log's clock, Unix time in milliseconds: the wall clock of the leader that proposed the entry, but never before the
/// stamp of the entry before. All nodes see the same stamps; a day begins by them. It may stand still or jump ahead, so
/// no span is measured by it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Timestamp(pub u64);

/// Which room an entry is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Topic {
    /// The log's own: who votes.
    Voters,
    /// Policy versions.
    Policy,
    /// Quota leases.
    Quota,
    /// Address ownership.
    Addresses,
}

/// What a node wants decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// Whose it is.
    pub topic: Topic,
    /// Who proposed it, at which start.
    pub proposer: Peer,
    /// The proposer's number for it, from 1, within its session. The log decides each (proposer, id) at most once, and none
    /// whose id is not above the last decided one of the same session: proposals that overtake others displace them.
    pub id: u64,
    /// The room's own encoding, at most [`BODY_MAX_BYTES`] bytes.
    pub body: Vec<u8>,
}

/// One decided entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecidedEntry {
    /// Where in the log.
    pub index: Index,
    /// When, by the log's clock.
    pub timestamp: Timestamp,
    /// What.
    pub proposal: Proposal,
}
