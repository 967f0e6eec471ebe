//! The figures of docs/measurements/membership.md, in virtual time:
//!
//!     cargo run --release -p magpietally-membership --example measure -- 10 100 500
//!
//! For each size: the time until the first node takes a killed one for dead and until all do, the false deaths a node
//! and hour at 1% and 10% loss, and the bytes a node sends a second.

use std::time::Duration;

use magpietally_membership::sim::{Faults, Fleet};
use magpietally_membership::{Liveness, Settings};

const SEED: u64 = 20261201;

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![10, 100, 500] } else { sizes };
    println!("| nodes | all take all for members after | first takes a killed node for dead | all do | false deaths a node-hour, 1% loss | 10% loss | bytes a node a second |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for n in sizes {
        let settings = Settings { fleet_size: n as u32, ..Settings::default() };
        let mut fleet = Fleet::new(n, &settings, Faults::default(), SEED);
        let joined = converge(&mut fleet, n);
        // Bytes in calm, after the start's feeds.
        let (bytes_before, calm) = (fleet.sent_bytes(), Duration::from_secs(60));
        fleet.run(calm);
        let rate = (fleet.sent_bytes() - bytes_before) as f64 / n as f64 / calm.as_secs_f64();
        // A death.
        let victim = n / 2;
        fleet.kill(victim);
        let mut first = None;
        let mut all = None;
        let step = Duration::from_millis(100);
        let mut waited = Duration::ZERO;
        while all.is_none() && waited < Duration::from_secs(120) {
            fleet.run(step);
            waited += step;
            let dead = fleet.count_seeing(victim, Liveness::Dead);
            if dead > 0 && first.is_none() {
                first = Some(waited);
            }
            if dead == n - 1 {
                all = Some(waited);
            }
        }
        let losses = [0.01, 0.10].map(|loss| false_deaths(n, &settings, loss));
        println!(
            "| {n} | {} | {} | {} | {:.2} | {:.2} | {rate:.0} |",
            seconds(joined),
            seconds(first),
            seconds(all),
            losses[0],
            losses[1]
        );
    }
}

fn converge(fleet: &mut Fleet, n: usize) -> Option<Duration> {
    let mut waited = Duration::ZERO;
    while waited < Duration::from_secs(300) {
        if (0..n).all(|i| fleet.view(i).is_some_and(|v| v.counts().active() as usize == n)) {
            return Some(waited);
        }
        fleet.run(Duration::from_millis(500));
        waited += Duration::from_millis(500);
    }
    None
}

/// Deaths declared of nodes that never died, a node and hour, over a stretch of lossy time.
fn false_deaths(n: usize, settings: &Settings, loss: f64) -> f64 {
    let mut fleet = Fleet::new(n, settings, Faults::default(), SEED ^ (loss * 1000.0) as u64);
    converge(&mut fleet, n);
    let before: u64 = (0..n).filter_map(|i| fleet.membership(i)).map(|r| r.stats().declared_dead).sum();
    fleet.set_faults(Faults { loss, ..Faults::default() });
    let span = if n >= 500 { Duration::from_secs(300) } else { Duration::from_secs(1800) };
    fleet.run(span);
    let after: u64 = (0..n).filter_map(|i| fleet.membership(i)).map(|r| r.stats().declared_dead).sum();
    (after - before) as f64 / n as f64 / (span.as_secs_f64() / 3600.0)
}

fn seconds(d: Option<Duration>) -> String {
    d.map_or("not within the bound".into(), |d| format!("{:.1} s", d.as_secs_f64()))
}
