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
use magpietally_core::{number_of, Payload};

use crate::body::{Outgoing, Rest, Upload, Uploading};
use crate::budget::Lease;
use crate::watched_stream::WatchedStream;

/// The largest body that is held in any case, in bytes: an answer up to it is passed on only when it is whole.
pub const BODY_MOST: usize = 64 * 1024;
/// The time that is left.
pub const REMAINING: HeaderName = HeaderName::from_static("x-remaining-ms");
/// The `Host` of what goes to servers, where the client named none.
pub const SERVICE: HeaderValue = HeaderValue::from_static("service.internal");

/// A request as it goes on to a server.
pub struct Message {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The headers that go on.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Content,
}

/// A request's body.
pub enum Content {
    /// It has come whole, and is held for as long as the request may need it.
    Held {
        /// All of it.
        bytes: Bytes,
        /// What it holds of the budget until it is dropped.
        _lease: Lease,
    },
    /// It is passed on as it comes.
    Passing {
        /// What is passed on; taken by the attempt that writes it.
        upload: RefCell<Option<Upload>>,
        /// How far it has come.
        uploading: Rc<Uploading>,
        /// Its length, where it is known.
        length: Option<u64>,
    },
}

impl Content {
    /// How long it is, where that is known.
    pub fn len(&self) -> Option<usize> {
        match self {
            Self::Held { bytes, .. } => Some(bytes.len()),
            Self::Passing { length, .. } => length.and_then(|n| usize::try_from(n).ok()),
        }
    }

    /// How far it has come, where it is passed on.
    pub fn uploading(&self) -> Option<&Rc<Uploading>> {
        match self {
            Self::Held { .. } => None,
            Self::Passing { uploading, .. } => Some(uploading),
        }
    }

    /// The same for one attempt over this connection; `None` where another has taken it.
    pub fn outgoing(&self, over: &Rc<WatchedStream>) -> Option<Outgoing> {
        Some(match self {
            Self::Held { bytes, .. } => Outgoing::Whole(bytes.clone()),
            Self::Passing { upload, .. } => Outgoing::Passing(Box::new(upload.take()?), over.clone()),
        })
    }
}

impl Message {
    /// The request of a probe.
    pub fn probe(lease: Lease) -> Self {
        let headers = std::iter::once((HOST, SERVICE)).collect();
        Self {
            method: Method::GET,
            uri: Uri::from_static("/health"),
            headers,
            body: Content::Held { bytes: Bytes::new(), _lease: lease },
        }
    }
}

/// The key by which servers drop a request's repeats.
pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");

impl Payload for Message {
    fn key(&self) -> Option<&[u8]> {
        self.headers.get(KEY).map(HeaderValue::as_bytes)
    }

    fn describe(&self, to: &mut dyn fmt::Write) -> fmt::Result {
        // Users are told apart, not named.
        let text = |name: &str| self.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default();
        let (key, work) = (number_of(text("cookie")) & 0xFFFF, text("x-estimate"));
        write!(to, "key {key:04x}, work {work}, ")?;
        match self.body.len() {
            Some(bytes) => write!(to, "{bytes} bytes"),
            None => write!(to, "in chunks"),
        }
    }

    fn once(&self) -> bool {
        self.body.uploading().is_some()
    }
}

/// A server's answer.
pub struct Reply {
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body, or as much of it as was read before it was clear that it is passed on.
    pub body: Bytes,
    /// What still comes of one that is passed on, and its whole length where that is known.
    pub rest: Option<(Box<Rest>, Option<u64>)>,
}

/// Drops the headers that are about one connection alone, in place.
pub fn keep_end_to_end(headers: &mut HeaderMap) {
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
