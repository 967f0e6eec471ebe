//! A planned stop: withdraw, let traffic leave, drain.

use std::time::Duration;

/// What the carrier does now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Serve; the addresses are being withdrawn, the lease handed on.
    Withdrawing,
    /// Serve; clients are being steered away.
    AwaitingIdle,
    /// Take no new request, finish the open ones, end.
    Draining,
}

/// A planned stop under way.
#[derive(Clone, Debug)]
pub struct PlannedStop {
    phase: Phase,
    phase_deadline: Duration,
    idle_time: Duration,
    idle_wait_max: Duration,
    idle_since: Option<Duration>,
}

impl PlannedStop {
    /// Begins at `now`. Withdrawing lasts at most `withdraw_max` (the log may be lost), leaving at most `leave_max`; no
    /// request open for `settle` is taken as gone: longer than the router needs to follow a withdrawal.
    pub fn new(now: Duration, withdraw_max: Duration, idle_wait_max: Duration, idle_time: Duration) -> Self {
        Self {
            phase: Phase::Withdrawing,
            phase_deadline: now + withdraw_max,
            idle_time,
            idle_wait_max,
            idle_since: None,
        }
    }

    /// What to do at `now`: `withdrawn` says whether every line has been written that withdraws, `open` how many requests
    /// are open.
    pub fn step(&mut self, now: Duration, withdrawn: bool, open_requests: u64) -> Phase {
        if self.phase == Phase::Withdrawing && (withdrawn || now >= self.phase_deadline) {
            self.phase = Phase::AwaitingIdle;
            self.phase_deadline = now + self.idle_wait_max;
        }
        if self.phase == Phase::AwaitingIdle {
            self.idle_since = if open_requests == 0 { self.idle_since.or(Some(now)) } else { None };
            if now >= self.phase_deadline || self.idle_since.is_some_and(|at| now >= at + self.idle_time) {
                self.phase = Phase::Draining;
            }
        }
        self.phase
    }
}

#[cfg(test)]
mod tests;
