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
pub enum DialError {
    /// This end lacks a descriptor, a port, a route, or memory. It says nothing of the other.
    Lacking(io::Error),
    /// The other end, or the way there.
    Failed(io::Error),
}

impl fmt::Display for DialError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lacking(error) | Self::Failed(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for DialError {}

impl From<DialError> for io::Error {
    fn from(error: DialError) -> Self {
        match error {
            DialError::Lacking(error) | DialError::Failed(error) => error,
        }
    }
}

/// Connects. What is lacking at this end is tried again a few times.
///
/// # Errors
/// Whose fault it is that there is no connection.
pub async fn connect(to: SocketAddr) -> Result<Stream, DialError> {
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
                return Err(DialError::Lacking(error));
            }
            Class::WaitForReadiness | Class::ConnectionOver => return Err(DialError::Failed(error)),
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
async fn finish(socket: TcpStream) -> Result<Stream, DialError> {
    let registered = match register(socket) {
        Ok(registered) => registered,
        Err(failed) => failed.retry().await.map_err(DialError::Lacking)?,
    };
    registered.writable().await.map_err(DialError::Lacking)?.retain_ready();
    match connect_error(registered.get_ref()) {
        Ok(None) => Ok(Stream::from(registered)),
        Ok(Some(error)) => Err(DialError::Failed(error)),
        Err(error) => Err(DialError::Lacking(error)),
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
