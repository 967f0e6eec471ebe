//! What the room writes into the log.

use magpietally_consensus::{Index, BODY_MAX_BYTES};
use magpietally_transport::Peer;
use serde::{Deserialize, Serialize};

/// The largest document, in bytes: a proposal's body less what stands around the document in it (the entry's kind, the
/// base, the ticket and the lengths take at most 40 bytes; the rest is for later fields).
pub const DOCUMENT_MAX_BYTES: usize = BODY_MAX_BYTES - 256;
/// The longest reason of a refusal, in bytes: a file's name, a line, a field and a sentence.
pub const REASON_MAX_BYTES: usize = 512;
/// Expired leases that one entry names at most: the entry stays near 6 KB with the longest names.
pub const EXPIRE_BATCH_MAX: usize = 64;

/// A policy's version: the number of the proposal that founded it. It only grows; a number whose proposal was aborted is
/// never used again, so there are gaps. 0 is "unversioned": what each node read from its own file before the first change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version(pub u64);

/// Which of the two steps of a change is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Step {
    /// The members check the document.
    Voting,
    /// The members stop deciding under the old version.
    Closing,
}

/// One entry of the log under [`magpietally_consensus::Topic::Policy`]. The member that speaks is the entry's proposer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// The proposer asks for a lease on the active version, for so long from its asking.
    Join {
        /// The proposer's number for this asking, by which it knows when it asked.
        request: u64,
        /// How long the lease lasts, in milliseconds.
        term_ms: u32,
        /// Whether it goes on serving without a lease (`serve`): its lease is then never ended but by [`Entry::Evict`].
        serves_without_lease: bool,
    },
    /// A member asks for its lease to last from now on.
    Renew {
        /// As in [`Entry::Join`].
        request: u64,
    },
    /// The proposer decides no longer and gives its lease back.
    Leave,
    /// These leases have run out by the clock of a node that leads.
    Expire {
        /// Whose, and the entry that granted each: one renewed since is not ended.
        expired: Vec<(Peer, Index)>,
    },
    /// An operator's word that this start of a node does not run any more.
    Evict {
        /// Which.
        peer: Peer,
    },
    /// A member wants this document to be the policy.
    Propose {
        /// The version it was made against; decided only while that one is active and no change is under way.
        base: Version,
        /// The proposer's number for it, from 1.
        ticket: u64,
        /// The document.
        document: Vec<u8>,
    },
    /// A member's check passed the document.
    Accept {
        /// Of which proposal.
        version: Version,
    },
    /// A member's check refused the document.
    Reject {
        /// Of which proposal.
        version: Version,
        /// Why, for the operators; at most [`REASON_MAX_BYTES`] bytes.
        why: String,
    },
    /// A member has learnt that the old version closes, and decides nothing more under it.
    Stopped {
        /// For which proposal.
        version: Version,
    },
    /// The time for this step is up by the clock of a node that leads.
    Timeout {
        /// Which proposal.
        version: Version,
        /// Nothing changes if it is past this step.
        step: Step,
    },
}

impl Entry {
    /// The entry as a proposal's body.
    pub fn encode(&self) -> Vec<u8> {
        // Plain values into a growing buffer: postcard has no error for that.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// The entry in a proposal's body; `None` when it can't be read or breaks a bound.
    pub fn decode(body: &[u8]) -> Option<Self> {
        if body.len() > BODY_MAX_BYTES {
            return None;
        }
        let (entry, rest) = postcard::take_from_bytes::<Self>(body).ok()?;
        let bounded = match &entry {
            Self::Propose { document, .. } => document.len() <= DOCUMENT_MAX_BYTES,
            Self::Reject { why, .. } => why.len() <= REASON_MAX_BYTES,
            Self::Expire { expired } => expired.len() <= EXPIRE_BATCH_MAX,
            _ => true,
        };
        (rest.is_empty() && bounded).then_some(entry)
    }
}
