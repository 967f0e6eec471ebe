//! The decided entries as this node has learnt them: the end of the log, the last entries for others to catch up with,
//! and the last snapshot.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::entry::{DecidedEntry, Index, Topic};
use crate::head::{Hash, Head, Item};
use crate::wire::FORMAT;

/// The largest snapshot of all machines together, in bytes: with the voter's own votes it has to fit one record of the
/// store (8 MiB), and a node that catches up holds it twice.
pub const SNAPSHOT_MAX_BYTES: usize = 4 << 20;

/// The machines' snapshots, each with whose it is.
pub type MachineSnapshots = Vec<(Topic, Vec<u8>)>;

/// What a snapshot holds.
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

/// A snapshot, to be given to others in pieces.
#[derive(Clone, Debug)]
pub(crate) struct Shot {
    pub index: Index,
    pub bytes: Arc<Vec<u8>>,
    pub crc: u32,
}

#[derive(Debug, Default)]
pub(crate) struct Chain {
    pub head: Head,
    /// The hash right before the first entry kept.
    before: Hash,
    kept: VecDeque<(Item, Hash)>,
    bytes: usize,
    pub shot: Option<Shot>,
    /// Entries and bytes since the last snapshot.
    pub since: (u64, usize),
}

impl Chain {
    /// Everything up to the snapshot, and no entry.
    pub fn restored(checkpoint: &Checkpoint, bytes: Vec<u8>) -> Self {
        let head = checkpoint.head.clone();
        let crc = crc32fast::hash(&bytes);
        let shot = Shot { index: head.index, bytes: Arc::new(bytes), crc };
        Self { before: head.hash, head, shot: Some(shot), ..Self::default() }
    }

    pub fn end(&self) -> u64 {
        self.head.index.0
    }

    /// The index right before the first entry kept.
    pub fn floor(&self) -> u64 {
        self.end() - self.kept.len() as u64
    }

    pub fn apply(&mut self, item: Item, keep: (usize, usize)) -> DecidedEntry {
        let decided = self.head.apply(&item);
        let size = item.size();
        self.bytes += size;
        self.since.0 += 1;
        self.since.1 += size;
        self.kept.push_back((item, self.head.hash));
        while self.kept.len() > keep.0 || (self.bytes > keep.1 && self.kept.len() > 1) {
            if let Some((item, hash)) = self.kept.pop_front() {
                self.bytes -= item.size();
                self.before = hash;
            }
        }
        decided
    }

    /// The chained hash behind entry `index`, where it is known still.
    pub fn hash_at(&self, index: u64) -> Option<Hash> {
        if index == self.floor() {
            return Some(self.before);
        }
        self.kept.get(usize::try_from(index.checked_sub(self.floor() + 1)?).ok()?).map(|(_, h)| *h)
    }

    /// Entry `index`, where it is kept.
    pub fn item_at(&self, index: u64) -> Option<&Item> {
        self.kept.get(usize::try_from(index.checked_sub(self.floor() + 1)?).ok()?).map(|(i, _)| i)
    }

    /// Entries behind `have`, about `most` bytes, with the hash before them.
    pub fn after(&self, have: u64, most: usize) -> Option<(Hash, Vec<Item>)> {
        let hash = self.hash_at(have)?;
        let skip = usize::try_from(have - self.floor()).ok()?;
        let mut size = 0;
        let items = self.kept.iter().skip(skip).map(|(i, _)| i).take_while(|i| {
            let first = size == 0;
            size += i.size();
            first || size <= most
        });
        Some((hash, items.cloned().collect()))
    }

    /// Takes a snapshot of this very end of the log.
    pub fn shoot(&mut self, bytes: Vec<u8>) {
        let crc = crc32fast::hash(&bytes);
        self.shot = Some(Shot { index: self.head.index, bytes: Arc::new(bytes), crc });
        self.since = (0, 0);
    }
}
