//! Admission of requests: under which version a request is decided, or whether it is queued or rejected.

use std::fmt;
use std::time::Duration;

use crate::entry::Version;
use crate::protocol::PolicyChange;
#[cfg(any(test, feature = "planted"))]
use crate::settings::InjectedFault;
use crate::settings::WithoutLease;

/// A node that was not called for longer than this is treated as having been paused: three of its own tick
/// intervals. A shorter pause can't be distinguished from ordinary delay.
pub(crate) const PAUSE_MIN: Duration = Duration::from_millis(150);
/// `Retry-After` of a rejection while the node holds no lease: about the time a node needs to get one.
const RETRY_WITHOUT_LEASE: Duration = Duration::from_secs(2);
/// `Retry-After` of a rejection while a version closes: longer than a request is usually queued.
const RETRY_WHILE_CLOSING: Duration = Duration::from_secs(1);

/// The version that one request is decided under, from its arrival to its end. The caller keeps the parsed
/// document of that version with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Epoch {
    /// The version.
    pub version: Version,
    /// When the request was admitted, on the node's boot clock.
    pub(crate) started_at: Duration,
}

impl Epoch {
    /// Restores the epoch of a request that was admitted at `started_at`, for a caller that stores the two
    /// parts.
    pub fn from_parts(version: Version, started_at: Duration) -> Self {
        Self { version, started_at }
    }
}

/// A slot in the queue of requests. It must be handed back to [`PolicyChange::readmit`] or
/// [`PolicyChange::abandon`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a queue slot is freed by readmit() or abandon()"]
pub struct QueueSlot {
    /// When the request must leave the queue, on the node's boot clock.
    pub expires_at: Duration,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// This node holds no lease: it has just started, is cut off from the log, or was paused.
    NoLease,
    /// The node's own check rejects the active document (it joined after the others had accepted it).
    InvalidDocument,
    /// The node is leaving.
    Leaving,
    /// The version closes, and the request can't be queued: the queue is full, the request has too little
    /// time left, or it has been queued for too long.
    Closing,
}

/// Rejection of a request, answered with 503 and `Retry-After`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why the request is rejected.
    pub reason: RejectionReason,
    /// After how long the client may retry; the header carries it rounded up to whole seconds.
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

/// Decision on a request that arrives.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is decided under this version.
    Admit(Epoch),
    /// The request is queued: the caller calls [`PolicyChange::readmit`] when [`PolicyChange::reopen_count`]
    /// changes or when the slot expires.
    Queue(QueueSlot),
    /// The request is rejected.
    Reject(Rejection),
}

/// Counters of admission since the node started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Requests that were queued.
    pub queued: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Closings at this node that have ended, by reopening the version or by activating the next one.
    pub closings: u64,
    /// Duration of the last closing.
    pub last_closing: Duration,
    /// Duration of the longest closing.
    pub longest_closing: Duration,
}

impl PolicyChange {
    /// The version under which this node may decide a **new** request at `now`. Does no I/O. The caller has
    /// to read the clock for `now` immediately before the call.
    ///
    /// # Errors
    /// Why the node may not decide; [`RejectionReason::Closing`] while a version closes.
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

    /// Decides on a request that arrives with `time_left` of its own deadline.
    pub fn admit(&mut self, now: Duration, time_left: Duration) -> Admission {
        self.detect_pause(now);
        self.admit_or_queue(now, None, time_left)
    }

    /// Decides again on a queued request.
    pub fn readmit(&mut self, now: Duration, slot: QueueSlot) -> Admission {
        self.detect_pause(now);
        self.queued_now = self.queued_now.saturating_sub(1);
        self.admit_or_queue(now, Some(slot.expires_at), Duration::MAX)
    }

    /// Frees the slot of a queued request that was cancelled.
    pub fn abandon(&mut self, slot: QueueSlot) {
        let QueueSlot { expires_at: _ } = slot;
        self.queued_now = self.queued_now.saturating_sub(1);
    }

    fn admit_or_queue(
        &mut self,
        now: Duration,
        expires_at: Option<Duration>,
        time_left: Duration,
    ) -> Admission {
        let reason = match self.admissible_version(now) {
            Ok(version) => return Admission::Admit(Epoch { version, started_at: now }),
            Err(reason) => reason,
        };
        if reason == RejectionReason::Closing {
            // Queued from its own arrival on, but never longer than `queue_timeout` after the closing began:
            // a change that hangs keeps no request waiting.
            let latest = self.closed_at.unwrap_or(now) + self.settings.queue_timeout;
            let expires_at = expires_at.unwrap_or(latest).min(latest);
            let fits =
                time_left >= expires_at.saturating_sub(now).saturating_add(self.settings.min_time_left);
            if now < expires_at && fits && self.queued_now < self.settings.queue_max {
                self.queued_now += 1;
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

    /// Checks whether an admitted request may be decided (again) under its version at `now`. Called
    /// immediately before the first choice of a server and before every retry.
    ///
    /// It may be decided even if a newer version has become active since, or if the lease expired while the
    /// node was running: the node finishes the requests it has. It may not be decided if the node was paused
    /// since the request was admitted and either the request's version is no longer the active one, or the
    /// pause outlasted the lease or fell into a closing: the next version may have become active during the
    /// pause.
    ///
    /// # Errors
    /// The rejection to answer the request with.
    pub fn check_epoch(&mut self, now: Duration, epoch: &Epoch) -> Result<(), Rejection> {
        self.detect_pause(now);
        let outdated = epoch.started_at < self.last_resumed && epoch.version != self.state.active;
        if outdated || epoch.started_at < self.valid_from {
            self.metrics.rejected += 1;
            return Err(Rejection { reason: RejectionReason::NoLease, retry_after: RETRY_WITHOUT_LEASE });
        }
        Ok(())
    }

    /// Returns whether `/ready` answers 200: this node holds a lease on the active version, its check accepts
    /// the document, and no closing has lasted longer than `queue_timeout`.
    pub fn is_ready(&self, now: Duration) -> bool {
        match self.admissible_version(now) {
            Ok(_) => true,
            Err(RejectionReason::Closing) => {
                self.closed_at.is_some_and(|at| now.saturating_sub(at) < self.settings.queue_timeout)
            }
            Err(_) => false,
        }
    }

    /// A counter that changes whenever a version opens; queued requests should then be readmitted.
    pub fn reopen_count(&self) -> u64 {
        self.metrics.closings
    }

    /// Counters of admission.
    pub fn metrics(&self) -> Metrics {
        self.metrics
    }

    /// The number of requests queued now.
    pub fn queued(&self) -> usize {
        self.queued_now
    }

    pub(crate) fn has_lease(&self, now: Duration) -> bool {
        #[cfg(any(test, feature = "planted"))]
        if self.settings.injected(InjectedFault::ServesAfterLease) && self.held_lease.is_some() {
            return true;
        }
        let holds = match self.settings.without_lease {
            WithoutLease::Stop => self.held_lease.is_some_and(|h| h.is_valid(now)),
            // Granted in this session and not ended by the log since.
            WithoutLease::Serve => self.held_lease.is_some(),
        };
        holds && self.state.members.contains_key(&self.me)
    }

    /// Detects that the node was paused. Every call that may be the first after a pause calls this before
    /// anything else.
    pub(crate) fn detect_pause(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_called);
        self.last_called = self.last_called.max(now);
        if gap <= PAUSE_MIN {
            return;
        }
        self.last_resumed = now;
        if self.closed_at.is_some() || !self.has_lease(now) {
            self.valid_from = now;
        }
    }
}
