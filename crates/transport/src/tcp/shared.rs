//! The state shared by the transport's thread and the node.

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
use crate::sessions::{SessionStatus, SessionTable, OLDER_SESSION, OWN_NAME, PEERS_MAX, PEER_TABLE_FULL};
use crate::transport::{Event, Peer, SendError, Session};

/// The maximum number of queued [`Event::Dropped`]. Further drops are only counted, so that a flood of
/// invalid input does not fill the memory.
const QUEUED_DROPS_MAX: usize = 256;

/// The maximum number of queued [`Event::NewSession`]: two for each name. Beyond it, connections are refused
/// until the node polls.
const QUEUED_SESSIONS_MAX: usize = 2 * PEERS_MAX;

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages written to a connection.
    pub sent: u64,
    /// Messages received from the fleet, of the latest session of their senders.
    pub received: u64,
    /// Messages of this node that were lost, or may have been.
    pub lost: u64,
    /// Frames and connections that were dropped: invalid, of another fleet, or of an older session.
    pub dropped: u64,
    /// Inbound connections refused because the maximum number was open.
    pub connections_rejected: u64,
    /// Outbound connections established.
    pub connections_opened: u64,
}

/// The sending side of one peer.
struct OutboundPeer {
    address: SocketAddr,
    queue: VecDeque<Vec<u8>>,
    /// The number of the last message written in this session. It is never reset, so that each number is used
    /// once.
    sent: u64,
    /// The last number that the peer acknowledged or that was reported as lost.
    settled: u64,
    wake: Arc<Notify>,
}

/// The receiving side of one peer.
struct InboundPeer {
    session: Session,
    /// The last number accepted in that session.
    last: u64,
    /// The connection that may deliver further messages.
    connection: u64,
}

#[derive(Default)]
struct State {
    outbound: BTreeMap<Name, OutboundPeer>,
    queue_bytes: usize,
    inbound: BTreeMap<Name, InboundPeer>,
    /// The number of the last accepted connection.
    last_connection: u64,
    sessions: SessionTable,
    /// Events to poll; lost messages are in `lost`.
    inbox: VecDeque<Event>,
    /// The number of messages in `inbox`.
    inbox_messages: usize,
    /// The size of the messages in `inbox`.
    inbox_bytes: usize,
    /// The number of [`Event::Dropped`] in `inbox`.
    queued_drops: usize,
    /// The number of [`Event::NewSession`] in `inbox`.
    queued_sessions: usize,
    /// Lost messages that were not polled yet, by recipient.
    lost: BTreeMap<Name, u64>,
    counts: Counts,
    /// When an inbound connection was last rejected because the maximum number was open.
    last_rejected_at: Option<Instant>,
    /// Why the transport was closed.
    close_reason: Option<String>,
}

/// The next step of the sending side.
pub(super) enum SendStep {
    /// Write this message with this number.
    Write(u64, Vec<u8>),
    /// The queue is empty or the window is full.
    Wait,
    /// The peer was removed or has another address: end this connection.
    End,
}

/// The state shared by the transport's thread and the node.
pub(super) struct Shared {
    pub me: Peer,
    pub fleet: FleetId,
    pub settings: Settings,
    /// Cancelled when the transport is closed.
    pub closed: CancellationToken,
    /// Notified when the inbox has space again.
    pub inbox_space: Notify,
    /// One permit for each outbound connection.
    outbound_permits: Semaphore,
    /// The number of peers that wait for an outbound permit.
    permit_waiters: AtomicUsize,
    /// One permit for each inbound connection.
    pub inbound_permits: Arc<Semaphore>,
    state: Mutex<State>,
}

impl Shared {
    pub fn new(me: Peer, fleet: FleetId, settings: Settings) -> Self {
        Self {
            me,
            fleet,
            closed: CancellationToken::new(),
            inbox_space: Notify::new(),
            outbound_permits: Semaphore::new(settings.outbound_connections),
            permit_waiters: AtomicUsize::new(0),
            inbound_permits: Arc::new(Semaphore::new(settings.inbound_connections)),
            settings,
            state: Mutex::new(State::default()),
        }
    }

    /// Locks the state. No code under the lock is expected to panic; the tables are consistent even if it
    /// does.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the header of a frame sent by this node.
    pub fn header(&self, to: &Name, message_type: MessageType, number: u64) -> Header {
        Header {
            fleet: self.fleet,
            to: RecipientId::from_name(to),
            message_type,
            from: self.me.clone(),
            number,
        }
    }

    pub fn close(&self, reason: String) {
        self.state().close_reason.get_or_insert(reason);
        self.closed.cancel();
    }

    pub fn counts(&self) -> Counts {
        self.state().counts
    }

    // ---- Called by the node ----

    /// Adds a peer or changes its address. Returns `None` if the table is full, and `Some(Some(_))` for a new
    /// peer, whose sending task the caller has to start.
    pub fn set_peer(&self, name: &Name, address: SocketAddr) -> Option<Option<Arc<Notify>>> {
        let mut s = self.state();
        if let Some(out) = s.outbound.get_mut(name) {
            out.address = address;
            out.wake.notify_one();
            return Some(None);
        }
        if s.outbound.len() >= PEERS_MAX {
            return None;
        }
        let wake = Arc::new(Notify::new());
        let out = OutboundPeer { address, queue: VecDeque::new(), sent: 0, settled: 0, wake: wake.clone() };
        s.outbound.insert(name.clone(), out);
        Some(Some(wake))
    }

    pub fn remove_peer(&self, name: &Name) {
        let mut s = self.state();
        let Some(out) = s.outbound.remove(name) else { return };
        s.queue_bytes -= out.queue.iter().map(Vec::len).sum::<usize>();
        s.record_lost(name, out.sent - out.settled + out.queue.len() as u64);
        out.wake.notify_one();
    }

    pub fn send(&self, to: &Name, message: &[u8]) -> Result<(), SendError> {
        let max = self.settings.message_max_bytes;
        if message.len() > max {
            return Err(SendError::TooLarge { size: message.len(), max });
        }
        let mut s = self.state();
        if let Some(reason) = &s.close_reason {
            return Err(SendError::Closed(reason.clone()));
        }
        let full = s.queue_bytes + message.len() > self.settings.queue_bytes;
        let out = s.outbound.get_mut(to).ok_or_else(|| SendError::Unknown(to.clone()))?;
        if full || out.queue.len() >= self.settings.queue_messages {
            return Err(SendError::Full { to: to.clone(), max: self.settings.queue_messages });
        }
        out.queue.push_back(message.to_vec());
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
                s.inbox_messages -= 1;
                s.inbox_bytes -= bytes.len();
            }
            Event::Dropped(_) => s.queued_drops -= 1,
            Event::NewSession(_) => s.queued_sessions -= 1,
            Event::Lost { .. } => {}
        }
        if s.has_inbox_space(&self.settings) {
            self.inbox_space.notify_waiters();
        }
        Some(event)
    }

    // ---- Called by the sending side ----

    /// Waits until messages are queued for the peer and returns its address; `None` if it was removed.
    pub async fn wait_for_messages(&self, name: &Name, wake: &Arc<Notify>) -> Option<SocketAddr> {
        loop {
            match self.state().outbound.get(name) {
                Some(out) if !Arc::ptr_eq(&out.wake, wake) => return None,
                Some(out) if !out.queue.is_empty() => return Some(out.address),
                Some(_) => {}
                None => return None,
            }
            wake.notified().await;
        }
    }

    /// Returns the next step for a connection to `address`.
    pub fn next_step(&self, name: &Name, wake: &Arc<Notify>, address: SocketAddr) -> SendStep {
        let mut s = self.state();
        let Some(out) =
            s.outbound.get_mut(name).filter(|o| o.address == address && Arc::ptr_eq(&o.wake, wake))
        else {
            return SendStep::End;
        };
        if out.sent - out.settled >= self.settings.window as u64 {
            return SendStep::Wait;
        }
        let Some(message) = out.queue.pop_front() else { return SendStep::Wait };
        out.sent += 1;
        let number = out.sent;
        s.queue_bytes -= message.len();
        s.counts.sent += 1;
        SendStep::Write(number, message)
    }

    /// Handles an acknowledgement: the peer accepted all messages up to `number`.
    pub fn acknowledged(&self, name: &Name, wake: &Arc<Notify>, number: u64) {
        if let Some(out) = self.state().outbound.get_mut(name).filter(|o| Arc::ptr_eq(&o.wake, wake)) {
            if number > out.settled {
                out.settled = number.min(out.sent);
                out.wake.notify_one();
            }
        }
    }

    /// Handles a new connection to a peer that already accepted all messages of this session up to `number`.
    /// If fewer are known here (the peer was removed and added again), numbering continues from there, since
    /// the peer accepts no number twice.
    pub fn resume(&self, name: &Name, wake: &Arc<Notify>, number: u64) {
        if let Some(out) = self.state().outbound.get_mut(name).filter(|o| Arc::ptr_eq(&o.wake, wake)) {
            if number > out.sent {
                (out.sent, out.settled) = (number, number);
            }
        }
    }

    /// Handles the end of a connection: messages that are not acknowledged may be lost. They are not sent
    /// again, since they may have arrived.
    pub fn connection_lost(&self, name: &Name, wake: &Arc<Notify>) {
        let mut s = self.state();
        let Some(out) = s.outbound.get_mut(name).filter(|o| Arc::ptr_eq(&o.wake, wake)) else { return };
        let unacknowledged = out.sent - out.settled;
        out.settled = out.sent;
        s.record_lost(name, unacknowledged);
    }

    /// Returns whether no message is queued or unacknowledged.
    pub fn is_idle(&self, name: &Name) -> bool {
        self.state().outbound.get(name).is_none_or(|o| o.queue.is_empty() && o.sent == o.settled)
    }

    /// Waits for an outbound permit; `None` if the transport is closed.
    pub async fn acquire_outbound_permit(&self) -> Option<SemaphorePermit<'_>> {
        if let Ok(permit) = self.outbound_permits.try_acquire() {
            return Some(permit);
        }
        self.permit_waiters.fetch_add(1, Ordering::Relaxed);
        let permit = self.outbound_permits.acquire().await.ok();
        self.permit_waiters.fetch_sub(1, Ordering::Relaxed);
        permit
    }

    /// Returns how long an outbound connection may be idle: only one heartbeat while other peers wait for a
    /// permit.
    pub fn outbound_idle_limit(&self) -> Duration {
        match self.permit_waiters.load(Ordering::Relaxed) {
            0 => self.settings.idle_timeout,
            _ => self.settings.heartbeat,
        }
    }

    pub fn count_connection(&self) {
        self.state().counts.connections_opened += 1;
    }

    // ---- Called by the receiving side ----

    /// Counts a drop and queues an [`Event::Dropped`], unless too many are queued.
    pub fn record_drop(&self, reason: &'static str) {
        self.state().record_drop(reason);
    }

    /// Records that an inbound connection was rejected.
    pub fn record_rejection(&self) {
        let mut s = self.state();
        s.counts.connections_rejected += 1;
        s.last_rejected_at = Some(Instant::now());
    }

    /// Returns how long an inbound connection may be idle: one heartbeat for some time after a rejection, as
    /// the rejected peer tries again within the maximum backoff; otherwise `None`, no limit.
    pub fn inbound_idle_limit(&self) -> Option<Duration> {
        let s = &self.settings;
        let rejected_recently =
            self.state().last_rejected_at.is_some_and(|at| at.elapsed() < s.backoff_max * 2);
        rejected_recently.then_some(s.heartbeat)
    }

    /// Returns whether another message may be read.
    pub fn has_inbox_space(&self) -> bool {
        self.state().has_inbox_space(&self.settings)
    }

    /// Handles the identity that a peer gave on an inbound or outbound connection. Returns false if the
    /// connection has to be refused.
    pub fn observe_session(&self, peer: &Peer) -> bool {
        self.state().observe_session(peer, &self.me.name)
    }

    /// Registers an inbound connection, which replaces an earlier one of that peer. Returns the connection's
    /// number and the number of the last accepted message, or `None` if the connection has to be refused.
    pub fn register_inbound(&self, peer: &Peer) -> Option<(u64, u64)> {
        let mut s = self.state();
        if !s.observe_session(peer, &self.me.name) {
            return None;
        }
        s.last_connection += 1;
        let connection = s.last_connection;
        let fresh = InboundPeer { session: peer.session, last: 0, connection };
        let known = s.inbound.entry(peer.name.clone()).or_insert(fresh);
        if known.session != peer.session {
            (known.session, known.last) = (peer.session, 0);
        }
        known.connection = connection;
        Some((connection, known.last))
    }

    /// Returns the number of the last accepted message; `None` if the connection was replaced.
    pub fn last_accepted(&self, peer: &Peer, connection: u64) -> Option<u64> {
        self.state().inbound_on(peer, connection).map(|i| i.last)
    }

    /// Puts a received message into the inbox. Returns false if the connection has to end: it was replaced,
    /// or the message is not acceptable on it.
    pub fn deliver(&self, peer: &Peer, connection: u64, number: u64, bytes: Vec<u8>) -> bool {
        let mut s = self.state();
        // A later session may have been seen on an outbound connection.
        if s.sessions.observe(peer) != SessionStatus::Current {
            s.record_drop(OLDER_SESSION);
            return false;
        }
        let Some(known) = s.inbound_on(peer, connection) else {
            s.record_drop("a message on a connection that was replaced");
            return false;
        };
        if number <= known.last {
            s.record_drop("a message with a number that was already accepted");
            return false;
        }
        known.last = number;
        s.counts.received += 1;
        s.inbox_messages += 1;
        s.inbox_bytes += bytes.len();
        s.inbox.push_back(Event::Message { from: peer.clone(), bytes });
        true
    }
}

impl State {
    fn has_inbox_space(&self, settings: &Settings) -> bool {
        self.inbox_messages < settings.inbox_messages && self.inbox_bytes < settings.inbox_bytes
    }

    /// Returns the receiving side of a peer if `connection` is still its current one.
    fn inbound_on(&mut self, peer: &Peer, connection: u64) -> Option<&mut InboundPeer> {
        let known = self.inbound.get_mut(&peer.name)?;
        (known.session == peer.session && known.connection == connection).then_some(known)
    }

    fn record_lost(&mut self, to: &Name, messages: u64) {
        if messages > 0 {
            self.counts.lost += messages;
            *self.lost.entry(to.clone()).or_default() += messages;
        }
    }

    fn record_drop(&mut self, reason: &'static str) {
        self.counts.dropped += 1;
        if self.queued_drops < QUEUED_DROPS_MAX {
            self.queued_drops += 1;
            self.inbox.push_back(Event::Dropped(reason));
        }
    }

    /// Records the session of a peer and queues an [`Event::NewSession`] if it is new. Returns false if the
    /// peer has to be refused.
    fn observe_session(&mut self, peer: &Peer, own: &Name) -> bool {
        if peer.name == *own {
            self.record_drop(OWN_NAME);
            return false;
        }
        if self.queued_sessions >= QUEUED_SESSIONS_MAX {
            self.record_drop("a connection while too many new sessions are queued");
            return false;
        }
        match self.sessions.observe(peer) {
            SessionStatus::Current => return true,
            SessionStatus::New => {}
            SessionStatus::Older => {
                self.record_drop(OLDER_SESSION);
                return false;
            }
            SessionStatus::TableFull => {
                self.record_drop(PEER_TABLE_FULL);
                return false;
            }
        }
        self.queued_sessions += 1;
        self.inbox.push_back(Event::NewSession(peer.clone()));
        true
    }
}
