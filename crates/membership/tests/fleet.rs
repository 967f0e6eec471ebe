//! Failure scenarios of the membership protocol on a simulated fleet, each with a time bound and a fixed
//! seed.

use std::time::Duration;

use magpietally_membership::sim::{Faults, Fleet};
use magpietally_membership::{Liveness, Settings};

const S: Duration = Duration::from_secs(1);

fn fleet(n: usize, seed: u64) -> Fleet {
    let mut f = Fleet::new(n, &Settings::default(), Faults::default(), seed);
    let all: Vec<usize> = (0..n).collect();
    let took = f.run_until(30 * S, |f| f.all_see(&all, Liveness::Alive, &[]));
    assert!(took.is_some(), "{n} nodes did not all see each other within 30 s");
    f
}

#[test]
fn all_others_see_a_killed_node_as_dead_within_the_bound() {
    let mut f = fleet(10, 1);
    f.kill(3);
    let rest: Vec<usize> = (0..10).filter(|&i| i != 3).collect();
    let took = f.run_until(20 * S, |f| f.count_seeing(3, Liveness::Dead) == rest.len());
    let took = took.expect("not all nodes saw the killed node as dead within 20 s");
    assert!(took >= 6 * S, "declared dead after {took:?}, before the suspicion timed out");
    assert!(f.all_see(&rest, Liveness::Alive, &[3]));
}

#[test]
fn a_node_paused_for_five_seconds_is_never_declared_dead() {
    let mut f = fleet(10, 2);
    f.set_paused(4, true);
    for _ in 0..500 {
        f.run(Duration::from_millis(10));
        assert_eq!(f.count_seeing(4, Liveness::Dead), 0, "declared dead while paused at {:?}", f.now());
    }
    f.set_paused(4, false);
    let all: Vec<usize> = (0..10).collect();
    for _ in 0..1000 {
        f.run(Duration::from_millis(10));
        assert_eq!(f.count_seeing(4, Liveness::Dead), 0, "declared dead after the pause at {:?}", f.now());
    }
    assert!(f.all_see(&all, Liveness::Alive, &[]), "not all nodes see the paused node as alive 10 s later");
}

#[test]
fn a_node_paused_for_long_is_declared_dead_and_comes_back_as_a_new_incarnation() {
    let mut f = fleet(8, 3);
    f.set_paused(5, true);
    let rest: Vec<usize> = (0..8).filter(|&i| i != 5).collect();
    assert!(f.run_until(30 * S, |f| f.count_seeing(5, Liveness::Dead) == rest.len()).is_some());
    f.set_paused(5, false);
    let all: Vec<usize> = (0..8).collect();
    assert!(f.run_until(30 * S, |f| f.all_see(&all, Liveness::Alive, &[])).is_some(), "it did not come back");
    assert!(
        f.membership(5).is_some_and(|r| r.stats().rejoined >= 1),
        "it came back without a new incarnation"
    );
}

#[test]
fn partitioned_halves_see_each_other_as_dead_and_agree_again_after_the_heal() {
    let mut f = fleet(10, 4);
    let a: Vec<usize> = (0..5).collect();
    let b: Vec<usize> = (5..10).collect();
    f.partition(&a, &b);
    assert!(f
        .run_until(30 * S, |f| f.all_see(&a, Liveness::Alive, &b) && f.all_see(&b, Liveness::Alive, &a))
        .is_some());
    // Neither half is a majority of the nodes it knows.
    for i in [0, 7] {
        let counts = f.view(i).map(|v| v.counts()).expect("a running node");
        assert_eq!(
            magpietally_membership::budget_divisor(&counts),
            10,
            "node {i} took its half for the whole fleet"
        );
    }
    f.heal();
    let all: Vec<usize> = (0..10).collect();
    let took = f.run_until(60 * S, |f| f.all_see(&all, Liveness::Alive, &[]));
    assert!(took.is_some(), "the halves did not agree within 60 s of the heal");
}

#[test]
fn a_one_way_link_causes_no_death_and_an_isolated_node_returns() {
    let mut f = fleet(8, 5);
    let rest: Vec<usize> = (1..8).collect();
    // A link that works in one direction only causes no death, since indirect probes bypass it.
    f.cut(2, 3);
    f.run(30 * S);
    let all: Vec<usize> = (0..8).collect();
    assert!(f.all_see(&all, Liveness::Alive, &[]), "a one-way link caused a death");
    f.heal();
    f.partition(&[0], &rest);
    assert!(f.run_until(30 * S, |f| f.all_see(&rest, Liveness::Alive, &[0])).is_some());
    f.heal();
    assert!(f.run_until(60 * S, |f| f.all_see(&all, Liveness::Alive, &[])).is_some());
}

#[test]
fn thirty_percent_loss_and_duplicates_cause_no_lasting_death() {
    let mut f = fleet(10, 6);
    f.set_faults(Faults {
        loss: 0.3,
        duplicate: 0.1,
        delay: Duration::from_millis(5),
        jitter: Duration::from_millis(20),
        ..Faults::default()
    });
    f.run(120 * S);
    let all: Vec<usize> = (0..10).collect();
    assert!(f.run_until(30 * S, |f| f.all_see(&all, Liveness::Alive, &[])).is_some());
}

#[test]
fn a_restart_under_the_old_name_replaces_the_old_identity() {
    let mut f = fleet(6, 7);
    f.kill(2);
    f.start(2);
    let id = f.id(2);
    let replaced = |f: &mut Fleet| {
        (0..6).all(|i| {
            let Some(view) = f.view(i) else { return false };
            let same_name: Vec<_> = view.entries().iter().filter(|e| e.id.name == id.name).collect();
            same_name.iter().any(|e| e.id == id && e.liveness == Liveness::Alive)
                && same_name.iter().all(|e| e.id == id || !e.liveness.is_active())
        })
    };
    let took = f.run_until(20 * S, replaced);
    assert!(took.is_some(), "the new start did not replace the old one at all nodes within 20 s");
}

#[test]
fn a_node_that_leaves_is_counted_out_at_once() {
    let mut f = fleet(6, 8);
    f.leave(1);
    let rest: Vec<usize> = (0..6).filter(|&i| i != 1).collect();
    let took = f.run_until(2 * S, |f| f.count_seeing(1, Liveness::Left) == rest.len());
    assert!(took.is_some(), "a leave took more than 2 s to be seen by all");
    let counts = f.view(0).map(|v| v.counts()).expect("running");
    assert_eq!(magpietally_membership::budget_divisor(&counts), 5);
}

/// A node's wall clock is an hour ahead (generations count tenths of a second) and is corrected before the
/// node starts again, so the other nodes treat its new generation as outdated. They report this to the node,
/// which must advance its generation past the earlier one within a few round trips.
#[test]
fn a_node_restarted_after_its_clock_was_set_back_replaces_its_earlier_identity() {
    for seed in 20..25 {
        let mut f = fleet(8, seed);
        f.kill(5);
        f.start_with_clock_ahead(5, 36_000);
        let all: Vec<usize> = (0..8).collect();
        assert!(
            f.run_until(30 * S, |f| f.all_see(&all, Liveness::Alive, &[])).is_some(),
            "the node did not join"
        );
        f.kill(5);
        f.run(2 * S);
        f.start(5);
        let took = f.run_until(15 * S, |f| {
            let advanced = f.membership(5).is_some_and(|r| r.local_id().generation > 36_000);
            advanced && f.all_see(&all, Liveness::Alive, &[])
        });
        let took = took.expect("the other nodes still keep the earlier identity");
        let rejoined = f.membership(5).map_or(0, |r| r.stats().rejoined);
        assert!(rejoined < 40, "rejoined {rejoined} times in {took:?}");
    }
}
