//! A model of the log in virtual time: a single list of decided entries, and nodes that learn them late.
//! Proposals are lost or duplicated. Nodes are isolated, paused, killed and restarted, their boot clocks run
//! at different speeds and their wall clocks are wrong. At times there is no leader, or several nodes believe
//! they lead.
//!
//! The model runs no consensus protocol. It states what consensus has to provide, for tests of the state
//! machines that use the log. It is seeded: the same calls produce the same run on every machine.

use std::collections::BTreeMap;
use std::time::Duration;

use magpietally_transport::{Name, Now, Peer, Session};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::entry::{DecidedEntry, Index, Proposal, Timestamp, BODY_MAX_BYTES};
use crate::state_machine::StateMachine;

/// Simulated time per step.
pub const STEP: Duration = Duration::from_millis(1);
/// Limit on the proposals in flight; further ones are lost.
const IN_FLIGHT_MAX: usize = 1 << 16;

/// Faults that affect proposals and entries.
#[derive(Clone, Debug, PartialEq)]
pub struct Faults {
    /// Fraction of proposals that are never decided.
    pub loss: f64,
    /// Fraction of proposals that reach the log a second time, later.
    pub duplicate: f64,
    /// Maximum time from a proposal to its decision; uniformly distributed.
    pub max_decide_delay: Duration,
    /// Maximum time from a decision until a node learns of it; uniformly distributed.
    pub max_learn_delay: Duration,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            loss: 0.0,
            duplicate: 0.0,
            max_decide_delay: Duration::from_millis(10),
            max_learn_delay: Duration::from_millis(10),
        }
    }
}

/// The clocks of one node relative to true time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Clocks {
    /// Reading of the boot clock at true time zero.
    pub boot_at_zero: Duration,
    /// Boot clock seconds per true second. Any two nodes differ by less than [`crate::DRIFT`].
    pub rate: f64,
    /// How far the wall clock is ahead, in milliseconds.
    pub wall_ahead_ms: i64,
}

struct Node<M> {
    machine: Option<M>,
    peer: Peer,
    clocks: Clocks,
    /// Number of entries learned.
    learned: usize,
    /// When the next entry is delivered, once drawn.
    delivery_at: Option<Duration>,
    next_id: u64,
    isolated: bool,
    paused: bool,
}

/// The log and its nodes.
pub struct Model<M: StateMachine> {
    nodes: Vec<Node<M>>,
    log: Vec<DecidedEntry>,
    in_flight: BTreeMap<(Duration, u64), Proposal>,
    next_sequence: u64,
    last_ids: BTreeMap<Peer, u64>,
    leader: Option<usize>,
    other_leaders: Vec<usize>,
    faults: Faults,
    rng: Pcg64,
    now: Duration,
    epoch_ms: u64,
}

impl<M: StateMachine> Model<M> {
    /// A model without nodes; the true wall clock starts at `epoch_ms`.
    pub fn new(seed: u64, faults: Faults, epoch_ms: u64) -> Self {
        Self {
            nodes: Vec::new(),
            log: Vec::new(),
            in_flight: BTreeMap::new(),
            next_sequence: 0,
            last_ids: BTreeMap::new(),
            leader: Some(0),
            other_leaders: Vec::new(),
            faults,
            rng: Pcg64::seed_from_u64(seed),
            now: Duration::ZERO,
            epoch_ms,
        }
    }

    /// Adds a node, starts it and returns its number. `make` receives its identity and the time of its start.
    pub fn add(&mut self, name: Name, clocks: Clocks, make: impl FnOnce(Peer, Now) -> M) -> usize {
        let peer = Peer { name, session: Session(0) };
        let (paused, isolated) = (false, false);
        self.nodes.push(Node {
            machine: None,
            peer,
            clocks,
            learned: 0,
            delivery_at: None,
            next_id: 1,
            isolated,
            paused,
        });
        let i = self.nodes.len() - 1;
        self.start(i, make);
        i
    }

    /// Starts or restarts node `i` with a new session. It either begins with a snapshot of another node or
    /// learns all entries from the first, chosen at random.
    pub fn start(&mut self, i: usize, make: impl FnOnce(Peer, Now) -> M) {
        self.nodes[i].peer.session.0 += 1;
        let now = self.local_time(i);
        let mut machine = make(self.nodes[i].peer.clone(), now);
        let mut learned = 0;
        let others: Vec<usize> =
            (0..self.nodes.len()).filter(|&j| j != i && self.nodes[j].machine.is_some()).collect();
        if !others.is_empty() && self.rng.random_bool(0.5) {
            let from = &self.nodes[others[self.rng.random_range(0..others.len())]];
            if let Some(snapshot) = from.machine.as_ref().map(M::snapshot) {
                if machine.restore(now, &snapshot).is_ok() {
                    learned = from.learned;
                }
            }
        }
        let node = &mut self.nodes[i];
        (node.machine, node.learned, node.delivery_at, node.next_id, node.paused) =
            (Some(machine), learned, None, 1, false);
    }

    /// Kills node `i`; its state is lost.
    pub fn kill(&mut self, i: usize) {
        self.nodes[i].machine = None;
    }

    /// Pauses node `i` (as SIGSTOP does) or resumes it; its boot clock continues.
    pub fn set_paused(&mut self, i: usize, paused: bool) {
        self.nodes[i].paused = paused;
    }

    /// Disconnects node `i` from the log, or reconnects it.
    pub fn set_isolated(&mut self, i: usize, isolated: bool) {
        self.nodes[i].isolated = isolated;
    }

    /// Sets the leader; without one nothing is decided.
    pub fn set_leader(&mut self, leader: Option<usize>) {
        self.leader = leader;
    }

    /// Sets the nodes that wrongly believe they lead, in addition to the leader.
    pub fn set_other_leaders(&mut self, nodes: &[usize]) {
        self.other_leaders = nodes.to_vec();
    }

    /// Sets the faults that apply from now on.
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Sets how far node `i`'s wall clock is ahead from now on.
    pub fn set_wall_ahead(&mut self, i: usize, ahead_ms: i64) {
        self.nodes[i].clocks.wall_ahead_ms = ahead_ms;
    }

    /// The true time, for checkers; state machines never see it.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// The readings of node `i`'s clocks.
    pub fn local_time(&self, i: usize) -> Now {
        let c = &self.nodes[i].clocks;
        let wall = self.epoch_ms + self.now.as_millis() as u64;
        Now {
            boot: c.boot_at_zero + self.now.mul_f64(c.rate),
            wall_ms: wall.saturating_add_signed(c.wall_ahead_ms),
        }
    }

    /// Number of nodes, running or not.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether there are no nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns whether node `i` is running: neither killed nor paused.
    pub fn is_running(&self, i: usize) -> bool {
        self.nodes[i].machine.is_some() && !self.nodes[i].paused
    }

    /// Node `i`'s state machine and clock readings, if the node is running, for requests of its users.
    pub fn machine(&mut self, i: usize) -> Option<(&mut M, Now)> {
        let now = self.local_time(i);
        let node = &mut self.nodes[i];
        if node.paused {
            return None;
        }
        node.machine.as_mut().map(|m| (m, now))
    }

    /// All decided entries.
    pub fn log(&self) -> &[DecidedEntry] {
        &self.log
    }

    /// Number of entries node `i` has learned.
    pub fn learned_count(&self, i: usize) -> usize {
        self.nodes[i].learned
    }

    /// Runs for `d` and calls `each` after every step.
    pub fn run(&mut self, d: Duration, mut each: impl FnMut(&mut Self)) {
        let end = self.now + d;
        while self.now < end {
            self.now += STEP;
            self.step();
            each(self);
        }
    }

    /// Runs until `done` returns true, for at most `limit`. Returns the time taken, or `None` at the limit.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut done: impl FnMut(&mut Self) -> bool,
    ) -> Option<Duration> {
        let started_at = self.now;
        while !done(self) {
            if self.now - started_at >= limit {
                return None;
            }
            self.now += STEP;
            self.step();
        }
        Some(self.now - started_at)
    }

    fn step(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let proposal = entry.remove();
            self.decide(proposal);
        }
        for i in 0..self.nodes.len() {
            if !self.is_running(i) {
                continue;
            }
            // A node that resumes may process its timers or the network first.
            if self.rng.random_bool(0.5) {
                self.deliver(i);
                self.tick(i);
            } else {
                self.tick(i);
                self.deliver(i);
            }
            self.propose(i);
        }
    }

    fn decide(&mut self, proposal: Proposal) {
        let Some(leader) = self.leader.filter(|&l| self.is_running(l) && !self.nodes[l].isolated) else {
            return;
        };
        let last = self.last_ids.entry(proposal.proposer.clone()).or_default();
        if proposal.id <= *last {
            return;
        }
        *last = proposal.id;
        let before = self.log.last().map_or(0, |d| d.timestamp.0);
        let timestamp = Timestamp(self.local_time(leader).wall_ms.max(before));
        self.log.push(DecidedEntry { index: Index(self.log.len() as u64 + 1), timestamp, proposal });
    }

    fn deliver(&mut self, i: usize) {
        let now = self.local_time(i);
        let node = &mut self.nodes[i];
        if node.isolated {
            node.delivery_at = None;
            return;
        }
        while let Some(decided) = self.log.get(node.learned) {
            let delivery_at = *node.delivery_at.get_or_insert_with(|| {
                self.now + self.faults.max_learn_delay.mul_f64(self.rng.random_range(0.0..=1.0))
            });
            if delivery_at > self.now {
                return;
            }
            // Entries decided in the meantime are delivered together with it.
            if let Some(machine) = node.machine.as_mut().filter(|m| m.topic() == decided.proposal.topic) {
                machine.apply(now, decided);
            }
            node.learned += 1;
        }
        node.delivery_at = None;
    }

    fn tick(&mut self, i: usize) {
        let now = self.local_time(i);
        let leading = self.leader == Some(i) || self.other_leaders.contains(&i);
        if let Some(machine) = self.nodes[i].machine.as_mut() {
            if machine.next_due().is_some_and(|due| due <= now.boot) {
                machine.tick(now, leading);
            }
        }
    }

    fn propose(&mut self, i: usize) {
        loop {
            let node = &mut self.nodes[i];
            let Some(machine) = node.machine.as_mut() else { return };
            let Some(body) = machine.take_proposal() else { return };
            assert!(body.len() <= BODY_MAX_BYTES, "a proposal of {} bytes", body.len());
            let proposal =
                Proposal { topic: machine.topic(), proposer: node.peer.clone(), id: node.next_id, body };
            node.next_id += 1;
            if node.isolated || self.rng.random_bool(self.faults.loss) {
                continue;
            }
            let copies = if self.rng.random_bool(self.faults.duplicate) { 2 } else { 1 };
            for _ in 0..copies {
                if self.in_flight.len() >= IN_FLIGHT_MAX {
                    break;
                }
                self.next_sequence += 1;
                let at = self.now + self.faults.max_decide_delay.mul_f64(self.rng.random_range(0.0..=1.0));
                self.in_flight.insert((at, self.next_sequence), proposal.clone());
            }
        }
    }
}

#[cfg(test)]
mod tests;
