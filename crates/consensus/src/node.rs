//! One node's part of the log, voter or learner, as a protocol without I/O.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use magpietally_transport::{Kind, Name, Now, Outgoing, Peer, Protocol};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::bootstrap::{NoVoteReason, PeerStatus};
use crate::entry::{DecidedEntry, Index, Proposal, Topic, BODY_MAX_BYTES};
use crate::head::LogEntry;
use crate::learned_log::{Checkpoint, LearnedLog, MachineSnapshots};
use crate::learner::Learner;
use crate::ready::{Ready, StoreSnapshot, StoredError, WriteQueue, QUEUED_WRITES_MAX};
use crate::settings::{Settings, SettingsError};
use crate::voter::Voter;
use crate::wire::{decode, encode, WireMessage};

/// Limit on this node's undecided proposals; a state machine has a few at a time.
const OWN_PROPOSALS_MAX: usize = 256;
/// Interval at which a proposal is repeated, and the number of attempts; after that it is left to its state
/// machine.
const PROPOSAL_RETRY: Duration = Duration::from_secs(1);
const PROPOSAL_ATTEMPTS: u32 = 3;
/// Limits on the proposals queued at the leader, in number and bytes: about one second of a busy fleet's
/// proposals.
const QUEUE_ENTRIES_MAX: usize = 4096;
const QUEUE_BYTES_MAX: usize = 1 << 20;
/// Limit on how often voters forward a proposal towards the leader. More hops would only chase a leader that
/// keeps changing.
const HOPS_MAX: u8 = 2;
/// Delay before a failed write is retried.
const WRITE_RETRY: Duration = Duration::from_secs(1);
/// Limit on the decided entries that the user has not taken; at the limit the node stops learning.
pub(crate) const UNTAKEN_ENTRIES_MAX: usize = 4096;
/// Limit on the messages waiting for the caller, which takes all of them after each call.
const OUTGOING_MAX: usize = 8192;
/// Bytes of entries after which a checkpoint trims a voter's log, so that the log's tail fits one message.
const CHECKPOINT_BYTES: usize = 256 << 10;
/// The largest datagram this protocol sends, in bytes: it fits a 1,500-byte frame.
pub(crate) const DATAGRAM_MAX_BYTES: usize = 1200;

/// Why a proposal was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// Larger than [`BODY_MAX_BYTES`].
    TooLarge(usize),
    /// This many of the node's proposals are pending already.
    Full(usize),
    /// This node's log has diverged ([`Status::diverged_at`]).
    Diverged,
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(size) => {
                write!(f, "too large: {size} bytes (a proposal may have {BODY_MAX_BYTES})")
            }
            Self::Full(pending) => write!(f, "{pending} proposals of this node are already pending"),
            Self::Diverged => write!(f, "this node's log has diverged from the other nodes'"),
        }
    }
}

impl std::error::Error for ProposeError {}

/// Why a node could not be opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// The settings are invalid.
    Settings(SettingsError),
    /// The content of the store cannot be used.
    Stored(StoredError),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(e) => e.fmt(f),
            Self::Stored(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for OpenError {}

/// A node's status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The leader, as far as this node knows.
    pub leader: Option<Name>,
    /// The last entry this node has learned.
    pub decided: Index,
    /// The last entry that this node knows to be decided anywhere.
    pub known: Index,
    /// Why this node does not vote; `None` if it votes.
    pub no_vote: Option<NoVoteReason>,
    /// The store's last error, while a write is failing.
    pub write_error: Option<String>,
    /// The index at which this node's log differs from another node's; the node has stopped using its log.
    pub diverged_at: Option<Index>,
    /// Messages dropped because they could not be decoded, were unexpected or exceeded a limit.
    pub dropped: u64,
}

struct OwnProposal {
    proposal: Proposal,
    attempts: u32,
    retry_at: Duration,
}

/// One node of the log.
pub struct Node {
    pub(crate) me: Peer,
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg64,
    voter: Option<Voter>,
    writes: WriteQueue,
    write_failure: Option<(String, Duration)>,
    pub(crate) log: LearnedLog,
    pub(crate) learner: Learner,
    /// Index up to which the voter's log was compared with the entries learned from other nodes.
    compared_to: u64,
    replace_log: bool,
    decided: VecDeque<DecidedEntry>,
    pending_restore: Option<(Index, MachineSnapshots)>,
    next_id: u64,
    own_proposals: VecDeque<OwnProposal>,
    queue: VecDeque<Proposal>,
    queue_bytes: usize,
    flush_at: Option<Duration>,
    tick_at: Duration,
    outgoing: VecDeque<Outgoing>,
    pub(crate) dropped: u64,
    pub(crate) diverged_at: Option<Index>,
    #[cfg(test)]
    pub(crate) inject_send_before_durable: bool,
    /// Sends consensus messages as datagrams where they fit, so that tests can lose, duplicate and reorder
    /// them.
    #[cfg(test)]
    pub(crate) paxos_by_datagram: bool,
}

impl Node {
    /// Opens a node with the content of its store; a learner needs no store.
    ///
    /// # Errors
    /// See [`OpenError`].
    pub fn open(
        settings: Settings,
        me: Peer,
        now: Now,
        snapshot: Option<&[u8]>,
        records: &[Vec<u8>],
    ) -> Result<Self, OpenError> {
        settings.check().map_err(OpenError::Settings)?;
        let stored = StoreSnapshot::open(snapshot, records).map_err(OpenError::Stored)?;
        let checkpoint = stored.checkpoint().map_err(OpenError::Stored)?;
        let (log, pending_restore) = match (checkpoint, stored.checkpoint) {
            (Some(c), Some(bytes)) => (LearnedLog::restored(&c, bytes), Some((c.head.index, c.machines))),
            _ => (LearnedLog::default(), None),
        };
        let mut rng = Pcg64::seed_from_u64(settings.seed ^ me.session.0.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        let identity = rng.random_range(1..=u64::MAX);
        let position = settings.voters.iter().position(|v| *v == me.name);
        let voter = position.map(|i| Voter::open(i, settings.voters.len(), stored.voter_state, identity));
        let compared_to = log.end();
        let mut node = Self {
            learner: Learner::new(now.boot, &settings, &mut rng),
            me,
            rng,
            voter,
            writes: WriteQueue::default(),
            write_failure: None,
            log,
            compared_to,
            replace_log: false,
            decided: VecDeque::new(),
            pending_restore,
            next_id: 1,
            own_proposals: VecDeque::new(),
            queue: VecDeque::new(),
            queue_bytes: 0,
            flush_at: None,
            tick_at: now.boot,
            outgoing: VecDeque::new(),
            dropped: 0,
            diverged_at: None,
            settings,
            #[cfg(test)]
            inject_send_before_durable: false,
            #[cfg(test)]
            paxos_by_datagram: false,
        };
        node.process_voter(now);
        Ok(node)
    }

    /// Sets the known nodes of the fleet, to which entries are forwarded and from which missing ones are
    /// requested. Voters are always included. At most [`crate::PEERS_MAX`] are used.
    pub fn set_peers(&mut self, peers: &[Name]) {
        self.learner.set_peers(&self.me.name, &self.settings.voters, peers);
    }

    /// Proposes an entry and returns its number ([`Proposal::id`]). The proposal can be lost.
    ///
    /// A proposal of [`Topic::Voters`] with an empty body changes nothing and serves as a **linearizable
    /// read**: when its own entry comes out of [`Node::take_decided`], everything that was decided before the
    /// call has come out before it.
    ///
    /// # Errors
    /// See [`ProposeError`].
    pub fn propose(&mut self, now: Now, topic: Topic, body: Vec<u8>) -> Result<u64, ProposeError> {
        if self.diverged_at.is_some() {
            return Err(ProposeError::Diverged);
        }
        if body.len() > BODY_MAX_BYTES {
            return Err(ProposeError::TooLarge(body.len()));
        }
        if self.own_proposals.len() >= OWN_PROPOSALS_MAX {
            return Err(ProposeError::Full(self.own_proposals.len()));
        }
        let id = self.next_id;
        self.next_id += 1;
        let proposal = Proposal { topic, proposer: self.me.clone(), id, body };
        self.own_proposals.push_back(OwnProposal {
            proposal: proposal.clone(),
            attempts: 1,
            retry_at: now.boot + PROPOSAL_RETRY,
        });
        self.route(now, vec![proposal], 0, false);
        self.process_voter(now);
        Ok(id)
    }

    /// The next decided entry, in order; `None` while a snapshot waits in [`Node::take_restore`].
    pub fn take_decided(&mut self) -> Option<DecidedEntry> {
        if self.pending_restore.is_some() {
            return None;
        }
        self.decided.pop_front()
    }

    /// A snapshot that replaces all entries up to its index, because this node was too far behind or has just
    /// started.
    pub fn take_restore(&mut self) -> Option<(Index, MachineSnapshots)> {
        self.pending_restore.take()
    }

    /// The index at which snapshots of the state machines are due; only when all decided entries were taken.
    pub fn snapshot_due(&self) -> Option<Index> {
        let due = self.replace_log
            || self.log.since_snapshot.0 >= self.settings.checkpoint_entries
            || (self.log.since_snapshot.1 >= CHECKPOINT_BYTES && self.log.since_snapshot.0 > 0);
        let taken = self.decided.is_empty() && self.pending_restore.is_none();
        (due && taken && self.diverged_at.is_none() && self.writes.len() < QUEUED_WRITES_MAX)
            .then_some(self.log.head.index)
    }

    /// Provides the state machines' snapshots at the index returned by [`Node::snapshot_due`].
    ///
    /// # Errors
    /// Together they exceed [`crate::SNAPSHOT_MAX_BYTES`]. The log is then not trimmed, and the leader
    /// rejects proposals once it is full.
    pub fn provide_snapshot(
        &mut self,
        now: Now,
        at: Index,
        machines: MachineSnapshots,
    ) -> Result<(), ProposeError> {
        if self.snapshot_due() != Some(at) {
            return Ok(());
        }
        let size = machines.iter().map(|(_, m)| m.len()).sum();
        let checkpoint = Checkpoint { head: self.log.head.clone(), machines };
        let bytes = checkpoint.encode().ok_or(ProposeError::TooLarge(size))?;
        self.process_voter(now);
        if self.log.head.index != at {
            return Ok(());
        }
        self.log.set_snapshot(bytes.clone());
        if let Some(voter) = &mut self.voter {
            if std::mem::take(&mut self.replace_log) && voter.decided() < at.0 {
                voter.replace_log(at.0);
            } else {
                voter.trim(at.0);
            }
            let voter_state = voter.storage().lock().state.clone();
            voter.storage().drop_ops();
            self.writes.snapshot(&StoreSnapshot { checkpoint: Some(bytes), voter_state });
        }
        self.process_voter(now);
        Ok(())
    }

    /// The next write to make durable. One write is handed out at a time: the next follows when this one was
    /// completed or failed.
    pub fn take_ready(&mut self, now: Now) -> Option<Ready> {
        if self.write_failure.as_ref().is_some_and(|(_, at)| now.boot < *at) {
            return None;
        }
        self.writes.start_next()
    }

    /// Reports that a write is durable: it survives a power loss.
    pub fn write_completed(&mut self, now: Now, number: u64) {
        self.write_failure = None;
        let messages = self.writes.complete(number);
        messages.into_iter().for_each(|m| self.push_outgoing(m));
        self.process_voter(now);
    }

    /// Reports that a write failed, for example because the disk is full. Until it succeeds the voter neither
    /// handles nor sends messages, so that the other voters continue without it. [`Node::take_ready`] offers
    /// the write again after a second.
    pub fn write_failed(&mut self, now: Now, number: u64, error: String) {
        if self.writes.fail(number) {
            self.write_failure = Some((error, now.boot + WRITE_RETRY));
        }
    }

    /// Returns whether this node leads as far as it knows; several nodes may believe so.
    pub fn is_leader(&self) -> bool {
        self.accepts_messages()
            && self.diverged_at.is_none()
            && self.voter.as_ref().is_some_and(Voter::is_leader)
    }

    /// Returns the node's status.
    pub fn status(&self) -> Status {
        let no_vote_reason = || match &self.voter {
            _ if self.diverged_at.is_some() => Some(NoVoteReason::Broken),
            None => Some(NoVoteReason::Learner),
            Some(_) if self.write_failure.is_some() => Some(NoVoteReason::CannotWrite),
            Some(voter) => voter.no_vote_reason(),
        };
        Status {
            leader: self.leader(),
            decided: self.log.head.index,
            known: Index(self.learner.known.max(self.log.end())),
            no_vote: no_vote_reason(),
            write_error: self.write_failure.as_ref().map(|(error, _)| error.clone()),
            diverged_at: self.diverged_at,
            dropped: self.dropped + self.voter.as_ref().map_or(0, |v| v.dropped),
        }
    }

    /// The leader, as far as known.
    fn leader(&self) -> Option<Name> {
        self.newest_leader().map(|(_, name)| name)
    }

    /// The leader of the latest known election, from this node's own voter or announced by other nodes.
    pub(crate) fn newest_leader(&self) -> Option<(u32, Name)> {
        let local = self
            .voter
            .as_ref()
            .and_then(|v| Some((v.round(), self.settings.voters.get(v.leader()?)?.clone())));
        match (local, self.learner.leader.clone()) {
            (Some(local), Some(announced)) => Some(if announced.0 > local.0 { announced } else { local }),
            (local, announced) => local.or(announced),
        }
    }

    /// Returns whether the voter may take part: no write is failing and the queue of writes is not full.
    fn accepts_messages(&self) -> bool {
        self.write_failure.is_none() && self.writes.len() < QUEUED_WRITES_MAX
    }

    /// Sends proposals towards the leader, or to a random other voter if no leader is known or `any_voter` is
    /// set.
    fn route(&mut self, now: Now, proposals: Vec<Proposal>, hops: u8, any_voter: bool) {
        if self.is_leader() {
            for p in proposals {
                let size = p.body.len() + 128;
                if self.queue.len() >= QUEUE_ENTRIES_MAX || self.queue_bytes + size > QUEUE_BYTES_MAX {
                    self.dropped += 1;
                    continue;
                }
                self.queue_bytes += size;
                self.queue.push_back(p);
                self.flush_at.get_or_insert(now.boot + self.settings.batch_delay);
            }
            return;
        }
        let to = match self.leader().filter(|l| *l != self.me.name && !any_voter) {
            Some(leader) => leader,
            // A voter that was sent the proposal and knows no leader has no better node to send it to.
            None if hops > 0 => return,
            None => {
                let others: Vec<&Name> =
                    self.settings.voters.iter().filter(|v| **v != self.me.name).collect();
                match others.get(self.rng.random_range(0..others.len().max(1))) {
                    Some(voter) => (*voter).clone(),
                    None => return,
                }
            }
        };
        self.send(to, None, &WireMessage::Propose { hops, proposals });
    }

    /// Sends a message that does not depend on a write. Without `kind` it is sent as a datagram if it fits
    /// one. Returns its size in bytes, or 0 if it is too large to send.
    pub(crate) fn send(&mut self, to: Name, kind: Option<Kind>, wire: &WireMessage) -> usize {
        let Some(bytes) = encode(wire) else {
            self.dropped += 1;
            return 0;
        };
        let size = bytes.len();
        let kind = kind.unwrap_or(if size <= DATAGRAM_MAX_BYTES { Kind::Datagram } else { Kind::Stream });
        self.push_outgoing(Outgoing { to, kind, bytes });
        size
    }

    fn push_outgoing(&mut self, message: Outgoing) {
        if self.outgoing.len() >= OUTGOING_MAX {
            self.dropped += 1;
        } else {
            self.outgoing.push_back(message);
        }
    }

    /// Distributes the voter's results: state changes go to the write queue, messages are deferred until
    /// those writes are durable, and decided entries go to the user and the peers.
    fn process_voter(&mut self, now: Now) {
        let Some(voter) = &mut self.voter else { return };
        let messages = voter.take_outgoing();
        if let Some(ops) = voter.storage().take_ops() {
            self.writes.record(ops);
        }
        let mut sendable = Vec::new();
        for (to, kind, wire) in messages {
            let (Some(to), Some(bytes)) = (self.settings.voters.get(to), encode(&wire)) else {
                self.dropped += 1;
                continue;
            };
            #[cfg(test)]
            let kind = if self.paxos_by_datagram && bytes.len() <= DATAGRAM_MAX_BYTES {
                Kind::Datagram
            } else {
                kind
            };
            sendable.extend(self.writes.defer(Outgoing { to: to.clone(), kind, bytes }));
        }
        #[cfg(test)]
        if self.inject_send_before_durable {
            sendable.extend(self.writes.release_all_deferred());
        }
        sendable.into_iter().for_each(|m| self.push_outgoing(m));
        self.compare_logs();
        let from = self.log.end();
        while self.decided.len() < UNTAKEN_ENTRIES_MAX && self.diverged_at.is_none() {
            let entries = self.voter.as_ref().map(|v| v.decided_after(self.log.end())).unwrap_or_default();
            if entries.is_empty() {
                break;
            }
            entries.into_iter().for_each(|entry| self.learn_entry(entry));
            self.compared_to = self.log.end();
        }
        self.forward(now, from, None);
    }

    /// Compares entries decided in the voter's log with the same entries learned earlier from other nodes.
    fn compare_logs(&mut self) {
        let Some(voter) = &self.voter else { return };
        let to = voter.decided().min(self.log.end());
        if self.compared_to >= to {
            return;
        }
        let entries = voter.decided_after(self.compared_to);
        if entries.is_empty() {
            // Trimmed, or replaced by a snapshot: there is nothing left to compare.
            self.compared_to = to;
        }
        for entry in entries {
            if self.compared_to >= to {
                break;
            }
            self.compared_to += 1;
            if self.log.entry_at(self.compared_to).is_some_and(|learned| *learned != entry) {
                self.diverged_at = Some(Index(self.compared_to));
                return;
            }
        }
    }

    /// Applies the next decided entry.
    pub(crate) fn learn_entry(&mut self, entry: LogEntry) {
        let decided = self.log.apply(entry, (self.settings.keep_entries, self.settings.keep_bytes));
        if decided.proposal.proposer == self.me {
            let id = decided.proposal.id;
            self.own_proposals.retain(|o| o.proposal.id > id);
        }
        self.decided.push_back(decided);
    }

    /// Returns whether more entries can be learned before the user takes the pending ones.
    pub(crate) fn has_capacity(&self) -> bool {
        self.decided.len() < UNTAKEN_ENTRIES_MAX && self.diverged_at.is_none()
    }

    /// Replaces all entries by a snapshot.
    pub(crate) fn restore(&mut self, checkpoint: Checkpoint, bytes: Vec<u8>) {
        self.log = LearnedLog::restored(&checkpoint, bytes);
        self.decided.clear();
        let last_decided_id = checkpoint.head.last_id(&self.me);
        self.own_proposals.retain(|o| o.proposal.id > last_decided_id);
        self.pending_restore = Some((checkpoint.head.index, checkpoint.machines));
    }

    fn flush(&mut self, now: Now) {
        self.flush_at = None;
        while let Some(proposal) = self.queue.pop_front() {
            self.queue_bytes -= proposal.body.len() + 128;
            if self.log.head.last_id(&proposal.proposer) >= proposal.id {
                continue;
            }
            let has_capacity = self.voter.as_ref().is_some_and(Voter::has_capacity) && self.is_leader();
            let Some(voter) = self.voter.as_mut().filter(|_| has_capacity) else {
                if self.is_leader() {
                    self.queue_bytes += proposal.body.len() + 128;
                    self.queue.push_front(proposal);
                    self.flush_at = Some(now.boot + self.settings.batch_delay);
                } else {
                    // Another voter leads now: the proposers will repeat their proposals.
                    self.dropped += 1 + self.queue.len() as u64;
                    self.queue.clear();
                    self.queue_bytes = 0;
                }
                return;
            };
            if voter.append(LogEntry { wall_ms: now.wall_ms, proposal }).is_err() {
                self.dropped += 1;
            }
        }
    }

    fn retry_proposals(&mut self, now: Now) {
        let mut retries = Vec::new();
        self.own_proposals.retain_mut(|o| {
            if now.boot < o.retry_at {
                return true;
            }
            o.attempts += 1;
            o.retry_at = now.boot + PROPOSAL_RETRY;
            if o.attempts <= PROPOSAL_ATTEMPTS {
                retries.push(o.proposal.clone());
            }
            o.attempts <= PROPOSAL_ATTEMPTS
        });
        for proposal in retries {
            // The known leader did not respond or cannot be reached; another voter may know the current one.
            self.route(now, vec![proposal], 0, true);
        }
    }

    fn on_proposals(&mut self, now: Now, from: &Peer, hops: u8, mut proposals: Vec<Proposal>) {
        let before = proposals.len();
        proposals
            .retain(|p| p.id > 0 && p.body.len() <= BODY_MAX_BYTES && !p.proposer.name.as_str().is_empty());
        // Unless forwarded, a proposal must come from its proposer.
        proposals.retain(|p| hops > 0 || p.proposer == *from);
        self.dropped += (before - proposals.len()) as u64;
        if self.voter.is_none() || !self.accepts_messages() || hops > HOPS_MAX || proposals.is_empty() {
            self.dropped += 1;
        } else if self.is_leader() || hops < HOPS_MAX {
            self.route(now, proposals, hops + 1, false);
        }
    }
}

impl Protocol for Node {
    fn on_message(&mut self, now: Now, from: &Peer, bytes: &[u8]) {
        let wire = match decode(bytes) {
            Ok(wire) if self.diverged_at.is_none() => wire,
            _ => {
                self.dropped += 1;
                return;
            }
        };
        let voter = self.settings.voters.iter().position(|v| *v == from.name && from.name != self.me.name);
        let accepts_messages = self.accepts_messages();
        match (wire, voter, &mut self.voter) {
            (WireMessage::Hello { identity, stage, set, answer }, Some(i), Some(me)) if accepts_messages => {
                me.on_hello(i, PeerStatus { identity, stage, set }, answer);
            }
            (WireMessage::Paxos { fleet, number, message }, Some(i), Some(me)) if accepts_messages => {
                me.on_paxos(i, from.session, fleet, number, message);
            }
            (WireMessage::LogStatus { fleet, accepted, decided }, Some(i), Some(me)) => {
                me.on_log_status(i, fleet, accepted, decided)
            }
            (WireMessage::Propose { hops, proposals }, ..) => self.on_proposals(now, from, hops, proposals),
            (WireMessage::Hello { .. } | WireMessage::Paxos { .. } | WireMessage::LogStatus { .. }, ..) => {
                self.dropped += 1
            }
            (wire, ..) => self.on_gossip(now, from, wire),
        }
        self.process_voter(now);
    }

    fn tick(&mut self, now: Now) {
        if self.diverged_at.is_some() {
            return;
        }
        if now.boot >= self.tick_at {
            self.tick_at = now.boot + self.settings.tick_interval;
            if self.accepts_messages() {
                let (learned, hello_interval) = (self.log.end(), self.settings.gossip_interval);
                if let Some(voter) = &mut self.voter {
                    self.replace_log |= voter.tick(now.boot, learned, hello_interval);
                }
            }
        }
        self.process_voter(now);
        if self.flush_at.is_some_and(|at| now.boot >= at) {
            self.flush(now);
        }
        if self.own_proposals.front().is_some_and(|o| now.boot >= o.retry_at) {
            self.retry_proposals(now);
        }
        self.gossip(now);
        self.process_voter(now);
    }

    fn next_due(&self) -> Option<Duration> {
        if self.diverged_at.is_some() {
            return None;
        }
        let tick = self.voter.is_some().then_some(self.tick_at);
        let proposal_retry = self.own_proposals.front().map(|o| o.retry_at);
        let write_retry = self.write_failure.as_ref().map(|(_, at)| *at);
        [tick, proposal_retry, write_retry, self.flush_at, Some(self.learner.next_due())]
            .into_iter()
            .flatten()
            .min()
    }

    fn take_outgoing(&mut self) -> Option<Outgoing> {
        self.outgoing.pop_front()
    }
}
