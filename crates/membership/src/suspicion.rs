//! The room's own watch over suspects: no suspicion outlives its bound, whatever happened to who holds it.
//!
//! `foca` ends a suspicion by a timer of the node whose own probe failed. That leaves three gaps: who only heard of the
//! suspicion has no timer; a holder that renews its identity drops the timer it had (its token is of the old identity);
//! and the suspected hears of it only while the update is still passed on, a few times after it was made. A suspicion
//! that falls into all three stays for good. The watch closes them: it counts how long each suspicion has been held, has
//! the suspected told directly so that it can refute, and gives the suspicion up for a death when its time is over.
//!
//! Its clock counts only time in which the room ran: a node that was stopped with suspicions on its hands wakes with
//! as much of their time left as it had, and the suspected has a chance to be heard first.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::NodeId;
use crate::protocol::Settings;

/// Suspicions watched at once. More than a fleet of this size can suspect together is not planned for; what does not
/// fit waits until another ends, and is watched from then.
pub const TRACKED_SUSPICIONS_MAX: usize = 4096;
/// Suspects told in one look, so that a side of a cut that suspects the whole other side sends no burst.
pub const SUSPICION_NOTICES_MAX: usize = 32;
/// Looks in a probe period: fine enough that a look's wait does not show in the bound, coarse enough to cost nothing.
const LOOKS_A_PERIOD: u32 = 4;
/// The watch's limit is this many probe periods past the time after which the prober declares a death: one for its
/// word to come, and one for the last refutation to come first.
const PERIODS_AFTER_PROBER: u32 = 2;
/// What the bound has past the limit, in probe periods, for the wait until a look sees a suspicion and the wait until
/// one ends it: two looks, and as much again for a room that is late.
const PERIODS_FOR_LOOKS: u32 = 1;
/// A suspicion is told directly once it is this part of the time old: gossip refutes most of them before, and in a
/// large fleet not every holder need ask the one suspected.
const TELL_AFTER_PART: u32 = 4;

impl Settings {
    /// How long a view holds an identity for suspect under one incarnation at most, in time in which its node ran.
    pub fn suspicion_max(&self) -> Duration {
        self.suspicion() + self.probe_period * (PERIODS_AFTER_PROBER + PERIODS_FOR_LOOKS)
    }
}

/// What a look asks the room to do.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Due {
    /// To be told that they are suspected, under which incarnation.
    pub tell: Vec<(NodeId, u16)>,
    /// To be declared dead.
    pub dead: Vec<(NodeId, u16)>,
}

/// How long a suspicion has been held, on the watch's clock.
struct Held {
    since: Duration,
    tell_at: Duration,
}

/// The watch of one room.
pub(crate) struct SuspicionTracker {
    every: Duration,
    tell_after: Duration,
    tell_again: Duration,
    limit: Duration,
    /// The watch's clock: time in which the room ran.
    ran: Duration,
    last_tick: Option<Duration>,
    next_look: Duration,
    held: BTreeMap<(NodeId, u16), Held>,
}

impl SuspicionTracker {
    pub(crate) fn new(settings: &Settings) -> Self {
        let suspicion = settings.suspicion();
        Self {
            every: settings.probe_period / LOOKS_A_PERIOD,
            tell_after: suspicion / TELL_AFTER_PART,
            tell_again: settings.probe_period,
            limit: suspicion + settings.probe_period * PERIODS_AFTER_PROBER,
            ran: Duration::ZERO,
            last_tick: None,
            next_look: Duration::ZERO,
            held: BTreeMap::new(),
        }
    }

    /// The room runs at `now`. Returns how much of the time since it last ran it cannot have run in: a room that runs
    /// is called at least once a look, so of a longer gap two looks count, the second for a carrier that is late.
    pub(crate) fn advance(&mut self, now: Duration) -> Duration {
        let gap = self.last_tick.map_or(Duration::ZERO, |last| now.saturating_sub(last));
        self.last_tick = Some(self.last_tick.map_or(now, |last| last.max(now)));
        let counted = gap.min(self.every * 2);
        self.ran += counted;
        gap - counted
    }

    /// When the next look is due, once the room has begun to run.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.last_tick.map(|_| self.next_look)
    }

    /// Whether a look is due at `now`; if so, [`SuspicionTracker::look`] is to follow.
    pub(crate) fn is_due(&mut self, now: Duration) -> bool {
        if now < self.next_look {
            return false;
        }
        self.next_look = now + self.every;
        true
    }

    /// The view holds `suspects` now: who is to be told, and whose time is over.
    pub(crate) fn look(&mut self, suspects: impl Iterator<Item = (NodeId, u16)>) -> Due {
        let mut before = std::mem::take(&mut self.held);
        for key in suspects.take(TRACKED_SUSPICIONS_MAX) {
            let held =
                before.remove(&key).unwrap_or(Held { since: self.ran, tell_at: self.ran + self.tell_after });
            self.held.insert(key, held);
        }
        let mut due = Due::default();
        for (key, held) in &mut self.held {
            if self.ran - held.since >= self.limit {
                due.dead.push(key.clone());
            } else if held.tell_at <= self.ran && due.tell.len() < SUSPICION_NOTICES_MAX {
                held.tell_at = self.ran + self.tell_again;
                due.tell.push(key.clone());
            }
        }
        due
    }
}

#[cfg(test)]
mod tests;
