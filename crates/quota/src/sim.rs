//! A fleet of quota rooms on the modelled log in virtual time, with demand, faults and records. For tests and measurements.

use std::collections::BTreeSet;
use std::time::Duration;

use magpietally_consensus::model::{Clocks, Faults, Model};
use magpietally_consensus::DRIFT;
use magpietally_transport::{Name, Now, Peer, Session};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::check::{Observation, Record};
use crate::entry::ProposalBody;
use crate::{LeaseSettings, Policy, Quota, RefusalReason, SpendDecision, State};

/// Observation one node is asked for.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Which node.
    pub node: usize,
    /// Whose.
    pub tenant: String,
    /// Of which class.
    pub class: String,
    /// Requests a second, at random moments.
    pub rate_per_s: f64,
}

/// The fleet.
pub struct Sim {
    /// The log and its nodes.
    pub model: Model<Quota>,
    /// Observation is asked for from now on.
    pub demand: Vec<Demand>,
    /// All that happened, by the true time.
    pub records: Vec<Record>,
    /// Whether refusals are recorded and hands weighed too; off where only speed is wanted.
    pub record_refusals: bool,
    /// The largest sums of parts seen after any entry.
    pub max_share_sums: (u64, u64),
    /// The largest sums that the running nodes had in their hands at any moment.
    pub max_held_sums: (u64, u64),
    settings: LeaseSettings,
    policy: Policy,
    sessions: Vec<u64>,
    /// Nodes that were stopped when the policy changed: they learn it before they serve.
    behind: BTreeSet<usize>,
    /// Sessions whose parts the log has ended.
    ended: BTreeSet<Peer>,
    log: State,
    read: usize,
    rng: Pcg64,
    plant: fn(&mut Quota),
}

fn make(
    settings: LeaseSettings,
    policy: &Policy,
    plant: fn(&mut Quota),
) -> impl FnOnce(Peer, Now) -> Quota + '_ {
    move |me, now| {
        let mut q = Quota::new(me, settings, now);
        plant(&mut q);
        // A policy that the caller has had checked.
        q.set_policy(now, policy).unwrap_or_else(|e| panic!("a policy for a run: {e}"));
        q
    }
}

impl Sim {
    /// `nodes` nodes under one policy, with clocks that differ as far as they may.
    pub fn new(seed: u64, nodes: usize, policy: &Policy, settings: LeaseSettings) -> Self {
        Self::with_injected_fault(seed, nodes, policy, settings, |_| {})
    }

    pub(crate) fn with_injected_fault(
        seed: u64,
        nodes: usize,
        policy: &Policy,
        settings: LeaseSettings,
        plant: fn(&mut Quota),
    ) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed ^ 0x9e37);
        let mut model = Model::new(seed, Faults::default(), 1_800_000_000_000);
        let mut records = vec![at(Duration::ZERO, 0, 0, Observation::Policy(policy.clone()))];
        for i in 0..nodes {
            let clocks = Clocks {
                boot_at_zero: Duration::from_secs(rng.random_range(1..100_000)),
                rate: 1.0 + DRIFT * rng.random_range(-0.499..0.499),
                wall_ahead_ms: rng.random_range(-600_000..600_000),
            };
            // A name of digits and one letter.
            let name = Name::new(&format!("n{i}")).unwrap_or_default();
            model.add(name, clocks, make(settings, policy, plant));
            records.push(at(Duration::ZERO, i, 1, Observation::Started));
        }
        Self {
            model,
            demand: Vec::new(),
            records,
            record_refusals: true,
            max_share_sums: (0, 0),
            max_held_sums: (0, 0),
            settings,
            policy: policy.clone(),
            sessions: vec![1; nodes],
            behind: BTreeSet::new(),
            ended: BTreeSet::new(),
            log: State::default(),
            read: 0,
            rng,
            plant,
        }
    }

    /// Demand of one class, evenly over some nodes, in place of all before.
    pub fn add_demand(&mut self, nodes: std::ops::Range<usize>, tenant: &str, class: &str, rate_per_s: f64) {
        let each = rate_per_s / nodes.len().max(1) as f64;
        self.demand.extend(nodes.map(|node| Demand {
            node,
            tenant: tenant.to_owned(),
            class: class.to_owned(),
            rate_per_s: each,
        }));
    }

    /// Runs for `d`.
    pub fn run(&mut self, d: Duration) {
        let end = self.model.now() + d;
        while self.model.now() < end {
            self.model.run(Duration::from_millis(1), |_| {});
            self.read_log();
            self.serve();
            if self.record_refusals {
                self.weigh();
            }
        }
    }

    fn weigh(&mut self) {
        let mut sums = (0, 0);
        for i in 0..self.model.len() {
            if let Some((q, now)) = self.model.machine(i) {
                let (main, reserve) = q.held_shares(now.boot);
                sums = (sums.0 + u64::from(main), sums.1 + u64::from(reserve));
            }
        }
        self.max_held_sums = (self.max_held_sums.0.max(sums.0), self.max_held_sums.1.max(sums.1));
    }

    fn read_log(&mut self) {
        let now = self.model.now();
        while let Some(d) = self.model.log().get(self.read) {
            let before = self.log.clone_if_end(d);
            let changed = self.log.apply(now, d);
            if let Some((peer, _)) = changed.report.filter(|(p, _)| self.ended.remove(p)) {
                self.records.push(at(now, number(&peer), peer.session.0, Observation::Renewed));
            }
            if let (Some(before), Some(ProposalBody::EndLeases(ends))) =
                (before, ProposalBody::decode(&d.proposal.body))
            {
                for (sid, _, all) in ends {
                    let gone = all && self.log.peer(sid).is_none();
                    let lost = before.holds(sid) && !self.log.holds(sid);
                    if let Some(peer) = before.peer(sid).filter(|_| gone || lost) {
                        self.records.push(at(
                            now,
                            number(peer),
                            peer.session.0,
                            Observation::Ended { all: gone },
                        ));
                        self.ended.insert(peer.clone());
                    }
                }
            }
            let sums = self.log.share_sums();
            self.max_share_sums = (self.max_share_sums.0.max(sums.0), self.max_share_sums.1.max(sums.1));
            self.read += 1;
        }
    }

    fn serve(&mut self) {
        let now = self.model.now();
        for i in 0..self.demand.len() {
            let Demand { node, rate_per_s, .. } = self.demand[i];
            let mut due = rate_per_s / 1000.0;
            while due > 0.0 {
                if self.rng.random_bool(due.min(1.0)) {
                    self.one(now, node, i);
                }
                due -= 1.0;
            }
        }
    }

    fn one(&mut self, now: Duration, node: usize, demand: usize) {
        let Some((q, local)) = self.model.machine(node) else { return };
        if self.behind.remove(&node) {
            let _ = q.set_policy(local, &self.policy);
        }
        let Demand { tenant, class, .. } = self.demand[demand].clone();
        let spent = q.spend(local.boot, &tenant, &class, None);
        let what = match spent.decision {
            SpendDecision::Admitted => {
                let (cost, kept, day, rate) =
                    (spent.cost, spent.from_class_quota, spent.day, spent.rate_milli);
                Observation::Admitted { tenant, class, cost, kept, day, rate }
            }
            SpendDecision::Refused { retry_after, reason } if self.record_refusals => {
                let (sure, rate, lowered) =
                    (reason == RefusalReason::RateExceeded, spent.rate_milli, spent.reductions);
                Observation::Refused { tenant, class, retry_after, sure, rate, lowered }
            }
            _ => return,
        };
        self.records.push(at(now, node, self.sessions[node], what));
    }

    /// A policy takes hold everywhere at this moment; who does not run learns it before it serves.
    pub fn set_policy(&mut self, policy: &Policy) {
        self.policy = policy.clone();
        self.records.push(at(self.model.now(), 0, 0, Observation::Policy(policy.clone())));
        for i in 0..self.model.len() {
            match self.model.machine(i) {
                Some((q, now)) => {
                    let _ = q.set_policy(now, policy);
                }
                None => {
                    self.behind.insert(i);
                }
            }
        }
    }

    /// Node `i` is killed.
    pub fn kill(&mut self, i: usize) {
        self.model.kill(i);
    }

    /// Node `i` starts again, with an empty hand.
    pub fn start(&mut self, i: usize) {
        self.sessions[i] += 1;
        self.behind.remove(&i);
        self.model.start(i, make(self.settings, &self.policy, self.plant));
        self.records.push(at(self.model.now(), i, self.sessions[i], Observation::Started));
    }

    /// Observation was admitted from `from` on, in tokens.
    pub fn admitted_tokens(&self, from: Duration) -> u64 {
        let cost = |r: &Record| if let Observation::Admitted { cost, .. } = r.what { cost } else { 0 };
        self.records.iter().filter(|r| r.at >= from).map(cost).sum()
    }

    /// Records what the log says of a day's count.
    pub fn record_daily_count(&mut self, tenant: &str, class: &str) {
        let day = self.log.log_clock().0;
        let count = self.log.granted(crate::policy::number(tenant, class, "day"));
        let (tenant, class) = (tenant.to_owned(), class.to_owned());
        self.records.push(at(self.model.now(), 0, 0, Observation::Counted { tenant, class, day, count }));
    }

    /// One random fault, or the end of one.
    pub fn inject_random_fault(&mut self) {
        let n = self.model.len();
        let i = self.rng.random_range(0..n);
        match self.rng.random_range(0..12) {
            0 => self.model.set_isolated(i, true),
            1 | 2 => self.model.set_isolated(i, false),
            3 => self.model.set_paused(i, true),
            4 | 5 => self.model.set_paused(i, false),
            6 => self.kill(i),
            7 | 8 => {
                self.kill(i);
                self.start(i);
            }
            9 => {
                let leader = self.rng.random_range(0..n + 1);
                self.model.set_leader((leader < n).then_some(leader));
                self.model.set_other_leaders(&[i]);
            }
            10 => {
                let ahead = self.rng.random_range(-600_000..600_000);
                self.model.set_wall_ahead(i, ahead);
            }
            _ => {
                let lost = self.rng.random_range(0.0..0.4);
                let slow = Duration::from_millis(self.rng.random_range(1..1500));
                self.model.set_faults(Faults {
                    loss: lost,
                    duplicate: 0.3,
                    max_decide_delay: slow,
                    max_learn_delay: slow,
                });
            }
        }
    }

    /// All faults end: everybody runs, the first node leads.
    pub fn end_all_faults(&mut self) {
        for i in 0..self.model.len() {
            self.model.set_isolated(i, false);
            self.model.set_paused(i, false);
            if !self.model.is_running(i) {
                self.start(i);
            }
        }
        self.model.set_leader(Some(0));
        self.model.set_other_leaders(&[]);
        self.model.set_faults(Faults::default());
    }
}

impl State {
    fn clone_if_end(&self, d: &magpietally_consensus::DecidedEntry) -> Option<State> {
        matches!(ProposalBody::decode(&d.proposal.body), Some(ProposalBody::EndLeases(_)))
            .then(|| self.clone())
    }
}

/// A node's number, from the name that it was given here.
fn number(peer: &Peer) -> usize {
    peer.name.as_str().get(1..).and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn at(at: Duration, node: usize, session: u64, what: Observation) -> Record {
    Record { at, node: node as u32, session: Session(session).0, what }
}
