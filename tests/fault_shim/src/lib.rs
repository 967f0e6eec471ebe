//! System-call fault injection for tests.
//!
//! The library is preloaded (`LD_PRELOAD`) into the node processes of a test only. It replaces some functions
//! of the C library; each call is either passed on to the real function or fails according to the plan in the
//! environment:
//!
//! - `MAGPIETALLY_FAULTS`: the plan, rules separated by `;` (see the module `plan`).
//! - `MAGPIETALLY_FAULTS_SEED`: the seed of the random numbers, 1 by default.
//! - `MAGPIETALLY_FAULTS_COUNTS`: a file that receives, for each rule in order, the number of injected faults
//!   as a little-endian 64-bit integer. It is mapped, so the counts survive a process that is killed.
//! - `MAGPIETALLY_FAULTS_COMMAND`: the plan applies only to processes with this first argument, such as
//!   `node`; by default to all.
//! - `MAGPIETALLY_FAULTS_SWITCH`: a path; faults are injected only while a file exists there.

mod calls;
mod counts;
mod plan;
mod state;
