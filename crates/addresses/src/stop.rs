//! A planned stop: withdraw, let traffic leave, drain.

use std::time::Duration;

/// What the carrier does now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Serve; the addresses are being withdrawn, the lease handed on.
    Withdrawing,
    /// Serve; clients are being steered away.
    Leaving,
    /// Take no new request, finish the open ones, end.
    Drain,
}

/// A planned stop under way.
#[derive(Clone, Debug)]
pub struct Stop {
    phase: Phase,
    until: Duration,
    settle: Duration,
    leave_max: Duration,
    quiet: Option<Duration>,
}

impl Stop {
    /// Begins at `now`. Withdrawing lasts at most `withdraw_max` (the log may be lost), leaving at most `leave_max`; no
    /// request open for `settle` is taken as gone: longer than the router needs to follow a withdrawal.
    pub fn new(now: Duration, withdraw_max: Duration, leave_max: Duration, settle: Duration) -> Self {
        Self { phase: Phase::Withdrawing, until: now + withdraw_max, settle, leave_max, quiet: None }
    }

    /// What to do at `now`: `withdrawn` says whether every line has been written that withdraws, `open` how many requests
    /// are open.
    pub fn step(&mut self, now: Duration, withdrawn: bool, open: u64) -> Phase {
        if self.phase == Phase::Withdrawing && (withdrawn || now >= self.until) {
            self.phase = Phase::Leaving;
            self.until = now + self.leave_max;
        }
        if self.phase == Phase::Leaving {
            self.quiet = if open == 0 { self.quiet.or(Some(now)) } else { None };
            if now >= self.until || self.quiet.is_some_and(|at| now >= at + self.settle) {
                self.phase = Phase::Drain;
            }
        }
        self.phase
    }
}

#[cfg(test)]
mod tests;
