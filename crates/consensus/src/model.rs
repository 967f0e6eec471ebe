//! The log as its users may assume it, in virtual time: one list of decided entries, nodes that learn it late, proposals
//! that get lost or doubled, nodes that are cut off, stopped, killed and started again, boot clocks of different speeds,
//! wall clocks that are wrong, and now and then nobody that leads or two that think they do.
//!
//! It is no consensus: it is the statement of what the consensus has to give, for tests of the rooms that stand on it.
//! Seeded; the same calls give the same run on every machine.

use std::collections::BTreeMap;
use std::time::Duration;

use magpietally_transport::{Name, Now, Peer, Session};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::entry::{DecidedEntry, Index, Proposal, Timestamp, BODY_MAX_BYTES};
use crate::machine::StateMachine;

/// How far the clock moves in one step.
pub const STEP: Duration = Duration::from_millis(1);
/// Proposals on their way at most; past that they are lost.
const ON_THEIR_WAY: usize = 1 << 16;

/// What befalls every proposal and every entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Faults {
    /// Share of proposals that are never decided.
    pub loss: f64,
    /// Share of proposals that come to the log a second time, later.
    pub duplicate: f64,
    /// A proposal is decided up to this long after it was made, evenly drawn.
    pub max_decide_delay: Duration,
    /// A node learns of an entry up to this long after it was decided, evenly drawn.
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

/// The clocks of one node against the true time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Clocks {
    /// What the boot clock shows at the true time zero.
    pub boot_at_zero: Duration,
    /// Seconds of the boot clock in a true second; within [`crate::DRIFT`] of 1 for any two nodes.
    pub rate: f64,
    /// By how much the wall clock is ahead, in milliseconds.
    pub wall_ahead_ms: i64,
}

struct Node<M> {
    machine: Option<M>,
    peer: Peer,
    clocks: Clocks,
    /// Entries learnt.
    learnt: usize,
    /// When the next entry comes to it, if that has been drawn.
    comes: Option<Duration>,
    next_id: u64,
    cut: bool,
    paused: bool,
}

/// The log and the nodes on it.
pub struct Model<M: StateMachine> {
    nodes: Vec<Node<M>>,
    log: Vec<DecidedEntry>,
    on_their_way: BTreeMap<(Duration, u64), Proposal>,
    order: u64,
    last_ids: BTreeMap<Peer, u64>,
    leader: Option<usize>,
    also_leading: Vec<usize>,
    faults: Faults,
    rng: Pcg64,
    now: Duration,
    epoch_ms: u64,
}

impl<M: StateMachine> Model<M> {
    /// No nodes yet; the true wall clock begins at `epoch_ms`.
    pub fn new(seed: u64, faults: Faults, epoch_ms: u64) -> Self {
        Self {
            nodes: Vec::new(),
            log: Vec::new(),
            on_their_way: BTreeMap::new(),
            order: 0,
            last_ids: BTreeMap::new(),
            leader: Some(0),
            also_leading: Vec::new(),
            faults,
            rng: Pcg64::seed_from_u64(seed),
            now: Duration::ZERO,
            epoch_ms,
        }
    }

    /// Adds a node and starts it; its number. `make` is handed who it is and its first moment.
    pub fn add(&mut self, name: Name, clocks: Clocks, make: impl FnOnce(Peer, Now) -> M) -> usize {
        let peer = Peer { name, session: Session(0) };
        let (paused, cut) = (false, false);
        self.nodes.push(Node {
            machine: None,
            peer,
            clocks,
            learnt: 0,
            comes: None,
            next_id: 1,
            cut,
            paused,
        });
        let i = self.nodes.len() - 1;
        self.start(i, make);
        i
    }

    /// Starts node `i` (again): a new session, nothing known but a snapshot of another node's or all entries from the
    /// first on, as drawn.
    pub fn start(&mut self, i: usize, make: impl FnOnce(Peer, Now) -> M) {
        self.nodes[i].peer.session.0 += 1;
        let now = self.local_time(i);
        let mut machine = make(self.nodes[i].peer.clone(), now);
        let mut learnt = 0;
        let others: Vec<usize> =
            (0..self.nodes.len()).filter(|&j| j != i && self.nodes[j].machine.is_some()).collect();
        if !others.is_empty() && self.rng.random_bool(0.5) {
            let from = &self.nodes[others[self.rng.random_range(0..others.len())]];
            if let Some(snapshot) = from.machine.as_ref().map(M::snapshot) {
                if machine.restore(now, &snapshot).is_ok() {
                    learnt = from.learnt;
                }
            }
        }
        let node = &mut self.nodes[i];
        (node.machine, node.learnt, node.comes, node.next_id, node.paused) =
            (Some(machine), learnt, None, 1, false);
    }

    /// Node `i` is killed: what it knew is gone.
    pub fn kill(&mut self, i: usize) {
        self.nodes[i].machine = None;
    }

    /// Node `i` stops running (SIGSTOP) or runs again; its boot clock goes on.
    pub fn set_paused(&mut self, i: usize, paused: bool) {
        self.nodes[i].paused = paused;
    }

    /// Node `i` is cut off from the log, or has it again.
    pub fn set_isolated(&mut self, i: usize, cut: bool) {
        self.nodes[i].cut = cut;
    }

    /// Who leads; while nobody does, nothing is decided.
    pub fn set_leader(&mut self, leader: Option<usize>) {
        self.leader = leader;
    }

    /// Nodes that think they lead, beside the one that does.
    pub fn set_other_leaders(&mut self, nodes: &[usize]) {
        self.also_leading = nodes.to_vec();
    }

    /// What befalls proposals and entries from now on.
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Sets node `i`'s wall clock ahead by so much from now on.
    pub fn set_wall_ahead(&mut self, i: usize, ahead_ms: i64) {
        self.nodes[i].clocks.wall_ahead_ms = ahead_ms;
    }

    /// The true time. Checkers count by it; no machine sees it.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// What node `i`'s clocks show.
    pub fn local_time(&self, i: usize) -> Now {
        let c = &self.nodes[i].clocks;
        let wall = self.epoch_ms + self.now.as_millis() as u64;
        Now {
            boot: c.boot_at_zero + self.now.mul_f64(c.rate),
            wall_ms: wall.saturating_add_signed(c.wall_ahead_ms),
        }
    }

    /// How many nodes there are, running or not.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// No node at all.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Whether node `i` runs now: neither killed nor stopped.
    pub fn is_running(&self, i: usize) -> bool {
        self.nodes[i].machine.is_some() && !self.nodes[i].paused
    }

    /// Node `i`'s machine, if it runs, and what its clocks show: for what its users ask of it.
    pub fn machine(&mut self, i: usize) -> Option<(&mut M, Now)> {
        let now = self.local_time(i);
        let node = &mut self.nodes[i];
        if node.paused {
            return None;
        }
        node.machine.as_mut().map(|m| (m, now))
    }

    /// All that has been decided.
    pub fn log(&self) -> &[DecidedEntry] {
        &self.log
    }

    /// How many entries node `i` has learnt.
    pub fn learned_count(&self, i: usize) -> usize {
        self.nodes[i].learnt
    }

    /// Runs for `d`; `each` is called after every step.
    pub fn run(&mut self, d: Duration, mut each: impl FnMut(&mut Self)) {
        let end = self.now + d;
        while self.now < end {
            self.now += STEP;
            self.step();
            each(self);
        }
    }

    /// Runs until `done` holds, for at most `limit`; the time it took, if it came.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut done: impl FnMut(&mut Self) -> bool,
    ) -> Option<Duration> {
        let begun = self.now;
        while !done(self) {
            if self.now - begun >= limit {
                return None;
            }
            self.now += STEP;
            self.step();
        }
        Some(self.now - begun)
    }

    fn step(&mut self) {
        while let Some(entry) = self.on_their_way.first_entry() {
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
            // A node that wakes may find its timers or the network first.
            if self.rng.random_bool(0.5) {
                self.learn(i);
                self.tick(i);
            } else {
                self.tick(i);
                self.learn(i);
            }
            self.propose(i);
        }
    }

    fn decide(&mut self, proposal: Proposal) {
        let Some(leader) = self.leader.filter(|&l| self.is_running(l) && !self.nodes[l].cut) else { return };
        let last = self.last_ids.entry(proposal.proposer.clone()).or_default();
        if proposal.id <= *last {
            return;
        }
        *last = proposal.id;
        let before = self.log.last().map_or(0, |d| d.timestamp.0);
        let timestamp = Timestamp(self.local_time(leader).wall_ms.max(before));
        self.log.push(DecidedEntry { index: Index(self.log.len() as u64 + 1), timestamp, proposal });
    }

    fn learn(&mut self, i: usize) {
        let now = self.local_time(i);
        let node = &mut self.nodes[i];
        if node.cut {
            node.comes = None;
            return;
        }
        while let Some(decided) = self.log.get(node.learnt) {
            let comes = *node.comes.get_or_insert_with(|| {
                self.now + self.faults.max_learn_delay.mul_f64(self.rng.random_range(0.0..=1.0))
            });
            if comes > self.now {
                return;
            }
            // Those decided meanwhile come with it.
            if let Some(machine) = node.machine.as_mut().filter(|m| m.topic() == decided.proposal.topic) {
                machine.apply(now, decided);
            }
            node.learnt += 1;
        }
        node.comes = None;
    }

    fn tick(&mut self, i: usize) {
        let now = self.local_time(i);
        let leading = self.leader == Some(i) || self.also_leading.contains(&i);
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
            if node.cut || self.rng.random_bool(self.faults.loss) {
                continue;
            }
            let copies = if self.rng.random_bool(self.faults.duplicate) { 2 } else { 1 };
            for _ in 0..copies {
                if self.on_their_way.len() >= ON_THEIR_WAY {
                    break;
                }
                self.order += 1;
                let at = self.now + self.faults.max_decide_delay.mul_f64(self.rng.random_range(0.0..=1.0));
                self.on_their_way.insert((at, self.order), proposal.clone());
            }
        }
    }
}

#[cfg(test)]
mod tests;
