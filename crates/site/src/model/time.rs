//! Virtual time: whole microseconds since the site's start. Whole numbers, so that two events at the same instant
//! are the same in every build, and an order of their own decides between them.

use magpietally_policy::Millis;

/// Microseconds since the site's start, or a span of them.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;

/// As the policy counts it.
pub fn millis(time: Micros) -> Millis {
    time as f64 / 1000.0
}

/// From milliseconds; what is negative or no number is 0, what is endless is a day.
pub fn micros(ms: Millis) -> Micros {
    (ms.clamp(0.0, 86_400_000.0) * 1000.0).round() as Micros
}

/// From seconds.
pub fn seconds(s: f64) -> Micros {
    micros(s * 1000.0)
}
