//! HTTP messages as they pass through: what a client asked, and what a server answered.

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
use crate::memory_budget::Reservation;
use crate::watched_stream::WatchedStream;

/// The largest body that is held in any case, in bytes: an answer up to it is passed on only when it is whole.
pub const BUFFERED_BODY_MAX_BYTES: usize = 64 * 1024;
/// The time that is left.
pub const X_REMAINING_MS: HeaderName = HeaderName::from_static("x-remaining-ms");
/// The `Host` of what goes to servers, where the client named none.
pub const DEFAULT_HOST: HeaderValue = HeaderValue::from_static("service.internal");

/// A request as it goes on to a server.
pub struct UpstreamRequest {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The headers that go on.
    pub headers: HeaderMap,
    /// Its body.
    pub body: RequestBody,
}

/// A request's body.
pub enum RequestBody {
    /// It has come whole, and is held for as long as the request may need it.
    Buffered {
        /// All of it.
        bytes: Bytes,
        /// What it holds of the budget until it is dropped.
        _reservation: Reservation,
    },
    /// It is passed on as it comes.
    Streamed {
        /// What is passed on; taken by the attempt that writes it.
        upload: RefCell<Option<StreamedRequestBody>>,
        /// How far it has come.
        uploading: Rc<UploadProgress>,
        /// Its length, where it is known.
        length: Option<u64>,
    },
}

impl RequestBody {
    /// How long it is, where that is known.
    pub fn known_length(&self) -> Option<usize> {
        match self {
            Self::Buffered { bytes, .. } => Some(bytes.len()),
            Self::Streamed { length, .. } => length.and_then(|n| usize::try_from(n).ok()),
        }
    }

    /// How far it has come, where it is passed on.
    pub fn upload_progress(&self) -> Option<&Rc<UploadProgress>> {
        match self {
            Self::Buffered { .. } => None,
            Self::Streamed { uploading, .. } => Some(uploading),
        }
    }

    /// The same for one attempt over this connection; `None` where another has taken it.
    pub fn outgoing(&self, over: &Rc<WatchedStream>) -> Option<OutgoingBody> {
        Some(match self {
            Self::Buffered { bytes, .. } => OutgoingBody::Buffered(bytes.clone()),
            Self::Streamed { upload, .. } => OutgoingBody::Streamed(Box::new(upload.take()?), over.clone()),
        })
    }
}

impl UpstreamRequest {
    /// The request of a probe.
    pub fn probe(reservation: Reservation) -> Self {
        let headers = std::iter::once((HOST, DEFAULT_HOST)).collect();
        Self {
            method: Method::GET,
            uri: Uri::from_static("/health"),
            headers,
            body: RequestBody::Buffered { bytes: Bytes::new(), _reservation: reservation },
        }
    }
}

/// The key by which servers drop a request's repeats.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

impl Payload for UpstreamRequest {
    fn key(&self) -> Option<&[u8]> {
        self.headers.get(IDEMPOTENCY_KEY).map(HeaderValue::as_bytes)
    }

    fn describe(&self, to: &mut dyn fmt::Write) -> fmt::Result {
        // Users are told apart, not named.
        let text = |name: &str| self.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default();
        let (key, work) = (stable_hash(text("cookie")) & 0xFFFF, text("x-estimate"));
        write!(to, "key {key:04x}, work {work}, ")?;
        match self.body.known_length() {
            Some(bytes) => write!(to, "{bytes} bytes"),
            None => write!(to, "in chunks"),
        }
    }

    fn is_single_use(&self) -> bool {
        self.body.upload_progress().is_some()
    }
}

/// A server's answer.
pub struct UpstreamResponse {
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body, or as much of it as was read before it was clear that it is passed on.
    pub body: Bytes,
    /// What still comes of one that is passed on, and its whole length where that is known.
    pub rest: Option<(Box<RemainingBody>, Option<u64>)>,
}

/// Drops the headers that are about one connection alone, in place.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    const HOP: [HeaderName; 9] = [
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
    for name in &HOP {
        headers.remove(name);
    }
}

#[cfg(test)]
mod tests;
