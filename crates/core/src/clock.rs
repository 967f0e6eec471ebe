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

    /// A past moment of Unix time in the policy's, by one offset for the node's whole life. One that lies ahead was just now:
    /// this machine's wall clock was behind when the node began.
    pub(crate) fn at_unix(&self, unix_ms: Millis) -> Option<Millis> {
        (unix_ms > 0.0).then(|| (unix_ms - self.unix_start).min(self.at(Instant::now())))
    }
}

/// A span of the policy's as one of the runtime's, within what clocks can hold.
pub(crate) fn span(ms: Millis) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, 86_400_000.0) / 1000.0)
}

/// A span in milliseconds.
pub(crate) fn ms(span: Duration) -> Millis {
    span.as_secs_f64() * 1000.0
}

#[cfg(test)]
mod tests;
