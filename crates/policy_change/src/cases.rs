//! The promises by name, each in the smallest run that shows it.

use std::collections::BTreeSet;
use std::time::Duration;

use magpietally_consensus::model::Faults;
use magpietally_consensus::Index;
use magpietally_transport::{Name, Peer, Session};

use crate::check::What;
use crate::play::{short, Play, MS};
use crate::{
    Admission, End, Entry, Outcome, ProposeError, Refusal, RefusalWhy, Settings, State, Step, Version, Why,
    WithoutLease,
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
fn change(play: &mut Play, i: usize, document: &str, limit: Duration) -> (End, Duration) {
    let ticket = play.propose(i, document).expect("taken for proposing");
    let took = play.until(limit, |p| matches!(p.outcome(i, ticket), Outcome::Ended(_)));
    match (took, play.outcome(i, ticket)) {
        (Some(took), Outcome::Ended(end)) => (end, took),
        (_, other) => panic!("after {limit:?}: {other:?}"),
    }
}

/// What a request gets that comes to node `i` now.
fn arrives(play: &mut Play, i: usize) -> Admission {
    let (machine, now) = play.model.machine(i).expect("it runs");
    machine.begin(now.boot, 5000 * MS)
}

fn refused(admission: &Admission) -> Option<RefusalWhy> {
    match admission {
        Admission::Refuse(Refusal { why, .. }) => Some(*why),
        _ => None,
    }
}

fn sound(mut play: Play) {
    play.heal();
    play.run(short().wait() + short().vote_for + short().close_for);
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
        let ended = play.until(s.vote_for + s.close_for + 20 * s.again, |p| {
            (1..5).all(|i| p.node(i).state().change.is_none())
        });
        assert!(ended.is_some(), "killed after {} ms: {:?}", after * 4, play.node(1).state().change);
        play.run(100 * MS);
        let actives: Vec<u64> = (1..5).map(|i| play.node(i).state().active.0).collect();
        assert!(actives.iter().all(|v| *v == actives[0]), "killed after {} ms: {actives:?}", after * 4);
        *(if actives[0] == 0 { &mut not } else { &mut taken }) += 1;
        let (end, _) = change(&mut play, 2, "share = 2", s.wait() + 5 * s.again);
        assert!(matches!(end, End::Taken(_)), "killed after {} ms: {end:?}", after * 4);
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
        let both = |p: &mut Play| [p.outcome(1, a), p.outcome(2, b)];
        let ended = |p: &mut Play| both(p).iter().all(|o| matches!(o, Outcome::Ended(_)));
        play.until(1000 * MS, ended).expect("both end");
        play.run(50 * MS);
        let (won, lost) = (Outcome::Ended(End::Taken(Version(1))), End::Lost { to: Version(1) });
        let [first, second] = both(&mut play);
        let (loser, wins) = if first == won { (second, "share = 1") } else { (first, "share = 2") };
        assert_eq!(loser, Outcome::Ended(lost), "seed {seed}");
        assert_eq!(play.node(4).state().document, wins.as_bytes(), "seed {seed}");
        sound(play);
    }
}

#[test]
fn a_document_that_one_members_check_refuses_is_decided_under_by_nobody_and_the_reason_is_told() {
    let mut play = fleet(3, |_| {});
    let (machine, now) = play.model.machine(3).expect("it runs");
    let own = machine.propose(now, Version(0), b"share = 1 !n3".to_vec());
    assert!(matches!(own, Err(ProposeError::Refused(_))), "{own:?}");
    let (end, _) = change(&mut play, 1, "share = 1 !n3", 1000 * MS);
    let End::Aborted(Version(1), Why::Refused { by, why }) = end else { panic!("{end:?}") };
    assert_eq!((by.name.as_str(), why.contains("policy.toml:3: key \"share\"")), ("n3", true), "{why}");
    play.run(1000 * MS);
    let under = |v| {
        play.records.iter().filter(move |r| matches!(r.what, What::Decided { version, .. } if version == v))
    };
    assert!(under(1).count() == 0 && under(0).count() > 100);
    sound(play);
}

#[test]
fn a_node_stopped_through_the_whole_change_refuses_the_first_request_it_sees_and_is_ready_when_caught_up() {
    let mut play = fleet(4, |_| {});
    let Admission::Go(epoch) = arrives(&mut play, 3) else { panic!("it serves") };
    play.pause(3, true);
    let (end, took) = change(&mut play, 1, "share = 1", 4000 * MS);
    assert_eq!(end, End::Taken(Version(1)));
    // It outwaits the lease of the stopped one, renewed at most a third of a term ago, and no more.
    assert!(took > 1300 * MS && took < short().wait() + 5 * short().again, "{took:?}");
    play.pause(3, false);
    let (machine, now) = play.model.machine(3).expect("it runs");
    // Nothing learnt yet, no timer run: the gate alone has to know.
    assert!(!machine.ready(now.boot));
    assert!(machine.may_decide(now.boot, &epoch).is_err());
    assert_eq!(refused(&machine.begin(now.boot, 5000 * MS)), Some(RefusalWhy::NoLease));
    let ready = |p: &mut Play| p.model.machine(3).is_some_and(|(m, now)| m.ready(now.boot));
    play.until(1000 * MS, ready).expect("it catches up");
    assert_eq!(play.node(3).state().active, Version(1));
    sound(play);
}

#[test]
fn a_node_cut_off_with_stop_finishes_what_it_has_and_the_change_outwaits_its_lease() {
    let mut play = fleet(5, |_| {});
    play.cut(3, true);
    play.run(1000 * MS);
    let Admission::Go(epoch) = arrives(&mut play, 3) else { panic!("its lease still holds") };
    let (end, _) = change(&mut play, 1, "share = 1", 4000 * MS);
    assert_eq!(end, End::Taken(Version(1)));
    assert_eq!(refused(&arrives(&mut play, 3)), Some(RefusalWhy::NoLease));
    let (machine, now) = play.model.machine(3).expect("it runs");
    assert!(machine.may_decide(now.boot, &epoch).is_ok());
    sound(play);
}

#[test]
fn a_node_cut_off_with_serve_goes_on_and_no_change_takes_hold_until_it_is_named_as_gone() {
    let mut play = fleet(6, |s| s[3].without_lease = WithoutLease::Serve);
    play.cut(3, true);
    let (end, _) = change(&mut play, 1, "share = 1", 6000 * MS);
    let End::Aborted(Version(1), Why::Silent { step: Step::Voting, who, of: 1 }) = end else {
        panic!("{end:?}")
    };
    assert_eq!(who[0].name.as_str(), "n3");
    assert!(matches!(arrives(&mut play, 3), Admission::Go(e) if e.version == Version(0)));
    play.kill(3);
    let (machine, now) = play.model.machine(2).expect("it runs");
    assert!(machine.gone(now, who[0].clone()));
    play.run(500 * MS);
    let (end, took) = change(&mut play, 1, "share = 2", 1000 * MS);
    assert_eq!(end, End::Taken(Version(2)), "{took:?}");
    sound(play);
}

#[test]
fn as_many_nodes_can_be_named_as_gone_as_a_large_fleet_has() {
    let mut play = fleet(6, |_| {});
    let (machine, now) = play.model.machine(2).expect("it runs");
    for n in 0..1024 {
        let name = Name::new(&format!("gone-{n}")).expect("a name");
        assert!(machine.gone(now, Peer { name, session: Session(1) }), "{n}");
    }
}

#[test]
fn a_node_that_left_holds_no_change_up() {
    let mut play = fleet(7, |_| {});
    let (machine, now) = play.model.machine(3).expect("it runs");
    machine.leave(now);
    assert_eq!(refused(&arrives(&mut play, 3)), Some(RefusalWhy::Leaving));
    play.until(1000 * MS, |p| p.node(3).left()).expect("its lease is given back");
    play.kill(3);
    let (end, took) = change(&mut play, 1, "share = 1", 4000 * MS);
    assert!(end == End::Taken(Version(1)) && took < 500 * MS, "{end:?} after {took:?}");
    sound(play);
}

#[test]
fn a_closing_that_hangs_holds_a_few_requests_for_a_bounded_time_and_refuses_the_rest() {
    let mut play = fleet(8, |_| {});
    play.load = 0.0;
    play.propose(1, "share = 1").expect("taken for proposing");
    // The last of five has accepted: the version closes, and one node is cut off before it learns so.
    play.until(1000 * MS, |p| (0..5).any(|i| i != 3 && p.node(i).state().closing())).expect("it closes");
    play.cut(3, true);
    assert!(!play.node(3).state().closing(), "it had learnt of the closing");
    play.run(50 * MS);

    let s = short();
    let (machine, now) = play.model.machine(0).expect("it runs");
    let boot = now.boot;
    assert!(machine.ready(boot));
    // One that has no time left is not held.
    assert_eq!(refused(&machine.begin(boot, 50 * MS)), Some(RefusalWhy::Closing));
    let mut tickets = Vec::new();
    for _ in 0..s.held_at_most {
        match machine.begin(boot, 5000 * MS) {
            Admission::Hold(ticket) => tickets.push(ticket),
            other => panic!("{other:?}"),
        }
    }
    // And no more than there is room for.
    assert_eq!(refused(&machine.begin(boot, 5000 * MS)), Some(RefusalWhy::Closing));
    machine.forget(tickets.pop().expect("one"));
    assert_eq!(machine.held(), s.held_at_most - 1);
    for ticket in tickets {
        assert!(ticket.until > boot && ticket.until <= boot + s.hold_for, "{ticket:?} at {boot:?}");
        // At its end it is refused, and not parked again.
        let until = ticket.until;
        assert_eq!(refused(&machine.again(until, ticket)), Some(RefusalWhy::Closing));
    }
    assert_eq!(machine.held(), 0);
    let later = boot + s.hold_for;
    assert_eq!(refused(&machine.begin(later, 5000 * MS)), Some(RefusalWhy::Closing));
    assert!(!machine.ready(later));

    // Then the change is given up, and the old version opens.
    let open = |p: &mut Play| !p.node(0).state().closing();
    play.until(s.close_for + 5 * s.again, open).expect("it is given up");
    assert!(matches!(arrives(&mut play, 0), Admission::Go(e) if e.version == Version(0)));
    let figures = play.node(0).figures();
    assert!(
        figures.closings == 1 && figures.held == 8 && figures.longest_closing >= s.close_for,
        "{figures:?}"
    );
    sound(play);
}

#[test]
fn a_roll_back_is_a_new_change_with_a_new_version() {
    let mut play = fleet(9, |_| {});
    for (version, document) in [(1, "share = 1"), (2, "share = 2"), (3, "share = 1")] {
        let (end, _) = change(&mut play, version as usize, document, 1000 * MS);
        assert_eq!(end, End::Taken(Version(version)));
        // The next node to propose knows it too.
        play.run(50 * MS);
    }
    assert_eq!(play.node(1).state().document, b"share = 1");
    // One made against a version that is over is told so.
    let (machine, now) = play.model.machine(4).expect("it runs");
    let ticket = machine.propose(now, Version(1), b"share = 4".to_vec()).expect("taken for proposing");
    play.run(300 * MS);
    assert_eq!(play.outcome(4, ticket), Outcome::Ended(End::Lost { to: Version(3) }));
    sound(play);
}

#[test]
fn a_node_stopped_while_a_version_closes_decides_nothing_again_that_it_had_begun_though_its_lease_holds() {
    let mut play = fleet(10, |_| {});
    let Admission::Go(epoch) = arrives(&mut play, 0) else { panic!("it serves") };
    play.propose(1, "share = 1").expect("taken for proposing");
    play.until(1000 * MS, |p| p.node(0).state().closing()).expect("it closes");
    play.pause(0, true);
    play.run(300 * MS);
    play.pause(0, false);
    let (machine, now) = play.model.machine(0).expect("it runs");
    assert!(machine.state().closing() && machine.leased(now.boot));
    assert!(machine.may_decide(now.boot, &epoch).is_err());
    sound(play);
}

#[test]
fn a_node_whose_check_refuses_what_was_taken_without_it_serves_nothing_until_the_next_change() {
    let mut play = fleet(11, |_| {});
    play.cut(3, true);
    play.run(2500 * MS);
    let (end, _) = change(&mut play, 1, "share = 1 !n3", 1000 * MS);
    assert_eq!(end, End::Taken(Version(1)));
    play.cut(3, false);
    play.run(1000 * MS);
    assert_eq!(refused(&arrives(&mut play, 3)), Some(RefusalWhy::CantTake));
    let (machine, now) = play.model.machine(3).expect("it runs");
    assert!(!machine.ready(now.boot) && machine.cant_take().is_some());
    assert_eq!(change(&mut play, 1, "share = 2", 1000 * MS).0, End::Taken(Version(2)));
    play.run(50 * MS);
    assert!(matches!(arrives(&mut play, 3), Admission::Go(e) if e.version == Version(2)));
    sound(play);
}

#[test]
fn a_member_that_asks_for_its_lease_a_second_time_while_a_version_closes_has_not_stopped() {
    let peer = |n: &str| Peer { name: Name::new(n).expect("a name"), session: Session(1) };
    let (a, b, c) = (peer("a"), peer("b"), peer("c"));
    let join = || Entry::Join { ask: 1, term_ms: 1000, serves_on: false };
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
    assert!(state.closing());
    // The newcomer has: it learns of its lease after the closing.
    assert_eq!(state.change.map(|change| change.done), Some(BTreeSet::from([c])));
}
