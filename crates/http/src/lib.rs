//! The platform's protocol round the core: HTTP/1.1 clients and servers, discovery, and a node as a process.
//!
//! Sockets in, sockets out, no decisions. [`config`] reads what the platform tells a node, [`run`] runs it, [`run_workers`] on several
//! cores. Below that, arrows run one way: `workers` → `service` → `clients`, `management` → `carrier` → `upstream`,
//! `discovery` → `pool` → `sock`. `body` passes on what is too large to hold, within `budget`; `scan` tells where a client's
//! requests end; `inherited` takes over the platform's socket; `signals` waits for signals.

mod body;
mod clients;
pub mod config;
mod discovery;
mod http_transport;
mod inherited_listener;
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

pub use node::{run, OperatorOptions};
pub use workers::{note_panic, run_workers};
