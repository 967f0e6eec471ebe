//! Each fault of the network in a sentence, and planted faults that the tests' own checks name.

use std::collections::VecDeque;

use magpietally_transport::Event;

use crate::inbox::Came;

mod check;
mod datagrams;
mod ports;
mod streams;
mod worlds;

/// Faults of the network itself, to show that the checks find them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Planted {
    /// A message of a stream overtakes the one before it.
    StreamReorders,
    /// Each message comes to a reader twice.
    Doubles,
    /// One byte of a message is another.
    Alters,
    /// What an older session sent is handed over after the newer was met.
    MixesSessions,
}

impl Planted {
    /// Spoils what was just put into a reader's queue.
    pub(crate) fn after_delivery(planted: Option<Self>, queue: &mut VecDeque<Came>) {
        let Some(last) = queue.len().checked_sub(1) else { return };
        match planted {
            Some(Self::StreamReorders)
                if last > 0 && matches!(queue[last - 1].event, Event::Message { .. }) =>
            {
                queue.swap(last, last - 1);
            }
            Some(Self::Doubles) => {
                let Came { order, from, event } = &queue[last];
                let twice = Came { order: *order, from: *from, event: event.clone() };
                queue.push_back(twice);
            }
            Some(Self::Alters) => {
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
