//! The node's lifecycle and what follows from it. Pure: all times are arguments, and nothing here does I/O.

use std::time::{Duration, Instant};

/// How long after the start of a drain responses begin to close their connections. Before that the front may
/// not know of the drain yet, and a client that is disconnected would reconnect to this node.
const RESPONSES_CLOSE_AFTER: Duration = Duration::from_millis(300);
/// How long after the start of a drain idle connections begin to be closed.
const IDLE_CLOSE_AFTER: Duration = Duration::from_millis(700);
/// How long a connection must have been idle to be closed in the first phase. A connection in use is closed
/// by its next response instead, which can't race with a new request.
const IDLE_MIN_EARLY: Duration = Duration::from_millis(600);
/// How long after the start of a drain a connection has had its chance to be closed by a response. From then
/// on the shorter [`IDLE_MIN_LATE`] applies, so that a drained node soon has no idle connections.
const IDLE_LATE_AFTER: Duration = Duration::from_millis(1400);
/// How long a connection that was just accepted, or has just got a response, may take to send its next
/// request.
const IDLE_MIN_LATE: Duration = Duration::from_millis(200);

/// For how long at least a listener of the node's own accepts connections after SIGTERM.
const ACCEPT_MIN: Duration = Duration::from_millis(500);
/// SIGKILL, which resets all open connections, may come this long after SIGTERM: the longest deadline of a
/// client, of which at most the first value counts, plus the second value.
const KILL_GRACE: (Duration, Duration) = (Duration::from_millis(3000), Duration::from_millis(700));
/// How long before a possible SIGKILL the node begins to close connections.
const CLOSE_BEFORE: Duration = Duration::from_millis(1400);
/// How long before a possible SIGKILL the node fails the requests that are still open.
const FAIL_BEFORE: Duration = Duration::from_millis(500);
/// How long before a possible SIGKILL the node exits at the latest.
const EXIT_BEFORE: Duration = Duration::from_millis(200);

/// The phase of a node's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has no server list yet.
    Starting,
    /// It serves.
    Serving,
    /// It has been draining since this time: it sends its clients away, but still serves those that come.
    Draining(Instant),
    /// It has been stopping since this time.
    Stopping(Instant),
}

/// The node's lifecycle state, shared by all its workers.
#[derive(Clone, Copy, Debug)]
pub struct Lifecycle {
    phase: Phase,
    /// Whether the listening socket is also inherited by the next process.
    shared: bool,
    /// How long after SIGTERM a SIGKILL may come.
    kill_after: Duration,
}

impl Lifecycle {
    /// The state of a node at its start. `longest_deadline` is the longest time that a client waits, in
    /// milliseconds; `shared` means that the listening socket belongs to the platform and the next process
    /// accepts from it too.
    pub fn new(longest_deadline: f64, shared: bool) -> Self {
        let max = KILL_GRACE.0.as_secs_f64();
        let longest = Duration::from_secs_f64((longest_deadline / 1000.0).clamp(0.0, max));
        Self { phase: Phase::Starting, shared, kill_after: KILL_GRACE.1 + longest }
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether the listening socket belongs to the platform.
    pub fn has_shared_socket(&self) -> bool {
        self.shared
    }

    // ---- Events ----

    /// A server list has been received.
    pub fn list_received(&mut self) {
        if self.phase == Phase::Starting {
            self.phase = Phase::Serving;
        }
    }

    /// Starts a drain; returns false if the node is stopping. A drain in progress keeps its start time.
    pub fn drain(&mut self, now: Instant) -> bool {
        match self.phase {
            Phase::Starting | Phase::Serving => self.phase = Phase::Draining(now),
            Phase::Draining(_) => {}
            Phase::Stopping(_) => return false,
        }
        true
    }

    /// Ends a drain; returns false if the node is stopping. Whether the node has a server list by now must be
    /// checked by the caller.
    pub fn activate(&mut self) -> bool {
        match self.phase {
            Phase::Draining(_) => self.phase = Phase::Serving,
            Phase::Starting | Phase::Serving => {}
            Phase::Stopping(_) => return false,
        }
        true
    }

    /// Begins to stop, from any phase. A repeated call changes nothing.
    pub fn stop(&mut self, now: Instant) {
        if self.stopping_since().is_none() {
            self.phase = Phase::Stopping(now);
        }
    }

    // ---- Consequences ----

    /// When the node began to stop.
    pub fn stopping_since(&self) -> Option<Instant> {
        match self.phase {
            Phase::Stopping(since) => Some(since),
            _ => None,
        }
    }

    /// When the current drain began.
    pub fn draining_since(&self) -> Option<Instant> {
        match self.phase {
            Phase::Draining(since) => Some(since),
            _ => None,
        }
    }

    /// Returns whether this process wants clients.
    pub fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Returns whether `/ready` succeeds. It describes the node, not the process: where the next process
    /// accepts from the same socket, the node stays ready while this process stops.
    pub fn is_ready(&self) -> bool {
        self.is_serving() || (self.shared && self.stopping_since().is_some())
    }

    /// Returns whether responses close their connections.
    pub fn closes_after_response(&self, now: Instant) -> bool {
        match self.phase {
            Phase::Starting | Phase::Serving => false,
            Phase::Draining(since) => now >= since + RESPONSES_CLOSE_AFTER,
            // With a shared socket a client that reconnects reaches the next process.
            Phase::Stopping(_) => self.shared || self.may_be_killed_within(now, CLOSE_BEFORE),
        }
    }

    /// How long a connection must have been idle to be closed now; `None` where the normal idle timeout
    /// applies.
    pub fn idle_close_after(&self, now: Instant) -> Option<Duration> {
        let (since, from, late) = match self.phase {
            Phase::Starting | Phase::Serving => return None,
            Phase::Draining(since) => (since, IDLE_CLOSE_AFTER, IDLE_LATE_AFTER),
            Phase::Stopping(since) => {
                let late = self.kill_after.saturating_sub(CLOSE_BEFORE);
                let late = if self.shared {
                    self.kill_after.saturating_sub(FAIL_BEFORE + IDLE_MIN_LATE)
                } else {
                    late
                };
                (since, if self.shared { Duration::ZERO } else { late }, late)
            }
        };
        let age = now.saturating_duration_since(since);
        (age >= from).then_some(if age >= late { IDLE_MIN_LATE } else { IDLE_MIN_EARLY })
    }

    /// Returns whether a node with `clients` connections still accepts new ones.
    ///
    /// A stopping node with a listener of its own keeps accepting as usual for most of the time that it has.
    /// If it sent all clients away at once and they had nowhere to go, because the node that was restarted
    /// before is not back yet or the others are down or full, all their requests would fail. Besides, a
    /// single refused connection makes a front take the node for dead, together with all its open
    /// connections. Accepting also spares the other nodes a rush of new connections while there are fewer of
    /// them. The cost: the process takes longer to end, and a node that is stopped because it serves badly
    /// goes on doing so.
    pub fn accepts_connections(&self, now: Instant, clients: usize) -> bool {
        let Phase::Stopping(since) = self.phase else { return true };
        let early = now.saturating_duration_since(since) < ACCEPT_MIN;
        !self.shared && (early || (clients > 0 && !self.may_be_killed_within(now, CLOSE_BEFORE)))
    }

    /// Returns whether the requests that are still open are failed now: SIGKILL may come soon, and an error
    /// response is better than a connection reset.
    pub fn fails_open_requests(&self, now: Instant) -> bool {
        self.may_be_killed_within(now, FAIL_BEFORE)
    }

    /// Returns whether the process must exit now, whatever is still open.
    pub fn must_exit(&self, now: Instant) -> bool {
        self.may_be_killed_within(now, EXIT_BEFORE)
    }

    /// Returns whether SIGKILL may come within `before`.
    fn may_be_killed_within(&self, now: Instant, before: Duration) -> bool {
        let after = self.kill_after.saturating_sub(before);
        self.stopping_since().is_some_and(|since| now.saturating_duration_since(since) >= after)
    }
}

#[cfg(test)]
mod tests;
