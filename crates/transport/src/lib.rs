//! Messages between named nodes, and the interface of the protocols that exchange them.
//!
//! A **protocol** ([`Protocol`]) is the state machine of one subsystem of a node, without I/O, clock or
//! thread: it is given the time and the received messages, and returns the messages to send. A **transport**
//! ([`Transport`]) carries whole messages between named nodes and is of one of two kinds ([`Kind`]):
//! datagrams, which may be lost, duplicated and reordered, and streams, which keep the order and deliver each
//! message at most once within a session. The same protocol runs on the simulated network in virtual time
//! (`crates/simnet`), on UDP and on framed TCP. `crates/contracts` specifies and checks what every transport
//! guarantees.
//!
//! Central types: [`Name`], [`Peer`] (a name and the session of one start of that node), [`Now`],
//! [`Protocol`], [`Transport`].
//!
//! Without the feature `carriers` the crate has types and traits only; with it, also the UDP and TCP
//! transports.

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
