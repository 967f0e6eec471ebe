//! A harness together with the record of sent messages: nodes by number, recorded sends, and waits with a
//! timeout.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use magpietally_transport::{Capabilities, Event, Kind, SendError, Session};

use super::sent_messages::{violation, SentMessages};
use super::{node_name, Clause, Harness, Violation};

/// How far time advances between two polls.
const STEP: Duration = Duration::from_millis(4);
/// Events that one node may return at one moment; more count as an endless sequence.
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
        // The capabilities can be read only from a running node.
        let session = harness.start(0);
        let mut capabilities = Capabilities { kind: Kind::Datagram, message_max_bytes: 0, queue_capacity: 0 };
        harness.with_node(0, &mut |transport, _| capabilities = transport.capabilities());
        harness.kill(0);
        let sent = SentMessages::new(capabilities.kind);
        let started = BTreeMap::from([(0, BTreeSet::from([session]))]);
        Self { harness, sent, capabilities, running: BTreeMap::new(), started, stalled: None }
    }

    pub fn is_stream(&self) -> bool {
        self.capabilities.kind == Kind::Stream
    }

    /// Runs exactly these nodes, each in a new session, and clears the record of sent messages.
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

    /// Sends a recorded message and returns its number where it was accepted.
    pub fn send(&mut self, from: usize, to: usize, size: usize) -> Result<usize, SendError> {
        let flow = self.flow(from, to);
        let message = self.sent.next_message(flow, size);
        let mut result = Ok(());
        self.harness.with_node(from, &mut |transport, _| result = transport.send(&node_name(to), &message));
        let number = self.sent.record_send(flow, message, result.is_ok());
        result.map(|()| number)
    }

    /// Sends a message that only a full queue may refuse; returns false where it did.
    pub fn try_send(&mut self, from: usize, to: usize, size: usize) -> Result<bool, Violation> {
        match self.send(from, to, size) {
            Ok(_) => Ok(true),
            Err(SendError::Full { .. }) => Ok(false),
            Err(e) => violation(Clause::Calm, format!("n{from} to n{to}, {size} bytes: {e}")),
        }
    }

    /// Polls all nodes and advances the time by one step.
    pub fn step(&mut self) -> Result<(), Violation> {
        let nodes: Vec<usize> = self.running.keys().copied().filter(|n| Some(*n) != self.stalled).collect();
        for node in nodes {
            let mut events: Vec<Event> = Vec::new();
            self.harness.with_node(node, &mut |transport, now| {
                while events.len() <= POLL_EVENTS_MAX {
                    let Some(event) = transport.poll(now) else { break };
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

    /// Waits until everything under way has been delivered.
    pub fn settle(&mut self) -> Result<(), Violation> {
        self.advance(self.harness.settle_time())
    }

    /// Waits until `condition` returns true; it may send messages. Reports a violation of `clause` after the
    /// timeout.
    pub fn wait_until(
        &mut self,
        clause: Clause,
        detail: &str,
        mut condition: impl FnMut(&mut Self, usize) -> Result<bool, Violation>,
    ) -> Result<(), Violation> {
        let steps = self.harness.timeout().as_millis() / STEP.as_millis();
        for step in 0..steps {
            if condition(self, step as usize)? {
                return Ok(());
            }
            self.step()?;
        }
        violation(clause, detail)
    }

    /// Checks that a message of this size is delivered. A stream sends it once and again after each reported
    /// loss; a datagram is resent every 40 ms until one is delivered.
    pub fn expect_delivery(
        &mut self,
        clause: Clause,
        from: usize,
        to: usize,
        size: usize,
    ) -> Result<(), Violation> {
        // The numbers of the messages, and how many losses had been reported when the last of them was sent.
        let (mut sent, mut lost_before) = (Vec::new(), 0);
        let detail = format!("{size} bytes from n{from} were not delivered to n{to}");
        self.wait_until(clause, &detail, |cluster, step| {
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
                    Err(e) => return violation(clause, format!("{detail}: {e}")),
                }
            }
            Ok(false)
        })
    }

    /// Checks that each message that a stream accepted was delivered or reported as lost; without faults, all
    /// must be delivered.
    pub fn expect_accounted(&mut self, from: usize, to: usize, faults: bool) -> Result<(), Violation> {
        if !self.is_stream() {
            return Ok(());
        }
        let flow = self.flow(from, to);
        let detail = format!("not every message from n{from} to n{to} was delivered or reported as lost");
        self.wait_until(Clause::LossTold, &detail, |cluster, _| {
            Ok(cluster.sent.delivered_count(flow) + cluster.sent.lost_count(from, to)
                >= cluster.sent.accepted_count(flow))
        })?;
        let (delivered, accepted) = (self.sent.delivered_count(flow), self.sent.accepted_count(flow));
        if !faults && !self.harness.is_lossy() && delivered < accepted {
            return violation(
                Clause::LossTold,
                format!(
                    "{delivered} of {accepted} messages from n{from} to n{to} were delivered without a fault"
                ),
            );
        }
        Ok(())
    }
}
