//! A room that stands on the log.

use std::fmt;
use std::time::Duration;

use magpietally_transport::Now;

use crate::entry::{DecidedEntry, Topic};

/// A snapshot that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotError(pub String);

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a snapshot that can't be read: {}", self.0)
    }
}

impl std::error::Error for SnapshotError {}

/// One node's part of a room that stands on the log. Its state has two halves: what follows from the decided entries
/// alone (the same at every node at the same index; snapshots hold it and nothing else), and what this node knows by
/// its own clock (when it asked, when it learnt), which is never in a snapshot.
pub trait StateMachine {
    /// Whose entries it takes.
    fn topic(&self) -> Topic;

    /// Takes the next decided entry of its topic. Entries come in order, each once; an entry that can't be read or that
    /// the state does not allow changes nothing.
    fn apply(&mut self, now: Now, decided: &DecidedEntry);

    /// What follows from the entries so far.
    fn snapshot(&self) -> Vec<u8>;

    /// Puts a snapshot in the place of all entries so far: this node was too far behind, or starts anew. Every lease in it
    /// counts, for this node as a waiter, from `now`.
    ///
    /// # Errors
    /// A snapshot that can't be read; the state is then as before.
    fn restore(&mut self, now: Now, snapshot: &[u8]) -> Result<(), SnapshotError>;

    /// Does what is due. `leading` says whether this node leads the log as far as it knows (several may think so): the
    /// chores of the fleet, as expiring leases, are proposed by who leads.
    fn tick(&mut self, now: Now, leading: bool);

    /// When [`StateMachine::tick`] has something to do next, by the boot clock.
    fn next_due(&self) -> Option<Duration>;

    /// The body of the next proposal, at most [`crate::BODY_MAX_BYTES`] bytes. It may get lost: a machine that still wants it
    /// says it again, by its own timer.
    fn take_proposal(&mut self) -> Option<Vec<u8>>;
}
