//! The referee catches each rule that a deliberately faulty node breaks, and blames no good one.

use magpietally_site::examples;
use magpietally_site::model::faults::FaultKind;
use magpietally_site::model::referee::{Final, Referee, Rule};
use magpietally_site::model::spec::Site;
use magpietally_site::model::time::SECOND;
use magpietally_site::virt::{run, InjectedFault, Variant};

fn short(name: &str) -> Site {
    let mut site = examples::site(name).expect("it is embedded");
    site.for_s = 16.0;
    site.faults.iter_mut().for_each(|f| f.at_s = 4.0);
    site
}

/// Which schedule brings each misdeed out, and which rule it breaks.
#[test]
fn each_misdeed_is_caught_and_the_good_node_is_not() {
    for (injected, fault, rule) in [
        (InjectedFault::SecondRun, "lost_answers", Rule::Repeats),
        (InjectedFault::IgnoresDrains, "release", Rule::Drain),
        (InjectedFault::RefusesWhatRan, "lost_answers", Rule::Repeats),
        (InjectedFault::LosesRequests, "lost_answers", Rule::OneAnswer),
        (InjectedFault::PushesCold, "release", Rule::ColdBox),
        (InjectedFault::HoldsBack, "lost_answers", Rule::HeldBack),
    ] {
        let site = short(fault);
        let caught = run(&site, 3, &Variant::faulty(injected)).verdict;
        assert!(caught.broken.contains_key(&rule), "{injected:?} went unseen: {:?}", caught.broken);
        let good = run(&site, 3, &Variant::policy()).verdict;
        assert_eq!(good.rules_broken(), 0, "{fault}: {:?}", good.breaches);
    }
}

#[test]
fn no_single_fault_makes_the_policy_break_a_rule() {
    for kind in FaultKind::ALL {
        let run = run(&short(kind.name()), 11, &Variant::policy());
        assert_eq!(run.verdict.rules_broken(), 0, "{}: {:?}", kind.name(), run.verdict.breaches);
        assert!(run.verdict.worth > 0.5, "{}: {}", kind.name(), run.verdict.worth);
    }
}

fn referee() -> Referee {
    let site = examples::site("calm").expect("it is embedded");
    Referee::new(&site, vec![0, 1, 0])
}

const LOOKUP: usize = 0;
const SIGNUP: usize = 1;

#[test]
fn a_clients_retry_and_its_first_try_count_once() {
    let mut referee = referee();
    let request = referee.asked(0, LOOKUP, None, true);
    let first = referee.tried(0, request, 0, SECOND);
    referee.taken(100, first);
    referee.answered(50_000, 50_000, first, Final::Refused);
    let second = referee.tried(90_000, request, 1, SECOND);
    referee.taken(90_100, second);
    referee.answered(299_000, 298_000, second, Final::Served);
    referee.settled(request, false);
    let verdict = referee.finish(2 * SECOND);
    assert_eq!((verdict.whole.requests, verdict.whole.in_time, verdict.whole.refused), (1, 1, 0));
    assert_eq!(verdict.worth, 1.0);
    assert_eq!(verdict.retries, 1.0);
}

/// In time counts from the first asking, over all tries.
#[test]
fn an_answer_within_the_aim_of_its_own_try_alone_is_late() {
    let mut referee = referee();
    let request = referee.asked(0, LOOKUP, None, true);
    let late = referee.tried(200_000, request, 0, SECOND);
    referee.taken(200_000, late);
    referee.answered(301_000, 301_000, late, Final::Served);
    let verdict = referee.finish(2 * SECOND);
    assert_eq!((verdict.whole.served, verdict.whole.in_time), (1, 0));
}

#[test]
fn an_answer_at_the_instant_of_the_deadline_is_one_and_after_the_slack_is_none() {
    for (left, broken) in [(SECOND, 0), (SECOND + 50_000, 0), (SECOND + 50_001, 1)] {
        let mut referee = referee();
        let request = referee.asked(0, LOOKUP, None, true);
        let number = referee.tried(0, request, 0, SECOND);
        referee.taken(0, number);
        let attempt = referee.sent(10, number, 0);
        referee.answered(left + 500, left, number, Final::Failed);
        referee.ended(left + 500, attempt);
        assert_eq!(referee.finish(2 * SECOND).rules_broken(), broken, "left at {left}");
    }
}

/// What a killed node held is its client's to repeat: neither it nor the next node is to blame, for the loss or for
/// the second run that the client asked for within its class's right.
#[test]
fn a_killed_node_loses_nothing_that_counts_and_the_next_is_not_blamed() {
    let mut referee = referee();
    let request = referee.asked(0, LOOKUP, None, true);
    let first = referee.tried(0, request, 0, SECOND);
    referee.taken(100, first);
    let attempt = referee.sent(200, first, 0);
    referee.written(200, attempt);
    referee.reached(300, attempt, 1000.0, 2.0, true);
    referee.node_killed(0);
    referee.ended(1000, attempt);
    referee.ran(5000, attempt);
    let second = referee.tried(9000, request, 1, SECOND);
    referee.taken(9000, second);
    let again = referee.sent(9100, second, 1);
    referee.written(9100, again);
    referee.reached(9200, again, 1000.0, 2.0, true);
    referee.ran(20_000, again);
    referee.answered(30_000, 29_000, second, Final::Served);
    let verdict = referee.finish(2 * SECOND);
    assert_eq!(verdict.rules_broken(), 0, "{:?}", verdict.breaches);
    assert_eq!(verdict.whole.in_time, 1);
}

/// The answer had left when the node died: it is the one answer, and no second one.
#[test]
fn an_answer_on_its_way_when_its_node_is_killed_still_counts() {
    let mut referee = referee();
    let request = referee.asked(0, LOOKUP, None, true);
    let number = referee.tried(0, request, 0, SECOND);
    referee.taken(100, number);
    referee.node_killed(0);
    referee.answered(900, 800, number, Final::Served);
    let verdict = referee.finish(2 * SECOND);
    assert_eq!((verdict.rules_broken(), verdict.whole.in_time), (0, 1));
}

#[test]
fn a_refusal_is_broken_by_what_arrives_after_it() {
    let mut referee = referee();
    let request = referee.asked(0, SIGNUP, None, true);
    let number = referee.tried(0, request, 0, SECOND);
    referee.taken(0, number);
    let attempt = referee.sent(10, number, 0);
    referee.answered(20, 15, number, Final::Refused);
    assert!(!referee.reached(30, attempt, 1000.0, 2.0, true));
    assert_eq!(referee.finish(2 * SECOND).broken.get(&Rule::Repeats), Some(&1));
}

#[test]
fn two_answers_and_a_late_send_to_a_drained_box_are_broken_rules() {
    let mut referee = referee();
    let request = referee.asked(0, LOOKUP, None, true);
    let number = referee.tried(0, request, 0, 5 * SECOND);
    referee.taken(0, number);
    referee.told(1000, 0, 2, false);
    let attempt = referee.sent(700_000, number, 2);
    referee.written(751_000, attempt);
    assert_eq!(referee.finish(0).rules_broken(), 0, "within 750 ms");

    let mut referee = self::referee();
    let request = referee.asked(0, LOOKUP, None, true);
    let number = referee.tried(0, request, 0, 5 * SECOND);
    referee.taken(0, number);
    referee.told(1000, 0, 2, false);
    let attempt = referee.sent(700_000, number, 2);
    referee.written(751_001, attempt);
    referee.answered(760_000, 760_000, number, Final::Served);
    referee.answered(770_000, 770_000, number, Final::Served);
    let broken = referee.finish(2 * SECOND).broken;
    assert_eq!((broken.get(&Rule::Drain), broken.get(&Rule::OneAnswer)), (Some(&1), Some(&1)));
}
