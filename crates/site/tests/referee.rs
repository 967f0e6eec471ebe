//! The referee detects each rule that an injected fault breaks, and reports nothing against a correct node.

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

/// For each injected fault: the schedule that exposes it, and the rule that it breaks.
#[test]
fn each_injected_fault_is_detected_and_the_correct_node_passes() {
    for (injected, fault, rule) in [
        (InjectedFault::SecondRun, "lost_answers", Rule::Repeats),
        (InjectedFault::IgnoresDrains, "release", Rule::Drain),
        (InjectedFault::RefusesWhatRan, "lost_answers", Rule::Repeats),
        (InjectedFault::LosesRequests, "lost_answers", Rule::OneAnswer),
        (InjectedFault::PushesCold, "release", Rule::ColdBox),
        (InjectedFault::HoldsBack, "lost_answers", Rule::HeldBack),
    ] {
        let site = short(fault);
        let faulty = run(&site, 3, &Variant::faulty(injected)).verdict;
        assert!(faulty.broken.contains_key(&rule), "{injected:?} was not detected: {:?}", faulty.broken);
        let correct = run(&site, 3, &Variant::policy()).verdict;
        assert_eq!(correct.rules_broken(), 0, "{fault}: {:?}", correct.breaches);
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
fn a_retry_and_its_first_try_count_as_one_request() {
    let mut referee = referee();
    let request = referee.request_started(0, LOOKUP, None, true);
    let first = referee.try_started(0, request, 0, SECOND);
    referee.try_accepted(100, first);
    referee.answer_received(50_000, 50_000, first, Final::Refused);
    let second = referee.try_started(90_000, request, 1, SECOND);
    referee.try_accepted(90_100, second);
    referee.answer_received(299_000, 298_000, second, Final::Served);
    referee.request_finished(request, false);
    let verdict = referee.finish(2 * SECOND);
    assert_eq!((verdict.whole.requests, verdict.whole.in_time, verdict.whole.refused), (1, 1, 0));
    assert_eq!(verdict.worth, 1.0);
    assert_eq!(verdict.retries, 1.0);
}

/// The aim is counted from the first try, over all tries.
#[test]
fn an_answer_within_the_aim_of_a_retry_but_not_of_the_request_is_late() {
    let mut referee = referee();
    let request = referee.request_started(0, LOOKUP, None, true);
    let late = referee.try_started(200_000, request, 0, SECOND);
    referee.try_accepted(200_000, late);
    referee.answer_received(301_000, 301_000, late, Final::Served);
    let verdict = referee.finish(2 * SECOND);
    assert_eq!((verdict.whole.served, verdict.whole.in_time), (1, 0));
}

#[test]
fn an_answer_counts_until_the_deadline_plus_slack() {
    for (left, broken) in [(SECOND, 0), (SECOND + 50_000, 0), (SECOND + 50_001, 1)] {
        let mut referee = referee();
        let request = referee.request_started(0, LOOKUP, None, true);
        let number = referee.try_started(0, request, 0, SECOND);
        referee.try_accepted(0, number);
        let attempt = referee.attempt_started(10, number, 0);
        referee.answer_received(left + 500, left, number, Final::Failed);
        referee.attempt_ended(left + 500, attempt);
        assert_eq!(referee.finish(2 * SECOND).rules_broken(), broken, "left at {left}");
    }
}

/// Open tries of a killed node are left to their clients. Neither this node nor the next one is blamed, for
/// the loss or for the second run that the client requested within the rights of the class.
#[test]
fn neither_a_killed_node_nor_the_next_one_is_blamed() {
    let mut referee = referee();
    let request = referee.request_started(0, LOOKUP, None, true);
    let first = referee.try_started(0, request, 0, SECOND);
    referee.try_accepted(100, first);
    let attempt = referee.attempt_started(200, first, 0);
    referee.attempt_written(200, attempt);
    referee.attempt_reached_box(300, attempt, 1000.0, 2.0, true);
    referee.node_killed(0);
    referee.attempt_ended(1000, attempt);
    referee.attempt_ran(5000, attempt);
    let second = referee.try_started(9000, request, 1, SECOND);
    referee.try_accepted(9000, second);
    let again = referee.attempt_started(9100, second, 1);
    referee.attempt_written(9100, again);
    referee.attempt_reached_box(9200, again, 1000.0, 2.0, true);
    referee.attempt_ran(20_000, again);
    referee.answer_received(30_000, 29_000, second, Final::Served);
    let verdict = referee.finish(2 * SECOND);
    assert_eq!(verdict.rules_broken(), 0, "{:?}", verdict.breaches);
    assert_eq!(verdict.whole.in_time, 1);
}

/// The answer had left when the node was killed: it counts as the one final answer.
#[test]
fn an_answer_sent_before_its_node_is_killed_still_counts() {
    let mut referee = referee();
    let request = referee.request_started(0, LOOKUP, None, true);
    let number = referee.try_started(0, request, 0, SECOND);
    referee.try_accepted(100, number);
    referee.node_killed(0);
    referee.answer_received(900, 800, number, Final::Served);
    let verdict = referee.finish(2 * SECOND);
    assert_eq!((verdict.rules_broken(), verdict.whole.in_time), (0, 1));
}

#[test]
fn an_attempt_that_arrives_after_a_refusal_breaks_a_rule() {
    let mut referee = referee();
    let request = referee.request_started(0, SIGNUP, None, true);
    let number = referee.try_started(0, request, 0, SECOND);
    referee.try_accepted(0, number);
    let attempt = referee.attempt_started(10, number, 0);
    referee.answer_received(20, 15, number, Final::Refused);
    assert!(!referee.attempt_reached_box(30, attempt, 1000.0, 2.0, true));
    assert_eq!(referee.finish(2 * SECOND).broken.get(&Rule::Repeats), Some(&1));
}

#[test]
fn two_answers_and_a_late_send_to_a_drained_box_break_rules() {
    let mut referee = referee();
    let request = referee.request_started(0, LOOKUP, None, true);
    let number = referee.try_started(0, request, 0, 5 * SECOND);
    referee.try_accepted(0, number);
    referee.node_learned_state(1000, 0, 2, false);
    let attempt = referee.attempt_started(700_000, number, 2);
    referee.attempt_written(751_000, attempt);
    assert_eq!(referee.finish(0).rules_broken(), 0, "within 750 ms");

    let mut referee = self::referee();
    let request = referee.request_started(0, LOOKUP, None, true);
    let number = referee.try_started(0, request, 0, 5 * SECOND);
    referee.try_accepted(0, number);
    referee.node_learned_state(1000, 0, 2, false);
    let attempt = referee.attempt_started(700_000, number, 2);
    referee.attempt_written(751_001, attempt);
    referee.answer_received(760_000, 760_000, number, Final::Served);
    referee.answer_received(770_000, 770_000, number, Final::Served);
    let broken = referee.finish(2 * SECOND).broken;
    assert_eq!((broken.get(&Rule::Drain), broken.get(&Rule::OneAnswer)), (Some(&1), Some(&1)));
}
