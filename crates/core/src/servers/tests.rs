use super::*;

fn member(name: &str, port: u16, state: ListedState, born_ms: Millis) -> ListedServer {
    let dial = Some(SocketAddr::from(([127, 0, 0, 1], port)));
    let (zone, kind) = ("a".to_string(), "m".to_string());
    ListedServer {
        name: name.into(),
        address: dial,
        zone,
        kind,
        cell: 0,
        state,
        weight: 1.0,
        start_ms: born_ms,
    }
}

fn take(members: &mut ServerTable, whole: bool, entries: Vec<ListedServer>) -> Vec<ServerId> {
    members.take(ServerListing { version: 1, complete: whole, servers: entries }, |_| None).1
}

#[test]
fn a_restart_under_the_same_name_voids_its_connections_and_a_drain_takes_its_place() {
    let mut members = ServerTable::default();
    let one = ServerId(stable_hash("one"));
    assert!(take(&mut members, true, vec![member("one", 1, ListedState::Up, 0.0)]).is_empty());
    let first = members.endpoint(one).expect("it is up");
    assert_eq!(take(&mut members, false, vec![member("one", 1, ListedState::Up, 5.0)]), [one]);
    assert_ne!(members.endpoint(one), Some(first), "another life, though the address is the same");
    assert!(take(&mut members, false, vec![member("one", 1, ListedState::Draining, 5.0)]).is_empty());
    assert_eq!(members.endpoint(one), None);
    assert_eq!(take(&mut members, true, vec![]), [one], "what a whole list leaves out is gone");
    assert_eq!(members.len(), 0);
}

/// A restart that discovery tells in one line. The policy goes by what is said last, and so must the table: it would
/// else send to a server that has no place.
#[test]
fn a_change_that_names_a_server_as_gone_and_as_back_leaves_it_in_place() {
    let mut members = ServerTable::default();
    let one = ServerId(stable_hash("one"));
    take(&mut members, true, vec![member("one", 1, ListedState::Up, 0.0)]);
    let gone = member("one", 1, ListedState::Gone, 0.0);
    let void = take(&mut members, false, vec![gone.clone(), member("one", 2, ListedState::Up, 5.0)]);
    assert!(void.contains(&one), "the old process's connections are void");
    assert_eq!(members.endpoint(one).map(|p| p.address.port()), Some(2));
    take(&mut members, false, vec![member("one", 2, ListedState::Up, 5.0), gone]);
    assert_eq!((members.endpoint(one), members.len()), (None, 0));
}

#[test]
fn a_change_touches_what_it_names() {
    let mut members = ServerTable::default();
    let all = (0..100).map(|n| member(&format!("box-{n}"), 1000 + n, ListedState::Up, 0.0));
    assert!(take(&mut members, true, all.collect()).is_empty());
    let gone = ServerId(stable_hash("box-7"));
    assert_eq!(take(&mut members, false, vec![member("box-7", 0, ListedState::Gone, 0.0)]), [gone, gone]);
    assert_eq!((members.known.len(), members.endpoint(gone)), (99, None));
    assert!(
        take(&mut members, false, vec![member("box-7", 0, ListedState::Gone, 0.0)]).len() <= 1,
        "twice is as once"
    );
    let renamed = (0..100).map(|n| member(&format!("new-{n}"), 1000 + n, ListedState::Up, 0.0));
    assert_eq!(take(&mut members, true, renamed.collect()).len(), 99, "a list that renames every box");
    assert_eq!(members.known.len(), 100);
}

/// The policy takes another start for a restart, so a life keeps the one that it was given first.
#[test]
fn a_life_has_one_start_however_often_it_is_listed() {
    let mut members = ServerTable::default();
    let mut listed_at = |now: Millis, born_ms: Millis| {
        let listing = ServerListing {
            version: 1,
            complete: true,
            servers: vec![member("one", 1, ListedState::Up, born_ms)],
        };
        members.take(listing, |_| Some(now)).0[0].started
    };
    assert_eq!(
        [listed_at(10.0, 7.0), listed_at(20.0, 7.0), listed_at(30.0, 8.0)],
        [10.0, 10.0, 30.0].map(Some)
    );
    assert_eq!(members.entries()[0].started, Some(30.0));
}
