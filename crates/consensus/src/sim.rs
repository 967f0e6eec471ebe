//! Simulation of the log in virtual time with random faults. Seeds are fixed, and the recorded histories are
//! checked.

use std::time::Duration;

use magpietally_simnet::{Clocks, Faults, Limits, World};
use magpietally_transport::Name;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::check::{check, Record};
use crate::{Index, Settings};

#[path = "../testing/test_node.rs"]
mod test_node;

use test_node::{SharedDisk, TestNode};

mod scenarios;

const MS: Duration = Duration::from_millis(1);
/// After the last fault all nodes reach the same index within this time: a bootstrap or an election (2 s),
/// catching up, and three rounds of gossip.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(15);

#[derive(Clone, Copy, Default)]
struct Plan {
    voters: usize,
    nodes: usize,
    /// Injected fault: messages are sent before the state they depend on is durable.
    send_before_durable: bool,
    /// Consensus messages are sent as datagrams where they fit. Unlike streams, datagrams are lost,
    /// duplicated and reordered.
    datagrams: bool,
    checkpoint: u64,
}

struct Fleet {
    world: World<TestNode>,
    plan: Plan,
    names: Vec<Name>,
    disks: Vec<SharedDisk>,
    history: Vec<Record>,
    seed: u64,
    starts: u64,
    lost_disks: Vec<usize>,
    sync: Duration,
}

impl Fleet {
    fn new(seed: u64, plan: Plan, faults: Faults) -> Self {
        let names: Vec<Name> =
            (0..plan.nodes).map(|i| Name::new(&format!("n{i}")).expect("valid name")).collect();
        let mut world = World::new(seed, faults, Limits::default(), 1_700_000_000_000);
        for name in &names {
            world.add(name, Clocks::default()).expect("world accepts the node");
        }
        let disks = vec![(); plan.nodes].iter().map(|()| SharedDisk::default()).collect();
        let sync = 2 * MS;
        let mut fleet = Self {
            world,
            plan,
            names,
            disks,
            history: Vec::new(),
            seed,
            starts: 0,
            lost_disks: Vec::new(),
            sync,
        };
        (0..plan.nodes).for_each(|i| fleet.start(i));
        fleet
    }

    fn start(&mut self, i: usize) {
        self.starts += 1;
        let mut settings =
            Settings::new(self.names[..self.plan.voters].to_vec(), self.seed << 16 | self.starts);
        settings.checkpoint_entries = self.plan.checkpoint;
        settings.keep_entries = 4 * self.plan.checkpoint as usize;
        let disk = (i < self.plan.voters).then(|| self.disks[i].clone());
        let (names, plan, sync) = (self.names.clone(), self.plan, self.sync);
        self.world.start(i, |me, now| {
            let mut test_node = TestNode::start(settings, me, now, disk, sync);
            test_node.node.set_peers(&names);
            test_node.node.inject_send_before_durable = plan.send_before_durable;
            test_node.node.paxos_by_datagram = plan.datagrams;
            test_node
        });
    }

    fn collect(&mut self) {
        for i in 0..self.names.len() {
            if let Some(node) = self.world.protocol_mut(i) {
                self.history.append(&mut node.records);
            }
        }
    }

    fn kill(&mut self, i: usize, written: bool) {
        self.collect();
        if let Some(node) = self.world.protocol_mut(i) {
            node.lose_power(written);
        }
        self.world.kill(i);
    }

    fn lose_disk(&mut self, i: usize) {
        self.kill(i, false);
        *self.disks[i].lock().expect("disk lock") = test_node::Disk::default();
        self.lost_disks.push(i);
    }

    fn propose(&mut self, i: usize, body: Vec<u8>) -> bool {
        self.world.call(i, |node, now| node.propose(now, body)) == Some(true)
    }

    fn index(&self, i: usize) -> Index {
        self.world.protocol(i).map_or(Index(0), |r| r.index)
    }

    fn await_leader(&mut self) {
        let voters = self.plan.voters;
        let ready = |w: &mut World<TestNode>| {
            (0..voters).all(|i| w.protocol(i).is_some_and(|r| r.node.status().no_vote.is_none()))
                && (0..voters).any(|i| w.protocol(i).is_some_and(|r| r.node.is_leader()))
        };
        assert!(
            self.world.run_until(CONVERGENCE_LIMIT, ready).is_some(),
            "seed {}: all voters vote and one leads",
            self.seed
        );
    }

    /// Ends all faults. All nodes then have to reach the same index, with at least one new entry.
    fn converge(&mut self) -> Option<Duration> {
        self.world.net_mut().heal();
        self.world.net_mut().set_faults(Faults::default());
        for i in 0..self.names.len() {
            self.disks[i].lock().expect("disk lock").full = false;
            if self.world.protocol(i).is_none() {
                self.start(i);
            } else if self.world.is_paused(i) {
                self.world.resume(i);
            }
        }
        let before = (0..self.names.len()).map(|i| self.index(i)).max();
        // A state machine repeats its proposal for as long as it is needed.
        let mut next = Duration::ZERO;
        let seed = self.seed;
        let start = self.world.now();
        self.world.run_until(CONVERGENCE_LIMIT, |w| {
            let at = w.now() - start;
            if at >= next {
                next = at + 500 * MS;
                w.call(0, |node, now| node.propose(now, seed.to_le_bytes().to_vec()));
            }
            let index = |i: usize| w.protocol(i).map(|r| (r.index, r.digest));
            let first = index(0);
            first.map(|f| f.0) > before && (1..w.len()).all(|i| index(i) == first)
        })
    }

    /// Ends the faults and checks that every node converges in time and that no rule is violated.
    fn converge_and_check(&mut self) -> Result<(), String> {
        let converged = self.converge();
        self.collect();
        let violations = check(&self.history);
        let status: Vec<_> = (0..self.names.len())
            .filter_map(|i| Some((i, self.index(i).0, self.world.protocol(i)?.node.status())))
            .collect();
        if let Some(first) = violations.first() {
            return Err(format!("seed {}: {first}", self.seed));
        }
        if let Some((_, _, status)) = status.iter().find(|(_, _, s)| s.diverged_at.is_some()) {
            return Err(format!(
                "seed {}: no two nodes decide different entries at one index: {status:?}",
                self.seed
            ));
        }
        converged.map(|_| ()).ok_or_else(|| format!("seed {}: not converged: {status:#?}", self.seed))
    }
}

/// One seeded run with random faults.
fn run_with_faults(seed: u64, plan: Plan) -> Fleet {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut fleet = Fleet::new(seed, plan, Faults::default());
    fleet.await_leader();
    let faults = Faults {
        loss: rng.random_range(0.0..0.2),
        jitter: 20 * MS,
        duplicate: rng.random_range(0.0..0.1),
        reorder: rng.random_range(0.0..0.1),
        ..Faults::default()
    };
    fleet.world.net_mut().set_faults(faults);
    fleet.sync = rng.random_range(0..20) * MS;
    let nodes = plan.nodes;
    for step in 0..120_u64 {
        let (a, b) = (rng.random_range(0..nodes), rng.random_range(0..nodes));
        match rng.random_range(0..20) {
            0 => fleet.kill(a, rng.random_bool(0.5)),
            1 | 2 => {
                if fleet.world.protocol(a).is_none() {
                    fleet.start(a);
                }
            }
            3 if fleet.world.protocol(a).is_some() => fleet.world.pause(a),
            4 | 5 => {
                (0..nodes).filter(|i| fleet.world.is_paused(*i)).collect::<Vec<_>>().into_iter().for_each(
                    |i| {
                        fleet.world.resume(i);
                    },
                );
            }
            6 => fleet.world.net_mut().cut(a, b),
            7 => {
                let (left, right): (Vec<usize>, Vec<usize>) = (0..nodes).partition(|_| rng.random_bool(0.5));
                fleet.world.net_mut().partition(&left, &right);
            }
            8 | 9 => fleet.world.net_mut().heal(),
            10 => fleet.world.set_wall_ahead(a, rng.random_range(-600_000..600_000)),
            11 => {
                let full = rng.random_bool(0.5);
                fleet.disks[a].lock().expect("disk lock").full = full;
            }
            12 if a < plan.voters && fleet.lost_disks.len() < (plan.voters - 1) / 2 && step > 40 => {
                fleet.lose_disk(a);
                fleet.start(a);
            }
            13 => {
                fleet.world.call(a, |node, now| node.read(now));
            }
            _ => {
                for n in 0..rng.random_range(1..8_u64) {
                    fleet.propose(a, (seed << 16 | step << 4 | n).to_le_bytes().to_vec());
                }
            }
        }
        fleet.world.run(rng.random_range(1..250) * MS);
    }
    fleet
}

fn plan_for_seed(seed: u64) -> Plan {
    let voters = if seed.is_multiple_of(2) { 3 } else { 5 };
    Plan {
        voters,
        nodes: voters + 3,
        send_before_durable: false,
        datagrams: seed.is_multiple_of(3),
        checkpoint: 16,
    }
}

/// A longer soak test: `cargo test -p magpietally-consensus --release -- --ignored thousands`.
#[test]
#[ignore = "minutes"]
fn thousands_of_seeds_violate_no_rule() {
    for seed in 1000..4000 {
        if let Err(error) = run_with_faults(seed, plan_for_seed(seed)).converge_and_check() {
            panic!("{error}");
        }
    }
}

#[test]
fn all_nodes_agree_and_converge_after_random_faults() {
    let mut entries = 0;
    for seed in 0..100 {
        let mut fleet = run_with_faults(seed, plan_for_seed(seed));
        if let Err(error) = fleet.converge_and_check() {
            panic!("{error}");
        }
        entries += fleet.index(0).0;
    }
    assert!(entries > 2000, "only {entries} entries were decided in all runs");
}
