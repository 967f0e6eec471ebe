//! Compares what whole fleets send to cold servers with the budgets of these, in virtual time.
//!
//! `cargo run --release -p magpietally-policy --example cold_fleet -- 10` runs ten seeds per cell.

#[path = "../tests/common/fleet.rs"]
mod fleet;

use fleet::{run, SCENARIOS};

const NODES: [usize; 6] = [1, 3, 20, 30, 100, 300];

fn main() {
    let seeds: u64 = std::env::args().nth(1).and_then(|a| a.parse().ok()).unwrap_or(3);
    println!("Worst window of {seeds} seeds: sends over N + 2 root N + 2; above 1 is too many.\n");
    println!("| scenario | 1 node | 3 | 20 | 30 | 100 | 300 | served in time | cold capacity used |");
    println!("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for scenario in SCENARIOS {
        print!("| {} |", scenario.name);
        let (mut served, mut used) = ((1.0f64, 0.0f64), (f64::INFINITY, 0.0f64));
        for nodes in NODES {
            let all: Vec<_> = (1..=seeds).map(|seed| run(scenario, nodes, seed)).collect();
            let worst = all.iter().max_by(|a, b| a.worst.total_cmp(&b.worst)).expect("at least one seed");
            print!(" {:.2} ({} of {:.1}) |", worst.worst, worst.sends, worst.budget);
            let mean = |of: fn(&fleet::Report) -> f64| all.iter().map(of).sum::<f64>() / seeds as f64;
            let (s, u) = (mean(|s| s.served), mean(|s| s.used));
            (served, used) = ((served.0.min(s), served.1.max(s)), (used.0.min(u), used.1.max(u)));
        }
        println!(" {:.3} to {:.3} | {:.2} to {:.2} |", served.0, served.1, used.0, used.1);
    }
}
