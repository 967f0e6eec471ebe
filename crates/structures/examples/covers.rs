//! Compares subsetting rules: how evenly the nodes cover the servers, and how many connections move when a
//! server or a node is added or removed. Each node takes the first K servers of an order of its own, with the
//! K of the policy. No node knows the others, only its index and the number of nodes.

use magpietally_structures::{mix, SplitMix, GOLDEN_GAMMA};

/// Nodes that share a server, and the smallest subset of a node, as in the policy.
const NODES_PER_SERVER: usize = 8;
const SUBSET_MIN: usize = 2;

type Rule = fn(&[u64], usize, usize, usize) -> Vec<usize>;

/// A common table, filled as in Maglev (Eisenbud et al., 2016, 3.4): each server in turn takes its next free
/// place by an order of its own, if possible not twice in a block; each node reads the table from a place of
/// its own. The policy's previous rule.
fn table(hashes: &[u64], nodes: usize, number: usize, _: usize) -> Vec<usize> {
    let block = SUBSET_MIN;
    const FREE: u32 = u32::MAX;
    let size = (block * nodes).max(block * hashes.len().next_power_of_two());
    let mut walks = hashes.to_vec();
    let mut table = vec![FREE; size];
    for filled in 0..size {
        let member = filled % hashes.len();
        let walk = &mut walks[member];
        let mut tries = 0;
        let free = loop {
            *walk = walk.wrapping_add(GOLDEN_GAMMA);
            tries += 1;
            let place = mix(*walk) as usize % size;
            // Not twice in what one node reads first, unless nothing else is left.
            let from = place - place % block;
            let twice = table[from..(from + block).min(size)].contains(&(member as u32));
            if table[place] == FREE && (!twice || tries > size) {
                break place;
            }
        };
        table[free] = member as u32;
    }
    let first = number * size / nodes;
    let mut seen = vec![false; hashes.len()];
    let places = (first..size).chain(0..first).map(|place| table[place] as usize);
    places.filter(|m| !std::mem::replace(&mut seen[*m], true)).collect()
}

/// Rendezvous hashing (Thaler and Ravishankar, 1998): each node ranks the servers by a hash of both.
fn rendezvous(hashes: &[u64], _: usize, number: usize, _: usize) -> Vec<usize> {
    let own = mix((number as u64 + 1).wrapping_mul(GOLDEN_GAMMA));
    let mut order: Vec<usize> = (0..hashes.len()).collect();
    order.sort_by_key(|m| mix(hashes[*m] ^ own));
    order
}

/// A hash ring on which nodes start at evenly spaced places and take what follows, as in deterministic
/// aperture. The policy's rule.
fn ring(hashes: &[u64], nodes: usize, number: usize, _: usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..hashes.len()).collect();
    order.sort_by_key(|m| mix(hashes[*m]));
    order.rotate_left(number * hashes.len() / nodes);
    order
}

/// Deterministic subsetting (Beyer et al., Site Reliability Engineering, 2016, chapter 20): nodes in rounds,
/// each round with a shuffle of its own that is divided into subsets.
fn rounds(hashes: &[u64], _: usize, number: usize, each: usize) -> Vec<usize> {
    let subsets = (hashes.len() / each).max(1);
    let mut order: Vec<usize> = (0..hashes.len()).collect();
    let mut random = SplitMix(mix((number / subsets) as u64 + 1));
    for last in (1..order.len()).rev() {
        order.swap(last, (random.next_f64() * (last + 1) as f64) as usize);
    }
    order.rotate_left((number % subsets) * each);
    order
}

const RULES: [(&str, Rule); 4] =
    [("ring", ring), ("table", table), ("rendezvous", rendezvous), ("rounds", rounds)];

fn subset_size(nodes: usize, servers: usize) -> usize {
    (NODES_PER_SERVER * servers).div_ceil(nodes).max(SUBSET_MIN).min(servers)
}

/// The servers of each node, by their hashes, sorted.
fn subsets(rule: Rule, hashes: &[u64], nodes: usize) -> Vec<Vec<u64>> {
    let count = subset_size(nodes, hashes.len());
    let of = |number| {
        let order = rule(hashes, nodes, number, count);
        let mut own: Vec<u64> = order.into_iter().take(count).map(|m| hashes[m]).collect();
        own.sort_unstable();
        own
    };
    (0..nodes).map(of).collect()
}

/// Number of new connections.
fn new_connections(before: &[Vec<u64>], after: &[Vec<u64>]) -> usize {
    before.iter().zip(after).map(|(b, a)| a.iter().filter(|m| b.binary_search(m).is_err()).count()).sum()
}

/// Sizes: one server in four is four times as large.
fn weight(hash: u64) -> f64 {
    if mix(hash ^ 77).is_multiple_of(4) {
        4.0
    } else {
        1.0
    }
}

/// The highest load of a server, relative to an even load by weight.
fn worst(subsets: &[Vec<u64>], hashes: &[u64], weight: fn(u64) -> f64) -> f64 {
    let mut load = std::collections::BTreeMap::new();
    for own in subsets {
        let sum: f64 = own.iter().map(|m| weight(*m)).sum();
        own.iter().for_each(|m| *load.entry(*m).or_insert(0.0) += weight(*m) / sum);
    }
    let fair = subsets.len() as f64 / hashes.iter().map(|m| weight(*m)).sum::<f64>();
    load.iter().map(|(m, l)| l / weight(*m) / fair).fold(0.0, f64::max)
}

fn main() {
    println!(
        "{:>5} {:>7} {:>5} {:<10} {:>9} {:>7} {:>7} {:>7} {:>8} {:>8} {:>8}",
        "nodes",
        "servers",
        "each",
        "rule",
        "conns",
        "worst",
        "weights",
        "zone",
        "srv gone",
        "added",
        "node+1"
    );
    for nodes in [2, 10, 30, 100] {
        for servers in [10usize, 100, 1000, 5000] {
            let hashes: Vec<u64> =
                (0..servers as u64).map(|m| mix((m + 1).wrapping_mul(GOLDEN_GAMMA))).collect();
            let mut fewer = hashes.clone();
            fewer.remove(servers / 3);
            let mut more = hashes.clone();
            more.insert(servers / 2, mix(987_654_321));
            let count = subset_size(nodes, servers);
            if count == servers {
                println!("{nodes:>5} {servers:>7} {count:>5} all, by any rule");
                continue;
            }
            for (name, rule) in RULES {
                let own = subsets(rule, &hashes, nodes);
                let of = |m: &u64| own.iter().filter(|s| s.binary_search(m).is_ok()).count();
                let conns: Vec<usize> = hashes.iter().map(of).collect();
                let zones = own.iter().map(|s| {
                    let parts = (0..3).map(|z| s.iter().filter(|m| mix(**m ^ 5) % 3 == z).count());
                    parts.max().unwrap_or(0) as f64 / s.len() as f64
                });
                println!(
                    "{nodes:>5} {servers:>7} {count:>5} {name:<10} {:>4}-{:<4} {:>7.2} {:>7.2} {:>7.2} {:>8} {:>8} {:>8}",
                    conns.iter().min().unwrap_or(&0),
                    conns.iter().max().unwrap_or(&0),
                    worst(&own, &hashes, |_| 1.0),
                    worst(&own, &hashes, weight),
                    zones.fold(0.0, f64::max),
                    new_connections(&own, &subsets(rule, &fewer, nodes)),
                    new_connections(&own, &subsets(rule, &more, nodes)),
                    new_connections(&own, &subsets(rule, &hashes, nodes + 1)),
                );
            }
        }
    }
}
