//! The requests that are open or have attempts in flight.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::rc::Rc;
use std::time::{Duration, Instant};

use magpietally_ledger::{FinalOutcome, RepeatRule};
use magpietally_policy::{Millis, Outcome, RequestId, ServerId};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use crate::clock::ms;
use crate::open_ids::OpenIds;
use crate::servers::ServerTable;
use crate::upstream::Payload;

/// The final answer of a request.
#[derive(Debug)]
pub enum Answer<Reply> {
    /// A server's response.
    Served(Reply),
    /// Refused; the client can safely retry after this time.
    Refused(Millis),
    /// Failed.
    Failed,
    /// The server found the request itself to be invalid.
    Rejected,
}

impl<Reply> Answer<Reply> {
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Served(_) => "served",
            Self::Refused(_) => "refused",
            Self::Failed => "failed",
            Self::Rejected => "rejected",
        }
    }

    pub(crate) fn final_outcome(&self) -> FinalOutcome {
        match self {
            Self::Served(_) => FinalOutcome::Served,
            Self::Refused(_) => FinalOutcome::Refused,
            Self::Failed => FinalOutcome::Failed,
            Self::Rejected => FinalOutcome::Rejected,
        }
    }
}

/// A complete request, as a front end has read it.
#[derive(Clone, Debug)]
pub struct ClientRequest<Request> {
    /// The client's id for the request, unique among the open requests.
    pub id: String,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: Option<usize>,
    /// What is sent to a server.
    pub request: Request,
}

/// A request that is open or has attempts in flight.
pub(crate) struct OpenRequest<Request, Reply> {
    pub(crate) id: String,
    pub(crate) class: usize,
    pub(crate) tenant: Option<usize>,
    /// The version of the policy under which it is decided.
    pub(crate) epoch: u64,
    /// When it was admitted, by the clock of admission control.
    pub(crate) admitted_at: Duration,
    /// The number of the decision module that decides it.
    pub(crate) module: u64,
    pub(crate) request: Rc<Request>,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    /// Sends the final answer; `None` once it has been sent or is no longer needed.
    pub(crate) answer: Option<oneshot::Sender<Answer<Reply>>>,
    pub(crate) attempts: Vec<Attempt>,
}

impl<Request: Payload, Reply> OpenRequest<Request, Reply> {
    /// Returns whether each of its attempts certainly did not run.
    pub(crate) fn never_ran(&self) -> bool {
        !self.request.may_be_whole()
            || self.attempts.iter().all(|attempt| !attempt.written || attempt.never_ran())
    }

    /// Until when servers still recognize a repeat by its idempotency key. The time starts with the first
    /// attempt that may have run.
    pub(crate) fn deduplicated_until(&self, right: RepeatRule) -> Option<Instant> {
        let RepeatRule::Keyed { span_us, .. } = right else { return None };
        let first = self.attempts.iter().find(|a| !a.never_ran())?.sent;
        // A span too long for the clock never ends.
        first.checked_add(Duration::from_micros(span_us))
    }
}

/// An attempt's intent in the ledger.
#[derive(Clone, Copy)]
pub(crate) struct Intent {
    pub(crate) number: u64,
    /// Whether the ledger has confirmed the intent, so that the attempt may be sent. Before that, nothing has
    /// run.
    pub(crate) confirmed: bool,
}

pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) sent: Instant,
    /// Its task; `None` once it has ended.
    pub(crate) task: Option<AbortHandle>,
    /// Its intent in the ledger.
    pub(crate) intent: Option<Intent>,
    /// Whether the transport was allowed to write it: before that it can't have run.
    pub(crate) written: bool,
    /// Its outcome, its duration, and for how long its connection had been idle before; for the log.
    pub(crate) ended: Option<(Outcome, Duration, Option<Duration>)>,
}

impl Attempt {
    /// Returns whether it has ended and certainly did not run.
    pub(crate) fn never_ran(&self) -> bool {
        self.ended.is_some_and(|(outcome, ..)| outcome.never_ran())
    }
}

/// Answers and attempts since the last status line.
#[derive(Default)]
pub(crate) struct StatusCounts {
    pub(crate) served: u32,
    pub(crate) refused: u32,
    pub(crate) failed: u32,
    pub(crate) gone: u32,
    pub(crate) attempts: BTreeMap<Outcome, u32>,
}

impl StatusCounts {
    pub(crate) fn count_answer<Reply>(&mut self, answer: &Answer<Reply>) {
        let count = match answer {
            Answer::Served(_) => &mut self.served,
            Answer::Refused(_) => &mut self.refused,
            Answer::Failed | Answer::Rejected => &mut self.failed,
        };
        *count += 1;
    }

    pub(crate) fn count_attempt(&mut self, outcome: Outcome) {
        *self.attempts.entry(outcome).or_default() += 1;
    }
}

/// All requests of a node.
pub(crate) struct RequestTable<Request, Reply> {
    open: HashMap<RequestId, OpenRequest<Request, Reply>>,
    /// The clients' ids of the requests that await their answer, of this worker and the others.
    ids: OpenIds,
    last: u64,
}

/// Closes the ids of the open requests, so that clients can reuse them after this worker has died.
impl<Request, Reply> Drop for RequestTable<Request, Reply> {
    fn drop(&mut self) {
        for open in self.open.values().filter(|open| open.answer.is_some()) {
            self.ids.close(&open.id);
        }
    }
}

impl<Request: Payload, Reply> RequestTable<Request, Reply> {
    /// Creates an empty table; the ids may be shared with other tables.
    pub(crate) fn new(ids: OpenIds) -> Self {
        Self { open: HashMap::new(), ids, last: 0 }
    }

    /// The number of the last confirmed intent of a request.
    pub(crate) fn last_intent(&self, id: RequestId) -> Option<u64> {
        let attempts = &self.open.get(&id)?.attempts;
        attempts.iter().rev().filter_map(|a| a.intent).find(|i| i.confirmed).map(|i| i.number)
    }

    /// Adds a request; returns `None` if one with the same id awaits its answer.
    pub(crate) fn insert(
        &mut self,
        request: ClientRequest<Request>,
        deadline: Instant,
        answer: oneshot::Sender<Answer<Reply>>,
    ) -> Option<RequestId> {
        let ClientRequest { id, class, tenant, request } = request;
        if !self.ids.open(&id) {
            return None;
        }
        self.last += 1;
        let number = RequestId(self.last);
        let (request, arrived) = (Rc::new(request), Instant::now());
        let open = OpenRequest {
            id,
            class,
            tenant,
            epoch: 0,
            admitted_at: Duration::ZERO,
            module: 0,
            request,
            arrived,
            deadline,
            answer: Some(answer),
            attempts: Vec::new(),
        };
        self.open.insert(number, open);
        Some(number)
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&OpenRequest<Request, Reply>> {
        self.open.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest<Request, Reply>> {
        self.open.get_mut(&id)
    }

    /// Takes the sender of the final answer. From now on the request needs no answer and its id may be
    /// reused.
    pub(crate) fn close(&mut self, id: RequestId) -> Option<oneshot::Sender<Answer<Reply>>> {
        let open = self.open.get_mut(&id)?;
        let sender = open.answer.take()?;
        self.ids.close(&open.id);
        Some(sender)
    }

    /// Removes a request that has its answer and no attempt in flight.
    pub(crate) fn remove_if_finished(&mut self, id: RequestId) {
        let finished = |r: &OpenRequest<Request, Reply>| {
            r.answer.is_none() && r.attempts.iter().all(|a| a.task.is_none())
        };
        if self.open.get(&id).is_some_and(finished) {
            self.open.remove(&id);
        }
    }

    /// Removes a request that was not admitted; its id may be reused.
    pub(crate) fn withdraw(&mut self, id: RequestId) {
        if let Some(open) = self.open.remove(&id) {
            self.ids.close(&open.id);
        }
    }

    /// Returns whether a decision module has any request left.
    pub(crate) fn has_requests_of(&self, module: u64) -> bool {
        self.open.values().any(|open| open.module == module)
    }

    /// The number of requests that are open or have attempts in flight.
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    /// The number of requests that await their final answer.
    pub(crate) fn unanswered(&self) -> usize {
        self.open.values().filter(|r| r.answer.is_some()).count()
    }

    /// The ids of all requests, in order of arrival.
    pub(crate) fn ids_by_arrival(&self) -> Vec<RequestId> {
        let mut all: Vec<RequestId> = self.open.keys().copied().collect();
        all.sort_unstable();
        all
    }
}

/// A log line about a request, from its arrival to its answer.
pub(crate) fn log_line<Request: Payload, Reply>(
    open: &OpenRequest<Request, Reply>,
    servers: &ServerTable,
    (classes, tenants): (&[String], &[String]),
    end: &str,
) -> String {
    let class = classes.get(open.class).map_or("?", String::as_str);
    let tenant = open.tenant.and_then(|t| tenants.get(t)).map_or("?", String::as_str);
    let left = ms(open.deadline.saturating_duration_since(open.arrived));
    let mut line = format!("{} {class} of {tenant}, ", open.id);
    // Writing to a string can't fail.
    let _ = open.request.describe(&mut line);
    let _ = write!(line, ", {left:.0} ms left: {end} after {:.1} ms", ms(open.arrived.elapsed()));
    for a in &open.attempts {
        let name = servers.name(a.server).unwrap_or("gone");
        let at = ms(a.sent.saturating_duration_since(open.arrived));
        let _ = match a.ended {
            Some((outcome, took, idle_before)) => {
                let connection =
                    idle_before.map_or("new".to_string(), |idle| format!("idle {:.0} ms", ms(idle)));
                write!(line, "; at {at:.1} to {name} ({connection}): {outcome:?} after {:.1} ms", ms(took))
            }
            None => write!(line, "; at {at:.1} to {name}: out"),
        };
    }
    line
}
