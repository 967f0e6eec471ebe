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
pub fn divisor(counts: &Counts) -> u32 {
    let active = counts.active().max(1);
    let known = counts.known().max(active);
    if 2 * active > known {
        active
    } else {
        known
    }
}

/// This node's part of `total`, never below `floor` (so that a node alone still serves) nor above `total`.
pub fn share(total: f64, counts: &Counts, floor: f64) -> f64 {
    let part = total / f64::from(divisor(counts));
    part.max(floor).min(total)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn counts(alive: u32, suspect: u32, dead: u32, left: u32) -> Counts {
        Counts { alive, suspect, dead, left }
    }

    #[test]
    fn a_majority_divides_by_who_is_there() {
        assert_eq!(divisor(&counts(10, 0, 0, 0)), 10);
        assert_eq!(divisor(&counts(8, 1, 1, 5)), 9, "the suspect counts, who left does not");
        assert_eq!(share(100.0, &counts(4, 0, 0, 0), 1.0), 25.0);
    }

    #[test]
    fn a_minority_divides_by_all_it_knows() {
        assert_eq!(divisor(&counts(5, 0, 5, 0)), 10, "half is not a majority");
        assert_eq!(divisor(&counts(1, 0, 9, 0)), 10);
        assert_eq!(divisor(&counts(1, 0, 0, 9)), 1, "alone because all others left");
    }

    #[test]
    fn the_floor_and_the_whole_bound_a_share() {
        assert_eq!(share(10.0, &counts(50, 0, 0, 0), 1.0), 1.0);
        assert_eq!(share(0.5, &counts(1, 0, 0, 0), 1.0), 0.5);
        assert_eq!(divisor(&Counts::default()), 1);
    }
}
