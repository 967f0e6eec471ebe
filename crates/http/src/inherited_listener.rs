//! The listening socket for clients when the platform owns it and passes it to each process.

use std::net::{SocketAddr, TcpListener};

use listenfd::ListenFd;
use magpietally_os_error::{retry, Call};
use socket2::SockRef;

use crate::node::listener_address;

/// The first descriptor that is not one of the standard streams.
const FIRST_FD: u32 = 3;

/// Takes over the listener that was inherited as descriptor `fd`. It must listen at the configured address,
/// as a node with another node's socket would serve that node's clients.
///
/// # Errors
/// One line that says what is wrong with the descriptor.
pub(crate) fn from_fd(fd: u32, expected: SocketAddr) -> Result<TcpListener, String> {
    let fail = |message: String| Err(format!("BALANCER_FD: {message}"));
    if fd < FIRST_FD {
        return fail(format!("{fd} is a standard stream, {FIRST_FD} or more is expected"));
    }
    // listenfd checks that the descriptor is an open stream socket and takes it without unsafe code here, but
    // finds it only by these variables. No other thread of this process reads the environment yet.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", fd.to_string());
    std::env::remove_var("LISTEN_PID");
    let taken = ListenFd::from_env().take_tcp_listener(0);
    std::env::remove_var("LISTEN_FDS_FIRST_FD");
    let listener = match taken {
        Ok(Some(listener)) => listener,
        Ok(None) => return fail(format!("{fd} can't be taken")),
        Err(error) => return fail(error.to_string()),
    };
    let is_listener = || SockRef::from(&listener).is_listener();
    if !retry::at_start(Call::Create, "BALANCER_FD", is_listener).is_ok_and(|listens| listens) {
        return fail(format!("{fd} does not listen"));
    }
    match listener_address(&listener) {
        // Port 0 means any port.
        Ok(actual) if actual == expected || (expected.port() == 0 && actual.ip() == expected.ip()) => {}
        Ok(actual) => return fail(format!("{fd} listens at {actual}, {expected} is expected")),
        Err(error) => return fail(format!("{fd}: {error}")),
    }
    let set_nonblocking = || listener.set_nonblocking(true);
    retry::at_start(Call::Create, "BALANCER_FD", set_nonblocking)
        .map_err(|e| format!("BALANCER_FD: {fd}: {e}"))?;
    Ok(listener)
}
