//! The interface of stores, and their errors.

use std::fmt;
use std::io;

/// The maximum size of a record or snapshot, in bytes: a whole one is held in memory, and a node may have as
/// little as 32 MB.
pub const RECORD_MAX_BYTES: usize = 8 << 20;

/// The sequence number of a record. The first is 1 and each is one more than the previous one, across
/// restarts and snapshots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Seq(pub u64);

/// The content of a store when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The last record that the snapshot covers, and the snapshot.
    pub snapshot: Option<(Seq, Vec<u8>)>,
    /// The records after the snapshot, in order and without gaps.
    pub records: Vec<(Seq, Vec<u8>)>,
    /// The torn tail that was found and cut, if any.
    pub torn_tail: Option<TornTail>,
}

/// A torn tail that was cut: bytes that were never synced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// The name of the file.
    pub file: String,
    /// The offset at which the last intact record ends.
    pub at: u64,
    /// The number of bytes dropped.
    pub bytes: u64,
}

/// Why a store refused an operation.
#[derive(Debug)]
pub enum StoreError {
    /// The record or snapshot is larger than [`RECORD_MAX_BYTES`]; nothing was written.
    TooLarge {
        /// Its size, in bytes.
        size: usize,
    },
    /// There is no space. The data was not stored, synced data is not affected, and another attempt may
    /// succeed.
    Full,
    /// The store is read-only.
    ReadOnly,
    /// The directory does not exist.
    MissingDirectory(String),
    /// Another process has the store open.
    Locked(String),
    /// The store belongs to another owner, named here.
    OtherOwner(String),
    /// Synced data is damaged (a flipped bit, a missing file). The store does not open.
    Corrupted {
        /// The name of the file.
        file: String,
        /// The offset of the damage in the file.
        at: u64,
        /// Describes the damage.
        what: String,
    },
    /// After an earlier error, described here, it is unknown what is on the disk. The store has to be
    /// reopened before it can be used.
    ReopenRequired(String),
    /// An error of a system call, with a description of the operation.
    Io(String, io::Error),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { size } => {
                write!(f, "record of {size} bytes is larger than the maximum of {RECORD_MAX_BYTES}")
            }
            Self::Full => write!(f, "no space left for a record"),
            Self::ReadOnly => write!(f, "the store is read-only"),
            Self::MissingDirectory(path) => write!(f, "{path}: no such directory"),
            Self::Locked(by) => write!(f, "the store is locked by {by}"),
            Self::OtherOwner(name) => write!(f, "the store belongs to {name}"),
            Self::Corrupted { file, at, what } => write!(f, "{file}: byte {at}: {what}"),
            Self::ReopenRequired(why) => write!(f, "the store must be reopened: {why}"),
            Self::Io(what, error) => write!(f, "{what}: {error}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Stores records and snapshots. Each implementation has its own function to open it, which returns
/// [`Recovered`].
pub trait Store {
    /// Appends a record. It is durable only after the next [`Store::sync`] has returned.
    ///
    /// # Errors
    /// See [`StoreError`]. After a crash no part of a refused record is present.
    fn append(&mut self, record: &[u8]) -> Result<Seq, StoreError>;

    /// Waits until all appended records would survive a power loss.
    ///
    /// # Errors
    /// See [`StoreError`]. After [`StoreError::ReopenRequired`] the state of the records appended since the
    /// last sync is unknown.
    fn sync(&mut self) -> Result<(), StoreError>;

    /// Replaces all records up to and including `covers`, which must have been synced, by the snapshot
    /// `state`. The snapshot is durable when this returns; a crash before that leaves the former content.
    ///
    /// # Errors
    /// See [`StoreError`]; the former snapshot and all records are kept in that case.
    fn snapshot(&mut self, covers: Seq, state: &[u8]) -> Result<(), StoreError>;

    /// Returns the number of the last appended record, or of the last one that the snapshot covers if there
    /// are none after it.
    fn last(&self) -> Seq;
}
