//! Connecting.

use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpStream};

use magpietally_os_error::retry::{Backoff, Interruptions};
use magpietally_os_error::{classify, Call, Class};
use socket2::{Domain, Protocol, SockRef, Socket, Type};

use crate::register::register;
use crate::stream::Stream;

/// How often a connection is tried that lacks something at this end. The pauses between come to 62 ms: a lack that lasts
/// longer is better told to the caller, who may have another way.
const TRIES: usize = 6;

/// Why there is no connection.
#[derive(Debug)]
pub enum ConnectError {
    /// This end lacks a descriptor, a port, a route, or memory. It says nothing of the other.
    Local(io::Error),
    /// The other end, or the way there.
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

/// Connects. What is lacking at this end is tried again a few times.
///
/// # Errors
/// Whose fault it is that there is no connection.
pub async fn connect(to: SocketAddr) -> Result<Stream, ConnectError> {
    let mut pauses = Backoff::default();
    let mut tries = 0;
    loop {
        let error = match begin(to) {
            Ok(socket) => return finish(socket).await,
            Err(error) => error,
        };
        tries += 1;
        match classify(Call::Connect, &error) {
            Class::TryAgain | Class::OutOfResources if tries < TRIES => {
                tokio::time::sleep(pauses.next_delay()).await;
            }
            Class::TryAgain | Class::OutOfResources | Class::Permanent => {
                return Err(ConnectError::Local(error));
            }
            Class::WaitForReadiness | Class::ConnectionOver => return Err(ConnectError::Remote(error)),
        }
    }
}

/// A socket that is connecting or connected.
fn begin(to: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
    let mut interruptions = Interruptions::default();
    while let Err(error) = socket.connect(&to.into()) {
        match interruptions.limit(classify(Call::Connect, &error)) {
            // An interrupted call may have begun the connection all the same; the next tells (EALREADY, EISCONN).
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

/// The error that a connection attempt ended with. Reading it clears it, so a call that failed has not read it.
fn connect_error(socket: &TcpStream) -> io::Result<Option<io::Error>> {
    let mut tries = 0;
    loop {
        tries += 1;
        match SockRef::from(socket).take_error() {
            Err(_) if tries < TRIES => {}
            read => return read,
        }
    }
}
