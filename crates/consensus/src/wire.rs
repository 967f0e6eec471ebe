//! What the nodes of the log say to each other.

use magpietally_transport::Name;
use omnipaxos::messages::Message;
use serde::{Deserialize, Serialize};

use crate::entry::{Index, Proposal};
use crate::head::{Hash, Item};

/// The first byte of every message and record; one of another format is dropped and counted.
pub(crate) const FORMAT: u8 = 1;

/// The largest message, in bytes: the tail of the log that voters keep behind a checkpoint (256 KiB), what came since it (as
/// much) and what is not decided yet (as much) go together to a voter that is behind.
pub const MESSAGE_MAX_BYTES: usize = 1 << 20;

/// How far a voter is with the founding of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Stage {
    /// It has an identity and no more.
    Fresh,
    /// It has seen every voter's identity, and will vote in this set or none.
    Locked,
    /// It knows that all have locked the same set: it votes.
    Founded,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Wire {
    /// A voter's standing. `answer` where one is wanted.
    Hello { identity: u64, stage: Stage, set: Vec<u64>, answer: bool },
    /// Between voters. `lane` numbers are above all earlier ones of the sender's session: what comes late or twice is
    /// dropped. `fleet` names the founding set.
    Vote { fleet: u64, number: u64, message: Message<Item> },
    /// The leader's log, for those who may have missed its last message.
    Tail { fleet: u64, accepted: u64, decided: u64 },
    /// Proposals on their way to the leader.
    Propose { hops: u8, proposals: Vec<Proposal> },
    /// Entries right after the one with hash `prev`, from index `from` on; `head` is the sender's last.
    Items { from: Index, prev: Hash, items: Vec<Item>, head: Index, asked: bool },
    /// Where the sender's log ends, and whom it takes for the leader, since which election.
    Beat { index: Index, hash: Hash, leader: Option<(u32, Name)> },
    /// The sender has all up to and with `have` and wants what follows.
    Want { have: Index },
    /// A piece of a snapshot, wanted from `offset` on.
    WantPiece { index: Index, offset: u64 },
    /// The piece. `crc` is the whole snapshot's.
    Piece { index: Index, total: u64, crc: u32, offset: u64, bytes: Vec<u8> },
}

/// Why a message could not be read.
pub(crate) fn decode(bytes: &[u8]) -> Result<Wire, &'static str> {
    if bytes.len() > MESSAGE_MAX_BYTES {
        return Err("larger than any message");
    }
    match bytes.split_first() {
        Some((&FORMAT, rest)) => match postcard::take_from_bytes(rest) {
            Ok((wire, [])) => Ok(wire),
            Ok(_) => Err("bytes behind the message"),
            Err(_) => Err("not a message"),
        },
        Some(_) => Err("another format"),
        None => Err("empty"),
    }
}

/// The message's bytes; `None` where it is larger than any may be.
pub(crate) fn encode<T: Serialize>(wire: &T) -> Option<Vec<u8>> {
    let bytes = postcard::to_extend(wire, vec![FORMAT]).ok()?;
    (bytes.len() <= MESSAGE_MAX_BYTES).then_some(bytes)
}
