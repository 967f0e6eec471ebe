//! The durable state of a voter, held in memory, with every change recorded for the caller to write.

use std::error::Error;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{NoSnapshot, StopSign, Storage, StorageOp, StorageResult};
use serde::{Deserialize, Serialize};

use crate::head::LogEntry;
use crate::wire::BootstrapStage;

/// Limits on the decided log that a voter keeps behind a checkpoint, in bytes and entries, so that a voter
/// that missed a little can be brought up to date from the log. A voter that missed more learns the entries
/// from any peer first.
pub(crate) const TAIL_BYTES_MAX: usize = 256 << 10;
pub(crate) const TAIL_ENTRIES_MAX: usize = 1024;

/// The voter's bootstrap state: its identity, its stage and the set it votes in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BootstrapState {
    pub identity: u64,
    pub stage: BootstrapStage,
    pub set: Vec<u64>,
}

/// A change of the durable state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum VoterOp {
    Bootstrap(BootstrapState),
    Append(Vec<LogEntry>),
    AppendAt(u64, Vec<LogEntry>),
    Promise(Ballot),
    Decided(u64),
    AcceptedRound(Ballot),
    Trim(u64),
}

/// The durable state of a voter.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct VoterState {
    pub bootstrap: Option<BootstrapState>,
    promise: Option<Ballot>,
    accepted_round: Option<Ballot>,
    pub decided: u64,
    pub compacted: u64,
    pub log: Vec<LogEntry>,
    /// Size of `log` in bytes.
    pub bytes: usize,
}

fn size(entries: &[LogEntry]) -> usize {
    entries.iter().map(LogEntry::size).sum()
}

impl VoterState {
    /// Applies a change.
    pub fn apply(&mut self, op: VoterOp) -> Result<(), &'static str> {
        match op {
            VoterOp::Bootstrap(bootstrap) => self.bootstrap = Some(bootstrap),
            VoterOp::Append(mut entries) => {
                self.bytes += size(&entries);
                self.log.append(&mut entries);
            }
            VoterOp::AppendAt(from, mut entries) => {
                let at =
                    from.checked_sub(self.compacted).ok_or("entries inside the trimmed part of the log")?;
                let at = usize::try_from(at).map_err(|_| "entries beyond the end of the log")?;
                if at > self.log.len() {
                    return Err("entries beyond the end of the log");
                }
                self.bytes = self.bytes + size(&entries) - size(&self.log[at..]);
                self.log.truncate(at);
                self.log.append(&mut entries);
            }
            VoterOp::Promise(ballot) => self.promise = Some(ballot),
            VoterOp::Decided(index) => self.decided = index,
            VoterOp::AcceptedRound(ballot) => self.accepted_round = Some(ballot),
            VoterOp::Trim(to) => self.trim(to),
        }
        Ok(())
    }

    /// Drops all entries up to and including `to`, even beyond the end of this log.
    pub fn trim(&mut self, to: u64) {
        if to > self.compacted {
            let drop = usize::try_from(to - self.compacted).unwrap_or(usize::MAX).min(self.log.len());
            self.bytes -= size(&self.log[..drop]);
            self.log.drain(..drop);
            self.compacted = to;
            self.decided = self.decided.max(to);
        }
    }

    /// The index up to which the log may be trimmed when a checkpoint covers everything up to `covered`.
    pub fn trim_point(&self, covered: u64) -> u64 {
        let decided = covered.min(self.decided);
        let available =
            usize::try_from(decided.saturating_sub(self.compacted)).unwrap_or(0).min(self.log.len());
        let mut bytes = 0;
        let kept = self.log[..available].iter().rev().take(TAIL_ENTRIES_MAX).take_while(|entry| {
            bytes += entry.size();
            bytes <= TAIL_BYTES_MAX
        });
        self.compacted + (available - kept.count()) as u64
    }

    pub fn accepted(&self) -> u64 {
        self.compacted + self.log.len() as u64
    }

    /// The entries with zero-based indexes `from..to`; empty unless all of them are present.
    pub fn entries(&self, from: u64, to: u64) -> &[LogEntry] {
        let (Some(a), Some(b)) = (from.checked_sub(self.compacted), to.checked_sub(self.compacted)) else {
            return &[];
        };
        let (Ok(a), Ok(b)) = (usize::try_from(a), usize::try_from(b)) else { return &[] };
        self.log.get(a..b).unwrap_or(&[])
    }
}

#[derive(Debug, Default)]
pub(crate) struct Inner {
    pub state: VoterState,
    /// Changes that are not in a record yet.
    ops: Vec<VoterOp>,
    /// A change that could not be applied; the voter must stop.
    pub error: Option<&'static str>,
}

impl Inner {
    pub fn record(&mut self, op: VoterOp) {
        if let Err(error) = self.state.apply(op.clone()) {
            self.error = Some(error);
        }
        self.ops.push(op);
    }
}

/// Storage shared by the consensus library and the voter.
#[derive(Clone, Debug, Default)]
pub(crate) struct VoterStorage(Arc<Mutex<Inner>>);

impl VoterStorage {
    pub fn new(state: VoterState) -> Self {
        Self(Arc::new(Mutex::new(Inner { state, ops: Vec::new(), error: None })))
    }

    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the changes since the last call if one of them must be durable before dependent messages are
    /// sent. The decided index need not be, because it can be learned again; it is written with the next
    /// record.
    pub fn take_ops(&self) -> Option<Vec<VoterOp>> {
        let mut inner = self.lock();
        let needs_sync = inner.ops.iter().any(|op| !matches!(op, VoterOp::Decided(_)));
        needs_sync.then(|| std::mem::take(&mut inner.ops))
    }

    /// Discards the pending changes because a snapshot covers them.
    pub fn drop_ops(&self) {
        self.lock().ops.clear();
    }

    fn record(&self, op: VoterOp) -> StorageResult<()> {
        self.lock().record(op);
        Ok(())
    }
}

fn to_u64(n: usize) -> u64 {
    n as u64
}

fn to_usize(n: u64) -> usize {
    usize::try_from(n).unwrap_or(usize::MAX)
}

fn unsupported(what: &str) -> Box<dyn Error> {
    format!("{what} are not supported").into()
}

impl Storage<LogEntry> for VoterStorage {
    fn write_atomically(&mut self, ops: Vec<StorageOp<LogEntry>>) -> StorageResult<()> {
        for op in ops {
            let op = match op {
                StorageOp::AppendEntry(entry) => VoterOp::Append(vec![entry]),
                StorageOp::AppendEntries(entries) => VoterOp::Append(entries),
                StorageOp::AppendOnPrefix(from, entries) => VoterOp::AppendAt(to_u64(from), entries),
                StorageOp::SetPromise(ballot) => VoterOp::Promise(ballot),
                StorageOp::SetDecidedIndex(index) => VoterOp::Decided(to_u64(index)),
                StorageOp::SetAcceptedRound(ballot) => VoterOp::AcceptedRound(ballot),
                StorageOp::Trim(to) => VoterOp::Trim(to_u64(to)),
                // `Trim` covers the compacted index; the other two are not used.
                StorageOp::SetCompactedIdx(_) | StorageOp::SetStopsign(_) | StorageOp::SetSnapshot(_) => {
                    continue
                }
            };
            self.record(op)?;
        }
        Ok(())
    }

    fn append_entry(&mut self, entry: LogEntry) -> StorageResult<()> {
        self.record(VoterOp::Append(vec![entry]))
    }

    fn append_entries(&mut self, entries: Vec<LogEntry>) -> StorageResult<()> {
        if entries.is_empty() {
            return Ok(());
        }
        self.record(VoterOp::Append(entries))
    }

    fn append_on_prefix(&mut self, from_idx: usize, entries: Vec<LogEntry>) -> StorageResult<()> {
        self.record(VoterOp::AppendAt(to_u64(from_idx), entries))
    }

    fn set_promise(&mut self, n_prom: Ballot) -> StorageResult<()> {
        if self.lock().state.promise == Some(n_prom) {
            return Ok(());
        }
        self.record(VoterOp::Promise(n_prom))
    }

    fn set_decided_idx(&mut self, ld: usize) -> StorageResult<()> {
        self.record(VoterOp::Decided(to_u64(ld)))
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(to_usize(self.lock().state.decided))
    }

    fn set_accepted_round(&mut self, na: Ballot) -> StorageResult<()> {
        self.record(VoterOp::AcceptedRound(na))
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.lock().state.accepted_round)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<LogEntry>> {
        Ok(self.lock().state.entries(to_u64(from), to_u64(to)).to_vec())
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.lock().state.log.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<LogEntry>> {
        let inner = self.lock();
        Ok(inner.state.entries(to_u64(from), inner.state.accepted()).to_vec())
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.lock().state.promise)
    }

    fn set_stopsign(&mut self, s: Option<StopSign>) -> StorageResult<()> {
        s.map_or(Ok(()), |_| Err(unsupported("stop signs")))
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(None)
    }

    fn trim(&mut self, idx: usize) -> StorageResult<()> {
        self.record(VoterOp::Trim(to_u64(idx)))
    }

    fn set_compacted_idx(&mut self, _: usize) -> StorageResult<()> {
        Ok(())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(to_usize(self.lock().state.compacted))
    }

    fn set_snapshot(&mut self, snapshot: Option<NoSnapshot>) -> StorageResult<()> {
        snapshot.map_or(Ok(()), |_| Err(unsupported("library snapshots")))
    }

    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}
