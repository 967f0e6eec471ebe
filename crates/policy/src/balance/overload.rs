//! Which requests are served where not all can be: held, sent in the order of what they add, or refused.

use super::*;

const HOLD: (f64, f64) = (0.25, 0.1); // Part of its aim one may be held: in a burst, in overload.

const NEAR_WORST: f64 = 0.05; // How far above the worst served part one still counts nearly as the worst.

impl Balancer {
    pub(super) fn on_request(&mut self, event: Event, actions: &mut Vec<Action>) {
        let Event::Request { id, class, tenant, deadline, non_replayable } = event else { return };
        if self.requests.contains_key(&id) {
            // To answer a repeat would be to answer the first, which is still owed, and to send for it then.
            return;
        }
        if class >= self.set.classes.len() {
            return actions.push(Action::Fail(id));
        }
        self.retry_budget = (self.retry_budget + self.set.tuning.retry_share).min(self.set.tuning.retry_most);
        let tenant = tenant.filter(|t| *t < self.set.tenants.len());
        // Where there are tenants, who comes as none of them has no share.
        let in_share = tenant.map_or(self.set.tenants.is_empty(), |t| self.take_quota(t));
        let (came, attempts) = (self.now, Vec::new());
        let asked = came - self.age(class, deadline);
        let streaming = false;
        let request =
            Request { class, tenant, in_share, asked, came, deadline, attempts, streaming, non_replayable };
        self.tally((class, tenant, in_share), ServiceLevels::add_demand);
        self.requests.insert(id, request);
        self.hold(id);
        self.serve_waiting(actions);
    }

    /// How long ago the client first asked. One that comes back after a refusal still gives up when the time
    /// of its first asking ends: work on what can no longer be in time is lost. The most time that one of a
    /// class ever had left is that of new ones; one with less is a repeat if one is due, else in a hurry.
    /// Where clients may repeat what they gave up, the deadline is that of the try.
    fn age(&mut self, class: usize, deadline: Millis) -> Millis {
        let (now, left) = (self.now, deadline - self.now);
        let ClassStats { most_left: most, refused, .. } = &mut self.classes[class];
        if left.is_finite() {
            *most = most.max(left);
        }
        match self.set.classes[class].effect {
            Effect::Safe | Effect::Keyed { scope: DedupScope::All, .. } => 0.0,
            _ if *most - left < self.set.tick || refused.at(now, *most) * *most < 500.0 => 0.0,
            _ => {
                refused.add(now, *most, -1.0);
                *most - left
            }
        }
    }

    /// Is a request within its tenant's share? The share of all nodes is taken to come evenly to each.
    fn take_quota(&mut self, tenant: usize) -> bool {
        let own = self.set.tenants[tenant].quota_per_s / self.set.nodes as f64;
        self.quotas[tenant].try_take(self.now, own)
    }

    fn worth(&self, class: usize, in_share: bool) -> f64 {
        self.set.classes[class].worth * if in_share { 1.0 } else { self.set.over_share_worth }
    }

    /// Counts what was asked for, or served, of a class and of a tenant within its share.
    pub(super) fn tally(
        &mut self,
        of: (usize, Option<usize>, bool),
        add: fn(&mut ServiceLevels, usize, f64, f64),
    ) {
        let (class, tenant, in_share) = of;
        let worth = self.worth(class, in_share);
        add(&mut self.class_served, class, self.now, worth);
        if let (Some(tenant), true) = (tenant, in_share) {
            add(&mut self.tenant_served, tenant, self.now, worth);
        }
    }

    /// Holds a request until a server is ready for it.
    pub(super) fn hold(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id) else { return };
        let kind = (r.class, r.tenant, r.in_share, r.attempts.is_empty());
        self.waiting.push(id, kind, r.came, [self.hold_until(r), r.deadline]);
    }

    /// For how long a request of a class may be held that has never been sent. In a lasting overload a long
    /// hold helps nobody: all that is served has lost its time.
    fn hold_for(&self, class: usize) -> Millis {
        let aim = self.set.classes[class].aim;
        let lasting = self.held_since.is_some_and(|since| self.now - since > aim);
        aim * if lasting { HOLD.1 } else { HOLD.0 }
    }

    /// Until when an answer must have come for what is held to be of use, where it may still be sent then.
    fn hold_until(&self, r: &Request) -> Millis {
        let known = r.known_until(&self.set.classes[r.class], &self.set.limits);
        self.useful_until(r).min(known + self.classes[r.class].mean)
    }

    /// Has a request waited for as long as it may? That is as long as an answer may still come in time.
    fn overdue(&self, request: &Request) -> bool {
        let (class, until) = (request.class, self.hold_until(request));
        let hold = if request.attempts.is_empty() { self.hold_for(class) } else { f64::INFINITY };
        let end = (request.came + hold).min(until - self.classes[class].mean).max(request.came);
        let of_use = self.set.classes[class].late_worth > 0.0 || until > self.now;
        !of_use || self.now > end.min(request.deadline - 2.0 * self.period())
    }

    /// All held requests that are overdue, in the order in which they are held. In each of the orders that
    /// are kept those that may be come first.
    fn all_overdue(&self) -> Vec<RequestId> {
        let (now, last, held) = (self.now, 2.0 * self.period(), &self.waiting);
        let mut some = Vec::new();
        for kind in held.groups() {
            let (hold, mean) = (self.hold_for(kind.0), self.classes[kind.0].mean);
            let old = held.oldest_first(kind).take_while(|(came, _)| kind.3 && now > came + hold);
            let late = held.by_deadline(kind, 0).take_while(|(until, _)| now > until - mean);
            let last = held.by_deadline(kind, 1).take_while(|(end, _)| now > end - last);
            some.extend(old.chain(late).chain(last).map(|(_, id)| id));
        }
        some.retain(|id| self.requests.get(id).is_some_and(|r| self.overdue(r)));
        held.in_queue_order(some)
    }

    /// Sends what is held, in the order of what it adds to the goal for the work it takes, and answers what
    /// has waited too long. First come, first served would shed by the length of the aims, not by worth.
    pub(super) fn serve_waiting(&mut self, actions: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.left) {
            self.waiting.remove(id);
        }
        for id in self.all_overdue() {
            self.waiting.remove(id);
            self.conclude(id, actions);
        }
        // No turn is taken but for a request that may go: a held one that no ready server may have would else
        // use up the turns of all the others.
        let any = |b: &Self, s: &Server| b.waiting.groups().any(|kind| b.held_for(kind, s).is_some());
        while !self.waiting.is_empty() {
            let Some(server) = self.next_turn(|b, s| b.ready(s) && any(b, s)) else { break };
            let Some(id) = self.best_held(server) else { break };
            self.waiting.swap_remove(id);
            self.send(id, server, actions);
        }
        self.held_since = if self.waiting.is_empty() { None } else { self.held_since.or(Some(self.now)) };
    }

    /// The youngest of a kind that may go to this server. What was never sent may go wherever its like may.
    fn held_for(&self, kind: &Kind, to: &Server) -> Option<(ArrivalOrder, RequestId)> {
        let most = if kind.3 { 1 } else { usize::MAX };
        self.waiting.newest_first(kind).take(most).find(|(_, id)| self.may_go(*id, to))
    }

    /// Which held request this server's turn goes to: the one that adds most to the goal for the time that
    /// its class takes there; of equal ones the newest, as the oldest has lost the time of its hold.
    fn best_held(&self, server: ServerId) -> Option<RequestId> {
        let to = self.servers.get(&server)?;
        let goal = &self.set.goal;
        let asked = self.class_served.demand_rate(self.now);
        let by_class = self.class_served.marginal_gains(self.now, goal.worst_class, NEAR_WORST);
        let by_tenant = self.tenant_served.marginal_gains(self.now, goal.worst_tenant, NEAR_WORST);
        let times = self.times.get(&to.entry.kind);
        let adds = |&(class, tenant, in_share, _): &Kind| {
            let tenant = tenant.filter(|_| in_share).map_or(0.0, |t| by_tenant[t]);
            let slope = goal.worth / asked.max(f64::MIN_POSITIVE) + by_class[class] + tenant;
            let usual = self.classes[class].mean;
            let time = times.map_or(usual, |t| if t[class] > 0.0 { t[class] } else { usual });
            self.worth(class, in_share) * slope / time.max(f64::MIN_POSITIVE)
        };
        let best = self.waiting.groups().filter_map(|kind| Some((adds(kind), self.held_for(kind, to)?)));
        best.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|(_, (_, id))| id)
    }

    pub(super) fn send(&mut self, id: RequestId, to: ServerId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.set.classes[request.class];
        let timeout =
            if class.late_worth > 0.0 { request.deadline } else { self.useful_until(request) } - self.now;
        let so_far = |s: &Server| (self.rest(s, self.fleet), s.allowed(self.fleet, self.least_limit()));
        let (rest, allowed) = self.servers.get(&to).map_or((0.0, 0.0), so_far);
        let (Some(request), Some(server)) = (self.requests.get_mut(&id), self.servers.get_mut(&to)) else {
            return;
        };
        let (zone, cell) = (server.entry.zone, server.entry.cell);
        server.out.push((id, request.attempts.len()));
        let rested = self.now - server.last_sent;
        (server.last_sent, server.borne, server.stagger) = (self.now, self.borne, 1.0);
        let alone = server.out.len() == 1;
        let at_limit =
            if allowed < 1.0 { rested <= 2.0 * rest } else { 2.0 * server.out.len() as f64 >= allowed };
        let attempt = Attempt { server: to, zone, cell, sent: self.now, at_limit, alone, outcome: None };
        request.attempts.push(attempt);
        let may = self.set.limits.second_copies && class.effect != Effect::Unsafe && !request.non_replayable;
        if may && request.attempts.len() == 1 {
            self.singles[request.class].set(id, self.now);
        }
        actions.push(Action::Send { id, server: to, timeout: Some(timeout.max(0.001)) });
    }

    /// Until when an answer has its full worth, less the way back to the client.
    pub(super) fn useful_until(&self, request: &Request) -> Millis {
        let aim = self.set.classes[request.class].aim;
        (request.asked + aim - self.set.tick).min(request.deadline)
    }
}
