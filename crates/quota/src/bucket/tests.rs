use super::*;
use crate::division::WHOLE_PPM;

const S: Duration = Duration::from_secs(1);

#[test]
fn a_bucket_starts_empty_fills_by_time_and_drops_to_its_reserve_when_the_demand_lease_expires() {
    let expiry = LeaseExpiry { by_demand: 10 * S, reserve: 100 * S };
    let mut b = TokenBucket::new(Duration::ZERO);
    b.set_share(Duration::ZERO, expiry, Share { by_demand: WHOLE_PPM, reserve: WHOLE_PPM }, 200_000, 400);
    assert!(!b.try_take(1));
    b.advance(S, expiry);
    assert_eq!(b.level(), 199 * NANO_PER_TOKEN);
    // Long without a request: the demand lease has expired meanwhile, then the reserve lease.
    b.advance(60 * S, expiry);
    assert_eq!(b.level(), 80 * NANO_PER_TOKEN);
    b.advance(100 * S, expiry);
    assert_eq!((b.level(), b.time_until(100 * S, expiry, 1)), (0, None));
}
