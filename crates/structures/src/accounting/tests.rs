use super::*;

#[test]
fn the_worst_served_kind_gains_most_and_one_without_demand_nothing() {
    let mut served = ServiceLevels::new(3, 1000.0);
    for _ in 0..10 {
        served.add_demand(0, 0.0, 1.0);
        served.add_demand(1, 0.0, 1.0);
        served.add_served(1, 0.0, 1.0);
    }
    served.add_served(0, 0.0, 5.0);
    let gains = served.marginal_gains(0.0, 1.0, 0.05);
    assert!(gains[0] > 1000.0 * gains[1] && gains[1] > 0.0 && gains[2] == 0.0, "{gains:?}");
    assert_eq!(served.demand_rate(0.0), 20.0);
}

#[test]
fn a_token_bucket_fills_up_to_one_second() {
    let mut bucket = TokenBucket::default();
    let taken = |bucket: &mut TokenBucket, now: f64| (0..10).filter(|_| bucket.try_take(now, 4.0)).count();
    assert_eq!(taken(&mut bucket, 0.0), 4, "full at first");
    assert_eq!(taken(&mut bucket, 500.0), 2);
    assert_eq!(taken(&mut bucket, 99_500.0), 4);
}
