//! What came to a node and was not read yet, as a kernel's sockets would hold it.

use std::collections::VecDeque;

use magpietally_transport::{Event, Kind};

/// One entry: when it came among all (to read both kinds in order), from whom, what.
#[derive(Debug)]
pub(crate) struct Came {
    pub(crate) order: u64,
    pub(crate) from: usize,
    pub(crate) event: Event,
}

/// Both kinds' queues of one node.
#[derive(Debug, Default)]
pub(crate) struct Inbox {
    datagrams: VecDeque<Came>,
    stream: VecDeque<Came>,
    /// Datagrams that were dropped as the queue was full and of which the reader was not told.
    overflowed: bool,
    /// Notices of dropped stream messages that wait; bounded like the datagrams.
    notices: usize,
}

impl Inbox {
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    pub(crate) fn len(&self) -> usize {
        self.datagrams.len() + self.stream.len() + usize::from(self.overflowed)
    }

    /// Whether `more` datagrams fit; if not, the reader will be told at its next read.
    pub(crate) fn fits(&mut self, more: usize, backlog: usize) -> bool {
        let fits = self.datagrams.len() + more <= backlog;
        self.overflowed |= !fits;
        fits
    }

    /// The queue of `kind`, for what its caller has bounded.
    pub(crate) fn of(&mut self, kind: Kind) -> &mut VecDeque<Came> {
        match kind {
            Kind::Datagram => &mut self.datagrams,
            Kind::Stream => &mut self.stream,
        }
    }

    /// A notice that something was dropped; past `backlog` of them the reader has been told often enough.
    pub(crate) fn notice(&mut self, kind: Kind, came: Came, backlog: usize) -> bool {
        let fits = match kind {
            Kind::Datagram => self.fits(1, backlog),
            Kind::Stream => self.notices < backlog,
        };
        if fits {
            self.notices += usize::from(kind == Kind::Stream);
            self.of(kind).push_back(came);
        }
        fits
    }

    /// The next entry of `kind`.
    pub(crate) fn read(&mut self, kind: Kind) -> Option<Came> {
        if kind == Kind::Datagram && self.overflowed {
            self.overflowed = false;
            return Some(Came { order: 0, from: 0, event: Event::Dropped("the backlog was full") });
        }
        let came = self.of(kind).pop_front()?;
        if kind == Kind::Stream && matches!(came.event, Event::Dropped(_)) {
            self.notices = self.notices.saturating_sub(1);
        }
        Some(came)
    }

    /// The kind of the entry that came first.
    pub(crate) fn first(&self) -> Option<Kind> {
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
