//! System-call fault injection for tests.
//!
//! The library is preloaded (`LD_PRELOAD`) into the node processes of a test, and there alone. It replaces some functions
//! of the C library; each call either goes on to the real function or fails as the plan in the environment says:
//!
//! - `MAGPIETALLY_FAULTS`: the plan, rules separated by `;` (see the module `plan`).
//! - `MAGPIETALLY_FAULTS_SEED`: the seed of all draws, 1 where it is not set.
//! - `MAGPIETALLY_FAULTS_COUNTS`: a file that receives, for each rule in order, how many faults were injected, as a
//!   little-endian 64-bit number. It is mapped, so the counts outlive a process that is killed.
//! - `MAGPIETALLY_FAULTS_COMMAND`: the plan holds only for processes with this first argument, as `node`; without it for all.
//! - `MAGPIETALLY_FAULTS_SWITCH`: a path; faults are injected only while something exists there.

mod calls;
mod counts;
mod plan;
mod state;
