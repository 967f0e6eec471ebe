//! The virtual-time driver: the policies of many nodes in one process, without sockets and without sleeping.
//!
//! A run is a function of the site, the seed and the variant: equal inputs give the same [`Run`], byte for
//! byte, in every build and whatever else runs at the same time.

mod attempts;
mod baseline;
mod decider;
mod failures;
mod faulty;
mod listing;
mod node;
mod simulation;

pub use baseline::Pick;
pub use decider::{Decider, Fixes, Variant};
pub use faulty::InjectedFault;
pub use simulation::{run, run_timed, Run};
