//! TCP sockets on the async runtime's poller, for nodes that continue while system calls fail.
//!
//! The runtime's own sockets pass every error to their user, interpret a short read as an empty socket, and
//! close a socket that can't be registered. The sockets here follow [`magpietally_os_error::classify`]
//! instead: interrupted calls are repeated, readiness is cleared only when the kernel reports that there is
//! nothing to do, shortages of memory or descriptors are waited out, and the user only gets errors that end
//! the connection.
//!
//! - [`Stream`]: a connection. [`connect`] opens one.
//! - [`Listener`]: accepts connections and reports shortages of resources.
//! - [`register`]: registers a descriptor with the poller, and returns the descriptor if that fails.

mod connect;
mod listener;
mod register;
mod stream;

pub use connect::{connect, ConnectError};
pub use listener::{listen, Accepted, Listener, Shortage, BACKLOG};
pub use register::{register, RegisterError};
pub use stream::Stream;

#[cfg(test)]
mod tests;
