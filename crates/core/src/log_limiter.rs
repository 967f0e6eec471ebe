//! A rate limit on log lines about single requests.

use std::cell::Cell;

/// Lines that may be logged in a second; further ones are only counted.
const LINES_PER_SECOND: u32 = 40;

/// Limits the log lines about single requests, so that logging can't take up a core when all requests fail.
#[derive(Default)]
pub struct LogLimiter {
    left: Cell<u32>,
    dropped: Cell<u64>,
}

impl LogLimiter {
    /// Calls `log` unless the lines of this second are used up; then the line is counted as dropped.
    pub fn log(&self, log: impl FnOnce()) {
        match self.left.get() {
            0 => self.dropped.set(self.dropped.get() + 1),
            left => {
                self.left.set(left - 1);
                log();
            }
        }
    }

    /// Starts a new second; returns how many lines were dropped in the last one.
    pub fn start_second(&self) -> u64 {
        self.left.set(LINES_PER_SECOND);
        self.dropped.take()
    }
}
