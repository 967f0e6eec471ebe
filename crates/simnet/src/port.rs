//! One node's end of a shared network, as a `Transport`.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use magpietally_transport::{Capabilities, Event, Kind, Name, Peer, SendError, Transport};

use crate::net::Net;

/// A network shared by several [`Port`]s.
pub type SharedNet = Arc<Mutex<Net>>;

/// One node's end of a network, of one kind. One session of a node can have a port of each kind, and each
/// port reads only its own kind.
///
/// Messages are sent at the network's time. [`Transport::poll`] advances the network to the given time for
/// all ports. A port is valid for the session in which it was opened: after a later start or a kill, sending
/// fails with [`SendError::Closed`] and there is nothing to read.
pub struct Port {
    net: SharedNet,
    node: usize,
    me: Peer,
    kind: Kind,
}

impl Port {
    /// Starts the node of this name in a new session, adding it if it does not exist, and opens a port on it.
    ///
    /// # Errors
    /// [`SendError::Closed`] if the network has the maximum number of nodes.
    pub fn open(net: &SharedNet, name: &Name, kind: Kind) -> Result<Self, SendError> {
        let mut guard = lock(net);
        let Some(node) = guard.add(name) else {
            return Err(SendError::Closed("the network has the maximum number of nodes".to_owned()));
        };
        let me = guard.start(node);
        drop(guard);
        Ok(Self { net: Arc::clone(net), node, me, kind })
    }

    /// Returns a port of another kind in the same session of the node.
    pub fn with_kind(&self, kind: Kind) -> Self {
        Self { net: Arc::clone(&self.net), node: self.node, me: self.me.clone(), kind }
    }

    /// Returns the node's number on the network, for injecting faults.
    pub fn node(&self) -> usize {
        self.node
    }

    fn is_current(&self, net: &Net) -> bool {
        net.is_running(self.node) && net.peer(self.node) == self.me
    }
}

impl Transport for Port {
    fn me(&self) -> &Peer {
        &self.me
    }

    fn capabilities(&self) -> Capabilities {
        lock(&self.net).limits.capabilities(self.kind)
    }

    fn send(&mut self, to: &Name, message: &[u8]) -> Result<(), SendError> {
        let mut net = lock(&self.net);
        if !self.is_current(&net) {
            return Err(SendError::Closed(format!("session {} has ended", self.me)));
        }
        net.send(self.node, to, self.kind, message.to_vec())
    }

    fn poll(&mut self, now: Duration) -> Option<Event> {
        let mut net = lock(&self.net);
        while net.step(now).is_some() {}
        if self.is_current(&net) {
            net.read(self.node, Some(self.kind))
        } else {
            None
        }
    }
}

/// Ignores poisoning: every change of the network is complete before its lock is released, so a panic in
/// another test leaves it consistent.
fn lock(net: &SharedNet) -> MutexGuard<'_, Net> {
    net.lock().unwrap_or_else(PoisonError::into_inner)
}
