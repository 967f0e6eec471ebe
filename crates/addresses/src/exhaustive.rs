//! Exclusive ownership at small size, through all interleavings: two nodes of two sites, one address, one router.
//!
//! Time goes in whole seconds. Between two of them every order of these is played: a node asks, its newest proposal is
//! decided (or never: a newer one takes its place), a node learns the next entry, the second proposes the end of the
//! lapsed lease, a node speaks to the router. A node that is stopped or cut off is one that does nothing for a while,
//! which is among the orders. It begins with a renewal and the move decided, of which the owner has not learnt.
//! Both clocks go alike; drift is in `consensus::lease`'s own tests.

use std::collections::hash_map::DefaultHasher;
use std::collections::HashSet;
use std::hash::{Hash, Hasher};

use magpietally_consensus::{Index, Proposal, Timestamp};
use magpietally_transport::Session;

use super::*;
use crate::router::Router;
use crate::rules::AddressRule;

const E: &str = "192.0.2.20/32";
/// States looked at, at most.
const STATES_MAX: usize = 200_000;
/// Seconds played: a lease of 2 s has lapsed for who waits at the third, and may be granted anew within it.
const SECONDS: u64 = 3;
/// Reports that a node makes, beyond those that the beginning took.
const ASKS: u64 = 1;

#[derive(Clone)]
struct World {
    now: u64,
    nodes: Vec<Addresses>,
    learnt: [usize; 2],
    log: Vec<DecidedEntry>,
    waiting: [Option<Body>; 2],
    asks: [u64; 2],
    /// The second node has proposed the end.
    ended: bool,
    router: Router,
}

fn at(seconds: u64) -> Now {
    Now { boot: Duration::from_secs(100 + seconds), wall_ms: 0 }
}

impl World {
    fn new(planted: Planted) -> Self {
        let name = |n: &str| Name::new(n).expect("a name");
        let sites = vec![name("a"), name("b")];
        let settings = Settings { term: Duration::from_secs(2) };
        let node = |n: &str| {
            let me = Peer { name: name(n), session: Session(1) };
            let mut node = Addresses::new(me, name(n), settings, at(0));
            node.plant(planted);
            let figures = Figures { asked: 10, answered: 10, boxes: 1, capacity: 100 };
            node.observe(figures);
            node
        };
        let (nodes, router) = (vec![node("a"), node("b")], Router::new(Duration::from_millis(900)));
        let (learnt, log, waiting, asks, ended) = ([0, 0], Vec::new(), [None, None], [0, 0], false);
        let mut w = Self { now: 0, nodes, learnt, log, waiting, asks, ended, router };
        let address = AddressRule { prefix: E.into(), kind: Kind::Exclusive, med: 1, sites };
        let rules = Rules { addresses: vec![address], router_hold: 900, write: 50, ..Rules::default() };
        w.nodes[0].set_rules(at(0), 1, rules.clone()).expect("rules");
        w.log_all(0, Body::Rules(1, rules));
        for i in [0, 1, 0] {
            let body = w.ask(i);
            w.log_all(i, body);
        }
        w.log_all(0, w.decision("a", true));
        // From now on the first site is sick, and the second may take over.
        w.nodes[0].observe(Figures { asked: 10, answered: 5, boxes: 1, capacity: 100 });
        let body = w.ask(0);
        w.log_all(0, body);
        assert!(w.nodes[0].owns(at(0), E), "the first site begins as the owner");
        // Its renewal is decided, and then the move; only the second node has learnt of them.
        let body = w.ask(0);
        w.decide(0, &body);
        w.learn(1);
        let state = &w.nodes[1].state;
        let (site, after) = (w.nodes[1].site.clone(), state.last(E));
        let (turn, prefix) = (state.turned(&site), E.to_owned());
        w.decide(1, &Body::Decide { prefix, after, site, up: true, turn, waited: true });
        w.learn(1);
        w.asks = [0, 0];
        (0..2).for_each(|i| w.speak(i));
        w
    }

    fn decision(&self, site: &str, waited: bool) -> Body {
        let site = Name::new(site).expect("a name");
        let state = &self.nodes[0].state;
        let (after, turn) = (state.last(E), state.turned(&site));
        Body::Decide { prefix: E.into(), after, site, up: true, turn, waited }
    }

    fn ask(&mut self, i: usize) -> Body {
        self.asks[i] += 1;
        let node = &mut self.nodes[i];
        node.reported = None;
        node.report(at(self.now).boot);
        node.out.pop_back().expect("a report")
    }

    fn decide(&mut self, i: usize, body: &Body) {
        let index = Index(self.log.len() as u64 + 1);
        let (topic, by, id) = (Topic::Addresses, self.nodes[i].me.clone(), index.0);
        let proposal = Proposal { topic, proposer: by, id, body: body.encode() };
        self.log.push(DecidedEntry { index, timestamp: Timestamp(0), proposal });
    }

    fn learn(&mut self, i: usize) {
        self.nodes[i].apply(at(self.now), &self.log[self.learnt[i]]);
        self.learnt[i] += 1;
    }

    fn speak(&mut self, i: usize) {
        let site = self.nodes[i].site.clone();
        for line in self.nodes[i].speak(at(self.now)) {
            self.router.line(at(self.now).boot, i as u32, &site, &line.to_string());
        }
        self.router.take_records();
    }

    fn log_all(&mut self, i: usize, body: Body) {
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
        if self.now < SECONDS {
            add(&|w| {
                w.now += 1;
                w.router.tick(at(w.now).boot);
            });
        }
        for i in 0..2 {
            if self.asks[i] < ASKS {
                add(&|w| w.waiting[i] = Some(w.ask(i)));
            }
            if let Some(body) = &self.waiting[i] {
                add(&|w| {
                    w.waiting[i] = None;
                    w.decide(i, body);
                });
            }
            if self.learnt[i] < self.log.len() {
                add(&|w| w.learn(i));
            }
            let state = &self.nodes[i].state;
            let owner = Key::Owner(E.into());
            let lapsed = state.leases.expired(at(self.now).boot).find(|(k, _)| **k == owner);
            if let Some((_, grant)) = lapsed.filter(|_| i == 1 && !self.ended) {
                let body = Body::End(vec![(owner.clone(), grant.index)]);
                add(&|w| (w.ended, w.waiting[1]) = (true, Some(body.clone())));
            }
            let mut speaks = self.nodes[i].clone();
            if speaks.speak(at(self.now)).is_empty() {
                continue;
            }
            add(&|w| w.speak(i));
        }
        all
    }

    fn two_owners(&self) -> bool {
        let claims = self.nodes.iter().filter(|n| n.owns(at(self.now), E)).count();
        claims > 1 || self.router.sites(E).len() > 1
    }

    /// All that what comes depends on; the timers of chores are not, since the chores are actions here.
    fn key(&self) -> u64 {
        let mut h = DefaultHasher::new();
        let now = at(self.now).boot;
        // Of what a node knows by its clock: what it holds yet, and (the second alone ends leases) when the owner's lapses.
        let held = |h: HeldLease| h.expires_at().max(now);
        let nodes = self.nodes.iter().map(|n| {
            let owned: Vec<_> = n.owned.iter().map(|(p, h)| (p, held(*h))).collect();
            let state = (&n.state.plain, n.state.leases.grants());
            (state, &n.asked, n.seq, n.speaker.map(held), owned, &n.said, n.anew, n.refreshed == now)
        });
        let all: Vec<_> = nodes.collect();
        let owner = Key::Owner(E.into());
        let lapses = (self.now..=SECONDS)
            .find(|t| self.nodes[1].state.leases.expired(at(*t).boot).any(|(k, _)| *k == owner));
        let bodies: Vec<_> = self.log.iter().map(|d| &d.proposal.body).collect();
        let text = format!(
            "{all:?}{lapses:?}{bodies:?}{:?}{:?}{:?}{:?}{:?}{}",
            self.learnt, self.waiting, self.asks, self.ended, self.router, self.now
        );
        text.hash(&mut h);
        h.finish()
    }
}

/// States seen, whether all that there are, and whether two owned at once in one of them. Depth first, so that what waits
/// stays few; moves that come last are tried first.
fn search(planted: Planted) -> (usize, bool, bool) {
    let mut seen = HashSet::new();
    let mut stack = vec![World::new(planted)];
    while let Some(w) = stack.pop() {
        if w.two_owners() {
            return (seen.len(), false, true);
        }
        if !seen.insert(w.key()) {
            continue;
        }
        if seen.len() >= STATES_MAX {
            return (seen.len(), false, false);
        }
        stack.extend(w.next());
    }
    (seen.len(), true, false)
}

#[test]
fn no_interleaving_of_a_small_world_has_two_owners() {
    let (states, all, two) = search(Planted::None);
    println!("{states} states, all of them: {all}");
    assert!(!two && all && states > 10_000, "{states} states");
}

#[test]
fn the_search_finds_two_owners_if_one_keeps_its_address_or_counts_from_the_answer() {
    for planted in [Planted::KeepsExclusive, Planted::CountsFromAnswer] {
        let (states, _, two) = search(planted);
        assert!(two, "{planted:?}: {states} states");
    }
}
