//! Streams over framed TCP. One dedicated thread runs all connections of a node.
//!
//! There is one connection for each direction: a node connects to a peer when it has messages for it, and the
//! connection carries messages one way and acknowledgements the other way. Each side therefore decides alone
//! about its message numbers, backoff and losses, and two nodes that connect to each other at the same time
//! need no tie-breaking. This costs a second descriptor for each pair of nodes, bounded by
//! [`Settings::outbound_connections`] and [`Settings::inbound_connections`].
//!
//! - `shared.rs`: the state shared by the thread and the node, behind one lock that is never held across an
//!   await.
//! - `dial.rs`: the sending side of a peer.
//! - `accept.rs`: the receiving side.
//! - `frames.rs`: reading and writing of frames.

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

/// The limits and timeouts of one node. [`Settings::default`] fits the platform; tests use shorter times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The largest message, in bytes. This is also the memory that a frame from an unknown sender can make a
    /// connection allocate, so 64 connections hold 16 MiB at most. Larger content (a snapshot) is sent in
    /// pieces.
    pub message_max_bytes: usize,
    /// The maximum number of messages queued for one peer, in addition to the window: some seconds of the
    /// log's traffic.
    pub queue_messages: usize,
    /// The maximum number of bytes queued for all peers together.
    pub queue_bytes: usize,
    /// The maximum number of messages to one peer that are sent but not acknowledged. A broken connection can
    /// lose this many at most.
    pub window: usize,
    /// The maximum number of received messages that are not polled yet. Beyond it (or
    /// [`Settings::inbox_bytes`]) nothing more is read from any connection, which slows the senders down.
    /// Each connection may exceed it by one message that it is already reading.
    pub inbox_messages: usize,
    /// The same limit, in bytes.
    pub inbox_bytes: usize,
    /// The interval at which either side of a connection sends a heartbeat.
    pub heartbeat: Duration,
    /// A connection on which nothing is received for this time counts as broken: six heartbeats, so that a
    /// pause of the peer's thread is not taken for its end, and well below the 6 s after which membership
    /// suspects a node.
    pub liveness_timeout: Duration,
    /// The timeout for connecting, including the handshake.
    pub connect_timeout: Duration,
    /// The delay before the second attempt to connect. It doubles after each failure; its jitter is a quarter
    /// either way.
    pub backoff: Duration,
    /// The maximum of that delay, before jitter.
    pub backoff_max: Duration,
    /// A connection without messages for this time is closed, which frees its descriptor.
    pub idle_timeout: Duration,
    /// The maximum number of outbound connections. A peer without one waits until another peer's connection
    /// ends; while peers wait, a connection ends once it has been idle for a heartbeat. This limits
    /// descriptors, not peers.
    pub outbound_connections: usize,
    /// The maximum number of inbound connections. Further ones are closed immediately; connections that have
    /// been idle for a heartbeat then end, to make way for the rejected peer's next attempt. Both limits
    /// together stay below half of the smallest descriptor limit of the platform (256).
    pub inbound_connections: usize,
    /// The random seed of the backoff jitter.
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
    /// Describes the invalid setting.
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
            return Err("no limit may be zero");
        }
        if self.queue_bytes < self.message_max_bytes || self.inbox_bytes < self.message_max_bytes {
            return Err("the byte limits of the queue and the inbox must not be below the largest message");
        }
        if self.message_max_bytes > u32::MAX as usize / 2 {
            return Err("the largest message must fit the four-byte length of a frame");
        }
        if self.heartbeat.is_zero() || self.heartbeat * 2 > self.liveness_timeout {
            return Err("the liveness timeout must be at least two heartbeats");
        }
        if self.backoff.is_zero() || self.backoff > self.backoff_max {
            return Err("the initial backoff must be above zero and not above the maximum");
        }
        Ok(())
    }
}

/// The stream transport of one node, over TCP. Dropping it closes every connection at once and discards
/// queued messages.
pub struct Tcp {
    shared: Arc<Shared>,
    address: SocketAddr,
    handle: tokio::runtime::Handle,
    thread: Option<JoinHandle<()>>,
}

impl Tcp {
    /// Binds a listener (port 0 selects a free port) and starts the thread.
    ///
    /// # Errors
    /// The settings are invalid ([`Settings::check`]), the address can't be bound, or the thread or the
    /// runtime can't be created.
    pub fn bind(me: Peer, fleet: FleetId, at: SocketAddr, settings: Settings) -> io::Result<Self> {
        settings.check().map_err(|reason| io::Error::new(io::ErrorKind::InvalidInput, reason))?;
        let listener = listen(at, false)?;
        let address = listener.local_addr()?;
        let build = || tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = retry::at_start(Call::Create, "runtime", build)?;
        let handle = runtime.handle().clone();
        let shared = Arc::new(Shared::new(me, fleet, settings));
        let thread_shared = shared.clone();
        let thread = retry::spawn("fleet-tcp", move || {
            runtime.block_on(async {
                match Listener::new(listener) {
                    Ok(listener) => accept::accept(thread_shared.clone(), listener).await,
                    Err(e) => thread_shared.close(format!("the listener failed: {e}")),
                }
            });
            // All tasks and their connections end with the runtime.
            drop(runtime);
        })?;
        Ok(Self { shared, address, handle, thread: Some(thread) })
    }

    /// Returns the address that the listener is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Adds a peer or changes its address; a connection to its former address ends. Returns false if there
    /// are 4,096 other peers already.
    pub fn set_peer(&mut self, name: Name, address: SocketAddr) -> bool {
        let Some(new) = self.shared.set_peer(&name, address) else { return false };
        if let Some(wake) = new {
            self.handle.spawn(dial::run_peer(self.shared.clone(), name, wake));
        }
        true
    }

    /// Removes a peer. Its queued and unacknowledged messages are reported as [`Event::Lost`].
    pub fn remove_peer(&mut self, name: &Name) {
        self.shared.remove_peer(name);
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> Counts {
        self.shared.counts()
    }
}

impl Drop for Tcp {
    fn drop(&mut self) {
        self.shared.close("dropped".into());
        if let Some(thread) = self.thread.take() {
            // An error means that the thread panicked; there is no caller left to report it to.
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
