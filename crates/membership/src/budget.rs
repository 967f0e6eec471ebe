//! A node's share of a budget that applies to the whole fleet.
//!
//! The load a cold server can take and the retry budget are totals over all nodes. If each of N nodes used
//! the whole budget, the fleet would use N times as much.

use crate::view::Counts;

/// Returns the number of nodes by which a fleet-wide budget is divided.
///
/// This is the number of active nodes (alive and suspect, including the node itself) if they are more than
/// half of the known ones, and otherwise the number of all known nodes, including dead ones. A node in a
/// minority cannot tell whether the others died or are only partitioned from it, and two halves of a
/// partitioned fleet that each used the whole budget would send twice the load a server can take. Nodes that
/// left on purpose are not counted in either case.
pub fn budget_divisor(counts: &Counts) -> u32 {
    let active = counts.active().max(1);
    let known = counts.known().max(active);
    if 2 * active > known {
        active
    } else {
        known
    }
}

/// Returns this node's share of `total`: at least `floor`, so that each node can still serve requests, and at
/// most `total`.
pub fn budget_share(total: f64, counts: &Counts, floor: f64) -> f64 {
    let part = total / f64::from(budget_divisor(counts));
    part.max(floor).min(total)
}

#[cfg(test)]
mod tests;
