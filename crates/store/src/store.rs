//! The seam: what a store does for its user, and how it refuses.

use std::fmt;
use std::io;

/// The largest record or snapshot, in bytes: one is held in memory whole, and a node has from 32 MB on.
pub const RECORD_MAX_BYTES: usize = 8 << 20;

/// A record's number: the first is 1, and each is one more than the one before, over restarts and snapshots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Seq(pub u64);

/// What a store held when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The snapshot, and the last record that it covers.
    pub snapshot: Option<(Seq, Vec<u8>)>,
    /// The records behind it, in order, without a gap.
    pub records: Vec<(Seq, Vec<u8>)>,
    /// What was found torn at the end and cut, if anything.
    pub torn_tail: Option<TornTail>,
}

/// A torn tail that was cut: bytes that were never promised.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// In which file.
    pub file: String,
    /// Where the last whole record ended.
    pub at: u64,
    /// How many bytes were dropped.
    pub bytes: u64,
}

/// Why a store refused.
#[derive(Debug)]
pub enum StoreError {
    /// Larger than [`RECORD_MAX_BYTES`]; nothing was written.
    TooLarge {
        /// Its size in bytes.
        size: usize,
    },
    /// No space: nothing was promised, what was synced stays, and another try may succeed.
    Full,
    /// It can only be read.
    ReadOnly,
    /// There is no such directory.
    MissingDirectory(String),
    /// Another process has it open.
    Locked(String),
    /// It is the store of another owner, named here.
    OtherOwner(String),
    /// What was synced once is damaged (a flipped bit, a missing file): the store does not open, and says where.
    Corrupted {
        /// In which file.
        file: String,
        /// At which byte of it.
        at: u64,
        /// What is wrong there.
        what: String,
    },
    /// An earlier error left unknown what is on the disk; the store has to be opened again before anything is promised.
    ReopenRequired(String),
    /// The system's word.
    Io(String, io::Error),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { size } => {
                write!(f, "a record of {size} bytes, at most {RECORD_MAX_BYTES} are stored")
            }
            Self::Full => write!(f, "no space left for a record"),
            Self::ReadOnly => write!(f, "the store can only be read"),
            Self::MissingDirectory(path) => write!(f, "{path}: there is no such directory"),
            Self::Locked(by) => write!(f, "the store is held by {by}"),
            Self::OtherOwner(name) => write!(f, "this is the store of {name}"),
            Self::Corrupted { file, at, what } => write!(f, "{file}: byte {at}: {what}"),
            Self::ReopenRequired(why) => write!(f, "the store must be opened again: {why}"),
            Self::Io(what, error) => write!(f, "{what}: {error}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Records and snapshots. Opening is each store's own matter and gives [`Recovered`].
pub trait Store {
    /// Adds a record. It is promised only when [`Store::sync`] has returned after it.
    ///
    /// # Errors
    /// See [`StoreError`]; a record that was refused is not there after any crash, in whole or in part.
    fn append(&mut self, record: &[u8]) -> Result<Seq, StoreError>;

    /// Waits until all that was appended outlives a loss of power.
    ///
    /// # Errors
    /// See [`StoreError`]. After [`StoreError::ReopenRequired`] nothing is known of what was appended since the last sync.
    fn sync(&mut self) -> Result<(), StoreError>;

    /// Puts `state` in the place of all records up to and with `covers`, which must have been synced, and drops them. When
    /// this returns, the snapshot outlives a loss of power; a crash before leaves what was there.
    ///
    /// # Errors
    /// See [`StoreError`]; then the earlier snapshot and all records still hold.
    fn snapshot(&mut self, covers: Seq, state: &[u8]) -> Result<(), StoreError>;

    /// The number of the last record appended; that of the snapshot's last where none came behind it.
    fn last(&self) -> Seq;
}
