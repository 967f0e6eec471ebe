//! One request at the gate: under which version it is decided, or that it has to wait a moment, or that it is refused.

use std::fmt;
use std::time::Duration;

use crate::entry::Version;
use crate::room::PolicyChange;
#[cfg(any(test, feature = "planted"))]
use crate::settings::Plant;
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
    pub(crate) begun: Duration,
}

impl Epoch {
    /// The epoch that a request was given at `begun`, from a carrier that keeps its parts.
    pub fn taken(version: Version, begun: Duration) -> Self {
        Self { version, begun }
    }
}

/// A place among the held requests. To be handed back to [`PolicyChange::again`] or [`PolicyChange::forget`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a held request's place is freed by again() or forget()"]
pub struct Ticket {
    /// Until when the request is held at most, by the node's boot clock.
    pub until: Duration,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalWhy {
    /// This node holds no lease: it has just started, is cut off from the log, or was stopped.
    NoLease,
    /// Its own check refuses the active document (it joined after the others had accepted it).
    CantTake,
    /// It is leaving.
    Leaving,
    /// The version closes, and the request can't be held: too many are, or it has too little time, or was held too long.
    Closing,
}

/// A request that is not decided: 503 with `Retry-After`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub why: RefusalWhy,
    /// After how long the client may come again; the header takes it rounded up to whole seconds.
    pub retry_after: Duration,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.why {
            RefusalWhy::NoLease => "this node holds no lease on the policy",
            RefusalWhy::CantTake => "this node's check refuses the active policy",
            RefusalWhy::Leaving => "this node is leaving",
            RefusalWhy::Closing => "the policy is being changed",
        })
    }
}

/// What becomes of a request that arrives.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is decided under this version.
    Go(Epoch),
    /// It is held: to be asked again when the room's [`PolicyChange::gate_moved`] changes, and at the ticket's end.
    Hold(Ticket),
    /// It is refused.
    Refuse(Refusal),
}

/// What the gate counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Requests that were held.
    pub held: u64,
    /// Requests that were refused.
    pub refused: u64,
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
    /// Why it may not; [`RefusalWhy::Closing`] while a version closes.
    pub fn may_begin(&self, now: Duration) -> Result<Version, RefusalWhy> {
        if self.leaving {
            return Err(RefusalWhy::Leaving);
        }
        if !self.leased(now) {
            return Err(RefusalWhy::NoLease);
        }
        if self.cant_take.is_some() {
            return Err(RefusalWhy::CantTake);
        }
        if self.closed_at.is_some() {
            return Err(RefusalWhy::Closing);
        }
        #[cfg(any(test, feature = "planted"))]
        if let (true, Some(c)) = (self.settings.planted(Plant::ServesProposed), &self.state.change) {
            return Ok(c.version);
        }
        Ok(self.state.active)
    }

    /// A request arrives with so much of its own time left.
    pub fn begin(&mut self, now: Duration, left: Duration) -> Admission {
        self.seen(now);
        self.admit(now, None, left)
    }

    /// A held request asks again.
    pub fn again(&mut self, now: Duration, ticket: Ticket) -> Admission {
        self.seen(now);
        self.held_now = self.held_now.saturating_sub(1);
        self.admit(now, Some(ticket.until), Duration::MAX)
    }

    /// A held request went away.
    pub fn forget(&mut self, ticket: Ticket) {
        let Ticket { until: _ } = ticket;
        self.held_now = self.held_now.saturating_sub(1);
    }

    fn admit(&mut self, now: Duration, until: Option<Duration>, left: Duration) -> Admission {
        let why = match self.may_begin(now) {
            Ok(version) => return Admission::Go(Epoch { version, begun: now }),
            Err(why) => why,
        };
        if why == RefusalWhy::Closing {
            // Held from its own arrival on, but never past the closing's bound: a change that hangs parks nobody.
            let latest = self.closed_at.unwrap_or(now) + self.settings.hold_for;
            let until = until.unwrap_or(latest).min(latest);
            let fits = left >= until.saturating_sub(now).saturating_add(self.settings.time_left);
            if now < until && fits && self.held_now < self.settings.held_at_most {
                self.held_now += 1;
                self.figures.held += 1;
                return Admission::Hold(Ticket { until });
            }
        }
        self.figures.refused += 1;
        let retry_after = match why {
            RefusalWhy::Closing => RETRY_WHILE_CLOSING,
            _ => RETRY_WITHOUT_LEASE,
        };
        Admission::Refuse(Refusal { why, retry_after })
    }

    /// Whether a request that was begun may be decided (again) under its version at `now`: the first choice of a server and
    /// every retry ask at that very moment. It may, also when a newer version has taken hold since or the lease ran out
    /// while the node ran (it finishes what it has); it may not when, since the request began, the node was stopped and its
    /// version was over before, or the stop outlasted its lease or fell into a closing: the next may have taken hold
    /// meanwhile.
    ///
    /// # Errors
    /// The refusal to answer it with.
    pub fn may_decide(&mut self, now: Duration, epoch: &Epoch) -> Result<(), Refusal> {
        self.seen(now);
        let old = epoch.begun < self.last_stop && epoch.version != self.state.active;
        if old || epoch.begun < self.void_before {
            self.figures.refused += 1;
            return Err(Refusal { why: RefusalWhy::NoLease, retry_after: RETRY_WITHOUT_LEASE });
        }
        Ok(())
    }

    /// Whether `/ready` says 200: this node holds a lease on the active version, can take its document, and no closing has
    /// outlasted the hold.
    pub fn ready(&self, now: Duration) -> bool {
        match self.may_begin(now) {
            Ok(_) => true,
            Err(RefusalWhy::Closing) => {
                self.closed_at.is_some_and(|at| now.saturating_sub(at) < self.settings.hold_for)
            }
            Err(_) => false,
        }
    }

    /// Changes whenever held requests should ask again: a version opened.
    pub fn gate_moved(&self) -> u64 {
        self.figures.closings
    }

    /// What the gate counted.
    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// Requests held at this moment.
    pub fn held(&self) -> usize {
        self.held_now
    }

    pub(crate) fn leased(&self, now: Duration) -> bool {
        #[cfg(any(test, feature = "planted"))]
        if self.settings.planted(Plant::ServesAfterLease) && self.held.is_some() {
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
    pub(crate) fn seen(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_seen);
        self.last_seen = self.last_seen.max(now);
        if gap <= STALL {
            return;
        }
        self.last_stop = now;
        if self.closed_at.is_some() || !self.leased(now) {
            self.void_before = now;
        }
    }
}
