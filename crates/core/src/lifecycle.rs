//! What the node is doing, and what follows from it. Pure: every time is an argument, and nothing here moves a byte.

use std::time::{Duration, Instant};

/// From when a drained node's answers close their connections: until then the front may not know yet, and who is sent
/// away would come back.
const ANSWERS_CLOSE: Duration = Duration::from_millis(300);
/// From when a drained node closes what is idle.
const IDLE_CLOSE: Duration = Duration::from_millis(700);
/// How long a connection must have been idle for that at first: one that is in use is told by its next answer instead,
/// which can't cross a request.
const IDLE_FIRST: Duration = Duration::from_millis(600);
/// From when it has had its chance. A drained node has nobody idle soon after.
const IDLE_LATE: Duration = Duration::from_millis(1400);
/// What has just come, or was just answered, has this long to say something.
const FRESH: Duration = Duration::from_millis(200);

/// How long connections still come to an own listener after SIGTERM, at the least.
const ACCEPT: Duration = Duration::from_millis(500);
/// How soon after SIGTERM SIGKILL may come, which resets what it finds: the longest deadline, within this, and so
/// much more.
const PATIENCE: (Duration, Duration) = (Duration::from_millis(3000), Duration::from_millis(700));
/// How long before that the node begins to close connections, fails what is still open, and ends at the latest.
const CLOSE_BEFORE: Duration = Duration::from_millis(1400);
const FAIL_BEFORE: Duration = Duration::from_millis(500);
const END_BEFORE: Duration = Duration::from_millis(200);

/// What a node is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has no list of servers yet.
    Starting,
    /// It serves.
    Serving,
    /// It was told to send its clients away, then; it serves those that still come.
    Draining(Instant),
    /// It was told to end, then.
    Stopping(Instant),
}

/// The node's state, for all its workers.
#[derive(Clone, Copy, Debug)]
pub struct Lifecycle {
    doing: Phase,
    /// It listens on a socket that the next process inherits, too.
    shared: bool,
    /// When SIGKILL may come, counted from SIGTERM.
    patience: Duration,
}

impl Lifecycle {
    /// A node at its start. `longest_deadline` is the longest that a client waits, in milliseconds; `shared` says that the
    /// listening socket is the platform's, and the next process accepts from it too.
    pub fn new(longest_deadline: f64, shared: bool) -> Self {
        let most = PATIENCE.0.as_secs_f64();
        let longest = Duration::from_secs_f64((longest_deadline / 1000.0).clamp(0.0, most));
        Self { doing: Phase::Starting, shared, patience: PATIENCE.1 + longest }
    }

    /// What it is doing.
    pub fn phase(&self) -> Phase {
        self.doing
    }

    /// Is the listening socket the platform's?
    pub fn has_shared_socket(&self) -> bool {
        self.shared
    }

    // ---- What happens ----

    /// It has a list of servers.
    pub fn list_received(&mut self) {
        if self.doing == Phase::Starting {
            self.doing = Phase::Serving;
        }
    }

    /// It is to send its clients away; false where it ends anyway. A drain that goes on keeps its beginning.
    pub fn drain(&mut self, now: Instant) -> bool {
        match self.doing {
            Phase::Starting | Phase::Serving => self.doing = Phase::Draining(now),
            Phase::Draining(_) => {}
            Phase::Stopping(_) => return false,
        }
        true
    }

    /// It is to serve again; false where it ends. Whether it has a list by now is for those to say who have it.
    pub fn activate(&mut self) -> bool {
        match self.doing {
            Phase::Draining(_) => self.doing = Phase::Serving,
            Phase::Starting | Phase::Serving => {}
            Phase::Stopping(_) => return false,
        }
        true
    }

    /// It is to end, whatever it was doing. To be told so again changes nothing.
    pub fn stop(&mut self, now: Instant) {
        if self.stopping_since().is_none() {
            self.doing = Phase::Stopping(now);
        }
    }

    // ---- What follows ----

    /// Since when it is to end.
    pub fn stopping_since(&self) -> Option<Instant> {
        match self.doing {
            Phase::Stopping(since) => Some(since),
            _ => None,
        }
    }

    /// Since when it has been drained.
    pub fn draining_since(&self) -> Option<Instant> {
        match self.doing {
            Phase::Draining(since) => Some(since),
            _ => None,
        }
    }

    /// Does this process take clients?
    pub fn is_serving(&self) -> bool {
        self.doing == Phase::Serving
    }

    /// Is `/ready` yes? Whoever asks means the node: where the next process accepts from the same socket the node is as
    /// ready as before, though this process ends.
    pub fn is_ready(&self) -> bool {
        self.is_serving() || (self.shared && self.stopping_since().is_some())
    }

    /// Do answers close their connections?
    pub fn closes_after_response(&self, now: Instant) -> bool {
        match self.doing {
            Phase::Starting | Phase::Serving => false,
            Phase::Draining(since) => now >= since + ANSWERS_CLOSE,
            // Whoever is told connects again, and comes to the next process.
            Phase::Stopping(_) => self.shared || self.killed_within(now, CLOSE_BEFORE),
        }
    }

    /// How long a connection must have been idle to be closed now, where that is sooner than it is at other times.
    pub fn idle_close_after(&self, now: Instant) -> Option<Duration> {
        let (since, from, late) = match self.doing {
            Phase::Starting | Phase::Serving => return None,
            Phase::Draining(since) => (since, IDLE_CLOSE, IDLE_LATE),
            Phase::Stopping(since) => {
                let late = self.patience.saturating_sub(CLOSE_BEFORE);
                let late = if self.shared { self.patience.saturating_sub(FAIL_BEFORE + FRESH) } else { late };
                (since, if self.shared { Duration::ZERO } else { late }, late)
            }
        };
        let age = now.saturating_duration_since(since);
        (age >= from).then_some(if age >= late { FRESH } else { IDLE_FIRST })
    }

    /// Is a connection still accepted, of a node that has so many? A stopping node with a listener of its own goes on for
    /// most of the time that it has as if nothing were. Where each client were sent away at once, and had nowhere to go as
    /// the node that was restarted before is not back yet or the others are down or full, all its requests would fail; and
    /// one connection that is refused makes a front take the node for gone, with all that are open. It also spares the
    /// others a rush of new connections when they are fewer. It does harm where whoever waits for the end of this process is
    /// in a hurry, or where a node is stopped because it serves badly.
    pub fn accepts_connections(&self, now: Instant, clients: usize) -> bool {
        let Phase::Stopping(since) = self.doing else { return true };
        let early = now.saturating_duration_since(since) < ACCEPT;
        !self.shared && (early || (clients > 0 && !self.killed_within(now, CLOSE_BEFORE)))
    }

    /// Is what is still open failed? SIGKILL is near, and an answer is better than a reset.
    pub fn fails_open_requests(&self, now: Instant) -> bool {
        self.killed_within(now, FAIL_BEFORE)
    }

    /// Does it end, with whatever is left?
    pub fn must_exit(&self, now: Instant) -> bool {
        self.killed_within(now, END_BEFORE)
    }

    /// May SIGKILL come within so long?
    fn killed_within(&self, now: Instant, before: Duration) -> bool {
        let after = self.patience.saturating_sub(before);
        self.stopping_since().is_some_and(|since| now.saturating_duration_since(since) >= after)
    }
}

#[cfg(test)]
mod tests;
