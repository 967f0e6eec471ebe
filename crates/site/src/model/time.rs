//! Virtual time: whole microseconds since the start of the site. Integers make simultaneous events equal in
//! every build, so that a separate order decides between them.

use magpietally_policy::Millis;

/// Microseconds since the start of the site, or a duration in microseconds.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;

/// Converts to the policy's milliseconds.
pub fn millis(time: Micros) -> Millis {
    time as f64 / 1000.0
}

/// Converts from milliseconds. Negative values and NaN give 0; values above one day give one day.
pub fn micros(ms: Millis) -> Micros {
    (ms.clamp(0.0, 86_400_000.0) * 1000.0).round() as Micros
}

/// Converts from seconds.
pub fn seconds(s: f64) -> Micros {
    micros(s * 1000.0)
}
