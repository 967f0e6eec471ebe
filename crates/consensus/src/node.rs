//! One node's part of the log: a voter or a learner, as a room.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use magpietally_transport::{Kind, Name, Now, Outgoing, Peer, Room};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::chain::{Chain, Checkpoint, MachineSnapshots};
use crate::entry::{DecidedEntry, Index, Proposal, Topic, BODY_MAX_BYTES};
use crate::founding::{NoVoteReason, Said};
use crate::head::Item;
use crate::learn::Learner;
use crate::ready::{Ready, Stored, StoredError, Writes, WAITING_MAX};
use crate::settings::{Settings, SettingsError};
use crate::voter::Voter;
use crate::wire::{decode, encode, Wire};

/// Own proposals that wait for their decision: a machine has a few at a time.
const OWN_MAX: usize = 256;
/// A proposal is said again after this, so many times; then it is left to its machine.
const AGAIN: Duration = Duration::from_secs(1);
const TRIES: u32 = 3;
/// Proposals that wait at the leader, in number and bytes: a second of a busy fleet.
const QUEUE_MAX: usize = 4096;
const QUEUE_BYTES: usize = 1 << 20;
/// From a voter that does not lead to one that perhaps does: more hops would only chase a moving leader.
const HOPS_MAX: u8 = 2;
/// A refused write is tried again after this.
const RETRY: Duration = Duration::from_secs(1);
/// Decided entries that the user has not taken yet; the node learns no more until it does.
pub(crate) const UNTAKEN_MAX: usize = 4096;
/// Messages that wait for the carrier, which takes all after each call.
const OUT_MAX: usize = 8192;
/// Bytes of entries after which a voter's log is trimmed by a checkpoint, so that its tail fits one message.
const CHECKPOINT_BYTES: usize = 256 << 10;
/// The largest datagram this room sends: what fits a frame of 1,500 bytes.
pub(crate) const DATAGRAM_MAX: usize = 1200;

/// Why a proposal was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// Larger than [`BODY_MAX_BYTES`].
    TooLarge(usize),
    /// So many of this node's proposals wait already.
    Full(usize),
    /// The log is broken here ([`Status::diverged_at`]).
    Diverged,
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(n) => write!(f, "a proposal of {n} bytes, at most {BODY_MAX_BYTES} are taken"),
            Self::Full(n) => write!(f, "{n} proposals of this node wait already"),
            Self::Diverged => write!(f, "this node's log does not fit the others'"),
        }
    }
}

impl std::error::Error for ProposeError {}

/// Why a node could not be opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// Its settings.
    Settings(SettingsError),
    /// What its store holds.
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

/// How a node stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Who leads, as far as this node knows.
    pub leader: Option<Name>,
    /// The last entry this node has learnt.
    pub decided: Index,
    /// The last that it knows to be decided anywhere.
    pub known: Index,
    /// Why it does not vote, where it does not.
    pub no_vote: Option<NoVoteReason>,
    /// What its store last said when it refused a write.
    pub write_error: Option<String>,
    /// The index at which its log differs from another node's: it uses the log no further.
    pub diverged_at: Option<Index>,
    /// Messages that could not be read or were out of place.
    pub dropped: u64,
}

struct Own {
    proposal: Proposal,
    tries: u32,
    at: Duration,
}

/// One node of the log.
pub struct Node {
    pub(crate) me: Peer,
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg64,
    voter: Option<Voter>,
    writes: Writes,
    refused: Option<(String, Duration)>,
    pub(crate) chain: Chain,
    pub(crate) learner: Learner,
    /// Up to where the voter's log was compared with what was learnt elsewhere.
    compared: u64,
    jump: bool,
    decided: VecDeque<DecidedEntry>,
    restore: Option<(Index, MachineSnapshots)>,
    next_id: u64,
    own: VecDeque<Own>,
    queue: VecDeque<Proposal>,
    queue_bytes: usize,
    flush_at: Option<Duration>,
    beat_at: Duration,
    out: VecDeque<Outgoing>,
    pub(crate) dropped: u64,
    pub(crate) broken: Option<Index>,
    #[cfg(test)]
    pub(crate) planted_sends_before_durable: bool,
    /// Votes by datagrams where they fit one, to have them lost, doubled and reordered.
    #[cfg(test)]
    pub(crate) votes_by_datagram: bool,
}

impl Node {
    /// A node at a start: with what its store held, of which a learner needs none.
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
        let stored = Stored::open(snapshot, records).map_err(OpenError::Stored)?;
        let checkpoint = stored.checkpoint().map_err(OpenError::Stored)?;
        let (chain, restore) = match (checkpoint, stored.checkpoint) {
            (Some(c), Some(bytes)) => (Chain::restored(&c, bytes), Some((c.head.index, c.machines))),
            _ => (Chain::default(), None),
        };
        let mut rng = Pcg64::seed_from_u64(settings.seed ^ me.session.0.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        let identity = rng.random_range(1..=u64::MAX);
        let at = settings.voters.iter().position(|v| *v == me.name);
        let voter = at.map(|i| Voter::open(i, settings.voters.len(), stored.votes, identity));
        let compared = chain.end();
        let mut node = Self {
            learner: Learner::new(now.boot, &settings, &mut rng),
            me,
            rng,
            voter,
            writes: Writes::default(),
            refused: None,
            chain,
            compared,
            jump: false,
            decided: VecDeque::new(),
            restore,
            next_id: 1,
            own: VecDeque::new(),
            queue: VecDeque::new(),
            queue_bytes: 0,
            flush_at: None,
            beat_at: now.boot,
            out: VecDeque::new(),
            dropped: 0,
            broken: None,
            settings,
            #[cfg(test)]
            planted_sends_before_durable: false,
            #[cfg(test)]
            votes_by_datagram: false,
        };
        node.pump(now);
        Ok(node)
    }

    /// The nodes of the fleet as they are known, which entries are passed on to and asked of; the voters always are. At
    /// most [`crate::PEERS_MAX`] are used.
    pub fn set_peers(&mut self, peers: &[Name]) {
        self.learner.set_peers(&self.me.name, &self.settings.voters, peers);
    }

    /// Proposes an entry; the number by which it will be known ([`Proposal::id`]). It may be lost.
    ///
    /// A proposal of [`Topic::Voters`] with an empty body changes nothing and is how to read **currently**: when its own
    /// entry comes out of [`Node::take_decided`], all that was decided before the call has come out before it.
    ///
    /// # Errors
    /// See [`ProposeError`].
    pub fn propose(&mut self, now: Now, topic: Topic, body: Vec<u8>) -> Result<u64, ProposeError> {
        if self.broken.is_some() {
            return Err(ProposeError::Diverged);
        }
        if body.len() > BODY_MAX_BYTES {
            return Err(ProposeError::TooLarge(body.len()));
        }
        if self.own.len() >= OWN_MAX {
            return Err(ProposeError::Full(self.own.len()));
        }
        let id = self.next_id;
        self.next_id += 1;
        let proposal = Proposal { topic, proposer: self.me.clone(), id, body };
        self.own.push_back(Own { proposal: proposal.clone(), tries: 1, at: now.boot + AGAIN });
        self.route(now, vec![proposal], 0, false);
        self.pump(now);
        Ok(id)
    }

    /// The next decided entry, in order. Nothing while a snapshot waits in [`Node::take_restore`].
    pub fn take_decided(&mut self) -> Option<DecidedEntry> {
        if self.restore.is_some() {
            return None;
        }
        self.decided.pop_front()
    }

    /// A snapshot that takes the place of all entries up to this index: this node was too far behind, or starts anew.
    pub fn take_restore(&mut self) -> Option<(Index, MachineSnapshots)> {
        self.restore.take()
    }

    /// The entry whose machines' snapshots are wanted now; only when all decided entries were taken.
    pub fn snapshot_due(&self) -> Option<Index> {
        let due = self.jump
            || self.chain.since.0 >= self.settings.checkpoint_entries
            || (self.chain.since.1 >= CHECKPOINT_BYTES && self.chain.since.0 > 0);
        let taken = self.decided.is_empty() && self.restore.is_none();
        (due && taken && self.broken.is_none() && self.writes.len() < WAITING_MAX)
            .then_some(self.chain.head.index)
    }

    /// The machines' snapshots at the index that [`Node::snapshot_due`] named.
    ///
    /// # Errors
    /// They are larger than [`crate::SNAPSHOT_MAX_BYTES`] together: the log is not trimmed, and the leader will refuse more when it
    /// is full.
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
        let checkpoint = Checkpoint { head: self.chain.head.clone(), machines };
        let bytes = checkpoint.encode().ok_or(ProposeError::TooLarge(size))?;
        self.pump(now);
        if self.chain.head.index != at {
            return Ok(());
        }
        self.chain.shoot(bytes.clone());
        if let Some(voter) = &mut self.voter {
            if std::mem::take(&mut self.jump) && voter.decided() < at.0 {
                voter.jump(at.0);
            } else {
                voter.trim(at.0);
            }
            let votes = voter.disk().lock().votes.clone();
            voter.disk().drop_ops();
            self.writes.snapshot(&Stored { checkpoint: Some(bytes), votes });
        }
        self.pump(now);
        Ok(())
    }

    /// The next write that has to be made durable. The next is given out when this one was answered.
    pub fn take_ready(&mut self, now: Now) -> Option<Ready> {
        if self.refused.as_ref().is_some_and(|(_, at)| now.boot < *at) {
            return None;
        }
        self.writes.take()
    }

    /// A write outlives a loss of power.
    pub fn write_completed(&mut self, now: Now, number: u64) {
        self.refused = None;
        let held = self.writes.durable(number);
        held.into_iter().for_each(|m| self.push_out(m));
        self.pump(now);
    }

    /// A write was refused (no space, say). Until it is durable the voter hears and says nothing, so that the others go on
    /// without it; [`Node::take_ready`] offers the write again after a second.
    pub fn write_failed(&mut self, now: Now, number: u64, error: String) {
        if self.writes.refused(number) {
            self.refused = Some((error, now.boot + RETRY));
        }
    }

    /// Whether this node leads as far as it knows; several may think so.
    pub fn is_leader(&self) -> bool {
        self.hears() && self.broken.is_none() && self.voter.as_ref().is_some_and(Voter::leads)
    }

    /// How it stands.
    pub fn status(&self) -> Status {
        let why = || match &self.voter {
            _ if self.broken.is_some() => Some(NoVoteReason::Broken),
            None => Some(NoVoteReason::Learner),
            Some(_) if self.refused.is_some() => Some(NoVoteReason::CannotWrite),
            Some(voter) => voter.why_not(),
        };
        Status {
            leader: self.leader(),
            decided: self.chain.head.index,
            known: Index(self.learner.known.max(self.chain.end())),
            no_vote: why(),
            write_error: self.refused.as_ref().map(|(why, _)| why.clone()),
            diverged_at: self.broken,
            dropped: self.dropped + self.voter.as_ref().map_or(0, |v| v.dropped),
        }
    }

    /// Who leads, as far as known.
    fn leader(&self) -> Option<Name> {
        self.newest_leader().map(|(_, name)| name)
    }

    /// The leader of the last election known of, by the own vote or by others' word.
    pub(crate) fn newest_leader(&self) -> Option<(u32, Name)> {
        let voted = self
            .voter
            .as_ref()
            .and_then(|v| Some((v.round(), self.settings.voters.get(v.leader()?)?.clone())));
        match (voted, self.learner.leader.clone()) {
            (Some(voted), Some(told)) => Some(if told.0 > voted.0 { told } else { voted }),
            (voted, told) => voted.or(told),
        }
    }

    /// Whether the voter may take part: what it has to write does not pile up.
    fn hears(&self) -> bool {
        self.refused.is_none() && self.writes.len() < WAITING_MAX
    }

    /// Sends proposals to where they can be decided: to the leader, or to any voter where none is known or `anyhow`.
    fn route(&mut self, now: Now, proposals: Vec<Proposal>, hops: u8, anyhow: bool) {
        if self.is_leader() {
            for p in proposals {
                let size = p.body.len() + 128;
                if self.queue.len() >= QUEUE_MAX || self.queue_bytes + size > QUEUE_BYTES {
                    self.dropped += 1;
                    continue;
                }
                self.queue_bytes += size;
                self.queue.push_back(p);
                self.flush_at.get_or_insert(now.boot + self.settings.batch_delay);
            }
            return;
        }
        let to = match self.leader().filter(|l| *l != self.me.name && !anyhow) {
            Some(leader) => leader,
            // A voter without a leader has nobody better to ask.
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
        self.send(to, None, &Wire::Propose { hops, proposals });
    }

    /// Sends a message that depends on nothing durable; without a kind as a datagram where it fits one.
    pub(crate) fn send(&mut self, to: Name, kind: Option<Kind>, wire: &Wire) -> usize {
        let Some(bytes) = encode(wire) else {
            self.dropped += 1;
            return 0;
        };
        let size = bytes.len();
        let kind = kind.unwrap_or(if size <= DATAGRAM_MAX { Kind::Datagram } else { Kind::Stream });
        self.push_out(Outgoing { to, kind, bytes });
        size
    }

    fn push_out(&mut self, message: Outgoing) {
        if self.out.len() >= OUT_MAX {
            self.dropped += 1;
        } else {
            self.out.push_back(message);
        }
    }

    /// Moves what the voter has done to where it belongs: changes to the writes, messages behind them, decided entries to
    /// the user and the peers.
    fn pump(&mut self, now: Now) {
        let Some(voter) = &mut self.voter else { return };
        let messages = voter.take_out();
        if let Some(ops) = voter.disk().take_ops() {
            self.writes.record(ops);
        }
        let mut free = Vec::new();
        for (to, kind, wire) in messages {
            let (Some(to), Some(bytes)) = (self.settings.voters.get(to), encode(&wire)) else {
                self.dropped += 1;
                continue;
            };
            #[cfg(test)]
            let kind =
                if self.votes_by_datagram && bytes.len() <= DATAGRAM_MAX { Kind::Datagram } else { kind };
            free.extend(self.writes.hold(Outgoing { to: to.clone(), kind, bytes }));
        }
        #[cfg(test)]
        if self.planted_sends_before_durable {
            free.extend(self.writes.forget_to_hold());
        }
        free.into_iter().for_each(|m| self.push_out(m));
        self.compare();
        let from = self.chain.end();
        while self.decided.len() < UNTAKEN_MAX && self.broken.is_none() {
            let items = self.voter.as_ref().map(|v| v.decided_after(self.chain.end())).unwrap_or_default();
            if items.is_empty() {
                break;
            }
            items.into_iter().for_each(|item| self.learn(item));
            self.compared = self.chain.end();
        }
        self.pass_on(now, from, None);
    }

    /// Compares what the voter's log decided with what was learnt from others first.
    fn compare(&mut self) {
        let Some(voter) = &self.voter else { return };
        let to = voter.decided().min(self.chain.end());
        if self.compared >= to {
            return;
        }
        let items = voter.decided_after(self.compared);
        if items.is_empty() {
            // Trimmed or jumped over: there is nothing left to compare.
            self.compared = to;
        }
        for item in items {
            if self.compared >= to {
                break;
            }
            self.compared += 1;
            if self.chain.item_at(self.compared).is_some_and(|learnt| *learnt != item) {
                self.broken = Some(Index(self.compared));
                return;
            }
        }
    }

    /// Takes the next decided item.
    pub(crate) fn learn(&mut self, item: Item) {
        let decided = self.chain.apply(item, (self.settings.keep_entries, self.settings.keep_bytes));
        if decided.proposal.proposer == self.me {
            let id = decided.proposal.id;
            self.own.retain(|o| o.proposal.id > id);
        }
        self.decided.push_back(decided);
    }

    /// Whether more can be learnt before the user takes what was.
    pub(crate) fn has_room(&self) -> bool {
        self.decided.len() < UNTAKEN_MAX && self.broken.is_none()
    }

    /// Puts a snapshot in the place of all entries.
    pub(crate) fn restore(&mut self, checkpoint: Checkpoint, bytes: Vec<u8>) {
        self.chain = Chain::restored(&checkpoint, bytes);
        self.decided.clear();
        let done = checkpoint.head.last_of(&self.me);
        self.own.retain(|o| o.proposal.id > done);
        self.restore = Some((checkpoint.head.index, checkpoint.machines));
    }

    fn flush(&mut self, now: Now) {
        self.flush_at = None;
        while let Some(proposal) = self.queue.pop_front() {
            self.queue_bytes -= proposal.body.len() + 128;
            if self.chain.head.last_of(&proposal.proposer) >= proposal.id {
                continue;
            }
            let room = self.voter.as_ref().is_some_and(Voter::has_room) && self.is_leader();
            let Some(voter) = self.voter.as_mut().filter(|_| room) else {
                if self.is_leader() {
                    self.queue_bytes += proposal.body.len() + 128;
                    self.queue.push_front(proposal);
                    self.flush_at = Some(now.boot + self.settings.batch_delay);
                } else {
                    // Another leads now: the proposers say them again.
                    self.dropped += 1 + self.queue.len() as u64;
                    self.queue.clear();
                    self.queue_bytes = 0;
                }
                return;
            };
            if voter.append(Item { wall_ms: now.wall_ms, proposal }).is_err() {
                self.dropped += 1;
            }
        }
    }

    fn say_again(&mut self, now: Now) {
        let mut again = Vec::new();
        self.own.retain_mut(|o| {
            if now.boot < o.at {
                return true;
            }
            o.tries += 1;
            o.at = now.boot + AGAIN;
            if o.tries <= TRIES {
                again.push(o.proposal.clone());
            }
            o.tries <= TRIES
        });
        for proposal in again {
            // The leader as known did not answer, or the way to it is broken: another voter may know better.
            self.route(now, vec![proposal], 0, true);
        }
    }

    fn on_proposals(&mut self, now: Now, from: &Peer, hops: u8, mut proposals: Vec<Proposal>) {
        let before = proposals.len();
        proposals
            .retain(|p| p.id > 0 && p.body.len() <= BODY_MAX_BYTES && !p.proposer.name.as_str().is_empty());
        // What comes from its proposer itself is its own.
        proposals.retain(|p| hops > 0 || p.proposer == *from);
        self.dropped += (before - proposals.len()) as u64;
        if self.voter.is_none() || !self.hears() || hops > HOPS_MAX || proposals.is_empty() {
            self.dropped += 1;
        } else if self.is_leader() || hops < HOPS_MAX {
            self.route(now, proposals, hops + 1, false);
        }
    }
}

impl Room for Node {
    fn on_message(&mut self, now: Now, from: &Peer, bytes: &[u8]) {
        let wire = match decode(bytes) {
            Ok(wire) if self.broken.is_none() => wire,
            _ => {
                self.dropped += 1;
                return;
            }
        };
        let voter = self.settings.voters.iter().position(|v| *v == from.name && from.name != self.me.name);
        let hears = self.hears();
        match (wire, voter, &mut self.voter) {
            (Wire::Hello { identity, stage, set, answer }, Some(i), Some(me)) if hears => {
                me.hear(i, Said { identity, stage, set }, answer);
            }
            (Wire::Vote { fleet, number, message }, Some(i), Some(me)) if hears => {
                me.on_vote(i, from.session, fleet, number, message);
            }
            (Wire::Tail { fleet, accepted, decided }, Some(i), Some(me)) => {
                me.on_tail(i, fleet, accepted, decided)
            }
            (Wire::Propose { hops, proposals }, ..) => self.on_proposals(now, from, hops, proposals),
            (Wire::Hello { .. } | Wire::Vote { .. } | Wire::Tail { .. }, ..) => self.dropped += 1,
            (wire, ..) => self.on_gossip(now, from, wire),
        }
        self.pump(now);
    }

    fn tick(&mut self, now: Now) {
        if self.broken.is_some() {
            return;
        }
        if now.boot >= self.beat_at {
            self.beat_at = now.boot + self.settings.tick_interval;
            if self.hears() {
                let (learnt, every) = (self.chain.end(), self.settings.gossip_interval);
                if let Some(voter) = &mut self.voter {
                    self.jump |= voter.tick(now.boot, learnt, every);
                }
            }
        }
        self.pump(now);
        if self.flush_at.is_some_and(|at| now.boot >= at) {
            self.flush(now);
        }
        if self.own.front().is_some_and(|o| now.boot >= o.at) {
            self.say_again(now);
        }
        self.gossip(now);
        self.pump(now);
    }

    fn next_due(&self) -> Option<Duration> {
        if self.broken.is_some() {
            return None;
        }
        let beat = self.voter.is_some().then_some(self.beat_at);
        let own = self.own.front().map(|o| o.at);
        let retry = self.refused.as_ref().map(|(_, at)| *at);
        [beat, own, retry, self.flush_at, Some(self.learner.next_due())].into_iter().flatten().min()
    }

    fn take_outgoing(&mut self) -> Option<Outgoing> {
        self.out.pop_front()
    }
}
