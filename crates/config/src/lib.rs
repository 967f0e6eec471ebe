//! What operators write, checked before it is used: box lists in files, and the fleet's policy.
//!
//! [`boxes`] reads a list and finds what is wrong with it; [`keeper`] decides whether and when a list that was read is
//! applied; both are pure. [`watch`] looks at a file, on a thread of its own, and hands on what the keeper lets through.
//! [`fleet_policy`] is the one document that the whole fleet decides by. [`mod@file`] reads within bounds what others write.

pub mod boxes;
pub mod file;
pub mod fleet_policy;
pub mod keeper;
pub mod watch;

pub use boxes::{AppBox, BoxList, Problem, State};
pub use watch::{ListFile, WatchOptions};
