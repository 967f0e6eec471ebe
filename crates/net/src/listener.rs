//! Listening sockets and accepting connections.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use magpietally_os_error::{classify, retry, Call, Class};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::io::unix::AsyncFd;
use tokio::time::sleep;

use crate::register::register;

/// The maximum number of connections that the kernel holds until they are accepted.
pub const BACKLOG: i32 = 1024;
/// Accepting pauses after this number of successive connections that ended before they were accepted.
const FAILED_ACCEPTS_MAX: usize = 16;
/// The length of that pause.
const FAILED_ACCEPTS_PAUSE: Duration = Duration::from_millis(1);

/// How long after a shortage the backlog may still hold connections that arrived during it. Accepting a
/// thousand connections takes less time.
const BACKLOG_DELAY_MAX: Duration = Duration::from_millis(50);

/// An accepted connection, in non-blocking mode.
#[derive(Debug)]
pub struct Accepted {
    /// The connection.
    pub socket: TcpStream,
    /// The time since which its bytes may have been waiting: accepting failed then, and the connection may
    /// have arrived already.
    pub unread_since: Option<Instant>,
}

/// A shortage of resources that prevents accepting.
#[derive(Debug)]
pub struct Shortage {
    /// The error of the system call.
    pub error: io::Error,
}

impl Shortage {
    /// Returns whether the process has reached its own limit of descriptors. Any other shortage affects the
    /// whole machine.
    pub fn is_process_descriptor_limit(&self) -> bool {
        self.error.raw_os_error() == Some(libc::EMFILE)
    }
}

/// Creates a socket that listens at an address. With `shared`, other sockets may listen there too, and the
/// kernel distributes connections among them. Shortages of resources are retried as at the start of a
/// process.
///
/// # Errors
/// The error of the system call, for example if the address is in use.
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

/// A listening socket on the runtime's poller.
#[derive(Debug)]
pub struct Listener {
    registered: AsyncFd<TcpListener>,
    delay: Mutex<Option<Delay>>,
}

/// A period in which accepting failed; the backlog has not been seen empty since.
#[derive(Clone, Copy, Debug)]
struct Delay {
    since: Instant,
    last_failed: Instant,
}

impl Listener {
    /// Registers a non-blocking listening socket. Blocks the thread while resources for the registration are
    /// lacking.
    ///
    /// # Errors
    /// The last error of the system call.
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

    /// Returns the socket.
    pub fn get_ref(&self) -> &TcpListener {
        self.registered.get_ref()
    }

    /// Returns whether the process can get another descriptor now.
    pub fn has_spare_descriptor(&self) -> bool {
        self.get_ref().try_clone().is_ok()
    }

    /// Accepts the next connection and sets it to non-blocking mode. Connections that ended before they were
    /// accepted are skipped.
    ///
    /// # Errors
    /// A shortage of resources. The connection stays in the backlog; the caller releases resources or pauses,
    /// and calls again.
    pub async fn accept(&self) -> Result<Accepted, Shortage> {
        loop {
            for _ in 0..FAILED_ACCEPTS_MAX {
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
            // If the failed connections are still in the backlog, others are waiting behind them.
            self.note_failure();
            sleep(FAILED_ACCEPTS_PAUSE).await;
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

    /// Returns the time since which connections may have been waiting in the backlog because of a shortage.
    fn delayed_since(&self) -> Option<Instant> {
        let delay = *self.delay.lock().unwrap_or_else(PoisonError::into_inner);
        let delay = delay?;
        (delay.last_failed.elapsed() < BACKLOG_DELAY_MAX).then_some(delay.since)
    }
}

fn accept_once(listener: &TcpListener) -> io::Result<TcpStream> {
    let flags = libc::SOCK_NONBLOCK | libc::SOCK_CLOEXEC;
    SockRef::from(listener).accept4(flags).map(|(socket, _)| socket.into())
}
