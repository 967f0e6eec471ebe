//! The clients' listening socket, where the platform holds it and every process inherits it.

use std::net::{SocketAddr, TcpListener};

use listenfd::ListenFd;
use magpietally_os_error::{retry, Call};
use socket2::SockRef;

use crate::node::listener_address;

/// The first descriptor that is not one of the standard streams.
const FIRST: u32 = 3;

/// The listener that was inherited as this descriptor. It must listen at the address that the configuration names: a
/// node that took another's socket for its own would serve another's clients.
///
/// # Errors
/// One line that says what is wrong with the descriptor.
pub(crate) fn from_fd(fd: u32, at: SocketAddr) -> Result<TcpListener, String> {
    let fail = |words: String| Err(format!("BALANCER_FD: {words}"));
    if fd < FIRST {
        return fail(format!("{fd} is a standard stream, {FIRST} or more is expected"));
    }
    // The crate checks that the descriptor is open and a stream socket, takes it without unsafe code of ours, and knows
    // it only by these names. No other thread of this process reads the environment yet.
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
    let listens = || SockRef::from(&listener).is_listener();
    if !retry::at_start(Call::Create, "BALANCER_FD", listens).is_ok_and(|listens| listens) {
        return fail(format!("{fd} does not listen"));
    }
    match listener_address(&listener) {
        // Port 0 asks for any.
        Ok(is) if is == at || (at.port() == 0 && is.ip() == at.ip()) => {}
        Ok(is) => return fail(format!("{fd} listens at {is}, {at} is expected")),
        Err(error) => return fail(format!("{fd}: {error}")),
    }
    let unblock = || listener.set_nonblocking(true);
    retry::at_start(Call::Create, "BALANCER_FD", unblock).map_err(|e| format!("BALANCER_FD: {fd}: {e}"))?;
    Ok(listener)
}
