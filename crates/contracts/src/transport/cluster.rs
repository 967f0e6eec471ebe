//! A rig with its book: nodes by number, sends that are written down, waits that end.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use magpietally_transport::{Capabilities, Event, Kind, SendError, Session};

use super::sent_messages::{violation, SentMessages};
use super::{node_name, Clause, Harness, Violation};

/// How far time passes between two looks.
const STEP: Duration = Duration::from_millis(4);
/// Events that one node may bring at one moment; more is no end.
const POLL_EVENTS_MAX: usize = 100_000;

pub struct Cluster<'r, R: Harness> {
    pub harness: &'r mut R,
    pub sent: SentMessages,
    pub capabilities: Capabilities,
    running: BTreeMap<usize, Session>,
    started: BTreeMap<usize, BTreeSet<Session>>,
    /// A node that is not polled.
    pub stalled: Option<usize>,
}

impl<'r, R: Harness> Cluster<'r, R> {
    pub fn new(harness: &'r mut R) -> Self {
        // The promise is asked of an end, so one is started for it.
        let session = harness.start(0);
        let mut capabilities = Capabilities { kind: Kind::Datagram, message_max_bytes: 0, queue_capacity: 0 };
        harness.with_node(0, &mut |end, _| capabilities = end.capabilities());
        harness.kill(0);
        let sent = SentMessages::new(capabilities.kind);
        let started = BTreeMap::from([(0, BTreeSet::from([session]))]);
        Self { harness, sent, capabilities, running: BTreeMap::new(), started, stalled: None }
    }

    pub fn is_stream(&self) -> bool {
        self.capabilities.kind == Kind::Stream
    }

    /// These nodes and no other, each at a new session, and a new book.
    pub fn restart_with(&mut self, nodes: &[usize]) {
        for node in 0..self.harness.node_count() {
            self.kill(node);
        }
        self.sent = SentMessages::new(self.capabilities.kind);
        self.stalled = None;
        for &node in nodes {
            self.start(node);
        }
    }

    pub fn start(&mut self, node: usize) {
        let session = self.harness.start(node);
        self.sent.node_started(node, session);
        self.running.insert(node, session);
        self.started.entry(node).or_default().insert(session);
    }

    pub fn kill(&mut self, node: usize) {
        if self.running.remove(&node).is_some() {
            self.harness.kill(node);
            self.sent.node_stopped(node);
        }
    }

    pub fn session(&self, node: usize) -> Session {
        self.running.get(&node).copied().unwrap_or_default()
    }

    pub fn flow(&self, from: usize, to: usize) -> (usize, Session, usize) {
        (from, self.session(from), to)
    }

    /// Sends a message of the book's; its number where it was taken.
    pub fn send(&mut self, from: usize, to: usize, size: usize) -> Result<usize, SendError> {
        let flow = self.flow(from, to);
        let message = self.sent.next_message(flow, size);
        let mut result = Ok(());
        self.harness.with_node(from, &mut |end, _| result = end.send(&node_name(to), &message));
        let number = self.sent.record_send(flow, message, result.is_ok());
        result.map(|()| number)
    }

    /// The same where only a full queue may refuse it; false where it did.
    pub fn try_send(&mut self, from: usize, to: usize, size: usize) -> Result<bool, Violation> {
        match self.send(from, to, size) {
            Ok(_) => Ok(true),
            Err(SendError::Full { .. }) => Ok(false),
            Err(e) => violation(Clause::Calm, format!("n{from} to n{to}, {size} bytes: {e}")),
        }
    }

    /// Polls everybody and lets a step pass.
    pub fn step(&mut self) -> Result<(), Violation> {
        let nodes: Vec<usize> = self.running.keys().copied().filter(|n| Some(*n) != self.stalled).collect();
        for node in nodes {
            let mut events: Vec<Event> = Vec::new();
            self.harness.with_node(node, &mut |end, now| {
                while events.len() <= POLL_EVENTS_MAX {
                    let Some(event) = end.poll(now) else { break };
                    events.push(event);
                }
            });
            if events.len() > POLL_EVENTS_MAX {
                return violation(
                    Clause::Calm,
                    format!("n{node} had {POLL_EVENTS_MAX} events at one moment"),
                );
            }
            for event in events {
                self.sent.check_event(node, event, &self.started)?;
            }
        }
        self.harness.advance(STEP);
        Ok(())
    }

    pub fn advance(&mut self, time: Duration) -> Result<(), Violation> {
        for _ in 0..time.as_millis().div_ceil(STEP.as_millis()) {
            self.step()?;
        }
        Ok(())
    }

    /// What would still come has come.
    pub fn settle(&mut self) -> Result<(), Violation> {
        self.advance(self.harness.settle_time())
    }

    /// Waits until it holds; `act` may send in between. The clause is broken where patience ends first.
    pub fn wait_until(
        &mut self,
        clause: Clause,
        what: &str,
        mut act: impl FnMut(&mut Self, usize) -> Result<bool, Violation>,
    ) -> Result<(), Violation> {
        let steps = self.harness.timeout().as_millis() / STEP.as_millis();
        for step in 0..steps {
            if act(self, step as usize)? {
                return Ok(());
            }
            self.step()?;
        }
        violation(clause, what)
    }

    /// A message of this size arrives: sent once on a stream and again where it is told as lost, a datagram every
    /// 40 ms until one came.
    pub fn expect_delivery(
        &mut self,
        clause: Clause,
        from: usize,
        to: usize,
        size: usize,
    ) -> Result<(), Violation> {
        // Their numbers, and how many losses were told when the last of them was sent.
        let (mut sent, mut lost_before) = (Vec::new(), 0);
        let what = format!("{size} bytes from n{from} did not come to n{to}");
        self.wait_until(clause, &what, |cluster, step| {
            let flow = cluster.flow(from, to);
            if sent.iter().any(|number| cluster.sent.is_delivered(flow, *number)) {
                return Ok(true);
            }
            let lost = cluster.sent.lost_count(from, to);
            let resend =
                sent.is_empty() || if cluster.is_stream() { lost > lost_before } else { step % 10 == 0 };
            if resend {
                match cluster.send(from, to, size) {
                    Ok(number) => {
                        sent.push(number);
                        lost_before = lost;
                    }
                    Err(SendError::Full { .. }) => {}
                    Err(e) => return violation(clause, format!("{what}: {e}")),
                }
            }
            Ok(false)
        })
    }

    /// All that a stream took from one to the other has come or was told as lost; without faults, has come.
    pub fn expect_accounted(&mut self, from: usize, to: usize, faults: bool) -> Result<(), Violation> {
        if !self.is_stream() {
            return Ok(());
        }
        let flow = self.flow(from, to);
        let what = format!("not all from n{from} to n{to} came or was told as lost");
        self.wait_until(Clause::LossTold, &what, |cluster, _| {
            Ok(cluster.sent.delivered_count(flow) + cluster.sent.lost_count(from, to)
                >= cluster.sent.accepted_count(flow))
        })?;
        let (delivered, accepted) = (self.sent.delivered_count(flow), self.sent.accepted_count(flow));
        if !faults && !self.harness.is_lossy() && delivered < accepted {
            return violation(
                Clause::LossTold,
                format!("{delivered} of {accepted} came from n{from} to n{to} with no fault"),
            );
        }
        Ok(())
    }
}
