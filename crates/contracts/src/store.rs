//! Conformance suite for stores.
//!
//! A store is tested on a [`StoreMedium`], which defines how the store is opened, what a crash leaves of it
//! and which faults can be injected. [`check`] returns the clauses that were tested and hold, or the one that
//! is violated.

mod clauses;
pub mod media;
mod script;

use std::fmt;

use magpietally_store::{Recovered, Store, StoreError};

pub use clauses::check;

/// One requirement on a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Clause {
    /// Records that were synced, or returned when the store was opened, survive a crash at any moment; none
    /// is altered or invented.
    SyncedOutlivesCrash,
    /// Records are returned in order and without a gap.
    OrderWithoutGap,
    /// Sequence numbers continue without a gap over restarts and snapshots.
    NumbersGoOn,
    /// A torn tail is detected, truncated and reported, once.
    TornTailCutAndSaid,
    /// A full disk refuses appends, keeps what was durable, leaves nothing of what was refused, and accepts
    /// appends again when it has space.
    FullRefusesAndGoesOn,
    /// An oversized record or snapshot is refused as a whole.
    OversizedRefusedWhole,
    /// An empty record counts as a record.
    EmptyIsARecord,
    /// A missing directory is reported as missing.
    MissingIsSaid,
    /// A read-only directory is reported as read-only.
    ReadOnlyIsSaid,
    /// A store can't be opened twice at the same time; it can be opened again when the first handle is gone.
    OneOpens,
    /// A flipped bit never changes a returned record. It makes opening fail, or at most removes what the last
    /// sync made durable, in which case a torn tail is reported: nothing in the file distinguishes such a
    /// flip from a torn write.
    FlippedBitFound,
    /// A snapshot replaces what it covers or changes nothing, whenever a crash occurs.
    SnapshotWholeOrNothing,
    /// After a failed sync nothing is durable until the store is reopened.
    DoubtUntilOpened,
}

/// A violated clause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The clause.
    pub clause: Clause,
    /// What was observed.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.clause, self.detail)
    }
}

impl std::error::Error for Violation {}

/// A fault that a medium may be able to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MediumFault {
    /// The disk has space for only this many more bytes.
    Full {
        /// Free space in bytes.
        free_bytes: usize,
    },
    /// The directory does not exist.
    Missing,
    /// The directory is read-only.
    ReadOnly,
    /// Syncs fail; the suite calls nothing else while this fault is active.
    SyncFails,
}

/// The state that a crash leaves behind.
pub struct CrashImage<M> {
    /// The medium after the crash, not opened by anybody.
    pub medium: M,
    /// The last mark that was set before the crash.
    pub last_mark: usize,
    /// Where the crash happened, for error messages.
    pub description: String,
    /// Whether the data ends within a record, so that a tail must be truncated.
    pub torn: bool,
}

/// Callback for each possible state after a crash.
pub type CrashVisitor<'a, M> = dyn FnMut(CrashImage<M>) -> Result<(), Violation> + 'a;

/// The medium on which a store keeps its data.
pub trait StoreMedium: Sized {
    /// The store under test.
    type Store: Store;

    /// Creates a new, empty medium.
    fn new_empty() -> Self;

    /// Opens the store.
    ///
    /// # Errors
    /// The error of the store.
    fn open(&self) -> Result<(Self::Store, Recovered), StoreError>;

    /// Records that everything so far is expected to be durable.
    fn mark(&self, label: usize);

    /// Visits what a crash may leave, at each moment that this medium knows.
    ///
    /// # Errors
    /// The first error that the visitor returns.
    fn visit_crashes(&self, visit: &mut CrashVisitor<'_, Self>) -> Result<(), Violation>;

    /// Visits what a crash in the middle of the writes since the last mark may leave.
    ///
    /// # Errors
    /// The first error that the visitor returns.
    fn visit_torn_writes(&self, visit: &mut CrashVisitor<'_, Self>) -> Result<(), Violation>;

    /// Visits copies of this medium that each have one bit flipped.
    ///
    /// # Errors
    /// The first error that the visitor returns.
    fn visit_bit_flips(&self, visit: &mut CrashVisitor<'_, Self>) -> Result<(), Violation>;

    /// A copy of what a kill of the process at this moment leaves.
    fn after_process_kill(&self) -> Self;

    /// Injects a fault from now on; returns false where this medium can't inject it.
    fn inject_fault(&self, fault: MediumFault) -> bool;

    /// Clears all faults.
    fn clear_faults(&self);
}
