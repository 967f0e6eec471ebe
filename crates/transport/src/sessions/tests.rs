use super::*;

#[test]
fn a_later_session_replaces_an_earlier_one_and_the_table_is_bounded() {
    let peer = |name: &str, s| Peer { name: Name::new(name).expect("a name"), session: Session(s) };
    let mut sessions = SessionTable::default();
    assert_eq!(sessions.observe(&peer("a", 5)), SessionStatus::New);
    assert_eq!(sessions.observe(&peer("a", 5)), SessionStatus::Current);
    assert_eq!(sessions.observe(&peer("a", 6)), SessionStatus::New);
    assert_eq!(sessions.observe(&peer("a", 5)), SessionStatus::Older);
    for i in 1..PEERS_MAX {
        assert_eq!(sessions.observe(&peer(&format!("n{i}"), 1)), SessionStatus::New);
    }
    assert_eq!(sessions.observe(&peer("one-more", 1)), SessionStatus::TableFull);
    assert_eq!(sessions.observe(&peer("a", 7)), SessionStatus::New);
}

#[test]
fn a_fleet_of_1024_nodes_can_return_under_new_names_twice() {
    let mut sessions = SessionTable::default();
    for start in 0..3 {
        for i in 0..1024 {
            let peer =
                Peer { name: Name::new(&format!("n{i}-{start}")).expect("a name"), session: Session(1) };
            assert_eq!(sessions.observe(&peer), SessionStatus::New, "{peer}");
        }
    }
}
