//! When a client may have written the last byte of its request: from then on its time runs. Pure: times and
//! positions are arguments.
//!
//! What lies unread in the node's kernel does not show what the client has written. A receive buffer may be full with
//! few bytes in it, as the kernel counts whole segments, and the rest then lies in the client's kernel. So a client
//! counts as one that may have written everything unless it is certain that it has not; see [`RestOfRequest`].

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Bytes that are read between two positions that are kept.
const MARK_INTERVAL_BYTES: u64 = 256 * 1024;
/// How long the node may go on reading, or not read, between two reads that find nothing, before the receive buffer
/// may have been full.
const READ_RUN_MAX: Duration = Duration::from_millis(10);
/// How long bytes that a full receive buffer held back may take to arrive once they have room: a round trip, and what
/// the kernels add.
const ARRIVAL_TIME: Duration = Duration::from_millis(20);

/// What is known of the part of a request that the node has not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestOfRequest {
    /// There is none. The client's time runs.
    Received,
    /// The client has yet to write some of it: nothing is there to read, or more is missing than the buffers of both
    /// kernels hold. The client's time does not run.
    Unwritten,
    /// The client may have written all of it, as bytes lie unread or were read without a pause. The client's time
    /// runs: the node can't tell, and an answer that comes too late is lost.
    MayBeWritten,
}

/// What the node sees of the part that it has not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreadPart {
    /// Whether bytes lie unread, or may.
    pub any: bool,
    /// Bytes that are missing at least.
    pub missing_bytes_min: u64,
    /// Bytes that the buffers of both kernels hold at most.
    pub buffered_bytes_max: u64,
}

/// How much of a request had been read at a time.
#[derive(Clone, Copy, Debug)]
struct Mark {
    at: Instant,
    read_bytes: u64,
}

/// Follows the reads of a client's connection.
#[derive(Debug, Default)]
pub struct LastByteClock {
    /// Positions since the client was last known to have more to write, oldest first.
    marks: VecDeque<Mark>,
    /// Bytes that have been read.
    read_bytes: u64,
    last_read_at: Option<Instant>,
    /// Whether the last read found nothing.
    waiting: bool,
    /// When the reads since the last one that found nothing began.
    run_began_at: Option<Instant>,
    /// Until when bytes may arrive that a full receive buffer had held back.
    held_back_until: Option<Instant>,
    received: bool,
}

impl LastByteClock {
    /// A request begins to arrive.
    pub fn begin(&mut self) {
        self.marks.clear();
        self.received = false;
    }

    /// Bytes that arrived at `at` were read.
    pub fn read(&mut self, at: Instant, bytes: usize) {
        if self.waiting {
            self.waiting = false;
            self.run_began_at = Some(at);
            self.note_unwritten(at);
        }
        let is_due = |last: &Mark| self.read_bytes.saturating_sub(last.read_bytes) >= MARK_INTERVAL_BYTES;
        if !self.received && self.marks.back().is_none_or(is_due) {
            self.marks.push_back(Mark { at, read_bytes: self.read_bytes });
        }
        self.read_bytes += bytes as u64;
        self.last_read_at = Some(at);
    }

    /// A read found nothing.
    pub fn found_nothing(&mut self, now: Instant) {
        if self.waiting {
            return;
        }
        self.waiting = true;
        let run = self.run_began_at.map_or(Duration::ZERO, |began| now.saturating_duration_since(began));
        if run > READ_RUN_MAX {
            self.held_back_until = Some(now + ARRIVAL_TIME);
        }
        self.note_unwritten(now);
    }

    /// The last byte of the request was read.
    pub fn finish(&mut self) {
        self.received = true;
    }

    /// Brings what is known up to date, while the request is being received.
    pub fn update(&mut self, now: Instant, unread: UnreadPart) -> RestOfRequest {
        if self.received {
            return RestOfRequest::Received;
        }
        let request_end_min = self.read_bytes + unread.missing_bytes_min;
        let read_recently =
            self.last_read_at.is_some_and(|at| now.saturating_duration_since(at) < ARRIVAL_TIME);
        if unread.missing_bytes_min > unread.buffered_bytes_max {
            self.marks.clear();
        } else if self.waiting {
            self.note_unwritten(now);
        } else if !unread.any && !read_recently {
            // Nobody has read meanwhile, so nothing has arrived since the last read, although there was room.
            self.marks.clear();
            self.run_began_at = Some(now);
        } else {
            self.drop_marks_before_end(request_end_min, unread.buffered_bytes_max);
            if self.marks.is_empty() {
                self.marks.push_back(Mark { at: now, read_bytes: self.read_bytes });
            }
        }
        if self.marks.is_empty() {
            RestOfRequest::Unwritten
        } else {
            RestOfRequest::MayBeWritten
        }
    }

    /// The earliest time at which the client may have written the last byte; `None` if it has more to write.
    pub fn may_be_written_since(&self) -> Option<Instant> {
        self.marks.front().map(|mark| mark.at)
    }

    /// Drops the positions at which the kernels could not hold the request up to its end.
    fn drop_marks_before_end(&mut self, request_end_min: u64, buffered_bytes_max: u64) {
        while self.marks.get(1).is_some_and(|next| next.read_bytes + buffered_bytes_max < request_end_min) {
            self.marks.pop_front();
        }
    }

    /// Nothing was there to read at this time: the client had more to write then, unless what it wrote was held back.
    fn note_unwritten(&mut self, at: Instant) {
        if !self.received && self.held_back_until.is_none_or(|until| at >= until) {
            self.held_back_until = None;
            self.marks.clear();
        }
    }
}

#[cfg(test)]
mod tests;
