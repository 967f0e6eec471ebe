//! Received but unread events of a node, as the sockets of a kernel would hold them.

use std::collections::VecDeque;

use magpietally_transport::{Event, Kind};

/// One entry: its position among all entries (for reading both kinds in order), the sender's number and the
/// event.
#[derive(Debug)]
pub(crate) struct InboxEntry {
    pub(crate) order: u64,
    pub(crate) from: usize,
    pub(crate) event: Event,
}

/// The queues of one node, one for each kind.
#[derive(Debug, Default)]
pub(crate) struct Inbox {
    datagrams: VecDeque<InboxEntry>,
    stream: VecDeque<InboxEntry>,
    /// Whether datagrams were dropped because the queue was full, and the reader has not been notified yet.
    overflowed: bool,
    /// The number of waiting notices about dropped stream messages; bounded like the datagrams.
    notices: usize,
}

impl Inbox {
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    pub(crate) fn len(&self) -> usize {
        self.datagrams.len() + self.stream.len() + usize::from(self.overflowed)
    }

    /// Returns whether `more` datagrams fit. If not, the reader is notified at its next read.
    pub(crate) fn try_reserve(&mut self, more: usize, backlog: usize) -> bool {
        let fits = self.datagrams.len() + more <= backlog;
        self.overflowed |= !fits;
        fits
    }

    /// Returns the queue of `kind`. The caller bounds what it adds.
    pub(crate) fn queue_mut(&mut self, kind: Kind) -> &mut VecDeque<InboxEntry> {
        match kind {
            Kind::Datagram => &mut self.datagrams,
            Kind::Stream => &mut self.stream,
        }
    }

    /// Adds a notice that a message was dropped. If `backlog` of them wait already, no further notice is
    /// needed. Returns whether it was added.
    pub(crate) fn push_notice(&mut self, kind: Kind, entry: InboxEntry, backlog: usize) -> bool {
        let fits = match kind {
            Kind::Datagram => self.try_reserve(1, backlog),
            Kind::Stream => self.notices < backlog,
        };
        if fits {
            self.notices += usize::from(kind == Kind::Stream);
            self.queue_mut(kind).push_back(entry);
        }
        fits
    }

    /// Takes the oldest entry of `kind`.
    pub(crate) fn read(&mut self, kind: Kind) -> Option<InboxEntry> {
        if kind == Kind::Datagram && self.overflowed {
            self.overflowed = false;
            return Some(InboxEntry { order: 0, from: 0, event: Event::Dropped("the backlog was full") });
        }
        let entry = self.queue_mut(kind).pop_front()?;
        if kind == Kind::Stream && matches!(entry.event, Event::Dropped(_)) {
            self.notices = self.notices.saturating_sub(1);
        }
        Some(entry)
    }

    /// Returns the kind of the oldest entry.
    pub(crate) fn first_kind(&self) -> Option<Kind> {
        if self.overflowed {
            return Some(Kind::Datagram);
        }
        match (self.datagrams.front(), self.stream.front()) {
            (Some(d), Some(s)) if s.order < d.order => Some(Kind::Stream),
            (Some(_), _) => Some(Kind::Datagram),
            (None, Some(_)) => Some(Kind::Stream),
            (None, None) => None,
        }
    }
}
