//! The node's end, where a part of it that runs beside requests can't go on.

use nix::sys::signal::{raise, Signal};

/// Ends the node as SIGTERM does, so that all that it has taken is answered.
pub fn end_in_order(who: &'static str, words: &str) {
    tracing::error!(target: "node", "{who} can't go on, the node ends: {words}");
    if let Err(error) = raise(Signal::SIGTERM) {
        tracing::error!(target: "node", "{who}: it can't be told to: {error}");
    }
}
