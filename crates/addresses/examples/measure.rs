//! Measures the protocol in virtual time. `measure 10 100` runs it with 10 and then with 100 nodes in 3
//! sites.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Duration;

use common::{ms, World, EXCLUSIVE, HEALTHY_LOAD, SHARED};
use magpietally_addresses::InjectedFault;
use magpietally_consensus::model::Faults;

/// How the owner's speaker fails.
#[derive(Clone, Copy, Debug)]
enum Failure {
    Kill,
    Pause,
    Isolate,
}

fn world(seed: u64, nodes: usize) -> World {
    let mut w = World::new(seed, 3, nodes.div_ceil(3), Faults::default(), InjectedFault::None);
    w.run(ms(15_000));
    w
}

/// How long the exclusive address has no route after its owner's speaker fails.
fn route_gap(seed: u64, nodes: usize, failure: Failure) -> Option<Duration> {
    let mut w = world(seed, nodes);
    let owner = w.owner_site().and_then(|s| w.speaker(s))?;
    w.model.set_leader(Some((owner + 1) % w.site_of.len()));
    match failure {
        Failure::Kill => w.kill(owner, true),
        Failure::Pause => w.model.set_paused(owner, true),
        Failure::Isolate => w.model.set_isolated(owner, true),
    }
    w.run_until(ms(10_000), |w| w.router.select_site(EXCLUSIVE, 0).is_none())?;
    w.run_until(ms(30_000), |w| w.router.select_site(EXCLUSIVE, 0).is_some())
}

fn withdrawal_time(seed: u64, nodes: usize) -> Option<Duration> {
    let mut w = world(seed, nodes);
    w.loads[0].answered_permille = 500;
    let site = w.sites[0].clone();
    let took = w.run_until(ms(10_000), |w| !w.router.best_sites(SHARED).contains(&site))?;
    w.loads[0] = HEALTHY_LOAD;
    Some(took.saturating_sub(ms(u64::from(w.rules.hold_down))))
}

fn format_range(all: &[Option<Duration>]) -> String {
    let mut some: Vec<f64> = all.iter().flatten().map(Duration::as_secs_f64).collect();
    some.sort_by(f64::total_cmp);
    match (some.len() == all.len(), some.first(), some.last()) {
        (true, Some(low), Some(high)) => format!("{low:.2} to {high:.2}"),
        _ => "some runs did not finish".into(),
    }
}

fn main() {
    println!("| nodes | withdrawn after the hold-down, s | gap after a kill, s | after a stop, s | after a cut, s | bytes a node proposes a second | bytes a node learns a second |");
    println!("| ---: | --- | --- | --- | --- | ---: | ---: |");
    for nodes in std::env::args().skip(1).filter_map(|a| a.parse::<usize>().ok()) {
        let seeds: u64 = match nodes {
            0..50 => 10,
            50..200 => 2,
            _ => 1,
        };
        let each = |f: &dyn Fn(u64) -> Option<Duration>| format_range(&(0..seeds).map(f).collect::<Vec<_>>());
        let mut w = world(0, nodes);
        let before: u64 = w.bytes.iter().sum();
        w.run(ms(10_000));
        let sum = w.bytes.iter().sum::<u64>() - before;
        println!(
            "| {} | {} | {} | {} | {} | {:.0} | {:.0} |",
            w.site_of.len(),
            each(&|s| withdrawal_time(s, nodes)),
            each(&|s| route_gap(s, nodes, Failure::Kill)),
            each(&|s| route_gap(s, nodes, Failure::Pause)),
            each(&|s| route_gap(s, nodes, Failure::Isolate)),
            sum as f64 / 10.0 / w.site_of.len() as f64,
            sum as f64 / 10.0,
        );
    }
}
