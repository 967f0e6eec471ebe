//! The decisions; interface: `src/api.rs`.
//!
//! Each request goes to the server whose turn it is: a smooth weighted rotation over the sorted servers,
//! begun at the node's own offset, one send per turn, blind to load. A server that is not ready is passed
//! over in place. All else here settles who is ready, when an attempt is given up or repeated, and when a
//! request is refused.

mod ejection;
mod limits;
mod list;
mod overload;
mod repeats;
mod turns;

use std::collections::{BTreeMap, BTreeSet};

use magpietally_structures::{
    ArrivalOrder, DecayingRate, DeferredSet, GroupedQueue, PriorityMap, ServiceLevels, SplitMix, TokenBucket,
};

use crate::api::*;
use crate::polling::ListPolling;

const MEMORY: Millis = 60_000.0; // Over which time it is counted who is served how well.
const WARMTH_LEAST: f64 = 1e-3; // With none at all a turn would be put off for good.
const WARMTH_STEPS: f64 = 32.0; // In how many steps the subset follows the warmth of its servers.

const STAY_AWAY: f64 = 0.25; // Part of its aim that the client of a refused request should stay away.

/// What of the held requests is alike: class, tenant, within its share, and never sent yet.
type Kind = (usize, Option<usize>, bool, bool);

/// The decision module of one node.
#[derive(Default)]
pub struct Balancer {
    set: Settings,
    random: SplitMix,
    pub(crate) now: Millis,
    servers: BTreeMap<ServerId, Server>,
    ring: Vec<(u64, ServerId)>, // All servers that are up, by a hash that is the same at all nodes.
    subset: Vec<ServerId>,      // Those that it rotates over, sorted.
    reordered: bool,            // The ring has changed since.
    newcomers: Vec<ServerId>,   // Those that have no turn yet.
    turns: PriorityMap<ServerId>, // The turns of those that may be ready.
    aside: DeferredSet<ServerId>, // The others: from when, or from which factor of the fleet on, each may be.
    ejected: BTreeSet<ServerId>, // Of the subset, those that are ejected.
    looks: PriorityMap<ServerId>, // When these are looked at again, but for those that are being probed.
    cold: BTreeSet<ServerId>,   // Of the subset, those that are cold, or were when their turn was set.
    warm_next: ServerId,        // From which of these on turns come closer next.
    sizes: Option<(Millis, f64, f64)>, // When added up last, the subset's size, and that of its warm ones.
    chosen: Millis,             // When the subset was last chosen.
    requests: BTreeMap<RequestId, Request>,
    waiting: GroupedQueue<Kind, RequestId>, // Requests held at the node.
    singles: Vec<PriorityMap<RequestId>>,   // By class, when each was first sent that may have a second copy.
    left: Vec<RequestId>,                   // Of these, those that are over.
    cursor: f64,                            // The turn that was taken last.
    cursor_at: Option<ServerId>,            // The server that it fell to.
    crowd: f64, // How many times more nodes share a server than wanted: a subset can be too small to.
    held_since: Option<Millis>, // Since when some have been held without a break.
    classes: Vec<ClassStats>,
    fleet: f64, // Factor to all limits where it is below 1: how far the fleet as a whole has slowed down.
    class_served: ServiceLevels, // How well each class, and each tenant within its share, is served.
    tenant_served: ServiceLevels,
    quotas: Vec<TokenBucket>,          // Own part of each tenant's share.
    borne: f64,                        // What one unit of warm weight has borne so far, in requests.
    bore: Millis,                      // When a warm server last answered.
    times: BTreeMap<u64, Vec<Millis>>, // By kind of machine, each class's usual time with nothing else.
    retry_budget: f64,
    lost: f64,         // Part of the attempts that went unanswered, lately.
    timer_due: Millis, // When the timer comes that was asked for last.
    swept: Millis,     // When what time brings was last looked at.
    pub(crate) polling: ListPolling,
}

/// A server of the list, and what this node has seen of it.
#[derive(Default)]
struct Server {
    entry: ServerEntry,
    rotated: bool,                // It is in the subset.
    size: f64,                    // Its size as far as the list tells.
    share: f64,                   // Learned factor to its size.
    turn: f64,                    // When its next turn comes; the rotation takes the least.
    turn_warmth: f64,             // Its warmth when the turn was set.
    out: Vec<(RequestId, usize)>, // Own attempts that are out: request, attempt.
    limit: f64,                   // How many own attempts may be out while the fleet as a whole is not slow.
    last_sent: Millis,
    last_took: Millis,                  // How long its last answer took.
    consecutive_failures: u32,          // Failures in a row.
    last_reset: Millis,                 // When a connection last broke, with nothing served since.
    ejections: u32,                     // Ejections in a row.
    ejected: Option<Millis>,            // Ejected; looked at again from then on.
    class_failures: Vec<(u32, Millis)>, // By class: failures in a row, and until when it is not sent.
    down: bool, // Ejected for refused or broken connections: a process that will come back cold.
    probing: bool,
    returned: Option<Millis>, // Came back at that time from what looked like a restart.
    borne: f64,               // What a warm one had borne when this one was last sent to, or placed.
    stagger: f64,             // A part of 1, by which the first send to it is put off while it is cold.
}

struct Request {
    class: usize,
    tenant: Option<usize>,
    in_share: bool,
    asked: Millis, // When the client first asked, as far as its deadline tells.
    came: Millis,  // When this try of it came.
    deadline: Millis,
    attempts: Vec<Attempt>,
    streaming: bool,
    non_replayable: bool, // It can't be sent again once any of it went out.
}

#[derive(Clone, Copy)]
struct Attempt {
    server: ServerId,
    zone: u64,
    cell: u64,
    sent: Millis,
    at_limit: bool, // The server was at half its limit at least, or had rested for less than twice its time.
    alone: bool,    // The server held nothing else of ours.
    outcome: Option<Outcome>, // How it ended; `None` while it is out.
}

/// What is usual for a class.
#[derive(Default)]
struct ClassStats {
    mean: Millis, // Mean time to an answer.
    seen: u32,
    excess: f64,           // By how much of its aim answers exceed the target, on average.
    most_left: Millis,     // The most time that a request had left when it came.
    refused: DecayingRate, // Refusals whose clients may yet come back.
}

/// For how long a server, or one class at it, is left alone that has failed so many times.
fn backoff(set: &Settings, times: u32) -> Millis {
    (4.0 * set.limits.connect_timeout * f64::from(1u32 << times.min(10))).min(set.rules.ask_within / 4.0)
}

impl Server {
    fn new(entry: ServerEntry, classes: usize) -> Self {
        Self {
            entry,
            size: 1.0,
            share: 1.0,
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

    /// A server may turn one class away and serve the rest, as a bad release does: that class goes elsewhere
    /// for a while that grows.
    fn note_class(&mut self, class: usize, outcome: Outcome, now: Millis, set: &Settings) {
        let (failures, until) = &mut self.class_failures[class];
        match outcome {
            Outcome::Done => *failures = 0,
            // Those that were out together count once.
            Outcome::Full | Outcome::Error if now >= *until => {
                *failures += 1;
                if let Some(more) = failures.checked_sub(set.tuning.outlier_failures) {
                    *until = now + backoff(set, more);
                }
            }
            _ => {}
        }
    }

    /// How many own attempts may be out, with the fleet's factor and the least limit.
    fn allowed(&self, fleet: f64, least: f64) -> f64 {
        (self.limit * fleet.min(1.0)).max(least)
    }

    /// The part of its capacity that it has at the least, by the time since its start.
    fn warmth(&self, now: Millis, rules: &Rules) -> f64 {
        let start = self.entry.started.into_iter().chain(self.returned).fold(f64::NEG_INFINITY, f64::max);
        let age = (now - start).max(0.0);
        if age >= rules.warm_within {
            return 1.0;
        }
        (rules.cold_share + (1.0 - rules.cold_share) * age / rules.warm_within).max(WARMTH_LEAST)
    }
}

impl Balancer {
    /// A node at its start. `seed` is for its random numbers and should differ from node to node.
    ///
    /// # Errors
    /// Where the settings make no sense; see [`Settings::validate`].
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let usual =
            |c: &Class| ClassStats { mean: c.aim / 4.0, most_left: f64::NEG_INFINITY, ..Default::default() };
        Ok(Self {
            random: SplitMix(seed),
            chosen: f64::NEG_INFINITY,
            bore: f64::NEG_INFINITY,
            crowd: 1.0,
            classes: settings.classes.iter().map(usual).collect(),
            fleet: 1.0,
            class_served: ServiceLevels::new(settings.classes.len(), MEMORY),
            tenant_served: ServiceLevels::new(settings.tenants.len(), MEMORY),
            singles: vec![PriorityMap::default(); settings.classes.len()],
            quotas: vec![TokenBucket::default(); settings.tenants.len()],
            retry_budget: settings.tuning.retry_most,
            timer_due: f64::INFINITY,
            swept: f64::NEG_INFINITY,
            polling: ListPolling::new(&settings),
            set: settings,
            ..Self::default()
        })
    }

    /// Takes one event and appends what is to be done, in order.
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
            Event::ClientGone(id) => self.forget(id, actions),
            Event::Timer => {}
        }
        if now >= self.timer_due {
            self.timer_due = f64::INFINITY;
        }
        if now >= self.next_due() {
            self.sweep(actions);
        }
        // Timers cost CPU, of which a node has little: none is set but for what is to be done then.
        let due = self.next_due().max(now + self.set.tick.max(1.0));
        if due < self.timer_due {
            self.timer_due = due;
            actions.push(Action::SetTimer(due - now));
        }
    }

    /// For how long the client of a refused request of this class should stay away.
    pub fn retry_after(&self, class: usize) -> Millis {
        let aim = self.set.classes.get(class).map_or(0.0, |c| c.aim);
        (STAY_AWAY * aim).min(self.set.limits.max_retry_after)
    }

    /// What the module holds now.
    pub fn status(&self) -> BalancerStatus {
        let server = |s: &Server| ServerStatus {
            server: s.entry.server,
            in_flight: s.out.len(),
            limit: s.allowed(self.fleet, self.least_limit()),
            learned_weight: s.share,
            warmth: s.warmth(self.now, &self.set.rules),
            ejected: s.ejected.is_some(),
        };
        let (queued, open, servers) =
            (self.waiting.len(), self.requests.len(), self.up().map(server).collect());
        BalancerStatus { queued, open, fleet_factor: self.fleet, retry_budget: self.retry_budget, servers }
    }

    /// When time alone next calls for something.
    fn next_due(&self) -> Millis {
        let call = self.polling.due();
        let held = if self.waiting.is_empty() { f64::INFINITY } else { self.swept + self.period() };
        let hedge = self.hedged().filter_map(|class| self.hedges(class).next());
        let soonest = call.min(held).min(self.looks.min_priority().unwrap_or(f64::INFINITY));
        let mut due = hedge.fold(soonest, |due, (_, at)| due.min(at.max(self.swept + self.period())));
        if self.any_cold_turn() {
            due = due.min(self.chosen + self.warmth_step());
        }
        due
    }

    /// How often the subset follows the warmth of its servers.
    fn warmth_step(&self) -> Millis {
        self.set.rules.warm_within / WARMTH_STEPS
    }

    /// How often what waits is looked at: far below all aims, and for answers within a deadline's slack.
    fn period(&self) -> Millis {
        let aim = self.set.classes.iter().map(|c| c.aim).fold(f64::INFINITY, f64::min);
        (aim / 20.0).max(self.set.tick).max(1.0)
    }

    /// Was any server of the subset cold when its turn was set?
    fn any_cold_turn(&self) -> bool {
        self.cold.iter().any(|id| self.servers.get(id).is_some_and(|s| s.turn_warmth < 1.0))
    }

    fn up(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|s| s.listed_up())
    }

    /// The servers of the subset.
    fn rotated(&self) -> impl Iterator<Item = &Server> {
        self.subset.iter().filter_map(|id| self.servers.get(id))
    }

    fn sweep(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        self.swept = now;
        if self.polling.look(now, &mut self.random) {
            actions.push(Action::Subscribe);
        }
        let mut due: Vec<ServerId> = self.looks.up_to(now).collect();
        due.sort_unstable();
        for id in due {
            if self.set.limits.probes {
                actions.push(Action::Probe(id));
                if let Some(server) = self.servers.get_mut(&id) {
                    server.probing = true;
                }
                self.note(id);
            } else {
                self.on_probed(id, Outcome::Done, 0.0);
            }
        }
        let missed = self.hedged().flat_map(|class| self.hedges(class).take_while(|(_, at)| now >= *at));
        let missed: BTreeSet<RequestId> = missed.map(|(id, _)| id).collect();
        for id in missed {
            if let Some(server) = self.next_turn(|b, s| b.ready(s) && b.may_go(id, s)) {
                self.send(id, server, actions);
            }
        }
        if now >= self.chosen + self.warmth_step() && self.any_cold_turn() {
            self.choose_subset();
        }
        self.serve_waiting(actions);
    }
}
