//! The clocks of a node of the fleet.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use magpietally_transport::Now;
use nix::time::{clock_gettime, ClockId};

/// Both clocks now. The boot clock runs on while the process is stopped or the machine sleeps, so that a lease does not
/// outlive its time; it is the same for all processes of a machine, which is what records for checkers count by.
pub fn now() -> Now {
    // It is there on every Linux since 2.6.39; without it there is no time to count leases by.
    let boot = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("CLOCK_BOOTTIME is readable");
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Now { boot: Duration::from(boot), wall_ms: u64::try_from(wall.as_millis()).unwrap_or(u64::MAX) }
}
