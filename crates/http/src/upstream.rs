//! One exchange with a server, and how it ended.

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

use crate::body::{run_until_deadline, BufferedBody, OutgoingBody, RemainingBody};
use crate::message::{
    remove_hop_by_hop_headers, UpstreamRequest, UpstreamResponse, BUFFERED_BODY_MAX_BYTES, X_REMAINING_MS,
};
use crate::pool::{outcome_of_unfinished_connect, Pool, PooledConnection};
use crate::watched_stream::{HyperIo, WatchedStream};

/// Turned away unseen.
const TURNED_AWAY: HeaderName = HeaderName::from_static("x-turned-away");

/// How much of an answer of unknown length must have come before it is passed on. One that says next to nothing and has no
/// end would be its client's only answer: while it is held its time can run out, and its client can be told.
const ENOUGH: usize = 2 * 1024;
/// For how long it is held from then on, so that one that breaks may be repeated.
const HOLD_UNKNOWN: Duration = Duration::from_millis(50);
/// How long before its attempt is given up it is passed on at the latest.
const PASS_BEFORE: Duration = Duration::from_millis(10);

/// How long the deadline in a head holds while the kernel takes nothing of it, as where it lacks memory: a server may be told
/// of 150 ms more than its client has left.
const HEAD_HOLDS: Duration = Duration::from_millis(100);

/// One request to a server, given up at a time, and how it ended. `may` tells where the server is, if the request may still be
/// written to it, and `now_at` where it is if it takes new work at all; `fresh` asks for a connection of its own: a probe is
/// to tell whether the process takes connections, which a kept one could not.
pub(crate) async fn exchange(
    pool: &Rc<Pool>,
    may: impl Fn() -> Option<Endpoint>,
    now_at: impl Fn() -> Option<Endpoint> + 'static,
    to: (ServerId, Instant),
    message: &UpstreamRequest,
    fresh: bool,
) -> AttemptResult<UpstreamResponse> {
    let kept = Cell::new(None);
    let (outcome, reply) = talk(pool, may, now_at, to, message, fresh, &kept).await;
    // What is passed on while it comes has kept its server waiting until its last byte.
    let took = message.body.upload_progress().and_then(|u| u.finished_at()).map(|since| since.elapsed());
    AttemptResult { outcome, reply, idle_before: kept.get(), took }
}

async fn talk(
    pool: &Rc<Pool>,
    may: impl Fn() -> Option<Endpoint>,
    now_at: impl Fn() -> Option<Endpoint> + 'static,
    (server, end): (ServerId, Instant),
    message: &UpstreamRequest,
    fresh: bool,
    kept: &Cell<Option<Duration>>,
) -> (Outcome, Option<UpstreamResponse>) {
    // A request that may run again may be sent on a connection that its server has closed within the last turn of the
    // runtime's loop; any other would be lost with it.
    let sure = message.method != Method::GET;
    let mut pooled = if fresh { None } else { pool.take(server, sure) };
    loop {
        // A drain holds from the moment it is told, also for what waited on a connection until now; so does a client's leaving.
        let Some(place) = may() else { return (Outcome::NotSent, None) };
        pooled = pooled.filter(|link| link.endpoint == place);
        let reused = pooled.is_some();
        kept.set(pooled.as_ref().map(|link| link.idle_since.elapsed()));
        let link = match pooled.take() {
            Some(link) => Ok(link),
            None => {
                let began = Instant::now();
                let link = timeout_at(end.into(), pool.connect(place)).await;
                link.unwrap_or_else(|_| {
                    Err(outcome_of_unfinished_connect(began.elapsed(), pool.connect_timeout))
                })
            }
        };
        let mut link = match link {
            Ok(link) => link,
            Err(outcome) => return (outcome, None),
        };
        if may() != Some(place) {
            return (Outcome::NotSent, None);
        }
        let sent = Instant::now();
        let expected = pool.track_attempt(server);
        if fresh {
            link.stream.begin_message(message.body.known_length());
        } else {
            link.stream.begin_attempt(message.body.known_length(), pool.metrics.clone());
        }
        let Some(body) = message.body.outgoing(&link.stream) else { return (Outcome::NotSent, None) };
        let request = request(message, body, end);
        let uploading = message.body.upload_progress();
        let to = link.stream.clone();
        let talk = unless_untaken(&to, converse(&mut link, request, end));
        let ended = run_until_deadline(end.into(), uploading.map(|u| &**u), &to, talk).await;
        let overtaken = ended.is_none() && pool.is_overtaken(server, sent);
        drop(expected);
        let (any, whole) = (link.stream.has_sent_any(), link.stream.is_message_sent());
        if ended.is_none() && whole && !link.stream.has_response_started() {
            pool.close_last_used_before(server, sent);
        }
        match ended {
            // A kept connection that was closed before the first byte was written, or a head whose deadline no longer holds:
            // nothing was sent, so this is still the same attempt.
            Some(Err(Broken::Untaken)) if !any && uploading.is_none() => continue,
            Some(Err(_)) if reused && !any && uploading.is_none() => continue,
            // What its client broke off says nothing of the server, and never ran.
            Some(Err(_)) if !whole && uploading.is_some_and(|u| u.is_aborted()) => {
                return (Outcome::NotSent, None)
            }
            Some(Ok(heard)) => {
                pool.note_response(server, sent);
                return heard.judge(pool, server, link, now_at);
            }
            Some(Err(Broken::Connection)) if whole => return (Outcome::Reset, None),
            Some(Err(Broken::Garbled)) if whole => return (Outcome::Error, None),
            Some(Err(_)) => return (Outcome::Unwritten, None),
            // A connection that is dead, or an answer that was lost, must not pass for a slow server: that would eject it,
            // and lower its limit, for each. One that is slow with all it has is not overtaken.
            None if whole && !link.stream.has_response_started() && overtaken => {
                return (Outcome::Unheard, None)
            }
            None if whole => return (Outcome::TimedOut, None),
            // It took nothing for long.
            None if uploading.is_some_and(|u| u.finished_at().is_none()) => {
                return (Outcome::Unwritten, None)
            }
            None => return (Outcome::NotSent, None),
        }
    }
}

fn request(message: &UpstreamRequest, body: OutgoingBody, end: Instant) -> Request<OutgoingBody> {
    let left = end.saturating_duration_since(Instant::now()).as_millis() as u64;
    let mut request = Request::new(body);
    *request.method_mut() = message.method.clone();
    *request.uri_mut() = message.uri.clone();
    *request.headers_mut() = message.headers.clone();
    request.headers_mut().insert(X_REMAINING_MS, HeaderValue::from(left));
    request
}

/// What a server answered.
struct Heard {
    status: StatusCode,
    headers: HeaderMap,
    /// The body, or what had come of it when it was clear that it is passed on.
    held: Bytes,
    /// What still comes of it then.
    rest: Option<Incoming>,
    framing: Framing,
    keep: bool,
}

impl Heard {
    /// The attempt's outcome. The connection goes back to the pool, or on with the answer.
    fn judge(
        self,
        pool: &Rc<Pool>,
        server: ServerId,
        link: PooledConnection,
        now_at: impl Fn() -> Option<Endpoint> + 'static,
    ) -> (Outcome, Option<UpstreamResponse>) {
        let away = self.headers.get(TURNED_AWAY).is_some_and(|v| v == "1");
        let outcome = match self.status {
            StatusCode::OK => Outcome::Done,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if away => Outcome::Full,
            // Bad clients send much that only a server can tell from good: no other server will like it better.
            StatusCode::BAD_REQUEST => Outcome::Rejected,
            _ => Outcome::Error,
        };
        let Self { headers, held, rest, framing, keep, .. } = self;
        let chunked = framing == Framing::Chunks;
        let rest = match rest {
            None => {
                if keep {
                    pool.give_back(server, link, held.len(), chunked, now_at());
                }
                None
            }
            Some(incoming) => {
                let (received_bytes, pool, current_endpoint) = (held.len(), pool.clone(), Box::new(now_at));
                let link = Some(link);
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
                };
                Some((Box::new(rest), framing.length()))
            }
        };
        (outcome, (outcome == Outcome::Done).then_some(UpstreamResponse { headers, body: held, rest }))
    }
}

/// How an answer says where it ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Length(u64),
    Chunks,
    /// With its connection.
    Close,
}

impl Framing {
    /// `None` where it says so in more than one way, as one with a length and a transfer coding is two answers in one; or in
    /// none: one that ends with its connection must say that this will end, or else it is cut short.
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

enum Broken {
    /// The connection ended.
    Connection,
    /// What came can't be read.
    Garbled,
    /// The kernel took nothing of the request for too long.
    Untaken,
}

impl From<hyper::Error> for Broken {
    fn from(error: hyper::Error) -> Self {
        // A bad chunk is told as bad input or data from the connection.
        let cause = std::error::Error::source(&error).and_then(|e| e.downcast_ref::<std::io::Error>());
        let bad = |kind| matches!(kind, ErrorKind::InvalidInput | ErrorKind::InvalidData);
        if error.is_parse() || error.is_parse_status() || cause.is_some_and(|e| bad(e.kind())) {
            Self::Garbled
        } else {
            Self::Connection
        }
    }
}

/// Ends an exchange of whose request the kernel has taken nothing while its head holds.
async fn unless_untaken(
    sock: &WatchedStream,
    talk: impl Future<Output = Result<Heard, Broken>>,
) -> Result<Heard, Broken> {
    let mut talk = pin!(talk);
    tokio::select! {
        biased;
        ended = &mut talk => return ended,
        () = sleep(HEAD_HOLDS) => {}
    }
    if sock.has_sent_any() {
        talk.await
    } else {
        Err(Broken::Untaken)
    }
}

/// Writes a request and reads the answer: whole, or as much as must be seen of one that is passed on. A second request on
/// the connection is never begun here, and nothing is sent again.
async fn converse(
    link: &mut PooledConnection,
    request: Request<OutgoingBody>,
    end: Instant,
) -> Result<Heard, Broken> {
    let PooledConnection { send, conn, .. } = link;
    let head = *request.method() == Method::HEAD;
    let talk = async {
        send.ready().await?;
        let answer = send.send_request(request).await?;
        let (parts, mut body) = answer.into_parts();
        let bodiless = head || matches!(parts.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let framing = if bodiless {
            Framing::Length(0)
        } else {
            Framing::of(&parts.headers, parts.version).ok_or(Broken::Garbled)?
        };
        // One that is known to be large is passed on from its first bytes on: until then it may be repeated.
        let large = framing.length().is_some_and(|n| n > BUFFERED_BODY_MAX_BYTES as u64);
        let mut held = BufferedBody::default();
        // One of which nobody knows how long it will be may be as large, and come slowly: it is held for a moment only, and
        // not past the time that there is for its first bytes.
        let mut hold_until = None;
        while held.len() <= BUFFERED_BODY_MAX_BYTES && !(large && held.len() > 0) {
            if held.len() >= ENOUGH && framing.length().is_none() && hold_until.is_none() {
                hold_until = Some((Instant::now() + HOLD_UNKNOWN).min(end - PASS_BEFORE));
            }
            let frame = match hold_until {
                None => body.frame().await,
                Some(at) => match timeout_at(at.into(), body.frame()).await {
                    Ok(frame) => frame,
                    Err(_) => break,
                },
            };
            match frame {
                // What may stand behind the last chunk is not passed on.
                Some(frame) => held.push(frame?.into_data().unwrap_or_default()),
                None => return Ok((parts, held.into_bytes(), None, framing)),
            }
        }
        Ok::<_, Broken>((parts, held.into_bytes(), Some(body), framing))
    };
    let (parts, held, rest, framing) = drive(conn, talk).await?;
    let mut headers = parts.headers;
    let keep = framing != Framing::Close && !closes(&headers) && (rest.is_some() || !over(conn).await);
    let length = headers.get(CONTENT_LENGTH).filter(|_| head).cloned();
    remove_hop_by_hop_headers(&mut headers);
    if let Some(length) = length {
        // Of what would have been the body.
        headers.insert(CONTENT_LENGTH, length);
    }
    Ok(Heard { status: parts.status, headers, held, rest, framing, keep })
}

/// Does the server say that it will close the connection?
fn closes(headers: &HeaderMap) -> bool {
    let tokens = |v: &HeaderValue| {
        v.as_bytes().split(|b| *b == b',').any(|token| token.trim_ascii().eq_ignore_ascii_case(b"close"))
    };
    headers.get_all(CONNECTION).iter().any(tokens)
}

/// Has the connection come to its end? hyper sees bytes behind the answer, and closes, only when polled.
async fn over(conn: &mut Connection<HyperIo, OutgoingBody>) -> bool {
    let mut conn = pin!(conn);
    std::future::poll_fn(|cx| Poll::Ready(conn.as_mut().poll(cx).is_ready())).await
}

/// Polls the connection for as long as what goes on over it lasts.
async fn drive<T>(conn: &mut Connection<HyperIo, OutgoingBody>, talk: impl Future<Output = T>) -> T {
    let mut talk = pin!(talk);
    tokio::select! {
        biased;
        done = &mut talk => return done,
        _ = conn => {}
    }
    // The connection is over; what it had to say has been handed on.
    talk.await
}
