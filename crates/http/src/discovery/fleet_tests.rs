//! A fleet of nodes that fetches the list from one service, in virtual time. The pauses are the policy's own;
//! the service is a model that handles calls in turn. The measured behaviour of the platform's service is in
//! `docs/findings/throng.md`.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use magpietally_policy::{Action, Balancer, Discovery, Event, ListFailure, Settings};

use super::timing_tests::settings;

/// A service that handles calls in turn.
#[derive(Clone, Copy)]
struct Service {
    /// Time to handle one call, in milliseconds.
    per_call: f64,
    /// The longest wait in the queue, in milliseconds; a call that would have to wait longer fails.
    max_wait: f64,
    /// The cost of a failed call, as a share of that of a successful one.
    failing: f64,
    /// Whether calls that can't be handled in time are rejected at once, not after the wait.
    rejects: bool,
    /// Until when the service is down and refuses connections.
    available_at: f64,
}

/// How nodes react to a rejection.
#[derive(Clone, Copy, PartialEq)]
enum Backoff {
    /// As the policy does.
    Policy,
    /// As an earlier policy did: a rejection counted like any other failure, and pauses of up to 2 s began
    /// only after forty in a row.
    Former,
}

impl Service {
    /// A service that handles one call from each of `nodes` nodes in `all` milliseconds.
    fn new(nodes: usize, all: f64) -> Self {
        let per_call = all / nodes as f64;
        Self { per_call, max_wait: 2000.0, failing: 0.0, rejects: true, available_at: 0.0 }
    }

    fn failing(self, failing: f64) -> Self {
        Self { failing, ..self }
    }
}

/// What makes the nodes call at the same time.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trigger {
    /// All are started at once.
    Started,
    /// All lose their watches at once.
    CutOff,
    /// The service is down for 8 s, and all lose their watches with it.
    Outage,
    /// All are given a new address at once.
    Reloaded,
}

const TRIGGERS: [Trigger; 4] = [Trigger::Started, Trigger::CutOff, Trigger::Outage, Trigger::Reloaded];

enum FleetEvent {
    Timer,
    /// A call has ended, with or without a response.
    Ended(Result<(), ListFailure>),
}

struct Fleet {
    nodes: Vec<Balancer>,
    backoff: Backoff,
    /// Number of consecutive rejections of each node.
    rejections_in_row: Vec<i32>,
    service: Service,
    /// When all calls made so far will have been handled.
    busy_until: f64,
    /// Number of calls made while the service was up.
    calls: usize,
    /// Ordered by time in microseconds, then by order of creation.
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Option<(usize, FleetEvent)>>,
    /// When each node received the list, counted from when the service became reachable, in order.
    list_times: Vec<f64>,
    /// For each call: when it was made, by which node, and whether it was rejected.
    call_log: Vec<(f64, usize, bool)>,
}

/// The number of nodes, the number in their settings, and how they react to rejections.
#[derive(Clone, Copy)]
struct Nodes {
    count: usize,
    configured: usize,
    backoff: Backoff,
}

impl Nodes {
    fn of(count: usize) -> Self {
        Self { count, configured: count, backoff: Backoff::Policy }
    }
}

/// The longest time simulated, counted from when the service becomes reachable, in milliseconds.
const MAX_TIME: f64 = 2_000_000.0;

impl Fleet {
    /// Simulates nodes that call because of `trigger`, until all have the list or the time is over.
    fn run(nodes: Nodes, service: Service, trigger: Trigger, seed: u64) -> Self {
        let node = |n: usize| {
            let asked = settings(Discovery::Polled, 10_000.0);
            let set = Settings { nodes: nodes.configured, number: n % nodes.configured, ..asked };
            Balancer::new(set, seed.wrapping_mul(1_000_003).wrapping_add(n as u64)).expect("good settings")
        };
        let mut fleet = Self {
            nodes: (0..nodes.count).map(node).collect(),
            backoff: nodes.backoff,
            rejections_in_row: vec![0; nodes.count],
            service: Service {
                available_at: if trigger == Trigger::Outage { 8000.0 } else { 0.0 },
                ..service
            },
            busy_until: 0.0,
            calls: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            list_times: Vec::new(),
            call_log: Vec::new(),
        };
        let available_at = fleet.service.available_at;
        for n in 0..nodes.count {
            let event = match trigger {
                Trigger::Started => Event::List { entries: Vec::new(), saved: true },
                Trigger::CutOff | Trigger::Outage => Event::ListFailed(ListFailure::Broken),
                Trigger::Reloaded => Event::DiscoveryMoved,
            };
            // In all cases but a start the nodes had watches before.
            if trigger != Trigger::Started {
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
            if fleet.list_times.len() == nodes.count || now > available_at + MAX_TIME {
                break;
            }
            match fleet.events[event].take() {
                Some((n, FleetEvent::Timer)) => fleet.handle(n, now, Event::Timer),
                Some((n, FleetEvent::Ended(Ok(())))) => {
                    fleet.list_times.push(now - available_at);
                    fleet.handle(n, now, Event::ListChange(Vec::new()));
                }
                Some((n, FleetEvent::Ended(Err(failure)))) => {
                    fleet.handle(n, now, Event::ListFailed(failure))
                }
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
                // Rounding must not let a timer fire early.
                Action::SetTimer(after) => self.post(n, now + after + 0.001, FleetEvent::Timer),
                Action::Subscribe => {
                    let (ends, ended) = self.call(n, now);
                    self.post(n, ends, FleetEvent::Ended(ended));
                }
                _ => {}
            }
        }
    }

    fn post(&mut self, n: usize, at: f64, event: FleetEvent) {
        self.queue.push(Reverse(((at * 1000.0).ceil() as u64, self.events.len())));
        self.events.push(Some((n, event)));
    }

    /// Returns when a call made now ends, and whether it gets a response.
    fn call(&mut self, n: usize, now: f64) -> (f64, Result<(), ListFailure>) {
        if now < self.service.available_at {
            return (now, Err(ListFailure::Broken));
        }
        self.calls += 1;
        let Service { per_call, max_wait, failing, rejects, .. } = self.service;
        let start = self.busy_until.max(now);
        let served = start - now <= max_wait;
        self.call_log.push((now, n, !served));
        if served {
            self.busy_until = start + per_call;
            assert!(
                self.busy_until - now < self.nodes[n].list_response_timeout(),
                "the node gives up sooner"
            );
            return (self.busy_until, Ok(()));
        }
        self.busy_until = start + failing * per_call;
        if !rejects {
            return (now + max_wait, Err(ListFailure::Broken));
        }
        self.rejections_in_row[n] += 1;
        match (self.backoff, self.rejections_in_row[n]) {
            (Backoff::Policy, _) => (now, Err(ListFailure::Rejected)),
            (Backoff::Former, ..=40) => (now, Err(ListFailure::Broken)),
            (Backoff::Former, more) => {
                (now + (250.0 * 2f64.powi((more - 41).min(8))).min(2000.0), Err(ListFailure::Broken))
            }
        }
    }

    /// Returns when the last node received the list.
    fn last(&self) -> f64 {
        if self.list_times.len() == self.nodes.len() {
            return self.list_times.last().copied().unwrap_or(0.0);
        }
        f64::INFINITY
    }

    fn calls_per_node(&self) -> f64 {
        self.calls as f64 / self.nodes.len() as f64
    }
}

/// The worst values over this many seeds: when the last node received the list, as a multiple of the time in
/// which all could have been served in turn, and the calls per node.
fn worst(nodes: Nodes, service: Service, trigger: Trigger, seeds: u64) -> (f64, f64) {
    let all = service.per_call * nodes.count as f64;
    let runs = (0..seeds).map(|seed| Fleet::run(nodes, service, trigger, seed));
    runs.fold((0.0, 0.0), |(last, calls), fleet| {
        (fleet.last().max(last * all) / all, fleet.calls_per_node().max(calls))
    })
}

/// The table in `docs/measurements/asking.md` has ten seeds for each cell, which would take a minute without
/// optimisation.
const SEEDS: u64 = if cfg!(debug_assertions) { 2 } else { 10 };

/// The fleet sizes. Three nodes are served within 3 s at most, as a call would otherwise last longer than a
/// node waits.
const FLEET_SIZES: [usize; 7] = [3, 20, 30, 100, 300, 350, 1024];

/// The cost of a rejection, as a share of that of a served call, and the longest time to serve the whole
/// fleet for which the last node must still be in time.
const REJECTION_COSTS: [(f64, f64); 5] =
    [(0.0, 12_000.0), (0.05, 12_000.0), (0.1, 12_000.0), (0.25, 4000.0), (0.5, 4000.0)];
const SERVE_ALL_MS: [f64; 8] = [1000.0, 2000.0, 3000.0, 4000.0, 6000.0, 8000.0, 12_000.0, 20_000.0];

fn cells(count: usize) -> impl Iterator<Item = (f64, f64, Trigger)> {
    let all = SERVE_ALL_MS.into_iter().filter(move |all| count > 3 || *all <= 3000.0);
    let costs = REJECTION_COSTS.map(|(failing, _)| failing);
    all.flat_map(move |all| costs.into_iter().flat_map(move |failing| TRIGGERS.map(|t| (all, failing, t))))
}

/// Without communicating, and without knowing how fast the service is, all nodes have the list within one and
/// a half times the time in which it could have served them in turn, so within 6 s where that time is 4 s or
/// less, with at most four calls per node.
#[test]
fn last_node_has_its_list_about_as_soon_as_it_could_be_served() {
    for count in FLEET_SIZES {
        let mut report = String::new();
        for (all, failing, trigger) in cells(count) {
            let must_hold = REJECTION_COSTS.iter().any(|(cost, max)| *cost == failing && all <= *max);
            let (last, calls) =
                worst(Nodes::of(count), Service::new(count, all).failing(failing), trigger, SEEDS);
            report +=
                &format!("{count} nodes, {all} ms, {failing}, {trigger:?}: {last:.2}, {calls:.1} calls\n");
            assert!(!must_hold || (last <= 1.5 && calls <= 4.0), "{report}");
            // Beyond that a fleet takes longer, but it finishes.
            assert!(last < 8.0 && calls < 12.0, "{report}");
        }
        print!("{report}");
    }
}

/// The earlier pauses fail this by far: rejected calls keep the service from its work.
#[test]
fn pauses_that_do_not_grow_after_rejections_are_not_enough() {
    for count in [30, 300] {
        let nodes = Nodes { backoff: Backoff::Former, ..Nodes::of(count) };
        for (all, failing) in [(6000.0, 0.05), (6000.0, 0.1), (8000.0, 0.05), (8000.0, 0.1)] {
            let (last, calls) =
                worst(nodes, Service::new(count, all).failing(failing), Trigger::CutOff, SEEDS);
            println!("former pauses: {count} nodes, {all} ms, {failing}: {last:.2}, {calls:.1} calls");
            assert!(calls > 4.0 && (last > 1.5 || all < 8000.0), "{last}, {calls}");
        }
    }
}

/// A fleet of another size than its settings say is served, too, and soon if it is smaller. Nodes that each
/// take themselves for the only one keep trying for some seconds first.
#[test]
fn fleet_of_another_size_than_configured_is_served() {
    for (count, configured, max) in [(30, 1, 5.0), (300, 1, 5.0), (20, 300, 1.5), (100, 1024, 1.5)] {
        let nodes = Nodes { configured, ..Nodes::of(count) };
        for (all, failing) in [(1000.0, 0.5), (4000.0, 0.1), (8000.0, 0.1)] {
            let (last, calls) =
                worst(nodes, Service::new(count, all).failing(failing), Trigger::Started, SEEDS);
            println!(
                "{count} nodes, {configured} configured, {all} ms, {failing}: {last:.2}, {calls:.1} calls"
            );
            assert!(last <= max, "{count} nodes, {configured} configured, {all} ms, {failing}: {last:.2}");
        }
        // Even a service that is slowed down far more is not called forever.
        let (last, calls) = worst(nodes, Service::new(count, 20_000.0).failing(0.5), Trigger::Started, 1);
        println!("{count} nodes, {configured} configured, 20 s, 0.5: {last:.2}, {calls:.1} calls");
        assert!(last.is_finite());
    }
}

/// Nodes that are rejected together do not return together: at most a fifth of them call within any 100 ms.
#[test]
fn nodes_rejected_together_do_not_return_together() {
    for trigger in TRIGGERS {
        let fleet = Fleet::run(Nodes::of(1024), Service::new(1024, 8000.0).failing(0.05), trigger, 1);
        let available_at = fleet.service.available_at;
        // Nodes whose first call came within 100 ms of the service's return.
        let first_call_at =
            fleet.call_log.iter().map(|(at, ..)| *at).fold(f64::INFINITY, f64::min).max(available_at);
        let rejected_together: Vec<usize> =
            fleet.call_log.iter().filter(|c| c.2 && c.0 < first_call_at + 100.0).map(|c| c.1).collect();
        assert!(rejected_together.len() >= 50, "{trigger:?}: {} rejected together", rejected_together.len());
        let mut second_calls: Vec<f64> = rejected_together
            .iter()
            .filter_map(|n| fleet.call_log.iter().filter(|c| c.1 == *n).nth(1).map(|c| c.0))
            .collect();
        second_calls.sort_by(f64::total_cmp);
        let within_100_ms = |at: &f64| second_calls.iter().filter(|b| (*at..at + 100.0).contains(b)).count();
        let max = second_calls.iter().map(within_100_ms).max().unwrap_or(0);
        println!(
            "{trigger:?}: {} rejected together, {max} of them again within 100 ms",
            rejected_together.len()
        );
        assert!(max * 5 <= second_calls.len(), "{trigger:?}: {max} of {}", second_calls.len());
    }
}

/// A service that fails calls only after a wait is never idle, so all nodes have the list as soon as it can
/// serve them.
#[test]
fn fleet_has_its_list_as_soon_as_the_service_can_serve_it() {
    for max_wait in [2000.0, 3000.0] {
        for rate in [200.0, 100.0, 60.0, 51.0] {
            let waits = Service { max_wait, rejects: false, ..Service::new(300, 300_000.0 / rate) };
            for seed in 0..4 {
                let last = Fleet::run(Nodes::of(300), waits, Trigger::Outage, seed).last();
                assert!(last < 300.0 / rate * 1000.0 + 400.0, "{rate}/s: {last:.0} ms");
            }
        }
    }
}

/// If it can't serve them in time, the calls that wait in vain do not go on: they end when the service has
/// served all nodes, even if it pays for those that fail.
#[test]
fn more_callers_than_the_service_can_serve_finish_eventually() {
    for (rate, failing, rejects, max) in [
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
            Service { max_wait: 3000.0, rejects, ..Service::new(300, 300_000.0 / rate).failing(failing) };
        for seed in 0..2 {
            let fleet = Fleet::run(Nodes::of(300), service, Trigger::Outage, seed);
            println!("{rate}/s, {failing}, {rejects}: {:.0} ms, {} calls", fleet.last(), fleet.calls);
            assert!(fleet.last() < max, "{rate}/s, {failing}, {rejects}: {:.0} ms", fleet.last());
        }
    }
}
