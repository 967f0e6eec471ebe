//! What becomes of attempts and requests: repeats, second copies, and the final answer.

use super::*;

const LOST: (f64, f64) = (0.08, 0.02); // Unanswered part from which answers get lost; how one moves it.
const MISSED_AFTER: f64 = 2.5; // From how many times the usual time of its class on an answer is missed.

impl Request {
    /// Rule 2, for every further attempt and every refusal: is it harmless by what is known of the earlier
    /// ones? `to` is the server to send to; `None` asks about a refusal.
    fn may_repeat(&self, class: &Class, limits: &Limits, now: Millis, to: Option<&ServerEntry>) -> bool {
        let mut ran = self.attempts.iter().filter(|a| !a.outcome.is_some_and(Outcome::never_ran));
        let no_more = self.attempts.len() >= limits.attempts || (self.pending() && !limits.second_copies);
        let sent = self.attempts.iter().any(|a| a.outcome != Some(Outcome::ConnectFailed));
        if to.is_some()
            && (no_more || (self.non_replayable && sent) || now >= self.known_until(class, limits))
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

    /// Until when a repeat may be sent that the servers know by its key.
    pub(super) fn known_until(&self, class: &Class, limits: &Limits) -> Millis {
        let Effect::Keyed { memory, .. } = class.effect else { return f64::INFINITY };
        let ran = self.attempts.iter().find(|a| !a.outcome.is_some_and(Outcome::never_ran));
        // It may be as long as a connection may take until it stands and the repeat is written.
        ran.map_or(f64::INFINITY, |a| a.sent + memory - limits.connect_timeout)
    }

    fn pending(&self) -> bool {
        self.attempts.iter().any(|a| a.outcome.is_none())
    }
}

impl Balancer {
    /// May the request go to this server? Not again to the one that just failed it, unless it may go to no
    /// other: one that is bound to the cell of its first attempt would else be held for nothing.
    pub(super) fn may_go(&self, id: RequestId, to: &Server) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let class = &self.set.classes[request.class];
        let may = |s: &Server| request.may_repeat(class, &self.set.limits, self.now, Some(&s.entry));
        let last = request.attempts.last().map(|a| a.server);
        let again = last == Some(to.entry.server);
        let takes = |s: &Server| self.now >= s.class_failures[request.class].1;
        may(to)
            && !(again && self.rotated().any(|s| Some(s.entry.server) != last && may(s)))
            && (takes(to) || !self.rotated().any(|s| takes(s) && may(s)))
    }

    pub(super) fn on_streaming(&mut self, id: RequestId, attempt: usize, actions: &mut Vec<Action>) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.streaming = true;
            for (n, a) in request.attempts.iter().enumerate() {
                if n != attempt && a.outcome.is_none() && self.set.limits.cancel {
                    actions.push(Action::Cancel { id, attempt: n });
                }
            }
        }
    }

    /// An attempt has ended.
    pub(super) fn on_ended(&mut self, event: Event, actions: &mut Vec<Action>) {
        let Event::Ended { id, attempt, server, outcome, took, finished } = event else { return };
        self.wake(server);
        let took = if took.is_finite() { took.max(0.0) } else { 0.0 };
        let place = |s: &Server| s.out.iter().position(|o| *o == (id, attempt));
        let was_out =
            self.servers.get_mut(&server).is_some_and(|s| place(s).map(|p| s.out.remove(p)).is_some());
        // One that its client gave less than half its aim says little of its server.
        let half = |r: &Request| 0.5 * self.set.classes[r.class].aim;
        let hurried = outcome == Outcome::TimedOut && self.requests.get(&id).is_some_and(|r| took < half(r));
        // An end that is told again, or of what was never sent there, counts for nothing.
        if was_out && !hurried {
            self.detect_outlier(server, outcome, took);
        }
        if self.servers.get(&server).is_some_and(|s| s.entry.state == ListedState::Gone && s.out.is_empty()) {
            self.servers.remove(&server);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(ended) = request.attempts.get_mut(attempt).filter(|a| a.outcome.is_none()) else { return };
        ended.outcome = Some(outcome);
        let (class, ended, kind) = (request.class, *ended, (request.class, request.tenant, request.in_share));
        let in_time = ended.sent - request.asked + took <= self.set.classes[class].aim;
        let open = request.pending() || request.streaming;
        if !hurried && matches!(outcome, Outcome::Done | Outcome::TimedOut | Outcome::Unheard) {
            self.lost += (if outcome == Outcome::Done { 0.0 } else { 1.0 } - self.lost) * LOST.1;
        }
        if let Some(s) = self.servers.get_mut(&server) {
            s.note_class(class, outcome, self.now, &self.set);
        }
        self.learn(class, &ended, outcome, took);
        if finished {
            if in_time {
                self.tally(kind, ServiceLevels::add_served);
            }
            self.forget(id, actions);
        } else if !open {
            self.further(id, outcome, actions);
        }
        self.serve_waiting(actions);
    }

    /// The classes of which a missed answer may have a second copy: all or none. Only where answers get lost,
    /// and none is held for load: what is merely heavy would else run twice.
    pub(super) fn hedged(&self) -> std::ops::Range<usize> {
        let may = self.set.limits.second_copies && self.lost > LOST.0 && self.waiting.is_empty();
        0..if may { self.classes.len() } else { 0 }
    }

    /// What a second copy could still serve of a class, and when its answer is missed, in the order of both.
    pub(super) fn hedges(&self, class: usize) -> impl Iterator<Item = (RequestId, Millis)> + '_ {
        self.singles[class].iter().filter_map(move |id| {
            let (r, mean) = (self.requests.get(&id)?, self.classes[class].mean);
            let [Attempt { outcome: None, sent, .. }] = r.attempts.as_slice() else { return None };
            let at = sent + MISSED_AFTER * mean;
            let of_use = at.max(self.now) + mean < self.useful_until(r);
            (of_use && !r.streaming).then_some((id, at))
        })
    }

    /// What becomes of a request whose attempts have all failed.
    fn further(&mut self, id: RequestId, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.set.classes[request.class];
        let end = if class.late_worth > 0.0 { request.deadline } else { self.useful_until(request) };
        let time = end - self.now > self.classes[request.class].mean;
        let free = outcome.never_ran();
        let may =
            self.rotated().any(|s| request.may_repeat(class, &self.set.limits, self.now, Some(&s.entry)));
        if time && may && (free || self.retry_budget >= 1.0) {
            if !free {
                self.retry_budget -= 1.0;
            }
            self.hold(id);
        } else {
            self.conclude(id, actions);
        }
    }

    /// The final answer of a request that is not served: refused where rule 2 lets it, else failed.
    pub(super) fn conclude(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.set.classes[request.class];
        if request.may_repeat(class, &self.set.limits, self.now, None) {
            actions.push(Action::Refuse { id, stay_away: self.retry_after(request.class) });
            let pace = &mut self.classes[request.class];
            // A refused repeat makes no further one due: all with less time would be taken for it.
            pace.refused.add(self.now, pace.most_left, if request.asked < request.came { 0.0 } else { 1.0 });
        } else {
            actions.push(Action::Fail(id));
        }
        self.bear(None);
        self.forget(id, actions);
    }

    /// Drops a request that is over; attempts that are still out are of no use any more.
    pub(super) fn forget(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(request) = self.requests.remove(&id) {
            self.singles[request.class].remove(id);
            if self.waiting.contains(id) {
                self.left.push(id);
            }
            let missed = MISSED_AFTER * self.classes[request.class].mean;
            for (attempt, a) in request.attempts.iter().enumerate().filter(|(_, a)| a.outcome.is_none()) {
                self.lost += if self.now - a.sent >= missed { (1.0 - self.lost) * LOST.1 } else { 0.0 };
                if self.set.limits.cancel && !request.streaming {
                    actions.push(Action::Cancel { id, attempt });
                }
            }
        }
    }
}
