//! A TCP socket that hyper drives and that we can watch: what the kernel took of a message, and whether the
//! other side has closed.

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

use crate::message::BUFFERED_BODY_MAX_BYTES;
use crate::request_scanner::RequestScanner;
use progress::{Back, Progress, LAST_CHUNK};

mod progress;

/// How much is read at once of what nobody wants.
const SINK: usize = 16 * 1024;

/// How long a request's head may take to come whole, from its first byte on; that of a new connection from the
/// connection's start. Slow clients take 2 s; who sends no proper request is owed an end within 3 s.
const HEAD_WITHIN: Duration = Duration::from_millis(2700);
/// How long a body may then keep the node waiting in all ...
const BODY_WAIT: Duration = Duration::from_millis(600);
/// ... and how much longer for each byte of it: slow clients send 64 kB a second.
const BODY_BYTE: Duration = Duration::from_nanos(1_000_000_000 / 48_000);
/// How long it may keep the node waiting at a time, however fast it came before.
const BODY_PAUSE: Duration = Duration::from_millis(1500);

/// What a client's connection is in the middle of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// Between requests.
    Idle,
    /// A request has begun to come.
    Reading,
    /// A request is being served.
    Busy,
    /// Its answer is on its way out.
    Answering,
}

/// A watched socket.
pub struct WatchedStream {
    stream: Stream,
    out: RefCell<Progress>,
    /// Where it is counted when the message's last byte is written.
    counted: RefCell<Option<Metrics>>,
    /// When the kernel last took any of it, or it was begun.
    took_at: Cell<tokio::time::Instant>,
    /// What came back since the message was begun.
    back: RefCell<Back>,
    phase: Cell<ConnectionPhase>,
    /// When the phase began.
    since: Cell<Instant>,
    /// By when a request that is coming must be whole, but for the time that the bytes of its body may take.
    due: Cell<Instant>,
    /// How much had come when the present request's head was whole.
    head_came: Cell<Option<usize>>,
    /// What it is told is not whole, and may never be.
    breaks: Cell<bool>,
    /// Since when the node has been waiting for more, where nobody keeps it from reading.
    waits: Cell<Option<Instant>>,
    /// For how long it has waited for the present request's body, up to the latest bytes.
    waited: Cell<Duration>,
    /// When the latest bytes came.
    heard: Cell<Instant>,
    /// A client's connection.
    serves: bool,
    /// Anything ever came.
    spoke: Cell<bool>,
    /// How many requests have been answered, or are being.
    answers: Cell<usize>,
    /// How many bytes came.
    came: Cell<usize>,
    /// Where a client's requests begin and end.
    scan: RefCell<RequestScanner>,
    /// The id of a client's latest request, as it sent it.
    request: RefCell<Option<HeaderValue>>,
}

impl WatchedStream {
    /// Takes over a connection.
    pub fn new(stream: Stream) -> Rc<Self> {
        Self::open(stream, false)
    }

    /// Takes over the connection of a client, whose requests are watched.
    pub fn for_client(stream: Stream) -> Rc<Self> {
        Self::open(stream, true)
    }

    fn open(stream: Stream, serves: bool) -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Self {
            stream,
            out: RefCell::default(),
            counted: RefCell::default(),
            took_at: Cell::new(tokio::time::Instant::now()),
            back: RefCell::default(),
            phase: Cell::new(ConnectionPhase::Idle),
            since: Cell::new(now),
            due: Cell::new(now + HEAD_WITHIN),
            head_came: Cell::new(None),
            breaks: Cell::new(false),
            waits: Cell::new(None),
            waited: Cell::new(Duration::ZERO),
            heard: Cell::new(now),
            serves,
            spoke: Cell::new(false),
            answers: Cell::new(0),
            came: Cell::new(0),
            scan: RefCell::default(),
            request: RefCell::default(),
        })
    }

    /// A message with so long a body is about to be written; `None`: in chunks, until [`WatchedStream::finish_message`].
    pub fn begin_message(&self, body: Option<usize>) {
        let (chunked, body) = (body.is_none(), body.unwrap_or_default());
        *self.out.borrow_mut() = Progress { body, chunked, ..Progress::default() };
        *self.back.borrow_mut() = Back::default();
        self.took_at.set(tokio::time::Instant::now());
    }

    /// The same of an attempt, which counts once its last byte is written, whatever becomes of it then.
    pub fn begin_attempt(&self, body: Option<usize>, figures: Metrics) {
        self.begin_message(body);
        *self.counted.borrow_mut() = Some(figures);
    }

    /// The message's body has been handed on to its last byte.
    pub fn finish_message(&self) {
        self.out.borrow_mut().ended = true;
    }

    /// Is the message passed on as it comes?
    pub fn is_streaming(&self) -> bool {
        let out = self.out.borrow();
        out.chunked || out.body > BUFFERED_BODY_MAX_BYTES
    }

    /// Nothing but the connection's end tells who reads the message where it ends: until it is whole the connection is to end
    /// by a reset, whoever ends it.
    pub fn set_reset_on_close(&self) {
        self.breaks.set(true);
    }

    /// It is whole, and may end in order.
    pub fn clear_reset_on_close(&self) {
        self.breaks.set(false);
    }

    /// Is it to end by a reset? Then that is seen to.
    pub fn apply_reset_on_close(&self) -> bool {
        // Where the socket is broken already, it is broken.
        self.breaks.get() && self.stream.reset_on_close()
    }

    /// Has the kernel taken any byte of the message?
    pub fn has_sent_any(&self) -> bool {
        self.out.borrow().any
    }

    /// Waits until the kernel has taken nothing of the message for so long.
    pub async fn write_stalled_for(&self, span: Duration) {
        loop {
            let end = self.took_at.get() + span;
            tokio::time::sleep_until(end).await;
            if end == self.took_at.get() + span {
                return;
            }
        }
    }

    /// Has any byte come back?
    pub fn has_response_started(&self) -> bool {
        self.back.borrow().head.any
    }

    /// Has the kernel taken the message's last byte?
    pub fn is_message_sent(&self) -> bool {
        self.out.borrow().whole()
    }

    /// What a client's connection is in the middle of, and since when.
    pub fn phase(&self) -> (ConnectionPhase, Instant) {
        (self.phase.get(), self.since.get())
    }

    /// Enters a phase.
    pub fn enter_phase(&self, phase: ConnectionPhase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
        if phase == ConnectionPhase::Answering {
            self.answers.set(self.answers.get() + 1);
            // What still waits is not of this request.
            self.stream.caught_up();
        }
    }

    /// The head of the next request is whole; what still comes is its body. Is it clear where the request ends? One with a
    /// length and a transfer coding may hide another in its body: what is the body by the one is the next request by the
    /// other. hyper drops a length that stands behind a transfer coding before anyone can see it.
    pub fn finish_request_head(&self) -> bool {
        self.head_came.set(Some(self.came.get()));
        self.due.set(self.due.get().max(Instant::now() + BODY_WAIT));
        self.waited.set(Duration::ZERO);
        self.scan.borrow_mut().next()
    }

    /// Notes the id of the request whose head is whole.
    pub fn set_request_id(&self, id: Option<HeaderValue>) {
        *self.request.borrow_mut() = id;
    }

    /// The id of the latest request.
    pub fn request_id(&self) -> Option<HeaderValue> {
        self.request.borrow().clone()
    }

    /// The last byte of a request that is passed on while it comes has come.
    pub fn finish_request_body(&self) {
        if self.phase.get() == ConnectionPhase::Reading {
            self.enter_phase(ConnectionPhase::Busy);
        }
    }

    /// Has the request that is coming taken too long?
    pub fn is_request_overdue(&self) -> bool {
        let now = Instant::now();
        if self.phase.get() != ConnectionPhase::Reading {
            return false;
        }
        let Some(head) = self.head_came.get() else { return now >= self.due.get() };
        // One that is passed on may have come whole before anyone takes its last bytes: it waits for a server.
        if self.scan.borrow().whole() {
            return false;
        }
        // A server that takes an upload slowly holds its client back: only the node's own waits count.
        let wait = self.waits.get().map_or(Duration::ZERO, |since| now - since);
        let bytes = u32::try_from(self.came.get().wrapping_sub(head)).unwrap_or(u32::MAX);
        let slow = self.waited.get() + wait > BODY_WAIT + BODY_BYTE.saturating_mul(bytes);
        wait >= BODY_PAUSE || (slow && now >= self.due.get())
    }

    /// Has anything ever come?
    pub fn has_received_any(&self) -> bool {
        self.spoke.get()
    }

    /// How many requests have been answered, or are being.
    pub fn responses_started(&self) -> usize {
        self.answers.get()
    }

    /// When the last bytes of the present request came: that is when its time begins, however slowly it was sent. Where a call
    /// that failed kept them from being read, that is when they may have come at the earliest. One that came right behind
    /// another was read with it; its time counts from now.
    pub fn request_arrived_at(&self) -> Instant {
        if self.phase.get() == ConnectionPhase::Reading {
            self.heard.get().max(self.since.get())
        } else {
            Instant::now()
        }
    }

    /// When the bytes that were read last may have come, at the earliest.
    pub fn last_read_arrived_at(&self) -> Instant {
        self.stream.unread_since().unwrap_or_else(Instant::now)
    }

    /// Nothing to read, and not closed by the other side. Asks the kernel, as what the runtime knows may be
    /// a turn of its loop old.
    pub fn is_quiet(&self) -> bool {
        self.stream.is_quiet()
    }

    /// The same by what the runtime knows, which costs no call to the kernel and may be a turn of its loop old.
    pub fn is_quiet_cached(&self) -> bool {
        self.stream.seems_quiet()
    }

    /// Nothing behind what was read last: the last read found nothing, or the kernel is asked.
    pub fn has_no_unread_bytes(&self) -> bool {
        self.stream.is_drained() || self.is_quiet()
    }

    /// Says that nothing more will be written, and reads what still comes until the other side closes.
    /// Closing a socket with unread bytes resets it, and the reset can overtake the answer.
    pub async fn linger(&self) {
        // Where that can't be said, what comes is read all the same.
        let _ = self.stream.shutdown_write();
        // Not part of the task, which would be as much larger all its life.
        let mut sink = vec![0; SINK];
        let mut read = |cx: &mut Context<'_>| {
            let mut buf = ReadBuf::new(&mut sink);
            let came = ready!(self.stream.poll_recv(cx, &mut buf));
            Poll::Ready(came.map(|()| buf.filled().len()))
        };
        while std::future::poll_fn(&mut read).await.is_ok_and(|came| came > 0) {}
    }

    /// Waits until a client has closed its connection or broken it off, whatever it left unread: whoever reads a message
    /// may have stopped, and would not see the end behind more bytes. Reads nothing, and looks at nothing until the
    /// runtime has word of it.
    pub async fn closed_by_peer(&self) {
        self.stream.closed_by_peer().await;
    }

    /// Was what came back one head and a body of this length as it stands, or else chunks up to the last? More
    /// than that would be taken for the answer to the next request.
    pub fn received_exactly(&self, body: usize, chunked: bool) -> bool {
        let back = self.back.borrow();
        let came = back.head.left.map(|left| usize::MAX - left);
        if chunked {
            came.is_some() && back.last == LAST_CHUNK
        } else {
            came == Some(body)
        }
    }

    fn read(&self, came: &[u8]) {
        self.back.borrow_mut().came(came);
        if came.is_empty() || !self.serves {
            return;
        }
        let now = Instant::now();
        let heard = self.last_read_arrived_at();
        self.heard.set(heard);
        if let Some(since) = self.waits.take() {
            self.waited.set(self.waited.get() + (now - since));
        }
        if self.phase.get() == ConnectionPhase::Idle {
            self.coming(self.spoke.replace(true));
            self.since.set(heard);
        }
        self.came.set(self.came.get().wrapping_add(came.len()));
        self.scan.borrow_mut().came(came);
    }

    /// A request begins to come, the first of its connection or a later one.
    fn coming(&self, later: bool) {
        self.enter_phase(ConnectionPhase::Reading);
        self.head_came.set(None);
        if later {
            self.due.set(self.since.get() + HEAD_WITHIN);
        }
    }

    fn took(&self, bytes: &[u8]) {
        self.out.borrow_mut().took(bytes);
        self.took_at.set(tokio::time::Instant::now());
        if self.is_message_sent() {
            if let Some(figures) = self.counted.take() {
                figures.count_upstream_try();
            }
        }
        if self.phase.get() != ConnectionPhase::Answering {
            return;
        }
        // A reader that is slow is one that still reads.
        self.since.set(Instant::now());
        if self.is_message_sent() {
            // What came ahead is the next request: half of one must not pass for an idle connection.
            if self.scan.borrow().ahead() {
                self.coming(true);
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

/// hyper's side of a watched socket.
pub type HyperIo = TokioIo<HyperStream>;

/// What hyper reads and writes, with a look at it.
pub struct HyperStream(Rc<WatchedStream>);

/// A socket as hyper takes it.
pub fn hyper_io(sock: Rc<WatchedStream>) -> HyperIo {
    TokioIo::new(HyperStream(sock))
}

impl AsyncRead for HyperStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let sock = &self.0;
        let before = buf.filled().len();
        let polled = sock.stream.poll_recv(cx, buf);
        if polled.is_pending() && sock.serves && sock.waits.get().is_none() {
            sock.waits.set(Some(Instant::now()));
        }
        ready!(polled)?;
        sock.read(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for HyperStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let sock = &self.0;
        let taken = ready!(sock.stream.poll_send(cx, buf))?;
        sock.took(&buf[..taken]);
        Poll::Ready(Ok(taken))
    }

    // hyper then queues what it is given in place of copying it into a buffer that each connection would keep.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let sock = &self.0;
        let taken = ready!(sock.stream.poll_send_pieces(cx, bufs))?;
        let mut left = taken;
        for buf in bufs {
            let here = left.min(buf.len());
            if here > 0 {
                sock.took(&buf[..here]);
            }
            left -= here;
        }
        Poll::Ready(Ok(taken))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.0.stream.shutdown_write())
    }
}
