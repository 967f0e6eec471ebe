//! How a pool is divided: parts of a million, by demand.

/// The whole of a pool, in the unit of parts.
pub const WHOLE_PPM: u32 = 1_000_000;
/// What of every pool's rate is set aside for the nodes in advance, in parts of a million: what no demand can call for is
/// lost where only some nodes are asked, so it is small; with it and the slowed clock 96% remain for a single busy node.
pub const RATE_RESERVE_PPM: u64 = 30_000;
/// What of every pool's burst is set aside in advance. A bucket that holds less than a request costs serves nobody, so
/// this is more than of the rate; the burst that is lost thereby is only a matter of how high a single peak may be.
pub const BURST_RESERVE_PPM: u64 = 200_000;

/// A node's part of one pool: by demand, and set aside in advance; both in parts of a million.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// By demand.
    pub by_demand: u32,
    /// Set aside in advance.
    pub reserve: u32,
}

impl Share {
    fn of(self, total: u64, reserve: u64) -> u64 {
        let unit = u64::from(WHOLE_PPM);
        let parts = u64::from(self.by_demand) * (unit - reserve) + u64::from(self.reserve) * reserve;
        // Rounded down: the sum over all nodes stays within the whole.
        (u128::from(total) * u128::from(parts) / (u128::from(unit) * u128::from(unit))) as u64
    }

    /// Its part of a rate.
    pub fn rate(self, total: u64) -> u64 {
        self.of(total, RATE_RESERVE_PPM)
    }

    /// Its part of a burst.
    pub fn cap(self, total: u64) -> u64 {
        self.of(total, BURST_RESERVE_PPM)
    }
}

/// One holder's claim on a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Claim {
    /// Demand, in parts of a million of the pool's rate, at most [`WHOLE_PPM`].
    pub demand: u32,
    /// Less than this serves nobody.
    pub min_share: u32,
    /// What it has.
    pub held: u32,
}

/// What each claim should have: a fair share by demand (nobody gets more than it wants while another wants for some);
/// what is left over goes to all in proportion, for demand that grows. Where the pool is too small for so many, those
/// that hold some come first, then those that demand most.
pub(crate) fn targets(claims: &[Claim]) -> Vec<u32> {
    let mut out = vec![0; claims.len()];
    let mut who: Vec<usize> = (0..claims.len()).filter(|&i| claims[i].demand > 0).collect();
    let Some(min_share) = who.iter().map(|&i| claims[i].min_share).max() else { return out };
    let min_share = min_share.clamp(1, WHOLE_PPM);
    let fit = (WHOLE_PPM / min_share) as usize;
    if who.len() > fit {
        who.sort_by_key(|&i| (std::cmp::Reverse((claims[i].held, claims[i].demand)), i));
        who.truncate(fit);
    }
    let demand = |i: usize| u64::from(claims[i].demand.max(min_share).min(WHOLE_PPM));
    who.sort_by_key(|&i| (demand(i), i));
    let sum: u64 = who.iter().map(|&i| demand(i)).sum();
    let mut left = u64::from(WHOLE_PPM);
    if sum <= left {
        for &i in &who {
            out[i] = (demand(i) * left / sum) as u32;
        }
        return out;
    }
    for (n, &i) in who.iter().enumerate() {
        let part = demand(i).min(left / (who.len() - n) as u64);
        out[i] = part as u32;
        left -= part;
    }
    out
}

#[cfg(test)]
mod tests;
