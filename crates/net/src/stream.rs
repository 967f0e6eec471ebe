//! A connection.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::{self, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::pin::Pin;
use std::task::{ready, Context, Poll, Waker};
use std::time::{Duration, Instant};

use magpietally_os_error::retry::{self, Interruptions};
use magpietally_os_error::{classify, Call, Class};
use socket2::SockRef;
use tokio::io::unix::{AsyncFd, AsyncFdReadyGuard};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::time::{sleep, Sleep};

use crate::register::{register, RegisterError};

/// How long a call rests that the kernel had no memory for, or that is interrupted over and over. Nothing tells when to go on.
const NO_MEMORY_REST: Duration = Duration::from_millis(2);
/// The most that is read at once.
const READ_MOST: usize = 64 * 1024;
/// How often an option is tried to be set.
const OPTION_TRIES: usize = 4;

thread_local! {
    /// What the kernel writes to, for all connections of a thread: the buffers of their users are not cleared before.
    static SCRATCH: RefCell<[u8; READ_MOST]> = const { RefCell::new([0; READ_MOST]) };
}

/// For how long errors are passed over on a connection that the kernel still knows.
const PASSED_OVER_FOR: Duration = Duration::from_secs(1);

/// What holds up one direction of a connection.
#[derive(Debug, Default)]
struct Direction {
    /// A rest after a call that lacked something.
    rest: RefCell<Option<Pin<Box<Sleep>>>>,
    /// Since when calls have ended with errors of a connection that is over, while the kernel still knows it.
    errors_since: Cell<Option<Instant>>,
}

impl Direction {
    /// May the direction be used further after an error that says that its connection is over? TCP passes on what the way to
    /// the other end reports, also where that passes (ip(7), IP_RECVERR). A connection that is over has no other end any more
    /// (getpeername(2), ENOTCONN).
    fn outlasts(&self, error: &io::Error, socket: &TcpStream) -> bool {
        if socket.peer_addr().is_err() {
            return false;
        }
        let now = Instant::now();
        let since = self.errors_since.get().unwrap_or(now);
        self.errors_since.set(Some(since));
        tracing::debug!(target: "net", "an error of a connection that is not over: {error}");
        now - since < PASSED_OVER_FOR
    }
}

/// A TCP connection on the runtime's poll. Reads and writes end with an error only where the connection is over.
#[derive(Debug)]
pub struct Stream {
    registered: AsyncFd<TcpStream>,
    /// The last read found nothing.
    drained: Cell<bool>,
    /// Since when bytes may have stood unread, as reading them failed; until a read finds nothing.
    unread_since: Cell<Option<Instant>>,
    reading: Direction,
    writing: Direction,
}

impl From<AsyncFd<TcpStream>> for Stream {
    fn from(registered: AsyncFd<TcpStream>) -> Self {
        let stream = Self {
            registered,
            drained: Cell::new(false),
            unread_since: Cell::default(),
            reading: Direction::default(),
            writing: Direction::default(),
        };
        stream.send_at_once();
        stream
    }
}

impl Stream {
    /// Registers a connection that does not block.
    ///
    /// # Errors
    /// The connection, still open, with the system's error.
    pub fn new(socket: TcpStream) -> Result<Self, RegisterError<TcpStream>> {
        register(socket).map(Self::from)
    }

    /// The same; where the poll has no room for it, it is tried again for as long as that may pass.
    ///
    /// # Errors
    /// The system's last error; the connection is closed then.
    pub async fn register(socket: TcpStream) -> io::Result<Self> {
        match Self::new(socket) {
            Ok(stream) => Ok(stream),
            Err(unregistered) => unregistered.retry().await.map(Self::from),
        }
    }

    /// Turns off Nagle's delay. A connection that can't have that is slower, and of use all the same.
    fn send_at_once(&self) {
        for _ in 0..OPTION_TRIES {
            if self.socket().set_nodelay(true).is_ok() {
                return;
            }
        }
        tracing::debug!(target: "net", "TCP_NODELAY could not be set");
    }

    fn socket(&self) -> &TcpStream {
        self.registered.get_ref()
    }

    /// Where the other end is.
    ///
    /// # Errors
    /// The system's.
    pub fn peer_address(&self) -> io::Result<SocketAddr> {
        self.socket().peer_addr()
    }

    /// Reads what there is; nothing at the connection's end.
    pub fn poll_recv(&self, cx: &mut Context<'_>, to: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let ready = |cx: &mut Context<'_>| self.registered.poll_read_ready(cx);
        let mut read = |scratch: &mut [u8; READ_MOST]| {
            let room = to.remaining().min(READ_MOST);
            let read = self.socket().read(&mut scratch[..room]);
            self.note(&read);
            let came = read?;
            to.put_slice(&scratch[..came]);
            Ok(())
        };
        poll_call(cx, &self.reading, self.socket(), ready, || SCRATCH.with_borrow_mut(&mut read))
    }

    /// Notes what a read tells of the bytes that wait.
    fn note(&self, read: &io::Result<usize>) {
        let class = read.as_ref().err().map(|error| classify(Call::Stream, error));
        self.drained.set(class == Some(Class::WaitForReadiness));
        match class {
            Some(Class::WaitForReadiness) => self.unread_since.set(None),
            Some(_) => self.mark_delayed_since(Instant::now()),
            None => {}
        }
    }

    /// Its bytes may have waited since then.
    pub fn mark_delayed_since(&self, since: Instant) {
        self.unread_since.set(Some(self.unread_since.get().map_or(since, |known| known.min(since))));
    }

    /// The bytes that still wait are not those that were delayed.
    pub fn clear_delay(&self) {
        self.unread_since.set(None);
    }

    /// Since when the bytes that were read last may have waited, where a call that failed kept them from being read.
    pub fn unread_since(&self) -> Option<Instant> {
        self.unread_since.get()
    }

    /// Writes some of these bytes; how many the kernel took.
    pub fn poll_send(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let ready = |cx: &mut Context<'_>| self.registered.poll_write_ready(cx);
        poll_call(cx, &self.writing, self.socket(), ready, || self.socket().write(bytes))
    }

    /// The same of bytes in several pieces.
    pub fn poll_send_pieces(&self, cx: &mut Context<'_>, pieces: &[IoSlice<'_>]) -> Poll<io::Result<usize>> {
        let ready = |cx: &mut Context<'_>| self.registered.poll_write_ready(cx);
        poll_call(cx, &self.writing, self.socket(), ready, || self.socket().write_vectored(pieces))
    }

    /// Did the last read find that there was nothing?
    pub fn is_drained(&self) -> bool {
        self.drained.get()
    }

    /// Nothing to read, and not closed by the other side: the kernel is asked.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit(); 1];
        let mut interruptions = Interruptions::default();
        loop {
            let Err(error) = SockRef::from(self.socket()).peek(&mut byte) else { return false };
            match interruptions.limit(classify(Call::Stream, &error)) {
                Class::TryAgain => {}
                class => return class == Class::WaitForReadiness,
            }
        }
    }

    /// The same by what the runtime knows, which costs no call and may be a turn of its loop old.
    pub fn is_quiet_cached(&self) -> bool {
        let mut nobody = Context::from_waker(Waker::noop());
        let known = self.registered.poll_read_ready(&mut nobody);
        known.is_pending() || self.is_quiet()
    }

    /// Waits until the other side has closed the connection or broken it off, whatever stands unread.
    pub async fn closed_by_peer(&self) {
        // Nobody asks the kernel for urgent bytes, so all that this waits for is the end that is told with them.
        _ = self.registered.ready(Interest::PRIORITY).await;
    }

    /// Says that nothing more will be written.
    ///
    /// # Errors
    /// The system's, as where the connection has gone.
    pub fn shutdown_write(&self) -> io::Result<()> {
        retry::interrupted(|| self.socket().shutdown(Shutdown::Write))
    }

    /// Sees to it that closing the connection resets it; false where it is broken already.
    pub fn reset_on_close(&self) -> bool {
        (0..OPTION_TRIES).any(|_| SockRef::from(self.socket()).set_linger(Some(Duration::ZERO)).is_ok())
    }
}

/// Makes a call once its descriptor is ready, and again as its errors say.
fn poll_call<'a, T>(
    cx: &mut Context<'_>,
    direction: &Direction,
    socket: &TcpStream,
    mut poll_ready: impl FnMut(&mut Context<'_>) -> Poll<io::Result<AsyncFdReadyGuard<'a, TcpStream>>>,
    mut call: impl FnMut() -> io::Result<T>,
) -> Poll<io::Result<T>> {
    if let Some(rest) = direction.rest.borrow_mut().as_mut() {
        ready!(rest.as_mut().poll(cx));
    }
    direction.rest.take();
    let mut interruptions = Interruptions::default();
    loop {
        let mut ready = ready!(poll_ready(cx))?;
        let error = match call() {
            Ok(done) => {
                direction.errors_since.set(None);
                return Poll::Ready(Ok(done));
            }
            Err(error) => error,
        };
        match interruptions.limit(classify(Call::Stream, &error)) {
            Class::TryAgain => {}
            Class::WaitForReadiness => {
                direction.errors_since.set(None);
                ready.clear_ready();
            }
            Class::ConnectionOver if !direction.outlasts(&error, socket) => return Poll::Ready(Err(error)),
            Class::Permanent => return Poll::Ready(Err(error)),
            Class::OutOfResources | Class::ConnectionOver => {
                let mut rest = Box::pin(sleep(NO_MEMORY_REST));
                if rest.as_mut().poll(cx).is_pending() {
                    *direction.rest.borrow_mut() = Some(rest);
                    return Poll::Pending;
                }
            }
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, to: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        self.poll_recv(cx, to)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_send(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.shutdown_write())
    }
}
