//! Opening connections.

use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpStream};

use magpietally_os_error::retry::{Backoff, Interruptions};
use magpietally_os_error::{classify, Call, Class};
use socket2::{Domain, Protocol, SockRef, Socket, Type};

use crate::register::register;
use crate::stream::Stream;

/// The maximum number of attempts while a local resource is lacking. The delays between them add up to 62 ms;
/// a longer shortage is better reported to the caller, who may have an alternative.
const ATTEMPTS_MAX: usize = 6;

/// Why a connection could not be opened.
#[derive(Debug)]
pub enum ConnectError {
    /// This machine lacks a descriptor, a port, a route or memory. The error says nothing about the peer.
    Local(io::Error),
    /// The peer or the network path to it failed.
    Remote(io::Error),
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Local(error) | Self::Remote(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for ConnectError {}

impl From<ConnectError> for io::Error {
    fn from(error: ConnectError) -> Self {
        match error {
            ConnectError::Local(error) | ConnectError::Remote(error) => error,
        }
    }
}

/// Opens a connection. Attempts that fail for lack of a local resource are repeated a few times.
///
/// # Errors
/// [`ConnectError::Local`] for a failure on this machine, [`ConnectError::Remote`] otherwise.
pub async fn connect(to: SocketAddr) -> Result<Stream, ConnectError> {
    let mut backoff = Backoff::default();
    let mut attempts = 0;
    loop {
        let error = match begin(to) {
            Ok(socket) => return finish(socket).await,
            Err(error) => error,
        };
        attempts += 1;
        match classify(Call::Connect, &error) {
            Class::TryAgain | Class::OutOfResources if attempts < ATTEMPTS_MAX => {
                tokio::time::sleep(backoff.next_delay()).await;
            }
            Class::TryAgain | Class::OutOfResources | Class::Permanent => {
                return Err(ConnectError::Local(error));
            }
            Class::WaitForReadiness | Class::ConnectionOver => return Err(ConnectError::Remote(error)),
        }
    }
}

/// Creates a socket and starts connecting it; it may be connected already.
fn begin(to: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
    let mut interruptions = Interruptions::default();
    while let Err(error) = socket.connect(&to.into()) {
        match interruptions.limit(classify(Call::Connect, &error)) {
            // An interrupted call may have started the connection nevertheless; the next call reports this
            // (EALREADY, EISCONN).
            Class::TryAgain => {}
            Class::WaitForReadiness => break,
            _ => return Err(error),
        }
    }
    Ok(socket.into())
}

/// Waits until a socket is connected.
async fn finish(socket: TcpStream) -> Result<Stream, ConnectError> {
    let registered = match register(socket) {
        Ok(registered) => registered,
        Err(failed) => failed.retry().await.map_err(ConnectError::Local)?,
    };
    registered.writable().await.map_err(ConnectError::Local)?.retain_ready();
    match connect_error(registered.get_ref()) {
        Ok(None) => Ok(Stream::from(registered)),
        Ok(Some(error)) => Err(ConnectError::Remote(error)),
        Err(error) => Err(ConnectError::Local(error)),
    }
}

/// Takes the error with which a connection attempt ended. A successful read clears the error; a failed call
/// has not read it, so it is repeated.
fn connect_error(socket: &TcpStream) -> io::Result<Option<io::Error>> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        match SockRef::from(socket).take_error() {
            Err(_) if attempts < ATTEMPTS_MAX => {}
            result => return result,
        }
    }
}
