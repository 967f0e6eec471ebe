//! What this room's proposals say.

use serde::{Deserialize, Serialize};

/// Pools that one report tells of, at most; what does not fit goes with the next. At 16 bytes each it fits a proposal.
pub const ITEMS_MAX: usize = 1024;
/// Day counts that one report tells of, at most.
pub const DAYS_MAX: usize = 512;
/// Leases that one proposal ends, at most.
pub const ENDS_MAX: usize = 256;

/// One pool in a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolReport {
    /// The pool's number.
    pub pool: u32,
    /// Demand, in parts of a million of the pool's rate.
    pub demand: u32,
    /// The smallest part that serves anybody.
    pub min_share: u32,
    /// The sender spends under at most this part since it asked, and until it sees this decided or displaced.
    pub share_limit: u32,
}

/// One day's count in a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DailyCountReport {
    /// The count's number.
    pub pool: u32,
    /// Days since 1970, as the sender knows them.
    pub day: u32,
    /// How many more it wants.
    pub requested: u32,
    /// How many it gives back: taken out of its own hands before it proposed this.
    pub returned: u32,
    /// The day's limit under the sender's policy.
    pub limit: u64,
}

/// A node's report: renews its lease, tells its demand, gives back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The sender's number for it, growing within its session.
    pub seq: u32,
    /// The policy's version that the sender has.
    pub policy_version: u64,
    /// How long its parts by demand last from its asking, in milliseconds.
    pub term_ms: u32,
    /// How long what is set aside for it lasts, in milliseconds.
    pub reserve_ms: u32,
    /// It spends under at most this part of the reserve from now on.
    pub reserve_limit: u32,
    /// Pools that changed.
    pub items: Vec<PoolReport>,
    /// Day counts.
    pub days: Vec<DailyCountReport>,
}

/// The body of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalBody {
    /// A node's report.
    Report(Report),
    /// Leases that have ended for their holders: (holder's number, the grant's index, the reserve too).
    EndLeases(Vec<(u32, u64, bool)>),
}

impl ProposalBody {
    pub(crate) fn encode(&self) -> Vec<u8> {
        // Plain values of bounded lists: postcard has nothing to refuse.
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
