use super::*;

#[test]
fn a_later_session_replaces_an_earlier_and_names_are_bounded() {
    let peer = |name: &str, s| Peer { name: Name::new(name).expect("a name"), session: Session(s) };
    let mut seen = Sessions::default();
    assert_eq!(seen.see(&peer("a", 5)), Seen::New);
    assert_eq!(seen.see(&peer("a", 5)), Seen::Same);
    assert_eq!(seen.see(&peer("a", 6)), Seen::New);
    assert_eq!(seen.see(&peer("a", 5)), Seen::Older);
    for i in 1..PEERS_MOST {
        assert_eq!(seen.see(&peer(&format!("n{i}"), 1)), Seen::New);
    }
    assert_eq!(seen.see(&peer("one-more", 1)), Seen::TooMany);
    assert_eq!(seen.see(&peer("a", 7)), Seen::New);
}

#[test]
fn a_fleet_of_1024_may_come_back_under_other_names() {
    let mut seen = Sessions::default();
    for start in 0..3 {
        for i in 0..1024 {
            let peer =
                Peer { name: Name::new(&format!("n{i}-{start}")).expect("a name"), session: Session(1) };
            assert_eq!(seen.see(&peer), Seen::New, "{peer}");
        }
    }
}
