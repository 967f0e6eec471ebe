//! Overload control: which requests are queued, sent first, or refused when not all can be served.

use magpietally_structures::{ArrivalOrder, ServiceLevels};

use super::{Attempt, Balancer, ClassStats, QueueGroup, Request, Server};
use crate::api::{Action, DedupScope, Effect, Event, Millis, RequestId, ServerId};

/// Longest wait in the queue, as a fraction of the latency target: in a burst (`.0`), in a lasting overload
/// (`.1`).
const MAX_WAIT_IN_BURST_AND_OVERLOAD: (f64, f64) = (0.25, 0.1);

/// Distance from the worst served fraction at which a class or tenant counts less, by a factor e, as one of
/// the worst served. See [`ServiceLevels::marginal_gains`].
const NEAR_WORST_FRACTION: f64 = 0.05;

impl Balancer {
    /// Handles a new request: queues it, and serves the queue.
    pub(super) fn on_request(&mut self, event: Event, actions: &mut Vec<Action>) {
        let Event::Request { id, class, tenant, deadline, non_replayable } = event else { return };
        if self.requests.contains_key(&id) {
            // Ignores a duplicate id. An answer to it would answer the open request, which would still be
            // sent.
            return;
        }
        if class >= self.settings.classes.len() {
            return actions.push(Action::Fail(id));
        }
        self.retry_budget =
            (self.retry_budget + self.settings.tuning.retry_share).min(self.settings.tuning.retry_most);
        let tenant = tenant.filter(|t| *t < self.settings.tenants.len());
        // Where tenants are configured, a request without a tenant is within no share.
        let in_share = tenant.map_or(self.settings.tenants.is_empty(), |t| self.take_quota(t));
        let (arrived, attempts) = (self.now, Vec::new());
        let issued = arrived - self.prior_wait(class, deadline);
        let streaming = false;
        let request = Request {
            class,
            tenant,
            in_share,
            issued,
            arrived,
            deadline,
            attempts,
            streaming,
            non_replayable,
        };
        self.tally((class, tenant, in_share), ServiceLevels::add_demand);
        self.requests.insert(id, request);
        self.enqueue(id);
        self.serve_queue(actions);
    }

    /// Estimates how long ago the client first sent the request: 0 unless it seems to repeat a refused one.
    ///
    /// A client that returns after a refusal still gives up at its first deadline, and work that can't be in
    /// time any more is lost. The longest time left that was seen in a class is that of new requests. A
    /// request with less is a repeat if one is expected; otherwise its client is in a hurry. Where clients
    /// may repeat requests that they gave up on, the deadline is that of the present try and tells nothing.
    fn prior_wait(&mut self, class: usize, deadline: Millis) -> Millis {
        let (now, left) = (self.now, deadline - self.now);
        let ClassStats { max_time_left: longest, refusals, .. } = &mut self.class_stats[class];
        if left.is_finite() {
            *longest = longest.max(left);
        }
        match self.settings.classes[class].effect {
            Effect::Safe | Effect::Keyed { scope: DedupScope::All, .. } => 0.0,
            // The rate is per second and the time in milliseconds: below 500, less than half a repeat is
            // expected.
            _ if *longest - left < self.settings.tick || refusals.at(now, *longest) * *longest < 500.0 => 0.0,
            _ => {
                refusals.add(now, *longest, -1.0);
                *longest - left
            }
        }
    }

    /// Takes a request from its tenant's share, which is assumed to arrive evenly at all nodes. Returns
    /// whether the request is within the share.
    fn take_quota(&mut self, tenant: usize) -> bool {
        let node_quota_per_s = self.settings.tenants[tenant].quota_per_s / self.settings.nodes as f64;
        self.quota_buckets[tenant].try_take(self.now, node_quota_per_s)
    }

    /// The value of a response in time.
    fn request_worth(&self, class: usize, in_share: bool) -> f64 {
        self.settings.classes[class].worth * if in_share { 1.0 } else { self.settings.over_share_worth }
    }

    /// Adds a request to the demand for, or the service of, its class, and its tenant if it is within the
    /// tenant's share. `key`: class, tenant, whether within the share.
    pub(super) fn tally(
        &mut self,
        key: (usize, Option<usize>, bool),
        add: fn(&mut ServiceLevels, usize, f64, f64),
    ) {
        let (class, tenant, in_share) = key;
        let worth = self.request_worth(class, in_share);
        add(&mut self.class_served, class, self.now, worth);
        if let (Some(tenant), true) = (tenant, in_share) {
            add(&mut self.tenant_served, tenant, self.now, worth);
        }
    }

    /// Queues a request that is to be sent, for the first time or again.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let group = (request.class, request.tenant, request.in_share, request.attempts.is_empty());
        self.queue.push(id, group, request.arrived, [self.queue_deadline(request), request.deadline]);
    }

    /// Longest time in the queue for a request that was never sent. It is shorter in a lasting overload,
    /// where a long wait helps nobody: it only delays everything that is served.
    fn max_queue_time(&self, class: usize) -> Millis {
        let aim = self.settings.classes[class].aim;
        let is_lasting = self.queued_since.is_some_and(|since| self.now - since > aim);
        aim * if is_lasting { MAX_WAIT_IN_BURST_AND_OVERLOAD.1 } else { MAX_WAIT_IN_BURST_AND_OVERLOAD.0 }
    }

    /// Until when a response to a queued request is useful and can be expected: a retry must be sent before
    /// the servers forget its key.
    fn queue_deadline(&self, request: &Request) -> Millis {
        let dedup_end = request.dedup_end(&self.settings.classes[request.class], &self.settings.limits);
        self.useful_until(request).min(dedup_end + self.class_stats[request.class].mean_time)
    }

    /// Returns whether a queued request has waited for too long, or is unlikely to have a response in time.
    fn is_overdue(&self, request: &Request) -> bool {
        let (class, until) = (request.class, self.queue_deadline(request));
        let max_wait = if request.attempts.is_empty() { self.max_queue_time(class) } else { f64::INFINITY };
        let end =
            (request.arrived + max_wait).min(until - self.class_stats[class].mean_time).max(request.arrived);
        let is_useful = self.settings.classes[class].late_worth > 0.0 || until > self.now;
        !is_useful || self.now > end.min(request.deadline - 2.0 * self.sweep_interval())
    }

    /// All overdue requests, in queue order. In each of the orders that the queue keeps the possibly overdue
    /// ones come first, so that the others need not be checked.
    fn all_overdue(&self) -> Vec<RequestId> {
        let (now, slack, queue) = (self.now, 2.0 * self.sweep_interval(), &self.queue);
        let mut candidates = Vec::new();
        for group in queue.groups() {
            let (max_wait, mean_time) = (self.max_queue_time(group.0), self.class_stats[group.0].mean_time);
            let waited_long =
                queue.oldest_first(group).take_while(|(arrived, _)| group.3 && now > arrived + max_wait);
            let late = queue.by_deadline(group, 0).take_while(|(until, _)| now > until - mean_time);
            let near_deadline = queue.by_deadline(group, 1).take_while(|(end, _)| now > end - slack);
            candidates.extend(waited_long.chain(late).chain(near_deadline).map(|(_, id)| id));
        }
        candidates.retain(|id| self.requests.get(id).is_some_and(|r| self.is_overdue(r)));
        queue.in_queue_order(candidates)
    }

    /// Gives overdue requests their final answer and sends queued ones while servers are ready, first those
    /// with the most gain for the goal per server time. First come, first served would shed by the length of
    /// the latency targets instead of by worth.
    pub(super) fn serve_queue(&mut self, actions: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.finished_in_queue) {
            self.queue.remove(id);
        }
        for id in self.all_overdue() {
            self.queue.remove(id);
            self.conclude(id, actions);
        }
        // A turn is taken only if some request may be sent to the server. Otherwise a request that no ready
        // server may get would use up the turns of the others.
        let has_request =
            |b: &Self, s: &Server| b.queue.groups().any(|group| b.next_queued(group, s).is_some());
        while !self.queue.is_empty() {
            let Some(server) = self.next_turn(|b, s| b.is_ready(s) && has_request(b, s)) else { break };
            let Some(id) = self.best_queued(server) else { break };
            self.queue.swap_remove(id);
            self.send(id, server, actions);
        }
        self.queued_since = if self.queue.is_empty() { None } else { self.queued_since.or(Some(self.now)) };
    }

    /// The newest request of a group that may be sent to this server. Requests of a group that were never
    /// sent may all be sent to the same servers, so only one of them is checked.
    fn next_queued(&self, group: &QueueGroup, to: &Server) -> Option<(ArrivalOrder, RequestId)> {
        let check_max = if group.3 { 1 } else { usize::MAX };
        self.queue.newest_first(group).take(check_max).find(|(_, id)| self.may_send_to(*id, to))
    }

    /// The queued request that gets this server's turn: the one with the most gain for the goal per time on
    /// this machine kind; of equal ones the newest, which has lost the least time in the queue.
    fn best_queued(&self, server: ServerId) -> Option<RequestId> {
        let to = self.servers.get(&server)?;
        let goal = &self.settings.goal;
        let demand = self.class_served.demand_rate(self.now);
        let by_class = self.class_served.marginal_gains(self.now, goal.worst_class, NEAR_WORST_FRACTION);
        let by_tenant = self.tenant_served.marginal_gains(self.now, goal.worst_tenant, NEAR_WORST_FRACTION);
        let idle_times = self.idle_times.get(&to.entry.kind);
        let gain = |&(class, tenant, in_share, _): &QueueGroup| {
            let tenant_gain = tenant.filter(|_| in_share).map_or(0.0, |t| by_tenant[t]);
            let gain_per_worth = goal.worth / demand.max(f64::MIN_POSITIVE) + by_class[class] + tenant_gain;
            let mean_time = self.class_stats[class].mean_time;
            let time = idle_times.map_or(mean_time, |t| if t[class] > 0.0 { t[class] } else { mean_time });
            self.request_worth(class, in_share) * gain_per_worth / time.max(f64::MIN_POSITIVE)
        };
        let best = self.queue.groups().filter_map(|group| Some((gain(group), self.next_queued(group, to)?)));
        best.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|(_, (_, id))| id)
    }

    /// Sends the next attempt of a request, with a timeout at the end of its use.
    pub(super) fn send(&mut self, id: RequestId, to: ServerId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.settings.classes[request.class];
        let timeout =
            if class.late_worth > 0.0 { request.deadline } else { self.useful_until(request) } - self.now;
        let pause_and_limit =
            |s: &Server| (self.pause(s, self.throttle), s.effective_limit(self.throttle, self.min_limit()));
        let (pause, limit) = self.servers.get(&to).map_or((0.0, 0.0), pause_and_limit);
        let (Some(request), Some(server)) = (self.requests.get_mut(&id), self.servers.get_mut(&to)) else {
            return;
        };
        let (zone, cell) = (server.entry.zone, server.entry.cell);
        server.in_flight.push((id, request.attempts.len()));
        let idle = self.now - server.last_sent;
        (server.last_sent, server.slow_start_baseline, server.initial_offset) =
            (self.now, self.served_per_weight, 1.0);
        let alone = server.in_flight.len() == 1;
        let at_limit =
            if limit < 1.0 { idle <= 2.0 * pause } else { 2.0 * server.in_flight.len() as f64 >= limit };
        let attempt = Attempt { server: to, zone, cell, sent: self.now, at_limit, alone, outcome: None };
        request.attempts.push(attempt);
        let may_hedge =
            self.settings.limits.second_copies && class.effect != Effect::Unsafe && !request.non_replayable;
        if may_hedge && request.attempts.len() == 1 {
            self.hedgeable[request.class].set(id, self.now);
        }
        actions.push(Action::Send { id, server: to, timeout: Some(timeout.max(0.001)) });
    }

    /// Until when a response from a server has its full worth: one tick, the time to relay it to the client,
    /// before the latency target, but at most until the client's deadline.
    pub(super) fn useful_until(&self, request: &Request) -> Millis {
        let aim = self.settings.classes[request.class].aim;
        (request.issued + aim - self.settings.tick).min(request.deadline)
    }
}
