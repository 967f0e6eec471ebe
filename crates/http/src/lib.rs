//! The platform's protocol round the core: HTTP/1.1 clients and servers, discovery, and a node as a process.
//!
//! Sockets in, sockets out, no decisions. [`config`] reads what the platform tells a node, [`run`] runs it. Below
//! that, arrows run one way: `service` → `clients` → `carrier` → `upstream`, `discovery` → `pool` → `sock`.

mod carrier;
mod clients;
pub mod config;
mod discovery;
mod list;
mod message;
mod pool;
mod service;
mod sock;
mod upstream;

pub use service::run;
