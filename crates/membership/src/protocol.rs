//! One node's membership, without I/O or clock: datagrams and the time come in, datagrams to send and a view go out.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

use foca::{
    Config, Foca, Header, Member, Message, NoCustomBroadcast, Notification, PeriodicParams, Runtime, State,
    Timer,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::codec::{self, Datagram, WireCodec, DATAGRAM_MAX_BYTES, KIND_SWIM};
use crate::id::NodeId;
use crate::suspicion::SuspicionTracker;
use crate::view::{Entry, Liveness, View};

/// Datagrams waiting for the carrier at most; past that the newest are dropped and counted (SWIM repairs a loss).
pub const OUTBOX_MAX: usize = 4096;
/// Timers held at most. `foca` holds a few a member (a suspicion, a removal) and a few of its own, so this bounds a
/// fleet of a few thousand; one over it is dropped and counted.
pub const TIMERS_MAX: usize = 16_384;
/// Leave notices remembered at most; they are forgotten with the member they name.
pub const LEAVE_NOTICES_MAX: usize = 4096;

/// How the protocol is paced. The defaults are the bounds of `docs/design/membership.md`.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// A probe each this long.
    pub probe_period: Duration,
    /// How long a direct probe waits for its ack before others are asked to probe.
    pub probe_rtt: Duration,
    /// How long a suspicion lasts at least before the node is declared dead.
    pub suspicion_min: Duration,
    /// How long the dead and those who left are remembered.
    pub forget_after: Duration,
    /// How often the seeds that are not members are announced to again: a fleet cut in two heals by this.
    pub reannounce_interval: Duration,
    /// About how many nodes the fleet has: it sets how often an update is passed on and how long suspicion lasts.
    pub fleet_size: u32,
}

impl Settings {
    /// How long a suspicion lasts at the node whose probe failed: `suspicion_min`, or longer in a large fleet, where a
    /// refutation has further to go.
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

/// What a room counted since it began.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Datagrams taken.
    pub received: u64,
    /// Bytes of the datagrams taken.
    pub received_bytes: u64,
    /// Datagrams handed to the carrier.
    pub sent: u64,
    /// Bytes handed to the carrier.
    pub sent_bytes: u64,
    /// Datagrams that could not be read (bent, short, long, of no known kind).
    pub malformed: u64,
    /// Datagrams that were read but refused by the protocol (from ourselves, for another identity, out of turn).
    pub rejected: u64,
    /// Datagrams dropped as the outbox was full.
    pub outbox_dropped: u64,
    /// Timers dropped as the table was full.
    pub timers_dropped: u64,
    /// How often this node was declared dead and rejoined under a renewed identity.
    pub rejoined: u64,
    /// How often this node took another for dead.
    pub declared_dead: u64,
    /// How often this node told another directly that it holds it for suspect.
    pub suspects_notified: u64,
}

/// One node's membership.
pub struct Membership {
    foca: Foca<NodeId, WireCodec, Pcg64, NoCustomBroadcast>,
    out: Out,
    watch: SuspicionTracker,
    seeds: Vec<SocketAddrV4>,
    next_announce: Duration,
    reannounce_interval: Duration,
    left: BTreeSet<NodeId>,
    leaving: bool,
    view: View,
    stale: bool,
    renewals: Renewals,
}

/// How long a renewal may come behind another to be one in a row with it: far longer than a round trip, far shorter than it
/// takes to be declared dead twice.
const RENEWALS_APART: Duration = Duration::from_secs(2);
/// The largest step of a generation: 2 to the power of this, in its units. More than the units of a year.
const LARGEST_STEP: u32 = 29;

/// New identities in a row. One is the answer to a false death; more come where an earlier life of the node had a later
/// generation, as its clock has been set back since.
#[derive(Default)]
struct Renewals {
    in_a_row: u32,
    last: Option<Duration>,
}

impl Renewals {
    /// How much later a generation the next identity needs beyond the one that follows: nothing for the first in a row, then
    /// twice as much each time, so that any earlier life is outbid within some round trips.
    fn step(&mut self, now: Duration) -> u32 {
        let follows = self.last.is_some_and(|last| now.saturating_sub(last) < RENEWALS_APART);
        self.last = Some(now);
        self.in_a_row = if follows { self.in_a_row + 1 } else { 0 };
        match self.in_a_row {
            0 => 0,
            more => 1 << more.min(LARGEST_STEP),
        }
    }
}

/// What `foca` leaves behind: timers, datagrams, counts. Apart from `foca` so that both can be borrowed at once.
#[derive(Default)]
struct Out {
    timers: BTreeMap<(Duration, u64), Timer<NodeId>>,
    next_timer: u64,
    outbox: VecDeque<(SocketAddrV4, Vec<u8>)>,
    stats: Stats,
}

impl Membership {
    /// A room for `me`, not yet in touch with anybody; `seed` draws whom to probe.
    pub fn new(me: NodeId, settings: &Settings, seed: u64) -> Self {
        let mut config = Config::new_lan(settings.size());
        config.probe_period = settings.probe_period;
        config.probe_rtt = settings.probe_rtt;
        config.suspect_to_down_after = settings.suspicion();
        config.remove_down_after = Some(settings.forget_after);
        // One byte of each datagram is its kind.
        config.max_packet_size = NonZeroUsize::new(DATAGRAM_MAX_BYTES - 1).unwrap_or(NonZeroUsize::MIN);
        // The dead are asked now and then whether they are back: a node that was only cut off returns so.
        config.periodic_announce_to_down_members = Some(PeriodicParams {
            frequency: settings.reannounce_interval,
            num_members: NonZeroUsize::new(2).unwrap_or(NonZeroUsize::MIN),
        });
        // A join is told by updates that are passed on a few times only, and in a large fleet a few nodes miss it;
        // a feed of random members now and then fills such gaps before probes would.
        config.periodic_announce = Some(PeriodicParams {
            frequency: settings.reannounce_interval * 2,
            num_members: NonZeroUsize::MIN,
        });
        let mut room = Self {
            foca: Foca::new(me, config, Pcg64::seed_from_u64(seed), WireCodec),
            out: Out::default(),
            watch: SuspicionTracker::new(settings),
            seeds: Vec::new(),
            next_announce: Duration::ZERO,
            reannounce_interval: settings.reannounce_interval,
            left: BTreeSet::new(),
            leaving: false,
            view: View::default(),
            stale: true,
            renewals: Renewals::default(),
        };
        room.refresh();
        room
    }

    /// Who this node is now (its generation grows when it rejoins after being declared dead).
    pub fn local_id(&self) -> &NodeId {
        self.foca.identity()
    }

    /// Asks to join the fleet through `seeds`; they are asked again each `reannounce_interval` while they are not members.
    pub fn join(&mut self, now: Duration, seeds: &[SocketAddrV4]) {
        let me = self.local_id().addr;
        self.seeds = seeds.iter().copied().filter(|s| *s != me).collect();
        self.seeds.sort_unstable();
        self.seeds.dedup();
        self.next_announce = now;
        self.tick(now);
    }

    /// Takes one datagram that came at `now`.
    pub fn on_datagram(&mut self, now: Duration, bytes: &[u8]) {
        self.out.stats.received += 1;
        self.out.stats.received_bytes += bytes.len() as u64;
        match codec::decode(bytes) {
            Err(_) => self.out.stats.malformed += 1,
            // The carrier answers it; a room has nothing to add.
            Ok(Datagram::Query(_)) => {}
            Ok(Datagram::Leave(id)) => {
                if self.left.len() < LEAVE_NOTICES_MAX {
                    self.left.insert(id);
                }
                self.stale = true;
            }
            Ok(Datagram::Swim(swim)) => {
                if self.leaving {
                    return;
                }
                let mut fx = Effects::new(&mut self.out, now);
                let result = self.foca.handle_data(swim, &mut fx);
                let rejoined = fx.rejoined;
                self.out.stats.rejoined += rejoined;
                if rejoined > 0 {
                    self.outbid(now);
                }
                match result {
                    Ok(()) => {}
                    Err(foca::Error::Decode(_) | foca::Error::DataTooBig | foca::Error::MalformedPacket) => {
                        self.out.stats.malformed += 1
                    }
                    Err(_) => self.out.stats.rejected += 1,
                }
                self.stale = true;
            }
        }
    }

    /// The identity is a new one. Where it follows closely on another, it takes a far later generation.
    fn outbid(&mut self, now: Duration) {
        let step = self.renewals.step(now);
        if step == 0 {
            return;
        }
        let me = self.local_id().clone();
        let later = NodeId { generation: me.generation.saturating_add(step), ..me };
        let mut fx = Effects::new(&mut self.out, now);
        // An error says that this is the identity already.
        let _ = self.foca.change_identity(later, &mut fx);
    }

    /// Fires the timers that are due at `now`, and announces again to seeds that are not members.
    pub fn tick(&mut self, now: Duration) {
        if self.leaving {
            return;
        }
        let stopped = self.watch.advance(now);
        self.out.put_off_suspicions(stopped);
        while let Some(entry) = self.out.timers.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let timer = entry.remove();
            let mut fx = Effects::new(&mut self.out, now);
            // An error here is a timer of a probe or member that is no more; the protocol goes on without it.
            let _ = self.foca.handle_timer(timer, &mut fx);
            self.out.stats.rejoined += fx.rejoined;
            self.stale = true;
        }
        if self.watch.is_due(now) {
            self.look_after_suspects(now);
        }
        if !self.seeds.is_empty() && now >= self.next_announce {
            self.next_announce = now + self.reannounce_interval;
            let members: BTreeSet<SocketAddrV4> = self.foca.iter_members().map(|m| m.id().addr).collect();
            for seed in self.seeds.clone() {
                if !members.contains(&seed) {
                    let mut fx = Effects::new(&mut self.out, now);
                    let _ = self.foca.announce(NodeId::unknown_at(seed), &mut fx);
                }
            }
        }
    }

    /// Has the suspects told that they are, and declares dead whose suspicion was held for its bound.
    fn look_after_suspects(&mut self, now: Duration) {
        let suspects = self
            .foca
            .iter_membership_state()
            .filter(|m| m.state() == State::Suspect)
            .map(|m| (m.id().clone(), m.incarnation()));
        let due = self.watch.look(suspects);
        for (id, incarnation) in due.tell {
            // A ping that carries the suspicion: the suspected refutes it before it answers, and its answer, with the
            // later incarnation, clears it here in one round trip. Should the probe's number be that of our own probe of
            // it, its answer counts for that probe, rightly.
            self.send_swim(&id, Message::Ping(0), &[Member::new(id.clone(), incarnation, State::Suspect)]);
            self.out.stats.suspects_notified += 1;
        }
        for (id, incarnation) in due.dead {
            let mut fx = Effects::new(&mut self.out, now);
            let dead = Member::new(id.clone(), incarnation, State::Down);
            // An error here is an update that can't be encoded; the member is dead in this view all the same.
            let _ = self.foca.apply_many(std::iter::once(dead), true, &mut fx);
            self.out.stats.rejoined += fx.rejoined;
            // As `foca` does after its own timer: if it lives and hears this, it rejoins at once.
            self.send_swim(&id, Message::TurnUndead, &[]);
            self.stale = true;
        }
    }

    /// Sends a message of `foca`'s that it does not send by itself, with `updates`.
    fn send_swim(&mut self, to: &NodeId, message: Message<NodeId>, updates: &[Member<NodeId>]) {
        // Our incarnation is `foca`'s secret; the least there is says no more than that we are there.
        let header = Header { src: self.local_id().clone(), src_incarnation: 0, dst: to.clone(), message };
        if let Ok(bytes) = codec::encode_swim(&header, updates) {
            push(&mut self.out.outbox, &mut self.out.stats, to.addr, bytes);
        }
    }

    /// When [`Membership::tick`] has something to do next.
    pub fn next_due(&self) -> Option<Duration> {
        if self.leaving {
            return None;
        }
        let timer = self.out.timers.keys().next().map(|k| k.0);
        let announce = (!self.seeds.is_empty()).then_some(self.next_announce);
        [timer, announce, self.watch.next_due()].into_iter().flatten().min()
    }

    /// Leaves the fleet on purpose: a notice to every active member, and `foca`'s own leave. The room says and does
    /// nothing more after it.
    pub fn leave(&mut self, now: Duration) {
        if self.leaving {
            return;
        }
        let notice = codec::encode_leave(self.local_id());
        let peers: Vec<SocketAddrV4> = self.foca.iter_members().map(|m| m.id().addr).collect();
        for peer in peers {
            push(&mut self.out.outbox, &mut self.out.stats, peer, notice.clone());
        }
        let mut fx = Effects::new(&mut self.out, now);
        let _ = self.foca.leave_cluster(&mut fx);
        self.leaving = true;
        let me = self.local_id().clone();
        if self.left.len() < LEAVE_NOTICES_MAX {
            self.left.insert(me);
        }
        self.stale = true;
    }

    /// The next datagram to send, and where.
    pub fn take_outgoing(&mut self) -> Option<(SocketAddrV4, Vec<u8>)> {
        self.out.outbox.pop_front()
    }

    /// The view as of the last datagram or timer.
    pub fn view(&mut self) -> &View {
        if self.stale {
            self.refresh();
        }
        &self.view
    }

    /// What was counted.
    pub fn stats(&self) -> &Stats {
        &self.out.stats
    }

    fn refresh(&mut self) {
        self.stale = false;
        let me = self.foca.identity().clone();
        let mut entries: Vec<Entry> = self
            .foca
            .iter_membership_state()
            .filter(|m| m.id() != &me)
            .map(|m| entry(m, &self.left))
            .collect();
        entries.push(Entry {
            liveness: if self.leaving { Liveness::Left } else { Liveness::Alive },
            incarnation: 0,
            id: me,
        });
        // Notices of members that are forgotten are forgotten too, which bounds them by the members.
        let named: BTreeSet<&NodeId> = entries.iter().map(|e| &e.id).collect();
        self.left.retain(|id| named.contains(id));
        self.view.replace(entries);
    }
}

impl Out {
    /// Puts off the timers that end a suspicion by `stopped`, in which the room did not run: what refutes them may lie
    /// unread in the carrier's socket.
    fn put_off_suspicions(&mut self, stopped: Duration) {
        if stopped.is_zero() {
            return;
        }
        let all = std::mem::take(&mut self.timers);
        for ((due, n), timer) in all {
            let off =
                if matches!(timer, Timer::ChangeSuspectToDown { .. }) { stopped } else { Duration::ZERO };
            self.timers.insert((due + off, n), timer);
        }
    }
}

fn entry(m: &Member<NodeId>, left: &BTreeSet<NodeId>) -> Entry {
    let liveness = match m.state() {
        State::Alive => Liveness::Alive,
        State::Suspect => Liveness::Suspect,
        State::Down if left.contains(m.id()) => Liveness::Left,
        State::Down => Liveness::Dead,
    };
    Entry { id: m.id().clone(), incarnation: m.incarnation(), liveness }
}

fn push(outbox: &mut VecDeque<(SocketAddrV4, Vec<u8>)>, stats: &mut Stats, to: SocketAddrV4, bytes: Vec<u8>) {
    if outbox.len() >= OUTBOX_MAX {
        stats.outbox_dropped += 1;
        return;
    }
    stats.sent += 1;
    stats.sent_bytes += bytes.len() as u64;
    outbox.push_back((to, bytes));
}

/// What `foca` asks for while it handles one datagram or timer.
struct Effects<'a> {
    now: Duration,
    out: &'a mut Out,
    rejoined: u64,
}

impl<'a> Effects<'a> {
    fn new(out: &'a mut Out, now: Duration) -> Self {
        Self { now, out, rejoined: 0 }
    }
}

impl Runtime<NodeId> for Effects<'_> {
    fn notify(&mut self, notification: Notification<'_, NodeId>) {
        match notification {
            Notification::Rejoin(_) => self.rejoined += 1,
            Notification::MemberDown(_) => self.out.stats.declared_dead += 1,
            _ => {}
        }
    }

    fn send_to(&mut self, to: NodeId, data: &[u8]) {
        let mut bytes = Vec::with_capacity(1 + data.len());
        bytes.push(KIND_SWIM);
        bytes.extend_from_slice(data);
        push(&mut self.out.outbox, &mut self.out.stats, to.addr, bytes);
    }

    fn submit_after(&mut self, event: Timer<NodeId>, after: Duration) {
        if self.out.timers.len() >= TIMERS_MAX {
            self.out.stats.timers_dropped += 1;
            return;
        }
        self.out.next_timer += 1;
        self.out.timers.insert((self.now + after, self.out.next_timer), event);
    }
}
