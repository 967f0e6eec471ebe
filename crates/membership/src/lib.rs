//! Fleet membership: SWIM with suspicion and incarnation numbers, provided by the sans-I/O crate `foca`, with
//! its own codec, a versioned view of the fleet, and each node's share of fleet-wide budgets.
//!
//! Nothing here does I/O or reads a clock. The caller (UDP in the program, the emulated site in virtual time)
//! passes datagrams and the time to a [`Membership`] and sends the datagrams it returns.
//! `docs/design/membership.md` explains the design and its alternatives.
//!
//! ```
//! use std::time::Duration;
//! use magpietally_membership::{Liveness, Membership, Name, NodeId, Settings};
//!
//! let id = |port| NodeId {
//!     addr: format!("127.0.0.1:{port}").parse().unwrap(),
//!     name: Name::new(&format!("n{port}")).unwrap(),
//!     generation: 1,
//! };
//! let mut a = Membership::new(id(1), &Settings::default(), 1);
//! let mut b = Membership::new(id(2), &Settings::default(), 2);
//! a.join(Duration::ZERO, &[id(2).addr]);
//! for ms in 0..3000 {
//!     let now = Duration::from_millis(ms);
//!     a.tick(now);
//!     b.tick(now);
//!     while let Some((_, d)) = a.take_outgoing() { b.on_datagram(now, &d) }
//!     while let Some((_, d)) = b.take_outgoing() { a.on_datagram(now, &d) }
//! }
//! assert_eq!(b.view().liveness_of("n1"), Some(Liveness::Alive));
//! assert_eq!(a.view().counts().alive, 2);
//! ```

mod budget;
mod codec;
mod id;
mod name_conflict;
mod protocol;
pub mod sim;
mod suspicion;
mod view;
mod view_text;

pub use budget::{budget_divisor, budget_share};
pub use codec::{
    decode, encode_leave, encode_name_query, encode_name_response, encode_query, CodecError, Datagram,
    DecodeError, WireCodec, DATAGRAM_MAX_BYTES, KIND_NAME_QUERY, KIND_NAME_RESPONSE, KIND_QUERY, KIND_VIEW,
    KIND_VIEW_PART,
};
pub use id::NodeId;
pub use magpietally_transport::{Name, NameError, NAME_MAX_BYTES};
pub use name_conflict::{ListenerId, NameQuery, NameResponse};
pub use protocol::{Membership, Settings, Stats, LEAVE_NOTICES_MAX, OUTBOX_MAX, TIMERS_MAX};
pub use suspicion::{SUSPICION_NOTICES_MAX, TRACKED_SUSPICIONS_MAX};
pub use view::{Counts, Entry, Liveness, View};
pub use view_text::{decode_view_part, encode_view_part, VIEW_PART_MAX_BYTES};
