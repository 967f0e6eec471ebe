//! The latest known session of each peer.

use std::collections::BTreeMap;

use crate::name::Name;
use crate::transport::{Peer, Session};

/// The maximum number of peer names that are remembered: a fleet of 1,024 nodes, each of which returns under
/// three more names. When the table is full, messages of unknown senders are dropped. Names are never
/// evicted, since an evicted name could return with an old session. An entry takes about 100 bytes and is
/// allocated when the peer is first seen.
pub const PEERS_MAX: usize = 4096;

/// How a sender's session relates to the latest known one of that sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionStatus {
    /// It is the latest known session.
    Current,
    /// It is later than the latest known one, or the first of this name.
    New,
    /// It is earlier than the latest known one.
    Older,
    /// The name is new and the table is full.
    TableFull,
}

/// The latest session of each name.
#[derive(Debug, Default)]
pub struct SessionTable(BTreeMap<Name, Session>);

impl SessionTable {
    /// Records the session of a sender and returns how it relates to the latest known one.
    pub fn observe(&mut self, peer: &Peer) -> SessionStatus {
        let has_capacity = self.0.len() < PEERS_MAX;
        match self.0.get_mut(&peer.name) {
            Some(known) if *known == peer.session => SessionStatus::Current,
            Some(known) if *known > peer.session => SessionStatus::Older,
            Some(known) => {
                *known = peer.session;
                SessionStatus::New
            }
            None if !has_capacity => SessionStatus::TableFull,
            None => {
                self.0.insert(peer.name.clone(), peer.session);
                SessionStatus::New
            }
        }
    }
}

/// Reasons for dropping a message, shared by both transports; see [`crate::Event::Dropped`].
pub const OTHER_FLEET: &str = "a message of another fleet";
/// See [`OTHER_FLEET`].
pub const OTHER_NODE: &str = "a message for another node";
/// See [`OTHER_FLEET`].
pub const OLDER_SESSION: &str = "a message of an older session";
/// See [`OTHER_FLEET`].
pub const PEER_TABLE_FULL: &str = "a message of an unknown peer while the peer table is full";
/// See [`OTHER_FLEET`].
pub const OWN_NAME: &str = "a message under this node's own name";
/// See [`OTHER_FLEET`].
pub const UNEXPECTED_TYPE: &str = "a message of an unexpected type";

#[cfg(test)]
mod tests;
