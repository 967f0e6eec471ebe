//! Quotas a tenant over all nodes: leases that the log grants, spent without a message.
//!
//! The log's state divides every pool of tokens (a tenant's common part, each part kept for a class) into **parts of a
//! million**, one number a node; a node's bucket has that part of the rate and of the burst under the policy the node
//! has now. The parts never add up to more than the whole, a part begins with an empty bucket, and a bucket is only ever
//! filled by time: so all nodes together stay within rate x time + burst in every window. RefusalReason, and what was ruled out:
//! `docs/design/quota.md`.
//!
//! Central types: [`Quota`] (one node's room: [`Quota::spend`] is the one call on a request's path), [`Policy`] (what
//! the operators want), [`check`] (what must hold, over all nodes' records).

mod bucket;
pub mod check;
mod division;
mod entry;
mod policy;
mod quota;
mod repeat;
pub mod sim;
mod state;
mod window;

#[cfg(test)]
mod properties;

pub use division::{Share, BURST_RESERVE_PPM, RATE_RESERVE_PPM, WHOLE_PPM};
pub use entry::{DailyCountReport, PoolReport, ProposalBody, Report};
pub use policy::{ClassQuota, Policy, PolicyError, TenantQuota, CLASSES_MAX, TENANTS_MAX, TOKENS_MAX};
pub use quota::{LeaseSettings, Quota, RefusalReason};
pub use quota::{SpendDecision, SpendResult};
pub use state::State;
