//! A node's clocks relative to the network's time, which no node sees.

use std::time::Duration;

use magpietally_transport::Now;

/// The number of parts in a million, the unit of a clock's drift.
const PPM: i128 = 1_000_000;

/// The offsets and drift of one node's clocks relative to the network's time. All computations use integers,
/// so that results are the same on every machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Clocks {
    /// What the boot clock shows at the network's time zero, or when the drift was last changed.
    pub origin: Duration,
    /// How much faster the boot clock runs, in parts per million (negative: slower). Clamped to -900,000 to
    /// 900,000.
    pub drift_ppm: i32,
    /// How far the wall clock is ahead, in milliseconds (negative: behind). A change at run time makes the
    /// clock jump.
    pub wall_ahead_ms: i64,
}

/// Clocks with the network's time at which their origin was set.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunningClocks {
    pub(crate) clocks: Clocks,
    since: Duration,
}

impl RunningClocks {
    /// Creates clocks whose origin is the network's time zero.
    pub(crate) fn new(clocks: Clocks) -> Self {
        Self { clocks, since: Duration::ZERO }
    }

    /// Changes the rate from `at` on. The boot clock continues from what it shows at `at`.
    pub(crate) fn set_drift(&mut self, at: Duration, drift_ppm: i32) {
        self.clocks.origin = self.boot_at(at);
        self.clocks.drift_ppm = drift_ppm;
        self.since = at;
    }

    fn rate(&self) -> i128 {
        PPM + i128::from(self.clocks.drift_ppm.clamp(-900_000, 900_000))
    }

    /// Returns what the boot clock shows at the network's time `at`.
    pub(crate) fn boot_at(&self, at: Duration) -> Duration {
        let real = at.saturating_sub(self.since).as_nanos() as i128;
        self.clocks.origin + from_nanos_saturating(real * self.rate() / PPM)
    }

    /// Returns the earliest network time at which the boot clock shows `boot` or more.
    pub(crate) fn time_at_boot(&self, boot: Duration) -> Duration {
        let shown = boot.saturating_sub(self.clocks.origin).as_nanos() as i128;
        let rate = self.rate();
        self.since.saturating_add(from_nanos_saturating((shown * PPM + rate - 1) / rate))
    }

    /// Returns what both clocks show at the network's time `at`. The true wall clock shows `epoch_ms` at the
    /// network's time zero.
    pub(crate) fn now(&self, at: Duration, epoch_ms: u64) -> Now {
        let wall = (epoch_ms as i128 + at.as_millis() as i128 + i128::from(self.clocks.wall_ahead_ms)).max(0);
        Now { boot: self.boot_at(at), wall_ms: u64::try_from(wall).unwrap_or(u64::MAX) }
    }
}

fn from_nanos_saturating(n: i128) -> Duration {
    Duration::from_nanos(u64::try_from(n.max(0)).unwrap_or(u64::MAX))
}
