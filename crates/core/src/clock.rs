//! Monotonic time for the policy, and its relation to Unix time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use magpietally_policy::Millis;

/// Milliseconds since the node's start.
pub(crate) struct Clock {
    start: Instant,
    unix_start: Millis,
}

impl Clock {
    pub(crate) fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), unix_start: unix.as_secs_f64() * 1000.0 }
    }

    pub(crate) fn at(&self, instant: Instant) -> Millis {
        ms(instant.saturating_duration_since(self.start))
    }

    pub(crate) fn age(&self) -> Duration {
        self.start.elapsed()
    }

    /// Converts a past Unix time to the policy's time, by one offset for the lifetime of the node. A time in
    /// the future counts as now: this machine's wall clock was behind when the node started.
    pub(crate) fn at_unix(&self, unix_ms: Millis) -> Option<Millis> {
        (unix_ms > 0.0).then(|| (unix_ms - self.unix_start).min(self.at(Instant::now())))
    }
}

/// Converts the policy's milliseconds to a [`Duration`], clamped to what clocks can represent.
pub(crate) fn duration(ms: Millis) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, 86_400_000.0) / 1000.0)
}

/// Converts a [`Duration`] to milliseconds.
pub(crate) fn ms(duration: Duration) -> Millis {
    duration.as_secs_f64() * 1000.0
}

#[cfg(test)]
mod tests;
