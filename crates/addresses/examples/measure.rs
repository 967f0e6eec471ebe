//! Measures the room in virtual time: `measure 10 100` for so many nodes in 3 sites.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Duration;

use common::{ms, World, EXCLUSIVE, SHARED, WELL};
use magpietally_addresses::Planted;
use magpietally_consensus::model::Faults;

/// What takes the owner's speaker away.
#[derive(Clone, Copy, Debug)]
enum Loss {
    Kill,
    Pause,
    Cut,
}

fn world(seed: u64, nodes: usize) -> World {
    let mut w = World::new(seed, 3, nodes.div_ceil(3), Faults::default(), Planted::None);
    w.run(ms(15_000));
    w
}

/// From the moment that the speaker is lost: how long the address leads nowhere, all in all, until it leads somewhere for good.
fn gap(seed: u64, nodes: usize, loss: Loss) -> Option<Duration> {
    let mut w = world(seed, nodes);
    let owner = w.owner_site().and_then(|s| w.speaker(s))?;
    w.model.set_leader(Some((owner + 1) % w.of.len()));
    match loss {
        Loss::Kill => w.kill(owner, true),
        Loss::Pause => w.model.set_paused(owner, true),
        Loss::Cut => w.model.set_isolated(owner, true),
    }
    w.until(ms(10_000), |w| w.router.steer(EXCLUSIVE, 0).is_none())?;
    w.until(ms(30_000), |w| w.router.steer(EXCLUSIVE, 0).is_some())
}

fn withdraw(seed: u64, nodes: usize) -> Option<Duration> {
    let mut w = world(seed, nodes);
    w.loads[0].share = 500;
    let site = w.sites[0].clone();
    let took = w.until(ms(10_000), |w| !w.router.sites(SHARED).contains(&site))?;
    w.loads[0] = WELL;
    Some(took.saturating_sub(ms(u64::from(w.rules.hold_down))))
}

fn show(all: &[Option<Duration>]) -> String {
    let mut some: Vec<f64> = all.iter().flatten().map(Duration::as_secs_f64).collect();
    some.sort_by(f64::total_cmp);
    match (some.len() == all.len(), some.first(), some.last()) {
        (true, Some(low), Some(high)) => format!("{low:.2} to {high:.2}"),
        _ => "not all came".into(),
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
        let each = |f: &dyn Fn(u64) -> Option<Duration>| show(&(0..seeds).map(f).collect::<Vec<_>>());
        let mut w = world(0, nodes);
        let before: u64 = w.bytes.iter().sum();
        w.run(ms(10_000));
        let sum = w.bytes.iter().sum::<u64>() - before;
        println!(
            "| {} | {} | {} | {} | {} | {:.0} | {:.0} |",
            w.of.len(),
            each(&|s| withdraw(s, nodes)),
            each(&|s| gap(s, nodes, Loss::Kill)),
            each(&|s| gap(s, nodes, Loss::Pause)),
            each(&|s| gap(s, nodes, Loss::Cut)),
            sum as f64 / 10.0 / w.of.len() as f64,
            sum as f64 / 10.0,
        );
    }
}
