use super::*;
use magpietally_transport::{Name, Session};

fn peer(name: &str, session: u64) -> Peer {
    Peer { name: Name::new(name).expect("valid name"), session: Session(session) }
}

fn saw(name: &str, session: u64, at_us: u64, index: u64, hash: u64) -> Record {
    let by = Some((peer("p", 1), hash));
    Record { node: peer(name, session), at_us, what: Observation::Entry { index: Index(index), hash, by } }
}

fn rules(history: &[Record]) -> Vec<&'static str> {
    check(history).iter().map(Violation::rule).collect()
}

#[test]
fn a_valid_history_violates_no_rule() {
    let mut h = vec![saw("a", 1, 1, 1, 10), saw("a", 1, 2, 2, 20), saw("b", 1, 9, 1, 10)];
    h.push(saw("a", 2, 10, 1, 10));
    h.push(Record { node: peer("b", 2), at_us: 11, what: Observation::Restored { index: Index(2) } });
    h.push(saw("b", 2, 12, 3, 30));
    h.push(Record { node: peer("a", 1), at_us: 5, what: Observation::Read { asked_us: 3, index: Index(2) } });
    assert_eq!(check(&h), []);
}

#[test]
fn each_invalid_history_is_reported_under_its_rule() {
    let read = |asked_us, index| {
        let what = Observation::Read { asked_us, index: Index(index) };
        Record { node: peer("b", 1), at_us: 99, what }
    };
    let faulty = [
        (
            vec![saw("a", 1, 1, 1, 10), saw("b", 1, 2, 1, 11)],
            "no two nodes decide different entries at one index",
        ),
        (vec![saw("a", 1, 1, 1, 10), saw("a", 2, 2, 1, 11)], "decided is never undone"),
        (vec![saw("a", 1, 1, 1, 10), saw("a", 1, 2, 3, 30)], "entries come in order without a gap"),
        (vec![saw("a", 1, 1, 1, 10), saw("a", 1, 2, 1, 10)], "entries come in order without a gap"),
        (vec![saw("a", 1, 1, 1, 10), saw("a", 1, 2, 2, 10)], "a proposal is decided at most once"),
        (vec![saw("a", 1, 1, 1, 10), read(2, 0)], "a read that claims to be current is"),
    ];
    for (history, rule) in faulty {
        assert_eq!(rules(&history), [rule]);
    }
}
