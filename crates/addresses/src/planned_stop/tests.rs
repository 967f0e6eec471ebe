use super::*;

#[test]
fn drains_only_after_idle_time_or_deadline() {
    let s = Duration::from_secs;
    let mut stop = PlannedStop::new(s(0), s(5), s(30), s(1));
    assert_eq!(stop.step(s(1), false, 0), Phase::Withdrawing);
    assert_eq!(stop.step(s(2), true, 3), Phase::AwaitingIdle);
    assert_eq!(stop.step(s(3), true, 0), Phase::AwaitingIdle);
    assert_eq!(stop.step(s(4), true, 1), Phase::AwaitingIdle);
    assert_eq!(stop.step(s(5), true, 0), Phase::AwaitingIdle);
    assert_eq!(stop.step(s(6), true, 0), Phase::Draining);
    let mut bounded = PlannedStop::new(s(0), s(5), s(30), s(1));
    assert_eq!(bounded.step(s(5), false, 9), Phase::AwaitingIdle);
    assert_eq!(bounded.step(s(35), false, 9), Phase::Draining);
}
