//! Classification of failed system calls.
//!
//! Linux documents many error numbers for each call, but most callers only need to know what to do next.
//! [`classify`] decides this from the call and the error number, for all crates of the workspace; error
//! numbers are compared nowhere else. [`retry`] has the loops that repeat calls according to the
//! classification.

mod classify;
pub mod retry;

pub use classify::{classify, Call, Class};
