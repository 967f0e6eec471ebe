//! A minimal node: one request served, one retried after a failed connection, one sent past a draining
//! server.

use magpietally_policy::*;

fn settings() -> Settings {
    Settings {
        number: 0,
        nodes: 1,
        classes: vec![Class { aim: 100.0, worth: 1.0, late_worth: 0.0, effect: Effect::Unsafe }],
        tenants: Vec::new(),
        over_share_worth: 1.0,
        goal: Goal { worth: 1.0, ..Goal::default() },
        limits: Limits {
            attempts: 3,
            second_copies: false,
            cancel: true,
            probes: true,
            connect_timeout: 50.0,
            max_retry_after: 1000.0,
        },
        rules: Rules {
            ask_within: 10_000.0,
            cold_share: 0.2,
            warm_within: 20_000.0,
            fall_multiple: 3.0,
            fall_window: 1_000.0,
            drain_grace: 750.0,
        },
        discovery: Discovery::Pushed,
        weights: Weights::Listed,
        tick: 1.0,
        ..Settings::default()
    }
}

fn entry(id: u64, state: ListedState) -> ServerEntry {
    ServerEntry { server: ServerId(id), zone: 0, cell: 0, kind: 0, state, weight: 1.0, started: None }
}

/// Feeds one event, prints the actions, and returns the server of a send.
fn feed(balancer: &mut Balancer, now: Millis, event: Event) -> Option<ServerId> {
    let mut actions = Vec::new();
    balancer.handle(now, event, &mut actions);
    for action in actions.iter().filter(|a| !matches!(a, Action::SetTimer(_))) {
        println!("{now:6.1} ms  {action:?}");
    }
    actions.iter().find_map(|a| if let Action::Send { server, .. } = a { Some(*server) } else { None })
}

fn ended(id: RequestId, attempt: usize, server: ServerId, outcome: Outcome) -> Event {
    Event::Ended { id, attempt, server, outcome, took: 12.0, finished: outcome == Outcome::Done }
}

fn main() -> Result<(), SettingsError> {
    let mut balancer = Balancer::new(settings(), 42)?;
    let entries = (1..=3).map(|id| entry(id, ListedState::Up)).collect();
    feed(&mut balancer, 0.0, Event::List { entries, saved: false });

    let request =
        |id, now| Event::Request { id, class: 0, tenant: None, deadline: now + 500.0, non_replayable: false };
    let first = RequestId(1);
    let server = feed(&mut balancer, 10.0, request(first, 10.0)).expect("three servers are ready");
    feed(&mut balancer, 22.0, ended(first, 0, server, Outcome::Done));

    // The connection of the second request fails: it never ran, so it is sent to the next server.
    let second = RequestId(2);
    let server = feed(&mut balancer, 30.0, request(second, 30.0)).expect("three servers are ready");
    let server = feed(&mut balancer, 42.0, ended(second, 0, server, Outcome::ConnectFailed)).expect("resent");
    feed(&mut balancer, 54.0, ended(second, 1, server, Outcome::Done));

    // Server 1 is draining: the third request skips it.
    feed(&mut balancer, 60.0, Event::ListChange(vec![entry(1, ListedState::Draining)]));
    let third = RequestId(3);
    let server = feed(&mut balancer, 70.0, request(third, 70.0)).expect("one server is left");
    assert_eq!(server, ServerId(3));
    feed(&mut balancer, 82.0, ended(third, 0, server, Outcome::Done));
    Ok(())
}
