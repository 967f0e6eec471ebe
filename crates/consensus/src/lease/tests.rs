use super::*;
use magpietally_transport::{Name, Session};

const MS: Duration = Duration::from_millis(1);

fn grant(index: u64) -> Grant {
    let holder = Peer { name: Name::new("a").expect("valid name"), session: Session(1) };
    Grant { holder, index: Index(index), term_ms: 1000 }
}

#[test]
fn a_lease_ends_for_its_holder_before_it_expires_for_others_despite_clock_drift() {
    // Requested, decided and learned at time 0: the shortest possible interval between request and learning.
    for (holder, waiter) in [(1.0, 1.0), (1.0 - DRIFT / 2.0, 1.0 + DRIFT / 2.0 - 0.0001)] {
        let held = HeldLease::new(Duration::ZERO, 1000 * MS);
        let mut leases = Leases::default();
        leases.grant(Duration::ZERO, "k", grant(7));
        for ms in 0..2000 {
            let by = |rate: f64| (ms * MS).mul_f64(rate);
            let expired = leases.expired(by(waiter)).next().is_some();
            assert!(!(expired && held.is_valid(by(holder))), "both at {ms} ms");
        }
        assert!(leases.expired(2000 * MS).next().is_some() && !held.is_valid(2000 * MS));
    }
}

#[test]
fn ending_a_lease_names_its_grant_so_an_earlier_renewal_wins() {
    let mut leases = Leases::default();
    leases.grant(MS, "k", grant(1));
    leases.grant(2 * MS, "k", grant(2));
    assert!(!leases.end(&"k", Index(1)) && leases.get(&"k") == Some(&grant(2)));
    assert!(leases.end(&"k", Index(2)) && leases.get(&"k").is_none());
    assert_eq!(leases.next_expiry(), None);
}

#[test]
fn leases_restored_from_a_snapshot_restart_their_expiry() {
    let mut leases = Leases::default();
    leases.grant(MS, "k", grant(1));
    let restored = Leases::restored(leases.grants().clone(), 500 * MS);
    assert_eq!(restored.next_expiry(), Some(500 * MS + grant(1).wait()));
}
