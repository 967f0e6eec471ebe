//! The interface between a protocol's state machine and the code that runs it, in virtual time or on sockets.

use std::time::Duration;

use crate::name::Name;
use crate::transport::{Kind, Peer};

/// The time of a call, by the two clocks that a protocol's caller reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Now {
    /// Time since an origin that is the node's own, by a monotonic clock that also counts while the process
    /// is stopped or the machine sleeps (`CLOCK_BOOTTIME`). Leases use this clock. Readings of two nodes are
    /// not comparable.
    pub boot: Duration,
    /// The wall clock, Unix time in milliseconds. It may be wrong by any amount and may jump; only the leader
    /// of the log uses it, for timestamps that all nodes share.
    pub wall_ms: u64,
}

impl Now {
    /// Creates a time from the boot clock alone, for callers that never use the wall clock.
    pub fn at(boot: Duration) -> Self {
        Self { boot, wall_ms: 0 }
    }
}

/// A message that a protocol wants to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The recipient.
    pub to: Name,
    /// The kind of transport to use.
    pub kind: Kind,
    /// The whole message.
    pub bytes: Vec<u8>,
}

/// The state machine of one subsystem of a node, without I/O, clock or thread. It is deterministic: the same
/// calls give the same results.
pub trait Protocol {
    /// Handles a message received at `now`.
    fn on_message(&mut self, now: Now, from: &Peer, bytes: &[u8]);

    /// Runs the timers that are due at `now`.
    fn tick(&mut self, now: Now);

    /// When [`Protocol::tick`] is due next, by the boot clock.
    fn next_due(&self) -> Option<Duration>;

    /// Takes the next message to send. The caller takes all of them after each of the calls above.
    fn take_outgoing(&mut self) -> Option<Outgoing>;
}
