use super::*;

#[test]
fn the_worst_served_kind_counts_most_and_what_nobody_asks_for_nothing() {
    let mut served = ServiceLevels::new(3, 1000.0);
    for _ in 0..10 {
        served.add_demand(0, 0.0, 1.0);
        served.add_demand(1, 0.0, 1.0);
        served.add_served(1, 0.0, 1.0);
    }
    served.add_served(0, 0.0, 5.0);
    let adds = served.marginal_gains(0.0, 1.0, 0.05);
    assert!(adds[0] > 1000.0 * adds[1] && adds[1] > 0.0 && adds[2] == 0.0, "{adds:?}");
    assert_eq!(served.demand_rate(0.0), 20.0);
}

#[test]
fn an_allowance_fills_up_to_a_second() {
    let mut allowance = TokenBucket::default();
    let taken =
        |allowance: &mut TokenBucket, now: f64| (0..10).filter(|_| allowance.try_take(now, 4.0)).count();
    assert_eq!(taken(&mut allowance, 0.0), 4, "full at first");
    assert_eq!(taken(&mut allowance, 500.0), 2);
    assert_eq!(taken(&mut allowance, 99_500.0), 4);
}
