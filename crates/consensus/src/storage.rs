//! What a voter must not forget, in memory, with every change collected as a record for the carrier to write.

use std::error::Error;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{NoSnapshot, StopSign, Storage, StorageOp, StorageResult};
use serde::{Deserialize, Serialize};

use crate::head::Item;
use crate::wire::Stage;

/// How much of the decided log a voter keeps behind a checkpoint, in bytes and in entries, so that another voter that
/// missed a little is brought up to date from the log. What missed more takes it from any peer first.
pub(crate) const KEEP_BYTES: usize = 256 << 10;
pub(crate) const KEEP_ENTRIES: usize = 1024;

/// The voter's standing in the founding: who it is, and in which set it votes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Standing {
    pub identity: u64,
    pub stage: Stage,
    pub set: Vec<u64>,
}

/// One change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Op {
    Standing(Standing),
    Append(Vec<Item>),
    AppendAt(u64, Vec<Item>),
    Promise(Ballot),
    Decided(u64),
    Round(Ballot),
    Trim(u64),
}

/// All that a voter must not forget of its votes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Votes {
    pub standing: Option<Standing>,
    promise: Option<Ballot>,
    round: Option<Ballot>,
    pub decided: u64,
    pub compacted: u64,
    pub log: Vec<Item>,
    /// The log's size.
    pub bytes: usize,
}

fn size(items: &[Item]) -> usize {
    items.iter().map(Item::size).sum()
}

impl Votes {
    /// Makes a change.
    pub fn apply(&mut self, op: Op) -> Result<(), &'static str> {
        match op {
            Op::Standing(standing) => self.standing = Some(standing),
            Op::Append(mut items) => {
                self.bytes += size(&items);
                self.log.append(&mut items);
            }
            Op::AppendAt(from, mut items) => {
                let at =
                    from.checked_sub(self.compacted).ok_or("entries below the trimmed part of the log")?;
                let at = usize::try_from(at).map_err(|_| "entries beyond the end of the log")?;
                if at > self.log.len() {
                    return Err("entries beyond the end of the log");
                }
                self.bytes = self.bytes + size(&items) - size(&self.log[at..]);
                self.log.truncate(at);
                self.log.append(&mut items);
            }
            Op::Promise(ballot) => self.promise = Some(ballot),
            Op::Decided(index) => self.decided = index,
            Op::Round(ballot) => self.round = Some(ballot),
            Op::Trim(to) => self.trim(to),
        }
        Ok(())
    }

    /// Drops all entries up to and with `to`, also those that it does not have.
    pub fn trim(&mut self, to: u64) {
        if to > self.compacted {
            let drop = usize::try_from(to - self.compacted).unwrap_or(usize::MAX).min(self.log.len());
            self.bytes -= size(&self.log[..drop]);
            self.log.drain(..drop);
            self.compacted = to;
            self.decided = self.decided.max(to);
        }
    }

    /// What the log may be trimmed to when all up to `covered` is held elsewhere.
    pub fn trim_point(&self, covered: u64) -> u64 {
        let decided = covered.min(self.decided);
        let have = usize::try_from(decided.saturating_sub(self.compacted)).unwrap_or(0).min(self.log.len());
        let mut bytes = 0;
        let kept = self.log[..have].iter().rev().take(KEEP_ENTRIES).take_while(|i| {
            bytes += i.size();
            bytes <= KEEP_BYTES
        });
        self.compacted + (have - kept.count()) as u64
    }

    pub fn accepted(&self) -> u64 {
        self.compacted + self.log.len() as u64
    }

    /// Items from index `from` (0 is the first) up to `to`, where all are there.
    pub fn items(&self, from: u64, to: u64) -> &[Item] {
        let (Some(a), Some(b)) = (from.checked_sub(self.compacted), to.checked_sub(self.compacted)) else {
            return &[];
        };
        let (Ok(a), Ok(b)) = (usize::try_from(a), usize::try_from(b)) else { return &[] };
        self.log.get(a..b).unwrap_or(&[])
    }
}

#[derive(Debug, Default)]
pub(crate) struct Inner {
    pub votes: Votes,
    /// Changes that no record holds yet.
    ops: Vec<Op>,
    /// A change that could not be made: the voter must stop.
    pub broken: Option<&'static str>,
}

impl Inner {
    pub fn make(&mut self, op: Op) {
        if let Err(why) = self.votes.apply(op.clone()) {
            self.broken = Some(why);
        }
        self.ops.push(op);
    }
}

/// The storage in the library's hands and in the voter's.
#[derive(Clone, Debug, Default)]
pub(crate) struct Disk(Arc<Mutex<Inner>>);

impl Disk {
    pub fn new(votes: Votes) -> Self {
        Self(Arc::new(Mutex::new(Inner { votes, ops: Vec::new(), broken: None })))
    }

    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The changes since the last call, when one among them must be durable before anything that follows is sent. Which
    /// entries are decided need not be: it can be learnt again, so it waits for the next record.
    pub fn take_ops(&self) -> Option<Vec<Op>> {
        let mut inner = self.lock();
        let must = inner.ops.iter().any(|op| !matches!(op, Op::Decided(_)));
        must.then(|| std::mem::take(&mut inner.ops))
    }

    /// Forgets the changes: a snapshot holds them.
    pub fn drop_ops(&self) {
        self.lock().ops.clear();
    }

    fn make(&self, op: Op) -> StorageResult<()> {
        self.lock().make(op);
        Ok(())
    }
}

fn wide(n: usize) -> u64 {
    n as u64
}

fn narrow(n: u64) -> usize {
    usize::try_from(n).unwrap_or(usize::MAX)
}

fn unused(what: &str) -> Box<dyn Error> {
    format!("{what} are not used").into()
}

impl Storage<Item> for Disk {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Item>>) -> StorageResult<()> {
        for op in ops {
            let op = match op {
                StorageOp::AppendEntry(item) => Op::Append(vec![item]),
                StorageOp::AppendEntries(items) => Op::Append(items),
                StorageOp::AppendOnPrefix(from, items) => Op::AppendAt(wide(from), items),
                StorageOp::SetPromise(ballot) => Op::Promise(ballot),
                StorageOp::SetDecidedIndex(index) => Op::Decided(wide(index)),
                StorageOp::SetAcceptedRound(ballot) => Op::Round(ballot),
                StorageOp::Trim(to) => Op::Trim(wide(to)),
                // Trimming says it already; the other two are not used.
                StorageOp::SetCompactedIdx(_) | StorageOp::SetStopsign(_) | StorageOp::SetSnapshot(_) => {
                    continue
                }
            };
            self.make(op)?;
        }
        Ok(())
    }

    fn append_entry(&mut self, entry: Item) -> StorageResult<()> {
        self.make(Op::Append(vec![entry]))
    }

    fn append_entries(&mut self, entries: Vec<Item>) -> StorageResult<()> {
        if entries.is_empty() {
            return Ok(());
        }
        self.make(Op::Append(entries))
    }

    fn append_on_prefix(&mut self, from_idx: usize, entries: Vec<Item>) -> StorageResult<()> {
        self.make(Op::AppendAt(wide(from_idx), entries))
    }

    fn set_promise(&mut self, n_prom: Ballot) -> StorageResult<()> {
        if self.lock().votes.promise == Some(n_prom) {
            return Ok(());
        }
        self.make(Op::Promise(n_prom))
    }

    fn set_decided_idx(&mut self, ld: usize) -> StorageResult<()> {
        self.make(Op::Decided(wide(ld)))
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(narrow(self.lock().votes.decided))
    }

    fn set_accepted_round(&mut self, na: Ballot) -> StorageResult<()> {
        self.make(Op::Round(na))
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.lock().votes.round)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Item>> {
        Ok(self.lock().votes.items(wide(from), wide(to)).to_vec())
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.lock().votes.log.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Item>> {
        let inner = self.lock();
        Ok(inner.votes.items(wide(from), inner.votes.accepted()).to_vec())
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.lock().votes.promise)
    }

    fn set_stopsign(&mut self, s: Option<StopSign>) -> StorageResult<()> {
        s.map_or(Ok(()), |_| Err(unused("stop signs")))
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(None)
    }

    fn trim(&mut self, idx: usize) -> StorageResult<()> {
        self.make(Op::Trim(wide(idx)))
    }

    fn set_compacted_idx(&mut self, _: usize) -> StorageResult<()> {
        Ok(())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(narrow(self.lock().votes.compacted))
    }

    fn set_snapshot(&mut self, snapshot: Option<NoSnapshot>) -> StorageResult<()> {
        snapshot.map_or(Ok(()), |_| Err(unused("snapshots of the library")))
    }

    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}
