//! HTTP messages that the node forwards: clients' requests and servers' responses.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use bytes::Bytes;
use hyper::header::{
    HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{HeaderMap, Method, Uri};
use magpietally_core::{stable_hash, Payload};

use crate::body::{OutgoingBody, RemainingBody, StreamedRequestBody, UploadProgress};
use crate::watched_stream::WatchedStream;

/// Largest body that is always buffered: a response up to this size is forwarded only when it is complete.
pub const BUFFERED_BODY_MAX_BYTES: usize = 64 * 1024;
/// Header with the time in ms that is left for the request.
pub const X_REMAINING_MS: HeaderName = HeaderName::from_static("x-remaining-ms");
/// The `Host` header of requests to servers if the client sent none.
pub const DEFAULT_HOST: HeaderValue = HeaderValue::from_static("service.internal");

/// A request as it is forwarded to a server.
pub struct UpstreamRequest {
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    pub body: RequestBody,
}

/// A request's body.
pub enum RequestBody {
    /// Received whole, and kept for as long as the request may be sent again.
    Buffered(Bytes),
    /// Forwarded while it is received.
    Streamed {
        /// The body; taken by the attempt that sends it.
        upload: RefCell<Option<StreamedRequestBody>>,
        progress: Rc<UploadProgress>,
        /// Total length in bytes, if declared.
        length: Option<u64>,
    },
}

impl RequestBody {
    /// Length in bytes, if known.
    pub fn known_length(&self) -> Option<usize> {
        match self {
            Self::Buffered(bytes) => Some(bytes.len()),
            Self::Streamed { length, .. } => length.and_then(|n| usize::try_from(n).ok()),
        }
    }

    /// Progress of a streamed body; `None` for a buffered one.
    pub fn upload_progress(&self) -> Option<&Rc<UploadProgress>> {
        match self {
            Self::Buffered(_) => None,
            Self::Streamed { progress, .. } => Some(progress),
        }
    }

    /// The body for one attempt over `connection`; `None` if another attempt has taken a streamed body.
    pub fn outgoing(&self, connection: &Rc<WatchedStream>) -> Option<OutgoingBody> {
        Some(match self {
            Self::Buffered(bytes) => OutgoingBody::Buffered(bytes.clone()),
            Self::Streamed { upload, .. } => {
                OutgoingBody::Streamed(Box::new(upload.take()?), connection.clone())
            }
        })
    }
}

impl UpstreamRequest {
    /// A health probe.
    pub fn probe() -> Self {
        let headers = std::iter::once((HOST, DEFAULT_HOST)).collect();
        Self {
            method: Method::GET,
            uri: Uri::from_static("/health"),
            headers,
            body: RequestBody::Buffered(Bytes::new()),
        }
    }
}

/// Header with the key by which servers deduplicate requests.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

impl Payload for UpstreamRequest {
    fn key(&self) -> Option<&[u8]> {
        self.headers.get(IDEMPOTENCY_KEY).map(HeaderValue::as_bytes)
    }

    fn describe(&self, to: &mut dyn fmt::Write) -> fmt::Result {
        // A hash tells users apart in the log without naming them.
        let text = |name: &str| self.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default();
        let (key, work) = (stable_hash(text("cookie")) & 0xFFFF, text("x-estimate"));
        write!(to, "key {key:04x}, work {work}, ")?;
        match self.body.known_length() {
            Some(bytes) => write!(to, "{bytes} bytes"),
            None => write!(to, "in chunks"),
        }
    }

    fn may_be_whole(&self) -> bool {
        self.body
            .upload_progress()
            .is_none_or(|upload| upload.finished_at().is_some() && !upload.is_aborted())
    }

    fn is_single_use(&self) -> bool {
        self.body.upload_progress().is_some()
    }
}

/// A server's response.
pub struct UpstreamResponse {
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The body, or what was received of it before the decision to stream.
    pub body: Bytes,
    /// For a streamed response, the rest of the body, and its total length in bytes if declared.
    pub rest: Option<(Box<RemainingBody>, Option<u64>)>,
}

/// Copies a request's path and header values into memory of their exact size. As parsed they share the whole
/// buffer that the head was read into, and would keep it for as long as the request is open.
pub fn detach_from_buffer(uri: &mut Uri, headers: &mut HeaderMap) {
    if let Some(path) = uri.path_and_query() {
        // A copy of a valid path is valid.
        if let Ok(copy) = Uri::from_maybe_shared(Bytes::copy_from_slice(path.as_str().as_bytes())) {
            *uri = copy;
        }
    }
    let values: Vec<u8> = headers.values().flat_map(HeaderValue::as_bytes).copied().collect();
    let (values, mut at) = (Bytes::from(values), 0);
    for value in headers.values_mut() {
        let end = at + value.len();
        if let Ok(copy) = HeaderValue::from_maybe_shared(values.slice(at..end)) {
            *value = copy;
        }
        at = end;
    }
}

/// Removes the hop-by-hop headers.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    const HOP_BY_HOP: [HeaderName; 9] = [
        CONTENT_LENGTH,
        EXPECT,
        HeaderName::from_static("keep-alive"),
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ];
    if headers.contains_key(CONNECTION) {
        let named: Vec<HeaderName> = headers
            .get_all(CONNECTION)
            .iter()
            .filter_map(|v| v.to_str().ok())
            .flat_map(|v| v.split(','))
            .filter_map(|name| name.trim().parse().ok())
            .collect();
        for name in named {
            headers.remove(name);
        }
        headers.remove(CONNECTION);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

#[cfg(test)]
mod tests;
