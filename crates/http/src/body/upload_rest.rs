//! The part of an upload that has not been forwarded. While its server takes nothing, the node reads on into a bounded
//! buffer: only by reading does it learn whether the client still writes.

use std::pin::Pin;
use std::task::{ready, Context, Poll, Waker};

use bytes::Bytes;
use hyper::body::{Body, Incoming};

use super::BufferedBody;
use crate::memory_budget::Reservation;

/// How much of one upload may be read ahead of its server.
const READ_AHEAD_MAX_BYTES: usize = 512 * 1024;
/// Memory that is reserved at once for what is read ahead.
const READ_AHEAD_STEP_BYTES: usize = 64 * 1024;

/// What is still to be forwarded of an upload.
pub struct UploadRest {
    incoming: Incoming,
    /// What was read ahead, and its memory.
    ahead: BufferedBody,
    reservation: Reservation,
    /// The end of the body, where it was found while reading ahead.
    end: Option<Result<(), hyper::Error>>,
    /// Whether data was asked for since the last call of [`Self::read_ahead`].
    asked: bool,
    /// Wakes the connection to the server, if it waits for data.
    forwarder: Option<Waker>,
}

impl UploadRest {
    /// The rest of an upload that is still to be received; what is read ahead is reserved in `reservation`.
    pub fn new(incoming: Incoming, reservation: Reservation) -> Self {
        Self {
            incoming,
            ahead: BufferedBody::default(),
            reservation,
            end: None,
            asked: false,
            forwarder: None,
        }
    }

    /// Polls for the next data to forward.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, hyper::Error>>> {
        self.asked = true;
        if self.ahead.len() > 0 {
            return Poll::Ready(Some(Ok(self.take_ahead())));
        }
        match self.end.take() {
            Some(Ok(())) => {
                self.end = Some(Ok(()));
                return Poll::Ready(None);
            }
            Some(Err(error)) => return Poll::Ready(Some(Err(error))),
            None => {}
        }
        let polled = poll_data(&mut self.incoming, cx);
        self.forwarder = polled.is_pending().then(|| cx.waker().clone());
        polled
    }

    /// Reads on, as far as the memory allows, where no data was asked for since the last call: the server takes
    /// nothing. Returns whether there may be more to read once the client's connection has had a turn.
    pub fn read_ahead(&mut self) -> bool {
        if std::mem::take(&mut self.asked) || self.end.is_some() || !self.reserve_ahead() {
            return false;
        }
        // Whoever polls last is woken, so the connection to the server has to be, if it waits.
        let waker = self.forwarder.clone().unwrap_or_else(|| Waker::noop().clone());
        match poll_data(&mut self.incoming, &mut Context::from_waker(&waker)) {
            Poll::Pending => return false,
            Poll::Ready(Some(Ok(data))) => self.ahead.push(data),
            Poll::Ready(Some(Err(error))) => self.end = Some(Err(error)),
            Poll::Ready(None) => self.end = Some(Ok(())),
        }
        if let Some(forwarder) = self.forwarder.take() {
            forwarder.wake();
        }
        self.end.is_none()
    }

    /// Reserves memory for more data to be read ahead; returns whether there is any.
    fn reserve_ahead(&mut self) -> bool {
        let length = self.ahead.len();
        if length >= READ_AHEAD_MAX_BYTES {
            return false;
        }
        if length + READ_AHEAD_STEP_BYTES / 2 <= self.reservation.bytes() {
            return true;
        }
        let capacity = self.reservation.bytes() + READ_AHEAD_STEP_BYTES;
        if !self.reservation.try_reserve(capacity) {
            return false;
        }
        self.ahead.allocate(capacity);
        true
    }

    /// Takes what was read ahead, with its memory.
    fn take_ahead(&mut self) -> Bytes {
        let rest = self.reservation.empty();
        let reservation = std::mem::replace(&mut self.reservation, rest);
        reservation.own(std::mem::take(&mut self.ahead).into_bytes())
    }
}

/// Polls for the next data; trailers are dropped.
fn poll_data(incoming: &mut Incoming, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, hyper::Error>>> {
    loop {
        match ready!(Pin::new(&mut *incoming).poll_frame(cx)) {
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
