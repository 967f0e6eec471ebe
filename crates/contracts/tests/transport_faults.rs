//! The conformance suite for transports must detect each deliberately broken transport and report the
//! violated clause.

mod memory;

use magpietally_contracts::transport::{check, Clause};
use memory::{InjectedFault, Memory};

#[test]
fn a_right_transport_holds_every_clause() {
    let report =
        check(&mut Memory::new(InjectedFault::None)).unwrap_or_else(|violation| panic!("{violation}"));
    assert_eq!(report.skipped, []);
    assert_eq!(report.passed.len(), 20, "{:?}", report.passed);
}

#[test]
fn each_broken_transport_is_caught_by_name() {
    let faults = [
        (InjectedFault::DropsWhenFull, Clause::FullTold),
        (InjectedFault::UnboundedQueue, Clause::FullTold),
        (InjectedFault::DuplicatesMessages, Clause::AtMostOnce),
        (InjectedFault::TruncatesOversized, Clause::OversizedRefused),
        (InjectedFault::RejectsLargest, Clause::LargestPasses),
        (InjectedFault::MixesSessions, Clause::NothingOlder),
        (InjectedFault::AcceptsOldSessions, Clause::NothingOlder),
        (InjectedFault::HidesRestarts, Clause::RestartTold),
        (InjectedFault::AcceptsOtherFleet, Clause::NothingForeign),
        (InjectedFault::AltersByte, Clause::NothingAltered),
        (InjectedFault::InventsMessage, Clause::NothingInvented),
        (InjectedFault::Reorders, Clause::Order),
        (InjectedFault::HidesLoss, Clause::LossTold),
        (InjectedFault::DropsEmpty, Clause::EmptyPasses),
        (InjectedFault::AcceptsUnknownPeer, Clause::UnknownTold),
        (InjectedFault::IgnoresSilence, Clause::HalfOpenNoticed),
        (InjectedFault::SlowPeerBlocksAll, Clause::SlowAlone),
        (InjectedFault::DropsSilently, Clause::NothingOlder),
        (InjectedFault::AcceptsUnverified, Clause::NothingInvented),
        (InjectedFault::NeverReconnects, Clause::BreakMended),
    ];
    let mut missed = Vec::new();
    for (fault, clause) in faults {
        match check(&mut Memory::new(fault)) {
            Err(violation) if violation.clause == clause => {}
            other => missed.push(format!("{fault:?}, expected violation of {clause:?}: {other:?}")),
        }
    }
    assert!(missed.is_empty(), "{}", missed.join("\n"));
}
