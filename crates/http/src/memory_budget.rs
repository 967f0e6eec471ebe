//! The memory budget for large messages. All of them share it, so that the node stays within its memory limit
//! however many there are. The first [`BUFFERED_BODY_MAX_BYTES`](crate::message::BUFFERED_BODY_MAX_BYTES) of
//! a message are not counted here, as they are part of the assumed cost of a connection.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Large messages may use the node's memory divided by this number.
const MEMORY_SHARE_DIVISOR: usize = 6;
/// Memory reserved for a message while it is streamed: what was read from one side and not yet written to the
/// other.
pub const STREAMED_MESSAGE_BYTES: usize = 96 * 1024;

/// A memory budget. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Rc<State>);

#[derive(Debug)]
struct State {
    total: usize,
    free: Cell<usize>,
    freed: Notify,
}

impl MemoryBudget {
    /// The budget of a node with `memory_mb` MB of memory.
    pub fn new(memory_mb: usize) -> Self {
        let total = (memory_mb << 20) / MEMORY_SHARE_DIVISOR;
        Self(Rc::new(State { total, free: Cell::new(total), freed: Notify::new() }))
    }

    /// An empty reservation.
    pub fn reservation(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
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

    /// Reserves what streaming a message needs, and waits while the budget lacks it. A waiting reservation
    /// holds nothing, so that waiters cannot block each other.
    pub async fn reserve_streaming(&mut self) {
        self.set(0);
        // Single-threaded: nothing can be released between the check and the wait.
        while self.budget.0.free.get() < STREAMED_MESSAGE_BYTES {
            self.budget.0.freed.notified().await;
        }
        self.set(STREAMED_MESSAGE_BYTES);
    }

    /// Changes the reservation to `bytes` in total, to buffer a message that could also be streamed. Returns
    /// false and changes nothing if an increase would leave less than half of the budget free.
    pub fn try_reserve(&mut self, bytes: usize) -> bool {
        let fits =
            bytes <= self.bytes || self.budget.0.free.get() + self.bytes >= bytes + self.budget.0.total / 2;
        if fits {
            self.set(bytes);
        }
        fits
    }

    fn set(&mut self, bytes: usize) {
        self.budget.0.free.set(self.budget.0.free.get() + self.bytes - bytes);
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

#[cfg(test)]
mod tests;
