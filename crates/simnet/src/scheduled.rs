//! Scheduled events: messages in flight and timers, ordered by the time at which they are due.

use std::cmp::Ordering;
use std::sync::Arc;
use std::time::Duration;

use magpietally_transport::Session;

/// A message in flight between two nodes, or a timer of a stream.
#[derive(Debug)]
pub(crate) struct ScheduledEvent {
    pub(crate) due: Duration,
    /// Events due at the same time are processed in the order in which they were scheduled.
    pub(crate) order: u64,
    pub(crate) from: usize,
    pub(crate) to: usize,
    pub(crate) action: Action,
}

#[derive(Debug)]
pub(crate) enum Action {
    Datagram {
        session: Session,
        bytes: Arc<Vec<u8>>,
    },
    /// A message of a stream: sequence number `seq` of connection `conn`.
    Segment {
        session: Session,
        conn: u64,
        seq: u64,
        bytes: Arc<Vec<u8>>,
    },
    /// From the receiver to the sender: all sequence numbers below `next_expected` were received.
    Ack {
        conn: u64,
        next_expected: u64,
    },
    /// From the receiver to the sender: it does not know this connection.
    Reset {
        conn: u64,
    },
    /// The sender's retransmission timer, for a stream with unacknowledged messages.
    RetransmitTimer {
        conn: u64,
    },
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    /// Reversed, so that the earliest event is first out of a `BinaryHeap`, which pops the greatest.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.due, other.order).cmp(&(self.due, self.order))
    }
}
