use super::*;

/// Settings may contain any deadline above 0, including one that a `Duration` cannot represent.
#[test]
fn a_claimed_time_is_bounded_by_the_deadline_of_its_class() {
    for (claimed, deadline, expected_ms) in [
        (500, 800.0, 500.0),
        (600_000, 800.0, 800.0),
        (500, 99.5, 99.5),
        (u64::MAX, 1e6, 600_000.0),
        (500, 1e300, 500.0),
        (u64::MAX, f64::MAX, 600_000.0),
    ] {
        assert_eq!(
            bounded_remaining(claimed, deadline),
            Duration::from_secs_f64(expected_ms / 1000.0),
            "{claimed}, {deadline}"
        );
    }
}
