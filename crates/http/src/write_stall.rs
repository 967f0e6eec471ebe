//! How long a peer may accept nothing of what is written to it before it counts as one that does not read.

use std::time::Duration;

/// Slowest pace, in bytes per second, of a peer that is waited for. Slow peers read and send 64 kB/s.
pub const MIN_PEER_BYTES_PER_SECOND: u64 = 48_000;
/// Part of its receive buffer, as a divisor, that a peer may read before its kernel announces any free space.
/// Linux announces none while less than a sixteenth of a full buffer is free.
const UNANNOUNCED_SHARE_DIVISOR: u64 = 16;
/// Largest receive buffer that is allowed for: the default maximum of Linux (`tcp_rmem`).
const RECEIVE_BUFFER_MAX_BYTES: u64 = 32 << 20;

/// The time limit for a peer that accepts nothing: `base`, and the time in which a slow peer reads what it
/// may read without the sender learning of it. Its receive buffer can hold no more than `sent_bytes`, the
/// number of bytes written to the connection so far.
pub fn write_stall_limit(base: Duration, sent_bytes: u64) -> Duration {
    let buffered_bytes = sent_bytes.min(RECEIVE_BUFFER_MAX_BYTES);
    let unannounced_bytes = buffered_bytes / UNANNOUNCED_SHARE_DIVISOR;
    base + Duration::from_millis(unannounced_bytes * 1000 / MIN_PEER_BYTES_PER_SECOND)
}

#[cfg(test)]
mod tests;
