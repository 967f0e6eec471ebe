//! A change of policy takes hold everywhere or nowhere: versions, leases on a version, a barrier.
//!
//! Every node that may decide requests holds a lease in the log ([`Entry::Join`], [`Entry::Renew`]): it is a **counted
//! member**. A change is proposed against the version it was made from; every member checks it and answers; when all have
//! accepted, the old version **closes**: each node that learns so stops deciding under it at once, holds new requests for
//! a bounded moment, and says so in the log; when all have said so, or their leases have run out and were ended, the new
//! version is active at that entry. At no true moment may one node decide under the new version while another may under
//! an older one. Before that entry the change can be aborted at any step, which leaves the old version active.
//!
//! The document is opaque here: bytes, and a pure function that passes or refuses them. The room is pure ([`PolicyChange`]
//! is a [`magpietally_consensus::StateMachine`]): time comes in, proposals go out.
//!
//! Central types: [`PolicyChange`], [`State`] (what the log says), [`Admission`] and [`Epoch`] (one request's version).

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
