//! At which session each peer was met last.

use std::collections::BTreeMap;

use crate::name::Name;
use crate::transport::{Peer, Session};

/// Names that are kept at most: a fleet of 1,024 in which each node comes back under three more names. Past it an unknown
/// sender is dropped, as a name that was forgotten could come back with an old session. Each takes some 100 bytes once it is
/// met, and nothing before.
pub const PEERS_MOST: usize = 4096;

/// What a sender's session is to us.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// The one we know.
    Same,
    /// Later than the one we knew, or the first of this name.
    New,
    /// Earlier than the one we know.
    Older,
    /// A new name, and no room for it.
    TooMany,
}

/// The last session of each name.
#[derive(Debug, Default)]
pub struct Sessions(BTreeMap<Name, Session>);

impl Sessions {
    /// Notes a sender, and says what it is to us.
    pub fn see(&mut self, peer: &Peer) -> Seen {
        let room = self.0.len() < PEERS_MOST;
        match self.0.get_mut(&peer.name) {
            Some(known) if *known == peer.session => Seen::Same,
            Some(known) if *known > peer.session => Seen::Older,
            Some(known) => {
                *known = peer.session;
                Seen::New
            }
            None if !room => Seen::TooMany,
            None => {
                self.0.insert(peer.name.clone(), peer.session);
                Seen::New
            }
        }
    }
}

/// Why a sender was dropped, in words that both carriers use.
pub const OTHER_FLEET: &str = "a message of another fleet";
/// See [`OTHER_FLEET`].
pub const OTHER_NODE: &str = "a message for another node";
/// See [`OTHER_FLEET`].
pub const OLDER: &str = "a message of an older session";
/// See [`OTHER_FLEET`].
pub const TOO_MANY: &str = "a message of one name more than are kept";
/// See [`OTHER_FLEET`].
pub const OWN_NAME: &str = "a message under this node's own name";
/// See [`OTHER_FLEET`].
pub const MISPLACED: &str = "a message of a kind that has no place here";

#[cfg(test)]
mod tests;
