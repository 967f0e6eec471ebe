//! Measures the cost and the utilization of quotas: `cargo run --release -p magpietally-quota --example
//! measure`.
//!
//! Takes fleet sizes as arguments; the default is 10, 100 and 500. The first table shows utilization and
//! bytes in virtual time, the second nanoseconds by this machine's clock.

use std::hint::black_box;
use std::time::{Duration, Instant};

use magpietally_consensus::{Proposal, Topic};
use magpietally_quota::check::{check, Observation, Violation};
use magpietally_quota::sim::Sim;
use magpietally_quota::{LeaseSettings, Policy, SpendDecision, TenantQuota};

const S: Duration = Duration::from_secs(1);
const TENANTS: usize = 16;
/// Quota of each tenant in tokens per second, per node of the fleet.
const PER_NODE: u64 = 20;

fn tenant_name(t: usize) -> String {
    format!("club-{t}")
}

fn policy(tenants: usize, nodes: usize, share: u64) -> Policy {
    let rate = PER_NODE * nodes as u64;
    let tenant = |t| TenantQuota {
        name: tenant_name(t),
        rate_milli: rate * 1000 / share,
        burst: (2 * rate / share).max(1),
        ..TenantQuota::default()
    };
    Policy { version: 1, tenants: (0..tenants).map(tenant).collect() }
}

/// Adds three times the quota as demand. It is spread over all nodes, or each tenant's demand falls on a
/// third of them.
fn set_demand(sim: &mut Sim, nodes: usize, tenants: usize, spread: bool) {
    sim.demand.clear();
    let rate = 3.0 * (PER_NODE * nodes as u64) as f64;
    for t in 0..tenants {
        if spread {
            sim.add_demand(0..nodes, &tenant_name(t), "lookup", rate);
        } else {
            let third = (nodes / 3).max(1);
            let from = (t * third) % nodes;
            sim.add_demand(from..(from + third).min(nodes), &tenant_name(t), "lookup", rate);
        }
    }
}

/// The part of the quota that is admitted with one bucket per node and no log: with an equal split (`share` =
/// number of nodes) or with the whole quota at each node (1). Computed, not simulated.
fn unshared_utilization(nodes: usize, spread: bool, share: f64) -> f64 {
    let quota = (PER_NODE * nodes as u64) as f64;
    let busy = if spread { nodes } else { (nodes / 3).max(1) } as f64;
    busy * (3.0 * quota / busy).min(quota / share) / quota
}

struct FleetResult {
    utilization: f64,
    utilization_after_move: f64,
    proposed_bytes: f64,
    learned_bytes: f64,
    entries_per_s: f64,
    windows_exceeded: usize,
}

fn measure_fleet(nodes: usize, tenants: usize, spread: bool) -> FleetResult {
    let mut sim = Sim::new(1, nodes, &policy(tenants, nodes, 1), LeaseSettings::default());
    sim.record_refusals = false;
    set_demand(&mut sim, nodes, tenants, spread);
    sim.run(8 * S);
    let (from, first) = (sim.model.now(), sim.model.log().len());
    let secs = 10;
    sim.run(secs * S);
    let quota = (PER_NODE * nodes as u64 * tenants as u64) as f64;
    let utilization = sim.admitted_tokens(from) as f64 / quota / f64::from(secs);
    let log = &sim.model.log()[first..];
    let size = |p: &Proposal| postcard::to_stdvec(p).map_or(0, |b| b.len());
    let proposed_bytes: usize = log.iter().map(|d| size(&d.proposal)).sum();
    let learned_bytes: usize = log.iter().map(|d| postcard::to_stdvec(d).map_or(0, |b| b.len())).sum();
    assert!(log.iter().all(|d| d.proposal.topic == Topic::Quota));
    let entries_per_s = log.len() as f64 / f64::from(secs);
    // All demand moves to other nodes, half the fleet away.
    if !spread {
        for d in &mut sim.demand {
            d.node = (d.node + nodes / 2) % nodes;
        }
    }
    sim.run(2 * S);
    let from = sim.model.now();
    sim.run(2 * S);
    let utilization_after_move = sim.admitted_tokens(from) as f64 / quota / 2.0;
    let windows_exceeded =
        check(&sim.records).iter().filter(|f| matches!(f, Violation::WindowExceeded { .. })).count();
    assert!(sim.records.iter().any(|r| matches!(r.what, Observation::Admitted { .. })));
    let each = f64::from(secs) * nodes as f64;
    FleetResult {
        utilization,
        utilization_after_move,
        proposed_bytes: proposed_bytes as f64 / each,
        learned_bytes: learned_bytes as f64 / f64::from(secs),
        entries_per_s,
        windows_exceeded,
    }
}

/// Nanoseconds per decision, and the fraction of requests admitted. Requests go to `tenants` tenants in turn;
/// about half are admitted.
fn decision_nanos(tenants: usize, key: bool) -> (f64, f64) {
    let mut sim = Sim::new(
        1,
        1,
        &policy(tenants, 10, 1),
        LeaseSettings { demand_term: 600 * S, reserve_term: 600 * S },
    );
    sim.record_refusals = false;
    for t in 0..tenants {
        sim.add_demand(0..1, &tenant_name(t), "lookup", 2.0);
    }
    sim.run(3 * S);
    let names: Vec<String> = (0..tenants).map(tenant_name).collect();
    let Some((q, now)) = sim.model.machine(0) else { return (0.0, 0.0) };
    let (rounds, mut admitted, mut at) = (2_000_000u64, 0u64, now.boot);
    let started_at = Instant::now();
    for n in 0..rounds {
        at += Duration::from_nanos(2_500_000 / tenants as u64);
        let tenant = &names[n as usize % tenants];
        let spent = q.spend(black_box(at), black_box(tenant), "lookup", key.then_some(n));
        admitted += u64::from(spent.decision == SpendDecision::Admitted);
    }
    (started_at.elapsed().as_nanos() as f64 / rounds as f64, admitted as f64 / rounds as f64)
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![10, 100, 500] } else { sizes };
    println!("| nodes | demand | used | used 2 s after a move | times over | equal split | each node alone | entries a second | bytes a node proposes a second | bytes a node learns a second |");
    println!("| ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for nodes in sizes {
        // With 500 nodes, every node applies every entry; fewer tenants keep a run within minutes.
        let tenants = if nodes > 100 { TENANTS / 4 } else { TENANTS };
        for spread in [true, false] {
            let f = measure_fleet(nodes, tenants, spread);
            let on = if spread { "on all nodes" } else { "on a third" };
            let utilization_after_move =
                if spread { "-".to_owned() } else { format!("{:.1}%", 100.0 * f.utilization_after_move) };
            println!(
                "| {nodes} | {tenants} tenants, {on} | {:.1}% | {utilization_after_move} | {} | {:.1}% | {:.0}% | {:.1} | {:.1} | {:.0} |",
                100.0 * f.utilization,
                f.windows_exceeded,
                100.0 * unshared_utilization(nodes, spread, nodes as f64),
                100.0 * unshared_utilization(nodes, spread, 1.0),
                f.entries_per_s,
                f.proposed_bytes,
                f.learned_bytes,
            );
        }
    }
    println!("\n| decision | nanoseconds | admitted |\n| --- | ---: | ---: |");
    for (tenants, key) in [(1, false), (1024, false), (1024, true)] {
        let (ns, admitted) = decision_nanos(tenants, key);
        let with = if key { ", each with a key" } else { "" };
        println!("| {tenants} tenants{with} | {ns:.0} | {:.0}% |", 100.0 * admitted);
    }
}
