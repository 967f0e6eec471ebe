//! The requests that are open or have attempts out.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::rc::Rc;
use std::time::{Duration, Instant};

use magpietally_ledger::{Right, Told};
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
    /// A server's answer.
    Served(Reply),
    /// Refused: trying again is harmless, after this time.
    Refused(Millis),
    /// Failed.
    Failed,
    /// The server finds the request itself bad.
    Rejected,
}

impl<Reply> Answer<Reply> {
    pub(crate) fn word(&self) -> &'static str {
        match self {
            Self::Served(_) => "served",
            Self::Refused(_) => "refused",
            Self::Failed => "failed",
            Self::Rejected => "rejected",
        }
    }

    pub(crate) fn told(&self) -> Told {
        match self {
            Self::Served(_) => Told::Served,
            Self::Refused(_) => Told::Refused,
            Self::Failed => Told::Failed,
            Self::Rejected => Told::Rejected,
        }
    }
}

/// A whole request, as a front read it.
#[derive(Clone, Debug)]
pub struct ClientRequest<Request> {
    /// The client's id for it; two that are open at once may not share one.
    pub id: String,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: Option<usize>,
    /// What goes to a server.
    pub request: Request,
}

/// A request that is open, or has attempts out.
pub(crate) struct Open<Request, Reply> {
    pub(crate) id: String,
    pub(crate) class: usize,
    pub(crate) tenant: Option<usize>,
    /// The version of the policy that it is decided under.
    pub(crate) epoch: u64,
    /// When the gate took it, by the gate's clock.
    pub(crate) taken: Duration,
    /// The module that decides it.
    pub(crate) module: u64,
    pub(crate) request: Rc<Request>,
    pub(crate) came: Instant,
    pub(crate) deadline: Instant,
    /// Where the final answer goes; taken when there is one, or when none is owed any more.
    pub(crate) answer: Option<oneshot::Sender<Answer<Reply>>>,
    pub(crate) attempts: Vec<Attempt>,
}

impl<Request, Reply> Open<Request, Reply> {
    /// Until when a repeat is known as one: the time for its key begins with the first attempt that may have run.
    pub(crate) fn known_until(&self, right: Right) -> Option<Instant> {
        let Right::Keyed { span_us, .. } = right else { return None };
        let first = self.attempts.iter().find(|a| !a.never_ran())?.sent;
        // A span beyond what the clock can tell has no end.
        first.checked_add(Duration::from_micros(span_us))
    }
}

/// An attempt's intent in the ledger.
#[derive(Clone, Copy)]
pub(crate) struct Intent {
    pub(crate) number: u64,
    /// The attempt may go out. One that never may has proven that nothing ran.
    pub(crate) promised: bool,
}

pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) sent: Instant,
    /// `None` once it has ended.
    pub(crate) task: Option<AbortHandle>,
    /// Its intent in the ledger.
    pub(crate) intent: Option<Intent>,
    /// How it ended, after which time, and for how long its connection had been idle before; for the log.
    pub(crate) ended: Option<(Outcome, Duration, Option<Duration>)>,
}

impl Attempt {
    /// Has it ended, and is it known that nothing of it ran?
    pub(crate) fn never_ran(&self) -> bool {
        self.ended.is_some_and(|(outcome, ..)| outcome.never_ran())
    }
}

/// How many answers, attempts and events there have been since the last line of the log told of them.
#[derive(Default)]
pub(crate) struct Counts {
    pub(crate) served: u32,
    pub(crate) refused: u32,
    pub(crate) failed: u32,
    pub(crate) gone: u32,
    pub(crate) attempts: BTreeMap<Outcome, u32>,
}

impl Counts {
    pub(crate) fn answered<Reply>(&mut self, answer: &Answer<Reply>) {
        let count = match answer {
            Answer::Served(_) => &mut self.served,
            Answer::Refused(_) => &mut self.refused,
            Answer::Failed | Answer::Rejected => &mut self.failed,
        };
        *count += 1;
    }

    pub(crate) fn ended(&mut self, outcome: Outcome) {
        *self.attempts.entry(outcome).or_default() += 1;
    }
}

/// All requests of a node.
pub(crate) struct Table<Request, Reply> {
    open: HashMap<RequestId, Open<Request, Reply>>,
    /// The clients' ids of those that still await their answer, here and at other workers.
    ids: OpenIds,
    last: u64,
}

/// A worker that dies takes its requests with it: their ids may come again.
impl<Request, Reply> Drop for Table<Request, Reply> {
    fn drop(&mut self) {
        for open in self.open.values().filter(|open| open.answer.is_some()) {
            self.ids.close(&open.id);
        }
    }
}

impl<Request: Payload, Reply> Table<Request, Reply> {
    /// No requests; the ids may be shared with other tables.
    pub(crate) fn new(ids: OpenIds) -> Self {
        Self { open: HashMap::new(), ids, last: 0 }
    }

    /// The last intent of a request that was promised.
    pub(crate) fn last_intent(&self, id: RequestId) -> Option<u64> {
        let attempts = &self.open.get(&id)?.attempts;
        attempts.iter().rev().filter_map(|a| a.intent).find(|i| i.promised).map(|i| i.number)
    }

    /// Enters a request; `None` where one with its id awaits its answer.
    pub(crate) fn enter(
        &mut self,
        asked: ClientRequest<Request>,
        deadline: Instant,
        answer: oneshot::Sender<Answer<Reply>>,
    ) -> Option<RequestId> {
        let ClientRequest { id, class, tenant, request } = asked;
        if !self.ids.open(&id) {
            return None;
        }
        self.last += 1;
        let number = RequestId(self.last);
        let (request, came) = (Rc::new(request), Instant::now());
        let open = Open {
            id,
            class,
            tenant,
            epoch: 0,
            taken: Duration::ZERO,
            module: 0,
            request,
            came,
            deadline,
            answer: Some(answer),
            attempts: Vec::new(),
        };
        self.open.insert(number, open);
        Some(number)
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&Open<Request, Reply>> {
        self.open.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut Open<Request, Reply>> {
        self.open.get_mut(&id)
    }

    /// Takes the way to the client: from now on nothing is owed, and its id may come again.
    pub(crate) fn close(&mut self, id: RequestId) -> Option<oneshot::Sender<Answer<Reply>>> {
        let open = self.open.get_mut(&id)?;
        let to = open.answer.take()?;
        self.ids.close(&open.id);
        Some(to)
    }

    /// Forgets a request that has its answer and no attempt out.
    pub(crate) fn drop_if_over(&mut self, id: RequestId) {
        let over =
            |r: &Open<Request, Reply>| r.answer.is_none() && r.attempts.iter().all(|a| a.task.is_none());
        if self.open.get(&id).is_some_and(over) {
            self.open.remove(&id);
        }
    }

    /// Forgets a request that was not taken after all: its id may come again.
    pub(crate) fn withdraw(&mut self, id: RequestId) {
        if let Some(open) = self.open.remove(&id) {
            self.ids.close(&open.id);
        }
    }

    /// Has this module any request left?
    pub(crate) fn has_module(&self, module: u64) -> bool {
        self.open.values().any(|open| open.module == module)
    }

    /// How many are open or have attempts out.
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    /// How many await their final answer.
    pub(crate) fn unanswered(&self) -> usize {
        self.open.values().filter(|r| r.answer.is_some()).count()
    }

    /// All of them, in the order in which they came.
    pub(crate) fn numbers(&self) -> Vec<RequestId> {
        let mut all: Vec<RequestId> = self.open.keys().copied().collect();
        all.sort_unstable();
        all
    }
}

/// One line on the way of a request from its coming to its answer.
pub(crate) fn story<Request: Payload, Reply>(
    open: &Open<Request, Reply>,
    members: &ServerTable,
    (classes, tenants): (&[String], &[String]),
    end: &str,
) -> String {
    let class = classes.get(open.class).map_or("?", String::as_str);
    let tenant = open.tenant.and_then(|t| tenants.get(t)).map_or("?", String::as_str);
    let left = ms(open.deadline.saturating_duration_since(open.came));
    let mut line = format!("{} {class} of {tenant}, ", open.id);
    // Writing to a string can't fail.
    let _ = open.request.describe(&mut line);
    let _ = write!(line, ", {left:.0} ms left: {end} after {:.1} ms", ms(open.came.elapsed()));
    for a in &open.attempts {
        let name = members.name(a.server).unwrap_or("gone");
        let at = ms(a.sent.saturating_duration_since(open.came));
        let _ = match a.ended {
            Some((outcome, took, kept)) => {
                let kept = kept.map_or("new".to_string(), |idle| format!("idle {:.0} ms", ms(idle)));
                write!(line, "; at {at:.1} to {name} ({kept}): {outcome:?} after {:.1} ms", ms(took))
            }
            None => write!(line, "; at {at:.1} to {name}: out"),
        };
    }
    line
}
