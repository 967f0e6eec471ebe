use super::*;

fn server(name: &str, port: u16, state: ListedState, start_ms: Millis) -> ListedServer {
    let address = Some(SocketAddr::from(([127, 0, 0, 1], port)));
    let (zone, kind) = ("a".to_string(), "m".to_string());
    ListedServer { name: name.into(), address, zone, kind, cell: 0, state, weight: 1.0, start_ms }
}

fn apply(table: &mut ServerTable, complete: bool, servers: Vec<ListedServer>) -> Vec<ServerId> {
    table.apply(ServerListing { version: 1, complete, servers }, |_| None).1
}

#[test]
fn a_restart_under_the_same_name_makes_connections_stale_and_a_drain_removes_the_endpoint() {
    let mut table = ServerTable::default();
    let one = ServerId(stable_hash("one"));
    assert!(apply(&mut table, true, vec![server("one", 1, ListedState::Up, 0.0)]).is_empty());
    let first = table.endpoint(one).expect("it is up");
    assert_eq!(apply(&mut table, false, vec![server("one", 1, ListedState::Up, 5.0)]), [one]);
    assert_ne!(table.endpoint(one), Some(first), "another incarnation, though the address is the same");
    assert!(apply(&mut table, false, vec![server("one", 1, ListedState::Draining, 5.0)]).is_empty());
    assert_eq!(table.endpoint(one), None);
    assert_eq!(apply(&mut table, true, vec![]), [one], "a server missing from a complete list is gone");
    assert_eq!(table.len(), 0);
}

/// Discovery reports a restart in one message. The policy uses the last entry, and the table must do the
/// same: otherwise the policy would send to a server that has no endpoint.
#[test]
fn a_change_that_names_a_server_as_gone_and_as_up_again_keeps_the_last_entry() {
    let mut table = ServerTable::default();
    let one = ServerId(stable_hash("one"));
    apply(&mut table, true, vec![server("one", 1, ListedState::Up, 0.0)]);
    let gone = server("one", 1, ListedState::Gone, 0.0);
    let stale = apply(&mut table, false, vec![gone.clone(), server("one", 2, ListedState::Up, 5.0)]);
    assert!(stale.contains(&one), "the old process's connections are stale");
    assert_eq!(table.endpoint(one).map(|p| p.address.port()), Some(2));
    apply(&mut table, false, vec![server("one", 2, ListedState::Up, 5.0), gone]);
    assert_eq!((table.endpoint(one), table.len()), (None, 0));
}

#[test]
fn a_change_affects_only_the_servers_it_names() {
    let mut table = ServerTable::default();
    let all = (0..100).map(|n| server(&format!("box-{n}"), 1000 + n, ListedState::Up, 0.0));
    assert!(apply(&mut table, true, all.collect()).is_empty());
    let gone = ServerId(stable_hash("box-7"));
    assert_eq!(apply(&mut table, false, vec![server("box-7", 0, ListedState::Gone, 0.0)]), [gone, gone]);
    assert_eq!((table.known.len(), table.endpoint(gone)), (99, None));
    assert!(
        apply(&mut table, false, vec![server("box-7", 0, ListedState::Gone, 0.0)]).len() <= 1,
        "a repeated removal changes nothing"
    );
    let renamed = (0..100).map(|n| server(&format!("new-{n}"), 1000 + n, ListedState::Up, 0.0));
    assert_eq!(apply(&mut table, true, renamed.collect()).len(), 99, "a list that renames every server");
    assert_eq!(table.known.len(), 100);
}

/// The policy takes a changed start time for a restart, so an incarnation keeps the start time it got first.
#[test]
fn an_incarnation_has_one_start_time_however_often_it_is_listed() {
    let mut table = ServerTable::default();
    let mut listed_at = |now: Millis, start_ms: Millis| {
        let listing = ServerListing {
            version: 1,
            complete: true,
            servers: vec![server("one", 1, ListedState::Up, start_ms)],
        };
        table.apply(listing, |_| Some(now)).0[0].started
    };
    assert_eq!(
        [listed_at(10.0, 7.0), listed_at(20.0, 7.0), listed_at(30.0, 8.0)],
        [10.0, 10.0, 30.0].map(Some)
    );
    assert_eq!(table.entries()[0].started, Some(30.0));
}
