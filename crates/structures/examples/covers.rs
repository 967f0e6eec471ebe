//! Ways to give each node a part of the boxes, held against each other: how even the nodes are over the boxes, and how many
//! connections move when a box or a node comes or goes. Each node takes the first K of an order of its own, K being as many
//! as the policy takes; no node knows the others, only its number and how many there are.

use magpietally_structures::{mix, SplitMix, GOLDEN_GAMMA};

/// Nodes that share a box, and the fewest boxes of a node, as the policy has them.
const NODES_PER_BOX: usize = 8;
const LEAST: usize = 2;

type Rule = fn(&[u64], usize, usize, usize) -> Vec<usize>;

/// A common table as Maglev fills it (Eisenbud et al., 2016, 3.4): each box in turn takes its next free place by an order of
/// its own, not twice in a row where it can; each node reads the table from a place of its own. The policy's rule before.
fn table(starts: &[u64], nodes: usize, number: usize, _: usize) -> Vec<usize> {
    let block = LEAST;
    const FREE: u32 = u32::MAX;
    let size = (block * nodes).max(block * starts.len().next_power_of_two());
    let mut walks = starts.to_vec();
    let mut table = vec![FREE; size];
    for filled in 0..size {
        let member = filled % starts.len();
        let walk = &mut walks[member];
        let mut tries = 0;
        let free = loop {
            *walk = walk.wrapping_add(GOLDEN_GAMMA);
            tries += 1;
            let place = mix(*walk) as usize % size;
            // Not twice in what one node reads first, but where nothing else is left.
            let from = place - place % block;
            let twice = table[from..(from + block).min(size)].contains(&(member as u32));
            if table[place] == FREE && (!twice || tries > size) {
                break place;
            }
        };
        table[free] = member as u32;
    }
    let own = number * size / nodes;
    let mut seen = vec![false; starts.len()];
    let places = (own..size).chain(0..own).map(|place| table[place] as usize);
    places.filter(|m| !std::mem::replace(&mut seen[*m], true)).collect()
}

/// Rendezvous hashing (Thaler and Ravishankar, 1998): each node ranks all by a hash of both.
fn rendezvous(starts: &[u64], _: usize, number: usize, _: usize) -> Vec<usize> {
    let own = mix((number as u64 + 1).wrapping_mul(GOLDEN_GAMMA));
    let mut order: Vec<usize> = (0..starts.len()).collect();
    order.sort_by_key(|m| mix(starts[*m] ^ own));
    order
}

/// A ring by hash on which nodes stand at even places and take what follows, as deterministic aperture does. The policy's
/// rule.
fn ring(starts: &[u64], nodes: usize, number: usize, _: usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..starts.len()).collect();
    order.sort_by_key(|m| mix(starts[*m]));
    order.rotate_left(number * starts.len() / nodes);
    order
}

/// Deterministic subsetting (Beyer et al., Site Reliability Engineering, 2016, chapter 20): nodes in rounds, each round
/// with a shuffle of its own that is cut into subsets.
fn rounds(starts: &[u64], _: usize, number: usize, each: usize) -> Vec<usize> {
    let subsets = (starts.len() / each).max(1);
    let mut order: Vec<usize> = (0..starts.len()).collect();
    let mut random = SplitMix(mix((number / subsets) as u64 + 1));
    for last in (1..order.len()).rev() {
        order.swap(last, (random.next_f64() * (last + 1) as f64) as usize);
    }
    order.rotate_left((number % subsets) * each);
    order
}

const RULES: [(&str, Rule); 4] =
    [("ring", ring), ("table", table), ("rendezvous", rendezvous), ("rounds", rounds)];

fn each(nodes: usize, boxes: usize) -> usize {
    (NODES_PER_BOX * boxes).div_ceil(nodes).max(LEAST).min(boxes)
}

/// The boxes of each node, by their hashes, sorted.
fn subsets(rule: Rule, starts: &[u64], nodes: usize) -> Vec<Vec<u64>> {
    let count = each(nodes, starts.len());
    let of = |number| {
        let order = rule(starts, nodes, number, count);
        let mut own: Vec<u64> = order.into_iter().take(count).map(|m| starts[m]).collect();
        own.sort_unstable();
        own
    };
    (0..nodes).map(of).collect()
}

/// How many connections are new.
fn moved(before: &[Vec<u64>], after: &[Vec<u64>]) -> usize {
    before.iter().zip(after).map(|(b, a)| a.iter().filter(|m| b.binary_search(m).is_err()).count()).sum()
}

/// Four of the sizes: one box in four is four times as large.
fn weight(start: u64) -> f64 {
    if mix(start ^ 77).is_multiple_of(4) {
        4.0
    } else {
        1.0
    }
}

/// The most that a box has to bear, as a part of what it would have where all were alike; by weight too.
fn worst(subsets: &[Vec<u64>], starts: &[u64], weight: fn(u64) -> f64) -> f64 {
    let mut load = std::collections::BTreeMap::new();
    for own in subsets {
        let sum: f64 = own.iter().map(|m| weight(*m)).sum();
        own.iter().for_each(|m| *load.entry(*m).or_insert(0.0) += weight(*m) / sum);
    }
    let fair = subsets.len() as f64 / starts.iter().map(|m| weight(*m)).sum::<f64>();
    load.iter().map(|(m, l)| l / weight(*m) / fair).fold(0.0, f64::max)
}

fn main() {
    println!(
        "{:>5} {:>5} {:>5} {:<10} {:>9} {:>7} {:>7} {:>7} {:>8} {:>8} {:>8}",
        "nodes", "boxes", "each", "rule", "conns", "worst", "weights", "zone", "box goes", "comes", "node+1"
    );
    for nodes in [2, 10, 30, 100] {
        for boxes in [10usize, 100, 1000, 5000] {
            let starts: Vec<u64> =
                (0..boxes as u64).map(|m| mix((m + 1).wrapping_mul(GOLDEN_GAMMA))).collect();
            let mut fewer = starts.clone();
            fewer.remove(boxes / 3);
            let mut more = starts.clone();
            more.insert(boxes / 2, mix(987_654_321));
            let count = each(nodes, boxes);
            if count == boxes {
                println!("{nodes:>5} {boxes:>5} {count:>5} all, by any rule");
                continue;
            }
            for (name, rule) in RULES {
                let own = subsets(rule, &starts, nodes);
                let of = |m: &u64| own.iter().filter(|s| s.binary_search(m).is_ok()).count();
                let conns: Vec<usize> = starts.iter().map(of).collect();
                let zones = own.iter().map(|s| {
                    let parts = (0..3).map(|z| s.iter().filter(|m| mix(**m ^ 5) % 3 == z).count());
                    parts.max().unwrap_or(0) as f64 / s.len() as f64
                });
                println!(
                    "{nodes:>5} {boxes:>5} {count:>5} {name:<10} {:>4}-{:<4} {:>7.2} {:>7.2} {:>7.2} {:>8} {:>8} {:>8}",
                    conns.iter().min().unwrap_or(&0),
                    conns.iter().max().unwrap_or(&0),
                    worst(&own, &starts, |_| 1.0),
                    worst(&own, &starts, weight),
                    zones.fold(0.0, f64::max),
                    moved(&own, &subsets(rule, &fewer, nodes)),
                    moved(&own, &subsets(rule, &more, nodes)),
                    moved(&own, &subsets(rule, &starts, nodes + 1)),
                );
            }
        }
    }
}
