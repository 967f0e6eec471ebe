//! What whole fleets send to cold servers, in virtual time, beside what these bear.
//!
//! `cargo run --release -p magpietally-policy --example cold_fleet -- 10` plays ten seeds a cell.

#[path = "../tests/common/fleet.rs"]
mod fleet;

use fleet::{play, SCENES};

const NODES: [usize; 6] = [1, 3, 20, 30, 100, 300];

fn main() {
    let seeds: u64 = std::env::args().nth(1).and_then(|a| a.parse().ok()).unwrap_or(3);
    println!("Worst window of {seeds} seeds: calls of N + 2 root N + 2, in parts; above 1 is too many.\n");
    println!("| scene | 1 node | 3 | 20 | 30 | 100 | 300 | served in time | cold capacity used |");
    println!("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for scene in SCENES {
        print!("| {} |", scene.name);
        let (mut served, mut used) = ((1.0f64, 0.0f64), (f64::INFINITY, 0.0f64));
        for nodes in NODES {
            let all: Vec<_> = (1..=seeds).map(|seed| play(scene, nodes, seed)).collect();
            let worst = all.iter().max_by(|a, b| a.worst.total_cmp(&b.worst)).expect("one seed at least");
            print!(" {:.2} ({} of {:.1}) |", worst.worst, worst.calls, worst.budget);
            let mean = |of: fn(&fleet::Seen) -> f64| all.iter().map(of).sum::<f64>() / seeds as f64;
            let (s, u) = (mean(|s| s.served), mean(|s| s.used));
            (served, used) = ((served.0.min(s), served.1.max(s)), (used.0.min(u), used.1.max(u)));
        }
        println!(" {:.3} to {:.3} | {:.2} to {:.2} |", served.0, served.1, used.0, used.1);
    }
}
