//! Measures the cost of the log in virtual time: `cargo run --release -p magpietally-consensus --example
//! measure`.
//!
//! Five voters, all other nodes learners, 1 to 3 ms network delay, 2 ms per disk write. Byte counts are of
//! the messages, without the headers of their transport.

use std::time::Duration;

use magpietally_consensus::{Index, Settings};
use magpietally_simnet::{Clocks, Faults, Limits, World};
use magpietally_transport::Name;

#[path = "../testing/test_node.rs"]
mod test_node;

use test_node::{SharedDisk, TestNode};

const MS: Duration = Duration::from_millis(1);
const VOTERS: usize = 5;

fn start(world: &mut World<TestNode>, names: &[Name], i: usize) {
    let settings = Settings::new(names[..VOTERS].to_vec(), 1000 + i as u64);
    let disk = (i < VOTERS).then(SharedDisk::default);
    world.start(i, |me, now| {
        let mut test_node = TestNode::start(settings, me, now, disk, 2 * MS);
        test_node.node.set_peers(names);
        test_node.keep_records = false;
        test_node
    });
}

fn fleet(nodes: usize) -> (World<TestNode>, Vec<Name>) {
    let names: Vec<Name> = (0..nodes).map(|i| Name::new(&format!("node-{i}")).expect("valid name")).collect();
    let mut world = World::new(7, Faults::default(), Limits::default(), 1_700_000_000_000);
    for name in &names {
        world.add(name, Clocks::default()).expect("world accepts the node");
    }
    for i in 0..nodes {
        start(&mut world, &names, i);
    }
    let leads =
        |w: &mut World<TestNode>| (0..VOTERS).any(|i| w.protocol(i).is_some_and(|r| r.node.is_leader()));
    world.run_until(Duration::from_secs(20), leads).expect("a voter leads");
    world.run(Duration::from_secs(5));
    (world, names)
}

fn index(world: &World<TestNode>, i: usize) -> Index {
    world.protocol(i).map_or(Index(0), |r| r.index)
}

/// Times until an entry reached its proposer, half of the nodes, and all of them.
fn spread(world: &mut World<TestNode>, nodes: usize) -> [Duration; 3] {
    let before = index(world, nodes - 1);
    let from = world.now();
    world.call(nodes - 1, |node, now| node.propose(now, vec![7; 100]));
    let mut times = [None; 3];
    for _ in 0..20_000 {
        world.run(MS);
        let reached = (0..nodes).filter(|i| index(world, *i) > before).count();
        let conditions = [index(world, nodes - 1) > before, 2 * reached >= nodes, reached == nodes];
        for (time, conditions) in times.iter_mut().zip(conditions) {
            if conditions {
                time.get_or_insert(world.now() - from);
            }
        }
        if reached == nodes {
            break;
        }
    }
    times.map(|t| t.expect("entry reached all nodes in 20 s"))
}

/// Bytes sent per second by the leader, by an average other voter and by an average learner.
fn bytes(world: &mut World<TestNode>, nodes: usize, per_s: u64) -> [u64; 3] {
    let before: Vec<u64> = (0..nodes).map(|i| world.counts(i).sent_bytes).collect();
    let seconds = 10;
    for n in 0..seconds * per_s.max(1) {
        if per_s > 0 {
            world.call(n as usize * 7 % nodes, |node, now| node.propose(now, vec![7; 100]));
        }
        world.run(Duration::from_secs(1) / per_s.max(1) as u32);
    }
    let sent = |i: usize| (world.counts(i).sent_bytes - before[i]) / seconds;
    let leads = |i: &usize| world.protocol(*i).is_some_and(|r| r.node.is_leader());
    let leader = (0..VOTERS).find(leads).expect("a voter leads");
    let mean = |of: Vec<usize>| of.iter().map(|i| sent(*i)).sum::<u64>() / of.len().max(1) as u64;
    [sent(leader), mean((0..VOTERS).filter(|i| *i != leader).collect()), mean((VOTERS..nodes).collect())]
}

/// For a node that missed `missed` entries: the time until it has all of them, and the bytes it received.
fn catch_up(world: &mut World<TestNode>, names: &[Name], missed: u64) -> (Duration, u64) {
    let last = names.len() - 1;
    world.kill(last);
    for n in 0..missed / 10 {
        for _ in 0..10 {
            world.call((n as usize * 3) % last, |node, now| node.propose(now, vec![7; 100]));
        }
        world.run(20 * MS);
    }
    world.run(Duration::from_secs(3));
    let (from, before) = (world.now(), world.counts(last).received_bytes);
    start(world, names, last);
    let all = |w: &mut World<TestNode>| index(w, last) == index(w, 0);
    let took = world.run_until(Duration::from_secs(60), all).expect("caught up within a minute");
    assert!(index(world, 0).0 >= missed, "{:?}", index(world, 0));
    (took.min(world.now() - from), world.counts(last).received_bytes - before)
}

fn main() {
    println!("| nodes | entry at its proposer / half / all (ms) | at rest: leader / voter / learner (B/s) | at 50 proposals/s of 100 B (B/s) | 10,000 entries missed |");
    println!("| ---: | ---: | ---: | ---: | ---: |");
    for nodes in [10, 100, 500] {
        let (mut world, names) = fleet(nodes);
        let mut all = Vec::new();
        for _ in 0..21 {
            all.push(spread(&mut world, nodes));
            world.run(Duration::from_millis(700));
        }
        let median = |k: usize| {
            let mut times: Vec<_> = all.iter().map(|t| t[k].as_millis()).collect();
            times.sort_unstable();
            (times[times.len() / 2], times[times.len() - 1])
        };
        let [own, half, every] = [0, 1, 2].map(median);
        world.run(Duration::from_secs(3));
        let rest = bytes(&mut world, nodes, 0);
        let busy = bytes(&mut world, nodes, 50);
        world.run(Duration::from_secs(3));
        let (took, received) = catch_up(&mut world, &names, 10_000);
        println!(
            "| {nodes} | {} / {} / {} (at most {} / {} / {}) | {} / {} / {} | {} / {} / {} | {:.1} s, {} kB |",
            own.0,
            half.0,
            every.0,
            own.1,
            half.1,
            every.1,
            rest[0],
            rest[1],
            rest[2],
            busy[0],
            busy[1],
            busy[2],
            took.as_secs_f64(),
            received / 1000
        );
    }
}
