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

    /// Unix time in the policy's; the same offset for the node's whole life, as the policy takes another
    /// start time for a restart.
    pub(crate) fn at_unix(&self, unix_ms: Millis) -> Option<Millis> {
        (unix_ms > 0.0).then_some(unix_ms - self.unix_start)
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
