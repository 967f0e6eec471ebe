//! What follows from the entries alone: where the log ends, its chained hash, its clock and who proposed what last.

use std::collections::BTreeMap;

use magpietally_transport::{Name, Peer, Session};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::entry::{DecidedEntry, Index, Proposal, Timestamp, Topic};

/// The most proposers whose last number is remembered. Past that the one that proposed longest ago is forgotten, by the
/// log's own order: a fleet of 500 nodes has room for eight generations of names, and one forgotten can only be
/// decided twice if its proposal is still on its way after 4,096 other nodes proposed.
pub const PROPOSERS_MAX: usize = 4096;

/// The chained hash of an entry and all before it: 16 bytes of SHA-256.
pub type Hash = [u8; 16];

/// One place of the log as the voters decide it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Item {
    /// The leader's wall clock.
    pub wall_ms: u64,
    /// What was proposed, perhaps a second time.
    pub proposal: Proposal,
}

impl omnipaxos::storage::Entry for Item {
    type Snapshot = omnipaxos::storage::NoSnapshot;
}

impl Item {
    /// About what it takes in memory and in a message, in bytes.
    pub fn size(&self) -> usize {
        self.proposal.body.len() + self.proposal.proposer.name.as_str().len() + 40
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Last {
    session: Session,
    id: u64,
    at: Index,
}

/// The log's state behind an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    pub index: Index,
    pub hash: Hash,
    pub timestamp: Timestamp,
    last: BTreeMap<Name, Last>,
}

impl Head {
    /// Takes the next item. A proposal that was decided before, or was overtaken by a later one of its proposer, leaves
    /// its place empty: an entry of the log's own topic by nobody.
    pub fn apply(&mut self, item: &Item) -> DecidedEntry {
        self.index.0 += 1;
        self.timestamp = self.timestamp.max(Timestamp(item.wall_ms));
        self.hash = chain(&self.hash, item);
        let (by, id) = (&item.proposal.proposer, item.proposal.id);
        let anew = self.last.get(&by.name).is_none_or(|l| (by.session, id) > (l.session, l.id));
        let proposal = if anew && id > 0 {
            if self.last.len() >= PROPOSERS_MAX && !self.last.contains_key(&by.name) {
                let oldest = self.last.iter().min_by_key(|(_, l)| l.at).map(|(n, _)| n.clone());
                oldest.map(|n| self.last.remove(&n));
            }
            self.last.insert(by.name.clone(), Last { session: by.session, id, at: self.index });
            item.proposal.clone()
        } else {
            Proposal { topic: Topic::Voters, proposer: Peer::default_of_nobody(), id: 0, body: Vec::new() }
        };
        DecidedEntry { index: self.index, timestamp: self.timestamp, proposal }
    }

    /// The last number decided of this proposer's session; 0 where none was.
    pub fn last_of(&self, by: &Peer) -> u64 {
        self.last.get(&by.name).filter(|l| l.session == by.session).map_or(0, |l| l.id)
    }
}

trait Nobody {
    fn default_of_nobody() -> Self;
}

impl Nobody for Peer {
    fn default_of_nobody() -> Self {
        Self { name: Name::default(), session: Session(0) }
    }
}

/// The hash behind `item`, `before` being the one in front of it.
pub(crate) fn chain(before: &Hash, item: &Item) -> Hash {
    let mut sha = Sha256::new();
    sha.update(before);
    sha.update(item.wall_ms.to_le_bytes());
    let p = &item.proposal;
    sha.update([p.topic as u8]);
    sha.update((p.proposer.name.as_str().len() as u64).to_le_bytes());
    sha.update(p.proposer.name.as_str().as_bytes());
    sha.update(p.proposer.session.0.to_le_bytes());
    sha.update(p.id.to_le_bytes());
    sha.update(&p.body);
    let mut hash = Hash::default();
    hash.copy_from_slice(&sha.finalize()[..16]);
    hash
}

#[cfg(test)]
mod tests;
