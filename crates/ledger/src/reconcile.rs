//! The ledgers of a site against the servers' own records, pure. It holds an entry for each request that the ledgers name,
//! about 300 bytes.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::record::{AttemptOutcome, Execution, FinalOutcome, Intent, KeyDigest, Record};
use crate::recovery::LocatedRecord;

/// A server's record of a request that it ran: a line of JSON in its file. Fields that are not named here are passed over.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct ServerRun {
    /// The server's name, as the list has it.
    #[serde(rename = "box")]
    pub server: String,
    /// The client's id of the request.
    pub id: String,
    /// Its class.
    #[serde(default)]
    pub class: String,
    /// Its key, where it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}

/// Something that does not agree.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(tag = "difference", rename_all = "kebab-case")]
pub enum Difference {
    /// It ran at a server that no ledger names for it.
    NotInLedger {
        /// The request.
        id: String,
        /// Where it ran.
        server: String,
    },
    /// A server ran it more than once, or several did.
    RanTwice {
        /// The request.
        id: String,
        /// How often.
        times: usize,
        /// Where.
        servers: Vec<String>,
    },
    /// The ledger says that a server served it, and none has run it.
    AnsweredNeverRan {
        /// The request.
        id: String,
        /// The server of the answer.
        server: String,
    },
    /// Its client was told that it could harmlessly ask again, and it ran.
    RefusedAndRan {
        /// The request.
        id: String,
        /// Where it ran.
        server: String,
    },
    /// The ledger says of an attempt that it can't have run, and it did.
    ProvenNeverAndRan {
        /// The request.
        id: String,
        /// Where it ran.
        server: String,
    },
    /// It was out when its node died, and ran.
    UnknownAndRan {
        /// The request.
        id: String,
        /// Where it was sent.
        server: String,
        /// Which intent.
        intent: u64,
    },
    /// It was out when its node died, and did not run.
    UnknownAndDidNot {
        /// The request.
        id: String,
        /// Where it was to be sent.
        server: String,
        /// Which intent.
        intent: u64,
    },
}

impl Difference {
    /// Is this what a node's death explains?
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
    /// Which of the ledgers, and its number there.
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

/// All that ledgers say, by request.
#[derive(Debug, Default)]
pub struct LedgerIndex {
    requests: BTreeMap<Box<str>, Request>,
    /// Whose an intent is.
    numbers: HashMap<(usize, u64), Box<str>>,
    /// Outcomes whose intents have not been seen yet.
    early: HashMap<(usize, u64), AttemptOutcome>,
    doubts: Vec<(usize, u64, u64)>,
}

impl LedgerIndex {
    /// Nothing is noted.
    pub fn new() -> Self {
        Self::default()
    }

    /// How many requests there are.
    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    /// Takes a record of one of the ledgers, counted from 0.
    pub fn add(&mut self, ledger: usize, seen: &LocatedRecord) {
        match &seen.record {
            Record::Intent(intent) => self.intent(ledger, intent, seen),
            // Of a segment that is not there any more.
            Record::Carried(carried) => self.intent(ledger, &carried.intent, seen),
            Record::Outcome(outcome) => {
                let number = (ledger, outcome.intent);
                match self.attempt(number) {
                    Some(attempt) => attempt.how = Some(outcome.how),
                    None => {
                        self.early.insert(number, outcome.how);
                    }
                }
            }
            Record::Settled(settled) => {
                if let Some(attempt) = self.attempt((ledger, settled.intent)) {
                    attempt.settled = true;
                }
            }
            Record::Final(told) => {
                self.requests.entry(told.id.as_str().into()).or_default().told = Some(told.told);
            }
            Record::Doubt { segment, from } => self.doubts.push((ledger, *segment, *from)),
            Record::Checkpoint { .. } | Record::Closed { .. } => {}
        }
    }

    fn attempt(&mut self, number: (usize, u64)) -> Option<&mut LedgerAttempt> {
        let id = self.numbers.get(&number)?;
        self.requests.get_mut(id)?.attempts.iter_mut().find(|a| a.number == number)
    }

    fn intent(&mut self, ledger: usize, intent: &Intent, seen: &LocatedRecord) {
        let number = (ledger, intent.number);
        if self.numbers.contains_key(&number) {
            return;
        }
        let id: Box<str> = intent.id.as_str().into();
        self.numbers.insert(number, id.clone());
        let noted = LedgerAttempt {
            number,
            segment: seen.segment.0,
            seq: seen.seq,
            server: intent.server.as_str().into(),
            key: intent.key,
            how: self.early.remove(&number),
            settled: false,
        };
        self.requests.entry(id).or_default().attempts.push(noted);
    }

    /// Holds the servers' records against the ledgers: each difference, in an order of its own.
    pub fn compare(&self, runs: &[ServerRun]) -> Vec<Difference> {
        let mut by_id: HashMap<&str, Vec<&ServerRun>> = HashMap::new();
        let mut keys: HashSet<KeyDigest> = HashSet::new();
        for run in runs {
            by_id.entry(&run.id).or_default().push(run);
            keys.extend(run.key.as_ref().map(|key| KeyDigest::of(key.as_bytes())));
        }
        let mut all = Vec::new();
        for (id, ran) in &by_id {
            if ran.len() > 1 {
                let servers = ran.iter().map(|run| run.server.clone()).collect();
                all.push(Difference::RanTwice { id: id.to_string(), times: ran.len(), servers });
            }
            let request = self.requests.get(*id);
            for run in ran {
                let (id, server) = (id.to_string(), run.server.clone());
                let attempts = request.map_or(&[][..], |r| &r.attempts);
                let mut at = attempts.iter().filter(|a| *a.server == *run.server).peekable();
                if at.peek().is_none() {
                    all.push(Difference::NotInLedger { id, server });
                } else if at.all(|a| a.how.is_some_and(|how| how.execution() == Execution::Never)) {
                    all.push(Difference::ProvenNeverAndRan { id, server });
                } else if request.is_some_and(|r| r.told == Some(FinalOutcome::Refused)) {
                    all.push(Difference::RefusedAndRan { id, server });
                }
            }
        }
        for (id, request) in &self.requests {
            let ran: &[&ServerRun] = by_id.get(&**id).map_or(&[], Vec::as_slice);
            // The server of an answer may have dropped a repeat of what another ran.
            let by_key = |a: &LedgerAttempt| a.key.is_some_and(|key| keys.contains(&key));
            for a in &request.attempts {
                let (id, server, intent) = (id.to_string(), a.server.to_string(), a.number.1);
                let ran_there = ran.iter().any(|run| *run.server == *a.server);
                match a.how {
                    Some(AttemptOutcome::Done) if ran.is_empty() && !by_key(a) => {
                        all.push(Difference::AnsweredNeverRan { id, server });
                    }
                    Some(_) => {}
                    None if a.settled || self.never_promised(a) => {}
                    None if ran_there => all.push(Difference::UnknownAndRan { id, server, intent }),
                    None => all.push(Difference::UnknownAndDidNot { id, server, intent }),
                }
            }
        }
        all.sort();
        all
    }

    /// An intent that a failed write may have left behind was never sent.
    fn never_promised(&self, noted: &LedgerAttempt) -> bool {
        self.doubts.iter().any(|(ledger, segment, from)| {
            *ledger == noted.number.0 && *segment == noted.segment && noted.seq >= *from
        })
    }
}

#[cfg(test)]
mod tests;
