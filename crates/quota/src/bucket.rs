//! A node's own bucket of one pool, filled by time alone.

use std::time::Duration;

use crate::division::Share;

/// Billionths of a token in a token.
pub(crate) const TOKEN: u64 = 1_000_000_000;
/// A node's clock may be fast by half of [`magpietally_consensus::DRIFT`]; a bucket counts its time slower by as much,
/// in thousandths, and so never mints over: 1.005 x 0.995 < 1.
pub(crate) const SLOWED: u64 = 995;

/// When a node's rights end, by its boot clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LeaseExpiry {
    /// Its parts by demand.
    pub by_demand: Duration,
    /// And what is set aside for it.
    pub reserve: Duration,
}

/// Level and fill of one pool at one node. It begins empty, and only time adds to it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bucket {
    level: u64,
    last: Duration,
    /// With the lease: thousandths of a token a second, and the cap in billionths of a token.
    full: (u64, u64),
    /// With what is set aside alone.
    low: (u64, u64),
    /// Counts each time that the bucket was made smaller: what was promised before is void.
    pub reductions: u32,
}

impl Bucket {
    pub fn new(now: Duration) -> Self {
        Self { last: now, ..Self::default() }
    }

    /// Fills up to `now`: with the lease's part as long as it lasted, then with the reserve's, then not at all.
    pub fn settle(&mut self, now: Duration, expiry: LeaseExpiry) {
        if now <= self.last {
            return;
        }
        let ends = |at: Duration| self.last < at && now >= at;
        if ends(expiry.by_demand) || ends(expiry.reserve) {
            self.reductions = self.reductions.wrapping_add(1);
        }
        self.fill(now.min(expiry.by_demand), self.full);
        if now < expiry.by_demand {
            return;
        }
        if self.level > self.low.1 {
            self.level = self.low.1;
        }
        self.fill(now.min(expiry.reserve), self.low);
        if now >= expiry.reserve {
            self.level = 0;
        }
        self.last = now;
    }

    fn fill(&mut self, to: Duration, (rate, cap): (u64, u64)) {
        let Some(passed) = to.checked_sub(self.last) else { return };
        let minted = passed.as_nanos() * u128::from(SLOWED) * u128::from(rate) / 1_000_000;
        let minted = u64::try_from(minted).unwrap_or(u64::MAX);
        self.level = self.level.saturating_add(minted).min(cap);
        self.last = to;
    }

    /// Sets the part anew, of a pool of `rate` thousandths of a token a second and `burst` tokens. What is in the bucket
    /// stays, up to the new cap: a larger share adds nothing but its faster filling.
    pub fn set(&mut self, now: Duration, expiry: LeaseExpiry, share: Share, rate: u64, burst: u64) {
        self.settle(now, expiry);
        let burst = burst.saturating_mul(TOKEN);
        let low = Share { by_demand: 0, ..share };
        let full = (share.rate(rate), share.cap(burst));
        let less = full.0 < self.full.0 || full.1 < self.full.1;
        self.reductions = self.reductions.wrapping_add(u32::from(less));
        (self.full, self.low) = (full, (low.rate(rate), low.cap(burst)));
        self.level = self.level.min(if now < expiry.by_demand { self.full.1 } else { self.low.1 });
    }

    /// Takes `cost` tokens if they are there; settled to the same moment before.
    pub fn take(&mut self, cost: u64) -> bool {
        let cost = cost.saturating_mul(TOKEN);
        let there = self.level >= cost;
        if there {
            self.level -= cost;
        }
        there
    }

    /// How long expiry `cost` tokens are there, with the share as it is; none if never.
    pub fn wait(&self, now: Duration, expiry: LeaseExpiry, cost: u64) -> Option<Duration> {
        let (rate, cap) = if now < expiry.by_demand { self.full } else { self.low };
        let cost = cost.saturating_mul(TOKEN);
        if cap < cost || rate == 0 || now >= expiry.reserve {
            return None;
        }
        let lacks = u128::from(cost.saturating_sub(self.level));
        let nanos = (lacks * 1_000_000).div_ceil(u128::from(rate) * u128::from(SLOWED));
        Some(Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX)))
    }

    /// The rate now (thousandths of a token a second) and the cap (billionths of a token).
    pub fn fills(&self, now: Duration, expiry: LeaseExpiry) -> (u64, u64) {
        if now < expiry.by_demand {
            self.full
        } else {
            self.low
        }
    }

    /// Planted fault: full at once.
    #[cfg(any(test, feature = "planted"))]
    pub fn brim(&mut self) {
        self.level = self.full.1;
    }

    /// What is in it, in billionths of a token.
    #[cfg(test)]
    pub fn level(&self) -> u64 {
        self.level
    }
}

#[cfg(test)]
mod tests;
