//! The interface of a state machine that is replicated through the log.

use std::fmt;
use std::time::Duration;

use magpietally_transport::Now;

use crate::entry::{DecidedEntry, Topic};

/// A snapshot that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotError(pub String);

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot decode the snapshot: {}", self.0)
    }
}

impl std::error::Error for SnapshotError {}

/// One node's replica of a state machine driven by the log. Its state has two parts: the part that follows
/// from the decided entries alone, which is the same on every node at the same index and is all that
/// snapshots contain; and the part that depends on this node's own clock (when it requested or learned
/// something), which is never in a snapshot.
pub trait StateMachine {
    /// The topic whose entries it applies.
    fn topic(&self) -> Topic;

    /// Applies the next decided entry of its topic. Entries arrive in order, each exactly once. An entry that
    /// cannot be decoded, or that the current state does not permit, changes nothing.
    fn apply(&mut self, now: Now, decided: &DecidedEntry);

    /// Encodes the state that follows from the entries applied so far.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state by a snapshot, because this node was too far behind or has just started. This node
    /// waits for every lease in the snapshot to expire as if the lease had been granted at `now`.
    ///
    /// # Errors
    /// The snapshot cannot be decoded; the state is unchanged.
    fn restore(&mut self, now: Now, snapshot: &[u8]) -> Result<(), SnapshotError>;

    /// Performs the work that is due. `leading` is whether this node leads the log as far as it knows;
    /// several nodes may believe so. Fleet-wide maintenance, such as expiring leases, is proposed by the
    /// leader.
    fn tick(&mut self, now: Now, leading: bool);

    /// When [`StateMachine::tick`] next has work to do, by the boot clock.
    fn next_due(&self) -> Option<Duration>;

    /// Returns the body of the next proposal, at most [`crate::BODY_MAX_BYTES`] bytes. Proposals can be lost:
    /// the state machine proposes again, on its own timer, while the result is still needed.
    fn take_proposal(&mut self) -> Option<Vec<u8>>;
}
