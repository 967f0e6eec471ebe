//! The membership protocol of one node, without I/O or a clock. The inputs are received datagrams and the
//! time; the outputs are datagrams to send and the node's view of the fleet.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

use foca::{
    Codec, Config, Foca, Header, Member, Message, NoCustomBroadcast, Notification, PeriodicParams, Runtime,
    State, Timer,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::codec::{self, Datagram, WireCodec, DATAGRAM_MAX_BYTES, KIND_SWIM};
use crate::id::NodeId;
use crate::name_conflict::{ListenerId, NameConflictDetector};
use crate::suspicion::SuspicionTracker;
use crate::view::{Entry, Liveness, View};

/// Maximum number of datagrams queued for sending. When the queue is full, new datagrams are dropped and
/// counted; SWIM tolerates the loss.
pub const OUTBOX_MAX: usize = 4096;
/// Maximum number of pending timers. `foca` keeps a few per member (suspicion, removal) and a few of its own,
/// so this is enough for a fleet of a few thousand nodes. Timers beyond it are dropped and counted.
pub const TIMERS_MAX: usize = 16_384;
/// Maximum number of remembered leave notices. A notice is removed together with the member it names.
pub const LEAVE_NOTICES_MAX: usize = 4096;
/// Number of members through which another start of the node's name is pinged in each round.
const INDIRECT_NAME_PINGS: usize = 2;

/// Timing parameters of the protocol. The defaults are those of `docs/design/membership.md`.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Interval between probes.
    pub probe_period: Duration,
    /// How long a direct probe waits for its ack before other members are asked for an indirect probe.
    pub probe_rtt: Duration,
    /// Minimum duration of a suspicion before the node is declared dead.
    pub suspicion_min: Duration,
    /// How long dead members and members that left stay in the view.
    pub forget_after: Duration,
    /// Interval at which the node announces itself again to seeds that are not members. This reunites a
    /// partitioned fleet.
    pub reannounce_interval: Duration,
    /// Approximate number of nodes in the fleet. It determines how often an update is retransmitted and how
    /// long a suspicion lasts.
    pub fleet_size: u32,
}

impl Settings {
    /// Duration of a suspicion at the node whose probe failed: `suspicion_min`, or longer in a large fleet,
    /// where a refutation needs more gossip rounds to spread.
    pub(crate) fn suspicion(&self) -> Duration {
        self.suspicion_min.max(Config::new_lan(self.size()).suspect_to_down_after)
    }

    fn size(&self) -> NonZeroU32 {
        NonZeroU32::new(self.fleet_size.max(1)).unwrap_or(NonZeroU32::MIN)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_secs(1),
            probe_rtt: Duration::from_millis(400),
            suspicion_min: Duration::from_secs(6),
            forget_after: Duration::from_secs(120),
            reannounce_interval: Duration::from_secs(5),
            fleet_size: 16,
        }
    }
}

/// Counters since the start of a [`Membership`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Datagrams received.
    pub received: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Datagrams queued for sending.
    pub sent: u64,
    /// Bytes queued for sending.
    pub sent_bytes: u64,
    /// Datagrams that could not be decoded (malformed, truncated, too long, of an unknown kind).
    pub malformed: u64,
    /// Datagrams that were decoded but rejected by the protocol (sent by this node itself, addressed to
    /// another identity, or unexpected in the current state).
    pub rejected: u64,
    /// Datagrams dropped because the outbox was full.
    pub outbox_dropped: u64,
    /// Timers dropped because the timer table was full.
    pub timers_dropped: u64,
    /// Number of times this node was declared dead and rejoined under a renewed identity.
    pub rejoined: u64,
    /// Number of times this node considered another node dead.
    pub declared_dead: u64,
    /// Number of direct notices to other nodes that this node suspects them.
    pub suspects_notified: u64,
    /// SWIM datagrams received from another start of this node: under its name, from another address.
    pub from_other_starts: u64,
}

/// The membership protocol of one node. The caller passes in received datagrams and the time, and sends the
/// datagrams from [`Membership::take_outgoing`].
pub struct Membership {
    foca: Foca<NodeId, WireCodec, Pcg64, NoCustomBroadcast>,
    output: Output,
    suspicions: SuspicionTracker,
    names: NameConflictDetector,
    seeds: Vec<SocketAddrV4>,
    next_announce: Duration,
    reannounce_interval: Duration,
    leave_notices: BTreeSet<NodeId>,
    leaving: bool,
    view: View,
    view_outdated: bool,
    renewals: IdentityRenewals,
}

/// Renewals of the identity that are less than this apart count as consecutive: far longer than a round trip,
/// far shorter than the time it takes to be declared dead twice.
const RENEWAL_GAP_MAX: Duration = Duration::from_secs(2);
/// Exponent of the largest generation step: 2 to this power, in units of the generation. That is more units
/// than a year has.
const GENERATION_STEP_EXPONENT_MAX: u32 = 29;

/// Counts consecutive renewals of the node's identity. A single renewal answers a false death. Several in a
/// row occur when an earlier start of the node had a later generation because the clock has since
/// been set back.
#[derive(Default)]
struct IdentityRenewals {
    consecutive: u32,
    last: Option<Duration>,
}

impl IdentityRenewals {
    /// Returns how far the generation is to be advanced beyond the renewed one: 0 for the first renewal of a
    /// row, then twice as much each time, so that the generation passes any earlier one within a few round
    /// trips.
    fn generation_step(&mut self, now: Duration) -> u32 {
        let follows = self.last.is_some_and(|last| now.saturating_sub(last) < RENEWAL_GAP_MAX);
        self.last = Some(now);
        self.consecutive = if follows { self.consecutive + 1 } else { 0 };
        match self.consecutive {
            0 => 0,
            n => 1 << n.min(GENERATION_STEP_EXPONENT_MAX),
        }
    }
}

/// Output of `foca`: timers, datagrams, counters. Separate from `foca` so that both can be borrowed at the
/// same time.
#[derive(Default)]
struct Output {
    timers: BTreeMap<(Duration, u64), Timer<NodeId>>,
    next_timer: u64,
    outbox: VecDeque<(SocketAddrV4, Vec<u8>)>,
    stats: Stats,
}

impl Membership {
    /// Creates the membership of the node `me`, which knows no other node yet. `seed` seeds the random choice
    /// of probe targets.
    pub fn new(me: NodeId, settings: &Settings, seed: u64) -> Self {
        let mut config = Config::new_lan(settings.size());
        config.probe_period = settings.probe_period;
        config.probe_rtt = settings.probe_rtt;
        config.suspect_to_down_after = settings.suspicion();
        config.remove_down_after = Some(settings.forget_after);
        // One byte of each datagram holds its kind.
        config.max_packet_size = NonZeroUsize::new(DATAGRAM_MAX_BYTES - 1).unwrap_or(NonZeroUsize::MIN);
        // Periodic announcements to dead members let a node that was only partitioned return.
        config.periodic_announce_to_down_members = Some(PeriodicParams {
            frequency: settings.reannounce_interval,
            num_members: NonZeroUsize::new(2).unwrap_or(NonZeroUsize::MIN),
        });
        // Updates about a join are retransmitted only a few times, and in a large fleet a few nodes miss
        // them. Periodic announcements to random members, which answer with a feed, close such gaps before
        // probes would.
        config.periodic_announce = Some(PeriodicParams {
            frequency: settings.reannounce_interval * 2,
            num_members: NonZeroUsize::MIN,
        });
        let mut membership = Self {
            foca: Foca::new(me, config, Pcg64::seed_from_u64(seed), WireCodec),
            output: Output::default(),
            suspicions: SuspicionTracker::new(settings),
            names: NameConflictDetector::new(seed),
            seeds: Vec::new(),
            next_announce: Duration::ZERO,
            reannounce_interval: settings.reannounce_interval,
            leave_notices: BTreeSet::new(),
            leaving: false,
            view: View::default(),
            view_outdated: true,
            renewals: IdentityRenewals::default(),
        };
        membership.refresh_view();
        membership
    }

    /// Sets the node's listening socket for clients, which it has inherited. Another process under the node's name
    /// that has the same one is no name conflict.
    pub fn set_inherited_listener(&mut self, listener: ListenerId) {
        self.names.set_listener(listener);
    }

    /// Returns the node's current identity. Its generation grows when the node rejoins after being declared
    /// dead.
    pub fn local_id(&self) -> &NodeId {
        self.foca.identity()
    }

    /// Starts to join the fleet through `seeds`. The announcement is repeated every `reannounce_interval` to
    /// each seed that is not a member.
    pub fn join(&mut self, now: Duration, seeds: &[SocketAddrV4]) {
        let me = self.local_id().addr;
        self.seeds = seeds.iter().copied().filter(|s| *s != me).collect();
        self.seeds.sort_unstable();
        self.seeds.dedup();
        self.next_announce = now;
        self.tick(now);
    }

    /// Processes one datagram received at `now`.
    pub fn on_datagram(&mut self, now: Duration, bytes: &[u8]) {
        self.output.stats.received += 1;
        self.output.stats.received_bytes += bytes.len() as u64;
        match codec::decode(bytes) {
            Err(_) => self.output.stats.malformed += 1,
            // Queries are answered by the caller.
            Ok(Datagram::Query(_)) => {}
            Ok(Datagram::NameQuery(query)) => {
                if self.leaving {
                    return;
                }
                if let Some(response) = self.names.on_query(now, self.foca.identity(), &query) {
                    let bytes = codec::encode_name_response(&response);
                    enqueue(&mut self.output.outbox, &mut self.output.stats, query.from.addr, bytes);
                }
            }
            Ok(Datagram::NameResponse(response)) => {
                self.names.on_response(now, self.foca.identity(), &response);
            }
            Ok(Datagram::Leave(id)) => {
                if self.leave_notices.len() < LEAVE_NOTICES_MAX {
                    self.leave_notices.insert(id);
                }
                self.view_outdated = true;
            }
            Ok(Datagram::Swim(swim)) => {
                if self.leaving {
                    return;
                }
                self.note_other_starts(now, swim);
                let mut runtime = FocaRuntime::new(&mut self.output, now);
                let result = self.foca.handle_data(swim, &mut runtime);
                let rejoined = runtime.rejoined;
                self.output.stats.rejoined += rejoined;
                if rejoined > 0 {
                    self.advance_generation(now);
                }
                match result {
                    Ok(()) => {}
                    Err(foca::Error::Decode(_) | foca::Error::DataTooBig | foca::Error::MalformedPacket) => {
                        self.output.stats.malformed += 1
                    }
                    Err(_) => self.output.stats.rejected += 1,
                }
                self.view_outdated = true;
            }
        }
    }

    /// Notes what a SWIM datagram says of other starts of the node's name: whether one has sent it, and whether
    /// one has answered a ping.
    fn note_other_starts(&mut self, now: Duration, swim: &[u8]) {
        let Ok(header) = WireCodec.decode_header(swim) else { return };
        let me = self.foca.identity();
        if header.src.is_other_start_of(me) {
            self.output.stats.from_other_starts += 1;
        }
        if header.dst != *me {
            return;
        }
        match &header.message {
            Message::Ack(number) => self.names.on_ack(now, &header.src, *number),
            Message::ForwardedAck { origin, probe_number } => self.names.on_ack(now, origin, *probe_number),
            _ => {}
        }
    }

    /// Asks the other starts of the node's name whether they are live.
    fn ask_other_starts(&mut self, now: Duration) {
        let me = self.local_id().clone();
        let members = || self.foca.iter_members().map(Member::id);
        let listed = members().filter(|id| id.is_other_start_of(&me)).cloned();
        let round = self.names.next_round(now, listed);
        if round.targets.is_empty() {
            return;
        }
        let query = codec::encode_name_query(&self.names.query(now, &me));
        let others: Vec<&NodeId> = members().filter(|id| id.name != me.name).collect();
        let intermediaries: Vec<NodeId> = others
            .into_iter()
            .cycle()
            .skip(usize::from(round.number))
            .take(INDIRECT_NAME_PINGS)
            .cloned()
            .collect();
        for target in &round.targets {
            enqueue(&mut self.output.outbox, &mut self.output.stats, target.addr, query.clone());
            self.send_swim(target, Message::Ping(round.number), &[]);
            for intermediary in &intermediaries {
                let target = target.clone();
                self.send_swim(intermediary, Message::PingReq { target, probe_number: round.number }, &[]);
            }
        }
    }

    /// Returns the live node that has this node's name and started before it, if there is one at `now`. This
    /// node must then stop, since two nodes must not share a name.
    pub fn name_conflict(&self, now: Duration) -> Option<&NodeId> {
        self.names.live_first(now, self.local_id())
    }

    /// Called after the identity was renewed. If the previous renewal was recent, advances the generation
    /// further.
    fn advance_generation(&mut self, now: Duration) {
        let step = self.renewals.generation_step(now);
        if step == 0 {
            return;
        }
        let me = self.local_id().clone();
        let later = NodeId { generation: me.generation.saturating_add(step), ..me };
        let mut runtime = FocaRuntime::new(&mut self.output, now);
        // The only error is that this already is the identity.
        let _ = self.foca.change_identity(later, &mut runtime);
    }

    /// Fires the timers due at `now`, checks suspicions and announces the node to seeds that are not members.
    pub fn tick(&mut self, now: Duration) {
        if self.leaving {
            return;
        }
        let stalled = self.suspicions.advance(now);
        self.output.postpone_suspicions(stalled);
        while let Some(entry) = self.output.timers.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let timer = entry.remove();
            let mut runtime = FocaRuntime::new(&mut self.output, now);
            // An error means that the timer's probe or member no longer exists; it can be ignored.
            let _ = self.foca.handle_timer(timer, &mut runtime);
            self.output.stats.rejoined += runtime.rejoined;
            self.view_outdated = true;
        }
        if self.suspicions.is_due(now) {
            self.process_suspicions(now);
        }
        if self.names.is_due(now) {
            self.ask_other_starts(now);
        }
        if !self.seeds.is_empty() && now >= self.next_announce {
            self.next_announce = now + self.reannounce_interval;
            let members: BTreeSet<SocketAddrV4> = self.foca.iter_members().map(|m| m.id().addr).collect();
            for seed in self.seeds.clone() {
                if !members.contains(&seed) {
                    let mut runtime = FocaRuntime::new(&mut self.output, now);
                    let _ = self.foca.announce(NodeId::unknown_at(seed), &mut runtime);
                }
            }
        }
    }

    /// Notifies suspects that they are suspected, and declares dead those whose suspicion reached its limit.
    fn process_suspicions(&mut self, now: Duration) {
        let suspects = self
            .foca
            .iter_membership_state()
            .filter(|m| m.state() == State::Suspect)
            .map(|m| (m.id().clone(), m.incarnation()));
        let due = self.suspicions.check(suspects);
        for (id, incarnation) in due.notify {
            // A ping that carries the suspicion: the suspect refutes it before it replies, and its ack, with
            // the later incarnation, ends the suspicion here within one round trip. If the probe number
            // happens to equal that of a running probe of the same node, the ack correctly counts for that
            // probe.
            self.send_swim(&id, Message::Ping(0), &[Member::new(id.clone(), incarnation, State::Suspect)]);
            self.output.stats.suspects_notified += 1;
        }
        for (id, incarnation) in due.declare_dead {
            let mut runtime = FocaRuntime::new(&mut self.output, now);
            let dead = Member::new(id.clone(), incarnation, State::Down);
            // An error means that the update cannot be encoded; the member is dead in this view nevertheless.
            let _ = self.foca.apply_many(std::iter::once(dead), true, &mut runtime);
            self.output.stats.rejoined += runtime.rejoined;
            // As `foca` does after its own timer: if the node is alive and receives this, it rejoins at once.
            self.send_swim(&id, Message::TurnUndead, &[]);
            self.view_outdated = true;
        }
    }

    /// Sends a `foca` message with `updates` in a case where `foca` itself would not send it.
    fn send_swim(&mut self, to: &NodeId, message: Message<NodeId>, updates: &[Member<NodeId>]) {
        // `foca` does not expose its incarnation; 0 only tells the receiver that this node exists.
        let header = Header { src: self.local_id().clone(), src_incarnation: 0, dst: to.clone(), message };
        if let Ok(bytes) = codec::encode_swim(&header, updates) {
            enqueue(&mut self.output.outbox, &mut self.output.stats, to.addr, bytes);
        }
    }

    /// Returns when [`Membership::tick`] has work to do next.
    pub fn next_due(&self) -> Option<Duration> {
        if self.leaving {
            return None;
        }
        let timer = self.output.timers.keys().next().map(|k| k.0);
        let announce = (!self.seeds.is_empty()).then_some(self.next_announce);
        [timer, announce, self.suspicions.next_due(), Some(self.names.next_due())].into_iter().flatten().min()
    }

    /// Leaves the fleet on purpose: sends a notice to every active member and `foca`'s own leave message.
    /// After this the node sends nothing and ignores incoming SWIM messages and timers.
    pub fn leave(&mut self, now: Duration) {
        if self.leaving {
            return;
        }
        let notice = codec::encode_leave(self.local_id());
        let peers: Vec<SocketAddrV4> = self.foca.iter_members().map(|m| m.id().addr).collect();
        for peer in peers {
            enqueue(&mut self.output.outbox, &mut self.output.stats, peer, notice.clone());
        }
        let mut runtime = FocaRuntime::new(&mut self.output, now);
        let _ = self.foca.leave_cluster(&mut runtime);
        self.leaving = true;
        let me = self.local_id().clone();
        if self.leave_notices.len() < LEAVE_NOTICES_MAX {
            self.leave_notices.insert(me);
        }
        self.view_outdated = true;
    }

    /// Removes and returns the next datagram to send, with its destination.
    pub fn take_outgoing(&mut self) -> Option<(SocketAddrV4, Vec<u8>)> {
        self.output.outbox.pop_front()
    }

    /// Returns the view as of the last datagram or timer.
    pub fn view(&mut self) -> &View {
        if self.view_outdated {
            self.refresh_view();
        }
        &self.view
    }

    /// Returns the counters.
    pub fn stats(&self) -> &Stats {
        &self.output.stats
    }

    fn refresh_view(&mut self) {
        self.view_outdated = false;
        let me = self.foca.identity().clone();
        let mut entries: Vec<Entry> = self
            .foca
            .iter_membership_state()
            .filter(|m| m.id() != &me)
            .map(|m| view_entry(m, &self.leave_notices))
            .collect();
        entries.push(Entry {
            liveness: if self.leaving { Liveness::Left } else { Liveness::Alive },
            incarnation: 0,
            id: me,
        });
        // Leave notices are dropped together with their members, so there are never more notices than
        // members.
        let named: BTreeSet<&NodeId> = entries.iter().map(|e| &e.id).collect();
        self.leave_notices.retain(|id| named.contains(id));
        self.view.replace(entries);
    }
}

impl Output {
    /// Postpones the timers that end a suspicion by `stalled`, the time in which the node did not run: the
    /// refutations may be waiting unread in the socket's receive buffer.
    fn postpone_suspicions(&mut self, stalled: Duration) {
        if stalled.is_zero() {
            return;
        }
        let all = std::mem::take(&mut self.timers);
        for ((due, n), timer) in all {
            let delay =
                if matches!(timer, Timer::ChangeSuspectToDown { .. }) { stalled } else { Duration::ZERO };
            self.timers.insert((due + delay, n), timer);
        }
    }
}

fn view_entry(m: &Member<NodeId>, leave_notices: &BTreeSet<NodeId>) -> Entry {
    let liveness = match m.state() {
        State::Alive => Liveness::Alive,
        State::Suspect => Liveness::Suspect,
        State::Down if leave_notices.contains(m.id()) => Liveness::Left,
        State::Down => Liveness::Dead,
    };
    Entry { id: m.id().clone(), incarnation: m.incarnation(), liveness }
}

fn enqueue(
    outbox: &mut VecDeque<(SocketAddrV4, Vec<u8>)>,
    stats: &mut Stats,
    to: SocketAddrV4,
    bytes: Vec<u8>,
) {
    if outbox.len() >= OUTBOX_MAX {
        stats.outbox_dropped += 1;
        return;
    }
    stats.sent += 1;
    stats.sent_bytes += bytes.len() as u64;
    outbox.push_back((to, bytes));
}

/// Collects the actions that `foca` requests while it handles one datagram or timer.
struct FocaRuntime<'a> {
    now: Duration,
    output: &'a mut Output,
    rejoined: u64,
}

impl<'a> FocaRuntime<'a> {
    fn new(output: &'a mut Output, now: Duration) -> Self {
        Self { now, output, rejoined: 0 }
    }
}

impl Runtime<NodeId> for FocaRuntime<'_> {
    fn notify(&mut self, notification: Notification<'_, NodeId>) {
        match notification {
            Notification::Rejoin(_) => self.rejoined += 1,
            Notification::MemberDown(_) => self.output.stats.declared_dead += 1,
            _ => {}
        }
    }

    fn send_to(&mut self, to: NodeId, data: &[u8]) {
        let mut bytes = Vec::with_capacity(1 + data.len());
        bytes.push(KIND_SWIM);
        bytes.extend_from_slice(data);
        enqueue(&mut self.output.outbox, &mut self.output.stats, to.addr, bytes);
    }

    fn submit_after(&mut self, event: Timer<NodeId>, after: Duration) {
        if self.output.timers.len() >= TIMERS_MAX {
            self.output.stats.timers_dropped += 1;
            return;
        }
        self.output.next_timer += 1;
        self.output.timers.insert((self.now + after, self.output.next_timer), event);
    }
}
