use super::super::random::Purpose;
use super::*;

fn list(calls_per_s: f64) -> BoxList {
    let spec = List { calls_per_s, call_timeout_ms: 100.0, stale_for_ms: 50.0, ..List::default() };
    BoxList::new(&spec, 3, Stream::new(1, Purpose::List))
}

fn drains(app_box: usize) -> Entry {
    Entry { app_box, state: State::Draining, started: None }
}

#[test]
fn calls_are_handled_in_order_and_fail_after_the_call_timeout() {
    let mut list = list(20.0);
    let ends: Vec<CallResult> = (0..3).map(|_| list.call(1000)).collect();
    assert_eq!(
        ends,
        [CallResult::Answered(51_000), CallResult::Answered(101_000), CallResult::Failed(101_000)]
    );
    list.set_down(60_000, true);
    assert_eq!(list.call(60_000), CallResult::Failed(60_000));
}

#[test]
fn after_an_outage_the_list_serves_outdated_state_for_a_while() {
    let mut list = list(20.0);
    assert_eq!(list.record_change(drains(0)), Some(2));
    list.set_down(10, true);
    assert_eq!(list.record_change(drains(1)), Some(3));
    list.set_down(30, false);
    let (entries, version) = list.full_list(40);
    assert_eq!(version, 2);
    assert_eq!(entries[0].state, State::Draining);
    assert_eq!(entries[1].state, State::Up, "noticed while it was down");
    let after = 30 + 50_000;
    assert_eq!(list.changes_since(after, 2), Some((vec![drains(1)], 3)));
    assert_eq!(list.changes_since(40, 2), Some((vec![], 2)));
}
