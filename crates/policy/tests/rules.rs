//! The four rules one by one, and regression tests.

mod common;
use common::*;
use magpietally_policy::*;

#[test]
fn an_unsafe_request_that_may_have_run_is_neither_resent_nor_refused() {
    for outcome in [Outcome::TimedOut, Outcome::Error, Outcome::Reset] {
        let mut node = Node::fleet(settings(), 3);
        let (id, _) = node.request(UNSAFE);
        let actions = node.end(id, outcome);
        assert!(failed(&actions, id) && sent_to(&actions).is_none(), "{outcome:?}: {actions:?}");
    }
}

#[test]
fn an_unsafe_request_that_never_ran_is_resent() {
    for outcome in [Outcome::Full, Outcome::ConnectFailed] {
        let mut node = Node::fleet(settings(), 3);
        let (id, _) = node.request(UNSAFE);
        assert_eq!(sent_to(&node.end(id, outcome)), Some(ServerId(1)));
    }
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_cell() {
    let mut node = Node::fleet(settings(), 4);
    let (id, actions) = node.request(KEYED);
    assert_eq!(sent_to(&actions), Some(ServerId(0)));
    node.now += 10.0;
    assert_eq!(
        sent_to(&node.end(id, Outcome::Error)),
        Some(ServerId(2)),
        "servers 1 and 3 are in another cell"
    );
}

#[test]
fn a_keyed_request_is_not_resent_once_forgotten() {
    let mut slow = settings();
    slow.classes[KEYED].aim = 2000.0;
    slow.classes[KEYED].effect = Effect::Keyed { scope: DedupScope::All, memory: 5.0 };
    let mut node = Node::fleet(slow, 4);
    let (id, _) = node.request_with(KEYED, None, 2000.0);
    node.now += 6.0;
    let actions = node.end(id, Outcome::Error);
    assert!(
        sent_to(&actions).is_none() && refused(&actions, id),
        "may be refused with scope `All`: {actions:?}"
    );
}

#[test]
fn a_draining_server_gets_nothing_new() {
    let mut node = Node::fleet(settings(), 2);
    node.event(Event::ListChange(vec![ServerEntry { state: ListedState::Draining, ..entry(0, 1.0) }]));
    for _ in 0..5 {
        assert_eq!(node.serve(SAFE, 1.0), Some(ServerId(1)));
    }
    node.event(Event::List { entries: vec![entry(0, 1.0)], saved: false });
    assert_eq!(node.serve(SAFE, 1.0), Some(ServerId(0)), "servers missing in a whole list are gone");
}

#[test]
fn no_servers_means_a_refusal_in_time() {
    let mut node = Node::fleet(settings(), 0);
    let (id, actions) = node.request(UNSAFE);
    assert!(!refused(&actions, id), "queued first");
    assert!(refused(&node.wait(60.0), id));
}

/// Guards against requests that were queued after a failed attempt and not answered (incidents ia125e6,
/// i0ddaf6).
#[test]
fn a_request_queued_after_a_failed_attempt_is_answered_in_time() {
    let mut node = Node::fleet(settings(), 1);
    let (id, _) = node.request(UNSAFE);
    let mut actions = node.end(id, Outcome::ConnectFailed);
    actions.extend(node.wait(480.0));
    assert!(refused(&actions, id), "{actions:?}");
}

#[test]
fn a_cold_server_gets_its_part_without_bursts() {
    let mut node = Node::fleet(settings(), 4);
    for _ in 0..400 {
        node.serve(SAFE, 5.0);
    }
    let cold = ServerEntry { started: Some(node.now), ..entry(3, 1.0) };
    node.event(Event::ListChange(vec![cold]));
    let mut sent = [0; 4];
    for _ in 0..200 {
        sent[node.serve(SAFE, 5.0).expect("sent").0 as usize] += 1;
    }
    assert!(sent[3] >= 5 && sent[3] * 4 < sent[0], "{sent:?}");
}

#[test]
fn a_lone_cold_server_is_not_overloaded() {
    let mut node = Node::fleet(settings(), 2);
    for _ in 0..400 {
        node.serve(SAFE, 5.0);
    }
    let cold = ServerEntry { started: Some(node.now), ..entry(1, 1.0) };
    node.event(Event::ListChange(vec![ServerEntry { state: ListedState::Gone, ..entry(0, 1.0) }, cold]));
    let sent = (0..200).filter(|_| node.serve(SAFE, 5.0).is_some()).count();
    assert!(sent <= 50, "a second's budget is 3 times 15% of some 100 per second, not {sent}");
}

/// Guards against a minimum of one send per node and window: some hundred nodes that learn of a cold server
/// together overloaded it, though each kept to its own budget.
#[test]
fn many_nodes_together_do_not_push_a_cold_server_over() {
    const NODES: usize = 200;
    let mut sent = [0usize; 8];
    let set = settings();
    for number in 0..NODES {
        let own = Settings { number, nodes: NODES, ..set.clone() };
        let mut node = Node::new_seeded(own, (0..8).map(|id| entry(id, 1.0)).collect(), number as u64);
        for _ in 0..40 {
            node.serve(SAFE, 5.0);
            node.wait(245.0);
        }
        let cold = ServerEntry { started: Some(node.now), ..entry(3, 1.0) };
        node.event(Event::ListChange(vec![cold]));
        for _ in 0..4 {
            sent[node.serve(SAFE, 5.0).expect("sent").0 as usize] += 1;
            node.wait(245.0);
        }
    }
    let budget = set.rules.fall_multiple * set.rules.cold_share * sent[7] as f64;
    assert!(sent[3] > 0 && (sent[3] as f64) < 0.7 * budget, "{sent:?}, budget {budget}");
}

/// Guards against an overload in which each server, ejected once for timeouts, returned with a cold budget.
#[test]
fn a_slow_server_is_not_cold_on_its_return_but_one_that_was_down_is() {
    for (outcome, took, cold) in [
        (Outcome::TimedOut, 100.0, false),
        (Outcome::ConnectFailed, 50.0, false),
        (Outcome::ConnectFailed, 0.3, true),
        // Servers close connections on requests that they can't parse: one broken connection is no crash.
        (Outcome::Reset, 20.0, false),
    ] {
        let mut node = Node::fleet(settings(), 4);
        for _ in 0..40 {
            node.serve(SAFE, 5.0);
        }
        let mut probed = false;
        for _ in 0..60 {
            let (id, actions) = node.request(SAFE);
            node.now += 5.0;
            if sent_to(&actions) == Some(ServerId(2)) && !probed {
                node.now += took;
                // The suspicion is checked at once, and both probes confirm it.
                let mut actions = node.end(id, outcome);
                for _ in 0..2 {
                    if actions.contains(&Action::Probe(ServerId(2))) {
                        actions = node.event(Event::Probed { server: ServerId(2), outcome, took });
                    }
                }
                node.end(id, Outcome::Done);
            } else {
                node.end(id, Outcome::Done);
            }
            probed |= node.wait(5.0).contains(&Action::Probe(ServerId(2)));
        }
        node.event(Event::Probed { server: ServerId(2), outcome: Outcome::Done, took: 1.0 });
        for _ in 0..60 {
            node.serve(SAFE, 5.0);
        }
        let sent = (0..100).filter(|_| node.serve(SAFE, 5.0) == Some(ServerId(2))).count();
        assert_eq!(sent < 9, cold, "{outcome:?} after {took}: {sent} of 100");
    }
}

/// Guards against a healthy server that breaks one new connection and then counts as cold for 24 s.
#[test]
fn a_refused_connection_that_a_probe_does_not_confirm_costs_no_turns() {
    let mut node = Node::fleet(settings(), 4);
    for _ in 0..40 {
        node.serve(SAFE, 5.0);
    }
    let (mut id, mut actions) = node.request(SAFE);
    while sent_to(&actions) != Some(ServerId(2)) {
        node.end(id, Outcome::Done);
        (id, actions) = node.request(SAFE);
    }
    assert!(node.end(id, Outcome::ConnectFailed).contains(&Action::Probe(ServerId(2))), "probed at once");
    node.end(id, Outcome::Done);
    node.event(Event::Probed { server: ServerId(2), outcome: Outcome::Done, took: 1.0 });
    let sent = (0..40).filter(|_| node.serve(SAFE, 5.0) == Some(ServerId(2))).count();
    assert!(sent >= 9, "{sent} of 40");
}

/// Guards against a network that breaks connections at random (finding page4688): all servers got cold
/// budgets and lost their turns one after the other. Without probes the next connection shows whether a
/// process is down.
#[test]
fn connections_that_break_are_no_restart_where_nothing_may_be_probed() {
    let mut settings = settings();
    settings.limits.probes = false;
    let mut node = Node::fleet(settings, 4);
    for _ in 0..40 {
        node.serve(SAFE, 5.0);
    }
    for outcome in [Outcome::Unwritten, Outcome::Reset] {
        // Two attempts at once on each server.
        let requests: Vec<_> = (0..8).map(|_| node.request(SAFE).0).collect();
        node.now += 0.2;
        for id in requests {
            node.end(id, outcome);
            node.end(id, Outcome::Done);
        }
        for server in node.balancer.status().servers {
            assert!(!server.ejected && server.warmth >= 1.0, "{outcome:?}: {server:?}");
        }
    }
    // A server that is down refuses connections: it is ejected at once, and cold when it returns.
    let (mut id, mut actions) = node.request(SAFE);
    while sent_to(&actions) != Some(ServerId(2)) {
        node.end(id, Outcome::Done);
        (id, actions) = node.request(SAFE);
    }
    node.end(id, Outcome::ConnectFailed);
    node.end(id, Outcome::Done);
    node.wait(1000.0);
    let server = node.balancer.status().servers[2].clone();
    assert!(server.server == ServerId(2) && server.warmth < 1.0, "{server:?}");
}

/// Guards against machines that stop responding: connection attempts to them end with the attempt's timeout.
#[test]
fn a_server_that_never_accepts_connections_is_ejected() {
    let mut node = Node::fleet(settings(), 4);
    for _ in 0..12 {
        let (id, mut actions) = node.request(SAFE);
        while let Some(server) = sent_to(&actions) {
            node.now += if server == ServerId(2) { 95.0 } else { 5.0 };
            let silent = server == ServerId(2);
            actions = node.end(id, if silent { Outcome::Unwritten } else { Outcome::Done });
        }
    }
    let server = node.balancer.status().servers[2].clone();
    assert!(server.ejected && server.warmth >= 1.0, "{server:?}");
}

/// Guards against clients with short deadlines, whose timeouts ejected the whole fleet.
#[test]
fn clients_in_a_hurry_eject_no_server() {
    for (left, ejected) in [(30.0, false), (CLIENT_TIMEOUT, true)] {
        let mut node = Node::fleet(settings(), 4);
        for _ in 0..12 {
            let (id, mut actions) = node.request_with(SAFE, None, left);
            while sent_to(&actions).is_some() {
                node.now += left.min(90.0);
                actions = node.end(id, Outcome::TimedOut);
            }
        }
        assert_eq!(node.balancer.status().servers.iter().any(|s| s.ejected), ejected, "{left} ms left");
    }
}

/// Guards against servers of a bad release that reject one class (finding page5425): they lost the turns of
/// all classes.
#[test]
fn a_server_that_turns_one_class_away_keeps_the_others() {
    let mut node = Node::fleet(settings(), 4);
    let mut turn = |class: usize, reject: bool| {
        let (id, actions) = node.request(class);
        node.now += 5.0;
        let to_2 = sent_to(&actions) == Some(ServerId(2));
        if to_2 && reject {
            assert_ne!(sent_to(&node.end(id, Outcome::Full)), Some(ServerId(2)), "sent elsewhere");
        }
        node.end(id, Outcome::Done);
        (to_2, node.balancer.status().servers[2].limit)
    };
    for _ in 0..20 {
        turn(SAFE, true);
        turn(UNSAFE, false);
    }
    let mut sent = [0, 0];
    for _ in 0..100 {
        sent[0] += usize::from(turn(SAFE, true).0);
        let (to_2, limit) = turn(UNSAFE, false);
        assert!(limit >= 1.0, "{limit}");
        sent[1] += usize::from(to_2);
    }
    assert!(sent[0] <= 5 && sent[1] >= 24, "{sent:?} of 100 each");
    // The server accepts the class again, which the next trial shows.
    for _ in 0..600 {
        turn(SAFE, false);
    }
    let sent = (0..100).filter(|_| turn(SAFE, false).0).count();
    assert!(sent >= 24, "{sent} of 100");
}

/// Guards against a network that loses responses of all servers (finding page5425). An overdue attempt is
/// hedged on another server if its class may run again; without losses, a request that is merely slow is not.
#[test]
fn a_missed_answer_has_a_second_copy_only_where_answers_get_lost() {
    for (class, lose, copied) in [(SAFE, true, true), (SAFE, false, false), (UNSAFE, true, false)] {
        let mut node = Node::fleet(settings(), 6);
        for _ in 0..60 {
            node.serve(class, 5.0);
        }
        for _ in 0..if lose { 8 } else { 0 } {
            let (id, _) = node.request(class);
            node.now += 90.0;
            let mut actions = node.end(id, Outcome::Unheard);
            while sent_to(&actions).is_some() {
                actions = node.end(id, Outcome::Done);
            }
        }
        let (id, first) = node.request(class);
        let later = node.wait(60.0);
        assert_eq!(sends(&later), if copied { vec![id] } else { vec![] }, "class {class}, lost {lose}");
        if copied {
            assert_ne!(sent_to(&later), sent_to(&first));
            let served = node.end(id, Outcome::Done);
            assert!(served.contains(&Action::Cancel { id, attempt: 0 }), "{served:?}");
        }
    }
}

/// A request whose body is relayed while it arrives can't be sent again once any part of it was sent,
/// whatever its class permits: no hedge and no retry. An outcome that proves that it never ran still gives a
/// refusal.
#[test]
fn a_request_that_can_not_be_replayed_is_not_sent_twice() {
    let request = |node: &mut Node, class| {
        let id = RequestId(1_000_000);
        let relayed = Event::Request {
            id,
            class,
            tenant: None,
            deadline: node.now + CLIENT_TIMEOUT,
            non_replayable: true,
        };
        (id, node.event(relayed))
    };
    for class in [SAFE, UNSAFE] {
        for (outcome, resent, refused) in [
            (Outcome::ConnectFailed, true, false),
            (Outcome::Unwritten, false, true),
            (Outcome::NotSent, false, true),
            (Outcome::Full, false, true),
            (Outcome::Error, false, class == SAFE),
        ] {
            let mut node = Node::fleet(settings(), 6);
            let (id, _) = request(&mut node, class);
            let then = node.end(id, outcome);
            assert_eq!(sent_to(&then).is_some(), resent, "{outcome:?}");
            let answer = |a: &Action| matches!(a, Action::Refuse { id: of, .. } if *of == id);
            assert_eq!(then.iter().any(answer), refused, "{outcome:?} in class {class}: {then:?}");
        }
    }
    let mut node = Node::fleet(settings(), 6);
    for _ in 0..60 {
        node.serve(SAFE, 5.0);
    }
    for _ in 0..8 {
        let (id, _) = node.request(SAFE);
        node.now += 90.0;
        let mut actions = node.end(id, Outcome::Unheard);
        while sent_to(&actions).is_some() {
            actions = node.end(id, Outcome::Done);
        }
    }
    request(&mut node, SAFE);
    let later = node.wait(60.0);
    assert!(sends(&later).is_empty(), "responses get lost, and it is not hedged: {later:?}");
}

/// Where all servers reject a class there is no better server: requests are still tried, and answered in
/// time.
#[test]
fn a_class_that_all_servers_turn_away_is_still_tried() {
    let mut node = Node::fleet(settings(), 2);
    for _ in 0..12 {
        let (id, actions) = node.request(SAFE);
        assert!(sent_to(&actions).is_some());
        let mut actions = node.end(id, Outcome::Full);
        while sent_to(&actions).is_some() {
            actions = node.end(id, Outcome::Full);
        }
        assert!(refused(&actions, id) || refused(&node.wait(500.0), id));
    }
    assert!(node.serve(SAFE, 5.0).is_some());
}

/// Guards against a zone that is cut off, with more than half of the fleet, all of which refuses connections
/// (incident i0ddaf6).
#[test]
fn refused_connections_eject_without_a_cap() {
    let mut node = Node::fleet(settings(), 4);
    for _ in 0..3 {
        let (id, actions) = node.request(SAFE);
        let mut server = sent_to(&actions).expect("sent");
        while server.0 != 3 {
            server = sent_to(&node.end(id, Outcome::ConnectFailed)).expect("resent");
        }
        node.end(id, Outcome::Done);
    }
    for _ in 0..10 {
        assert_eq!(node.serve(SAFE, 1.0), Some(ServerId(3)));
    }
}

/// Guards against overload: requests beyond the limit wait at the node, not at a slow server.
#[test]
fn a_server_at_its_limit_is_skipped() {
    let mut node = Node::fleet(settings(), 2);
    let mut request = || {
        node.now += 0.5;
        node.request(SAFE)
    };
    let sent: Vec<_> = (0..12).map(|_| request()).collect();
    let to = |s: u64| sent.iter().filter(|(_, a)| sent_to(a) == Some(ServerId(s))).count();
    assert_eq!((to(0), to(1)), (4, 4), "8 per server, divided among 2 nodes");
    let queued = sent[8].0;
    node.now += 10.0;
    assert!(sent_to(&node.end(sent[0].0, Outcome::Done)).is_some(), "a queued request is sent");
    assert!(refused(&node.wait(30.0), queued), "the rest is refused early");
}

/// Guards against a limit of at least one attempt for each of some twenty nodes: a server that slowed down
/// was overloaded until it failed, and then its neighbours (site archive-edinburgh, big-1).
#[test]
fn a_slow_server_gets_pauses_where_many_nodes_share_it() {
    let mut node = Node::fleet(Settings { nodes: 300, ..settings() }, 60);
    let mut request = |slow: Option<u64>| {
        node.wait(60.0);
        let (id, mut actions) = node.request(SAFE);
        while sent_to(&actions).is_none() && !refused(&actions, id) {
            actions = node.wait(2.0);
        }
        let server = sent_to(&actions).expect("soon ready");
        node.now += if slow == Some(server.0) { 60.0 } else { 5.0 };
        node.end(id, Outcome::Done);
        server.0
    };
    let normal: Vec<_> = (0..400).map(|_| request(None)).collect();
    let slow = normal[399];
    let of = |turns: &[u64]| turns.iter().filter(|s| **s == slow).count();
    let after: Vec<_> = (0..80).map(|_| request(Some(slow))).collect();
    assert!(of(&normal[320..]) >= 15 && of(&after) <= 14, "{} and then {}", of(&normal[320..]), of(&after));
    assert!(of(&after) >= 3, "it is still tried: {}", of(&after));
}

/// Guards against overload: a request served after a long wait has lost the time that it needed.
#[test]
fn a_lasting_overload_shortens_the_hold() {
    let mut node = Node::fleet(settings(), 0);
    let refused_after = |node: &mut Node| {
        let (id, _) = node.request(SAFE);
        let start = node.now;
        while !refused(&node.wait(2.0), id) && !refused(&node.request(SAFE).1, id) {
            assert!(node.now < start + 100.0, "never refused");
        }
        node.now - start
    };
    let burst = refused_after(&mut node);
    for _ in 0..100 {
        node.wait(2.0);
        node.request(SAFE);
    }
    let lasting = refused_after(&mut node);
    assert!(burst >= 20.0 && lasting <= burst / 2.0 + 5.0, "{burst} and then {lasting}");
}

/// Guards against repeats of refused requests that counted as new: a fifth of all requests was served too
/// late to be of use (incident i72d528).
#[test]
fn a_repeat_counts_from_the_first_asking_where_its_deadline_tells() {
    // One repeat is expected for each refusal.
    let refuse = |node: &mut Node, servers: u64| {
        node.event(Event::List { entries: Vec::new(), saved: false });
        let (id, _) = node.request(UNSAFE);
        assert!(refused(&node.wait(60.0), id));
        node.event(Event::List { entries: (0..servers).map(|id| entry(id, 1.0)).collect(), saved: false });
    };
    let timeout_after = |refusals: usize, class, left| {
        let mut node = Node::fleet(settings(), 3);
        node.serve(class, 10.0);
        (0..refusals).for_each(|_| refuse(&mut node, 3));
        let (_, actions) = node.request_with(class, None, left);
        actions.iter().find_map(|a| if let Action::Send { timeout, .. } = a { *timeout } else { None })
    };
    let timeout = |class, left| timeout_after(1, class, left);
    let (new, back) =
        (timeout(UNSAFE, CLIENT_TIMEOUT).expect("sent"), timeout(UNSAFE, CLIENT_TIMEOUT - 60.0));
    assert_eq!(back, Some(new - 60.0));
    // Without a refusal it is a new request with a short deadline.
    assert_eq!(timeout_after(0, UNSAFE, CLIENT_TIMEOUT - 60.0), Some(new));
    assert_eq!(timeout_after(0, UNSAFE, 20.0), Some(20.0));
    // Clients may give up a try of a safe request for another: each try has a deadline of its own.
    assert_eq!(timeout(SAFE, CLIENT_TIMEOUT - 60.0), timeout(SAFE, CLIENT_TIMEOUT));

    // A repeat is queued no longer than a response may be of use.
    let mut node = Node::fleet(settings(), 1);
    refuse(&mut node, 1);
    while sent_to(&node.request(UNSAFE).1).is_some() {}
    let (old, _) = node.request_with(UNSAFE, None, CLIENT_TIMEOUT - 85.0);
    let (fresh, _) = node.request_with(UNSAFE, None, CLIENT_TIMEOUT);
    let actions = node.wait(12.0);
    assert!(refused(&actions, old) && !refused(&actions, fresh), "{actions:?}");
}

/// One refusal makes one repeat expected. When each request that was taken for a repeat and refused made
/// another one expected, requests with shorter deadlines than others of the class were refused for as long as
/// the longest deadline.
#[test]
fn one_refusal_leads_to_at_most_one_refusal_for_a_short_deadline() {
    for (longest, left) in [(CLIENT_TIMEOUT, CLIENT_TIMEOUT - 200.0), (600_000.0, CLIENT_TIMEOUT)] {
        let mut node = Node::fleet(settings(), 3);
        let (id, _) = node.request_with(UNSAFE, None, longest);
        node.end_after(id, Outcome::Done, 10.0);
        node.event(Event::List { entries: Vec::new(), saved: false });
        let (id, _) = node.request_with(UNSAFE, None, longest);
        assert!(refused(&node.wait(60.0), id));
        node.event(Event::List { entries: (0..3).map(|id| entry(id, 1.0)).collect(), saved: false });
        let mut refusals = 0;
        for _ in 0..40 {
            node.now += 20.0;
            let (id, actions) = node.request_with(UNSAFE, None, left);
            if refused(&actions, id) {
                refusals += 1;
            } else {
                assert!(sent_to(&actions).is_some(), "{actions:?}");
                node.end_after(id, Outcome::Done, 10.0);
            }
        }
        assert_eq!(refusals, 1, "of 40 with {left} ms left, where others have {longest}");
    }
}

/// Guards against overload: first come, first served starved the classes with short latency targets.
#[test]
fn the_queued_request_of_most_worth_is_sent_first() {
    let mut node = Node::fleet(settings(), 1);
    let sent: Vec<_> = (0..4).map(|_| node.request(SAFE).0).collect();
    let (poor, _) = node.request(SAFE);
    let (rich, _) = node.request(UNSAFE);
    node.now += 10.0;
    let actions = node.end(sent[0], Outcome::Done);
    assert!(actions.iter().any(|a| matches!(a, Action::Send { id, .. } if *id == rich)), "{actions:?}");
    assert!(!actions.iter().any(|a| matches!(a, Action::Send { id, .. } if *id == poor)));
}

/// Guards against a class that is slow on one machine kind and takes the capacity there from one that is fast
/// (site h0a6c65).
#[test]
fn a_turn_goes_to_the_queued_class_that_suits_the_machine_kind() {
    let mut two = settings();
    two.classes[KEYED] = Class { effect: Effect::Safe, ..two.classes[SAFE].clone() };
    let kinds: Vec<_> = (0..2).map(|id| ServerEntry { kind: id, ..entry(id, 1.0) }).collect();
    for server in [0, 1] {
        let mut node = Node::new(two.clone(), kinds.clone());
        for class in [SAFE, SAFE, KEYED, KEYED].repeat(40) {
            let (id, actions) = node.request(class);
            let suits = sent_to(&actions) == Some(ServerId(class as u64));
            node.now += if suits { 10.0 } else { 30.0 };
            node.end(id, Outcome::Done);
        }
        let mut at_server = None;
        loop {
            let (id, actions) = node.request(SAFE);
            let Some(to) = sent_to(&actions) else { break };
            at_server = if to.0 == server { Some(id) } else { at_server };
        }
        node.request(SAFE);
        let queued = [node.request(SAFE).0, node.request(KEYED).0, node.request(SAFE).0];
        node.now += 1.0;
        let actions = node.end(at_server.expect("one was sent there"), Outcome::Done);
        let next =
            actions.iter().find_map(|a| if let Action::Send { id, .. } = a { Some(*id) } else { None });
        assert_eq!(next == Some(queued[1]), server == 1, "turn of {server}: {actions:?}");
    }
}

#[test]
fn a_tenant_beyond_its_share_waits_behind_one_within() {
    let tenants = vec![Tenant { quota_per_s: 4.0 }, Tenant { quota_per_s: 1000.0 }];
    let mut node = Node::fleet(Settings { tenants, ..settings() }, 1);
    let sent: Vec<_> = (0..4).map(|_| node.request_for(SAFE, Some(0)).0).collect();
    let (beyond, _) = node.request_for(SAFE, Some(0));
    let (within, _) = node.request_for(SAFE, Some(1));
    node.now += 10.0;
    let actions = node.end(sent[0], Outcome::Done);
    assert!(actions.iter().any(|a| matches!(a, Action::Send { id, .. } if *id == within)), "{actions:?}");
    assert!(!actions.iter().any(|a| matches!(a, Action::Send { id, .. } if *id == beyond)));
}

/// Otherwise clients with an unknown tenant name would be served before all tenants beyond their shares.
#[test]
fn a_request_without_a_tenant_has_no_share_where_there_are_tenants() {
    for tenants in [vec![Tenant { quota_per_s: 1000.0 }], Vec::new()] {
        let shared = !tenants.is_empty();
        let mut node = Node::fleet(Settings { tenants, ..settings() }, 1);
        let in_flight: Vec<_> = (0..4).map(|_| node.request_for(SAFE, Some(0)).0).collect();
        let [nobody, out_of_range, tenant] = [None, Some(7), Some(0)].map(|of| node.request_for(SAFE, of).0);
        let (last, _) = node.request_for(SAFE, None);
        node.now += 10.0;
        let sent = sends(&node.end(in_flight[0], Outcome::Done));
        // Of equal worth the newest is sent first.
        assert_eq!(sent.first(), Some(if shared { &tenant } else { &last }), "{sent:?}");
        assert!(!sent.contains(&nobody) && !sent.contains(&out_of_range), "{sent:?}");
    }
}

/// Guards against a fifth of all attempts being cut off while the mean, with most responses fast, is within
/// the target (incident i5f50fa).
#[test]
fn a_timed_out_attempt_weighs_more_than_a_late_response() {
    let sends_after = |outcome, took| {
        let mut node = Node::fleet(settings(), 8);
        for _ in 0..16 {
            node.serve(UNSAFE, 5.0);
        }
        let sent: Vec<_> = (0..16).map(|_| node.request(UNSAFE).0).collect();
        node.now += 5.0;
        for id in &sent[..12] {
            node.end(*id, Outcome::Done);
        }
        node.now += took - 5.0;
        for id in &sent[12..] {
            node.end(*id, outcome);
        }
        (0..40).filter(|_| sent_to(&node.request(UNSAFE).1).is_some()).count()
    };
    assert!(sends_after(Outcome::TimedOut, 98.0) < sends_after(Outcome::Done, 101.0));
}

/// Guards against a slowdown of the whole fleet: each limit took ten seconds to learn of it from its own few
/// responses, three quarters of which were late (incident i19f915).
#[test]
fn a_fleet_that_slows_down_as_a_whole_soon_gets_less() {
    let mut node = Node::fleet(settings(), 10);
    let taken = |node: &mut Node| {
        let requests: Vec<_> = (0..60).map(|_| node.request(SAFE)).collect();
        requests
            .into_iter()
            .filter(|(_, actions)| sent_to(actions).is_some())
            .map(|(id, _)| id)
            .collect::<Vec<_>>()
    };
    let before = taken(&mut node);
    assert_eq!(before.len(), 40);
    node.wait(30.0);
    node.now += 65.0;
    for id in before {
        node.end(id, Outcome::TimedOut);
    }
    let after = taken(&mut node);
    assert!(after.len() <= 5, "{} attempts after one late response each", after.len());
    let mut in_flight = after;
    for _ in 0..400 {
        node.now += 10.0;
        for id in std::mem::take(&mut in_flight) {
            let actions = node.end(id, Outcome::Done);
            in_flight.extend(sends(&actions));
        }
        let (_, actions) = node.request(SAFE);
        in_flight.extend(sends(&actions));
    }
    node.now += 10.0;
    for id in in_flight {
        node.end(id, Outcome::Done);
    }
    let recovered = taken(&mut node).len();
    assert!(recovered > 5, "{recovered} attempts after fast responses");
}

/// Guards against refusals that went on long after a slowdown had ended (incident i19f915).
#[test]
fn a_server_that_recovers_is_soon_used_again() {
    let mut node = Node::fleet(settings(), 1);
    for _ in 0..60 {
        if node.serve_queued(SAFE, 100.0).is_none() {
            node.wait(100.0);
        }
    }
    let served = (0..100)
        .filter(|_| {
            let served = node.serve_queued(SAFE, 5.0).is_some();
            node.wait(30.0);
            served
        })
        .count();
    assert!(served > 40, "{served} of 100");
}

/// Guards against limits that fell to pauses between attempts though responses were still in time (incident
/// i6a66ac).
#[test]
fn responses_in_time_leave_one_attempt_at_a_time() {
    let mut node = Node::fleet(settings(), 1);
    for _ in 0..100 {
        node.serve(SAFE, 90.0);
    }
    assert!((0..20).all(|_| node.serve(SAFE, 90.0).is_some()));
}

/// A change counts as known 6 s after discovery could be reached, whatever happened to earlier calls, and
/// pauses take from the time for the calls themselves. Pauses have jitter, so that nodes do not call
/// together, and none is so short that calls follow immediately.
#[test]
fn discovery_is_called_again_after_short_pauses() {
    // Each call fails at once, or after a wait.
    for (waits, within) in [(0.0, 195.0..=405.0), (2000.0, 49.0..=105.0)] {
        let mut all = Vec::new();
        for seed in 0..8 {
            let requests = Settings { discovery: Discovery::Polled, ..settings() };
            let mut node = Node::new_seeded(requests, vec![entry(0, 1.0), entry(1, 1.0)], seed);
            for _ in 0..10 {
                // The first call starts with the first list, before this loop.
                node.wait(waits);
                node.event(Event::ListFailed(ListFailure::Broken));
                let start = node.now;
                while !node.wait(1.0).contains(&Action::Subscribe) {
                    assert!(node.now - start < 10_000.0, "never called again");
                }
                all.push(node.now - start);
                assert_eq!(node.serve(SAFE, 1.0).map(|_| ()), Some(()), "the old list is used");
            }
            node.event(Event::ListChange(Vec::new()));
            assert!(!node.wait(30_000.0).contains(&Action::Subscribe), "watching: no more calls");
        }
        let min = all.iter().copied().fold(f64::INFINITY, f64::min);
        let max = all.iter().copied().fold(0.0, f64::max);
        assert!(within.contains(&min) && within.contains(&max), "{all:?}");
        assert!(max > 1.7 * min, "jitter: {all:?}");
    }
}

#[test]
fn invalid_settings_are_refused() {
    type Invalidate = fn(&mut Settings);
    let cases: [(&str, Invalidate); 6] = [
        ("nodes: ", |s| s.nodes = usize::MAX),
        ("no classes", |s| s.classes.clear()),
        ("own number", |s| s.number = s.nodes),
        ("negative", |s| s.rules.fall_window = -1.0),
        ("share", |s| s.rules.cold_share = 1.5),
        ("attempts", |s| s.limits.attempts = 0),
    ];
    for (words, invalidate) in cases {
        let mut invalid = settings();
        invalidate(&mut invalid);
        let error = Balancer::new(invalid, 0).err().expect(words).to_string();
        assert!(error.contains(words), "{error}");
    }
}

/// Guards rule 1: the duplicate was answered as failed, and the original was sent or answered again.
#[test]
fn a_duplicate_request_id_changes_nothing() {
    let mut node = Node::fleet(settings(), 0);
    let (id, _) = node.request(UNSAFE);
    let duplicate = Event::Request {
        id,
        class: UNSAFE,
        tenant: None,
        deadline: node.now + CLIENT_TIMEOUT,
        non_replayable: false,
    };
    let actions = node.event(duplicate.clone());
    assert!(!failed(&actions, id) && !refused(&actions, id), "{actions:?}");
    node.event(Event::List { entries: vec![entry(0, 1.0)], saved: false });
    let mut all = node.event(Event::Timer);
    all.extend(node.event(duplicate));
    all.extend(node.wait(600.0));
    assert!(sends(&all).len() <= 1, "{all:?}");
    let answers = all
        .iter()
        .filter(|a| matches!(a, Action::Fail(x) | Action::Refuse { id: x, .. } if *x == id))
        .count();
    assert!(answers <= 1, "{all:?}");
}

#[test]
fn invalid_deadlines_and_weights_neither_panic_nor_lose_an_answer() {
    for left in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -50.0, 0.0] {
        for servers in [0, 3] {
            let weights = [f64::NAN, f64::INFINITY, 0.0];
            let fleet = (0..servers).map(|id| entry(id, weights[id as usize])).collect();
            let mut node = Node::new(settings(), fleet);
            let (id, mut actions) = node.request_with(UNSAFE, None, left);
            actions.extend(node.wait(200.0));
            let answered = refused(&actions, id) || failed(&actions, id);
            assert!(answered || sent_to(&actions).is_some(), "{left} with {servers}: {actions:?}");
            assert!(servers > 0 || answered, "{left}: {actions:?}");
        }
    }
}

#[test]
fn after_a_clock_jump_queued_requests_are_answered() {
    let mut node = Node::fleet(settings(), 0);
    let (id, _) = node.request(SAFE);
    node.now += 1e9;
    let actions = node.event(Event::Timer);
    assert!(refused(&actions, id), "{actions:?}");
}

/// Guards against some forty nodes whose attempts to check a slow server were alone enough to keep it slow
/// (incident i3e6a64).
#[test]
fn the_more_nodes_share_a_slow_server_the_less_each_sends() {
    let sends_of = |nodes| {
        let mut node = Node::fleet(Settings { nodes, ..settings() }, 60);
        let (mut count, start) = (0, node.now);
        while node.now < start + 60_000.0 {
            let (id, mut actions) = node.request(SAFE);
            while sent_to(&actions).is_none() && !refused(&actions, id) {
                actions = node.wait(5.0);
            }
            if sent_to(&actions).is_some() {
                count += 1;
                node.now += 150.0;
                node.end(id, Outcome::Done);
            }
        }
        count
    };
    let (few, many) = (sends_of(240), sends_of(2400));
    assert!(many > 5 && many < few / 2, "{few} and {many} in a minute");
}

#[test]
fn with_all_servers_draining_requests_are_refused_in_time() {
    let mut node = Node::fleet(settings(), 3);
    let draining = (0..3).map(|id| ServerEntry { state: ListedState::Draining, ..entry(id, 1.0) }).collect();
    node.event(Event::List { entries: draining, saved: false });
    let (id, mut actions) = node.request(UNSAFE);
    actions.extend(node.wait(100.0));
    assert!(sent_to(&actions).is_none() && refused(&actions, id), "{actions:?}");
}

#[test]
fn late_or_unexpected_events_change_nothing() {
    let mut node = Node::fleet(settings(), 2);
    let (id, _) = node.request(SAFE);
    node.end(id, Outcome::Done);
    let quiet = |actions: &[Action]| actions.iter().all(|a| matches!(a, Action::SetTimer(_)));
    assert!(quiet(&node.event(Event::ClientGone(id))), "the client left as the request ended");
    assert!(quiet(&node.event(Event::ListFailed(ListFailure::Broken))), "a pushed list is not polled");
    let (server, outcome) = (ServerId(1), Outcome::TimedOut);
    let late = Event::Ended { id, attempt: 0, server, outcome, took: 1.0, finished: false };
    assert!(quiet(&node.event(late)), "an attempt ends once");
    assert!(quiet(&node.event(Event::List { entries: Vec::new(), saved: false })));
    let (id, _) = node.request(SAFE);
    assert!(refused(&node.wait(60.0), id), "an empty list refuses in time");
}

/// Guards against fast responses that raised the limits of some thirty nodes to one each within seconds:
/// together more than the server they shared could take.
#[test]
fn fast_responses_raise_a_shared_limit_slowly_above_its_start() {
    let mut node = Node::fleet(Settings { nodes: 1000, ..settings() }, 60);
    let start = node.now;
    let served = (0..30).filter(|_| node.serve_queued(SAFE, 5.0).is_some()).count();
    let each = (node.now - start) / served as f64;
    assert!(served >= 10 && each > 9.0, "{served} served, one every {each} ms");
}

/// A refusal has a retry-after: a fraction of the latency target, and no more than the limit that clients
/// follow.
#[test]
fn a_refusal_has_a_retry_after() {
    let retry_after = |max: f64| {
        let mut set = settings();
        set.limits.max_retry_after = max;
        let mut node = Node::new(set, Vec::new());
        let (_, actions) = node.request_with(SAFE, None, 1.0);
        actions.iter().find_map(|a| {
            if let Action::Refuse { stay_away, .. } = a {
                Some(*stay_away)
            } else {
                None
            }
        })
    };
    let free = retry_after(1000.0).expect("refused: no server, and no time");
    assert!(free > 0.0 && free < 100.0, "{free}");
    assert_eq!(retry_after(1.0), Some(1.0));
    assert_eq!(retry_after(0.0), Some(0.0));
}

/// A keyed request bound to a cell with a single server is retried there, instead of being queued for a
/// server that may never get it.
#[test]
fn a_keyed_request_is_retried_on_the_only_server_of_its_cell() {
    let mut node = Node::new(settings(), vec![entry(1, 1.0), entry(2, 1.0)]);
    let (id, actions) = node.request(KEYED);
    let to = |actions: &[Action]| {
        actions.iter().find_map(|a| if let Action::Send { server, .. } = a { Some(*server) } else { None })
    };
    let first = to(&actions).expect("sent");
    node.now += 10.0;
    let actions = node.end(id, Outcome::Error);
    assert_eq!(to(&actions), Some(first));
}

/// A server without any capacity at its start still warms up, and then has its turns.
#[test]
fn a_server_that_starts_without_capacity_has_its_turns_once_warm() {
    let mut set = settings();
    set.rules.cold_share = 0.0;
    let mut node = Node::fleet(set.clone(), 2);
    let started = Some(node.now);
    node.event(Event::ListChange(vec![ServerEntry { started, ..entry(2, 1.0) }]));
    for _ in 0..100 {
        node.now += set.rules.warm_within / 50.0;
        node.serve(SAFE, 1.0);
    }
    let sent = (0..30).filter(|_| node.serve(SAFE, 1.0) == Some(ServerId(2))).count();
    assert_eq!(sent, 10, "of 30");
}

/// A connection may take its whole timeout before a retry is written: the servers must still remember the key
/// then.
#[test]
fn a_keyed_repeat_leaves_time_for_its_connection() {
    for (took, resent) in [(40.0, true), (60.0, false)] {
        let mut set = settings();
        set.classes[KEYED].aim = 2000.0;
        set.classes[KEYED].effect = Effect::Keyed { scope: DedupScope::All, memory: 100.0 };
        assert_eq!(set.limits.connect_timeout, 50.0);
        let mut node = Node::fleet(set, 4);
        let (id, _) = node.request_with(KEYED, None, 2000.0);
        node.now += took;
        let actions = node.end(id, Outcome::Error);
        assert_eq!(sent_to(&actions).is_some(), resent, "failed after {took} ms: {actions:?}");
    }
}

/// A keyed request that is queued for the only server that may retry it is answered once that is no longer
/// possible, not at its client's deadline.
#[test]
fn a_keyed_request_that_may_no_longer_be_repeated_is_answered_at_once() {
    let mut set = settings();
    for class in &mut set.classes {
        class.aim = 2000.0;
    }
    set.classes[KEYED].effect = Effect::Keyed { scope: DedupScope::Cell, memory: 300.0 };
    set.goal.worst_class = 0.0;
    let mut node = Node::fleet(set, 2);
    let (id, actions) = node.request_with(KEYED, None, 2000.0);
    assert!(sent_to(&actions).is_some());
    // The only server of its cell is at its limit when the request fails there.
    for _ in 0..12 {
        node.request_with(UNSAFE, None, 2000.0);
    }
    node.now += 20.0;
    let actions = node.end(id, Outcome::Error);
    assert!(!sends(&actions).contains(&id) && !failed(&actions, id), "it is queued");
    assert!(!failed(&node.wait(200.0), id), "220 ms after its send, of 250");
    assert!(failed(&node.wait(150.0), id), "370 ms after it");
}

/// A probe that is pending when a new process of the server is listed belongs to the previous one: it ejects
/// nothing.
#[test]
fn a_probe_of_the_process_before_ejects_no_new_one() {
    for outcome in [Outcome::ConnectFailed, Outcome::TimedOut, Outcome::NotSent] {
        let mut node = Node::fleet(settings(), 3);
        let (id, actions) = node.request(UNSAFE);
        let server = sent_to(&actions).expect("sent");
        let actions = node.end(id, Outcome::ConnectFailed);
        assert!(actions.contains(&Action::Probe(server)), "{actions:?}");
        node.now += 5.0;
        let started = Some(node.now);
        node.event(Event::ListChange(vec![ServerEntry { started, ..entry(server.0, 1.0) }]));
        node.event(Event::Probed { server, outcome, took: 5.0 });
        let status = node.balancer.status();
        let one = status.servers.iter().find(|s| s.server == server).expect("it is up");
        assert!(!one.ejected, "{outcome:?}");
    }
}

/// Where the list has no start times, each crash that a node observes itself is followed by a cold start.
#[test]
fn a_server_that_dies_a_second_time_is_cold_a_second_time() {
    let mut set = settings();
    set.limits.probes = false;
    let mut node = Node::fleet(set.clone(), 4);
    let crash = |node: &mut Node| {
        let (mut id, mut actions) = node.request(SAFE);
        while sent_to(&actions) != Some(ServerId(2)) {
            node.end(id, Outcome::Done);
            node.now += 5.0;
            (id, actions) = node.request(SAFE);
        }
        node.end(id, Outcome::ConnectFailed);
        node.end(id, Outcome::Done);
        node.wait(1000.0);
        node.balancer.status().servers[2].warmth
    };
    assert!(crash(&mut node) < 0.5);
    for _ in 0..200 {
        node.now += set.rules.warm_within / 100.0;
        node.serve(SAFE, 5.0);
    }
    assert!(node.balancer.status().servers[2].warmth >= 1.0, "warm again");
    assert!(crash(&mut node) < 0.5, "its second start is as cold as its first");
}

/// The end of an attempt, reported three times, is one failure: the server is not ejected for it.
#[test]
fn an_end_that_is_told_again_is_no_further_failure() {
    let mut node = Node::fleet(settings(), 4);
    let (id, actions) = node.request(UNSAFE);
    let server = sent_to(&actions).expect("sent");
    for _ in 0..3 {
        let outcome = Outcome::Error;
        node.event(Event::Ended { id, attempt: 0, server, outcome, took: 5.0, finished: false });
    }
    assert!(node.balancer.status().servers.iter().all(|s| !s.ejected));
}

/// The client disconnects just after the send, or as the response arrives: the attempts end, and none remains
/// in flight.
#[test]
fn what_crosses_the_clients_leaving_counts_once_and_leaves_nothing() {
    let mut node = Node::fleet(settings(), 2);
    for round in 0..20 {
        let (id, actions) = node.request(if round % 2 == 0 { UNSAFE } else { SAFE });
        let server = sent_to(&actions).expect("sent");
        let gone = node.event(Event::ClientGone(id));
        assert_eq!(gone[0], Action::Cancel { id, attempt: 0 });
        assert!(node.event(Event::ClientGone(id)).iter().all(|a| matches!(a, Action::SetTimer(_))));
        // The response arrives before the cancellation, or the attempt is cancelled.
        let outcome = if round % 4 < 2 { Outcome::Done } else { Outcome::Cancelled };
        for _ in 0..2 {
            node.event(Event::Ended { id, attempt: 0, server, outcome, took: 5.0, finished: true });
        }
        let status = node.balancer.status();
        assert_eq!((status.open, status.queued), (0, 0));
        assert!(status.servers.iter().all(|s| s.in_flight == 0 && !s.ejected), "{status:?}");
    }
    let turns: Vec<_> = (0..4).filter_map(|_| node.serve(SAFE, 5.0)).collect();
    assert!(turns[0] == turns[2] && turns[1] == turns[3] && turns[0] != turns[1], "{turns:?}");
}

/// A tenant's share is for all nodes together: each grants its own part of it.
#[test]
fn a_share_is_divided_among_the_nodes() {
    let tenants = vec![Tenant { quota_per_s: 2.0 }, Tenant { quota_per_s: 400.0 }];
    let mut node = Node::fleet(Settings { nodes: 2, tenants, ..settings() }, 1);
    let in_flight: Vec<_> = (0..4).map(|_| node.request_for(SAFE, Some(1)).0).collect();
    let [_, within, beyond] = [0, 1, 0].map(|tenant| node.request_for(SAFE, Some(tenant)).0);
    node.now += 10.0;
    let sent = sends(&node.end(in_flight[0], Outcome::Done));
    // Of equal worth the newest is sent first, which would be the last one of the first tenant.
    assert!(sent.first() == Some(&within) && !sent.contains(&beyond), "{sent:?}");
}
