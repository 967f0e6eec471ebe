//! Decides who may vote: the disk of each voter has an identity, and the fleet is bootstrapped once with a
//! fixed set of identities.
//!
//! A voter that lost its disk has lost its promises and must not vote as if it had kept them. It returns with
//! a new identity, which is not in the set, and remains a learner.
//!
//! All voters must be present once, at bootstrap. Each makes its identity durable and announces it, then
//! **locks** the set of all identities (durably and permanently), and votes only when it knows that **all**
//! voters have locked the same set. Two different sets can therefore never both vote: the second would need
//! the lock of a voter that has locked the first and still has its disk, and without every voter's lock
//! bootstrap does not complete.

use sha2::{Digest, Sha256};

use crate::storage::BootstrapState;
use crate::wire::BootstrapStage;

/// Why a voter does not vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoVoteReason {
    /// This node is not a voter; it learns only.
    Learner,
    /// The fleet is not bootstrapped: not all voters have been present at the same time yet.
    Founding,
    /// Its disk is not the one the fleet was bootstrapped with: it learns only until the set of voters is
    /// changed.
    LostDisk,
    /// Voters have locked different sets, because a disk was lost during bootstrap. The stores of all voters
    /// must be removed; no entry was decided.
    Torn,
    /// Its store rejects writes.
    CannotWrite,
    /// Its persisted voting state cannot be read or continued.
    Broken,
}

/// The bootstrap status announced by a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PeerStatus {
    pub identity: u64,
    pub stage: BootstrapStage,
    pub set: Vec<u64>,
}

/// One voter's view of the bootstrap.
#[derive(Clone, Debug)]
pub(crate) struct Bootstrap {
    me: usize,
    pub own: BootstrapState,
    peers: Vec<Option<PeerStatus>>,
}

impl Bootstrap {
    pub fn new(me: usize, voters: usize, own: BootstrapState) -> Self {
        Self { me, own, peers: vec![None; voters] }
    }

    /// Handles another voter's status. Returns whether this voter's own state changed; the new state must
    /// then be made durable.
    pub fn receive(&mut self, from: usize, status: PeerStatus) -> bool {
        // A set of another size comes from different settings.
        if from == self.me
            || from >= self.peers.len()
            || !(status.set.is_empty() || status.set.len() == self.peers.len())
        {
            return false;
        }
        // Locking and completion are permanent, so an earlier stage of the same identity is a delayed
        // message.
        if self.peers[from]
            .as_ref()
            .is_some_and(|s| s.identity == status.identity && s.stage as u8 > status.stage as u8)
        {
            return false;
        }
        self.peers[from] = Some(status);
        self.advance()
    }

    fn received(&self) -> impl Iterator<Item = &PeerStatus> {
        self.peers.iter().flatten()
    }

    fn advance(&mut self) -> bool {
        let before = self.own.stage;
        if self.own.stage == BootstrapStage::New {
            let locked = self.received().find(|s| s.stage != BootstrapStage::New).map(|s| s.set.clone());
            let set = match locked {
                // Another voter has locked a set: join that set or none, and only if it contains this disk's
                // identity.
                Some(set) => (set.get(self.me) == Some(&self.own.identity)).then_some(set),
                None => (self.received().count() + 1 == self.peers.len()).then(|| {
                    (0..self.peers.len())
                        .map(|i| self.peers[i].as_ref().map_or(self.own.identity, |s| s.identity))
                        .collect()
                }),
            };
            if let Some(set) = set {
                self.own.set = set;
                self.own.stage = BootstrapStage::Locked;
            }
        }
        if self.own.stage == BootstrapStage::Locked {
            let same = |s: &PeerStatus| s.stage != BootstrapStage::New && s.set == self.own.set;
            let all_locked = self.received().filter(|s| same(s)).count() + 1 == self.peers.len();
            let announced =
                self.received().any(|s| s.stage == BootstrapStage::Complete && s.set == self.own.set);
            if all_locked || announced {
                self.own.stage = BootstrapStage::Complete;
            }
        }
        self.own.stage != before
    }

    /// Why this voter does not vote, or `None` if it may.
    pub fn no_vote_reason(&self) -> Option<NoVoteReason> {
        match self.own.stage {
            BootstrapStage::Complete => None,
            BootstrapStage::New => {
                let excluded = |s: &PeerStatus| {
                    s.stage != BootstrapStage::New && s.set.get(self.me) != Some(&self.own.identity)
                };
                Some(if self.received().any(excluded) {
                    NoVoteReason::LostDisk
                } else {
                    NoVoteReason::Founding
                })
            }
            BootstrapStage::Locked => {
                let conflicting = |s: &PeerStatus| s.stage != BootstrapStage::New && s.set != self.own.set;
                Some(if self.received().any(conflicting) {
                    NoVoteReason::Torn
                } else {
                    NoVoteReason::Founding
                })
            }
        }
    }

    /// Identifier of the voter set, sent with every message between voters.
    pub fn fleet_id(&self) -> u64 {
        let mut sha = Sha256::new();
        for identity in &self.own.set {
            sha.update(identity.to_le_bytes());
        }
        let hash = sha.finalize();
        hash.iter().take(8).fold(0, |n, b| n << 8 | u64::from(*b))
    }
}

#[cfg(test)]
mod tests;
