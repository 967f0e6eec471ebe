//! What the operators choose.

use std::fmt;
use std::time::Duration;

use magpietally_consensus::{Grant, Index};
use magpietally_transport::{Name, Peer, Session};

use crate::state::TERM_MS;

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
    pub again: Duration,
    /// The members' answers to a change are waited for so long, by who leads.
    pub vote_for: Duration,
    /// The members' word that they stopped is waited for so long, by who leads; then the change is aborted and the old
    /// version opens again.
    pub close_for: Duration,
    /// While the old version closes, a new request is held at most so long.
    pub hold_for: Duration,
    /// Requests held at one moment at most; more are refused at once.
    pub held_at_most: usize,
    /// A request is held only when, after the longest hold, it still has this much of its own time left.
    pub time_left: Duration,
    /// What this node does when it can't renew its lease.
    pub without_lease: WithoutLease,
    /// A fault planted for the tests of the checker.
    #[cfg(any(test, feature = "planted"))]
    pub plant: Option<Plant>,
}

impl Default for Settings {
    fn default() -> Self {
        // Ten seconds: a restart or a short cut passes without a lapse, 500 nodes renew with 150 small entries a second,
        // and a change with a dead node in the fleet still takes hold well within a minute.
        let term = Duration::from_secs(10);
        Self {
            term,
            // Some round trips to a voter and back on a wide network.
            again: Duration::from_millis(250),
            // A dead member's lease runs out and is ended before the others' patience does.
            vote_for: term.mul_f64(1.1) + Duration::from_secs(5),
            // A node that dies between its answer and its stop costs the fleet this long a refusal at most, not a term.
            close_for: Duration::from_secs(2),
            // What a client that waits for a page does not notice as an outage.
            hold_for: Duration::from_millis(500),
            // Half a second of 2,000 requests a second, each a connection that is open anyway.
            held_at_most: 1000,
            // Room for one try at a server that answers as usual.
            time_left: Duration::from_millis(500),
            without_lease: WithoutLease::Stop,
            #[cfg(any(test, feature = "planted"))]
            plant: None,
        }
    }
}

/// A setting that does not fit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The term is outside [`TERM_MS`].
    Term(Duration),
    /// `again` is zero, or so long that a lease could not be asked for three times in a term.
    Again(Duration),
    /// `vote_for` is not longer than a waiter waits for a lease: every dead member would abort every change.
    VoteFor(Duration),
    /// `close_for` is shorter than two rounds of `again`: one lost word would abort the change.
    CloseFor(Duration),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Term(d) => {
                write!(f, "term is {d:?}, it must be {} to {} ms", TERM_MS.start(), TERM_MS.end())
            }
            Self::Again(d) => write!(f, "again is {d:?}, it must be above 0 and at most a sixth of term"),
            Self::VoteFor(d) => write!(f, "vote_for is {d:?}, it must be above term and a tenth"),
            Self::CloseFor(d) => write!(f, "close_for is {d:?}, it must be at least twice again"),
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Plants a fault by its name, for tests of the checkers with whole processes; false where there is none of this name,
    /// and always in a build without the feature `planted`, as every build of the program is.
    pub fn plant_named(&mut self, name: &str) -> bool {
        #[cfg(any(test, feature = "planted"))]
        {
            self.plant = match name {
                "serves-after-lease" => Some(Plant::ServesAfterLease),
                "counts-from-answer" => Some(Plant::CountsFromAnswer),
                "skips-barrier" => Some(Plant::SkipsBarrier),
                "serves-proposed" => Some(Plant::ServesProposed),
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
    pub fn check(&self) -> Result<(), SettingsError> {
        if !u32::try_from(self.term.as_millis()).is_ok_and(|ms| TERM_MS.contains(&ms)) {
            return Err(SettingsError::Term(self.term));
        }
        if self.again.is_zero() || self.again * 6 > self.term {
            return Err(SettingsError::Again(self.again));
        }
        if self.vote_for <= self.wait() {
            return Err(SettingsError::VoteFor(self.vote_for));
        }
        if self.close_for < self.again * 2 {
            return Err(SettingsError::CloseFor(self.close_for));
        }
        Ok(())
    }

    /// The term as the log has it.
    pub(crate) fn term_ms(&self) -> u32 {
        u32::try_from(self.term.as_millis()).unwrap_or(*TERM_MS.end())
    }

    /// How long a waiter waits for a lease of this term to run out, from when it learnt of its grant.
    pub fn wait(&self) -> Duration {
        let holder = Peer { name: Name::default(), session: Session::default() };
        Grant { holder, index: Index(0), term_ms: self.term_ms() }.wait()
    }

    /// Whether this fault is planted; never in a build without the tests' feature.
    #[cfg(any(test, feature = "planted"))]
    pub(crate) fn planted(&self, plant: Plant) -> bool {
        self.plant == Some(plant)
    }
}

/// A fault that a node of a test has, for the checker to find.
#[cfg(any(test, feature = "planted"))]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// Decides on when its lease has run out.
    ServesAfterLease,
    /// Counts its lease from when it learnt of the grant.
    CountsFromAnswer,
    /// Says that it stopped and decides on.
    SkipsBarrier,
    /// Decides under a proposal as soon as it has learnt of it.
    ServesProposed,
}
