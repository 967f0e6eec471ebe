//! What was sent and what came: every event of every node is held against it.

use std::collections::{BTreeMap, BTreeSet};

use magpietally_transport::{Event, Kind, Name, Peer, Session};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::{node_name, Clause, Violation};

/// A mark, the sender, the receiver, the session and the number: what a message of the suite begins with.
pub const TAG_BYTES: usize = 1 + 2 + 2 + 8 + 4;
const TAG_MARKER: u8 = 0xc5;

pub fn violation<T>(clause: Clause, detail: impl Into<String>) -> Result<T, Violation> {
    Err(Violation { clause, detail: detail.into() })
}

/// From whom, at which session, to whom.
type Flow = (usize, Session, usize);

#[derive(Debug, Default)]
struct FlowRecord {
    /// All that were handed to the transport, taken or refused.
    messages: Vec<Vec<u8>>,
    refused: BTreeSet<usize>,
    delivered: BTreeSet<usize>,
    last_delivered: Option<usize>,
}

/// See the module.
#[derive(Debug)]
pub struct SentMessages {
    kind: Kind,
    /// The first session of each node in this story. What an earlier one sent may still come to a node that has met no
    /// later one, and is nothing to this book.
    first_session: BTreeMap<usize, Session>,
    flows: BTreeMap<Flow, FlowRecord>,
    /// The session at which a node met another last.
    last_met: BTreeMap<(usize, usize), Session>,
    lost: BTreeMap<(usize, usize), u64>,
    dropped: BTreeMap<usize, u64>,
    /// What a ghost says and which clause it breaks where it is heard.
    rejected: Option<(Clause, Vec<u8>)>,
}

impl SentMessages {
    pub fn new(kind: Kind) -> Self {
        Self {
            kind,
            first_session: BTreeMap::new(),
            flows: BTreeMap::new(),
            last_met: BTreeMap::new(),
            lost: BTreeMap::new(),
            dropped: BTreeMap::new(),
            rejected: None,
        }
    }

    /// The next message on a way: its tag and seeded noise, cut to `size` (less than a tag: all zeros).
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

    /// A node began.
    pub fn node_started(&mut self, node: usize, session: Session) {
        self.first_session.entry(node).or_insert(session);
    }

    /// A node was ended: what it knew went with it.
    pub fn node_stopped(&mut self, node: usize) {
        self.last_met.retain(|(at, _), _| *at != node);
    }

    /// Holds an event at `node` against the book. `started` are the sessions that a node ever had.
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
                        format!("a loss to {to}, to whom nothing went"),
                    )
                }
            },
            Event::NewSession(peer) => {
                let from = self.check_sender(&peer, started, None)?;
                if let Some(before) = self.last_met.insert((node, from), peer.session) {
                    if before >= peer.session {
                        let older = before > peer.session;
                        let clause = if older { Clause::NothingOlder } else { Clause::RestartTold };
                        return violation(clause, format!("n{node} met {peer} after #{}", before.0));
                    }
                }
            }
            Event::Message { from, bytes } => {
                let sender = self.check_sender(&from, started, Some(&bytes))?;
                match self.last_met.get(&(node, sender)) {
                    Some(met) if *met == from.session => {}
                    Some(met) if *met > from.session => {
                        let what = format!("n{node} had a message of {from} after it met #{}", met.0);
                        return violation(Clause::NothingOlder, what);
                    }
                    _ => {
                        let what = format!("n{node} had a message of {from} before that session was told");
                        return violation(Clause::RestartTold, what);
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
            Some((clause, _)) => violation(*clause, format!("{peer} was heard")),
            None => violation(Clause::NothingInvented, format!("{peer} was heard, who never ran")),
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
                violation(Clause::OversizedRefused, format!("{received}: cut from {}", original.len()))
            } else {
                violation(Clause::NothingAltered, format!("{received}: number {number} was altered"))
            };
        }
        if sent.refused.contains(&number) {
            return violation(Clause::NothingInvented, format!("{received}: number {number} was refused"));
        }
        if stream && sent.delivered.contains(&number) {
            return violation(Clause::AtMostOnce, format!("{received}: number {number} came again"));
        }
        if stream && sent.last_delivered.is_some_and(|last| number < last) {
            return violation(
                Clause::Order,
                format!("{received}: number {number} came after {:?}", sent.last_delivered),
            );
        }
        sent.delivered.insert(number);
        sent.last_delivered = Some(number);
        Ok(())
    }

    /// A message too short for a tag: the first like it that has not come.
    fn find_untagged(&self, flow: Flow, bytes: &[u8]) -> Option<usize> {
        let sent = self.flows.get(&flow).filter(|_| bytes.len() < TAG_BYTES)?;
        let is_same = |n: &usize| sent.messages[*n] == bytes;
        let again = (0..sent.messages.len()).rfind(is_same);
        (0..sent.messages.len()).filter(is_same).find(|n| !sent.delivered.contains(n)).or(again)
    }

    /// Not what was sent: a sent one with a few bytes changed, or out of nowhere.
    fn classify_unsent(&self, flow: Flow, bytes: &[u8], received: &str) -> Result<(), Violation> {
        let is_near = |m: &Vec<u8>| {
            m.len() == bytes.len()
                && !m.is_empty()
                && m.iter().zip(bytes).filter(|(a, b)| a != b).count() <= 4
        };
        if self.flows.get(&flow).is_some_and(|s| s.messages.iter().any(is_near)) {
            return violation(Clause::NothingAltered, format!("{received}: a few bytes are others"));
        }
        violation(Clause::NothingInvented, format!("{received}: nobody sent it"))
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
