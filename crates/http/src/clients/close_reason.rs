//! Why connections of clients are closed, for the log.

use std::fmt;

use super::{Client, ClientConnections};
use crate::watched_stream::ConnectionPhase;

/// Why the node closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// It said nothing from its start.
    Silent,
    /// It was idle for too long.
    Idle,
    /// Its request took too long to come.
    SlowRequest,
    /// Its answer was not read.
    SlowReader,
    /// It made room for another.
    Evicted,
    /// The node is drained or stops.
    Leaving,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Silent => "said nothing",
            Self::Idle => "idle for too long",
            Self::SlowRequest => "its request took too long to come",
            Self::SlowReader => "its answer is not read",
            Self::Evicted => "makes room for another",
            Self::Leaving => "the node sends its clients away",
        })
    }
}

impl Client {
    /// Has the connection closed, unless something has come on it meanwhile.
    pub(super) fn close_for(&self, reason: CloseReason) {
        self.reason.set(Some(reason));
        self.close.notify_one();
    }

    /// The connection with the request that it was last about.
    fn name(&self) -> String {
        let request = self.sock.request_id();
        let request = request.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("none");
        format!("connection {}, {:?}, request {request}", self.number, self.sock.phase().0)
    }
}

impl ClientConnections {
    /// Logs a line, if this second has room for one.
    pub(super) fn log(&self, line: impl FnOnce()) {
        self.node.carrier().pool.sample.line(line);
    }

    /// A connection is closed by the node.
    pub(super) fn log_closed(&self, client: &Client) {
        let Some(reason) = client.reason.get() else { return };
        self.log(|| tracing::info!(target: "close", "{}: {reason}", client.name()));
    }

    /// A connection broke; told where a request was on it.
    pub(super) fn log_broken(&self, client: &Client, error: &hyper::Error) {
        if client.sock.phase().0 != ConnectionPhase::Idle {
            self.log(|| tracing::info!(target: "close", "{}: {error}", client.name()));
        }
    }
}
