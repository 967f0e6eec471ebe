//! Bodies: those that are buffered whole, and those that are streamed. Of a streamed body the node holds only
//! what one side has sent and the other has not yet accepted, so a slow side throttles the other.

use std::cell::Cell;
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
use tokio::time::{sleep, sleep_until, Instant, Sleep};

use crate::memory_budget::Reservation;
use crate::message::BUFFERED_BODY_MAX_BYTES;
use crate::pool::{Pool, PooledConnection};
use crate::watched_stream::WatchedStream;
pub use upload::{StreamedRequestBody, UploadProgress};
pub use upload_rest::UploadRest;
pub use upload_states::UploadStates;

mod upload;
mod upload_rest;
mod upload_states;

/// How long a server may send nothing of a response that it has begun while the client could accept more, and,
/// with the allowance of [`WatchedStream::write_stall_limit`], how long it may accept nothing of a streamed
/// request.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum progress of a response without a length in each [`progress_interval`] after the client's
/// deadline, until the response has proved to be large. Such a response may be a large one that is slow or a
/// small one that never ends, and the client must see a recognizable end soon after its deadline.
const MIN_PROGRESS_BYTES: usize = 1024;
/// Interval in which a response without a length must make [`MIN_PROGRESS_BYTES`] of progress after the
/// client's deadline, before the allowance for what has come.
const MIN_PROGRESS_INTERVAL: Duration = Duration::from_millis(400);
/// Allowance for each byte that has come: the more it is, the likelier the response is a large one that is slow.
const PROGRESS_ALLOWANCE_PER_BYTE: Duration = Duration::from_micros(50);

/// The interval in which a response without a length must make progress, once this many bytes of it have come.
fn progress_interval(received_bytes: usize) -> Duration {
    let counted = u32::try_from(received_bytes).unwrap_or(u32::MAX);
    (MIN_PROGRESS_INTERVAL + PROGRESS_ALLOWANCE_PER_BYTE.saturating_mul(counted)).min(STALL_TIMEOUT)
}

/// The received part of a body. A single piece is not copied.
#[derive(Default)]
pub struct BufferedBody {
    first: Bytes,
    joined: Vec<u8>,
}

impl BufferedBody {
    /// Length in bytes.
    pub fn len(&self) -> usize {
        self.first.len() + self.joined.len()
    }

    /// Allocated memory in bytes.
    pub fn capacity_bytes(&self) -> usize {
        self.first.len() + self.joined.capacity()
    }

    /// Allocates the memory for `bytes` bytes in total at once, which leaves no gaps among the messages of
    /// other connections.
    pub fn allocate(&mut self, bytes: usize) {
        if self.joined.capacity() < bytes {
            self.joined.reserve_exact(bytes - self.joined.len());
            self.joined.extend_from_slice(&std::mem::take(&mut self.first));
        }
    }

    /// Appends a piece. Pieces are copied into one buffer, as a small one would keep alive the whole buffer
    /// that it was read into.
    pub fn push(&mut self, data: Bytes) {
        if self.len() == 0 && self.joined.capacity() == 0 {
            self.first = data;
            return;
        }
        if self.joined.capacity() == 0 {
            self.joined = std::mem::take(&mut self.first).into();
        }
        // Grows by a quarter instead of doubling, as the allocated size counts against the memory budget.
        if self.joined.capacity() - self.joined.len() < data.len() {
            self.joined.reserve_exact(data.len().max(self.joined.len() / 4));
        }
        self.joined.extend_from_slice(&data);
    }

    pub fn into_bytes(self) -> Bytes {
        if self.joined.capacity() == 0 {
            self.first
        } else {
            self.joined.into()
        }
    }
}

// ---- Requests to a server ----

/// The body of a request to a server, as hyper sends it.
pub enum OutgoingBody {
    /// Buffered whole.
    Buffered(Bytes),
    /// Streamed over the given connection.
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

// ---- Responses to a client ----

/// The part of a streamed response that is still to be received.
pub struct RemainingBody {
    /// The rest of the body.
    pub incoming: Incoming,
    /// The connection to the server; `None` once the response is complete.
    pub link: Option<PooledConnection>,
    /// The pool that the connection is returned to.
    pub pool: Rc<Pool>,
    /// The server that sends the response.
    pub server: ServerId,
    /// Returns the server's current endpoint, if it takes new requests.
    pub current_endpoint: Box<dyn Fn() -> Option<Endpoint>>,
    /// Whether the connection may be used for another request.
    pub reusable: bool,
    /// Whether the response is chunked.
    pub chunked: bool,
    /// Number of body bytes received so far.
    pub received_bytes: usize,
    /// Whether the connection has ended; what it delivered may still be unread.
    pub connection_closed: bool,
    /// Limits the wait for a server that sends nothing.
    pub stall_timer: Option<Pin<Box<Sleep>>>,
    /// Memory reserved for what was received and not yet sent; released on drop.
    pub _reservation: Reservation,
}

impl RemainingBody {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, io::Error>>> {
        loop {
            if let Some(link) = self.link.as_mut().filter(|_| !self.connection_closed) {
                // A failure of the connection also surfaces as an error of the body.
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
                    let stall = self.stall_timer.get_or_insert_with(|| Box::pin(sleep(STALL_TIMEOUT)));
                    ready!(stall.as_mut().poll(cx));
                    return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
                }
            }
        }
    }

    /// Returns the connection of a complete response to the pool, if it can be used again.
    fn return_connection(&mut self, cx: &mut Context<'_>) {
        let Some(mut link) = self.link.take() else { return };
        let closed = self.connection_closed || Pin::new(&mut link.conn).poll(cx).is_ready();
        if self.reusable && !closed {
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

/// A response that is forwarded while it is received.
pub struct StreamedResponse {
    /// What was received before the decision to stream.
    pub buffered: Bytes,
    /// The part that is still to be received.
    pub rest: RemainingBody,
    /// Total length in bytes, if the server declared it.
    pub length: Option<u64>,
    /// The client's deadline.
    pub client_deadline: Instant,
    /// Timer for the end of the current [`progress_interval`], and the number of bytes received before
    /// it, which is `None` until the client's deadline.
    pub progress_check: Option<(Pin<Box<Sleep>>, Option<usize>)>,
    /// The client's connection.
    pub destination: Rc<WatchedStream>,
    /// The request's entry in the metrics.
    pub in_progress: Option<InProgress>,
    /// Whether the response failed, so that it will never be complete.
    pub failed: bool,
}

impl StreamedResponse {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if !self.buffered.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.buffered)))));
        }
        if self.failed {
            return Poll::Ready(Some(Err(io::ErrorKind::BrokenPipe.into())));
        }
        let next = match self.rest.poll(cx) {
            Poll::Ready(next) => next,
            Poll::Pending => {
                ready!(self.poll_stall(cx));
                Some(Err(io::ErrorKind::TimedOut.into()))
            }
        };
        match &next {
            // hyper does not poll for the end of a body whose length is known.
            Some(Ok(_)) if self.length == Some(self.rest.received_bytes as u64) => self.complete(cx),
            Some(Ok(_)) => {}
            Some(Err(_)) => {
                if let Some(in_progress) = self.in_progress.take() {
                    in_progress.finish(RequestOutcome::BadGateway);
                }
                // hyper drops what it has not yet written when a body fails. The error is returned by the
                // next poll, so that the head and the data before it are written; the client would otherwise
                // receive nothing at all.
                self.failed = true;
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            None => {
                self.destination.finish_message();
                self.destination.clear_reset_on_close();
                self.complete(cx);
            }
        }
        Poll::Ready(next.map(|data| data.map(Frame::data)))
    }

    /// Ready when a response of unknown length receives less than [`MIN_PROGRESS_BYTES`] in an interval after
    /// the client's deadline; never ready for one of known length or one that has proved to be large.
    fn poll_stall(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.length.is_none() && self.rest.received_bytes <= BUFFERED_BODY_MAX_BYTES {
            let client_deadline = self.client_deadline;
            let (interval_end, before) =
                self.progress_check.get_or_insert_with(|| (Box::pin(sleep_until(client_deadline)), None));
            ready!(interval_end.as_mut().poll(cx));
            let received = self.rest.received_bytes;
            if before.replace(received).is_some_and(|before| received - before < MIN_PROGRESS_BYTES) {
                return Poll::Ready(());
            }
            interval_end.as_mut().reset(Instant::now() + progress_interval(received));
        }
        Poll::Pending
    }

    /// Notes that the last byte was received.
    fn complete(&mut self, cx: &mut Context<'_>) {
        self.rest.return_connection(cx);
        if let Some(in_progress) = self.in_progress.take() {
            in_progress.finish(RequestOutcome::Passed);
        }
    }
}

/// The body of a response to a client.
pub enum ResponseBody {
    /// Buffered whole.
    Buffered(Bytes),
    /// Forwarded while it is received.
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
            Self::Streamed(response) => response.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streamed(response) => response.length.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

/// Runs an attempt until its deadline, or, if its server is `answering` by then, to its end; `None` if it was
/// given up. The time of a streamed request begins with
/// its last byte. Until then its server must accept some of it at least every [`STALL_TIMEOUT`]: otherwise a
/// server that hangs would leave the client without a response forever, and one that the network cut off
/// would until the kernel gives up.
pub async fn run_until_deadline<T>(
    end: Instant,
    upload: Option<&UploadProgress>,
    connection: &WatchedStream,
    answering: &Cell<bool>,
    exchange: impl Future<Output = T>,
) -> Option<T> {
    let mut exchange = std::pin::pin!(exchange);
    let end = match upload {
        None => end,
        Some(upload) => {
            let span = end.saturating_duration_since(Instant::now());
            tokio::select! {
                biased;
                result = &mut exchange => return Some(result),
                () = upload.finished() => {}
                () = connection.write_stalled(STALL_TIMEOUT) => return None,
            }
            Instant::now() + span
        }
    };
    match tokio::time::timeout_at(end, &mut exchange).await {
        Ok(result) => Some(result),
        Err(_) if answering.get() => Some(exchange.await),
        Err(_) => None,
    }
}

#[cfg(test)]
mod tests;
