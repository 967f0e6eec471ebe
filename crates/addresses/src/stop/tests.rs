use super::*;

#[test]
fn a_stop_drains_only_after_traffic_left_or_the_bound_passed() {
    let s = Duration::from_secs;
    let mut stop = Stop::new(s(0), s(5), s(30), s(1));
    assert_eq!(stop.step(s(1), false, 0), Phase::Withdrawing);
    assert_eq!(stop.step(s(2), true, 3), Phase::Leaving);
    assert_eq!(stop.step(s(3), true, 0), Phase::Leaving);
    assert_eq!(stop.step(s(4), true, 1), Phase::Leaving);
    assert_eq!(stop.step(s(5), true, 0), Phase::Leaving);
    assert_eq!(stop.step(s(6), true, 0), Phase::Drain);
    let mut bounded = Stop::new(s(0), s(5), s(30), s(1));
    assert_eq!(bounded.step(s(5), false, 9), Phase::Leaving);
    assert_eq!(bounded.step(s(35), false, 9), Phase::Drain);
}
