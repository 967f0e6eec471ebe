//! What the node sees of the fleet: one call for each request at its arrival, which asks nobody and never waits.
//!
//! Behind it stand the fleet's policy version, that this node may decide by for as long as it holds a lease on it, and
//! the tenants' quotas. Where nothing of the fleet is switched on there is no gate, and nothing is asked.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use magpietally_policy::{Millis, Settings};

/// A request as the gate sees it.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// The client's id for it.
    pub id: &'a str,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: Option<usize>,
    /// The key by which servers drop its repeats, where it has one.
    pub key: Option<&'a [u8]>,
}

/// What the gate says of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// It is decided under this version of the policy, from now to its end.
    Admit {
        /// The version; 0 stands for the settings that the node was started with.
        epoch: u64,
        /// When, by the gate's own clock: said back to [`AdmissionControl::may_send`].
        at: Duration,
    },
    /// Its tenant's quota is used up: trying again is harmless, after this time.
    OverQuota {
        /// When there will be room, by this node's share.
        retry_after: Millis,
    },
    /// This node may decide nothing now: trying again is harmless, after this time.
    NoLease {
        /// When it may have a lease again.
        retry_after: Millis,
    },
}

/// Why a document is not proposed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalError {
    /// The document is at fault: line and field.
    Invalid(String),
    /// It may be asked again: this node is not ready, or its last proposal is not decided yet.
    Unavailable(String),
}

/// The fleet's word on requests.
pub trait AdmissionControl: Send + Sync + fmt::Debug {
    /// May this request be taken now, and under which version? Reads the clock itself, at this moment.
    fn decide(&self, ask: &AdmissionRequest<'_>) -> AdmissionDecision;

    /// May a request that was taken then, under this version, be sent (again) now? ClientRequest before each attempt: a node that was
    /// stopped past its lease has no right left to what it had begun.
    fn may_send(&self, epoch: u64, at: Duration) -> bool;

    /// Does the fleet change its policy at this moment, so that a request had better wait some milliseconds than be turned
    /// away? True for a short bounded time at the most, by the gate's own settings.
    fn is_changing_policy(&self) -> bool;

    /// May this node say that it is ready?
    fn is_ready(&self) -> bool;

    /// The decision module's settings under a version; `None` for those of the start.
    fn settings(&self, epoch: u64) -> Option<Arc<Settings>>;

    /// Proposes a document to the fleet against the version that is active here, over the second address.
    ///
    /// # Errors
    /// Why it is not proposed, in a line for the caller.
    fn propose(&self, _document: &[u8]) -> Result<String, ProposalError> {
        Err(ProposalError::Unavailable("this node takes no proposals".into()))
    }

    /// How the fleet stands as this node sees it, some lines.
    fn describe(&self) -> String {
        String::new()
    }

    /// The final answer of a request that was taken is on its way; for the fleet's records.
    fn record_answer(&self, _epoch: u64, _id: &str) {}
}
