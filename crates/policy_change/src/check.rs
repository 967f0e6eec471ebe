//! Checks the records of all nodes against the guarantees of a policy change. Does no I/O; depends on `std`
//! and `serde` only.
//!
//! The records carry times of a single clock, the checker's. They may be passed in any order; records with
//! equal times keep the order in which they are passed.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

/// What a node did or what happened to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A request arrived at the node; requests are numbered over all nodes.
    Arrived {
        /// Number of the request.
        request: u64,
    },
    /// The node decided a request under a version: it chose a server. Recorded again for each retry.
    Decided {
        /// Number of the request.
        request: u64,
        /// The version it was decided under.
        version: u64,
    },
    /// The response to a request left the node.
    Left {
        /// Number of the request.
        request: u64,
        /// The version the request was decided under.
        version: u64,
    },
    /// The node learned that a proposal is in progress.
    Proposed {
        /// Version of the proposal.
        version: u64,
    },
    /// The node, as a member, rejected a document.
    Refused {
        /// Version of the proposal.
        version: u64,
    },
    /// The node learned how a proposal ended.
    Ended {
        /// Version of the proposal.
        version: u64,
        /// Whether the proposal took effect.
        taken: bool,
    },
    /// The node was killed, paused or cut off from the log.
    Down {
        /// Whether the node kept running (it was only cut off), so that it may finish requests it had begun.
        ran: bool,
    },
    /// The node was started, resumed or reconnected to the log.
    Back,
    /// The node reported itself ready.
    Ready {
        /// Its active version.
        version: u64,
    },
    /// The node was running at the end of the test run.
    Final {
        /// Its active version.
        version: u64,
    },
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Time in nanoseconds on the checker's clock.
    pub at: u64,
    /// Name of the node.
    pub node: String,
    /// What happened.
    pub what: Event,
}

/// A guarantee that the checker verifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// Broken when a request is decided under a document that a member rejected, or when, after the first
    /// decision under a version, a request that arrived later is decided under an older one.
    AllOrNothing,
    /// Broken when, after a response under a version left a node, a request that arrived later is decided
    /// under an older version.
    NoGoingBack,
    /// Broken when one request is decided under two versions, or answered under another than it was decided
    /// under.
    OneVersionARequest,
    /// Broken when a node that was down at the first decision under a version comes back and decides under an
    /// older one.
    StaleAfterReturn,
    /// Broken when a proposal has neither taken effect nor been aborted at the end, or not with the same
    /// result on all nodes.
    HalfTaken,
    /// Broken when a node reports itself ready with an older version after a newer one was decided under
    /// elsewhere.
    ReadyTooEarly,
}

impl Rule {
    /// The name of the rule, as reports show it.
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

/// One breach of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// The rule that was broken.
    pub rule: Rule,
    /// Time in nanoseconds on the checker's clock.
    pub at: u64,
    /// The node and what it did, for the report.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {:.3} s: {}", self.rule.name(), self.at as f64 / 1e9, self.what)
    }
}

/// The times at which successive newest versions began, as (time, version), for a fast lookup of the newest
/// version that had begun before a given time.
#[derive(Default)]
struct NewestVersions(Vec<(u64, u64)>);

impl NewestVersions {
    /// Records that `version` began at `at`; times must not decrease.
    fn add(&mut self, at: u64, version: u64) {
        if self.0.last().is_none_or(|&(_, newest)| version > newest) {
            self.0.push((at, version));
        }
    }

    /// The newest version that had begun strictly before `at`.
    fn before(&self, at: u64) -> u64 {
        let n = self.0.partition_point(|&(start, _)| start < at);
        n.checked_sub(1).map_or(0, |i| self.0[i].1)
    }
}

struct RequestState {
    arrived: u64,
    version: Option<u64>,
}

#[derive(Default)]
struct NodeState {
    /// Since when the node is down, and whether it has kept running.
    down: Option<(u64, bool)>,
    /// Past downtimes: start, end, and whether the node kept running.
    downtimes: Vec<(u64, u64, bool)>,
}

/// Returns all breaches in these records: first those found at single records, in the order of time, then
/// those that only the whole run shows.
pub fn check(records: &[Record]) -> Vec<Breach> {
    let mut records: Vec<&Record> = records.iter().collect();
    records.sort_by_key(|r| r.at);
    let mut breaches = Vec::new();
    let (mut decided, mut answered) = (NewestVersions::default(), NewestVersions::default());
    let mut first_decided: BTreeMap<u64, (u64, String)> = BTreeMap::new();
    let mut rejected: BTreeMap<u64, (u64, String)> = BTreeMap::new();
    let mut requests: BTreeMap<u64, RequestState> = BTreeMap::new();
    let mut nodes: BTreeMap<&str, NodeState> = BTreeMap::new();
    let mut proposed: BTreeSet<u64> = BTreeSet::new();
    let mut ended: BTreeMap<u64, BTreeMap<bool, String>> = BTreeMap::new();
    let mut finals: BTreeMap<u64, String> = BTreeMap::new();
    let end = records.last().map_or(0, |r| r.at);

    for Record { at, node, what } in records {
        let mut breach = |rule, what| breaches.push(Breach { rule, at: *at, what });
        let state = nodes.entry(node).or_default();
        match *what {
            Event::Arrived { request } => {
                requests.insert(request, RequestState { arrived: *at, version: None });
            }
            Event::Decided { request, version } => {
                let known = requests.entry(request).or_insert(RequestState { arrived: *at, version: None });
                if known.version.is_some_and(|v| v != version) {
                    let earlier = known.version.unwrap_or_default();
                    breach(
                        Rule::OneVersionARequest,
                        format!("{node} decided request {request} under {version} after {earlier}"),
                    );
                }
                known.version = Some(version);
                let arrived = known.arrived;
                let describe = |newer: u64, what: &str| {
                    format!(
                        "{node} decided request {request} (arrived {:.3} s) under {version}, {newer} {what}",
                        arrived as f64 / 1e9
                    )
                };
                let newest = decided.before(arrived);
                if newest > version {
                    breach(Rule::AllOrNothing, describe(newest, "had been decided under"));
                }
                let newest_answered = answered.before(arrived);
                if newest_answered > version {
                    breach(Rule::NoGoingBack, describe(newest_answered, "had left a node"));
                }
                for &(from, to, ran) in &state.downtimes {
                    // A node that kept running may finish requests it had begun before; a paused or killed
                    // one may not decide anything under an older version.
                    let newest = decided.before(to);
                    if newest > version && newest > decided.before(from) && (!ran || arrived >= to) {
                        breach(Rule::StaleAfterReturn, describe(newest, "took hold while it was down"));
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
                answered.add(*at, version);
            }
            Event::Proposed { version } => {
                proposed.insert(version);
            }
            Event::Refused { version } => {
                rejected.entry(version).or_insert((*at, node.clone()));
            }
            Event::Ended { version, taken } => {
                ended.entry(version).or_default().entry(taken).or_insert_with(|| node.clone());
            }
            Event::Down { ran } => {
                // A node that was cut off and then paused as well is down from the first event on and did not
                // run throughout.
                state.down = match state.down {
                    Some((from, ran_before)) => Some((from, ran_before && ran)),
                    None => Some((*at, ran)),
                };
            }
            Event::Back => {
                if let Some((from, ran)) = state.down.take() {
                    state.downtimes.push((from, *at, ran));
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

    for (version, (at, node)) in &rejected {
        if let Some((first, by)) = first_decided.get(version) {
            breaches.push(Breach {
                rule: Rule::AllOrNothing,
                at: *first.max(at),
                what: format!("{by} decided under {version}, which {node} had refused"),
            });
        }
    }
    let mut half_taken = |what| breaches.push(Breach { rule: Rule::HalfTaken, at: end, what });
    for version in &proposed {
        if !ended.contains_key(version) {
            half_taken(format!("proposal {version} is neither taken nor aborted"));
        }
    }
    for (version, results) in &ended {
        if let (Some(taken), Some(aborted)) = (results.get(&true), results.get(&false)) {
            half_taken(format!("proposal {version} was taken by {taken} and aborted by {aborted}"));
        }
        if let (false, Some((_, by))) = (results.contains_key(&true), first_decided.get(version)) {
            half_taken(format!("proposal {version} was aborted, and {by} decided under it"));
        }
    }
    if finals.len() > 1 {
        half_taken(format!("at the end: {}", describe_finals(&finals)));
    }
    breaches
}

fn describe_finals(finals: &BTreeMap<u64, String>) -> String {
    finals.iter().map(|(version, node)| format!("{node} at {version}")).collect::<Vec<_>>().join(", ")
}

#[cfg(test)]
mod tests;
