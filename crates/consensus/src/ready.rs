//! The interface between the protocol and the disk: what must be durable before which messages may be sent,
//! as one value.

use std::collections::VecDeque;

use magpietally_transport::Outgoing;
use serde::{Deserialize, Serialize};

use crate::learned_log::Checkpoint;
use crate::storage::{VoterOp, VoterState};
use crate::wire::FORMAT;

/// Limit on the changes in one record. Changes of several calls are written together while the previous write
/// is in progress.
const RECORD_OPS_MAX: usize = 64;
/// Limit on the messages deferred until one write is durable, about one second of a busy voter's traffic.
/// Messages beyond it are dropped, which the protocol tolerates.
const DEFERRED_MESSAGES_MAX: usize = 1024;
/// Limit on the queued writes. Beyond it the voter ignores messages until the writes catch up.
pub(crate) const QUEUED_WRITES_MAX: usize = 64;

/// A write that the caller has to make durable. Messages that depend on it are sent only after
/// [`crate::Node::write_completed`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ready {
    /// Number of the write, to be passed back when it is finished.
    pub number: u64,
    /// The data to write.
    pub write: Write,
}

/// One write to a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// A record to append and sync.
    Record(Vec<u8>),
    /// A snapshot that covers all records so far.
    Snapshot(Vec<u8>),
}

/// Content of a snapshot in the store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct StoreSnapshot {
    pub checkpoint: Option<Vec<u8>>,
    pub voter_state: VoterState,
}

/// Why the content of a store cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredError(pub(crate) String);

impl std::fmt::Display for StoredError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "cannot use the log's store: {}", self.0)
    }
}

impl std::error::Error for StoredError {}

impl StoreSnapshot {
    /// Restores the state from a store's snapshot and the records after it.
    pub fn open(snapshot: Option<&[u8]>, records: &[Vec<u8>]) -> Result<Self, StoredError> {
        let mut stored: Self = snapshot.map_or(Ok(Self::default()), |s| read(s, "the snapshot"))?;
        for (n, record) in records.iter().enumerate() {
            let what = format!("record {} after the snapshot", n + 1);
            for op in read::<Vec<VoterOp>>(record, &what)? {
                stored.voter_state.apply(op).map_err(|error| StoredError(format!("{what}: {error}")))?;
            }
        }
        Ok(stored)
    }

    /// Decodes the snapshots of the state machines and the log position they cover.
    pub fn checkpoint(&self) -> Result<Option<Checkpoint>, StoredError> {
        let decode = |b: &Vec<u8>| {
            Checkpoint::decode(b).ok_or(StoredError("the checkpoint cannot be decoded".to_owned()))
        };
        self.checkpoint.as_ref().map(decode).transpose()
    }
}

fn read<T: serde::de::DeserializeOwned>(bytes: &[u8], what: &str) -> Result<T, StoredError> {
    match bytes.split_first() {
        Some((&FORMAT, rest)) => postcard::from_bytes(rest).map_err(|e| StoredError(format!("{what}: {e}"))),
        Some((other, _)) => Err(StoredError(format!("{what} has format {other}, expected format {FORMAT}"))),
        None => Err(StoredError(format!("{what} is empty"))),
    }
}

#[derive(Debug)]
enum WriteContent {
    Ops(Vec<VoterOp>),
    Bytes(Vec<u8>),
}

#[derive(Debug)]
struct QueuedWrite {
    number: u64,
    content: WriteContent,
    deferred: Vec<Outgoing>,
}

/// Writes in order, each with the messages that may be sent after it.
#[derive(Debug, Default)]
pub(crate) struct WriteQueue {
    queue: VecDeque<QueuedWrite>,
    last_number: u64,
    /// Number of the write that the caller is performing.
    in_progress: Option<u64>,
}

impl WriteQueue {
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    pub fn record(&mut self, mut ops: Vec<VoterOp>) {
        let in_progress = self.in_progress;
        if let Some(QueuedWrite { number, content: WriteContent::Ops(last_ops), .. }) = self.queue.back_mut()
        {
            if in_progress != Some(*number) && last_ops.len() + ops.len() <= RECORD_OPS_MAX {
                last_ops.append(&mut ops);
                return;
            }
        }
        self.push(WriteContent::Ops(ops));
    }

    pub fn snapshot(&mut self, stored: &StoreSnapshot) {
        // Encoding cannot fail: every type in it is serializable.
        if let Ok(bytes) = postcard::to_extend(stored, vec![FORMAT]) {
            self.push(WriteContent::Bytes(bytes));
        }
    }

    fn push(&mut self, content: WriteContent) {
        self.last_number += 1;
        self.queue.push_back(QueuedWrite { number: self.last_number, content, deferred: Vec::new() });
    }

    /// Defers a message until all writes so far are durable. Returns the message if no write is pending.
    pub fn defer(&mut self, message: Outgoing) -> Option<Outgoing> {
        match self.queue.back_mut() {
            Some(queued) => {
                if queued.deferred.len() < DEFERRED_MESSAGES_MAX {
                    queued.deferred.push(message);
                }
                None
            }
            None => Some(message),
        }
    }

    /// Returns the first write, unless one is already in progress.
    pub fn start_next(&mut self) -> Option<Ready> {
        if self.in_progress.is_some() {
            return None;
        }
        let queued = self.queue.front()?;
        let write = match &queued.content {
            WriteContent::Ops(ops) => Write::Record(postcard::to_extend(ops, vec![FORMAT]).ok()?),
            WriteContent::Bytes(bytes) => Write::Snapshot(bytes.clone()),
        };
        self.in_progress = Some(queued.number);
        Some(Ready { number: queued.number, write })
    }

    /// Removes a write that has become durable and returns the messages deferred for it.
    pub fn complete(&mut self, number: u64) -> Vec<Outgoing> {
        if self.in_progress != Some(number) {
            return Vec::new();
        }
        self.in_progress = None;
        self.queue.pop_front().map(|b| b.deferred).unwrap_or_default()
    }

    /// Handles a failed write, which will be offered again. Returns whether it was the write in progress.
    pub fn fail(&mut self, number: u64) -> bool {
        let matches = self.in_progress == Some(number);
        if matches {
            self.in_progress = None;
        }
        matches
    }

    /// Injected fault: releases all deferred messages before their writes are durable.
    #[cfg(test)]
    pub fn release_all_deferred(&mut self) -> Vec<Outgoing> {
        self.queue.iter_mut().flat_map(|b| std::mem::take(&mut b.deferred)).collect()
    }
}
