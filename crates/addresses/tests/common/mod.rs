//! Simulated sites of nodes on the model of the replicated log, with an emulated router; everything is
//! recorded on the simulation's clock.
#![allow(dead_code, reason = "each test and the measuring example use only a part")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use magpietally_addresses::check::{Observation, Record, SiteStatus};
use magpietally_addresses::router::Router;
use magpietally_addresses::{
    AddressKind, AddressRule, Addresses, InjectedFault, LeaseSettings, NodeMetrics, Rules, SiteHealth,
    SiteMetrics, State,
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

/// The rules of the runs: the defaults with shorter durations where that does not weaken the tests.
pub fn rules(sites: &[Name]) -> Rules {
    let rule =
        |prefix: &str, kind| AddressRule { prefix: prefix.into(), kind, med: 100, sites: sites.to_vec() };
    Rules {
        addresses: vec![rule(SHARED, AddressKind::Shared), rule(EXCLUSIVE, AddressKind::Exclusive)],
        hold_down: 1000,
        hold_up: 2000,
        hold_up_max: 16_000,
        calm: 20_000,
        settling: 4000,
        ..Rules::default()
    }
}

/// Total load of a site's nodes.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub requested_worth: u64,
    pub answered_permille: u64,
    pub capacity: u64,
}

pub const HEALTHY_LOAD: Load = Load { requested_worth: 300, answered_permille: 1000, capacity: 900 };

pub struct World {
    pub model: Model<Addresses>,
    pub sites: Vec<Name>,
    pub site_of: Vec<usize>,
    pub loads: Vec<Load>,
    pub rules: Rules,
    pub router: Router,
    pub records: Vec<Record>,
    pub rng: Pcg64,
    pub fault: InjectedFault,
    /// Whether each site has one router session that stays open when a speaker dies, instead of one session
    /// per node.
    pub shared_session: bool,
    pub bytes: Vec<u64>,
    observer: Addresses,
    observed_entries: usize,
    judged: BTreeMap<usize, SiteStatus>,
    actual: BTreeMap<usize, SiteStatus>,
    decided: BTreeMap<String, BTreeSet<Name>>,
    claims: BTreeSet<(String, usize)>,
    deliveries: VecDeque<(Duration, usize, Option<String>)>,
}

fn make_node(site: Name, rules: Rules, fault: InjectedFault) -> impl FnOnce(Peer, Now) -> Addresses {
    move |me, now| {
        let mut a = Addresses::new(me, site, LeaseSettings::default(), now);
        a.set_rules(now, 1, rules).expect("valid rules");
        a.inject_fault(fault);
        a
    }
}

fn site_status(state: &State, site: &Name) -> SiteStatus {
    let s = state.site_metrics(site);
    SiteStatus {
        judgement: state.health(site),
        asked: s.requested_worth,
        capacity: s.capacity,
        share: s.answered_permille(),
    }
}

impl World {
    /// Creates `sites` sites of `nodes` nodes each.
    pub fn new(seed: u64, sites: usize, nodes: usize, faults: Faults, fault: InjectedFault) -> Self {
        let names: Vec<Name> = (0..sites).map(|s| name(&format!("site-{s}"))).collect();
        let rules = rules(&names);
        let mut rng = Pcg64::seed_from_u64(seed ^ 0xadd2);
        let mut model = Model::new(seed, faults, 1_700_000_000_000);
        let mut site_of = Vec::new();
        for n in 0..nodes {
            for (s, site) in names.iter().enumerate() {
                let clocks = Clocks {
                    boot_at_zero: ms(rng.random_range(0..1_000_000)),
                    rate: rng.random_range(0.9955..1.0045),
                    wall_ahead_ms: rng.random_range(-60_000..60_000),
                };
                let made = make_node(site.clone(), rules.clone(), fault);
                model.add(name(&format!("s{s}-n{n:03}")), clocks, made);
                site_of.push(s);
            }
        }
        let me = Peer { name: name("observer"), session: Session(1) };
        let observer = Addresses::new(
            me,
            name("nowhere"),
            LeaseSettings::default(),
            Now { boot: Duration::ZERO, wall_ms: 0 },
        );
        let router = Router::new(ms(u64::from(rules.router_hold)));
        let mut world = Self {
            bytes: vec![0; site_of.len()],
            loads: vec![HEALTHY_LOAD; sites],
            model,
            sites: names,
            site_of,
            router,
            records: Vec::new(),
            rng,
            fault,
            shared_session: false,
            observer,
            observed_entries: 0,
            judged: BTreeMap::new(),
            actual: BTreeMap::new(),
            decided: BTreeMap::new(),
            claims: BTreeSet::new(),
            deliveries: VecDeque::new(),
            rules: rules.clone(),
        };
        world.record(Observation::Rules(rules));
        world.disturb(ms(12_000));
        world
    }

    pub fn state(&self) -> &State {
        self.observer.state()
    }

    pub fn record(&mut self, what: Observation) {
        self.records.push(Record { at: self.model.now(), what });
    }

    pub fn disturb(&mut self, d: Duration) {
        let until = self.model.now() + d;
        self.record(Observation::Disturbed { until });
    }

    pub fn run(&mut self, d: Duration) {
        let end = self.model.now() + d;
        while self.model.now() < end {
            self.step();
        }
    }

    /// Runs until `done` returns true, at most for `limit`; returns the time it took.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut done: impl FnMut(&mut Self) -> bool,
    ) -> Option<Duration> {
        let start = self.model.now();
        while !done(self) {
            if self.model.now() - start > limit {
                return None;
            }
            self.step();
        }
        Some(self.model.now() - start)
    }

    /// The node that considers itself the speaker of a site.
    pub fn speaker(&mut self, site: usize) -> Option<usize> {
        (0..self.site_of.len())
            .filter(|&i| self.site_of[i] == site)
            .find(|&i| self.model.machine(i).is_some_and(|(m, now)| m.is_speaker(now)))
    }

    /// The site to which the exclusive address is routed.
    pub fn owner_site(&self) -> Option<usize> {
        let site = self.router.select_site(EXCLUSIVE, 0)?;
        self.sites.iter().position(|s| s == site)
    }

    /// Kills a node. Its router session closes or, as with a file or a shared pipe, stays open.
    pub fn kill(&mut self, i: usize, closes: bool) {
        self.model.kill(i);
        if closes && !self.shared_session {
            let at = self.model.now().max(self.last_delivery(i));
            self.deliveries.push_back((at, i, None));
        }
    }

    pub fn start(&mut self, i: usize) {
        let made = make_node(self.sites[self.site_of[i]].clone(), self.rules.clone(), self.fault);
        self.model.start(i, made);
    }

    fn last_delivery(&self, session: usize) -> Duration {
        self.deliveries.iter().filter(|p| p.1 == session).map(|p| p.0).max().unwrap_or_default()
    }

    fn step(&mut self) {
        self.model.run(STEP, |_| {});
        self.apply_decided();
        let now = self.model.now();
        let tick_phase = now.as_millis() as usize % 10;
        for i in 0..self.site_of.len() {
            if i % 10 == tick_phase {
                self.drive_node(i);
            }
        }
        self.record_claims();
        if tick_phase == 0 {
            self.record_actual();
        }
        let (arrived, waiting) = std::mem::take(&mut self.deliveries).into_iter().partition(|p| p.0 <= now);
        self.deliveries = waiting;
        let arrived: VecDeque<(Duration, usize, Option<String>)> = arrived;
        for (_, session, line) in arrived {
            match line {
                Some(text) => {
                    let site =
                        self.sites[if self.shared_session { session } else { self.site_of[session] }].clone();
                    assert!(
                        self.router.receive_line(now, session as u32, &site, &text),
                        "line not accepted: {text}"
                    );
                }
                None => self.router.close_session(now, session as u32),
            }
        }
        self.router.tick(now);
        self.records.extend(self.router.take_records());
    }

    /// Does what a node's host program does every 10 ms: passes the node its metrics and writes its commands.
    fn drive_node(&mut self, i: usize) {
        let site = self.site_of[i];
        let metrics = self.metrics(site);
        let Some((machine, now)) = self.model.machine(i) else { return };
        machine.set_metrics(metrics);
        let lines = machine.take_commands(now);
        if lines.is_empty() {
            return;
        }
        let session = if self.shared_session { site } else { i };
        let delay = ms(self.rng.random_range(0..u64::from(self.rules.write)));
        let at = (self.model.now() + delay).max(self.last_delivery(session));
        // In order and within the write time: a later write never overtakes an earlier one.
        let at = at.min(self.model.now() + ms(u64::from(self.rules.write)));
        self.deliveries.extend(lines.into_iter().map(|l| (at, session, Some(l.to_string()))));
    }

    fn metrics(&self, site: usize) -> NodeMetrics {
        let n = self.site_of.iter().filter(|s| **s == site).count() as u64;
        let load = self.loads[site];
        let asked = load.requested_worth / n;
        NodeMetrics {
            requested_worth: asked,
            answered_worth: asked * load.answered_permille / 1000,
            ready_servers: 4,
            capacity: load.capacity / n,
        }
    }

    fn record_claims(&mut self) {
        for i in 0..self.site_of.len() {
            let is_owner = self.model.machine(i).is_some_and(|(m, now)| m.is_owner(now, EXCLUSIVE));
            let key = (EXCLUSIVE.to_owned(), i);
            if is_owner != self.claims.contains(&key) {
                self.record(Observation::Claim { prefix: EXCLUSIVE.into(), node: i as u32, up: is_owner });
                if is_owner {
                    self.claims.insert(key);
                } else {
                    self.claims.remove(&key);
                }
            }
        }
    }

    fn record_actual(&mut self) {
        for s in 0..self.sites.len() {
            let mut sums = SiteMetrics::default();
            for i in 0..self.site_of.len() {
                if self.site_of[i] == s && self.model.is_running(i) {
                    sums.add(&self.metrics(s));
                }
            }
            let before = self.actual.get(&s).map_or(SiteHealth::Down, |t| t.judgement);
            let judgement = sums.evaluate(&self.rules, before);
            let seen = SiteStatus {
                judgement,
                asked: sums.requested_worth,
                capacity: sums.capacity,
                share: sums.answered_permille(),
            };
            if self.actual.insert(s, seen) != Some(seen) {
                self.record(Observation::Truth { site: self.sites[s].clone(), seen });
            }
        }
    }

    /// Records what the log decided, at the time of the decision.
    fn apply_decided(&mut self) {
        let now = Now { boot: self.model.now(), wall_ms: 0 };
        while let Some(decided) = self.model.log().get(self.observed_entries) {
            let by = &decided.proposal.proposer.name;
            let bytes = decided.proposal.body.len() as u64;
            self.observer.apply(now, decided);
            if let Some(i) = (0..self.site_of.len()).find(|i| name_of(*i, self.sites.len()) == by.as_str()) {
                self.bytes[i] += bytes;
            }
            self.observed_entries += 1;
            self.record_changes();
        }
    }

    fn record_changes(&mut self) {
        for s in 0..self.sites.len() {
            let seen = site_status(self.observer.state(), &self.sites[s]);
            if self.judged.insert(s, seen) != Some(seen) {
                self.record(Observation::Judged { site: self.sites[s].clone(), seen });
            }
        }
        for prefix in [SHARED, EXCLUSIVE] {
            let new: BTreeSet<Name> = self.observer.state().sites(prefix).cloned().collect();
            let old = self.decided.insert(prefix.to_owned(), new.clone()).unwrap_or_default();
            for (sites, up) in [(&old - &new, false), (&new - &old, true)] {
                for site in sites {
                    self.record(Observation::Decided { prefix: prefix.into(), site, up });
                }
            }
        }
    }
}

fn name_of(i: usize, sites: usize) -> String {
    format!("s{}-n{:03}", i % sites, i / sites)
}
