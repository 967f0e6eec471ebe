//! A node's identity in the fleet.

use std::fmt;
use std::net::SocketAddrV4;

use foca::Identity;

/// The longest name a node may have, in bytes; it bounds every datagram that carries it.
pub const NAME_MAX: usize = 64;

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

/// A node's name: at most [`NAME_MAX`] bytes of letters, digits, `.`, `_` and `-`. Empty only for an identity not yet
/// known ([`NodeId::unknown_at`]).
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Name(String);

/// Why a name was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NameError {
    /// No name at all.
    Empty,
    /// More than [`NAME_MAX`] bytes.
    TooLong(usize),
    /// A character outside letters, digits, `.`, `_` and `-`.
    Character(char),
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "a node's name may not be empty"),
            Self::TooLong(n) => write!(f, "a node's name has {n} bytes, at most {NAME_MAX} are allowed"),
            Self::Character(c) => {
                write!(f, "a node's name may hold letters, digits, '.', '_' and '-', not {c:?}")
            }
        }
    }
}

impl std::error::Error for NameError {}

impl Name {
    /// A name as given; see [`NameError`] for what is refused.
    pub fn new(name: &str) -> Result<Self, NameError> {
        if name.is_empty() {
            return Err(NameError::Empty);
        }
        Self::checked(name)
    }

    /// The same checks, but empty is allowed: what a datagram may carry.
    pub(crate) fn checked(name: &str) -> Result<Self, NameError> {
        if name.len() > NAME_MAX {
            return Err(NameError::TooLong(name.len()));
        }
        if let Some(c) = name.chars().find(|c| !(c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-'))) {
            return Err(NameError::Character(c));
        }
        Ok(Self(name.to_owned()))
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn id(generation: u32, name: &str) -> NodeId {
        NodeId {
            addr: "127.0.0.1:7000".parse().expect("a literal address"),
            name: Name::new(name).expect("a literal name"),
            generation,
        }
    }

    #[test]
    fn a_later_start_wins_and_both_sides_agree() {
        assert!(id(5, "n1").win_addr_conflict(&id(4, "n1")));
        assert!(!id(4, "n1").win_addr_conflict(&id(5, "n1")));
        assert!(id(4, "n2").win_addr_conflict(&id(4, "n1")) != id(4, "n1").win_addr_conflict(&id(4, "n2")));
        assert_eq!(id(u32::MAX, "n1").renew(), None);
        assert_eq!(id(1, "n1").renew(), Some(id(2, "n1")));
    }

    #[test]
    fn names_are_bounded_and_plain() {
        assert_eq!(Name::new(""), Err(NameError::Empty));
        assert_eq!(Name::new(&"a".repeat(65)), Err(NameError::TooLong(65)));
        assert_eq!(Name::new("n 1"), Err(NameError::Character(' ')));
        assert!(Name::new("lahore-main.n_3").is_ok());
    }
}
