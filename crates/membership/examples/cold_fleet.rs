//! Many nodes that start together in front of servers that have just started: the maximum number of attempts
//! in progress at a cold server, when each node divides its initial limits by the number of nodes it counts
//! in the fleet.
//!
//! `cargo run --release -p magpietally-membership --example cold_fleet -- 50`
//!
//! Compares three counts: each node counts only itself (it knows no peers), the count in each node's view
//! shortly after the start (before the join has spread), and the count after the join. The views come from
//! this crate's simulated fleet. The policy is the one that nodes run, driven in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use magpietally_membership::sim::{Faults, Fleet};
use magpietally_membership::{budget_divisor, Settings as MembershipSettings};
use magpietally_policy::*;

const SERVERS: u64 = 4;
const SERVICE_MS: u64 = 50; // Duration of each attempt on a server that is not overloaded.
const REQUEST_INTERVAL_MS: u64 = 20; // Per node: 50 requests a second, 2,500 for 50 nodes.
const WINDOW_MS: u64 = 3_000;
const SEED: u64 = 7;

/// The end of an attempt: time, node, request, attempt, server.
type AttemptEnd = Reverse<(u64, usize, u64, usize, u64)>;

fn settings(number: usize, nodes: usize) -> Settings {
    let class = Class { aim: 500.0, worth: 1.0, late_worth: 0.0, effect: Effect::Safe };
    Settings {
        number,
        nodes,
        classes: vec![class],
        tenants: Vec::new(),
        over_share_worth: 1.0,
        goal: Goal { worth: 1.0, ..Goal::default() },
        limits: Limits {
            attempts: 2,
            second_copies: false,
            cancel: true,
            probes: false,
            connect_timeout: 100.0,
            max_retry_after: 1_000.0,
        },
        rules: Rules {
            ask_within: 10_000.0,
            cold_share: 0.15,
            warm_within: 20_000.0,
            fall_multiple: 3.0,
            fall_window: 1_000.0,
            drain_grace: 750.0,
        },
        discovery: Discovery::Pushed,
        weights: Weights::None,
        tick: 1.0,
        ..Settings::default()
    }
}

/// Simulates the window. Returns the maximum number of attempts in progress at one server, as a fraction of
/// its capacity at that time, and the number of requests refused or failed.
fn simulate(warm_capacity: f64, divisors: &[usize]) -> (f64, usize) {
    // Concurrent attempts that a server can take by the time since its start, under the warm-up in the nodes'
    // settings.
    let Rules { cold_share, warm_within, .. } = settings(0, 1).rules;
    let capacity =
        |now: u64| warm_capacity * (cold_share + (1.0 - cold_share) * (now as f64 / warm_within).min(1.0));
    let n = divisors.len();
    let entries: Vec<ServerEntry> = (0..SERVERS)
        .map(|s| ServerEntry {
            server: ServerId(s),
            zone: 0,
            cell: 0,
            kind: 0,
            state: ListedState::Up,
            weight: 1.0,
            started: Some(0.0),
        })
        .collect();
    let mut nodes: Vec<Balancer> = divisors
        .iter()
        .enumerate()
        .map(|(i, &d)| {
            // The node's number within the count it assumes; its initial offset follows from this and the
            // seed.
            let d = d.max(1);
            Balancer::new(settings(i % d, d), SEED + i as u64).expect("the settings are valid")
        })
        .collect();
    let mut timers = vec![u64::MAX; n];
    let mut ends: BinaryHeap<AttemptEnd> = BinaryHeap::new();
    let mut attempts: BTreeMap<(usize, u64), usize> = BTreeMap::new();
    let mut sent: BTreeMap<(usize, u64, usize), u64> = BTreeMap::new();
    let mut in_progress = vec![0usize; SERVERS as usize];
    let (mut peak_load, mut failed, mut next_id) = (0.0f64, 0, 0u64);
    let mut actions = Vec::new();
    for now in 0..WINDOW_MS {
        for (i, node) in nodes.iter_mut().enumerate() {
            let t = now as f64;
            if now == 0 {
                node.handle(t, Event::List { entries: entries.clone(), saved: false }, &mut actions);
            }
            while let Some(Reverse((at, node_index, id, attempt, server))) = ends.peek().copied() {
                if at > now || node_index != i {
                    break;
                }
                ends.pop();
                let since = sent.remove(&(i, id, attempt)).unwrap_or(now); // Each attempt that ends was sent.
                in_progress[server as usize] -= 1;
                let ended = Event::Ended {
                    id: RequestId(id),
                    attempt,
                    server: ServerId(server),
                    outcome: Outcome::Done,
                    took: (now - since) as f64,
                    finished: true,
                };
                node.handle(t, ended, &mut actions);
            }
            if timers[i] <= now {
                timers[i] = u64::MAX;
                node.handle(t, Event::Timer, &mut actions);
            }
            if (now + i as u64).is_multiple_of(REQUEST_INTERVAL_MS) {
                next_id += 1;
                let request = Event::Request {
                    id: RequestId(next_id),
                    class: 0,
                    tenant: None,
                    deadline: t + 500.0,
                    non_replayable: false,
                };
                node.handle(t, request, &mut actions);
            }
            for action in actions.drain(..) {
                match action {
                    Action::Send { id, server, .. } => {
                        let attempt = attempts.entry((i, id.0)).or_insert(0);
                        in_progress[server.0 as usize] += 1;
                        let load = in_progress[server.0 as usize] as f64 / capacity(now);
                        peak_load = peak_load.max(load);
                        // Beyond its capacity, a server slows down in proportion; nodes observe only this.
                        let took = (SERVICE_MS as f64 * load.max(1.0)).ceil() as u64;
                        ends.push(Reverse((now + took, i, id.0, *attempt, server.0)));
                        sent.insert((i, id.0, *attempt), now);
                        *attempt += 1;
                    }
                    Action::SetTimer(after) => {
                        let due = now + after.max(1.0).ceil() as u64;
                        timers[i] = timers[i].min(due);
                    }
                    Action::Refuse { .. } | Action::Fail(_) => failed += 1,
                    _ => {}
                }
            }
        }
    }
    (peak_load, failed)
}

fn main() {
    let n: usize = std::env::args().nth(1).and_then(|a| a.parse().ok()).unwrap_or(50);
    let settings = MembershipSettings { fleet_size: n as u32, ..MembershipSettings::default() };
    let mut fleet = Fleet::new(n, &settings, Faults::default(), SEED);
    let divisors = |fleet: &mut Fleet| -> Vec<usize> {
        (0..n).map(|i| fleet.view(i).map_or(1, |v| budget_divisor(&v.counts()) as usize)).collect()
    };
    fleet.run(Duration::from_millis(100));
    let early = divisors(&mut fleet);
    fleet.run(Duration::from_secs(30));
    let joined = divisors(&mut fleet);
    // Concurrent attempts at a warm server: the fleet's traffic spread evenly over the servers.
    let warm = (n as u64 * SERVICE_MS / REQUEST_INTERVAL_MS).div_ceil(SERVERS);
    println!("{n} nodes, {SERVERS} servers just started, {} requests a second; capacity of a warm server {warm} attempts in progress, of a cold one 15% of it ({:.1})", n as u64 * 1000 / REQUEST_INTERVAL_MS, warm as f64 * 0.15);
    println!("| node count from | min and max divisor | peak load of one server in {WINDOW_MS} ms, as a fraction of its capacity | refused or failed |");
    println!("| --- | ---: | ---: | ---: |");
    for (name, divisors) in
        [("each alone", vec![1; n]), ("view at 0.1 s", early), ("view after the join", joined)]
    {
        let (min, max) =
            (divisors.iter().min().copied().unwrap_or(1), divisors.iter().max().copied().unwrap_or(1));
        let (peak_load, failed) = simulate(warm as f64, &divisors);
        println!("| {name} | {min} to {max} | {peak_load:.1} | {failed} |");
    }
}
