//! The network alone: named nodes, links between them with faults, and what is on its way. Streams are in `stream.rs`.

use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use magpietally_transport::{Event, Kind, Name, Peer, SendError, Session};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::faults::{Faults, Limits};
use crate::flight::{Flight, What};
use crate::inbox::{Came, Inbox};
use crate::port::SharedNet;
use crate::stream::{Inward, Outward};
use crate::trace::Trace;

/// Nodes at most: their links are a table of its square, about 60 MB at this size.
pub const NODES_MAX: usize = 1_024;
/// Flights on their way at most in the whole network; past that a sender is told [`SendError::Full`]. About 100 MB.
pub const IN_FLIGHT_MAX: usize = 1 << 20;

/// What a node sent, got and lost since it was added.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages taken from it, also those that were lost later.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Messages it read.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
    /// Messages of its own that were refused with an error.
    pub refused: u64,
    /// Messages to it that its full backlog dropped.
    pub overflowed: u64,
    /// Messages of its own whose loss a stream told.
    pub lost: u64,
    /// Messages to it of an older session or connection, dropped.
    pub outdated: u64,
}

/// Why a node does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Runs,
    /// Its process is dead and its kernel says so to whom asks.
    Killed,
    /// Its machine is dead or away: it says nothing.
    Vanished,
}

struct Node {
    name: Name,
    session: Session,
    life: Life,
    inbox: Inbox,
    counts: Counts,
}

/// Datagrams that wait on a held link, with their sender's session; at most [`Limits::queue_capacity`].
#[derive(Default)]
struct Held {
    waiting: VecDeque<(Session, Arc<Vec<u8>>)>,
}

/// One way from a node to another.
#[derive(Default)]
pub(crate) struct Link {
    pub(crate) cut: bool,
    /// Datagrams that wait while the link is held.
    held: Option<Box<Held>>,
    faults: Option<Box<Faults>>,
    /// Datagrams on their way.
    on_way: u32,
    /// The greatest session of the sender that the reader has met, by datagrams and by streams; 0 is none.
    met: [u64; 2],
    /// The sender's end of the stream.
    pub(crate) out: Option<Box<Outward>>,
    /// The reader's end of the stream.
    pub(crate) inward: Option<Box<Inward>>,
}

impl Link {
    /// Whether what is sent now goes off.
    pub(crate) fn is_open(&self) -> bool {
        !self.cut && self.held.is_none()
    }
}

/// The network. Nodes are numbered from 0 in the order they were added; a number that was never given out panics, as an
/// index does.
pub struct Net {
    nodes: Vec<Node>,
    by_name: BTreeMap<Name, usize>,
    /// `links[from][to]`, as far as they were used.
    links: Vec<Vec<Link>>,
    flights: BinaryHeap<Flight>,
    pub(crate) order: u64,
    pub(crate) faults: Faults,
    pub(crate) limits: Limits,
    pub(crate) rng: Pcg64,
    now: Duration,
    pub(crate) trace: Trace,
    sent_bytes: u64,
    #[cfg(test)]
    pub(crate) planted: Option<crate::tests::Planted>,
}

impl Net {
    /// No nodes yet, at time zero.
    pub fn new(seed: u64, faults: Faults, limits: Limits) -> Self {
        Self {
            nodes: Vec::new(),
            by_name: BTreeMap::new(),
            links: Vec::new(),
            flights: BinaryHeap::new(),
            order: 0,
            faults,
            limits,
            rng: Pcg64::seed_from_u64(seed),
            now: Duration::ZERO,
            trace: Trace::default(),
            sent_bytes: 0,
            #[cfg(test)]
            planted: None,
        }
    }

    /// For [`crate::Port`]s.
    pub fn shared(self) -> SharedNet {
        Arc::new(Mutex::new(self))
    }

    /// Adds a node that does not run yet, or finds the one of this name; its number. `None` past [`NODES_MAX`].
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
            life: Life::Vanished,
            inbox: Inbox::default(),
            counts: Counts::default(),
        });
        Some(i)
    }

    /// How many nodes there are, whether they run or not.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// No node at all.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// The number of the node named so.
    pub fn index(&self, name: &Name) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    /// The node and its latest start; session 0 before the first.
    pub fn peer(&self, i: usize) -> Peer {
        Peer { name: self.nodes[i].name.clone(), session: self.nodes[i].session }
    }

    /// Whether the node runs.
    pub fn is_running(&self, i: usize) -> bool {
        self.nodes[i].life == Life::Runs
    }

    /// The network's time, which no node sees.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// What was counted of a node.
    pub fn counts(&self, i: usize) -> &Counts {
        &self.nodes[i].counts
    }

    /// Bytes sent by all nodes.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// A number for all that came, to whom and when, and for each start and end of a node: equal for equal runs.
    pub fn trace(&self) -> u64 {
        self.trace.value()
    }

    /// Starts the node in a new session. If it ran, that session ends as if killed.
    pub fn start(&mut self, i: usize) -> Peer {
        self.end(i, Life::Runs);
        self.nodes[i].session.0 += 1;
        let session = self.nodes[i].session.0;
        self.trace.fold((i as u64) << 32 | session);
        self.peer(i)
    }

    /// The node's process dies (kill -9). What it sent goes on; its peers' streams are told when they next send.
    pub fn kill(&mut self, i: usize) {
        self.end(i, Life::Killed);
    }

    /// The node's machine dies or goes away without a word: its peers' streams notice by [`Limits::break_after`] alone.
    pub fn crash_host(&mut self, i: usize) {
        self.end(i, Life::Vanished);
    }

    fn end(&mut self, i: usize, life: Life) {
        self.trace.fold((i as u64) << 32 | life as u64);
        self.nodes[i].life = life;
        self.nodes[i].inbox.clear();
        for link in &mut self.links[i] {
            link.out = None;
        }
        for links in &mut self.links {
            if let Some(link) = links.get_mut(i) {
                link.met = [0; 2];
                link.inward = None;
            }
        }
    }

    /// The network's faults from now on, on every link that has none of its own.
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// The faults of one link, one way, in place of the network's; `None` gives it the network's again.
    pub fn set_link_faults(&mut self, from: usize, to: usize, faults: Option<Faults>) {
        self.link(from, to).faults = faults.map(Box::new);
    }

    /// What is sent from `from` to `to` from now on does not arrive (one way).
    pub fn cut(&mut self, from: usize, to: usize) {
        self.link(from, to).cut = true;
    }

    /// The link works again, one way.
    pub fn restore(&mut self, from: usize, to: usize) {
        self.link(from, to).cut = false;
    }

    /// Every link between a node of `a` and one of `b` is cut both ways.
    pub fn partition(&mut self, a: &[usize], b: &[usize]) {
        for &x in a {
            for &y in b {
                self.cut(x, y);
                self.cut(y, x);
            }
        }
    }

    /// No link is cut any more.
    pub fn heal(&mut self) {
        for link in self.links.iter_mut().flatten() {
            link.cut = false;
        }
    }

    /// What is sent from `from` to `to` from now on waits (one way), datagrams up to [`Limits::queue_capacity`].
    pub fn hold(&mut self, from: usize, to: usize) {
        self.link(from, to).held.get_or_insert_default();
    }

    /// What waited on the link sets off now, all of it.
    pub fn release(&mut self, from: usize, to: usize) {
        let held = self.link(from, to).held.take();
        for (session, bytes) in held.into_iter().flat_map(|h| h.waiting) {
            self.send_datagram(from, to, session, bytes);
        }
        self.resend(from, to);
    }

    /// Takes a message of node `from`. Taken is not arrived.
    ///
    /// # Errors
    /// See [`SendError`]: too large, an unknown name, too many wait, or `from` does not run.
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
            return Err(SendError::Closed(format!("{} does not run", self.nodes[from].name)));
        }
        let most = self.limits.capabilities(kind).message_max_bytes;
        if bytes.len() > most {
            return Err(SendError::TooLarge { size: bytes.len(), max: most });
        }
        let peer = self.index(to).ok_or_else(|| SendError::Unknown(to.clone()))?;
        let capacity = self.limits.queue_capacity;
        let link = self.link(from, peer);
        let waiting = match kind {
            Kind::Datagram => link.on_way as usize + link.held.as_ref().map_or(0, |h| h.waiting.len()),
            Kind::Stream => link.out.as_ref().map_or(0, |o| o.waiting()),
        };
        if waiting >= capacity || self.flights.len() >= IN_FLIGHT_MAX {
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
        let f = self.faults_of(from, to);
        if self.share(f.loss) {
            return;
        }
        let copies = if self.share(f.duplicate) { 2 } else { 1 };
        for _ in 0..copies {
            let mut way = self.way(&f);
            if self.share(f.reorder) {
                way += self.drawn(f.reorder_delay_max);
            }
            self.link(from, to).on_way += 1;
            self.fly(way, from, to, What::Datagram { session, bytes: Arc::clone(&bytes) });
        }
    }

    /// When [`Net::step`] has something to do next.
    pub fn next_due(&self) -> Option<Duration> {
        self.flights.peek().map(|f| f.due)
    }

    /// Goes on to the next moment at which something comes to a node, at most to `until`: the node's number, for
    /// [`Net::read`]; `None` when nothing more comes by `until`.
    pub fn step(&mut self, until: Duration) -> Option<usize> {
        while self.flights.peek().is_some_and(|f| f.due <= until) {
            let Some(flight) = self.flights.pop() else { break };
            self.now = self.now.max(flight.due);
            if let Some(node) = self.arrive(flight) {
                return Some(node);
            }
        }
        self.now = self.now.max(until);
        None
    }

    /// What came to a node first and was not read yet, of one kind or of both.
    pub fn read(&mut self, i: usize, kind: Option<Kind>) -> Option<Event> {
        let kind = kind.or_else(|| self.nodes[i].inbox.first())?;
        let mut came = self.nodes[i].inbox.read(kind)?;
        match &mut came.event {
            Event::Message { bytes, .. } => {
                let counts = &mut self.nodes[i].counts;
                counts.received += 1;
                counts.received_bytes += bytes.len() as u64;
                if kind == Kind::Stream {
                    self.was_read(came.from, i);
                }
            }
            Event::Lost { messages, .. } => *messages = self.take_lost(i, came.from),
            Event::NewSession(_) | Event::Dropped(_) => {}
        }
        Some(came.event)
    }

    /// How many entries wait to be read by the node.
    pub fn unread(&self, i: usize) -> usize {
        self.nodes[i].inbox.len()
    }

    fn arrive(&mut self, flight: Flight) -> Option<usize> {
        let Flight { from, to, what, .. } = flight;
        match what {
            What::Datagram { session, bytes } => {
                let on_way = &mut self.link(from, to).on_way;
                *on_way = on_way.saturating_sub(1);
                let comes = self.is_running(to) && self.deliver(from, to, Kind::Datagram, session, bytes);
                comes.then_some(to)
            }
            What::Segment { session, conn, seq, bytes } => {
                self.on_segment(from, to, session, conn, seq, bytes).then_some(to)
            }
            What::Ack { conn, below } => {
                self.on_ack(to, from, conn, below);
                None
            }
            What::Reset { conn } => self.on_reset(to, from, conn).then_some(to),
            What::Check { conn } => self.on_check(from, to, conn).then_some(from),
        }
    }

    /// Hands a message to a node that runs; whether anything came of it that the node can read.
    pub(crate) fn deliver(
        &mut self,
        from: usize,
        to: usize,
        kind: Kind,
        session: Session,
        bytes: Arc<Vec<u8>>,
    ) -> bool {
        let met = self.link(from, to).met[kind as usize];
        if session.0 < met && !self.mixes_sessions() {
            return self.outdated(from, to, kind);
        }
        let news = session.0 > met;
        let backlog = self.limits.backlog;
        let node = &mut self.nodes[to];
        if kind == Kind::Datagram && !node.inbox.fits(1 + usize::from(news), backlog) {
            node.counts.overflowed += 1;
            return false;
        }
        let peer = Peer { name: self.nodes[from].name.clone(), session };
        if news {
            self.link(from, to).met[kind as usize] = session.0;
            self.put(to, kind, from, Event::NewSession(peer.clone()));
        }
        self.trace.fold(self.now.as_nanos() as u64);
        self.trace.fold((from as u64) << 32 | (to as u64) << 1 | kind as u64);
        self.trace.bytes(&bytes);
        let bytes = Arc::try_unwrap(bytes).unwrap_or_else(|shared| (*shared).clone());
        self.put(to, kind, from, Event::Message { from: peer, bytes });
        #[cfg(test)]
        crate::tests::Planted::after_delivery(self.planted, self.nodes[to].inbox.of(kind));
        true
    }

    /// A message of an older session or connection came; whether the node is told.
    pub(crate) fn outdated(&mut self, from: usize, to: usize, kind: Kind) -> bool {
        let (backlog, order) = (self.limits.backlog, self.next_order());
        let node = &mut self.nodes[to];
        node.counts.outdated += 1;
        let event = Event::Dropped("a message of an older session");
        node.inbox.notice(kind, Came { order, from, event }, backlog)
    }

    pub(crate) fn put(&mut self, to: usize, kind: Kind, from: usize, event: Event) {
        let order = self.next_order();
        self.nodes[to].inbox.of(kind).push_back(Came { order, from, event });
    }

    pub(crate) fn session(&self, i: usize) -> Session {
        self.nodes[i].session
    }

    pub(crate) fn name(&self, i: usize) -> &Name {
        &self.nodes[i].name
    }

    /// Whether the node's kernel says that nobody is there.
    pub(crate) fn was_killed(&self, i: usize) -> bool {
        self.nodes[i].life == Life::Killed
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

    pub(crate) fn share(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share.clamp(0.0, 1.0))
    }

    fn drawn(&mut self, most: Duration) -> Duration {
        let most = most.as_micros() as u64;
        Duration::from_micros(if most == 0 { 0 } else { self.rng.random_range(0..=most) })
    }

    /// Time on the way of one message, but for what holds it back.
    pub(crate) fn way(&mut self, f: &Faults) -> Duration {
        f.delay + self.drawn(f.jitter)
    }

    pub(crate) fn fly(&mut self, after: Duration, from: usize, to: usize, what: What) {
        let order = self.next_order();
        self.flights.push(Flight { due: self.now + after, order, from, to, what });
    }

    fn next_order(&mut self) -> u64 {
        self.order += 1;
        self.order
    }

    #[cfg(test)]
    fn mixes_sessions(&self) -> bool {
        self.planted == Some(crate::tests::Planted::MixesSessions)
    }

    #[cfg(not(test))]
    fn mixes_sessions(&self) -> bool {
        false
    }
}
