//! Tests of each fault of the network, and faults injected into the network that the tests' checks must
//! detect.

use std::collections::VecDeque;

use magpietally_transport::Event;

use crate::inbox::InboxEntry;

mod check;
mod datagrams;
mod ports;
mod streams;
mod worlds;

/// Faults injected into the network itself, to show that the checks detect them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InjectedFault {
    /// A message of a stream overtakes the one before it.
    ReordersStream,
    /// Each message is delivered twice.
    Duplicates,
    /// One byte of a message is changed.
    Corrupts,
    /// Messages of an older session are delivered after a newer session was seen.
    MixesSessions,
}

impl InjectedFault {
    /// Applies the fault to the entry just added to a reader's queue.
    pub(crate) fn after_delivery(injected_fault: Option<Self>, queue: &mut VecDeque<InboxEntry>) {
        let Some(last) = queue.len().checked_sub(1) else { return };
        match injected_fault {
            Some(Self::ReordersStream)
                if last > 0 && matches!(queue[last - 1].event, Event::Message { .. }) =>
            {
                queue.swap(last, last - 1);
            }
            Some(Self::Duplicates) => {
                let InboxEntry { order, from, event } = &queue[last];
                let copy = InboxEntry { order: *order, from: *from, event: event.clone() };
                queue.push_back(copy);
            }
            Some(Self::Corrupts) => {
                if let Event::Message { bytes, .. } = &mut queue[last].event {
                    if let Some(byte) = bytes.last_mut() {
                        *byte ^= 1;
                    }
                }
            }
            _ => {}
        }
    }
}
