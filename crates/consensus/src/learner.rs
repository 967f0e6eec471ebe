//! Spreads decided entries to every node: forwarding to random peers, periodic comparison, and requests for
//! missing entries.

use std::time::Duration;

use magpietally_transport::{Kind, Name, Now, Peer};
use rand::{Rng, RngExt};

use crate::entry::Index;
use crate::learned_log::{Checkpoint, SNAPSHOT_MAX_BYTES};
use crate::node::Node;
use crate::settings::Settings;
use crate::voter::ELECTION_ROUND_MAX;
use crate::wire::WireMessage;

/// Limit on the known peers, the same as the transports'.
pub const PEERS_MAX: usize = 4096;
/// Size of one part of the missing entries or of a snapshot, in bytes. Several fit into a stream's queue next
/// to other messages.
const CHUNK_BYTES: usize = 32 << 10;
/// After learning new entries a node compares its log with this many peers at this interval before it returns
/// to the usual interval. This finds the few nodes that random forwarding missed within a tenth of a second,
/// at about 60 bytes each.
const FAST_GOSSIP_ROUNDS: u8 = 4;
const FAST_GOSSIP_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a request to a peer is considered unanswered and another peer is asked.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Token bucket that limits bytes per second.
#[derive(Debug)]
struct TokenBucket {
    tokens: i64,
    refilled_at: Duration,
    per_s: u64,
}

impl TokenBucket {
    /// Two chunks: one in transit while the next is requested.
    const CAPACITY_BYTES: i64 = 2 * CHUNK_BYTES as i64;

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        let earned = self.per_s as f64 * elapsed.as_secs_f64();
        // Amounts below one byte are left to accumulate until the next refill.
        if earned >= 1.0 {
            self.tokens = self.tokens.saturating_add(earned.min(1e15) as i64).min(Self::CAPACITY_BYTES);
            self.refilled_at = now;
        }
    }

    /// When the bucket is no longer empty.
    fn due(&self) -> Duration {
        let missing = (1 - self.tokens).max(0) as f64;
        self.refilled_at + Duration::from_secs_f64(missing / self.per_s as f64) + Duration::from_millis(1)
    }
}

#[derive(Debug)]
struct SnapshotFetch {
    index: Index,
    total: u64,
    crc: u32,
    bytes: Vec<u8>,
}

/// A node's state for learning entries.
#[derive(Debug)]
pub(crate) struct Learner {
    peers: Vec<Name>,
    /// The last entry known to be decided, and the peer that reported it.
    pub known: u64,
    source: Option<Name>,
    /// The known leader and the round of its election.
    pub leader: Option<(u32, Name)>,
    gossip_at: Duration,
    /// Remaining comparisons at the short interval. Set but not evaluated: only the first comparison after
    /// new entries comes early.
    fast_gossip_left: u8,
    /// The peer whose response is pending, and the deadline.
    pending_request: Option<(Name, Duration)>,
    fetch: Option<SnapshotFetch>,
    receive_budget: TokenBucket,
    send_budget: TokenBucket,
}

impl Learner {
    pub fn new(now: Duration, settings: &Settings, rng: &mut impl Rng) -> Self {
        let budget = || TokenBucket {
            tokens: TokenBucket::CAPACITY_BYTES,
            refilled_at: now,
            per_s: settings.catch_up_bytes_per_s,
        };
        Self {
            peers: settings.voters.clone(),
            known: 0,
            source: None,
            leader: None,
            gossip_at: now + settings.gossip_interval.mul_f64(rng.random_range(0.0..1.0)),
            fast_gossip_left: 0,
            pending_request: None,
            fetch: None,
            receive_budget: budget(),
            send_budget: budget(),
        }
    }

    pub fn set_peers(&mut self, me: &Name, voters: &[Name], peers: &[Name]) {
        self.peers = voters.iter().chain(peers).filter(|p| *p != me).cloned().collect();
        self.peers.sort();
        self.peers.dedup();
        self.peers.truncate(PEERS_MAX);
    }

    pub fn next_due(&self) -> Duration {
        let request_due = self.source.is_some().then(|| match &self.pending_request {
            Some((_, until)) => *until,
            None => self.receive_budget.due(),
        });
        request_due.map_or(self.gossip_at, |due| due.min(self.gossip_at))
    }
}

impl Node {
    fn random_peer(&mut self) -> Option<Name> {
        let peers = &self.learner.peers;
        let peer = peers.get(self.rng.random_range(0..peers.len().max(1)))?;
        (*peer != self.me.name).then(|| peer.clone())
    }

    fn status_message(&self) -> WireMessage {
        WireMessage::Status {
            index: self.log.head.index,
            hash: self.log.head.hash,
            leader: self.newest_leader(),
        }
    }

    /// Forwards the entries learned after index `from` to a few random peers, except the one they came from.
    pub(crate) fn forward(&mut self, now: Now, from: u64, except: Option<&Name>) {
        if self.log.end() <= from {
            return;
        }
        self.learner.fast_gossip_left = FAST_GOSSIP_ROUNDS;
        self.learner.gossip_at = self.learner.gossip_at.min(now.boot + FAST_GOSSIP_INTERVAL);
        let Some((prev, entries)) = self.log.entries_after(from, CHUNK_BYTES) else { return };
        let wire = WireMessage::Entries {
            from: Index(from + 1),
            prev,
            entries,
            head: self.log.head.index,
            requested: false,
        };
        for _ in 0..self.settings.fanout {
            if let Some(to) = self.random_peer().filter(|p| Some(p) != except) {
                self.send(to, None, &wire);
            }
        }
    }

    /// Performs the gossip work that is due.
    pub(crate) fn gossip(&mut self, now: Now) {
        if now.boot >= self.learner.gossip_at {
            // Jitter keeps nodes that were started together from sending at the same time.
            self.learner.gossip_at =
                now.boot + self.settings.gossip_interval.mul_f64(self.rng.random_range(0.75..1.25));
            if let Some(to) = self.random_peer() {
                let status = self.status_message();
                self.send(to, Some(Kind::Datagram), &status);
            }
        }
        self.request_missing(now);
    }

    fn request_missing(&mut self, now: Now) {
        if let Some((_, until)) = &self.learner.pending_request {
            if now.boot < *until {
                return;
            }
            // The peer did not respond; continue with any other.
            self.learner.pending_request = None;
            self.learner.fetch = None;
            self.learner.source = self.random_peer();
        }
        if self.learner.known <= self.log.end() || !self.has_capacity() {
            self.learner.source = None;
            return;
        }
        self.learner.receive_budget.refill(now.boot);
        if self.learner.receive_budget.tokens <= 0 {
            return;
        }
        let Some(to) = self.learner.source.clone() else { return };
        let wire = match &self.learner.fetch {
            Some(f) => WireMessage::ChunkRequest { index: f.index, offset: f.bytes.len() as u64 },
            None => WireMessage::EntriesRequest { learned: self.log.head.index },
        };
        self.learner.pending_request = Some((to.clone(), now.boot + REQUEST_TIMEOUT));
        self.send(to, None, &wire);
    }

    fn note_log_end(&mut self, peer: &Peer, end: u64) {
        if end > self.log.end() {
            self.learner.known = self.learner.known.max(end);
            if self.learner.pending_request.is_none() && self.learner.source.is_none() {
                self.learner.source = Some(peer.name.clone());
            }
        }
    }

    /// Handles a message about decided entries.
    pub(crate) fn on_gossip(&mut self, now: Now, from: &Peer, wire: WireMessage) {
        match wire {
            WireMessage::Status { index, hash, leader } => {
                if self.log.hash_at(index.0).is_some_and(|own| own != hash) {
                    self.diverged_at = Some(index);
                    return;
                }
                let is_valid =
                    |l: &(u32, Name)| l.0 < ELECTION_ROUND_MAX && self.settings.voters.contains(&l.1);
                if let Some(newer) = leader.filter(is_valid) {
                    if self.learner.leader.as_ref().is_none_or(|l| newer.0 > l.0) {
                        self.learner.leader = Some(newer);
                    }
                }
                if index < self.log.head.index {
                    let status = self.status_message();
                    self.send(from.name.clone(), Some(Kind::Datagram), &status);
                }
                self.note_log_end(from, index.0);
            }
            WireMessage::Entries { from: first, prev, entries, head, requested } => {
                self.on_entries(now, from, (first.0, prev, entries), requested);
                self.note_log_end(from, head.0);
            }
            WireMessage::EntriesRequest { learned } => self.on_entries_request(now, from, learned.0),
            WireMessage::ChunkRequest { index, offset } => self.send_chunk(now, from, index, offset),
            WireMessage::Chunk { index, total, crc, offset, bytes } => {
                self.on_chunk(now, from, SnapshotFetch { index, total, crc, bytes }, offset);
            }
            _ => self.dropped += 1,
        }
        self.request_missing(now);
    }

    fn on_entries(
        &mut self,
        now: Now,
        from: &Peer,
        range: (u64, crate::head::Hash, Vec<crate::head::LogEntry>),
        requested: bool,
    ) {
        let (first, prev, entries) = range;
        let Some(before) = first.checked_sub(1) else {
            self.dropped += 1;
            return;
        };
        if requested && self.learner.pending_request.as_ref().is_some_and(|(n, _)| *n == from.name) {
            self.learner.pending_request = None;
            self.learner.receive_budget.refill(now.boot);
            self.learner.receive_budget.tokens -=
                entries.iter().map(crate::head::LogEntry::size).sum::<usize>() as i64;
        }
        if self.log.hash_at(before).is_some_and(|own| own != prev) {
            self.diverged_at = Some(Index(before));
            return;
        }
        let end = self.log.end();
        if before > end {
            self.note_log_end(from, before);
            return;
        }
        for (n, entry) in entries.into_iter().enumerate() {
            let index = first + n as u64;
            if index <= end {
                if self.log.entry_at(index).is_some_and(|own| *own != entry) {
                    self.diverged_at = Some(Index(index));
                    return;
                }
            } else if self.has_capacity() {
                self.learn_entry(entry);
            }
        }
        // Requested entries are old ones that the other nodes already have.
        if !requested {
            self.forward(now, end, Some(&from.name));
        }
    }

    fn on_entries_request(&mut self, now: Now, from: &Peer, learned: u64) {
        self.learner.send_budget.refill(now.boot);
        if learned >= self.log.end() || self.learner.send_budget.tokens <= 0 {
            return;
        }
        match self.log.entries_after(learned, CHUNK_BYTES) {
            Some((prev, entries)) => {
                let head = self.log.head.index;
                let wire =
                    WireMessage::Entries { from: Index(learned + 1), prev, entries, head, requested: true };
                let size = self.send(from.name.clone(), Some(Kind::Stream), &wire);
                self.learner.send_budget.tokens -= size as i64;
            }
            None => {
                if let Some(index) = self.log.snapshot.as_ref().map(|s| s.index).filter(|i| i.0 > learned) {
                    self.send_chunk(now, from, index, 0);
                }
            }
        }
    }

    fn send_chunk(&mut self, now: Now, from: &Peer, index: Index, offset: u64) {
        self.learner.send_budget.refill(now.boot);
        let Some(snapshot) = self.log.snapshot.as_ref().filter(|_| self.learner.send_budget.tokens > 0)
        else {
            return;
        };
        // If a newer snapshot has replaced the requested one, send that from its start.
        let offset = if snapshot.index == index { usize::try_from(offset).unwrap_or(usize::MAX) } else { 0 };
        let Some(remaining) = snapshot.bytes.get(offset..) else { return };
        let wire = WireMessage::Chunk {
            index: snapshot.index,
            total: snapshot.bytes.len() as u64,
            crc: snapshot.crc,
            offset: offset as u64,
            bytes: remaining[..remaining.len().min(CHUNK_BYTES)].to_vec(),
        };
        let size = self.send(from.name.clone(), Some(Kind::Stream), &wire);
        self.learner.send_budget.tokens -= size as i64;
    }

    fn on_chunk(&mut self, now: Now, from: &Peer, chunk: SnapshotFetch, offset: u64) {
        if self.learner.pending_request.as_ref().is_none_or(|(n, _)| *n != from.name) {
            self.dropped += 1;
            return;
        }
        if chunk.index <= self.log.head.index || chunk.total > SNAPSHOT_MAX_BYTES as u64 {
            self.learner.pending_request = None;
            self.learner.fetch = None;
            return;
        }
        let received = chunk.bytes.len();
        match &mut self.learner.fetch {
            Some(f) if (f.index, f.total, f.crc) == (chunk.index, chunk.total, chunk.crc) => {
                if offset != f.bytes.len() as u64 {
                    return;
                }
                f.bytes.extend_from_slice(&chunk.bytes);
            }
            _ if offset == 0 => self.learner.fetch = Some(chunk),
            _ => return,
        }
        self.learner.pending_request = None;
        self.learner.receive_budget.refill(now.boot);
        self.learner.receive_budget.tokens -= received as i64;
        let Some(f) = self.learner.fetch.take_if(|f| f.bytes.len() as u64 >= f.total || received == 0) else {
            return;
        };
        let is_complete = f.bytes.len() as u64 == f.total && crc32fast::hash(&f.bytes) == f.crc;
        match Checkpoint::decode(&f.bytes).filter(|c| is_complete && c.head.index == f.index) {
            Some(checkpoint) => self.restore(checkpoint, f.bytes),
            None => self.dropped += 1,
        }
    }
}

#[cfg(test)]
mod tests;
