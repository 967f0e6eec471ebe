//! Streams with the properties of TCP: order is kept, each message is delivered at most once within a
//! session, loss only causes delay, and a connection breaks when the messages waiting on it make no progress.
//!
//! A stream has one direction and uses one connection at a time. The sender keeps every message until the
//! receiver's kernel has acknowledged it. Acknowledgements travel over the reverse link. If that link is cut,
//! messages are delivered and later reported as lost, as on a real network.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use magpietally_transport::{Event, Kind, Session};

use crate::net::Net;
use crate::scheduled::Action;

/// How long the sender waits before it retransmits unacknowledged messages: the minimum retransmission
/// timeout of Linux.
pub const RETRANSMIT_DELAY: Duration = Duration::from_millis(200);

/// The sender's end of a connection.
pub(crate) struct SenderState {
    /// The connection's number, which is unique in the network and greater for a later connection.
    conn: u64,
    /// Messages that are not yet acknowledged; the first has the sequence number `first`.
    queue: VecDeque<Arc<Vec<u8>>>,
    first: u64,
    /// When a message was last acknowledged, or when the queue became non-empty.
    last_progress: Duration,
    /// When the last segment sent arrives; later segments arrive no earlier.
    last_due: Duration,
    /// Whether an [`Action::RetransmitTimer`] is scheduled.
    timer_scheduled: bool,
    /// The session of the receiver that the connection has reached.
    receiver_session: Option<Session>,
}

impl SenderState {
    pub(crate) fn waiting(&self) -> usize {
        self.queue.len()
    }
}

/// The receiver's end of a connection, and what the receiver has yet to read about this peer.
#[derive(Default)]
pub(crate) struct ReceiverState {
    conn: u64,
    expected: u64,
    /// Messages that were received but not read; at most [`crate::Limits::queue_capacity`].
    unread: usize,
    /// Messages to this peer that were lost and whose loss has not been read yet.
    lost: u64,
}

impl Net {
    pub(crate) fn send_stream(&mut self, from: usize, to: usize, bytes: Arc<Vec<u8>>) {
        let now = self.now();
        if self.link(from, to).sender.is_none() {
            self.order += 1;
            let sender = SenderState {
                conn: self.order,
                queue: VecDeque::new(),
                first: 0,
                last_progress: now,
                last_due: now,
                timer_scheduled: false,
                receiver_session: None,
            };
            self.link(from, to).sender = Some(Box::new(sender));
        }
        let Some(sender) = self.link(from, to).sender.as_mut() else { return };
        if sender.queue.is_empty() {
            sender.last_progress = now;
        }
        sender.queue.push_back(bytes);
        let (conn, at, start_timer) = (sender.conn, sender.queue.len() - 1, !sender.timer_scheduled);
        sender.timer_scheduled = true;
        self.send_segment(from, to, at);
        if start_timer {
            self.schedule(RETRANSMIT_DELAY, from, to, Action::RetransmitTimer { conn });
        }
    }

    /// Sends the message at index `at` of the queue if the link is open. Each loss adds [`RETRANSMIT_DELAY`],
    /// and later messages of the queue wait behind it.
    fn send_segment(&mut self, from: usize, to: usize, at: usize) {
        if !self.link(from, to).is_open() {
            return;
        }
        let faults = self.faults_of(from, to);
        let mut transit = self.transit_time(&faults);
        // Beyond `break_after` further losses make no difference: the connection breaks first.
        while transit < self.limits.break_after && self.chance(faults.loss) {
            transit += RETRANSMIT_DELAY;
        }
        let (now, session) = (self.now(), self.session(from));
        let Some(sender) = self.link(from, to).sender.as_mut() else { return };
        let Some(bytes) = sender.queue.get(at).map(Arc::clone) else { return };
        sender.last_due = sender.last_due.max(now + transit);
        let (transit, conn, seq) = (sender.last_due - now, sender.conn, sender.first + at as u64);
        self.schedule(transit, from, to, Action::Segment { session, conn, seq, bytes });
    }

    /// Retransmits all unacknowledged messages.
    pub(crate) fn resend(&mut self, from: usize, to: usize) {
        let waiting = self.link(from, to).sender.as_ref().map_or(0, |s| s.waiting());
        for at in 0..waiting {
            self.send_segment(from, to, at);
        }
    }

    /// Handles a segment that arrived at the receiver's kernel. Returns whether the receiver has something
    /// new to read.
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
                self.reply(to, from, Action::Reset { conn });
            }
            return false;
        }
        let (reader, capacity) = (self.session(to), self.limits.queue_capacity);
        let link = self.link(from, to);
        let sender = link.sender.as_mut().filter(|s| s.conn == conn);
        let receiver = link.receiver.get_or_insert_default();
        if conn < receiver.conn {
            return self.drop_outdated(from, to, Kind::Stream);
        }
        if conn > receiver.conn {
            // A connection begins with its first message and belongs to a single session of the receiver.
            if seq != 0 || sender.as_ref().is_some_and(|s| s.receiver_session.is_some_and(|r| r != reader)) {
                self.reply(to, from, Action::Reset { conn });
                return false;
            }
            (receiver.conn, receiver.expected) = (conn, 0);
        }
        if let Some(sender) = sender {
            sender.receiver_session = Some(reader);
        }
        let has_capacity = receiver.unread < capacity;
        let accepted = seq == receiver.expected && has_capacity;
        if accepted {
            receiver.expected += 1;
            receiver.unread += 1;
        }
        let next_expected = receiver.expected;
        let has_event = accepted && self.deliver(from, to, Kind::Stream, session, bytes);
        self.reply(to, from, Action::Ack { conn, next_expected });
        has_event
    }

    /// Sends a reply of the receiver's kernel over the reverse link. It may be lost; a retransmission
    /// triggers another reply.
    fn reply(&mut self, reader: usize, sender: usize, action: Action) {
        if !self.link(reader, sender).is_open() {
            return;
        }
        let faults = self.faults_of(reader, sender);
        if !self.chance(faults.loss) {
            let transit = self.transit_time(&faults);
            self.schedule(transit, reader, sender, action);
        }
    }

    pub(crate) fn on_ack(&mut self, from: usize, to: usize, conn: u64, next_expected: u64) {
        let now = self.now();
        let Some(sender) = self.link(from, to).sender.as_mut().filter(|s| s.conn == conn) else { return };
        while sender.first < next_expected && sender.queue.pop_front().is_some() {
            sender.first += 1;
            sender.last_progress = now;
        }
    }

    pub(crate) fn on_reset(&mut self, from: usize, to: usize, conn: u64) -> bool {
        let is_current = self.link(from, to).sender.as_ref().is_some_and(|s| s.conn == conn);
        is_current && self.break_stream(from, to)
    }

    /// Handles the sender's retransmission timer. Returns whether the sender has a loss to read because the
    /// connection broke.
    pub(crate) fn on_retransmit_timer(&mut self, from: usize, to: usize, conn: u64) -> bool {
        let (now, break_after) = (self.now(), self.limits.break_after);
        let Some(sender) = self.link(from, to).sender.as_mut().filter(|s| s.conn == conn) else {
            return false;
        };
        if sender.queue.is_empty() {
            sender.timer_scheduled = false;
            return false;
        }
        let breaks_at = sender.last_progress + break_after;
        if now >= breaks_at {
            return self.break_stream(from, to);
        }
        if now >= sender.last_due {
            self.resend(from, to);
        }
        self.schedule(RETRANSMIT_DELAY.min(breaks_at - now), from, to, Action::RetransmitTimer { conn });
        false
    }

    /// Breaks the connection. The sender gets one notice of the unacknowledged messages, which accumulates
    /// further losses until it is read.
    fn break_stream(&mut self, from: usize, to: usize) -> bool {
        let Some(sender) = self.link(from, to).sender.take() else { return false };
        let lost = sender.queue.len() as u64;
        if lost == 0 || !self.is_running(from) {
            return false;
        }
        self.counts_mut(from).lost += lost;
        // Stored at the sender's own end of the reverse link, which is dropped when the sender ends.
        let reverse = self.link(to, from).receiver.get_or_insert_default();
        let already_reported = reverse.lost > 0;
        reverse.lost += lost;
        if !already_reported {
            let event = Event::Lost { to: self.name(to).clone(), messages: lost };
            self.push_event(from, Kind::Stream, to, event);
        }
        true
    }

    /// Takes the number of messages from `from` to `to` that were lost and not yet reported.
    pub(crate) fn take_lost(&mut self, from: usize, to: usize) -> u64 {
        self.link(to, from).receiver.as_mut().map_or(0, |reverse| std::mem::take(&mut reverse.lost))
    }

    /// Records that the node has read a message from `from`.
    pub(crate) fn mark_read(&mut self, from: usize, to: usize) {
        if let Some(receiver) = self.link(from, to).receiver.as_mut() {
            receiver.unread = receiver.unread.saturating_sub(1);
        }
    }
}
