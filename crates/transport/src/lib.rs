//! Messages between named nodes, and the rooms that they are carried for: types and traits only.
//!
//! A **room** ([`Protocol`]) is one subsystem of one node without I/O, clock or thread: it is handed the time and what came,
//! and gives back what is to be sent. A **transport** ([`Transport`]) moves whole messages between named nodes, as one of
//! two kinds ([`Kind`]): datagrams, which may be lost, doubled and reordered, and streams, which keep order and bring each
//! message at most once within a session. The same room runs on the network in virtual time (`crates/simnet`), on UDP
//! and on framed TCP; what every transport must hold is written down in `crates/contracts`.
//!
//! Central types: [`Name`], [`Peer`] (a name and one start of it), [`Now`], [`Protocol`], [`Transport`].

#[cfg(feature = "carriers")]
pub mod envelope;
mod name;
mod protocol;
#[cfg(feature = "carriers")]
mod sessions;
#[cfg(feature = "carriers")]
pub mod tcp;
mod transport;
#[cfg(feature = "carriers")]
pub mod udp;

pub use name::{Name, NameError, NAME_MAX_BYTES};
pub use protocol::{Now, Outgoing, Protocol};
pub use transport::{Capabilities, Event, Kind, Peer, SendError, Session, Transport};
