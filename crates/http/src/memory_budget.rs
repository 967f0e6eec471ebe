//! The memory budgets for messages. All messages of one direction share a budget, so that the node stays
//! within its memory limit however many there are, and a crowd of uploads leaves room for responses. The
//! first [`UNRESERVED_BYTES`] of a message are not counted here, as they are part of the assumed cost of a
//! connection.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::timeout;

/// The messages of one direction may use the node's memory divided by this number.
const MEMORY_SHARE_DIVISOR: usize = 10;
/// Memory reserved for a message while it is streamed: what was read from one side and not yet written to the
/// other.
pub const STREAMED_MESSAGE_BYTES: usize = 96 * 1024;
/// The part of a message for which no memory is reserved.
pub const UNRESERVED_BYTES: usize = 8 * 1024;

/// A memory budget. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<State>);

#[derive(Debug)]
struct State {
    total: usize,
    /// Changed by the node's thread alone; it is atomic so that reservations can be owned by [`Bytes`].
    free: AtomicUsize,
    freed: Notify,
}

impl State {
    fn free(&self) -> usize {
        self.free.load(Ordering::Relaxed)
    }
}

impl MemoryBudget {
    /// The budget for one direction of a node with `memory_mb` MB of memory.
    pub fn new(memory_mb: usize) -> Self {
        let total = (memory_mb << 20) / MEMORY_SHARE_DIVISOR;
        Self(Arc::new(State { total, free: AtomicUsize::new(total), freed: Notify::new() }))
    }

    /// An empty reservation.
    pub fn reservation(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }

    /// The reserved bytes and the total.
    pub fn usage(&self) -> (usize, usize) {
        (self.0.total - self.0.free(), self.0.total)
    }
}

/// Reserved bytes of a budget; released on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl Reservation {
    /// Number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// An empty reservation of the same budget.
    pub fn empty(&self) -> Self {
        self.budget.reservation()
    }

    /// Reserves what a message needs, and waits while the budget lacks it, for at most `limit`. Returns false
    /// if it still does. To be called once for a message, as one that held some bytes and waited for more
    /// would block others that do the same.
    pub async fn reserve(&mut self, bytes: usize, limit: Duration) -> bool {
        let enough_is_free = async {
            // Single-threaded: nothing can be released between the check and the wait.
            while self.budget.0.free() + self.bytes < bytes {
                self.budget.0.freed.notified().await;
            }
        };
        // Polls the check first, also with no time left.
        let reserved = timeout(limit, enough_is_free).await.is_ok();
        if reserved {
            self.set(bytes);
        }
        reserved
    }

    /// Changes the reservation to `bytes` in total, to buffer a message that could also be streamed. Returns
    /// false and changes nothing if an increase would leave less than half of the budget free.
    pub fn try_reserve(&mut self, bytes: usize) -> bool {
        let fits =
            bytes <= self.bytes || self.budget.0.free() + self.bytes >= bytes + self.budget.0.total / 2;
        if fits {
            self.set(bytes);
        }
        fits
    }

    /// Ties the reservation to a message: it is released when the last copy of the bytes is dropped.
    pub fn own(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(ReservedBytes { bytes, _reservation: self })
    }

    fn set(&mut self, bytes: usize) {
        self.budget.0.free.store(self.budget.0.free() + self.bytes - bytes, Ordering::Relaxed);
        if bytes < self.bytes {
            // All waiters check again, in the order in which they began to wait.
            self.budget.0.freed.notify_waiters();
        }
        self.bytes = bytes;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// A message and the memory reserved for it.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The bytes to reserve for a message with this declared length of its body: all of it if it is buffered
/// whole, else what streaming it needs.
pub fn required_bytes(declared: Option<u64>, buffered_max: usize) -> usize {
    match declared.and_then(|length| usize::try_from(length).ok()) {
        Some(length) if length <= buffered_max => length,
        _ => STREAMED_MESSAGE_BYTES,
    }
}

#[cfg(test)]
mod tests;
