//! Two communicating nodes, and the check of the events that the receiver reads.

use std::time::Duration;

use magpietally_transport::{Event, Kind, Name, SendError};

use super::InjectedFault;
use crate::{Faults, Limits, Net};

pub(super) const S: Duration = Duration::from_secs(1);
pub(super) const MS: Duration = Duration::from_millis(1);

pub(super) fn name(i: usize) -> Name {
    Name::new(&format!("n{i}")).expect("valid name")
}

/// Creates a network with `faults` and `n` running nodes.
pub(super) fn net(n: usize, seed: u64, faults: Faults, limits: Limits) -> Net {
    let mut net = Net::new(seed, faults, limits);
    for i in 0..n {
        assert_eq!(net.add(&name(i)), Some(i));
        net.start(i);
    }
    net
}

/// Two nodes: node 0 sends numbered messages, and node 1 records the events it reads.
pub(super) struct Pair {
    pub(super) net: Net,
    pub(super) kind: Kind,
    pub(super) next: u64,
    /// The events that node 1 read.
    pub(super) received: Vec<Event>,
    /// The events that node 0 read.
    pub(super) sender_events: Vec<Event>,
}

impl Pair {
    pub(super) fn new(kind: Kind, seed: u64, faults: Faults) -> Self {
        Self::with_limits(kind, seed, faults, Limits::default())
    }

    pub(super) fn with_limits(kind: Kind, seed: u64, faults: Faults, limits: Limits) -> Self {
        Self {
            net: net(2, seed, faults, limits),
            kind,
            next: 0,
            received: Vec::new(),
            sender_events: Vec::new(),
        }
    }

    pub(super) fn with_fault(mut self, fault: InjectedFault) -> Self {
        self.net.injected_fault = Some(fault);
        self
    }

    /// Sends one message: its number, followed by the complement of the number as a checksum.
    pub(super) fn send(&mut self) -> Result<(), SendError> {
        let n = self.next;
        self.net.send(0, &name(1), self.kind, [n.to_be_bytes(), (!n).to_be_bytes()].concat())?;
        self.next += 1;
        Ok(())
    }

    pub(super) fn send_many(&mut self, n: usize) {
        for _ in 0..n {
            self.send().expect("the queue has space");
        }
    }

    /// Sends one message each millisecond for `d`.
    pub(super) fn send_every_ms(&mut self, d: Duration) {
        for _ in 0..d.as_millis() {
            let _ = self.send();
            self.run(MS);
        }
    }

    /// Advances the time by `d` while nobody reads.
    pub(super) fn run_unread(&mut self, d: Duration) {
        let end = self.net.now() + d;
        while self.net.step(end).is_some() {}
    }

    pub(super) fn read(&mut self) {
        self.received.extend(std::iter::from_fn(|| self.net.read(1, Some(self.kind))));
        self.sender_events.extend(std::iter::from_fn(|| self.net.read(0, Some(self.kind))));
    }

    pub(super) fn run(&mut self, d: Duration) {
        self.run_unread(d);
        self.read();
    }

    /// Returns the numbers of the messages that node 1 read.
    pub(super) fn numbers(&self) -> Vec<u64> {
        self.received
            .iter()
            .filter_map(|e| match e {
                Event::Message { bytes, .. } => bytes.first_chunk().map(|n| u64::from_be_bytes(*n)),
                _ => None,
            })
            .collect()
    }

    /// Returns the number of messages reported to node 0 as lost.
    pub(super) fn lost(&self) -> u64 {
        self.sender_events
            .iter()
            .map(|e| if let Event::Lost { messages, .. } = e { *messages } else { 0 })
            .sum()
    }
}

/// Returns the first event by which the receiver's record violates a guarantee of `kind`, as an error text.
pub(super) fn check(kind: Kind, received: &[Event]) -> Result<(), String> {
    let mut latest_session = 0;
    let mut last = None;
    for event in received {
        match event {
            Event::NewSession(peer) if peer.session.0 <= latest_session => {
                return Err(format!("new session {peer} after #{latest_session}"))
            }
            Event::NewSession(peer) => (latest_session, last) = (peer.session.0, None),
            Event::Message { from, bytes } => {
                if from.session.0 != latest_session {
                    return Err(format!("a message of {from} after #{latest_session} was seen"));
                }
                let (n, sum) = bytes.split_at(bytes.len() / 2);
                if bytes.len() != 16 || n.iter().zip(sum).any(|(a, b)| *a != !*b) {
                    return Err(format!("a corrupted message: {bytes:?}"));
                }
                let n = u64::from_be_bytes(n.try_into().expect("eight bytes"));
                if kind == Kind::Stream && last == Some(n) {
                    return Err(format!("message {n} was delivered twice"));
                }
                if kind == Kind::Stream && last.is_some_and(|last| last > n) {
                    return Err(format!("message {n} was delivered out of order"));
                }
                last = Some(n);
            }
            Event::Lost { .. } | Event::Dropped(_) => {}
        }
    }
    Ok(())
}

/// Faults that each affect many messages.
pub(super) fn heavy_faults() -> Faults {
    Faults { loss: 0.2, duplicate: 0.2, reorder: 0.2, jitter: 20 * MS, ..Faults::default() }
}

#[test]
fn the_check_detects_reordered_duplicated_and_corrupted_messages() {
    let detected = |fault| {
        let mut pair = Pair::new(Kind::Stream, 1, Faults::default()).with_fault(fault);
        pair.send_many(20);
        pair.run(S);
        check(Kind::Stream, &pair.received).expect_err("the check detects the injected fault")
    };
    assert!(detected(InjectedFault::ReordersStream).contains("out of order"));
    assert!(detected(InjectedFault::Duplicates).contains("delivered twice"));
    assert!(detected(InjectedFault::Corrupts).contains("corrupted"));
}

#[test]
fn the_check_detects_messages_of_an_older_session() {
    let mut pair = Pair::new(Kind::Datagram, 1, Faults { jitter: 500 * MS, ..Faults::default() })
        .with_fault(InjectedFault::MixesSessions);
    pair.send_many(50);
    pair.net.start(0);
    pair.send_many(50);
    pair.run(S);
    let error = check(Kind::Datagram, &pair.received).expect_err("the check detects the injected fault");
    assert!(error.contains("n0#1 after #2"), "{error}");
}
