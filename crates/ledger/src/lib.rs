//! A ledger of requests that must not run twice, readable after any crash.
//!
//! Before an attempt of a class that may not be repeated at will is written to a server, its intent is written here; after
//! it its outcome, and what the client was told. When a node dies, what it had out can be named, and held against the
//! servers' own records.
//!
//! Pure are the records ([`record`], [`segment`], [`scan`]), what they come to ([`open_intents`], [`recovery`]), what a node does
//! with that ([`admission`]) and the comparison with the servers' records ([`reconcile`]). [`journal`] writes through the seam
//! [`disk::Disk`]; [`writer`] is the thread and its queue; [`sim`] is a disk that loses what it may lose.

pub mod admission;
pub mod directory;
pub mod disk;
pub mod journal;
pub mod open_intents;
pub mod reconcile;
pub mod record;
pub mod recovery;
pub mod scan;
pub mod segment;
pub mod settings;
pub mod writer;

pub use magpietally_store::sim;

pub use admission::{IntentError, RejectionReason, RepeatRule};
pub use record::{AttemptOutcome, FinalOutcome, KeyDigest};
pub use writer::{Ledger, NewIntent, Options, PendingIntent, WriterHandle};
