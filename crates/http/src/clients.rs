//! The clients' side: the listener, reading requests, and the one final answer of each.

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
use answer::{body_length, end_of, log_refused, plain, refusal, settle};
use closing::CloseReason;
use request::{read, Bad};

mod accept;
mod answer;
mod closing;
mod request;

type Node = Core<HttpTransport>;
type Asked = magpietally_core::ClientRequest<UpstreamRequest>;

/// How long a client may take nothing of its answer.
const ANSWERING: Duration = Duration::from_secs(5);
/// The same of one that is passed on, of which a server may give nothing for a while.
const PASSING_ON: Duration = Duration::from_secs(12);
/// How long a new connection may say nothing. Bad clients connect by hundreds and do just that.
const SILENT: Duration = Duration::from_millis(2400);
/// How long a connection may be idle between requests.
const IDLE: Duration = Duration::from_secs(20);
/// The same for one that has brought a single request: many clients ask once and never let go.
const IDLE_ONCE: Duration = Duration::from_secs(2);
/// How many turns of the loop what has come of a late request may take to be read: the runtime hears of it in the first, and the
/// connection is read in the second.
const READS_ON: usize = 3;
/// How long a connection is read after its last answer, so that a reset does not overtake it.
const LINGER: Duration = Duration::from_millis(500);
/// The largest head of a request.
const HEAD_MOST: usize = 32 * 1024;
/// Which part of all connections may be idle before new ones are not kept.
const IDLE_PART: usize = 8;
/// How many connections a stopping node keeps free, within a quarter of them: those that come together find one each.
const SPARE: usize = 8;
/// For how long a stopping node may still count on new connections.
const STILL_DEALT: Duration = Duration::from_millis(200);

const TXN: HeaderName = HeaderName::from_static("x-txn");

struct Client {
    number: u64,
    sock: Rc<WatchedStream>,
    close: Notify,
    /// Why it is to be closed.
    reason: Cell<Option<CloseReason>>,
    /// It is to make room, and has not closed yet.
    evicted: Cell<bool>,
    /// It has ended, and is read a little longer.
    lingers: Cell<bool>,
}

impl Client {
    /// Ends when the connection is to be closed. That is decided elsewhere, some turns ago: where bytes have come since, it
    /// stays, as one that is closed over unread bytes is reset, and the request is lost that they may be.
    async fn told_to_close(&self, freed: &Notify) {
        loop {
            self.close.notified().await;
            let evicted = self.evicted.take();
            let stays = match self.sock.phase().0 {
                ConnectionPhase::Reading if !evicted => self.reads_on().await,
                ConnectionPhase::Busy | ConnectionPhase::Answering if !evicted => false,
                _ => !self.sock.is_quiet(),
            };
            if !stays {
                return;
            }
            // Another has to make room.
            freed.notify_one();
        }
    }

    /// Has the rest of a late request come since it was found late? What stands in the socket is read first.
    async fn reads_on(&self) -> bool {
        for _ in 0..READS_ON {
            if !self.sock.is_request_overdue() || self.sock.is_quiet() {
                break;
            }
            yield_now().await;
        }
        !self.sock.is_request_overdue()
    }
}

/// The connections of clients.
pub struct ClientConnections {
    node: Rc<Node>,
    open: RefCell<HashMap<u64, Rc<Client>>>,
    last: Cell<u64>,
    most: usize,
    /// By how many fewer are held for now, as descriptors have run out.
    fewer: Reduction,
    /// How many were accepted that the poll has no room for yet.
    registering: Cell<usize>,
    freed: Notify,
}

impl ClientConnections {
    /// No connections yet.
    pub fn new(node: Rc<Node>) -> Rc<Self> {
        let most = node.transport().config.max_client_connections();
        Rc::new(Self {
            node,
            open: RefCell::default(),
            last: Cell::new(0),
            most,
            fewer: Reduction::default(),
            registering: Cell::new(0),
            freed: Notify::new(),
        })
    }

    /// How many connections there are.
    pub fn count(&self) -> usize {
        self.open.borrow().len() + self.registering.get()
    }

    /// Closes connections that say nothing, on which a request takes too long to come, or whose answer is not read.
    pub fn close_overdue(&self) {
        self.fewer.ease();
        for client in self.open.borrow().values() {
            if let Some(reason) = self.overdue(client) {
                client.close_for(reason);
            }
        }
    }

    /// Why a connection has been open for too long, if it has.
    fn overdue(&self, client: &Client) -> Option<CloseReason> {
        let (phase, since) = client.sock.phase();
        let age = since.elapsed();
        match phase {
            ConnectionPhase::Idle if !client.sock.has_received_any() => {
                (age >= SILENT).then_some(CloseReason::Silent)
            }
            ConnectionPhase::Idle => {
                let once = client.sock.responses_started() == 1
                    && self.node.process().lifecycle().stopping_since().is_none();
                let most = if once { IDLE_ONCE } else { IDLE };
                (age >= most && client.sock.is_quiet()).then_some(CloseReason::Idle)
            }
            ConnectionPhase::Reading => client.sock.is_request_overdue().then_some(CloseReason::SlowRequest),
            ConnectionPhase::Busy => None,
            ConnectionPhase::Answering => {
                let most = if client.sock.is_streaming() { PASSING_ON } else { ANSWERING };
                (age >= most).then_some(CloseReason::SlowReader)
            }
        }
    }

    /// Closes connections that are between requests and have nothing to read, where the node sends its clients away.
    pub fn close_idle(&self) {
        let Some(least) = self.node.process().lifecycle().idle_close_after(Instant::now()) else { return };
        for client in self.open.borrow().values() {
            let (phase, since) = client.sock.phase();
            if phase == ConnectionPhase::Idle && since.elapsed() >= least && client.sock.is_quiet() {
                client.close_for(CloseReason::Leaving);
            }
        }
    }

    /// Does any client still wait for an answer that is held whole, or for its bytes to be written?
    pub fn has_pending_responses(&self) -> bool {
        let owes = |c: &Rc<Client>| match c.sock.phase().0 {
            ConnectionPhase::Busy => true,
            ConnectionPhase::Answering => !c.sock.is_streaming(),
            ConnectionPhase::Idle | ConnectionPhase::Reading => false,
        };
        self.open.borrow().values().any(owes)
    }

    /// Does the node stop, and have clients few connections left that are not busy? New ones are dealt to other nodes by
    /// then, if there are any. Where there are none, a front that finds no free connection takes the node for gone, with
    /// all that are open, and what comes is lost until another is up: seen on days of two nodes restarted in turn. To
    /// refuse some requests of a burst at once keeps the way open for all that follow. It guards as well against slow
    /// servers that would tie up all connections of a stopping node. It does harm where another node would have served
    /// those few, so it holds only while this one stops.
    fn all_in_use(&self) -> bool {
        let life = self.node.process().lifecycle();
        // Where the next process accepts, those that are sent away have where to go.
        if life.has_shared_socket() || life.stopping_since().is_none_or(|since| since.elapsed() < STILL_DEALT)
        {
            return false;
        }
        self.idle() < SPARE.min(self.count() / 4)
    }

    /// How many connections have been used and are idle.
    fn idle(&self) -> usize {
        let idle = |c: &&Rc<Client>| c.sock.phase().0 == ConnectionPhase::Idle && c.sock.has_received_any();
        self.open.borrow().values().filter(idle).count()
    }

    /// Are so many idle that one more would better close with its first answer? Who uses connections again opens one
    /// only where none is free; one that comes while many are idle is likely from a client that asks once and lets it
    /// stand. Hundreds of those take up all the connections that clients and node may have, and whoever comes next
    /// finds none. It guards as well against crowds that ask for /ready over ever new ones. It does harm where many
    /// clients come for the first time at a quiet moment: each has to connect a second time; and while the node stops, when
    /// they get no new one.
    fn many_idle(&self) -> bool {
        self.node.process().lifecycle().stopping_since().is_none() && self.idle() >= self.most / IDLE_PART
    }

    async fn converse(self: &Rc<Self>, client: Rc<Client>) {
        let service = service_fn(|request| {
            let (clients, sock) = (self.clone(), client.sock.clone());
            async move {
                let gone = sock.clone();
                tokio::select! {
                    biased;
                    // hyper stops looking for the end where anything stands unread behind the request.
                    () = gone.closed_by_peer() => Err(Gone),
                    answer = respond(clients, sock, request) => Ok(answer),
                }
            }
        });
        let conn = http1::Builder::new()
            .max_buf_size(HEAD_MOST)
            .auto_date_header(false)
            .serve_connection(hyper_io(client.sock.clone()), service);
        tokio::select! {
            // Before the connection is read: a request that it takes in this very turn would be dropped with it.
            biased;
            () = client.told_to_close(&self.freed) => self.log_closed(&client),
            ended = conn => {
                if let Err(error) = &ended {
                    self.log_broken(&client, error);
                }
                if !client.sock.apply_reset_on_close() {
                    client.lingers.set(true);
                    let _ = timeout(LINGER, client.sock.linger()).await;
                }
            }
        }
    }
}

/// The client closed its connection before its answer.
#[derive(Debug)]
struct Gone;

impl fmt::Display for Gone {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str("the client has gone")
    }
}

impl Error for Gone {}

/// Answers one request.
async fn respond(
    clients: Rc<ClientConnections>,
    sock: Rc<WatchedStream>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let node = &clients.node;
    let framed_once = sock.finish_request_head();
    sock.set_request_id(request.headers().get(TXN).cloned());
    let head = *request.method() == Method::HEAD;
    let old = request.version() < Version::HTTP_11;
    let asks_ready = request.uri().path() == "/ready";
    let mut answer = if asks_ready {
        let status = if node.process().lifecycle().is_ready() && node.has_list() && node.fleet_is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        plain(status)
    } else {
        match read(node, &sock, request, framed_once).await {
            Ok((asked, remaining)) => {
                // One that is passed on while it comes is taken with its last byte.
                let underway = match &asked.request.body {
                    RequestBody::Buffered { .. } => {
                        let mut underway = node.process().metrics.start_request(asked.class);
                        underway.mark_received();
                        Rc::new(RefCell::new(Some(underway)))
                    }
                    RequestBody::Streamed { upload, .. } => {
                        upload.borrow().as_ref().map(|u| u.underway.clone()).unwrap_or_default()
                    }
                };
                let uploading = asked.request.body.upload_progress().cloned();
                let mut answer = if clients.all_in_use() {
                    log_refused(node, &sock, "the node stops, and few connections are free");
                    refusal(node.retry_after(asked.class))
                } else {
                    let arrived = sock.request_arrived_at();
                    if uploading.is_none() {
                        sock.enter_phase(ConnectionPhase::Busy);
                    }
                    settle(node, asked, &sock, arrived, remaining).await
                };
                if uploading.is_some_and(|u| u.finished_at().is_none()) {
                    // What its client still sends is read by nobody.
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                let (end, underway) = (end_of(answer.status()), underway.take());
                match answer.body_mut() {
                    ResponseBody::Streamed(passing) => {
                        passing.underway = underway;
                        if old && passing.length.is_none() {
                            // Until it is whole: the node's own end may cut it off.
                            sock.set_reset_on_close();
                        }
                    }
                    ResponseBody::Buffered(_) => {
                        if let Some(underway) = underway {
                            underway.finish(end);
                        }
                    }
                }
                answer
            }
            Err(Bad { refused: Some(class), .. }) => {
                log_refused(node, &sock, "no room for its body");
                node.process().metrics.start_request(class).finish(RequestOutcome::Dropped);
                let mut answer = refusal(node.retry_after(class));
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                answer
            }
            Err(bad) => bad.answer(),
        }
    };
    let first = sock.responses_started() == 0;
    let life = node.process().lifecycle();
    // While the node sends its clients away, what only asks how it is must not push out those that can be served.
    let of_no_use = asks_ready && (life.stopping_since().is_some() || life.draining_since().is_some());
    if life.closes_after_response(Instant::now()) || of_no_use || (first && clients.many_idle()) {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    sock.begin_message(if head { Some(0) } else { body_length(&answer) });
    sock.enter_phase(ConnectionPhase::Answering);
    answer
}

#[cfg(test)]
mod closes;
#[cfg(test)]
mod crossing;
#[cfg(test)]
mod ends;
#[cfg(test)]
mod harness;
