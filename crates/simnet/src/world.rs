//! Rooms on the network, each with its own clocks: killed, started, paused and resumed.

use std::collections::BinaryHeap;
use std::time::Duration;

use magpietally_transport::{Event, Name, Now, Peer, Protocol, SendError};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::clocks::{Clocks, Running};
use crate::faults::{Faults, Limits};
use crate::net::{Counts, Net};
use crate::trace::Trace;

/// How often [`World::run_until`] looks at its condition.
pub const CONDITION_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// A protocol is ticked at most once this long, as by the timers of a runtime: one that is always due can't stop time.
pub const TICK_INTERVAL_MIN: Duration = Duration::from_millis(1);
/// Messages taken from a protocol after one call; what is left is taken after the next. It bounds a protocol that never ends.
pub const OUTGOING_PER_CALL_MAX: usize = 1 << 16;

struct Node<P> {
    protocol: Option<P>,
    paused: bool,
    clocks: Running,
    last_tick: Option<Duration>,
    /// The network's time of its next tick.
    next_tick: Option<Duration>,
    /// Messages on streams to it or of it whose loss was told.
    lost: u64,
}

/// A tick that was due when it was written down: when (earliest first out of the heap), which node.
type Tick = std::cmp::Reverse<(Duration, usize)>;

/// Rooms on a network. Nodes are numbered from 0 in the order they were added; a number never given out panics.
pub struct World<P: Protocol> {
    net: Net,
    nodes: Vec<Node<P>>,
    /// May hold ticks that were put off or brought forward since; a node's `next_tick` says which one counts.
    ticks: BinaryHeap<Tick>,
    rng: Pcg64,
    epoch_ms: u64,
    trace: Trace,
}

impl<P: Protocol> World<P> {
    /// No nodes yet; the true wall clock shows `epoch_ms` (Unix time in milliseconds) at the network's time zero.
    pub fn new(seed: u64, faults: Faults, limits: Limits, epoch_ms: u64) -> Self {
        Self {
            net: Net::new(seed, faults, limits),
            nodes: Vec::new(),
            ticks: BinaryHeap::new(),
            // Drawn apart from the network's, so that a pause more does not change the fate of every message after it.
            rng: Pcg64::seed_from_u64(!seed),
            epoch_ms,
            trace: Trace::default(),
        }
    }

    /// Adds a node that does not run yet; its number. A name that is there already gives its number.
    ///
    /// # Errors
    /// [`SendError::Closed`] past [`crate::NODES_MAX`] nodes.
    pub fn add(&mut self, name: &Name, clocks: Clocks) -> Result<usize, SendError> {
        let full = || SendError::Closed("the network is full of nodes".to_owned());
        let i = self.net.add(name).ok_or_else(full)?;
        if i == self.nodes.len() {
            self.nodes.push(Node {
                protocol: None,
                paused: false,
                clocks: Running::new(clocks),
                last_tick: None,
                next_tick: None,
                lost: 0,
            });
        }
        Ok(i)
    }

    /// Starts the node in a new session with the protocol that `make` gives; one that ran is killed first. What a node's
    /// disk kept is the caller's to hand on.
    pub fn start(&mut self, i: usize, make: impl FnOnce(Peer, Now) -> P) {
        let peer = self.net.start(i);
        let now = self.clock(i);
        let node = &mut self.nodes[i];
        (node.paused, node.last_tick) = (false, None);
        node.protocol = Some(make(peer, now));
        self.after_call(i);
    }

    /// The node's process dies: its protocol is dropped. See [`Net::kill`].
    pub fn kill(&mut self, i: usize) {
        self.net.kill(i);
        self.drop_protocol(i);
    }

    /// The node's machine dies without a word: its protocol is dropped. See [`Net::crash_host`].
    pub fn crash_host(&mut self, i: usize) {
        self.net.crash_host(i);
        self.drop_protocol(i);
    }

    fn drop_protocol(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        (node.protocol, node.paused, node.next_tick) = (None, false, None);
    }

    /// The node stops running (SIGSTOP). Its clocks run on; what comes waits, within [`Limits`], as in a kernel.
    pub fn pause(&mut self, i: usize) {
        self.nodes[i].paused = true;
        self.nodes[i].next_tick = None;
    }

    /// The node runs again (SIGCONT). Whether its timers or its waiting messages come first, and how many of these, is
    /// drawn: a runtime promises nothing of it.
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

    /// Whether the node is paused.
    pub fn is_paused(&self, i: usize) -> bool {
        self.nodes[i].paused
    }

    /// What the node's clocks show now.
    pub fn clock(&self, i: usize) -> Now {
        self.nodes[i].clocks.now(self.net.now(), self.epoch_ms)
    }

    /// The node's boot clock runs at another rate from now on; see [`Clocks::drift_ppm`].
    pub fn set_drift(&mut self, i: usize, drift_ppm: i32) {
        let now = self.net.now();
        self.nodes[i].clocks.set_drift(now, drift_ppm);
        self.schedule(i);
    }

    /// The node's wall clock jumps: it is this far ahead from now on, in milliseconds (negative: behind).
    pub fn set_wall_ahead(&mut self, i: usize, ms: i64) {
        self.nodes[i].clocks.clocks.wall_ahead_ms = ms;
    }

    /// The network, to read.
    pub fn net(&self) -> &Net {
        &self.net
    }

    /// The network, for its faults. Nodes are started and ended through the world, not here.
    pub fn net_mut(&mut self) -> &mut Net {
        &mut self.net
    }

    /// The network's time, which no node sees.
    pub fn now(&self) -> Duration {
        self.net.now()
    }

    /// How many nodes there are, whether they run or not.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// No node at all.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// The node's protocol, if it runs (paused or not).
    pub fn protocol(&self, i: usize) -> Option<&P> {
        self.nodes[i].protocol.as_ref()
    }

    /// The node's protocol, for calls that neither send nor set timers; others go through [`World::call`].
    pub fn protocol_mut(&mut self, i: usize) -> Option<&mut P> {
        self.nodes[i].protocol.as_mut()
    }

    /// Calls the node's protocol, takes what it sends and heeds its timers; `None` if it does not run or is paused.
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

    /// What was counted of the node's messages.
    pub fn counts(&self, i: usize) -> &Counts {
        self.net.counts(i)
    }

    /// Messages whose loss streams told the node; a [`Protocol`] has no call to hear of it.
    pub fn reported_lost(&self, i: usize) -> u64 {
        self.nodes[i].lost
    }

    /// A number for the whole run so far: equal for the same seed and calls.
    pub fn trace(&self) -> u64 {
        let mut trace = self.trace.clone();
        trace.fold(self.net.trace());
        trace.value()
    }

    /// Runs for `d`.
    pub fn run(&mut self, d: Duration) {
        let end = self.net.now() + d;
        loop {
            let tick = self.due_tick();
            let until = tick.map_or(end, |(due, _)| due.min(end));
            // What comes at the very moment of a tick is taken first.
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

    /// Runs until `done` holds, which is looked at every [`CONDITION_CHECK_INTERVAL`], for at most `limit`; the time it took, if it came.
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
            let left = (start + limit).saturating_sub(self.now());
            if left.is_zero() {
                return None;
            }
            self.run(left.min(CONDITION_CHECK_INTERVAL));
        }
    }

    /// The next tick that counts.
    fn due_tick(&mut self) -> Option<(Duration, usize)> {
        while let Some(&std::cmp::Reverse((due, i))) = self.ticks.peek() {
            if self.nodes[i].next_tick == Some(due) {
                return Some((due, i));
            }
            self.ticks.pop();
        }
        None
    }

    /// Hands the node up to `most` entries of what came.
    fn read(&mut self, i: usize, most: usize) {
        for _ in 0..most {
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
            let Some(out) = self.nodes[i].protocol.as_mut().and_then(Protocol::take_outgoing) else { return };
            // What the network refuses it counts; a protocol hears of no such error from any carrier.
            let _ = self.net.send(i, &out.to, out.kind, out.bytes);
        }
    }

    fn schedule(&mut self, i: usize) {
        let now = self.net.now();
        let node = &mut self.nodes[i];
        if node.paused {
            return;
        }
        let due = node.protocol.as_ref().and_then(Protocol::next_due).map(|boot| {
            let least = node.last_tick.map_or(now, |last| last + TICK_INTERVAL_MIN);
            node.clocks.when(boot).max(now).max(least)
        });
        if due != node.next_tick {
            node.next_tick = due;
            if let Some(due) = due {
                self.ticks.push(std::cmp::Reverse((due, i)));
            }
        }
    }
}
