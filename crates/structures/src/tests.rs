use super::*;

#[test]
fn a_rate_decays_by_e_in_its_span() {
    let mut rate = DecayingRate::default();
    rate.add(100.0, 500.0, 1.0);
    assert!((rate.at(600.0, 500.0) - 2.0 / std::f64::consts::E).abs() < 1e-12);
}

#[test]
fn sorted_lists_are_compared() {
    assert_eq!(sorted_difference(&[1, 2, 4, 9], &[2, 3, 9, 10]), (vec![1, 4], vec![3, 10]));
    assert_eq!(sorted_difference::<u8>(&[], &[1]), (vec![], vec![1]));
    assert_eq!(sorted_difference::<u8>(&[1], &[]), (vec![1], vec![]));
}
