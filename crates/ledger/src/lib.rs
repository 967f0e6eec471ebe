//! A write-ahead ledger of requests that must not run twice, readable after any crash.
//!
//! Before an attempt of a class that must not be repeated freely is written to a server, its intent is
//! recorded here; afterwards its outcome and the final outcome that the client received. When a node dies,
//! the requests that were in flight can be listed and compared with the servers' own records.
//!
//! The modules without I/O are the records ([`record`], [`segment`], [`scan`]), the state they add up to
//! ([`open_intents`], [`recovery`]), the decisions a node makes from it ([`admission`]) and the comparison
//! with the servers' records ([`reconcile`]). [`journal`] writes through the [`disk::Disk`] trait; [`writer`]
//! is the writer thread and its queue; [`sim`] is a simulated disk that loses unsynced data.

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
