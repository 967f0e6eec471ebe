//! Edge cases of many servers and many queued requests.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{entry, settings, Node};
use magpietally_policy::*;

/// One of so many nodes, with a single class whose requests may run again.
fn node(nodes: usize, entries: Vec<ServerEntry>) -> Node {
    let classes = vec![Class { aim: 1000.0, worth: 1.0, late_worth: 0.0, effect: Effect::Safe }];
    let limits = Limits { second_copies: false, connect_timeout: 100.0, ..settings().limits };
    Node::new_seeded(Settings { nodes, classes, limits, ..settings() }, entries, 3)
}

/// Feeds a request with a deadline in a second, and returns what is sent.
fn request(node: &mut Node) -> Option<(RequestId, ServerId)> {
    sends(&node.request_with(0, None, 1000.0).1).first().copied()
}

fn sends(actions: &[Action]) -> Vec<(RequestId, ServerId)> {
    let send = |a: &Action| if let Action::Send { id, server, .. } = a { Some((*id, *server)) } else { None };
    actions.iter().filter_map(send).collect()
}

#[test]
fn all_servers_are_ejected_and_return_at_once() {
    let count = 2_000;
    let mut node = node(1, (0..count).map(|n| entry(n, 1.0)).collect());
    let sent: Vec<_> = (0..count).filter_map(|_| request(&mut node)).collect();
    assert_eq!(sent.iter().map(|o| o.1).collect::<BTreeSet<_>>().len(), count as usize, "each has one");
    let mut probed = BTreeSet::new();
    let mut retries = Vec::new();
    for refused in sent {
        let actions = node.end_after(refused.0, Outcome::ConnectFailed, 1.0);
        retries.extend(sends(&actions));
        probed.extend(actions.iter().filter_map(|a| if let Action::Probe(s) = a { Some(*s) } else { None }));
    }
    // A server that one attempt found down gets nothing before its probe has ended.
    node.now += 1.0;
    probed.extend(node.event(Event::Timer).iter().filter_map(|a| {
        if let Action::Probe(s) = a {
            Some(*s)
        } else {
            None
        }
    }));
    assert_eq!(probed.len(), count as usize, "all are probed");
    assert_eq!(request(&mut node), None, "no server is ready");
    for server in probed {
        node.event(Event::Probed { server, outcome: Outcome::Done, took: 1.0 });
    }
    assert!(node.balancer.status().servers.iter().all(|s| !s.ejected));
    let mut served = BTreeSet::new();
    for _ in 0..4 * count {
        node.now += 1.0;
        if let Some(sent) = request(&mut node) {
            served.insert(sent.1);
            node.end_after(sent.0, Outcome::Done, 10.0);
        }
    }
    assert!(served.len() as u64 > count * 9 / 10, "{} of them have their turns again", served.len());
}

#[test]
fn weights_from_a_thousandth_to_a_thousand_have_their_turns() {
    let mut node = node(1, vec![entry(1, 0.001), entry(2, 1.0), entry(3, 1000.0), entry(4, f64::MAX)]);
    node.event(Event::ListChange(vec![ServerEntry { state: ListedState::Gone, ..entry(4, 1.0) }]));
    let mut turns: BTreeMap<ServerId, u64> = BTreeMap::new();
    for _ in 0..200_200 {
        node.now += 1.0;
        let sent = request(&mut node).expect("all are idle");
        *turns.entry(sent.1).or_default() += 1;
        node.end_after(sent.0, Outcome::Done, 1.0);
    }
    let of = |n| turns.get(&ServerId(n)).copied().unwrap_or(0);
    assert!((195..=205).contains(&of(2)), "one in a thousand: {turns:?}");
    assert!(of(1) <= 2 && of(3) > 199_000, "{turns:?}");
}

#[test]
fn three_of_five_thousand_servers_are_ready() {
    let mut node = node(1, (0..5_000).map(|n| entry(n, 1.0)).collect());
    let mut full = Vec::new();
    while let Some(sent) = request(&mut node) {
        full.push(sent);
    }
    let three = [ServerId(17), ServerId(2_500), ServerId(4_999)];
    let (free, _): (Vec<_>, Vec<_>) = full.into_iter().partition(|o| three.contains(&o.1));
    let mut turns: BTreeMap<ServerId, u64> = BTreeMap::new();
    let mut in_flight = free.into_iter().collect::<std::collections::VecDeque<_>>();
    for _ in 0..3_000 {
        let ended = in_flight.pop_front().expect("three servers are busy");
        let mut sent_now = sends(&node.end_after(ended.0, Outcome::Done, 350.0));
        sent_now.extend(request(&mut node));
        for sent in sent_now {
            assert!(three.contains(&sent.1), "sent to a server at its limit");
            *turns.entry(sent.1).or_default() += 1;
            in_flight.push_back(sent);
        }
    }
    let (min, max) = (turns.values().min(), turns.values().max());
    assert!(turns.len() == 3 && min > Some(&700) && max < Some(&1_400), "in turn among them: {turns:?}");
}

#[test]
fn the_cursor_goes_on_where_its_box_leaves() {
    let mut node = node(1, (0..6).map(|n| entry(n, 1.0)).collect());
    let order: Vec<_> = (0..6).filter_map(|_| request(&mut node)).map(|s| s.1 .0).collect();
    assert_eq!(order, [0, 1, 2, 3, 4, 5]);
    assert_eq!(request(&mut node).map(|s| s.1), Some(ServerId(0)));
    assert_eq!(request(&mut node).map(|s| s.1), Some(ServerId(1)));
    node.event(Event::ListChange(vec![ServerEntry { state: ListedState::Draining, ..entry(1, 1.0) }]));
    let after: Vec<_> = (0..6).filter_map(|_| request(&mut node)).map(|s| s.1 .0).collect();
    assert_eq!(after, [2, 3, 4, 5, 0, 2], "no server is skipped, none has two turns");
}

#[test]
fn a_subset_whose_servers_all_drain_is_replaced_at_once() {
    let mut node = node(40, (0..100).map(|n| entry(n, 1.0)).collect());
    let mut subset = BTreeSet::new();
    for _ in 0..200 {
        node.now += 50.0;
        let sent = request(&mut node).expect("a server is ready");
        subset.insert(sent.1);
        node.end_after(sent.0, Outcome::Done, 10.0);
    }
    assert_eq!(subset.len(), 20, "eight nodes per server");
    let draining = subset.iter().map(|s| ServerEntry { state: ListedState::Draining, ..entry(s.0, 1.0) });
    node.event(Event::ListChange(draining.collect()));
    let mut after = BTreeSet::new();
    for _ in 0..200 {
        node.now += 50.0;
        let sent = request(&mut node).expect("others are ready");
        after.insert(sent.1);
        node.end_after(sent.0, Outcome::Done, 10.0);
    }
    assert!(after.is_disjoint(&subset) && after.len() >= 16, "{} others", after.len());
}

#[test]
fn ten_thousand_queued_with_equal_deadlines_are_each_answered_once() {
    let mut node = node(1, vec![entry(1, 1.0)]);
    let mut answers: BTreeMap<u64, u32> = BTreeMap::new();
    let mut sent = 0;
    for _ in 0..10_000 {
        // All at the same time, with equal deadlines.
        sent += u64::from(request(&mut node).is_some());
    }
    let mut steps = 0;
    while node.balancer.status().queued > 0 {
        node.now += 50.0;
        steps += 1;
        for action in node.event(Event::Timer) {
            match action {
                Action::Refuse { id, .. } | Action::Fail(id) => *answers.entry(id.0).or_default() += 1,
                _ => {}
            }
        }
        assert!(steps < 30, "they are queued beyond their deadline");
    }
    assert_eq!(answers.len() as u64 + sent, 10_000);
    assert!(answers.values().all(|n| *n == 1), "one answer each");
    assert!(answers.keys().is_sorted());
}
