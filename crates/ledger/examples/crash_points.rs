//! Every crash point of the scripted life that the tests have a part of: each call of it failing in each way, and a crash
//! at every byte behind that. `docs/measurements/ledger.sh` runs it.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{crash_everywhere, fail_everywhere, journal_options, play};
use magpietally_ledger::journal::Durability;
use magpietally_ledger::sim::SimDisk;

fn main() {
    for promise in [Durability::ProcessCrash, Durability::PowerLoss] {
        let mut points = 0;
        for segments in [100, 3, 2] {
            let disk = SimDisk::default();
            play(&disk, journal_options(promise, segments));
            points += crash_everywhere(&disk.ops(), promise, segments == 100, true);
        }
        println!("{promise}: {points} crash points without faults, all as promised");
        let every = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(1);
        let (lives, points) = fail_everywhere(promise, every, false);
        println!("{promise}: {lives} lives with a fault, {points} crashes at operations, all as promised");
        let (lives, points) = fail_everywhere(promise, 6 * every, true);
        println!("{promise}: {lives} lives with a fault, {points} crashes at bytes, all as promised");
    }
}
