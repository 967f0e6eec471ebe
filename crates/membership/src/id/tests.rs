use super::*;

fn id(generation: u32, name: &str) -> NodeId {
    NodeId {
        addr: "127.0.0.1:7000".parse().expect("a literal address"),
        name: Name::new(name).expect("a literal name"),
        generation,
    }
}

#[test]
fn a_later_start_wins_and_both_sides_agree() {
    assert!(id(5, "n1").win_addr_conflict(&id(4, "n1")));
    assert!(!id(4, "n1").win_addr_conflict(&id(5, "n1")));
    assert!(id(4, "n2").win_addr_conflict(&id(4, "n1")) != id(4, "n1").win_addr_conflict(&id(4, "n2")));
    assert_eq!(id(u32::MAX, "n1").renew(), None);
    assert_eq!(id(1, "n1").renew(), Some(id(2, "n1")));
}
