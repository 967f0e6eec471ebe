//! One node's end of a shared network, as a `Transport`.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use magpietally_transport::{Capabilities, Event, Kind, Name, Peer, SendError, Transport};

use crate::net::Net;

/// A network that several [`Port`]s stand on.
pub type SharedNet = Arc<Mutex<Net>>;

/// One node's end of a network, of one kind. A port of each kind may stand on one start of a node; each reads its own.
///
/// A message sets off at the network's time, and [`Transport::poll`] takes the network to the time it is handed, for all
/// ports. A port lives as long as the start of the node that it was opened on: after a later one, or a kill, it refuses
/// with [`SendError::Closed`] and has nothing to read.
pub struct Port {
    net: SharedNet,
    node: usize,
    me: Peer,
    kind: Kind,
}

impl Port {
    /// Starts the node named so in a new session, adding it if there is none, and opens an end of it.
    ///
    /// # Errors
    /// [`SendError::Closed`] when the network holds as many nodes as it may.
    pub fn open(net: &SharedNet, name: &Name, kind: Kind) -> Result<Self, SendError> {
        let mut guard = lock(net);
        let Some(node) = guard.add(name) else {
            return Err(SendError::Closed("the network is full of nodes".to_owned()));
        };
        let me = guard.start(node);
        drop(guard);
        Ok(Self { net: Arc::clone(net), node, me, kind })
    }

    /// An end of another kind on the same start of the node.
    pub fn with_kind(&self, kind: Kind) -> Self {
        Self { net: Arc::clone(&self.net), node: self.node, me: self.me.clone(), kind }
    }

    /// The node's number on the network, for its faults.
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
            return Err(SendError::Closed(format!("{} is over", self.me)));
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

/// A test that panicked elsewhere leaves a network that is whole: every call ends before its lock does.
fn lock(net: &SharedNet) -> MutexGuard<'_, Net> {
    net.lock().unwrap_or_else(PoisonError::into_inner)
}
