//! Whole fleets of nodes in virtual time in front of servers that start cold, and what all nodes together
//! send to each of these. Nodes share nothing; a server answers in turn at the pace that it has by now.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use magpietally_policy::*;

const SERVERS: u64 = 10;
/// How many calls beyond a budget of N are chance: this many roots of N, and this many more.
pub const CHANCE: (f64, f64) = (2.0, 2.0);
const START: f64 = 8_000.0; // When the cold servers start.
const WATCHED: f64 = 8_000.0; // For how long they are watched.
const TOLD_WITHIN: f64 = 200.0; // Lists reach the nodes within this time.
const ON_THE_WAY: f64 = 1.0;
const TAKES: f64 = 20.0; // An answer takes so long at the least ...
const BACKLOG: f64 = 200.0; // ... and longer once a server has more than it does in so long.

/// What a fleet goes through.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    pub name: &'static str,
    /// Requests a second of all nodes together.
    pub per_s: f64,
    /// Part of what all servers can do when warm that these are.
    pub load: f64,
    pub servers: u64,
    /// How many servers start.
    pub cold: u64,
    /// Part of the nodes that start then, within this time.
    pub restart: (f64, f64),
    /// One node in ten sees five times the others' traffic.
    pub uneven: bool,
    /// For half a second of each two, all traffic comes fivefold.
    pub bursts: bool,
    /// How many of the warm servers hang from the start of the cold ones on.
    pub hang: u64,
    /// How many of them refuse connections from then on.
    pub down: u64,
    /// Clients that were refused come again, up to three times.
    pub again: bool,
    /// A planted fault: no node asks the policy, all take plain turns.
    pub blind: bool,
}

const PLAIN: Scene = Scene {
    name: "one of ten starts",
    per_s: 600.0,
    load: 0.6,
    servers: SERVERS,
    cold: 1,
    restart: (0.0, 0.0),
    uneven: false,
    bursts: false,
    hang: 0,
    down: 0,
    again: false,
    blind: false,
};

const AGAIN: Scene = Scene {
    name: "the same, clients come again",
    cold: SERVERS,
    restart: (1.0, 200.0),
    again: true,
    ..PLAIN
};

pub const SCENES: [Scene; 20] = [
    PLAIN,
    Scene { name: "the same, fleet nearly full", load: 0.95, ..PLAIN },
    Scene { name: "next to no traffic", per_s: 20.0, ..PLAIN },
    Scene { name: "more than the fleet can do", load: 1.5, ..PLAIN },
    Scene { name: "uneven traffic", uneven: true, ..PLAIN },
    Scene { name: "bursts", bursts: true, load: 0.4, ..PLAIN },
    Scene { name: "six of ten start", cold: 6, load: 0.4, ..PLAIN },
    Scene { name: "half of the others hang", hang: 5, load: 0.4, ..PLAIN },
    Scene { name: "all others hang", hang: 9, load: 0.4, ..PLAIN },
    Scene { name: "all others are down", down: 9, load: 0.4, ..PLAIN },
    Scene { name: "all nodes start with it", restart: (1.0, 200.0), ..PLAIN },
    Scene { name: "all nodes start, little traffic", restart: (1.0, 200.0), per_s: 20.0, ..PLAIN },
    Scene { name: "one node in ten starts", restart: (0.1, 2_000.0), ..PLAIN },
    Scene { name: "all servers start", cold: SERVERS, ..PLAIN },
    Scene { name: "all servers and all nodes start", cold: SERVERS, restart: (1.0, 200.0), ..PLAIN },
    AGAIN,
    Scene { name: "the same, fleet nearly full", load: 0.95, ..AGAIN },
    Scene { name: "the same, ten times the traffic", per_s: 6_000.0, load: 0.95, ..AGAIN },
    Scene { name: "the same, little traffic", per_s: 20.0, load: 0.95, ..AGAIN },
    Scene { name: "thirty of fifty start", servers: 50, cold: 30, per_s: 3_000.0, load: 0.4, ..PLAIN },
];

/// How a scene came out.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// The worst window of any cold server: calls, and the budget N.
    pub calls: usize,
    pub budget: f64,
    /// Its calls in parts of what N and chance make up: above 1 it is too many.
    pub worst: f64,
    /// Part of the requests since the start that were served in time.
    pub served: f64,
    /// What the cold servers were sent, in parts of what they could do.
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

/// What a server can do at a time, in parts of what it can do warm, the least that the rules allow.
fn warmth(age: f64, rules: &Rules) -> f64 {
    (rules.cold_share + (1.0 - rules.cold_share) * (age / rules.warm_within).max(0.0)).min(1.0)
}

/// The worst window of one cold server: calls, budget, and parts of what is allowed. `sends` are the times of
/// all nodes' sends in order, `per_s` what it can do warm.
pub fn worst_window(sends: &[f64], started: f64, per_s: f64, rules: &Rules) -> (usize, f64, f64) {
    let (mut worst, mut first) = ((0, 0.0, 0.0), 0);
    for (last, at) in sends.iter().enumerate() {
        while sends[first] <= at - rules.fall_window {
            first += 1;
        }
        // Capacity rises evenly: that of the middle of the window is that of the window.
        let part = warmth(at - started - rules.fall_window / 2.0, rules);
        let budget = rules.fall_multiple * part * per_s * rules.fall_window / 1000.0;
        let calls = last + 1 - first;
        let ratio = calls as f64 / (budget + CHANCE.0 * budget.sqrt() + CHANCE.1);
        if ratio > worst.2 {
            worst = (calls, budget, ratio);
        }
    }
    worst
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happens {
    Starts(usize),
    List(usize),
    Arrives(usize),
    Again(usize, u32),
    Timer(usize),
    Ends { node: usize, id: u64, attempt: usize, server: u64, sent: u64, outcome: Outcome },
    Probed { node: usize, server: ServerId, outcome: Outcome, took: u64 },
}

struct Asked {
    attempts: usize,
    over: bool,
    tries: u32,
    came: f64,
}

struct Fleet {
    scene: Scene,
    count: usize,
    random: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Happens)>>,
    order: u64,
    nodes: Vec<Balancer>,
    rates: Vec<f64>, // Requests a millisecond of each node at most.
    alive: Vec<f64>, // When each node started.
    free: Vec<f64>,  // When each server is through with what it has.
    asked: BTreeMap<(usize, u64), Asked>,
    sends: Vec<Vec<f64>>,
    next: u64,
    total: usize,
    served: usize,
}

impl Fleet {
    /// A random number from 0 to 1 (an LCG: its upper bits are good enough here).
    fn part(&mut self) -> f64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    fn at(&mut self, time: f64, what: Happens) {
        self.order += 1;
        self.queue.push(Reverse(((time * 1000.0) as u64, self.order, what)));
    }

    /// What one warm server can do in a second.
    fn per_server(&self) -> f64 {
        self.scene.per_s / self.scene.load / self.scene.servers as f64
    }

    /// What becomes of what is sent to a server, where it is not merely late.
    fn fate(&self, server: u64, now: f64) -> Outcome {
        let (hang, down) = (self.scene.cold + self.scene.hang, self.scene.cold + self.scene.down);
        match server {
            s if now < START || s < self.scene.cold => Outcome::Done,
            s if s < hang => Outcome::TimedOut,
            s if s < down => Outcome::ConnectFailed,
            _ => Outcome::Done,
        }
    }

    fn entries(&self, now: f64) -> Vec<ServerEntry> {
        let entry = |id: u64| ServerEntry {
            server: ServerId(id),
            state: ListedState::Up,
            weight: 1.0,
            started: (id < self.scene.cold && now >= START).then_some(START),
            ..ServerEntry::default()
        };
        let none = |id: u64| id < self.scene.cold && now < START && self.scene.cold < self.scene.servers;
        (0..self.scene.servers).filter(|id| !none(*id)).map(entry).collect()
    }

    fn handle(&mut self, node: usize, now: f64, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, server, timeout } => self.send(node, now, id.0, server.0, timeout),
                Action::SetTimer(after) => self.at(now + after, Happens::Timer(node)),
                Action::Refuse { id, stay_away } => {
                    let tries = self.over(node, id.0);
                    if self.scene.again && tries < 3 {
                        let wait = stay_away + 100.0 * self.part();
                        self.at(now + wait, Happens::Again(node, tries + 1));
                    }
                }
                Action::Fail(id) => drop(self.over(node, id.0)),
                Action::Probe(server) => {
                    let outcome = self.fate(server.0, now);
                    let took = if outcome == Outcome::TimedOut { 100.0 } else { 2.0 * ON_THE_WAY };
                    self.at(now + took, Happens::Probed { node, server, outcome, took: took as u64 });
                }
                Action::Cancel { .. } | Action::Subscribe => {}
            }
        }
    }

    fn over(&mut self, node: usize, id: u64) -> u32 {
        self.asked.get_mut(&(node, id)).map_or(0, |a| {
            a.over = true;
            a.tries
        })
    }

    fn send(&mut self, node: usize, now: f64, id: u64, server: u64, timeout: Option<f64>) {
        let Some(asked) = self.asked.get_mut(&(node, id)) else { return };
        let attempt = asked.attempts;
        asked.attempts += 1;
        if server < self.scene.cold && now >= START {
            self.sends[server as usize].push(now);
        }
        let cold = server < self.scene.cold && now >= START;
        let part = if cold { warmth(now - START, &rules()) } else { 1.0 };
        let work = 1000.0 / (self.per_server() * part);
        let free = self.free[server as usize].max(now - BACKLOG.max(2.0 * work)) + work;
        let until = now + timeout.unwrap_or(1_000.0);
        let back = (free + ON_THE_WAY).max(now + TAKES);
        let (ends, outcome) = match self.fate(server, now) {
            Outcome::Done if back <= until => (back, Outcome::Done),
            Outcome::ConnectFailed => (now + 2.0 * ON_THE_WAY, Outcome::ConnectFailed),
            _ => (until, Outcome::TimedOut),
        };
        // What is given up while it waits costs nothing.
        if outcome == Outcome::Done {
            self.free[server as usize] = free;
        }
        let sent = (now * 1000.0) as u64;
        self.at(ends, Happens::Ends { node, id, attempt, server, sent, outcome });
    }

    fn ask(&mut self, node: usize, now: f64, tries: u32) {
        self.next += 1;
        let id = self.next;
        self.total += usize::from(now >= START);
        self.asked.insert((node, id), Asked { attempts: 0, over: false, tries, came: now });
        if self.scene.blind && now >= START {
            return self.send(node, now, id, id % self.scene.servers, Some(300.0));
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

    fn happens(&mut self, now: f64, what: Happens, seed: u64) {
        match what {
            Happens::Starts(node) => {
                self.alive[node] = now;
                let own = settings(node, self.count);
                let seed = seed ^ (node as u64 * 7919 + now as u64);
                self.nodes[node] = Balancer::new(own, seed).expect("the settings are good");
                self.handle(node, now, Event::List { entries: self.entries(now), saved: true });
            }
            Happens::List(node) => {
                self.handle(node, now, Event::List { entries: self.entries(now), saved: false });
            }
            Happens::Arrives(node) => {
                let gap = -(1.0 - self.part()).ln() / self.rates[node];
                self.at(now + gap, Happens::Arrives(node));
                let quiet = self.scene.bursts && now % 2_000.0 >= 500.0;
                if !quiet || self.part() < 0.2 {
                    self.ask(node, now, 0);
                }
            }
            Happens::Again(node, tries) => self.ask(node, now, tries),
            Happens::Timer(node) => self.handle(node, now, Event::Timer),
            Happens::Ends { node, id, attempt, server, sent, outcome } => {
                let sent = sent as f64 / 1000.0;
                if sent < self.alive[node] {
                    return; // It was the node's before.
                }
                let Some(asked) = self.asked.get_mut(&(node, id)) else { return };
                let finished = outcome == Outcome::Done && !asked.over;
                asked.over |= finished;
                if finished && asked.came >= START && now - asked.came <= 300.0 {
                    self.served += 1;
                }
                let (id, server, took) = (RequestId(id), ServerId(server), now - sent);
                self.handle(node, now, Event::Ended { id, attempt, server, outcome, took, finished });
            }
            Happens::Probed { node, server, outcome, took } => {
                self.handle(node, now, Event::Probed { server, outcome, took: took as f64 });
            }
        }
    }
}

/// Plays a scene with so many nodes.
pub fn play(scene: Scene, nodes: usize, seed: u64) -> Seen {
    let none = || Balancer::new(settings(0, 1), 0).expect("the settings are good");
    let busy = |n: usize| if scene.uneven && n.is_multiple_of(10) { 5.0 } else { 1.0 };
    let all: f64 = (0..nodes).map(busy).sum();
    let most = scene.per_s / 1000.0 * if scene.bursts { 2.5 } else { 1.0 };
    let mut fleet = Fleet {
        scene,
        count: nodes,
        random: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15),
        queue: BinaryHeap::new(),
        order: 0,
        nodes: (0..nodes).map(|_| none()).collect(),
        rates: (0..nodes).map(|n| most * busy(n) / all).collect(),
        alive: vec![0.0; nodes],
        free: vec![0.0; scene.servers as usize],
        asked: BTreeMap::new(),
        sends: vec![Vec::new(); scene.cold as usize],
        next: 0,
        total: 0,
        served: 0,
    };
    let (restarted, within) = scene.restart;
    for node in 0..nodes {
        fleet.at(0.0, Happens::Starts(node));
        let first = fleet.part() / fleet.rates[node];
        fleet.at(first, Happens::Arrives(node));
        let told = START + TOLD_WITHIN * fleet.part();
        fleet.at(told, Happens::List(node));
        if (node as f64) < restarted * nodes as f64 {
            let starts = START + within * fleet.part();
            fleet.at(starts, Happens::Starts(node));
        }
    }
    while let Some(Reverse((at, _, what))) = fleet.queue.pop() {
        let now = at as f64 / 1000.0;
        if now > START + WATCHED {
            break;
        }
        fleet.happens(now, what, seed);
    }
    let (rules, per_s) = (rules(), fleet.per_server());
    let mut seen = Seen { served: fleet.served as f64 / fleet.total.max(1) as f64, ..Seen::default() };
    for sends in &fleet.sends {
        let (calls, budget, worst) = worst_window(sends, START, per_s, &rules);
        if worst > seen.worst {
            (seen.calls, seen.budget, seen.worst) = (calls, budget, worst);
        }
    }
    let could = warmth(WATCHED / 2.0, &rules) * per_s * WATCHED / 1000.0 * scene.cold as f64;
    seen.used = fleet.sends.iter().map(Vec::len).sum::<usize>() as f64 / could;
    seen
}
