//! What befalls messages, and the bounds of every queue.

use std::time::Duration;

use magpietally_transport::{Capabilities, Kind};

/// What a network, or one link of it, does to every message.
///
/// A stream hides loss, duplicates and reordering as TCP does: loss only delays it, and the other two do nothing to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Faults {
    /// Share of messages lost, 0 to 1.
    pub loss: f64,
    /// Least time on the way.
    pub delay: Duration,
    /// Up to this much more, evenly drawn; it also lets a later message overtake an earlier one.
    pub jitter: Duration,
    /// Share of messages that come twice, 0 to 1.
    pub duplicate: f64,
    /// Share of messages that are held back, 0 to 1, so that later ones overtake them.
    pub reorder: f64,
    /// Up to how long they are held back, evenly drawn.
    pub reorder_delay_max: Duration,
}

impl Default for Faults {
    /// A local network in order: 1 to 3 ms on the way.
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
    /// The largest datagram, in bytes.
    pub datagram_max_bytes: usize,
    /// The largest message on a stream, in bytes.
    pub message_max_bytes: usize,
    /// Messages that may wait for one peer: not yet acknowledged on a stream, on their way or held as datagrams.
    pub queue_capacity: usize,
    /// Datagrams that came and were not read, a node; as a kernel would, it drops the rest.
    pub backlog: usize,
    /// A stream breaks when what waits on it has made no way for this long.
    pub break_after: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            // What fits a frame of 1,500 bytes with the headers of IP and UDP, as the members' datagrams are cut to.
            datagram_max_bytes: 1_400,
            // A piece of catch-up or a policy document fits; 500 nodes' worth of them still fits a test machine.
            message_max_bytes: 1 << 20,
            // A second of a busy room's messages to one peer.
            queue_capacity: 1_024,
            // About what 212,992 bytes (Linux's default socket buffer) hold of small datagrams.
            backlog: 256,
            // Twice a lease of seconds, so that tests see leases end before connections do.
            break_after: Duration::from_secs(10),
        }
    }
}

impl Limits {
    /// What a transport of `kind` with these limits states of itself.
    pub fn capabilities(&self, kind: Kind) -> Capabilities {
        let largest = match kind {
            Kind::Datagram => self.datagram_max_bytes,
            Kind::Stream => self.message_max_bytes,
        };
        Capabilities { kind, message_max_bytes: largest, queue_capacity: self.queue_capacity }
    }
}
