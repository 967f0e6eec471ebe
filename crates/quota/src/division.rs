//! Division of a pool into shares by demand, in parts per million.

/// The whole of a pool in parts per million.
pub const WHOLE_PPM: u32 = 1_000_000;
/// Part of every pool's rate that is reserved for the nodes in advance, in parts per million. It is small
/// because demand cannot claim it, so it is lost when only some nodes receive requests. With it and the
/// slowed clock, 96% of the rate remain for a single busy node.
pub const RATE_RESERVE_PPM: u64 = 30_000;
/// Part of every pool's burst that is reserved in advance, in parts per million. It is larger than that of
/// the rate because a bucket that holds less than the cost of a request serves none. The burst lost by it
/// only limits the height of a single peak.
pub const BURST_RESERVE_PPM: u64 = 200_000;

/// A node's share of one pool, in parts per million.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// The share granted by demand, of the part that is not reserved.
    pub by_demand: u32,
    /// The share of the part reserved in advance.
    pub reserve: u32,
}

impl Share {
    fn of_total(self, total: u64, reserve: u64) -> u64 {
        let unit = u64::from(WHOLE_PPM);
        let parts = u64::from(self.by_demand) * (unit - reserve) + u64::from(self.reserve) * reserve;
        // Rounded down, so that the sum over all nodes stays within the total.
        (u128::from(total) * u128::from(parts) / (u128::from(unit) * u128::from(unit))) as u64
    }

    /// This share of a rate of `total`.
    pub fn rate(self, total: u64) -> u64 {
        self.of_total(total, RATE_RESERVE_PPM)
    }

    /// This share of a burst of `total`.
    pub fn cap(self, total: u64) -> u64 {
        self.of_total(total, BURST_RESERVE_PPM)
    }
}

/// A session's claim on a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Claim {
    /// Demand in parts per million of the pool's rate, at most [`WHOLE_PPM`].
    pub demand: u32,
    /// A smaller share serves no request.
    pub min_share: u32,
    /// The share it holds.
    pub held: u32,
}

/// Returns the target share of each claim: max-min fair by demand, so that no claim gets more than its demand
/// while another gets less than its own. What is left over is distributed in proportion to the demand, so
/// that demand can grow. If the pool is too small for all claims, those that hold a share come first, then
/// those with the largest demand.
pub(crate) fn targets(claims: &[Claim]) -> Vec<u32> {
    let mut out = vec![0; claims.len()];
    let mut order: Vec<usize> = (0..claims.len()).filter(|&i| claims[i].demand > 0).collect();
    let Some(min_share) = order.iter().map(|&i| claims[i].min_share).max() else { return out };
    let min_share = min_share.clamp(1, WHOLE_PPM);
    let max_holders = (WHOLE_PPM / min_share) as usize;
    if order.len() > max_holders {
        order.sort_by_key(|&i| (std::cmp::Reverse((claims[i].held, claims[i].demand)), i));
        order.truncate(max_holders);
    }
    let demand = |i: usize| u64::from(claims[i].demand.max(min_share).min(WHOLE_PPM));
    order.sort_by_key(|&i| (demand(i), i));
    let sum: u64 = order.iter().map(|&i| demand(i)).sum();
    let mut left = u64::from(WHOLE_PPM);
    if sum <= left {
        for &i in &order {
            out[i] = (demand(i) * left / sum) as u32;
        }
        return out;
    }
    for (n, &i) in order.iter().enumerate() {
        let share = demand(i).min(left / (order.len() - n) as u64);
        out[i] = share as u32;
        left -= share;
    }
    out
}

#[cfg(test)]
mod tests;
