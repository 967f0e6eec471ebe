//! Holds the records of all nodes against what a change of policy promises. Pure; `std` and `serde` alone.
//!
//! The records carry times of one clock, the checker's. Nodes may be written down in any order; records of one time stay
//! in the order they are handed over.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

/// What a node did or what befell it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A request came to it; requests are numbered over all nodes.
    Arrived {
        /// Which.
        request: u64,
    },
    /// It decided (chose a server for, again for each retry) a request under a version.
    Decided {
        /// Which.
        request: u64,
        /// Under which version.
        version: u64,
    },
    /// The answer to a request left it.
    Left {
        /// Which.
        request: u64,
        /// Under which version it was decided.
        version: u64,
    },
    /// It learnt that a proposal is under way.
    Proposed {
        /// Which.
        version: u64,
    },
    /// As a counted member, its check refused a document.
    Refused {
        /// Which.
        version: u64,
    },
    /// It learnt how a proposal ended.
    Ended {
        /// Which.
        version: u64,
        /// Whether it was taken.
        taken: bool,
    },
    /// It was killed, stopped or cut off from the log.
    Down {
        /// Cut off: it ran on, so that what it had begun may be finished.
        ran: bool,
    },
    /// It was started, or ran again, or had the log again.
    Back,
    /// It said that it is ready, with this version active.
    Ready {
        /// Which.
        version: u64,
    },
    /// The run is over and it runs, with this version active.
    Final {
        /// Which.
        version: u64,
    },
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// When, in nanoseconds of the checker's clock.
    pub at: u64,
    /// Which node, by name.
    pub node: String,
    /// What.
    pub what: Event,
}

/// What was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// A document that a counted member refused was decided under; or, after the first decision under a version, a request
    /// that arrived later was decided under an older one.
    AllOrNothing,
    /// After an answer under a version had left a node, a request that arrived later was decided under an older one.
    NoGoingBack,
    /// One request was decided under two versions, or answered under another than it was decided under.
    OneVersionARequest,
    /// A node that was down when a version was first decided under came back and decided under an older one.
    StaleAfterReturn,
    /// A proposal that is neither taken nor aborted at the end, or not the same at all nodes.
    HalfTaken,
    /// A node said that it was ready with an older version after one had been decided under elsewhere.
    ReadyTooEarly,
}

impl Rule {
    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Self::AllOrNothing => "all-or-nothing",
            Self::NoGoingBack => "no-going-back",
            Self::OneVersionARequest => "one-version-a-request",
            Self::StaleAfterReturn => "stale-after-return",
            Self::HalfTaken => "half-taken",
            Self::ReadyTooEarly => "ready-too-early",
        }
    }
}

/// One breach.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Of which rule.
    pub rule: Rule,
    /// When, in nanoseconds of the checker's clock.
    pub at: u64,
    /// Who did what.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {:.3} s: {}", self.rule.name(), self.at as f64 / 1e9, self.what)
    }
}

/// The times at which versions began, so that "the newest that had begun before t" is one look.
#[derive(Default)]
struct Newest(Vec<(u64, u64)>);

impl Newest {
    /// `version` began at `at`; times never go back.
    fn add(&mut self, at: u64, version: u64) {
        if self.0.last().is_none_or(|&(_, newest)| version > newest) {
            self.0.push((at, version));
        }
    }

    /// The newest version that had begun strictly before `at`.
    fn before(&self, at: u64) -> u64 {
        let n = self.0.partition_point(|&(begun, _)| begun < at);
        n.checked_sub(1).map_or(0, |i| self.0[i].1)
    }
}

struct Request {
    arrived: u64,
    version: Option<u64>,
}

#[derive(Default)]
struct Node {
    /// Down since, and whether it ran on.
    down: Option<(u64, bool)>,
    /// EndedProposal times down: from, to, whether it ran on.
    gaps: Vec<(u64, u64, bool)>,
}

/// All breaches in these records; none is what is wanted.
pub fn check(records: &[Record]) -> Vec<Breach> {
    let mut records: Vec<&Record> = records.iter().collect();
    records.sort_by_key(|r| r.at);
    let mut out = Vec::new();
    let (mut decided, mut left) = (Newest::default(), Newest::default());
    let mut first_decided: BTreeMap<u64, (u64, String)> = BTreeMap::new();
    let mut refused: BTreeMap<u64, (u64, String)> = BTreeMap::new();
    let mut requests: BTreeMap<u64, Request> = BTreeMap::new();
    let mut nodes: BTreeMap<&str, Node> = BTreeMap::new();
    let mut proposed: BTreeSet<u64> = BTreeSet::new();
    let mut ended: BTreeMap<u64, BTreeMap<bool, String>> = BTreeMap::new();
    let mut finals: BTreeMap<u64, String> = BTreeMap::new();
    let end = records.last().map_or(0, |r| r.at);

    for Record { at, node, what } in records {
        let mut breach = |rule, what| out.push(Breach { rule, at: *at, what });
        let state = nodes.entry(node).or_default();
        match *what {
            Event::Arrived { request } => {
                requests.insert(request, Request { arrived: *at, version: None });
            }
            Event::Decided { request, version } => {
                let known = requests.entry(request).or_insert(Request { arrived: *at, version: None });
                if known.version.is_some_and(|v| v != version) {
                    let was = known.version.unwrap_or_default();
                    breach(
                        Rule::OneVersionARequest,
                        format!("{node} decided request {request} under {version} after {was}"),
                    );
                }
                known.version = Some(version);
                let arrived = known.arrived;
                let says = |than: u64, how: &str| {
                    format!(
                        "{node} decided request {request} (arrived {:.3} s) under {version}, {than} {how}",
                        arrived as f64 / 1e9
                    )
                };
                let newest = decided.before(arrived);
                if newest > version {
                    breach(Rule::AllOrNothing, says(newest, "had been decided under"));
                }
                let gone = left.before(arrived);
                if gone > version {
                    breach(Rule::NoGoingBack, says(gone, "had left a node"));
                }
                for &(from, to, ran) in &state.gaps {
                    // What a node that ran on had begun before may be finished; a stopped one decides nothing old.
                    let before = decided.before(to);
                    if before > version && before > decided.before(from) && (!ran || arrived >= to) {
                        breach(Rule::StaleAfterReturn, says(before, "took hold while it was down"));
                        break;
                    }
                }
                decided.add(*at, version);
                first_decided.entry(version).or_insert((*at, node.clone()));
            }
            Event::Left { request, version } => {
                if requests.get(&request).is_some_and(|r| r.version.is_some_and(|v| v != version)) {
                    breach(
                        Rule::OneVersionARequest,
                        format!("{node} answered request {request} under {version}, decided under another"),
                    );
                }
                left.add(*at, version);
            }
            Event::Proposed { version } => {
                proposed.insert(version);
            }
            Event::Refused { version } => {
                refused.entry(version).or_insert((*at, node.clone()));
            }
            Event::Ended { version, taken } => {
                ended.entry(version).or_default().entry(taken).or_insert_with(|| node.clone());
            }
            Event::Down { ran } => {
                // Cut off and then stopped as well: from the first on, and it did not run all the while.
                state.down = match state.down {
                    Some((from, ran_before)) => Some((from, ran_before && ran)),
                    None => Some((*at, ran)),
                };
            }
            Event::Back => {
                if let Some((from, ran)) = state.down.take() {
                    state.gaps.push((from, *at, ran));
                }
            }
            Event::Ready { version } => {
                let newest = decided.before(*at);
                if newest > version {
                    breach(
                        Rule::ReadyTooEarly,
                        format!("{node} was ready with {version}, {newest} had been decided under"),
                    );
                }
            }
            Event::Final { version } => {
                finals.entry(version).or_insert_with(|| node.clone());
            }
        }
    }

    for (version, (at, node)) in &refused {
        if let Some((first, by)) = first_decided.get(version) {
            out.push(Breach {
                rule: Rule::AllOrNothing,
                at: *first.max(at),
                what: format!("{by} decided under {version}, which {node} had refused"),
            });
        }
    }
    let mut half = |what| out.push(Breach { rule: Rule::HalfTaken, at: end, what });
    for version in &proposed {
        if !ended.contains_key(version) {
            half(format!("proposal {version} is neither taken nor aborted"));
        }
    }
    for (version, fates) in &ended {
        if let (Some(taken), Some(aborted)) = (fates.get(&true), fates.get(&false)) {
            half(format!("proposal {version} was taken by {taken} and aborted by {aborted}"));
        }
        if let (false, Some((_, by))) = (fates.contains_key(&true), first_decided.get(version)) {
            half(format!("proposal {version} was aborted, and {by} decided under it"));
        }
    }
    if finals.len() > 1 {
        half(format!("at the end: {}", list(&finals)));
    }
    out
}

fn list(finals: &BTreeMap<u64, String>) -> String {
    finals.iter().map(|(version, node)| format!("{node} at {version}")).collect::<Vec<_>>().join(", ")
}

#[cfg(test)]
mod tests;
