//! Sites of nodes on the model of the log, with the stand-in router and everything recorded on the true clock.
#![allow(dead_code, reason = "tests and the measuring example each use a part")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use magpietally_addresses::check::{Record, Seen, What};
use magpietally_addresses::router::Router;
use magpietally_addresses::{
    AddressRule, Addresses, Figures, Judgement, Kind, Planted, Rules, Settings, State, Sums,
};
use magpietally_consensus::model::{Clocks, Faults, Model, STEP};
use magpietally_consensus::StateMachine;
use magpietally_transport::{Name, Now, Peer, Session};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

pub const SHARED: &str = "192.0.2.10/32";
pub const EXCLUSIVE: &str = "192.0.2.20/32";

pub fn name(n: &str) -> Name {
    Name::new(n).expect("a name")
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The rules of the runs: the defaults, but shorter where nothing is lost by it.
pub fn rules(sites: &[Name]) -> Rules {
    let rule =
        |prefix: &str, kind| AddressRule { prefix: prefix.into(), kind, med: 100, sites: sites.to_vec() };
    Rules {
        addresses: vec![rule(SHARED, Kind::Shared), rule(EXCLUSIVE, Kind::Exclusive)],
        hold_down: 1000,
        hold_up: 2000,
        hold_up_max: 16_000,
        calm: 20_000,
        settling: 4000,
        ..Rules::default()
    }
}

/// What a site's nodes see together.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub asked: u64,
    pub share: u64,
    pub capacity: u64,
}

pub const WELL: Load = Load { asked: 300, share: 1000, capacity: 900 };

pub struct World {
    pub model: Model<Addresses>,
    pub sites: Vec<Name>,
    pub of: Vec<usize>,
    pub loads: Vec<Load>,
    pub rules: Rules,
    pub router: Router,
    pub records: Vec<Record>,
    pub rng: Pcg64,
    pub planted: Planted,
    /// One end a site, that stays open when a speaker dies, instead of one a node.
    pub end_of_site: bool,
    pub bytes: Vec<u64>,
    observer: Addresses,
    observed: usize,
    judged: BTreeMap<usize, Seen>,
    truth: BTreeMap<usize, Seen>,
    decided: BTreeMap<String, BTreeSet<Name>>,
    claims: BTreeSet<(String, usize)>,
    pipes: VecDeque<(Duration, usize, Option<String>)>,
}

fn make(site: Name, rules: Rules, planted: Planted) -> impl FnOnce(Peer, Now) -> Addresses {
    move |me, now| {
        let mut a = Addresses::new(me, site, Settings::default(), now);
        a.set_rules(now, 1, rules).expect("rules that can be followed");
        a.plant(planted);
        a
    }
}

fn seen(state: &State, site: &Name) -> Seen {
    let s = state.sums(site);
    Seen { judgement: state.judged(site), asked: s.asked, capacity: s.capacity, share: s.share() }
}

impl World {
    /// `sites` of `nodes` each.
    pub fn new(seed: u64, sites: usize, nodes: usize, faults: Faults, planted: Planted) -> Self {
        let names: Vec<Name> = (0..sites).map(|s| name(&format!("site-{s}"))).collect();
        let rules = rules(&names);
        let mut rng = Pcg64::seed_from_u64(seed ^ 0xadd2);
        let mut model = Model::new(seed, faults, 1_700_000_000_000);
        let mut of = Vec::new();
        for n in 0..nodes {
            for (s, site) in names.iter().enumerate() {
                let clocks = Clocks {
                    boot_at_zero: ms(rng.random_range(0..1_000_000)),
                    rate: rng.random_range(0.9955..1.0045),
                    wall_ahead_ms: rng.random_range(-60_000..60_000),
                };
                let made = make(site.clone(), rules.clone(), planted);
                model.add(name(&format!("s{s}-n{n:03}")), clocks, made);
                of.push(s);
            }
        }
        let me = Peer { name: name("observer"), session: Session(1) };
        let observer = Addresses::new(
            me,
            name("nowhere"),
            Settings::default(),
            Now { boot: Duration::ZERO, wall_ms: 0 },
        );
        let router = Router::new(ms(u64::from(rules.router_hold)));
        let mut world = Self {
            bytes: vec![0; of.len()],
            loads: vec![WELL; sites],
            model,
            sites: names,
            of,
            router,
            records: Vec::new(),
            rng,
            planted,
            end_of_site: false,
            observer,
            observed: 0,
            judged: BTreeMap::new(),
            truth: BTreeMap::new(),
            decided: BTreeMap::new(),
            claims: BTreeSet::new(),
            pipes: VecDeque::new(),
            rules: rules.clone(),
        };
        world.record(What::Rules(rules));
        world.disturb(ms(12_000));
        world
    }

    pub fn state(&self) -> &State {
        self.observer.state()
    }

    pub fn record(&mut self, what: What) {
        self.records.push(Record { at: self.model.now(), what });
    }

    pub fn disturb(&mut self, d: Duration) {
        let until = self.model.now() + d;
        self.record(What::Disturbed { until });
    }

    pub fn run(&mut self, d: Duration) {
        let end = self.model.now() + d;
        while self.model.now() < end {
            self.step();
        }
    }

    /// Runs until it holds, at most `limit`; how long it took.
    pub fn until(&mut self, limit: Duration, mut done: impl FnMut(&mut Self) -> bool) -> Option<Duration> {
        let begun = self.model.now();
        while !done(self) {
            if self.model.now() - begun > limit {
                return None;
            }
            self.step();
        }
        Some(self.model.now() - begun)
    }

    /// The node that speaks for a site, by itself.
    pub fn speaker(&mut self, site: usize) -> Option<usize> {
        (0..self.of.len())
            .filter(|&i| self.of[i] == site)
            .find(|&i| self.model.machine(i).is_some_and(|(m, now)| m.speaks(now)))
    }

    /// The site that an exclusive address leads to.
    pub fn owner_site(&self) -> Option<usize> {
        let site = self.router.steer(EXCLUSIVE, 0)?;
        self.sites.iter().position(|s| s == site)
    }

    /// A node is killed; its end closes or (a file, a shared pipe) stays.
    pub fn kill(&mut self, i: usize, closes: bool) {
        self.model.kill(i);
        if closes && !self.end_of_site {
            let at = self.model.now().max(self.last_of(i));
            self.pipes.push_back((at, i, None));
        }
    }

    pub fn start(&mut self, i: usize) {
        let made = make(self.sites[self.of[i]].clone(), self.rules.clone(), self.planted);
        self.model.start(i, made);
    }

    fn last_of(&self, session: usize) -> Duration {
        self.pipes.iter().filter(|p| p.1 == session).map(|p| p.0).max().unwrap_or_default()
    }

    fn step(&mut self) {
        self.model.run(STEP, |_| {});
        self.observe();
        let now = self.model.now();
        let tenth = now.as_millis() as usize % 10;
        for i in 0..self.of.len() {
            if i % 10 == tenth {
                self.carry(i);
            }
        }
        self.claim();
        if tenth == 0 {
            self.truth();
        }
        let (arrived, waiting) = std::mem::take(&mut self.pipes).into_iter().partition(|p| p.0 <= now);
        self.pipes = waiting;
        let arrived: VecDeque<(Duration, usize, Option<String>)> = arrived;
        for (_, session, line) in arrived {
            match line {
                Some(text) => {
                    let site = self.sites[if self.end_of_site { session } else { self.of[session] }].clone();
                    assert!(self.router.line(now, session as u32, &site, &text), "unread: {text}");
                }
                None => self.router.closed(now, session as u32),
            }
        }
        self.router.tick(now);
        self.records.extend(self.router.take_records());
    }

    /// What a node's carrier does every 10 ms: tells what it sees, writes what it is to say.
    fn carry(&mut self, i: usize) {
        let site = self.of[i];
        let figures = self.figures(site);
        let Some((machine, now)) = self.model.machine(i) else { return };
        machine.observe(figures);
        let lines = machine.speak(now);
        if lines.is_empty() {
            return;
        }
        let session = if self.end_of_site { site } else { i };
        let late = ms(self.rng.random_range(0..u64::from(self.rules.write)));
        let at = (self.model.now() + late).max(self.last_of(session));
        // In order, and within the write's time: the later of two writes never comes first.
        let at = at.min(self.model.now() + ms(u64::from(self.rules.write)));
        self.pipes.extend(lines.into_iter().map(|l| (at, session, Some(l.to_string()))));
    }

    fn figures(&self, site: usize) -> Figures {
        let n = self.of.iter().filter(|s| **s == site).count() as u64;
        let load = self.loads[site];
        let asked = load.asked / n;
        Figures { asked, answered: asked * load.share / 1000, boxes: 4, capacity: load.capacity / n }
    }

    fn claim(&mut self) {
        for i in 0..self.of.len() {
            let owns = self.model.machine(i).is_some_and(|(m, now)| m.owns(now, EXCLUSIVE));
            let key = (EXCLUSIVE.to_owned(), i);
            if owns != self.claims.contains(&key) {
                self.record(What::Claim { prefix: EXCLUSIVE.into(), node: i as u32, up: owns });
                if owns {
                    self.claims.insert(key);
                } else {
                    self.claims.remove(&key);
                }
            }
        }
    }

    fn truth(&mut self) {
        for s in 0..self.sites.len() {
            let mut sums = Sums::default();
            for i in 0..self.of.len() {
                if self.of[i] == s && self.model.is_running(i) {
                    sums.add(&self.figures(s));
                }
            }
            let before = self.truth.get(&s).map_or(Judgement::Dead, |t| t.judgement);
            let judgement = sums.judge(&self.rules, before);
            let seen = Seen { judgement, asked: sums.asked, capacity: sums.capacity, share: sums.share() };
            if self.truth.insert(s, seen) != Some(seen) {
                self.record(What::Truth { site: self.sites[s].clone(), seen });
            }
        }
    }

    /// What the log decided, at the moment when it did.
    fn observe(&mut self) {
        let now = Now { boot: self.model.now(), wall_ms: 0 };
        while let Some(decided) = self.model.log().get(self.observed) {
            let by = &decided.proposal.proposer.name;
            let bytes = decided.proposal.body.len() as u64;
            self.observer.apply(now, decided);
            if let Some(i) = (0..self.of.len()).find(|i| name_of(*i, self.sites.len()) == by.as_str()) {
                self.bytes[i] += bytes;
            }
            self.observed += 1;
            self.differences();
        }
    }

    fn differences(&mut self) {
        for s in 0..self.sites.len() {
            let seen = seen(self.observer.state(), &self.sites[s]);
            if self.judged.insert(s, seen) != Some(seen) {
                self.record(What::Judged { site: self.sites[s].clone(), seen });
            }
        }
        for prefix in [SHARED, EXCLUSIVE] {
            let is: BTreeSet<Name> = self.observer.state().sites(prefix).cloned().collect();
            let was = self.decided.insert(prefix.to_owned(), is.clone()).unwrap_or_default();
            for (sites, up) in [(&was - &is, false), (&is - &was, true)] {
                for site in sites {
                    self.record(What::Decided { prefix: prefix.into(), site, up });
                }
            }
        }
    }
}

fn name_of(i: usize, sites: usize) -> String {
    format!("s{}-n{:03}", i % sites, i / sites)
}
