//! A store in memory: for tests, and for a node that was given no directory. It outlives what its [`MemoryMedium`] outlives.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::store::{Recovered, Seq, Store, StoreError, TornTail, RECORD_MAX_BYTES};

#[derive(Clone, Debug, Default)]
struct Content {
    snapshot: Option<(Seq, Vec<u8>, u32)>,
    /// Behind the snapshot, each with its checksum.
    records: Vec<(Seq, Vec<u8>, u32)>,
    /// The last number given.
    last: u64,
    /// The last number promised.
    synced: u64,
    torn_tail: Option<TornTail>,
}

#[derive(Debug, Default)]
struct State {
    content: Content,
    /// Which opening has it; none after its end. One that a crash ended is not the present one.
    held: Option<u64>,
    openings: u64,
    full: bool,
    missing: bool,
    read_only: bool,
    sync_fails: bool,
}

/// What a [`Memory`] lies on, and what the tests hold of it; clones share it.
#[derive(Clone, Debug, Default)]
pub struct MemoryMedium(Arc<Mutex<State>>);

impl MemoryMedium {
    fn state(&self) -> MutexGuard<'_, State> {
        // Each change is whole when the lock is let go, also by a panic.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A shelf as a crash at this moment may leave it: with all that was synced and so many records of the rest; the next
    /// one, if there is one, is torn.
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

    /// How many records are not synced.
    pub fn unsynced(&self) -> usize {
        let state = self.state();
        state.content.records.iter().filter(|(seq, ..)| seq.0 > state.content.synced).count()
    }

    /// Shelves with one bit of one record or of the snapshot flipped, each bit once.
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
                let held = content.snapshot.as_mut().map(|(_, bytes, _)| bytes);
                if let Some(bytes) = content.records.iter_mut().map(|(_, bytes, _)| bytes).chain(held).nth(n)
                {
                    bytes[bit / 8] ^= 1 << (bit % 8);
                }
                all.push(Self(Arc::new(Mutex::new(State { content, ..State::default() }))));
            }
        }
        all
    }

    /// There is no space from now on.
    pub fn fill(&self) {
        self.state().full = true;
    }

    /// It can only be read from now on.
    pub fn make_read_only(&self) {
        self.state().read_only = true;
    }

    /// It is gone from now on.
    pub fn remove(&self) {
        self.state().missing = true;
    }

    /// Syncs fail from now on.
    pub fn fail_syncs(&self) {
        self.state().sync_fails = true;
    }

    /// Ends all trouble.
    pub fn repair(&self) {
        let mut state = self.state();
        (state.full, state.missing, state.read_only, state.sync_fails) = (false, false, false, false);
    }
}

/// A store on a [`MemoryMedium`].
#[derive(Debug)]
pub struct Memory {
    shelf: MemoryMedium,
    opening: u64,
    doubt: Option<String>,
}

impl Memory {
    /// Opens it.
    ///
    /// # Errors
    /// [`StoreError::Locked`], [`StoreError::MissingDirectory`], [`StoreError::ReadOnly`] and [`StoreError::Corrupted`].
    pub fn open(shelf: &MemoryMedium) -> Result<(Self, Recovered), StoreError> {
        let mut state = shelf.state();
        if state.missing {
            return Err(StoreError::MissingDirectory("memory".into()));
        }
        if state.read_only {
            return Err(StoreError::ReadOnly);
        }
        if state.held.is_some() {
            return Err(StoreError::Locked("another".into()));
        }
        let all = state.content.snapshot.iter().chain(&state.content.records);
        for (n, (_, bytes, crc)) in all.enumerate() {
            if crc32fast::hash(bytes) != *crc {
                let what = "altered".into();
                return Err(StoreError::Corrupted { file: "memory".into(), at: n as u64, what });
            }
        }
        state.openings += 1;
        state.held = Some(state.openings);
        // What is here outlives what the shelf outlives: nothing else can be waited for.
        state.content.synced = state.content.last;
        let recovered = Recovered {
            snapshot: state.content.snapshot.clone().map(|(covers, bytes, _)| (covers, bytes)),
            records: state.content.records.iter().map(|(seq, bytes, _)| (*seq, bytes.clone())).collect(),
            torn_tail: state.content.torn_tail.take(),
        };
        Ok((Self { shelf: shelf.clone(), opening: state.openings, doubt: None }, recovered))
    }

    fn trusted(&self) -> Result<MutexGuard<'_, State>, StoreError> {
        match &self.doubt {
            Some(why) => Err(StoreError::ReopenRequired(why.clone())),
            None => Ok(self.shelf.state()),
        }
    }
}

impl Drop for Memory {
    fn drop(&mut self) {
        let mut state = self.shelf.state();
        if state.held == Some(self.opening) {
            state.held = None;
        }
    }
}

impl Store for Memory {
    fn append(&mut self, record: &[u8]) -> Result<Seq, StoreError> {
        let mut state = self.trusted()?;
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
        let mut state = self.trusted()?;
        if state.sync_fails {
            drop(state);
            self.doubt = Some("sync: input/output error".into());
            return Err(StoreError::ReopenRequired("sync: input/output error".into()));
        }
        state.content.synced = state.content.last;
        Ok(())
    }

    fn snapshot(&mut self, covers: Seq, bytes: &[u8]) -> Result<(), StoreError> {
        self.sync()?;
        let mut state = self.trusted()?;
        if bytes.len() > RECORD_MAX_BYTES {
            return Err(StoreError::TooLarge { size: bytes.len() });
        }
        if state.full {
            return Err(StoreError::Full);
        }
        let least = state.content.snapshot.as_ref().map_or(Seq(0), |(covers, ..)| *covers);
        if covers < least || covers.0 > state.content.last {
            let what = "a snapshot covers what was appended, and no less than the one before";
            return Err(StoreError::Io(what.into(), std::io::ErrorKind::InvalidInput.into()));
        }
        state.content.snapshot = Some((covers, bytes.to_vec(), crc32fast::hash(bytes)));
        state.content.records.retain(|(seq, ..)| *seq > covers);
        Ok(())
    }

    fn last(&self) -> Seq {
        Seq(self.shelf.state().content.last)
    }
}
