//! How decided entries reach every node: passed on at random, compared now and then, asked for where they are missing.

use std::time::Duration;

use magpietally_transport::{Kind, Name, Now, Peer};
use rand::{Rng, RngExt};

use crate::chain::{Checkpoint, SNAPSHOT_MAX_BYTES};
use crate::entry::Index;
use crate::node::Node;
use crate::settings::Settings;
use crate::voter::ROUND_MAX;
use crate::wire::Wire;

/// The most peers that are known: as many as the carriers take.
pub const PEERS_MAX: usize = 4096;
/// The largest piece of what is missing, in bytes: several fit a queue of a stream beside the rest.
const PIECE: usize = 32 << 10;
/// After it has learnt something new a node compares with so many peers, this far apart, before it falls back to the usual
/// pace: the few whom a random spread missed are found within a tenth of a second, for some 60 bytes each.
const HURRY: u8 = 4;
const HURRIED: Duration = Duration::from_millis(20);
/// A peer that has not answered by now is not asked again at once; another is.
const PATIENCE: Duration = Duration::from_millis(500);

/// Bytes that may be spent, filling with time.
#[derive(Debug)]
struct Purse {
    left: i64,
    at: Duration,
    per_s: u64,
}

impl Purse {
    /// Two pieces at once: one on its way while the next is asked for.
    const MOST: i64 = 2 * PIECE as i64;

    fn fill(&mut self, now: Duration) {
        let spent = now.saturating_sub(self.at);
        let more = self.per_s as f64 * spent.as_secs_f64();
        // Too little to count stays for the next time.
        if more >= 1.0 {
            self.left = self.left.saturating_add(more.min(1e15) as i64).min(Self::MOST);
            self.at = now;
        }
    }

    /// When it is no longer empty.
    fn due(&self) -> Duration {
        let lacks = (1 - self.left).max(0) as f64;
        self.at + Duration::from_secs_f64(lacks / self.per_s as f64) + Duration::from_millis(1)
    }
}

#[derive(Debug)]
struct Fetch {
    index: Index,
    total: u64,
    crc: u32,
    bytes: Vec<u8>,
}

/// What a node knows for learning.
#[derive(Debug)]
pub(crate) struct Learner {
    peers: Vec<Name>,
    /// The last entry known to be decided, and who said so.
    pub known: u64,
    ahead: Option<Name>,
    /// Who leads, and since which election.
    pub leader: Option<(u32, Name)>,
    gossip_at: Duration,
    /// Comparisons that are in a hurry yet.
    hurry: u8,
    /// Whom this node waits for, and until when.
    asked: Option<(Name, Duration)>,
    fetch: Option<Fetch>,
    takes: Purse,
    gives: Purse,
}

impl Learner {
    pub fn new(now: Duration, settings: &Settings, rng: &mut impl Rng) -> Self {
        let purse = || Purse { left: Purse::MOST, at: now, per_s: settings.catch_up_bytes_per_s };
        Self {
            peers: settings.voters.clone(),
            known: 0,
            ahead: None,
            leader: None,
            gossip_at: now + settings.gossip_interval.mul_f64(rng.random_range(0.0..1.0)),
            hurry: 0,
            asked: None,
            fetch: None,
            takes: purse(),
            gives: purse(),
        }
    }

    pub fn set_peers(&mut self, me: &Name, voters: &[Name], peers: &[Name]) {
        self.peers = voters.iter().chain(peers).filter(|p| *p != me).cloned().collect();
        self.peers.sort();
        self.peers.dedup();
        self.peers.truncate(PEERS_MAX);
    }

    pub fn next_due(&self) -> Duration {
        let wants = self.ahead.is_some().then(|| match &self.asked {
            Some((_, until)) => *until,
            None => self.takes.due(),
        });
        wants.map_or(self.gossip_at, |w| w.min(self.gossip_at))
    }
}

impl Node {
    fn peer(&mut self) -> Option<Name> {
        let peers = &self.learner.peers;
        let one = peers.get(self.rng.random_range(0..peers.len().max(1)))?;
        (*one != self.me.name).then(|| one.clone())
    }

    fn beat(&self) -> Wire {
        Wire::Beat { index: self.chain.head.index, hash: self.chain.head.hash, leader: self.newest_leader() }
    }

    /// Passes what was learnt since `from` on to a few peers, not to the one it came from.
    pub(crate) fn pass_on(&mut self, now: Now, from: u64, but: Option<&Name>) {
        if self.chain.end() <= from {
            return;
        }
        self.learner.hurry = HURRY;
        self.learner.gossip_at = self.learner.gossip_at.min(now.boot + HURRIED);
        let Some((prev, items)) = self.chain.after(from, PIECE) else { return };
        let wire =
            Wire::Items { from: Index(from + 1), prev, items, head: self.chain.head.index, asked: false };
        for _ in 0..self.settings.fanout {
            if let Some(to) = self.peer().filter(|p| Some(p) != but) {
                self.send(to, None, &wire);
            }
        }
    }

    /// Does what is due.
    pub(crate) fn gossip(&mut self, now: Now) {
        if now.boot >= self.learner.gossip_at {
            // Spread, so that nodes started together do not all speak at once.
            self.learner.gossip_at =
                now.boot + self.settings.gossip_interval.mul_f64(self.rng.random_range(0.75..1.25));
            if let Some(to) = self.peer() {
                let beat = self.beat();
                self.send(to, Some(Kind::Datagram), &beat);
            }
        }
        self.ask(now);
    }

    fn ask(&mut self, now: Now) {
        if let Some((_, until)) = &self.learner.asked {
            if now.boot < *until {
                return;
            }
            // It did not answer: anybody else may.
            self.learner.asked = None;
            self.learner.fetch = None;
            self.learner.ahead = self.peer();
        }
        if self.learner.known <= self.chain.end() || !self.has_room() {
            self.learner.ahead = None;
            return;
        }
        self.learner.takes.fill(now.boot);
        if self.learner.takes.left <= 0 {
            return;
        }
        let Some(to) = self.learner.ahead.clone() else { return };
        let wire = match &self.learner.fetch {
            Some(f) => Wire::WantPiece { index: f.index, offset: f.bytes.len() as u64 },
            None => Wire::Want { have: self.chain.head.index },
        };
        self.learner.asked = Some((to.clone(), now.boot + PATIENCE));
        self.send(to, None, &wire);
    }

    fn note(&mut self, who: &Peer, end: u64) {
        if end > self.chain.end() {
            self.learner.known = self.learner.known.max(end);
            if self.learner.asked.is_none() && self.learner.ahead.is_none() {
                self.learner.ahead = Some(who.name.clone());
            }
        }
    }

    /// A message about decided entries.
    pub(crate) fn on_gossip(&mut self, now: Now, from: &Peer, wire: Wire) {
        match wire {
            Wire::Beat { index, hash, leader } => {
                if self.chain.hash_at(index.0).is_some_and(|mine| mine != hash) {
                    self.broken = Some(index);
                    return;
                }
                let sound = |l: &(u32, Name)| l.0 < ROUND_MAX && self.settings.voters.contains(&l.1);
                if let Some(newer) = leader.filter(sound) {
                    if self.learner.leader.as_ref().is_none_or(|l| newer.0 > l.0) {
                        self.learner.leader = Some(newer);
                    }
                }
                if index < self.chain.head.index {
                    let beat = self.beat();
                    self.send(from.name.clone(), Some(Kind::Datagram), &beat);
                }
                self.note(from, index.0);
            }
            Wire::Items { from: first, prev, items, head, asked } => {
                self.on_items(now, from, (first.0, prev, items), asked);
                self.note(from, head.0);
            }
            Wire::Want { have } => self.on_want(now, from, have.0),
            Wire::WantPiece { index, offset } => self.give_piece(now, from, index, offset),
            Wire::Piece { index, total, crc, offset, bytes } => {
                self.on_piece(now, from, Fetch { index, total, crc, bytes }, offset);
            }
            _ => self.dropped += 1,
        }
        self.ask(now);
    }

    fn on_items(
        &mut self,
        now: Now,
        from: &Peer,
        part: (u64, crate::head::Hash, Vec<crate::head::Item>),
        asked: bool,
    ) {
        let (first, prev, items) = part;
        let Some(before) = first.checked_sub(1) else {
            self.dropped += 1;
            return;
        };
        if asked && self.learner.asked.as_ref().is_some_and(|(n, _)| *n == from.name) {
            self.learner.asked = None;
            self.learner.takes.fill(now.boot);
            self.learner.takes.left -= items.iter().map(crate::head::Item::size).sum::<usize>() as i64;
        }
        if self.chain.hash_at(before).is_some_and(|mine| mine != prev) {
            self.broken = Some(Index(before));
            return;
        }
        let end = self.chain.end();
        if before > end {
            self.note(from, before);
            return;
        }
        for (n, item) in items.into_iter().enumerate() {
            let index = first + n as u64;
            if index <= end {
                if self.chain.item_at(index).is_some_and(|mine| *mine != item) {
                    self.broken = Some(Index(index));
                    return;
                }
            } else if self.has_room() {
                self.learn(item);
            }
        }
        // What was asked for is old: the others have it.
        if !asked {
            self.pass_on(now, end, Some(&from.name));
        }
    }

    fn on_want(&mut self, now: Now, from: &Peer, have: u64) {
        self.learner.gives.fill(now.boot);
        if have >= self.chain.end() || self.learner.gives.left <= 0 {
            return;
        }
        match self.chain.after(have, PIECE) {
            Some((prev, items)) => {
                let head = self.chain.head.index;
                let wire = Wire::Items { from: Index(have + 1), prev, items, head, asked: true };
                let size = self.send(from.name.clone(), Some(Kind::Stream), &wire);
                self.learner.gives.left -= size as i64;
            }
            None => {
                if let Some(index) = self.chain.shot.as_ref().map(|s| s.index).filter(|i| i.0 > have) {
                    self.give_piece(now, from, index, 0);
                }
            }
        }
    }

    fn give_piece(&mut self, now: Now, from: &Peer, index: Index, offset: u64) {
        self.learner.gives.fill(now.boot);
        let Some(shot) = self.chain.shot.as_ref().filter(|_| self.learner.gives.left > 0) else { return };
        // Another snapshot has taken its place: that one from the start.
        let offset = if shot.index == index { usize::try_from(offset).unwrap_or(usize::MAX) } else { 0 };
        let Some(rest) = shot.bytes.get(offset..) else { return };
        let wire = Wire::Piece {
            index: shot.index,
            total: shot.bytes.len() as u64,
            crc: shot.crc,
            offset: offset as u64,
            bytes: rest[..rest.len().min(PIECE)].to_vec(),
        };
        let size = self.send(from.name.clone(), Some(Kind::Stream), &wire);
        self.learner.gives.left -= size as i64;
    }

    fn on_piece(&mut self, now: Now, from: &Peer, piece: Fetch, offset: u64) {
        if self.learner.asked.as_ref().is_none_or(|(n, _)| *n != from.name) {
            self.dropped += 1;
            return;
        }
        if piece.index <= self.chain.head.index || piece.total > SNAPSHOT_MAX_BYTES as u64 {
            self.learner.asked = None;
            self.learner.fetch = None;
            return;
        }
        let more = piece.bytes.len();
        match &mut self.learner.fetch {
            Some(f) if (f.index, f.total, f.crc) == (piece.index, piece.total, piece.crc) => {
                if offset != f.bytes.len() as u64 {
                    return;
                }
                f.bytes.extend_from_slice(&piece.bytes);
            }
            _ if offset == 0 => self.learner.fetch = Some(piece),
            _ => return,
        }
        self.learner.asked = None;
        self.learner.takes.fill(now.boot);
        self.learner.takes.left -= more as i64;
        let Some(f) = self.learner.fetch.take_if(|f| f.bytes.len() as u64 >= f.total || more == 0) else {
            return;
        };
        let whole = f.bytes.len() as u64 == f.total && crc32fast::hash(&f.bytes) == f.crc;
        match Checkpoint::decode(&f.bytes).filter(|c| whole && c.head.index == f.index) {
            Some(checkpoint) => self.restore(checkpoint, f.bytes),
            None => self.dropped += 1,
        }
    }
}

#[cfg(test)]
mod tests;
