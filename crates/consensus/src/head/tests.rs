use super::*;

pub(crate) fn item(name: &str, session: u64, id: u64) -> Item {
    let proposer = Peer { name: Name::new(name).expect("a name"), session: Session(session) };
    Item { wall_ms: 5, proposal: Proposal { topic: Topic::Policy, proposer, id, body: vec![1] } }
}

#[test]
fn a_proposal_that_comes_twice_or_late_leaves_its_place_empty_and_the_stamp_never_goes_back() {
    let mut head = Head::default();
    assert_eq!(head.apply(&item("a", 1, 2)).proposal.id, 2);
    for (session, id) in [(1, 2), (1, 1), (0, 9)] {
        assert_eq!(head.apply(&item("a", session, id)).proposal.id, 0, "{session} {id}");
    }
    assert_eq!(head.apply(&item("a", 2, 1)).proposal.id, 1);
    let early = Item { wall_ms: 0, ..item("b", 1, 1) };
    let decided = head.apply(&early);
    assert_eq!((decided.index, decided.timestamp), (Index(6), Timestamp(5)));
}

#[test]
fn names_are_bounded_and_the_one_that_proposed_longest_ago_is_forgotten() {
    let mut head = Head::default();
    for n in 0..PROPOSERS_MAX + 1 {
        head.apply(&item(&format!("n{n}"), 1, 1));
    }
    assert_eq!(head.last.len(), PROPOSERS_MAX);
    let name = |n: usize| Peer { name: Name::new(&format!("n{n}")).expect("a name"), session: Session(1) };
    assert_eq!((head.last_of(&name(0)), head.last_of(&name(1))), (0, 1));
}
