//! One exchange with a server and its outcome.

use std::cell::Cell;
use std::future::Future;
use std::io::ErrorKind;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1::Connection;
use hyper::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, Request, StatusCode, Version};
use magpietally_core::{AttemptResult, Endpoint};
use magpietally_policy::{Outcome, ServerId};
use tokio::time::{sleep, timeout_at};

use crate::body::{run_until_deadline, BufferedBody, OutgoingBody, RemainingBody, UploadProgress};
use crate::memory_budget::{
    required_bytes, MemoryBudget, Reservation, STREAMED_MESSAGE_BYTES, UNRESERVED_BYTES,
};
use crate::message::{
    remove_hop_by_hop_headers, UpstreamRequest, UpstreamResponse, BUFFERED_BODY_MAX_BYTES, X_REMAINING_MS,
};
use crate::pool::{unfinished_connect, Pool, PooledConnection};
use crate::watched_stream::{HyperIo, WatchedStream};

/// Set to 1 by a server that rejects a request without processing it.
const REJECTED_UNSEEN: HeaderName = HeaderName::from_static("x-turned-away");

/// Bytes of a response of unknown length that must have arrived before it is streamed to the client. A
/// response that sends almost nothing and never ends is still buffered when its attempt times out, so that
/// the client can be told; once streamed it would be the client's only response.
const STREAM_MIN_BYTES: usize = 2 * 1024;
/// How much longer such a response is buffered from then on, so that the request may be retried if it breaks
/// off.
const UNKNOWN_LENGTH_BUFFERING: Duration = Duration::from_millis(50);
/// Streaming starts at least this long before the attempt's deadline.
const STREAM_BEFORE_DEADLINE: Duration = Duration::from_millis(10);

/// How long a response may wait for memory: one that is held back for 2 s is lost.
const MEMORY_WAIT_MAX: Duration = Duration::from_millis(1500);

/// How long the remaining time in a request's head stays valid while the kernel accepts none of the request,
/// for example when it lacks memory: a server may be told at most 150 ms more than its client has left.
const HEAD_VALID_FOR: Duration = Duration::from_millis(100);

/// What an attempt asks permission for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptStep {
    /// To connect, or to take a pooled connection.
    Connect,
    /// To write the request.
    Write,
}

/// When an attempt ends. For an upload, both times are later by what the upload takes.
#[derive(Clone, Copy)]
pub(crate) struct AttemptTimes {
    /// When the attempt times out if its server has not begun to answer.
    pub(crate) response_due: Instant,
    /// When the client must be answered.
    pub(crate) client_deadline: Instant,
}

/// What the parts of one exchange know of each other.
struct ExchangeState<'a> {
    times: AttemptTimes,
    /// When the request began to be sent.
    sent: Instant,
    upload: Option<&'a UploadProgress>,
    /// Whether the server has begun a successful response that may be long. Its body is passed on however late
    /// it begins: it can be neither dropped nor repeated.
    answering: Cell<bool>,
}

impl ExchangeState<'_> {
    /// When the client must be answered; for an upload that is not finished, as if it were now.
    fn client_deadline(&self) -> Instant {
        let Some(upload) = self.upload else { return self.times.client_deadline };
        let span = self.times.client_deadline.saturating_duration_since(self.sent);
        upload.client_deadline().unwrap_or_else(|| Instant::now() + span)
    }
}

/// Sends one request to a server, with a deadline, and returns the outcome. `current_if_allowed` returns the
/// server's endpoint if the attempt may take this step, and `current` its endpoint if it takes new
/// work at all. `fresh` asks for a new connection: a probe must tell whether the process accepts connections,
/// which a pooled one can't.
pub(crate) async fn exchange(
    pool: &Rc<Pool>,
    current_if_allowed: impl Fn(AttemptStep) -> Option<Endpoint>,
    current: impl Fn() -> Option<Endpoint> + 'static,
    to: (ServerId, AttemptTimes),
    message: &UpstreamRequest,
    fresh: bool,
) -> AttemptResult<UpstreamResponse> {
    let kept = Cell::new(None);
    let (outcome, reply) = attempt(pool, current_if_allowed, current, to, message, fresh, &kept).await;
    // While a request's body is still being uploaded the server waits for it; its time starts with the last
    // byte.
    let took = message.body.upload_progress().and_then(|u| u.finished_at()).map(|since| since.elapsed());
    AttemptResult { outcome, reply, idle_before: kept.get(), took }
}

async fn attempt(
    pool: &Rc<Pool>,
    current_if_allowed: impl Fn(AttemptStep) -> Option<Endpoint>,
    current: impl Fn() -> Option<Endpoint> + 'static,
    (server, times): (ServerId, AttemptTimes),
    message: &UpstreamRequest,
    fresh: bool,
    kept: &Cell<Option<Duration>>,
) -> (Outcome, Option<UpstreamResponse>) {
    let end = times.response_due;
    let mut pooled = if fresh { None } else { pool.take(server) };
    loop {
        // A drain takes effect at once, also for an attempt that has waited for a connection; so does a
        // client that left.
        let Some(endpoint) = current_if_allowed(AttemptStep::Connect) else {
            return (Outcome::NotSent, None);
        };
        pooled = pooled.filter(|connection| connection.endpoint == endpoint);
        let reused = pooled.is_some();
        kept.set(pooled.as_ref().map(|connection| connection.idle_since.elapsed()));
        let connection = match pooled.take() {
            Some(connection) => Ok(connection),
            None => {
                let began = Instant::now();
                let connection = timeout_at(end.into(), pool.connect(endpoint)).await;
                connection.unwrap_or_else(|_| Err(unfinished_connect(began.elapsed(), pool.connect_timeout)))
            }
        };
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(outcome) => return (outcome, None),
        };
        if current_if_allowed(AttemptStep::Write) != Some(endpoint) {
            return (Outcome::NotSent, None);
        }
        let sent = Instant::now();
        let tracked = pool.track_attempt(server);
        if fresh {
            connection.stream.begin_message(message.body.known_length());
        } else {
            connection.stream.begin_attempt(message.body.known_length(), pool.metrics.clone());
        }
        let Some(body) = message.body.outgoing(&connection.stream) else { return (Outcome::NotSent, None) };
        let request = request(message, body, end);
        let uploading = message.body.upload_progress();
        let to = connection.stream.clone();
        // On the heap: each future that wraps it would hold a copy of it.
        let upload = uploading.map(|u| &**u);
        let state = ExchangeState { times, sent, upload, answering: Cell::new(false) };
        let exchange = Box::pin(send_and_receive(&mut connection, request, &state, &pool.response_memory));
        let exchange = abort_if_unwritten(&to, exchange);
        let ended = run_until_deadline(end.into(), upload, &to, &state.answering, exchange).await;
        let overtaken = ended.is_none() && pool.is_overtaken(server, sent);
        drop(tracked);
        let (any_written, whole) = (connection.stream.has_sent_any(), connection.stream.is_message_sent());
        if ended.is_none() && whole && !connection.stream.has_response_started() {
            pool.close_last_used_before(server, sent);
        }
        match ended {
            // A pooled connection that was closed before the first byte was written, or a head whose
            // remaining time is out of date: nothing was sent, so this is still the same attempt.
            Some(Err(ExchangeError::NothingWritten)) if !any_written && uploading.is_none() => continue,
            Some(Err(_)) if reused && !any_written && uploading.is_none() => continue,
            // The client broke off its upload: that says nothing about the server, and the request never ran.
            Some(Err(_)) if !whole && uploading.is_some_and(|u| u.is_aborted()) => {
                return (Outcome::NotSent, None)
            }
            Some(Ok(response)) => {
                pool.note_response(server, sent);
                return response.into_outcome(pool, server, connection, current);
            }
            Some(Err(ExchangeError::Connection)) if whole => return (Outcome::Reset, None),
            Some(Err(ExchangeError::Malformed)) if whole => return (Outcome::Error, None),
            Some(Err(ExchangeError::TimedOut)) if whole => return (Outcome::TimedOut, None),
            Some(Err(ExchangeError::OutOfMemory)) => return (Outcome::Cancelled, None),
            Some(Err(_)) => return (Outcome::Unwritten, None),
            // A dead connection or a lost response must not count as a slow server: each would eject the
            // server and lower its limit. A server that is slow with all its requests overtakes none of them.
            None if whole && !connection.stream.has_response_started() && overtaken => {
                return (Outcome::Unheard, None)
            }
            None if whole => return (Outcome::TimedOut, None),
            // The server has not read the request body for a long time.
            None if uploading.is_some_and(|u| u.finished_at().is_none()) => {
                return (Outcome::Unwritten, None)
            }
            None => return (Outcome::NotSent, None),
        }
    }
}

fn request(message: &UpstreamRequest, body: OutgoingBody, end: Instant) -> Request<OutgoingBody> {
    let remaining_ms = end.saturating_duration_since(Instant::now()).as_millis() as u64;
    let mut request = Request::new(body);
    *request.method_mut() = message.method.clone();
    *request.uri_mut() = message.uri.clone();
    *request.headers_mut() = message.headers.clone();
    request.headers_mut().insert(X_REMAINING_MS, HeaderValue::from(remaining_ms));
    request
}

/// The response of a server.
struct ServerResponse {
    status: StatusCode,
    headers: HeaderMap,
    /// The body, or the part of it that had arrived when the decision to stream it was made.
    buffered: Bytes,
    /// The rest of a streamed body.
    rest: Option<(Incoming, Reservation)>,
    framing: Framing,
    keep: bool,
}

impl ServerResponse {
    /// Returns the attempt's outcome. The connection returns to the pool, or goes along with a streamed
    /// response.
    fn into_outcome(
        self,
        pool: &Rc<Pool>,
        server: ServerId,
        connection: PooledConnection,
        current: impl Fn() -> Option<Endpoint> + 'static,
    ) -> (Outcome, Option<UpstreamResponse>) {
        let rejected_unseen = self.headers.get(REJECTED_UNSEEN).is_some_and(|v| v == "1");
        let outcome = match self.status {
            StatusCode::OK => Outcome::Done,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected_unseen => Outcome::Full,
            // Servers reject much that only they can recognize as a bad request; another server would reject
            // it, too.
            StatusCode::BAD_REQUEST => Outcome::Rejected,
            _ => Outcome::Error,
        };
        let Self { headers, buffered, rest, framing, keep, .. } = self;
        let chunked = framing == Framing::Chunks;
        let rest = match rest {
            None => {
                if keep {
                    pool.give_back(server, connection, buffered.len(), chunked, current());
                }
                None
            }
            Some((incoming, reservation)) => {
                let (received_bytes, pool, current_endpoint) =
                    (buffered.len(), pool.clone(), Box::new(current));
                let link = Some(connection);
                let rest = RemainingBody {
                    incoming,
                    link,
                    pool,
                    server,
                    current_endpoint,
                    reusable: keep,
                    chunked,
                    received_bytes,
                    connection_closed: false,
                    stall_timer: None,
                    _reservation: reservation,
                };
                Some((Box::new(rest), framing.length()))
            }
        };
        (outcome, (outcome == Outcome::Done).then_some(UpstreamResponse { headers, body: buffered, rest }))
    }
}

/// How a response marks the end of its body.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Length(u64),
    Chunks,
    /// The body ends with the connection.
    Close,
}

impl Framing {
    /// Returns `None` for a response that gives more than one framing, as a length together with a transfer
    /// coding can be read as two responses, or none at all: a body that ends with its connection must
    /// announce the close, or it can't be told from one that was cut off.
    fn of(headers: &HeaderMap, version: Version) -> Option<Self> {
        let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
        let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
        let chunked = |v: &HeaderValue| v.as_bytes().eq_ignore_ascii_case(b"chunked");
        match (lengths.next(), lengths.next(), codings.next(), codings.next()) {
            (None, None, None, None) if version < Version::HTTP_11 || closes(headers) => Some(Self::Close),
            (Some(n), None, None, None) => n.to_str().ok()?.trim().parse().ok().map(Self::Length),
            (None, None, Some(coding), None) if chunked(coding) => Some(Self::Chunks),
            _ => None,
        }
    }

    fn length(self) -> Option<u64> {
        match self {
            Self::Length(n) => Some(n),
            _ => None,
        }
    }
}

enum ExchangeError {
    /// The connection ended.
    Connection,
    /// The response is malformed.
    Malformed,
    /// The kernel accepted none of the request for too long.
    NothingWritten,
    /// The node lacks memory for the response.
    OutOfMemory,
    /// Next to nothing of the response has come by the end of the client's time.
    TimedOut,
}

impl From<hyper::Error> for ExchangeError {
    fn from(error: hyper::Error) -> Self {
        // hyper reports a malformed chunk as an I/O error of the kind InvalidInput or InvalidData.
        let cause = std::error::Error::source(&error).and_then(|e| e.downcast_ref::<std::io::Error>());
        let bad = |kind| matches!(kind, ErrorKind::InvalidInput | ErrorKind::InvalidData);
        if error.is_parse() || error.is_parse_status() || cause.is_some_and(|e| bad(e.kind())) {
            Self::Malformed
        } else {
            Self::Connection
        }
    }
}

/// Ends an exchange if the kernel has accepted none of the request by the time its remaining time is out of
/// date.
async fn abort_if_unwritten(
    sock: &WatchedStream,
    exchange: impl Future<Output = Result<ServerResponse, ExchangeError>>,
) -> Result<ServerResponse, ExchangeError> {
    let mut exchange = pin!(exchange);
    tokio::select! {
        biased;
        ended = &mut exchange => return ended,
        () = sleep(HEAD_VALID_FOR) => {}
    }
    if sock.has_sent_any() {
        exchange.await
    } else {
        Err(ExchangeError::NothingWritten)
    }
}

/// Writes a request and reads the response: all of it, or what must arrive before it is streamed. It never
/// starts a second request on the connection and sends nothing again.
async fn send_and_receive(
    connection: &mut PooledConnection,
    request: Request<OutgoingBody>,
    state: &ExchangeState<'_>,
    memory: &MemoryBudget,
) -> Result<ServerResponse, ExchangeError> {
    let PooledConnection { send, conn, .. } = connection;
    let head = *request.method() == Method::HEAD;
    let exchange = async {
        send.ready().await?;
        let response = send.send_request(request).await?;
        let (parts, mut body) = response.into_parts();
        let has_no_body = head || matches!(parts.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let framing = if has_no_body {
            Framing::Length(0)
        } else {
            Framing::of(&parts.headers, parts.version).ok_or(ExchangeError::Malformed)?
        };
        // A response known to be large is streamed from its first bytes; until then the request may be
        // retried.
        let large = framing.length().is_some_and(|n| n > BUFFERED_BODY_MAX_BYTES as u64);
        let required = required_bytes(framing.length(), BUFFERED_BODY_MAX_BYTES);
        let (mut buffered, mut reservation) = (BufferedBody::default(), memory.reservation());
        state.answering.set(parts.status == StatusCode::OK && (large || framing.length().is_none()));
        // A response of unknown length may be as large and arrive slowly: it is buffered briefly only, and
        // not past the time by which its first bytes are due.
        let mut buffer_until = None;
        while buffered.len() <= BUFFERED_BODY_MAX_BYTES && !(large && buffered.len() > 0) {
            if buffered.len() >= STREAM_MIN_BYTES && framing.length().is_none() && buffer_until.is_none() {
                let due = state.times.response_due - STREAM_BEFORE_DEADLINE;
                buffer_until = Some((Instant::now() + UNKNOWN_LENGTH_BUFFERING).min(due));
            }
            let until = buffer_until.or_else(|| state.answering.get().then(|| state.client_deadline()));
            let frame = match until {
                None => body.frame().await,
                Some(until) => match timeout_at(until.into(), body.frame()).await {
                    Ok(frame) => frame,
                    // A body that has begun with next to nothing is likely never to end.
                    Err(_) if (1..STREAM_MIN_BYTES).contains(&buffered.len()) => {
                        return Err(ExchangeError::TimedOut);
                    }
                    Err(_) => break,
                },
            };
            match frame {
                // Trailers are not forwarded.
                Some(frame) => {
                    let data = frame?.into_data().unwrap_or_default();
                    if buffered.len() + data.len() > UNRESERVED_BYTES && reservation.bytes() == 0 {
                        reserve(&mut reservation, required).await?;
                        buffered.allocate(required.min(BUFFERED_BODY_MAX_BYTES));
                    }
                    buffered.push(data);
                }
                None => return Ok((parts, reservation.own(buffered.into_bytes()), None, framing)),
            }
        }
        reserve(&mut reservation, STREAMED_MESSAGE_BYTES).await?;
        Ok::<_, ExchangeError>((parts, buffered.into_bytes(), Some((body, reservation)), framing))
    };
    let (parts, buffered, rest, framing) = drive(conn, exchange).await?;
    let mut headers = parts.headers;
    let keep = framing != Framing::Close && !closes(&headers) && (rest.is_some() || !is_ended(conn).await);
    let length = headers.get(CONTENT_LENGTH).filter(|_| head).cloned();
    remove_hop_by_hop_headers(&mut headers);
    if let Some(length) = length {
        // The length of the body that a GET request would receive.
        headers.insert(CONTENT_LENGTH, length);
    }
    Ok(ServerResponse { status: parts.status, headers, buffered, rest, framing, keep })
}

/// Reserves memory for a response; its server is throttled while it waits.
async fn reserve(reservation: &mut Reservation, bytes: usize) -> Result<(), ExchangeError> {
    match reservation.reserve(bytes, MEMORY_WAIT_MAX).await {
        true => Ok(()),
        false => Err(ExchangeError::OutOfMemory),
    }
}

/// Returns whether the server announces that it will close the connection.
fn closes(headers: &HeaderMap) -> bool {
    let tokens = |v: &HeaderValue| {
        v.as_bytes().split(|b| *b == b',').any(|token| token.trim_ascii().eq_ignore_ascii_case(b"close"))
    };
    headers.get_all(CONNECTION).iter().any(tokens)
}

/// Returns whether the connection has ended. hyper notices a close, or bytes after the response, only when
/// polled.
async fn is_ended(conn: &mut Connection<HyperIo, OutgoingBody>) -> bool {
    let mut conn = pin!(conn);
    std::future::poll_fn(|cx| Poll::Ready(conn.as_mut().poll(cx).is_ready())).await
}

/// Polls the connection while a future that uses it runs.
async fn drive<T>(conn: &mut Connection<HyperIo, OutgoingBody>, exchange: impl Future<Output = T>) -> T {
    let mut exchange = pin!(exchange);
    tokio::select! {
        biased;
        done = &mut exchange => return done,
        _ = conn => {}
    }
    // The connection has ended; what it received has already been passed on.
    exchange.await
}
