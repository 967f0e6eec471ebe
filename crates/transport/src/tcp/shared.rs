//! What the carrying thread and the node share.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{Notify, Semaphore, SemaphorePermit};
use tokio_util::sync::CancellationToken;

use super::Settings;
use crate::envelope::{FleetId, Header, MessageType, RecipientId};
use crate::name::Name;
use crate::sessions::{Seen, Sessions, OLDER, OWN_NAME, PEERS_MOST, TOO_MANY};
use crate::transport::{Event, Peer, SendError, Session};

/// Drops that wait to be told one by one; past it they are only counted, so that a flood of strange bytes fills nothing.
const DROPS_TOLD: usize = 256;

/// Meetings that wait to be told: two a name. Past it a connection is refused until the node polls.
const MEETINGS: usize = 2 * PEERS_MOST;

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages written to a connection.
    pub sent: u64,
    /// Messages that came, of our fleet and of the peer's latest session.
    pub received: u64,
    /// Messages of ours that were or may be lost.
    pub lost: u64,
    /// Frames and connections that were dropped: strange, another fleet's, an older session's.
    pub dropped: u64,
    /// Connections refused as so many are open already.
    pub connections_rejected: u64,
    /// Connections made to peers.
    pub connections_opened: u64,
}

/// The sending side of one peer.
struct Out {
    address: SocketAddr,
    waiting: VecDeque<Vec<u8>>,
    /// The number of the last message written, within our session: never reset, so that a number is used once.
    sent: u64,
    /// The last number that the peer took, or that was told as lost.
    settled: u64,
    wake: Arc<Notify>,
}

/// The receiving side of one peer.
struct In {
    session: Session,
    /// The last number taken of that session.
    last: u64,
    /// The connection that may bring the next.
    connection: u64,
}

#[derive(Default)]
struct State {
    out: BTreeMap<Name, Out>,
    queue_bytes: usize,
    incoming: BTreeMap<Name, In>,
    connections: u64,
    sessions: Sessions,
    inbox: VecDeque<Event>,
    messages: usize,
    inbox_bytes: usize,
    drops: usize,
    meetings: usize,
    lost: BTreeMap<Name, u64>,
    counts: Counts,
    /// When a connection was turned away last.
    turned_away: Option<Instant>,
    ended: Option<String>,
}

/// What the sending side does next.
pub(super) enum Next {
    /// Write this message under this number.
    Write(u64, Vec<u8>),
    /// Nothing to write, or the window is full.
    Wait,
    /// The peer was forgotten or has moved: this connection ends.
    End,
}

/// See the module.
pub(super) struct Shared {
    pub me: Peer,
    pub fleet: FleetId,
    pub settings: Settings,
    /// Done once the end is closed.
    pub ended: CancellationToken,
    /// Told when the inbox has room again.
    pub room: Notify,
    /// One permit a connection dialled.
    outbound: Semaphore,
    /// Peers that wait for one of them.
    waiting_to_dial: AtomicUsize,
    /// One permit a connection accepted.
    pub inbound: Arc<Semaphore>,
    state: Mutex<State>,
}

impl Shared {
    pub fn new(me: Peer, fleet: FleetId, settings: Settings) -> Self {
        Self {
            me,
            fleet,
            ended: CancellationToken::new(),
            room: Notify::new(),
            outbound: Semaphore::new(settings.outbound_connections),
            waiting_to_dial: AtomicUsize::new(0),
            inbound: Arc::new(Semaphore::new(settings.inbound_connections)),
            settings,
            state: Mutex::new(State::default()),
        }
    }

    /// No call under the lock panics by design; were one to, the tables are still whole.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The head of a frame of ours.
    pub fn head(&self, to: &Name, message_type: MessageType, number: u64) -> Header {
        Header {
            fleet: self.fleet,
            to: RecipientId::from_name(to),
            message_type,
            from: self.me.clone(),
            number,
        }
    }

    pub fn end(&self, why: String) {
        self.state().ended.get_or_insert(why);
        self.ended.cancel();
    }

    pub fn counts(&self) -> Counts {
        self.state().counts
    }

    // ---- The node's side ----

    /// `None`: no room; `Some(Some)`: a new peer, whose carrier is to be started.
    pub fn set_peer(&self, name: &Name, address: SocketAddr) -> Option<Option<Arc<Notify>>> {
        let mut s = self.state();
        if let Some(out) = s.out.get_mut(name) {
            out.address = address;
            out.wake.notify_one();
            return Some(None);
        }
        if s.out.len() >= PEERS_MOST {
            return None;
        }
        let wake = Arc::new(Notify::new());
        let out = Out { address, waiting: VecDeque::new(), sent: 0, settled: 0, wake: wake.clone() };
        s.out.insert(name.clone(), out);
        Some(Some(wake))
    }

    pub fn remove_peer(&self, name: &Name) {
        let mut s = self.state();
        let Some(out) = s.out.remove(name) else { return };
        s.queue_bytes -= out.waiting.iter().map(Vec::len).sum::<usize>();
        s.lose(name, out.sent - out.settled + out.waiting.len() as u64);
        out.wake.notify_one();
    }

    pub fn send(&self, to: &Name, message: &[u8]) -> Result<(), SendError> {
        let most = self.settings.message_max_bytes;
        if message.len() > most {
            return Err(SendError::TooLarge { size: message.len(), max: most });
        }
        let mut s = self.state();
        if let Some(why) = &s.ended {
            return Err(SendError::Closed(why.clone()));
        }
        let full = s.queue_bytes + message.len() > self.settings.queue_bytes;
        let out = s.out.get_mut(to).ok_or_else(|| SendError::Unknown(to.clone()))?;
        if full || out.waiting.len() >= self.settings.queue_messages {
            return Err(SendError::Full { to: to.clone(), max: self.settings.queue_messages });
        }
        out.waiting.push_back(message.to_vec());
        out.wake.notify_one();
        s.queue_bytes += message.len();
        Ok(())
    }

    pub fn poll(&self) -> Option<Event> {
        let mut s = self.state();
        if let Some((to, messages)) = s.lost.pop_first() {
            return Some(Event::Lost { to, messages });
        }
        let event = s.inbox.pop_front()?;
        match &event {
            Event::Message { bytes, .. } => {
                s.messages -= 1;
                s.inbox_bytes -= bytes.len();
            }
            Event::Dropped(_) => s.drops -= 1,
            Event::NewSession(_) => s.meetings -= 1,
            Event::Lost { .. } => {}
        }
        if s.has_room(&self.settings) {
            self.room.notify_waiters();
        }
        Some(event)
    }

    // ---- The sending side ----

    /// Where the peer is, once something waits for it; `None` where it was forgotten.
    pub async fn wanted(&self, name: &Name, wake: &Arc<Notify>) -> Option<SocketAddr> {
        loop {
            match self.state().out.get(name) {
                Some(out) if !Arc::ptr_eq(&out.wake, wake) => return None,
                Some(out) if !out.waiting.is_empty() => return Some(out.address),
                Some(_) => {}
                None => return None,
            }
            wake.notified().await;
        }
    }

    /// The next message for a connection to `address`.
    pub fn next(&self, name: &Name, wake: &Arc<Notify>, address: SocketAddr) -> Next {
        let mut s = self.state();
        let Some(out) = s.out.get_mut(name).filter(|o| o.address == address && Arc::ptr_eq(&o.wake, wake))
        else {
            return Next::End;
        };
        if out.sent - out.settled >= self.settings.window as u64 {
            return Next::Wait;
        }
        let Some(message) = out.waiting.pop_front() else { return Next::Wait };
        out.sent += 1;
        let number = out.sent;
        s.queue_bytes -= message.len();
        s.counts.sent += 1;
        Next::Write(number, message)
    }

    /// The peer took all up to `number`.
    pub fn acknowledged(&self, name: &Name, wake: &Arc<Notify>, number: u64) {
        if let Some(out) = self.state().out.get_mut(name).filter(|o| Arc::ptr_eq(&o.wake, wake)) {
            if number > out.settled {
                out.settled = number.min(out.sent);
                out.wake.notify_one();
            }
        }
    }

    /// A new connection, and the peer took all up to `number` of our session already: where we know of fewer (it was
    /// forgotten and named again), we go on from there, as it takes no number twice.
    pub fn resume(&self, name: &Name, wake: &Arc<Notify>, number: u64) {
        if let Some(out) = self.state().out.get_mut(name).filter(|o| Arc::ptr_eq(&o.wake, wake)) {
            if number > out.sent {
                (out.sent, out.settled) = (number, number);
            }
        }
    }

    /// The connection is gone: what was not acknowledged may be lost, and is not sent again, as it may have arrived.
    pub fn broke(&self, name: &Name, wake: &Arc<Notify>) {
        let mut s = self.state();
        let Some(out) = s.out.get_mut(name).filter(|o| Arc::ptr_eq(&o.wake, wake)) else { return };
        let open = out.sent - out.settled;
        out.settled = out.sent;
        s.lose(name, open);
    }

    /// Nothing is under way or waits.
    pub fn idle(&self, name: &Name) -> bool {
        self.state().out.get(name).is_none_or(|o| o.waiting.is_empty() && o.sent == o.settled)
    }

    /// A place among the connections dialled, once there is one; `None` where the end is closed.
    pub async fn place_to_dial(&self) -> Option<SemaphorePermit<'_>> {
        if let Ok(permit) = self.outbound.try_acquire() {
            return Some(permit);
        }
        self.waiting_to_dial.fetch_add(1, Ordering::Relaxed);
        let permit = self.outbound.acquire().await.ok();
        self.waiting_to_dial.fetch_sub(1, Ordering::Relaxed);
        permit
    }

    /// For how long a connection dialled may have nothing to carry: while peers wait for its place, a sign of life's time.
    pub fn idle_most(&self) -> Duration {
        match self.waiting_to_dial.load(Ordering::Relaxed) {
            0 => self.settings.idle_timeout,
            _ => self.settings.heartbeat,
        }
    }

    pub fn count_dial(&self) {
        self.state().counts.connections_opened += 1;
    }

    // ---- The receiving side ----

    /// Notes something dropped, to be told while few such wait.
    pub fn dropped(&self, why: &'static str) {
        self.state().drop_one(why);
    }

    pub fn turned_away(&self) {
        let mut s = self.state();
        s.counts.connections_rejected += 1;
        s.turned_away = Some(Instant::now());
    }

    /// For how long a connection accepted may bring nothing: who was turned away tries again within the longest backoff, and
    /// until then a sign of life's time; `None` while there is room.
    pub fn quiet_most(&self) -> Option<Duration> {
        let s = &self.settings;
        let lately = self.state().turned_away.is_some_and(|at| at.elapsed() < s.backoff_max * 2);
        lately.then_some(s.heartbeat)
    }

    /// Whether another message may be read.
    pub fn has_room(&self) -> bool {
        self.state().has_room(&self.settings)
    }

    /// A peer has said who it is, on a connection either way; false where it can't be that one.
    pub fn met(&self, peer: &Peer) -> bool {
        self.state().meet(peer, &self.me.name)
    }

    /// A peer's connection to us is set up and replaces an earlier one: its number, and the last message taken.
    pub fn accepted(&self, peer: &Peer) -> Option<(u64, u64)> {
        let mut s = self.state();
        if !s.meet(peer, &self.me.name) {
            return None;
        }
        s.connections += 1;
        let connection = s.connections;
        let fresh = In { session: peer.session, last: 0, connection };
        let known = s.incoming.entry(peer.name.clone()).or_insert(fresh);
        if known.session != peer.session {
            (known.session, known.last) = (peer.session, 0);
        }
        known.connection = connection;
        Some((connection, known.last))
    }

    /// The last number taken, while this connection is still the one that brings them.
    pub fn taken(&self, peer: &Peer, connection: u64) -> Option<u64> {
        self.state().of_connection(peer, connection).map(|i| i.last)
    }

    /// A message on a connection; false where the connection was replaced, or brings what it can't.
    pub fn deliver(&self, peer: &Peer, connection: u64, number: u64, bytes: Vec<u8>) -> bool {
        let mut s = self.state();
        // A later session may have been met on a connection the other way.
        if s.sessions.see(peer) != Seen::Same {
            s.drop_one(OLDER);
            return false;
        }
        let Some(known) = s.of_connection(peer, connection) else {
            s.drop_one("a message on a connection that was replaced");
            return false;
        };
        if number <= known.last {
            s.drop_one("a message that came before");
            return false;
        }
        known.last = number;
        s.counts.received += 1;
        s.messages += 1;
        s.inbox_bytes += bytes.len();
        s.inbox.push_back(Event::Message { from: peer.clone(), bytes });
        true
    }
}

impl State {
    fn has_room(&self, settings: &Settings) -> bool {
        self.messages < settings.inbox_messages && self.inbox_bytes < settings.inbox_bytes
    }

    fn of_connection(&mut self, peer: &Peer, connection: u64) -> Option<&mut In> {
        let known = self.incoming.get_mut(&peer.name)?;
        (known.session == peer.session && known.connection == connection).then_some(known)
    }

    fn lose(&mut self, to: &Name, messages: u64) {
        if messages > 0 {
            self.counts.lost += messages;
            *self.lost.entry(to.clone()).or_default() += messages;
        }
    }

    fn drop_one(&mut self, why: &'static str) {
        self.counts.dropped += 1;
        if self.drops < DROPS_TOLD {
            self.drops += 1;
            self.inbox.push_back(Event::Dropped(why));
        }
    }

    fn meet(&mut self, peer: &Peer, own: &Name) -> bool {
        if peer.name == *own {
            self.drop_one(OWN_NAME);
            return false;
        }
        if self.meetings >= MEETINGS {
            self.drop_one("a connection while so many meetings wait to be told");
            return false;
        }
        match self.sessions.see(peer) {
            Seen::Same => return true,
            Seen::New => {}
            Seen::Older => {
                self.drop_one(OLDER);
                return false;
            }
            Seen::TooMany => {
                self.drop_one(TOO_MANY);
                return false;
            }
        }
        self.meetings += 1;
        self.inbox.push_back(Event::NewSession(peer.clone()));
        true
    }
}
