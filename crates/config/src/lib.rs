//! What operators write, checked before it is used: so far box lists in files.
//!
//! [`boxes`] reads a list and finds what is wrong with it; [`keeper`] decides whether and when a list that was read is
//! applied; both are pure. [`watch`] looks at a file, on a thread of its own, and hands on what the keeper lets through.
//! [`mod@file`] reads within bounds what others write.

pub mod boxes;
pub mod file;
pub mod keeper;
pub mod watch;

pub use boxes::{AppBox, BoxList, Problem, State};
pub use watch::{ListFile, WatchOptions};
