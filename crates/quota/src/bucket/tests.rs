use super::*;
use crate::division::WHOLE_PPM;

const S: Duration = Duration::from_secs(1);

#[test]
fn a_bucket_begins_empty_fills_by_time_and_falls_to_its_reserve_when_its_lease_ends() {
    let expiry = LeaseExpiry { by_demand: 10 * S, reserve: 100 * S };
    let mut b = Bucket::new(Duration::ZERO);
    b.set(Duration::ZERO, expiry, Share { by_demand: WHOLE_PPM, reserve: WHOLE_PPM }, 200_000, 400);
    assert!(!b.take(1));
    b.settle(S, expiry);
    assert_eq!(b.level(), 199 * TOKEN);
    // Not asked for a long time: the lease has ended meanwhile, and then the reserve.
    b.settle(60 * S, expiry);
    assert_eq!(b.level(), 80 * TOKEN);
    b.settle(100 * S, expiry);
    assert_eq!((b.level(), b.wait(100 * S, expiry, 1)), (0, None));
}
