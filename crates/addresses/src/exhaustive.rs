//! Exhaustive search over the interleavings of a small world: two nodes of two sites, one exclusive address,
//! one router.
//!
//! Time advances in whole seconds. Between two seconds the search tries every order of these steps: a node
//! sends a report, its newest proposal is decided (or replaced by a newer one and never decided), a node
//! learns the next entry, the second node proposes to end the expired lease, a node sends commands to the
//! router. A paused or isolated node is one that takes no step for a while, which these orders include. In
//! the initial state a renewal and the move of the address have been decided, and the owner has learned of
//! neither. Both clocks run at the same rate; the tests of `consensus::lease` cover drift.

use std::collections::hash_map::DefaultHasher;
use std::collections::HashSet;
use std::hash::{Hash, Hasher};

use magpietally_consensus::{Index, Proposal, Timestamp};
use magpietally_transport::Session;

use super::*;
use crate::router::Router;
use crate::rules::AddressRule;

const EXCLUSIVE: &str = "192.0.2.20/32";
/// Maximum number of states visited.
const STATES_MAX: usize = 200_000;
/// Duration of a run: at the third second a lease of 2 s has expired for the waiting node and may be granted
/// again.
const DURATION_S: u64 = 3;
/// Reports that each node sends after the initial state.
const REPORTS_PER_NODE: u64 = 1;

#[derive(Clone)]
struct World {
    now: u64,
    nodes: Vec<Addresses>,
    applied: [usize; 2],
    log: Vec<DecidedEntry>,
    pending: [Option<ProposalBody>; 2],
    report_counts: [u64; 2],
    /// Whether the second node has proposed the end of the lease.
    end_proposed: bool,
    router: Router,
}

fn at(seconds: u64) -> Now {
    Now { boot: Duration::from_secs(100 + seconds), wall_ms: 0 }
}

impl World {
    fn new(fault: InjectedFault) -> Self {
        let name = |n: &str| Name::new(n).expect("a name");
        let sites = vec![name("a"), name("b")];
        let settings = LeaseSettings { term: Duration::from_secs(2) };
        let node = |n: &str| {
            let me = Peer { name: name(n), session: Session(1) };
            let mut node = Addresses::new(me, name(n), settings, at(0));
            node.inject_fault(fault);
            let metrics =
                NodeMetrics { requested_worth: 10, answered_worth: 10, ready_servers: 1, capacity: 100 };
            node.set_metrics(metrics);
            node
        };
        let (nodes, router) = (vec![node("a"), node("b")], Router::new(Duration::from_millis(900)));
        let (applied, log, pending, report_counts, end_proposed) =
            ([0, 0], Vec::new(), [None, None], [0, 0], false);
        let mut w = Self { now: 0, nodes, applied, log, pending, report_counts, end_proposed, router };
        let address = AddressRule { prefix: EXCLUSIVE.into(), kind: AddressKind::Exclusive, med: 1, sites };
        let rules = Rules { addresses: vec![address], router_hold: 900, write: 50, ..Rules::default() };
        w.nodes[0].set_rules(at(0), 1, rules.clone()).expect("rules");
        w.decide_and_learn(0, ProposalBody::Rules(1, rules));
        for i in [0, 1, 0] {
            let body = w.make_report(i);
            w.decide_and_learn(i, body);
        }
        w.decide_and_learn(0, w.decision("a", true));
        // From now on the first site is degraded and the second may take over.
        w.nodes[0].set_metrics(NodeMetrics {
            requested_worth: 10,
            answered_worth: 5,
            ready_servers: 1,
            capacity: 100,
        });
        let body = w.make_report(0);
        w.decide_and_learn(0, body);
        assert!(w.nodes[0].is_owner(at(0), EXCLUSIVE), "the first site is the initial owner");
        // The owner's renewal is decided, then the move; only the second node has learned of them.
        let body = w.make_report(0);
        w.decide(0, &body);
        w.learn(1);
        let state = &w.nodes[1].state;
        let (site, last_change) = (w.nodes[1].site.clone(), state.last_change(EXCLUSIVE));
        let (last_health_change, prefix) = (state.last_health_change(&site), EXCLUSIVE.to_owned());
        w.decide(
            1,
            &ProposalBody::ChangeRoute {
                prefix,
                last_change,
                site,
                announce: true,
                last_health_change,
                timers_elapsed: true,
            },
        );
        w.learn(1);
        w.report_counts = [0, 0];
        (0..2).for_each(|i| w.send_commands(i));
        w
    }

    fn decision(&self, site: &str, timers_elapsed: bool) -> ProposalBody {
        let site = Name::new(site).expect("a name");
        let state = &self.nodes[0].state;
        let (last_change, last_health_change) =
            (state.last_change(EXCLUSIVE), state.last_health_change(&site));
        ProposalBody::ChangeRoute {
            prefix: EXCLUSIVE.into(),
            last_change,
            site,
            announce: true,
            last_health_change,
            timers_elapsed,
        }
    }

    fn make_report(&mut self, i: usize) -> ProposalBody {
        self.report_counts[i] += 1;
        let node = &mut self.nodes[i];
        node.last_report = None;
        node.propose_report(at(self.now).boot);
        node.proposals.pop_back().expect("a report")
    }

    fn decide(&mut self, i: usize, body: &ProposalBody) {
        let index = Index(self.log.len() as u64 + 1);
        let (topic, by, id) = (Topic::Addresses, self.nodes[i].me.clone(), index.0);
        let proposal = Proposal { topic, proposer: by, id, body: body.encode() };
        self.log.push(DecidedEntry { index, timestamp: Timestamp(0), proposal });
    }

    fn learn(&mut self, i: usize) {
        self.nodes[i].apply(at(self.now), &self.log[self.applied[i]]);
        self.applied[i] += 1;
    }

    fn send_commands(&mut self, i: usize) {
        let site = self.nodes[i].site.clone();
        for line in self.nodes[i].take_commands(at(self.now)) {
            self.router.receive_line(at(self.now).boot, i as u32, &site, &line.to_string());
        }
        self.router.take_records();
    }

    fn decide_and_learn(&mut self, i: usize, body: ProposalBody) {
        self.decide(i, &body);
        (0..2).for_each(|i| self.learn(i));
    }

    fn next(&self) -> Vec<Self> {
        let mut all = Vec::new();
        let mut add = |change: &dyn Fn(&mut Self)| {
            let mut w = self.clone();
            change(&mut w);
            all.push(w);
        };
        if self.now < DURATION_S {
            add(&|w| {
                w.now += 1;
                w.router.tick(at(w.now).boot);
            });
        }
        for i in 0..2 {
            if self.report_counts[i] < REPORTS_PER_NODE {
                add(&|w| w.pending[i] = Some(w.make_report(i)));
            }
            if let Some(body) = &self.pending[i] {
                add(&|w| {
                    w.pending[i] = None;
                    w.decide(i, body);
                });
            }
            if self.applied[i] < self.log.len() {
                add(&|w| w.learn(i));
            }
            let state = &self.nodes[i].state;
            let owner = LeaseKey::Owner(EXCLUSIVE.into());
            let expired = state.leases.expired(at(self.now).boot).find(|(k, _)| **k == owner);
            if let Some((_, grant)) = expired.filter(|_| i == 1 && !self.end_proposed) {
                let body = ProposalBody::EndLeases(vec![(owner.clone(), grant.index)]);
                add(&|w| (w.end_proposed, w.pending[1]) = (true, Some(body.clone())));
            }
            let mut node = self.nodes[i].clone();
            if node.take_commands(at(self.now)).is_empty() {
                continue;
            }
            add(&|w| w.send_commands(i));
        }
        all
    }

    fn has_two_owners(&self) -> bool {
        let claims = self.nodes.iter().filter(|n| n.is_owner(at(self.now), EXCLUSIVE)).count();
        claims > 1 || self.router.best_sites(EXCLUSIVE).len() > 1
    }

    /// Hash of everything that future steps depend on. The timers of the leader's tasks are left out, because
    /// the search performs those tasks as steps.
    fn state_hash(&self) -> u64 {
        let mut h = DefaultHasher::new();
        let now = at(self.now).boot;
        // Of a node's local times only these matter: until when it holds its leases and, for the second node,
        // which alone ends leases, when the owner's lease expires.
        let held = |h: HeldLease| h.expires_at().max(now);
        let nodes = self.nodes.iter().map(|n| {
            let owned: Vec<_> = n.owner_leases.iter().map(|(p, h)| (p, held(*h))).collect();
            let state = (&n.state.replicated, n.state.leases.grants());
            (
                state,
                &n.sent_reports,
                n.seq,
                n.speaker_lease.map(held),
                owned,
                &n.announced,
                n.full_update_due,
                n.refreshed_at == now,
            )
        });
        let all: Vec<_> = nodes.collect();
        let owner = LeaseKey::Owner(EXCLUSIVE.into());
        let expires_at = (self.now..=DURATION_S)
            .find(|t| self.nodes[1].state.leases.expired(at(*t).boot).any(|(k, _)| *k == owner));
        let bodies: Vec<_> = self.log.iter().map(|d| &d.proposal.body).collect();
        let text = format!(
            "{all:?}{expires_at:?}{bodies:?}{:?}{:?}{:?}{:?}{:?}{}",
            self.applied, self.pending, self.report_counts, self.end_proposed, self.router, self.now
        );
        text.hash(&mut h);
        h.finish()
    }
}

/// Returns the number of visited states, whether the search was complete, and whether some state had two
/// owners. The search is depth first to keep the stack small, and tries the last steps of `next` first.
fn search(fault: InjectedFault) -> (usize, bool, bool) {
    let mut visited = HashSet::new();
    let mut stack = vec![World::new(fault)];
    while let Some(w) = stack.pop() {
        if w.has_two_owners() {
            return (visited.len(), false, true);
        }
        if !visited.insert(w.state_hash()) {
            continue;
        }
        if visited.len() >= STATES_MAX {
            return (visited.len(), false, false);
        }
        stack.extend(w.next());
    }
    (visited.len(), true, false)
}

#[test]
fn no_interleaving_has_two_owners() {
    let (states, complete, has_two_owners) = search(InjectedFault::None);
    println!("{states} states, complete: {complete}");
    assert!(!has_two_owners && complete && states > 10_000, "{states} states");
}

#[test]
fn search_detects_injected_lease_faults() {
    for fault in [InjectedFault::KeepsExpiredLease, InjectedFault::CountsLeaseFromReply] {
        let (states, _, has_two_owners) = search(fault);
        assert!(has_two_owners, "{fault:?}: {states} states");
    }
}
