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
