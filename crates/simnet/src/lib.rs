//! A simulated network in virtual time for all protocols: faults, kills, pauses and clocks, seeded.
//!
//! The network uses no sockets, threads or clocks. The same seed and the same calls give the same run on any
//! machine; [`Net::trace`] is a hash of the run. The simulation is driven by events, so that idle time costs
//! nothing. `docs/design/simnet.md` describes what is modelled and what is not.
//!
//! Central types: [`Net`] (the network), [`Port`] (one node's end of it as a `Transport`), [`World`]
//! (protocols on it, with their [`Clocks`]), [`Faults`] and [`Limits`].
//!
//! ```
//! use std::time::Duration;
//! use magpietally_simnet::{Faults, Limits, Net, Port};
//! use magpietally_transport::{Event, Kind, Name, Transport};
//!
//! let (a, b) = (Name::new("a").unwrap(), Name::new("b").unwrap());
//! let net = Net::new(1, Faults::default(), Limits::default()).shared();
//! let mut at_a = Port::open(&net, &a, Kind::Stream).unwrap();
//! let mut at_b = Port::open(&net, &b, Kind::Stream).unwrap();
//! at_a.send(&b, b"salaam").unwrap();
//! let later = Duration::from_secs(1);
//! assert_eq!(at_b.poll(later), Some(Event::NewSession(at_a.me().clone())));
//! assert_eq!(at_b.poll(later), Some(Event::Message { from: at_a.me().clone(), bytes: b"salaam".to_vec() }));
//! ```

mod clocks;
mod faults;
mod inbox;
mod net;
mod port;
mod scheduled;
mod stream;
#[cfg(test)]
mod tests;
mod trace;
mod world;

pub use clocks::Clocks;
pub use faults::{Faults, Limits};
pub use net::{Counts, Net, IN_FLIGHT_MAX, NODES_MAX};
pub use port::{Port, SharedNet};
pub use stream::RETRANSMIT_DELAY;
pub use world::{World, CONDITION_CHECK_INTERVAL, OUTGOING_PER_CALL_MAX, TICK_INTERVAL_MIN};
