//! Two nodes that talk, and the check of what the reader got.

use std::time::Duration;

use magpietally_transport::{Event, Kind, Name, SendError};

use super::Planted;
use crate::{Faults, Limits, Net};

pub(super) const S: Duration = Duration::from_secs(1);
pub(super) const MS: Duration = Duration::from_millis(1);

pub(super) fn name(i: usize) -> Name {
    Name::new(&format!("n{i}")).expect("a good name")
}

/// `n` nodes that run, on a network with `faults`.
pub(super) fn net(n: usize, seed: u64, faults: Faults, limits: Limits) -> Net {
    let mut net = Net::new(seed, faults, limits);
    for i in 0..n {
        assert_eq!(net.add(&name(i)), Some(i));
        net.start(i);
    }
    net
}

/// Node 0 and node 1; 0 sends numbered messages, 1 keeps what came.
pub(super) struct Pair {
    pub(super) net: Net,
    pub(super) kind: Kind,
    pub(super) next: u64,
    /// What node 1 read.
    pub(super) got: Vec<Event>,
    /// What node 0 read.
    pub(super) told: Vec<Event>,
}

impl Pair {
    pub(super) fn new(kind: Kind, seed: u64, faults: Faults) -> Self {
        Self::bounded(kind, seed, faults, Limits::default())
    }

    pub(super) fn bounded(kind: Kind, seed: u64, faults: Faults, limits: Limits) -> Self {
        Self { net: net(2, seed, faults, limits), kind, next: 0, got: Vec::new(), told: Vec::new() }
    }

    pub(super) fn planted(mut self, fault: Planted) -> Self {
        self.net.planted = Some(fault);
        self
    }

    /// Sends one message; its number is its bytes, with their complement as a check of them.
    pub(super) fn send(&mut self) -> Result<(), SendError> {
        let n = self.next;
        self.net.send(0, &name(1), self.kind, [n.to_be_bytes(), (!n).to_be_bytes()].concat())?;
        self.next += 1;
        Ok(())
    }

    pub(super) fn send_many(&mut self, n: usize) {
        for _ in 0..n {
            self.send().expect("there is place");
        }
    }

    /// One message each millisecond for `d`.
    pub(super) fn talk(&mut self, d: Duration) {
        for _ in 0..d.as_millis() {
            let _ = self.send();
            self.run(MS);
        }
    }

    /// Time goes on while nobody reads.
    pub(super) fn run_unread(&mut self, d: Duration) {
        let end = self.net.now() + d;
        while self.net.step(end).is_some() {}
    }

    pub(super) fn read(&mut self) {
        self.got.extend(std::iter::from_fn(|| self.net.read(1, Some(self.kind))));
        self.told.extend(std::iter::from_fn(|| self.net.read(0, Some(self.kind))));
    }

    pub(super) fn run(&mut self, d: Duration) {
        self.run_unread(d);
        self.read();
    }

    /// The numbers of what node 1 got.
    pub(super) fn numbers(&self) -> Vec<u64> {
        self.got
            .iter()
            .filter_map(|e| match e {
                Event::Message { bytes, .. } => bytes.first_chunk().map(|n| u64::from_be_bytes(*n)),
                _ => None,
            })
            .collect()
    }

    /// How many messages node 0 was told are lost.
    pub(super) fn lost(&self) -> u64 {
        self.told.iter().map(|e| if let Event::Lost { messages, .. } = e { *messages } else { 0 }).sum()
    }
}

/// What a reader's record breaks of what its kind promises, by name.
pub(super) fn check(kind: Kind, got: &[Event]) -> Result<(), String> {
    let mut met = 0;
    let mut last = None;
    for event in got {
        match event {
            Event::NewSession(peer) if peer.session.0 <= met => {
                return Err(format!("{peer} was met after #{met}"))
            }
            Event::NewSession(peer) => (met, last) = (peer.session.0, None),
            Event::Message { from, bytes } => {
                if from.session.0 != met {
                    return Err(format!("a message of {from} after #{met} was met"));
                }
                let (n, sum) = bytes.split_at(bytes.len() / 2);
                if bytes.len() != 16 || n.iter().zip(sum).any(|(a, b)| *a != !*b) {
                    return Err(format!("an altered message: {bytes:?}"));
                }
                let n = u64::from_be_bytes(n.try_into().expect("eight bytes"));
                if kind == Kind::Stream && last == Some(n) {
                    return Err(format!("message {n} came twice"));
                }
                if kind == Kind::Stream && last.is_some_and(|last| last > n) {
                    return Err(format!("message {n} came out of order"));
                }
                last = Some(n);
            }
            Event::Lost { .. } | Event::Dropped(_) => {}
        }
    }
    Ok(())
}

/// A network on which every fault is likely.
pub(super) fn rough() -> Faults {
    Faults { loss: 0.2, duplicate: 0.2, reorder: 0.2, jitter: 20 * MS, ..Faults::default() }
}

#[test]
fn the_check_names_a_network_that_reorders_a_stream_doubles_or_alters() {
    let broken = |fault| {
        let mut pair = Pair::new(Kind::Stream, 1, Faults::default()).planted(fault);
        pair.send_many(20);
        pair.run(S);
        check(Kind::Stream, &pair.got).expect_err("a planted fault")
    };
    assert!(broken(Planted::StreamReorders).contains("out of order"));
    assert!(broken(Planted::Doubles).contains("came twice"));
    assert!(broken(Planted::Alters).contains("altered"));
}

#[test]
fn the_check_names_a_network_that_mixes_sessions() {
    let mut pair = Pair::new(Kind::Datagram, 1, Faults { jitter: 500 * MS, ..Faults::default() })
        .planted(Planted::MixesSessions);
    pair.send_many(50);
    pair.net.start(0);
    pair.send_many(50);
    pair.run(S);
    let named = check(Kind::Datagram, &pair.got).expect_err("a planted fault");
    assert!(named.contains("n0#1 after #2"), "{named}");
}
