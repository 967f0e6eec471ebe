//! Rule 4 over whole fleets: what all nodes together send to a cold server stays within what it bears, at
//! every size of the fleet, and a cold server still gets enough to be of use.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{play, rules, worst_window, Scene, CHANCE, SCENES};

const NODES: [usize; 6] = [1, 3, 20, 30, 100, 300];

/// Within the budget in every window, and of use all the same.
fn holds(scene: Scene) {
    // By chance few of the calls there are fall to it where there is next to no traffic.
    let sparse = scene.per_s < 100.0;
    let calm = scene.load < 1.0 && scene.cold < scene.servers && scene.hang + scene.down == 0;
    for (seed, nodes) in (1..).zip(NODES) {
        let seen = play(scene, nodes, seed);
        assert!(seen.worst <= 1.0, "{}, {nodes} nodes: {seen:?}", scene.name);
        assert!(sparse || seen.used > 0.15, "{}, {nodes} nodes: {seen:?}", scene.name);
        assert!(sparse || !calm || seen.served > 0.85, "{}, {nodes} nodes: {seen:?}", scene.name);
    }
}

#[test]
fn no_fleet_pushes_a_cold_server_over_beside_warm_ones() {
    SCENES.into_iter().filter(|s| s.cold < s.servers && s.per_s < 1_000.0).for_each(holds);
}

#[test]
fn no_fleet_pushes_cold_servers_over_that_all_started() {
    SCENES.into_iter().filter(|s| s.cold == s.servers && s.per_s < 1_000.0).for_each(holds);
}

/// The checker itself: plain turns, with no care for the cold, are too much for them.
#[test]
fn nodes_without_care_are_noticed() {
    let scene = SCENES.into_iter().find(|s| s.load == 0.95).expect("a scene of a fleet nearly full");
    for nodes in NODES {
        let cared = play(scene, nodes, 1).worst;
        let blind = play(Scene { blind: true, ..scene }, nodes, 1).worst;
        assert!(cared <= 1.0 && blind > 1.0, "{nodes} nodes: {cared} and {blind}");
    }
}

/// One call more than the budget and chance, in one burst or spread over a window, is one too many; as many
/// in more than a window are not.
#[test]
fn the_budget_is_counted_to_the_call() {
    let rules = rules();
    let (started, per_s) = (5_000.0, 100.0);
    // In the middle of the first window it has its least share and half a window's gain.
    let gain = (1.0 - rules.cold_share) * 0.5 * rules.fall_window / rules.warm_within;
    let budget = rules.fall_multiple * (rules.cold_share + gain) * per_s * rules.fall_window / 1000.0;
    let most = (budget + CHANCE.0 * budget.sqrt() + CHANCE.1).floor() as usize;
    let at_end = |calls: usize| vec![started + rules.fall_window; calls];
    assert!(worst_window(&at_end(most), started, per_s, &rules).2 <= 1.0);
    assert!(worst_window(&at_end(most + 1), started, per_s, &rules).2 > 1.0);
    let spread = |calls: usize, over: f64| {
        let last = (calls - 1) as f64;
        (0..calls).map(|n| started + rules.fall_window - over * (1.0 - n as f64 / last)).collect::<Vec<_>>()
    };
    let within = worst_window(&spread(most + 1, 0.99 * rules.fall_window), started, per_s, &rules);
    assert!(within.0 == most + 1 && within.2 > 1.0, "{within:?}");
    let longer = worst_window(&spread(most + 1, 2.0 * rules.fall_window), started, per_s, &rules);
    assert!(longer.0 < most && longer.2 <= 1.0, "{longer:?}");
}

/// The same seed is the same day, to the call.
#[test]
fn a_fleet_plays_the_same_each_time() {
    let of =
        |seen: fleet::Seen| (seen.calls, seen.budget.to_bits(), seen.served.to_bits(), seen.used.to_bits());
    assert_eq!(of(play(SCENES[0], 20, 5)), of(play(SCENES[0], 20, 5)));
}
