//! The clocks that a fleet node uses.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use magpietally_transport::Now;
use nix::time::{clock_gettime, ClockId};

/// Reads both clocks. The boot clock continues while the process is stopped or the machine sleeps, so that no
/// lease is used beyond its end. All processes of a machine share it, so the checkers' records of several
/// nodes have one time.
pub fn now() -> Now {
    // Every Linux since 2.6.39 has this clock; leases can't be timed without it.
    let boot = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("CLOCK_BOOTTIME is readable");
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Now { boot: Duration::from(boot), wall_ms: u64::try_from(wall.as_millis()).unwrap_or(u64::MAX) }
}
