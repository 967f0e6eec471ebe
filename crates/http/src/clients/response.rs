//! The single final response to a request: waits for the core's answer and builds the response for the
//! client.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use magpietally_core::{Answer, Rejection, RequestOutcome};
use magpietally_policy::{Millis, RequestId};
use tokio::sync::oneshot;

use super::{Asked, Node};
use crate::body::{ResponseBody, StreamedResponse};
use crate::message::UpstreamResponse;
use crate::watched_stream::WatchedStream;

/// Time between the deadline that the policy gets and the client's deadline: the response must still be
/// written and reach the client.
const POLICY_MARGIN: Duration = Duration::from_millis(20);
/// Time before the client's deadline at which the node answers by itself if the core has not.
const RESPONSE_GUARD: Duration = Duration::from_millis(9);
/// Upper bounds for the two margins, as divisors of the request's time, for requests that arrive with little
/// time. An eighth of 75 ms is still many times what a response takes to reach the client, while a fixed 20
/// ms was a quarter of the time in which such a request could be served.
const POLICY_MARGIN_DIVISOR: u32 = 8;
const RESPONSE_GUARD_DIVISOR: u32 = 16;
/// Poll interval of a request that waits while the fleet changes its policy: a change takes tens of
/// milliseconds, and a poll costs a microsecond.
const POLICY_CHANGE_POLL: Duration = Duration::from_millis(2);
/// Header with the reason why a request failed without an attempt.
const X_FAILED_BECAUSE: HeaderName = HeaderName::from_static("x-failed-because");

/// Length of a response's body in bytes; `None` if it is sent in chunks.
pub(super) fn body_len(response: &Response<ResponseBody>) -> Option<usize> {
    hyper::body::Body::size_hint(response.body()).exact().and_then(|n| usize::try_from(n).ok())
}

pub(super) fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Buffered(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// How a valid request ended for its client, by the status of the response.
pub(super) fn end_for_status(status: StatusCode) -> RequestOutcome {
    match status {
        StatusCode::OK => RequestOutcome::Passed,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => RequestOutcome::Dropped,
        _ => RequestOutcome::BadGateway,
    }
}

/// Cancels the request if it is dropped before the answer, as when the client's connection ends.
struct CancelOnDrop {
    node: Rc<Node>,
    id: RequestId,
    answered: bool,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.answered {
            self.node.client_gone(self.id);
        }
    }
}

/// The margins for a request with the time `remaining`: see [`POLICY_MARGIN`] and [`RESPONSE_GUARD`].
pub(super) fn deadline_margins(remaining: Duration) -> (Duration, Duration) {
    (
        POLICY_MARGIN.min(remaining / POLICY_MARGIN_DIVISOR),
        RESPONSE_GUARD.min(remaining / RESPONSE_GUARD_DIVISOR),
    )
}

/// Submits a request to the core, with the time `remaining` from its arrival, and waits for its final answer.
pub(super) async fn process_request(
    node: &Rc<Node>,
    asked: Asked,
    stream: &Rc<WatchedStream>,
    arrived_at: Instant,
    remaining: Duration,
) -> Response<ResponseBody> {
    let mut deadline = arrived_at + remaining;
    let upload = asked.request.body.upload_progress().cloned();
    let (margin, guard) = deadline_margins(remaining);
    let fails_open = || node.process().lifecycle().fails_open_requests(Instant::now());
    while node.fleet_is_changing_policy()
        && !fails_open()
        && Instant::now() + POLICY_CHANGE_POLL < deadline - margin
    {
        tokio::time::sleep(POLICY_CHANGE_POLL).await;
    }
    // Earlier requests have been failed by now: this one would be sent and immediately failed as well.
    if !node.has_capacity() || fails_open() {
        let reason = if fails_open() { "the node is shutting down" } else { "too many open requests" };
        log_refusal(node, stream, reason);
        return unavailable_response(node.retry_after(asked.class));
    }
    let (id, answer_receiver) = match node.submit(asked, deadline - margin) {
        Ok(admitted) => admitted,
        Err(Rejection::DuplicateId) => {
            log_refusal(node, stream, "a request with this id is already open");
            return empty_response(StatusCode::CONFLICT);
        }
        Err(Rejection::Refused(retry_after)) => {
            log_refusal(node, stream, "rejected by admission control");
            return unavailable_response(retry_after);
        }
        Err(Rejection::OverQuota(retry_after)) => {
            log_refusal(node, stream, "quota exceeded");
            let mut response = unavailable_response(retry_after);
            *response.status_mut() = StatusCode::TOO_MANY_REQUESTS;
            return response;
        }
        Err(Rejection::Failed(reason)) => {
            log_refusal(node, stream, reason.as_str());
            let mut response = empty_response(StatusCode::BAD_GATEWAY);
            response.headers_mut().insert(X_FAILED_BECAUSE, HeaderValue::from_static(reason.as_str()));
            return response;
        }
    };
    let is_upload = upload.is_some();
    let mut cancel_on_drop = CancelOnDrop { node: node.clone(), id, answered: false };
    let answer = match upload {
        None => answer_before(deadline - guard, answer_receiver).await,
        Some(upload) => {
            // The time of a streamed request begins with its last byte, also where a server that accepts nothing
            // keeps the node from reading that byte. An upload that its client stalls ends with its connection.
            let mut answer_receiver = answer_receiver;
            tokio::select! {
                biased;
                answer = &mut answer_receiver => answer.ok(),
                () = upload.finished() => {
                    // The last byte may have been written long before it could be forwarded.
                    deadline = stream.request_written_at() + remaining;
                    upload.set_client_deadline(deadline - margin);
                    answer_before(deadline - guard, answer_receiver).await
                }
                () = upload.client_waiting_for(stream, remaining - guard, &node.transport().uploads) => None,
            }
        }
    };
    let Some(answer) = answer else {
        let what_was_read =
            if is_upload { format!("; {}", stream.describe_request()) } else { String::new() };
        log_refusal(node, stream, &format!("no answer before the deadline{what_was_read}"));
        return empty_response(StatusCode::GATEWAY_TIMEOUT);
    };
    cancel_on_drop.answered = true;
    match answer {
        Answer::Served(reply) => forward_response(reply, stream, deadline),
        Answer::Refused(retry_after) => unavailable_response(retry_after),
        Answer::Failed => empty_response(StatusCode::BAD_GATEWAY),
        Answer::Rejected => empty_response(StatusCode::BAD_REQUEST),
    }
}

/// The core's answer, if it arrives before the deadline. Bounds the client's wait whatever happens to the
/// core's timers and attempts.
pub(super) async fn answer_before(
    deadline: Instant,
    receiver: oneshot::Receiver<Answer<UpstreamResponse>>,
) -> Option<Answer<UpstreamResponse>> {
    tokio::time::timeout_at(deadline.into(), receiver).await.ok()?.ok()
}

fn forward_response(
    upstream: UpstreamResponse,
    destination: &Rc<WatchedStream>,
    client_deadline: Instant,
) -> Response<ResponseBody> {
    let UpstreamResponse { headers, body: buffered, rest } = upstream;
    let body = match rest {
        None => ResponseBody::Buffered(buffered),
        Some((rest, length)) => ResponseBody::Streamed(Box::new(StreamedResponse {
            buffered,
            rest: *rest,
            length,
            client_deadline: client_deadline.into(),
            progress_check: None,
            destination: destination.clone(),
            in_progress: None,
            failed: false,
        })),
    };
    let mut response = Response::new(body);
    *response.headers_mut() = headers;
    response
}

/// Logs why the node answers a request by itself, within the limit on log lines per second.
pub(super) fn log_refusal(node: &Node, stream: &WatchedStream, reason: &str) {
    node.transport().pool.sample.log(|| {
        let id = stream.request_id();
        let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("none");
        tracing::info!(target: "refused", "request {id}: {reason}");
    });
}

/// A 503 response, with a `Retry-After` header in decimal seconds if `retry_after` (in ms) is above zero.
pub(super) fn unavailable_response(retry_after: Millis) -> Response<ResponseBody> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    if retry_after > 0.0 {
        if let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", retry_after / 1000.0)) {
            response.headers_mut().insert(RETRY_AFTER, seconds);
        }
    }
    response
}

#[cfg(test)]
mod tests;
