//! The decided entries this node has learned: the end of the log, recent entries that other nodes can catch
//! up from, and the last snapshot.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::entry::{DecidedEntry, Index, Topic};
use crate::head::{Hash, Head, LogEntry};
use crate::wire::FORMAT;

/// The largest snapshot of all state machines together, in bytes. Together with the voter's own state it must
/// fit one record of the store (8 MiB), and a node that catches up holds it in memory twice.
pub const SNAPSHOT_MAX_BYTES: usize = 4 << 20;

/// Snapshots of the state machines, each with its topic.
pub type MachineSnapshots = Vec<(Topic, Vec<u8>)>;

/// Content of a snapshot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Checkpoint {
    pub head: Head,
    pub machines: MachineSnapshots,
}

impl Checkpoint {
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = postcard::to_extend(self, vec![FORMAT]).ok()?;
        (bytes.len() <= SNAPSHOT_MAX_BYTES).then_some(bytes)
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (&FORMAT, rest) = bytes.split_first()? else { return None };
        postcard::from_bytes(rest).ok()
    }
}

/// An encoded snapshot, sent to other nodes in chunks.
#[derive(Clone, Debug)]
pub(crate) struct EncodedSnapshot {
    pub index: Index,
    pub bytes: Arc<Vec<u8>>,
    pub crc: u32,
}

#[derive(Debug, Default)]
pub(crate) struct LearnedLog {
    pub head: Head,
    /// The chained hash before the first retained entry.
    base_hash: Hash,
    retained: VecDeque<(LogEntry, Hash)>,
    retained_bytes: usize,
    pub snapshot: Option<EncodedSnapshot>,
    /// Number and total size in bytes of the entries since the last snapshot.
    pub since_snapshot: (u64, usize),
}

impl LearnedLog {
    /// A log that starts from a snapshot and has no entries after it.
    pub fn restored(checkpoint: &Checkpoint, bytes: Vec<u8>) -> Self {
        let head = checkpoint.head.clone();
        let crc = crc32fast::hash(&bytes);
        let snapshot = EncodedSnapshot { index: head.index, bytes: Arc::new(bytes), crc };
        Self { base_hash: head.hash, head, snapshot: Some(snapshot), ..Self::default() }
    }

    pub fn end(&self) -> u64 {
        self.head.index.0
    }

    /// The index before the first retained entry.
    pub fn base_index(&self) -> u64 {
        self.end() - self.retained.len() as u64
    }

    /// Applies the next entry. `limits` bounds the number and the total size in bytes of the retained
    /// entries.
    pub fn apply(&mut self, entry: LogEntry, limits: (usize, usize)) -> DecidedEntry {
        let decided = self.head.apply(&entry);
        let size = entry.size();
        self.retained_bytes += size;
        self.since_snapshot.0 += 1;
        self.since_snapshot.1 += size;
        self.retained.push_back((entry, self.head.hash));
        while self.retained.len() > limits.0 || (self.retained_bytes > limits.1 && self.retained.len() > 1) {
            if let Some((entry, hash)) = self.retained.pop_front() {
                self.retained_bytes -= entry.size();
                self.base_hash = hash;
            }
        }
        decided
    }

    /// The chained hash after entry `index`, if still known.
    pub fn hash_at(&self, index: u64) -> Option<Hash> {
        if index == self.base_index() {
            return Some(self.base_hash);
        }
        self.retained
            .get(usize::try_from(index.checked_sub(self.base_index() + 1)?).ok()?)
            .map(|(_, hash)| *hash)
    }

    /// Entry `index`, if retained.
    pub fn entry_at(&self, index: u64) -> Option<&LogEntry> {
        self.retained
            .get(usize::try_from(index.checked_sub(self.base_index() + 1)?).ok()?)
            .map(|(entry, _)| entry)
    }

    /// Entries after `index`, about `max_bytes` bytes, and the hash before them.
    pub fn entries_after(&self, index: u64, max_bytes: usize) -> Option<(Hash, Vec<LogEntry>)> {
        let hash = self.hash_at(index)?;
        let skip = usize::try_from(index - self.base_index()).ok()?;
        let mut size = 0;
        let entries = self.retained.iter().skip(skip).map(|(entry, _)| entry).take_while(|entry| {
            let first = size == 0;
            size += entry.size();
            first || size <= max_bytes
        });
        Some((hash, entries.cloned().collect()))
    }

    /// Stores a snapshot taken at the current end of the log.
    pub fn set_snapshot(&mut self, bytes: Vec<u8>) {
        let crc = crc32fast::hash(&bytes);
        self.snapshot = Some(EncodedSnapshot { index: self.head.index, bytes: Arc::new(bytes), crc });
        self.since_snapshot = (0, 0);
    }
}
