//! The promises by name, each in the smallest run that shows it.

use std::collections::BTreeSet;
use std::time::Duration;

use magpietally_consensus::model::Faults;
use magpietally_consensus::Index;
use magpietally_transport::{Name, Peer, Session};

use crate::check::Event;
use crate::simulation::{short, Play, MS};
use crate::{
    AbortReason, Admission, Entry, ProposalOutcome, ProposalStatus, ProposeError, Rejection, RejectionReason,
    Settings, State, Step, Version, WithoutLease,
};

/// Five nodes with a lease each.
fn fleet(seed: u64, change: impl FnOnce(&mut Vec<Settings>)) -> Play {
    let mut settings = vec![short(); 5];
    change(&mut settings);
    let mut play = Play::new(seed, settings, Faults::default());
    play.run(300 * MS);
    assert_eq!(play.node(0).state().members.len(), 5);
    play
}

/// Proposes at node `i` and runs until it knows the end.
fn change(play: &mut Play, i: usize, document: &str, limit: Duration) -> (ProposalOutcome, Duration) {
    let ticket = play.propose(i, document).expect("taken for proposing");
    let took = play.until(limit, |p| matches!(p.proposal_status(i, ticket), ProposalStatus::Ended(_)));
    match (took, play.proposal_status(i, ticket)) {
        (Some(took), ProposalStatus::Ended(end)) => (end, took),
        (_, other) => panic!("after {limit:?}: {other:?}"),
    }
}

/// What a request gets that comes to node `i` now.
fn arrives(play: &mut Play, i: usize) -> Admission {
    let (machine, now) = play.model.machine(i).expect("it runs");
    machine.admit(now.boot, 5000 * MS)
}

fn refused(admission: &Admission) -> Option<RejectionReason> {
    match admission {
        Admission::Reject(Rejection { reason, .. }) => Some(*reason),
        _ => None,
    }
}

fn sound(mut play: Play) {
    play.heal();
    play.run(short().lease_wait() + short().vote_timeout + short().close_timeout);
    play.load = 0.0;
    play.run(50 * MS);
    assert_eq!(play.verdict(), Vec::new());
}

#[test]
fn a_proposer_that_leads_and_is_killed_at_any_moment_leaves_the_change_taken_or_not_and_the_fleet_not_stuck()
{
    let (mut taken, mut not) = (0, 0);
    for after in 0..40 {
        let mut play = fleet(after, |_| {});
        play.propose(0, "share = 1").expect("taken for proposing");
        play.run(after as u32 * 4 * MS);
        play.kill(0);
        play.run(300 * MS);
        play.model.set_leader(Some(1));
        // Its lease runs out, or the others' patience does.
        let s = short();
        let ended = play.until(s.vote_timeout + s.close_timeout + 20 * s.retry_interval, |p| {
            (1..5).all(|i| p.node(i).state().change.is_none())
        });
        assert!(ended.is_some(), "killed after {} ms: {:?}", after * 4, play.node(1).state().change);
        play.run(100 * MS);
        let actives: Vec<u64> = (1..5).map(|i| play.node(i).state().active.0).collect();
        assert!(actives.iter().all(|v| *v == actives[0]), "killed after {} ms: {actives:?}", after * 4);
        *(if actives[0] == 0 { &mut not } else { &mut taken }) += 1;
        let (end, _) = change(&mut play, 2, "share = 2", s.lease_wait() + 5 * s.retry_interval);
        assert!(matches!(end, ProposalOutcome::Taken(_)), "killed after {} ms: {end:?}", after * 4);
        sound(play);
    }
    assert!(taken > 5 && not > 0, "{taken} taken, {not} not: not every step was met");
}

#[test]
fn of_two_proposals_at_once_one_wins_and_the_other_is_told_the_winners_version() {
    for seed in 0..10 {
        let mut play = fleet(seed, |_| {});
        let a = play.propose(1, "share = 1").expect("taken for proposing");
        let b = play.propose(2, "share = 2").expect("taken for proposing");
        let both = |p: &mut Play| [p.proposal_status(1, a), p.proposal_status(2, b)];
        let ended = |p: &mut Play| both(p).iter().all(|o| matches!(o, ProposalStatus::Ended(_)));
        play.until(1000 * MS, ended).expect("both end");
        play.run(50 * MS);
        let (won, lost) = (
            ProposalStatus::Ended(ProposalOutcome::Taken(Version(1))),
            ProposalOutcome::Lost { to: Version(1) },
        );
        let [first, second] = both(&mut play);
        let (loser, wins) = if first == won { (second, "share = 1") } else { (first, "share = 2") };
        assert_eq!(loser, ProposalStatus::Ended(lost), "seed {seed}");
        assert_eq!(play.node(4).state().document, wins.as_bytes(), "seed {seed}");
        sound(play);
    }
}

#[test]
fn a_document_that_one_members_check_refuses_is_decided_under_by_nobody_and_the_reason_is_told() {
    let mut play = fleet(3, |_| {});
    let (machine, now) = play.model.machine(3).expect("it runs");
    let own = machine.propose(now, Version(0), b"share = 1 !n3".to_vec());
    assert!(matches!(own, Err(ProposeError::Rejected(_))), "{own:?}");
    let (end, _) = change(&mut play, 1, "share = 1 !n3", 1000 * MS);
    let ProposalOutcome::Aborted(Version(1), AbortReason::Refused { by, why }) = end else {
        panic!("{end:?}")
    };
    assert_eq!((by.name.as_str(), why.contains("policy.toml:3: key \"share\"")), ("n3", true), "{why}");
    play.run(1000 * MS);
    let under = |v| {
        play.records.iter().filter(move |r| matches!(r.what, Event::Decided { version, .. } if version == v))
    };
    assert!(under(1).count() == 0 && under(0).count() > 100);
    sound(play);
}

#[test]
fn a_node_stopped_through_the_whole_change_refuses_the_first_request_it_sees_and_is_ready_when_caught_up() {
    let mut play = fleet(4, |_| {});
    let Admission::Admit(epoch) = arrives(&mut play, 3) else { panic!("it serves") };
    play.pause(3, true);
    let (end, took) = change(&mut play, 1, "share = 1", 4000 * MS);
    assert_eq!(end, ProposalOutcome::Taken(Version(1)));
    // It outwaits the lease of the stopped one, renewed at most a third of a term ago, and no more.
    assert!(took > 1300 * MS && took < short().lease_wait() + 5 * short().retry_interval, "{took:?}");
    play.pause(3, false);
    let (machine, now) = play.model.machine(3).expect("it runs");
    // Nothing learnt yet, no timer run: the gate alone has to know.
    assert!(!machine.is_ready(now.boot));
    assert!(machine.check_epoch(now.boot, &epoch).is_err());
    assert_eq!(refused(&machine.admit(now.boot, 5000 * MS)), Some(RejectionReason::NoLease));
    let ready = |p: &mut Play| p.model.machine(3).is_some_and(|(m, now)| m.is_ready(now.boot));
    play.until(1000 * MS, ready).expect("it catches up");
    assert_eq!(play.node(3).state().active, Version(1));
    sound(play);
}

#[test]
fn a_node_cut_off_with_stop_finishes_what_it_has_and_the_change_outwaits_its_lease() {
    let mut play = fleet(5, |_| {});
    play.cut(3, true);
    play.run(1000 * MS);
    let Admission::Admit(epoch) = arrives(&mut play, 3) else { panic!("its lease still holds") };
    let (end, _) = change(&mut play, 1, "share = 1", 4000 * MS);
    assert_eq!(end, ProposalOutcome::Taken(Version(1)));
    assert_eq!(refused(&arrives(&mut play, 3)), Some(RejectionReason::NoLease));
    let (machine, now) = play.model.machine(3).expect("it runs");
    assert!(machine.check_epoch(now.boot, &epoch).is_ok());
    sound(play);
}

#[test]
fn a_node_cut_off_with_serve_goes_on_and_no_change_takes_hold_until_it_is_named_as_gone() {
    let mut play = fleet(6, |s| s[3].without_lease = WithoutLease::Serve);
    play.cut(3, true);
    let (end, _) = change(&mut play, 1, "share = 1", 6000 * MS);
    let ProposalOutcome::Aborted(Version(1), AbortReason::Silent { step: Step::Voting, who, of: 1 }) = end
    else {
        panic!("{end:?}")
    };
    assert_eq!(who[0].name.as_str(), "n3");
    assert!(matches!(arrives(&mut play, 3), Admission::Admit(e) if e.version == Version(0)));
    play.kill(3);
    let (machine, now) = play.model.machine(2).expect("it runs");
    assert!(machine.evict(now, who[0].clone()));
    play.run(500 * MS);
    let (end, took) = change(&mut play, 1, "share = 2", 1000 * MS);
    assert_eq!(end, ProposalOutcome::Taken(Version(2)), "{took:?}");
    sound(play);
}

#[test]
fn as_many_nodes_can_be_named_as_gone_as_a_large_fleet_has() {
    let mut play = fleet(6, |_| {});
    let (machine, now) = play.model.machine(2).expect("it runs");
    for n in 0..1024 {
        let name = Name::new(&format!("gone-{n}")).expect("a name");
        assert!(machine.evict(now, Peer { name, session: Session(1) }), "{n}");
    }
}

#[test]
fn a_node_that_left_holds_no_change_up() {
    let mut play = fleet(7, |_| {});
    let (machine, now) = play.model.machine(3).expect("it runs");
    machine.leave(now);
    assert_eq!(refused(&arrives(&mut play, 3)), Some(RejectionReason::Leaving));
    play.until(1000 * MS, |p| p.node(3).has_left()).expect("its lease is given back");
    play.kill(3);
    let (end, took) = change(&mut play, 1, "share = 1", 4000 * MS);
    assert!(end == ProposalOutcome::Taken(Version(1)) && took < 500 * MS, "{end:?} after {took:?}");
    sound(play);
}

#[test]
fn a_closing_that_hangs_holds_a_few_requests_for_a_bounded_time_and_refuses_the_rest() {
    let mut play = fleet(8, |_| {});
    play.load = 0.0;
    play.propose(1, "share = 1").expect("taken for proposing");
    // The last of five has accepted: the version closes, and one node is cut off before it learns so.
    play.until(1000 * MS, |p| (0..5).any(|i| i != 3 && p.node(i).state().is_closing())).expect("it closes");
    play.cut(3, true);
    assert!(!play.node(3).state().is_closing(), "it had learnt of the closing");
    play.run(50 * MS);

    let s = short();
    let (machine, now) = play.model.machine(0).expect("it runs");
    let boot = now.boot;
    assert!(machine.is_ready(boot));
    // One that has no time left is not held.
    assert_eq!(refused(&machine.admit(boot, 50 * MS)), Some(RejectionReason::Closing));
    let mut tickets = Vec::new();
    for _ in 0..s.queue_max {
        match machine.admit(boot, 5000 * MS) {
            Admission::Queue(ticket) => tickets.push(ticket),
            other => panic!("{other:?}"),
        }
    }
    // And no more than there is room for.
    assert_eq!(refused(&machine.admit(boot, 5000 * MS)), Some(RejectionReason::Closing));
    machine.abandon(tickets.pop().expect("one"));
    assert_eq!(machine.queued(), s.queue_max - 1);
    for ticket in tickets {
        assert!(
            ticket.expires_at > boot && ticket.expires_at <= boot + s.queue_timeout,
            "{ticket:?} at {boot:?}"
        );
        // At its end it is refused, and not parked again.
        let until = ticket.expires_at;
        assert_eq!(refused(&machine.readmit(until, ticket)), Some(RejectionReason::Closing));
    }
    assert_eq!(machine.queued(), 0);
    let later = boot + s.queue_timeout;
    assert_eq!(refused(&machine.admit(later, 5000 * MS)), Some(RejectionReason::Closing));
    assert!(!machine.is_ready(later));

    // Then the change is given up, and the old version opens.
    let open = |p: &mut Play| !p.node(0).state().is_closing();
    play.until(s.close_timeout + 5 * s.retry_interval, open).expect("it is given up");
    assert!(matches!(arrives(&mut play, 0), Admission::Admit(e) if e.version == Version(0)));
    let figures = play.node(0).metrics();
    assert!(
        figures.closings == 1 && figures.queued == 8 && figures.longest_closing >= s.close_timeout,
        "{figures:?}"
    );
    sound(play);
}

#[test]
fn a_roll_back_is_a_new_change_with_a_new_version() {
    let mut play = fleet(9, |_| {});
    for (version, document) in [(1, "share = 1"), (2, "share = 2"), (3, "share = 1")] {
        let (end, _) = change(&mut play, version as usize, document, 1000 * MS);
        assert_eq!(end, ProposalOutcome::Taken(Version(version)));
        // The next node to propose knows it too.
        play.run(50 * MS);
    }
    assert_eq!(play.node(1).state().document, b"share = 1");
    // One made against a version that is over is told so.
    let (machine, now) = play.model.machine(4).expect("it runs");
    let ticket = machine.propose(now, Version(1), b"share = 4".to_vec()).expect("taken for proposing");
    play.run(300 * MS);
    assert_eq!(
        play.proposal_status(4, ticket),
        ProposalStatus::Ended(ProposalOutcome::Lost { to: Version(3) })
    );
    sound(play);
}

#[test]
fn a_node_stopped_while_a_version_closes_decides_nothing_again_that_it_had_begun_though_its_lease_holds() {
    let mut play = fleet(10, |_| {});
    let Admission::Admit(epoch) = arrives(&mut play, 0) else { panic!("it serves") };
    play.propose(1, "share = 1").expect("taken for proposing");
    play.until(1000 * MS, |p| p.node(0).state().is_closing()).expect("it closes");
    play.pause(0, true);
    play.run(300 * MS);
    play.pause(0, false);
    let (machine, now) = play.model.machine(0).expect("it runs");
    assert!(machine.state().is_closing() && machine.has_lease(now.boot));
    assert!(machine.check_epoch(now.boot, &epoch).is_err());
    sound(play);
}

#[test]
fn a_node_whose_check_refuses_what_was_taken_without_it_serves_nothing_until_the_next_change() {
    let mut play = fleet(11, |_| {});
    play.cut(3, true);
    play.run(2500 * MS);
    let (end, _) = change(&mut play, 1, "share = 1 !n3", 1000 * MS);
    assert_eq!(end, ProposalOutcome::Taken(Version(1)));
    play.cut(3, false);
    play.run(1000 * MS);
    assert_eq!(refused(&arrives(&mut play, 3)), Some(RejectionReason::InvalidDocument));
    let (machine, now) = play.model.machine(3).expect("it runs");
    assert!(!machine.is_ready(now.boot) && machine.document_error().is_some());
    assert_eq!(change(&mut play, 1, "share = 2", 1000 * MS).0, ProposalOutcome::Taken(Version(2)));
    play.run(50 * MS);
    assert!(matches!(arrives(&mut play, 3), Admission::Admit(e) if e.version == Version(2)));
    sound(play);
}

#[test]
fn a_member_that_asks_for_its_lease_a_second_time_while_a_version_closes_has_not_stopped() {
    let peer = |n: &str| Peer { name: Name::new(n).expect("a name"), session: Session(1) };
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
    // The newcomer has: it learns of its lease after the closing.
    assert_eq!(state.change.map(|change| change.acknowledged), Some(BTreeSet::from([c])));
}
