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
pub enum NoVote {
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
    pub fn why_not(&self) -> Option<NoVote> {
        match self.own.stage {
            Stage::Founded => None,
            Stage::Fresh => {
                let lost =
                    |s: &Said| s.stage != Stage::Fresh && s.set.get(self.me) != Some(&self.own.identity);
                Some(if self.others().any(lost) { NoVote::LostDisk } else { NoVote::Founding })
            }
            Stage::Locked => {
                let other = |s: &Said| s.stage != Stage::Fresh && s.set != self.own.set;
                Some(if self.others().any(other) { NoVote::Torn } else { NoVote::Founding })
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
mod tests {
    use super::*;

    fn fresh(me: usize, identity: u64) -> Founding {
        Founding::new(me, 3, Standing { identity, stage: Stage::Fresh, set: Vec::new() })
    }

    fn word(f: &Founding) -> Said {
        Said { identity: f.own.identity, stage: f.own.stage, set: f.own.set.clone() }
    }

    fn tell(all: &mut [Founding], from: usize, to: usize) {
        let said = word(&all[from]);
        all[to].hear(from, said);
    }

    #[test]
    fn no_voter_votes_before_all_have_locked_the_same_set() {
        let mut all = [fresh(0, 10), fresh(1, 11), fresh(2, 12)];
        for (from, to) in [(1, 0), (2, 0), (0, 1)] {
            tell(&mut all, from, to);
        }
        assert_eq!((all[0].own.stage, all[1].own.stage), (Stage::Locked, Stage::Locked));
        assert_eq!(all[1].own.set, [10, 11, 12]);
        tell(&mut all, 1, 0);
        assert_eq!(all[0].own.stage, Stage::Locked, "the third has not locked");
        tell(&mut all, 0, 2);
        tell(&mut all, 2, 0);
        assert_eq!(all[0].own.stage, Stage::Founded);
        tell(&mut all, 0, 1);
        assert_eq!(all[1].own.stage, Stage::Founded);
    }

    #[test]
    fn a_disk_lost_at_any_step_of_the_founding_never_makes_two_sets_that_vote() {
        // All orders of six words (the seventh is always the same), with the second disk lost before any one of them.
        for seed in 0..6_u64.pow(6) {
            for lost in 0..7 {
                let mut all = [fresh(0, 10), fresh(1, 11), fresh(2, 12)];
                let mut ever: Vec<Vec<u64>> = Vec::new();
                let mut draws = seed;
                for step in 0..7 {
                    if step == lost {
                        all[1] = fresh(1, 21);
                    }
                    let (from, to) = [(0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)][(draws % 6) as usize];
                    draws /= 6;
                    tell(&mut all, from, to);
                    ever.extend(
                        all.iter().filter(|f| f.own.stage == Stage::Founded).map(|f| f.own.set.clone()),
                    );
                }
                ever.sort();
                ever.dedup();
                assert!(ever.len() <= 1, "two sets vote: {ever:?}");
            }
        }
    }

    #[test]
    fn a_voter_with_another_disk_than_the_founding_one_knows_that_it_must_not_vote() {
        let mut back = fresh(1, 99);
        back.hear(0, Said { identity: 10, stage: Stage::Founded, set: vec![10, 11, 12] });
        assert_eq!(back.why_not(), Some(NoVote::LostDisk));
    }
}
