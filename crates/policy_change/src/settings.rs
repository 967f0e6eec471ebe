//! Settings of the policy change protocol and their validation.

use std::fmt;
use std::time::Duration;

use magpietally_consensus::{Grant, Index};
use magpietally_transport::{Name, Peer, Session};

use crate::state::TERM_RANGE_MS;

/// What a node does when it can't renew its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithoutLease {
    /// Rejects new requests and finishes those in progress: a change waits for the node no longer than its
    /// lease lasts.
    Stop,
    /// Goes on serving under the version it has: no change takes effect without this node until an operator
    /// evicts it.
    Serve,
}

/// Settings of one node's [`PolicyChange`](crate::PolicyChange). `deploy/fleet.toml` shows the defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How long a lease lasts, counted from the request for it; it is renewed every third of the term. A node
    /// that can't reach the log serves at most this long, and a change waits about this long for a dead node.
    pub term: Duration,
    /// A proposal that has not been seen decided is repeated after this time.
    pub retry_interval: Duration,
    /// How long the leader waits for the members' answers to a proposed document.
    pub vote_timeout: Duration,
    /// How long the leader waits for the members to confirm that they stopped deciding under the old version;
    /// then the change is aborted and the old version reopens.
    pub close_timeout: Duration,
    /// How long a new request is queued at most while the old version closes.
    pub queue_timeout: Duration,
    /// Maximum number of queued requests; further ones are rejected at once.
    pub queue_max: usize,
    /// A request is queued only if this much of its own deadline remains after the longest possible wait in
    /// the queue.
    pub min_time_left: Duration,
    /// Behavior when the lease can't be renewed.
    pub without_lease: WithoutLease,
    /// A fault injected to test the checker.
    #[cfg(any(test, feature = "planted"))]
    pub injected_fault: Option<InjectedFault>,
}

impl Default for Settings {
    fn default() -> Self {
        // With 10 s the lease survives a restart or a short partition, 500 nodes renew with 150 small entries
        // a second, and a change with a dead node in the fleet still takes effect well within a minute.
        let term = Duration::from_secs(10);
        Self {
            term,
            // A few round trips to a voter over a wide-area network.
            retry_interval: Duration::from_millis(250),
            // A dead member's lease expires and is ended before the vote times out.
            vote_timeout: term.mul_f64(1.1) + Duration::from_secs(5),
            // If a node dies between accepting and confirming its stop, the fleet rejects requests for at
            // most this long instead of a whole term.
            close_timeout: Duration::from_secs(2),
            // A delay that a user waiting for a page does not perceive as an outage.
            queue_timeout: Duration::from_millis(500),
            // 500 ms of traffic at 2,000 requests a second; each queued request is a connection that is open
            // anyway.
            queue_max: 1000,
            // Enough for one attempt at a server with normal response times.
            min_time_left: Duration::from_millis(500),
            without_lease: WithoutLease::Stop,
            #[cfg(any(test, feature = "planted"))]
            injected_fault: None,
        }
    }
}

/// An invalid setting, with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The term is outside [`TERM_RANGE_MS`].
    Term(Duration),
    /// `retry_interval` is zero, or above a sixth of `term`: a lease could not be requested three times
    /// within a term.
    RetryInterval(Duration),
    /// `vote_timeout` is not above [`Settings::lease_wait`]: every dead member would abort every change.
    VoteTimeout(Duration),
    /// `close_timeout` is below twice `retry_interval`: one lost confirmation would abort the change.
    CloseTimeout(Duration),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Term(d) => {
                write!(f, "term is {d:?}, it must be {} to {} ms", TERM_RANGE_MS.start(), TERM_RANGE_MS.end())
            }
            Self::RetryInterval(d) => {
                write!(f, "retry_interval is {d:?}, it must be above 0 and at most a sixth of term")
            }
            Self::VoteTimeout(d) => write!(f, "vote_timeout is {d:?}, it must be above 1.1 times term"),
            Self::CloseTimeout(d) => {
                write!(f, "close_timeout is {d:?}, it must be at least twice retry_interval")
            }
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Injects a fault by name, for tests of the checkers with whole processes. Returns whether there is a
    /// fault of this name; always false without the feature `planted`, which no build of the program has.
    pub fn inject_named(&mut self, name: &str) -> bool {
        #[cfg(any(test, feature = "planted"))]
        {
            self.injected_fault = match name {
                "serves-after-lease" => Some(InjectedFault::ServesAfterLease),
                "counts-from-answer" => Some(InjectedFault::CountsLeaseFromReply),
                "skips-barrier" => Some(InjectedFault::SkipsBarrier),
                "serves-proposed" => Some(InjectedFault::ServesProposed),
                _ => return false,
            };
            true
        }
        #[cfg(not(any(test, feature = "planted")))]
        {
            let _ = name;
            false
        }
    }

    /// Validates the settings.
    ///
    /// # Errors
    /// The first invalid setting.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if !u32::try_from(self.term.as_millis()).is_ok_and(|ms| TERM_RANGE_MS.contains(&ms)) {
            return Err(SettingsError::Term(self.term));
        }
        if self.retry_interval.is_zero() || self.retry_interval * 6 > self.term {
            return Err(SettingsError::RetryInterval(self.retry_interval));
        }
        if self.vote_timeout <= self.lease_wait() {
            return Err(SettingsError::VoteTimeout(self.vote_timeout));
        }
        if self.close_timeout < self.retry_interval * 2 {
            return Err(SettingsError::CloseTimeout(self.close_timeout));
        }
        Ok(())
    }

    /// The term in milliseconds, as entries carry it.
    pub(crate) fn term_ms(&self) -> u32 {
        u32::try_from(self.term.as_millis()).unwrap_or(*TERM_RANGE_MS.end())
    }

    /// How long another node waits, from when it learned of a grant, until it treats a lease of this term as
    /// expired.
    pub fn lease_wait(&self) -> Duration {
        let holder = Peer { name: Name::default(), session: Session::default() };
        Grant { holder, index: Index(0), term_ms: self.term_ms() }.wait()
    }

    /// Returns whether this fault is injected.
    #[cfg(any(test, feature = "planted"))]
    pub(crate) fn injected(&self, fault: InjectedFault) -> bool {
        self.injected_fault == Some(fault)
    }
}

/// A fault in a node under test, for the checker to detect.
#[cfg(any(test, feature = "planted"))]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Goes on deciding after its lease has expired.
    ServesAfterLease,
    /// Counts the lease term from when it learned of the grant instead of from its request.
    CountsLeaseFromReply,
    /// Confirms that it stopped deciding under the old version, but goes on.
    SkipsBarrier,
    /// Decides under a proposed version as soon as it learns of the proposal.
    ServesProposed,
}
