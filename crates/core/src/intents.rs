//! The ledger's part in a request's life: what must not run twice is noted before an attempt of it is made, and the wait
//! for that counts against its time. The policy learns nothing of it but the time.

use std::rc::Rc;
use std::time::Instant;

use magpietally_ledger::guard::may_ask_again;
use magpietally_ledger::{Draft, How, KeyDigest, Pending, Right, Told, Trouble, Why};
use magpietally_policy::{DedupScope, Effect, Event, Millis, Outcome, RequestId, ServerId};
use tokio::time::timeout_at;

use crate::node::{Core, State};
use crate::requests::{Answer, ClientRequest, Intent, Open};
use crate::upstream::{Payload, UpstreamTransport};

/// Why a request is not taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rejection {
    /// One with its id is open: to send it on would be to run that one again.
    DuplicateId,
    /// The ledger can't note it at present, or the fleet does not let this node decide: trying again is harmless, after
    /// this time.
    Refused(Millis),
    /// Its tenant's quota over the fleet is used up: trying again is harmless, after this time.
    OverQuota(Millis),
    /// The ledger knows of an earlier life's attempt that may have run.
    Failed(Why),
}

/// What a class may do without the ledger.
pub(crate) fn right(effect: Effect) -> Right {
    match effect {
        Effect::Safe => Right::Any,
        Effect::Unsafe => Right::Once,
        Effect::Keyed { scope, memory } => Right::Keyed {
            everywhere: scope == DedupScope::All,
            // A span that is no number of microseconds is longer than any clock.
            span_us: (memory * 1000.0) as u64,
        },
    }
}

fn how(outcome: Outcome) -> How {
    match outcome {
        Outcome::Done => How::Done,
        Outcome::Error => How::Error,
        Outcome::Full => How::Full,
        Outcome::TimedOut => How::TimedOut,
        Outcome::Unheard => How::Unheard,
        Outcome::ConnectFailed => How::ConnectFailed,
        Outcome::Unwritten => How::Unwritten,
        Outcome::Reset => How::Reset,
        Outcome::Cancelled => How::Cancelled,
        Outcome::NotSent => How::NotSent,
        Outcome::Rejected => How::Rejected,
    }
}

impl<C: UpstreamTransport> State<C> {
    /// What a request is told that no server will answer any more: to come again, where none of its attempts may have run.
    pub(crate) fn unserved(&self, open: &Open<C::Request, C::Reply>) -> Answer<C::Reply> {
        // One that is still out may run yet.
        let ended: Option<Vec<How>> =
            open.attempts.iter().map(|a| a.ended.map(|(outcome, ..)| how(outcome))).collect();
        if ended.is_some_and(may_ask_again) {
            Answer::Refused(self.epochs.newest().retry_after(open.class))
        } else {
            Answer::Failed
        }
    }
}

impl<C: UpstreamTransport> Core<C> {
    /// May this request be taken, as far as the ledger goes?
    pub(crate) fn admit(
        &self,
        asked: &ClientRequest<C::Request>,
        deadline: Instant,
    ) -> Result<(), Rejection> {
        let Some(ledger) = &self.ledger else { return Ok(()) };
        let right = self.right(asked.class);
        if !right.needs_intent() {
            return Ok(());
        }
        if ledger.standing().is_err() {
            let state = &mut *self.state.borrow_mut();
            state.counts.refused += 1;
            return Err(Rejection::Refused(state.epochs.newest().retry_after(asked.class)));
        }
        // Only where something was out at a node's death is there anything to look for.
        if ledger.unknown() == 0 {
            return Ok(());
        }
        let left = deadline.saturating_duration_since(Instant::now());
        ledger.judge(right, &asked.id, self.key(right, &asked.request), left).map_err(|why| {
            self.state.borrow_mut().counts.failed += 1;
            tracing::warn!(target: "ledger", "{} is not sent: {}", asked.id, why.word());
            Rejection::Failed(why)
        })
    }

    /// What a class may do without the ledger.
    pub(crate) fn right(&self, class: usize) -> Right {
        self.rights.borrow().get(class).copied().unwrap_or(Right::Once)
    }

    fn key(&self, right: Right, request: &C::Request) -> Option<KeyDigest> {
        let keyed = matches!(right, Right::Keyed { .. });
        request.key().filter(|_| keyed).map(KeyDigest::of)
    }

    /// Puts the intent of a request's next attempt into the ledger's queue.
    pub(crate) fn note_intent(
        &self,
        state: &State<C>,
        id: RequestId,
        server: ServerId,
    ) -> Result<Pending, Trouble> {
        let (Some(ledger), Some(open)) = (&self.ledger, state.table.get(id)) else {
            return Err(Trouble::Closed);
        };
        let right = self.right(open.class);
        let name = |names: &[String], at: Option<usize>| {
            at.and_then(|at| names.get(at)).cloned().unwrap_or_default()
        };
        ledger.intent(Draft {
            id: open.id.clone(),
            class: name(&self.classes, Some(open.class)),
            tenant: name(&self.tenants, open.tenant),
            key: self.key(right, &open.request),
            attempt: open.attempts.len(),
            server: state.servers.name(server).unwrap_or_default().to_string(),
            server_start_ms: state.servers.start_ms(server).max(0.0) as u64,
            left: open.deadline.saturating_duration_since(Instant::now()),
        })
    }

    /// Waits for an intent's promise, no longer than the attempt may last.
    pub(crate) async fn promised(
        &self,
        id: RequestId,
        attempt: usize,
        pending: Result<Pending, Trouble>,
        end: Instant,
    ) -> bool {
        let Ok(Pending { promised, .. }) = pending else { return false };
        if !matches!(timeout_at(end.into(), promised).await, Ok(Ok(true))) {
            return false;
        }
        let mut state = self.state.borrow_mut();
        let attempt = state.table.get_mut(id).and_then(|open| open.attempts.get_mut(attempt));
        let Some(intent) = attempt.and_then(|a| a.intent.as_mut()) else { return false };
        intent.promised = true;
        true
    }

    /// An attempt was not made, as its intent could not be noted or the fleet no longer lets this node decide. Its request is not tried elsewhere, where it would meet
    /// the same: it is answered at once, unless another attempt of it is out. To ask again is harmless only where none of
    /// its attempts may have run.
    pub(crate) fn not_noted(self: &Rc<Self>, id: RequestId, attempt: usize) {
        let outcome = Outcome::NotSent;
        let event = {
            let state = &mut *self.state.borrow_mut();
            let Some((_, server, took)) = self.end(state, id, attempt, outcome, (None, None)) else { return };
            let Some(open) = state.table.get(id) else { return };
            if open.attempts.iter().all(|a| a.task.is_none()) {
                let answer = state.unserved(open);
                self.give(state, id, answer);
            }
            let finished = state.table.get(id).is_none_or(|open| open.answer.is_none());
            Event::Ended { id, attempt, server, outcome, took, finished }
        };
        self.feed(event);
        self.drop_if_over(id);
    }

    /// An attempt that has an intent has ended.
    pub(crate) fn note_outcome(&self, intent: Intent, outcome: Outcome) {
        if let Some(ledger) = &self.ledger {
            // What was called off before its promise was not sent.
            let how = if intent.promised { how(outcome) } else { How::NotSent };
            ledger.outcome(intent.number, how);
        }
    }

    /// A request that had an attempt in the ledger has its answer.
    pub(crate) fn note_told(&self, state: &State<C>, id: RequestId, told: Told) {
        let Some(ledger) = &self.ledger else { return };
        if let (Some(intent), Some(open)) = (state.table.last_intent(id), state.table.get(id)) {
            ledger.told(intent, &open.id, told);
        }
    }
}
