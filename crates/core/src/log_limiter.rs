//! A bound on log lines about single requests.

use std::cell::Cell;

/// Lines that are logged in a second; further ones are counted.
const PER_SECOND: u32 = 40;

/// Bounds what is logged of single requests: a day on which all fail must not cost the node its core.
#[derive(Default)]
pub struct LogLimiter {
    left: Cell<u32>,
    dropped: Cell<u64>,
}

impl LogLimiter {
    /// Calls `log` while this second has room for a line.
    pub fn log(&self, log: impl FnOnce()) {
        match self.left.get() {
            0 => self.dropped.set(self.dropped.get() + 1),
            left => {
                self.left.set(left - 1);
                log();
            }
        }
    }

    /// A new second begins; gives how many lines the old one had no room for.
    pub fn start_second(&self) -> u64 {
        self.left.set(PER_SECOND);
        self.dropped.take()
    }
}
