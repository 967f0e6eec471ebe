//! The end of attempts and requests: retries, hedged requests and the final answer.
//!
//! Rule 2 of the platform: a request that must not run twice is not repeated, by the node or by its client,
//! where an earlier attempt may have run.

use magpietally_structures::ServiceLevels;

use super::{Attempt, Balancer, Request, Server};
use crate::api::{
    Action, Class, DedupScope, Effect, Event, Limits, ListedState, Millis, Outcome, RequestId, ServerEntry,
};

/// `.0`: loss rate above which overdue requests are hedged. `.1`: gain of one attempt on the loss rate.
const LOSS_RATE_FROM_AND_GAIN: (f64, f64) = (0.08, 0.02);

/// Multiple of the mean response time of its class after which a response is overdue.
const OVERDUE_AFTER_MEANS: f64 = 2.5;

impl Request {
    /// Applies rule 2 to a further attempt or a refusal: returns whether it is harmless, by what is known of
    /// the earlier attempts. `to` is the server to send to, or `None` for a refusal, after which the client
    /// may send the request again through any node.
    fn may_repeat(&self, class: &Class, limits: &Limits, now: Millis, to: Option<&ServerEntry>) -> bool {
        let mut ran = self.attempts.iter().filter(|a| !a.outcome.is_some_and(Outcome::never_ran));
        let at_max =
            self.attempts.len() >= limits.attempts || (self.has_pending_attempt() && !limits.second_copies);
        let any_sent = self.attempts.iter().any(|a| a.outcome != Some(Outcome::ConnectFailed));
        if to.is_some()
            && (at_max || (self.non_replayable && any_sent) || now >= self.dedup_end(class, limits))
        {
            return false;
        }
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => ran.next().is_none(),
            Effect::Keyed { scope, .. } => ran.all(|a| match to {
                None => scope == DedupScope::All,
                Some(entry) => match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => a.zone == entry.zone,
                    DedupScope::Cell => a.cell == entry.cell,
                },
            }),
        }
    }

    /// Until when a retry may be sent so that the servers still recognize its key; infinite if they need not.
    pub(super) fn dedup_end(&self, class: &Class, limits: &Limits) -> Millis {
        let Effect::Keyed { memory, .. } = class.effect else { return f64::INFINITY };
        let ran = self.attempts.iter().find(|a| !a.outcome.is_some_and(Outcome::never_ran));
        // The retry may reach the server up to a connect timeout after it is sent.
        ran.map_or(f64::INFINITY, |a| a.sent + memory - limits.connect_timeout)
    }

    /// Returns whether an attempt is in flight.
    fn has_pending_attempt(&self) -> bool {
        self.attempts.iter().any(|a| a.outcome.is_none())
    }
}

impl Balancer {
    /// Returns whether the request may be sent to this server. Servers that are avoided for its class and the
    /// server of its last attempt are excluded, unless there is no other: a request that is bound to the cell
    /// of its first attempt would wait in vain.
    pub(super) fn may_send_to(&self, id: RequestId, to: &Server) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let class = &self.settings.classes[request.class];
        let allowed = |s: &Server| request.may_repeat(class, &self.settings.limits, self.now, Some(&s.entry));
        let last = request.attempts.last().map(|a| a.server);
        let is_last = last == Some(to.entry.server);
        let serves_class = |s: &Server| self.now >= s.class_failures[request.class].1;
        allowed(to)
            && !(is_last && self.subset_servers().any(|s| Some(s.entry.server) != last && allowed(s)))
            && (serves_class(to) || !self.subset_servers().any(|s| serves_class(s) && allowed(s)))
    }

    /// Handles the begin of a streamed response: other attempts in flight are cancelled, where permitted.
    pub(super) fn on_streaming(&mut self, id: RequestId, attempt: usize, actions: &mut Vec<Action>) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.streaming = true;
            for (other, a) in request.attempts.iter().enumerate() {
                if other != attempt && a.outcome.is_none() && self.settings.limits.cancel {
                    actions.push(Action::Cancel { id, attempt: other });
                }
            }
        }
    }

    /// Handles the end of an attempt: learns from it, and concludes or retries its request.
    pub(super) fn on_ended(&mut self, event: Event, actions: &mut Vec<Action>) {
        let Event::Ended { id, attempt, server, outcome, took, finished } = event else { return };
        self.resume(server);
        let took = if took.is_finite() { took.max(0.0) } else { 0.0 };
        let index = |s: &Server| s.in_flight.iter().position(|o| *o == (id, attempt));
        let was_in_flight =
            self.servers.get_mut(&server).is_some_and(|s| index(s).map(|p| s.in_flight.remove(p)).is_some());
        // A timeout of less than half the latency target, because the client left little time, says little
        // about the server.
        let half_target = |r: &Request| 0.5 * self.settings.classes[r.class].aim;
        let too_short =
            outcome == Outcome::TimedOut && self.requests.get(&id).is_some_and(|r| took < half_target(r));
        // Duplicate ends, and ends of attempts that were never sent to this server, have no effect on it.
        if was_in_flight && !too_short {
            self.detect_outlier(server, outcome, took);
        }
        if self
            .servers
            .get(&server)
            .is_some_and(|s| s.entry.state == ListedState::Gone && s.in_flight.is_empty())
        {
            self.servers.remove(&server);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(ended) = request.attempts.get_mut(attempt).filter(|a| a.outcome.is_none()) else { return };
        ended.outcome = Some(outcome);
        let (class, ended, tally_key) =
            (request.class, *ended, (request.class, request.tenant, request.in_share));
        let in_time = ended.sent - request.issued + took <= self.settings.classes[class].aim;
        let in_progress = request.has_pending_attempt() || request.streaming;
        if !too_short && matches!(outcome, Outcome::Done | Outcome::TimedOut | Outcome::Unheard) {
            self.loss_rate += (if outcome == Outcome::Done { 0.0 } else { 1.0 } - self.loss_rate)
                * LOSS_RATE_FROM_AND_GAIN.1;
        }
        if let Some(s) = self.servers.get_mut(&server) {
            s.record_class_outcome(class, outcome, self.now, &self.settings);
        }
        self.learn_from(class, &ended, outcome, took);
        if finished {
            if in_time {
                self.tally(tally_key, ServiceLevels::add_served);
            }
            self.remove_request(id, actions);
        } else if !in_progress {
            self.retry_or_conclude(id, outcome, actions);
        }
        self.serve_queue(actions);
    }

    /// The classes whose overdue requests may be hedged: all or none. Requests are hedged only while
    /// responses get lost and the queue is empty; otherwise requests that are merely slow under load would
    /// run twice.
    pub(super) fn hedged_classes(&self) -> std::ops::Range<usize> {
        let may_hedge = self.settings.limits.second_copies
            && self.loss_rate > LOSS_RATE_FROM_AND_GAIN.0
            && self.queue.is_empty();
        0..if may_hedge { self.class_stats.len() } else { 0 }
    }

    /// Requests of a class that a hedged request could still serve in time, with the time from which each is
    /// overdue, in the order of these times.
    pub(super) fn hedge_candidates(&self, class: usize) -> impl Iterator<Item = (RequestId, Millis)> + '_ {
        self.hedgeable[class].iter().filter_map(move |id| {
            let (request, mean_time) = (self.requests.get(&id)?, self.class_stats[class].mean_time);
            let [Attempt { outcome: None, sent, .. }] = request.attempts.as_slice() else { return None };
            let overdue_from = sent + OVERDUE_AFTER_MEANS * mean_time;
            let is_useful = overdue_from.max(self.now) + mean_time < self.useful_until(request);
            (is_useful && !request.streaming).then_some((id, overdue_from))
        })
    }

    /// Queues a request whose attempts have all failed for a retry, or gives its final answer. A retry must
    /// be harmless and likely to end in time, and is taken from the retry budget unless the failed attempt
    /// certainly never ran.
    fn retry_or_conclude(&mut self, id: RequestId, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.settings.classes[request.class];
        let end = if class.late_worth > 0.0 { request.deadline } else { self.useful_until(request) };
        let has_time = end - self.now > self.class_stats[request.class].mean_time;
        let never_ran = outcome.never_ran();
        let allowed = self
            .subset_servers()
            .any(|s| request.may_repeat(class, &self.settings.limits, self.now, Some(&s.entry)));
        if has_time && allowed && (never_ran || self.retry_budget >= 1.0) {
            if !never_ran {
                self.retry_budget -= 1.0;
            }
            self.enqueue(id);
        } else {
            self.conclude(id, actions);
        }
    }

    /// Gives the final answer of a request that is not served: refused where rule 2 permits it, else failed.
    pub(super) fn conclude(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.settings.classes[request.class];
        if request.may_repeat(class, &self.settings.limits, self.now, None) {
            actions.push(Action::Refuse { id, stay_away: self.retry_after(request.class) });
            let stats = &mut self.class_stats[request.class];
            // A refused repeat adds no further expected one. Otherwise all requests with less time left would
            // in the end be taken for repeats.
            stats.refusals.add(
                self.now,
                stats.max_time_left,
                if request.issued < request.arrived { 0.0 } else { 1.0 },
            );
        } else {
            actions.push(Action::Fail(id));
        }
        self.record_answer(None);
        self.remove_request(id, actions);
    }

    /// Removes a finished request, and cancels its attempts in flight, which are of no more use. Those that
    /// are overdue count as lost.
    pub(super) fn remove_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(request) = self.requests.remove(&id) {
            self.hedgeable[request.class].remove(id);
            if self.queue.contains(id) {
                self.finished_in_queue.push(id);
            }
            let overdue = OVERDUE_AFTER_MEANS * self.class_stats[request.class].mean_time;
            for (attempt, a) in request.attempts.iter().enumerate().filter(|(_, a)| a.outcome.is_none()) {
                self.loss_rate += if self.now - a.sent >= overdue {
                    (1.0 - self.loss_rate) * LOSS_RATE_FROM_AND_GAIN.1
                } else {
                    0.0
                };
                if self.settings.limits.cancel && !request.streaming {
                    actions.push(Action::Cancel { id, attempt });
                }
            }
        }
    }
}
