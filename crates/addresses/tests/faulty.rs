//! For every rule the checker reports a history that violates it, under the rule's name, and accepts a
//! similar valid one.

use std::time::Duration;

use magpietally_addresses::check::{check, Bounds, Observation, Record, SiteStatus};
use magpietally_addresses::{AddressKind, AddressRule, Rules, SiteHealth};
use magpietally_transport::Name;

const SHARED: &str = "192.0.2.10/32";
const EXCLUSIVE: &str = "192.0.2.20/32";

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
    Rules {
        addresses: vec![rule(SHARED, AddressKind::Shared), rule(EXCLUSIVE, AddressKind::Exclusive)],
        ..Rules::default()
    }
}

fn site_status(judgement: SiteHealth, asked: u64) -> SiteStatus {
    SiteStatus {
        judgement,
        asked,
        capacity: 100,
        share: if judgement == SiteHealth::Healthy { 1000 } else { 500 },
    }
}

fn route(prefix: &str, site: &str, session: u32, up: bool) -> Observation {
    Observation::Route { prefix: prefix.into(), site: name(site), session, up }
}

fn decided(prefix: &str, site: &str, up: bool) -> Observation {
    Observation::Decided { prefix: prefix.into(), site: name(site), up }
}

fn actual(site: &str, j: SiteHealth) -> Observation {
    Observation::Truth { site: name(site), seen: site_status(j, 10) }
}

fn judged(site: &str, j: SiteHealth, asked: u64) -> Observation {
    Observation::Judged { site: name(site), seen: site_status(j, asked) }
}

/// Three healthy sites advertise the shared address and `a` owns the exclusive one; `more` follows.
fn history(more: Vec<(u64, Observation)>) -> Vec<Record> {
    let mut all = vec![(0, Observation::Rules(rules()))];
    for (i, site) in ["a", "b", "c"].iter().enumerate() {
        let healthy = SiteHealth::Healthy;
        all.extend([(0, actual(site, healthy)), (0, judged(site, healthy, 10))]);
        all.extend([(6000, decided(SHARED, site, true)), (6010, route(SHARED, site, i as u32, true))]);
    }
    all.extend([(6000, decided(EXCLUSIVE, "a", true)), (6010, route(EXCLUSIVE, "a", 0, true))]);
    all.extend(more);
    all.into_iter().map(|(ms, what)| Record { at: Duration::from_millis(ms), what }).collect()
}

/// Asserts that the faulty history violates only this rule and the valid one violates none.
fn assert_detects(rule: &str, faulty: Vec<(u64, Observation)>, valid: Vec<(u64, Observation)>) {
    let report = check(&history(faulty), Bounds::default());
    assert!(
        !report.violations.is_empty() && report.violations.iter().all(|f| f.rule == rule),
        "{rule}: {:?}",
        report.violations
    );
    let report = check(&history(valid), Bounds::default());
    assert!(report.violations.is_empty(), "{rule}, valid: {:?}", report.violations);
}

fn end(ms: u64) -> (u64, Observation) {
    (ms, Observation::End)
}

#[test]
fn detects_withdraw_in_time() {
    let degraded =
        || vec![(20_000, actual("a", SiteHealth::Degraded)), (20_000, judged("a", SiteHealth::Degraded, 10))];
    let mut valid = degraded();
    valid.extend([
        (22_500, decided(SHARED, "a", false)),
        (22_900, route(SHARED, "a", 0, false)),
        end(30_000),
    ]);
    let mut faulty = degraded();
    faulty.push(end(30_000));
    assert_detects("withdraw-in-time", faulty, valid);
}

/// `a` is withdrawn as degraded at 22 s, is healthy from `healthy_at` on and advertises again at `back`.
fn withdrawn_and_back(healthy_at: u64, back: u64) -> Vec<(u64, Observation)> {
    let (degraded, ok) = (SiteHealth::Degraded, SiteHealth::Healthy);
    vec![
        (20_000, actual("a", degraded)),
        (20_000, judged("a", degraded, 10)),
        (22_000, decided(SHARED, "a", false)),
        (22_100, route(SHARED, "a", 0, false)),
        (healthy_at, actual("a", ok)),
        (healthy_at, judged("a", ok, 10)),
        (back, decided(SHARED, "a", true)),
        (back + 10, route(SHARED, "a", 0, true)),
        end(back + 100),
    ]
}

#[test]
fn detects_hold_up() {
    let report = check(&history(withdrawn_and_back(30_000, 31_000)), Bounds::default());
    assert!(report.has_violation("hold-up"), "{:?}", report.violations);
    assert!(check(&history(withdrawn_and_back(30_000, 41_000)), Bounds::default()).violations.is_empty());
}

#[test]
fn detects_damped() {
    assert_detects("damped", withdrawn_and_back(30_000, 36_000), withdrawn_and_back(30_000, 41_000));
}

#[test]
fn detects_never_nobody() {
    let all = |ms: u64, last: SiteHealth| {
        let mut h = Vec::new();
        for (i, site) in ["b", "c", "a"].iter().enumerate() {
            let j = if *site == "a" { last } else { SiteHealth::Down };
            h.extend([(ms, actual(site, j)), (ms, judged(site, j, 0))]);
            h.extend([(ms + 100 * i as u64, decided(SHARED, site, false))]);
            h.push((
                ms + 10 + 100 * i as u64,
                route(SHARED, site, if *site == "a" { 0 } else { i as u32 + 1 }, false),
            ));
        }
        h.push(end(ms + 1000));
        h
    };
    assert_detects("never-nobody", all(20_000, SiteHealth::Degraded), all(20_000, SiteHealth::Down));
}

#[test]
fn detects_no_cascade() {
    let requested = |n: u64| {
        let degraded = SiteHealth::Degraded;
        vec![
            (20_000, actual("a", degraded)),
            (20_000, judged("a", degraded, n)),
            (22_000, decided(SHARED, "a", false)),
            (22_100, route(SHARED, "a", 0, false)),
            end(23_000),
        ]
    };
    assert_detects("no-cascade", requested(181), requested(180));
}

#[test]
fn detects_one_a_settling_time() {
    let two = |second: u64| {
        let mut h = Vec::new();
        for (site, session, ms) in [("a", 0, 22_000), ("b", 1, second)] {
            h.extend([
                (20_000, actual(site, SiteHealth::Degraded)),
                (20_000, judged(site, SiteHealth::Degraded, 10)),
            ]);
            h.extend([(ms, decided(SHARED, site, false)), (ms + 10, route(SHARED, site, session, false))]);
        }
        h
    };
    assert_detects("one-a-settling-time", two(23_000), two(32_100));
}

#[test]
fn detects_never_two_owners_for_routes_and_claims() {
    let moved = |gone: u64| {
        vec![
            (20_000, decided(EXCLUSIVE, "a", false)),
            (20_000, decided(EXCLUSIVE, "b", true)),
            (gone, route(EXCLUSIVE, "a", 0, false)),
            (21_000, route(EXCLUSIVE, "b", 1, true)),
        ]
    };
    assert_detects("never-two-owners", moved(21_001), moved(21_000));
    let claims = |gone: u64| {
        let claim = |node, up| Observation::Claim { prefix: EXCLUSIVE.into(), node, up };
        vec![(20_000, claim(0, true)), (gone, claim(0, false)), (21_000, claim(1, true)), end(22_000)]
    };
    assert_detects("never-two-owners", claims(21_001), claims(20_999));
}

#[test]
fn detects_gap_bounded() {
    let gap =
        |back: u64| vec![(20_000, route(EXCLUSIVE, "a", 0, false)), (back, route(EXCLUSIVE, "a", 0, true))];
    let report = check(&history(gap(40_000)), Bounds::default());
    assert!(report.has_violation("gap-bounded") && report.gap >= Duration::from_secs(19), "{report:?}");
    assert!(check(&history(gap(30_000)), Bounds::default()).violations.is_empty());
}

#[test]
fn detects_stale_withdrawn() {
    let down = |gone: u64| {
        vec![
            (20_000, judged("a", SiteHealth::Down, 0)),
            (20_000, decided(SHARED, "a", false)),
            (gone, route(SHARED, "a", 0, false)),
        ]
    };
    assert_detects("stale-withdrawn", down(24_000), down(22_000));
}

#[test]
fn detects_stop_loses_nothing() {
    let stop = |open, lost: Option<u64>| {
        let mut h = vec![
            (20_000, Observation::Stopping { node: 0 }),
            (25_000, Observation::Stopped { node: 0, open }),
        ];
        h.extend(lost.map(|ms| (ms, Observation::Lost { node: 0 })));
        h
    };
    assert_detects("stop-loses-nothing", stop(1, None), stop(0, None));
    assert_detects("stop-loses-nothing", stop(0, Some(22_000)), stop(0, Some(26_000)));
}
