//! What the operators choose.

use std::fmt;
use std::time::Duration;

use magpietally_consensus::{Grant, Index};
use magpietally_transport::{Name, Peer, Session};

use crate::state::TERM_RANGE_MS;

/// What a node does when it can't renew its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithoutLease {
    /// Refuses new requests and finishes those it has: a change waits for it at most as long as its lease.
    Stop,
    /// Goes on serving under the version it has: no change takes hold without it until an operator names it as gone.
    Serve,
}

/// The room's settings. [`Settings::default`] is what `deploy/fleet.toml` shows.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How long a lease lasts from its asking on; renewed each third of it. A node that can't reach the log serves this
    /// long at most, and a change waits this long at most for a dead one.
    pub term: Duration,
    /// What is wanted and not yet seen decided is said again after this long.
    pub retry_interval: Duration,
    /// The members' answers to a change are waited for so long, by who leads.
    pub vote_timeout: Duration,
    /// The members' word that they stopped is waited for so long, by who leads; then the change is aborted and the old
    /// version opens again.
    pub close_timeout: Duration,
    /// While the old version closes, a new request is held at most so long.
    pub queue_timeout: Duration,
    /// Requests held at one moment at most; more are refused at once.
    pub queue_max: usize,
    /// A request is held only when, after the longest hold, it still has this much of its own time left.
    pub min_time_left: Duration,
    /// What this node does when it can't renew its lease.
    pub without_lease: WithoutLease,
    /// A fault planted for the tests of the checker.
    #[cfg(any(test, feature = "planted"))]
    pub injected_fault: Option<InjectedFault>,
}

impl Default for Settings {
    fn default() -> Self {
        // Ten seconds: a restart or a short cut passes without a lapse, 500 nodes renew with 150 small entries a second,
        // and a change with a dead node in the fleet still takes hold well within a minute.
        let term = Duration::from_secs(10);
        Self {
            term,
            // Some round trips to a voter and back on a wide network.
            retry_interval: Duration::from_millis(250),
            // A dead member's lease runs out and is ended before the others' patience does.
            vote_timeout: term.mul_f64(1.1) + Duration::from_secs(5),
            // A node that dies between its answer and its stop costs the fleet this long a refusal at most, not a term.
            close_timeout: Duration::from_secs(2),
            // What a client that waits for a page does not notice as an outage.
            queue_timeout: Duration::from_millis(500),
            // Half a second of 2,000 requests a second, each a connection that is open anyway.
            queue_max: 1000,
            // Room for one try at a server that answers as usual.
            min_time_left: Duration::from_millis(500),
            without_lease: WithoutLease::Stop,
            #[cfg(any(test, feature = "planted"))]
            injected_fault: None,
        }
    }
}

/// A setting that does not fit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The term is outside [`TERM_RANGE_MS`].
    Term(Duration),
    /// `again` is zero, or so long that a lease could not be asked for three times in a term.
    RetryInterval(Duration),
    /// `vote_for` is not longer than a waiter waits for a lease: every dead member would abort every change.
    VoteTimeout(Duration),
    /// `close_for` is shorter than two rounds of `again`: one lost word would abort the change.
    CloseTimeout(Duration),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Term(d) => {
                write!(f, "term is {d:?}, it must be {} to {} ms", TERM_RANGE_MS.start(), TERM_RANGE_MS.end())
            }
            Self::RetryInterval(d) => {
                write!(f, "again is {d:?}, it must be above 0 and at most a sixth of term")
            }
            Self::VoteTimeout(d) => write!(f, "vote_timeout is {d:?}, it must be above term and a tenth"),
            Self::CloseTimeout(d) => write!(f, "close_timeout is {d:?}, it must be at least twice again"),
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Plants a fault by its name, for tests of the checkers with whole processes; false where there is none of this name,
    /// and always in a build without the feature `planted`, as every build of the program is.
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

    /// Checks them.
    ///
    /// # Errors
    /// The first setting that does not fit.
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

    /// The term as the log has it.
    pub(crate) fn term_ms(&self) -> u32 {
        u32::try_from(self.term.as_millis()).unwrap_or(*TERM_RANGE_MS.end())
    }

    /// How long a waiter waits for a lease of this term to run out, from when it learnt of its grant.
    pub fn lease_wait(&self) -> Duration {
        let holder = Peer { name: Name::default(), session: Session::default() };
        Grant { holder, index: Index(0), term_ms: self.term_ms() }.wait()
    }

    /// Whether this fault is planted; never in a build without the tests' feature.
    #[cfg(any(test, feature = "planted"))]
    pub(crate) fn injected(&self, plant: InjectedFault) -> bool {
        self.injected_fault == Some(plant)
    }
}

/// A fault that a node of a test has, for the checker to find.
#[cfg(any(test, feature = "planted"))]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Decides on when its lease has run out.
    ServesAfterLease,
    /// Counts its lease from when it learnt of the grant.
    CountsLeaseFromReply,
    /// Says that it stopped and decides on.
    SkipsBarrier,
    /// Decides under a proposal as soon as it has learnt of it.
    ServesProposed,
}
