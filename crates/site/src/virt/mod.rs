//! The driver in virtual time: many nodes' policies in one process, no sockets and no sleeping.
//!
//! A run is a function of the site, the seed and the variant: the same ones give the same [`Run`], to the last byte,
//! in every build and whatever else runs beside it.

mod attempts;
mod decider;
mod faulty;
mod fleet;
mod listing;
mod plain;
mod shell;
mod world;

pub use decider::{Decider, Mends, Variant};
pub use faulty::Misdeed;
pub use plain::Pick;
pub use world::{run, run_timed, Run};
