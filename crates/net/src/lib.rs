//! TCP sockets on the runtime's poll, for nodes that go on while system calls fail.
//!
//! The runtime's own sockets hand every error on to their user, take a short read for an empty socket, and close a socket
//! that they can't register. These go by [`magpietally_os_error::classify`] instead: interrupted calls are repeated,
//! readiness is given up only where the kernel says that there is nothing, a lack of memory or descriptors is waited out,
//! and what reaches the user is the connection's end.
//!
//! - [`Stream`]: a connection. [`connect`] makes one.
//! - [`Listener`]: accepts connections, and says what accepting lacks.
//! - [`register`]: gives a descriptor to the poll, and gives it back where that fails.

mod connect;
mod listener;
mod register;
mod stream;

pub use connect::{connect, ConnectError};
pub use listener::{listen, Accepted, Listener, Shortage};
pub use register::{register, RegisterError};
pub use stream::Stream;

#[cfg(test)]
mod tests;
