//! Every transport of this repository holds the contract, straight and through the fault relay.

mod sockets;
mod virtual_time;

use std::time::Duration;

use magpietally_contracts::relay::{Link, Stream};
use magpietally_contracts::transport::{hold, Clause, Held, Rig};
use magpietally_simnet::Faults;
use magpietally_transport::Kind;
use sockets::{Datagrams, Frames};
use virtual_time::Virtual;

/// What a datagram does not promise, and what takes a relay.
const STREAMS_ONLY: [Clause; 5] =
    [Clause::SlowAlone, Clause::BreakMended, Clause::Order, Clause::AtMostOnce, Clause::LossTold];

fn held(rig: &mut impl Rig) -> Held {
    hold(rig).unwrap_or_else(|broken| panic!("{broken}"))
}

fn sorted(clauses: &[Clause]) -> Vec<Clause> {
    let mut clauses = clauses.to_vec();
    clauses.sort();
    clauses
}

#[test]
fn udp_holds_the_contract() {
    let held = held(&mut Datagrams::new(None));
    let skipped = [&STREAMS_ONLY[..], &[Clause::HalfOpenNoticed]].concat();
    assert_eq!(sorted(&held.skipped), sorted(&skipped));
}

#[test]
fn udp_through_loss_doubles_and_delay_holds_the_contract() {
    let link = Link { drop: 0.2, duplicate: 0.2, delay: Duration::from_millis(5), cut: false };
    let mut rig = Datagrams::new(Some(link));
    let held = held(&mut rig);
    assert_eq!(sorted(&held.skipped), sorted(&STREAMS_ONLY));
    let (passed, dropped) = rig.relayed();
    assert!(passed > 100 && dropped > 10, "the relay passed {passed} and dropped {dropped}");
}

#[test]
fn framed_tcp_holds_the_contract() {
    let held = held(&mut Frames::new(None));
    assert_eq!(sorted(&held.skipped), [Clause::HalfOpenNoticed, Clause::BreakMended]);
}

#[test]
fn framed_tcp_through_delay_and_resets_holds_the_contract() {
    let rough = Stream { delay: Duration::from_millis(3), reset: 0.01, ..Stream::default() };
    let mut rig = Frames::new(Some(rough));
    let held = held(&mut rig);
    assert_eq!(held.skipped, []);
    let (connections, broken) = rig.relayed();
    assert!(connections > 20 && broken > 15, "of {connections} connections {broken} were broken");
}

#[test]
fn framed_tcp_through_a_narrow_link_holds_the_contract() {
    let narrow = Stream { rate: Some(2 << 20), ..Stream::default() };
    let held = held(&mut Frames::new(Some(narrow)));
    assert_eq!(held.skipped, []);
}

/// The network in virtual time has one fleet, hands out the sessions itself, and carries no bytes but its ports'.
const ONE_FLEET: [Clause; 4] =
    [Clause::NothingOlder, Clause::NothingForeign, Clause::StrangeDropped, Clause::BreakMended];

fn rough() -> Faults {
    Faults { loss: 0.2, duplicate: 0.2, reorder: 0.2, ..Faults::default() }
}

#[test]
fn streams_in_virtual_time_hold_the_contract() {
    for seed in 0..5 {
        for faults in [Faults::default(), rough()] {
            let held = held(&mut Virtual::new(Kind::Stream, faults, seed));
            assert_eq!(sorted(&held.skipped), sorted(&ONE_FLEET));
        }
    }
}

#[test]
fn datagrams_in_virtual_time_hold_the_contract() {
    for seed in 0..5 {
        for faults in [Faults::default(), rough()] {
            let held = held(&mut Virtual::new(Kind::Datagram, faults, seed));
            let mut skipped = [&ONE_FLEET[..], &STREAMS_ONLY].concat();
            skipped.sort();
            skipped.dedup();
            assert_eq!(sorted(&held.skipped), skipped);
        }
    }
}
