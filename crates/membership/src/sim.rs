//! A fleet of rooms on a network in virtual time, with the faults of a real one between them: loss, delay,
//! duplication, links cut one way or both, nodes killed, paused and restarted. Pure and seeded: the same seed gives the
//! same run on every machine. The tests and the measurements of `docs/measurements/membership.md` play on it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::id::NodeId;
use crate::room::{Room, Settings};
use crate::view::{Liveness, View};
use magpietally_transport::Name;

/// How far the fleet's clock moves in one step.
pub const STEP: Duration = Duration::from_millis(5);
/// Datagrams a paused node's socket holds at most; as a kernel would, it drops the rest.
pub const PAUSED_BACKLOG: usize = 256;
/// Datagrams on their way at most; past that the network drops them.
pub const IN_FLIGHT_MAX: usize = 1 << 20;

/// What the network does to every datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct Faults {
    /// Share of datagrams lost.
    pub loss: f64,
    /// Least time on the way.
    pub delay: Duration,
    /// Up to this much more, evenly drawn.
    pub jitter: Duration,
    /// Share of datagrams that arrive twice.
    pub duplicate: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Self { loss: 0.0, delay: Duration::from_millis(1), jitter: Duration::from_millis(2), duplicate: 0.0 }
    }
}

struct Node {
    room: Option<Room>,
    paused: bool,
    backlog: VecDeque<Vec<u8>>,
    generation: u32,
}

/// The fleet.
pub struct Fleet {
    settings: Settings,
    nodes: Vec<Node>,
    by_addr: BTreeMap<SocketAddrV4, usize>,
    in_flight: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    payloads: BTreeMap<u64, Vec<u8>>,
    next_id: u64,
    cut: BTreeSet<(usize, usize)>,
    faults: Faults,
    rng: Pcg64,
    now: Duration,
    seed: u64,
    /// Bytes sent by all nodes, for the cost a node and second.
    pub sent_bytes: u64,
}

impl Fleet {
    /// `n` nodes named `n0`…, each joining through node 0, on a network with `faults`.
    pub fn new(n: usize, settings: &Settings, faults: Faults, seed: u64) -> Self {
        let mut fleet = Self {
            settings: settings.clone(),
            nodes: Vec::with_capacity(n),
            by_addr: BTreeMap::new(),
            in_flight: BinaryHeap::new(),
            payloads: BTreeMap::new(),
            next_id: 0,
            cut: BTreeSet::new(),
            faults,
            rng: Pcg64::seed_from_u64(seed),
            now: Duration::ZERO,
            seed,
            sent_bytes: 0,
        };
        for i in 0..n {
            fleet.by_addr.insert(addr(i), i);
            fleet.nodes.push(Node { room: None, paused: false, backlog: VecDeque::new(), generation: 0 });
            fleet.start(i);
        }
        fleet
    }

    /// The identity of node `i` at its current start.
    pub fn id(&self, i: usize) -> NodeId {
        NodeId { addr: addr(i), name: name(i), generation: self.nodes[i].generation }
    }

    /// The clock.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// How many nodes there are, dead or alive.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// No node at all.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// The network's faults from now on.
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Datagrams from `from` to `to` are lost from now on (one way).
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    /// Every link between a node of `a` and one of `b` is cut both ways.
    pub fn partition(&mut self, a: &[usize], b: &[usize]) {
        for &x in a {
            for &y in b {
                self.cut.insert((x, y));
                self.cut.insert((y, x));
            }
        }
    }

    /// All links work again.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Node `i` is killed: it says nothing, and what comes to it is lost.
    pub fn kill(&mut self, i: usize) {
        self.nodes[i].room = None;
        self.nodes[i].backlog.clear();
    }

    /// Node `i` starts again from nothing, under its name and address, with a later generation.
    pub fn start(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        node.generation += 1;
        node.paused = false;
        node.backlog.clear();
        let id = NodeId { addr: addr(i), name: name(i), generation: node.generation };
        let seed = self.seed ^ ((i as u64) << 20) ^ u64::from(node.generation);
        let mut room = Room::new(id, &self.settings, seed);
        if i != 0 {
            room.join(self.now, &[addr(0)]);
        } else if self.nodes.len() > 1 {
            room.join(self.now, &[addr(1)]);
        }
        self.nodes[i].room = Some(room);
    }

    /// Node `i` stops running (SIGSTOP) or runs again (SIGCONT); what came meanwhile waits in its socket.
    pub fn pause(&mut self, i: usize, paused: bool) {
        self.nodes[i].paused = paused;
    }

    /// Node `i` leaves on purpose.
    pub fn leave(&mut self, i: usize) {
        let now = self.now;
        if let Some(room) = self.nodes[i].room.as_mut() {
            room.leave(now);
        }
        self.flush(i);
    }

    /// Node `i`'s view, if it runs.
    pub fn view(&mut self, i: usize) -> Option<&View> {
        self.nodes[i].room.as_mut().map(|r| r.view())
    }

    /// The stats of node `i`, if it runs.
    pub fn room(&self, i: usize) -> Option<&Room> {
        self.nodes[i].room.as_ref()
    }

    /// Runs the fleet for `d`.
    pub fn run(&mut self, d: Duration) {
        let end = self.now + d;
        while self.now < end {
            self.now += STEP;
            self.step();
        }
    }

    /// Runs until `done` holds, checked every step, for at most `limit`; the time it took, if it came.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut done: impl FnMut(&mut Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now - start < limit {
            if done(self) {
                return Some(self.now - start);
            }
            self.now += STEP;
            self.step();
        }
        done(self).then(|| self.now - start)
    }

    /// Whether every running, unpaused node among `who` takes each of `who` for `liveness` and each of `others` for
    /// neither alive nor suspect.
    pub fn all_see(&mut self, who: &[usize], liveness: Liveness, others: &[usize]) -> bool {
        for &i in who {
            if self.nodes[i].paused || self.nodes[i].room.is_none() {
                continue;
            }
            for &j in who {
                let name = name(j);
                if self.view(i).and_then(|v| v.liveness_of(name.as_str())) != Some(liveness) {
                    return false;
                }
            }
            for &j in others {
                let name = name(j);
                if self.view(i).and_then(|v| v.liveness_of(name.as_str())).is_some_and(Liveness::is_active) {
                    return false;
                }
            }
        }
        true
    }

    /// How many running nodes take node `j` for `liveness`.
    pub fn count_seeing(&mut self, j: usize, liveness: Liveness) -> usize {
        let name = name(j);
        (0..self.nodes.len())
            .filter(|&i| i != j)
            .filter(|&i| self.view(i).and_then(|v| v.liveness_of(name.as_str())) == Some(liveness))
            .count()
    }

    fn step(&mut self) {
        let now = self.now;
        while let Some(Reverse((due, id, to))) = self.in_flight.peek().copied() {
            if due > now {
                break;
            }
            self.in_flight.pop();
            let Some(bytes) = self.payloads.remove(&id) else { continue };
            let node = &mut self.nodes[to];
            let Some(room) = node.room.as_mut() else { continue };
            if node.paused {
                if node.backlog.len() < PAUSED_BACKLOG {
                    node.backlog.push_back(bytes);
                }
                continue;
            }
            room.on_datagram(now, &bytes);
        }
        for i in 0..self.nodes.len() {
            let node = &mut self.nodes[i];
            if node.paused {
                continue;
            }
            let Some(room) = node.room.as_mut() else { continue };
            while let Some(bytes) = node.backlog.pop_front() {
                room.on_datagram(now, &bytes);
            }
            if room.next_due().is_some_and(|due| due <= now) {
                room.tick(now);
            }
            self.flush(i);
        }
    }

    fn flush(&mut self, from: usize) {
        let mut out = Vec::new();
        if let Some(room) = self.nodes[from].room.as_mut() {
            while let Some(d) = room.take_outgoing() {
                out.push(d);
            }
        }
        for (to, bytes) in out {
            self.sent_bytes += bytes.len() as u64;
            let Some(&to) = self.by_addr.get(&to) else { continue };
            if self.cut.contains(&(from, to)) || self.rng.random_bool(self.faults.loss.clamp(0.0, 1.0)) {
                continue;
            }
            let copies = if self.rng.random_bool(self.faults.duplicate.clamp(0.0, 1.0)) { 2 } else { 1 };
            for _ in 0..copies {
                if self.in_flight.len() >= IN_FLIGHT_MAX {
                    return;
                }
                let jitter = self.faults.jitter.as_micros() as u64;
                let extra = if jitter == 0 { 0 } else { self.rng.random_range(0..=jitter) };
                let due = self.now + self.faults.delay + Duration::from_micros(extra);
                self.next_id += 1;
                self.payloads.insert(self.next_id, bytes.clone());
                self.in_flight.push(Reverse((due, self.next_id, to)));
            }
        }
    }
}

fn addr(i: usize) -> SocketAddrV4 {
    // Loopback addresses that no socket is bound to: the simulation only needs them unique.
    SocketAddrV4::new(Ipv4Addr::new(127, 1, (i / 250) as u8, (i % 250) as u8 + 1), 7000)
}

fn name(i: usize) -> Name {
    // "n" and a number is always a valid name.
    Name::checked(&format!("n{i}")).unwrap_or_default()
}
