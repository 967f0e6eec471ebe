//! A checker of histories: what a log's users may rely on, held against what its nodes recorded.
//!
//! Pure: its input are plain records, each with a time on **one** clock (the checker's, not a node's). Records may come in
//! any order but that of one node's session, which has to be its own.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use magpietally_transport::Peer;
use serde::{Deserialize, Serialize};

use crate::entry::{DecidedEntry, Index};

/// What a node saw.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Who.
    pub node: Peer,
    /// When, by the checker's clock, in microseconds.
    pub at_us: u64,
    /// What.
    pub what: Observation,
}

/// What was seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observation {
    /// An entry came out of the log.
    Entry {
        /// At which index.
        index: Index,
        /// A hash of all of it, stamp included.
        hash: u64,
        /// Whose it is, by session and number; `None` for a place that was left empty.
        by: Option<(Peer, u64)>,
    },
    /// A snapshot took the place of all entries up to and with this.
    Restored {
        /// The last that it covers.
        index: Index,
    },
    /// A read that claims to be current.
    Read {
        /// When it was asked for, by the checker's clock, in microseconds.
        asked_us: u64,
        /// The last entry that it saw.
        index: Index,
    },
}

impl Observation {
    /// An entry's record.
    pub fn entry(decided: &DecidedEntry) -> Self {
        let p = &decided.proposal;
        let mut crc = crc32fast::Hasher::new();
        crc.update(&decided.index.0.to_le_bytes());
        crc.update(&decided.timestamp.0.to_le_bytes());
        crc.update(&[p.topic as u8]);
        crc.update(p.proposer.name.as_str().as_bytes());
        crc.update(&p.proposer.session.0.to_le_bytes());
        crc.update(&p.id.to_le_bytes());
        crc.update(&p.body);
        let by = (p.id > 0).then(|| (p.proposer.clone(), p.id));
        Self::Entry { index: decided.index, hash: u64::from(crc.finalize()), by }
    }
}

/// A rule that was broken, by name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two nodes decided different entries at one index.
    TwoEntries {
        /// Where.
        index: Index,
        /// One of them.
        one: Peer,
        /// The other.
        other: Peer,
    },
    /// A node decided another entry at an index than it had before, in this session or an earlier one.
    Undone {
        /// Where.
        index: Index,
        /// Who.
        node: Peer,
    },
    /// Entries did not come one after the other within a session.
    Order {
        /// Who.
        node: Peer,
        /// The last before.
        before: Index,
        /// What came.
        came: Index,
    },
    /// One proposal was decided at two indexes.
    Twice {
        /// Whose, and its number.
        proposal: (Peer, u64),
        /// Where first.
        first: Index,
        /// Where again.
        again: Index,
    },
    /// A read that claims to be current did not see what was decided before it was asked for.
    Stale {
        /// Who read.
        node: Peer,
        /// What it saw.
        saw: Index,
        /// What was decided.
        decided: Index,
    },
}

impl Violation {
    /// The rule's name.
    pub fn rule(&self) -> &'static str {
        match self {
            Self::TwoEntries { .. } => "no two nodes decide different entries at one index",
            Self::Undone { .. } => "decided is never undone",
            Self::Order { .. } => "entries come in order without a gap",
            Self::Twice { .. } => "a proposal is decided at most once",
            Self::Stale { .. } => "a read that claims to be current is",
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {self:?}", self.rule())
    }
}

/// Every rule that the history breaks, each at its first place.
pub fn check(history: &[Record]) -> Vec<Violation> {
    let mut broken = Vec::new();
    entries(history, &mut broken);
    order(history, &mut broken);
    reads(history, &mut broken);
    let mut seen = BTreeSet::new();
    broken.retain(|b| seen.insert(b.rule()));
    broken
}

fn entries(history: &[Record], broken: &mut Vec<Violation>) {
    let mut first: BTreeMap<Index, (u64, &Peer)> = BTreeMap::new();
    let mut own: BTreeMap<(&str, Index), u64> = BTreeMap::new();
    let mut proposals: BTreeMap<(&str, u64, u64), Index> = BTreeMap::new();
    for Record { node, what, .. } in history {
        let Observation::Entry { index, hash, by } = what else { continue };
        let mine = *own.entry((node.name.as_str(), *index)).or_insert(*hash);
        if mine != *hash {
            broken.push(Violation::Undone { index: *index, node: node.clone() });
            continue;
        }
        let (theirs, one) = *first.entry(*index).or_insert((*hash, node));
        if theirs != *hash {
            broken.push(Violation::TwoEntries { index: *index, one: one.clone(), other: node.clone() });
        }
        if let Some((by, id)) = by {
            let at = *proposals.entry((by.name.as_str(), by.session.0, *id)).or_insert(*index);
            if at != *index {
                broken.push(Violation::Twice { proposal: (by.clone(), *id), first: at, again: *index });
            }
        }
    }
}

fn order(history: &[Record], broken: &mut Vec<Violation>) {
    let mut last: BTreeMap<(&str, u64), Index> = BTreeMap::new();
    for Record { node, what, .. } in history {
        let last = last.entry((node.name.as_str(), node.session.0)).or_default();
        let (came, right) = match what {
            Observation::Entry { index, .. } => (*index, index.0 == last.0 + 1),
            Observation::Restored { index } => (*index, index > last),
            Observation::Read { .. } => continue,
        };
        if !right {
            broken.push(Violation::Order { node: node.clone(), before: *last, came });
        }
        *last = came;
    }
}

fn reads(history: &[Record], broken: &mut Vec<Violation>) {
    // The greatest index that had come out anywhere, by time.
    let mut out: Vec<(u64, Index)> = history
        .iter()
        .filter_map(|r| match r.what {
            Observation::Entry { index, .. } | Observation::Restored { index } => Some((r.at_us, index)),
            Observation::Read { .. } => None,
        })
        .collect();
    out.sort_unstable();
    let mut most = Index(0);
    for (_, index) in &mut out {
        most = most.max(*index);
        *index = most;
    }
    for Record { node, what, .. } in history {
        let Observation::Read { asked_us, index: saw } = what else { continue };
        let before = out.partition_point(|(at, _)| at < asked_us);
        let decided = before.checked_sub(1).map_or(Index(0), |i| out[i].1);
        if *saw < decided {
            broken.push(Violation::Stale { node: node.clone(), saw: *saw, decided });
        }
    }
}

#[cfg(test)]
mod tests;
