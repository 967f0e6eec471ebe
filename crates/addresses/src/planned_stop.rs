//! A planned stop of a node: withdraw its routes, wait until traffic has moved away, then drain.

use std::time::Duration;

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Still serving; the addresses are being withdrawn and the lease is handed over.
    Withdrawing,
    /// Still serving; the routers move clients to other nodes.
    AwaitingIdle,
    /// Accept no new requests, finish the open ones, then exit.
    Draining,
}

/// A planned stop in progress.
#[derive(Clone, Debug)]
pub struct PlannedStop {
    phase: Phase,
    phase_deadline: Duration,
    idle_time: Duration,
    idle_wait_max: Duration,
    idle_since: Option<Duration>,
}

impl PlannedStop {
    /// Begins a stop at `now`. Withdrawing lasts at most `withdraw_max`, because the log may be unreachable;
    /// waiting for idleness lasts at most `idle_wait_max`. Traffic has moved away when no request was open
    /// for `idle_time`, which has to be longer than the router takes to apply a withdrawal.
    pub fn new(now: Duration, withdraw_max: Duration, idle_wait_max: Duration, idle_time: Duration) -> Self {
        Self {
            phase: Phase::Withdrawing,
            phase_deadline: now + withdraw_max,
            idle_time,
            idle_wait_max,
            idle_since: None,
        }
    }

    /// Returns the phase at `now`. `withdrawn` is whether all withdrawals have been written, `open_requests`
    /// the number of open requests.
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
