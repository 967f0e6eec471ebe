//! Entries that the protocol writes into the log.

use magpietally_consensus::{Index, BODY_MAX_BYTES};
use magpietally_transport::Peer;
use serde::{Deserialize, Serialize};

/// Largest document: a proposal's body less the space for the entry's other fields. The entry's kind, the
/// base version, the ticket and the lengths take at most 40 bytes; the rest is reserved for later fields.
pub const DOCUMENT_MAX_BYTES: usize = BODY_MAX_BYTES - 256;
/// Longest reason of a rejection: enough for a file name, a line, a field and a sentence.
pub const REASON_MAX_BYTES: usize = 512;
/// Most expired leases that one entry may end: the entry stays near 6 KB with the longest node names.
pub const EXPIRE_BATCH_MAX: usize = 64;

/// Version of the policy: the number of the proposal that created it. Versions only grow; the number of an
/// aborted proposal is never reused, so there are gaps. 0 is "unversioned": what each node read from its own
/// file before the first change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version(pub u64);

/// The two steps of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Step {
    /// The members validate the document.
    Voting,
    /// The members stop deciding under the old version.
    Closing,
}

/// A log entry of [`magpietally_consensus::Topic::Policy`]. "The sender" is the node that proposed the entry
/// to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// The sender requests a lease on the active version.
    Join {
        /// The sender's number for this request, by which it finds the time of the request.
        request: u64,
        /// Term of the lease in milliseconds, counted from the request.
        term_ms: u32,
        /// Whether the sender goes on serving when it can't renew (`serve`): its lease then does not expire,
        /// and other nodes can end it only with [`Entry::Evict`].
        serves_without_lease: bool,
    },
    /// A member renews its lease for another term from this request.
    Renew {
        /// As in [`Entry::Join`].
        request: u64,
    },
    /// The sender has stopped deciding and returns its lease.
    Leave,
    /// Leases that have expired by the leader's clock.
    Expire {
        /// Holder and granting entry of each; a lease that has been renewed since is not ended.
        expired: Vec<(Peer, Index)>,
    },
    /// An operator's statement that this session of a node does not run any more.
    Evict {
        /// The node and its session.
        peer: Peer,
    },
    /// A member proposes this document as the policy.
    Propose {
        /// The version it was made against; the proposal loses unless that version is active and no change is
        /// in progress.
        base: Version,
        /// The sender's number for the proposal, from 1.
        ticket: u64,
        /// The document.
        document: Vec<u8>,
    },
    /// A member's check accepted the document.
    Accept {
        /// Version of the proposal.
        version: Version,
    },
    /// A member's check rejected the document.
    Reject {
        /// Version of the proposal.
        version: Version,
        /// Reason, for the operators; at most [`REASON_MAX_BYTES`] bytes.
        reason: String,
    },
    /// A member has learned that the old version closes, and decides nothing more under it.
    Stopped {
        /// Version of the proposal.
        version: Version,
    },
    /// The step has timed out by the leader's clock.
    Timeout {
        /// Version of the proposal.
        version: Version,
        /// The step that timed out; the entry has no effect if the change is past it.
        step: Step,
    },
}

impl Entry {
    /// Encodes the entry as the body of a log proposal.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding plain values into a growing buffer can't fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes the body of a log proposal; `None` if it is malformed or exceeds a limit.
    pub fn decode(body: &[u8]) -> Option<Self> {
        if body.len() > BODY_MAX_BYTES {
            return None;
        }
        let (entry, rest) = postcard::take_from_bytes::<Self>(body).ok()?;
        let bounded = match &entry {
            Self::Propose { document, .. } => document.len() <= DOCUMENT_MAX_BYTES,
            Self::Reject { reason, .. } => reason.len() <= REASON_MAX_BYTES,
            Self::Expire { expired } => expired.len() <= EXPIRE_BATCH_MAX,
            _ => true,
        };
        (rest.is_empty() && bounded).then_some(entry)
    }
}
