//! What every store must hold.
//!
//! A store is put to the suite by a [`Place`] that it lies on: how it is opened, what a crash leaves of it, and which
//! troubles can be played there. [`check`] says which clauses were played and held, or which one is broken.

mod clauses;
pub mod media;
mod script;

use std::fmt;

use magpietally_store::{Recovered, Store, StoreError};

pub use clauses::check;

/// What a store must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Clause {
    /// What was synced, or handed out at an opening, is there after a crash at any moment; nothing altered or invented is.
    SyncedOutlivesCrash,
    /// Records come back in their order and without a gap.
    OrderWithoutGap,
    /// Numbers go on by one over restarts and snapshots.
    NumbersGoOn,
    /// A torn tail is found, cut and said, once.
    TornTailCutAndSaid,
    /// A full disk refuses, keeps what was promised, leaves nothing of what was refused, and takes more when it has space.
    FullRefusesAndGoesOn,
    /// What is too large is refused whole.
    OversizedRefusedWhole,
    /// An empty record is a record.
    EmptyIsARecord,
    /// A missing directory is said to be missing.
    MissingIsSaid,
    /// A directory that can only be read is said to be that.
    ReadOnlyIsSaid,
    /// Two can't have one store open; the next can when the first is gone.
    OneOpens,
    /// A flipped bit never changes what is given out. It stops the opening, or takes away what the last sync promised, at
    /// most, and that is said: nothing there tells it from a tear.
    FlippedBitFound,
    /// A snapshot takes the place of what it covers, or nothing changes, whenever the crash comes.
    SnapshotWholeOrNothing,
    /// After a sync that failed nothing is promised until the store is opened again.
    DoubtUntilOpened,
}

/// A clause that does not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub clause: Clause,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.clause, self.detail)
    }
}

impl std::error::Error for Violation {}

/// A trouble that a place may be able to play.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MediumFault {
    /// Space for so many bytes more.
    Full {
        /// In bytes.
        free_bytes: usize,
    },
    /// The directory is gone.
    Missing,
    /// It can only be read.
    ReadOnly,
    /// Syncs fail; nothing else is asked for meanwhile.
    SyncFails,
}

/// What a crash image.
pub struct CrashImage<M> {
    /// It, nobody having it open.
    pub medium: M,
    /// The last mark that was set before.
    pub last_mark: usize,
    /// Where it happened, for people.
    pub description: String,
    /// It ends within a record, so that something must be cut.
    pub torn: bool,
}

/// What is done with each thing a crash may leave.
pub type CrashVisitor<'a, M> = dyn FnMut(CrashImage<M>) -> Result<(), Violation> + 'a;

/// Where a store lies.
pub trait StoreMedium: Sized {
    /// The store.
    type Store: Store;

    /// A new place with nothing there.
    fn new_empty() -> Self;

    /// Opens the store.
    ///
    /// # Errors
    /// The store's.
    fn open(&self) -> Result<(Self::Store, Recovered), StoreError>;

    /// Notes that something was promised.
    fn mark(&self, label: usize);

    /// Goes through what a crash may leave, at each moment that this place knows of.
    ///
    /// # Errors
    /// The first of the visitor's.
    fn visit_crashes(&self, visit: &mut CrashVisitor<'_, Self>) -> Result<(), Violation>;

    /// Goes through what a crash in the middle of what was written since the last mark may leave.
    ///
    /// # Errors
    /// The first of the visitor's.
    fn visit_torn_writes(&self, visit: &mut CrashVisitor<'_, Self>) -> Result<(), Violation>;

    /// Goes through this place with one bit flipped, by where.
    ///
    /// # Errors
    /// The first of the visitor's.
    fn visit_bit_flips(&self, visit: &mut CrashVisitor<'_, Self>) -> Result<(), Violation>;

    /// What a kill of the process at this moment leaves.
    fn after_process_kill(&self) -> Self;

    /// Plays a trouble from now on; false where it can't be played here.
    fn inject_fault(&self, fault: MediumFault) -> bool;

    /// Ends all trouble.
    fn clear_faults(&self);
}
