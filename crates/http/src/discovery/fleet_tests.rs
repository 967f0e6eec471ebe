//! A whole fleet that asks one service for the list, in virtual time. The pauses are the policy's own; the service is a model
//! that takes calls in turn. How the platform's service was measured to behave stands in `docs/findings/throng.md`.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use magpietally_policy::{Action, Balancer, Discovery, Event, ListFailure, Settings};

use super::timing_tests::settings;

/// One service that handles calls in turn.
#[derive(Clone, Copy)]
struct Service {
    /// How long it takes over one call, in milliseconds.
    per_call: f64,
    /// A call that would have to wait longer fails, in milliseconds.
    room: f64,
    /// What a call that fails takes of it, as a part of one that it serves.
    failing: f64,
    /// What it can't serve in time it rejects at once, not after the wait.
    rejects: bool,
    /// Until when it is down and refuses connections.
    back: f64,
}

/// How nodes take a rejection.
#[derive(Clone, Copy, PartialEq)]
enum Backoff {
    /// As the policy does.
    Policy,
    /// As it was before: like any other failure, and held back for up to 2 s behind forty in a row.
    Planted,
}

impl Service {
    /// One that serves so many in so long, each in its turn.
    fn new(nodes: usize, all: f64) -> Self {
        let per_call = all / nodes as f64;
        Self { per_call, room: 2000.0, failing: 0.0, rejects: true, back: 0.0 }
    }

    fn failing(self, failing: f64) -> Self {
        Self { failing, ..self }
    }
}

/// What brings the nodes to ask at the same time.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    /// All are started at once.
    Started,
    /// All lose their watches at once.
    CutOff,
    /// The service is down for 8 s, and all have lost their watches with it.
    Outage,
    /// All are told of a new address at once.
    Reloaded,
}

const TROUBLES: [Trouble; 4] = [Trouble::Started, Trouble::CutOff, Trouble::Outage, Trouble::Reloaded];

enum Ev {
    Timer,
    /// A call has ended: it was answered or not.
    Ended(Result<(), ListFailure>),
}

struct Fleet {
    nodes: Vec<Balancer>,
    backoff: Backoff,
    /// How many calls of each node in a row were rejected.
    in_row: Vec<i32>,
    service: Service,
    /// When what has been called for so far is done.
    busy: f64,
    /// How many calls the service got while it was there.
    calls: usize,
    /// By time in microseconds, and in the order in which they came to be.
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Option<(usize, Ev)>>,
    /// When each node had the list, counted from when the service could be reached, in order.
    had: Vec<f64>,
    /// When each call came, whose it was, and whether it was rejected.
    came: Vec<(f64, usize, bool)>,
}

/// How many nodes there are, how many their settings speak of, and how they take rejections.
#[derive(Clone, Copy)]
struct Nodes {
    count: usize,
    told: usize,
    backoff: Backoff,
}

impl Nodes {
    fn of(count: usize) -> Self {
        Self { count, told: count, backoff: Backoff::Policy }
    }
}

/// How long a fleet is played at the most, from when the service can be reached.
const PLAYED: f64 = 2_000_000.0;

impl Fleet {
    /// Plays nodes that come to ask by one trouble, until all have the list or the time is over.
    fn play(nodes: Nodes, service: Service, trouble: Trouble, seed: u64) -> Self {
        let node = |n: usize| {
            let asked = settings(Discovery::Polled, 10_000.0);
            let set = Settings { nodes: nodes.told, number: n % nodes.told, ..asked };
            Balancer::new(set, seed.wrapping_mul(1_000_003).wrapping_add(n as u64)).expect("good settings")
        };
        let mut fleet = Self {
            nodes: (0..nodes.count).map(node).collect(),
            backoff: nodes.backoff,
            in_row: vec![0; nodes.count],
            service: Service { back: if trouble == Trouble::Outage { 8000.0 } else { 0.0 }, ..service },
            busy: 0.0,
            calls: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            had: Vec::new(),
            came: Vec::new(),
        };
        let back = fleet.service.back;
        for n in 0..nodes.count {
            let event = match trouble {
                Trouble::Started => Event::List { entries: Vec::new(), saved: true },
                Trouble::CutOff | Trouble::Outage => Event::ListFailed(ListFailure::Broken),
                Trouble::Reloaded => Event::DiscoveryMoved,
            };
            // Nodes that are cut off had their watches before.
            if trouble != Trouble::Started {
                fleet.nodes[n].handle(
                    0.0,
                    Event::List { entries: Vec::new(), saved: false },
                    &mut Vec::new(),
                );
            }
            fleet.handle(n, 0.0, event);
        }
        while let Some(Reverse((at, event))) = fleet.queue.pop() {
            let now = at as f64 / 1000.0;
            if fleet.had.len() == nodes.count || now > back + PLAYED {
                break;
            }
            match fleet.events[event].take() {
                Some((n, Ev::Timer)) => fleet.handle(n, now, Event::Timer),
                Some((n, Ev::Ended(Ok(())))) => {
                    fleet.had.push(now - back);
                    fleet.handle(n, now, Event::ListChange(Vec::new()));
                }
                Some((n, Ev::Ended(Err(failure)))) => fleet.handle(n, now, Event::ListFailed(failure)),
                None => {}
            }
        }
        fleet
    }

    fn handle(&mut self, n: usize, now: f64, event: Event) {
        let mut actions = Vec::new();
        self.nodes[n].handle(now, event, &mut actions);
        for action in actions {
            match action {
                // Never sooner than asked for, not by a rounding either.
                Action::SetTimer(after) => self.post(n, now + after + 0.001, Ev::Timer),
                Action::Subscribe => {
                    let (ends, ended) = self.call(n, now);
                    self.post(n, ends, Ev::Ended(ended));
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
    fn call(&mut self, n: usize, now: f64) -> (f64, Result<(), ListFailure>) {
        if now < self.service.back {
            return (now, Err(ListFailure::Broken));
        }
        self.calls += 1;
        let Service { per_call, room, failing, rejects, .. } = self.service;
        let start = self.busy.max(now);
        let served = start - now <= room;
        self.came.push((now, n, !served));
        if served {
            self.busy = start + per_call;
            assert!(self.busy - now < self.nodes[n].list_response_timeout(), "the node gives up sooner");
            return (self.busy, Ok(()));
        }
        self.busy = start + failing * per_call;
        if !rejects {
            return (now + room, Err(ListFailure::Broken));
        }
        self.in_row[n] += 1;
        match (self.backoff, self.in_row[n]) {
            (Backoff::Policy, _) => (now, Err(ListFailure::Rejected)),
            (Backoff::Planted, ..=40) => (now, Err(ListFailure::Broken)),
            (Backoff::Planted, more) => {
                (now + (250.0 * 2f64.powi((more - 41).min(8))).min(2000.0), Err(ListFailure::Broken))
            }
        }
    }

    /// When the last node had the list.
    fn last(&self) -> f64 {
        if self.had.len() == self.nodes.len() {
            return self.had.last().copied().unwrap_or(0.0);
        }
        f64::INFINITY
    }

    fn calls_a_node(&self) -> f64 {
        self.calls as f64 / self.nodes.len() as f64
    }
}

/// The worst of so many seeds: when the last node had the list, in parts of the time in which all could have been served in
/// turn, and the calls a node.
fn worst(nodes: Nodes, service: Service, trouble: Trouble, seeds: u64) -> (f64, f64) {
    let all = service.per_call * nodes.count as f64;
    let plays = (0..seeds).map(|seed| Fleet::play(nodes, service, trouble, seed));
    plays.fold((0.0, 0.0), |(last, calls), fleet| {
        (fleet.last().max(last * all) / all, fleet.calls_a_node().max(calls))
    })
}

/// The table of `docs/measurements/asking.md` has ten seeds a cell; without optimisation that would take a minute.
const SEEDS: u64 = if cfg!(debug_assertions) { 2 } else { 10 };

/// The fleets that are played. Three nodes are served in 3 s at the most, as a call would last longer than a node waits.
const FLEETS: [usize; 7] = [3, 20, 30, 100, 300, 350, 1024];

/// What a rejection costs the service, as a part of a call that it serves, and the longest time in which it may serve the whole
/// fleet for the last node to be in time.
const HELD: [(f64, f64); 5] =
    [(0.0, 12_000.0), (0.05, 12_000.0), (0.1, 12_000.0), (0.25, 4000.0), (0.5, 4000.0)];
const ALL: [f64; 8] = [1000.0, 2000.0, 3000.0, 4000.0, 6000.0, 8000.0, 12_000.0, 20_000.0];

fn cells(count: usize) -> impl Iterator<Item = (f64, f64, Trouble)> {
    let all = ALL.into_iter().filter(move |all| count > 3 || *all <= 3000.0);
    let costs = HELD.map(|(failing, _)| failing);
    all.flat_map(move |all| costs.into_iter().flat_map(move |failing| TROUBLES.map(|t| (all, failing, t))))
}

/// With no word between them, and not knowing how fast the service is, all nodes are through within one and a half times the time
/// in which it could have served them in turn, and so within 6 s where that is 4 s or less; with at most four calls a node.
#[test]
fn the_last_of_a_fleet_has_its_list_about_as_soon_as_it_could_be_served() {
    for count in FLEETS {
        let mut told = String::new();
        for (all, failing, trouble) in cells(count) {
            let held = HELD.iter().any(|(cost, most)| *cost == failing && all <= *most);
            let (last, calls) =
                worst(Nodes::of(count), Service::new(count, all).failing(failing), trouble, SEEDS);
            told +=
                &format!("{count} nodes, {all} ms, {failing}, {trouble:?}: {last:.2}, {calls:.1} calls\n");
            assert!(!held || (last <= 1.5 && calls <= 4.0), "{told}");
            // Beyond that a fleet takes longer, but it comes to an end.
            assert!(last < 8.0 && calls < 12.0, "{told}");
        }
        print!("{told}");
    }
}

/// The pauses of before fail that, by far: calls that are rejected keep the service from its work.
#[test]
fn pauses_that_do_not_grow_behind_rejections_fail_it() {
    for count in [30, 300] {
        let nodes = Nodes { backoff: Backoff::Planted, ..Nodes::of(count) };
        for (all, failing) in [(6000.0, 0.05), (6000.0, 0.1), (8000.0, 0.05), (8000.0, 0.1)] {
            let (last, calls) =
                worst(nodes, Service::new(count, all).failing(failing), Trouble::CutOff, SEEDS);
            println!("before: {count} nodes, {all} ms, {failing}: {last:.2}, {calls:.1} calls");
            assert!(calls > 4.0 && (last > 1.5 || all < 8000.0), "{last}, {calls}");
        }
    }
}

/// Where the settings speak of another number of nodes all are served, too: soon where they speak of more. Nodes that each
/// believe to be alone try on for some seconds first.
#[test]
fn a_fleet_of_another_size_than_its_settings_say_is_served() {
    for (count, told, most) in [(30, 1, 5.0), (300, 1, 5.0), (20, 300, 1.5), (100, 1024, 1.5)] {
        let nodes = Nodes { told, ..Nodes::of(count) };
        for (all, failing) in [(1000.0, 0.5), (4000.0, 0.1), (8000.0, 0.1)] {
            let (last, calls) =
                worst(nodes, Service::new(count, all).failing(failing), Trouble::Started, SEEDS);
            println!("{count} told {told}, {all} ms, {failing}: {last:.2}, {calls:.1} calls");
            assert!(last <= most, "{count} told {told}, {all} ms, {failing}: {last:.2}");
        }
        // A service that is kept from its work by far is left in peace in the end.
        let (last, calls) = worst(nodes, Service::new(count, 20_000.0).failing(0.5), Trouble::Started, 1);
        println!("{count} told {told}, 20 s, 0.5: {last:.2}, {calls:.1} calls");
        assert!(last.is_finite());
    }
}

/// Who is rejected together does not come back together: at most a fifth of them in any tenth of a second.
#[test]
fn nodes_that_are_rejected_together_come_back_apart() {
    for trouble in TROUBLES {
        let fleet = Fleet::play(Nodes::of(1024), Service::new(1024, 8000.0).failing(0.05), trouble, 1);
        let back = fleet.service.back;
        // Those whose first call after the service's return came within its first tenth of a second.
        let begun = fleet.came.iter().map(|(at, ..)| *at).fold(f64::INFINITY, f64::min).max(back);
        let flock: Vec<usize> =
            fleet.came.iter().filter(|c| c.2 && c.0 < begun + 100.0).map(|c| c.1).collect();
        assert!(flock.len() >= 50, "{trouble:?}: {} rejected together", flock.len());
        let mut again: Vec<f64> = flock
            .iter()
            .filter_map(|n| fleet.came.iter().filter(|c| c.1 == *n).nth(1).map(|c| c.0))
            .collect();
        again.sort_by(f64::total_cmp);
        let together = |at: &f64| again.iter().filter(|b| (*at..at + 100.0).contains(b)).count();
        let most = again.iter().map(together).max().unwrap_or(0);
        println!("{trouble:?}: {} rejected together, {most} of them again within a tenth", flock.len());
        assert!(most * 5 <= again.len(), "{trouble:?}: {most} of {}", again.len());
    }
}

/// A service that fails calls only after they have waited is never idle: all have the list as soon as it can serve them.
#[test]
fn a_fleet_has_its_list_as_soon_as_the_service_can_serve_it() {
    for room in [2000.0, 3000.0] {
        for rate in [200.0, 100.0, 60.0, 51.0] {
            let waits = Service { room, rejects: false, ..Service::new(300, 300_000.0 / rate) };
            for seed in 0..4 {
                let last = Fleet::play(Nodes::of(300), waits, Trouble::Outage, seed).last();
                assert!(last < 300.0 / rate * 1000.0 + 400.0, "{rate}/s: {last:.0} ms");
            }
        }
    }
}

/// Where it can't serve them in time, the calls that wait in vain are no storm that lasts: it ends when the service has served
/// all, also where it pays for those that fail.
#[test]
fn more_callers_than_it_can_serve_are_served_in_the_end() {
    for (rate, failing, rejects, most) in [
        (30.0, 0.0, false, 11_000.0),
        (15.0, 0.0, false, 21_000.0),
        (30.0, 0.1, false, 13_000.0),
        (30.0, 0.25, false, 17_000.0),
        (50.0, 1.0, false, 17_000.0),
        (30.0, 0.0, true, 11_000.0),
        (30.0, 0.02, true, 14_000.0),
        (30.0, 0.1, true, 15_000.0),
    ] {
        let service =
            Service { room: 3000.0, rejects, ..Service::new(300, 300_000.0 / rate).failing(failing) };
        for seed in 0..2 {
            let fleet = Fleet::play(Nodes::of(300), service, Trouble::Outage, seed);
            println!("{rate}/s, {failing}, {rejects}: {:.0} ms, {} calls", fleet.last(), fleet.calls);
            assert!(fleet.last() < most, "{rate}/s, {failing}, {rejects}: {:.0} ms", fleet.last());
        }
    }
}
