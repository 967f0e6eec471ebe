//! Compares the ledgers of a site with the servers' own records, without I/O. Memory: about 300 bytes for
//! each request in the ledgers.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::record::{AttemptOutcome, Execution, FinalOutcome, Intent, KeyDigest, Record};
use crate::recovery::LocatedRecord;

/// A server's record of a request that it ran: one line of JSON in its file. Other fields are ignored.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct ServerRun {
    /// The server's name as in the server list.
    #[serde(rename = "box")]
    pub server: String,
    /// The client's id of the request.
    pub id: String,
    /// The class of the request.
    #[serde(default)]
    pub class: String,
    /// The key of the request, if it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}

/// A disagreement between the ledgers and the servers' records.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(tag = "difference", rename_all = "kebab-case")]
pub enum Difference {
    /// The request ran at a server for which no ledger has an attempt of it.
    NotInLedger {
        /// The request.
        id: String,
        /// Where it ran.
        server: String,
    },
    /// The request ran more than once, at one or several servers.
    RanTwice {
        /// The request.
        id: String,
        /// How often it ran.
        times: usize,
        /// Where it ran.
        servers: Vec<String>,
    },
    /// According to the ledger a server responded with success, but no server ran the request.
    AnsweredNeverRan {
        /// The request.
        id: String,
        /// The server of the response.
        server: String,
    },
    /// The client was told that it could safely retry, but the request ran.
    RefusedAndRan {
        /// The request.
        id: String,
        /// Where it ran.
        server: String,
    },
    /// According to the ledger the attempt cannot have run, but it did.
    ProvenNeverAndRan {
        /// The request.
        id: String,
        /// Where it ran.
        server: String,
    },
    /// The request was in flight when its node died, and ran.
    UnknownAndRan {
        /// The request.
        id: String,
        /// Where it was sent.
        server: String,
        /// The number of the intent.
        intent: u64,
    },
    /// The request was in flight when its node died, and did not run.
    UnknownAndDidNot {
        /// The request.
        id: String,
        /// Where it was to be sent.
        server: String,
        /// The number of the intent.
        intent: u64,
    },
}

impl Difference {
    /// Returns whether the death of a node explains the difference.
    pub fn is_unknown(&self) -> bool {
        matches!(self, Self::UnknownAndRan { .. } | Self::UnknownAndDidNot { .. })
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotInLedger { id, server } => {
                write!(f, "{id}: ran at {server}, but not in the ledger")
            }
            Self::RanTwice { id, times, servers } => {
                write!(f, "{id}: ran {times} times, at {}", servers.join(", "))
            }
            Self::AnsweredNeverRan { id, server } => {
                write!(f, "{id}: in the ledger as answered by {server}, but never ran")
            }
            Self::RefusedAndRan { id, server } => write!(f, "{id}: refused, but ran at {server}"),
            Self::ProvenNeverAndRan { id, server } => {
                write!(f, "{id}: the ledger proves that {server} did not run it, but it did")
            }
            Self::UnknownAndRan { id, server, intent } => {
                write!(f, "{id}: unknown, and ran at {server} (intent {intent})")
            }
            Self::UnknownAndDidNot { id, server, intent } => {
                write!(f, "{id}: unknown, and did not run at {server} (intent {intent})")
            }
        }
    }
}

#[derive(Debug)]
struct LedgerAttempt {
    /// The index of the ledger, and the intent's number in it.
    number: (usize, u64),
    segment: u64,
    seq: u64,
    server: Box<str>,
    key: Option<KeyDigest>,
    how: Option<AttemptOutcome>,
    settled: bool,
}

#[derive(Debug, Default)]
struct Request {
    attempts: Vec<LedgerAttempt>,
    told: Option<FinalOutcome>,
}

/// The contents of several ledgers, by request.
#[derive(Debug, Default)]
pub struct LedgerIndex {
    requests: BTreeMap<Box<str>, Request>,
    /// The request of each intent.
    request_ids: HashMap<(usize, u64), Box<str>>,
    /// Outcomes whose intents have not been read yet.
    early_outcomes: HashMap<(usize, u64), AttemptOutcome>,
    failed_writes: Vec<(usize, u64, u64)>,
}

impl LedgerIndex {
    /// Starts without records.
    pub fn new() -> Self {
        Self::default()
    }

    /// The number of requests.
    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    /// Adds a record of one of the ledgers, which are numbered from 0.
    pub fn add(&mut self, ledger: usize, located: &LocatedRecord) {
        match &located.record {
            Record::Intent(intent) => self.intent(ledger, intent, located),
            // The intent's own segment may have been removed.
            Record::Carried(carried) => self.intent(ledger, &carried.intent, located),
            Record::Outcome(outcome) => {
                let number = (ledger, outcome.intent);
                match self.attempt(number) {
                    Some(attempt) => attempt.how = Some(outcome.how),
                    None => {
                        self.early_outcomes.insert(number, outcome.how);
                    }
                }
            }
            Record::Settled(settled) => {
                if let Some(attempt) = self.attempt((ledger, settled.intent)) {
                    attempt.settled = true;
                }
            }
            Record::Final(last) => {
                self.requests.entry(last.id.as_str().into()).or_default().told = Some(last.told);
            }
            Record::Doubt { segment, from } => self.failed_writes.push((ledger, *segment, *from)),
            Record::Checkpoint { .. } | Record::Closed { .. } => {}
        }
    }

    fn attempt(&mut self, number: (usize, u64)) -> Option<&mut LedgerAttempt> {
        let id = self.request_ids.get(&number)?;
        self.requests.get_mut(id)?.attempts.iter_mut().find(|a| a.number == number)
    }

    fn intent(&mut self, ledger: usize, intent: &Intent, located: &LocatedRecord) {
        let number = (ledger, intent.number);
        if self.request_ids.contains_key(&number) {
            return;
        }
        let id: Box<str> = intent.id.as_str().into();
        self.request_ids.insert(number, id.clone());
        let attempt = LedgerAttempt {
            number,
            segment: located.segment.0,
            seq: located.seq,
            server: intent.server.as_str().into(),
            key: intent.key,
            how: self.early_outcomes.remove(&number),
            settled: false,
        };
        self.requests.entry(id).or_default().attempts.push(attempt);
    }

    /// Compares the servers' records with the ledgers and returns the differences in sorted order.
    pub fn compare(&self, runs: &[ServerRun]) -> Vec<Difference> {
        let mut by_id: HashMap<&str, Vec<&ServerRun>> = HashMap::new();
        let mut keys: HashSet<KeyDigest> = HashSet::new();
        for run in runs {
            by_id.entry(&run.id).or_default().push(run);
            keys.extend(run.key.as_ref().map(|key| KeyDigest::of(key.as_bytes())));
        }
        let mut differences = Vec::new();
        for (id, ran) in &by_id {
            if ran.len() > 1 {
                let servers = ran.iter().map(|run| run.server.clone()).collect();
                differences.push(Difference::RanTwice { id: id.to_string(), times: ran.len(), servers });
            }
            let request = self.requests.get(*id);
            for run in ran {
                let (id, server) = (id.to_string(), run.server.clone());
                let attempts = request.map_or(&[][..], |r| &r.attempts);
                let mut at = attempts.iter().filter(|a| *a.server == *run.server).peekable();
                if at.peek().is_none() {
                    differences.push(Difference::NotInLedger { id, server });
                } else if at.all(|a| a.how.is_some_and(|outcome| outcome.execution() == Execution::Never)) {
                    differences.push(Difference::ProvenNeverAndRan { id, server });
                } else if request.is_some_and(|r| r.told == Some(FinalOutcome::Refused)) {
                    differences.push(Difference::RefusedAndRan { id, server });
                }
            }
        }
        for (id, request) in &self.requests {
            let ran: &[&ServerRun] = by_id.get(&**id).map_or(&[], Vec::as_slice);
            // The responding server may have dropped a repeat of a request that another server ran under the
            // same key.
            let ran_under_key = |a: &LedgerAttempt| a.key.is_some_and(|key| keys.contains(&key));
            for a in &request.attempts {
                let (id, server, intent) = (id.to_string(), a.server.to_string(), a.number.1);
                let ran_there = ran.iter().any(|run| *run.server == *a.server);
                match a.how {
                    Some(AttemptOutcome::Done) if ran.is_empty() && !ran_under_key(a) => {
                        differences.push(Difference::AnsweredNeverRan { id, server });
                    }
                    Some(_) => {}
                    None if a.settled || self.was_never_confirmed(a) => {}
                    None if ran_there => differences.push(Difference::UnknownAndRan { id, server, intent }),
                    None => differences.push(Difference::UnknownAndDidNot { id, server, intent }),
                }
            }
        }
        differences.sort();
        differences
    }

    /// Returns whether the intent may be a leftover of a failed write: it was never confirmed, so its attempt
    /// was never sent.
    fn was_never_confirmed(&self, attempt: &LedgerAttempt) -> bool {
        self.failed_writes.iter().any(|(ledger, segment, from)| {
            *ledger == attempt.number.0 && *segment == attempt.segment && attempt.seq >= *from
        })
    }
}

#[cfg(test)]
mod tests;
