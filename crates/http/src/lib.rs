//! HTTP/1.1 around the core: clients, servers, discovery, and a node as a process.
//!
//! This crate moves bytes and makes no decisions; those are the core's. [`config`] reads the configuration
//! that the platform provides, [`run`] runs a node, and [`run_workers`] runs it on several cores. Below
//! these the modules depend on each other in one direction: `workers` → `node` → `clients`, `management` →
//! `http_transport` → `upstream`, `discovery` → `pool` → `watched_stream`. `body` streams bodies too large
//! to buffer, within `memory_budget`; `write_stall` limits how long a peer may accept nothing;
//! `request_scanner` finds the end of a client's requests; `inherited_listener` takes over the platform's
//! socket; `signals` waits for signals.

mod body;
mod clients;
pub mod config;
mod discovery;
mod handover_ids;
mod http_transport;
mod inherited_listener;
mod last_byte;
mod management;
mod memory_budget;
mod message;
mod node;
mod pool;
mod request_scanner;
mod server_list;
mod signals;
mod upstream;
mod watched_stream;
mod workers;
mod write_stall;

pub use node::{run, OperatorOptions};
pub use workers::{note_panic, run_workers};
