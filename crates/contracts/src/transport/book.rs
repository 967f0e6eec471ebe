//! What was sent and what came: every event of every node is held against it.

use std::collections::{BTreeMap, BTreeSet};

use magpietally_transport::{Event, Kind, Name, Peer, Session};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::{name_of, Broken, Clause};

/// A mark, the sender, the receiver, the session and the number: what a message of the suite begins with.
pub const TAG: usize = 1 + 2 + 2 + 8 + 4;
const MARK: u8 = 0xc5;

pub fn broken<T>(clause: Clause, what: impl Into<String>) -> Result<T, Broken> {
    Err(Broken { clause, what: what.into() })
}

/// From whom, at which session, to whom.
type Way = (usize, Session, usize);

#[derive(Debug, Default)]
struct Sent {
    /// All that were handed to the transport, taken or refused.
    messages: Vec<Vec<u8>>,
    refused: BTreeSet<usize>,
    got: BTreeSet<usize>,
    last: Option<usize>,
}

/// See the module.
#[derive(Debug)]
pub struct Book {
    kind: Kind,
    /// The first session of each node in this story. What an earlier one sent may still come to a node that has met no
    /// later one, and is nothing to this book.
    first: BTreeMap<usize, Session>,
    ways: BTreeMap<Way, Sent>,
    /// The session at which a node met another last.
    met: BTreeMap<(usize, usize), Session>,
    lost: BTreeMap<(usize, usize), u64>,
    dropped: BTreeMap<usize, u64>,
    /// What a ghost says and which clause it breaks where it is heard.
    ghost: Option<(Clause, Vec<u8>)>,
}

impl Book {
    pub fn new(kind: Kind) -> Self {
        Self {
            kind,
            first: BTreeMap::new(),
            ways: BTreeMap::new(),
            met: BTreeMap::new(),
            lost: BTreeMap::new(),
            dropped: BTreeMap::new(),
            ghost: None,
        }
    }

    /// The next message on a way: its tag and seeded noise, cut to `size` (less than a tag: all zeros).
    pub fn message(&self, way: Way, size: usize) -> Vec<u8> {
        if size < TAG {
            return vec![0; size];
        }
        let number = self.ways.get(&way).map_or(0, |s| s.messages.len()) as u32;
        let mut out = vec![MARK];
        out.extend_from_slice(&(way.0 as u16).to_le_bytes());
        out.extend_from_slice(&(way.2 as u16).to_le_bytes());
        out.extend_from_slice(&way.1 .0.to_le_bytes());
        out.extend_from_slice(&number.to_le_bytes());
        let mut noise = Pcg64::seed_from_u64(u64::from(number) ^ (way.1 .0 << 20));
        out.extend((TAG..size).map(|_| noise.random::<u8>()));
        out
    }

    pub fn sent(&mut self, way: Way, message: Vec<u8>, taken: bool) -> usize {
        let sent = self.ways.entry(way).or_default();
        if !taken {
            sent.refused.insert(sent.messages.len());
        }
        sent.messages.push(message);
        sent.messages.len() - 1
    }

    pub fn expect_ghost(&mut self, clause: Clause, says: &[u8]) {
        self.ghost = Some((clause, says.to_vec()));
    }

    pub fn came(&self, way: Way, number: usize) -> bool {
        self.ways.get(&way).is_some_and(|s| s.got.contains(&number))
    }

    pub fn got(&self, way: Way) -> usize {
        self.ways.get(&way).map_or(0, |s| s.got.len())
    }

    pub fn taken(&self, way: Way) -> usize {
        self.ways.get(&way).map_or(0, |s| s.messages.len() - s.refused.len())
    }

    pub fn lost(&self, from: usize, to: usize) -> usize {
        self.lost.get(&(from, to)).copied().unwrap_or(0) as usize
    }

    pub fn dropped(&self, node: usize) -> u64 {
        self.dropped.get(&node).copied().unwrap_or(0)
    }

    /// A node began.
    pub fn began(&mut self, node: usize, session: Session) {
        self.first.entry(node).or_insert(session);
    }

    /// A node was ended: what it knew went with it.
    pub fn ended(&mut self, node: usize) {
        self.met.retain(|(at, _), _| *at != node);
    }

    /// Holds an event at `node` against the book. `started` are the sessions that a node ever had.
    pub fn event(
        &mut self,
        node: usize,
        event: Event,
        started: &BTreeMap<usize, BTreeSet<Session>>,
    ) -> Result<(), Broken> {
        match event {
            Event::Dropped(_) => *self.dropped.entry(node).or_default() += 1,
            Event::Lost { to, messages } => match number_of(&to) {
                Some(to) => *self.lost.entry((node, to)).or_default() += messages,
                None => {
                    return broken(Clause::NothingInvented, format!("a loss to {to}, to whom nothing went"))
                }
            },
            Event::NewSession(peer) => {
                let from = self.known(&peer, started, None)?;
                if let Some(before) = self.met.insert((node, from), peer.session) {
                    if before >= peer.session {
                        let older = before > peer.session;
                        let clause = if older { Clause::NothingOlder } else { Clause::RestartTold };
                        return broken(clause, format!("n{node} met {peer} after #{}", before.0));
                    }
                }
            }
            Event::Message { from, bytes } => {
                let sender = self.known(&from, started, Some(&bytes))?;
                match self.met.get(&(node, sender)) {
                    Some(met) if *met == from.session => {}
                    Some(met) if *met > from.session => {
                        let what = format!("n{node} had a message of {from} after it met #{}", met.0);
                        return broken(Clause::NothingOlder, what);
                    }
                    _ => {
                        let what = format!("n{node} had a message of {from} before that session was told");
                        return broken(Clause::RestartTold, what);
                    }
                }
                if self.first.get(&sender).is_none_or(|first| from.session < *first) {
                    return Ok(());
                }
                self.message_came((sender, from.session, node), &bytes)?;
            }
        }
        Ok(())
    }

    fn known(
        &self,
        peer: &Peer,
        started: &BTreeMap<usize, BTreeSet<Session>>,
        bytes: Option<&[u8]>,
    ) -> Result<usize, Broken> {
        let number = number_of(&peer.name);
        if let Some(number) = number.filter(|n| started.get(n).is_some_and(|s| s.contains(&peer.session))) {
            if bytes.is_none() || self.ghost.as_ref().is_none_or(|(_, says)| Some(&says[..]) != bytes) {
                return Ok(number);
            }
        }
        match &self.ghost {
            Some((clause, _)) => broken(*clause, format!("{peer} was heard")),
            None => broken(Clause::NothingInvented, format!("{peer} was heard, who never ran")),
        }
    }

    fn message_came(&mut self, way: Way, bytes: &[u8]) -> Result<(), Broken> {
        let (from, session, to) = way;
        let said = format!("{} bytes from n{from}#{} to n{to}", bytes.len(), session.0);
        let number = match tag(bytes) {
            Some((tagged, number)) if tagged == way => number,
            Some(((f, s, t), _)) if f == from && t == to && s != session => {
                return broken(Clause::NothingOlder, format!("{said}, sent at #{}", s.0));
            }
            _ => match self.untagged(way, bytes) {
                Some(number) => number,
                None => return self.stray(way, bytes, &said),
            },
        };
        let stream = self.kind == Kind::Stream;
        let Some(sent) = self.ways.get_mut(&way).filter(|s| number < s.messages.len()) else {
            return broken(Clause::NothingInvented, format!("{said}: number {number} was not sent"));
        };
        let whole = &sent.messages[number];
        if whole != bytes {
            return if bytes.len() < whole.len() && whole.starts_with(bytes) {
                broken(Clause::OversizedRefused, format!("{said}: cut from {}", whole.len()))
            } else {
                broken(Clause::NothingAltered, format!("{said}: number {number} was altered"))
            };
        }
        if sent.refused.contains(&number) {
            return broken(Clause::NothingInvented, format!("{said}: number {number} was refused"));
        }
        if stream && sent.got.contains(&number) {
            return broken(Clause::AtMostOnce, format!("{said}: number {number} came again"));
        }
        if stream && sent.last.is_some_and(|last| number < last) {
            return broken(Clause::Order, format!("{said}: number {number} came after {:?}", sent.last));
        }
        sent.got.insert(number);
        sent.last = Some(number);
        Ok(())
    }

    /// A message too short for a tag: the first like it that has not come.
    fn untagged(&self, way: Way, bytes: &[u8]) -> Option<usize> {
        let sent = self.ways.get(&way).filter(|_| bytes.len() < TAG)?;
        let alike = |n: &usize| sent.messages[*n] == bytes;
        let again = (0..sent.messages.len()).rfind(alike);
        (0..sent.messages.len()).filter(alike).find(|n| !sent.got.contains(n)).or(again)
    }

    /// Not what was sent: a sent one with a few bytes changed, or out of nowhere.
    fn stray(&self, way: Way, bytes: &[u8], said: &str) -> Result<(), Broken> {
        let near = |m: &Vec<u8>| {
            m.len() == bytes.len()
                && !m.is_empty()
                && m.iter().zip(bytes).filter(|(a, b)| a != b).count() <= 4
        };
        if self.ways.get(&way).is_some_and(|s| s.messages.iter().any(near)) {
            return broken(Clause::NothingAltered, format!("{said}: a few bytes are others"));
        }
        broken(Clause::NothingInvented, format!("{said}: nobody sent it"))
    }
}

fn number_of(name: &Name) -> Option<usize> {
    let number = name.as_str().strip_prefix('n')?.parse().ok()?;
    (name_of(number) == *name).then_some(number)
}

fn tag(bytes: &[u8]) -> Option<(Way, usize)> {
    let field = |at: usize, n: usize| bytes.get(at..at + n);
    if bytes.first() != Some(&MARK) {
        return None;
    }
    let from = u16::from_le_bytes(field(1, 2)?.try_into().ok()?);
    let to = u16::from_le_bytes(field(3, 2)?.try_into().ok()?);
    let session = u64::from_le_bytes(field(5, 8)?.try_into().ok()?);
    let number = u32::from_le_bytes(field(13, 4)?.try_into().ok()?);
    Some(((usize::from(from), Session(session), usize::from(to)), number as usize))
}
