//! Shutdown of the node when one of its background components fails.

use nix::sys::signal::{raise, Signal};

/// Shuts the node down as SIGTERM does, so that every accepted request is answered.
pub fn request_shutdown(component: &'static str, reason: &str) {
    tracing::error!(target: "node", "{component} can't go on, the node ends: {reason}");
    if let Err(error) = raise(Signal::SIGTERM) {
        tracing::error!(target: "node", "{component}: cannot raise SIGTERM: {error}");
    }
}
