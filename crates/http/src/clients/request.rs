//! Reading a request: what it must bring, and its body as far as it is held.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, HOST};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use magpietally_policy::{Effect, Millis};
use tokio::time::timeout;

use super::answer::plain;
use super::{Asked, Node, TXN};
use crate::body::{BufferedBody, ResponseBody, StreamedRequestBody, UploadProgress};
use crate::memory_budget::STREAMED_MESSAGE_BYTES;
use crate::message::{
    remove_hop_by_hop_headers, RequestBody, UpstreamRequest, BUFFERED_BODY_MAX_BYTES, DEFAULT_HOST,
    IDEMPOTENCY_KEY, X_REMAINING_MS,
};
use crate::watched_stream::WatchedStream;

/// The longest time that is believed, whatever its class has.
const LONGEST: u64 = 600_000;
/// How long a large request may wait for room before it is refused; its client is held back meanwhile.
const ROOM: Duration = Duration::from_millis(1000);
/// The largest body of a request that is held where there is room.
const HELD_MOST: usize = 512 * 1024;
const ORG: HeaderName = HeaderName::from_static("x-org");

/// What is wrong with a request, and whether its connection is of further use.
pub(super) struct Bad {
    pub(super) status: StatusCode,
    pub(super) closes: bool,
    /// Nothing is wrong with it, but there is no room for one of this class.
    pub(super) refused: Option<usize>,
}

impl Bad {
    pub(super) fn answer(&self) -> Response<ResponseBody> {
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

pub(super) async fn read(
    node: &Node,
    sock: &Rc<WatchedStream>,
    request: Request<Incoming>,
    framed_once: bool,
) -> Result<(Asked, Duration), Bad> {
    let told = &node.transport().config.received;
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
    remove_hop_by_hop_headers(&mut headers);
    headers.remove(X_REMAINING_MS);
    if !headers.contains_key(HOST) {
        headers.insert(HOST, DEFAULT_HOST);
    }
    let request = UpstreamRequest { method: parts.method, uri, headers, body };
    Ok((Asked { id: txn, class, tenant, request }, remaining))
}

/// Reads a request's body: whole, so that it may be sent again, while there is room for that; what is larger is passed on as
/// it comes. To hold each until its last byte would take memory that the node does not have; to pass each on from its first
/// would take a server's connection, and its turn, for as long as a slow client sends.
async fn body_of(
    node: &Node,
    sock: &Rc<WatchedStream>,
    class: usize,
    length: Option<u64>,
    mut body: Incoming,
) -> Result<RequestBody, StatusCode> {
    let (mut held, mut reservation) = (BufferedBody::default(), node.transport().memory_budget.reservation());
    while let Some(frame) = body.frame().await {
        held.push(frame.map_err(|_| StatusCode::BAD_REQUEST)?.into_data().unwrap_or_default());
        if held.len() <= BUFFERED_BODY_MAX_BYTES {
            continue;
        }
        if reservation.bytes() == 0 && timeout(ROOM, reservation.reserve_streaming()).await.is_err() {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        let above = held.capacity_bytes().saturating_sub(BUFFERED_BODY_MAX_BYTES);
        if held.len() <= HELD_MOST && reservation.try_reserve(above.max(STREAMED_MESSAGE_BYTES)) {
            continue;
        }
        let underway = Rc::new(RefCell::new(Some(node.process().metrics.start_request(class))));
        let (uploading, held, from) = (Rc::new(UploadProgress::default()), held.into_bytes(), sock.clone());
        let upload = StreamedRequestBody {
            held,
            rest: body,
            length,
            passed: 0,
            from,
            underway,
            uploading: uploading.clone(),
            reservation,
        };
        return Ok(RequestBody::Streamed { upload: RefCell::new(Some(upload)), uploading, length });
    }
    Ok(RequestBody::Buffered { bytes: held.into_bytes(), _reservation: reservation })
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
    let remaining = header(headers, &X_REMAINING_MS)?.filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
    let remaining = remaining.and_then(|v| v.parse::<u64>().ok()).ok_or(StatusCode::BAD_REQUEST)?;
    let fits =
        if effect == Effect::Safe { [Method::GET, Method::HEAD] } else { [Method::POST, Method::POST] };
    if !fits.contains(method) {
        return Err(StatusCode::BAD_REQUEST.into());
    }
    if matches!(effect, Effect::Keyed { .. }) {
        token(header(headers, &IDEMPOTENCY_KEY)?)?;
    }
    Ok((txn, believed(remaining, deadline)))
}

#[cfg(test)]
mod tests;
