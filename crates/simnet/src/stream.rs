//! Streams, as TCP looks from above: order kept, each message at most once within a session, loss that only delays, and
//! a connection that breaks when what waits on it makes no way.
//!
//! One stream goes one way, on one connection at a time. Its sender keeps every message until the reader's kernel has
//! acknowledged it; the acknowledgement takes the way back, so that a link that works one way carries messages whose
//! loss is then told all the same, as on a real network.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use magpietally_transport::{Event, Kind, Session};

use crate::flight::What;
use crate::net::Net;

/// How long the sender waits before it sends again what was not acknowledged: Linux's least retransmission time.
pub const RETRANSMIT_DELAY: Duration = Duration::from_millis(200);

/// The sender's end of a connection.
pub(crate) struct Outward {
    /// Greater for a later connection, over the whole network.
    conn: u64,
    /// Not yet acknowledged; the first has number `first`.
    queue: VecDeque<Arc<Vec<u8>>>,
    first: u64,
    /// When something was acknowledged last, or the queue began to fill.
    progress: Duration,
    /// When the last that was sent arrives: the next arrives no earlier.
    last_due: Duration,
    /// Whether a [`What::Check`] is on its way.
    checked: bool,
    /// Which start of the reader it has reached.
    bound: Option<Session>,
}

impl Outward {
    pub(crate) fn waiting(&self) -> usize {
        self.queue.len()
    }
}

/// The reader's end of a connection, and what the reader has still to read or hear of this peer.
#[derive(Default)]
pub(crate) struct Inward {
    conn: u64,
    expected: u64,
    /// Messages that came and were not read; at most [`crate::Limits::queue_capacity`].
    unread: usize,
    /// Messages to this peer whose loss is still to be told.
    lost: u64,
}

impl Net {
    pub(crate) fn send_stream(&mut self, from: usize, to: usize, bytes: Arc<Vec<u8>>) {
        let now = self.now();
        if self.link(from, to).out.is_none() {
            self.order += 1;
            let out = Outward {
                conn: self.order,
                queue: VecDeque::new(),
                first: 0,
                progress: now,
                last_due: now,
                checked: false,
                bound: None,
            };
            self.link(from, to).out = Some(Box::new(out));
        }
        let Some(out) = self.link(from, to).out.as_mut() else { return };
        if out.queue.is_empty() {
            out.progress = now;
        }
        out.queue.push_back(bytes);
        let (conn, at, check) = (out.conn, out.queue.len() - 1, !out.checked);
        out.checked = true;
        self.send_segment(from, to, at);
        if check {
            self.fly(RETRANSMIT_DELAY, from, to, What::Check { conn });
        }
    }

    /// Sends the message at place `at` of the queue, if the link is open. Each loss costs a [`RETRANSMIT_DELAY`]; what comes later
    /// in the queue waits behind it.
    fn send_segment(&mut self, from: usize, to: usize, at: usize) {
        if !self.link(from, to).is_open() {
            return;
        }
        let f = self.faults_of(from, to);
        let mut way = self.way(&f);
        // Past the bound it makes no difference how often more it is lost: the connection breaks first.
        while way < self.limits.break_after && self.share(f.loss) {
            way += RETRANSMIT_DELAY;
        }
        let (now, session) = (self.now(), self.session(from));
        let Some(out) = self.link(from, to).out.as_mut() else { return };
        let Some(bytes) = out.queue.get(at).map(Arc::clone) else { return };
        out.last_due = out.last_due.max(now + way);
        let (way, conn, seq) = (out.last_due - now, out.conn, out.first + at as u64);
        self.fly(way, from, to, What::Segment { session, conn, seq, bytes });
    }

    /// Sends again all that was not acknowledged.
    pub(crate) fn resend(&mut self, from: usize, to: usize) {
        let waiting = self.link(from, to).out.as_ref().map_or(0, |o| o.waiting());
        for at in 0..waiting {
            self.send_segment(from, to, at);
        }
    }

    /// A message came to the reader's kernel; whether the reader has something new to read.
    pub(crate) fn on_segment(
        &mut self,
        from: usize,
        to: usize,
        session: Session,
        conn: u64,
        seq: u64,
        bytes: Arc<Vec<u8>>,
    ) -> bool {
        if !self.is_running(to) {
            if self.was_killed(to) {
                self.answer(to, from, What::Reset { conn });
            }
            return false;
        }
        let (reader, most) = (self.session(to), self.limits.queue_capacity);
        let link = self.link(from, to);
        let sender = link.out.as_mut().filter(|o| o.conn == conn);
        let inward = link.inward.get_or_insert_default();
        if conn < inward.conn {
            return self.outdated(from, to, Kind::Stream);
        }
        if conn > inward.conn {
            // A connection begins at its first message, and at one start of the reader only.
            if seq != 0 || sender.as_ref().is_some_and(|o| o.bound.is_some_and(|b| b != reader)) {
                self.answer(to, from, What::Reset { conn });
                return false;
            }
            (inward.conn, inward.expected) = (conn, 0);
        }
        if let Some(sender) = sender {
            sender.bound = Some(reader);
        }
        let fits = inward.unread < most;
        let comes = seq == inward.expected && fits;
        if comes {
            inward.expected += 1;
            inward.unread += 1;
        }
        let below = inward.expected;
        let told = comes && self.deliver(from, to, Kind::Stream, session, bytes);
        self.answer(to, from, What::Ack { conn, below });
        told
    }

    /// An answer of the reader's kernel, on the way back; it may be lost, and is given anew when the sender asks anew.
    fn answer(&mut self, reader: usize, sender: usize, what: What) {
        if !self.link(reader, sender).is_open() {
            return;
        }
        let f = self.faults_of(reader, sender);
        if !self.share(f.loss) {
            let way = self.way(&f);
            self.fly(way, reader, sender, what);
        }
    }

    pub(crate) fn on_ack(&mut self, from: usize, to: usize, conn: u64, below: u64) {
        let now = self.now();
        let Some(out) = self.link(from, to).out.as_mut().filter(|o| o.conn == conn) else { return };
        while out.first < below && out.queue.pop_front().is_some() {
            out.first += 1;
            out.progress = now;
        }
    }

    pub(crate) fn on_reset(&mut self, from: usize, to: usize, conn: u64) -> bool {
        let stands = self.link(from, to).out.as_ref().is_some_and(|o| o.conn == conn);
        stands && self.break_stream(from, to)
    }

    /// The sender's timer; whether the connection broke.
    pub(crate) fn on_check(&mut self, from: usize, to: usize, conn: u64) -> bool {
        let (now, break_after) = (self.now(), self.limits.break_after);
        let Some(out) = self.link(from, to).out.as_mut().filter(|o| o.conn == conn) else { return false };
        if out.queue.is_empty() {
            out.checked = false;
            return false;
        }
        let ends = out.progress + break_after;
        if now >= ends {
            return self.break_stream(from, to);
        }
        if now >= out.last_due {
            self.resend(from, to);
        }
        self.fly(RETRANSMIT_DELAY.min(ends - now), from, to, What::Check { conn });
        false
    }

    /// The connection ends; the sender is told of what waited, in one notice until it reads it.
    fn break_stream(&mut self, from: usize, to: usize) -> bool {
        let Some(out) = self.link(from, to).out.take() else { return false };
        let lost = out.queue.len() as u64;
        if lost == 0 || !self.is_running(from) {
            return false;
        }
        self.counts_mut(from).lost += lost;
        // Kept at the sender's own end of the way back, which dies with the sender.
        let back = self.link(to, from).inward.get_or_insert_default();
        let told_already = back.lost > 0;
        back.lost += lost;
        if !told_already {
            let event = Event::Lost { to: self.name(to).clone(), messages: lost };
            self.put(from, Kind::Stream, to, event);
        }
        true
    }

    /// How many messages of `from` to `to` were lost and not told yet.
    pub(crate) fn take_lost(&mut self, from: usize, to: usize) -> u64 {
        self.link(to, from).inward.as_mut().map_or(0, |back| std::mem::take(&mut back.lost))
    }

    /// The node has read a message of `from`.
    pub(crate) fn was_read(&mut self, from: usize, to: usize) {
        if let Some(inward) = self.link(from, to).inward.as_mut() {
            inward.unread = inward.unread.saturating_sub(1);
        }
    }
}
