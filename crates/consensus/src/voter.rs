//! One voter: the consensus library's instance, protected against inputs and states it does not handle
//! (listed in `docs/design/consensus.md`).

use std::time::Duration;

use magpietally_transport::{Kind, Session};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::ballot_leader_election::HeartbeatMsg;
use omnipaxos::messages::sequence_paxos::{Compaction, PaxosMessage, PaxosMsg};
use omnipaxos::messages::Message;
use omnipaxos::util::{LogSync, NodeId};
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};

use crate::bootstrap::{Bootstrap, NoVoteReason, PeerStatus};
use crate::head::LogEntry;
use crate::storage::{BootstrapState, VoterOp, VoterState, VoterStorage};
use crate::wire::{BootstrapStage, WireMessage};

/// Ticks in one round of heartbeats.
const HEARTBEAT_ROUND_TICKS: u64 = 5;
/// Ticks after which the library resends messages that were not answered.
const RESEND_TICKS: u64 = 12;
/// Ticks without progress after which a follower asks its leader to bring it up to date. The library itself
/// does not notice when the last message before a quiet period was lost.
const RESYNC_TICKS: u32 = 12;
/// Ticks without progress after which a voter whose log is behind what this node has learned replaces its log
/// with the learned entries.
const REPLACE_LOG_TICKS: u32 = 25;
/// Limits on the accepted but undecided entries; beyond them the leader's proposals wait.
const UNDECIDED_ENTRIES_MAX: u64 = 1024;
const UNDECIDED_BYTES_MAX: usize = 256 << 10;
/// The largest log of a leader, in bytes, when the user of the log provides no snapshots that would allow
/// trimming it.
const LOG_BYTES_MAX: usize = 4 << 20;
/// Upper bound on the round of a ballot. No fleet holds that many elections: a greater round is corrupt, and
/// the library would overflow when incrementing it.
pub(crate) const ELECTION_ROUND_MAX: u32 = 1 << 30;

/// Highest message numbers received from one other voter, for datagrams and for streams.
#[derive(Clone, Copy, Debug, Default)]
struct Channel {
    session: Session,
    last_received: [u64; 2],
}

pub(crate) struct Voter {
    me: usize,
    voters: usize,
    storage: VoterStorage,
    bootstrap: Bootstrap,
    paxos: Option<OmniPaxos<LogEntry, VoterStorage>>,
    channels: Vec<Channel>,
    last_number: u64,
    hello_sent_at: Option<Duration>,
    /// The leader's accepted and decided indexes, as last announced.
    leader_log: (u64, u64),
    /// This voter's accepted and decided indexes when they last changed, and the ticks since.
    last_progress: (u64, u64),
    idle_ticks: u32,
    outgoing: Vec<(usize, Kind, WireMessage)>,
    pub dropped: u64,
}

impl Voter {
    /// Opens a voter with its stored state. Without a stored bootstrap state this is its first start, or its
    /// disk was lost.
    pub fn open(me: usize, voters: usize, state: VoterState, identity: u64) -> Self {
        let stored = state.bootstrap.clone();
        let storage = VoterStorage::new(state);
        let own = stored.unwrap_or_else(|| {
            let own = BootstrapState { identity, stage: BootstrapStage::New, set: Vec::new() };
            storage.lock().record(VoterOp::Bootstrap(own.clone()));
            own
        });
        let mut voter = Self {
            me,
            voters,
            storage,
            bootstrap: Bootstrap::new(me, voters, own),
            paxos: None,
            channels: vec![Channel::default(); voters],
            last_number: 0,
            hello_sent_at: None,
            leader_log: (0, 0),
            last_progress: (0, 0),
            idle_ticks: 0,
            outgoing: Vec::new(),
            dropped: 0,
        };
        voter.start_paxos();
        voter
    }

    fn start_paxos(&mut self) {
        if self.bootstrap.own.stage != BootstrapStage::Complete {
            return;
        }
        let config = OmniPaxosConfig {
            cluster_config: ClusterConfig {
                configuration_id: 1,
                nodes: (1..=self.voters as NodeId).collect(),
                flexible_quorum: None,
            },
            server_config: ServerConfig {
                pid: self.me as NodeId + 1,
                election_tick_timeout: HEARTBEAT_ROUND_TICKS,
                resend_message_tick_timeout: RESEND_TICKS,
                ..ServerConfig::default()
            },
        };
        // The settings are validated beforehand, and the library has no other reason to reject them.
        self.paxos = config.build(self.storage.clone()).ok();
        self.collect_outgoing();
    }

    pub fn storage(&self) -> &VoterStorage {
        &self.storage
    }

    pub fn no_vote_reason(&self) -> Option<NoVoteReason> {
        if self.storage.lock().error.is_some() {
            return Some(NoVoteReason::Broken);
        }
        self.bootstrap.no_vote_reason()
    }

    /// The current leader, as far as this voter knows.
    pub fn leader(&self) -> Option<usize> {
        let (pid, _) = self.paxos.as_ref()?.get_current_leader()?;
        usize::try_from(pid).ok()?.checked_sub(1).filter(|i| *i < self.voters)
    }

    /// The round of the election in which that leader was elected.
    pub fn round(&self) -> u32 {
        self.paxos.as_ref().map_or(0, |o| o.get_promise().n)
    }

    /// Returns whether this voter is the leader and may append.
    pub fn is_leader(&self) -> bool {
        let me = self.me as NodeId + 1;
        self.no_vote_reason().is_none()
            && self.paxos.as_ref().is_some_and(|o| o.get_current_leader() == Some((me, true)))
    }

    pub fn decided(&self) -> u64 {
        self.storage.lock().state.decided
    }

    /// Returns whether the leader accepts more entries.
    pub fn has_capacity(&self) -> bool {
        let storage = self.storage.lock();
        let undecided = storage
            .state
            .entries(storage.state.decided.max(storage.state.compacted), storage.state.accepted());
        storage.state.bytes < LOG_BYTES_MAX
            && (undecided.len() as u64) < UNDECIDED_ENTRIES_MAX
            && undecided.iter().map(LogEntry::size).sum::<usize>() < UNDECIDED_BYTES_MAX
    }

    /// Appends an entry if this voter leads and has capacity; otherwise returns it.
    pub fn append(&mut self, entry: LogEntry) -> Result<(), LogEntry> {
        if !self.is_leader() || !self.has_capacity() {
            return Err(entry);
        }
        if let Some(paxos) = &mut self.paxos {
            // Fails only after a stop sign, which is never proposed.
            let _ = paxos.append(entry);
        }
        Ok(())
    }

    /// The decided entries after index `from`, at most 256.
    pub fn decided_after(&self, from: u64) -> Vec<LogEntry> {
        let storage = self.storage.lock();
        let to = storage.state.decided.min(storage.state.accepted()).min(from + 256);
        storage.state.entries(from, to).to_vec()
    }

    /// Advances the clock by one tick; `learned` is the end of the log this node has learned. Returns whether
    /// the voter's log has to be replaced by the learned one.
    pub fn tick(&mut self, now: Duration, learned: u64, hello_interval: Duration) -> bool {
        if self.no_vote_reason() == Some(NoVoteReason::Broken) {
            return false;
        }
        if self.hello_sent_at.is_none_or(|at| now >= at + hello_interval)
            && self.bootstrap.own.stage != BootstrapStage::Complete
        {
            self.hello_sent_at = Some(now);
            let me = self.me;
            for to in (0..self.voters).filter(|to| *to != me) {
                self.send_hello(to, true);
            }
        }
        let Some(paxos) = &mut self.paxos else { return false };
        paxos.tick();
        let (accepted, decided) = {
            let storage = self.storage.lock();
            (storage.state.accepted(), storage.state.decided)
        };
        self.idle_ticks =
            if (accepted, decided) == self.last_progress { self.idle_ticks.saturating_add(1) } else { 0 };
        self.last_progress = (accepted, decided);
        let leader = self.leader();
        if self.is_leader() {
            let me = self.me;
            for to in (0..self.voters).filter(|to| *to != me) {
                let status = WireMessage::LogStatus { fleet: self.bootstrap.fleet_id(), accepted, decided };
                if self.idle_ticks % HEARTBEAT_ROUND_TICKS as u32 == 1 {
                    self.outgoing.push((to, Kind::Datagram, status));
                }
            }
        } else if let Some(leader) = leader.filter(|l| *l != self.me) {
            let behind = self.leader_log.0 > accepted || self.leader_log.1 > decided || accepted > decided;
            if behind && self.idle_ticks > 0 && self.idle_ticks.is_multiple_of(RESYNC_TICKS) {
                if let Some(paxos) = &mut self.paxos {
                    paxos.reconnected(leader as NodeId + 1);
                }
            }
        }
        self.collect_outgoing();
        learned > decided && self.idle_ticks >= REPLACE_LOG_TICKS
    }

    /// Replaces the log up to `learned` by the learned entries, which a checkpoint covers.
    pub fn replace_log(&mut self, learned: u64) {
        self.storage.lock().record(VoterOp::Trim(learned));
        self.idle_ticks = 0;
        self.paxos = None;
        self.start_paxos();
    }

    /// Trims the entries that a checkpoint at `covered` holds, except for a tail.
    pub fn trim(&mut self, covered: u64) {
        let to = self.storage.lock().state.trim_point(covered);
        let me = self.me as NodeId + 1;
        if let (Some(paxos), Ok(to)) = (&mut self.paxos, usize::try_from(to)) {
            // The library's own trim call fails while any voter is unreachable, which would let the log grow
            // without bound.
            let msg = PaxosMsg::Compaction(Compaction::Trim(to));
            paxos.handle_incoming(Message::SequencePaxos(PaxosMessage { from: me, to: me, msg }));
        }
    }

    fn send_hello(&mut self, to: usize, answer: bool) {
        let own = &self.bootstrap.own;
        let hello =
            WireMessage::Hello { identity: own.identity, stage: own.stage, set: own.set.clone(), answer };
        self.outgoing.push((to, Kind::Datagram, hello));
    }

    pub fn on_hello(&mut self, from: usize, status: PeerStatus, answer: bool) {
        if self.bootstrap.receive(from, status) {
            self.storage.lock().record(VoterOp::Bootstrap(self.bootstrap.own.clone()));
            self.start_paxos();
        }
        if answer {
            self.send_hello(from, false);
        }
    }

    pub fn on_log_status(&mut self, from: usize, fleet: u64, accepted: u64, decided: u64) {
        if fleet == self.bootstrap.fleet_id() && self.leader() == Some(from) {
            self.leader_log = (accepted, decided);
        }
    }

    /// Handles a message of the consensus library from another voter.
    pub fn on_paxos(
        &mut self,
        from: usize,
        session: Session,
        fleet: u64,
        number: u64,
        message: Message<LogEntry>,
    ) {
        let stream = usize::from(matches!(message, Message::SequencePaxos(_)));
        let channel = &mut self.channels[from];
        if session > channel.session {
            *channel = Channel { session, last_received: [0; 2] };
        }
        let is_new = session == channel.session && number > channel.last_received[stream];
        if !is_new || fleet != self.bootstrap.fleet_id() || self.no_vote_reason().is_some() {
            self.dropped += 1;
            return;
        }
        self.channels[from].last_received[stream] = number;
        let (me, from) = (self.me as NodeId + 1, from as NodeId + 1);
        if message.get_sender() != from || message.get_receiver() != me {
            self.dropped += 1;
            return;
        }
        let (Some(message), Some(paxos)) = (self.validate(message), &mut self.paxos) else {
            self.dropped += 1;
            return;
        };
        paxos.handle_incoming(message);
        self.collect_outgoing();
    }

    /// Returns the message if the library can handle it safely.
    fn validate(&self, message: Message<LogEntry>) -> Option<Message<LogEntry>> {
        let is_valid =
            |b: &Ballot| b.n < ELECTION_ROUND_MAX && b.config_id <= 1 && b.pid <= self.voters as NodeId;
        match message {
            Message::BLE(b) => match &b.msg {
                HeartbeatMsg::Request(_) => Some(Message::BLE(b)),
                HeartbeatMsg::Reply(r) => {
                    (is_valid(&r.ballot) && is_valid(&r.leader)).then_some(Message::BLE(b))
                }
            },
            Message::SequencePaxos(mut p) => {
                let (decided, accepted) = {
                    let storage = self.storage.lock();
                    (storage.state.decided, storage.state.accepted())
                };
                let ok = match &mut p.msg {
                    PaxosMsg::PrepareReq(m) => is_valid(&m.n),
                    PaxosMsg::Prepare(m) => is_valid(&m.n) && is_valid(&m.n_accepted),
                    PaxosMsg::Promise(m) => {
                        is_valid(&m.n)
                            && is_valid(&m.n_accepted)
                            && m.log_sync.as_mut().is_none_or(|s| trim_log_sync(s, decided, accepted))
                    }
                    PaxosMsg::AcceptSync(m) => {
                        is_valid(&m.n) && trim_log_sync(&mut m.log_sync, decided, accepted)
                    }
                    PaxosMsg::AcceptDecide(m) => is_valid(&m.n),
                    PaxosMsg::Accepted(m) => is_valid(&m.n),
                    PaxosMsg::NotAccepted(m) => is_valid(&m.n),
                    PaxosMsg::Decide(m) => is_valid(&m.n),
                    // Unused here: proposals travel in the node's own messages, and each voter trims its own
                    // log.
                    PaxosMsg::ProposalForward(_)
                    | PaxosMsg::Compaction(_)
                    | PaxosMsg::AcceptStopSign(_)
                    | PaxosMsg::ForwardStopSign(_) => false,
                };
                ok.then_some(Message::SequencePaxos(p))
            }
        }
    }

    /// Collects the library's outgoing messages. For a log part that was trimmed the library would send an
    /// empty one, and the receiver would continue at a wrong index. Such a message is dropped; the receiver
    /// learns the entries from its peers.
    fn collect_outgoing(&mut self) {
        let Some(paxos) = &mut self.paxos else { return };
        let mut messages = Vec::new();
        paxos.take_outgoing_messages(&mut messages);
        let compacted = self.storage.lock().state.compacted;
        for message in messages {
            let kind = match &message {
                Message::BLE(_) => Kind::Datagram,
                Message::SequencePaxos(p) => {
                    let sync = match &p.msg {
                        PaxosMsg::Promise(m) => m.log_sync.as_ref(),
                        PaxosMsg::AcceptSync(m) => Some(&m.log_sync),
                        _ => None,
                    };
                    if sync.is_some_and(|s| (s.sync_idx as u64) < compacted) {
                        self.dropped += 1;
                        continue;
                    }
                    Kind::Stream
                }
            };
            let Some(to) = usize::try_from(message.get_receiver()).ok().and_then(|p| p.checked_sub(1)) else {
                continue;
            };
            self.last_number += 1;
            let wire =
                WireMessage::Paxos { fleet: self.bootstrap.fleet_id(), number: self.last_number, message };
            self.outgoing.push((to, kind, wire));
        }
    }

    /// Messages to send once the changes of [`VoterStorage::take_ops`] are durable. Must be called after
    /// every other call.
    pub fn take_outgoing(&mut self) -> Vec<(usize, Kind, WireMessage)> {
        self.collect_outgoing();
        std::mem::take(&mut self.outgoing)
    }
}

/// Returns whether a log part can be appended to this voter's log. Removes the entries from its front that
/// this voter has already decided.
fn trim_log_sync(sync: &mut LogSync<LogEntry>, decided: u64, accepted: u64) -> bool {
    let at = sync.sync_idx as u64;
    if sync.decided_snapshot.is_some() || sync.stopsign.is_some() || at > accepted {
        return false;
    }
    if at < decided {
        // Decided entries are the same on every voter.
        let Ok(cut) = usize::try_from(decided - at) else { return false };
        if cut > sync.suffix.len() {
            return false;
        }
        sync.suffix.drain(..cut);
        sync.sync_idx += cut;
    }
    true
}
