//! The contract of transports is itself held to transports that break it: each is caught, by the clause's name.

mod memory;

use magpietally_contracts::transport::{hold, Clause};
use memory::{Fault, Memory};

#[test]
fn a_right_transport_holds_every_clause() {
    let held = hold(&mut Memory::new(Fault::None)).unwrap_or_else(|broken| panic!("{broken}"));
    assert_eq!(held.skipped, []);
    assert_eq!(held.held.len(), 20, "{:?}", held.held);
}

#[test]
fn each_broken_transport_is_caught_by_name() {
    let faults = [
        (Fault::LosesOnFull, Clause::FullTold),
        (Fault::QueuesWithoutEnd, Clause::FullTold),
        (Fault::DeliversTwice, Clause::AtMostOnce),
        (Fault::CutsTheOversized, Clause::OversizedRefused),
        (Fault::RefusesTheLargest, Clause::LargestPasses),
        (Fault::MixesSessions, Clause::NothingOlder),
        (Fault::HearsOldSessions, Clause::NothingOlder),
        (Fault::HidesRestarts, Clause::RestartTold),
        (Fault::HearsAnotherFleet, Clause::NothingForeign),
        (Fault::AltersAByte, Clause::NothingAltered),
        (Fault::InventsAMessage, Clause::NothingInvented),
        (Fault::Reorders, Clause::Order),
        (Fault::HidesLoss, Clause::LossTold),
        (Fault::SwallowsTheEmpty, Clause::EmptyPasses),
        (Fault::TakesForAnybody, Clause::UnknownTold),
        (Fault::NeverMissesAnybody, Clause::HalfOpenNoticed),
        (Fault::SlowHoldsUpAll, Clause::SlowAlone),
        (Fault::DropsUntold, Clause::NothingOlder),
        (Fault::BelievesStrangers, Clause::NothingInvented),
        (Fault::StaysBroken, Clause::BreakMended),
    ];
    let mut missed = Vec::new();
    for (fault, clause) in faults {
        match hold(&mut Memory::new(fault)) {
            Err(broken) if broken.clause == clause => {}
            other => missed.push(format!("{fault:?}, to be caught by {clause:?}: {other:?}")),
        }
    }
    assert!(missed.is_empty(), "{}", missed.join("\n"));
}
