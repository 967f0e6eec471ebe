//! Simulates fleets of nodes in virtual time in front of servers that start cold, and records what all nodes
//! together send to each cold server. Nodes share nothing; a server answers in order at its present capacity.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use magpietally_policy::*;

const SERVERS: u64 = 10;
/// Sends beyond a budget of N that count as chance: this many times the root of N, plus this many.
pub const CHANCE_MARGIN: (f64, f64) = (2.0, 2.0);
const START: f64 = 8_000.0; // When the cold servers start.
const OBSERVED: f64 = 8_000.0; // How long they are observed.
const LIST_DELAY_MAX: f64 = 200.0; // Lists reach the nodes within this time.
const ONE_WAY: f64 = 1.0;
const RESPONSE_TIME_MIN: f64 = 20.0;
const BACKLOG_MAX: f64 = 200.0; // Longest work time of the backlog of a server.

/// The conditions of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub name: &'static str,
    /// Requests per second of all nodes together.
    pub per_s: f64,
    /// These requests as a fraction of the capacity of all servers when warm.
    pub load: f64,
    pub servers: u64,
    /// Number of servers that start.
    pub cold: u64,
    /// Fraction of the nodes that start at that time, and the time within which they do.
    pub restart: (f64, f64),
    /// Whether one node in ten gets five times the traffic of the others.
    pub uneven: bool,
    /// Whether traffic is five times as high for half a second of every two.
    pub bursts: bool,
    /// Number of warm servers that hang once the cold ones start.
    pub hanging: u64,
    /// Number of warm servers that refuse connections from then on.
    pub down: u64,
    /// Whether refused clients retry, up to three times.
    pub clients_retry: bool,
    /// An injected fault: the nodes ignore the policy and use plain round robin.
    pub ignore_policy: bool,
}

const BASE: Scenario = Scenario {
    name: "one of ten servers starts",
    per_s: 600.0,
    load: 0.6,
    servers: SERVERS,
    cold: 1,
    restart: (0.0, 0.0),
    uneven: false,
    bursts: false,
    hanging: 0,
    down: 0,
    clients_retry: false,
    ignore_policy: false,
};

const WITH_RETRIES: Scenario = Scenario {
    name: "all servers and nodes start, clients retry",
    cold: SERVERS,
    restart: (1.0, 200.0),
    clients_retry: true,
    ..BASE
};

pub const SCENARIOS: [Scenario; 20] = [
    BASE,
    Scenario { name: "one starts, fleet nearly full", load: 0.95, ..BASE },
    Scenario { name: "very little traffic", per_s: 20.0, ..BASE },
    Scenario { name: "overload", load: 1.5, ..BASE },
    Scenario { name: "uneven traffic", uneven: true, ..BASE },
    Scenario { name: "bursts", bursts: true, load: 0.4, ..BASE },
    Scenario { name: "six of ten start", cold: 6, load: 0.4, ..BASE },
    Scenario { name: "half of the others hang", hanging: 5, load: 0.4, ..BASE },
    Scenario { name: "all others hang", hanging: 9, load: 0.4, ..BASE },
    Scenario { name: "all others are down", down: 9, load: 0.4, ..BASE },
    Scenario { name: "all nodes start as well", restart: (1.0, 200.0), ..BASE },
    Scenario { name: "all nodes start, little traffic", restart: (1.0, 200.0), per_s: 20.0, ..BASE },
    Scenario { name: "one node in ten starts", restart: (0.1, 2_000.0), ..BASE },
    Scenario { name: "all servers start", cold: SERVERS, ..BASE },
    Scenario { name: "all servers and all nodes start", cold: SERVERS, restart: (1.0, 200.0), ..BASE },
    WITH_RETRIES,
    Scenario { name: "clients retry, fleet nearly full", load: 0.95, ..WITH_RETRIES },
    Scenario { name: "clients retry, ten times the traffic", per_s: 6_000.0, load: 0.95, ..WITH_RETRIES },
    Scenario { name: "clients retry, little traffic", per_s: 20.0, load: 0.95, ..WITH_RETRIES },
    Scenario { name: "thirty of fifty start", servers: 50, cold: 30, per_s: 3_000.0, load: 0.4, ..BASE },
];

/// The result of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// The worst window of any cold server: sends, and the budget N.
    pub sends: usize,
    pub budget: f64,
    /// Its sends over N plus chance; above 1 is too many.
    pub worst: f64,
    /// Fraction of the requests since the start that were served in time.
    pub served: f64,
    /// Sends to the cold servers as a fraction of their capacity.
    pub used: f64,
}

pub fn rules() -> Rules {
    Rules {
        ask_within: 10_000.0,
        cold_share: 0.15,
        warm_within: 20_000.0,
        fall_multiple: 3.0,
        fall_window: 1_000.0,
        drain_grace: 750.0,
    }
}

fn settings(number: usize, nodes: usize) -> Settings {
    Settings {
        number,
        nodes,
        classes: vec![Class { aim: 300.0, worth: 1.0, late_worth: 0.0, effect: Effect::Safe }],
        over_share_worth: 1.0,
        goal: Goal { worth: 1.0, ..Goal::default() },
        limits: Limits {
            attempts: 3,
            second_copies: false,
            cancel: true,
            probes: true,
            connect_timeout: 100.0,
            max_retry_after: 1_000.0,
        },
        rules: rules(),
        discovery: Discovery::Pushed,
        weights: Weights::None,
        tick: 2.0,
        ..Settings::default()
    }
}

/// The capacity of a server as a fraction of its warm capacity: the least that the rules permit.
fn warmth(age: f64, rules: &Rules) -> f64 {
    (rules.cold_share + (1.0 - rules.cold_share) * (age / rules.warm_within).max(0.0)).min(1.0)
}

/// The worst window of one cold server: sends, budget, and sends over what is allowed. `sends` are the times
/// of the sends of all nodes in order, `per_s` is its warm capacity.
pub fn worst_window(sends: &[f64], started: f64, per_s: f64, rules: &Rules) -> (usize, f64, f64) {
    let (mut worst, mut first) = ((0, 0.0, 0.0), 0);
    for (last, at) in sends.iter().enumerate() {
        while sends[first] <= at - rules.fall_window {
            first += 1;
        }
        // Capacity rises linearly: the mean of the window is that of its middle.
        let part = warmth(at - started - rules.fall_window / 2.0, rules);
        let budget = rules.fall_multiple * part * per_s * rules.fall_window / 1000.0;
        let count = last + 1 - first;
        let ratio = count as f64 / (budget + CHANCE_MARGIN.0 * budget.sqrt() + CHANCE_MARGIN.1);
        if ratio > worst.2 {
            worst = (count, budget, ratio);
        }
    }
    worst
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    NodeStart(usize),
    List(usize),
    Arrival(usize),
    Retry(usize, u32),
    Timer(usize),
    Ended { node: usize, id: u64, attempt: usize, server: u64, sent: u64, outcome: Outcome },
    Probed { node: usize, server: ServerId, outcome: Outcome, took: u64 },
}

struct OpenRequest {
    attempts: usize,
    finished: bool,
    tries: u32,
    arrived: f64,
}

struct Fleet {
    scenario: Scenario,
    count: usize,
    random: u64,
    queue: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    order: u64,
    nodes: Vec<Balancer>,
    rates: Vec<f64>,   // Highest requests per millisecond of each node.
    started: Vec<f64>, // When each node started.
    free_at: Vec<f64>, // When each server has finished its backlog.
    open: BTreeMap<(usize, u64), OpenRequest>,
    sends: Vec<Vec<f64>>,
    next: u64,
    total: usize,
    served: usize,
}

impl Fleet {
    /// A random number in [0, 1) from an LCG, whose upper bits are good enough here.
    fn next_f64(&mut self) -> f64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    fn at(&mut self, time: f64, event: SimEvent) {
        self.order += 1;
        self.queue.push(Reverse(((time * 1000.0) as u64, self.order, event)));
    }

    /// Requests per second that one warm server can serve.
    fn server_capacity(&self) -> f64 {
        self.scenario.per_s / self.scenario.load / self.scenario.servers as f64
    }

    /// The outcome of an attempt on a server, unless it is late.
    fn outcome(&self, server: u64, now: f64) -> Outcome {
        let (hanging, down) =
            (self.scenario.cold + self.scenario.hanging, self.scenario.cold + self.scenario.down);
        match server {
            s if now < START || s < self.scenario.cold => Outcome::Done,
            s if s < hanging => Outcome::TimedOut,
            s if s < down => Outcome::ConnectFailed,
            _ => Outcome::Done,
        }
    }

    fn entries(&self, now: f64) -> Vec<ServerEntry> {
        let entry = |id: u64| ServerEntry {
            server: ServerId(id),
            state: ListedState::Up,
            weight: 1.0,
            started: (id < self.scenario.cold && now >= START).then_some(START),
            ..ServerEntry::default()
        };
        let absent =
            |id: u64| id < self.scenario.cold && now < START && self.scenario.cold < self.scenario.servers;
        (0..self.scenario.servers).filter(|id| !absent(*id)).map(entry).collect()
    }

    fn handle(&mut self, node: usize, now: f64, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, server, timeout } => self.send(node, now, id.0, server.0, timeout),
                Action::SetTimer(after) => self.at(now + after, SimEvent::Timer(node)),
                Action::Refuse { id, stay_away } => {
                    let tries = self.finish(node, id.0);
                    if self.scenario.clients_retry && tries < 3 {
                        let wait = stay_away + 100.0 * self.next_f64();
                        self.at(now + wait, SimEvent::Retry(node, tries + 1));
                    }
                }
                Action::Fail(id) => drop(self.finish(node, id.0)),
                Action::Probe(server) => {
                    let outcome = self.outcome(server.0, now);
                    let took = if outcome == Outcome::TimedOut { 100.0 } else { 2.0 * ONE_WAY };
                    self.at(now + took, SimEvent::Probed { node, server, outcome, took: took as u64 });
                }
                Action::Cancel { .. } | Action::Subscribe => {}
            }
        }
    }

    fn finish(&mut self, node: usize, id: u64) -> u32 {
        self.open.get_mut(&(node, id)).map_or(0, |a| {
            a.finished = true;
            a.tries
        })
    }

    fn send(&mut self, node: usize, now: f64, id: u64, server: u64, timeout: Option<f64>) {
        let Some(request) = self.open.get_mut(&(node, id)) else { return };
        let attempt = request.attempts;
        request.attempts += 1;
        if server < self.scenario.cold && now >= START {
            self.sends[server as usize].push(now);
        }
        let cold = server < self.scenario.cold && now >= START;
        let part = if cold { warmth(now - START, &rules()) } else { 1.0 };
        let work = 1000.0 / (self.server_capacity() * part);
        let free = self.free_at[server as usize].max(now - BACKLOG_MAX.max(2.0 * work)) + work;
        let deadline = now + timeout.unwrap_or(1_000.0);
        let back = (free + ONE_WAY).max(now + RESPONSE_TIME_MIN);
        let (ends, outcome) = match self.outcome(server, now) {
            Outcome::Done if back <= deadline => (back, Outcome::Done),
            Outcome::ConnectFailed => (now + 2.0 * ONE_WAY, Outcome::ConnectFailed),
            _ => (deadline, Outcome::TimedOut),
        };
        // An attempt that times out in the backlog costs nothing.
        if outcome == Outcome::Done {
            self.free_at[server as usize] = free;
        }
        let sent = (now * 1000.0) as u64;
        self.at(ends, SimEvent::Ended { node, id, attempt, server, sent, outcome });
    }

    fn request(&mut self, node: usize, now: f64, tries: u32) {
        self.next += 1;
        let id = self.next;
        self.total += usize::from(now >= START);
        self.open.insert((node, id), OpenRequest { attempts: 0, finished: false, tries, arrived: now });
        if self.scenario.ignore_policy && now >= START {
            return self.send(node, now, id, id % self.scenario.servers, Some(300.0));
        }
        let request = Event::Request {
            id: RequestId(id),
            class: 0,
            tenant: None,
            deadline: now + 500.0,
            non_replayable: false,
        };
        self.handle(node, now, request);
    }

    fn on_event(&mut self, now: f64, event: SimEvent, seed: u64) {
        match event {
            SimEvent::NodeStart(node) => {
                self.started[node] = now;
                let own = settings(node, self.count);
                let seed = seed ^ (node as u64 * 7919 + now as u64);
                self.nodes[node] = Balancer::new(own, seed).expect("valid settings");
                self.handle(node, now, Event::List { entries: self.entries(now), saved: true });
            }
            SimEvent::List(node) => {
                self.handle(node, now, Event::List { entries: self.entries(now), saved: false });
            }
            SimEvent::Arrival(node) => {
                let gap = -(1.0 - self.next_f64()).ln() / self.rates[node];
                self.at(now + gap, SimEvent::Arrival(node));
                let low = self.scenario.bursts && now % 2_000.0 >= 500.0;
                if !low || self.next_f64() < 0.2 {
                    self.request(node, now, 0);
                }
            }
            SimEvent::Retry(node, tries) => self.request(node, now, tries),
            SimEvent::Timer(node) => self.handle(node, now, Event::Timer),
            SimEvent::Ended { node, id, attempt, server, sent, outcome } => {
                let sent = sent as f64 / 1000.0;
                if sent < self.started[node] {
                    return; // It belongs to the node before its restart.
                }
                let Some(request) = self.open.get_mut(&(node, id)) else { return };
                let finished = outcome == Outcome::Done && !request.finished;
                request.finished |= finished;
                if finished && request.arrived >= START && now - request.arrived <= 300.0 {
                    self.served += 1;
                }
                let (id, server, took) = (RequestId(id), ServerId(server), now - sent);
                self.handle(node, now, Event::Ended { id, attempt, server, outcome, took, finished });
            }
            SimEvent::Probed { node, server, outcome, took } => {
                self.handle(node, now, Event::Probed { server, outcome, took: took as f64 });
            }
        }
    }
}

/// Runs a scenario with so many nodes.
pub fn run(scenario: Scenario, nodes: usize, seed: u64) -> Report {
    let none = || Balancer::new(settings(0, 1), 0).expect("valid settings");
    let busy = |n: usize| if scenario.uneven && n.is_multiple_of(10) { 5.0 } else { 1.0 };
    let all: f64 = (0..nodes).map(busy).sum();
    let max = scenario.per_s / 1000.0 * if scenario.bursts { 2.5 } else { 1.0 };
    let mut fleet = Fleet {
        scenario,
        count: nodes,
        random: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15),
        queue: BinaryHeap::new(),
        order: 0,
        nodes: (0..nodes).map(|_| none()).collect(),
        rates: (0..nodes).map(|n| max * busy(n) / all).collect(),
        started: vec![0.0; nodes],
        free_at: vec![0.0; scenario.servers as usize],
        open: BTreeMap::new(),
        sends: vec![Vec::new(); scenario.cold as usize],
        next: 0,
        total: 0,
        served: 0,
    };
    let (restarted, within) = scenario.restart;
    for node in 0..nodes {
        fleet.at(0.0, SimEvent::NodeStart(node));
        let first = fleet.next_f64() / fleet.rates[node];
        fleet.at(first, SimEvent::Arrival(node));
        let list_at = START + LIST_DELAY_MAX * fleet.next_f64();
        fleet.at(list_at, SimEvent::List(node));
        if (node as f64) < restarted * nodes as f64 {
            let starts = START + within * fleet.next_f64();
            fleet.at(starts, SimEvent::NodeStart(node));
        }
    }
    while let Some(Reverse((at, _, event))) = fleet.queue.pop() {
        let now = at as f64 / 1000.0;
        if now > START + OBSERVED {
            break;
        }
        fleet.on_event(now, event, seed);
    }
    let (rules, per_s) = (rules(), fleet.server_capacity());
    let mut report = Report { served: fleet.served as f64 / fleet.total.max(1) as f64, ..Report::default() };
    for sends in &fleet.sends {
        let (sends, budget, worst) = worst_window(sends, START, per_s, &rules);
        if worst > report.worst {
            (report.sends, report.budget, report.worst) = (sends, budget, worst);
        }
    }
    let capacity = warmth(OBSERVED / 2.0, &rules) * per_s * OBSERVED / 1000.0 * scenario.cold as f64;
    report.used = fleet.sends.iter().map(Vec::len).sum::<usize>() as f64 / capacity;
    report
}
