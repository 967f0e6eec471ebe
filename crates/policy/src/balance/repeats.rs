//! The end of attempts and requests: retries, hedged requests and the final answer.

use super::*;

const LOSS: (f64, f64) = (0.08, 0.02); // Loss rate from which to hedge; gain of one attempt on it.
const OVERDUE_AFTER: f64 = 2.5; // Multiple of the class's mean after which a response is overdue.

impl Request {
    /// Rule 2, for every further attempt and every refusal: returns whether it is harmless given the earlier
    /// attempts. `to` is the server to send to, or `None` for a refusal.
    fn may_repeat(&self, class: &Class, limits: &Limits, now: Millis, to: Option<&ServerEntry>) -> bool {
        let mut ran = self.attempts.iter().filter(|a| !a.outcome.is_some_and(Outcome::never_ran));
        let at_max = self.attempts.len() >= limits.attempts || (self.pending() && !limits.second_copies);
        let sent = self.attempts.iter().any(|a| a.outcome != Some(Outcome::ConnectFailed));
        if to.is_some() && (at_max || (self.non_replayable && sent) || now >= self.dedup_end(class, limits)) {
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

    /// Until when the servers would recognize a retry by its key.
    pub(super) fn dedup_end(&self, class: &Class, limits: &Limits) -> Millis {
        let Effect::Keyed { memory, .. } = class.effect else { return f64::INFINITY };
        let ran = self.attempts.iter().find(|a| !a.outcome.is_some_and(Outcome::never_ran));
        // The retry may reach the server as late as a connect timeout after it is sent.
        ran.map_or(f64::INFINITY, |a| a.sent + memory - limits.connect_timeout)
    }

    fn pending(&self) -> bool {
        self.attempts.iter().any(|a| a.outcome.is_none())
    }
}

impl Balancer {
    /// Returns whether the request may be sent to this server. The server of the last attempt is excluded,
    /// unless there is no other: a request bound to the cell of its first attempt would wait in vain.
    pub(super) fn may_send_to(&self, id: RequestId, to: &Server) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let class = &self.cfg.classes[request.class];
        let allowed = |s: &Server| request.may_repeat(class, &self.cfg.limits, self.now, Some(&s.entry));
        let last = request.attempts.last().map(|a| a.server);
        let again = last == Some(to.entry.server);
        let takes = |s: &Server| self.now >= s.class_failures[request.class].1;
        allowed(to)
            && !(again && self.rotation().any(|s| Some(s.entry.server) != last && allowed(s)))
            && (takes(to) || !self.rotation().any(|s| takes(s) && allowed(s)))
    }

    pub(super) fn on_streaming(&mut self, id: RequestId, attempt: usize, actions: &mut Vec<Action>) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.streams = true;
            for (n, a) in request.attempts.iter().enumerate() {
                if n != attempt && a.outcome.is_none() && self.cfg.limits.cancel {
                    actions.push(Action::Cancel { id, attempt: n });
                }
            }
        }
    }

    pub(super) fn on_ended(&mut self, event: Event, actions: &mut Vec<Action>) {
        let Event::Ended { id, attempt, server, outcome, took, finished } = event else { return };
        self.resume(server);
        let took = if took.is_finite() { took.max(0.0) } else { 0.0 };
        let index = |s: &Server| s.open.iter().position(|o| *o == (id, attempt));
        let was_out =
            self.servers.get_mut(&server).is_some_and(|s| index(s).map(|p| s.open.remove(p)).is_some());
        // A timeout of less than half the latency target says little about the server.
        let half = |r: &Request| 0.5 * self.cfg.classes[r.class].aim;
        let short = outcome == Outcome::TimedOut && self.requests.get(&id).is_some_and(|r| took < half(r));
        // Ignores duplicate ends, and ends of attempts that were never sent there.
        if was_out && !short {
            self.detect_outlier(server, outcome, took);
        }
        if self.servers.get(&server).is_some_and(|s| s.entry.state == ListedState::Gone && s.open.is_empty())
        {
            self.servers.remove(&server);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(ended) = request.attempts.get_mut(attempt).filter(|a| a.outcome.is_none()) else { return };
        ended.outcome = Some(outcome);
        let (class, ended, key) = (request.class, *ended, (request.class, request.tenant, request.in_share));
        let in_time = ended.sent - request.issued + took <= self.cfg.classes[class].aim;
        let open = request.pending() || request.streams;
        if !short && matches!(outcome, Outcome::Done | Outcome::TimedOut | Outcome::Unheard) {
            self.loss += (if outcome == Outcome::Done { 0.0 } else { 1.0 } - self.loss) * LOSS.1;
        }
        if let Some(s) = self.servers.get_mut(&server) {
            s.record_class_outcome(class, outcome, self.now, &self.cfg);
        }
        self.learn(class, &ended, outcome, took);
        if finished {
            if in_time {
                self.tally(key, ServiceLevels::add_served);
            }
            self.remove_request(id, actions);
        } else if !open {
            self.retry_or_conclude(id, outcome, actions);
        }
        self.serve_queue(actions);
    }

    /// The classes whose overdue attempts may be hedged: all or none. Only while responses get lost and the
    /// queue is empty: else requests that are merely slow under load would run twice.
    pub(super) fn hedged(&self) -> std::ops::Range<usize> {
        let hedge = self.cfg.limits.second_copies && self.loss > LOSS.0 && self.queue.is_empty();
        0..if hedge { self.classes.len() } else { 0 }
    }

    /// Requests of a class that a hedge could still serve, with the time when each is overdue, in that order.
    pub(super) fn hedges(&self, class: usize) -> impl Iterator<Item = (RequestId, Millis)> + '_ {
        self.hedgeable[class].iter().filter_map(move |id| {
            let (r, mean) = (self.requests.get(&id)?, self.classes[class].mean);
            let [Attempt { outcome: None, sent, .. }] = r.attempts.as_slice() else { return None };
            let at = sent + OVERDUE_AFTER * mean;
            let of_use = at.max(self.now) + mean < self.useful_until(r);
            (of_use && !r.streams).then_some((id, at))
        })
    }

    /// Queues a request whose attempts have all failed for a retry, or gives its final answer.
    fn retry_or_conclude(&mut self, id: RequestId, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.cfg.classes[request.class];
        let end = if class.late_worth > 0.0 { request.deadline } else { self.useful_until(request) };
        let time = end - self.now > self.classes[request.class].mean;
        let free = outcome.never_ran();
        let allowed =
            self.rotation().any(|s| request.may_repeat(class, &self.cfg.limits, self.now, Some(&s.entry)));
        if time && allowed && (free || self.retry_budget >= 1.0) {
            if !free {
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
        let class = &self.cfg.classes[request.class];
        if request.may_repeat(class, &self.cfg.limits, self.now, None) {
            actions.push(Action::Refuse { id, stay_away: self.retry_after(request.class) });
            let s = &mut self.classes[request.class];
            // A refused repeat adds no expected one: else all requests with less time would pass for repeats.
            s.refused.add(self.now, s.max_left, if request.issued < request.arrived { 0.0 } else { 1.0 });
        } else {
            actions.push(Action::Fail(id));
        }
        self.record_answer(None);
        self.remove_request(id, actions);
    }

    /// Removes a finished request and cancels its attempts in flight, which are of no more use.
    pub(super) fn remove_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(request) = self.requests.remove(&id) {
            self.hedgeable[request.class].remove(id);
            if self.queue.contains(id) {
                self.finished.push(id);
            }
            let overdue = OVERDUE_AFTER * self.classes[request.class].mean;
            for (attempt, a) in request.attempts.iter().enumerate().filter(|(_, a)| a.outcome.is_none()) {
                self.loss += if self.now - a.sent >= overdue { (1.0 - self.loss) * LOSS.1 } else { 0.0 };
                if self.cfg.limits.cancel && !request.streams {
                    actions.push(Action::Cancel { id, attempt });
                }
            }
        }
    }
}
