//! Every transport of this repository passes the conformance suite, directly and through the fault relay.

mod sockets;
mod virtual_time;

use std::time::Duration;

use magpietally_contracts::relay::{DatagramLink, StreamLink};
use magpietally_contracts::transport::{check, CheckReport, Clause, Harness};
use magpietally_simnet::Faults;
use magpietally_transport::Kind;
use sockets::{TcpHarness, UdpHarness};
use virtual_time::VirtualHarness;

/// Clauses that datagrams do not guarantee or that need a relay.
const STREAMS_ONLY: [Clause; 5] =
    [Clause::SlowAlone, Clause::BreakMended, Clause::Order, Clause::AtMostOnce, Clause::LossTold];

fn check_all(harness: &mut impl Harness) -> CheckReport {
    check(harness).unwrap_or_else(|violation| panic!("{violation}"))
}

fn sorted(clauses: &[Clause]) -> Vec<Clause> {
    let mut clauses = clauses.to_vec();
    clauses.sort();
    clauses
}

#[test]
fn udp_holds_the_contract() {
    let report = check_all(&mut UdpHarness::new(None));
    let skipped = [&STREAMS_ONLY[..], &[Clause::HalfOpenNoticed]].concat();
    assert_eq!(sorted(&report.skipped), sorted(&skipped));
}

#[test]
fn udp_through_loss_doubles_and_delay_holds_the_contract() {
    let link =
        DatagramLink { drop_share: 0.2, duplicate_share: 0.2, delay: Duration::from_millis(5), cut: false };
    let mut harness = UdpHarness::new(Some(link));
    let report = check_all(&mut harness);
    assert_eq!(sorted(&report.skipped), sorted(&STREAMS_ONLY));
    let (forwarded, dropped) = harness.relay_counts();
    assert!(forwarded > 100 && dropped > 10, "the relay forwarded {forwarded} and dropped {dropped}");
}

#[test]
fn framed_tcp_holds_the_contract() {
    let report = check_all(&mut TcpHarness::new(None));
    assert_eq!(sorted(&report.skipped), [Clause::HalfOpenNoticed, Clause::BreakMended]);
}

#[test]
fn framed_tcp_through_delay_and_resets_holds_the_contract() {
    let rough = StreamLink { delay: Duration::from_millis(3), reset_share: 0.01, ..StreamLink::default() };
    let mut harness = TcpHarness::new(Some(rough));
    let report = check_all(&mut harness);
    assert_eq!(report.skipped, []);
    let (connections, aborted) = harness.relay_counts();
    assert!(connections > 20 && aborted > 15, "of {connections} connections {aborted} were aborted");
}

#[test]
fn framed_tcp_through_a_narrow_link_holds_the_contract() {
    let narrow = StreamLink { bytes_per_s: Some(2 << 20), ..StreamLink::default() };
    let report = check_all(&mut TcpHarness::new(Some(narrow)));
    assert_eq!(report.skipped, []);
}

/// The network in virtual time has one fleet, assigns the sessions itself, and carries no bytes but those of
/// its ports.
const ONE_FLEET: [Clause; 4] =
    [Clause::NothingOlder, Clause::NothingForeign, Clause::StrangeDropped, Clause::BreakMended];

fn rough() -> Faults {
    Faults { loss: 0.2, duplicate: 0.2, reorder: 0.2, ..Faults::default() }
}

#[test]
fn streams_in_virtual_time_hold_the_contract() {
    for seed in 0..5 {
        for faults in [Faults::default(), rough()] {
            let report = check_all(&mut VirtualHarness::new(Kind::Stream, faults, seed));
            assert_eq!(sorted(&report.skipped), sorted(&ONE_FLEET));
        }
    }
}

#[test]
fn datagrams_in_virtual_time_hold_the_contract() {
    for seed in 0..5 {
        for faults in [Faults::default(), rough()] {
            let report = check_all(&mut VirtualHarness::new(Kind::Datagram, faults, seed));
            let mut skipped = [&ONE_FLEET[..], &STREAMS_ONLY].concat();
            skipped.sort();
            skipped.dedup();
            assert_eq!(sorted(&report.skipped), skipped);
        }
    }
}
