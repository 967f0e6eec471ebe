//! All-or-nothing change of the policy document over a fleet: versions, leases on a version, and a barrier.
//!
//! Every node that may decide requests holds a lease recorded in the replicated log ([`Entry::Join`],
//! [`Entry::Renew`]) and is then a **member**. A change is proposed against the version it was made from.
//! Every member validates the document and answers. Once all have accepted, the old version **closes**: each
//! node that learns of this stops deciding under it at once, queues new requests for a bounded time, and
//! confirms in the log that it has stopped. Once all members have confirmed, or their leases have expired and
//! been ended, that log entry makes the new version active. At no instant may one node decide under the new
//! version while another may decide under an older one. Before that entry the change can be aborted at any
//! step, which leaves the old version active.
//!
//! The document is opaque to this crate: bytes, and a pure function that accepts or rejects them. The
//! protocol does no I/O ([`PolicyChange`] is a [`magpietally_consensus::StateMachine`]): the caller passes
//! the time in and takes proposals out.
//!
//! Central types: [`PolicyChange`], [`State`] (what the log determines), [`Admission`] and [`Epoch`] (the
//! version one request is decided under).

mod admission;
pub mod check;
mod entry;
#[cfg(test)]
mod model_check;
#[cfg(test)]
mod properties;
mod protocol;
#[cfg(test)]
mod scenarios;
mod settings;
#[cfg(test)]
mod simulation;
mod state;

pub use admission::{Admission, Epoch, Metrics, QueueSlot, Rejection, RejectionReason};
pub use entry::{Entry, Step, Version, DOCUMENT_MAX_BYTES, EXPIRE_BATCH_MAX, REASON_MAX_BYTES};
pub use protocol::{DocumentCheck, PolicyChange, ProposalStatus, ProposeError};
#[cfg(any(test, feature = "planted"))]
pub use settings::InjectedFault;
pub use settings::{Settings, SettingsError, WithoutLease};
pub use state::{
    AbortReason, Change, Effect, EndedProposal, Member, ProposalOutcome, State, HISTORY_MAX, MEMBERS_MAX,
    TERM_RANGE_MS,
};
