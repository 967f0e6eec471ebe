//! Tests of protocols on the network: clocks, pauses, kills, and equal runs for equal seeds.

use std::collections::VecDeque;
use std::time::Duration;

use magpietally_transport::{Kind, Now, Outgoing, Peer, Protocol};

use super::check::*;
use crate::{Clocks, Faults, Limits, World};

const EPOCH_MS: u64 = 1_800_000_000_000;

/// Sends a counter to node 0 every 100 ms of its boot clock, and records received messages and ticks.
struct PeriodicSender {
    me: Peer,
    next: Duration,
    next_number: u64,
    out: VecDeque<Outgoing>,
    received: Vec<(Now, Peer, u64)>,
    ticks: Vec<Now>,
    /// The order of calls: true for a tick, false for a message.
    calls: Vec<bool>,
    kind: Kind,
}

impl PeriodicSender {
    fn new(me: Peer, now: Now, kind: Kind) -> Self {
        let (received, ticks, calls) = (Vec::new(), Vec::new(), Vec::new());
        Self { me, next: now.boot, next_number: 0, out: VecDeque::new(), received, ticks, calls, kind }
    }
}

impl Protocol for PeriodicSender {
    fn on_message(&mut self, now: Now, from: &Peer, bytes: &[u8]) {
        self.calls.push(false);
        self.received.push((now, from.clone(), u64::from_be_bytes(bytes.try_into().expect("eight bytes"))));
    }

    fn tick(&mut self, now: Now) {
        self.calls.push(true);
        self.ticks.push(now);
        self.next = now.boot + 100 * MS;
        if self.me.name != name(0) {
            let bytes = self.next_number.to_be_bytes().to_vec();
            self.next_number += 1;
            self.out.push_back(Outgoing { to: name(0), kind: self.kind, bytes });
        }
    }

    fn next_due(&self) -> Option<Duration> {
        Some(self.next)
    }

    fn take_outgoing(&mut self) -> Option<Outgoing> {
        self.out.pop_front()
    }
}

fn world(n: usize, seed: u64, faults: Faults, kind: Kind, clocks: Clocks) -> World<PeriodicSender> {
    let mut world = World::new(seed, faults, Limits::default(), EPOCH_MS);
    for i in 0..n {
        assert_eq!(world.add(&name(i), clocks), Ok(i));
        world.start(i, |me, now| PeriodicSender::new(me, now, kind));
    }
    world
}

fn world_without_faults(n: usize) -> World<PeriodicSender> {
    world(n, 1, Faults::default(), Kind::Datagram, Clocks::default())
}

/// Runs a world with faults, a partition, a pause, a kill and clock drift, and returns its trace.
fn trace_with_faults(seed: u64) -> u64 {
    let mut w = world(5, seed, heavy_faults(), Kind::Stream, Clocks::default());
    w.run(S);
    w.net_mut().partition(&[0], &[3, 4]);
    w.pause(1);
    w.kill(2);
    w.set_drift(3, 500);
    w.run(3 * S);
    w.net_mut().heal();
    w.resume(1);
    w.start(2, |me, now| PeriodicSender::new(me, now, Kind::Datagram));
    w.run(3 * S);
    w.trace()
}

#[test]
fn the_same_seed_gives_the_same_run_and_another_seed_another() {
    for seed in 0..20 {
        assert_eq!(trace_with_faults(seed), trace_with_faults(seed));
        assert_ne!(trace_with_faults(seed), trace_with_faults(seed + 1));
    }
}

#[test]
fn the_run_is_the_same_on_every_machine() {
    // A recorded value, which changes only if the rules or the random draws of the network change.
    assert_eq!(trace_with_faults(7), 423_768_636_457_377_563);
}

#[test]
fn protocols_tick_when_due_by_their_own_boot_clock() {
    let fast = Clocks { origin: 77 * S, drift_ppm: 250_000, wall_ahead_ms: -600_000 };
    let mut w = world(1, 1, Faults::default(), Kind::Datagram, fast);
    w.run(4 * S);
    let protocol = w.protocol(0).expect("node is running");
    assert_eq!(protocol.ticks.len(), 51, "one at the start, then one per 100 ms for 5 s of its own clock");
    for (i, tick) in protocol.ticks.iter().enumerate() {
        assert_eq!(tick.boot, 77 * S + 100 * MS * i as u32);
    }
    assert_eq!(w.clock(0), Now { boot: 82 * S, wall_ms: EPOCH_MS + 4_000 - 600_000 });
    w.set_drift(0, -500_000);
    w.set_wall_ahead(0, 600_000);
    w.run(2 * S);
    assert_eq!(w.clock(0), Now { boot: 83 * S, wall_ms: EPOCH_MS + 6_000 + 600_000 });
    assert_eq!(w.protocol(0).map(|r| r.ticks.len()), Some(61));
}

#[test]
fn a_paused_node_does_nothing_while_its_clock_continues_and_resumes_with_a_bounded_backlog() {
    let limits = Limits { backlog: 10, ..Limits::default() };
    let mut w = World::new(1, Faults::default(), limits, EPOCH_MS);
    for i in 0..2 {
        w.add(&name(i), Clocks::default()).expect("the network accepts the node");
        w.start(i, |me, now| PeriodicSender::new(me, now, Kind::Datagram));
    }
    w.run(S + 50 * MS);
    let (received, ticks) =
        w.protocol(0).map(|r| (r.received.len(), r.ticks.len())).expect("node is running");
    w.pause(0);
    w.run(20 * S);
    assert_eq!(w.protocol(0).map(|r| (r.received.len(), r.ticks.len())), Some((received, ticks)));
    assert_eq!(w.call(0, |_, _| ()), None, "a paused protocol cannot be called");
    w.resume(0);
    let protocol = w.protocol(0).expect("node is running");
    assert_eq!(protocol.received.len(), received + 10);
    assert_eq!(protocol.ticks.last(), Some(&Now { boot: 21 * S + 50 * MS, wall_ms: EPOCH_MS + 21_050 }));
    assert_eq!(w.counts(0).overflowed, 190);
}

#[test]
fn on_resume_ticks_and_waiting_messages_are_processed_in_a_random_order() {
    let mut tick_positions = std::collections::BTreeSet::new();
    for seed in 0..50 {
        let mut w = world(2, seed, Faults::default(), Kind::Stream, Clocks::default());
        w.run(S);
        w.pause(0);
        w.run(S);
        let before = w.protocol(0).map_or(0, |r| r.calls.len());
        w.resume(0);
        let protocol = w.protocol(0).expect("node is running");
        tick_positions.insert(protocol.calls[before..].iter().position(|tick| *tick));
        let numbers: Vec<u64> = protocol.received.iter().map(|m| m.2).collect();
        assert!(numbers.is_sorted(), "a stream keeps its order through a pause");
    }
    assert!(
        tick_positions.contains(&Some(0)) && tick_positions.len() > 5,
        "tick positions: {tick_positions:?}"
    );
}

#[test]
fn a_killed_node_sends_nothing_and_a_started_one_has_a_new_session() {
    let mut w = world_without_faults(2);
    w.run(S);
    w.kill(1);
    w.run(S);
    assert!(w.protocol(1).is_none());
    let received = w.protocol(0).map_or(0, |r| r.received.len());
    w.run(S);
    assert_eq!(w.protocol(0).map_or(0, |r| r.received.len()), received);
    w.start(1, |me, now| PeriodicSender::new(me, now, Kind::Datagram));
    w.run(S);
    let last = w.protocol(0).and_then(|r| r.received.last()).map(|m| m.1.clone());
    assert_eq!(last, Some(w.net().peer(1)));
    assert_eq!(w.net().peer(1).session.0, 2);
}

#[test]
fn a_protocol_that_is_always_due_does_not_stop_time() {
    struct AlwaysDue(u64);
    impl Protocol for AlwaysDue {
        fn on_message(&mut self, _: Now, _: &Peer, _: &[u8]) {}
        fn tick(&mut self, _: Now) {
            self.0 += 1;
        }
        fn next_due(&self) -> Option<Duration> {
            Some(Duration::ZERO)
        }
        fn take_outgoing(&mut self) -> Option<Outgoing> {
            None
        }
    }
    let mut w = World::new(1, Faults::default(), Limits::default(), EPOCH_MS);
    w.add(&name(0), Clocks::default()).expect("the network accepts the node");
    w.start(0, |_, _| AlwaysDue(0));
    w.run(S);
    assert_eq!(w.protocol(0).map(|r| r.0), Some(1_001));
}

#[test]
fn run_until_waits_for_the_condition_up_to_the_limit() {
    let mut w = world_without_faults(2);
    let took = w
        .run_until(10 * S, |w| w.protocol(0).is_some_and(|r| r.received.len() >= 10))
        .expect("the condition is met in time");
    assert!(took >= 900 * MS && took < 920 * MS, "{took:?}");
    assert_eq!(w.run_until(S, |_| false), None);
    assert_eq!(w.now(), took + S);
    let (sent, received) = (*w.counts(1), *w.counts(0));
    assert!(sent.sent_bytes == 8 * sent.sent && received.received_bytes == 8 * received.received);
    assert!(sent.sent >= received.received && received.received >= 18);
}
