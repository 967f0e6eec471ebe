//! The proposals that the quota subsystem sends to the log.

use serde::{Deserialize, Serialize};

/// Maximum number of pools in one report; the rest go into the next. At 16 bytes each a report fits a
/// proposal.
pub const ITEMS_MAX: usize = 1024;
/// Maximum number of daily counts in one report.
pub const DAYS_MAX: usize = 512;
/// Maximum number of leases that one proposal ends.
pub const ENDS_MAX: usize = 256;

/// A pool in a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolReport {
    /// The pool's id.
    pub pool: u32,
    /// Demand in parts per million of the pool's rate.
    pub demand: u32,
    /// The smallest share that serves any request, in parts per million.
    pub min_share: u32,
    /// The sender uses at most this share from its proposal on, until it sees this report decided or
    /// superseded.
    pub share_limit: u32,
}

/// A daily count in a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DailyCountReport {
    /// The count's id.
    pub pool: u32,
    /// Days since 1970, as the sender knows them.
    pub day: u32,
    /// Number of further tokens requested.
    pub requested: u32,
    /// Number of tokens returned. The sender removed them from its own before it proposed the report.
    pub returned: u32,
    /// The daily limit under the sender's policy.
    pub limit: u64,
}

/// A node's report: renews its leases, states its demand and returns shares.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The sender's number for the report, increasing within its session.
    pub seq: u32,
    /// The version of the sender's policy.
    pub policy_version: u64,
    /// Term of its demand shares from the time of the proposal, in milliseconds.
    pub term_ms: u32,
    /// Term of its reserve share, in milliseconds.
    pub reserve_ms: u32,
    /// The sender uses at most this part of the reserve from now on, in parts per million.
    pub reserve_limit: u32,
    /// The pools that changed.
    pub items: Vec<PoolReport>,
    /// The daily counts.
    pub days: Vec<DailyCountReport>,
}

/// The body of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalBody {
    /// A node's report.
    Report(Report),
    /// Leases that have expired at their holders: (session id of the holder, log index of the grant, whether
    /// the reserve lease ends too).
    EndLeases(Vec<(u32, u64, bool)>),
}

impl ProposalBody {
    pub(crate) fn encode(&self) -> Vec<u8> {
        // Cannot fail: the values are plain data in bounded lists.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let body: Self = postcard::from_bytes(bytes).ok()?;
        let fits = match &body {
            Self::Report(r) => r.items.len() <= ITEMS_MAX && r.days.len() <= DAYS_MAX,
            Self::EndLeases(ends) => ends.len() <= ENDS_MAX,
        };
        fits.then_some(body)
    }
}
