//! Streams over framed TCP: one thread of its own carries all connections of a node.
//!
//! One connection a direction: a node dials a peer when it has something for it, and the connection carries messages
//! one way and acknowledgements the other. So each side alone decides on its numbers, its backoff and its losses, and
//! two that dial each other at once have nothing to settle; the price is a second descriptor a pair, bounded by
//! [`Settings::outbound_connections`] and [`Settings::inbound_connections`].
//!
//! - `shared.rs`: what the thread and the node share, behind one lock that is never held over a wait.
//! - `dial.rs`: the sending side of a peer. `accept.rs`: the receiving side. `frames.rs`: one frame in, one out.

mod accept;
mod dial;
mod frames;
mod shared;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use magpietally_net::{listen, Listener};
use magpietally_os_error::{retry, Call};

use crate::envelope::FleetId;
use crate::name::Name;
use crate::transport::{Capabilities, Event, Kind, Peer, SendError, Transport};
pub use shared::Counts;
use shared::Shared;

/// The bounds of one end. [`Settings::default`] fits the platform, tests shorten the times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The largest message in bytes: also what a stranger's frame can make us set aside a connection, so 64
    /// connections hold 16 MiB at most. What is larger (a snapshot) goes in pieces.
    pub message_max_bytes: usize,
    /// Messages that wait for one peer, beside the window: some seconds of the log's traffic.
    pub queue_messages: usize,
    /// Bytes that wait for all peers together.
    pub queue_bytes: usize,
    /// Messages sent and not acknowledged, a peer: what a break of its connection can lose at most.
    pub window: usize,
    /// Messages that came and were not polled yet; past it (or [`Settings::inbox_bytes`]) nothing more is read from
    /// any connection, and senders feel it. Each connection may add one more that it has in hand.
    pub inbox_messages: usize,
    /// The same in bytes.
    pub inbox_bytes: usize,
    /// How often either side gives a sign of life.
    pub heartbeat: Duration,
    /// A connection without a sign of life for so long is broken: six heartbeats, so that a pause of the peer's thread
    /// is not taken for its end, and well under the 6 s after which membership suspects.
    pub liveness_timeout: Duration,
    /// How long a connection and its handshake may take.
    pub connect_timeout: Duration,
    /// The wait before a second attempt at a connection; doubled at each failure, give or take a quarter.
    pub backoff: Duration,
    /// The longest such wait.
    pub backoff_max: Duration,
    /// A connection that had nothing to carry for so long gives its descriptor back.
    pub idle_timeout: Duration,
    /// Connections dialled at a time; a peer without one waits for another's to end, which one that has had nothing to
    /// carry for a heartbeat then does. It bounds descriptors, not peers.
    pub outbound_connections: usize,
    /// Connections accepted at a time; the next is closed at once, and one that has brought nothing for a heartbeat gives way
    /// to its next attempt. Both together stay under half of the least number of descriptors that the platform gives (256).
    pub inbound_connections: usize,
    /// For the jitter of the backoff.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            message_max_bytes: 256 << 10,
            queue_messages: 256,
            queue_bytes: 16 << 20,
            window: 64,
            inbox_messages: 1024,
            inbox_bytes: 16 << 20,
            heartbeat: Duration::from_millis(500),
            liveness_timeout: Duration::from_secs(3),
            connect_timeout: Duration::from_secs(2),
            backoff: Duration::from_millis(50),
            backoff_max: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(60),
            outbound_connections: 56,
            inbound_connections: 56,
            seed: 0,
        }
    }
}

impl Settings {
    /// Whether an end can work by these.
    ///
    /// # Errors
    /// Which setting can't be, and why.
    pub fn check(&self) -> Result<(), &'static str> {
        let sizes = [
            self.message_max_bytes,
            self.queue_messages,
            self.window,
            self.inbox_messages,
            self.outbound_connections,
            self.inbound_connections,
        ];
        if sizes.contains(&0) {
            return Err("a bound of zero lets nothing pass");
        }
        if self.queue_bytes < self.message_max_bytes || self.inbox_bytes < self.message_max_bytes {
            return Err("the bytes that may wait must hold the largest message");
        }
        if self.message_max_bytes > u32::MAX as usize / 2 {
            return Err("the largest message must fit the four bytes of a frame's length");
        }
        if self.heartbeat.is_zero() || self.heartbeat * 2 > self.liveness_timeout {
            return Err(
                "a connection must be given at least two signs of life before it is taken for broken",
            );
        }
        if self.backoff.is_zero() || self.backoff > self.backoff_max {
            return Err("the first wait before a new attempt must be above zero and not above the longest");
        }
        Ok(())
    }
}

/// One node's end of streams over TCP. Dropping it closes every connection at once, what waits included.
pub struct Tcp {
    shared: Arc<Shared>,
    address: SocketAddr,
    handle: tokio::runtime::Handle,
    thread: Option<JoinHandle<()>>,
}

impl Tcp {
    /// Binds a listener (port 0 takes any that is free) and starts the thread.
    ///
    /// # Errors
    /// The settings can't work ([`Settings::check`]), the address can't be bound, or no thread or runtime can be had.
    pub fn bind(me: Peer, fleet: FleetId, at: SocketAddr, settings: Settings) -> io::Result<Self> {
        settings.check().map_err(|why| io::Error::new(io::ErrorKind::InvalidInput, why))?;
        let listener = listen(at, false)?;
        let address = listener.local_addr()?;
        let build = || tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = retry::at_start(Call::Create, "runtime", build)?;
        let handle = runtime.handle().clone();
        let shared = Arc::new(Shared::new(me, fleet, settings));
        let carried = shared.clone();
        let thread = retry::spawn("fleet-tcp", move || {
            runtime.block_on(async {
                match Listener::new(listener) {
                    Ok(listener) => accept::accept(carried.clone(), listener).await,
                    Err(e) => carried.end(format!("its listener broke: {e}")),
                }
            });
            // Every task ends with the runtime, its connection with it.
            drop(runtime);
        })?;
        Ok(Self { shared, address, handle, thread: Some(thread) })
    }

    /// Where it is bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where messages to `name` go from now on (a connection to another address ends); false where so many peers are
    /// known already (4,096).
    pub fn set_peer(&mut self, name: Name, address: SocketAddr) -> bool {
        let Some(new) = self.shared.set_peer(&name, address) else { return false };
        if let Some(wake) = new {
            self.handle.spawn(dial::carry(self.shared.clone(), name, wake));
        }
        true
    }

    /// No messages go to `name` any more; those that wait are told as lost.
    pub fn remove_peer(&mut self, name: &Name) {
        self.shared.remove_peer(name);
    }

    /// What was counted since the start.
    pub fn counts(&self) -> Counts {
        self.shared.counts()
    }
}

impl Drop for Tcp {
    fn drop(&mut self) {
        self.shared.end("dropped".into());
        if let Some(thread) = self.thread.take() {
            // It can only have panicked, and there is nobody left to tell.
            let _ = thread.join();
        }
    }
}

impl Transport for Tcp {
    fn me(&self) -> &Peer {
        &self.shared.me
    }

    fn capabilities(&self) -> Capabilities {
        let s = &self.shared.settings;
        Capabilities {
            kind: Kind::Stream,
            message_max_bytes: s.message_max_bytes,
            queue_capacity: s.queue_messages,
        }
    }

    fn send(&mut self, to: &Name, message: &[u8]) -> Result<(), SendError> {
        self.shared.send(to, message)
    }

    fn poll(&mut self, _now: Duration) -> Option<Event> {
        self.shared.poll()
    }
}
