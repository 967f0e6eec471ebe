//! Where the core uses the ledger: the intent of an attempt that must not run twice is recorded before the
//! attempt is made. The time spent waiting for that counts against the attempt's timeout; the policy sees
//! nothing else of it.

use std::rc::Rc;
use std::time::Instant;

use magpietally_ledger::admission::is_safe_to_retry;
use magpietally_ledger::{
    AttemptOutcome, FinalOutcome, IntentError, KeyDigest, NewIntent, PendingIntent, RejectionReason,
    RepeatRule,
};
use magpietally_policy::{DedupScope, Effect, Event, Millis, Outcome, RequestId, ServerId};
use tokio::time::timeout_at;

use crate::node::{Core, State};
use crate::requests::{Answer, ClientRequest, Intent, OpenRequest};
use crate::sent_ids::IdDigest;
use crate::upstream::{Payload, UpstreamTransport};

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rejection {
    /// A request with the same id is open: sending this one would run that one again.
    DuplicateId,
    /// The ledger can't record it at present, or the fleet does not let this node decide. The client can
    /// safely retry after this time.
    Refused(Millis),
    /// The fleet-wide quota of its tenant is used up. The client can safely retry after this time.
    OverQuota(Millis),
    /// According to the ledger, an attempt by an earlier incarnation of this node may have run.
    Failed(RejectionReason),
}

/// What a class may do without the ledger.
pub(crate) fn right(effect: Effect) -> RepeatRule {
    match effect {
        Effect::Safe => RepeatRule::Any,
        Effect::Unsafe => RepeatRule::Once,
        Effect::Keyed { scope, memory } => RepeatRule::Keyed {
            everywhere: scope == DedupScope::All,
            // A span too long for the integer saturates, which is longer than any clock runs.
            span_us: (memory * 1000.0) as u64,
        },
    }
}

fn attempt_outcome(outcome: Outcome) -> AttemptOutcome {
    match outcome {
        Outcome::Done => AttemptOutcome::Done,
        Outcome::Error => AttemptOutcome::Error,
        Outcome::Full => AttemptOutcome::Full,
        Outcome::TimedOut => AttemptOutcome::TimedOut,
        Outcome::Unheard => AttemptOutcome::Unheard,
        Outcome::ConnectFailed => AttemptOutcome::ConnectFailed,
        Outcome::Unwritten => AttemptOutcome::Unwritten,
        Outcome::Reset => AttemptOutcome::Reset,
        Outcome::Cancelled => AttemptOutcome::Cancelled,
        Outcome::NotSent => AttemptOutcome::NotSent,
        Outcome::Rejected => AttemptOutcome::Rejected,
    }
}

impl<C: UpstreamTransport> State<C> {
    /// The answer to a request that no server will answer any more: refused, so that the client retries, if
    /// none of its attempts can have run.
    pub(crate) fn unserved(&self, open: &OpenRequest<C::Request, C::Reply>) -> Answer<C::Reply> {
        // An attempt still in flight may run.
        let ended: Option<Vec<AttemptOutcome>> =
            open.attempts.iter().map(|a| a.ended.map(|(outcome, ..)| attempt_outcome(outcome))).collect();
        if ended.is_some_and(is_safe_to_retry) {
            Answer::Refused(self.epochs.newest().retry_after(open.class))
        } else {
            Answer::Failed
        }
    }
}

impl<C: UpstreamTransport> Core<C> {
    /// Checks whether the ledger allows this request.
    pub(crate) fn check_ledger(
        &self,
        request: &ClientRequest<C::Request>,
        deadline: Instant,
    ) -> Result<(), Rejection> {
        let Some(ledger) = &self.ledger else { return Ok(()) };
        let right = self.right(request.class);
        if !right.needs_intent() {
            return Ok(());
        }
        if ledger.check_available().is_err() {
            let state = &mut *self.state.borrow_mut();
            state.counts.refused += 1;
            return Err(Rejection::Refused(state.epochs.newest().retry_after(request.class)));
        }
        // There is something to look up only if attempts were in flight when a node died.
        if ledger.unknown_count() == 0 {
            return Ok(());
        }
        let left = deadline.saturating_duration_since(Instant::now());
        ledger.check_repeat(right, &request.id, self.key(right, &request.request), left).map_err(|reason| {
            self.state.borrow_mut().counts.failed += 1;
            tracing::warn!(target: "ledger", "{} is not sent: {}", request.id, reason.as_str());
            Rejection::Failed(reason)
        })
    }

    /// Checks whether a request with the same id, whose client has left or which another process sent, may have
    /// run.
    pub(crate) fn check_sent_ids(&self, request: &ClientRequest<C::Request>) -> Result<(), Rejection> {
        if !self.right(request.class).needs_intent() {
            return Ok(());
        }
        let sent_ids = &self.process().sent_ids;
        let state = &mut *self.state.borrow_mut();
        if sent_ids.contains(IdDigest::of(request.id.as_bytes()), Instant::now()) {
            state.counts.failed += 1;
            return Err(Rejection::DuplicateId);
        }
        if !sent_ids.has_room() {
            state.counts.refused += 1;
            return Err(Rejection::Refused(state.epochs.newest().retry_after(request.class)));
        }
        Ok(())
    }

    /// Remembers the id of a request that is about to be sent and must not run twice.
    pub(crate) fn record_sent(&self, open: &OpenRequest<C::Request, C::Reply>) {
        if self.right(open.class).needs_intent() {
            self.process().sent_ids.record(IdDigest::of(open.id.as_bytes()));
        }
    }

    /// Notes in the record of sent ids that a request has ended, `answered` or abandoned by its client.
    pub(crate) fn record_end(&self, state: &State<C>, id: RequestId, answered: bool) {
        let Some(open) = state.requests.get(id).filter(|open| !open.attempts.is_empty()) else { return };
        if !self.right(open.class).needs_intent() {
            return;
        }
        let digest = IdDigest::of(open.id.as_bytes());
        if answered || open.never_ran() {
            self.process().sent_ids.forget(digest);
        } else {
            self.process().sent_ids.abandon(digest, Instant::now());
        }
    }

    /// What a class may do without the ledger.
    pub(crate) fn right(&self, class: usize) -> RepeatRule {
        self.rights.borrow().get(class).copied().unwrap_or(RepeatRule::Once)
    }

    fn key(&self, right: RepeatRule, request: &C::Request) -> Option<KeyDigest> {
        let keyed = matches!(right, RepeatRule::Keyed { .. });
        request.key().filter(|_| keyed).map(KeyDigest::of)
    }

    /// Enqueues the intent of a request's next attempt in the ledger.
    pub(crate) fn record_intent(
        &self,
        state: &State<C>,
        id: RequestId,
        server: ServerId,
    ) -> Result<PendingIntent, IntentError> {
        let (Some(ledger), Some(open)) = (&self.ledger, state.requests.get(id)) else {
            return Err(IntentError::Closed);
        };
        let right = self.right(open.class);
        let name = |names: &[String], at: Option<usize>| {
            at.and_then(|at| names.get(at)).cloned().unwrap_or_default()
        };
        ledger.record_intent(NewIntent {
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

    /// Waits until the ledger confirms an intent, at most until `end`, when the attempt times out. Returns
    /// whether it did.
    pub(crate) async fn wait_confirmed(
        &self,
        id: RequestId,
        attempt: usize,
        pending: Result<PendingIntent, IntentError>,
        end: Instant,
    ) -> bool {
        let Ok(PendingIntent { confirmed, .. }) = pending else { return false };
        if !matches!(timeout_at(end.into(), confirmed).await, Ok(Ok(true))) {
            return false;
        }
        let mut state = self.state.borrow_mut();
        let attempt = state.requests.get_mut(id).and_then(|open| open.attempts.get_mut(attempt));
        let Some(intent) = attempt.and_then(|a| a.intent.as_mut()) else { return false };
        intent.confirmed = true;
        true
    }

    /// Ends an attempt that was not made because its intent could not be recorded or the fleet no longer lets
    /// this node decide. The request is not tried at another server, where the same would happen: it is
    /// answered at once, unless another attempt of it is in flight. The client may retry only if none of its
    /// attempts can have run.
    pub(crate) fn attempt_not_sent(self: &Rc<Self>, id: RequestId, attempt: usize) {
        let outcome = Outcome::NotSent;
        let event = {
            let state = &mut *self.state.borrow_mut();
            let Some((_, server, took)) = self.end_attempt(state, id, attempt, outcome, (None, None)) else {
                return;
            };
            let Some(open) = state.requests.get(id) else { return };
            if open.attempts.iter().all(|a| a.task.is_none()) {
                let answer = state.unserved(open);
                self.send_answer(state, id, answer);
            }
            let finished = state.requests.get(id).is_none_or(|open| open.answer.is_none());
            Event::Ended { id, attempt, server, outcome, took, finished }
        };
        self.handle_event(event);
        self.remove_if_finished(id);
    }

    /// Records the outcome of an attempt that has an intent.
    pub(crate) fn record_outcome(&self, intent: Intent, outcome: Outcome) {
        if let Some(ledger) = &self.ledger {
            // An attempt cancelled before its intent was confirmed was not sent.
            let ended = if intent.confirmed { attempt_outcome(outcome) } else { AttemptOutcome::NotSent };
            ledger.record_outcome(intent.number, ended);
        }
    }

    /// Records the final outcome of a request that had an attempt in the ledger.
    pub(crate) fn record_final_outcome(&self, state: &State<C>, id: RequestId, outcome: FinalOutcome) {
        let Some(ledger) = &self.ledger else { return };
        if let (Some(intent), Some(open)) = (state.requests.last_intent(id), state.requests.get(id)) {
            ledger.record_final_outcome(intent, &open.id, outcome);
        }
    }
}
