//! TCP connections.

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
use tokio::time::{sleep, Instant as TimerInstant, Sleep};

use crate::register::{register, RegisterError};

/// The pause after a call that failed for lack of memory or was interrupted repeatedly. The kernel does not
/// signal when such a call can succeed again.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(2);
/// The maximum number of bytes read by one call, unless [`Stream::set_read_max`] sets a lower one.
const READ_MAX_BYTES: usize = 64 * 1024;
/// The maximum number of attempts to set a socket option.
const OPTION_ATTEMPTS_MAX: usize = 4;

thread_local! {
    /// The buffer that the kernel reads into, shared by all connections of a thread, because the users'
    /// buffers may be uninitialized.
    static SCRATCH: RefCell<[u8; READ_MAX_BYTES]> = const { RefCell::new([0; READ_MAX_BYTES]) };
}

/// The interval in which a blocked write is tried again. Linux reports a full socket as writable only once a
/// third of its send buffer is free, which may take a peer that reads slowly tens of seconds, but accepts
/// bytes as soon as any of it is free.
const BLOCKED_WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// How long errors are tolerated on a connection that the kernel still reports as connected.
const TOLERATED_ERRORS_TIMEOUT: Duration = Duration::from_secs(1);

/// The state that delays one direction of a connection.
#[derive(Debug, Default)]
struct Direction {
    /// The pause after a call that lacked a resource.
    pause: RefCell<Option<Pin<Box<Sleep>>>>,
    /// The time since which calls have failed with errors that end a connection, while the kernel still
    /// reports it as connected.
    errors_since: Cell<Option<Instant>>,
}

impl Direction {
    /// Returns whether the direction may still be used after an error that usually ends the connection. TCP
    /// also reports errors of the network path, which may be temporary (ip(7), IP_RECVERR). A connection that
    /// has ended has no peer address (getpeername(2), ENOTCONN).
    fn tolerates(&self, error: &io::Error, socket: &TcpStream) -> bool {
        if socket.peer_addr().is_err() {
            return false;
        }
        let now = Instant::now();
        let since = self.errors_since.get().unwrap_or(now);
        self.errors_since.set(Some(since));
        tracing::debug!(target: "net", "temporary error on an open connection: {error}");
        now - since < TOLERATED_ERRORS_TIMEOUT
    }
}

/// A TCP connection on the runtime's poller. Reads and writes return an error only if the connection has
/// ended.
#[derive(Debug)]
pub struct Stream {
    registered: AsyncFd<TcpStream>,
    /// Whether the last read found nothing to read.
    drained: Cell<bool>,
    /// The time since which bytes may have been unread because reading failed; cleared when a read finds
    /// nothing.
    unread_since: Cell<Option<Instant>>,
    /// The maximum number of bytes read by one call.
    read_max_bytes: Cell<usize>,
    reading: Direction,
    writing: Direction,
    /// When a blocked write is tried again; `None` while no write is blocked.
    blocked_write_timer: RefCell<Option<Pin<Box<Sleep>>>>,
    /// Whether the last blocked write that was tried again succeeded: the socket accepts bytes although the
    /// poller does not report it.
    writes_unreported: Cell<bool>,
}

impl From<AsyncFd<TcpStream>> for Stream {
    fn from(registered: AsyncFd<TcpStream>) -> Self {
        let stream = Self {
            registered,
            drained: Cell::new(false),
            unread_since: Cell::default(),
            read_max_bytes: Cell::new(READ_MAX_BYTES),
            reading: Direction::default(),
            writing: Direction::default(),
            blocked_write_timer: RefCell::default(),
            writes_unreported: Cell::new(false),
        };
        stream.disable_nagle();
        stream
    }
}

impl Stream {
    /// Registers a non-blocking connection.
    ///
    /// # Errors
    /// The error of the system call, with the connection, which stays open.
    pub fn new(socket: TcpStream) -> Result<Self, RegisterError<TcpStream>> {
        register(socket).map(Self::from)
    }

    /// Like [`Stream::new`], but retries for a limited time while resources for the registration are lacking.
    ///
    /// # Errors
    /// The last error of the system call; the connection is closed in that case.
    pub async fn register(socket: TcpStream) -> io::Result<Self> {
        match Self::new(socket) {
            Ok(stream) => Ok(stream),
            Err(unregistered) => unregistered.retry().await.map(Self::from),
        }
    }

    /// Disables Nagle's algorithm. If that fails, the connection is slower but usable.
    fn disable_nagle(&self) {
        for _ in 0..OPTION_ATTEMPTS_MAX {
            if self.socket().set_nodelay(true).is_ok() {
                return;
            }
        }
        tracing::debug!(target: "net", "TCP_NODELAY could not be set");
    }

    fn socket(&self) -> &TcpStream {
        self.registered.get_ref()
    }

    /// Limits the number of bytes read by one call. A reader that sizes its buffer by what its reads return
    /// then keeps it small.
    pub fn set_read_max(&self, bytes: usize) {
        self.read_max_bytes.set(bytes.clamp(1, READ_MAX_BYTES));
    }

    /// The size of the receive buffer in bytes, as the kernel has grown it so far: more can't lie in it unread. 0
    /// if the kernel does not tell.
    pub fn receive_buffer_bytes(&self) -> usize {
        SockRef::from(self.socket()).recv_buffer_size().unwrap_or(0)
    }

    /// Returns the address of the peer.
    ///
    /// # Errors
    /// The error of the system call.
    pub fn peer_address(&self) -> io::Result<SocketAddr> {
        self.socket().peer_addr()
    }

    /// Reads available bytes; none at the end of the stream.
    pub fn poll_recv(&self, cx: &mut Context<'_>, to: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let ready = |cx: &mut Context<'_>| self.registered.poll_read_ready(cx);
        let mut read = |scratch: &mut [u8; READ_MAX_BYTES]| {
            let length = to.remaining().min(self.read_max_bytes.get());
            let result = self.socket().read(&mut scratch[..length]);
            self.record_read(&result);
            let count = result?;
            to.put_slice(&scratch[..count]);
            Ok(())
        };
        poll_call(cx, &self.reading, self.socket(), ready, || SCRATCH.with_borrow_mut(&mut read))
    }

    /// Updates the state of unread bytes after a read.
    fn record_read(&self, result: &io::Result<usize>) {
        let class = result.as_ref().err().map(|error| classify(Call::Stream, error));
        self.drained.set(class == Some(Class::WaitForReadiness));
        match class {
            Some(Class::WaitForReadiness) => self.unread_since.set(None),
            Some(_) => self.mark_delayed_since(Instant::now()),
            None => {}
        }
    }

    /// Records that bytes may have been waiting since this time.
    pub fn mark_delayed_since(&self, since: Instant) {
        self.unread_since.set(Some(self.unread_since.get().map_or(since, |known| known.min(since))));
    }

    /// Clears the time since which bytes may have been waiting: those that wait now were not delayed.
    pub fn clear_delay(&self) {
        self.unread_since.set(None);
    }

    /// Returns the time since which the bytes read last may have been waiting, if a failed call delayed
    /// reading them.
    pub fn unread_since(&self) -> Option<Instant> {
        self.unread_since.get()
    }

    /// Writes some of these bytes and returns how many the kernel accepted.
    pub fn poll_send(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_call(cx, || self.socket().write(bytes))
    }

    /// Like [`Stream::poll_send`], but for bytes in several pieces.
    pub fn poll_send_pieces(&self, cx: &mut Context<'_>, pieces: &[IoSlice<'_>]) -> Poll<io::Result<usize>> {
        self.poll_write_call(cx, || self.socket().write_vectored(pieces))
    }

    /// Makes a writing call once the poller reports the socket as writable, and also each
    /// [`BLOCKED_WRITE_INTERVAL`] while it does not.
    fn poll_write_call(
        &self,
        cx: &mut Context<'_>,
        mut write: impl FnMut() -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let ready = |cx: &mut Context<'_>| self.registered.poll_write_ready(cx);
        let mut written = poll_call(cx, &self.writing, self.socket(), ready, &mut write);
        if written.is_pending() {
            written = self.poll_blocked_write(cx, write).map(Ok);
        }
        if written.is_ready() {
            self.blocked_write_timer.take();
        }
        written
    }

    /// Tries a blocked write without waiting for readiness whenever its timer ends, and goes on writing until
    /// the kernel accepts nothing more. The poller reports errors that end the connection.
    fn poll_blocked_write(
        &self,
        cx: &mut Context<'_>,
        mut write: impl FnMut() -> io::Result<usize>,
    ) -> Poll<usize> {
        let mut timer = self.blocked_write_timer.borrow_mut();
        let timer = timer.get_or_insert_with(|| Box::pin(sleep(BLOCKED_WRITE_INTERVAL)));
        loop {
            if !self.writes_unreported.get() {
                ready!(timer.as_mut().poll(cx));
                timer.as_mut().reset(TimerInstant::now() + BLOCKED_WRITE_INTERVAL);
            }
            let written = write();
            self.writes_unreported.set(written.is_ok());
            if let Ok(count) = written {
                return Poll::Ready(count);
            }
        }
    }

    /// Returns whether the last read found nothing to read.
    pub fn is_drained(&self) -> bool {
        self.drained.get()
    }

    /// Returns whether there is nothing to read and the peer has not closed the connection, by a system call.
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

    /// Like [`Stream::is_quiet`], but first by the runtime's readiness, which costs no system call and may be
    /// one turn of the runtime's loop old.
    pub fn is_quiet_cached(&self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        let readiness = self.registered.poll_read_ready(&mut cx);
        readiness.is_pending() || self.is_quiet()
    }

    /// Waits until the peer has closed or reset the connection, regardless of unread bytes.
    pub async fn closed_by_peer(&self) {
        // No user of the socket reads urgent data, so the only event this waits for is the end of the
        // connection, which is reported together with it.
        _ = self.registered.ready(Interest::PRIORITY).await;
    }

    /// Closes the writing direction.
    ///
    /// # Errors
    /// The error of the system call, for example if the connection has ended.
    pub fn shutdown_write(&self) -> io::Result<()> {
        retry::interrupted(|| self.socket().shutdown(Shutdown::Write))
    }

    /// Makes closing the connection reset it. Returns false if the connection is already broken.
    pub fn reset_on_close(&self) -> bool {
        (0..OPTION_ATTEMPTS_MAX)
            .any(|_| SockRef::from(self.socket()).set_linger(Some(Duration::ZERO)).is_ok())
    }
}

/// Makes a call once its descriptor is ready, and repeats it according to the class of its errors.
fn poll_call<'a, T>(
    cx: &mut Context<'_>,
    direction: &Direction,
    socket: &TcpStream,
    mut poll_ready: impl FnMut(&mut Context<'_>) -> Poll<io::Result<AsyncFdReadyGuard<'a, TcpStream>>>,
    mut call: impl FnMut() -> io::Result<T>,
) -> Poll<io::Result<T>> {
    if let Some(pause) = direction.pause.borrow_mut().as_mut() {
        ready!(pause.as_mut().poll(cx));
    }
    direction.pause.take();
    let mut interruptions = Interruptions::default();
    loop {
        let mut ready = ready!(poll_ready(cx))?;
        let error = match call() {
            Ok(value) => {
                direction.errors_since.set(None);
                return Poll::Ready(Ok(value));
            }
            Err(error) => error,
        };
        match interruptions.limit(classify(Call::Stream, &error)) {
            Class::TryAgain => {}
            Class::WaitForReadiness => {
                direction.errors_since.set(None);
                ready.clear_ready();
            }
            Class::ConnectionOver if !direction.tolerates(&error, socket) => return Poll::Ready(Err(error)),
            Class::Permanent => return Poll::Ready(Err(error)),
            Class::OutOfResources | Class::ConnectionOver => {
                let mut pause = Box::pin(sleep(SHORTAGE_PAUSE));
                if pause.as_mut().poll(cx).is_pending() {
                    *direction.pause.borrow_mut() = Some(pause);
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
