//! The seam between decisions and disk: what must be durable before what may be sent, as one value.

use std::collections::VecDeque;

use magpietally_transport::Outgoing;
use serde::{Deserialize, Serialize};

use crate::chain::Checkpoint;
use crate::storage::{Op, Votes};
use crate::wire::FORMAT;

/// Changes that one record holds at most: several calls' changes are written together while the carrier is busy.
const OPS_MAX: usize = 64;
/// Messages that wait for one write: a second of a busy voter's. What is past that is lost, as messages may be.
const HELD_MAX: usize = 1024;
/// Writes that may wait for the carrier; past that the voter hears nothing until it catches up.
pub(crate) const WAITING_MAX: usize = 64;

/// What a carrier has to make durable. What depends on it is sent only after [`crate::Node::write_completed`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ready {
    /// To be said back.
    pub number: u64,
    /// What to write.
    pub write: Write,
}

/// One write to a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// A record, to be appended and synced.
    Record(Vec<u8>),
    /// A snapshot that covers all records so far.
    Snapshot(Vec<u8>),
}

/// A snapshot in the store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Stored {
    pub checkpoint: Option<Vec<u8>>,
    pub votes: Votes,
}

/// Why a store's content can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredError(pub(crate) String);

impl std::fmt::Display for StoredError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the log's store can't be used: {}", self.0)
    }
}

impl std::error::Error for StoredError {}

impl Stored {
    /// What a store held.
    pub fn open(snapshot: Option<&[u8]>, records: &[Vec<u8>]) -> Result<Self, StoredError> {
        let mut stored: Self = snapshot.map_or(Ok(Self::default()), |s| read(s, "the snapshot"))?;
        for (n, record) in records.iter().enumerate() {
            let what = format!("record {} behind the snapshot", n + 1);
            for op in read::<Vec<Op>>(record, &what)? {
                stored.votes.apply(op).map_err(|why| StoredError(format!("{what}: {why}")))?;
            }
        }
        Ok(stored)
    }

    /// The snapshot's machines and where they stand.
    pub fn checkpoint(&self) -> Result<Option<Checkpoint>, StoredError> {
        let decode = |b: &Vec<u8>| Checkpoint::decode(b).ok_or(StoredError("its checkpoint".to_owned()));
        self.checkpoint.as_ref().map(decode).transpose()
    }
}

fn read<T: serde::de::DeserializeOwned>(bytes: &[u8], what: &str) -> Result<T, StoredError> {
    match bytes.split_first() {
        Some((&FORMAT, rest)) => postcard::from_bytes(rest).map_err(|e| StoredError(format!("{what}: {e}"))),
        Some((other, _)) => Err(StoredError(format!("{what} has format {other}, format {FORMAT} is read"))),
        None => Err(StoredError(format!("{what} is empty"))),
    }
}

#[derive(Debug)]
enum Content {
    Ops(Vec<Op>),
    Bytes(Vec<u8>),
}

#[derive(Debug)]
struct Batch {
    number: u64,
    content: Content,
    held: Vec<Outgoing>,
}

/// Writes in order, each with what may be sent after it.
#[derive(Debug, Default)]
pub(crate) struct Writes {
    waiting: VecDeque<Batch>,
    next: u64,
    /// The number of the batch that is in the carrier's hands.
    out: Option<u64>,
}

impl Writes {
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn record(&mut self, mut ops: Vec<Op>) {
        let out = self.out;
        if let Some(Batch { number, content: Content::Ops(last), .. }) = self.waiting.back_mut() {
            if out != Some(*number) && last.len() + ops.len() <= OPS_MAX {
                last.append(&mut ops);
                return;
            }
        }
        self.push(Content::Ops(ops));
    }

    pub fn snapshot(&mut self, stored: &Stored) {
        // It can't fail: nothing in it refuses to be written.
        if let Ok(bytes) = postcard::to_extend(stored, vec![FORMAT]) {
            self.push(Content::Bytes(bytes));
        }
    }

    fn push(&mut self, content: Content) {
        self.next += 1;
        self.waiting.push_back(Batch { number: self.next, content, held: Vec::new() });
    }

    /// Holds a message until all writes so far are durable; gives it back where there is none.
    pub fn hold(&mut self, message: Outgoing) -> Option<Outgoing> {
        match self.waiting.back_mut() {
            Some(batch) => {
                if batch.held.len() < HELD_MAX {
                    batch.held.push(message);
                }
                None
            }
            None => Some(message),
        }
    }

    /// The first write, unless the carrier has it.
    pub fn take(&mut self) -> Option<Ready> {
        if self.out.is_some() {
            return None;
        }
        let batch = self.waiting.front()?;
        let write = match &batch.content {
            Content::Ops(ops) => Write::Record(postcard::to_extend(ops, vec![FORMAT]).ok()?),
            Content::Bytes(bytes) => Write::Snapshot(bytes.clone()),
        };
        self.out = Some(batch.number);
        Some(Ready { number: batch.number, write })
    }

    /// The write is durable: what was held for it.
    pub fn durable(&mut self, number: u64) -> Vec<Outgoing> {
        if self.out != Some(number) {
            return Vec::new();
        }
        self.out = None;
        self.waiting.pop_front().map(|b| b.held).unwrap_or_default()
    }

    /// The write was refused: it will be offered again.
    pub fn refused(&mut self, number: u64) -> bool {
        let mine = self.out == Some(number);
        if mine {
            self.out = None;
        }
        mine
    }

    /// A planted fault: all that is held goes at once.
    #[cfg(test)]
    pub fn forget_to_hold(&mut self) -> Vec<Outgoing> {
        self.waiting.iter_mut().flat_map(|b| std::mem::take(&mut b.held)).collect()
    }
}
