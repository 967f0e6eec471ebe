//! The record of sent and delivered messages, against which every event of every node is checked.

use std::collections::{BTreeMap, BTreeSet};

use magpietally_transport::{Event, Kind, Name, Peer, Session};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::{node_name, Clause, Violation};

/// Each message of the suite begins with a marker byte, the sender, the receiver, the session and the message
/// number.
pub const TAG_BYTES: usize = 1 + 2 + 2 + 8 + 4;
const TAG_MARKER: u8 = 0xc5;

pub fn violation<T>(clause: Clause, detail: impl Into<String>) -> Result<T, Violation> {
    Err(Violation { clause, detail: detail.into() })
}

/// Sender, its session, and receiver.
type Flow = (usize, Session, usize);

#[derive(Debug, Default)]
struct FlowRecord {
    /// All messages passed to the transport, accepted or refused.
    messages: Vec<Vec<u8>>,
    refused: BTreeSet<usize>,
    delivered: BTreeSet<usize>,
    last_delivered: Option<usize>,
}

/// Record of the sent messages of one scenario, and of the events that its nodes reported.
#[derive(Debug)]
pub struct SentMessages {
    kind: Kind,
    /// The first session of each node in this scenario. Messages of an earlier session may still reach a node
    /// that has not seen a later one, and are ignored.
    first_session: BTreeMap<usize, Session>,
    flows: BTreeMap<Flow, FlowRecord>,
    /// The last session of a node that another node has seen, by (observer, observed).
    last_seen: BTreeMap<(usize, usize), Session>,
    lost: BTreeMap<(usize, usize), u64>,
    dropped: BTreeMap<usize, u64>,
    /// A message that must be rejected, and the clause that is violated if it is delivered.
    rejected: Option<(Clause, Vec<u8>)>,
}

impl SentMessages {
    pub fn new(kind: Kind) -> Self {
        Self {
            kind,
            first_session: BTreeMap::new(),
            flows: BTreeMap::new(),
            last_seen: BTreeMap::new(),
            lost: BTreeMap::new(),
            dropped: BTreeMap::new(),
            rejected: None,
        }
    }

    /// The next message of a flow: its tag and seeded noise, `size` bytes in all (only zeros where `size` is
    /// smaller than a tag).
    pub fn next_message(&self, flow: Flow, size: usize) -> Vec<u8> {
        if size < TAG_BYTES {
            return vec![0; size];
        }
        let number = self.flows.get(&flow).map_or(0, |s| s.messages.len()) as u32;
        let mut out = vec![TAG_MARKER];
        out.extend_from_slice(&(flow.0 as u16).to_le_bytes());
        out.extend_from_slice(&(flow.2 as u16).to_le_bytes());
        out.extend_from_slice(&flow.1 .0.to_le_bytes());
        out.extend_from_slice(&number.to_le_bytes());
        let mut noise = Pcg64::seed_from_u64(u64::from(number) ^ (flow.1 .0 << 20));
        out.extend((TAG_BYTES..size).map(|_| noise.random::<u8>()));
        out
    }

    pub fn record_send(&mut self, flow: Flow, message: Vec<u8>, accepted: bool) -> usize {
        let sent = self.flows.entry(flow).or_default();
        if !accepted {
            sent.refused.insert(sent.messages.len());
        }
        sent.messages.push(message);
        sent.messages.len() - 1
    }

    pub fn expect_rejected(&mut self, clause: Clause, message: &[u8]) {
        self.rejected = Some((clause, message.to_vec()));
    }

    pub fn is_delivered(&self, flow: Flow, number: usize) -> bool {
        self.flows.get(&flow).is_some_and(|s| s.delivered.contains(&number))
    }

    pub fn delivered_count(&self, flow: Flow) -> usize {
        self.flows.get(&flow).map_or(0, |s| s.delivered.len())
    }

    pub fn accepted_count(&self, flow: Flow) -> usize {
        self.flows.get(&flow).map_or(0, |s| s.messages.len() - s.refused.len())
    }

    pub fn lost_count(&self, from: usize, to: usize) -> usize {
        self.lost.get(&(from, to)).copied().unwrap_or(0) as usize
    }

    pub fn dropped_count(&self, node: usize) -> u64 {
        self.dropped.get(&node).copied().unwrap_or(0)
    }

    /// Records the start of a node.
    pub fn node_started(&mut self, node: usize, session: Session) {
        self.first_session.entry(node).or_insert(session);
    }

    /// Records the end of a node, which loses its knowledge of other sessions.
    pub fn node_stopped(&mut self, node: usize) {
        self.last_seen.retain(|(at, _), _| *at != node);
    }

    /// Checks an event at `node` against the record. `started` are all sessions that each node has had.
    pub fn check_event(
        &mut self,
        node: usize,
        event: Event,
        started: &BTreeMap<usize, BTreeSet<Session>>,
    ) -> Result<(), Violation> {
        match event {
            Event::Dropped(_) => *self.dropped.entry(node).or_default() += 1,
            Event::Lost { to, messages } => match node_number(&to) {
                Some(to) => *self.lost.entry((node, to)).or_default() += messages,
                None => {
                    return violation(
                        Clause::NothingInvented,
                        format!("a loss reported for {to}, to which nothing was sent"),
                    )
                }
            },
            Event::NewSession(peer) => {
                let from = self.check_sender(&peer, started, None)?;
                if let Some(before) = self.last_seen.insert((node, from), peer.session) {
                    if before >= peer.session {
                        let older = before > peer.session;
                        let clause = if older { Clause::NothingOlder } else { Clause::RestartTold };
                        return violation(
                            clause,
                            format!("n{node} reported session {peer} after #{}", before.0),
                        );
                    }
                }
            }
            Event::Message { from, bytes } => {
                let sender = self.check_sender(&from, started, Some(&bytes))?;
                match self.last_seen.get(&(node, sender)) {
                    Some(seen) if *seen == from.session => {}
                    Some(seen) if *seen > from.session => {
                        let detail =
                            format!("n{node} received a message of {from} after session #{}", seen.0);
                        return violation(Clause::NothingOlder, detail);
                    }
                    _ => {
                        let detail =
                            format!("n{node} received a message of {from} before that session was reported");
                        return violation(Clause::RestartTold, detail);
                    }
                }
                if self.first_session.get(&sender).is_none_or(|first| from.session < *first) {
                    return Ok(());
                }
                self.check_message((sender, from.session, node), &bytes)?;
            }
        }
        Ok(())
    }

    fn check_sender(
        &self,
        peer: &Peer,
        started: &BTreeMap<usize, BTreeSet<Session>>,
        bytes: Option<&[u8]>,
    ) -> Result<usize, Violation> {
        let number = node_number(&peer.name);
        if let Some(number) = number.filter(|n| started.get(n).is_some_and(|s| s.contains(&peer.session))) {
            if bytes.is_none()
                || self.rejected.as_ref().is_none_or(|(_, message)| Some(&message[..]) != bytes)
            {
                return Ok(number);
            }
        }
        match &self.rejected {
            Some((clause, _)) => violation(*clause, format!("a message or session of {peer} was accepted")),
            None => violation(
                Clause::NothingInvented,
                format!("{peer} never ran, but a message or session of it was accepted"),
            ),
        }
    }

    fn check_message(&mut self, flow: Flow, bytes: &[u8]) -> Result<(), Violation> {
        let (from, session, to) = flow;
        let received = format!("{} bytes from n{from}#{} to n{to}", bytes.len(), session.0);
        let number = match parse_tag(bytes) {
            Some((tagged, number)) if tagged == flow => number,
            Some(((f, s, t), _)) if f == from && t == to && s != session => {
                return violation(Clause::NothingOlder, format!("{received}, sent at #{}", s.0));
            }
            _ => match self.find_untagged(flow, bytes) {
                Some(number) => number,
                None => return self.classify_unsent(flow, bytes, &received),
            },
        };
        let stream = self.kind == Kind::Stream;
        let Some(sent) = self.flows.get_mut(&flow).filter(|s| number < s.messages.len()) else {
            return violation(Clause::NothingInvented, format!("{received}: number {number} was not sent"));
        };
        let original = &sent.messages[number];
        if original != bytes {
            return if bytes.len() < original.len() && original.starts_with(bytes) {
                violation(
                    Clause::OversizedRefused,
                    format!("{received}: truncated from {} bytes", original.len()),
                )
            } else {
                violation(Clause::NothingAltered, format!("{received}: number {number} was altered"))
            };
        }
        if sent.refused.contains(&number) {
            return violation(Clause::NothingInvented, format!("{received}: number {number} was refused"));
        }
        if stream && sent.delivered.contains(&number) {
            return violation(Clause::AtMostOnce, format!("{received}: number {number} was delivered again"));
        }
        if stream && sent.last_delivered.is_some_and(|last| number < last) {
            return violation(
                Clause::Order,
                format!("{received}: number {number} was delivered after {:?}", sent.last_delivered),
            );
        }
        sent.delivered.insert(number);
        sent.last_delivered = Some(number);
        Ok(())
    }

    /// Finds a message too short for a tag: the first one with this content that has not been delivered.
    fn find_untagged(&self, flow: Flow, bytes: &[u8]) -> Option<usize> {
        let sent = self.flows.get(&flow).filter(|_| bytes.len() < TAG_BYTES)?;
        let is_same = |n: &usize| sent.messages[*n] == bytes;
        let last_same = (0..sent.messages.len()).rfind(is_same);
        (0..sent.messages.len()).filter(is_same).find(|n| !sent.delivered.contains(n)).or(last_same)
    }

    /// Reports bytes that match no sent message: a sent one with a few bytes changed, or an invented one.
    fn classify_unsent(&self, flow: Flow, bytes: &[u8], received: &str) -> Result<(), Violation> {
        let is_near = |m: &Vec<u8>| {
            m.len() == bytes.len()
                && !m.is_empty()
                && m.iter().zip(bytes).filter(|(a, b)| a != b).count() <= 4
        };
        if self.flows.get(&flow).is_some_and(|s| s.messages.iter().any(is_near)) {
            return violation(Clause::NothingAltered, format!("{received}: a few bytes differ"));
        }
        violation(Clause::NothingInvented, format!("{received}: it was never sent"))
    }
}

fn node_number(name: &Name) -> Option<usize> {
    let number = name.as_str().strip_prefix('n')?.parse().ok()?;
    (node_name(number) == *name).then_some(number)
}

fn parse_tag(bytes: &[u8]) -> Option<(Flow, usize)> {
    let field = |at: usize, n: usize| bytes.get(at..at + n);
    if bytes.first() != Some(&TAG_MARKER) {
        return None;
    }
    let from = u16::from_le_bytes(field(1, 2)?.try_into().ok()?);
    let to = u16::from_le_bytes(field(3, 2)?.try_into().ok()?);
    let session = u64::from_le_bytes(field(5, 8)?.try_into().ok()?);
    let number = u32::from_le_bytes(field(13, 4)?.try_into().ok()?);
    Some(((usize::from(from), Session(session), usize::from(to)), number as usize))
}
