//! One node's part: it holds its lease, answers changes, stops and starts at the barrier, and does the fleet's chores when
//! it leads.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use magpietally_consensus::{DecidedEntry, HeldLease, Leases, SnapshotError, StateMachine, Topic};
use magpietally_transport::{Now, Peer};

use crate::admission::Metrics;
use crate::entry::{Entry, Step, Version, DOCUMENT_MAX_BYTES, EXPIRE_BATCH_MAX, REASON_MAX_BYTES};
use crate::settings::{Settings, SettingsError, WithoutLease};
use crate::state::{Effect, ProposalOutcome, State, MEMBERS_MAX};

/// How often a node looks whether something is due: fine enough for every setting, 20 looks a second.
const BEAT: Duration = Duration::from_millis(50);
/// Askings for a lease that are remembered with their time: more than a default term's worth of those said in haste. One
/// that is granted after it was forgotten is not counted, and a later one is.
const REQUESTS_MAX: usize = 64;
/// Proposals that wait for the carrier at most; the oldest is dropped and said again by its own timer.
const OUT: usize = 16;

/// The check of a document: pure, the same verdict for the same bytes on the same build.
pub type DocumentCheck = Box<dyn Fn(&[u8]) -> Result<(), String> + Send>;

/// Why a document is not even proposed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// More than [`DOCUMENT_MAX_BYTES`] bytes.
    TooLarge(usize),
    /// This node's own check refuses it.
    Rejected(String),
    /// This node's last proposal is not decided yet.
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

/// What has become of a proposal of this node's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalStatus {
    /// Not decided yet, as far as this node knows.
    Waiting,
    /// Under way, under this number.
    UnderWay(Version),
    /// It ended.
    Ended(ProposalOutcome),
    /// It was decided, too long ago to be remembered, or this node never proposed it.
    Unknown,
}

/// A document that this node wants to be the policy.
struct Wanted {
    base: Version,
    ticket: u64,
    document: Vec<u8>,
    due: Duration,
}

/// One node's part of the change of policy.
pub struct PolicyChange {
    pub(crate) me: Peer,
    pub(crate) settings: Settings,
    check: DocumentCheck,
    /// (a) What follows from the log.
    pub(crate) state: State,
    // (b) What this node knows by its own clock.
    waits: Leases<Peer>,
    pub(crate) held: Option<HeldLease>,
    requests: VecDeque<(u64, Duration)>,
    next_request: u64,
    request_due: Duration,
    /// The step that the change is at, and when this node learnt so.
    step: Option<(Version, Step, Duration)>,
    say_due: Duration,
    chores_due: Duration,
    verdict: Option<(Version, Result<(), String>)>,
    /// Why this node can't take the active document.
    pub(crate) document_error: Option<String>,
    pub(crate) closed_at: Option<Duration>,
    pub(crate) held_now: usize,
    pub(crate) metrics: Metrics,
    pub(crate) last_seen: Duration,
    /// Requests begun before this are not decided any more: the node was stopped past the end of its lease, or while the
    /// version closed.
    pub(crate) void_before: Duration,
    /// When this node last ran again after a stop.
    pub(crate) last_stop: Duration,
    pub(crate) leaving: bool,
    wanted: Option<Wanted>,
    last_ticket: u64,
    gone: VecDeque<(Peer, Duration)>,
    out: VecDeque<Entry>,
    due: Duration,
}

impl PolicyChange {
    /// This start of a node, which has learnt nothing yet. It decides nothing before it has a lease.
    ///
    /// # Errors
    /// A setting that does not fit.
    pub fn new(me: Peer, settings: Settings, check: DocumentCheck, now: Now) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Self {
            me,
            settings,
            check,
            state: State::default(),
            waits: Leases::default(),
            held: None,
            requests: VecDeque::new(),
            next_request: 1,
            request_due: now.boot,
            step: None,
            say_due: now.boot,
            chores_due: now.boot,
            verdict: None,
            document_error: None,
            closed_at: None,
            held_now: 0,
            metrics: Metrics::default(),
            last_seen: now.boot,
            void_before: Duration::ZERO,
            last_stop: Duration::ZERO,
            leaving: false,
            wanted: None,
            last_ticket: 0,
            gone: VecDeque::new(),
            out: VecDeque::new(),
            due: now.boot,
        })
    }

    /// What the log says, as far as this node has learnt.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Why this node can't take the active document, if it can't.
    pub fn document_error(&self) -> Option<&str> {
        self.document_error.as_deref()
    }

    /// Wants `document` to be the policy, made against version `base`; the ticket to ask [`PolicyChange::proposal_status`] with.
    /// A document that goes back to an older text is a change like any other.
    ///
    /// # Errors
    /// Why it is not proposed at all.
    pub fn propose(&mut self, now: Now, base: Version, document: Vec<u8>) -> Result<u64, ProposeError> {
        if document.len() > DOCUMENT_MAX_BYTES {
            return Err(ProposeError::TooLarge(document.len()));
        }
        if let Some(wanted) = &self.wanted {
            return Err(ProposeError::Pending(wanted.ticket));
        }
        (self.check)(&document).map_err(ProposeError::Rejected)?;
        self.last_ticket += 1;
        self.wanted = Some(Wanted { base, ticket: self.last_ticket, document, due: now.boot });
        self.due = now.boot;
        Ok(self.last_ticket)
    }

    /// What has become of the proposal with this ticket.
    pub fn proposal_status(&self, ticket: u64) -> ProposalStatus {
        if self.wanted.as_ref().is_some_and(|w| w.ticket == ticket) {
            return ProposalStatus::Waiting;
        }
        let mine = |by: &Peer, t: u64| *by == self.me && t == ticket;
        if let Some(change) = self.state.change.as_ref().filter(|c| mine(&c.proposer, c.ticket)) {
            return ProposalStatus::UnderWay(change.version);
        }
        match self.state.history.iter().rev().find(|p| mine(&p.proposer, p.ticket)) {
            Some(past) => ProposalStatus::Ended(past.outcome.clone()),
            None => ProposalStatus::Unknown,
        }
    }

    /// An operator's word that this start of a node does not run any more and never will; whether there was room for it, as
    /// there is for [`MEMBERS_MAX`] at a time.
    /// If it does run, it may go on serving under an older version: the word is the operator's.
    pub fn evict(&mut self, now: Now, peer: Peer) -> bool {
        if self.gone.len() >= MEMBERS_MAX {
            return false;
        }
        self.gone.push_back((peer, now.boot));
        self.due = now.boot;
        true
    }

    /// A planned end: nothing new is decided from now on, and the lease is given back.
    pub fn leave(&mut self, now: Now) {
        self.leaving = true;
        (self.request_due, self.due) = (now.boot, now.boot);
    }

    /// Whether the log has taken the lease back, so that no change waits for this node.
    pub fn has_left(&self) -> bool {
        self.leaving && !self.state.members.contains_key(&self.me)
    }

    fn say(&mut self, entry: Entry) {
        if self.out.len() >= OUT {
            self.out.pop_front();
        }
        self.out.push_back(entry);
    }

    /// Draws from the state what this node has to do; after every change of the state.
    fn settle(&mut self, now: Now, was_active: Version) {
        let step = self.state.change.as_ref().map(|c| (c.version, c.step));
        if step != self.step.map(|(version, step, _)| (version, step)) {
            self.step = step.map(|(version, step)| (version, step, now.boot));
            self.say_due = now.boot;
        }
        if self.state.active != was_active {
            self.document_error = match &self.verdict {
                Some((version, verdict)) if *version == self.state.active => verdict.clone().err(),
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
                let length = now.boot.saturating_sub(at);
                self.metrics.closings += 1;
                self.metrics.last_closing = length;
                self.metrics.longest_closing = self.metrics.longest_closing.max(length);
                self.closed_at = None;
            }
            // One closing after the other, learnt at once: the hold counts from the first.
            _ => {}
        }
        let decided = self.state.members.get(&self.me).map_or(0, |m| m.last_ticket);
        if self.wanted.as_ref().is_some_and(|w| w.ticket <= decided) {
            self.wanted = None;
        }
        self.due = now.boot;
    }

    /// Asks for a lease, or for a longer one.
    fn request_lease(&mut self, now: Now) {
        let member = self.state.members.contains_key(&self.me);
        if self.leaving {
            if member && now.boot >= self.request_due {
                self.request_due = now.boot + self.settings.retry_interval;
                self.say(Entry::Leave);
            }
            return;
        }
        if now.boot < self.request_due {
            return;
        }
        let request = self.next_request;
        self.next_request += 1;
        if self.requests.len() >= REQUESTS_MAX {
            self.requests.pop_front();
        }
        self.requests.push_back((request, now.boot));
        let fresh =
            self.held.is_some_and(|h| h.expires_at().saturating_sub(now.boot) * 2 > self.settings.term)
                && member;
        // Usually each third of the term; when two in a row came to nothing, in haste.
        self.request_due =
            now.boot + if fresh { self.settings.term / 3 } else { self.settings.retry_interval };
        self.say(if member {
            Entry::Renew { request }
        } else {
            let serves_without_lease = self.settings.without_lease == WithoutLease::Serve;
            Entry::Join { request, term_ms: self.settings.term_ms(), serves_without_lease }
        });
    }

    /// Answers the change under way, until the answer is seen decided.
    fn answer(&mut self, now: Now) {
        let Some(change) = &self.state.change else { return };
        let counted = self.state.members.contains_key(&self.me) && !change.acknowledged.contains(&self.me);
        if !counted || now.boot < self.say_due {
            return;
        }
        self.say_due = now.boot + self.settings.retry_interval;
        let version = change.version;
        let entry = match change.step {
            Step::Closing => Entry::Stopped { version },
            Step::Voting => {
                if self.verdict.as_ref().is_none_or(|(of, _)| *of != version) {
                    self.verdict = Some((version, (self.check)(&change.document)));
                }
                match &self.verdict {
                    Some((_, Err(why))) => Entry::Reject { version, why: cut(why) },
                    _ => Entry::Accept { version },
                }
            }
        };
        self.say(entry);
    }

    /// Says this node's own wants: a proposal, and nodes that are gone.
    fn want(&mut self, now: Now) {
        let again = self.settings.retry_interval;
        let member = self.state.members.contains_key(&self.me);
        if let Some(wanted) = self.wanted.as_mut().filter(|w| member && now.boot >= w.due) {
            wanted.due = now.boot + again;
            let (base, ticket, document) = (wanted.base, wanted.ticket, wanted.document.clone());
            self.say(Entry::Propose { base, ticket, document });
        }
        let members = &self.state.members;
        self.gone.retain(|(peer, _)| members.contains_key(peer));
        if let Some((peer, due)) = self.gone.iter_mut().find(|(_, due)| now.boot >= *due) {
            *due = now.boot + again;
            let peer = peer.clone();
            self.say(Entry::Evict { peer });
        }
    }

    /// What the fleet needs of the one that leads: ends leases that ran out, and changes whose time is up.
    fn chores(&mut self, now: Now) {
        if now.boot < self.chores_due {
            return;
        }
        let expired: Vec<_> = self
            .waits
            .expired(now.boot)
            .filter(|(peer, _)| self.state.members.get(*peer).is_some_and(|m| !m.serves_without_lease))
            .take(EXPIRE_BATCH_MAX)
            .map(|(peer, grant)| (peer.clone(), grant.index))
            .collect();
        let over = self.step.filter(|(_, step, since)| {
            let limit = match step {
                Step::Voting => self.settings.vote_timeout,
                Step::Closing => self.settings.close_timeout,
            };
            now.boot >= *since + limit
        });
        if !expired.is_empty() {
            self.say(Entry::Expire { expired });
            self.chores_due = now.boot + self.settings.retry_interval;
        }
        if let Some((version, step, _)) = over {
            self.say(Entry::Timeout { version, step });
            self.chores_due = now.boot + self.settings.retry_interval;
        }
    }
}

/// A reason within its bound, cut at a character.
fn cut(why: &str) -> String {
    let mut end = why.len().min(REASON_MAX_BYTES);
    while !why.is_char_boundary(end) {
        end -= 1;
    }
    why[..end].to_owned()
}

impl StateMachine for PolicyChange {
    fn topic(&self) -> Topic {
        Topic::Policy
    }

    fn apply(&mut self, now: Now, decided: &DecidedEntry) {
        self.detect_pause(now.boot);
        let Some(entry) = Entry::decode(&decided.proposal.body) else { return };
        let renewal = matches!(entry, Entry::Renew { .. });
        let was_active = self.state.active;
        for effect in self.state.apply(decided.index, &decided.proposal.proposer, entry) {
            match effect {
                Effect::Granted(peer, grant, request) => {
                    if peer == self.me {
                        let term = Duration::from_millis(u64::from(grant.term_ms));
                        let asked =
                            self.requests.iter().find(|(number, _)| *number == request).map(|(_, at)| *at);
                        #[cfg(any(test, feature = "planted"))]
                        let asked = match self
                            .settings
                            .injected(crate::settings::InjectedFault::CountsLeaseFromReply)
                        {
                            true => Some(now.boot),
                            false => asked,
                        };
                        // An asking that is not remembered is not counted: the safe side.
                        if let Some(held) = asked.map(|at| HeldLease::new(at, term)) {
                            self.held = Some(self.held.map_or(held, |h| h.or_later(held)));
                        }
                    }
                    self.waits.grant(now.boot, peer, grant);
                }
                Effect::Ended(peer, grant) => {
                    self.waits.end(&peer, grant);
                    if peer == self.me {
                        self.held = None;
                        self.request_due = now.boot;
                    }
                }
            }
        }
        if !renewal {
            self.settle(now, was_active);
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        // Plain values into a growing buffer: postcard has no error for that.
        postcard::to_stdvec(&self.state).unwrap_or_default()
    }

    fn restore(&mut self, now: Now, snapshot: &[u8]) -> Result<(), SnapshotError> {
        self.detect_pause(now.boot);
        let state: State = postcard::from_bytes(snapshot).map_err(|e| SnapshotError(e.to_string()))?;
        let was_active = self.state.active;
        self.state = state;
        let grants = self.state.members.iter().map(|(peer, m)| (peer.clone(), m.grant.clone())).collect();
        self.waits = Leases::restored(grants, now.boot);
        if !self.state.members.contains_key(&self.me) {
            self.held = None;
        }
        self.request_due = now.boot;
        self.settle(now, was_active);
        Ok(())
    }

    fn tick(&mut self, now: Now, leading: bool) {
        self.detect_pause(now.boot);
        self.due = now.boot + BEAT;
        self.request_lease(now);
        self.answer(now);
        self.want(now);
        if leading {
            self.chores(now);
        }
    }

    fn next_due(&self) -> Option<Duration> {
        Some(self.due)
    }

    fn take_proposal(&mut self) -> Option<Vec<u8>> {
        self.out.pop_front().map(|entry| entry.encode())
    }
}
