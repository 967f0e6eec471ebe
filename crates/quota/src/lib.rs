//! Tenant quotas over all nodes: token shares leased from a replicated log and spent without any message.
//!
//! The replicated state divides every token pool (a tenant's common pool, or a pool reserved for one class)
//! into **shares in parts per million**, one per node. A node's token bucket gets that fraction of the rate
//! and of the burst of the policy in effect at the node. The shares of a pool never sum to more than the
//! whole, a new share starts with an empty bucket, and only time fills a bucket. All nodes together therefore
//! stay within rate x time + burst in every window. The reasons and the rejected alternatives are in
//! `docs/design/quota.md`.
//!
//! Main types: [`Quota`] (the state machine of one node; [`Quota::spend`] is its only call on the request
//! path), [`Policy`] (the quotas that operators configure) and [`check`] (the properties that must hold over
//! the records of all nodes).

mod bucket;
pub mod check;
mod division;
mod node;
mod policy;
mod proposal;
mod recent_keys;
pub mod sim;
mod state;
mod window;

#[cfg(test)]
mod properties;

pub use division::{Share, BURST_RESERVE_PPM, RATE_RESERVE_PPM, WHOLE_PPM};
pub use node::{LeaseSettings, Quota, RefusalReason};
pub use node::{SpendDecision, SpendResult};
pub use policy::{ClassQuota, Policy, PolicyError, TenantQuota, CLASSES_MAX, TENANTS_MAX, TOKENS_MAX};
pub use proposal::{DailyCountReport, PoolReport, ProposalBody, Report};
pub use state::State;
