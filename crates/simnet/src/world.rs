//! Protocols on the simulated network, each with its own clocks. Nodes can be killed, started, paused and
//! resumed.

use std::collections::BinaryHeap;
use std::time::Duration;

use magpietally_transport::{Event, Name, Now, Peer, Protocol, SendError};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::clocks::{Clocks, RunningClocks};
use crate::faults::{Faults, Limits};
use crate::net::{Counts, Net};
use crate::trace::Trace;

/// How often [`World::run_until`] checks its condition.
pub const CONDITION_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// The minimum interval between ticks of a protocol, as with the timers of a runtime. It lets time advance
/// even if a protocol is always due.
pub const TICK_INTERVAL_MIN: Duration = Duration::from_millis(1);
/// The maximum number of messages taken from a protocol after one call; the rest is taken after the next
/// call. It bounds a protocol that always has another message.
pub const OUTGOING_PER_CALL_MAX: usize = 1 << 16;

struct Node<P> {
    protocol: Option<P>,
    paused: bool,
    clocks: RunningClocks,
    last_tick: Option<Duration>,
    /// The network's time of its next tick.
    next_tick: Option<Duration>,
    /// The number of messages that streams reported to the node as lost.
    lost: u64,
}

/// A scheduled tick: its time and its node. The earliest is first in the heap.
type DueTick = std::cmp::Reverse<(Duration, usize)>;

/// Protocols on a simulated network. Nodes are numbered from 0 in the order in which they were added. Methods
/// panic on a number that was never assigned.
pub struct World<P: Protocol> {
    net: Net,
    nodes: Vec<Node<P>>,
    /// May contain ticks that have been rescheduled since; a tick is valid only if it equals its node's
    /// `next_tick`.
    ticks: BinaryHeap<DueTick>,
    rng: Pcg64,
    epoch_ms: u64,
    trace: Trace,
}

impl<P: Protocol> World<P> {
    /// Creates a world without nodes. The true wall clock shows `epoch_ms` (Unix time in milliseconds) at the
    /// network's time zero.
    pub fn new(seed: u64, faults: Faults, limits: Limits, epoch_ms: u64) -> Self {
        Self {
            net: Net::new(seed, faults, limits),
            nodes: Vec::new(),
            ticks: BinaryHeap::new(),
            // Separate from the network's generator, so that an additional pause does not change the fate of
            // every later message.
            rng: Pcg64::seed_from_u64(!seed),
            epoch_ms,
            trace: Trace::default(),
        }
    }

    /// Adds a node that is not running yet, or finds the one of this name, and returns its number.
    ///
    /// # Errors
    /// [`SendError::Closed`] beyond [`crate::NODES_MAX`] nodes.
    pub fn add(&mut self, name: &Name, clocks: Clocks) -> Result<usize, SendError> {
        let full = || SendError::Closed("the network has the maximum number of nodes".to_owned());
        let i = self.net.add(name).ok_or_else(full)?;
        if i == self.nodes.len() {
            self.nodes.push(Node {
                protocol: None,
                paused: false,
                clocks: RunningClocks::new(clocks),
                last_tick: None,
                next_tick: None,
                lost: 0,
            });
        }
        Ok(i)
    }

    /// Starts the node in a new session with the protocol that `make` returns. If it was running, it is
    /// killed first. The caller passes on any state that the node's disk kept.
    pub fn start(&mut self, i: usize, make: impl FnOnce(Peer, Now) -> P) {
        let peer = self.net.start(i);
        let now = self.clock(i);
        let node = &mut self.nodes[i];
        (node.paused, node.last_tick) = (false, None);
        node.protocol = Some(make(peer, now));
        self.after_call(i);
    }

    /// Kills the node's process and drops its protocol. See [`Net::kill`].
    pub fn kill(&mut self, i: usize) {
        self.net.kill(i);
        self.drop_protocol(i);
    }

    /// Takes the node's host down without notice and drops its protocol. See [`Net::crash_host`].
    pub fn crash_host(&mut self, i: usize) {
        self.net.crash_host(i);
        self.drop_protocol(i);
    }

    fn drop_protocol(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        (node.protocol, node.paused, node.next_tick) = (None, false, None);
    }

    /// Pauses the node (SIGSTOP). Its clocks continue. Messages to it wait within [`Limits`], as in a kernel.
    pub fn pause(&mut self, i: usize) {
        self.nodes[i].paused = true;
        self.nodes[i].next_tick = None;
    }

    /// Resumes the node (SIGCONT). The tick runs after a random number of the waiting messages, because a
    /// runtime does not guarantee an order between timers and messages.
    pub fn resume(&mut self, i: usize) {
        if !std::mem::replace(&mut self.nodes[i].paused, false) {
            return;
        }
        let unread = self.net.unread(i);
        let first = self.rng.random_range(0..=unread);
        self.read(i, first);
        self.tick(i);
        self.read(i, usize::MAX);
        self.after_call(i);
    }

    /// Returns whether the node is paused.
    pub fn is_paused(&self, i: usize) -> bool {
        self.nodes[i].paused
    }

    /// Returns what the node's clocks show now.
    pub fn clock(&self, i: usize) -> Now {
        self.nodes[i].clocks.now(self.net.now(), self.epoch_ms)
    }

    /// Changes the rate of the node's boot clock from now on; see [`Clocks::drift_ppm`].
    pub fn set_drift(&mut self, i: usize, drift_ppm: i32) {
        let now = self.net.now();
        self.nodes[i].clocks.set_drift(now, drift_ppm);
        self.schedule(i);
    }

    /// Makes the node's wall clock jump: from now on it is ahead by `ms` milliseconds (negative: behind).
    pub fn set_wall_ahead(&mut self, i: usize, ms: i64) {
        self.nodes[i].clocks.clocks.wall_ahead_ms = ms;
    }

    /// Returns the network, for reading.
    pub fn net(&self) -> &Net {
        &self.net
    }

    /// Returns the network, for injecting faults. Start and end nodes through the world, not through the
    /// network.
    pub fn net_mut(&mut self) -> &mut Net {
        &mut self.net
    }

    /// Returns the network's time, which no node sees.
    pub fn now(&self) -> Duration {
        self.net.now()
    }

    /// Returns the number of nodes, running or not.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether there are no nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns the node's protocol if the node is running, even if it is paused.
    pub fn protocol(&self, i: usize) -> Option<&P> {
        self.nodes[i].protocol.as_ref()
    }

    /// Returns the node's protocol, for calls that neither send messages nor set timers. Other calls go
    /// through [`World::call`].
    pub fn protocol_mut(&mut self, i: usize) -> Option<&mut P> {
        self.nodes[i].protocol.as_mut()
    }

    /// Calls the node's protocol, sends its outgoing messages and schedules its next tick. Returns `None` if
    /// the node is not running or is paused.
    pub fn call<T>(&mut self, i: usize, call: impl FnOnce(&mut P, Now) -> T) -> Option<T> {
        let now = self.clock(i);
        let node = &mut self.nodes[i];
        if node.paused {
            return None;
        }
        let result = call(node.protocol.as_mut()?, now);
        self.after_call(i);
        Some(result)
    }

    /// Returns the counters of the node's messages.
    pub fn counts(&self, i: usize) -> &Counts {
        self.net.counts(i)
    }

    /// Returns the number of messages that streams reported to the node as lost. [`Protocol`] has no call
    /// that reports losses.
    pub fn reported_lost(&self, i: usize) -> u64 {
        self.nodes[i].lost
    }

    /// Returns a hash of the whole run so far, which is equal for the same seed and calls.
    pub fn trace(&self) -> u64 {
        let mut trace = self.trace.clone();
        trace.fold(self.net.trace());
        trace.value()
    }

    /// Runs the network and its nodes for `d`.
    pub fn run(&mut self, d: Duration) {
        let end = self.net.now() + d;
        loop {
            let tick = self.due_tick();
            let until = tick.map_or(end, |(due, _)| due.min(end));
            // Messages that arrive at the time of a tick are processed before the tick.
            if let Some(i) = self.net.step(until) {
                if !self.nodes[i].paused {
                    self.read(i, usize::MAX);
                    self.after_call(i);
                }
                continue;
            }
            match tick {
                Some((due, i)) if due <= end => {
                    self.ticks.pop();
                    self.tick(i);
                    self.after_call(i);
                }
                _ => return,
            }
        }
    }

    /// Runs until `done` returns true, checked every [`CONDITION_CHECK_INTERVAL`], for at most `limit`.
    /// Returns the time it took, or `None` if the limit was reached.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut done: impl FnMut(&mut Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now();
        loop {
            if done(self) {
                return Some(self.now() - start);
            }
            let remaining = (start + limit).saturating_sub(self.now());
            if remaining.is_zero() {
                return None;
            }
            self.run(remaining.min(CONDITION_CHECK_INTERVAL));
        }
    }

    /// Returns the next valid tick and discards outdated ones before it.
    fn due_tick(&mut self) -> Option<(Duration, usize)> {
        while let Some(&std::cmp::Reverse((due, i))) = self.ticks.peek() {
            if self.nodes[i].next_tick == Some(due) {
                return Some((due, i));
            }
            self.ticks.pop();
        }
        None
    }

    /// Passes the node up to `max` unread entries.
    fn read(&mut self, i: usize, max: usize) {
        for _ in 0..max {
            let Some(event) = self.net.read(i, None) else { return };
            match event {
                Event::Message { from, bytes } => {
                    let now = self.clock(i);
                    let Some(protocol) = self.nodes[i].protocol.as_mut() else { return };
                    protocol.on_message(now, &from, &bytes);
                    self.send_all(i);
                }
                Event::Lost { messages, .. } => self.nodes[i].lost += messages,
                Event::NewSession(_) | Event::Dropped(_) => {}
            }
        }
    }

    fn tick(&mut self, i: usize) {
        let (at, now) = (self.net.now(), self.clock(i));
        let node = &mut self.nodes[i];
        node.last_tick = Some(at);
        self.trace.fold((i as u64) << 48 ^ at.as_nanos() as u64);
        if let Some(protocol) = node.protocol.as_mut() {
            protocol.tick(now);
        }
        self.send_all(i);
    }

    fn after_call(&mut self, i: usize) {
        self.send_all(i);
        self.schedule(i);
    }

    fn send_all(&mut self, i: usize) {
        for _ in 0..OUTGOING_PER_CALL_MAX {
            let Some(outgoing) = self.nodes[i].protocol.as_mut().and_then(Protocol::take_outgoing) else {
                return;
            };
            // The network counts the messages it refuses. No transport reports these errors to a protocol.
            let _ = self.net.send(i, &outgoing.to, outgoing.kind, outgoing.bytes);
        }
    }

    fn schedule(&mut self, i: usize) {
        let now = self.net.now();
        let node = &mut self.nodes[i];
        if node.paused {
            return;
        }
        let due = node.protocol.as_ref().and_then(Protocol::next_due).map(|boot| {
            let earliest = node.last_tick.map_or(now, |last| last + TICK_INTERVAL_MIN);
            node.clocks.time_at_boot(boot).max(now).max(earliest)
        });
        if due != node.next_tick {
            node.next_tick = due;
            if let Some(due) = due {
                self.ticks.push(std::cmp::Reverse((due, i)));
            }
        }
    }
}
