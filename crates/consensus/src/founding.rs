//! Who may vote: each voter's disk has an identity, and the fleet is founded by a set of them, once.
//!
//! A voter that lost its disk has forgotten its promises and must not vote as if it had them. It comes back with another
//! identity, which is not in the set, and stays a learner.
//!
//! All voters must be there once, at the founding: each first makes its identity durable and tells it, then **locks**
//! the set of all identities (durable, for good), and votes only when it knows that **all** have locked the same set. So
//! no two sets can ever both vote: a second one would need the lock of a voter that has locked the first and still has
//! its disk, or the lock of none, which is no founding.

use sha2::{Digest, Sha256};

use crate::storage::Standing;
use crate::wire::Stage;

/// Why a voter does not vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoVoteReason {
    /// This node is not among the voters: it learns.
    Learner,
    /// Not all voters have been seen at once yet: the fleet is not founded.
    Founding,
    /// Its disk is not the one the fleet was founded with: it learns until the voters are changed.
    LostDisk,
    /// Voters have locked different sets: a disk was lost in the midst of the founding. The stores of all voters must be
    /// removed, nothing was decided.
    Torn,
    /// Its store refuses to write.
    CannotWrite,
    /// Its own votes can't be read or continued.
    Broken,
}

/// What one voter says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Said {
    pub identity: u64,
    pub stage: Stage,
    pub set: Vec<u64>,
}

/// One voter's view of the founding.
#[derive(Clone, Debug)]
pub(crate) struct Founding {
    me: usize,
    pub own: Standing,
    said: Vec<Option<Said>>,
}

impl Founding {
    pub fn new(me: usize, voters: usize, own: Standing) -> Self {
        Self { me, own, said: vec![None; voters] }
    }

    /// Another voter's word. The own standing changes by it at most; then it has to be made durable.
    pub fn hear(&mut self, from: usize, said: Said) -> bool {
        // A set of the wrong size can't be of this fleet's settings.
        if from == self.me
            || from >= self.said.len()
            || !(said.set.is_empty() || said.set.len() == self.said.len())
        {
            return false;
        }
        // Locked and founded are for good: an older word that comes late says nothing.
        if self.said[from]
            .as_ref()
            .is_some_and(|s| s.identity == said.identity && s.stage as u8 > said.stage as u8)
        {
            return false;
        }
        self.said[from] = Some(said);
        self.advance()
    }

    fn others(&self) -> impl Iterator<Item = &Said> {
        self.said.iter().flatten()
    }

    fn advance(&mut self) -> bool {
        let before = self.own.stage;
        if self.own.stage == Stage::Fresh {
            let locked = self.others().find(|s| s.stage != Stage::Fresh).map(|s| s.set.clone());
            let set = match locked {
                // Somebody has locked: that set or none, and only if this very disk is in it.
                Some(set) => (set.get(self.me) == Some(&self.own.identity)).then_some(set),
                None => (self.others().count() + 1 == self.said.len()).then(|| {
                    (0..self.said.len())
                        .map(|i| self.said[i].as_ref().map_or(self.own.identity, |s| s.identity))
                        .collect()
                }),
            };
            if let Some(set) = set {
                self.own.set = set;
                self.own.stage = Stage::Locked;
            }
        }
        if self.own.stage == Stage::Locked {
            let same = |s: &Said| s.stage != Stage::Fresh && s.set == self.own.set;
            let all = self.others().filter(|s| same(s)).count() + 1 == self.said.len();
            let told = self.others().any(|s| s.stage == Stage::Founded && s.set == self.own.set);
            if all || told {
                self.own.stage = Stage::Founded;
            }
        }
        self.own.stage != before
    }

    /// Why it does not vote, if so.
    pub fn why_not(&self) -> Option<NoVoteReason> {
        match self.own.stage {
            Stage::Founded => None,
            Stage::Fresh => {
                let lost =
                    |s: &Said| s.stage != Stage::Fresh && s.set.get(self.me) != Some(&self.own.identity);
                Some(if self.others().any(lost) { NoVoteReason::LostDisk } else { NoVoteReason::Founding })
            }
            Stage::Locked => {
                let other = |s: &Said| s.stage != Stage::Fresh && s.set != self.own.set;
                Some(if self.others().any(other) { NoVoteReason::Torn } else { NoVoteReason::Founding })
            }
        }
    }

    /// A number for the set, in every message between voters.
    pub fn fleet(&self) -> u64 {
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
