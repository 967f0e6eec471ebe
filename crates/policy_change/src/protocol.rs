//! One node's part in the protocol: it keeps its lease, answers proposed changes, stops and resumes deciding
//! at the barrier, and, as the leader, ends expired leases and changes that timed out.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use magpietally_consensus::{DecidedEntry, HeldLease, Leases, SnapshotError, StateMachine, Topic};
use magpietally_transport::{Now, Peer};

use crate::admission::Metrics;
use crate::entry::{Entry, Step, Version, DOCUMENT_MAX_BYTES, EXPIRE_BATCH_MAX, REASON_MAX_BYTES};
use crate::settings::{Settings, SettingsError, WithoutLease};
use crate::state::{Effect, ProposalOutcome, State, MEMBERS_MAX};

/// Interval at which a node checks its timers: 20 checks a second are fine enough for every setting.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Lease requests whose times are kept: more than a node sends in a default term at `retry_interval`. A grant
/// of an older request is ignored; a later grant counts.
const REQUESTS_MAX: usize = 64;
/// Maximum number of proposals waiting for the caller. The oldest is dropped, and its own timer proposes it
/// again.
const OUTBOX_MAX: usize = 16;

/// Validates a document. Must be pure: the same result for the same bytes on the same build.
pub type DocumentCheck = Box<dyn Fn(&[u8]) -> Result<(), String> + Send>;

/// Why a document was not proposed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// The document has this many bytes, more than [`DOCUMENT_MAX_BYTES`].
    TooLarge(usize),
    /// This node's own check rejects the document, for this reason.
    Rejected(String),
    /// This node's last proposal, with this ticket, is not decided yet.
    Pending(u64),
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(n) => {
                write!(f, "the document has {n} bytes, at most {DOCUMENT_MAX_BYTES} are allowed")
            }
            Self::Rejected(reason) => f.write_str(reason),
            Self::Pending(ticket) => write!(f, "proposal {ticket} of this node is not decided yet"),
        }
    }
}

impl std::error::Error for ProposeError {}

/// Status of a proposal made by this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalStatus {
    /// Not decided yet, as far as this node knows.
    Waiting,
    /// In progress under this version.
    UnderWay(Version),
    /// It ended.
    Ended(ProposalOutcome),
    /// Decided too long ago to be in the history, or never proposed by this node.
    Unknown,
}

/// A proposal of this node that is not decided yet.
struct PendingProposal {
    base: Version,
    ticket: u64,
    document: Vec<u8>,
    due: Duration,
}

/// One node's state machine of the policy change protocol.
pub struct PolicyChange {
    pub(crate) me: Peer,
    pub(crate) settings: Settings,
    check: DocumentCheck,
    /// The replicated state, determined by the log alone.
    pub(crate) state: State,
    // The remaining fields are local to this node; their times are on its boot clock.
    leases: Leases<Peer>,
    pub(crate) held_lease: Option<HeldLease>,
    lease_requests: VecDeque<(u64, Duration)>,
    next_request: u64,
    renewal_due: Duration,
    /// The step of the change in progress, and when this node learned of it.
    step: Option<(Version, Step, Duration)>,
    answer_due: Duration,
    timeouts_due: Duration,
    check_result: Option<(Version, Result<(), String>)>,
    /// Why this node's check rejects the active document.
    pub(crate) document_error: Option<String>,
    pub(crate) closed_at: Option<Duration>,
    pub(crate) queued_now: usize,
    pub(crate) metrics: Metrics,
    pub(crate) last_called: Duration,
    /// Requests admitted before this are not decided any more: the node was paused past the end of its lease,
    /// or while the version closed.
    pub(crate) valid_from: Duration,
    /// When this node last resumed after a pause.
    pub(crate) last_resumed: Duration,
    pub(crate) leaving: bool,
    pending: Option<PendingProposal>,
    last_ticket: u64,
    evictions: VecDeque<(Peer, Duration)>,
    outbox: VecDeque<Entry>,
    tick_due: Duration,
}

impl PolicyChange {
    /// Creates the state of a node that has just started and has learned nothing yet. It decides nothing
    /// before it has a lease.
    ///
    /// # Errors
    /// The first invalid setting.
    pub fn new(me: Peer, settings: Settings, check: DocumentCheck, now: Now) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Self {
            me,
            settings,
            check,
            state: State::default(),
            leases: Leases::default(),
            held_lease: None,
            lease_requests: VecDeque::new(),
            next_request: 1,
            renewal_due: now.boot,
            step: None,
            answer_due: now.boot,
            timeouts_due: now.boot,
            check_result: None,
            document_error: None,
            closed_at: None,
            queued_now: 0,
            metrics: Metrics::default(),
            last_called: now.boot,
            valid_from: Duration::ZERO,
            last_resumed: Duration::ZERO,
            leaving: false,
            pending: None,
            last_ticket: 0,
            evictions: VecDeque::new(),
            outbox: VecDeque::new(),
            tick_due: now.boot,
        })
    }

    /// The replicated state, as far as this node has learned the log.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Why this node's check rejects the active document, if it does.
    pub fn document_error(&self) -> Option<&str> {
        self.document_error.as_deref()
    }

    /// Proposes `document`, made against version `base`, as the policy. Returns the ticket for
    /// [`PolicyChange::proposal_status`]. A rollback to an older text is a change like any other.
    ///
    /// # Errors
    /// Why the document is not proposed.
    pub fn propose(&mut self, now: Now, base: Version, document: Vec<u8>) -> Result<u64, ProposeError> {
        if document.len() > DOCUMENT_MAX_BYTES {
            return Err(ProposeError::TooLarge(document.len()));
        }
        if let Some(pending) = &self.pending {
            return Err(ProposeError::Pending(pending.ticket));
        }
        (self.check)(&document).map_err(ProposeError::Rejected)?;
        self.last_ticket += 1;
        self.pending = Some(PendingProposal { base, ticket: self.last_ticket, document, due: now.boot });
        self.tick_due = now.boot;
        Ok(self.last_ticket)
    }

    /// The status of this node's proposal with this ticket.
    pub fn proposal_status(&self, ticket: u64) -> ProposalStatus {
        if self.pending.as_ref().is_some_and(|p| p.ticket == ticket) {
            return ProposalStatus::Waiting;
        }
        let is_mine = |proposer: &Peer, number: u64| *proposer == self.me && number == ticket;
        if let Some(change) = self.state.change.as_ref().filter(|c| is_mine(&c.proposer, c.ticket)) {
            return ProposalStatus::UnderWay(change.version);
        }
        match self.state.history.iter().rev().find(|p| is_mine(&p.proposer, p.ticket)) {
            Some(past) => ProposalStatus::Ended(past.outcome.clone()),
            None => ProposalStatus::Unknown,
        }
    }

    /// Takes an operator's statement that this session of a node does not run and never will again, and
    /// proposes to end its lease. Returns whether the statement was accepted: at most [`MEMBERS_MAX`] are
    /// kept at a time.
    ///
    /// If the node does run, it may go on serving under an older version; the operator is responsible for
    /// that.
    pub fn evict(&mut self, now: Now, peer: Peer) -> bool {
        if self.evictions.len() >= MEMBERS_MAX {
            return false;
        }
        self.evictions.push_back((peer, now.boot));
        self.tick_due = now.boot;
        true
    }

    /// Starts a planned shutdown: no new request is decided from now on, and the lease is returned.
    pub fn leave(&mut self, now: Now) {
        self.leaving = true;
        (self.renewal_due, self.tick_due) = (now.boot, now.boot);
    }

    /// Returns whether the log has ended the lease after [`PolicyChange::leave`], so that no change waits for
    /// this node.
    pub fn has_left(&self) -> bool {
        self.leaving && !self.state.members.contains_key(&self.me)
    }

    fn enqueue(&mut self, entry: Entry) {
        if self.outbox.len() >= OUTBOX_MAX {
            self.outbox.pop_front();
        }
        self.outbox.push_back(entry);
    }

    /// Updates the local fields after a change of the replicated state.
    fn update_local(&mut self, now: Now, previous: Version) {
        let step = self.state.change.as_ref().map(|c| (c.version, c.step));
        if step != self.step.map(|(version, step, _)| (version, step)) {
            self.step = step.map(|(version, step)| (version, step, now.boot));
            self.answer_due = now.boot;
        }
        if self.state.active != previous {
            self.document_error = match &self.check_result {
                Some((version, result)) if *version == self.state.active => result.clone().err(),
                _ => (self.check)(&self.state.document).err(),
            };
        }
        #[allow(unused_mut)]
        let mut closing = self.state.is_closing();
        #[cfg(any(test, feature = "planted"))]
        if self.settings.injected(crate::settings::InjectedFault::SkipsBarrier) {
            closing = false;
        }
        match (self.closed_at, closing) {
            (None, true) => self.closed_at = Some(now.boot),
            (Some(at), false) => {
                let duration = now.boot.saturating_sub(at);
                self.metrics.closings += 1;
                self.metrics.last_closing = duration;
                self.metrics.longest_closing = self.metrics.longest_closing.max(duration);
                self.closed_at = None;
            }
            // Two closings in a row, learned of together: the queue timeout counts from the first.
            _ => {}
        }
        let decided = self.state.members.get(&self.me).map_or(0, |m| m.last_ticket);
        if self.pending.as_ref().is_some_and(|p| p.ticket <= decided) {
            self.pending = None;
        }
        self.tick_due = now.boot;
    }

    /// Requests a lease or its renewal, or returns the lease when leaving.
    fn request_lease(&mut self, now: Now) {
        let is_member = self.state.members.contains_key(&self.me);
        if self.leaving {
            if is_member && now.boot >= self.renewal_due {
                self.renewal_due = now.boot + self.settings.retry_interval;
                self.enqueue(Entry::Leave);
            }
            return;
        }
        if now.boot < self.renewal_due {
            return;
        }
        let request = self.next_request;
        self.next_request += 1;
        if self.lease_requests.len() >= REQUESTS_MAX {
            self.lease_requests.pop_front();
        }
        self.lease_requests.push_back((request, now.boot));
        let renewed =
            self.held_lease.is_some_and(|h| h.expires_at().saturating_sub(now.boot) * 2 > self.settings.term)
                && is_member;
        // Normally every third of the term; at `retry_interval` after two renewals in a row had no result.
        self.renewal_due =
            now.boot + if renewed { self.settings.term / 3 } else { self.settings.retry_interval };
        self.enqueue(if is_member {
            Entry::Renew { request }
        } else {
            let serves_without_lease = self.settings.without_lease == WithoutLease::Serve;
            Entry::Join { request, term_ms: self.settings.term_ms(), serves_without_lease }
        });
    }

    /// Answers the change in progress, repeatedly until the answer is seen decided.
    fn answer(&mut self, now: Now) {
        let Some(change) = &self.state.change else { return };
        let must_answer =
            self.state.members.contains_key(&self.me) && !change.acknowledged.contains(&self.me);
        if !must_answer || now.boot < self.answer_due {
            return;
        }
        self.answer_due = now.boot + self.settings.retry_interval;
        let version = change.version;
        let entry = match change.step {
            Step::Closing => Entry::Stopped { version },
            Step::Voting => {
                if self.check_result.as_ref().is_none_or(|(checked, _)| *checked != version) {
                    self.check_result = Some((version, (self.check)(&change.document)));
                }
                match &self.check_result {
                    Some((_, Err(reason))) => Entry::Reject { version, reason: truncate_reason(reason) },
                    _ => Entry::Accept { version },
                }
            }
        };
        self.enqueue(entry);
    }

    /// Proposes this node's pending document and the evictions requested by operators, until they are seen
    /// decided.
    fn propose_pending(&mut self, now: Now) {
        let retry_interval = self.settings.retry_interval;
        let is_member = self.state.members.contains_key(&self.me);
        if let Some(pending) = self.pending.as_mut().filter(|p| is_member && now.boot >= p.due) {
            pending.due = now.boot + retry_interval;
            let (base, ticket, document) = (pending.base, pending.ticket, pending.document.clone());
            self.enqueue(Entry::Propose { base, ticket, document });
        }
        let members = &self.state.members;
        self.evictions.retain(|(peer, _)| members.contains_key(peer));
        if let Some((peer, due)) = self.evictions.iter_mut().find(|(_, due)| now.boot >= *due) {
            *due = now.boot + retry_interval;
            let peer = peer.clone();
            self.enqueue(Entry::Evict { peer });
        }
    }

    /// Work of the leader: ends expired leases and changes whose step has timed out.
    fn enforce_timeouts(&mut self, now: Now) {
        if now.boot < self.timeouts_due {
            return;
        }
        let expired: Vec<_> = self
            .leases
            .expired(now.boot)
            .filter(|(peer, _)| self.state.members.get(*peer).is_some_and(|m| !m.serves_without_lease))
            .take(EXPIRE_BATCH_MAX)
            .map(|(peer, grant)| (peer.clone(), grant.index))
            .collect();
        let timed_out = self.step.filter(|(_, step, since)| {
            let limit = match step {
                Step::Voting => self.settings.vote_timeout,
                Step::Closing => self.settings.close_timeout,
            };
            now.boot >= *since + limit
        });
        if !expired.is_empty() {
            self.enqueue(Entry::Expire { expired });
            self.timeouts_due = now.boot + self.settings.retry_interval;
        }
        if let Some((version, step, _)) = timed_out {
            self.enqueue(Entry::Timeout { version, step });
            self.timeouts_due = now.boot + self.settings.retry_interval;
        }
    }
}

/// Truncates a reason to [`REASON_MAX_BYTES`] at a character boundary.
fn truncate_reason(reason: &str) -> String {
    let mut end = reason.len().min(REASON_MAX_BYTES);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    reason[..end].to_owned()
}

impl StateMachine for PolicyChange {
    fn topic(&self) -> Topic {
        Topic::Policy
    }

    fn apply(&mut self, now: Now, decided: &DecidedEntry) {
        self.detect_pause(now.boot);
        let Some(entry) = Entry::decode(&decided.proposal.body) else { return };
        let is_renewal = matches!(entry, Entry::Renew { .. });
        let previous = self.state.active;
        for effect in self.state.apply(decided.index, &decided.proposal.proposer, entry) {
            match effect {
                Effect::Granted(peer, grant, request) => {
                    if peer == self.me {
                        let term = Duration::from_millis(u64::from(grant.term_ms));
                        let requested_at = self
                            .lease_requests
                            .iter()
                            .find(|(number, _)| *number == request)
                            .map(|(_, at)| *at);
                        #[cfg(any(test, feature = "planted"))]
                        let requested_at = match self
                            .settings
                            .injected(crate::settings::InjectedFault::CountsLeaseFromReply)
                        {
                            true => Some(now.boot),
                            false => requested_at,
                        };
                        // A grant whose request is no longer known is ignored, which is the safe side.
                        if let Some(held) = requested_at.map(|at| HeldLease::new(at, term)) {
                            self.held_lease = Some(self.held_lease.map_or(held, |h| h.or_later(held)));
                        }
                    }
                    self.leases.grant(now.boot, peer, grant);
                }
                Effect::Ended(peer, grant) => {
                    self.leases.end(&peer, grant);
                    if peer == self.me {
                        self.held_lease = None;
                        self.renewal_due = now.boot;
                    }
                }
            }
        }
        if !is_renewal {
            self.update_local(now, previous);
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        // Encoding plain values into a growing buffer can't fail.
        postcard::to_stdvec(&self.state).unwrap_or_default()
    }

    fn restore(&mut self, now: Now, snapshot: &[u8]) -> Result<(), SnapshotError> {
        self.detect_pause(now.boot);
        let state: State = postcard::from_bytes(snapshot).map_err(|e| SnapshotError(e.to_string()))?;
        let previous = self.state.active;
        self.state = state;
        let grants = self.state.members.iter().map(|(peer, m)| (peer.clone(), m.grant.clone())).collect();
        self.leases = Leases::restored(grants, now.boot);
        if !self.state.members.contains_key(&self.me) {
            self.held_lease = None;
        }
        self.renewal_due = now.boot;
        self.update_local(now, previous);
        Ok(())
    }

    fn tick(&mut self, now: Now, leading: bool) {
        self.detect_pause(now.boot);
        self.tick_due = now.boot + TICK_INTERVAL;
        self.request_lease(now);
        self.answer(now);
        self.propose_pending(now);
        if leading {
            self.enforce_timeouts(now);
        }
    }

    fn next_due(&self) -> Option<Duration> {
        Some(self.tick_due)
    }

    fn take_proposal(&mut self) -> Option<Vec<u8>> {
        self.outbox.pop_front().map(|entry| entry.encode())
    }
}
