//! The bytes that a node may hold of large messages: one budget for all of them, so that its memory stays in its limit however
//! many there are. Up to [`BUFFERED_BODY_MAX_BYTES`](crate::message::BUFFERED_BODY_MAX_BYTES) of a message is not counted here: that is what a
//! connection is taken to cost.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Which part of the memory may be held.
const PART: usize = 6;
/// What passing a message on holds while it lasts: what either side of it has read or has not yet written.
pub const STREAMED_MESSAGE_BYTES: usize = 96 * 1024;

/// What is left of the budget. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Rc<State>);

#[derive(Debug)]
struct State {
    whole: usize,
    left: Cell<usize>,
    freed: Notify,
}

impl MemoryBudget {
    /// The budget of a node with so much memory.
    pub fn new(memory_mb: usize) -> Self {
        let whole = (memory_mb << 20) / PART;
        Self(Rc::new(State { whole, left: Cell::new(whole), freed: Notify::new() }))
    }

    /// A reservation of nothing yet.
    pub fn reservation(&self) -> Reservation {
        Reservation { of: self.clone(), bytes: 0 }
    }
}

/// Bytes that are held; given back when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    of: MemoryBudget,
    bytes: usize,
}

impl Reservation {
    /// How many it holds.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes what passing a message on needs; waits while there is no room. Whoever waits holds nothing, so that what is
    /// held comes back.
    pub async fn reserve_streaming(&mut self) {
        self.set(0);
        // One thread: nothing is freed between the look and the wait.
        while self.of.0.left.get() < STREAMED_MESSAGE_BYTES {
            self.of.0.freed.notified().await;
        }
        self.set(STREAMED_MESSAGE_BYTES);
    }

    /// Takes so many in all to hold a message that could also be passed on; false where that would leave less than half of
    /// the budget, and nothing has changed then.
    pub fn try_reserve(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.bytes || self.of.0.left.get() + self.bytes >= bytes + self.of.0.whole / 2;
        if fits {
            self.set(bytes);
        }
        fits
    }

    fn set(&mut self, bytes: usize) {
        self.of.0.left.set(self.of.0.left.get() + self.bytes - bytes);
        if bytes < self.bytes {
            // Each that waits looks again, in the order in which they came.
            self.of.0.freed.notify_waiters();
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
