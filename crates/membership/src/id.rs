//! A node's identity in the fleet.

use std::fmt;
use std::net::SocketAddrV4;

use foca::Identity;
use magpietally_transport::Name;

/// A node's identity: its membership address, its name and the generation, which distinguishes its starts.
///
/// The caller derives the generation from the wall clock at start. A node restarted under its old name and
/// address therefore has a later identity, which replaces the one the fleet remembers. `foca` increments the
/// generation when a node that was declared dead rejoins.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeId {
    /// The membership address. Two identities with the same address are two starts of one node.
    pub addr: SocketAddrV4,
    /// The node's name, as set by the platform (`BALANCER_NAME`).
    pub name: Name,
    /// Distinguishes the starts of a node; a later start has a greater value.
    pub generation: u32,
}

impl NodeId {
    /// The placeholder identity of a node of which only the address is known, used to announce to it.
    pub fn unknown_at(addr: SocketAddrV4) -> Self {
        Self { addr, name: Name::default(), generation: 0 }
    }

    /// Returns whether this is another start of the node `me`: its name at another address.
    pub fn is_other_start_of(&self, me: &Self) -> bool {
        self.name == me.name && self.addr != me.addr
    }
}

impl Identity for NodeId {
    type Addr = SocketAddrV4;

    fn renew(&self) -> Option<Self> {
        Some(Self { generation: self.generation.checked_add(1)?, ..self.clone() })
    }

    fn addr(&self) -> SocketAddrV4 {
        self.addr
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        // The later start is the one that is running now. A tie (two processes started at one address with
        // the same generation) is broken by name so that both sides agree.
        (self.generation, &self.name) > (adversary.generation, &adversary.name)
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}#{}", self.name, self.addr, self.generation)
    }
}

#[cfg(test)]
mod tests;
