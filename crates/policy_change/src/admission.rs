//! One request at the gate: under which version it is decided, or that it has to wait a moment, or that it is refused.

use std::fmt;
use std::time::Duration;

use crate::entry::Version;
use crate::protocol::PolicyChange;
#[cfg(any(test, feature = "planted"))]
use crate::settings::InjectedFault;
use crate::settings::WithoutLease;

/// A node that was not asked anything for so long is taken as having been stopped: three of its own beats. A shorter stop
/// is not told from a slow moment.
pub(crate) const STALL: Duration = Duration::from_millis(150);
/// What a refused client is asked to wait while a lease is missing: about the time a node needs to get one.
const RETRY_WITHOUT_LEASE: Duration = Duration::from_secs(2);
/// What a refused client is asked to wait while a version closes: past the usual hold.
const RETRY_WHILE_CLOSING: Duration = Duration::from_secs(1);

/// The version that one request is decided under, from its arrival to its end. The carrier keeps the parsed document of
/// that version with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Epoch {
    /// Which version.
    pub version: Version,
    /// When it was given, by the node's boot clock.
    pub(crate) started_at: Duration,
}

impl Epoch {
    /// The epoch that a request was given at `begun`, from a carrier that keeps its parts.
    pub fn from_parts(version: Version, started_at: Duration) -> Self {
        Self { version, started_at }
    }
}

/// A place among the held requests. To be handed back to [`PolicyChange::readmit`] or [`PolicyChange::abandon`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a held request's place is freed by readmit() or abandon()"]
pub struct QueueSlot {
    /// Until when the request is held at most, by the node's boot clock.
    pub expires_at: Duration,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// This node holds no lease: it has just started, is cut off from the log, or was stopped.
    NoLease,
    /// Its own check refuses the active document (it joined after the others had accepted it).
    InvalidDocument,
    /// It is leaving.
    Leaving,
    /// The version closes, and the request can't be held: too many are, or it has too little time, or was held too long.
    Closing,
}

/// A request that is not decided: 503 with `Retry-After`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why.
    pub reason: RejectionReason,
    /// After how long the client may come again; the header takes it rounded up to whole seconds.
    pub retry_after: Duration,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.reason {
            RejectionReason::NoLease => "this node holds no lease on the policy",
            RejectionReason::InvalidDocument => "this node's check refuses the active policy",
            RejectionReason::Leaving => "this node is leaving",
            RejectionReason::Closing => "the policy is being changed",
        })
    }
}

/// What becomes of a request that arrives.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is decided under this version.
    Admit(Epoch),
    /// It is held: to be asked again when the room's [`PolicyChange::reopen_count`] changes, and at the ticket's end.
    Queue(QueueSlot),
    /// It is refused.
    Reject(Rejection),
}

/// What the gate counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Requests that were held.
    pub queued: u64,
    /// Requests that were refused.
    pub rejected: u64,
    /// How often a version closed at this node and opened again (or the next did).
    pub closings: u64,
    /// The last closing's length.
    pub last_closing: Duration,
    /// The longest closing's length.
    pub longest_closing: Duration,
}

impl PolicyChange {
    /// Whether this node may decide a **new** request at `now`, and under which version: one call, no I/O. `now` has to be
    /// read at this very moment.
    ///
    /// # Errors
    /// Why it may not; [`RejectionReason::Closing`] while a version closes.
    pub fn admissible_version(&self, now: Duration) -> Result<Version, RejectionReason> {
        if self.leaving {
            return Err(RejectionReason::Leaving);
        }
        if !self.has_lease(now) {
            return Err(RejectionReason::NoLease);
        }
        if self.document_error.is_some() {
            return Err(RejectionReason::InvalidDocument);
        }
        if self.closed_at.is_some() {
            return Err(RejectionReason::Closing);
        }
        #[cfg(any(test, feature = "planted"))]
        if let (true, Some(c)) = (self.settings.injected(InjectedFault::ServesProposed), &self.state.change) {
            return Ok(c.version);
        }
        Ok(self.state.active)
    }

    /// A request arrives with so much of its own time left.
    pub fn admit(&mut self, now: Duration, left: Duration) -> Admission {
        self.detect_pause(now);
        self.admit_or_queue(now, None, left)
    }

    /// A held request asks again.
    pub fn readmit(&mut self, now: Duration, ticket: QueueSlot) -> Admission {
        self.detect_pause(now);
        self.held_now = self.held_now.saturating_sub(1);
        self.admit_or_queue(now, Some(ticket.expires_at), Duration::MAX)
    }

    /// A held request went away.
    pub fn abandon(&mut self, ticket: QueueSlot) {
        let QueueSlot { expires_at: _ } = ticket;
        self.held_now = self.held_now.saturating_sub(1);
    }

    fn admit_or_queue(&mut self, now: Duration, expires_at: Option<Duration>, left: Duration) -> Admission {
        let reason = match self.admissible_version(now) {
            Ok(version) => return Admission::Admit(Epoch { version, started_at: now }),
            Err(reason) => reason,
        };
        if reason == RejectionReason::Closing {
            // Held from its own arrival on, but never past the closing's bound: a change that hangs parks nobody.
            let latest = self.closed_at.unwrap_or(now) + self.settings.queue_timeout;
            let expires_at = expires_at.unwrap_or(latest).min(latest);
            let fits = left >= expires_at.saturating_sub(now).saturating_add(self.settings.min_time_left);
            if now < expires_at && fits && self.held_now < self.settings.queue_max {
                self.held_now += 1;
                self.metrics.queued += 1;
                return Admission::Queue(QueueSlot { expires_at });
            }
        }
        self.metrics.rejected += 1;
        let retry_after = match reason {
            RejectionReason::Closing => RETRY_WHILE_CLOSING,
            _ => RETRY_WITHOUT_LEASE,
        };
        Admission::Reject(Rejection { reason, retry_after })
    }

    /// Whether a request that was begun may be decided (again) under its version at `now`: the first choice of a server and
    /// every retry ask at that very moment. It may, also when a newer version has taken hold since or the lease ran out
    /// while the node ran (it finishes what it has); it may not when, since the request began, the node was stopped and its
    /// version was over before, or the stop outlasted its lease or fell into a closing: the next may have taken hold
    /// meanwhile.
    ///
    /// # Errors
    /// The refusal to answer it with.
    pub fn check_epoch(&mut self, now: Duration, epoch: &Epoch) -> Result<(), Rejection> {
        self.detect_pause(now);
        let old = epoch.started_at < self.last_stop && epoch.version != self.state.active;
        if old || epoch.started_at < self.void_before {
            self.metrics.rejected += 1;
            return Err(Rejection { reason: RejectionReason::NoLease, retry_after: RETRY_WITHOUT_LEASE });
        }
        Ok(())
    }

    /// Whether `/ready` says 200: this node holds a lease on the active version, can take its document, and no closing has
    /// outlasted the hold.
    pub fn is_ready(&self, now: Duration) -> bool {
        match self.admissible_version(now) {
            Ok(_) => true,
            Err(RejectionReason::Closing) => {
                self.closed_at.is_some_and(|at| now.saturating_sub(at) < self.settings.queue_timeout)
            }
            Err(_) => false,
        }
    }

    /// Changes whenever held requests should ask again: a version opened.
    pub fn reopen_count(&self) -> u64 {
        self.metrics.closings
    }

    /// What the gate counted.
    pub fn metrics(&self) -> Metrics {
        self.metrics
    }

    /// Requests held at this moment.
    pub fn queued(&self) -> usize {
        self.held_now
    }

    pub(crate) fn has_lease(&self, now: Duration) -> bool {
        #[cfg(any(test, feature = "planted"))]
        if self.settings.injected(InjectedFault::ServesAfterLease) && self.held.is_some() {
            return true;
        }
        let holds = match self.settings.without_lease {
            WithoutLease::Stop => self.held.is_some_and(|h| h.is_valid(now)),
            // Granted once in this session, and not ended by the log since.
            WithoutLease::Serve => self.held.is_some(),
        };
        holds && self.state.members.contains_key(&self.me)
    }

    /// Every call that may come first after a stop passes here before it does anything else.
    pub(crate) fn detect_pause(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_seen);
        self.last_seen = self.last_seen.max(now);
        if gap <= STALL {
            return;
        }
        self.last_stop = now;
        if self.closed_at.is_some() || !self.has_lease(now) {
            self.void_before = now;
        }
    }
}
