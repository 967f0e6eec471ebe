//! A store in memory, for tests and for nodes without a directory. Its content lives as long as its
//! [`MemoryMedium`].

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::store::{Recovered, Seq, Store, StoreError, TornTail, RECORD_MAX_BYTES};

#[derive(Clone, Debug, Default)]
struct Content {
    snapshot: Option<(Seq, Vec<u8>, u32)>,
    /// The records after the snapshot, each with its checksum.
    records: Vec<(Seq, Vec<u8>, u32)>,
    /// The sequence number of the last record.
    last: u64,
    /// The sequence number of the last synced record.
    synced: u64,
    torn_tail: Option<TornTail>,
}

#[derive(Debug, Default)]
struct State {
    content: Content,
    /// The number of the opening that has the store open. A store that was left behind by a simulated crash
    /// does not match it.
    open_by: Option<u64>,
    openings: u64,
    full: bool,
    missing: bool,
    read_only: bool,
    sync_fails: bool,
}

/// The medium that a [`Memory`] stores on. Tests use it to inject faults. Clones share the content.
#[derive(Clone, Debug, Default)]
pub struct MemoryMedium(Arc<Mutex<State>>);

impl MemoryMedium {
    fn state(&self) -> MutexGuard<'_, State> {
        // Every change is complete when the lock is released, also after a panic.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the medium as a crash may leave it: with all synced records and the first `unsynced` of the
    /// others. The record after them, if any, is torn.
    #[must_use]
    pub fn after_crash(&self, unsynced: usize) -> Self {
        let mut content = self.state().content.clone();
        let kept = content.records.iter().filter(|(seq, ..)| seq.0 <= content.synced).count() + unsynced;
        if let Some((_, torn, _)) = content.records.get(kept) {
            content.torn_tail =
                Some(TornTail { file: "memory".into(), at: kept as u64, bytes: torn.len() as u64 });
        }
        content.records.truncate(kept);
        content.last = content.synced.max(content.records.last().map_or(0, |(seq, ..)| seq.0));
        content.synced = content.last;
        Self(Arc::new(Mutex::new(State { content, ..State::default() })))
    }

    /// Returns the number of records that are not synced.
    pub fn unsynced(&self) -> usize {
        let state = self.state();
        state.content.records.iter().filter(|(seq, ..)| seq.0 > state.content.synced).count()
    }

    /// Returns copies of the medium, each with one bit of a record or of the snapshot flipped; every bit is
    /// flipped once.
    #[must_use]
    pub fn with_bit_flips(&self) -> Vec<Self> {
        let content = self.state().content.clone();
        let sizes = content.records.iter().map(|(_, bytes, _)| bytes.len());
        let sizes: Vec<usize> =
            sizes.chain(content.snapshot.iter().map(|(_, bytes, _)| bytes.len())).collect();
        let mut all = Vec::new();
        for (n, size) in sizes.into_iter().enumerate() {
            for bit in 0..size * 8 {
                let mut content = content.clone();
                let snapshot = content.snapshot.as_mut().map(|(_, bytes, _)| bytes);
                if let Some(bytes) =
                    content.records.iter_mut().map(|(_, bytes, _)| bytes).chain(snapshot).nth(n)
                {
                    bytes[bit / 8] ^= 1 << (bit % 8);
                }
                all.push(Self(Arc::new(Mutex::new(State { content, ..State::default() }))));
            }
        }
        all
    }

    /// Makes the medium full: appends fail for lack of space from now on.
    pub fn fill(&self) {
        self.state().full = true;
    }

    /// Makes the medium read-only from now on.
    pub fn make_read_only(&self) {
        self.state().read_only = true;
    }

    /// Makes the medium appear missing from now on.
    pub fn remove(&self) {
        self.state().missing = true;
    }

    /// Makes syncs fail from now on.
    pub fn fail_syncs(&self) {
        self.state().sync_fails = true;
    }

    /// Ends all injected faults.
    pub fn repair(&self) {
        let mut state = self.state();
        (state.full, state.missing, state.read_only, state.sync_fails) = (false, false, false, false);
    }
}

/// A store on a [`MemoryMedium`].
#[derive(Debug)]
pub struct Memory {
    medium: MemoryMedium,
    opening: u64,
    /// Why the store must be reopened, after a failed sync.
    reopen_reason: Option<String>,
}

impl Memory {
    /// Opens the store.
    ///
    /// # Errors
    /// [`StoreError::Locked`], [`StoreError::MissingDirectory`], [`StoreError::ReadOnly`] and
    /// [`StoreError::Corrupted`].
    pub fn open(medium: &MemoryMedium) -> Result<(Self, Recovered), StoreError> {
        let mut state = medium.state();
        if state.missing {
            return Err(StoreError::MissingDirectory("memory".into()));
        }
        if state.read_only {
            return Err(StoreError::ReadOnly);
        }
        if state.open_by.is_some() {
            return Err(StoreError::Locked("another user".into()));
        }
        let all = state.content.snapshot.iter().chain(&state.content.records);
        for (n, (_, bytes, crc)) in all.enumerate() {
            if crc32fast::hash(bytes) != *crc {
                let what = "altered".into();
                return Err(StoreError::Corrupted { file: "memory".into(), at: n as u64, what });
            }
        }
        state.openings += 1;
        state.open_by = Some(state.openings);
        // The content lives as long as the medium, so there is nothing more to sync.
        state.content.synced = state.content.last;
        let recovered = Recovered {
            snapshot: state.content.snapshot.clone().map(|(covers, bytes, _)| (covers, bytes)),
            records: state.content.records.iter().map(|(seq, bytes, _)| (*seq, bytes.clone())).collect(),
            torn_tail: state.content.torn_tail.take(),
        };
        Ok((Self { medium: medium.clone(), opening: state.openings, reopen_reason: None }, recovered))
    }

    fn usable_state(&self) -> Result<MutexGuard<'_, State>, StoreError> {
        match &self.reopen_reason {
            Some(reason) => Err(StoreError::ReopenRequired(reason.clone())),
            None => Ok(self.medium.state()),
        }
    }
}

impl Drop for Memory {
    fn drop(&mut self) {
        let mut state = self.medium.state();
        if state.open_by == Some(self.opening) {
            state.open_by = None;
        }
    }
}

impl Store for Memory {
    fn append(&mut self, record: &[u8]) -> Result<Seq, StoreError> {
        let mut state = self.usable_state()?;
        if record.len() > RECORD_MAX_BYTES {
            return Err(StoreError::TooLarge { size: record.len() });
        }
        if state.full {
            return Err(StoreError::Full);
        }
        let seq = Seq(state.content.last + 1);
        state.content.records.push((seq, record.to_vec(), crc32fast::hash(record)));
        state.content.last = seq.0;
        Ok(seq)
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        let mut state = self.usable_state()?;
        if state.sync_fails {
            drop(state);
            self.reopen_reason = Some("sync: input/output error".into());
            return Err(StoreError::ReopenRequired("sync: input/output error".into()));
        }
        state.content.synced = state.content.last;
        Ok(())
    }

    fn snapshot(&mut self, covers: Seq, bytes: &[u8]) -> Result<(), StoreError> {
        self.sync()?;
        let mut state = self.usable_state()?;
        if bytes.len() > RECORD_MAX_BYTES {
            return Err(StoreError::TooLarge { size: bytes.len() });
        }
        if state.full {
            return Err(StoreError::Full);
        }
        let previous = state.content.snapshot.as_ref().map_or(Seq(0), |(covers, ..)| *covers);
        if covers < previous || covers.0 > state.content.last {
            let what = "a snapshot must cover only appended records, and no fewer than the previous one";
            return Err(StoreError::Io(what.into(), std::io::ErrorKind::InvalidInput.into()));
        }
        state.content.snapshot = Some((covers, bytes.to_vec(), crc32fast::hash(bytes)));
        state.content.records.retain(|(seq, ..)| *seq > covers);
        Ok(())
    }

    fn last(&self) -> Seq {
        Seq(self.medium.state().content.last)
    }
}
