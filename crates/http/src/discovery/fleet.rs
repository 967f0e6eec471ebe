//! A whole fleet that asks one service for the list, in virtual time: what pauses do to a service that is back and has more
//! callers than it can serve at once. The pauses are the policy's own and the calls' ends are held back as in a real call; the
//! service is a model.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use magpietally_policy::{Action, Balancer, Discovery, Event, Settings};

use super::clock::settings;
use super::{Shed, ANSWER};

const NODES: usize = 300;

/// One service that handles calls in turn. It is down for 8 s, and refuses connections then.
#[derive(Clone, Copy)]
struct Service {
    /// How many calls it serves in a second.
    rate: f64,
    /// A call that would have to wait longer fails then, in milliseconds.
    timeout: f64,
    /// What a call that fails takes of it, as a part of one that it serves.
    failing: f64,
    /// What it can't serve in time it turns away at once, not after the wait.
    sheds: bool,
}

impl Service {
    fn new(rate: f64, timeout: f64) -> Self {
        Self { rate, timeout, failing: 0.0, sheds: false }
    }
}

const BACK: f64 = 8000.0;

enum Ev {
    Timer,
    /// A call has ended, and was answered or not.
    Ended(bool),
}

struct Node {
    policy: Balancer,
    shed: Shed,
}

struct Fleet {
    nodes: Vec<Node>,
    service: Service,
    /// When what has been called for so far is done.
    busy: f64,
    /// How many calls the service got from its return on.
    calls: usize,
    /// By time in microseconds, and in the order in which they came to be.
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Option<(usize, Ev)>>,
    /// When each node had the list, counted from the service's return, in order.
    had: Vec<f64>,
}

impl Fleet {
    /// Plays nodes that all lose their watches at 0, until all have the list, or for a minute from the service's return on.
    fn play(service: Service, seed: u64) -> Self {
        let node = |number: usize| {
            let set = Settings { nodes: NODES, number, ..settings(Discovery::Asked, 10_000.0) };
            let seed = seed.wrapping_mul(1_000_003).wrapping_add(number as u64);
            Node { policy: Balancer::new(set, seed).expect("good settings"), shed: Shed::default() }
        };
        let mut fleet = Self {
            nodes: (0..NODES).map(node).collect(),
            service,
            busy: 0.0,
            calls: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            had: Vec::new(),
        };
        for n in 0..NODES {
            fleet.handle(n, 0.0, Event::ListFailed);
        }
        while let Some(Reverse((at, event))) = fleet.queue.pop() {
            let now = at as f64 / 1000.0;
            if fleet.had.len() == NODES || now > BACK + 60_000.0 {
                break;
            }
            match fleet.events[event].take() {
                Some((n, Ev::Timer)) => fleet.handle(n, now, Event::Timer),
                Some((n, Ev::Ended(true))) => {
                    fleet.had.push(now - BACK);
                    fleet.handle(n, now, Event::ListChange(Vec::new()));
                }
                Some((n, Ev::Ended(false))) => fleet.handle(n, now, Event::ListFailed),
                None => {}
            }
        }
        fleet
    }

    fn handle(&mut self, n: usize, now: f64, event: Event) {
        let mut actions = Vec::new();
        self.nodes[n].policy.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer(after) => self.post(n, now + after, Ev::Timer),
                Action::Subscribe => {
                    let (ends, answered) = self.call(n, now);
                    self.post(n, ends, Ev::Ended(answered));
                }
                _ => {}
            }
        }
    }

    fn post(&mut self, n: usize, at: f64, event: Ev) {
        self.queue.push(Reverse(((at * 1000.0).ceil() as u64, self.events.len())));
        self.events.push(Some((n, event)));
    }

    /// When a call ends that is made now, and whether it is answered.
    fn call(&mut self, n: usize, now: f64) -> (f64, bool) {
        if now < BACK {
            return (now, false);
        }
        self.calls += 1;
        let per_call = 1000.0 / self.service.rate;
        let start = self.busy.max(now);
        if start - now <= self.service.timeout {
            self.busy = start + per_call;
            assert!(self.busy - now < ANSWER.as_secs_f64() * 1000.0, "the node gives up sooner");
            return (self.busy, true);
        }
        self.busy = start + self.service.failing * per_call;
        let hold = self.nodes[n].shed.ended(self.service.sheds).as_secs_f64() * 1000.0;
        (now + hold + if self.service.sheds { 0.0 } else { self.service.timeout }, false)
    }

    /// When the last node had the list.
    fn last(&self) -> f64 {
        assert_eq!(self.had.len(), NODES, "all have it in the end");
        self.had[NODES - 1]
    }

    fn tell(&self) {
        let by = self.had.iter().filter(|at| **at <= 6000.0).count();
        let Service { rate, timeout, failing, sheds } = self.service;
        println!(
            "{rate}/s, {timeout} ms, {failing} for one that fails, sheds {sheds}: {by} by 6 s, {} in all, the last after \
             {:.0} ms, {} calls",
            self.had.len(),
            self.had.last().unwrap_or(&f64::NAN),
            self.calls
        );
    }
}

/// A service that works all the time serves 300 nodes as soon as anything could: what lies behind a pause is what it is idle
/// for. All have the list within 6 s where it can serve as many in that time.
#[test]
fn a_fleet_has_its_list_as_soon_as_the_service_can_serve_it() {
    for timeout in [2000.0, 3000.0] {
        for rate in [200.0, 100.0, 60.0, 51.0] {
            for seed in 0..4 {
                let fleet = Fleet::play(Service::new(rate, timeout), seed);
                fleet.tell();
                assert!(
                    fleet.last() < NODES as f64 / rate * 1000.0 + 400.0,
                    "{rate}/s: {:.0} ms",
                    fleet.last()
                );
            }
        }
    }
}

/// Where it can't, the calls that wait in vain are no storm that lasts: it ends when the service has served all, also where
/// it pays for those that fail.
#[test]
fn more_callers_than_it_can_serve_are_served_in_the_end() {
    for (rate, failing, sheds, most) in [
        (30.0, 0.0, false, 11_000.0),
        (15.0, 0.0, false, 21_000.0),
        (30.0, 0.1, false, 13_000.0),
        (30.0, 0.25, false, 17_000.0),
        (50.0, 1.0, false, 17_000.0),
        (30.0, 0.0, true, 11_000.0),
        (30.0, 0.02, true, 14_000.0),
        // Here ten seconds' worth of calls that are turned away has to be worked off first.
        (30.0, 0.1, true, 55_000.0),
    ] {
        for seed in 0..2 {
            let fleet = Fleet::play(Service { failing, sheds, ..Service::new(rate, 3000.0) }, seed);
            fleet.tell();
            assert!(fleet.last() < most, "{rate}/s, {failing}, {sheds}: {:.0} ms", fleet.last());
        }
    }
}
