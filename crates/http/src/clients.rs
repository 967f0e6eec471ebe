//! The clients' side: the listener, reading requests, and the one final answer of each.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::error::Error;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, HOST, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri, Version};
use magpietally_core::{Answer, Core, End, Turned};
use magpietally_policy::{Effect, Millis, RequestId};
use tokio::sync::{oneshot, Notify};
use tokio::task::yield_now;
use tokio::time::timeout;

use crate::body::{Held, Out, Passing, Upload, Uploading};
use crate::budget::PASSING;
use crate::carrier::Http;
use crate::message::{keep_end_to_end, Content, Message, Reply, BODY_MOST, KEY, REMAINING, SERVICE};
use crate::sock::{io, Phase, Sock};
use accept::Reduction;
use closing::CloseReason;

mod accept;
mod closing;

type Node = Core<Http>;
type Asked = magpietally_core::Asked<Message>;

/// How long before the client's deadline the module's ends: the answer still has to be written and to
/// arrive.
const MARGIN: Duration = Duration::from_millis(20);
/// How long before the client's deadline the node answers in the module's place.
const GUARD: Duration = Duration::from_millis(9);
/// The most of its time, as one part in so many, that either takes from a request that came with little: an eighth of
/// 75 ms is still many times what an answer takes to the client, and a fixed 20 ms were a quarter of what could serve it.
const MARGIN_PART: u32 = 8;
const GUARD_PART: u32 = 16;
/// The longest time that is believed, whatever its class has.
const LONGEST: u64 = 600_000;
/// How long a client may take nothing of its answer.
const ANSWERING: Duration = Duration::from_secs(5);
/// The same of one that is passed on, of which a server may give nothing for a while.
const PASSING_ON: Duration = Duration::from_secs(12);
/// How often a request that waits for the fleet's change of policy looks whether that is over: a change takes tens of
/// milliseconds, and a look costs a microsecond.
const HELD_LOOK: Duration = Duration::from_millis(2);
/// How long a large request may wait for room before it is refused; its client is held back meanwhile.
const ROOM: Duration = Duration::from_millis(1000);
/// The largest body of a request that is held where there is room.
const HELD_MOST: usize = 512 * 1024;
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

/// How long descriptors must have sufficed before more connections are held again than when they ran out.
const EASE_AFTER: Duration = Duration::from_secs(1);

const TXN: HeaderName = HeaderName::from_static("x-txn");
const ORG: HeaderName = HeaderName::from_static("x-org");
/// Why a request was answered as failed without an attempt.
const BECAUSE: HeaderName = HeaderName::from_static("x-failed-because");

struct Client {
    number: u64,
    sock: Rc<Sock>,
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
                Phase::Reading if !evicted => self.reads_on().await,
                Phase::Busy | Phase::Answering if !evicted => false,
                _ => !self.sock.quiet(),
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
            if !self.sock.overdue() || self.sock.quiet() {
                break;
            }
            yield_now().await;
        }
        !self.sock.overdue()
    }
}

/// The connections of clients.
pub struct Clients {
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

impl Clients {
    /// No connections yet.
    pub fn new(node: Rc<Node>) -> Rc<Self> {
        let most = node.carrier().config.clients_most();
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
    pub fn sweep(&self) {
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
            Phase::Idle if !client.sock.spoke() => (age >= SILENT).then_some(CloseReason::Silent),
            Phase::Idle => {
                let once = client.sock.answers() == 1 && self.node.process().life().stopping().is_none();
                let most = if once { IDLE_ONCE } else { IDLE };
                (age >= most && client.sock.quiet()).then_some(CloseReason::Idle)
            }
            Phase::Reading => client.sock.overdue().then_some(CloseReason::SlowRequest),
            Phase::Busy => None,
            Phase::Answering => {
                let most = if client.sock.passes_on() { PASSING_ON } else { ANSWERING };
                (age >= most).then_some(CloseReason::SlowReader)
            }
        }
    }

    /// Closes connections that are between requests and have nothing to read, where the node sends its clients away.
    pub fn close_idle(&self) {
        let Some(least) = self.node.process().life().closes_idle(Instant::now()) else { return };
        for client in self.open.borrow().values() {
            let (phase, since) = client.sock.phase();
            if phase == Phase::Idle && since.elapsed() >= least && client.sock.quiet() {
                client.close_for(CloseReason::Leaving);
            }
        }
    }

    /// Does any client still wait for an answer that is held whole, or for its bytes to be written?
    pub fn owes(&self) -> bool {
        let owes = |c: &Rc<Client>| match c.sock.phase().0 {
            Phase::Busy => true,
            Phase::Answering => !c.sock.passes_on(),
            Phase::Idle | Phase::Reading => false,
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
        let life = self.node.process().life();
        // Where the next process accepts, those that are sent away have where to go.
        if life.shared() || life.stopping().is_none_or(|since| since.elapsed() < STILL_DEALT) {
            return false;
        }
        self.idle() < SPARE.min(self.count() / 4)
    }

    /// How many connections have been used and are idle.
    fn idle(&self) -> usize {
        let idle = |c: &&Rc<Client>| c.sock.phase().0 == Phase::Idle && c.sock.spoke();
        self.open.borrow().values().filter(idle).count()
    }

    /// Are so many idle that one more would better close with its first answer? Who uses connections again opens one
    /// only where none is free; one that comes while many are idle is likely from a client that asks once and lets it
    /// stand. Hundreds of those take up all the connections that clients and node may have, and whoever comes next
    /// finds none. It guards as well against crowds that ask for /ready over ever new ones. It does harm where many
    /// clients come for the first time at a quiet moment: each has to connect a second time; and while the node stops, when
    /// they get no new one.
    fn many_idle(&self) -> bool {
        self.node.process().life().stopping().is_none() && self.idle() >= self.most / IDLE_PART
    }

    async fn converse(self: &Rc<Self>, client: Rc<Client>) {
        let service = service_fn(|request| {
            let (clients, sock) = (self.clone(), client.sock.clone());
            async move {
                let gone = sock.clone();
                tokio::select! {
                    biased;
                    // hyper stops looking for the end where anything stands unread behind the request.
                    () = gone.gone() => Err(Gone),
                    answer = respond(clients, sock, request) => Ok(answer),
                }
            }
        });
        let conn = http1::Builder::new()
            .max_buf_size(HEAD_MOST)
            .auto_date_header(false)
            .serve_connection(io(client.sock.clone()), service);
        tokio::select! {
            // Before the connection is read: a request that it takes in this very turn would be dropped with it.
            biased;
            () = client.told_to_close(&self.freed) => self.log_closed(&client),
            ended = conn => {
                if let Err(error) = &ended {
                    self.log_broken(&client, error);
                }
                if !client.sock.broken() {
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
async fn respond(clients: Rc<Clients>, sock: Rc<Sock>, request: Request<Incoming>) -> Response<Out> {
    let node = &clients.node;
    let framed_once = sock.head_is_whole();
    sock.set_request(request.headers().get(TXN).cloned());
    let head = *request.method() == Method::HEAD;
    let old = request.version() < Version::HTTP_11;
    let asks_ready = request.uri().path() == "/ready";
    let mut answer = if asks_ready {
        let status = if node.process().life().ready() && node.has_list() && node.fleet_ready() {
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
                    Content::Held { .. } => {
                        let mut underway = node.process().figures.request(asked.class);
                        underway.taken();
                        Rc::new(RefCell::new(Some(underway)))
                    }
                    Content::Passing { upload, .. } => {
                        upload.borrow().as_ref().map(|u| u.underway.clone()).unwrap_or_default()
                    }
                };
                let uploading = asked.request.body.uploading().cloned();
                let mut answer = if clients.all_in_use() {
                    log_refused(node, &sock, "the node stops, and few connections are free");
                    refusal(node.stay_away(asked.class))
                } else {
                    if uploading.is_none() {
                        sock.enter(Phase::Busy);
                    }
                    settle(node, asked, &sock, remaining).await
                };
                if uploading.is_some_and(|u| u.over_since().is_none()) {
                    // What its client still sends is read by nobody.
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                let (end, underway) = (end_of(answer.status()), underway.take());
                match answer.body_mut() {
                    Out::Passing(passing) => {
                        passing.underway = underway;
                        if old && passing.length.is_none() {
                            // Until it is whole: the node's own end may cut it off.
                            sock.will_break();
                        }
                    }
                    Out::Whole(_) => {
                        if let Some(underway) = underway {
                            underway.end(end);
                        }
                    }
                }
                answer
            }
            Err(Bad { refused: Some(class), .. }) => {
                log_refused(node, &sock, "no room for its body");
                node.process().figures.request(class).end(End::Dropped);
                let mut answer = refusal(node.stay_away(class));
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                answer
            }
            Err(bad) => bad.answer(),
        }
    };
    let first = sock.answers() == 0;
    let life = node.process().life();
    // While the node sends its clients away, what only asks how it is must not push out those that can be served.
    let of_no_use = asks_ready && (life.stopping().is_some() || life.draining().is_some());
    if life.closes_answers(Instant::now()) || of_no_use || (first && clients.many_idle()) {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    sock.begin(if head { Some(0) } else { body_length(&answer) });
    sock.enter(Phase::Answering);
    answer
}

/// How long an answer's body is; `None` where it goes out in chunks.
fn body_length(answer: &Response<Out>) -> Option<usize> {
    hyper::body::Body::size_hint(answer.body()).exact().and_then(|n| usize::try_from(n).ok())
}

fn plain(status: StatusCode) -> Response<Out> {
    let mut answer = Response::new(Out::Whole(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// What an answer to a proper request means for its client.
fn end_of(status: StatusCode) -> End {
    match status {
        StatusCode::OK => End::Passed,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => End::Dropped,
        _ => End::BadGateway,
    }
}

/// Gives up the request when the client's connection ends before its answer.
struct Owed {
    node: Rc<Node>,
    id: RequestId,
    answered: bool,
}

impl Drop for Owed {
    fn drop(&mut self) {
        if !self.answered {
            self.node.client_gone(self.id);
        }
    }
}

/// How long before the client's deadline the module's ends, and the node answers in its place.
fn kept_back(remaining: Duration) -> (Duration, Duration) {
    (MARGIN.min(remaining / MARGIN_PART), GUARD.min(remaining / GUARD_PART))
}

/// Hands the request to the node and waits for its final answer.
async fn settle(node: &Rc<Node>, asked: Asked, sock: &Rc<Sock>, remaining: Duration) -> Response<Out> {
    let mut last = sock.arrived() + remaining;
    let uploading = asked.request.body.uploading().cloned();
    let (margin, guard) = kept_back(remaining);
    let fails_open = || node.process().life().fails_open(Instant::now());
    while node.fleet_holds() && !fails_open() && Instant::now() + HELD_LOOK < last - margin {
        tokio::time::sleep(HELD_LOOK).await;
    }
    // What came before is failed by now: this one would be sent, and failed in the same breath.
    if !node.has_room() || fails_open() {
        let why = if fails_open() { "the node ends" } else { "too many are open" };
        log_refused(node, sock, why);
        return refusal(node.stay_away(asked.class));
    }
    let (id, answered) = match node.request(asked, last - margin) {
        Ok(taken) => taken,
        Err(Turned::Open) => {
            log_refused(node, sock, "one with its id is open");
            return plain(StatusCode::CONFLICT);
        }
        Err(Turned::Refused(stay_away)) => {
            log_refused(node, sock, "turned away at its admission");
            return refusal(stay_away);
        }
        Err(Turned::OverQuota(retry_after)) => {
            log_refused(node, sock, "over its quota");
            let mut answer = refusal(retry_after);
            *answer.status_mut() = StatusCode::TOO_MANY_REQUESTS;
            return answer;
        }
        Err(Turned::Failed(why)) => {
            log_refused(node, sock, why.word());
            let mut answer = plain(StatusCode::BAD_GATEWAY);
            answer.headers_mut().insert(BECAUSE, HeaderValue::from_static(why.word()));
            return answer;
        }
    };
    let mut owed = Owed { node: node.clone(), id, answered: false };
    let answered = match uploading {
        None => in_time(last - guard, answered).await,
        Some(uploading) => {
            // Its time begins with its last byte. One that stops coming ends with its connection.
            let mut answered = answered;
            tokio::select! {
                biased;
                answer = &mut answered => answer.ok(),
                () = uploading.over() => {
                    last = Instant::now() + remaining;
                    in_time(last - guard, answered).await
                }
            }
        }
    };
    let Some(answer) = answered else {
        log_refused(node, sock, "no answer in its time");
        return plain(StatusCode::GATEWAY_TIMEOUT);
    };
    owed.answered = true;
    match answer {
        Answer::Served(reply) => served(reply, sock, last),
        Answer::Refused(stay_away) => refusal(stay_away),
        Answer::Failed => plain(StatusCode::BAD_GATEWAY),
        Answer::Rejected => plain(StatusCode::BAD_REQUEST),
    }
}

/// The answer, if it comes in time. Whatever becomes of the module's timers and attempts, the client is not
/// kept waiting past that.
async fn in_time(last: Instant, answered: oneshot::Receiver<Answer<Reply>>) -> Option<Answer<Reply>> {
    tokio::time::timeout_at(last.into(), answered).await.ok()?.ok()
}

fn served(reply: Reply, to: &Rc<Sock>, due: Instant) -> Response<Out> {
    let Reply { headers, body: held, rest } = reply;
    let body = match rest {
        None => Out::Whole(held),
        Some((rest, length)) => Out::Passing(Box::new(Passing {
            held,
            rest: *rest,
            length,
            due: due.into(),
            late: None,
            to: to.clone(),
            underway: None,
            broken: false,
        })),
    };
    let mut answer = Response::new(body);
    *answer.headers_mut() = headers;
    answer
}

/// Logs why a request is answered in the module's place, if this second has room for a line.
fn log_refused(node: &Node, sock: &Sock, why: &str) {
    node.carrier().pool.sample.line(|| {
        let id = sock.request();
        let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("none");
        tracing::info!(target: "refused", "request {id}: {why}");
    });
}

/// A refusal, with the module's word on when to come back in decimal seconds.
fn refusal(stay_away: Millis) -> Response<Out> {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE);
    if stay_away > 0.0 {
        if let Ok(span) = HeaderValue::from_str(&format!("{:.3}", stay_away / 1000.0)) {
            answer.headers_mut().insert(RETRY_AFTER, span);
        }
    }
    answer
}

/// What is wrong with a request, and whether its connection is of further use.
struct Bad {
    status: StatusCode,
    closes: bool,
    /// Nothing is wrong with it, but there is no room for one of this class.
    refused: Option<usize>,
}

impl Bad {
    fn answer(&self) -> Response<Out> {
        let mut answer = plain(self.status);
        if self.closes {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }
}

impl From<StatusCode> for Bad {
    fn from(status: StatusCode) -> Self {
        Self { status, closes: false, refused: None }
    }
}

/// The one value of a header, if it has one that can be read.
fn header<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Bad> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value.to_str().map(Some).map_err(|_| StatusCode::BAD_REQUEST.into()),
        _ => Err(StatusCode::BAD_REQUEST.into()),
    }
}

/// Ids and keys: some visible characters.
fn token(value: Option<&str>) -> Result<&str, Bad> {
    let fits = |v: &&str| (1..=256).contains(&v.len()) && v.bytes().all(|b| b.is_ascii_graphic());
    value.filter(fits).ok_or(StatusCode::BAD_REQUEST.into())
}

async fn read(
    node: &Node,
    sock: &Rc<Sock>,
    request: Request<Incoming>,
    framed_once: bool,
) -> Result<(Asked, Duration), Bad> {
    let told = &node.carrier().config.told;
    let (parts, body) = request.into_parts();
    let bodied = !hyper::body::Body::is_end_stream(&body);
    // Nothing more is read of one whose end is in doubt, or that has a body where none may be.
    if !framed_once || (parts.method != Method::POST && bodied) {
        return Err(Bad { status: StatusCode::BAD_REQUEST, closes: true, refused: None });
    }
    let declared = parts.headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    // What has not been read when the answer goes out makes the connection useless.
    let unread = |status| Bad {
        status,
        closes: declared != Some(0) && !hyper::body::Body::is_end_stream(&body),
        refused: None,
    };
    let name = parts.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
    let class = told.classes.iter().position(|c| c == name).ok_or_else(|| unread(StatusCode::NOT_FOUND))?;
    let (effect, deadline) = (told.settings.classes[class].effect, told.deadlines[class]);
    let checked = check(&parts.method, &parts.headers, effect, deadline);
    let (txn, remaining) = checked.map_err(|bad| unread(bad.status))?;
    let tenant = header(&parts.headers, &ORG).ok().flatten();
    let tenant = tenant.and_then(|org| told.tenants.iter().position(|t| t == org));
    let mut uri = Uri::builder();
    if let Some(path) = parts.uri.path_and_query() {
        uri = uri.path_and_query(path.clone());
    }
    let uri = uri.build().map_err(|_| unread(StatusCode::BAD_REQUEST))?;
    let body = match body_of(node, sock, class, declared, body).await {
        Ok(body) => body,
        Err(status) => {
            let refused = (status == StatusCode::SERVICE_UNAVAILABLE).then_some(class);
            return Err(Bad { status, closes: true, refused });
        }
    };
    let mut headers = parts.headers;
    keep_end_to_end(&mut headers);
    headers.remove(REMAINING);
    if !headers.contains_key(HOST) {
        headers.insert(HOST, SERVICE);
    }
    let request = Message { method: parts.method, uri, headers, body };
    Ok((Asked { id: txn, class, tenant, request }, remaining))
}

/// Reads a request's body: whole, so that it may be sent again, while there is room for that; what is larger is passed on as
/// it comes. To hold each until its last byte would take memory that the node does not have; to pass each on from its first
/// would take a server's connection, and its turn, for as long as a slow client sends.
async fn body_of(
    node: &Node,
    sock: &Rc<Sock>,
    class: usize,
    length: Option<u64>,
    mut body: Incoming,
) -> Result<Content, StatusCode> {
    let (mut held, mut lease) = (Held::default(), node.carrier().budget.lease());
    while let Some(frame) = body.frame().await {
        held.push(frame.map_err(|_| StatusCode::BAD_REQUEST)?.into_data().unwrap_or_default());
        if held.len() <= BODY_MOST {
            continue;
        }
        if lease.bytes() == 0 && timeout(ROOM, lease.pass()).await.is_err() {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        let above = held.takes().saturating_sub(BODY_MOST);
        if held.len() <= HELD_MOST && lease.hold(above.max(PASSING)) {
            continue;
        }
        let underway = Rc::new(RefCell::new(Some(node.process().figures.request(class))));
        let (uploading, held, from) = (Rc::new(Uploading::default()), held.bytes(), sock.clone());
        let upload = Upload {
            held,
            rest: body,
            length,
            passed: 0,
            from,
            underway,
            uploading: uploading.clone(),
            lease,
        };
        return Ok(Content::Passing { upload: RefCell::new(Some(upload)), uploading, length });
    }
    Ok(Content::Held { bytes: held.bytes(), _lease: lease })
}

/// How much of the time that a client claims is believed, of a class whose clients wait for so long.
fn believed(claimed: u64, deadline: Millis) -> Duration {
    let most = Duration::from_millis(LONGEST);
    // A deadline beyond what a span can hold bounds nothing.
    let most = Duration::try_from_secs_f64(deadline / 1000.0).map_or(most, |deadline| deadline.min(most));
    Duration::from_millis(claimed).min(most)
}

/// Checks what a request must bring, and gives its id and its time. No client waits for longer than its class does in all: who
/// says so else sets the measure by which others are taken for repeats, and may fill the node with what is held for it.
fn check(
    method: &Method,
    headers: &HeaderMap,
    effect: Effect,
    deadline: Millis,
) -> Result<(String, Duration), Bad> {
    let txn = token(header(headers, &TXN)?)?.to_string();
    let remaining = header(headers, &REMAINING)?.filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
    let remaining = remaining.and_then(|v| v.parse::<u64>().ok()).ok_or(StatusCode::BAD_REQUEST)?;
    let fits =
        if effect == Effect::Safe { [Method::GET, Method::HEAD] } else { [Method::POST, Method::POST] };
    if !fits.contains(method) {
        return Err(StatusCode::BAD_REQUEST.into());
    }
    if matches!(effect, Effect::Keyed { .. }) {
        token(header(headers, &KEY)?)?;
    }
    Ok((txn, believed(remaining, deadline)))
}

#[cfg(test)]
mod closes;
#[cfg(test)]
mod crossing;
#[cfg(test)]
mod ends;
#[cfg(test)]
mod harness;

#[cfg(test)]
mod tests;
