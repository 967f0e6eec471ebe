//! What moves messages between named nodes.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// One start of a node: a later start has a greater number, whatever the wall clock did in between is the carrier's care.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Session(pub u64);

/// A node at one of its starts. What an earlier session held (leases, promises of order) is not the later one's.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// Its name in the fleet.
    pub name: Name,
    /// Which start of it.
    pub session: Session,
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.name, self.session.0)
    }
}

/// The two kinds of transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// Each message on its own: it may be lost, come twice, or after one that was sent later.
    Datagram,
    /// Messages of a session in the order they were sent, each at most once, with no gap but where
    /// [`Event::Lost`] says so.
    Stream,
}

/// What a transport states of itself, for the contracts to hold it to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capabilities {
    /// Which kind it is.
    pub kind: Kind,
    /// The largest message it takes, in bytes; a larger one is refused and never cut.
    pub message_max_bytes: usize,
    /// Messages that may wait for one peer; past that [`SendError::Full`] tells the sender.
    pub queue_capacity: usize,
}

/// What comes of a transport.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A whole message, as it was sent, by a peer of this fleet.
    Message {
        /// Who sent it.
        from: Peer,
        /// What it sent.
        bytes: Vec<u8>,
    },
    /// A peer was met at a new session; what an earlier one sent does not come any more.
    NewSession(Peer),
    /// Messages to this peer that were taken by [`Transport::send`] and were or may be lost (a stream only: its
    /// connection broke or its peer did not read in time).
    Lost {
        /// To whom they were sent.
        to: Name,
        /// How many at least.
        messages: u64,
    },
    /// Something came that could not be read, or was of another fleet, version or an older session; it was dropped and
    /// counted. Why, for the log.
    Dropped(&'static str),
}

/// Why a message was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// Larger than the transport carries.
    TooLarge {
        /// Its size in bytes.
        size: usize,
        /// The most that is carried.
        max: usize,
    },
    /// No peer of this name is known.
    Unknown(Name),
    /// So many messages wait for the peer already; the message is dropped and the sender knows.
    Full {
        /// For whom.
        to: Name,
        /// How many may wait.
        max: usize,
    },
    /// The transport is at its end (closed, its socket broken).
    Closed(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { size, max } => {
                write!(f, "a message of {size} bytes, at most {max} are carried")
            }
            Self::Unknown(name) => write!(f, "no node named {name} is known"),
            Self::Full { to, max } => write!(f, "{max} messages wait for {to} already"),
            Self::Closed(why) => write!(f, "the transport has ended: {why}"),
        }
    }
}

impl std::error::Error for SendError {}

/// Moves whole messages between named nodes. No call waits.
pub trait Transport {
    /// Who this end is.
    fn me(&self) -> &Peer;

    /// What it states of itself.
    fn capabilities(&self) -> Capabilities;

    /// Takes a message for `to`, which need not be there. Taken is not arrived.
    ///
    /// # Errors
    /// See [`SendError`]; a message that is refused is not sent in part.
    fn send(&mut self, to: &Name, message: &[u8]) -> Result<(), SendError>;

    /// What has come by now, or happened; `None` when there is no more.
    fn poll(&mut self, now: Duration) -> Option<Event>;
}
