//! Messages between the nodes of the log.

use magpietally_transport::Name;
use omnipaxos::messages::Message;
use serde::{Deserialize, Serialize};

use crate::entry::{Index, Proposal};
use crate::head::{Hash, LogEntry};

/// The first byte of every message and record; messages of another format are dropped and counted.
pub(crate) const FORMAT: u8 = 1;

/// The largest message, in bytes. A voter that is behind can receive in one message the log tail that voters
/// keep behind a checkpoint (256 KiB), the entries since that checkpoint (as much again) and the undecided
/// entries (as much again).
pub const MESSAGE_MAX_BYTES: usize = 1 << 20;

/// How far a voter has progressed in bootstrapping the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum BootstrapStage {
    /// It has an identity only.
    New,
    /// It has seen every voter's identity and will vote in this set or in none.
    Locked,
    /// It knows that all voters have locked the same set, and votes.
    Complete,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum WireMessage {
    /// A voter's bootstrap status. `answer` requests a reply.
    Hello { identity: u64, stage: BootstrapStage, set: Vec<u64>, answer: bool },
    /// A consensus message between voters. On each channel `number` is above all earlier ones of the sender's
    /// session; late and duplicate messages are dropped. `fleet` identifies the set of voters that was fixed
    /// at bootstrap.
    Paxos { fleet: u64, number: u64, message: Message<LogEntry> },
    /// The end of the leader's log, for followers that may have missed its last message.
    LogStatus { fleet: u64, accepted: u64, decided: u64 },
    /// Proposals on their way to the leader.
    Propose { hops: u8, proposals: Vec<Proposal> },
    /// Entries starting at index `from`; `prev` is the hash before them and `head` the sender's last index.
    /// `requested` marks a response to [`WireMessage::EntriesRequest`].
    Entries { from: Index, prev: Hash, entries: Vec<LogEntry>, head: Index, requested: bool },
    /// The end of the sender's log, and the leader it knows of with the number of the election.
    Status { index: Index, hash: Hash, leader: Option<(u32, Name)> },
    /// The sender has learned all entries up to and including `learned` and requests those that follow.
    EntriesRequest { learned: Index },
    /// Requests the part of a snapshot that starts at `offset`.
    ChunkRequest { index: Index, offset: u64 },
    /// Part of a snapshot. `crc` covers the whole snapshot.
    Chunk { index: Index, total: u64, crc: u32, offset: u64, bytes: Vec<u8> },
}

/// Decodes a message.
///
/// # Errors
/// The reason why the bytes are not a valid message.
pub(crate) fn decode(bytes: &[u8]) -> Result<WireMessage, &'static str> {
    if bytes.len() > MESSAGE_MAX_BYTES {
        return Err("message too large");
    }
    match bytes.split_first() {
        Some((&FORMAT, rest)) => match postcard::take_from_bytes(rest) {
            Ok((wire, [])) => Ok(wire),
            Ok(_) => Err("trailing bytes after the message"),
            Err(_) => Err("malformed message"),
        },
        Some(_) => Err("unknown format"),
        None => Err("empty message"),
    }
}

/// Encodes a message; `None` if it exceeds [`MESSAGE_MAX_BYTES`].
pub(crate) fn encode<T: Serialize>(wire: &T) -> Option<Vec<u8>> {
    let bytes = postcard::to_extend(wire, vec![FORMAT]).ok()?;
    (bytes.len() <= MESSAGE_MAX_BYTES).then_some(bytes)
}
