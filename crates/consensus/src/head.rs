//! State derived from the entries alone: the end of the log, its chained hash, its time, and each proposer's
//! last proposal.

use std::collections::BTreeMap;

use magpietally_transport::{Name, Peer, Session};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::entry::{DecidedEntry, Index, Proposal, Timestamp, Topic};

/// The most proposers whose last proposal is remembered. Beyond that the proposer whose last proposal is
/// oldest in the log is forgotten. This allows eight generations of names in a fleet of 500 nodes. A proposal
/// of a forgotten proposer can be decided twice only if it is still in flight after 4,096 other nodes have
/// proposed.
pub const PROPOSERS_MAX: usize = 4096;

/// Chained hash of an entry and all entries before it: 16 bytes of SHA-256.
pub type Hash = [u8; 16];

/// One entry of the log as the voters decide it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LogEntry {
    /// The leader's wall clock, Unix time in milliseconds.
    pub wall_ms: u64,
    /// The proposal, possibly a repeated one.
    pub proposal: Proposal,
}

impl omnipaxos::storage::Entry for LogEntry {
    type Snapshot = omnipaxos::storage::NoSnapshot;
}

impl LogEntry {
    /// Approximate size in memory and in a message, in bytes.
    pub fn size(&self) -> usize {
        self.proposal.body.len() + self.proposal.proposer.name.as_str().len() + 40
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LastProposal {
    session: Session,
    id: u64,
    index: Index,
}

/// State of the log after an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    pub index: Index,
    pub hash: Hash,
    pub timestamp: Timestamp,
    proposers: BTreeMap<Name, LastProposal>,
}

impl Head {
    /// Applies the next entry. A proposal that was decided before, or was superseded by a later one of its
    /// proposer, yields an empty entry: topic [`Topic::Voters`], no proposer.
    pub fn apply(&mut self, entry: &LogEntry) -> DecidedEntry {
        self.index.0 += 1;
        self.timestamp = self.timestamp.max(Timestamp(entry.wall_ms));
        self.hash = chain_hash(&self.hash, entry);
        let (proposer, id) = (&entry.proposal.proposer, entry.proposal.id);
        let is_new =
            self.proposers.get(&proposer.name).is_none_or(|l| (proposer.session, id) > (l.session, l.id));
        let proposal = if is_new && id > 0 {
            if self.proposers.len() >= PROPOSERS_MAX && !self.proposers.contains_key(&proposer.name) {
                let oldest = self.proposers.iter().min_by_key(|(_, l)| l.index).map(|(n, _)| n.clone());
                oldest.map(|n| self.proposers.remove(&n));
            }
            self.proposers.insert(
                proposer.name.clone(),
                LastProposal { session: proposer.session, id, index: self.index },
            );
            entry.proposal.clone()
        } else {
            Proposal { topic: Topic::Voters, proposer: Peer::no_peer(), id: 0, body: Vec::new() }
        };
        DecidedEntry { index: self.index, timestamp: self.timestamp, proposal }
    }

    /// The last decided id of this proposer's session, or 0 if there is none.
    pub fn last_id(&self, proposer: &Peer) -> u64 {
        self.proposers.get(&proposer.name).filter(|l| l.session == proposer.session).map_or(0, |l| l.id)
    }
}

trait NoPeer {
    fn no_peer() -> Self;
}

impl NoPeer for Peer {
    fn no_peer() -> Self {
        Self { name: Name::default(), session: Session(0) }
    }
}

/// The chained hash after `entry`, where `previous` is the hash before it.
pub(crate) fn chain_hash(previous: &Hash, entry: &LogEntry) -> Hash {
    let mut sha = Sha256::new();
    sha.update(previous);
    sha.update(entry.wall_ms.to_le_bytes());
    let p = &entry.proposal;
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
