//! The balancing decisions of one node; interface: `src/api.rs`.
//!
//! Smooth weighted round robin over the node's subset of servers, in the order of their ids from the node's
//! own offset on: one send per turn, whatever the load. A server that is not ready is skipped and keeps its
//! place. The rest decides who is ready, when an attempt times out or is retried, and what is refused.
//!
//! The module has no clock and does no I/O. [`Balancer::handle`] takes one event with the present time and
//! appends the resulting actions. The submodules hold the parts of the decision:
//!
//! - `list`: the servers that exist, and the subset that this node sends to;
//! - `turns`: the rotation, and which servers are ready for their turn;
//! - `overload`: the queue, and which requests are sent first or refused;
//! - `repeats`: the ends of attempts, retries, hedged requests and final answers;
//! - `ejection`: outlier ejection;
//! - `limits`: concurrency limits and learned weights.

mod ejection;
mod limits;
mod list;
mod overload;
mod repeats;
mod turns;

use std::collections::{BTreeMap, BTreeSet};

use magpietally_structures::{
    DecayingRate, DeferredSet, GroupedQueue, PriorityMap, ServiceLevels, SplitMix, TokenBucket,
};

use crate::api::{
    Action, BalancerStatus, Class, Event, ListedState, Millis, Outcome, RequestId, Rules, ServerEntry,
    ServerId, ServerStatus, Settings, SettingsError,
};
use crate::polling::ListPolling;

/// Decay time of the service levels of classes and tenants: past demand and service lose a factor e in each.
const SERVICE_DECAY_TIME: Millis = 60_000.0;

/// Least warmth of a server: at a warmth of 0 its next turn would never come.
const WARMTH_MIN: f64 = 1e-3;

/// Number of steps, within [`Rules::warm_within`], in which the subset follows the warmth of its servers.
const WARMTH_STEPS: f64 = 32.0;

/// Retry-after of a refused request, as a fraction of the latency target of its class.
const RETRY_AFTER_FRACTION: f64 = 0.25;

/// What the requests of a group in the queue have in common: class, tenant, whether they are within the
/// tenant's share, whether they were never sent.
type QueueGroup = (usize, Option<usize>, bool, bool);

/// The decision module of one node.
#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    random: SplitMix,
    /// Time of the latest event.
    pub(crate) now: Millis,
    servers: BTreeMap<ServerId, Server>,
    /// All servers that are up, ordered by a hash of their ids that is the same on all nodes.
    ring: Vec<(u64, ServerId)>,
    /// The servers that this node rotates over, sorted by id.
    subset: Vec<ServerId>,
    /// Whether the ring has changed since the subset was chosen.
    ring_changed: bool,
    /// Servers that have no turn yet.
    unplaced: Vec<ServerId>,
    /// Next turns of the servers of the subset that may be ready.
    turns: PriorityMap<ServerId>,
    /// The other servers of the subset, each until a time or a level of the throttle at which it may be
    /// ready.
    deferred: DeferredSet<ServerId>,
    /// The ejected servers of the subset.
    ejected: BTreeSet<ServerId>,
    /// When each ejected server is probed next. Those that are being probed are left out.
    probe_due: PriorityMap<ServerId>,
    /// Servers of the subset that are cold, or were when their turn was set.
    cold: BTreeSet<ServerId>,
    /// The cold server at which the next update of the turns of cold servers begins.
    warm_up_from: ServerId,
    /// Cache of `subset_sizes`: time of the sums, total size of the subset, total size of its warm servers.
    cached_sizes: Option<(Millis, f64, f64)>,
    /// When the subset was last chosen.
    subset_chosen_at: Millis,
    /// All requests without a final answer, queued or sent.
    requests: BTreeMap<RequestId, Request>,
    /// Requests that wait for a server. The queue keeps two deadlines of each: the latest useful time of a
    /// response, and the client's deadline.
    queue: GroupedQueue<QueueGroup, RequestId>,
    /// By class: requests that may be hedged, by the time of their first send.
    hedgeable: Vec<PriorityMap<RequestId>>,
    /// Finished requests that are still in the queue.
    finished_in_queue: Vec<RequestId>,
    /// The turn that was taken last. Turns are positions on a common scale that starts at 0; see
    /// `place_new_servers`.
    cursor: f64,
    /// The server that took it.
    cursor_server: Option<ServerId>,
    /// Number of nodes that share a server over the wanted number, at least 1. It is above 1 where the
    /// subsets have their least size, and would have to be smaller for the wanted number.
    contention: f64,
    /// Since when the queue has not been empty.
    queued_since: Option<Millis>,
    class_stats: Vec<ClassStats>,
    /// Factor on all limits while it is below 1: how far the whole fleet has slowed down.
    throttle: f64,
    /// How well each class is served, by worth.
    class_served: ServiceLevels,
    /// How well each tenant is served within its share, by worth.
    tenant_served: ServiceLevels,
    /// This node's part of each tenant's share.
    quota_buckets: Vec<TokenBucket>,
    /// Requests that the warm servers have answered so far, per unit of their total size; see
    /// `record_answer`. It is the measure of what cold servers may be sent; see `within_slow_start`.
    served_per_weight: f64,
    /// When a warm server last answered.
    last_warm_response: Millis,
    /// By machine kind, then by class: usual response time of a server without other attempts of this node,
    /// in milliseconds; 0 if unknown.
    idle_times: BTreeMap<u64, Vec<Millis>>,
    /// Retries that may still be sent, not counting those after attempts that certainly never ran.
    retry_budget: f64,
    /// Recent fraction of attempts without a response.
    loss_rate: f64,
    /// When the timer that was set last fires.
    timer_due: Millis,
    /// When due work was last checked.
    last_sweep: Millis,
    pub(crate) polling: ListPolling,
}

/// A listed server and what this node has observed of it.
#[derive(Default)]
struct Server {
    entry: ServerEntry,
    in_subset: bool,
    /// Its size as far as the list tells, relative to the other servers.
    size: f64,
    /// Learned factor on its size.
    learned_weight: f64,
    /// Its next turn, on the scale of the cursor; the rotation takes the lowest. NaN: none yet.
    turn: f64,
    /// Its warmth when the turn was set.
    turn_warmth: f64,
    /// This node's attempts in flight: request, attempt number.
    in_flight: Vec<(RequestId, usize)>,
    /// Limit of this node's attempts in flight, as it is while the throttle is 1 or more. NaN: not set yet.
    limit: f64,
    /// When an attempt was last sent to it.
    last_sent: Millis,
    /// How long its last response took.
    last_duration: Millis,
    consecutive_failures: u32,
    /// When a connection last broke, with no request served since.
    last_reset: Millis,
    /// Ejections in a row, with no request served between them.
    ejections: u32,
    /// `Some` while it is ejected: the time from which it is probed.
    ejected: Option<Millis>,
    /// By class: failures in a row, and until when the server is avoided for the class.
    class_failures: Vec<(u32, Millis)>,
    /// Whether its process is known to be down, as connections were refused: it will come back cold.
    down: bool,
    /// Whether a probe is in flight.
    probing: bool,
    /// When it came back from what looked like a restart.
    returned_at: Option<Millis>,
    /// While it is cold, its budget is what `served_per_weight` has gained over this value: its level when
    /// the server was last sent to or placed, less credit for the server's own responses.
    slow_start_baseline: f64,
    /// Budget that its next send needs while it is cold, in sends: a random fraction before the first send,
    /// which delays it, and 1 after that.
    initial_offset: f64,
}

/// A client request without a final answer.
struct Request {
    class: usize,
    tenant: Option<usize>,
    /// Whether it is within its tenant's share.
    in_share: bool,
    /// When the client first sent it, as far as its deadline tells.
    issued: Millis,
    /// When this try of the client arrived.
    arrived: Millis,
    deadline: Millis,
    attempts: Vec<Attempt>,
    /// Whether its response has begun to stream.
    streaming: bool,
    /// Whether it can't be sent again once any part of it was sent.
    non_replayable: bool,
}

/// One send of a request to a server.
#[derive(Clone, Copy)]
struct Attempt {
    server: ServerId,
    zone: u64,
    cell: u64,
    sent: Millis,
    /// Whether the server was at half its limit or more; for a limit below 1, whether the last send to it was
    /// at most twice its pause ago. Only such an attempt tells whether the limit is right.
    at_limit: bool,
    /// Whether the server had no other attempt of this node.
    alone: bool,
    /// `None` while in flight.
    outcome: Option<Outcome>,
}

/// What is usual for a class.
#[derive(Default)]
struct ClassStats {
    /// Mean response time, of about the last 200 responses.
    mean_time: Millis,
    /// Number of responses so far.
    responses: u32,
    /// By how much responses exceed `limits::EXCESS_FROM_PACE` on average, in multiples of the latency
    /// target.
    mean_excess: f64,
    /// Longest time to the deadline that any request had at its arrival.
    max_time_left: Millis,
    /// Refusals whose clients may still return.
    refusals: DecayingRate,
}

/// How long a server, or one class on it, is avoided after failures: four connect timeouts, doubled
/// `doublings` times (ten at most), but no longer than a quarter of [`Rules::ask_within`].
fn backoff(settings: &Settings, doublings: u32) -> Millis {
    (4.0 * settings.limits.connect_timeout * f64::from(1u32 << doublings.min(10)))
        .min(settings.rules.ask_within / 4.0)
}

impl Server {
    fn new(entry: ServerEntry, classes: usize) -> Self {
        Self {
            entry,
            size: 1.0,
            learned_weight: 1.0,
            turn: f64::NAN,
            turn_warmth: 1.0,
            limit: f64::NAN,
            last_sent: f64::NEG_INFINITY,
            last_reset: f64::NEG_INFINITY,
            class_failures: vec![(0, f64::NEG_INFINITY); classes],
            ..Self::default()
        }
    }

    /// Returns whether the server is listed as in service.
    fn is_listed_up(&self) -> bool {
        self.entry.state == ListedState::Up
    }

    /// Avoids the server for a class that it keeps failing, for growing times: a bad release may fail or
    /// reject one class and serve the others.
    fn record_class_outcome(&mut self, class: usize, outcome: Outcome, now: Millis, settings: &Settings) {
        let (failures, until) = &mut self.class_failures[class];
        match outcome {
            Outcome::Done => *failures = 0,
            // Attempts that were in flight together count as one failure.
            Outcome::Full | Outcome::Error if now >= *until => {
                *failures += 1;
                if let Some(further) = failures.checked_sub(settings.tuning.outlier_failures) {
                    *until = now + backoff(settings, further);
                }
            }
            _ => {}
        }
    }

    /// Limit of this node's attempts in flight, with the throttle and the minimum applied. Below 1 it stands
    /// for a pause between attempts; see `Balancer::pause`.
    fn effective_limit(&self, throttle: f64, min: f64) -> f64 {
        (self.limit * throttle.min(1.0)).max(min)
    }

    /// The fraction of its capacity that the server has at least, by the time since its start or return: it
    /// grows evenly from [`Rules::cold_share`] to 1. A server below 1 is cold.
    fn warmth(&self, now: Millis, rules: &Rules) -> f64 {
        let start = self.entry.started.into_iter().chain(self.returned_at).fold(f64::NEG_INFINITY, f64::max);
        let age = (now - start).max(0.0);
        if age >= rules.warm_within {
            return 1.0;
        }
        (rules.cold_share + (1.0 - rules.cold_share) * age / rules.warm_within).max(WARMTH_MIN)
    }
}

impl Balancer {
    /// Creates the module of a node. The `seed` of its random numbers should differ from node to node.
    ///
    /// # Errors
    /// Invalid settings; see [`Settings::validate`].
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let initial_stats = |c: &Class| ClassStats {
            mean_time: c.aim / 4.0,
            max_time_left: f64::NEG_INFINITY,
            ..Default::default()
        };
        Ok(Self {
            random: SplitMix(seed),
            subset_chosen_at: f64::NEG_INFINITY,
            last_warm_response: f64::NEG_INFINITY,
            contention: 1.0,
            class_stats: settings.classes.iter().map(initial_stats).collect(),
            throttle: 1.0,
            class_served: ServiceLevels::new(settings.classes.len(), SERVICE_DECAY_TIME),
            tenant_served: ServiceLevels::new(settings.tenants.len(), SERVICE_DECAY_TIME),
            hedgeable: vec![PriorityMap::default(); settings.classes.len()],
            quota_buckets: vec![TokenBucket::default(); settings.tenants.len()],
            retry_budget: settings.tuning.retry_most,
            timer_due: f64::INFINITY,
            last_sweep: f64::NEG_INFINITY,
            polling: ListPolling::new(&settings),
            settings,
            ..Self::default()
        })
    }

    /// Handles one event and appends the resulting actions in order.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::List { entries, saved } => self.on_list(entries, !saved, true),
            Event::ListChange(entries) => self.on_list(entries, true, false),
            Event::ListFailed(failure) => self.polling.failed(now, failure, &mut self.random),
            Event::DiscoveryMoved => self.polling.moved(now),
            Event::Request { .. } => self.on_request(event, actions),
            Event::Streaming { id, attempt } => self.on_streaming(id, attempt, actions),
            Event::Ended { .. } => self.on_ended(event, actions),
            Event::Probed { server, outcome, took } => self.on_probed(server, outcome, took),
            Event::ClientGone(id) => self.remove_request(id, actions),
            Event::Timer => {}
        }
        // From this time on the timer that was set last has fired, or its event is about to follow.
        if now >= self.timer_due {
            self.timer_due = f64::INFINITY;
        }
        if now >= self.next_due() {
            self.sweep(actions);
        }
        // Timers cost CPU time, of which a node has little: one is set only when work will be due.
        let due = self.next_due().max(now + self.settings.tick.max(1.0));
        if due < self.timer_due {
            self.timer_due = due;
            actions.push(Action::SetTimer(due - now));
        }
    }

    /// How long the client of a refused request of this class should wait before it retries, within what
    /// clients can be told.
    pub fn retry_after(&self, class: usize) -> Millis {
        let aim = self.settings.classes.get(class).map_or(0.0, |c| c.aim);
        (RETRY_AFTER_FRACTION * aim).min(self.settings.limits.max_retry_after)
    }

    /// The current state, for logs.
    pub fn status(&self) -> BalancerStatus {
        let server_status = |s: &Server| ServerStatus {
            server: s.entry.server,
            in_flight: s.in_flight.len(),
            limit: s.effective_limit(self.throttle, self.min_limit()),
            learned_weight: s.learned_weight,
            warmth: s.warmth(self.now, &self.settings.rules),
            ejected: s.ejected.is_some(),
        };
        let (queued, open, servers) =
            (self.queue.len(), self.requests.len(), self.servers_up().map(server_status).collect());
        BalancerStatus { queued, open, fleet_factor: self.throttle, retry_budget: self.retry_budget, servers }
    }

    /// The earliest time at which work is due without another event.
    fn next_due(&self) -> Millis {
        let list_call = self.polling.due();
        let queue_check =
            if self.queue.is_empty() { f64::INFINITY } else { self.last_sweep + self.sweep_interval() };
        let hedges = self.hedged_classes().filter_map(|class| self.hedge_candidates(class).next());
        let soonest = list_call.min(queue_check).min(self.probe_due.min_priority().unwrap_or(f64::INFINITY));
        let mut due =
            hedges.fold(soonest, |due, (_, at)| due.min(at.max(self.last_sweep + self.sweep_interval())));
        if self.has_cold_turns() {
            due = due.min(self.subset_chosen_at + self.warmth_interval());
        }
        due
    }

    /// Interval at which the subset follows the warmth of its servers.
    fn warmth_interval(&self) -> Millis {
        self.settings.rules.warm_within / WARMTH_STEPS
    }

    /// Interval between checks of the queue and of overdue attempts: a twentieth of the shortest latency
    /// target, so that requests are answered within the slack of their deadlines.
    fn sweep_interval(&self) -> Millis {
        let aim = self.settings.classes.iter().map(|c| c.aim).fold(f64::INFINITY, f64::min);
        (aim / 20.0).max(self.settings.tick).max(1.0)
    }

    /// Returns whether any server of the subset was cold when its turn was set.
    fn has_cold_turns(&self) -> bool {
        self.cold.iter().any(|id| self.servers.get(id).is_some_and(|s| s.turn_warmth < 1.0))
    }

    /// All servers that are listed as in service.
    fn servers_up(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|s| s.is_listed_up())
    }

    /// The servers of the subset, ready or not.
    fn subset_servers(&self) -> impl Iterator<Item = &Server> {
        self.subset.iter().filter_map(|id| self.servers.get(id))
    }

    /// Does all work that is due: a call for the list, probes, hedged requests, an update of the subset to
    /// the warmth of its servers, and the queue.
    fn sweep(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        self.last_sweep = now;
        if self.polling.start_call(now, &mut self.random) {
            actions.push(Action::Subscribe);
        }
        let mut to_probe: Vec<ServerId> = self.probe_due.up_to(now).collect();
        to_probe.sort_unstable();
        for id in to_probe {
            if self.settings.limits.probes {
                actions.push(Action::Probe(id));
                if let Some(server) = self.servers.get_mut(&id) {
                    server.probing = true;
                }
                self.update_indexes(id);
            } else {
                // Without probes a server simply returns after its backoff.
                self.on_probed(id, Outcome::Done, 0.0);
            }
        }
        let overdue = self
            .hedged_classes()
            .flat_map(|class| self.hedge_candidates(class).take_while(|(_, at)| now >= *at));
        let overdue: BTreeSet<RequestId> = overdue.map(|(id, _)| id).collect();
        for id in overdue {
            if let Some(server) = self.next_turn(|b, s| b.is_ready(s) && b.may_send_to(id, s)) {
                self.send(id, server, actions);
            }
        }
        if now >= self.subset_chosen_at + self.warmth_interval() && self.has_cold_turns() {
            self.choose_subset();
        }
        self.serve_queue(actions);
    }
}
