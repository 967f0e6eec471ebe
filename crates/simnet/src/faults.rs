//! The faults that messages are subject to, and the bounds of all queues.

use std::time::Duration;

use magpietally_transport::{Capabilities, Kind};

/// The faults that a network, or one link of it, applies to every message.
///
/// A stream hides loss, duplicates and reordering as TCP does: loss only delays it, and the other two have no
/// effect on it.
#[derive(Clone, Debug, PartialEq)]
pub struct Faults {
    /// The fraction of messages lost, 0 to 1.
    pub loss: f64,
    /// The minimum transit time.
    pub delay: Duration,
    /// The maximum additional transit time, uniformly distributed. It also lets a later message overtake an
    /// earlier one.
    pub jitter: Duration,
    /// The fraction of messages delivered twice, 0 to 1.
    pub duplicate: f64,
    /// The fraction of messages that are delayed so that later ones overtake them, 0 to 1.
    pub reorder: f64,
    /// The maximum delay of a reordered message, uniformly distributed.
    pub reorder_delay_max: Duration,
}

impl Default for Faults {
    /// A local network without loss, duplicates or reordering delays: transit times of 1 to 3 ms.
    fn default() -> Self {
        Self {
            loss: 0.0,
            delay: Duration::from_millis(1),
            jitter: Duration::from_millis(2),
            duplicate: 0.0,
            reorder: 0.0,
            reorder_delay_max: Duration::from_millis(50),
        }
    }
}

/// The bounds of the network's queues, the same for every node.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The maximum size of a datagram, in bytes.
    pub datagram_max_bytes: usize,
    /// The maximum size of a message on a stream, in bytes.
    pub message_max_bytes: usize,
    /// The maximum number of messages waiting for one peer: unacknowledged on a stream, or datagrams in
    /// flight or held.
    pub queue_capacity: usize,
    /// The maximum number of received but unread datagrams of a node; further ones are dropped, as by a
    /// kernel.
    pub backlog: usize,
    /// A stream breaks when the messages waiting on it have made no progress for this long.
    pub break_after: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            // Fits a frame of 1,500 bytes with IP and UDP headers, as membership limits its datagrams too.
            datagram_max_bytes: 1_400,
            // Fits a part of a catch-up transfer or a policy document, and messages of this size for 500
            // nodes still fit in the memory of a test machine.
            message_max_bytes: 1 << 20,
            // One second of messages from a busy protocol to one peer.
            queue_capacity: 1_024,
            // About as many small datagrams as fit in 212,992 bytes, the default socket buffer of Linux.
            backlog: 256,
            // Twice a lease of a few seconds, so that tests see leases expire before connections break.
            break_after: Duration::from_secs(10),
        }
    }
}

impl Limits {
    /// Returns the capabilities of a transport of `kind` with these limits.
    pub fn capabilities(&self, kind: Kind) -> Capabilities {
        let largest = match kind {
            Kind::Datagram => self.datagram_max_bytes,
            Kind::Stream => self.message_max_bytes,
        };
        Capabilities { kind, message_max_bytes: largest, queue_capacity: self.queue_capacity }
    }
}
