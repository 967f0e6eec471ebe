//! One voter: the library's instance, guarded on every side (`docs/design/consensus.md` says against what).

use std::time::Duration;

use magpietally_transport::{Kind, Session};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::ballot_leader_election::HeartbeatMsg;
use omnipaxos::messages::sequence_paxos::{Compaction, PaxosMessage, PaxosMsg};
use omnipaxos::messages::Message;
use omnipaxos::util::{LogSync, NodeId};
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};

use crate::founding::{Founding, NoVoteReason, Said};
use crate::head::Item;
use crate::storage::{Disk, Op, Standing, Votes};
use crate::wire::{Stage, Wire};

/// Beats in one round of heartbeats.
const ROUND: u64 = 5;
/// Beats after which the library sends again what had no answer.
const RESEND: u64 = 12;
/// Beats without progress after which a follower asks its leader to bring it up to date: the library itself does not
/// notice when the last message before a silence was lost.
const NUDGE: u32 = 12;
/// Beats without progress after which a voter whose log is behind what it has learnt takes the learnt entries for its log.
const JUMP: u32 = 25;
/// What may be accepted and not decided: past that the leader's proposals wait.
const OPEN_ENTRIES: u64 = 1024;
const OPEN_BYTES: usize = 256 << 10;
/// The most the leader's log holds, in bytes, where its user gives no snapshots to trim it by.
const LOG_BYTES: usize = 4 << 20;
/// No fleet has so many elections; a greater round is damage, and the library would overflow by adding to it.
pub(crate) const ROUND_MAX: u32 = 1 << 30;

/// Numbers on both lanes (datagrams and streams) of one other voter.
#[derive(Clone, Copy, Debug, Default)]
struct Lane {
    session: Session,
    came: [u64; 2],
}

pub(crate) struct Voter {
    me: usize,
    voters: usize,
    disk: Disk,
    founding: Founding,
    omni: Option<OmniPaxos<Item, Disk>>,
    lanes: Vec<Lane>,
    sent: u64,
    said_at: Option<Duration>,
    /// The leader's log as it last said.
    tail: (u64, u64),
    /// The own log when it last grew, and the beats since.
    grown: (u64, u64),
    still: u32,
    out: Vec<(usize, Kind, Wire)>,
    pub dropped: u64,
}

impl Voter {
    /// A voter with what its store holds; without a standing it is at its first start, or its disk was lost.
    pub fn open(me: usize, voters: usize, votes: Votes, identity: u64) -> Self {
        let known = votes.standing.clone();
        let disk = Disk::new(votes);
        let own = known.unwrap_or_else(|| {
            let own = Standing { identity, stage: Stage::Fresh, set: Vec::new() };
            disk.lock().make(Op::Standing(own.clone()));
            own
        });
        let mut voter = Self {
            me,
            voters,
            disk,
            founding: Founding::new(me, voters, own),
            omni: None,
            lanes: vec![Lane::default(); voters],
            sent: 0,
            said_at: None,
            tail: (0, 0),
            grown: (0, 0),
            still: 0,
            out: Vec::new(),
            dropped: 0,
        };
        voter.build();
        voter
    }

    fn build(&mut self) {
        if self.founding.own.stage != Stage::Founded {
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
                election_tick_timeout: ROUND,
                resend_message_tick_timeout: RESEND,
                ..ServerConfig::default()
            },
        };
        // The settings are checked before; the library has no other ground to refuse them.
        self.omni = config.build(self.disk.clone()).ok();
        self.collect();
    }

    pub fn disk(&self) -> &Disk {
        &self.disk
    }

    pub fn why_not(&self) -> Option<NoVoteReason> {
        if self.disk.lock().broken.is_some() {
            return Some(NoVoteReason::Broken);
        }
        self.founding.why_not()
    }

    /// The voter that leads as far as this one knows.
    pub fn leader(&self) -> Option<usize> {
        let (pid, _) = self.omni.as_ref()?.get_current_leader()?;
        usize::try_from(pid).ok()?.checked_sub(1).filter(|i| *i < self.voters)
    }

    /// The number of the election that made it so.
    pub fn round(&self) -> u32 {
        self.omni.as_ref().map_or(0, |o| o.get_promise().n)
    }

    /// Whether this voter leads and may append.
    pub fn leads(&self) -> bool {
        let me = self.me as NodeId + 1;
        self.why_not().is_none()
            && self.omni.as_ref().is_some_and(|o| o.get_current_leader() == Some((me, true)))
    }

    pub fn decided(&self) -> u64 {
        self.disk.lock().votes.decided
    }

    /// Whether the leader takes more.
    pub fn has_room(&self) -> bool {
        let inner = self.disk.lock();
        let open = inner.votes.items(inner.votes.decided.max(inner.votes.compacted), inner.votes.accepted());
        inner.votes.bytes < LOG_BYTES
            && (open.len() as u64) < OPEN_ENTRIES
            && open.iter().map(Item::size).sum::<usize>() < OPEN_BYTES
    }

    /// Appends an item, where this voter leads; gives it back where not.
    pub fn append(&mut self, item: Item) -> Result<(), Item> {
        if !self.leads() || !self.has_room() {
            return Err(item);
        }
        if let Some(omni) = &mut self.omni {
            // It refuses only behind a stop sign, which is never proposed.
            let _ = omni.append(item);
        }
        Ok(())
    }

    /// The decided items behind `from`, at most 256.
    pub fn decided_after(&self, from: u64) -> Vec<Item> {
        let inner = self.disk.lock();
        let to = inner.votes.decided.min(inner.votes.accepted()).min(from + 256);
        inner.votes.items(from, to).to_vec()
    }

    /// One beat; whether the log has to be replaced by what this node has learnt, `learnt` being its end.
    pub fn tick(&mut self, now: Duration, learnt: u64, every: Duration) -> bool {
        if self.why_not() == Some(NoVoteReason::Broken) {
            return false;
        }
        if self.said_at.is_none_or(|at| now >= at + every) && self.founding.own.stage != Stage::Founded {
            self.said_at = Some(now);
            let me = self.me;
            for to in (0..self.voters).filter(|to| *to != me) {
                self.hello(to, true);
            }
        }
        let Some(omni) = &mut self.omni else { return false };
        omni.tick();
        let (accepted, decided) = {
            let inner = self.disk.lock();
            (inner.votes.accepted(), inner.votes.decided)
        };
        self.still = if (accepted, decided) == self.grown { self.still.saturating_add(1) } else { 0 };
        self.grown = (accepted, decided);
        let leader = self.leader();
        if self.leads() {
            let me = self.me;
            for to in (0..self.voters).filter(|to| *to != me) {
                let tail = Wire::Tail { fleet: self.founding.fleet(), accepted, decided };
                if self.still % ROUND as u32 == 1 {
                    self.out.push((to, Kind::Datagram, tail));
                }
            }
        } else if let Some(leader) = leader.filter(|l| *l != self.me) {
            let behind = self.tail.0 > accepted || self.tail.1 > decided || accepted > decided;
            if behind && self.still > 0 && self.still.is_multiple_of(NUDGE) {
                if let Some(omni) = &mut self.omni {
                    omni.reconnected(leader as NodeId + 1);
                }
            }
        }
        self.collect();
        learnt > decided && self.still >= JUMP
    }

    /// Puts what was learnt up to `learnt` in the place of the log up to there; a checkpoint holds it.
    pub fn jump(&mut self, learnt: u64) {
        self.disk.lock().make(Op::Trim(learnt));
        self.still = 0;
        self.omni = None;
        self.build();
    }

    /// Drops what a checkpoint at `covered` holds, but for a tail.
    pub fn trim(&mut self, covered: u64) {
        let to = self.disk.lock().votes.trim_point(covered);
        let me = self.me as NodeId + 1;
        if let (Some(omni), Ok(to)) = (&mut self.omni, usize::try_from(to)) {
            // The library's own call refuses while any voter is away, which would let the log grow without bound.
            let msg = PaxosMsg::Compaction(Compaction::Trim(to));
            omni.handle_incoming(Message::SequencePaxos(PaxosMessage { from: me, to: me, msg }));
        }
    }

    fn hello(&mut self, to: usize, answer: bool) {
        let own = &self.founding.own;
        let hello = Wire::Hello { identity: own.identity, stage: own.stage, set: own.set.clone(), answer };
        self.out.push((to, Kind::Datagram, hello));
    }

    pub fn hear(&mut self, from: usize, said: Said, answer: bool) {
        if self.founding.hear(from, said) {
            self.disk.lock().make(Op::Standing(self.founding.own.clone()));
            self.build();
        }
        if answer {
            self.hello(from, false);
        }
    }

    pub fn on_tail(&mut self, from: usize, fleet: u64, accepted: u64, decided: u64) {
        if fleet == self.founding.fleet() && self.leader() == Some(from) {
            self.tail = (accepted, decided);
        }
    }

    /// A message of another voter, by the library's word.
    pub fn on_vote(
        &mut self,
        from: usize,
        session: Session,
        fleet: u64,
        number: u64,
        message: Message<Item>,
    ) {
        let stream = usize::from(matches!(message, Message::SequencePaxos(_)));
        let lane = &mut self.lanes[from];
        if session > lane.session {
            *lane = Lane { session, came: [0; 2] };
        }
        let fresh = session == lane.session && number > lane.came[stream];
        if !fresh || fleet != self.founding.fleet() || self.why_not().is_some() {
            self.dropped += 1;
            return;
        }
        self.lanes[from].came[stream] = number;
        let (me, from) = (self.me as NodeId + 1, from as NodeId + 1);
        if message.get_sender() != from || message.get_receiver() != me {
            self.dropped += 1;
            return;
        }
        let (Some(message), Some(omni)) = (self.sound(message), &mut self.omni) else {
            self.dropped += 1;
            return;
        };
        omni.handle_incoming(message);
        self.collect();
    }

    /// The message, if the library bears it.
    fn sound(&self, message: Message<Item>) -> Option<Message<Item>> {
        let plain = |b: &Ballot| b.n < ROUND_MAX && b.config_id <= 1 && b.pid <= self.voters as NodeId;
        match message {
            Message::BLE(b) => match &b.msg {
                HeartbeatMsg::Request(_) => Some(Message::BLE(b)),
                HeartbeatMsg::Reply(r) => (plain(&r.ballot) && plain(&r.leader)).then_some(Message::BLE(b)),
            },
            Message::SequencePaxos(mut p) => {
                let (decided, accepted) = {
                    let inner = self.disk.lock();
                    (inner.votes.decided, inner.votes.accepted())
                };
                let ok = match &mut p.msg {
                    PaxosMsg::PrepareReq(m) => plain(&m.n),
                    PaxosMsg::Prepare(m) => plain(&m.n) && plain(&m.n_accepted),
                    PaxosMsg::Promise(m) => {
                        plain(&m.n)
                            && plain(&m.n_accepted)
                            && m.log_sync.as_mut().is_none_or(|s| fits(s, decided, accepted))
                    }
                    PaxosMsg::AcceptSync(m) => plain(&m.n) && fits(&mut m.log_sync, decided, accepted),
                    PaxosMsg::AcceptDecide(m) => plain(&m.n),
                    PaxosMsg::Accepted(m) => plain(&m.n),
                    PaxosMsg::NotAccepted(m) => plain(&m.n),
                    PaxosMsg::Decide(m) => plain(&m.n),
                    // Not used here: proposals come by the node's own messages, and each voter trims for itself.
                    PaxosMsg::ProposalForward(_)
                    | PaxosMsg::Compaction(_)
                    | PaxosMsg::AcceptStopSign(_)
                    | PaxosMsg::ForwardStopSign(_) => false,
                };
                ok.then_some(Message::SequencePaxos(p))
            }
        }
    }

    /// Takes what the library wants sent. Without the part of the log that was trimmed it would send an empty one in its
    /// place, and the receiver would go on at a wrong index: such a message is dropped, the receiver learns from its peers.
    fn collect(&mut self) {
        let Some(omni) = &mut self.omni else { return };
        let mut messages = Vec::new();
        omni.take_outgoing_messages(&mut messages);
        let compacted = self.disk.lock().votes.compacted;
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
            self.sent += 1;
            let vote = Wire::Vote { fleet: self.founding.fleet(), number: self.sent, message };
            self.out.push((to, kind, vote));
        }
    }

    /// What is to be sent once the changes of [`Disk::take_ops`] are durable. To be taken after each call.
    pub fn take_out(&mut self) -> Vec<(usize, Kind, Wire)> {
        self.collect();
        std::mem::take(&mut self.out)
    }
}

/// Whether a part of a log can be put behind this voter's own; what this voter has decided already is cut off its front.
fn fits(sync: &mut LogSync<Item>, decided: u64, accepted: u64) -> bool {
    let at = sync.sync_idx as u64;
    if sync.decided_snapshot.is_some() || sync.stopsign.is_some() || at > accepted {
        return false;
    }
    if at < decided {
        // All that is decided is the same everywhere.
        let Ok(cut) = usize::try_from(decided - at) else { return false };
        if cut > sync.suffix.len() {
            return false;
        }
        sync.suffix.drain(..cut);
        sync.sync_idx += cut;
    }
    true
}
