//! Measures how long a change takes to become active on all nodes and how long requests are queued meanwhile,
//! in virtual time on the log's model: `cargo run --release -p magpietally-policy-change --example measure`.
//! The figures are the same on every machine.

use std::time::Duration;

use magpietally_consensus::model::{Clocks, Faults, Model};
use magpietally_policy_change::{PolicyChange, ProposalOutcome, ProposalStatus, Settings};
use magpietally_transport::Name;

const MS: Duration = Duration::from_millis(1);
const SEEDS: u64 = 10;

fn median(durations: &mut [Duration]) -> Duration {
    durations.sort();
    durations.get(durations.len() / 2).copied().unwrap_or_default()
}

/// Runs one change with `down` of the nodes killed immediately before. Returns the time from the proposal
/// until the new version is active on every running node, and the duration of each node's closing.
fn run_change(seed: u64, nodes: usize, down: usize) -> Option<(Duration, Vec<Duration>)> {
    let faults = Faults { loss: 0.01, duplicate: 0.01, max_decide_delay: 20 * MS, max_learn_delay: 50 * MS };
    let mut model = Model::new(seed, faults, 1_700_000_000_000);
    for i in 0..nodes {
        let rate = 0.9952 + 0.0096 * (i as f64 / nodes as f64);
        let clocks = Clocks { boot_at_zero: Duration::from_secs(i as u64), rate, wall_ahead_ms: 0 };
        let name = Name::new(&format!("n{i}")).ok()?;
        model.add(name, clocks, |me, now| {
            let node = PolicyChange::new(me, Settings::default(), Box::new(|_| Ok(())), now);
            node.unwrap_or_else(|error| panic!("the default settings: {error}"))
        });
    }
    // Long enough for the renewals to spread over time as in normal operation.
    model.run(Duration::from_secs(12) + seed as u32 * 300 * MS, |_| {});
    for i in nodes - down..nodes {
        model.kill(i);
    }
    let (machine, now) = model.machine(1)?;
    let ticket = machine.propose(now, machine.state().active, b"share = 1".to_vec()).ok()?;
    let up = nodes - down;
    let took = model.run_until(Duration::from_secs(60), |model| {
        (0..up).all(|i| model.machine(i).is_some_and(|(m, _)| m.state().active.0 > 0))
    })?;
    let outcome = model.machine(1)?.0.proposal_status(ticket);
    if !matches!(outcome, ProposalStatus::Ended(ProposalOutcome::Taken(_))) {
        return None;
    }
    let closings = (0..up).filter_map(|i| Some(model.machine(i)?.0.metrics().last_closing)).collect();
    Some((took, closings))
}

fn main() {
    println!("| nodes | down | taken of {SEEDS} | takes hold, median | largest | held, median | largest |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (nodes, down) in [(10, 0), (10, 1), (100, 0), (100, 10)] {
        let runs: Vec<_> = (0..SEEDS).filter_map(|seed| run_change(seed, nodes, down)).collect();
        let mut took: Vec<_> = runs.iter().map(|(took, _)| *took).collect();
        let mut closings: Vec<_> = runs.iter().flat_map(|(_, closings)| closings.clone()).collect();
        println!(
            "| {nodes} | {down} | {} | {:?} | {:?} | {:.0?} | {:.0?} |",
            runs.len(),
            median(&mut took),
            took.last().copied().unwrap_or_default(),
            median(&mut closings),
            closings.last().copied().unwrap_or_default(),
        );
    }
}
