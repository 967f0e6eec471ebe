//! The balancing decisions of one node; interface: `src/api.rs`.
//!
//! Smooth weighted round robin over the node's subset of servers, in the order of their ids from the node's
//! own offset on: one send per turn, whatever the load. A server that is not ready is skipped and keeps its
//! place. The rest decides who is ready, when an attempt times out or is retried, and what is refused.

mod ejection;
mod limits;
mod list;
mod overload;
mod repeats;
mod turns;

use std::collections::{BTreeMap, BTreeSet};

use magpietally_structures::*;

use crate::api::*;
use crate::polling::ListPolling;

const SERVICE_MEMORY: Millis = 60_000.0; // Time constant of the service levels of classes and tenants.
const WARMTH_MIN: f64 = 1e-3; // At a warmth of 0 the next turn would never come.
const WARMTH_STEPS: f64 = 32.0; // Steps in which the subset follows the warmth of its servers.

const RETRY_AFTER: f64 = 0.25; // Retry-after of a refused request, as a fraction of its latency target.

/// What groups queued requests: class, tenant, whether within the tenant's share, whether never sent yet.
type QueueGroup = (usize, Option<usize>, bool, bool);

/// The decision module of one node.
#[derive(Default)]
pub struct Balancer {
    cfg: Settings,
    random: SplitMix,
    pub(crate) now: Millis,
    servers: BTreeMap<ServerId, Server>,
    ring: Vec<(u64, ServerId)>, // All servers that are up, by a hash that is the same on all nodes.
    subset: Vec<ServerId>,      // The servers that this node rotates over, sorted.
    ring_changed: bool,         // Whether the ring has changed since the subset was chosen.
    unplaced: Vec<ServerId>,    // Servers without a turn yet.
    turns: PriorityMap<ServerId>, // Next turns of the servers that may be ready.
    deferred: DeferredSet<ServerId>, // The others, until a time or a throttle at which each may be.
    ejected: BTreeSet<ServerId>, // The ejected servers of the subset.
    probe_due: PriorityMap<ServerId>, // When each of these is probed, without those being probed now.
    cold: BTreeSet<ServerId>,   // Servers of the subset that are cold, or were when their turn was set.
    warm_up_from: ServerId,     // The cold server at which the next update of turns begins.
    sizes: Option<(Millis, f64, f64)>, // Cache: time, total size of the subset, of its warm servers.
    subset_chosen: Millis,      // When the subset was last chosen.
    requests: BTreeMap<RequestId, Request>,
    queue: GroupedQueue<QueueGroup, RequestId>,
    hedgeable: Vec<PriorityMap<RequestId>>, // By class: first sends of requests that may be hedged.
    finished: Vec<RequestId>,               // Finished requests that are still in the queue.
    cursor: f64,                            // The turn taken last.
    cursor_server: Option<ServerId>,        // The server that took it.
    contention: f64, // Nodes per server over the wanted number; above 1 where subsets have their least size.
    queued_since: Option<Millis>, // Since when the queue has not been empty.
    classes: Vec<ClassStats>,
    throttle: f64, // Scales all limits while below 1: how far the whole fleet has slowed down.
    class_served: ServiceLevels,
    tenant_served: ServiceLevels,           // Within the tenants' shares.
    quotas: Vec<TokenBucket>,               // This node's part of each tenant's share.
    served_per_weight: f64,                 // Requests answered so far per unit of warm weight.
    last_warm_response: Millis,             // When a warm server last answered.
    idle_times: BTreeMap<u64, Vec<Millis>>, // By machine kind and class: usual time on an idle server.
    retry_budget: f64,
    loss: f64,          // Recent fraction of attempts without a response.
    timer_due: Millis,  // When the timer set last fires.
    last_sweep: Millis, // When due work was last checked.
    pub(crate) polling: ListPolling,
}

/// A listed server and what this node has observed of it.
#[derive(Default)]
struct Server {
    entry: ServerEntry,
    in_subset: bool,
    size: f64,                     // Its size as far as the list tells.
    learned: f64,                  // Learned factor to its size.
    turn: f64,                     // Its next turn; the rotation takes the lowest.
    turn_warmth: f64,              // Its warmth when the turn was set.
    open: Vec<(RequestId, usize)>, // This node's attempts: request, attempt number.
    limit: f64,                    // Limit of in-flight attempts while the throttle is 1 or more.
    last_sent: Millis,
    last_duration: Millis, // How long its last response took.
    consecutive_failures: u32,
    last_reset: Millis,      // When a connection last broke, with nothing served since.
    ejections: u32,          // Ejections in a row.
    ejected: Option<Millis>, // `Some` while ejected; probed from this time on.
    class_failures: Vec<(u32, Millis)>, // By class: failures in a row, and until when it is avoided.
    down: bool,              // Ejected for refused or broken connections: the process will come back cold.
    probing: bool,
    returned_at: Option<Millis>, // When it came back from what looked like a restart.
    baseline: f64, // `served_per_weight` when it was last sent to or placed, less credit for own answers.
    initial_offset: f64, // Fraction of a send by which the first send is delayed while it is cold.
}

struct Request {
    class: usize,
    tenant: Option<usize>,
    in_share: bool,
    issued: Millis,  // When the client first sent it, as far as its deadline tells.
    arrived: Millis, // When this try of the client arrived.
    deadline: Millis,
    attempts: Vec<Attempt>,
    streams: bool,        // Whether its response has begun to stream.
    non_replayable: bool, // Whether it can't be sent again once any part of it was sent.
}

#[derive(Clone, Copy)]
struct Attempt {
    server: ServerId,
    zone: u64,
    cell: u64,
    sent: Millis,
    at_limit: bool, // The server was at half its limit or more, or sent to within twice its pause.
    alone: bool,    // The server had no other attempt of this node.
    outcome: Option<Outcome>, // `None` while in flight.
}

/// What is usual for a class.
#[derive(Default)]
struct ClassStats {
    mean: Millis, // Mean response time.
    count: u32,
    excess: f64,      // Mean excess of response times over `EXCESS_FROM`, relative to the target.
    max_left: Millis, // Longest time to the deadline of any request at its arrival.
    refused: DecayingRate, // Refusals whose clients may still return.
}

/// How long a server, or one class on it, is avoided after `times` failures in a row.
fn backoff(cfg: &Settings, times: u32) -> Millis {
    (4.0 * cfg.limits.connect_timeout * f64::from(1u32 << times.min(10))).min(cfg.rules.ask_within / 4.0)
}

impl Server {
    fn new(entry: ServerEntry, classes: usize) -> Self {
        Self {
            entry,
            size: 1.0,
            learned: 1.0,
            turn: f64::NAN,
            turn_warmth: 1.0,
            limit: f64::NAN,
            last_sent: f64::NEG_INFINITY,
            last_reset: f64::NEG_INFINITY,
            class_failures: vec![(0, f64::NEG_INFINITY); classes],
            ..Self::default()
        }
    }

    fn listed_up(&self) -> bool {
        self.entry.state == ListedState::Up
    }

    /// Avoids the server for a class that it keeps failing, for growing times; it may serve the others.
    fn record_class_outcome(&mut self, class: usize, outcome: Outcome, now: Millis, cfg: &Settings) {
        let (failures, until) = &mut self.class_failures[class];
        match outcome {
            Outcome::Done => *failures = 0,
            // Attempts that were in flight together count once.
            Outcome::Full | Outcome::Error if now >= *until => {
                *failures += 1;
                if let Some(more) = failures.checked_sub(cfg.tuning.outlier_failures) {
                    *until = now + backoff(cfg, more);
                }
            }
            _ => {}
        }
    }

    /// Limit of this node's in-flight attempts, with the throttle and the minimum applied.
    fn allowed(&self, throttle: f64, min: f64) -> f64 {
        (self.limit * throttle.min(1.0)).max(min)
    }

    /// The least fraction of its capacity that it has, by the time since its start.
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
        let usual =
            |c: &Class| ClassStats { mean: c.aim / 4.0, max_left: f64::NEG_INFINITY, ..Default::default() };
        Ok(Self {
            random: SplitMix(seed),
            subset_chosen: f64::NEG_INFINITY,
            last_warm_response: f64::NEG_INFINITY,
            contention: 1.0,
            classes: settings.classes.iter().map(usual).collect(),
            throttle: 1.0,
            class_served: ServiceLevels::new(settings.classes.len(), SERVICE_MEMORY),
            tenant_served: ServiceLevels::new(settings.tenants.len(), SERVICE_MEMORY),
            hedgeable: vec![PriorityMap::default(); settings.classes.len()],
            quotas: vec![TokenBucket::default(); settings.tenants.len()],
            retry_budget: settings.tuning.retry_most,
            timer_due: f64::INFINITY,
            last_sweep: f64::NEG_INFINITY,
            polling: ListPolling::new(&settings),
            cfg: settings,
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
        if now >= self.timer_due {
            self.timer_due = f64::INFINITY;
        }
        if now >= self.next_due() {
            self.sweep(actions);
        }
        // Timers cost CPU: one is set only for work that will be due.
        let due = self.next_due().max(now + self.cfg.tick.max(1.0));
        if due < self.timer_due {
            self.timer_due = due;
            actions.push(Action::SetTimer(due - now));
        }
    }

    /// How long the client of a refused request of this class should wait before it retries.
    pub fn retry_after(&self, class: usize) -> Millis {
        let aim = self.cfg.classes.get(class).map_or(0.0, |c| c.aim);
        (RETRY_AFTER * aim).min(self.cfg.limits.max_retry_after)
    }

    /// The current state, for logs.
    pub fn status(&self) -> BalancerStatus {
        let server = |s: &Server| ServerStatus {
            server: s.entry.server,
            in_flight: s.open.len(),
            limit: s.allowed(self.throttle, self.min_limit()),
            learned_weight: s.learned,
            warmth: s.warmth(self.now, &self.cfg.rules),
            ejected: s.ejected.is_some(),
        };
        let (queued, open, servers) =
            (self.queue.len(), self.requests.len(), self.up().map(server).collect());
        BalancerStatus { queued, open, fleet_factor: self.throttle, retry_budget: self.retry_budget, servers }
    }

    /// The earliest time at which work is due without another event.
    fn next_due(&self) -> Millis {
        let call = self.polling.due();
        let queue = if self.queue.is_empty() { f64::INFINITY } else { self.last_sweep + self.period() };
        let hedge = self.hedged().filter_map(|class| self.hedges(class).next());
        let soonest = call.min(queue).min(self.probe_due.min_priority().unwrap_or(f64::INFINITY));
        let mut due = hedge.fold(soonest, |due, (_, at)| due.min(at.max(self.last_sweep + self.period())));
        if self.has_cold_turns() {
            due = due.min(self.subset_chosen + self.warmth_interval());
        }
        due
    }

    /// Interval at which the subset follows the warmth of its servers.
    fn warmth_interval(&self) -> Millis {
        self.cfg.rules.warm_within / WARMTH_STEPS
    }

    /// Interval between queue checks: far below all latency targets and within the slack of a deadline.
    fn period(&self) -> Millis {
        let aim = self.cfg.classes.iter().map(|c| c.aim).fold(f64::INFINITY, f64::min);
        (aim / 20.0).max(self.cfg.tick).max(1.0)
    }

    /// Returns whether any server of the subset was cold when its turn was set.
    fn has_cold_turns(&self) -> bool {
        self.cold.iter().any(|id| self.servers.get(id).is_some_and(|s| s.turn_warmth < 1.0))
    }

    fn up(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|s| s.listed_up())
    }

    fn rotation(&self) -> impl Iterator<Item = &Server> {
        self.subset.iter().filter_map(|id| self.servers.get(id))
    }

    fn sweep(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        self.last_sweep = now;
        if self.polling.start_call(now, &mut self.random) {
            actions.push(Action::Subscribe);
        }
        let mut due: Vec<ServerId> = self.probe_due.up_to(now).collect();
        due.sort_unstable();
        for id in due {
            if self.cfg.limits.probes {
                actions.push(Action::Probe(id));
                if let Some(server) = self.servers.get_mut(&id) {
                    server.probing = true;
                }
                self.update_indexes(id);
            } else {
                self.on_probed(id, Outcome::Done, 0.0);
            }
        }
        let missed = self.hedged().flat_map(|class| self.hedges(class).take_while(|(_, at)| now >= *at));
        let missed: BTreeSet<RequestId> = missed.map(|(id, _)| id).collect();
        for id in missed {
            if let Some(server) = self.next_turn(|b, s| b.is_ready(s) && b.may_send_to(id, s)) {
                self.send(id, server, actions);
            }
        }
        if now >= self.subset_chosen + self.warmth_interval() && self.has_cold_turns() {
            self.choose_subset();
        }
        self.serve_queue(actions);
    }
}
