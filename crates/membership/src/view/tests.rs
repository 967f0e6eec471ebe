use super::*;
use magpietally_transport::Name;

fn entry(port: u16, name: &str, generation: u32, liveness: Liveness) -> Entry {
    Entry {
        id: NodeId {
            addr: std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, port),
            name: Name::new(name).expect("a literal name"),
            generation,
        },
        incarnation: 0,
        liveness,
    }
}

#[test]
fn the_version_grows_only_with_a_change() {
    let mut v = View::default();
    assert!(v.replace(vec![entry(2, "b", 1, Liveness::Alive), entry(1, "a", 1, Liveness::Alive)]));
    assert_eq!(v.version(), 1);
    assert!(!v.replace(vec![entry(1, "a", 1, Liveness::Alive), entry(2, "b", 1, Liveness::Alive)]));
    assert_eq!(v.version(), 1);
    assert!(v.replace(vec![entry(1, "a", 1, Liveness::Alive), entry(2, "b", 1, Liveness::Suspect)]));
    assert_eq!(v.version(), 2);
    assert_eq!(v.counts(), Counts { alive: 1, suspect: 1, dead: 0, left: 0 });
    assert_eq!(v.liveness_of("b"), Some(Liveness::Suspect));
}

#[test]
fn a_node_listed_with_several_starts_counts_once() {
    let mut v = View::default();
    let restarted = |first, second, third| {
        vec![
            entry(1, "a", 10, first),
            entry(2, "a", 20, second),
            entry(3, "a", 30, third),
            entry(4, "b", 5, Liveness::Alive),
        ]
    };
    let counts = |alive, suspect, dead, left| Counts { alive, suspect, dead, left };
    v.replace(restarted(Liveness::Alive, Liveness::Suspect, Liveness::Alive));
    assert_eq!(v.counts(), counts(2, 0, 0, 0));
    v.replace(restarted(Liveness::Dead, Liveness::Dead, Liveness::Suspect));
    assert_eq!((v.counts(), v.liveness_of("a")), (counts(1, 1, 0, 0), Some(Liveness::Suspect)));
    v.replace(restarted(Liveness::Alive, Liveness::Dead, Liveness::Dead));
    assert_eq!((v.counts(), v.liveness_of("a")), (counts(2, 0, 0, 0), Some(Liveness::Alive)));
    v.replace(restarted(Liveness::Dead, Liveness::Dead, Liveness::Dead));
    assert_eq!(v.counts(), counts(1, 0, 1, 0));
    v.replace(restarted(Liveness::Dead, Liveness::Dead, Liveness::Left));
    assert_eq!((v.counts(), v.liveness_of("a")), (counts(1, 0, 0, 1), Some(Liveness::Left)));
    v.replace(restarted(Liveness::Left, Liveness::Dead, Liveness::Dead));
    assert_eq!((v.counts(), v.liveness_of("a")), (counts(1, 0, 1, 0), Some(Liveness::Dead)));
}
