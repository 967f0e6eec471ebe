//! A node's name over its starts: an earlier start that is dead never ends the node that runs now, and of two
//! live nodes under one name the one that started later ends. Processes on loopback; the bounds are those of
//! docs/operate/membership.md.

use std::net::TcpListener;
use std::time::{Duration, Instant};

use crate::peers::member_fleet::{MemberFleet, SLOW_REQUEST};
use crate::peers::*;

/// How long a restarted node is watched: longer than any way to find a live duplicate takes without loss.
const RESTART_WATCHED: Duration = Duration::from_secs(12);
/// A node that died is declared dead by then.
const UNTIL_DECLARED_DEAD: Duration = Duration::from_secs(20);
/// How often a watched node is sent a request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// The time in which the later of two live nodes under one name ends, from its start.
const DUPLICATE_ENDS_WITHIN: Duration = Duration::from_secs(10);
/// The same from when the two can reach each other again, after a partition or a pause.
const DUPLICATE_ENDS_AFTER_HEAL: Duration = Duration::from_secs(20);
/// An hour, as a step of the wall clock.
const HOUR_MS: i64 = 3_600_000;

/// Waits until all `live` nodes see the node of this name at frontend `i` as alive.
fn wait_seen_alive(fleet: &MemberFleet, live: &[usize], name: &str, i: usize) {
    let address = fleet.relay.frontend(i).to_string();
    wait_until(&format!("{name} at {address} is seen as alive"), || {
        live.iter().all(|&viewer| {
            let entries = fleet.view(viewer).unwrap_or_default();
            entries.iter().any(|e| e.name == name && e.address == address && e.state == "alive")
        })
    });
}

/// Asserts that the nodes behind these frontends run and answer requests for this time.
fn assert_serves(fleet: &mut MemberFleet, frontends: &[usize], time: Duration) {
    let start = Instant::now();
    while start.elapsed() < time {
        for &i in frontends {
            let node = fleet.node(i);
            let status = node.exit_status();
            let reason = node.logged_after("the node ends: ");
            assert!(status.is_none(), "frontend {i} ended {:?} in, {status:?}: {reason:?}", start.elapsed());
            let id = format!("watch-{}", start.elapsed().as_millis());
            let response = Client::to(node).exchange(&request("look", &id, 5000));
            assert_eq!(response.status(), 200, "frontend {i}, {:?} in", start.elapsed());
        }
        std::thread::sleep(REQUEST_INTERVAL);
    }
}

/// Asserts that the node behind `later` ends within `limit` for the name taken by the one behind `first`,
/// which goes on serving.
fn assert_later_ends(fleet: &mut MemberFleet, name: &str, first: usize, later: usize, limit: Duration) {
    let start = Instant::now();
    while fleet.node(later).running() {
        assert!(start.elapsed() < limit, "two nodes named {name} still run after {limit:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
    eprintln!("the later node named {name} ended after {:?}", start.elapsed());
    assert_eq!(fleet.node(later).exit_code(), Some(1));
    let message = format!(
        "the name {name} is taken by the node at {}, which started first",
        fleet.relay.frontend(first)
    );
    assert!(fleet.node(later).logged(&message), "no line with {message:?}");
    fleet.nodes[later] = None;
    assert_serves(fleet, &[first], Duration::from_secs(3));
}

/// Guards against review case 9: a killed node that came back at another port took the entry of its own
/// earlier start for a second live node and exited.
#[test]
fn a_node_restarted_at_another_address_serves_on() {
    let mut fleet = MemberFleet::new(21, 3, 1);
    fleet.wait_agree("the start", &[0, 1, 2], &[], "dead");
    fleet.kill(2);
    std::thread::sleep(Duration::from_secs(4));
    fleet.start(3, "m2");
    assert_serves(&mut fleet, &[3], RESTART_WATCHED);
    wait_seen_alive(&fleet, &[0, 1, 3], "m2", 3);
}

/// Guards against the same with several earlier starts that are all still listed as members, and against earlier
/// starts that count as nodes of their own: a fleet of three divided its budgets by up to six, first as the starts
/// were still members, then as the fleet took itself for a minority of the known nodes.
#[test]
fn a_node_with_several_dead_earlier_starts_serves_on_and_counts_once() {
    let mut fleet = MemberFleet::new(22, 3, 3);
    fleet.wait_agree("the start", &[0, 1, 2], &[], "dead");
    for i in 3..6 {
        wait_seen_alive(&fleet, &[0, 1], "m2", i - 1);
        fleet.kill(i - 1);
        fleet.start(i, "m2");
    }
    wait_seen_alive(&fleet, &[0, 1, 5], "m2", 5);
    let start = Instant::now();
    while start.elapsed() < UNTIL_DECLARED_DEAD {
        assert_serves(&mut fleet, &[5], REQUEST_INTERVAL);
        for i in [0, 1, 5] {
            let divisor = fleet.budget_divisor(i).expect("it answers");
            assert_eq!(divisor, 3, "{:?} after the last start: {}", start.elapsed(), fleet.views(&[i]));
        }
    }
    wait_seen_alive(&fleet, &[0, 1, 5], "m2", 5);
}

/// Guards against the same where a third of the fleet comes back together, each node at the address that
/// another one of them had before.
#[test]
fn a_third_of_the_fleet_that_restarts_at_exchanged_addresses_serves_on() {
    let mut fleet = MemberFleet::new(23, 6, 0);
    fleet.wait_agree("the start", &[0, 1, 2, 3, 4, 5], &[], "dead");
    fleet.kill(4);
    fleet.kill(5);
    std::thread::sleep(Duration::from_secs(4));
    fleet.start(4, "m5");
    fleet.start(5, "m4");
    assert_serves(&mut fleet, &[4, 5], RESTART_WATCHED);
    wait_seen_alive(&fleet, &[0, 1, 2, 3, 4, 5], "m5", 4);
    wait_seen_alive(&fleet, &[0, 1, 2, 3, 4, 5], "m4", 5);
}

/// Guards against the same with a wall clock that was set back, so that the earlier start has the later
/// generation: one node at another address, one at its own.
#[test]
fn a_node_restarted_after_its_clock_was_set_back_serves_on() {
    let mut fleet = MemberFleet::new(24, 4, 1);
    fleet.wait_agree("the start", &[0, 1, 2, 3], &[], "dead");
    fleet.kill(2);
    fleet.kill(3);
    fleet.start_with_clock_step(4, "m2", -HOUR_MS);
    fleet.start_with_clock_step(3, "m3", -HOUR_MS);
    assert_serves(&mut fleet, &[3, 4], RESTART_WATCHED);
    wait_seen_alive(&fleet, &[0, 1, 3, 4], "m2", 4);
    wait_seen_alive(&fleet, &[0, 1, 3, 4], "m3", 3);
}

/// Guards against an order of starts by the wall clock alone: the second node's clock is an hour behind, and
/// the first one would be taken for the later one and end.
#[test]
fn of_two_live_nodes_under_a_name_the_later_one_ends_whatever_its_clock_says() {
    let mut fleet = MemberFleet::new(25, 3, 3);
    fleet.wait_agree("the start", &[0, 1, 2], &[], "dead");
    for (later, step_ms) in [(3, 0), (4, HOUR_MS), (5, -HOUR_MS)] {
        fleet.start_with_clock_step(later, "m2", step_ms);
        assert_later_ends(&mut fleet, "m2", 2, later, DUPLICATE_ENDS_WITHIN);
    }
}

/// Guards against an order of starts by what the others know: they learn of the later node while the first
/// one is cut off from all, and take the first one for dead.
#[test]
fn the_later_node_ends_where_the_others_learned_of_it_first() {
    let mut fleet = MemberFleet::new(26, 3, 1);
    fleet.wait_agree("the start", &[0, 1, 2], &[], "dead");
    fleet.relay.partition(&[2], &[0, 1, 3]);
    fleet.wait_agree("the first node is cut off", &[0, 1], &[2], "dead");
    fleet.start(3, "m2");
    wait_seen_alive(&fleet, &[0, 1], "m2", 3);
    assert_serves(&mut fleet, &[2, 3], Duration::from_secs(5));
    fleet.relay.heal();
    assert_later_ends(&mut fleet, "m2", 2, 3, DUPLICATE_ENDS_AFTER_HEAL);
}

/// Guards against a duplicate that is missed under loss, and where no datagram passes between the two nodes.
#[test]
fn the_later_node_ends_under_loss_and_where_the_two_reach_each_other_only_through_others() {
    let mut fleet = MemberFleet::new(27, 3, 1);
    fleet.wait_agree("the start", &[0, 1, 2], &[], "dead");
    fleet.relay.set_default_link(magpietally_contracts::relay::DatagramLink {
        drop_share: 0.3,
        duplicate_share: 0.1,
        delay: Duration::from_millis(20),
        cut: false,
    });
    fleet.start(3, "m2");
    assert_later_ends(&mut fleet, "m2", 2, 3, DUPLICATE_ENDS_AFTER_HEAL);
    fleet.relay.heal();
    fleet.relay.partition(&[2], &[3]);
    fleet.start(3, "m2");
    assert_later_ends(&mut fleet, "m2", 2, 3, DUPLICATE_ENDS_AFTER_HEAL);
}

/// A paused node whose replacement came: the replacement serves while the first one is paused and when it
/// wakes only to end; where the first one goes on, two live nodes share the name and the later one ends.
#[test]
fn a_replacement_of_a_paused_node_ends_only_where_the_paused_one_goes_on() {
    let mut fleet = MemberFleet::new(28, 4, 2);
    fleet.wait_agree("the start", &[0, 1, 2, 3], &[], "dead");
    fleet.node(2).pause(true);
    fleet.node(3).pause(true);
    std::thread::sleep(Duration::from_secs(4));
    fleet.start(4, "m2");
    fleet.start(5, "m3");
    assert_serves(&mut fleet, &[4, 5], RESTART_WATCHED);
    fleet.node(3).terminate();
    fleet.node(3).pause(false);
    fleet.node(2).pause(false);
    assert_later_ends(&mut fleet, "m2", 2, 4, DUPLICATE_ENDS_AFTER_HEAL);
    assert_eq!(fleet.node(3).exit_code(), Some(0));
    assert_serves(&mut fleet, &[2, 5], RESTART_WATCHED);
}

/// Guards against a node that holds its name while it finishes its last requests after SIGTERM: the next process
/// under the name took it for a second live node. It leaves the fleet at once.
#[test]
fn a_node_that_is_stopping_does_not_end_the_next_one() {
    let mut fleet = MemberFleet::new(30, 3, 1);
    fleet.wait_agree("the start", &[0, 1, 2], &[], "dead");
    let mut client = Client::to(fleet.node(2));
    client.send(&request("look", SLOW_REQUEST, 60_000));
    let_connection_idle();
    fleet.node(2).terminate();
    fleet.node(2).wait_stopping();
    fleet.start(3, "m2");
    let first = fleet.relay.frontend(2).to_string();
    assert_serves(&mut fleet, &[3], Duration::from_secs(1));
    assert!(fleet.node(2).running(), "the first process does not finish its requests");
    let listed = fleet.view(0).expect("it answers");
    let state = listed.iter().find(|e| e.address == first).map(|e| e.state.as_str());
    assert_serves(&mut fleet, &[3], RESTART_WATCHED);
    assert_eq!(state, Some("left"), "while the first process was stopping: {listed:?}");
    assert_eq!(fleet.node(2).exit_code(), Some(0));
}

/// Guards against a hand-over that ends its own next process: the two share the clients' listening socket, and
/// run side by side until the first one is sent SIGTERM. Two processes under one name with a socket each are no
/// hand-over.
#[test]
fn the_next_process_of_a_handover_serves_on_and_one_with_another_socket_ends() {
    let mut fleet = MemberFleet::new(31, 2, 4);
    fleet.wait_agree("the start", &[0, 1], &[], "dead");
    let shared = TcpListener::bind("127.0.0.1:0").expect("a port");
    fleet.start_inheriting(2, "m2", &shared);
    fleet.start_inheriting(3, "m2", &shared);
    assert_serves(&mut fleet, &[2, 3], RESTART_WATCHED);
    fleet.node(2).terminate();
    assert_eq!(fleet.node(2).exit_code(), Some(0));
    assert_serves(&mut fleet, &[3], Duration::from_secs(5));
    let own = TcpListener::bind("127.0.0.1:0").expect("a port");
    fleet.start_inheriting(4, "m2", &own);
    assert_later_ends(&mut fleet, "m2", 3, 4, DUPLICATE_ENDS_WITHIN);
    fleet.start(5, "m2");
    assert_later_ends(&mut fleet, "m2", 3, 5, DUPLICATE_ENDS_WITHIN);
}
