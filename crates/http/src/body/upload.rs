//! Request bodies that are forwarded to a server while they are received.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Frame;
use magpietally_core::InProgress;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{sleep, Instant};

use super::{UploadRest, UploadStates};
use crate::last_byte::RestOfRequest;
use crate::memory_budget::{Reservation, STREAMED_MESSAGE_BYTES};
use crate::watched_stream::WatchedStream;

/// Interval in which it is checked whether an upload waits for its client or for its server.
const UPLOAD_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Progress of a streamed request body.
#[derive(Default)]
pub struct UploadProgress {
    /// Bytes that have not been received; `None` if the client declared no length.
    missing_bytes: Cell<Option<u64>>,
    finished_at: Cell<Option<Instant>>,
    aborted: Cell<bool>,
    /// When the client must be answered, once that is known.
    client_deadline: Cell<Option<Instant>>,
    finish_notify: Notify,
    /// What is still to be forwarded; `None` once the body has been dropped.
    rest: RefCell<Option<UploadRest>>,
}

impl UploadProgress {
    /// The progress of an upload of `length` bytes, if the client declared it, of which `rest` is to be received.
    pub fn new(length: Option<u64>, rest: UploadRest) -> Self {
        Self { missing_bytes: Cell::new(length), rest: RefCell::new(Some(rest)), ..Self::default() }
    }

    /// Waits until the last byte has been forwarded, or it is certain that it never will be.
    pub async fn finished(&self) {
        while self.finished_at.get().is_none() {
            self.finish_notify.notified().await;
        }
    }

    /// Waits until the client may have been waiting for its response for `span`. Reads on meanwhile, so that this is
    /// known, where the server takes nothing.
    pub async fn client_waiting_for(&self, source: &WatchedStream, span: Duration, states: &UploadStates) {
        let state = states.add();
        loop {
            sleep(UPLOAD_CHECK_INTERVAL).await;
            while self.read_ahead() {
                // The client's connection has to read before there can be more.
                yield_now().await;
            }
            let rest = source.rest_of_request();
            state.set(rest);
            if rest != RestOfRequest::Unwritten
                && Instant::now().into_std() >= source.request_written_at() + span
            {
                return;
            }
        }
    }

    /// Reads a piece ahead of the server; returns whether there may be more.
    fn read_ahead(&self) -> bool {
        self.rest.borrow_mut().as_mut().is_some_and(UploadRest::read_ahead)
    }

    /// Notes when the client must be answered: its time may have begun before the last byte was forwarded.
    pub fn set_client_deadline(&self, deadline: std::time::Instant) {
        self.client_deadline.set(Some(deadline.into()));
    }

    /// When the client must be answered; `None` while the upload is not finished.
    pub fn client_deadline(&self) -> Option<std::time::Instant> {
        self.client_deadline.get().map(Instant::into_std)
    }

    /// When the upload finished or was aborted.
    pub fn finished_at(&self) -> Option<Instant> {
        self.finished_at.get()
    }

    /// Returns whether the upload ended before its last byte, as when the client aborts it.
    pub fn is_aborted(&self) -> bool {
        self.aborted.get()
    }

    pub(super) fn finish(&self, aborted: bool) {
        self.finished_at.set(Some(Instant::now()));
        self.aborted.set(aborted);
        // Both the attempt and the task that answers the client wait for this.
        self.finish_notify.notify_waiters();
    }
}

/// A request body that is forwarded while it is received.
pub struct StreamedRequestBody {
    /// What was received before the decision to stream.
    pub buffered: Bytes,
    /// Total length in bytes, if the client declared it.
    pub length: Option<u64>,
    /// The client's connection.
    pub source: Rc<WatchedStream>,
    /// The request's entry in the metrics.
    pub in_progress: Rc<RefCell<Option<InProgress>>>,
    /// Progress, shared with those that wait for the end of the upload.
    pub progress: Rc<UploadProgress>,
    /// Memory reserved for the upload.
    pub reservation: Reservation,
}

impl StreamedRequestBody {
    /// Polls for the next data to forward.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let data = if self.buffered.is_empty() {
            // The buffered part has been forwarded, so its memory is released.
            self.reservation.try_reserve(STREAMED_MESSAGE_BYTES);
            match ready!(self.poll_rest(cx)) {
                Some(Ok(data)) => data,
                Some(Err(error)) => {
                    self.progress.finish(true);
                    return Poll::Ready(Some(Err(io::Error::other(error))));
                }
                None => {
                    self.complete();
                    return Poll::Ready(None);
                }
            }
        } else {
            std::mem::take(&mut self.buffered)
        };
        let missing_bytes = self.progress.missing_bytes.get().map(|n| n.saturating_sub(data.len() as u64));
        self.progress.missing_bytes.set(missing_bytes);
        // hyper does not poll for the end of a body whose length is known.
        if missing_bytes == Some(0) {
            self.complete();
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    /// Polls for the next data of the rest.
    fn poll_rest(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, hyper::Error>>> {
        self.progress.rest.borrow_mut().as_mut().map_or(Poll::Ready(None), |rest| rest.poll(cx))
    }

    /// Notes that the last byte was received.
    fn complete(&self) {
        if self.progress.finished_at.get().is_some() {
            return;
        }
        self.source.finish_request_body();
        if let Some(in_progress) = &mut *self.in_progress.borrow_mut() {
            in_progress.mark_received();
        }
        self.progress.finish(false);
    }
}

/// An upload that is dropped before its end counts as aborted.
impl Drop for StreamedRequestBody {
    fn drop(&mut self) {
        self.progress.rest.take();
        if self.progress.finished_at.get().is_none() {
            self.progress.finish(true);
        }
    }
}
