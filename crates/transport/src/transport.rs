//! The interface of the transports, which carry messages between named nodes.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Identifies one start of a node: a later start has a greater number. Whoever assigns the numbers ensures
/// this whatever the wall clock does in between.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Session(pub u64);

/// A node in one of its sessions. What an earlier session held (leases, ordering guarantees) does not pass to
/// a later one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// The name in the fleet.
    pub name: Name,
    /// The session, one for each start.
    pub session: Session,
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.name, self.session.0)
    }
}

/// The kind of a transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// Each message is independent: it may be lost, duplicated, or overtaken by one that was sent later.
    Datagram,
    /// Messages of a session arrive in the order they were sent, each at most once, without gaps except those
    /// reported by [`Event::Lost`].
    Stream,
}

/// The properties that a transport declares; `crates/contracts` checks that it keeps them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capabilities {
    /// The kind of the transport.
    pub kind: Kind,
    /// The largest message it accepts, in bytes; a larger one is refused and never truncated.
    pub message_max_bytes: usize,
    /// Messages that may be queued for one peer; beyond that, sending fails with [`SendError::Full`].
    pub queue_capacity: usize,
}

/// What a transport reports to its user.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A whole, unaltered message from a peer of this fleet.
    Message {
        /// The sender.
        from: Peer,
        /// The message.
        bytes: Vec<u8>,
    },
    /// A peer was seen in a new session. Messages of its earlier sessions are no longer delivered.
    NewSession(Peer),
    /// Messages that [`Transport::send`] accepted for this peer were lost, or may have been. Only streams
    /// report this: the connection broke, or the peer did not read in time.
    Lost {
        /// The recipient.
        to: Name,
        /// How many messages, at least.
        messages: u64,
    },
    /// Input was dropped and counted: it could not be decoded, or was from another fleet, format version or
    /// older session. Holds the reason, for the log.
    Dropped(&'static str),
}

/// Why a message was not accepted for sending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The message is larger than the transport can carry.
    TooLarge {
        /// The size of the message, in bytes.
        size: usize,
        /// The maximum size, in bytes.
        max: usize,
    },
    /// There is no peer of this name.
    Unknown(Name),
    /// The queue for the peer is full; the message is dropped.
    Full {
        /// The recipient.
        to: Name,
        /// The maximum number of queued messages.
        max: usize,
    },
    /// The transport has ended, with the reason: it was closed, or its socket failed.
    Closed(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { size, max } => {
                write!(f, "message of {size} bytes is larger than the maximum of {max}")
            }
            Self::Unknown(name) => write!(f, "unknown peer {name}"),
            Self::Full { to, max } => write!(f, "{max} messages are already queued for {to}"),
            Self::Closed(why) => write!(f, "the transport has ended: {why}"),
        }
    }
}

impl std::error::Error for SendError {}

/// Carries whole messages between named nodes. No call blocks.
pub trait Transport {
    /// The local node and its session.
    fn me(&self) -> &Peer;

    /// The properties that the transport declares.
    fn capabilities(&self) -> Capabilities;

    /// Accepts a message for `to`, which need not be reachable. Acceptance does not mean delivery.
    ///
    /// # Errors
    /// See [`SendError`]; no part of a refused message is sent.
    fn send(&mut self, to: &Name, message: &[u8]) -> Result<(), SendError>;

    /// The next event that has occurred by `now`; `None` when there is none.
    fn poll(&mut self, now: Duration) -> Option<Event>;
}
