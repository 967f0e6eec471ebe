//! Reads a request: validates its head, and buffers its body or prepares to stream it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, HOST};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use magpietally_policy::{Effect, Millis};

use super::response::empty_response;
use super::{Asked, Node, X_TXN};
use crate::body::{BufferedBody, ResponseBody, StreamedRequestBody, UploadProgress, UploadRest};
use crate::memory_budget::{required_bytes, STREAMED_MESSAGE_BYTES, UNRESERVED_BYTES};
use crate::message::{
    detach_from_buffer, remove_hop_by_hop_headers, RequestBody, UpstreamRequest, BUFFERED_BODY_MAX_BYTES,
    DEFAULT_HOST, IDEMPOTENCY_KEY, X_REMAINING_MS,
};
use crate::watched_stream::WatchedStream;

/// Upper bound for the time that a client may claim, whatever the deadline of its class.
const REMAINING_MAX_MS: u64 = 600_000;
/// How long a large request may wait for memory before it is refused, but no longer than its client waits; its
/// client is throttled meanwhile.
const MEMORY_WAIT_MAX: Duration = Duration::from_millis(1000);
/// Largest request body that is buffered if the memory budget permits.
const BUFFERED_REQUEST_MAX_BYTES: usize = 512 * 1024;
const X_ORG: HeaderName = HeaderName::from_static("x-org");

/// Why a request is answered without being admitted, and whether its connection can be used further.
pub(super) struct RequestError {
    pub(super) status: StatusCode,
    pub(super) close: bool,
    /// The class of a valid request for which there is no memory.
    pub(super) shed_class: Option<usize>,
}

impl RequestError {
    pub(super) fn response(&self) -> Response<ResponseBody> {
        let mut response = empty_response(self.status);
        if self.close {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

impl From<StatusCode> for RequestError {
    fn from(status: StatusCode) -> Self {
        Self { status, close: false, shed_class: None }
    }
}

/// The value of a header that may appear once, if present.
///
/// # Errors
/// Bad request if it appears more than once or its value is not visible ASCII.
fn header<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value.to_str().map(Some).map_err(|_| StatusCode::BAD_REQUEST.into()),
        _ => Err(StatusCode::BAD_REQUEST.into()),
    }
}

/// Validates an id or a key: 1 to 256 visible ASCII characters.
fn valid_token(value: Option<&str>) -> Result<&str, RequestError> {
    let is_valid = |v: &&str| (1..=256).contains(&v.len()) && v.bytes().all(|b| b.is_ascii_graphic());
    value.filter(is_valid).ok_or(StatusCode::BAD_REQUEST.into())
}

/// Reads a request up to the end of its body, or up to the point from which the body is streamed. Returns it
/// with the time that its client gives it.
pub(super) async fn read_request(
    node: &Node,
    stream: &Rc<WatchedStream>,
    request: Request<Incoming>,
    is_unambiguous: bool,
) -> Result<(Asked, Duration), RequestError> {
    let received = &node.transport().config.received;
    let (mut parts, body) = request.into_parts();
    detach_from_buffer(&mut parts.uri, &mut parts.headers);
    let has_body = !hyper::body::Body::is_end_stream(&body);
    // Nothing more is read of a request whose end is ambiguous, or that has a body although its method allows
    // none.
    if !is_unambiguous || (parts.method != Method::POST && has_body) {
        return Err(RequestError { status: StatusCode::BAD_REQUEST, close: true, shed_class: None });
    }
    let content_length = parts.headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    // A connection with an unread body cannot be reused after the response.
    let error_before_body = |status| RequestError {
        status,
        close: content_length != Some(0) && !hyper::body::Body::is_end_stream(&body),
        shed_class: None,
    };
    let name = parts.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
    let class = received
        .classes
        .iter()
        .position(|c| c == name)
        .ok_or_else(|| error_before_body(StatusCode::NOT_FOUND))?;
    let (effect, deadline) = (received.settings.classes[class].effect, received.deadlines[class]);
    let checked = check_headers(&parts.method, &parts.headers, effect, deadline);
    let (txn, remaining) = checked.map_err(|error| error_before_body(error.status))?;
    let tenant = header(&parts.headers, &X_ORG).ok().flatten();
    let tenant = tenant.and_then(|org| received.tenants.iter().position(|t| t == org));
    let mut uri = Uri::builder();
    if let Some(path) = parts.uri.path_and_query() {
        uri = uri.path_and_query(path.clone());
    }
    let uri = uri.build().map_err(|_| error_before_body(StatusCode::BAD_REQUEST))?;
    let memory_wait = MEMORY_WAIT_MAX.min(remaining);
    let body = match read_body(node, stream, class, (content_length, memory_wait), body).await {
        Ok(body) => body,
        Err(status) => {
            let shed_class = (status == StatusCode::SERVICE_UNAVAILABLE).then_some(class);
            return Err(RequestError { status, close: true, shed_class });
        }
    };
    let mut headers = parts.headers;
    remove_hop_by_hop_headers(&mut headers);
    headers.remove(X_REMAINING_MS);
    if !headers.contains_key(HOST) {
        headers.insert(HOST, DEFAULT_HOST);
    }
    let request = UpstreamRequest { method: parts.method, uri, headers, body };
    Ok((Asked { id: txn, class, tenant, request }, remaining))
}

/// Reads a request's body: whole while memory permits, so that it can be sent again; a larger one is
/// streamed. Buffering every body would take memory that the node does not have, and streaming every body
/// would occupy a server's connection, and one of its slots, for as long as a slow client sends.
async fn read_body(
    node: &Node,
    stream: &Rc<WatchedStream>,
    class: usize,
    (length, memory_wait): (Option<u64>, Duration),
    mut body: Incoming,
) -> Result<RequestBody, StatusCode> {
    let required = required_bytes(length, BUFFERED_BODY_MAX_BYTES);
    let (mut buffered, mut reservation) =
        (BufferedBody::default(), node.transport().request_memory.reservation());
    while let Some(frame) = body.frame().await {
        let data = frame.map_err(|_| StatusCode::BAD_REQUEST)?.into_data().unwrap_or_default();
        if buffered.len() + data.len() > UNRESERVED_BYTES && reservation.bytes() == 0 {
            if !reservation.reserve(required, memory_wait).await {
                return Err(StatusCode::SERVICE_UNAVAILABLE);
            }
            buffered.allocate(required.min(BUFFERED_BODY_MAX_BYTES));
        }
        buffered.push(data);
        if buffered.len() <= BUFFERED_BODY_MAX_BYTES {
            continue;
        }
        if buffered.len() <= BUFFERED_REQUEST_MAX_BYTES
            && reservation.try_reserve(buffered.capacity_bytes().max(STREAMED_MESSAGE_BYTES))
        {
            continue;
        }
        let in_progress = Rc::new(RefCell::new(Some(node.process().metrics.start_request(class))));
        let rest = UploadRest::new(body, reservation.empty());
        let progress = Rc::new(UploadProgress::new(length, rest));
        let upload = StreamedRequestBody {
            buffered: buffered.into_bytes(),
            length,
            source: stream.clone(),
            in_progress,
            progress: progress.clone(),
            reservation,
        };
        return Ok(RequestBody::Streamed { upload: RefCell::new(Some(upload)), progress, length });
    }
    Ok(RequestBody::Buffered(reservation.own(buffered.into_bytes())))
}

/// Bounds the time in ms that a client claims by the deadline of its class and by [`REMAINING_MAX_MS`].
fn bounded_remaining(claimed: u64, deadline: Millis) -> Duration {
    let max = Duration::from_millis(REMAINING_MAX_MS);
    // A deadline that a `Duration` cannot represent is no bound.
    let max = Duration::try_from_secs_f64(deadline / 1000.0).map_or(max, |deadline| deadline.min(max));
    Duration::from_millis(claimed).min(max)
}

/// Validates the method and the headers of a request, and returns its id and its time. The time is bounded by
/// the deadline of its class: a longer claim would set the span in which other requests count as repeats, and
/// could fill the node with state that is kept for it.
fn check_headers(
    method: &Method,
    headers: &HeaderMap,
    effect: Effect,
    deadline: Millis,
) -> Result<(String, Duration), RequestError> {
    let txn = valid_token(header(headers, &X_TXN)?)?.to_string();
    let remaining = header(headers, &X_REMAINING_MS)?.filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
    let remaining = remaining.and_then(|v| v.parse::<u64>().ok()).ok_or(StatusCode::BAD_REQUEST)?;
    let allowed_methods =
        if effect == Effect::Safe { [Method::GET, Method::HEAD] } else { [Method::POST, Method::POST] };
    if !allowed_methods.contains(method) {
        return Err(StatusCode::BAD_REQUEST.into());
    }
    if matches!(effect, Effect::Keyed { .. }) {
        valid_token(header(headers, &IDEMPOTENCY_KEY)?)?;
    }
    Ok((txn, bounded_remaining(remaining, deadline)))
}

#[cfg(test)]
mod tests;
