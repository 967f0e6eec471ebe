//! The fleet's admission control as the node sees it: one call for each request on its arrival, which does no
//! I/O and never waits.
//!
//! It rests on the fleet's policy version, by which this node may decide while it holds a lease on it, and on
//! the tenants' quotas. A node on which no fleet feature is enabled has no admission control.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use magpietally_policy::{Millis, Settings};

/// A request as admission control sees it.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// The client's id for the request.
    pub id: &'a str,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: Option<usize>,
    /// Its idempotency key, if it has one, by which servers deduplicate repeats.
    pub key: Option<&'a [u8]>,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// The request is admitted, and decided under this policy version until it ends.
    Admit {
        /// The version; 0 stands for the settings that the node was started with.
        epoch: u64,
        /// The time of admission by the clock of admission control, to be passed to
        /// [`AdmissionControl::may_send`].
        at: Duration,
    },
    /// The tenant's quota is used up; the client can safely retry after this time.
    OverQuota {
        /// When this node's share of the quota will have room again.
        retry_after: Millis,
    },
    /// This node may not decide now; the client can safely retry after this time.
    NoLease {
        /// When the node may have a lease again.
        retry_after: Millis,
    },
}

/// Why a policy document is not proposed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalError {
    /// The document is invalid: the line and the field.
    Invalid(String),
    /// The call may be repeated: this node is not ready, or its last proposal is not decided yet.
    Unavailable(String),
}

/// Decides for the fleet on the requests of this node.
pub trait AdmissionControl: Send + Sync + fmt::Debug {
    /// Decides whether this request is admitted now, and under which policy version. Reads the clock itself.
    fn decide(&self, request: &AdmissionRequest<'_>) -> AdmissionDecision;

    /// Returns whether a request that was admitted at `at`, under version `epoch`, may be sent (again) now.
    /// Called before each attempt: a node that was suspended beyond the end of its lease may not continue
    /// what it had begun.
    fn may_send(&self, epoch: u64, at: Duration) -> bool;

    /// Returns whether the fleet is changing its policy at this moment, so that a request should wait some
    /// milliseconds rather than be rejected. The implementation's settings bound how long this stays true.
    fn is_changing_policy(&self) -> bool;

    /// Returns whether this node may report that it is ready.
    fn is_ready(&self) -> bool;

    /// The policy's settings under a version; `None` for those of the start.
    fn settings(&self, epoch: u64) -> Option<Arc<Settings>>;

    /// Proposes a document, received over the management address, to the fleet, against the version that is
    /// active on this node.
    ///
    /// # Errors
    /// Why it is not proposed, in a line for the caller.
    fn propose(&self, _document: &[u8]) -> Result<String, ProposalError> {
        Err(ProposalError::Unavailable("this node takes no proposals".into()))
    }

    /// The state of the fleet as this node sees it, in a few lines.
    fn describe(&self) -> String {
        String::new()
    }

    /// Records, for the fleet's checks, that the final answer of an admitted request is being sent.
    fn record_answer(&self, _epoch: u64, _id: &str) {}
}
