//! What a node does with its view: its share of a budget that is meant for the whole fleet.
//!
//! A cold server bears only so much from all nodes together, and the retry budget is the fleet's; a node that keeps the
//! whole of either for itself pushes N times as much when N nodes do so.

use crate::view::Counts;

/// By how many nodes a fleet-wide budget is divided now.
///
/// The active nodes (alive and suspect, the node itself counted) when they are more than half of those known; else all
/// that are known, dead ones included: a node in a minority cannot tell whether the others died or are cut off from it,
/// and two halves of a cut fleet that each took the whole would push twice what a server bears. Who left on purpose
/// is not counted in either.
pub fn budget_divisor(counts: &Counts) -> u32 {
    let active = counts.active().max(1);
    let known = counts.known().max(active);
    if 2 * active > known {
        active
    } else {
        known
    }
}

/// This node's part of `total`, never below `floor` (so that a node alone still serves) nor above `total`.
pub fn budget_share(total: f64, counts: &Counts, floor: f64) -> f64 {
    let part = total / f64::from(budget_divisor(counts));
    part.max(floor).min(total)
}

#[cfg(test)]
mod tests;
