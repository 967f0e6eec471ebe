//! A simulated fleet of quota nodes on the modelled log in virtual time, with demand, faults and records, for
//! tests and measurements.

use std::collections::BTreeSet;
use std::time::Duration;

use magpietally_consensus::model::{Clocks, Faults, Model};
use magpietally_consensus::DRIFT;
use magpietally_transport::{Name, Now, Peer, Session};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::check::{Observation, Record};
use crate::proposal::ProposalBody;
use crate::{LeaseSettings, Policy, Quota, RefusalReason, SpendDecision, State};

/// The demand at one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The node.
    pub node: usize,
    /// Tenant of the requests.
    pub tenant: String,
    /// Class of the requests.
    pub class: String,
    /// Requests per second, at random times.
    pub rate_per_s: f64,
}

/// The simulated fleet.
pub struct Sim {
    /// The log and its nodes.
    pub model: Model<Quota>,
    /// The demand from now on.
    pub demand: Vec<Demand>,
    /// All events, by the true time.
    pub records: Vec<Record>,
    /// Whether refusals are recorded and the held shares summed; off where only speed matters.
    pub record_refusals: bool,
    /// The largest sums of shares (demand, reserve) in the log after any entry.
    pub max_share_sums: (u64, u64),
    /// The largest sums of shares (demand, reserve) held by the running nodes at any time.
    pub max_held_sums: (u64, u64),
    settings: LeaseSettings,
    policy: Policy,
    sessions: Vec<u64>,
    /// Nodes that were stopped when the policy changed; they receive it before they serve.
    outdated: BTreeSet<usize>,
    /// Sessions whose shares the log has ended.
    ended: BTreeSet<Peer>,
    log: State,
    log_position: usize,
    rng: Pcg64,
    inject: fn(&mut Quota),
}

fn new_quota(
    settings: LeaseSettings,
    policy: &Policy,
    inject: fn(&mut Quota),
) -> impl FnOnce(Peer, Now) -> Quota + '_ {
    move |me, now| {
        let mut q = Quota::new(me, settings, now);
        inject(&mut q);
        // The caller passes valid policies only.
        q.set_policy(now, policy).unwrap_or_else(|e| panic!("invalid policy: {e}"));
        q
    }
}

impl Sim {
    /// Creates a fleet of `nodes` nodes under one policy. Their clocks differ as far as the drift bound
    /// allows.
    pub fn new(seed: u64, nodes: usize, policy: &Policy, settings: LeaseSettings) -> Self {
        Self::with_injected_fault(seed, nodes, policy, settings, |_| {})
    }

    pub(crate) fn with_injected_fault(
        seed: u64,
        nodes: usize,
        policy: &Policy,
        settings: LeaseSettings,
        inject: fn(&mut Quota),
    ) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed ^ 0x9e37);
        let mut model = Model::new(seed, Faults::default(), 1_800_000_000_000);
        let mut records = vec![record(Duration::ZERO, 0, 0, Observation::Policy(policy.clone()))];
        for i in 0..nodes {
            let clocks = Clocks {
                boot_at_zero: Duration::from_secs(rng.random_range(1..100_000)),
                rate: 1.0 + DRIFT * rng.random_range(-0.499..0.499),
                wall_ahead_ms: rng.random_range(-600_000..600_000),
            };
            // Cannot fail: one letter and digits are a valid name.
            let name = Name::new(&format!("n{i}")).unwrap_or_default();
            model.add(name, clocks, new_quota(settings, policy, inject));
            records.push(record(Duration::ZERO, i, 1, Observation::Started));
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
            outdated: BTreeSet::new(),
            ended: BTreeSet::new(),
            log: State::default(),
            log_position: 0,
            rng,
            inject,
        }
    }

    /// Adds demand of one class, spread evenly over `nodes`.
    pub fn add_demand(&mut self, nodes: std::ops::Range<usize>, tenant: &str, class: &str, rate_per_s: f64) {
        let each = rate_per_s / nodes.len().max(1) as f64;
        self.demand.extend(nodes.map(|node| Demand {
            node,
            tenant: tenant.to_owned(),
            class: class.to_owned(),
            rate_per_s: each,
        }));
    }

    /// Runs the fleet for `d`.
    pub fn run(&mut self, d: Duration) {
        let end = self.model.now() + d;
        while self.model.now() < end {
            self.model.run(Duration::from_millis(1), |_| {});
            self.read_log();
            self.send_requests();
            if self.record_refusals {
                self.sum_held_shares();
            }
        }
    }

    fn sum_held_shares(&mut self) {
        let mut sums = (0, 0);
        for i in 0..self.model.len() {
            if let Some((q, now)) = self.model.machine(i) {
                let (by_demand, reserve) = q.held_shares(now.boot);
                sums = (sums.0 + u64::from(by_demand), sums.1 + u64::from(reserve));
            }
        }
        self.max_held_sums = (self.max_held_sums.0.max(sums.0), self.max_held_sums.1.max(sums.1));
    }

    fn read_log(&mut self) {
        let now = self.model.now();
        while let Some(d) = self.model.log().get(self.log_position) {
            let before = self.log.clone_if_leases_end(d);
            let changes = self.log.apply(now, d);
            if let Some((peer, _)) = changes.report.filter(|(p, _)| self.ended.remove(p)) {
                self.records.push(record(now, node_number(&peer), peer.session.0, Observation::Renewed));
            }
            if let (Some(before), Some(ProposalBody::EndLeases(ends))) =
                (before, ProposalBody::decode(&d.proposal.body))
            {
                for (session_id, _, all) in ends {
                    let removed = all && self.log.peer(session_id).is_none();
                    let lost = before.has_claims(session_id) && !self.log.has_claims(session_id);
                    if let Some(peer) = before.peer(session_id).filter(|_| removed || lost) {
                        self.records.push(record(
                            now,
                            node_number(peer),
                            peer.session.0,
                            Observation::Ended { all: removed },
                        ));
                        self.ended.insert(peer.clone());
                    }
                }
            }
            let sums = self.log.share_sums();
            self.max_share_sums = (self.max_share_sums.0.max(sums.0), self.max_share_sums.1.max(sums.1));
            self.log_position += 1;
        }
    }

    fn send_requests(&mut self) {
        let now = self.model.now();
        for i in 0..self.demand.len() {
            let Demand { node, rate_per_s, .. } = self.demand[i];
            let mut expected = rate_per_s / 1000.0;
            while expected > 0.0 {
                if self.rng.random_bool(expected.min(1.0)) {
                    self.send_request(now, node, i);
                }
                expected -= 1.0;
            }
        }
    }

    fn send_request(&mut self, now: Duration, node: usize, demand: usize) {
        let Some((q, local)) = self.model.machine(node) else { return };
        if self.outdated.remove(&node) {
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
        self.records.push(record(now, node, self.sessions[node], what));
    }

    /// Applies a policy at all running nodes now; stopped nodes receive it before they serve.
    pub fn set_policy(&mut self, policy: &Policy) {
        self.policy = policy.clone();
        self.records.push(record(self.model.now(), 0, 0, Observation::Policy(policy.clone())));
        for i in 0..self.model.len() {
            match self.model.machine(i) {
                Some((q, now)) => {
                    let _ = q.set_policy(now, policy);
                }
                None => {
                    self.outdated.insert(i);
                }
            }
        }
    }

    /// Kills node `i`.
    pub fn kill(&mut self, i: usize) {
        self.model.kill(i);
    }

    /// Starts node `i` again, without any share.
    pub fn start(&mut self, i: usize) {
        self.sessions[i] += 1;
        self.outdated.remove(&i);
        self.model.start(i, new_quota(self.settings, &self.policy, self.inject));
        self.records.push(record(self.model.now(), i, self.sessions[i], Observation::Started));
    }

    /// Returns the tokens admitted from `from` on.
    pub fn admitted_tokens(&self, from: Duration) -> u64 {
        let cost = |r: &Record| if let Observation::Admitted { cost, .. } = r.what { cost } else { 0 };
        self.records.iter().filter(|r| r.at >= from).map(cost).sum()
    }

    /// Records a daily count as the log has it.
    pub fn record_daily_count(&mut self, tenant: &str, class: &str) {
        let day = self.log.log_clock().0;
        let count = self.log.granted_today(crate::policy::pool_id(tenant, class, "day"));
        let (tenant, class) = (tenant.to_owned(), class.to_owned());
        self.records.push(record(self.model.now(), 0, 0, Observation::Counted { tenant, class, day, count }));
    }

    /// Injects or ends one random fault.
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
                let loss_rate = self.rng.random_range(0.0..0.4);
                let max_delay = Duration::from_millis(self.rng.random_range(1..1500));
                self.model.set_faults(Faults {
                    loss: loss_rate,
                    duplicate: 0.3,
                    max_decide_delay: max_delay,
                    max_learn_delay: max_delay,
                });
            }
        }
    }

    /// Ends all faults: every node runs, and the first one leads.
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
    fn clone_if_leases_end(&self, d: &magpietally_consensus::DecidedEntry) -> Option<State> {
        matches!(ProposalBody::decode(&d.proposal.body), Some(ProposalBody::EndLeases(_)))
            .then(|| self.clone())
    }
}

/// A node's number, taken from its simulated name.
fn node_number(peer: &Peer) -> usize {
    peer.name.as_str().get(1..).and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn record(at: Duration, node: usize, session: u64, what: Observation) -> Record {
    Record { at, node: node as u32, session: Session(session).0, what }
}
