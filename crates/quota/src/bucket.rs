//! A node's token bucket for one pool, filled only by time.

use std::time::Duration;

use crate::division::Share;

/// Billionths of a token in one token.
pub(crate) const NANO_PER_TOKEN: u64 = 1_000_000_000;
/// A node's clock may run fast by half of [`magpietally_consensus::DRIFT`]. A bucket counts time slower by as
/// much, in thousandths, so it never fills too fast: 1.005 x 0.995 < 1.
pub(crate) const CLOCK_RATE_MILLI: u64 = 995;

/// Expiry times of a node's leases, by its boot clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LeaseExpiry {
    /// When its demand shares expire.
    pub by_demand: Duration,
    /// When its reserve share expires.
    pub reserve: Duration,
}

/// The token bucket of one pool at one node. It starts empty, and only time adds tokens.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenBucket {
    level: u64,
    last_update: Duration,
    /// With both leases: rate in thousandths of a token per second, cap in billionths of a token.
    with_demand: (u64, u64),
    /// With the reserve lease alone: the same.
    reserve_only: (u64, u64),
    /// Counts the reductions of the rate or cap. A retry delay returned before a reduction no longer holds.
    pub reductions: u32,
}

impl TokenBucket {
    pub fn new(now: Duration) -> Self {
        Self { last_update: now, ..Self::default() }
    }

    /// Adds the tokens up to `now`: at the full rate until the demand shares expire, then at the rate of the
    /// reserve share, then none.
    pub fn advance(&mut self, now: Duration, expiry: LeaseExpiry) {
        if now <= self.last_update {
            return;
        }
        let ends_by_now = |at: Duration| self.last_update < at && now >= at;
        if ends_by_now(expiry.by_demand) || ends_by_now(expiry.reserve) {
            self.reductions = self.reductions.wrapping_add(1);
        }
        self.fill(now.min(expiry.by_demand), self.with_demand);
        if now < expiry.by_demand {
            return;
        }
        if self.level > self.reserve_only.1 {
            self.level = self.reserve_only.1;
        }
        self.fill(now.min(expiry.reserve), self.reserve_only);
        if now >= expiry.reserve {
            self.level = 0;
        }
        self.last_update = now;
    }

    fn fill(&mut self, to: Duration, (rate, cap): (u64, u64)) {
        let Some(elapsed) = to.checked_sub(self.last_update) else { return };
        let minted = elapsed.as_nanos() * u128::from(CLOCK_RATE_MILLI) * u128::from(rate) / 1_000_000;
        let minted = u64::try_from(minted).unwrap_or(u64::MAX);
        self.level = self.level.saturating_add(minted).min(cap);
        self.last_update = to;
    }

    /// Sets a new share of a pool of `rate` thousandths of a token per second and `burst` tokens. The tokens
    /// in the bucket stay, up to the new cap; a larger share adds none but fills the bucket faster.
    pub fn set_share(&mut self, now: Duration, expiry: LeaseExpiry, share: Share, rate: u64, burst: u64) {
        self.advance(now, expiry);
        let burst = burst.saturating_mul(NANO_PER_TOKEN);
        let reserve_share = Share { by_demand: 0, ..share };
        let with_demand = (share.rate(rate), share.cap(burst));
        let reduced = with_demand.0 < self.with_demand.0 || with_demand.1 < self.with_demand.1;
        self.reductions = self.reductions.wrapping_add(u32::from(reduced));
        (self.with_demand, self.reserve_only) =
            (with_demand, (reserve_share.rate(rate), reserve_share.cap(burst)));
        self.level =
            self.level.min(if now < expiry.by_demand { self.with_demand.1 } else { self.reserve_only.1 });
    }

    /// Takes `cost` tokens if available. The caller must first call `advance` for the same time.
    pub fn try_take(&mut self, cost: u64) -> bool {
        let cost = cost.saturating_mul(NANO_PER_TOKEN);
        let enough = self.level >= cost;
        if enough {
            self.level -= cost;
        }
        enough
    }

    /// The time until `cost` tokens are available with the current share, or `None` if that never happens.
    pub fn time_until(&self, now: Duration, expiry: LeaseExpiry, cost: u64) -> Option<Duration> {
        let (rate, cap) = if now < expiry.by_demand { self.with_demand } else { self.reserve_only };
        let cost = cost.saturating_mul(NANO_PER_TOKEN);
        if cap < cost || rate == 0 || now >= expiry.reserve {
            return None;
        }
        let missing = u128::from(cost.saturating_sub(self.level));
        let nanos = (missing * 1_000_000).div_ceil(u128::from(rate) * u128::from(CLOCK_RATE_MILLI));
        Some(Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX)))
    }

    /// The current rate (thousandths of a token per second) and cap (billionths of a token).
    pub fn rate_and_cap(&self, now: Duration, expiry: LeaseExpiry) -> (u64, u64) {
        if now < expiry.by_demand {
            self.with_demand
        } else {
            self.reserve_only
        }
    }

    /// Injected fault: fills the bucket at once.
    #[cfg(any(test, feature = "planted"))]
    pub fn fill_to_cap(&mut self) {
        self.level = self.with_demand.1;
    }

    /// The tokens in the bucket, in billionths of a token.
    #[cfg(test)]
    pub fn level(&self) -> u64 {
        self.level
    }
}

#[cfg(test)]
mod tests;
