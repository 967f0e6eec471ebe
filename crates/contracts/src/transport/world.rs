//! A rig with its book: nodes by number, sends that are written down, waits that end.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use magpietally_transport::{Capabilities, Event, Kind, SendError, Session};

use super::book::{broken, Book};
use super::{name_of, Broken, Clause, Rig};

/// How far time passes between two looks.
const STEP: Duration = Duration::from_millis(4);
/// Events that one node may bring at one moment; more is no end.
const EVENTS: usize = 100_000;

pub struct World<'r, R: Rig> {
    pub rig: &'r mut R,
    pub book: Book,
    pub promise: Capabilities,
    running: BTreeMap<usize, Session>,
    started: BTreeMap<usize, BTreeSet<Session>>,
    /// A node that is not polled.
    pub stalled: Option<usize>,
}

impl<'r, R: Rig> World<'r, R> {
    pub fn new(rig: &'r mut R) -> Self {
        // The promise is asked of an end, so one is started for it.
        let session = rig.start(0);
        let mut promise = Capabilities { kind: Kind::Datagram, message_max_bytes: 0, queue_capacity: 0 };
        rig.at(0, &mut |end, _| promise = end.capabilities());
        rig.kill(0);
        let book = Book::new(promise.kind);
        let started = BTreeMap::from([(0, BTreeSet::from([session]))]);
        Self { rig, book, promise, running: BTreeMap::new(), started, stalled: None }
    }

    pub fn stream(&self) -> bool {
        self.promise.kind == Kind::Stream
    }

    /// These nodes and no other, each at a new session, and a new book.
    pub fn begin(&mut self, nodes: &[usize]) {
        for node in 0..self.rig.nodes() {
            self.kill(node);
        }
        self.book = Book::new(self.promise.kind);
        self.stalled = None;
        for &node in nodes {
            self.start(node);
        }
    }

    pub fn start(&mut self, node: usize) {
        let session = self.rig.start(node);
        self.book.began(node, session);
        self.running.insert(node, session);
        self.started.entry(node).or_default().insert(session);
    }

    pub fn kill(&mut self, node: usize) {
        if self.running.remove(&node).is_some() {
            self.rig.kill(node);
            self.book.ended(node);
        }
    }

    pub fn session(&self, node: usize) -> Session {
        self.running.get(&node).copied().unwrap_or_default()
    }

    pub fn way(&self, from: usize, to: usize) -> (usize, Session, usize) {
        (from, self.session(from), to)
    }

    /// Sends a message of the book's; its number where it was taken.
    pub fn send(&mut self, from: usize, to: usize, size: usize) -> Result<usize, SendError> {
        let way = self.way(from, to);
        let message = self.book.message(way, size);
        let mut answer = Ok(());
        self.rig.at(from, &mut |end, _| answer = end.send(&name_of(to), &message));
        let number = self.book.sent(way, message, answer.is_ok());
        answer.map(|()| number)
    }

    /// The same where only a full queue may refuse it; false where it did.
    pub fn offer(&mut self, from: usize, to: usize, size: usize) -> Result<bool, Broken> {
        match self.send(from, to, size) {
            Ok(_) => Ok(true),
            Err(SendError::Full { .. }) => Ok(false),
            Err(e) => broken(Clause::Calm, format!("n{from} to n{to}, {size} bytes: {e}")),
        }
    }

    /// Polls everybody and lets a step pass.
    pub fn step(&mut self) -> Result<(), Broken> {
        let nodes: Vec<usize> = self.running.keys().copied().filter(|n| Some(*n) != self.stalled).collect();
        for node in nodes {
            let mut events: Vec<Event> = Vec::new();
            self.rig.at(node, &mut |end, now| {
                while events.len() <= EVENTS {
                    let Some(event) = end.poll(now) else { break };
                    events.push(event);
                }
            });
            if events.len() > EVENTS {
                return broken(Clause::Calm, format!("n{node} had {EVENTS} events at one moment"));
            }
            for event in events {
                self.book.event(node, event, &self.started)?;
            }
        }
        self.rig.pass(STEP);
        Ok(())
    }

    pub fn pass(&mut self, time: Duration) -> Result<(), Broken> {
        for _ in 0..time.as_millis().div_ceil(STEP.as_millis()) {
            self.step()?;
        }
        Ok(())
    }

    /// What would still come has come.
    pub fn settle(&mut self) -> Result<(), Broken> {
        self.pass(self.rig.quiet())
    }

    /// Waits until it holds; `act` may send in between. The clause is broken where patience ends first.
    pub fn until(
        &mut self,
        clause: Clause,
        what: &str,
        mut act: impl FnMut(&mut Self, usize) -> Result<bool, Broken>,
    ) -> Result<(), Broken> {
        let steps = self.rig.patience().as_millis() / STEP.as_millis();
        for step in 0..steps {
            if act(self, step as usize)? {
                return Ok(());
            }
            self.step()?;
        }
        broken(clause, what)
    }

    /// A message of this size arrives: sent once on a stream and again where it is told as lost, a datagram every
    /// 40 ms until one came.
    pub fn heard(&mut self, clause: Clause, from: usize, to: usize, size: usize) -> Result<(), Broken> {
        // Their numbers, and how many losses were told when the last of them was sent.
        let (mut sent, mut told) = (Vec::new(), 0);
        let what = format!("{size} bytes from n{from} did not come to n{to}");
        self.until(clause, &what, |w, step| {
            let way = w.way(from, to);
            if sent.iter().any(|number| w.book.came(way, *number)) {
                return Ok(true);
            }
            let lost = w.book.lost(from, to);
            let again = sent.is_empty() || if w.stream() { lost > told } else { step % 10 == 0 };
            if again {
                match w.send(from, to, size) {
                    Ok(number) => {
                        sent.push(number);
                        told = lost;
                    }
                    Err(SendError::Full { .. }) => {}
                    Err(e) => return broken(clause, format!("{what}: {e}")),
                }
            }
            Ok(false)
        })
    }

    /// All that a stream took from one to the other has come or was told as lost; without faults, has come.
    pub fn accounted(&mut self, from: usize, to: usize, faults: bool) -> Result<(), Broken> {
        if !self.stream() {
            return Ok(());
        }
        let way = self.way(from, to);
        let what = format!("not all from n{from} to n{to} came or was told as lost");
        self.until(Clause::LossTold, &what, |w, _| {
            Ok(w.book.got(way) + w.book.lost(from, to) >= w.book.taken(way))
        })?;
        let (got, taken) = (self.book.got(way), self.book.taken(way));
        if !faults && !self.rig.faulty() && got < taken {
            return broken(
                Clause::LossTold,
                format!("{got} of {taken} came from n{from} to n{to} with no fault"),
            );
        }
        Ok(())
    }
}
