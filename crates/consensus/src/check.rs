//! Checks recorded histories of nodes against the guarantees of the log.
//!
//! The checker is a pure function of plain records, each with a time on **one** clock, the checker's rather
//! than a node's. Records may be in any order, except that the records of one node's session must be in the
//! order in which they were made.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use magpietally_transport::Peer;
use serde::{Deserialize, Serialize};

use crate::entry::{DecidedEntry, Index};

/// A record of what a node observed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The observing node.
    pub node: Peer,
    /// Time on the checker's clock, in microseconds.
    pub at_us: u64,
    /// The observation.
    pub what: Observation,
}

/// What a node observed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observation {
    /// A decided entry came out of the log.
    Entry {
        /// Its index.
        index: Index,
        /// Hash of the whole entry, timestamp included.
        hash: u64,
        /// Proposer and proposal number; `None` for an empty entry.
        by: Option<(Peer, u64)>,
    },
    /// A snapshot replaced all entries up to and including an index.
    Restored {
        /// The last entry the snapshot covers.
        index: Index,
    },
    /// A linearizable read.
    Read {
        /// When the read was requested, on the checker's clock, in microseconds.
        asked_us: u64,
        /// The last entry the read saw.
        index: Index,
    },
}

impl Observation {
    /// The observation of a decided entry.
    pub fn entry(decided: &DecidedEntry) -> Self {
        let proposal = &decided.proposal;
        let mut crc = crc32fast::Hasher::new();
        crc.update(&decided.index.0.to_le_bytes());
        crc.update(&decided.timestamp.0.to_le_bytes());
        crc.update(&[proposal.topic as u8]);
        crc.update(proposal.proposer.name.as_str().as_bytes());
        crc.update(&proposal.proposer.session.0.to_le_bytes());
        crc.update(&proposal.id.to_le_bytes());
        crc.update(&proposal.body);
        let by = (proposal.id > 0).then(|| (proposal.proposer.clone(), proposal.id));
        Self::Entry { index: decided.index, hash: u64::from(crc.finalize()), by }
    }
}

/// A violated rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two nodes decided different entries at one index.
    TwoEntries {
        /// The index.
        index: Index,
        /// One of the nodes.
        one: Peer,
        /// The other node.
        other: Peer,
    },
    /// A node decided a different entry at an index than before, in this session or an earlier one.
    Undone {
        /// The index.
        index: Index,
        /// The node.
        node: Peer,
    },
    /// Entries within a session did not have consecutive indexes.
    Order {
        /// The node.
        node: Peer,
        /// The previous index.
        before: Index,
        /// The index that followed.
        came: Index,
    },
    /// One proposal was decided at two indexes.
    Twice {
        /// The proposer and the proposal number.
        proposal: (Peer, u64),
        /// The first index.
        first: Index,
        /// The second index.
        again: Index,
    },
    /// A linearizable read did not see an entry that was decided before the read was requested.
    Stale {
        /// The reading node.
        node: Peer,
        /// The last entry the read saw.
        saw: Index,
        /// The last entry that was decided.
        decided: Index,
    },
}

impl Violation {
    /// The rule's text.
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

/// Returns the violated rules, each with its first occurrence.
pub fn check(history: &[Record]) -> Vec<Violation> {
    let mut violations = Vec::new();
    entries(history, &mut violations);
    order(history, &mut violations);
    reads(history, &mut violations);
    let mut seen = BTreeSet::new();
    violations.retain(|b| seen.insert(b.rule()));
    violations
}

fn entries(history: &[Record], violations: &mut Vec<Violation>) {
    let mut first: BTreeMap<Index, (u64, &Peer)> = BTreeMap::new();
    let mut by_node: BTreeMap<(&str, Index), u64> = BTreeMap::new();
    let mut proposals: BTreeMap<(&str, u64, u64), Index> = BTreeMap::new();
    for Record { node, what, .. } in history {
        let Observation::Entry { index, hash, by } = what else { continue };
        let own_hash = *by_node.entry((node.name.as_str(), *index)).or_insert(*hash);
        if own_hash != *hash {
            violations.push(Violation::Undone { index: *index, node: node.clone() });
            continue;
        }
        let (first_hash, one) = *first.entry(*index).or_insert((*hash, node));
        if first_hash != *hash {
            violations.push(Violation::TwoEntries { index: *index, one: one.clone(), other: node.clone() });
        }
        if let Some((by, id)) = by {
            let at = *proposals.entry((by.name.as_str(), by.session.0, *id)).or_insert(*index);
            if at != *index {
                violations.push(Violation::Twice { proposal: (by.clone(), *id), first: at, again: *index });
            }
        }
    }
}

fn order(history: &[Record], violations: &mut Vec<Violation>) {
    let mut last: BTreeMap<(&str, u64), Index> = BTreeMap::new();
    for Record { node, what, .. } in history {
        let last = last.entry((node.name.as_str(), node.session.0)).or_default();
        let (came, in_order) = match what {
            Observation::Entry { index, .. } => (*index, index.0 == last.0 + 1),
            Observation::Restored { index } => (*index, index > last),
            Observation::Read { .. } => continue,
        };
        if !in_order {
            violations.push(Violation::Order { node: node.clone(), before: *last, came });
        }
        *last = came;
    }
}

fn reads(history: &[Record], violations: &mut Vec<Violation>) {
    // The highest index that any node had output by each time.
    let mut decided_by: Vec<(u64, Index)> = history
        .iter()
        .filter_map(|r| match r.what {
            Observation::Entry { index, .. } | Observation::Restored { index } => Some((r.at_us, index)),
            Observation::Read { .. } => None,
        })
        .collect();
    decided_by.sort_unstable();
    let mut highest = Index(0);
    for (_, index) in &mut decided_by {
        highest = highest.max(*index);
        *index = highest;
    }
    for Record { node, what, .. } in history {
        let Observation::Read { asked_us, index: saw } = what else { continue };
        let before = decided_by.partition_point(|(at, _)| at < asked_us);
        let decided = before.checked_sub(1).map_or(Index(0), |i| decided_by[i].1);
        if *saw < decided {
            violations.push(Violation::Stale { node: node.clone(), saw: *saw, decided });
        }
    }
}

#[cfg(test)]
mod tests;
