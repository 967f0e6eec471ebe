//! Overload control: which requests are queued, sent first, or refused when not all can be served.

use super::*;

const MAX_WAIT: (f64, f64) = (0.25, 0.1); // Longest wait over the latency target: in a burst, in overload.

const NEAR_WORST: f64 = 0.05; // Distance from the worst served fraction that lowers the weight by e.

impl Balancer {
    pub(super) fn on_request(&mut self, event: Event, actions: &mut Vec<Action>) {
        let Event::Request { id, class, tenant, deadline, non_replayable } = event else { return };
        if self.requests.contains_key(&id) {
            // A duplicate id: answering it would answer the open request, which would still be sent.
            return;
        }
        if class >= self.cfg.classes.len() {
            return actions.push(Action::Fail(id));
        }
        self.retry_budget = (self.retry_budget + self.cfg.tuning.retry_share).min(self.cfg.tuning.retry_most);
        let tenant = tenant.filter(|t| *t < self.cfg.tenants.len());
        // Where tenants are configured, a request without one has no share.
        let in_share = tenant.map_or(self.cfg.tenants.is_empty(), |t| self.take_quota(t));
        let (arrived, attempts) = (self.now, Vec::new());
        let issued = arrived - self.prior_wait(class, deadline);
        let streams = false;
        let request =
            Request { class, tenant, in_share, issued, arrived, deadline, attempts, streams, non_replayable };
        self.tally((class, tenant, in_share), ServiceLevels::add_demand);
        self.requests.insert(id, request);
        self.enqueue(id);
        self.serve_queue(actions);
    }

    /// How long ago the client first sent the request. A client that returns after a refusal still gives up
    /// at its first deadline, and work that can't be in time is lost. The most time left in a class is that
    /// of new requests; one with less is a repeat if one is expected, else its client is in a hurry. Where
    /// clients may repeat requests that they gave up on, the deadline is that of the try.
    fn prior_wait(&mut self, class: usize, deadline: Millis) -> Millis {
        let (now, left) = (self.now, deadline - self.now);
        let ClassStats { max_left: max, refused, .. } = &mut self.classes[class];
        if left.is_finite() {
            *max = max.max(left);
        }
        match self.cfg.classes[class].effect {
            Effect::Safe | Effect::Keyed { scope: DedupScope::All, .. } => 0.0,
            _ if *max - left < self.cfg.tick || refused.at(now, *max) * *max < 500.0 => 0.0,
            _ => {
                refused.add(now, *max, -1.0);
                *max - left
            }
        }
    }

    /// Returns whether a request is within its tenant's share, assumed to arrive evenly at all nodes.
    fn take_quota(&mut self, tenant: usize) -> bool {
        let own = self.cfg.tenants[tenant].quota_per_s / self.cfg.nodes as f64;
        self.quotas[tenant].try_take(self.now, own)
    }

    fn worth(&self, class: usize, in_share: bool) -> f64 {
        self.cfg.classes[class].worth * if in_share { 1.0 } else { self.cfg.over_share_worth }
    }

    /// Counts demand or service of a class, and of a tenant within its share.
    pub(super) fn tally(
        &mut self,
        key: (usize, Option<usize>, bool),
        add: fn(&mut ServiceLevels, usize, f64, f64),
    ) {
        let (class, tenant, in_share) = key;
        let worth = self.worth(class, in_share);
        add(&mut self.class_served, class, self.now, worth);
        if let (Some(tenant), true) = (tenant, in_share) {
            add(&mut self.tenant_served, tenant, self.now, worth);
        }
    }

    pub(super) fn enqueue(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id) else { return };
        let group = (r.class, r.tenant, r.in_share, r.attempts.is_empty());
        self.queue.push(id, group, r.arrived, [self.queue_deadline(r), r.deadline]);
    }

    /// Longest queue time of a request that was never sent. In a lasting overload a long wait helps nobody:
    /// it only delays everything that is served.
    fn max_queue_time(&self, class: usize) -> Millis {
        let aim = self.cfg.classes[class].aim;
        let lasting = self.queued_since.is_some_and(|since| self.now - since > aim);
        aim * if lasting { MAX_WAIT.1 } else { MAX_WAIT.0 }
    }

    /// Latest useful time for the response to a queued request, by when it may still be sent.
    fn queue_deadline(&self, r: &Request) -> Millis {
        let dedup_end = r.dedup_end(&self.cfg.classes[r.class], &self.cfg.limits);
        self.useful_until(r).min(dedup_end + self.classes[r.class].mean)
    }

    /// Returns whether a request has waited for too long, or no response can be in time any more.
    fn is_overdue(&self, request: &Request) -> bool {
        let (class, until) = (request.class, self.queue_deadline(request));
        let max_wait = if request.attempts.is_empty() { self.max_queue_time(class) } else { f64::INFINITY };
        let end = (request.arrived + max_wait).min(until - self.classes[class].mean).max(request.arrived);
        let of_use = self.cfg.classes[class].late_worth > 0.0 || until > self.now;
        !of_use || self.now > end.min(request.deadline - 2.0 * self.period())
    }

    /// All overdue requests, in queue order. Candidates come first in each order that the queue keeps.
    fn all_overdue(&self) -> Vec<RequestId> {
        let (now, slack, queue) = (self.now, 2.0 * self.period(), &self.queue);
        let mut some = Vec::new();
        for group in queue.groups() {
            let (wait, mean) = (self.max_queue_time(group.0), self.classes[group.0].mean);
            let old = queue.oldest_first(group).take_while(|(arrived, _)| group.3 && now > arrived + wait);
            let late = queue.by_deadline(group, 0).take_while(|(until, _)| now > until - mean);
            let last = queue.by_deadline(group, 1).take_while(|(end, _)| now > end - slack);
            some.extend(old.chain(late).chain(last).map(|(_, id)| id));
        }
        some.retain(|id| self.requests.get(id).is_some_and(|r| self.is_overdue(r)));
        queue.in_queue_order(some)
    }

    /// Answers overdue requests and sends queued ones, first those with the most gain for the goal per server
    /// time. First come, first served would shed by latency target instead of by worth.
    pub(super) fn serve_queue(&mut self, actions: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.finished) {
            self.queue.remove(id);
        }
        for id in self.all_overdue() {
            self.queue.remove(id);
            self.conclude(id, actions);
        }
        // A turn is taken only for a request that may be sent: else one that no ready server may get would
        // use up the turns of the others.
        let any = |b: &Self, s: &Server| b.queue.groups().any(|group| b.next_queued(group, s).is_some());
        while !self.queue.is_empty() {
            let Some(server) = self.next_turn(|b, s| b.is_ready(s) && any(b, s)) else { break };
            let Some(id) = self.best_queued(server) else { break };
            self.queue.swap_remove(id);
            self.send(id, server, actions);
        }
        self.queued_since = if self.queue.is_empty() { None } else { self.queued_since.or(Some(self.now)) };
    }

    /// The newest request of a group that may be sent to this server. Of those never sent one stands for all.
    fn next_queued(&self, group: &QueueGroup, to: &Server) -> Option<(ArrivalOrder, RequestId)> {
        let checked = if group.3 { 1 } else { usize::MAX };
        self.queue.newest_first(group).take(checked).find(|(_, id)| self.may_send_to(*id, to))
    }

    /// The queued request that gets this server's turn: the one with the most gain for the goal per server
    /// time; of equal ones the newest, which has lost the least time in the queue.
    fn best_queued(&self, server: ServerId) -> Option<RequestId> {
        let to = self.servers.get(&server)?;
        let goal = &self.cfg.goal;
        let demand = self.class_served.demand_rate(self.now);
        let by_class = self.class_served.marginal_gains(self.now, goal.worst_class, NEAR_WORST);
        let by_tenant = self.tenant_served.marginal_gains(self.now, goal.worst_tenant, NEAR_WORST);
        let times = self.idle_times.get(&to.entry.kind);
        let gain = |&(class, tenant, in_share, _): &QueueGroup| {
            let tenant = tenant.filter(|_| in_share).map_or(0.0, |t| by_tenant[t]);
            let slope = goal.worth / demand.max(f64::MIN_POSITIVE) + by_class[class] + tenant;
            let usual = self.classes[class].mean;
            let time = times.map_or(usual, |t| if t[class] > 0.0 { t[class] } else { usual });
            self.worth(class, in_share) * slope / time.max(f64::MIN_POSITIVE)
        };
        let best = self.queue.groups().filter_map(|group| Some((gain(group), self.next_queued(group, to)?)));
        best.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|(_, (_, id))| id)
    }

    pub(super) fn send(&mut self, id: RequestId, to: ServerId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.cfg.classes[request.class];
        let timeout =
            if class.late_worth > 0.0 { request.deadline } else { self.useful_until(request) } - self.now;
        let current = |s: &Server| (self.pause(s, self.throttle), s.allowed(self.throttle, self.min_limit()));
        let (interval, limit) = self.servers.get(&to).map_or((0.0, 0.0), current);
        let (Some(request), Some(server)) = (self.requests.get_mut(&id), self.servers.get_mut(&to)) else {
            return;
        };
        let (zone, cell) = (server.entry.zone, server.entry.cell);
        server.open.push((id, request.attempts.len()));
        let idle = self.now - server.last_sent;
        (server.last_sent, server.baseline, server.initial_offset) = (self.now, self.served_per_weight, 1.0);
        let alone = server.open.len() == 1;
        let at_limit =
            if limit < 1.0 { idle <= 2.0 * interval } else { 2.0 * server.open.len() as f64 >= limit };
        let attempt = Attempt { server: to, zone, cell, sent: self.now, at_limit, alone, outcome: None };
        request.attempts.push(attempt);
        let may = self.cfg.limits.second_copies && class.effect != Effect::Unsafe && !request.non_replayable;
        if may && request.attempts.len() == 1 {
            self.hedgeable[request.class].set(id, self.now);
        }
        actions.push(Action::Send { id, server: to, timeout: Some(timeout.max(0.001)) });
    }

    /// Until when a response has its full worth, less the time to relay it to the client.
    pub(super) fn useful_until(&self, request: &Request) -> Millis {
        let aim = self.cfg.classes[request.class].aim;
        (request.issued + aim - self.cfg.tick).min(request.deadline)
    }
}
