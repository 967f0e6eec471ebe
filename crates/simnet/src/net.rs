//! The simulated network: named nodes, the links between them with their faults, and the messages in flight.
//! Streams are in `stream.rs`.

use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use magpietally_transport::{Event, Kind, Name, Peer, SendError, Session};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::faults::{Faults, Limits};
use crate::inbox::{Inbox, InboxEntry};
use crate::port::SharedNet;
use crate::scheduled::{Action, ScheduledEvent};
use crate::stream::{ReceiverState, SenderState};
use crate::trace::Trace;

/// The maximum number of nodes. The links are a table of the square of this size, about 60 MB.
pub const NODES_MAX: usize = 1_024;
/// The maximum number of scheduled events (messages in flight and stream timers) in the whole network, about
/// 100 MB. Beyond it, sending fails with [`SendError::Full`].
pub const IN_FLIGHT_MAX: usize = 1 << 20;

/// Counters of one node's messages since it was added.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages accepted from it, including those lost later.
    pub sent: u64,
    /// Bytes of the messages accepted from it.
    pub sent_bytes: u64,
    /// Messages it read.
    pub received: u64,
    /// Bytes of the messages it read.
    pub received_bytes: u64,
    /// Messages from it that were refused with an error.
    pub refused: u64,
    /// Messages to it that were dropped because its backlog was full.
    pub overflowed: u64,
    /// Messages from it that a stream reported as lost.
    pub lost: u64,
    /// Messages to it that were dropped because they were of an older session or connection.
    pub outdated: u64,
}

/// Whether a node is running, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lifecycle {
    Running,
    /// Its process is dead; the kernel answers segments to it with a reset.
    Killed,
    /// Its host is down or unreachable; nothing is answered.
    Unreachable,
}

struct Node {
    name: Name,
    session: Session,
    lifecycle: Lifecycle,
    inbox: Inbox,
    counts: Counts,
}

/// Datagrams that wait on a held link, with the session of their sender; at most [`Limits::queue_capacity`].
#[derive(Default)]
struct HeldDatagrams {
    waiting: VecDeque<(Session, Arc<Vec<u8>>)>,
}

/// The link from one node to another, in this direction only.
#[derive(Default)]
pub(crate) struct Link {
    pub(crate) cut: bool,
    /// Datagrams that wait while the link is held; `None` if it is not held.
    held: Option<Box<HeldDatagrams>>,
    faults: Option<Box<Faults>>,
    /// The number of datagrams in flight.
    in_flight: u32,
    /// The latest session of the sender that the receiver has seen, by [`Kind`]: by datagrams and by streams.
    /// 0 if none.
    latest_session: [u64; 2],
    /// The sender's end of the stream.
    pub(crate) sender: Option<Box<SenderState>>,
    /// The receiver's end of the stream.
    pub(crate) receiver: Option<Box<ReceiverState>>,
}

impl Link {
    /// Returns whether messages sent now leave the sender.
    pub(crate) fn is_open(&self) -> bool {
        !self.cut && self.held.is_none()
    }
}

/// A simulated network. Nodes are numbered from 0 in the order in which they were added. Methods panic on a
/// number that was never assigned, as indexing does.
pub struct Net {
    nodes: Vec<Node>,
    by_name: BTreeMap<Name, usize>,
    /// `links[from][to]`, grown as links are used.
    links: Vec<Vec<Link>>,
    scheduled: BinaryHeap<ScheduledEvent>,
    pub(crate) order: u64,
    pub(crate) faults: Faults,
    pub(crate) limits: Limits,
    pub(crate) rng: Pcg64,
    now: Duration,
    pub(crate) trace: Trace,
    sent_bytes: u64,
    #[cfg(test)]
    pub(crate) injected_fault: Option<crate::tests::InjectedFault>,
}

impl Net {
    /// Creates a network without nodes, at time zero.
    pub fn new(seed: u64, faults: Faults, limits: Limits) -> Self {
        Self {
            nodes: Vec::new(),
            by_name: BTreeMap::new(),
            links: Vec::new(),
            scheduled: BinaryHeap::new(),
            order: 0,
            faults,
            limits,
            rng: Pcg64::seed_from_u64(seed),
            now: Duration::ZERO,
            trace: Trace::default(),
            sent_bytes: 0,
            #[cfg(test)]
            injected_fault: None,
        }
    }

    /// Wraps the network for use by [`crate::Port`]s.
    pub fn shared(self) -> SharedNet {
        Arc::new(Mutex::new(self))
    }

    /// Adds a node that is not running yet, or finds the one of this name, and returns its number. Returns
    /// `None` beyond [`NODES_MAX`] nodes.
    pub fn add(&mut self, name: &Name) -> Option<usize> {
        if let Some(&i) = self.by_name.get(name) {
            return Some(i);
        }
        if self.nodes.len() >= NODES_MAX {
            return None;
        }
        let i = self.nodes.len();
        self.by_name.insert(name.clone(), i);
        self.links.push(Vec::new());
        self.nodes.push(Node {
            name: name.clone(),
            session: Session(0),
            lifecycle: Lifecycle::Unreachable,
            inbox: Inbox::default(),
            counts: Counts::default(),
        });
        Some(i)
    }

    /// Returns the number of nodes, running or not.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether there are no nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns the number of the node of this name.
    pub fn index(&self, name: &Name) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    /// Returns the node's name and its latest session, which is 0 before its first start.
    pub fn peer(&self, i: usize) -> Peer {
        Peer { name: self.nodes[i].name.clone(), session: self.nodes[i].session }
    }

    /// Returns whether the node is running.
    pub fn is_running(&self, i: usize) -> bool {
        self.nodes[i].lifecycle == Lifecycle::Running
    }

    /// Returns the network's time, which no node sees.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Returns the node's counters.
    pub fn counts(&self, i: usize) -> &Counts {
        &self.nodes[i].counts
    }

    /// Returns the number of bytes sent by all nodes.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// Returns a hash of all deliveries with their receivers and times, and of each start and end of a node.
    /// Equal runs have equal hashes.
    pub fn trace(&self) -> u64 {
        self.trace.value()
    }

    /// Starts the node in a new session. If it was running, that session ends as if killed.
    pub fn start(&mut self, i: usize) -> Peer {
        self.end_session(i, Lifecycle::Running);
        self.nodes[i].session.0 += 1;
        let session = self.nodes[i].session.0;
        self.trace.fold((i as u64) << 32 | session);
        self.peer(i)
    }

    /// Kills the node's process (kill -9). Messages it has sent are still delivered. Its peers' streams break
    /// when they next send.
    pub fn kill(&mut self, i: usize) {
        self.end_session(i, Lifecycle::Killed);
    }

    /// Takes the node's host down or off the network without notice. Its peers' streams detect it only by
    /// [`Limits::break_after`].
    pub fn crash_host(&mut self, i: usize) {
        self.end_session(i, Lifecycle::Unreachable);
    }

    fn end_session(&mut self, i: usize, lifecycle: Lifecycle) {
        self.trace.fold((i as u64) << 32 | lifecycle as u64);
        self.nodes[i].lifecycle = lifecycle;
        self.nodes[i].inbox.clear();
        for link in &mut self.links[i] {
            link.sender = None;
        }
        for links in &mut self.links {
            if let Some(link) = links.get_mut(i) {
                link.latest_session = [0; 2];
                link.receiver = None;
            }
        }
    }

    /// Sets the network's faults from now on, for every link that has no faults of its own.
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Sets the faults of one link, in this direction only, in place of the network's. `None` returns it to
    /// the network's faults.
    pub fn set_link_faults(&mut self, from: usize, to: usize, faults: Option<Faults>) {
        self.link(from, to).faults = faults.map(Box::new);
    }

    /// Drops all messages sent from `from` to `to` from now on, in this direction only.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.link(from, to).cut = true;
    }

    /// Ends the cut of one link, in this direction only.
    pub fn restore(&mut self, from: usize, to: usize) {
        self.link(from, to).cut = false;
    }

    /// Cuts every link between a node of `a` and a node of `b` in both directions.
    pub fn partition(&mut self, a: &[usize], b: &[usize]) {
        for &x in a {
            for &y in b {
                self.cut(x, y);
                self.cut(y, x);
            }
        }
    }

    /// Ends the cuts of all links.
    pub fn heal(&mut self) {
        for link in self.links.iter_mut().flatten() {
            link.cut = false;
        }
    }

    /// Makes messages sent from `from` to `to` wait from now on, in this direction only; datagrams up to
    /// [`Limits::queue_capacity`].
    pub fn hold(&mut self, from: usize, to: usize) {
        self.link(from, to).held.get_or_insert_default();
    }

    /// Ends the hold of a link and sends everything that waited on it.
    pub fn release(&mut self, from: usize, to: usize) {
        let held = self.link(from, to).held.take();
        for (session, bytes) in held.into_iter().flat_map(|h| h.waiting) {
            self.send_datagram(from, to, session, bytes);
        }
        self.resend(from, to);
    }

    /// Accepts a message from node `from` for sending. Delivery is not guaranteed.
    ///
    /// # Errors
    /// See [`SendError`]: the message is too large, the name is unknown, too many messages wait, or `from` is
    /// not running.
    pub fn send(&mut self, from: usize, to: &Name, kind: Kind, bytes: Vec<u8>) -> Result<(), SendError> {
        let size = bytes.len();
        let result = self.try_send(from, to, kind, bytes);
        let counts = &mut self.nodes[from].counts;
        if result.is_ok() {
            counts.sent += 1;
            counts.sent_bytes += size as u64;
            self.sent_bytes += size as u64;
        } else {
            counts.refused += 1;
        }
        result
    }

    fn try_send(&mut self, from: usize, to: &Name, kind: Kind, bytes: Vec<u8>) -> Result<(), SendError> {
        if !self.is_running(from) {
            return Err(SendError::Closed(format!("{} is not running", self.nodes[from].name)));
        }
        let max = self.limits.capabilities(kind).message_max_bytes;
        if bytes.len() > max {
            return Err(SendError::TooLarge { size: bytes.len(), max });
        }
        let peer = self.index(to).ok_or_else(|| SendError::Unknown(to.clone()))?;
        let capacity = self.limits.queue_capacity;
        let link = self.link(from, peer);
        let waiting = match kind {
            Kind::Datagram => link.in_flight as usize + link.held.as_ref().map_or(0, |h| h.waiting.len()),
            Kind::Stream => link.sender.as_ref().map_or(0, |s| s.waiting()),
        };
        if waiting >= capacity || self.scheduled.len() >= IN_FLIGHT_MAX {
            return Err(SendError::Full { to: to.clone(), max: capacity });
        }
        let (session, bytes) = (self.nodes[from].session, Arc::new(bytes));
        match kind {
            Kind::Datagram => self.send_datagram(from, peer, session, bytes),
            Kind::Stream => self.send_stream(from, peer, bytes),
        }
        Ok(())
    }

    fn send_datagram(&mut self, from: usize, to: usize, session: Session, bytes: Arc<Vec<u8>>) {
        let link = self.link(from, to);
        if link.cut {
            return;
        }
        if let Some(held) = link.held.as_mut() {
            held.waiting.push_back((session, bytes));
            return;
        }
        let faults = self.faults_of(from, to);
        if self.chance(faults.loss) {
            return;
        }
        let copies = if self.chance(faults.duplicate) { 2 } else { 1 };
        for _ in 0..copies {
            let mut transit = self.transit_time(&faults);
            if self.chance(faults.reorder) {
                transit += self.random_delay(faults.reorder_delay_max);
            }
            self.link(from, to).in_flight += 1;
            self.schedule(transit, from, to, Action::Datagram { session, bytes: Arc::clone(&bytes) });
        }
    }

    /// Returns when [`Net::step`] next has an event to process.
    pub fn next_due(&self) -> Option<Duration> {
        self.scheduled.peek().map(|e| e.due)
    }

    /// Advances the time to the next event that gives a node something to read, but not past `until`. Returns
    /// the node's number, for [`Net::read`], or `None` if there is no such event by `until`.
    pub fn step(&mut self, until: Duration) -> Option<usize> {
        while self.scheduled.peek().is_some_and(|e| e.due <= until) {
            let Some(event) = self.scheduled.pop() else { break };
            self.now = self.now.max(event.due);
            if let Some(node) = self.arrive(event) {
                return Some(node);
            }
        }
        self.now = self.now.max(until);
        None
    }

    /// Returns the node's oldest unread event, of one kind or, with `None`, of both.
    pub fn read(&mut self, i: usize, kind: Option<Kind>) -> Option<Event> {
        let kind = kind.or_else(|| self.nodes[i].inbox.first_kind())?;
        let mut entry = self.nodes[i].inbox.read(kind)?;
        match &mut entry.event {
            Event::Message { bytes, .. } => {
                let counts = &mut self.nodes[i].counts;
                counts.received += 1;
                counts.received_bytes += bytes.len() as u64;
                if kind == Kind::Stream {
                    self.mark_read(entry.from, i);
                }
            }
            Event::Lost { messages, .. } => *messages = self.take_lost(i, entry.from),
            Event::NewSession(_) | Event::Dropped(_) => {}
        }
        Some(entry.event)
    }

    /// Returns the number of the node's unread entries.
    pub fn unread(&self, i: usize) -> usize {
        self.nodes[i].inbox.len()
    }

    fn arrive(&mut self, event: ScheduledEvent) -> Option<usize> {
        let ScheduledEvent { from, to, action, .. } = event;
        match action {
            Action::Datagram { session, bytes } => {
                let in_flight = &mut self.link(from, to).in_flight;
                *in_flight = in_flight.saturating_sub(1);
                let delivered = self.is_running(to) && self.deliver(from, to, Kind::Datagram, session, bytes);
                delivered.then_some(to)
            }
            Action::Segment { session, conn, seq, bytes } => {
                self.on_segment(from, to, session, conn, seq, bytes).then_some(to)
            }
            Action::Ack { conn, next_expected } => {
                self.on_ack(to, from, conn, next_expected);
                None
            }
            Action::Reset { conn } => self.on_reset(to, from, conn).then_some(to),
            Action::RetransmitTimer { conn } => self.on_retransmit_timer(from, to, conn).then_some(from),
        }
    }

    /// Delivers a message to a running node. Returns whether the node has something new to read.
    pub(crate) fn deliver(
        &mut self,
        from: usize,
        to: usize,
        kind: Kind,
        session: Session,
        bytes: Arc<Vec<u8>>,
    ) -> bool {
        let latest_session = self.link(from, to).latest_session[kind as usize];
        if session.0 < latest_session && !self.accepts_outdated_sessions() {
            return self.drop_outdated(from, to, kind);
        }
        let is_new_session = session.0 > latest_session;
        let backlog = self.limits.backlog;
        let node = &mut self.nodes[to];
        if kind == Kind::Datagram && !node.inbox.try_reserve(1 + usize::from(is_new_session), backlog) {
            node.counts.overflowed += 1;
            return false;
        }
        let peer = Peer { name: self.nodes[from].name.clone(), session };
        if is_new_session {
            self.link(from, to).latest_session[kind as usize] = session.0;
            self.push_event(to, kind, from, Event::NewSession(peer.clone()));
        }
        self.trace.fold(self.now.as_nanos() as u64);
        self.trace.fold((from as u64) << 32 | (to as u64) << 1 | kind as u64);
        self.trace.fold_bytes(&bytes);
        let bytes = Arc::try_unwrap(bytes).unwrap_or_else(|shared| (*shared).clone());
        self.push_event(to, kind, from, Event::Message { from: peer, bytes });
        #[cfg(test)]
        crate::tests::InjectedFault::after_delivery(
            self.injected_fault,
            self.nodes[to].inbox.queue_mut(kind),
        );
        true
    }

    /// Drops a message of an older session or connection. Returns whether the node is notified.
    pub(crate) fn drop_outdated(&mut self, from: usize, to: usize, kind: Kind) -> bool {
        let (backlog, order) = (self.limits.backlog, self.next_order());
        let node = &mut self.nodes[to];
        node.counts.outdated += 1;
        let event = Event::Dropped("a message of an older session");
        node.inbox.push_notice(kind, InboxEntry { order, from, event }, backlog)
    }

    pub(crate) fn push_event(&mut self, to: usize, kind: Kind, from: usize, event: Event) {
        let order = self.next_order();
        self.nodes[to].inbox.queue_mut(kind).push_back(InboxEntry { order, from, event });
    }

    pub(crate) fn session(&self, i: usize) -> Session {
        self.nodes[i].session
    }

    pub(crate) fn name(&self, i: usize) -> &Name {
        &self.nodes[i].name
    }

    /// Returns whether the node was killed, so that its kernel answers segments with a reset.
    pub(crate) fn was_killed(&self, i: usize) -> bool {
        self.nodes[i].lifecycle == Lifecycle::Killed
    }

    pub(crate) fn counts_mut(&mut self, i: usize) -> &mut Counts {
        &mut self.nodes[i].counts
    }

    pub(crate) fn link(&mut self, from: usize, to: usize) -> &mut Link {
        assert!(to < self.nodes.len(), "node {to} was never added");
        let links = &mut self.links[from];
        if links.len() <= to {
            links.resize_with(to + 1, Link::default);
        }
        &mut links[to]
    }

    pub(crate) fn faults_of(&mut self, from: usize, to: usize) -> Faults {
        match &self.link(from, to).faults {
            Some(own) => (**own).clone(),
            None => self.faults.clone(),
        }
    }

    pub(crate) fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share.clamp(0.0, 1.0))
    }

    fn random_delay(&mut self, max: Duration) -> Duration {
        let max = max.as_micros() as u64;
        Duration::from_micros(if max == 0 { 0 } else { self.rng.random_range(0..=max) })
    }

    /// Draws the transit time of one message, without delays for reordering or retransmission.
    pub(crate) fn transit_time(&mut self, faults: &Faults) -> Duration {
        faults.delay + self.random_delay(faults.jitter)
    }

    pub(crate) fn schedule(&mut self, after: Duration, from: usize, to: usize, action: Action) {
        let order = self.next_order();
        self.scheduled.push(ScheduledEvent { due: self.now + after, order, from, to, action });
    }

    fn next_order(&mut self) -> u64 {
        self.order += 1;
        self.order
    }

    #[cfg(test)]
    fn accepts_outdated_sessions(&self) -> bool {
        self.injected_fault == Some(crate::tests::InjectedFault::MixesSessions)
    }

    #[cfg(not(test))]
    fn accepts_outdated_sessions(&self) -> bool {
        false
    }
}
