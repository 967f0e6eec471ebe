//! The simulated fleet is deterministic: the same seed gives the same run.

use std::time::Duration;

use magpietally_membership::sim::{Faults, Fleet};
use magpietally_membership::Settings;

#[test]
fn the_same_seed_gives_the_same_run_and_another_seed_another() {
    let run = |seed| {
        let mut f = Fleet::new(8, &Settings::default(), Faults { loss: 0.1, ..Faults::default() }, seed);
        f.run(Duration::from_secs(10));
        f.kill(3);
        f.set_paused(4, true);
        f.run(Duration::from_secs(15));
        f.set_paused(4, false);
        f.start(3);
        f.run(Duration::from_secs(15));
        (f.trace(), f.sent_bytes())
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1).0, run(2).0);
}
