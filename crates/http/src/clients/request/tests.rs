use super::*;

/// Settings may name any deadline above 0, also one that no clock can hold.
#[test]
fn no_claim_is_believed_beyond_its_classs_time() {
    for (claimed, deadline, believed_ms) in [
        (500, 800.0, 500.0),
        (600_000, 800.0, 800.0),
        (500, 99.5, 99.5),
        (u64::MAX, 1e6, 600_000.0),
        (500, 1e300, 500.0),
        (u64::MAX, f64::MAX, 600_000.0),
    ] {
        assert_eq!(
            believed(claimed, deadline),
            Duration::from_secs_f64(believed_ms / 1000.0),
            "{claimed}, {deadline}"
        );
    }
}
