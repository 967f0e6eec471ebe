//! Accepts connections, and evicts others to make room for them.

use std::cell::Cell;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use magpietally_net::{Accepted, Listener, RegisterError, Shortage, Stream, BACKLOG};
use magpietally_os_error::retry::Backoff;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::close_reason::CloseReason;
use super::{ClientConnection, ClientConnections};
use crate::watched_stream::{ConnectionPhase, WatchedStream};

/// Age from which a connection with an incomplete request may be evicted.
const SLOW_REQUEST_EVICTABLE_AFTER: Duration = Duration::from_millis(250);
/// The least such age, below which a request in several segments would hardly arrive.
const SLOW_REQUEST_EVICTABLE_AFTER_MIN: Duration = Duration::from_millis(20);
/// How long connections must have been waiting in the backlog before the age is reduced.
const CROWD_AFTER: Duration = Duration::from_millis(100);
/// Time in which a full backlog of incomplete requests is to be passed through the places for connections: a
/// final answer may be late by this time, and nothing counts what a request has waited there.
const BACKLOG_PASSED_WITHIN: Duration = Duration::from_millis(400);
/// An accepted connection for which the node had to wait this long was not in the backlog before.
const BACKLOG_EMPTY_AFTER: Duration = Duration::from_millis(2);
/// How long a connection counts as recently used after its last response, or as new after it was accepted.
const RECENTLY_USED: Duration = Duration::from_millis(250);
/// How long a new connection has to send its first bytes before it is evicted ahead of those that were used.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(200);
/// Minimum interval between log lines on the same shortage.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// How long the backlog is drained at shutdown.
const BACKLOG_DRAIN_MAX: Duration = Duration::from_millis(100);
/// How long the accept loop waits for a connection to close when the limit is reached, and how long a
/// shortage of descriptors must last before the limit is reduced.
const SHORTAGE_WAIT: Duration = Duration::from_millis(20);
/// Descriptors that are left for the call to discovery and for attempts after descriptors have run out.
const RESERVED_DESCRIPTORS: usize = 8;
/// How long descriptors must have sufficed before the reduction of the limit is eased.
const REDUCTION_HOLD: Duration = Duration::from_secs(1);

/// A shortage that keeps the node from accepting, from the first failure to the next success.
#[derive(Default)]
struct ShortageState {
    since: Option<Instant>,
    pauses: Backoff,
    logged: Option<Instant>,
}

impl ShortageState {
    fn clear(&mut self) {
        if self.since.take().is_some() {
            self.pauses = Backoff::default();
        }
    }

    /// Returns whether the shortage has lasted for [`SHORTAGE_WAIT`]; starts the time at the first call.
    fn is_lasting(&mut self) -> bool {
        self.since.get_or_insert_with(Instant::now).elapsed() >= SHORTAGE_WAIT
    }

    fn log(&mut self, shortage: &Shortage) {
        if self.logged.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            self.logged = Some(Instant::now());
            tracing::warn!(target: "accept", "{}", shortage.error);
        }
    }
}

/// The order in which connections are evicted.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// It never sent anything.
    Silent,
    /// It is idle.
    Idle,
    /// Its request is slow to arrive.
    SlowRequest,
    /// It has just been used.
    RecentlyUsed,
}

/// Reduction of the limit on connections after descriptors have run out.
#[derive(Default)]
pub(super) struct Reduction {
    connections: Cell<usize>,
    since: Cell<Option<Instant>>,
}

impl Reduction {
    /// Number of connections by which the limit is reduced.
    pub(super) fn get(&self) -> usize {
        self.connections.get()
    }

    fn set(&self, connections: usize) {
        self.connections.set(connections);
        self.since.set(Some(Instant::now()));
    }

    /// Halves the reduction if descriptors have sufficed for [`REDUCTION_HOLD`].
    pub(super) fn ease(&self) {
        if self.since.get().is_none_or(|since| since.elapsed() >= REDUCTION_HOLD) {
            self.connections.set(self.connections.get() / 2);
        }
    }
}

impl ClientConnections {
    /// Accepts connections; never ends.
    pub async fn accept(self: &Rc<Self>, listener: &Listener) {
        let mut state = ShortageState::default();
        loop {
            self.wait_for_capacity().await;
            let waiting_since = Instant::now();
            match listener.accept().await {
                Ok(accepted) => {
                    if waiting_since.elapsed() >= BACKLOG_EMPTY_AFTER {
                        self.backlog_waiting_since.set(None);
                    }
                    state.clear();
                    self.add_accepted(accepted);
                }
                Err(shortage) => self.handle_shortage(listener, &shortage, &mut state).await,
            }
        }
    }

    /// Logs a shortage, releases resources for it, and pauses.
    async fn handle_shortage(&self, listener: &Listener, shortage: &Shortage, state: &mut ShortageState) {
        state.log(shortage);
        self.release_resources(listener, shortage, state.is_lasting());
        sleep(state.pauses.next_delay().min(SHORTAGE_WAIT)).await;
    }

    /// Closes idle connections to release the resource that is short. The limit on connections is reduced
    /// only while the process's own descriptors stay short: the next connection of the backlog would
    /// otherwise take whatever becomes free.
    fn release_resources(&self, listener: &Listener, shortage: &Shortage, lasting: bool) {
        if shortage.is_process_descriptor_limit() || lasting {
            self.node.transport().pool.evict_idle();
        }
        if shortage.is_process_descriptor_limit() && lasting && !listener.has_spare_descriptor() {
            let limit = self.count().saturating_sub(RESERVED_DESCRIPTORS);
            self.reduction.set(self.max.saturating_sub(limit.max(1)));
        }
    }

    /// Waits until another connection may be accepted. The descriptor of an evicted connection is free only
    /// when its task has ended; accepting earlier would admit a burst that waits in the backlog all at once.
    async fn wait_for_capacity(&self) {
        while self.count() >= self.limit() {
            if self.backlog_waiting_since.get().is_none() {
                self.backlog_waiting_since.set(Some(Instant::now()));
            }
            if !self.is_evicting() {
                self.evict();
            }
            // Times out as well, as a busy connection may have become idle.
            let _ = timeout(SHORTAGE_WAIT, self.freed.notified()).await;
        }
    }

    /// Accepts what is left in the backlog, for a bounded time, as a burst of clients may keep adding to it.
    pub async fn drain_backlog(self: &Rc<Self>, listener: &Listener) {
        let began = Instant::now();
        let mut state = ShortageState::default();
        while began.elapsed() < BACKLOG_DRAIN_MAX {
            if timeout(SHORTAGE_WAIT, self.wait_for_capacity()).await.is_err() {
                continue;
            }
            match timeout(SHORTAGE_WAIT, listener.accept()).await {
                Ok(Ok(accepted)) => {
                    state.clear();
                    self.add_accepted(accepted);
                }
                Ok(Err(shortage)) => self.handle_shortage(listener, &shortage, &mut state).await,
                // The backlog is empty.
                Err(_) => return,
            }
        }
    }

    /// Returns whether a connection was chosen for eviction and has not closed yet.
    pub(super) fn is_evicting(&self) -> bool {
        self.open.borrow().values().any(|client| client.evicted.get())
    }

    /// The age from which a connection with an incomplete request may be evicted. Where a crowd of them keeps
    /// others waiting in the backlog, they are passed through the places for connections fast enough.
    fn slow_request_evictable_after(&self) -> Duration {
        let crowded = self.backlog_waiting_since.get().is_some_and(|since| since.elapsed() >= CROWD_AFTER);
        if !crowded {
            return SLOW_REQUEST_EVICTABLE_AFTER;
        }
        let places = u32::try_from(self.limit()).unwrap_or(u32::MAX);
        let passes_backlog = BACKLOG_PASSED_WITHIN * places / BACKLOG.unsigned_abs();
        passes_backlog.clamp(SLOW_REQUEST_EVICTABLE_AFTER_MIN, SLOW_REQUEST_EVICTABLE_AFTER)
    }

    /// Requests that one connection be closed: first one that never sent anything, then the one that has been
    /// idle for longest, then the one whose request has been arriving for longest, and last one that was used a
    /// moment ago, whose client is likely to use it again; none if all are busy.
    pub(super) fn evict(&self) {
        let open = self.open.borrow();
        let slow_after = self.slow_request_evictable_after();
        let rank = |c: &ClientConnection| match c.stream.phase() {
            _ if c.lingering.get() => None,
            (ConnectionPhase::Idle, since) => {
                // A burst of silent connections must not evict those that are used.
                let silent = !c.stream.has_received_any() && since.elapsed() >= NEW_CONNECTION_GRACE;
                let rank = match since.elapsed() {
                    _ if silent => EvictionRank::Silent,
                    idle if idle >= RECENTLY_USED => EvictionRank::Idle,
                    _ => EvictionRank::RecentlyUsed,
                };
                Some((rank, since))
            }
            (ConnectionPhase::Reading, since)
                if since.elapsed() >= slow_after && !c.stream.has_received_request() =>
            {
                Some((EvictionRank::SlowRequest, since))
            }
            _ => None,
        };
        let mut all: Vec<_> = open.iter().filter_map(|(id, c)| Some((rank(c)?, *id, c))).collect();
        all.sort_unstable_by_key(|(rank, id, _)| (*rank, *id));
        // Sorted first, so that the kernel is queried for as few connections as possible.
        if let Some((.., client)) = all.into_iter().find(|(.., client)| client.stream.is_quiet()) {
            client.evicted.set(true);
            client.request_close(CloseReason::Evicted);
        }
    }

    /// Adds an accepted connection. One that cannot be registered with the poller yet is kept until it can.
    pub(super) fn add_accepted(self: &Rc<Self>, accepted: Accepted) {
        match Stream::new(accepted.socket) {
            Ok(stream) => self.start_serving(stream, accepted.unread_since),
            Err(unregistered) => {
                let unread_since = accepted.unread_since.unwrap_or_else(Instant::now);
                self.registering.set(self.registering.get() + 1);
                let clients = self.clone();
                tokio::task::spawn_local(async move {
                    let registered = clients.register(unregistered).await;
                    clients.registering.set(clients.registering.get() - 1);
                    if let Some(stream) = registered {
                        clients.start_serving(stream, Some(unread_since));
                    }
                });
            }
        }
    }

    async fn register(&self, unregistered: RegisterError<TcpStream>) -> Option<Stream> {
        self.log(|| tracing::warn!(target: "accept", "poller registration delayed: {}", unregistered.error));
        match unregistered.retry().await {
            Ok(registered) => Some(Stream::from(registered)),
            Err(error) => {
                self.log(|| tracing::error!(target: "accept", "closes an unregistered connection: {error}"));
                self.freed.notify_one();
                None
            }
        }
    }

    /// Passes the number of connections on to the status line.
    fn note_count(&self) {
        self.node.transport().client_connections.set(self.open.borrow().len());
    }

    /// Starts the task of a connection, whose first bytes may have waited unread since `unread_since`.
    fn start_serving(self: &Rc<Self>, stream: Stream, unread_since: Option<Instant>) {
        if let Some(since) = unread_since {
            stream.mark_delayed_since(since);
        }
        stream.set_read_max(self.node.transport().config.read_max_bytes());
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let client = Rc::new(ClientConnection {
            id,
            stream: WatchedStream::for_client(stream),
            close_notify: Notify::new(),
            close_reason: Cell::default(),
            evicted: Cell::default(),
            lingering: Cell::default(),
        });
        self.open.borrow_mut().insert(id, client.clone());
        self.note_count();
        let clients = self.clone();
        tokio::task::spawn_local(async move {
            clients.serve_connection(client).await;
            clients.open.borrow_mut().remove(&id);
            clients.note_count();
            clients.freed.notify_one();
        });
    }
}
