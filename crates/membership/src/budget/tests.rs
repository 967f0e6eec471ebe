use super::*;

fn counts(alive: u32, suspect: u32, dead: u32, left: u32) -> Counts {
    Counts { alive, suspect, dead, left }
}

#[test]
fn a_majority_divides_by_the_active_nodes() {
    assert_eq!(budget_divisor(&counts(10, 0, 0, 0)), 10);
    assert_eq!(budget_divisor(&counts(8, 1, 1, 5)), 9, "the suspect node counts, nodes that left do not");
    assert_eq!(budget_share(100.0, &counts(4, 0, 0, 0), 1.0), 25.0);
}

#[test]
fn a_minority_divides_by_all_known_nodes() {
    assert_eq!(budget_divisor(&counts(5, 0, 5, 0)), 10, "half is not a majority");
    assert_eq!(budget_divisor(&counts(1, 0, 9, 0)), 10);
    assert_eq!(budget_divisor(&counts(1, 0, 0, 9)), 1, "alone because all others left");
}

#[test]
fn a_share_is_at_least_the_floor_and_at_most_the_total() {
    assert_eq!(budget_share(10.0, &counts(50, 0, 0, 0), 1.0), 1.0);
    assert_eq!(budget_share(0.5, &counts(1, 0, 0, 0), 1.0), 0.5);
    assert_eq!(budget_divisor(&Counts::default()), 1);
}
