//! Measures the figures of docs/measurements/membership.md in virtual time:
//!
//!     cargo run --release -p magpietally-membership --example measure -- 10 100 500
//!
//! For each fleet size: the time until the first node and until all nodes see a killed node as dead, the
//! false deaths per node and hour at 1% and 10% loss, and the bytes per second that a node sends.

use std::time::Duration;

use magpietally_membership::sim::{Faults, Fleet};
use magpietally_membership::{Liveness, Settings};

const SEED: u64 = 20261201;

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![10, 100, 500] } else { sizes };
    println!("| nodes | full convergence | first node sees a killed node as dead | all nodes do | false deaths per node-hour, 1% loss | 10% loss | bytes per node and second |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for n in sizes {
        let settings = Settings { fleet_size: n as u32, ..Settings::default() };
        let mut fleet = Fleet::new(n, &settings, Faults::default(), SEED);
        let joined = time_to_converge(&mut fleet, n);
        // Bytes sent without faults, after the feeds of the start.
        let (bytes_before, span) = (fleet.sent_bytes(), Duration::from_secs(60));
        fleet.run(span);
        let rate = (fleet.sent_bytes() - bytes_before) as f64 / n as f64 / span.as_secs_f64();
        let killed = n / 2;
        fleet.kill(killed);
        let mut first = None;
        let mut all = None;
        let step = Duration::from_millis(100);
        let mut waited = Duration::ZERO;
        while all.is_none() && waited < Duration::from_secs(120) {
            fleet.run(step);
            waited += step;
            let dead = fleet.count_seeing(killed, Liveness::Dead);
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
            format_seconds(joined),
            format_seconds(first),
            format_seconds(all),
            losses[0],
            losses[1]
        );
    }
}

fn time_to_converge(fleet: &mut Fleet, n: usize) -> Option<Duration> {
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

/// Returns the false deaths per node and hour: deaths declared under packet loss although every node is
/// running.
fn false_deaths(n: usize, settings: &Settings, loss: f64) -> f64 {
    let mut fleet = Fleet::new(n, settings, Faults::default(), SEED ^ (loss * 1000.0) as u64);
    time_to_converge(&mut fleet, n);
    let before: u64 = (0..n).filter_map(|i| fleet.membership(i)).map(|r| r.stats().declared_dead).sum();
    fleet.set_faults(Faults { loss, ..Faults::default() });
    let span = if n >= 500 { Duration::from_secs(300) } else { Duration::from_secs(1800) };
    fleet.run(span);
    let after: u64 = (0..n).filter_map(|i| fleet.membership(i)).map(|r| r.stats().declared_dead).sum();
    (after - before) as f64 / n as f64 / (span.as_secs_f64() / 3600.0)
}

fn format_seconds(d: Option<Duration>) -> String {
    d.map_or("not within the time limit".into(), |d| format!("{:.1} s", d.as_secs_f64()))
}
