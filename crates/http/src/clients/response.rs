//! The one final answer of a request: waiting for it, and what it looks like to the client.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use magpietally_core::{Answer, End, Turned};
use magpietally_policy::{Millis, RequestId};
use tokio::sync::oneshot;

use super::{Asked, Node};
use crate::body::{ResponseBody, StreamedResponse};
use crate::message::UpstreamResponse;
use crate::watched_stream::WatchedStream;

/// How long before the client's deadline the module's ends: the answer still has to be written and to
/// arrive.
const MARGIN: Duration = Duration::from_millis(20);
/// How long before the client's deadline the node answers in the module's place.
const GUARD: Duration = Duration::from_millis(9);
/// The most of its time, as one part in so many, that either takes from a request that came with little: an eighth of
/// 75 ms is still many times what an answer takes to the client, and a fixed 20 ms were a quarter of what could serve it.
const MARGIN_PART: u32 = 8;
const GUARD_PART: u32 = 16;
/// How often a request that waits for the fleet's change of policy looks whether that is over: a change takes tens of
/// milliseconds, and a look costs a microsecond.
const HELD_LOOK: Duration = Duration::from_millis(2);
/// Why a request was answered as failed without an attempt.
const BECAUSE: HeaderName = HeaderName::from_static("x-failed-because");

/// How long an answer's body is; `None` where it goes out in chunks.
pub(super) fn body_length(answer: &Response<ResponseBody>) -> Option<usize> {
    hyper::body::Body::size_hint(answer.body()).exact().and_then(|n| usize::try_from(n).ok())
}

pub(super) fn plain(status: StatusCode) -> Response<ResponseBody> {
    let mut answer = Response::new(ResponseBody::Buffered(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// What an answer to a proper request means for its client.
pub(super) fn end_of(status: StatusCode) -> End {
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
pub(super) fn kept_back(remaining: Duration) -> (Duration, Duration) {
    (MARGIN.min(remaining / MARGIN_PART), GUARD.min(remaining / GUARD_PART))
}

/// Hands a request that has so much time from its arrival to the node, and waits for its final answer.
pub(super) async fn settle(
    node: &Rc<Node>,
    asked: Asked,
    sock: &Rc<WatchedStream>,
    arrived: Instant,
    remaining: Duration,
) -> Response<ResponseBody> {
    let mut last = arrived + remaining;
    let uploading = asked.request.body.upload_progress().cloned();
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
                () = uploading.finished() => {
                    last = sock.last_read_arrived_at() + remaining;
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
pub(super) async fn in_time(
    last: Instant,
    answered: oneshot::Receiver<Answer<UpstreamResponse>>,
) -> Option<Answer<UpstreamResponse>> {
    tokio::time::timeout_at(last.into(), answered).await.ok()?.ok()
}

fn served(reply: UpstreamResponse, to: &Rc<WatchedStream>, due: Instant) -> Response<ResponseBody> {
    let UpstreamResponse { headers, body: held, rest } = reply;
    let body = match rest {
        None => ResponseBody::Buffered(held),
        Some((rest, length)) => ResponseBody::Streamed(Box::new(StreamedResponse {
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
pub(super) fn log_refused(node: &Node, sock: &WatchedStream, why: &str) {
    node.carrier().pool.sample.line(|| {
        let id = sock.request_id();
        let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("none");
        tracing::info!(target: "refused", "request {id}: {why}");
    });
}

/// A refusal, with the module's word on when to come back in decimal seconds.
pub(super) fn refusal(stay_away: Millis) -> Response<ResponseBody> {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE);
    if stay_away > 0.0 {
        if let Ok(span) = HeaderValue::from_str(&format!("{:.3}", stay_away / 1000.0)) {
            answer.headers_mut().insert(RETRY_AFTER, span);
        }
    }
    answer
}

#[cfg(test)]
mod tests;
