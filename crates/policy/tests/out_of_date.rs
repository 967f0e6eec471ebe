//! What a node does whose list it could not renew in time: a service that is there rejects its calls, and servers may have been
//! told to drain of which it has not heard.

mod common;

use common::*;
use magpietally_policy::*;

/// How long a drain may be new, and how long an attempt may wait for its connection.
const GRACE: f64 = 750.0;
const CONNECT: f64 = 150.0;
/// From when discovery could be reached to the last attempt, and the same from a reload.
const GOOD: f64 = 6000.0 + GRACE - CONNECT;
const GOOD_AFTER_RELOAD: f64 = 4000.0 + GRACE - CONNECT;
/// For how long nothing is sent then.
const HELD_BACK: f64 = 9000.0;

fn node_that(discovery: Discovery) -> Node {
    let mut asked = Settings { discovery, nodes: 30, ..settings() };
    (asked.rules.drain_grace, asked.limits.connect_timeout) = (GRACE, CONNECT);
    Node::fleet(asked, 3)
}

/// One that asks, and whose first call is out.
fn node() -> Node {
    node_that(Discovery::Polled)
}

fn failed_by(node: &mut Node, failure: ListFailure) {
    node.event(Event::ListFailed(failure));
}

/// The same for so long.
fn pass(node: &mut Node, span: f64, failure: ListFailure) {
    until(node, node.now + span, failure);
}

/// Lets time pass until then; each call that is made meanwhile fails so.
fn until(node: &mut Node, then: f64, failure: ListFailure) {
    while node.now < then {
        let calls = node.wait((then - node.now).min(20.0)).contains(&Action::Subscribe);
        if calls {
            failed_by(node, failure);
        }
    }
}

/// Is a request that comes now sent? One that is not must be refused soon, and never sent.
fn sends_now(node: &mut Node) -> bool {
    let (id, actions) = node.ask(SAFE);
    if sent_to(&actions).is_some() {
        node.end(id, Outcome::Done);
        return true;
    }
    let later = node.wait(60.0);
    assert!(sent_to(&later).is_none() && refused(&later, id), "{later:?}");
    false
}

/// It sends by its list until then, though its calls are rejected, and nothing from then on.
fn sends_until(node: &mut Node, then: f64) {
    until(node, then - 10.0, ListFailure::Rejected);
    assert!(sends_now(node), "10 ms before {then}");
    until(node, then, ListFailure::Rejected);
    assert!(!sends_now(node), "at {then}");
}

#[test]
fn a_node_that_is_rejected_from_its_start_sends_until_what_it_missed_counts_as_told() {
    let mut node = node();
    let start = node.now;
    failed_by(&mut node, ListFailure::Rejected);
    until(&mut node, start + GOOD - 10.0, ListFailure::Rejected);
    assert!(sends_now(&mut node), "the list that it saved holds");
    until(&mut node, start + GOOD, ListFailure::Rejected);
    assert!(!sends_now(&mut node) && node.balancer.is_list_stale());
    // The list is there: it goes on with that.
    node.event(Event::List { entries: vec![entry(1, 1.0)], saved: false });
    assert!(sends_now(&mut node) && !node.balancer.is_list_stale());
    until(&mut node, start + 60_000.0, ListFailure::Rejected);
    assert!(sends_now(&mut node), "a list that is watched has no end");
}

#[test]
fn a_held_request_is_served_by_the_list_that_comes() {
    let mut node = node();
    let start = node.now;
    failed_by(&mut node, ListFailure::Rejected);
    until(&mut node, start + GOOD, ListFailure::Rejected);
    let (id, actions) = node.ask(SAFE);
    assert!(sent_to(&actions).is_none() && !refused(&actions, id));
    node.now += 2.0;
    let mut actions = node.event(Event::List { entries: vec![entry(1, 1.0)], saved: false });
    actions.extend(node.wait(10.0));
    assert_eq!(sent_to(&actions), Some(ServerId(1)));
}

#[test]
fn a_repeat_is_not_sent_by_a_list_that_is_out_of_date() {
    let mut node = node();
    let start = node.now;
    failed_by(&mut node, ListFailure::Rejected);
    until(&mut node, start + GOOD - 10.0, ListFailure::Rejected);
    let (id, actions) = node.ask(SAFE);
    assert!(sent_to(&actions).is_some());
    until(&mut node, start + GOOD, ListFailure::Rejected);
    let mut actions = node.end(id, Outcome::Full);
    actions.extend(node.wait(80.0));
    assert!(sent_to(&actions).is_none() && refused(&actions, id), "{actions:?}");
}

#[test]
fn a_node_that_can_not_reach_discovery_goes_on_with_its_list() {
    for failure in [ListFailure::Broken, ListFailure::Silent] {
        let mut node = node();
        let start = node.now;
        failed_by(&mut node, failure);
        for seconds in 1..60 {
            until(&mut node, start + 1000.0 * f64::from(seconds), failure);
            assert!(sends_now(&mut node), "{failure:?}, after {seconds} s");
        }
    }
}

/// What was missed while discovery was out of reach counts from when it could be reached, and a call that failed shows that it
/// could not when that call was made.
#[test]
fn behind_an_outage_the_time_counts_from_the_last_call_that_failed() {
    let mut node = node();
    let start = node.now;
    failed_by(&mut node, ListFailure::Broken);
    until(&mut node, start + 10_000.0, ListFailure::Broken);
    while !node.wait(5.0).contains(&Action::Subscribe) {}
    let out = node.now;
    node.wait(2000.0);
    failed_by(&mut node, ListFailure::Broken);
    sends_until(&mut node, out + GOOD);
}

/// A watch that ends may have had news to bring: so much of it as its node's own call had waited in the service's queue. One that
/// fell silent has missed what came since its last line.
#[test]
fn behind_a_watch_that_broke_the_time_counts_from_what_it_may_have_missed() {
    for (failure, waited, missed) in [
        (ListFailure::Broken, 1500.0, 1500.0),
        (ListFailure::Broken, 5.0, 500.0),
        (ListFailure::Silent, 5.0, 3200.0),
    ] {
        let mut node = node();
        node.wait(waited);
        node.event(Event::ListChange(Vec::new()));
        pass(&mut node, 20_000.0, ListFailure::Rejected);
        println!("{failure:?}, {waited} ms in the queue");
        let broke = node.now;
        failed_by(&mut node, failure);
        sends_until(&mut node, broke - missed + GOOD);
    }
}

/// A watch that broke as soon as it was there has missed nothing of before.
#[test]
fn a_watch_that_broke_at_once_has_missed_what_came_since_it_was_there() {
    let mut node = node();
    node.wait(2000.0);
    node.event(Event::ListChange(Vec::new()));
    let had = node.now;
    failed_by(&mut node, ListFailure::Broken);
    sends_until(&mut node, had + GOOD);
}

#[test]
fn behind_a_reload_there_is_less_time() {
    let mut node = node();
    node.event(Event::ListChange(Vec::new()));
    pass(&mut node, 20_000.0, ListFailure::Rejected);
    let moved = node.now;
    node.event(Event::DiscoveryMoved);
    failed_by(&mut node, ListFailure::Rejected);
    sends_until(&mut node, moved + GOOD_AFTER_RELOAD);
}

/// What discovery has then counts as told, also to a node that had its watch again meanwhile, and lost it.
#[test]
fn behind_a_reload_the_time_stays_where_a_new_watch_breaks() {
    let mut node = node();
    node.event(Event::ListChange(Vec::new()));
    pass(&mut node, 20_000.0, ListFailure::Rejected);
    let moved = node.now;
    node.event(Event::DiscoveryMoved);
    node.wait(1000.0);
    node.event(Event::ListChange(Vec::new()));
    node.wait(1500.0);
    failed_by(&mut node, ListFailure::Broken);
    sends_until(&mut node, moved + GOOD_AFTER_RELOAD);
}

/// What stands in front of a service that is down may reject all calls for it.
#[test]
fn a_service_that_rejects_for_good_ends_no_service_for_good() {
    let mut node = node();
    let start = node.now;
    failed_by(&mut node, ListFailure::Rejected);
    until(&mut node, start + GOOD + HELD_BACK - 100.0, ListFailure::Rejected);
    assert!(!sends_now(&mut node));
    until(&mut node, start + GOOD + HELD_BACK, ListFailure::Rejected);
    for _ in 0..100 {
        pass(&mut node, 1000.0, ListFailure::Rejected);
        assert!(sends_now(&mut node));
    }
}

#[test]
fn lists_that_are_pushed_are_never_out_of_date() {
    for discovery in [Discovery::Pushed, Discovery::Agent] {
        let mut node = node_that(discovery);
        for _ in 0..30 {
            failed_by(&mut node, ListFailure::Rejected);
            node.wait(1000.0);
            assert!(sends_now(&mut node), "{discovery:?}");
        }
    }
}

/// Who was rejected knows that the service is there and crowded, and gives a call more time that may stand in its queue.
#[test]
fn a_call_behind_a_rejection_is_waited_for_longer() {
    let mut node = node();
    let first = node.balancer.list_response_timeout();
    failed_by(&mut node, ListFailure::Rejected);
    assert!(node.balancer.list_response_timeout() >= first + 1000.0);
    node.event(Event::ListChange(Vec::new()));
    assert_eq!(node.balancer.list_response_timeout(), first);
}
