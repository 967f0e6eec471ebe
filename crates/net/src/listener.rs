//! Listening and accepting.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use magpietally_os_error::{classify, retry, Call, Class};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::io::unix::AsyncFd;
use tokio::time::sleep;

use crate::register::register;

/// Connections that the kernel may hold until they are accepted.
const BACKLOG: i32 = 1024;
/// After so many connections in a row that were over before they were accepted, accepting rests.
const FAILED_IN_A_ROW: usize = 16;
/// For how long.
const FAILED_REST: Duration = Duration::from_millis(1);

/// How long after a shortage the backlog may still hold connections that came during it. A thousand are accepted within less.
const CAUGHT_UP_WITHIN: Duration = Duration::from_millis(50);

/// A connection that was accepted, and does not block.
#[derive(Debug)]
pub struct Accepted {
    /// The connection.
    pub socket: TcpStream,
    /// Its bytes may have waited since then: accepting had failed by that time, and this one may have come already.
    pub unread_since: Option<Instant>,
}

/// What accepting lacks.
#[derive(Debug)]
pub struct Shortage {
    /// The system's word.
    pub error: io::Error,
}

impl Shortage {
    /// Has the process as many descriptors as it may have? Anything else is short for the whole machine.
    pub fn is_process_descriptor_limit(&self) -> bool {
        self.error.raw_os_error() == Some(libc::EMFILE)
    }
}

/// A socket that listens at an address; `shared` lets others listen there, too, between which the kernel spreads connections.
/// What it needs may be missing for a moment.
///
/// # Errors
/// The system's, as where the address is another's.
pub fn listen(at: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    retry::at_start(Call::Create, "listen", || listen_once(at, shared))
}

fn listen_once(at: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(shared)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// A listening socket on the runtime's poll.
#[derive(Debug)]
pub struct Listener {
    registered: AsyncFd<TcpListener>,
    delay: Mutex<Option<Delay>>,
}

/// A time in which accepting failed, and the backlog has not been seen empty since.
#[derive(Clone, Copy, Debug)]
struct Delay {
    since: Instant,
    last_failed: Instant,
}

impl Listener {
    /// Registers a socket that listens and does not block. Blocks the thread while the poll has no room for it.
    ///
    /// # Errors
    /// The system's last word.
    pub fn new(listener: TcpListener) -> io::Result<Self> {
        let mut socket = Some(listener);
        let registered = retry::at_start(Call::Create, "registration of a listener", || {
            let listener = socket.take().ok_or_else(|| io::Error::other("no listener"))?;
            register(listener).map_err(|failed| {
                socket = Some(failed.inner);
                failed.error
            })
        })?;
        Ok(Self { registered, delay: Mutex::default() })
    }

    /// The socket.
    pub fn get_ref(&self) -> &TcpListener {
        self.registered.get_ref()
    }

    /// Can this process have one descriptor more right now?
    pub fn has_spare_descriptor(&self) -> bool {
        self.get_ref().try_clone().is_ok()
    }

    /// The next connection, which does not block. A connection that was over before it was accepted is passed over.
    ///
    /// # Errors
    /// What accepting lacks. The connection stays in the backlog; the caller makes room or pauses, and calls again.
    pub async fn accept(&self) -> Result<Accepted, Shortage> {
        loop {
            for _ in 0..FAILED_IN_A_ROW {
                let mut ready = self.registered.readable().await.map_err(|error| Shortage { error })?;
                let error = match accept_once(self.registered.get_ref()) {
                    Ok(socket) => return Ok(Accepted { socket, unread_since: self.delayed_since() }),
                    Err(error) => error,
                };
                match classify(Call::Accept, &error) {
                    Class::TryAgain | Class::ConnectionOver => {}
                    Class::WaitForReadiness => {
                        self.set_delay(None);
                        ready.clear_ready();
                    }
                    Class::OutOfResources | Class::Permanent => {
                        self.note_failure();
                        return Err(Shortage { error });
                    }
                }
            }
            // Where they were not taken out of the backlog, others wait behind them.
            self.note_failure();
            sleep(FAILED_REST).await;
        }
    }

    fn note_failure(&self) {
        let last_failed = Instant::now();
        let since = self.delayed_since().unwrap_or(last_failed);
        self.set_delay(Some(Delay { since, last_failed }));
    }

    fn set_delay(&self, delay: Option<Delay>) {
        *self.delay.lock().unwrap_or_else(PoisonError::into_inner) = delay;
    }

    /// Since when connections may have waited in the backlog, where a shortage kept them there.
    fn delayed_since(&self) -> Option<Instant> {
        let delay = *self.delay.lock().unwrap_or_else(PoisonError::into_inner);
        let delay = delay?;
        (delay.last_failed.elapsed() < CAUGHT_UP_WITHIN).then_some(delay.since)
    }
}

fn accept_once(listener: &TcpListener) -> io::Result<TcpStream> {
    let flags = libc::SOCK_NONBLOCK | libc::SOCK_CLOEXEC;
    SockRef::from(listener).accept4(flags).map(|(socket, _)| socket.into())
}
