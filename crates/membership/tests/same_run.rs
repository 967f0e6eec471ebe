//! The fleet in virtual time is the same run for the same seed.

use std::time::Duration;

use magpietally_membership::sim::{Faults, Fleet};
use magpietally_membership::Settings;

#[test]
fn the_same_seed_gives_the_same_fleet_and_another_seed_another() {
    let play = |seed| {
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
    assert_eq!(play(1), play(1));
    assert_ne!(play(1).0, play(2).0);
}
