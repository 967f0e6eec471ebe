//! What operators write, checked before it is used: box lists in files, and the fleet's policy.
//!
//! [`server_list`] reads a list and finds what is wrong with it; [`reload`] decides whether and when a list that was read is
//! applied; both are pure. [`watch`] looks at a file, on a thread of its own, and hands on what the keeper lets through.
//! [`fleet_policy`] is the one document that the whole fleet decides by. [`mod@file`] reads within bounds what others write.

pub mod file;
pub mod fleet_policy;
pub mod reload;
pub mod server_list;
pub mod watch;

pub use server_list::{AppServer, Problem, ServerList, ServerState};
pub use watch::{ServerListFile, WatchOptions};
