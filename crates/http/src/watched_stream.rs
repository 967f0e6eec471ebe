//! A TCP stream that hyper drives and that the node observes: how much of a message the kernel has accepted,
//! what has been received, and whether the peer has closed the connection.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use hyper::header::HeaderValue;
use hyper_util::rt::TokioIo;
use magpietally_core::Metrics;
use magpietally_net::Stream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::last_byte::{LastByteClock, RestOfRequest, UnreadPart};
use crate::message::BUFFERED_BODY_MAX_BYTES;
use crate::request_scanner::RequestScanner;
use crate::write_stall::{write_stall_limit, MIN_PEER_BYTES_PER_SECOND};
use progress::{MessageProgress, ResponseProgress, LAST_CHUNK};

mod progress;

/// Size of the buffer that discarded input is read into.
const LINGER_BUFFER_BYTES: usize = 16 * 1024;

/// Bytes of an upload that may be on their way from a client that has written them: the default maximum of a
/// send buffer on Linux (`tcp_wmem`).
pub const CLIENT_SEND_BUFFER_BYTES: u64 = 4 << 20;

/// Time limit for a request's head, from its first byte, or from the start of the connection for the first
/// request. Slow clients take 2 s; a client that sends no valid request must be disconnected within 3 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2700);
/// How long the node may wait for a request's body in total, before the allowance for its bytes.
const BODY_WAIT_BASE: Duration = Duration::from_millis(600);
/// Additional waiting time for each byte of the body.
const BODY_WAIT_PER_BYTE: Duration = Duration::from_nanos(1_000_000_000 / MIN_PEER_BYTES_PER_SECOND);
/// Longest single pause in a body, however fast it arrived before.
const BODY_PAUSE_MAX: Duration = Duration::from_millis(1500);

/// The state of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// Between requests.
    Idle,
    /// A request is being received.
    Reading,
    /// A request is being processed.
    Busy,
    /// Its response is being written.
    Answering,
}

/// A TCP stream with a record of what was sent and received on it.
pub struct WatchedStream {
    inner: Stream,
    sent: RefCell<MessageProgress>,
    /// The metrics that count the attempt once the kernel has accepted its last byte.
    attempt_metrics: RefCell<Option<Metrics>>,
    /// Number of bytes that the kernel has accepted, of all messages.
    sent_bytes: Cell<u64>,
    /// When the kernel last accepted bytes of the message, or the message was begun.
    last_write_at: Cell<tokio::time::Instant>,
    /// What was received since the message was begun.
    response: RefCell<ResponseProgress>,
    phase: Cell<ConnectionPhase>,
    /// When the phase began.
    phase_since: Cell<Instant>,
    /// When the request that is being received must be complete, without the allowance for the bytes of its
    /// body.
    request_due: Cell<Instant>,
    /// The value of `bytes_received` when the head of the current request was complete.
    bytes_at_head_end: Cell<Option<usize>>,
    /// Whether closing the connection now must reset it, as the message on it is incomplete.
    reset_on_close: Cell<bool>,
    /// Since when a read has been waiting for more bytes; `None` while none is.
    waiting_since: Cell<Option<Instant>>,
    /// How long the node has waited for the body of the current request, up to the latest bytes.
    body_wait: Cell<Duration>,
    /// When the latest bytes arrived.
    last_received_at: Cell<Instant>,
    /// Whether a request was taken since the client last had to be waited for.
    has_had_turn: Cell<bool>,
    /// Whether the connection is to be closed once all received requests are answered.
    closing: Cell<bool>,
    /// Whether the peer is a client whose requests are tracked.
    is_client: bool,
    /// Whether any bytes were ever received.
    received_any: Cell<bool>,
    /// Number of responses that were begun.
    responses: Cell<usize>,
    /// Number of bytes received; wraps around.
    bytes_received: Cell<usize>,
    /// Finds where a client's requests begin and end.
    scanner: RefCell<RequestScanner>,
    /// When the client may have written the last byte of its request.
    last_byte: RefCell<LastByteClock>,
    /// The id of the client's latest request, as sent.
    request_id: RefCell<Option<HeaderValue>>,
}

impl WatchedStream {
    /// Wraps a connection whose incoming requests, if any, are not tracked.
    pub fn new(stream: Stream) -> Rc<Self> {
        Self::open(stream, false)
    }

    /// Wraps a client's connection and tracks the requests on it.
    pub fn for_client(stream: Stream) -> Rc<Self> {
        Self::open(stream, true)
    }

    fn open(inner: Stream, is_client: bool) -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Self {
            inner,
            sent: RefCell::default(),
            attempt_metrics: RefCell::default(),
            sent_bytes: Cell::new(0),
            last_write_at: Cell::new(tokio::time::Instant::now()),
            response: RefCell::default(),
            phase: Cell::new(ConnectionPhase::Idle),
            phase_since: Cell::new(now),
            request_due: Cell::new(now + HEAD_TIMEOUT),
            bytes_at_head_end: Cell::new(None),
            reset_on_close: Cell::new(false),
            waiting_since: Cell::new(None),
            body_wait: Cell::new(Duration::ZERO),
            last_received_at: Cell::new(now),
            has_had_turn: Cell::new(false),
            closing: Cell::new(false),
            is_client,
            received_any: Cell::new(false),
            responses: Cell::new(0),
            bytes_received: Cell::new(0),
            scanner: RefCell::default(),
            last_byte: RefCell::default(),
            request_id: RefCell::default(),
        })
    }

    /// Starts tracking a message that is about to be written. `body_len` is the length of its body in bytes,
    /// or `None` for a chunked body, which ends with [`WatchedStream::finish_message`].
    pub fn begin_message(&self, body_len: Option<usize>) {
        let (chunked, body_len) = (body_len.is_none(), body_len.unwrap_or_default());
        *self.sent.borrow_mut() = MessageProgress { body_len, chunked, ..MessageProgress::default() };
        *self.response.borrow_mut() = ResponseProgress::default();
        self.last_write_at.set(tokio::time::Instant::now());
    }

    /// Starts tracking the request of an attempt. It is counted in `metrics` once its last byte is written,
    /// whatever its outcome.
    pub fn begin_attempt(&self, body_len: Option<usize>, metrics: Metrics) {
        self.begin_message(body_len);
        *self.attempt_metrics.borrow_mut() = Some(metrics);
    }

    /// Notes that the whole chunked body has been handed to hyper.
    pub fn finish_message(&self) {
        self.sent.borrow_mut().body_finished = true;
    }

    /// Returns whether the message is streamed instead of buffered.
    pub fn is_streaming(&self) -> bool {
        let sent = self.sent.borrow();
        sent.chunked || sent.body_len > BUFFERED_BODY_MAX_BYTES
    }

    /// Makes every close of the connection reset it until [`Self::clear_reset_on_close`]. Used where only the
    /// end of the connection delimits the message: an orderly close would make a truncated message look
    /// complete.
    pub fn set_reset_on_close(&self) {
        self.reset_on_close.set(true);
    }

    /// Allows an orderly close again, as the message is complete.
    pub fn clear_reset_on_close(&self) {
        self.reset_on_close.set(false);
    }

    /// Returns whether the connection must end with a reset, and sets the socket option for it.
    pub fn apply_reset_on_close(&self) -> bool {
        // Setting the option fails only on a socket that is already broken, which needs no reset.
        self.reset_on_close.get() && self.inner.reset_on_close()
    }

    /// Returns whether the kernel has accepted any byte of the message.
    pub fn has_sent_any(&self) -> bool {
        self.sent.borrow().started
    }

    /// Number of bytes that the kernel has accepted, of all messages on the connection.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.get()
    }

    /// How long the peer may accept nothing before it counts as one that does not read: `base`, and an
    /// allowance for what it may read unnoticed.
    pub fn write_stall_limit(&self, base: Duration) -> Duration {
        write_stall_limit(base, self.sent_bytes.get())
    }

    /// Waits until the kernel has accepted no bytes of the message for [`Self::write_stall_limit`].
    pub async fn write_stalled(&self, base: Duration) {
        loop {
            let last_write_at = self.last_write_at.get();
            tokio::time::sleep_until(last_write_at + self.write_stall_limit(base)).await;
            if last_write_at == self.last_write_at.get() {
                return;
            }
        }
    }

    /// Returns whether any byte was received since the message was begun.
    pub fn has_response_started(&self) -> bool {
        self.response.borrow().message.started
    }

    /// Returns whether the kernel has accepted the last byte of the message.
    pub fn is_message_sent(&self) -> bool {
        self.sent.borrow().is_complete()
    }

    /// The state of a client's connection, and when it was entered.
    pub fn phase(&self) -> (ConnectionPhase, Instant) {
        (self.phase.get(), self.phase_since.get())
    }

    pub fn enter_phase(&self, phase: ConnectionPhase) {
        self.phase.set(phase);
        self.phase_since.set(Instant::now());
        if phase == ConnectionPhase::Answering {
            self.responses.set(self.responses.get() + 1);
            // Bytes that are still unread do not belong to this request.
            self.inner.clear_delay();
        }
    }

    /// Notes that the head of the next request is complete, and returns whether the request's end is
    /// unambiguous. A request with both a length and a transfer coding allows request smuggling: what is body
    /// by one of them is the next request by the other. hyper drops a length that follows a transfer coding
    /// before the service sees it.
    pub fn finish_request_head(&self) -> bool {
        self.bytes_at_head_end.set(Some(self.bytes_received.get()));
        self.request_due.set(self.request_due.get().max(Instant::now() + BODY_WAIT_BASE));
        self.body_wait.set(Duration::ZERO);
        let is_unambiguous = self.scanner.borrow_mut().next_is_unambiguous();
        self.note_request_end();
        is_unambiguous
    }

    /// Gives other tasks and the poller a turn before each request that arrived together with the one before
    /// it. hyper would process 16 of them in a row and be scheduled again before the poller is asked, and the
    /// end of a connection that the response before revealed would be seen after the next request was sent.
    pub async fn wait_for_turn(&self) {
        if self.has_had_turn.replace(true) {
            tokio::task::yield_now().await;
        }
    }

    /// Stores the id of the request whose head is complete: a copy, as the header shares the whole buffer that
    /// the head was read into.
    pub fn set_request_id(&self, id: Option<&HeaderValue>) {
        *self.request_id.borrow_mut() = id.and_then(|id| HeaderValue::from_bytes(id.as_bytes()).ok());
    }

    /// The id of the latest request.
    pub fn request_id(&self) -> Option<HeaderValue> {
        self.request_id.borrow().clone()
    }

    /// Notes that the last byte of a streamed request was received.
    pub fn finish_request_body(&self) {
        if self.phase.get() == ConnectionPhase::Reading {
            self.enter_phase(ConnectionPhase::Busy);
        }
    }

    /// Returns whether the last byte of the current request has been read. It may still have to be consumed, while
    /// the request waits for memory or its server reads nothing.
    pub fn has_received_request(&self) -> bool {
        self.bytes_at_head_end.get().is_some() && self.scanner.borrow().is_request_complete()
    }

    /// Returns whether the request that is being received has exceeded its time limits.
    pub fn is_request_overdue(&self) -> bool {
        let now = Instant::now();
        if self.phase.get() != ConnectionPhase::Reading {
            return false;
        }
        let Some(head_end) = self.bytes_at_head_end.get() else { return now >= self.request_due.get() };
        if self.has_received_request() {
            return false;
        }
        // A server that reads an upload slowly throttles the client, so only the node's own waits for the
        // client count.
        let wait = self.waiting_since.get().map_or(Duration::ZERO, |since| now - since);
        let body_bytes = u32::try_from(self.bytes_received.get().wrapping_sub(head_end)).unwrap_or(u32::MAX);
        let slow =
            self.body_wait.get() + wait > BODY_WAIT_BASE + BODY_WAIT_PER_BYTE.saturating_mul(body_bytes);
        wait >= BODY_PAUSE_MAX || (slow && now >= self.request_due.get())
    }

    /// What is known of the part of the client's request that the node has not read. Asks the kernel.
    pub fn rest_of_request(&self) -> RestOfRequest {
        let unread = UnreadPart {
            any: !self.is_quiet(),
            missing_bytes_min: self.scanner.borrow().missing_bytes_min(),
            buffered_bytes_max: CLIENT_SEND_BUFFER_BYTES + self.inner.receive_buffer_bytes() as u64,
        };
        self.last_byte.borrow_mut().update(tokio::time::Instant::now().into_std(), unread)
    }

    /// When the client may have written the last byte of its request, which is not known to have more.
    pub fn request_written_at(&self) -> Instant {
        self.last_byte.borrow().may_be_written_since().unwrap_or_else(|| self.last_received_at.get())
    }

    /// How much of the current request has been read, and what is known of the rest, for a log line.
    pub fn describe_request(&self) -> String {
        let rest = self.rest_of_request();
        let (missing, waited) =
            (self.scanner.borrow().missing_bytes_min(), self.request_written_at().elapsed().as_millis());
        let body_bytes = self
            .bytes_at_head_end
            .get()
            .map_or(0, |head_end| self.bytes_received.get().wrapping_sub(head_end));
        format!("{body_bytes} bytes read behind the head, {missing} or more missing, rest {rest:?}, client may be waiting for {waited} ms")
    }

    /// Returns whether any bytes were ever received on the connection.
    pub fn has_received_any(&self) -> bool {
        self.received_any.get()
    }

    /// Number of responses that were begun on the connection.
    pub fn responses_started(&self) -> usize {
        self.responses.get()
    }

    /// When the time of the current request, which is complete, begins: when its client may have written the last
    /// byte, however slowly it was sent. Where a failed system call delayed reading, this is the earliest time at
    /// which the bytes may have arrived. A pipelined request was read together with the one before it, so its time
    /// counts from now.
    pub fn request_arrived_at(&self) -> Instant {
        if self.phase.get() == ConnectionPhase::Reading {
            self.request_written_at().max(self.phase_since.get())
        } else {
            Instant::now()
        }
    }

    /// The earliest time at which the bytes that are being read may have arrived.
    fn last_read_arrived_at(&self) -> Instant {
        self.inner.unread_since().unwrap_or_else(Instant::now)
    }

    /// Notes that the connection is to be closed with a response, once no further request has been received.
    pub fn close_after_received_requests(&self) {
        self.closing.set(true);
    }

    /// Returns whether the response about to begin is the connection's last one: it is to be closed, and nothing
    /// of another request has arrived. A request that has arrived and is never answered would be lost.
    pub fn closes_with_this_response(&self) -> bool {
        self.closing.get() && !self.scanner.borrow().has_next_request() && self.has_no_unread_bytes()
    }

    /// Returns whether there is nothing to read and the peer has not closed the connection. Asks the kernel,
    /// as the runtime's readiness may be one iteration of its event loop old.
    pub fn is_quiet(&self) -> bool {
        self.inner.is_quiet()
    }

    /// Like [`Self::is_quiet`], but by the runtime's readiness, which costs no system call and may be one
    /// iteration of the event loop old.
    pub fn is_quiet_cached(&self) -> bool {
        self.inner.is_quiet_cached()
    }

    /// Returns whether nothing follows what was read last: the last read found nothing, or the kernel says
    /// so.
    pub fn has_no_unread_bytes(&self) -> bool {
        self.inner.is_drained() || self.is_quiet()
    }

    /// Lingering close: shuts down the write side, then reads and discards until the peer closes. Closing a
    /// socket with unread bytes resets it, and the reset can overtake the response.
    pub async fn linger(&self) {
        // Input is discarded even if the shutdown fails.
        let _ = self.inner.shutdown_write();
        // On the heap: inside the future it would enlarge the task for its whole lifetime.
        let mut buffer = vec![0; LINGER_BUFFER_BYTES];
        let mut read = |cx: &mut Context<'_>| {
            let mut buf = ReadBuf::new(&mut buffer);
            let received = ready!(self.inner.poll_recv(cx, &mut buf));
            Poll::Ready(received.map(|()| buf.filled().len()))
        };
        while std::future::poll_fn(&mut read).await.is_ok_and(|received| received > 0) {}
    }

    /// Waits until the peer has closed or reset the connection, also with unread bytes ahead of the end: a
    /// reader that has stopped would not see an end behind them. Reads nothing, and makes no system call
    /// until the runtime reports the event.
    pub async fn closed_by_peer(&self) {
        self.inner.closed_by_peer().await;
    }

    /// Returns whether exactly one response was received: a head with a body of `body_len` bytes, or with
    /// chunks up to the last one if `chunked`. Surplus bytes would be taken for the response to the next
    /// request.
    pub fn received_exactly(&self, body_len: usize, chunked: bool) -> bool {
        let response = self.response.borrow();
        let received = response.message.body_left.map(|left| usize::MAX - left);
        if chunked {
            received.is_some() && response.last_bytes == LAST_CHUNK
        } else {
            received == Some(body_len)
        }
    }

    fn on_read(&self, bytes: &[u8]) {
        self.response.borrow_mut().on_received(bytes);
        if bytes.is_empty() || !self.is_client {
            return;
        }
        let now = Instant::now();
        let received_at = self.last_read_arrived_at();
        self.last_received_at.set(received_at);
        if let Some(since) = self.waiting_since.take() {
            self.body_wait.set(self.body_wait.get() + (now - since));
        }
        if self.phase.get() == ConnectionPhase::Idle {
            self.begin_request(self.received_any.replace(true));
            self.phase_since.set(received_at);
        }
        self.bytes_received.set(self.bytes_received.get().wrapping_add(bytes.len()));
        self.last_byte.borrow_mut().read(received_at, bytes.len());
        self.scanner.borrow_mut().scan(bytes);
        self.note_request_end();
    }

    /// Notes whether the last byte of the request has been read.
    fn note_request_end(&self) {
        if self.scanner.borrow().is_between_requests() || self.has_received_request() {
            self.last_byte.borrow_mut().finish();
        }
    }

    /// Notes that a request begins to arrive. `later` tells whether it follows another on the connection.
    fn begin_request(&self, later: bool) {
        self.enter_phase(ConnectionPhase::Reading);
        self.last_byte.borrow_mut().begin();
        self.bytes_at_head_end.set(None);
        if later {
            self.request_due.set(self.phase_since.get() + HEAD_TIMEOUT);
        }
    }

    fn on_written(&self, bytes: &[u8]) {
        self.sent.borrow_mut().on_sent(bytes);
        self.sent_bytes.set(self.sent_bytes.get() + bytes.len() as u64);
        self.last_write_at.set(tokio::time::Instant::now());
        if self.is_message_sent() {
            if let Some(metrics) = self.attempt_metrics.take() {
                metrics.count_upstream_try();
            }
        }
        if self.phase.get() != ConnectionPhase::Answering {
            return;
        }
        // Every write restarts the timeout: the peer has read some of what was written before.
        self.phase_since.set(Instant::now());
        if self.is_message_sent() {
            // A pipelined request may be incomplete; the connection is not idle then.
            if self.scanner.borrow().has_next_request() {
                self.begin_request(true);
            } else {
                self.enter_phase(ConnectionPhase::Idle);
            }
        }
    }
}

impl Drop for WatchedStream {
    fn drop(&mut self) {
        self.apply_reset_on_close();
    }
}

/// A watched stream as hyper's I/O type.
pub type HyperIo = TokioIo<HyperStream>;

/// The adapter through which hyper reads and writes; it records both.
pub struct HyperStream(Rc<WatchedStream>);

/// Wraps a watched stream for hyper.
pub fn hyper_io(stream: Rc<WatchedStream>) -> HyperIo {
    TokioIo::new(HyperStream(stream))
}

impl AsyncRead for HyperStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let stream = &self.0;
        let before = buf.filled().len();
        let polled = stream.inner.poll_recv(cx, buf);
        if polled.is_pending() && stream.is_client {
            // A call that failed, or a task that has used up its turn, says nothing about what is there.
            if stream.inner.is_drained() {
                stream.last_byte.borrow_mut().found_nothing(Instant::now());
            }
            if stream.waiting_since.get().is_none() {
                stream.waiting_since.set(Some(Instant::now()));
            }
            if !stream.scanner.borrow().has_next_request() {
                stream.has_had_turn.set(false);
            }
        }
        ready!(polled)?;
        stream.on_read(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for HyperStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let stream = &self.0;
        let written = ready!(stream.inner.poll_send(cx, buf))?;
        stream.on_written(&buf[..written]);
        Poll::Ready(Ok(written))
    }

    // With vectored writes, hyper queues buffers instead of copying them into one that every connection would
    // keep.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = &self.0;
        let written = ready!(stream.inner.poll_send_pieces(cx, bufs))?;
        let mut left = written;
        for buf in bufs {
            let part = left.min(buf.len());
            if part > 0 {
                stream.on_written(&buf[..part]);
            }
            left -= part;
        }
        Poll::Ready(Ok(written))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.0.inner.shutdown_write())
    }
}
