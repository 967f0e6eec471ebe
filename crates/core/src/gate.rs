//! What the node sees of the fleet: one call for each request at its arrival, which asks nobody and never waits.
//!
//! Behind it stand the fleet's policy version, that this node may decide by for as long as it holds a lease on it, and
//! the tenants' quotas. Where nothing of the fleet is switched on there is no gate, and nothing is asked.

use std::fmt;
use std::sync::Arc;

use magpietally_policy::{Millis, Settings};

/// A request as the gate sees it.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
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
pub enum Ruling {
    /// It is decided under this version of the policy, from now to its end.
    Take {
        /// The version; 0 stands for the settings that the node was started with.
        epoch: u64,
    },
    /// Its tenant's quota is used up: trying again is harmless, after this time.
    OverQuota {
        /// When there will be room, by this node's share.
        retry_after: Millis,
    },
    /// This node may decide nothing now: trying again is harmless, after this time.
    Away {
        /// When it may have a lease again.
        retry_after: Millis,
    },
}

/// The fleet's word on requests.
pub trait Gate: Send + Sync + fmt::Debug {
    /// May this request be taken now, and under which version? Reads the clock itself, at this moment.
    fn rule(&self, ask: &Ask<'_>) -> Ruling;

    /// Does the fleet change its policy at this moment, so that a request had better wait some milliseconds than be turned
    /// away? True for a short bounded time at the most, by the gate's own settings.
    fn holds(&self) -> bool;

    /// May this node say that it is ready?
    fn ready(&self) -> bool;

    /// The decision module's settings under a version; `None` for those of the start.
    fn settings(&self, epoch: u64) -> Option<Arc<Settings>>;

    /// The final answer of a request that was taken is on its way; for the fleet's records.
    fn answered(&self, _epoch: u64, _id: &str) {}
}
