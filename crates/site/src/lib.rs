//! An emulated site: app boxes, their list, clients and faults as a pure model, and a referee that checks the
//! rules.
//!
//! [`model`] is deterministic and does no I/O. [`virt`] runs it in virtual time with many policies in one
//! process; [`sockets`] runs it in real time with real nodes on loopback. [`experiment`] compares variants of
//! a node over seeds and schedules.
//!
//! ```
//! use magpietally_site::{examples, virt};
//!
//! let site = examples::site("calm").expect("it is embedded");
//! let run = virt::run(&site, 7, &virt::Variant::policy());
//! assert_eq!(run.verdict.rules_broken(), 0);
//! ```

pub mod examples;
pub mod experiment;
pub mod model;
pub mod sockets;
pub mod virt;
