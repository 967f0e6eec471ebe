//! A node that could not renew its list in time: discovery is up but rejects its calls, and servers may be
//! draining without its knowledge.

mod common;

use common::*;
use magpietally_policy::*;

/// The drain grace, and how long an attempt may wait for its connection.
const GRACE: f64 = 750.0;
const CONNECT_TIMEOUT: f64 = 150.0;
/// Time from when discovery could be reached until the last attempt, and the same from a reload.
const VALID_FOR: f64 = 6000.0 + GRACE - CONNECT_TIMEOUT;
const VALID_AFTER_RELOAD: f64 = 4000.0 + GRACE - CONNECT_TIMEOUT;
/// How long nothing is sent after that.
const STALE_MAX: f64 = 9000.0;

fn node_with(discovery: Discovery) -> Node {
    let mut polling = Settings { discovery, nodes: 30, ..settings() };
    (polling.rules.drain_grace, polling.limits.connect_timeout) = (GRACE, CONNECT_TIMEOUT);
    Node::fleet(polling, 3)
}

/// A polling node whose first call is pending.
fn node() -> Node {
    node_with(Discovery::Polled)
}

fn fail_call(node: &mut Node, failure: ListFailure) {
    node.event(Event::ListFailed(failure));
}

/// Runs for so long; each call made meanwhile fails.
fn run_for(node: &mut Node, span: f64, failure: ListFailure) {
    run_until(node, node.now + span, failure);
}

/// Runs until then; each call made meanwhile fails.
fn run_until(node: &mut Node, then: f64, failure: ListFailure) {
    while node.now < then {
        let calls = node.wait((then - node.now).min(20.0)).contains(&Action::Subscribe);
        if calls {
            fail_call(node, failure);
        }
    }
}

/// Returns whether a request that arrives now is sent. If not, it must be refused soon and never sent.
fn sends_now(node: &mut Node) -> bool {
    let (id, actions) = node.request(SAFE);
    if sent_to(&actions).is_some() {
        node.end(id, Outcome::Done);
        return true;
    }
    let later = node.wait(60.0);
    assert!(sent_to(&later).is_none() && refused(&later, id), "{later:?}");
    false
}

/// Checks that the node uses its list until then, though its calls are rejected, and sends nothing
/// afterwards.
fn assert_stale_at(node: &mut Node, then: f64) {
    run_until(node, then - 10.0, ListFailure::Rejected);
    assert!(sends_now(node), "10 ms before {then}");
    run_until(node, then, ListFailure::Rejected);
    assert!(!sends_now(node), "at {then}");
}

#[test]
fn a_node_rejected_from_its_start_sends_until_missed_changes_count_as_known() {
    let mut node = node();
    let start = node.now;
    fail_call(&mut node, ListFailure::Rejected);
    run_until(&mut node, start + VALID_FOR - 10.0, ListFailure::Rejected);
    assert!(sends_now(&mut node), "the saved list is valid");
    run_until(&mut node, start + VALID_FOR, ListFailure::Rejected);
    assert!(!sends_now(&mut node) && node.balancer.is_list_stale());
    // The list arrives, and the node uses it.
    node.event(Event::List { entries: vec![entry(1, 1.0)], saved: false });
    assert!(sends_now(&mut node) && !node.balancer.is_list_stale());
    run_until(&mut node, start + 60_000.0, ListFailure::Rejected);
    assert!(sends_now(&mut node), "a watched list does not become stale");
}

#[test]
fn a_queued_request_is_served_once_the_list_arrives() {
    let mut node = node();
    let start = node.now;
    fail_call(&mut node, ListFailure::Rejected);
    run_until(&mut node, start + VALID_FOR, ListFailure::Rejected);
    let (id, actions) = node.request(SAFE);
    assert!(sent_to(&actions).is_none() && !refused(&actions, id));
    node.now += 2.0;
    let mut actions = node.event(Event::List { entries: vec![entry(1, 1.0)], saved: false });
    actions.extend(node.wait(10.0));
    assert_eq!(sent_to(&actions), Some(ServerId(1)));
}

#[test]
fn a_retry_is_not_sent_by_a_stale_list() {
    let mut node = node();
    let start = node.now;
    fail_call(&mut node, ListFailure::Rejected);
    run_until(&mut node, start + VALID_FOR - 10.0, ListFailure::Rejected);
    let (id, actions) = node.request(SAFE);
    assert!(sent_to(&actions).is_some());
    run_until(&mut node, start + VALID_FOR, ListFailure::Rejected);
    let mut actions = node.end(id, Outcome::Full);
    actions.extend(node.wait(80.0));
    assert!(sent_to(&actions).is_none() && refused(&actions, id), "{actions:?}");
}

#[test]
fn a_node_that_can_not_reach_discovery_keeps_using_its_list() {
    for failure in [ListFailure::Broken, ListFailure::Silent] {
        let mut node = node();
        let start = node.now;
        fail_call(&mut node, failure);
        for seconds in 1..60 {
            run_until(&mut node, start + 1000.0 * f64::from(seconds), failure);
            assert!(sends_now(&mut node), "{failure:?}, after {seconds} s");
        }
    }
}

/// The time for missed changes counts from when discovery could be reached. A failed call shows that it could
/// not be reached when the call was made.
#[test]
fn after_an_outage_the_time_counts_from_the_last_failed_call() {
    let mut node = node();
    let start = node.now;
    fail_call(&mut node, ListFailure::Broken);
    run_until(&mut node, start + 10_000.0, ListFailure::Broken);
    while !node.wait(5.0).contains(&Action::Subscribe) {}
    let called = node.now;
    node.wait(2000.0);
    fail_call(&mut node, ListFailure::Broken);
    assert_stale_at(&mut node, called + VALID_FOR);
}

/// Changes may be on the way when a watch ends: those of as long as the node's own call waited in the
/// service's queue. A silent watch has missed all changes since its last line.
#[test]
fn after_a_broken_watch_the_time_counts_from_the_first_change_that_it_may_have_missed() {
    for (failure, waited, missed) in [
        (ListFailure::Broken, 1500.0, 1500.0),
        (ListFailure::Broken, 5.0, 500.0),
        (ListFailure::Silent, 5.0, 3200.0),
    ] {
        let mut node = node();
        node.wait(waited);
        node.event(Event::ListChange(Vec::new()));
        run_for(&mut node, 20_000.0, ListFailure::Rejected);
        println!("{failure:?}, {waited} ms in the queue");
        let broke = node.now;
        fail_call(&mut node, failure);
        assert_stale_at(&mut node, broke - missed + VALID_FOR);
    }
}

/// A watch that breaks as soon as it is open has missed nothing from before.
#[test]
fn a_watch_that_breaks_at_once_has_missed_only_changes_since_it_opened() {
    let mut node = node();
    node.wait(2000.0);
    node.event(Event::ListChange(Vec::new()));
    let opened = node.now;
    fail_call(&mut node, ListFailure::Broken);
    assert_stale_at(&mut node, opened + VALID_FOR);
}

#[test]
fn after_a_reload_there_is_less_time() {
    let mut node = node();
    node.event(Event::ListChange(Vec::new()));
    run_for(&mut node, 20_000.0, ListFailure::Rejected);
    let moved = node.now;
    node.event(Event::DiscoveryMoved);
    fail_call(&mut node, ListFailure::Rejected);
    assert_stale_at(&mut node, moved + VALID_AFTER_RELOAD);
}

/// What discovery has at a reload counts as known, also to a node that has opened and lost a watch since.
#[test]
fn after_a_reload_a_broken_new_watch_does_not_extend_the_time() {
    let mut node = node();
    node.event(Event::ListChange(Vec::new()));
    run_for(&mut node, 20_000.0, ListFailure::Rejected);
    let moved = node.now;
    node.event(Event::DiscoveryMoved);
    node.wait(1000.0);
    node.event(Event::ListChange(Vec::new()));
    node.wait(1500.0);
    fail_call(&mut node, ListFailure::Broken);
    assert_stale_at(&mut node, moved + VALID_AFTER_RELOAD);
}

/// A proxy in front of a service that is down may reject all calls.
#[test]
fn a_service_that_rejects_all_calls_does_not_stop_the_node_forever() {
    let mut node = node();
    let start = node.now;
    fail_call(&mut node, ListFailure::Rejected);
    run_until(&mut node, start + VALID_FOR + STALE_MAX - 100.0, ListFailure::Rejected);
    assert!(!sends_now(&mut node));
    run_until(&mut node, start + VALID_FOR + STALE_MAX, ListFailure::Rejected);
    for _ in 0..100 {
        run_for(&mut node, 1000.0, ListFailure::Rejected);
        assert!(sends_now(&mut node));
    }
}

#[test]
fn pushed_lists_never_become_stale() {
    for discovery in [Discovery::Pushed, Discovery::Agent] {
        let mut node = node_with(discovery);
        for _ in 0..30 {
            fail_call(&mut node, ListFailure::Rejected);
            node.wait(1000.0);
            assert!(sends_now(&mut node), "{discovery:?}");
        }
    }
}

/// A rejected node knows that the service is up but overloaded, and gives a call that may be in its queue
/// more time.
#[test]
fn a_call_after_a_rejection_has_a_longer_timeout() {
    let mut node = node();
    let first = node.balancer.list_response_timeout();
    fail_call(&mut node, ListFailure::Rejected);
    assert!(node.balancer.list_response_timeout() >= first + 1000.0);
    node.event(Event::ListChange(Vec::new()));
    assert_eq!(node.balancer.list_response_timeout(), first);
}
