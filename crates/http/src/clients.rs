//! The client side: accepts connections, reads requests, and writes a single final response to each.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::error::Error;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Version};
use magpietally_core::{Core, RequestOutcome};
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::timeout;

use crate::body::ResponseBody;
use crate::http_transport::HttpTransport;
use crate::message::{RequestBody, UpstreamRequest};
use crate::watched_stream::{hyper_io, ConnectionPhase, WatchedStream};
use accept::Reduction;
use close_reason::CloseReason;
use request::{read_request, RequestError};
use response::{
    body_len, empty_response, end_for_status, log_refusal, process_request, unavailable_response,
};

mod accept;
mod close_reason;
mod request;
mod response;

type Node = Core<HttpTransport>;
type Asked = magpietally_core::ClientRequest<UpstreamRequest>;

/// How long a client may accept nothing of a buffered response, before the allowance of
/// [`WatchedStream::write_stall_limit`].
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// The same for a streamed response, whose server may pause for a while.
const STREAMED_WRITE_TIMEOUT: Duration = Duration::from_secs(12);
/// How long a new connection may send nothing. Misbehaving clients open hundreds of such connections.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(2400);
/// How long a connection may be idle between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a connection may be idle after a single request: many clients send one request and never close.
const IDLE_TIMEOUT_AFTER_ONE_REQUEST: Duration = Duration::from_secs(2);
/// Iterations of the event loop that the received part of a late request may take to be read: the runtime
/// polls for it in the first, and the connection's task reads it in the second.
const LATE_READ_ITERATIONS: usize = 3;
/// How long a connection is read after its last response, so that a reset does not overtake the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest request head.
const HEAD_MAX_BYTES: usize = 32 * 1024;
/// New connections are closed after their first response once the maximum divided by this number are idle.
const IDLE_LIMIT_DIVISOR: usize = 8;
/// Idle connections that a stopping node keeps, but no more than a quarter of all: each request of a burst
/// finds one.
const STOPPING_IDLE_MIN: usize = 8;
/// How long after the start of its shutdown a node may still expect new connections.
const NEW_CONNECTIONS_EXPECTED_FOR: Duration = Duration::from_millis(200);

/// How long after a process begins to accept from a shared socket the process before it may run: SIGKILL comes
/// 3.7 s after SIGTERM at the latest, and SIGTERM once this process is seen to be ready.
const OVERLAP_MAX: Duration = Duration::from_secs(5);

const X_TXN: HeaderName = HeaderName::from_static("x-txn");

struct ClientConnection {
    id: u64,
    stream: Rc<WatchedStream>,
    close_notify: Notify,
    /// Why the node requested its close.
    close_reason: Cell<Option<CloseReason>>,
    /// Whether it was chosen for eviction and has not closed yet.
    evicted: Cell<bool>,
    /// Whether it has ended and is in its lingering close.
    lingering: Cell<bool>,
}

impl ClientConnection {
    /// Waits until the connection is to be closed. That was decided elsewhere, some iterations of the event
    /// loop ago. If bytes have arrived since, the connection stays open: closing a socket with unread bytes
    /// resets it, and a request in those bytes would be lost.
    async fn close_requested(&self, freed: &Notify) {
        loop {
            self.close_notify.notified().await;
            let evicted = self.evicted.take();
            let stays = match self.stream.phase().0 {
                ConnectionPhase::Reading if !evicted => self.completes_late_request().await,
                ConnectionPhase::Busy | ConnectionPhase::Answering if !evicted => false,
                _ => !self.stream.is_quiet(),
            };
            if !stays {
                return;
            }
            // Another connection must be evicted instead.
            freed.notify_one();
        }
    }

    /// Returns whether a request that was found late is no longer overdue, once the bytes in the socket have
    /// been read.
    async fn completes_late_request(&self) -> bool {
        for _ in 0..LATE_READ_ITERATIONS {
            if !self.stream.is_request_overdue() || self.stream.is_quiet() {
                break;
            }
            yield_now().await;
        }
        !self.stream.is_request_overdue()
    }
}

/// The open connections of clients.
pub struct ClientConnections {
    node: Rc<Node>,
    open: RefCell<HashMap<u64, Rc<ClientConnection>>>,
    last_id: Cell<u64>,
    max: usize,
    /// Until when another process of the same listening socket may still be running, after the start of this
    /// one.
    overlap_until: Cell<Option<Instant>>,
    /// Temporary reduction of `max` after descriptors have run out.
    reduction: Reduction,
    /// Since when connections may have been waiting in the backlog for a place.
    backlog_waiting_since: Cell<Option<Instant>>,
    /// Number of accepted connections that could not be registered with the poller yet.
    registering: Cell<usize>,
    freed: Notify,
}

impl ClientConnections {
    pub fn new(node: Rc<Node>) -> Rc<Self> {
        let max = node.transport().config.max_client_connections();
        Rc::new(Self {
            node,
            open: RefCell::default(),
            last_id: Cell::new(0),
            max,
            overlap_until: Cell::default(),
            reduction: Reduction::default(),
            backlog_waiting_since: Cell::default(),
            registering: Cell::new(0),
            freed: Notify::new(),
        })
    }

    /// Number of connections, including those that are not registered yet.
    pub fn count(&self) -> usize {
        self.open.borrow().len() + self.registering.get()
    }

    /// Notes that this process begins to accept from a socket that another process shares.
    pub fn begin_overlap(&self) {
        self.overlap_until.set(Some(Instant::now() + OVERLAP_MAX));
        self.follow_overlap();
    }

    /// Returns whether the two processes of a hand-over may both be running: they share the limits of one node.
    fn is_overlapping(&self) -> bool {
        let lifecycle = self.node.process().lifecycle();
        let starting = self.overlap_until.get().is_some_and(|until| Instant::now() < until);
        lifecycle.has_shared_socket() && (starting || lifecycle.stopping_since().is_some())
    }

    /// Applies half of the limits while two processes may be running, and all of them otherwise. Closes
    /// connections beyond the limit that may be evicted, one at a time.
    pub fn follow_overlap(&self) {
        let overlapping = self.is_overlapping();
        self.node.transport().pool.set_halved(overlapping);
        if overlapping && self.count() > self.limit() && !self.is_evicting() {
            self.evict();
        }
    }

    /// The present maximum number of connections.
    fn limit(&self) -> usize {
        let max = if self.is_overlapping() { self.max / 2 } else { self.max };
        max.saturating_sub(self.reduction.get()).max(1)
    }

    /// Closes connections that have been silent or idle for too long, whose request is too slow, or whose
    /// response is not read.
    pub fn close_overdue(&self) {
        self.reduction.ease();
        for client in self.open.borrow().values() {
            if let Some(reason) = self.overdue_reason(client) {
                client.request_close(reason);
            }
        }
    }

    /// The reason to close a connection that has exceeded a time limit; `None` if it has not.
    fn overdue_reason(&self, client: &ClientConnection) -> Option<CloseReason> {
        let (phase, since) = client.stream.phase();
        let age = since.elapsed();
        match phase {
            ConnectionPhase::Idle if !client.stream.has_received_any() => {
                (age >= FIRST_BYTE_TIMEOUT).then_some(CloseReason::Silent)
            }
            ConnectionPhase::Idle => {
                let once = client.stream.responses_started() == 1
                    && self.node.process().lifecycle().stopping_since().is_none();
                let timeout = if once { IDLE_TIMEOUT_AFTER_ONE_REQUEST } else { IDLE_TIMEOUT };
                (age >= timeout && client.stream.is_quiet()).then_some(CloseReason::Idle)
            }
            ConnectionPhase::Reading => {
                client.stream.is_request_overdue().then_some(CloseReason::SlowRequest)
            }
            ConnectionPhase::Busy => None,
            ConnectionPhase::Answering => {
                let base = if client.stream.is_streaming() {
                    STREAMED_WRITE_TIMEOUT
                } else {
                    RESPONSE_WRITE_TIMEOUT
                };
                let unread = CloseReason::Unread { stalled_for: age, sent_bytes: client.stream.sent_bytes() };
                (age >= client.stream.write_stall_limit(base)).then_some(unread)
            }
        }
    }

    /// Closes connections that are between requests and have nothing to read, if the node is draining or
    /// stopping.
    pub fn close_idle(&self) {
        let Some(min_idle) = self.node.process().lifecycle().idle_close_after(Instant::now()) else { return };
        for client in self.open.borrow().values() {
            let (phase, since) = client.stream.phase();
            if phase == ConnectionPhase::Idle && since.elapsed() >= min_idle && client.stream.is_quiet() {
                client.request_close(CloseReason::Leaving);
            }
        }
    }

    /// Returns whether any client still waits for a buffered response or for its bytes to be written.
    pub fn has_pending_responses(&self) -> bool {
        let is_pending = |c: &Rc<ClientConnection>| match c.stream.phase().0 {
            ConnectionPhase::Busy => true,
            ConnectionPhase::Answering => !c.stream.is_streaming(),
            ConnectionPhase::Reading => c.stream.has_received_request(),
            ConnectionPhase::Idle => false,
        };
        self.open.borrow().values().any(is_pending)
    }

    /// Returns whether the node is stopping and few of its connections are idle. New connections go to other
    /// nodes by then, if there are any. If there are none, a front end that finds no free connection
    /// considers the node gone, with all open connections, and requests are lost until another node is up:
    /// seen on days of two nodes restarted in turn. Refusing some requests of a burst at once keeps
    /// connections free for all later ones. It also guards against slow servers that would occupy all
    /// connections of a stopping node. It does harm where another node would have served those few requests,
    /// so it applies only while this node stops.
    fn lacks_idle_connections(&self) -> bool {
        let life = self.node.process().lifecycle();
        // With a shared listening socket, the next process accepts the clients that this one closes.
        if life.has_shared_socket()
            || life.stopping_since().is_none_or(|since| since.elapsed() < NEW_CONNECTIONS_EXPECTED_FOR)
        {
            return false;
        }
        self.used_idle_count() < STOPPING_IDLE_MIN.min(self.count() / 4)
    }

    /// Number of idle connections that have been used.
    fn used_idle_count(&self) -> usize {
        let is_idle = |c: &&Rc<ClientConnection>| {
            c.stream.phase().0 == ConnectionPhase::Idle && c.stream.has_received_any()
        };
        self.open.borrow().values().filter(is_idle).count()
    }

    /// Returns whether so many connections are idle that a new one should close with its first response. A
    /// client that reuses connections opens another only if none is free, so one that connects while many are
    /// idle probably sends one request and leaves the connection open. Hundreds of those use up all the
    /// connections that clients and node may have, and the next client finds none. It also guards against
    /// bursts of clients that request /ready over ever new connections. It does harm if many clients connect
    /// for the first time at a quiet moment, as each must connect a second time, and while the node stops, as
    /// clients then get no new connection; it therefore does not apply while the node stops.
    fn has_many_idle(&self) -> bool {
        self.node.process().lifecycle().stopping_since().is_none()
            && self.used_idle_count() >= self.max / IDLE_LIMIT_DIVISOR
    }

    async fn serve_connection(self: &Rc<Self>, client: Rc<ClientConnection>) {
        let service = service_fn(|request| {
            let (clients, stream) = (self.clone(), client.stream.clone());
            async move {
                let peer = stream.clone();
                tokio::select! {
                    biased;
                    // hyper does not detect the end of the connection while unread bytes follow the request.
                    () = peer.closed_by_peer() => Err(ClientGone),
                    response = async {
                        stream.wait_for_turn().await;
                        respond(clients, stream, request).await
                    } => Ok(response),
                }
            }
        });
        let conn = http1::Builder::new()
            .max_buf_size(HEAD_MAX_BYTES)
            .auto_date_header(false)
            .serve_connection(hyper_io(client.stream.clone()), service);
        tokio::select! {
            // Polled before the connection: a request that the connection reads in the same poll would be
            // dropped with it.
            biased;
            () = client.close_requested(&self.freed) => self.log_closed(&client),
            result = conn => {
                if let Err(error) = &result {
                    self.log_failed(&client, error);
                }
                if !client.stream.apply_reset_on_close() {
                    client.lingering.set(true);
                    let _ = timeout(LINGER_TIMEOUT, client.stream.linger()).await;
                }
            }
        }
    }
}

/// The client closed its connection before the response.
#[derive(Debug)]
struct ClientGone;

impl fmt::Display for ClientGone {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str("the client closed its connection")
    }
}

impl Error for ClientGone {}

/// Produces the response to one request.
async fn respond(
    clients: Rc<ClientConnections>,
    stream: Rc<WatchedStream>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let node = &clients.node;
    let is_unambiguous = stream.finish_request_head();
    stream.set_request_id(request.headers().get(X_TXN));
    let is_head = *request.method() == Method::HEAD;
    let is_http_10 = request.version() < Version::HTTP_11;
    let is_readiness_check = request.uri().path() == "/ready";
    let mut response = if is_readiness_check {
        let status = if node.process().lifecycle().is_ready() && node.has_list() && node.fleet_is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        empty_response(status)
    } else {
        match read_request(node, &stream, request, is_unambiguous).await {
            Ok((asked, remaining)) => {
                // A streamed request counts as received with its last byte.
                let in_progress = match &asked.request.body {
                    RequestBody::Buffered(_) => {
                        let mut in_progress = node.process().metrics.start_request(asked.class);
                        in_progress.mark_received();
                        Rc::new(RefCell::new(Some(in_progress)))
                    }
                    RequestBody::Streamed { upload, .. } => {
                        upload.borrow().as_ref().map(|u| u.in_progress.clone()).unwrap_or_default()
                    }
                };
                let upload = asked.request.body.upload_progress().cloned();
                let mut response = if clients.lacks_idle_connections() {
                    log_refusal(node, &stream, "the node is stopping and few connections are idle");
                    unavailable_response(node.retry_after(asked.class))
                } else {
                    let arrived_at = stream.request_arrived_at();
                    if upload.is_none() {
                        stream.enter_phase(ConnectionPhase::Busy);
                    }
                    process_request(node, asked, &stream, arrived_at, remaining).await
                };
                if upload.is_some_and(|u| u.finished_at().is_none() || u.is_aborted()) {
                    // The rest of the upload is not read, so hyper closes the connection behind the response.
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                let (end, in_progress) = (end_for_status(response.status()), in_progress.take());
                match response.body_mut() {
                    ResponseBody::Streamed(body) => {
                        body.in_progress = in_progress;
                        if is_http_10 && body.length.is_none() {
                            // Until the response is complete, as the end of the node may truncate it.
                            stream.set_reset_on_close();
                        }
                    }
                    ResponseBody::Buffered(_) => {
                        if let Some(in_progress) = in_progress {
                            in_progress.finish(end);
                        }
                    }
                }
                response
            }
            Err(RequestError { shed_class: Some(class), .. }) => {
                log_refusal(node, &stream, "no memory for its body");
                node.process().metrics.start_request(class).finish(RequestOutcome::Dropped);
                let mut response = unavailable_response(node.retry_after(class));
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                response
            }
            Err(error) => error.response(),
        }
    };
    let first = stream.responses_started() == 0;
    let life = node.process().lifecycle();
    // While the node is draining or stopping, readiness checks must not evict clients that can be served.
    let closes_readiness_check =
        is_readiness_check && (life.stopping_since().is_some() || life.draining_since().is_some());
    if life.closes_after_response(Instant::now())
        || closes_readiness_check
        || (first && clients.has_many_idle())
    {
        stream.close_after_received_requests();
    }
    if stream.closes_with_this_response() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    stream.begin_message(if is_head { Some(0) } else { body_len(&response) });
    stream.enter_phase(ConnectionPhase::Answering);
    response
}

#[cfg(test)]
mod close_races;
#[cfg(test)]
mod eviction_races;
#[cfg(test)]
mod shutdown_races;
#[cfg(test)]
mod test_node;
