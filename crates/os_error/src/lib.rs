//! What a failed system call means for its caller.
//!
//! Linux documents many error numbers for each call, and most callers need to know only one thing: what to do next.
//! [`classify`] says that, by the call and the error number, for all crates of the workspace; no other place compares error
//! numbers. [`retry`] holds the loops that go by it.

mod classify;
pub mod retry;

pub use classify::{classify, Call, Class};
