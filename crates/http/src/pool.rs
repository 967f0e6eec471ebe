//! Pool of connections to servers: reuse, expiry and the outcomes of failed connects.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::client::conn::http1::{self, Connection, SendRequest};
use magpietally_core::{Endpoint, LogLimiter, Metrics};
use magpietally_net::ConnectError;
use magpietally_policy::{Millis, Outcome, ServerId};
use tokio::time::timeout;

use crate::body::OutgoingBody;
use crate::memory_budget::MemoryBudget;
use crate::watched_stream::{hyper_io, HyperIo, WatchedStream};

/// Size limit of a response's head.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Share of the servers' keep-alive time after which an idle connection is no longer used. A request written
/// just as the server closes the connection ends in a reset, which fails a request that must not be repeated.
const KEEPALIVE_SHARE: f64 = 0.5;
/// Time for which a connection is not reused after a response. A second, unsolicited response may follow the
/// first by a few milliseconds and would be taken for the response to the next request.
const REUSE_DELAY: Duration = Duration::from_millis(8);

/// An idle connection. It is not polled while idle, so its state is checked before use.
pub(crate) struct PooledConnection {
    pub(crate) stream: Rc<WatchedStream>,
    pub(crate) send: SendRequest<OutgoingBody>,
    pub(crate) conn: Connection<HyperIo, OutgoingBody>,
    /// The server's address and incarnation when the connection was opened.
    pub(crate) endpoint: Endpoint,
    pub(crate) idle_since: Instant,
    _descriptor: Descriptor,
}

/// Counts one descriptor against the pool's limit for as long as it lives.
struct Descriptor(Rc<Cell<usize>>);

impl Drop for Descriptor {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Registers an attempt that has received nothing yet; dropping it removes the entry.
pub(crate) struct TrackedAttempt {
    pool: Rc<Pool>,
    server: ServerId,
}

impl Drop for TrackedAttempt {
    fn drop(&mut self) {
        let mut unanswered = self.pool.unanswered.borrow_mut();
        if let Some(attempts) = unanswered.get_mut(&self.server) {
            *attempts -= 1;
            if *attempts == 0 {
                unanswered.remove(&self.server);
                // No attempt is left that a response could overtake, and a removed server is cleaned up
                // nowhere else.
                self.pool.last_answered.borrow_mut().remove(&self.server);
            }
        }
    }
}

/// What connections to servers may take of the node's resources.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// The maximum number of connections.
    pub max_open: usize,
    /// The maximum number of bytes that a connection reads at a time.
    pub read_max_bytes: usize,
}

/// Connections to servers.
pub struct Pool {
    idle: RefCell<HashMap<ServerId, Vec<PooledConnection>>>,
    /// Number of attempts in progress for each server that have received no byte yet.
    unanswered: RefCell<HashMap<ServerId, usize>>,
    /// When the latest answered attempt was sent, for servers that still have unanswered attempts.
    last_answered: RefCell<HashMap<ServerId, Instant>>,
    open: Rc<Cell<usize>>,
    limits: PoolLimits,
    /// Whether the limit is halved, as another process shares the node's limits.
    halved: Cell<bool>,
    max_idle: Duration,
    pub(crate) connect_timeout: Duration,
    /// The memory budget for responses.
    pub(crate) response_memory: MemoryBudget,
    /// Counts the attempts.
    pub(crate) metrics: Metrics,
    /// Limits the rate of log lines about failed connects.
    pub sample: LogLimiter,
}

impl Pool {
    /// Creates an empty pool. Servers close connections that have been idle
    /// for `keepalive`; a connect that takes longer than `connect_timeout` has failed. Both are in
    /// milliseconds.
    pub fn new(
        limits: PoolLimits,
        keepalive: Millis,
        connect_timeout: Millis,
        response_memory: MemoryBudget,
        metrics: Metrics,
    ) -> Self {
        let ms = |ms: f64| Duration::from_secs_f64(ms.clamp(1.0, 3_600_000.0) / 1000.0);
        Self {
            idle: RefCell::default(),
            unanswered: RefCell::default(),
            last_answered: RefCell::default(),
            open: Rc::default(),
            limits,
            halved: Cell::new(false),
            max_idle: ms(keepalive * KEEPALIVE_SHARE),
            connect_timeout: ms(connect_timeout),
            response_memory,
            metrics,
            sample: LogLimiter::default(),
        }
    }

    /// Returns the number of open connections, in use or idle.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Halves the limit on connections, or restores it; closes idle ones beyond it.
    pub fn set_halved(&self, halved: bool) {
        self.halved.set(halved);
        while self.open.get() > self.max_open() && self.evict_idle() {}
    }

    /// The present maximum number of connections.
    fn max_open(&self) -> usize {
        if self.halved.get() {
            (self.limits.max_open / 2).max(1)
        } else {
            self.limits.max_open
        }
    }

    /// Closes the idle connections to a server.
    pub fn close_idle_to(&self, server: ServerId) {
        self.last_answered.borrow_mut().remove(&server);
        self.idle.borrow_mut().remove(&server);
    }

    /// Closes idle connections that have expired or were closed by the server, which only occupy descriptors.
    pub fn close_unusable(&self) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|l| l.idle_since.elapsed() < self.max_idle && l.stream.is_quiet_cached());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Closes connections that have been idle for at least `idle`. A process that is stopping leaves the
    /// descriptors that it does not need to its successor, as both share the limit of one node.
    pub fn close_idle_for(&self, idle: Duration) {
        let mut all = self.idle.borrow_mut();
        for connections in all.values_mut() {
            connections.retain(|l| l.idle_since.elapsed() < idle);
        }
        all.retain(|_, connections| !connections.is_empty());
    }

    /// Takes the most recently used connection that is still open and past its [`REUSE_DELAY`], and on which
    /// nothing has arrived since its last response. Asks the kernel: the runtime's readiness may miss a
    /// second response that has just arrived.
    pub(crate) fn take(&self, server: ServerId) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&server)?;
        loop {
            let rested = connections.partition_point(|l| l.idle_since.elapsed() >= REUSE_DELAY);
            let connection = connections.remove(rested.checked_sub(1)?);
            if connection.idle_since.elapsed() < self.max_idle && connection.stream.is_quiet() {
                return Some(connection);
            }
        }
    }

    /// Registers an attempt as unanswered until the returned value is dropped.
    pub(crate) fn track_attempt(self: &Rc<Self>, server: ServerId) -> TrackedAttempt {
        *self.unanswered.borrow_mut().entry(server).or_default() += 1;
        TrackedAttempt { pool: self.clone(), server }
    }

    /// Records that a server has answered an attempt sent at `sent`.
    pub(crate) fn note_response(&self, server: ServerId, sent: Instant) {
        if !self.unanswered.borrow().contains_key(&server) {
            return;
        }
        let mut last_answered = self.last_answered.borrow_mut();
        let last = last_answered.entry(server).or_insert(sent);
        *last = sent.max(*last);
    }

    /// Returns whether the server has answered an attempt sent after `sent`: then it is not the server that
    /// is silent.
    pub(crate) fn is_overtaken(&self, server: ServerId, sent: Instant) -> bool {
        self.last_answered.borrow().get(&server).is_some_and(|last| *last > sent)
    }

    /// Closes the idle connections to a server that were last used before `sent`, when an attempt was sent
    /// that received nothing.
    pub(crate) fn close_last_used_before(&self, server: ServerId, sent: Instant) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(&server) {
            connections.retain(|connection| connection.idle_since >= sent);
        }
    }

    fn store(&self, server: ServerId, mut connection: PooledConnection) {
        connection.idle_since = Instant::now();
        self.idle.borrow_mut().entry(server).or_default().push(connection);
    }

    /// Returns a connection to the pool after a complete response of `body_bytes` bytes of body or chunks, if
    /// it can be reused and `current` is still its endpoint. `close_idle_to` does not close a connection that
    /// is in use while the server moves or restarts.
    pub(crate) fn give_back(
        &self,
        server: ServerId,
        connection: PooledConnection,
        body_bytes: usize,
        chunked: bool,
        current: Option<Endpoint>,
    ) {
        // Unread bytes would be taken for the response to the next request.
        if connection.stream.is_message_sent()
            && connection.stream.received_exactly(body_bytes, chunked)
            && connection.stream.has_no_unread_bytes()
            && current == Some(connection.endpoint)
        {
            self.store(server, connection);
        }
    }

    /// Closes the connection that has been idle longest; returns false if there is none.
    pub fn evict_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let Some(connections) = idle
            .values_mut()
            .filter(|l| !l.is_empty())
            .min_by_key(|connections| connections.first().map(|l| l.idle_since))
        else {
            return false;
        };
        connections.remove(0);
        true
    }

    /// Opens a connection, or returns the outcome of the attempt that failed. A lack of descriptors or ports
    /// on this node is `NotSent`: it says nothing about the server, and counted as a failed connect it would
    /// eject a healthy one.
    pub(crate) async fn connect(&self, endpoint: Endpoint) -> Result<PooledConnection, Outcome> {
        if self.open.get() >= self.max_open() && !self.evict_idle() {
            return Err(Outcome::NotSent);
        }
        self.open.set(self.open.get() + 1);
        let descriptor = Descriptor(self.open.clone());
        let stream = match timeout(self.connect_timeout, magpietally_net::connect(endpoint.address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(ConnectError::Local(error))) => {
                self.sample.log(
                    || tracing::warn!(target: "connect", "{}: no local resources: {error}", endpoint.address),
                );
                self.evict_idle();
                return Err(Outcome::NotSent);
            }
            Ok(Err(ConnectError::Remote(error))) => {
                self.sample.log(|| tracing::info!(target: "connect", "{}: {error}", endpoint.address));
                return Err(failed_connect(&error));
            }
            Err(_) => return Err(Outcome::ConnectFailed),
        };
        let failed = Outcome::ConnectFailed;
        stream.set_read_max(self.limits.read_max_bytes);
        let watched = WatchedStream::new(stream);
        let builder =
            http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(hyper_io(watched.clone())).await;
        let (send, conn) = builder.map_err(|_| failed)?;
        Ok(PooledConnection {
            stream: watched,
            send,
            conn,
            endpoint,
            idle_since: Instant::now(),
            _descriptor: descriptor,
        })
    }
}

/// Returns the outcome of an attempt whose connect failed. A reset shows that something listens there: a
/// machine whose server process is down refuses connections.
fn failed_connect(error: &std::io::Error) -> Outcome {
    match error.kind() {
        ErrorKind::ConnectionReset => Outcome::Unwritten,
        _ => Outcome::ConnectFailed,
    }
}

/// Returns the outcome of an attempt whose deadline passed before its connection was open. Where the connect
/// timeout is longer than the attempts' deadlines, connects to a silent machine never time out; a wait of
/// half the timeout therefore counts against the server.
pub(crate) fn unfinished_connect(waited: Duration, connect_timeout: Duration) -> Outcome {
    if waited >= connect_timeout / 2 {
        Outcome::Unwritten
    } else {
        Outcome::NotSent
    }
}

#[cfg(test)]
mod tests;
