//! What every room of the fleet is to its carrier, in virtual time and on sockets alike.

use std::time::Duration;

use crate::name::Name;
use crate::transport::{Kind, Peer};

/// The two clocks a carrier reads for a room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Now {
    /// Time since an origin of the node's own, by a clock that never goes back and that runs on while the process is
    /// stopped or the machine sleeps (`CLOCK_BOOTTIME`). Leases count by it. Two nodes' readings can't be compared.
    pub boot: Duration,
    /// The wall clock, Unix time in milliseconds. It may be wrong by any amount and jump; only the leader of the log
    /// reads it, for stamps that all nodes share.
    pub wall_ms: u64,
}

impl Now {
    /// A moment by the boot clock alone, the wall clock being read nowhere.
    pub fn at(boot: Duration) -> Self {
        Self { boot, wall_ms: 0 }
    }
}

/// One message that a room wants to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// To whom.
    pub to: Name,
    /// By which kind of transport.
    pub kind: Kind,
    /// The message, whole.
    pub bytes: Vec<u8>,
}

/// One subsystem of one node: no I/O, no clock, no thread. Same calls, same results.
pub trait Protocol {
    /// Takes one message that came at `now`.
    fn on_message(&mut self, now: Now, from: &Peer, bytes: &[u8]);

    /// Does what is due at `now`.
    fn tick(&mut self, now: Now);

    /// When [`Protocol::tick`] has something to do next, by the boot clock.
    fn next_due(&self) -> Option<Duration>;

    /// The next message to send. A carrier takes all of them after each call above.
    fn take_outgoing(&mut self) -> Option<Outgoing>;
}
