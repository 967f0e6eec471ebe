//! Rooms on the network: clocks, pauses, kills, and the same run for the same seed.

use std::collections::VecDeque;
use std::time::Duration;

use magpietally_transport::{Kind, Now, Outgoing, Peer, Protocol};

use super::check::*;
use crate::{Clocks, Faults, Limits, World};

const EPOCH: u64 = 1_800_000_000_000;

/// Says its number of words to node 0 each 100 ms of its boot clock, and notes what it hears and when it ticks.
struct Talker {
    me: Peer,
    next: Duration,
    words: u64,
    out: VecDeque<Outgoing>,
    heard: Vec<(Now, Peer, u64)>,
    ticks: Vec<Now>,
    /// Whether ticks (true) and messages came, in order.
    calls: Vec<bool>,
    kind: Kind,
}

impl Talker {
    fn new(me: Peer, now: Now, kind: Kind) -> Self {
        let (heard, ticks, calls) = (Vec::new(), Vec::new(), Vec::new());
        Self { me, next: now.boot, words: 0, out: VecDeque::new(), heard, ticks, calls, kind }
    }
}

impl Protocol for Talker {
    fn on_message(&mut self, now: Now, from: &Peer, bytes: &[u8]) {
        self.calls.push(false);
        self.heard.push((now, from.clone(), u64::from_be_bytes(bytes.try_into().expect("eight bytes"))));
    }

    fn tick(&mut self, now: Now) {
        self.calls.push(true);
        self.ticks.push(now);
        self.next = now.boot + 100 * MS;
        if self.me.name != name(0) {
            let bytes = self.words.to_be_bytes().to_vec();
            self.words += 1;
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

fn world(n: usize, seed: u64, faults: Faults, kind: Kind, clocks: Clocks) -> World<Talker> {
    let mut world = World::new(seed, faults, Limits::default(), EPOCH);
    for i in 0..n {
        assert_eq!(world.add(&name(i), clocks), Ok(i));
        world.start(i, |me, now| Talker::new(me, now, kind));
    }
    world
}

fn calm(n: usize) -> World<Talker> {
    world(n, 1, Faults::default(), Kind::Datagram, Clocks::default())
}

/// A run with every fault in it; its trace.
fn eventful(seed: u64) -> u64 {
    let mut w = world(5, seed, rough(), Kind::Stream, Clocks::default());
    w.run(S);
    w.net_mut().partition(&[0], &[3, 4]);
    w.pause(1);
    w.kill(2);
    w.set_drift(3, 500);
    w.run(3 * S);
    w.net_mut().heal();
    w.resume(1);
    w.start(2, |me, now| Talker::new(me, now, Kind::Datagram));
    w.run(3 * S);
    w.trace()
}

#[test]
fn the_same_seed_gives_the_same_run_and_another_seed_another() {
    for seed in 0..20 {
        assert_eq!(eventful(seed), eventful(seed));
        assert_ne!(eventful(seed), eventful(seed + 1));
    }
}

#[test]
fn the_run_is_the_same_on_every_machine() {
    // Written down once; it changes with the network's own rules and draws, and with nothing else.
    assert_eq!(eventful(7), 423_768_636_457_377_563);
}

#[test]
fn rooms_tick_when_they_are_due_by_their_own_boot_clock() {
    let fast = Clocks { origin: 77 * S, drift_ppm: 250_000, wall_ahead_ms: -600_000 };
    let mut w = world(1, 1, Faults::default(), Kind::Datagram, fast);
    w.run(4 * S);
    let protocol = w.protocol(0).expect("it runs");
    assert_eq!(protocol.ticks.len(), 51, "5 s by its own clock, and the first at once");
    for (i, tick) in protocol.ticks.iter().enumerate() {
        assert_eq!(tick.boot, 77 * S + 100 * MS * i as u32);
    }
    assert_eq!(w.clock(0), Now { boot: 82 * S, wall_ms: EPOCH + 4_000 - 600_000 });
    w.set_drift(0, -500_000);
    w.set_wall_ahead(0, 600_000);
    w.run(2 * S);
    assert_eq!(w.clock(0), Now { boot: 83 * S, wall_ms: EPOCH + 6_000 + 600_000 });
    assert_eq!(w.protocol(0).map(|r| r.ticks.len()), Some(61));
}

#[test]
fn a_paused_node_does_nothing_while_its_clock_runs_on_and_wakes_to_a_bounded_backlog() {
    let limits = Limits { backlog: 10, ..Limits::default() };
    let mut w = World::new(1, Faults::default(), limits, EPOCH);
    for i in 0..2 {
        w.add(&name(i), Clocks::default()).expect("place");
        w.start(i, |me, now| Talker::new(me, now, Kind::Datagram));
    }
    w.run(S + 50 * MS);
    let (heard, ticks) = w.protocol(0).map(|r| (r.heard.len(), r.ticks.len())).expect("it runs");
    w.pause(0);
    w.run(20 * S);
    assert_eq!(w.protocol(0).map(|r| (r.heard.len(), r.ticks.len())), Some((heard, ticks)));
    assert_eq!(w.call(0, |_, _| ()), None, "a paused protocol can't be called");
    w.resume(0);
    let protocol = w.protocol(0).expect("it runs");
    assert_eq!(protocol.heard.len(), heard + 10);
    assert_eq!(protocol.ticks.last(), Some(&Now { boot: 21 * S + 50 * MS, wall_ms: EPOCH + 21_050 }));
    assert_eq!(w.counts(0).overflowed, 190);
}

#[test]
fn on_waking_timers_and_waiting_messages_come_in_a_drawn_order() {
    let mut places = std::collections::BTreeSet::new();
    for seed in 0..50 {
        let mut w = world(2, seed, Faults::default(), Kind::Stream, Clocks::default());
        w.run(S);
        w.pause(0);
        w.run(S);
        let before = w.protocol(0).map_or(0, |r| r.calls.len());
        w.resume(0);
        let protocol = w.protocol(0).expect("it runs");
        places.insert(protocol.calls[before..].iter().position(|tick| *tick));
        let words: Vec<u64> = protocol.heard.iter().map(|h| h.2).collect();
        assert!(words.is_sorted(), "a stream keeps its order through a pause");
    }
    assert!(places.contains(&Some(0)) && places.len() > 5, "the tick came at {places:?}");
}

#[test]
fn a_killed_node_is_silent_and_a_started_one_is_a_new_session() {
    let mut w = calm(2);
    w.run(S);
    w.kill(1);
    w.run(S);
    assert!(w.protocol(1).is_none());
    let heard = w.protocol(0).map_or(0, |r| r.heard.len());
    w.run(S);
    assert_eq!(w.protocol(0).map_or(0, |r| r.heard.len()), heard);
    w.start(1, |me, now| Talker::new(me, now, Kind::Datagram));
    w.run(S);
    let last = w.protocol(0).and_then(|r| r.heard.last()).map(|h| h.1.clone());
    assert_eq!(last, Some(w.net().peer(1)));
    assert_eq!(w.net().peer(1).session.0, 2);
}

#[test]
fn a_room_that_is_always_due_does_not_stop_time() {
    struct Always(u64);
    impl Protocol for Always {
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
    let mut w = World::new(1, Faults::default(), Limits::default(), EPOCH);
    w.add(&name(0), Clocks::default()).expect("place");
    w.start(0, |_, _| Always(0));
    w.run(S);
    assert_eq!(w.protocol(0).map(|r| r.0), Some(1_001));
}

#[test]
fn a_condition_is_waited_for_up_to_its_limit() {
    let mut w = calm(2);
    let took = w.run_until(10 * S, |w| w.protocol(0).is_some_and(|r| r.heard.len() >= 10)).expect("it comes");
    assert!(took >= 900 * MS && took < 920 * MS, "{took:?}");
    assert_eq!(w.run_until(S, |_| false), None);
    assert_eq!(w.now(), took + S);
    let (sent, received) = (*w.counts(1), *w.counts(0));
    assert!(sent.sent_bytes == 8 * sent.sent && received.received_bytes == 8 * received.received);
    assert!(sent.sent >= received.received && received.received >= 18);
}
