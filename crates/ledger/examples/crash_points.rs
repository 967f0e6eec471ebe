//! Runs every crash point of the scripted workload, of which the tests run a part: each call failing in each way,
//! and a crash at every byte after it. Run by `docs/measurements/ledger.sh`.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{crash_everywhere, fail_everywhere, journal_options, run_workload};
use magpietally_ledger::journal::Durability;
use magpietally_ledger::sim::SimDisk;

fn main() {
    for durability in [Durability::ProcessCrash, Durability::PowerLoss] {
        let mut points = 0;
        for segments in [100, 3, 2] {
            let disk = SimDisk::default();
            run_workload(&disk, journal_options(durability, segments));
            points += crash_everywhere(&disk.ops(), durability, segments == 100, true);
        }
        println!("{durability}: {points} crash points without faults, all as promised");
        let every = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(1);
        let (runs, points) = fail_everywhere(durability, every, false);
        println!("{durability}: {runs} lives with a fault, {points} crashes at operations, all as promised");
        let (runs, points) = fail_everywhere(durability, 6 * every, true);
        println!("{durability}: {runs} lives with a fault, {points} crashes at bytes, all as promised");
    }
}
