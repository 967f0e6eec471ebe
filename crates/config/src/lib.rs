//! The files that operators write, checked before use: server lists and the fleet's policy.
//!
//! [`server_list`] parses a list and reports its problems; [`reload`] decides whether and when a list is
//! applied. Both do no I/O. [`watch`] checks a list's file on a dedicated thread and publishes the lists that
//! are applied. [`fleet_policy`] is the document that the whole fleet decides by. [`mod@file`] reads files of
//! other programs with a limit on their size.

pub mod file;
pub mod fleet_policy;
pub mod reload;
pub mod server_list;
pub mod watch;

pub use server_list::{AppServer, Problem, ServerList, ServerState};
pub use watch::{ServerListFile, WatchOptions};
