//! Rule 4 over whole fleets: what all nodes together send to a cold server stays within its budget, for
//! fleets of any size, and a cold server still gets enough traffic to be useful.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{rules, run, worst_window, Scenario, CHANCE_MARGIN, SCENARIOS};

const NODES: [usize; 6] = [1, 3, 20, 30, 100, 300];

/// Checks that sends stay within the budget in every window, and that cold servers are still used.
fn check(scenario: Scenario) {
    // With very little traffic, few requests reach the cold server, by chance.
    let sparse = scenario.per_s < 100.0;
    let calm =
        scenario.load < 1.0 && scenario.cold < scenario.servers && scenario.hanging + scenario.down == 0;
    for (seed, nodes) in (1..).zip(NODES) {
        let report = run(scenario, nodes, seed);
        assert!(report.worst <= 1.0, "{}, {nodes} nodes: {report:?}", scenario.name);
        assert!(sparse || report.used > 0.15, "{}, {nodes} nodes: {report:?}", scenario.name);
        assert!(sparse || !calm || report.served > 0.85, "{}, {nodes} nodes: {report:?}", scenario.name);
    }
}

#[test]
fn no_fleet_overloads_a_cold_server_beside_warm_ones() {
    SCENARIOS.into_iter().filter(|s| s.cold < s.servers && s.per_s < 1_000.0).for_each(check);
}

#[test]
fn no_fleet_overloads_servers_that_all_start() {
    SCENARIOS.into_iter().filter(|s| s.cold == s.servers && s.per_s < 1_000.0).for_each(check);
}

/// Checks the checker: plain round robin, without regard to cold servers, overloads them.
#[test]
fn nodes_that_ignore_the_policy_are_detected() {
    let scenario =
        SCENARIOS.into_iter().find(|s| s.load == 0.95).expect("a scenario with a fleet nearly full");
    for nodes in NODES {
        let with_policy = run(scenario, nodes, 1).worst;
        let without = run(Scenario { ignore_policy: true, ..scenario }, nodes, 1).worst;
        assert!(with_policy <= 1.0 && without > 1.0, "{nodes} nodes: {with_policy} and {without}");
    }
}

/// One send more than the budget and chance, in a burst or spread over a window, is one too many; as many
/// over more than a window are not.
#[test]
fn the_budget_is_counted_to_the_send() {
    let rules = rules();
    let (started, per_s) = (5_000.0, 100.0);
    // In the middle of the first window the capacity is the least share plus half a window's gain.
    let gain = (1.0 - rules.cold_share) * 0.5 * rules.fall_window / rules.warm_within;
    let budget = rules.fall_multiple * (rules.cold_share + gain) * per_s * rules.fall_window / 1000.0;
    let max = (budget + CHANCE_MARGIN.0 * budget.sqrt() + CHANCE_MARGIN.1).floor() as usize;
    let at_end = |sends: usize| vec![started + rules.fall_window; sends];
    assert!(worst_window(&at_end(max), started, per_s, &rules).2 <= 1.0);
    assert!(worst_window(&at_end(max + 1), started, per_s, &rules).2 > 1.0);
    let spread = |sends: usize, over: f64| {
        let last = (sends - 1) as f64;
        (0..sends).map(|n| started + rules.fall_window - over * (1.0 - n as f64 / last)).collect::<Vec<_>>()
    };
    let within = worst_window(&spread(max + 1, 0.99 * rules.fall_window), started, per_s, &rules);
    assert!(within.0 == max + 1 && within.2 > 1.0, "{within:?}");
    let longer = worst_window(&spread(max + 1, 2.0 * rules.fall_window), started, per_s, &rules);
    assert!(longer.0 < max && longer.2 <= 1.0, "{longer:?}");
}

/// The same seed gives exactly the same run.
#[test]
fn a_run_is_reproducible() {
    let of = |r: fleet::Report| (r.sends, r.budget.to_bits(), r.served.to_bits(), r.used.to_bits());
    assert_eq!(of(run(SCENARIOS[0], 20, 5)), of(run(SCENARIOS[0], 20, 5)));
}
