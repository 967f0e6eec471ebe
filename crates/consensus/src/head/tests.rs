use super::*;

pub(crate) fn entry(name: &str, session: u64, id: u64) -> LogEntry {
    let proposer = Peer { name: Name::new(name).expect("valid name"), session: Session(session) };
    LogEntry { wall_ms: 5, proposal: Proposal { topic: Topic::Policy, proposer, id, body: vec![1] } }
}

#[test]
fn duplicate_or_late_proposals_yield_empty_entries_and_time_never_goes_back() {
    let mut head = Head::default();
    assert_eq!(head.apply(&entry("a", 1, 2)).proposal.id, 2);
    for (session, id) in [(1, 2), (1, 1), (0, 9)] {
        assert_eq!(head.apply(&entry("a", session, id)).proposal.id, 0, "{session} {id}");
    }
    assert_eq!(head.apply(&entry("a", 2, 1)).proposal.id, 1);
    let earlier = LogEntry { wall_ms: 0, ..entry("b", 1, 1) };
    let decided = head.apply(&earlier);
    assert_eq!((decided.index, decided.timestamp), (Index(6), Timestamp(5)));
}

#[test]
fn remembered_proposers_are_bounded_and_the_oldest_is_forgotten() {
    let mut head = Head::default();
    for n in 0..PROPOSERS_MAX + 1 {
        head.apply(&entry(&format!("n{n}"), 1, 1));
    }
    assert_eq!(head.proposers.len(), PROPOSERS_MAX);
    let name =
        |n: usize| Peer { name: Name::new(&format!("n{n}")).expect("valid name"), session: Session(1) };
    assert_eq!((head.last_id(&name(0)), head.last_id(&name(1))), (0, 1));
}
