//! What is on its way, and when it is due.

use std::cmp::Ordering;
use std::sync::Arc;
use std::time::Duration;

use magpietally_transport::Session;

/// One thing on its way from node to node, or one timer of a stream.
#[derive(Debug)]
pub(crate) struct Flight {
    pub(crate) due: Duration,
    /// Breaks ties in the order of sending.
    pub(crate) order: u64,
    pub(crate) from: usize,
    pub(crate) to: usize,
    pub(crate) what: What,
}

#[derive(Debug)]
pub(crate) enum What {
    Datagram {
        session: Session,
        bytes: Arc<Vec<u8>>,
    },
    /// A message of a stream: number `seq` of connection `conn`.
    Segment {
        session: Session,
        conn: u64,
        seq: u64,
        bytes: Arc<Vec<u8>>,
    },
    /// From the reader back to the sender: all below `below` have come.
    Ack {
        conn: u64,
        below: u64,
    },
    /// From the reader back to the sender: it knows nothing of this connection.
    Reset {
        conn: u64,
    },
    /// The sender's timer of a stream on which something waits.
    Check {
        conn: u64,
    },
}

impl PartialEq for Flight {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Flight {}

impl PartialOrd for Flight {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Flight {
    /// The earliest is the greatest, as `BinaryHeap` gives the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.due, other.order).cmp(&(self.due, self.order))
    }
}
