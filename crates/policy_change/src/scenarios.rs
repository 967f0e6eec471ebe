//! Scenario tests: each guarantee of the protocol in a small simulated run.

use std::collections::BTreeSet;
use std::time::Duration;

use magpietally_consensus::model::Faults;
use magpietally_consensus::Index;
use magpietally_transport::{Name, Peer, Session};

use crate::check::Event;
use crate::simulation::{short_settings, Simulation, MS};
use crate::{
    AbortReason, Admission, Entry, ProposalOutcome, ProposalStatus, ProposeError, Rejection, RejectionReason,
    Settings, State, Step, Version, WithoutLease,
};

/// Five nodes with a lease each.
fn fleet(seed: u64, change: impl FnOnce(&mut Vec<Settings>)) -> Simulation {
    let mut settings = vec![short_settings(); 5];
    change(&mut settings);
    let mut sim = Simulation::new(seed, settings, Faults::default());
    sim.run(300 * MS);
    assert_eq!(sim.node(0).state().members.len(), 5);
    sim
}

/// Proposes at node `i` and runs until that node knows the outcome. Returns it and the time it took.
fn run_change(
    sim: &mut Simulation,
    i: usize,
    document: &str,
    limit: Duration,
) -> (ProposalOutcome, Duration) {
    let ticket = sim.propose(i, document).expect("accepted for proposing");
    let took = sim.run_until(limit, |p| matches!(p.proposal_status(i, ticket), ProposalStatus::Ended(_)));
    match (took, sim.proposal_status(i, ticket)) {
        (Some(took), ProposalStatus::Ended(end)) => (end, took),
        (_, other) => panic!("after {limit:?}: {other:?}"),
    }
}

/// The admission of a request that arrives at node `i` now.
fn arrive(sim: &mut Simulation, i: usize) -> Admission {
    let (machine, now) = sim.model.machine(i).expect("the node runs");
    machine.admit(now.boot, 5000 * MS)
}

fn rejection_reason(admission: &Admission) -> Option<RejectionReason> {
    match admission {
        Admission::Reject(Rejection { reason, .. }) => Some(*reason),
        _ => None,
    }
}

fn assert_no_breaches(mut sim: Simulation) {
    sim.end_faults();
    sim.run(short_settings().lease_wait() + short_settings().vote_timeout + short_settings().close_timeout);
    sim.load = 0.0;
    sim.run(50 * MS);
    assert_eq!(sim.breaches(), Vec::new());
}

#[test]
fn leader_killed_at_any_moment_while_proposing_leaves_a_consistent_outcome_and_a_working_fleet() {
    let (mut taken, mut aborted) = (0, 0);
    for after in 0..40 {
        let mut sim = fleet(after, |_| {});
        sim.propose(0, "share = 1").expect("accepted for proposing");
        sim.run(after as u32 * 4 * MS);
        sim.kill(0);
        sim.run(300 * MS);
        sim.model.set_leader(Some(1));
        // The killed node's lease expires, or the step times out.
        let s = short_settings();
        let ended = sim.run_until(s.vote_timeout + s.close_timeout + 20 * s.retry_interval, |p| {
            (1..5).all(|i| p.node(i).state().change.is_none())
        });
        assert!(ended.is_some(), "killed after {} ms: {:?}", after * 4, sim.node(1).state().change);
        sim.run(100 * MS);
        let actives: Vec<u64> = (1..5).map(|i| sim.node(i).state().active.0).collect();
        assert!(actives.iter().all(|v| *v == actives[0]), "killed after {} ms: {actives:?}", after * 4);
        *(if actives[0] == 0 { &mut aborted } else { &mut taken }) += 1;
        let (end, _) = run_change(&mut sim, 2, "share = 2", s.lease_wait() + 5 * s.retry_interval);
        assert!(matches!(end, ProposalOutcome::Taken(_)), "killed after {} ms: {end:?}", after * 4);
        assert_no_breaches(sim);
    }
    assert!(taken > 5 && aborted > 0, "{taken} taken, {aborted} aborted: not every step was covered");
}

#[test]
fn of_two_concurrent_proposals_one_wins_and_the_other_gets_the_winners_version() {
    for seed in 0..10 {
        let mut sim = fleet(seed, |_| {});
        let a = sim.propose(1, "share = 1").expect("accepted for proposing");
        let b = sim.propose(2, "share = 2").expect("accepted for proposing");
        let both_statuses = |p: &mut Simulation| [p.proposal_status(1, a), p.proposal_status(2, b)];
        let ended =
            |p: &mut Simulation| both_statuses(p).iter().all(|o| matches!(o, ProposalStatus::Ended(_)));
        sim.run_until(1000 * MS, ended).expect("both proposals end");
        sim.run(50 * MS);
        let (won, lost) = (
            ProposalStatus::Ended(ProposalOutcome::Taken(Version(1))),
            ProposalOutcome::Lost { to: Version(1) },
        );
        let [first, second] = both_statuses(&mut sim);
        let (loser, wins) = if first == won { (second, "share = 1") } else { (first, "share = 2") };
        assert_eq!(loser, ProposalStatus::Ended(lost), "seed {seed}");
        assert_eq!(sim.node(4).state().document, wins.as_bytes(), "seed {seed}");
        assert_no_breaches(sim);
    }
}

#[test]
fn document_rejected_by_one_member_is_never_decided_under_and_the_reason_is_reported() {
    let mut sim = fleet(3, |_| {});
    let (machine, now) = sim.model.machine(3).expect("the node runs");
    let result = machine.propose(now, Version(0), b"share = 1 !n3".to_vec());
    assert!(matches!(result, Err(ProposeError::Rejected(_))), "{result:?}");
    let (end, _) = run_change(&mut sim, 1, "share = 1 !n3", 1000 * MS);
    let ProposalOutcome::Aborted(Version(1), AbortReason::Refused { by, why }) = end else {
        panic!("{end:?}")
    };
    assert_eq!((by.name.as_str(), why.contains("policy.toml:3: key \"share\"")), ("n3", true), "{why}");
    sim.run(1000 * MS);
    let decided_under = |v| {
        sim.records.iter().filter(move |r| matches!(r.what, Event::Decided { version, .. } if version == v))
    };
    assert!(decided_under(1).count() == 0 && decided_under(0).count() > 100);
    assert_no_breaches(sim);
}

#[test]
fn node_paused_through_a_whole_change_rejects_its_first_request_and_is_ready_once_caught_up() {
    let mut sim = fleet(4, |_| {});
    let Admission::Admit(epoch) = arrive(&mut sim, 3) else { panic!("the node serves") };
    sim.pause(3, true);
    let (end, took) = run_change(&mut sim, 1, "share = 1", 4000 * MS);
    assert_eq!(end, ProposalOutcome::Taken(Version(1)));
    // The change waits for the paused node's lease, renewed at most a third of a term ago, to expire, and no
    // longer.
    assert!(
        took > 1300 * MS && took < short_settings().lease_wait() + 5 * short_settings().retry_interval,
        "{took:?}"
    );
    sim.pause(3, false);
    let (machine, now) = sim.model.machine(3).expect("the node runs");
    // The node has learned nothing yet and no timer has run: admission itself has to detect the pause.
    assert!(!machine.is_ready(now.boot));
    assert!(machine.check_epoch(now.boot, &epoch).is_err());
    assert_eq!(rejection_reason(&machine.admit(now.boot, 5000 * MS)), Some(RejectionReason::NoLease));
    let ready = |p: &mut Simulation| p.model.machine(3).is_some_and(|(m, now)| m.is_ready(now.boot));
    sim.run_until(1000 * MS, ready).expect("the node catches up");
    assert_eq!(sim.node(3).state().active, Version(1));
    assert_no_breaches(sim);
}

#[test]
fn isolated_node_with_stop_finishes_its_requests_and_the_change_waits_for_its_lease_to_expire() {
    let mut sim = fleet(5, |_| {});
    sim.isolate(3, true);
    sim.run(1000 * MS);
    let Admission::Admit(epoch) = arrive(&mut sim, 3) else { panic!("the lease is still valid") };
    let (end, _) = run_change(&mut sim, 1, "share = 1", 4000 * MS);
    assert_eq!(end, ProposalOutcome::Taken(Version(1)));
    assert_eq!(rejection_reason(&arrive(&mut sim, 3)), Some(RejectionReason::NoLease));
    let (machine, now) = sim.model.machine(3).expect("the node runs");
    assert!(machine.check_epoch(now.boot, &epoch).is_ok());
    assert_no_breaches(sim);
}

#[test]
fn isolated_node_with_serve_goes_on_and_no_change_takes_effect_until_it_is_evicted() {
    let mut sim = fleet(6, |s| s[3].without_lease = WithoutLease::Serve);
    sim.isolate(3, true);
    let (end, _) = run_change(&mut sim, 1, "share = 1", 6000 * MS);
    let ProposalOutcome::Aborted(Version(1), AbortReason::Silent { step: Step::Voting, who, of: 1 }) = end
    else {
        panic!("{end:?}")
    };
    assert_eq!(who[0].name.as_str(), "n3");
    assert!(matches!(arrive(&mut sim, 3), Admission::Admit(e) if e.version == Version(0)));
    sim.kill(3);
    let (machine, now) = sim.model.machine(2).expect("the node runs");
    assert!(machine.evict(now, who[0].clone()));
    sim.run(500 * MS);
    let (end, took) = run_change(&mut sim, 1, "share = 2", 1000 * MS);
    assert_eq!(end, ProposalOutcome::Taken(Version(2)), "{took:?}");
    assert_no_breaches(sim);
}

#[test]
fn as_many_nodes_can_be_evicted_at_once_as_a_large_fleet_has() {
    let mut sim = fleet(6, |_| {});
    let (machine, now) = sim.model.machine(2).expect("the node runs");
    for n in 0..1024 {
        let name = Name::new(&format!("gone-{n}")).expect("a valid name");
        assert!(machine.evict(now, Peer { name, session: Session(1) }), "{n}");
    }
}

#[test]
fn node_that_left_does_not_delay_a_change() {
    let mut sim = fleet(7, |_| {});
    let (machine, now) = sim.model.machine(3).expect("the node runs");
    machine.leave(now);
    assert_eq!(rejection_reason(&arrive(&mut sim, 3)), Some(RejectionReason::Leaving));
    sim.run_until(1000 * MS, |p| p.node(3).has_left()).expect("the lease is returned");
    sim.kill(3);
    let (end, took) = run_change(&mut sim, 1, "share = 1", 4000 * MS);
    assert!(end == ProposalOutcome::Taken(Version(1)) && took < 500 * MS, "{end:?} after {took:?}");
    assert_no_breaches(sim);
}

#[test]
fn hanging_closing_queues_a_limited_number_of_requests_for_a_bounded_time_and_rejects_the_rest() {
    let mut sim = fleet(8, |_| {});
    sim.load = 0.0;
    sim.propose(1, "share = 1").expect("accepted for proposing");
    // All five have accepted: the version closes, and one node is isolated before it learns of that.
    sim.run_until(1000 * MS, |p| (0..5).any(|i| i != 3 && p.node(i).state().is_closing()))
        .expect("the version closes");
    sim.isolate(3, true);
    assert!(!sim.node(3).state().is_closing(), "the node learned of the closing");
    sim.run(50 * MS);

    let s = short_settings();
    let (machine, now) = sim.model.machine(0).expect("the node runs");
    let boot = now.boot;
    assert!(machine.is_ready(boot));
    // A request without enough time left is not queued.
    assert_eq!(rejection_reason(&machine.admit(boot, 50 * MS)), Some(RejectionReason::Closing));
    let mut slots = Vec::new();
    for _ in 0..s.queue_max {
        match machine.admit(boot, 5000 * MS) {
            Admission::Queue(slot) => slots.push(slot),
            other => panic!("{other:?}"),
        }
    }
    // Nothing is queued beyond `queue_max`.
    assert_eq!(rejection_reason(&machine.admit(boot, 5000 * MS)), Some(RejectionReason::Closing));
    machine.abandon(slots.pop().expect("a queued request"));
    assert_eq!(machine.queued(), s.queue_max - 1);
    for slot in slots {
        assert!(slot.expires_at > boot && slot.expires_at <= boot + s.queue_timeout, "{slot:?} at {boot:?}");
        // When its slot expires the request is rejected, not queued again.
        let expires_at = slot.expires_at;
        assert_eq!(rejection_reason(&machine.readmit(expires_at, slot)), Some(RejectionReason::Closing));
    }
    assert_eq!(machine.queued(), 0);
    let later = boot + s.queue_timeout;
    assert_eq!(rejection_reason(&machine.admit(later, 5000 * MS)), Some(RejectionReason::Closing));
    assert!(!machine.is_ready(later));

    // Then the change times out, and the old version reopens.
    let reopened = |p: &mut Simulation| !p.node(0).state().is_closing();
    sim.run_until(s.close_timeout + 5 * s.retry_interval, reopened).expect("the change times out");
    assert!(matches!(arrive(&mut sim, 0), Admission::Admit(e) if e.version == Version(0)));
    let metrics = sim.node(0).metrics();
    assert!(
        metrics.closings == 1 && metrics.queued == 8 && metrics.longest_closing >= s.close_timeout,
        "{metrics:?}"
    );
    assert_no_breaches(sim);
}

#[test]
fn rollback_is_a_new_change_with_a_new_version() {
    let mut sim = fleet(9, |_| {});
    for (version, document) in [(1, "share = 1"), (2, "share = 2"), (3, "share = 1")] {
        let (end, _) = run_change(&mut sim, version as usize, document, 1000 * MS);
        assert_eq!(end, ProposalOutcome::Taken(Version(version)));
        // Let the next proposer learn of the version.
        sim.run(50 * MS);
    }
    assert_eq!(sim.node(1).state().document, b"share = 1");
    // A proposal made against an outdated version loses.
    let (machine, now) = sim.model.machine(4).expect("the node runs");
    let ticket = machine.propose(now, Version(1), b"share = 4".to_vec()).expect("accepted for proposing");
    sim.run(300 * MS);
    assert_eq!(
        sim.proposal_status(4, ticket),
        ProposalStatus::Ended(ProposalOutcome::Lost { to: Version(3) })
    );
    assert_no_breaches(sim);
}

#[test]
fn node_paused_while_a_version_closes_retries_no_begun_request_although_its_lease_is_valid() {
    let mut sim = fleet(10, |_| {});
    let Admission::Admit(epoch) = arrive(&mut sim, 0) else { panic!("the node serves") };
    sim.propose(1, "share = 1").expect("accepted for proposing");
    sim.run_until(1000 * MS, |p| p.node(0).state().is_closing()).expect("the version closes");
    sim.pause(0, true);
    sim.run(300 * MS);
    sim.pause(0, false);
    let (machine, now) = sim.model.machine(0).expect("the node runs");
    assert!(machine.state().is_closing() && machine.has_lease(now.boot));
    assert!(machine.check_epoch(now.boot, &epoch).is_err());
    assert_no_breaches(sim);
}

#[test]
fn node_whose_check_rejects_the_active_document_serves_nothing_until_the_next_change() {
    let mut sim = fleet(11, |_| {});
    sim.isolate(3, true);
    sim.run(2500 * MS);
    let (end, _) = run_change(&mut sim, 1, "share = 1 !n3", 1000 * MS);
    assert_eq!(end, ProposalOutcome::Taken(Version(1)));
    sim.isolate(3, false);
    sim.run(1000 * MS);
    assert_eq!(rejection_reason(&arrive(&mut sim, 3)), Some(RejectionReason::InvalidDocument));
    let (machine, now) = sim.model.machine(3).expect("the node runs");
    assert!(!machine.is_ready(now.boot) && machine.document_error().is_some());
    assert_eq!(run_change(&mut sim, 1, "share = 2", 1000 * MS).0, ProposalOutcome::Taken(Version(2)));
    sim.run(50 * MS);
    assert!(matches!(arrive(&mut sim, 3), Admission::Admit(e) if e.version == Version(2)));
    assert_no_breaches(sim);
}

#[test]
fn member_that_joins_a_second_time_while_a_version_closes_has_not_confirmed_its_stop() {
    let peer = |n: &str| Peer { name: Name::new(n).expect("a valid name"), session: Session(1) };
    let (a, b, c) = (peer("a"), peer("b"), peer("c"));
    let join = || Entry::Join { request: 1, term_ms: 1000, serves_without_lease: false };
    let mut state = State::default();
    let entries = [
        (&a, join()),
        (&b, join()),
        (&a, Entry::Propose { base: Version(0), ticket: 1, document: vec![1] }),
        (&a, Entry::Accept { version: Version(1) }),
        (&b, Entry::Accept { version: Version(1) }),
        (&b, join()),
        (&c, join()),
    ];
    for (i, (by, entry)) in entries.into_iter().enumerate() {
        state.apply(Index(i as u64 + 1), by, entry);
    }
    assert!(state.is_closing());
    // The new member counts as stopped, because it learns of its lease after the closing.
    assert_eq!(state.change.map(|change| change.acknowledged), Some(BTreeSet::from([c])));
}
