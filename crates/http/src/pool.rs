//! The connections to servers: which are kept, which are trusted, and how a new one fails.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::client::conn::http1::{self, Connection, SendRequest};
use magpietally_core::{Endpoint, LogLimiter, Metrics};
use magpietally_net::DialError;
use magpietally_policy::{Millis, Outcome, ServerId};
use tokio::time::timeout;

use crate::body::OutgoingBody;
use crate::watched_stream::{hyper_io, HyperIo, WatchedStream};

/// The largest head of an answer.
const HEAD_MOST: usize = 32 * 1024;
/// The part of the servers' keep-alive after which a connection is not used any more: one that is written to
/// when its server closes it ends as a reset, and fails what must not be repeated.
const IDLE_SHARE: f64 = 0.5;
/// For how long a connection rests after an answer: a second one may come some milliseconds behind the first, and would pass
/// for the answer to the next request.
const REST: Duration = Duration::from_millis(8);
/// So many of a server's rest at once at the most: one that is that busy would else have a connection for each request.
const RESTING: usize = 4;

/// A connection between requests. It is not polled meanwhile: what happened to it is looked up before use.
pub(crate) struct PooledConnection {
    pub(crate) stream: Rc<WatchedStream>,
    pub(crate) send: SendRequest<OutgoingBody>,
    pub(crate) conn: Connection<HyperIo, OutgoingBody>,
    /// Whom it leads to.
    pub(crate) endpoint: Endpoint,
    pub(crate) idle_since: Instant,
    _descriptor: Descriptor,
}

/// One of the descriptors that the pool may hold.
struct Descriptor(Rc<Cell<usize>>);

impl Drop for Descriptor {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// An attempt that is noted as unheard; not any more once this is dropped.
pub(crate) struct TrackedAttempt {
    pool: Rc<Pool>,
    server: ServerId,
}

impl Drop for TrackedAttempt {
    fn drop(&mut self) {
        let mut unheard = self.pool.unheard.borrow_mut();
        if let Some(attempts) = unheard.get_mut(&self.server) {
            *attempts -= 1;
            if *attempts == 0 {
                unheard.remove(&self.server);
                // Nobody is left whom an answer could have overtaken; a server that is gone has no other end.
                self.pool.answered.borrow_mut().remove(&self.server);
            }
        }
    }
}

/// Connections to servers.
pub struct Pool {
    idle: RefCell<HashMap<ServerId, Vec<PooledConnection>>>,
    /// How many attempts are out at each server to which no byte has come back.
    unheard: RefCell<HashMap<ServerId, usize>>,
    /// When the latest of the attempts was sent that a server has answered, while others there are unheard.
    answered: RefCell<HashMap<ServerId, Instant>>,
    open: Rc<Cell<usize>>,
    max_open: usize,
    max_idle: Duration,
    pub(crate) connect_timeout: Duration,
    /// Where attempts are counted.
    pub(crate) metrics: Metrics,
    /// Bounds the log's lines on connects that failed.
    pub sample: LogLimiter,
}

impl Pool {
    /// An empty pool of `max_open` connections at the most. Servers close what has been idle for `keepalive`; a
    /// connection that takes longer than `connect_timeout` has failed; both in milliseconds.
    pub fn new(max_open: usize, keepalive: Millis, connect_timeout: Millis, metrics: Metrics) -> Self {
        let ms = |ms: f64| Duration::from_secs_f64(ms.clamp(1.0, 3_600_000.0) / 1000.0);
        Self {
            idle: RefCell::default(),
            unheard: RefCell::default(),
            answered: RefCell::default(),
            open: Rc::default(),
            max_open,
            max_idle: ms(keepalive * IDLE_SHARE),
            connect_timeout: ms(connect_timeout),
            metrics,
            sample: LogLimiter::default(),
        }
    }

    /// How many connections there are.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Closes the idle connections to a server.
    pub fn close_idle_to(&self, server: ServerId) {
        self.answered.borrow_mut().remove(&server);
        self.idle.borrow_mut().remove(&server);
    }

    /// Closes what has been idle for long or was closed by its server; its descriptor is held for nothing.
    pub fn close_unusable(&self) {
        let mut idle = self.idle.borrow_mut();
        for links in idle.values_mut() {
            links.retain(|l| l.idle_since.elapsed() < self.max_idle && l.stream.is_quiet_cached());
        }
        idle.retain(|_, links| !links.is_empty());
    }

    /// Closes what has been idle for so long: a process that ends leaves what it does not need to the next one, as both
    /// together have the descriptors of one node.
    pub fn close_idle_for(&self, idle: Duration) {
        let mut all = self.idle.borrow_mut();
        for links in all.values_mut() {
            links.retain(|l| l.idle_since.elapsed() < idle);
        }
        all.retain(|_, links| !links.is_empty());
    }

    /// Of the connections that still stand and have rested, the one that was used last; where too many rest, the one that has
    /// for longest. `sure` asks the kernel whether it stands, for what must not be sent in vain.
    pub(crate) fn take(&self, server: ServerId, sure: bool) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&server)?;
        loop {
            let rested = links.partition_point(|l| l.idle_since.elapsed() >= REST);
            let at = rested.checked_sub(1).or((links.len() >= RESTING).then_some(0))?;
            let link = links.remove(at);
            let quiet = if sure { link.stream.is_quiet() } else { link.stream.is_quiet_cached() };
            if link.idle_since.elapsed() < self.max_idle && quiet {
                return Some(link);
            }
        }
    }

    /// Notes an attempt until something comes back, or it ends.
    pub(crate) fn track_attempt(self: &Rc<Self>, server: ServerId) -> TrackedAttempt {
        *self.unheard.borrow_mut().entry(server).or_default() += 1;
        TrackedAttempt { pool: self.clone(), server }
    }

    /// A server has answered what was sent then.
    pub(crate) fn note_response(&self, server: ServerId, sent: Instant) {
        if !self.unheard.borrow().contains_key(&server) {
            return;
        }
        let mut answered = self.answered.borrow_mut();
        let last = answered.entry(server).or_insert(sent);
        *last = sent.max(*last);
    }

    /// Has a server answered what was sent to it later? Then it is not the server that is silent.
    pub(crate) fn is_overtaken(&self, server: ServerId, sent: Instant) -> bool {
        self.answered.borrow().get(&server).is_some_and(|last| *last > sent)
    }

    /// Closes the idle connections to a server that were last used before an attempt that nothing came back of.
    pub(crate) fn close_last_used_before(&self, server: ServerId, sent: Instant) {
        if let Some(links) = self.idle.borrow_mut().get_mut(&server) {
            links.retain(|link| link.idle_since >= sent);
        }
    }

    fn put(&self, server: ServerId, mut link: PooledConnection) {
        link.idle_since = Instant::now();
        self.idle.borrow_mut().entry(server).or_default().push(link);
    }

    /// Keeps a connection on which an answer has come whole, `came` bytes of body or chunks, where it may be used again and
    /// leads to where its server still is: busy while that moved or restarted, it escaped being forgotten.
    pub(crate) fn give_back(
        &self,
        server: ServerId,
        link: PooledConnection,
        came: usize,
        chunked: bool,
        now: Option<Endpoint>,
    ) {
        // One that has more to read than the answer would answer the next request with it.
        if link.stream.is_message_sent()
            && link.stream.received_exactly(came, chunked)
            && link.stream.has_no_unread_bytes()
            && now == Some(link.endpoint)
        {
            self.put(server, link);
        }
    }

    /// Closes the connection that has been idle for longest; false where none is.
    pub fn evict_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let Some(links) = idle
            .values_mut()
            .filter(|l| !l.is_empty())
            .min_by_key(|links| links.first().map(|l| l.idle_since))
        else {
            return false;
        };
        links.remove(0);
        true
    }

    /// A new connection, or how the attempt ends without one. A node that has no descriptor or port left has
    /// sent nothing, but that says nothing of the server: as a failed connect it would eject a good one.
    pub(crate) async fn connect(&self, place: Endpoint) -> Result<PooledConnection, Outcome> {
        if self.open.get() >= self.max_open && !self.evict_idle() {
            return Err(Outcome::NotSent);
        }
        self.open.set(self.open.get() + 1);
        let descriptor = Descriptor(self.open.clone());
        let stream = match timeout(self.connect_timeout, magpietally_net::connect(place.address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(DialError::Lacking(error))) => {
                self.sample
                    .log(|| tracing::warn!(target: "connect", "{}: lacking here: {error}", place.address));
                self.evict_idle();
                return Err(Outcome::NotSent);
            }
            Ok(Err(DialError::Failed(error))) => {
                self.sample.log(|| tracing::info!(target: "connect", "{}: {error}", place.address));
                return Err(outcome_of_failed_connect(&error));
            }
            Err(_) => return Err(Outcome::ConnectFailed),
        };
        let failed = Outcome::ConnectFailed;
        let sock = WatchedStream::new(stream);
        let builder = http1::Builder::new().max_buf_size(HEAD_MOST).handshake(hyper_io(sock.clone())).await;
        let (send, conn) = builder.map_err(|_| failed)?;
        Ok(PooledConnection {
            stream: sock,
            send,
            conn,
            endpoint: place,
            idle_since: Instant::now(),
            _descriptor: descriptor,
        })
    }
}

/// How an attempt ends whose connect failed. One that was taken and broken at once says that something listens: a
/// process that is down refuses.
fn outcome_of_failed_connect(error: &std::io::Error) -> Outcome {
    match error.kind() {
        ErrorKind::ConnectionReset => Outcome::Unwritten,
        _ => Outcome::ConnectFailed,
    }
}

/// How an attempt ends whose time was over before its connection stood. Where the time to connect is longer than an
/// attempt's, a machine that says nothing fails no connect: one that had half of that time tells of it all the same.
pub(crate) fn outcome_of_unfinished_connect(waited: Duration, connect: Duration) -> Outcome {
    if waited >= connect / 2 {
        Outcome::Unwritten
    } else {
        Outcome::NotSent
    }
}

#[cfg(test)]
mod tests;
