//! Tracks how long each suspicion has lasted and bounds its duration.
//!
//! `foca` ends a suspicion by a timer at the node whose own probe failed. Three cases remain uncovered: a
//! node that learned of the suspicion by gossip has no timer; a node that renews its identity loses its
//! timer, whose token belongs to the old identity; and the suspect itself learns of the suspicion only while
//! the update is still being retransmitted, a few times after it was made. A suspicion to which all three
//! apply would never end. The tracker therefore measures how long each suspicion has lasted, has the suspect
//! notified directly so that it can refute the suspicion, and has it declared dead when the limit is reached.
//!
//! The tracker's clock counts only time in which the node ran. A node that was stopped while it held
//! suspicions resumes with their remaining time unchanged, so the suspects' refutations can be received
//! first.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::NodeId;
use crate::protocol::Settings;

/// Maximum number of suspicions tracked at the same time, which covers a fleet of this many nodes. Further
/// suspicions are tracked once others have ended.
pub const TRACKED_SUSPICIONS_MAX: usize = 4096;
/// Maximum number of suspects notified in one check, so that a node that suspects the whole other side of a
/// partition does not send a burst.
pub const SUSPICION_NOTICES_MAX: usize = 32;
/// Checks per probe period: often enough that the wait for a check hardly lengthens a suspicion, rare enough
/// to cost almost nothing.
const CHECKS_PER_PERIOD: u32 = 4;
/// The tracker's limit exceeds the prober's suspicion timeout by this many probe periods: one for the
/// prober's announcement of the death to arrive, and one for a late refutation to arrive before it.
const PERIODS_AFTER_PROBER: u32 = 2;
/// Probe periods by which the guaranteed maximum exceeds the tracker's limit: one check until the suspicion
/// is noticed and one until it is ended, and the same again in case ticks are late.
const PERIODS_FOR_CHECKS: u32 = 1;
/// A suspect is notified directly after the suspicion timeout divided by this. Gossip refutes most suspicions
/// earlier, and in a large fleet not every node that suspects it has to contact the suspect.
const NOTICE_DELAY_DIVISOR: u32 = 4;

impl Settings {
    /// Returns the maximum time for which a view lists an identity as suspect under one incarnation. Only
    /// time in which the view's node ran counts.
    pub fn suspicion_max(&self) -> Duration {
        self.suspicion() + self.probe_period * (PERIODS_AFTER_PROBER + PERIODS_FOR_CHECKS)
    }
}

/// Actions that a check requests from [`crate::Membership`].
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct DueActions {
    /// Suspects to notify that they are suspected, with the incarnation.
    pub notify: Vec<(NodeId, u16)>,
    /// Suspects to declare dead, with the incarnation.
    pub declare_dead: Vec<(NodeId, u16)>,
}

/// A suspicion's start and next notice, on the tracker's clock.
struct TrackedSuspicion {
    since: Duration,
    notice_at: Duration,
}

/// Tracks the suspicions in one node's view.
pub(crate) struct SuspicionTracker {
    check_interval: Duration,
    notice_delay: Duration,
    notice_interval: Duration,
    limit: Duration,
    /// The tracker's clock: total time in which the node ran.
    running_time: Duration,
    last_tick: Option<Duration>,
    next_check: Duration,
    tracked: BTreeMap<(NodeId, u16), TrackedSuspicion>,
}

impl SuspicionTracker {
    pub(crate) fn new(settings: &Settings) -> Self {
        let suspicion = settings.suspicion();
        Self {
            check_interval: settings.probe_period / CHECKS_PER_PERIOD,
            notice_delay: suspicion / NOTICE_DELAY_DIVISOR,
            notice_interval: settings.probe_period,
            limit: suspicion + settings.probe_period * PERIODS_AFTER_PROBER,
            running_time: Duration::ZERO,
            last_tick: None,
            next_check: Duration::ZERO,
            tracked: BTreeMap::new(),
        }
    }

    /// Records that the node runs at `now`. Returns the part of the time since the last call in which it
    /// cannot have run. A running node calls this at least once per check interval, so of a longer gap two
    /// intervals count, the second to allow for a late tick.
    pub(crate) fn advance(&mut self, now: Duration) -> Duration {
        let gap = self.last_tick.map_or(Duration::ZERO, |last| now.saturating_sub(last));
        self.last_tick = Some(self.last_tick.map_or(now, |last| last.max(now)));
        let counted = gap.min(self.check_interval * 2);
        self.running_time += counted;
        gap - counted
    }

    /// Returns when the next check is due, or `None` before the first call of [`SuspicionTracker::advance`].
    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.last_tick.map(|_| self.next_check)
    }

    /// Returns whether a check is due at `now`, and if so schedules the next one. The caller must then call
    /// [`SuspicionTracker::check`].
    pub(crate) fn is_due(&mut self, now: Duration) -> bool {
        if now < self.next_check {
            return false;
        }
        self.next_check = now + self.check_interval;
        true
    }

    /// Updates the tracked suspicions to `suspects`, the current ones, and returns which suspects to notify
    /// and which to declare dead.
    pub(crate) fn check(&mut self, suspects: impl Iterator<Item = (NodeId, u16)>) -> DueActions {
        let mut previous = std::mem::take(&mut self.tracked);
        for key in suspects.take(TRACKED_SUSPICIONS_MAX) {
            let suspicion = previous.remove(&key).unwrap_or(TrackedSuspicion {
                since: self.running_time,
                notice_at: self.running_time + self.notice_delay,
            });
            self.tracked.insert(key, suspicion);
        }
        let mut due = DueActions::default();
        for (key, suspicion) in &mut self.tracked {
            if self.running_time - suspicion.since >= self.limit {
                due.declare_dead.push(key.clone());
            } else if suspicion.notice_at <= self.running_time && due.notify.len() < SUSPICION_NOTICES_MAX {
                suspicion.notice_at = self.running_time + self.notice_interval;
                due.notify.push(key.clone());
            }
        }
        due
    }
}

#[cfg(test)]
mod tests;
