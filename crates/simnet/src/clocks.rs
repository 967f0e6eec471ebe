//! A node's clocks against the network's time, which no node sees.

use std::time::Duration;

use magpietally_transport::Now;

/// Parts in a million: the unit of a clock's drift.
const MILLION: i128 = 1_000_000;

/// How one node's clocks stand against the network's time. Whole numbers throughout: the same on every machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Clocks {
    /// What the boot clock shows at the network's time zero (or when it was last set).
    pub origin: Duration,
    /// By how many parts in a million the boot clock runs fast (negative: slow). Taken as at least -900,000 and at
    /// most 900,000.
    pub drift_ppm: i32,
    /// By how much the wall clock is ahead, in milliseconds (negative: behind). It may be changed at any time: a jump.
    pub wall_ahead_ms: i64,
}

/// Clocks that were set at a moment of the network's time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Running {
    pub(crate) clocks: Clocks,
    since: Duration,
}

impl Running {
    /// From the network's time zero on.
    pub(crate) fn new(clocks: Clocks) -> Self {
        Self { clocks, since: Duration::ZERO }
    }

    /// Another rate from `at` on; the boot clock goes on from what it shows.
    pub(crate) fn set_drift(&mut self, at: Duration, drift_ppm: i32) {
        self.clocks.origin = self.boot(at);
        self.clocks.drift_ppm = drift_ppm;
        self.since = at;
    }

    fn rate(&self) -> i128 {
        MILLION + i128::from(self.clocks.drift_ppm.clamp(-900_000, 900_000))
    }

    /// What the boot clock shows at the network's time `at`.
    pub(crate) fn boot(&self, at: Duration) -> Duration {
        let real = at.saturating_sub(self.since).as_nanos() as i128;
        self.clocks.origin + nanos(real * self.rate() / MILLION)
    }

    /// The first moment of the network's time at which the boot clock shows `boot` or more.
    pub(crate) fn when(&self, boot: Duration) -> Duration {
        let shown = boot.saturating_sub(self.clocks.origin).as_nanos() as i128;
        let rate = self.rate();
        self.since.saturating_add(nanos((shown * MILLION + rate - 1) / rate))
    }

    /// Both clocks; the true wall clock shows `epoch_ms` at the network's time zero.
    pub(crate) fn now(&self, at: Duration, epoch_ms: u64) -> Now {
        let wall = (epoch_ms as i128 + at.as_millis() as i128 + i128::from(self.clocks.wall_ahead_ms)).max(0);
        Now { boot: self.boot(at), wall_ms: u64::try_from(wall).unwrap_or(u64::MAX) }
    }
}

fn nanos(n: i128) -> Duration {
    Duration::from_nanos(u64::try_from(n.max(0)).unwrap_or(u64::MAX))
}
