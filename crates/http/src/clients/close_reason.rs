//! The reasons for which the node closes connections of clients, and their log lines.

use std::fmt;
use std::time::Duration;

use super::{ClientConnection, ClientConnections};
use crate::watched_stream::ConnectionPhase;

/// Why the node closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// No bytes were ever received on it.
    Silent,
    /// It was idle for too long.
    Idle,
    /// Its request took too long to arrive.
    SlowRequest,
    /// The client did not read its response.
    Unread {
        /// How long it has accepted nothing.
        stalled_for: Duration,
        /// Number of bytes that were written to the connection before.
        sent_bytes: u64,
    },
    /// It made room for a new connection.
    Evicted,
    /// The node is draining or stopping.
    Leaving,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Unread { stalled_for, sent_bytes } => {
                let seconds = stalled_for.as_secs_f64();
                return write!(
                    f,
                    "the client does not read its response: no bytes accepted for {seconds:.1} s after {sent_bytes}"
                );
            }
            Self::Silent => "no bytes received",
            Self::Idle => "idle timeout",
            Self::SlowRequest => "request timeout",
            Self::Evicted => "evicted for a new connection",
            Self::Leaving => "the node is draining or stopping",
        };
        f.write_str(text)
    }
}

impl ClientConnection {
    /// Requests that the connection be closed; it stays open if bytes arrive first.
    pub(super) fn request_close(&self, reason: CloseReason) {
        self.close_reason.set(Some(reason));
        self.close_notify.notify_one();
    }

    /// The connection's id and phase and the id of its latest request, for log lines.
    fn description(&self) -> String {
        let request = self.stream.request_id();
        let request = request.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("none");
        format!("connection {}, {:?}, request {request}", self.id, self.stream.phase().0)
    }
}

impl ClientConnections {
    /// Logs a line, within the limit on log lines per second.
    pub(super) fn log(&self, line: impl FnOnce()) {
        self.node.transport().pool.sample.log(line);
    }

    /// Logs that the node closes a connection.
    pub(super) fn log_closed(&self, client: &ClientConnection) {
        let Some(reason) = client.close_reason.get() else { return };
        self.log(|| tracing::info!(target: "close", "{}: {reason}", client.description()));
    }

    /// Logs the failure of a connection, unless it was idle.
    pub(super) fn log_failed(&self, client: &ClientConnection, error: &hyper::Error) {
        if client.stream.phase().0 != ConnectionPhase::Idle {
            self.log(|| tracing::info!(target: "close", "{}: {error}", client.description()));
        }
    }
}
