//! Every rule of the checker catches a history that breaks it, by name, and finds nothing in the one beside it that doesn't.

use std::time::Duration;

use magpietally_addresses::check::{check, Bounds, Record, Seen, What};
use magpietally_addresses::{AddressRule, Judgement, Kind, Rules};
use magpietally_transport::Name;

const S: &str = "192.0.2.10/32";
const E: &str = "192.0.2.20/32";

fn name(n: &str) -> Name {
    Name::new(n).expect("a name")
}

fn rules() -> Rules {
    let rule = |prefix: &str, kind| AddressRule {
        prefix: prefix.into(),
        kind,
        med: 100,
        sites: vec![name("a"), name("b"), name("c")],
    };
    Rules { addresses: vec![rule(S, Kind::Shared), rule(E, Kind::Exclusive)], ..Rules::default() }
}

fn seen(judgement: Judgement, asked: u64) -> Seen {
    Seen { judgement, asked, capacity: 100, share: if judgement == Judgement::Well { 1000 } else { 500 } }
}

fn route(prefix: &str, site: &str, session: u32, up: bool) -> What {
    What::Route { prefix: prefix.into(), site: name(site), session, up }
}

fn decided(prefix: &str, site: &str, up: bool) -> What {
    What::Decided { prefix: prefix.into(), site: name(site), up }
}

fn truth(site: &str, j: Judgement) -> What {
    What::Truth { site: name(site), seen: seen(j, 10) }
}

fn judged(site: &str, j: Judgement, asked: u64) -> What {
    What::Judged { site: name(site), seen: seen(j, asked) }
}

/// Three sites well and decided for the shared address, `a` owns the exclusive one; then what is added.
fn history(more: Vec<(u64, What)>) -> Vec<Record> {
    let mut all = vec![(0, What::Rules(rules()))];
    for (i, site) in ["a", "b", "c"].iter().enumerate() {
        let well = Judgement::Well;
        all.extend([(0, truth(site, well)), (0, judged(site, well, 10))]);
        all.extend([(6000, decided(S, site, true)), (6010, route(S, site, i as u32, true))]);
    }
    all.extend([(6000, decided(E, "a", true)), (6010, route(E, "a", 0, true))]);
    all.extend(more);
    all.into_iter().map(|(ms, what)| Record { at: Duration::from_millis(ms), what }).collect()
}

/// The faulty history breaks this rule alone; the sound one breaks none.
fn catches(rule: &str, faulty: Vec<(u64, What)>, sound: Vec<(u64, What)>) {
    let report = check(&history(faulty), Bounds::default());
    assert!(
        !report.faults.is_empty() && report.faults.iter().all(|f| f.rule == rule),
        "{rule}: {:?}",
        report.faults
    );
    let report = check(&history(sound), Bounds::default());
    assert!(report.faults.is_empty(), "{rule}, sound: {:?}", report.faults);
}

fn end(ms: u64) -> (u64, What) {
    (ms, What::End)
}

#[test]
fn a_sick_site_that_stays_is_caught_as_withdraw_in_time() {
    let sick = || vec![(20_000, truth("a", Judgement::Sick)), (20_000, judged("a", Judgement::Sick, 10))];
    let mut sound = sick();
    sound.extend([(22_500, decided(S, "a", false)), (22_900, route(S, "a", 0, false)), end(30_000)]);
    let mut faulty = sick();
    faulty.push(end(30_000));
    catches("withdraw-in-time", faulty, sound);
}

/// `a` is withdrawn as sick at 22 s, is well from `well` on and comes back at `back`.
fn returns(well: u64, back: u64) -> Vec<(u64, What)> {
    let (sick, ok) = (Judgement::Sick, Judgement::Well);
    vec![
        (20_000, truth("a", sick)),
        (20_000, judged("a", sick, 10)),
        (22_000, decided(S, "a", false)),
        (22_100, route(S, "a", 0, false)),
        (well, truth("a", ok)),
        (well, judged("a", ok, 10)),
        (back, decided(S, "a", true)),
        (back + 10, route(S, "a", 0, true)),
        end(back + 100),
    ]
}

#[test]
fn a_site_that_comes_back_at_once_is_caught_as_hold_up() {
    let report = check(&history(returns(30_000, 31_000)), Bounds::default());
    assert!(report.broke("hold-up"), "{:?}", report.faults);
    assert!(check(&history(returns(30_000, 41_000)), Bounds::default()).faults.is_empty());
}

#[test]
fn a_site_that_flapped_and_comes_back_after_the_first_hold_up_is_caught_as_damped() {
    catches("damped", returns(30_000, 36_000), returns(30_000, 41_000));
}

#[test]
fn a_last_site_that_goes_is_caught_as_never_nobody() {
    let all = |ms: u64, last: Judgement| {
        let mut h = Vec::new();
        for (i, site) in ["b", "c", "a"].iter().enumerate() {
            let j = if *site == "a" { last } else { Judgement::Dead };
            h.extend([(ms, truth(site, j)), (ms, judged(site, j, 0))]);
            h.extend([(ms + 100 * i as u64, decided(S, site, false))]);
            h.push((
                ms + 10 + 100 * i as u64,
                route(S, site, if *site == "a" { 0 } else { i as u32 + 1 }, false),
            ));
        }
        h.push(end(ms + 1000));
        h
    };
    catches("never-nobody", all(20_000, Judgement::Sick), all(20_000, Judgement::Dead));
}

#[test]
fn a_withdrawal_that_the_rest_cannot_bear_is_caught_as_no_cascade() {
    let asked = |n: u64| {
        let sick = Judgement::Sick;
        vec![
            (20_000, truth("a", sick)),
            (20_000, judged("a", sick, n)),
            (22_000, decided(S, "a", false)),
            (22_100, route(S, "a", 0, false)),
            end(23_000),
        ]
    };
    catches("no-cascade", asked(181), asked(180));
}

#[test]
fn two_withdrawals_at_once_are_caught_as_one_a_settling_time() {
    let two = |second: u64| {
        let mut h = Vec::new();
        for (site, session, ms) in [("a", 0, 22_000), ("b", 1, second)] {
            h.extend([(20_000, truth(site, Judgement::Sick)), (20_000, judged(site, Judgement::Sick, 10))]);
            h.extend([(ms, decided(S, site, false)), (ms + 10, route(S, site, session, false))]);
        }
        h
    };
    catches("one-a-settling-time", two(23_000), two(32_100));
}

#[test]
fn two_routes_and_two_claims_of_an_exclusive_address_are_caught_as_never_two_owners() {
    let moved = |gone: u64| {
        vec![
            (20_000, decided(E, "a", false)),
            (20_000, decided(E, "b", true)),
            (gone, route(E, "a", 0, false)),
            (21_000, route(E, "b", 1, true)),
        ]
    };
    catches("never-two-owners", moved(21_001), moved(21_000));
    let claims = |gone: u64| {
        let claim = |node, up| What::Claim { prefix: E.into(), node, up };
        vec![(20_000, claim(0, true)), (gone, claim(0, false)), (21_000, claim(1, true)), end(22_000)]
    };
    catches("never-two-owners", claims(21_001), claims(20_999));
}

#[test]
fn an_exclusive_address_without_an_owner_for_long_is_caught_as_gap_bounded() {
    let gap = |back: u64| vec![(20_000, route(E, "a", 0, false)), (back, route(E, "a", 0, true))];
    let report = check(&history(gap(40_000)), Bounds::default());
    assert!(report.broke("gap-bounded") && report.gap >= Duration::from_secs(19), "{report:?}");
    assert!(check(&history(gap(30_000)), Bounds::default()).faults.is_empty());
}

#[test]
fn a_route_against_the_log_is_caught_as_stale_withdrawn() {
    let dead = |gone: u64| {
        vec![
            (20_000, judged("a", Judgement::Dead, 0)),
            (20_000, decided(S, "a", false)),
            (gone, route(S, "a", 0, false)),
        ]
    };
    catches("stale-withdrawn", dead(24_000), dead(22_000));
}

#[test]
fn a_request_lost_in_a_planned_stop_is_caught_as_stop_loses_nothing() {
    let stop = |open, lost: Option<u64>| {
        let mut h = vec![(20_000, What::Stopping { node: 0 }), (25_000, What::Stopped { node: 0, open })];
        h.extend(lost.map(|ms| (ms, What::Lost { node: 0 })));
        h
    };
    catches("stop-loses-nothing", stop(1, None), stop(0, None));
    catches("stop-loses-nothing", stop(0, Some(22_000)), stop(0, Some(26_000)));
}
