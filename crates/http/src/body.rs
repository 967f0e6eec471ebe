//! Bodies: those that are held whole, and those that are passed on as they come. What is passed on is never held but for what
//! either side has read or has not yet taken: a side that is slow holds the other back.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use magpietally_core::{Endpoint, InProgress, RequestOutcome};
use magpietally_policy::ServerId;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, Instant, Sleep};

use crate::memory_budget::Reservation;
use crate::message::BUFFERED_BODY_MAX_BYTES;
use crate::pool::{Pool, PooledConnection};
use crate::watched_stream::WatchedStream;

/// How long a server that has begun an answer may then give nothing of it while its client would take more, and one may take
/// nothing of a request that is passed on.
const STALLED: Duration = Duration::from_secs(10);
/// Nobody knows of an answer without a length whether it is a large one that comes slowly or a small one that never ends, and
/// a client is owed an end that it can tell soon after its time. Past that time at least so much must come of it ...
const COMES: usize = 1024;
/// ... in so long, until it has shown that it is large.
const COMES_WITHIN: Duration = Duration::from_millis(400);

/// What has come of a body. A single piece is not copied.
#[derive(Default)]
pub struct BufferedBody {
    one: Bytes,
    more: Vec<u8>,
}

impl BufferedBody {
    /// How many bytes there are.
    pub fn len(&self) -> usize {
        self.one.len() + self.more.len()
    }

    /// How many bytes of memory they take.
    pub fn capacity_bytes(&self) -> usize {
        self.one.len() + self.more.capacity()
    }

    /// Adds what came. Pieces are copied together: a small one would keep the whole buffer that it was read into.
    pub fn push(&mut self, data: Bytes) {
        if self.len() == 0 {
            self.one = data;
            return;
        }
        if self.more.is_empty() {
            self.more = std::mem::take(&mut self.one).into();
        }
        // By parts, not by doubling: what is held counts as what it takes.
        if self.more.capacity() - self.more.len() < data.len() {
            self.more.reserve_exact(data.len().max(self.more.len() / 4));
        }
        self.more.extend_from_slice(&data);
    }

    /// All of it.
    pub fn into_bytes(self) -> Bytes {
        if self.more.is_empty() {
            self.one
        } else {
            self.more.into()
        }
    }
}

// ---- What goes to a server ----

/// How far the passing on of a request's body has come.
#[derive(Default)]
pub struct UploadProgress {
    over: Cell<Option<Instant>>,
    broken: Cell<bool>,
    told: Notify,
}

impl UploadProgress {
    /// Waits until the last byte has been handed on, or it is clear that it never will be.
    pub async fn finished(&self) {
        while self.over.get().is_none() {
            self.told.notified().await;
        }
    }

    /// When that was.
    pub fn finished_at(&self) -> Option<Instant> {
        self.over.get()
    }

    /// Did the client break off?
    pub fn is_aborted(&self) -> bool {
        self.broken.get()
    }

    fn end(&self, broken: bool) {
        self.over.set(Some(Instant::now()));
        self.broken.set(broken);
        // The attempt waits for it, and who answers the client.
        self.told.notify_waiters();
    }
}

/// A request's body that is passed on while it comes.
pub struct StreamedRequestBody {
    /// What had come before it was clear that it is passed on.
    pub held: Bytes,
    /// What still comes.
    pub rest: Incoming,
    /// Its whole length, where the client has told it.
    pub length: Option<u64>,
    /// How much has been handed on.
    pub passed: u64,
    /// Where it comes from.
    pub from: Rc<WatchedStream>,
    /// What it is counted as.
    pub underway: Rc<RefCell<Option<InProgress>>>,
    /// How far it has come.
    pub uploading: Rc<UploadProgress>,
    /// What it holds.
    pub reservation: Reservation,
}

impl StreamedRequestBody {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let data = if self.held.is_empty() {
            // The held part has gone on.
            self.reservation.try_reserve(crate::memory_budget::STREAMED_MESSAGE_BYTES);
            match ready!(self.poll_rest(cx)) {
                Some(Ok(data)) => data,
                Some(Err(error)) => {
                    self.uploading.end(true);
                    return Poll::Ready(Some(Err(io::Error::other(error))));
                }
                None => {
                    self.end();
                    return Poll::Ready(None);
                }
            }
        } else {
            std::mem::take(&mut self.held)
        };
        self.passed += data.len() as u64;
        // Whoever writes a body of a known length does not ask for its end.
        if Some(self.passed) == self.length {
            self.end();
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    /// What still comes; what may stand behind the last chunk is not passed on.
    fn poll_rest(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, hyper::Error>>> {
        loop {
            match ready!(Pin::new(&mut self.rest).poll_frame(cx)) {
                None => return Poll::Ready(None),
                Some(Err(error)) => return Poll::Ready(Some(Err(error))),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(Ok(data)));
                    }
                }
            }
        }
    }

    /// Its last byte has come.
    fn end(&self) {
        if self.uploading.over.get().is_some() {
            return;
        }
        self.from.finish_request_body();
        if let Some(underway) = &mut *self.underway.borrow_mut() {
            underway.mark_received();
        }
        self.uploading.end(false);
    }
}

/// One that is dropped before its end will have none.
impl Drop for StreamedRequestBody {
    fn drop(&mut self) {
        if self.uploading.over.get().is_none() {
            self.uploading.end(true);
        }
    }
}

/// The body of a request to a server.
pub enum OutgoingBody {
    /// Held whole.
    Buffered(Bytes),
    /// Passed on, over this connection.
    Streamed(Box<StreamedRequestBody>, Rc<WatchedStream>),
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match self.get_mut() {
            Self::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Buffered(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Streamed(upload, to) => {
                let frame = ready!(upload.poll(cx));
                if frame.is_none() {
                    to.finish_message();
                }
                Poll::Ready(frame)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streamed(upload, _) => upload.length.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

// ---- What goes to a client ----

/// What a server still gives of an answer that is passed on.
pub struct RemainingBody {
    /// What still comes.
    pub incoming: Incoming,
    /// The connection that it comes by; gone when it is over.
    pub link: Option<PooledConnection>,
    /// Where the connection goes back to.
    pub pool: Rc<Pool>,
    /// Whom it leads to.
    pub server: ServerId,
    /// Where the server is now.
    pub current_endpoint: Box<dyn Fn() -> Option<Endpoint>>,
    /// May the connection be used again?
    pub reusable: bool,
    /// Does the answer come in chunks?
    pub chunked: bool,
    /// How many bytes have come.
    pub received_bytes: usize,
    /// The connection has come to its end; what it brought is still to be read.
    pub connection_closed: bool,
    /// Ends a wait for a server that gives nothing.
    pub stall_timer: Option<Pin<Box<Sleep>>>,
}

impl RemainingBody {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, io::Error>>> {
        loop {
            if let Some(link) = self.link.as_mut().filter(|_| !self.connection_closed) {
                // What breaks it is told by the body.
                self.connection_closed = Pin::new(&mut link.conn).poll(cx).is_ready();
            }
            match Pin::new(&mut self.incoming).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    self.stall_timer = None;
                    if let Ok(data) = frame.into_data() {
                        self.received_bytes += data.len();
                        return Poll::Ready(Some(Ok(data)));
                    }
                }
                Poll::Ready(Some(Err(error))) => return Poll::Ready(Some(Err(io::Error::other(error)))),
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Pending => {
                    let stall = self.stall_timer.get_or_insert_with(|| Box::pin(sleep(STALLED)));
                    ready!(stall.as_mut().poll(cx));
                    return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
                }
            }
        }
    }

    /// The answer is whole: its connection may be used again, if nothing came behind.
    fn give_back(&mut self, cx: &mut Context<'_>) {
        let Some(mut link) = self.link.take() else { return };
        let over = self.connection_closed || Pin::new(&mut link.conn).poll(cx).is_ready();
        if self.reusable && !over {
            self.pool.give_back(
                self.server,
                link,
                self.received_bytes,
                self.chunked,
                (self.current_endpoint)(),
            );
        }
    }
}

/// An answer that is passed on.
pub struct StreamedResponse {
    /// What had come before it was clear that it is passed on.
    pub held: Bytes,
    /// What still comes.
    pub rest: RemainingBody,
    /// How long it is in all, where the server has told it.
    pub length: Option<u64>,
    /// When its client's time is over.
    pub due: Instant,
    /// The end of the time in which some more of it must come, and how much had come before; unknown until its client's time
    /// is over.
    pub late: Option<(Pin<Box<Sleep>>, Option<usize>)>,
    /// Where it goes.
    pub to: Rc<WatchedStream>,
    /// What it is counted as.
    pub underway: Option<InProgress>,
    /// It will not be whole.
    pub broken: bool,
}

impl StreamedResponse {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if !self.held.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.held)))));
        }
        if self.broken {
            return Poll::Ready(Some(Err(io::ErrorKind::BrokenPipe.into())));
        }
        let next = match self.rest.poll(cx) {
            Poll::Ready(next) => next,
            Poll::Pending => {
                ready!(self.ceases(cx));
                Some(Err(io::ErrorKind::TimedOut.into()))
            }
        };
        match &next {
            // Whoever writes a body of a known length does not ask for its end.
            Some(Ok(_)) if self.length == Some(self.rest.received_bytes as u64) => self.end(cx),
            Some(Ok(_)) => {}
            Some(Err(_)) => {
                if let Some(underway) = self.underway.take() {
                    underway.finish(RequestOutcome::BadGateway);
                }
                // hyper drops what it has not written when a body breaks: it writes the head and what came before it is
                // told, or else its client would have nothing at all.
                self.broken = true;
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            None => {
                self.to.finish_message();
                self.to.clear_reset_on_close();
                self.end(cx);
            }
        }
        Poll::Ready(next.map(|data| data.map(Frame::data)))
    }

    /// Waits until its client's time is over and next to nothing more comes, where nobody knows how long it will be.
    fn ceases(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.length.is_none() && self.rest.received_bytes <= BUFFERED_BODY_MAX_BYTES {
            let due = self.due;
            let (end, before) = self.late.get_or_insert_with(|| (Box::pin(sleep_until(due)), None));
            ready!(end.as_mut().poll(cx));
            let came = self.rest.received_bytes;
            if before.replace(came).is_some_and(|before| came - before < COMES) {
                return Poll::Ready(());
            }
            end.as_mut().reset(Instant::now() + COMES_WITHIN);
        }
        Poll::Pending
    }

    /// Its last byte has come.
    fn end(&mut self, cx: &mut Context<'_>) {
        self.rest.give_back(cx);
        if let Some(underway) = self.underway.take() {
            underway.finish(RequestOutcome::Passed);
        }
    }
}

/// The body of an answer to a client.
pub enum ResponseBody {
    /// Held whole.
    Buffered(Bytes),
    /// Passed on.
    Streamed(Box<StreamedResponse>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match self.get_mut() {
            Self::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Buffered(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Streamed(passing) => passing.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streamed(passing) => passing.length.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

/// When an attempt of a request that is passed on is given up: its time begins with its last byte. Until then its server has
/// to take some of it now and then: one that hangs would else keep its client without an answer for good, and one that the
/// network cut off until the kernel gives up.
pub async fn run_until_deadline<T>(
    end: Instant,
    upload: Option<&UploadProgress>,
    to: &WatchedStream,
    talk: impl Future<Output = T>,
) -> Option<T> {
    let Some(upload) = upload else { return tokio::time::timeout_at(end, talk).await.ok() };
    let span = end.saturating_duration_since(Instant::now());
    let mut talk = std::pin::pin!(talk);
    tokio::select! {
        biased;
        done = &mut talk => return Some(done),
        () = upload.finished() => {}
        () = to.write_stalled_for(STALLED) => return None,
    }
    tokio::time::timeout(span, talk).await.ok()
}

#[cfg(test)]
mod tests;
