//! A node's identity in the fleet.

use std::fmt;
use std::net::SocketAddrV4;

use foca::Identity;
use magpietally_transport::Name;

/// Who a node is: where its membership datagrams go, its name, and which start of it this is.
///
/// The generation is taken by the carrier at start (seconds of the wall clock), so a node restarted under its old name
/// and address is a later identity that wins against the one the fleet remembers; `foca` adds one to it when a node
/// that was declared dead rejoins.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeId {
    /// The membership address; two identities at one address are two starts of one node.
    pub addr: SocketAddrV4,
    /// The node's name, as the platform gives it (`BALANCER_NAME`).
    pub name: Name,
    /// Which start of the node this is; later is greater.
    pub generation: u32,
}

impl NodeId {
    /// Who is at `addr` before anything else is known of it: the identity a node announces itself to.
    pub fn unknown_at(addr: SocketAddrV4) -> Self {
        Self { addr, name: Name::default(), generation: 0 }
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
        // The later start is the one that runs now; a tie (two processes started in one second at one address) is
        // broken by name so that both sides agree.
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
