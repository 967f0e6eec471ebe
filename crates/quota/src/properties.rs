//! Tests of each guarantee of the quotas, and of the checker with injected faults.

use std::time::Duration;

use magpietally_consensus::StateMachine;
use magpietally_transport::{Name, Peer, Session};

use crate::check::{check, Observation, Record, Violation};
use crate::node::InjectedFault;
use crate::sim::Sim;
use crate::{ClassQuota, LeaseSettings, Policy, Quota, RefusalReason, SpendDecision, TenantQuota};

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);
const CLUBS: &str = "punjab-clubs";

fn policy(version: u64, rate: u64, burst: u64, signups: u64) -> Policy {
    let kept = ClassQuota { class: "fee-payment".into(), rate_milli: rate * 100, burst: burst / 4 };
    let tenant = TenantQuota {
        name: CLUBS.into(),
        rate_milli: rate * 1000,
        burst,
        costs: vec![("signup".into(), 5)],
        kept: vec![kept],
        per_day: vec![("signup".into(), signups)],
    };
    Policy { version, tenants: vec![tenant] }
}

fn rate_only(rate: u64, burst: u64) -> Policy {
    let tenant = TenantQuota { name: CLUBS.into(), rate_milli: rate * 1000, burst, ..TenantQuota::default() };
    Policy { version: 1, tenants: vec![tenant] }
}

fn short_terms() -> LeaseSettings {
    LeaseSettings { demand_term: 2 * S, reserve_term: 5 * S }
}

/// A mixed run: 5 nodes, all classes, a fault every 150 ms and, with `changes`, changes of the quota.
fn mixed(seed: u64, settings: LeaseSettings, inject: fn(&mut Quota), changes: bool) -> Sim {
    let mut sim = Sim::with_injected_fault(seed, 5, &policy(1, 200, 100, 60), settings, inject);
    sim.add_demand(0..5, CLUBS, "lookup", 150.0);
    sim.add_demand(0..5, CLUBS, "fee-payment", 60.0);
    sim.add_demand(1..3, CLUBS, "signup", 20.0);
    sim.run(S);
    for n in 0..50u64 {
        sim.inject_random_fault();
        if changes && n % 12 == 5 {
            let (rate, burst) = [(80, 50), (300, 200), (40, 180), (200, 100)][(n / 12) as usize % 4];
            sim.set_policy(&policy(2 + n, rate, burst, 60 - n));
        }
        sim.run(150 * MS);
    }
    sim.end_all_faults();
    sim.run(S);
    sim.record_daily_count(CLUBS, "signup");
    sim
}

fn assert_guarantees(sim: &Sim, seed: u64) {
    assert_eq!(check(&sim.records), [], "seed {seed}");
    let max_sums =
        (sim.max_share_sums.0.max(sim.max_held_sums.0), sim.max_share_sums.1.max(sim.max_held_sums.1));
    assert!(max_sums.0 <= 1_000_000 && max_sums.1 <= 1_000_000, "seed {seed}: sums of shares {max_sums:?}");
}

#[test]
fn no_window_exceeds_the_quota_under_partitions_kills_pauses_restarts_duplicates_and_wrong_clocks() {
    let mut admitted = 0;
    for seed in 0..160 {
        let sim = mixed(seed, short_terms(), |_| {}, false);
        assert_guarantees(&sim, seed);
        admitted += sim.admitted_tokens(Duration::ZERO);
    }
    assert!(admitted > 160 * 300, "only {admitted} tokens were spent: too little load to test the limit");
}

#[test]
fn a_changed_quota_is_enforced_with_the_old_limit_before_and_the_new_one_after() {
    for seed in 1000..1060 {
        assert_guarantees(&mixed(seed, short_terms(), |_| {}, true), seed);
    }
}

#[test]
fn with_steady_demand_above_quota_at_least_95_percent_of_it_is_admitted() {
    for (seed, nodes) in [(1, 10), (2, 10), (3, 1)] {
        let mut sim = Sim::new(seed, 10, &rate_only(200, 400), LeaseSettings::default());
        sim.add_demand(0..nodes, CLUBS, "lookup", 600.0);
        sim.run(5 * S);
        let from = sim.model.now();
        sim.run(20 * S);
        let used = sim.admitted_tokens(from) as f64 / (200.0 * 20.0);
        assert!(used >= 0.95, "{nodes} busy nodes: {used:.3}");
        assert_guarantees(&sim, seed);
    }
}

#[test]
fn two_seconds_after_all_demand_moved_to_another_node_at_least_90_percent_is_admitted() {
    for seed in 0..20 {
        let mut sim = Sim::new(seed, 10, &rate_only(200, 400), LeaseSettings::default());
        sim.add_demand(0..1, CLUBS, "lookup", 300.0);
        sim.run(10 * S);
        sim.demand.clear();
        sim.add_demand(7..8, CLUBS, "lookup", 300.0);
        sim.run(2 * S);
        let from = sim.model.now();
        sim.run(S);
        let used = sim.admitted_tokens(from) as f64 / 200.0;
        assert!(used >= 0.9, "seed {seed}: {used:.3}");
        assert_guarantees(&sim, seed);
    }
}

#[test]
fn the_share_of_a_dead_node_is_granted_again_after_its_lease_expires() {
    let mut sim = Sim::new(4, 10, &rate_only(200, 400), LeaseSettings::default());
    sim.add_demand(0..2, CLUBS, "lookup", 600.0);
    sim.run(5 * S);
    sim.kill(1);
    let from = sim.model.now();
    sim.run(3 * S);
    let meanwhile = sim.admitted_tokens(from) as f64 / 600.0;
    assert!(meanwhile < 0.6, "its share was granted again before its lease expired: {meanwhile:.3}");
    // The lease term since its last report, the waiter's margin for clock drift, the leader's next expiry
    // check, and the time to decide.
    sim.run(LeaseSettings::default().demand_term.mul_f64(1.02) + S - 3 * S);
    let from = sim.model.now();
    sim.run(5 * S);
    let used = sim.admitted_tokens(from) as f64 / 1000.0;
    assert!(used >= 0.9, "{used:.3}");
    assert_guarantees(&sim, 4);
}

#[test]
fn a_partitioned_node_serves_from_its_reserve_share_and_no_window_exceeds_the_quota() {
    let mut sim = Sim::new(5, 5, &rate_only(200, 400), LeaseSettings::default());
    sim.add_demand(0..5, CLUBS, "lookup", 600.0);
    sim.run(5 * S);
    sim.model.set_isolated(3, true);
    sim.run(20 * S);
    let from = sim.model.now();
    sim.run(20 * S);
    let admitted_by_3 =
        |r: &&Record| r.node == 3 && r.at >= from && matches!(r.what, Observation::Admitted { .. });
    let served = sim.records.iter().filter(admitted_by_3).count();
    assert!(served >= 5, "{served} served by the partitioned node");
    assert_guarantees(&sim, 5);
}

#[test]
fn a_class_with_its_own_quota_is_never_starved_by_other_classes_of_its_tenant() {
    let mut sim = Sim::new(6, 3, &policy(1, 200, 400, 60), LeaseSettings::default());
    sim.add_demand(0..3, CLUBS, "lookup", 3000.0);
    sim.add_demand(0..3, CLUBS, "fee-payment", 15.0);
    sim.run(9 * S);
    // Buckets start empty. By this time every node has admitted its first payment.
    let (from, mut requests, mut admitted) = (3 * S, 0, 0);
    for r in sim.records.iter().filter(|r| r.at >= from) {
        match &r.what {
            Observation::Admitted { class, .. } if class == "fee-payment" => {
                (requests, admitted) = (requests + 1, admitted + 1)
            }
            Observation::Refused { class, .. } if class == "fee-payment" => requests += 1,
            _ => {}
        }
    }
    assert!(requests > 30 && admitted == requests, "{admitted} of {requests}");
}

#[test]
fn the_daily_count_survives_a_restart_of_all_nodes_and_is_never_less_than_was_admitted() {
    let mut sim = Sim::new(7, 4, &policy(1, 200, 400, 60), short_terms());
    for _ in 0..3 {
        sim.add_demand(0..4, CLUBS, "signup", 10.0);
        sim.run(2 * S);
        for i in 0..4 {
            sim.kill(i);
        }
        for i in 0..4 {
            sim.start(i);
        }
        sim.record_daily_count(CLUBS, "signup");
    }
    sim.run(5 * S);
    sim.record_daily_count(CLUBS, "signup");
    assert_guarantees(&sim, 7);
    let days =
        sim.records.iter().filter(|r| matches!(r.what, Observation::Admitted { day: Some(_), .. })).count();
    assert!((30..=60).contains(&days), "{days} signups");
    // The count also survives a snapshot, as the store keeps it.
    let (old, now) = sim.model.machine(0).expect("running");
    let (count, bytes) = (old.daily_count(CLUBS, "signup"), old.snapshot());
    let mut new = Quota::new(Peer { name: Name::default(), session: Session(9) }, short_terms(), now);
    new.restore(now, &bytes).expect("a snapshot");
    assert_eq!(new.daily_count(CLUBS, "signup"), count);
    assert!(count >= days as u64 && new.restore(now, &bytes[..bytes.len() - 1]).is_err());
}

#[test]
fn a_new_day_starts_by_the_logs_clock_and_voids_old_tokens() {
    let mut sim = Sim::new(8, 3, &policy(1, 200, 400, 10), short_terms());
    sim.add_demand(0..3, CLUBS, "signup", 30.0);
    sim.run(4 * S);
    let day = sim.model.machine(1).expect("running").0.state().log_clock().0;
    for i in 0..3 {
        sim.model.set_wall_ahead(i, 86_400_000);
    }
    sim.run(4 * S);
    assert_eq!(sim.model.machine(1).expect("running").0.state().log_clock().0, day + 1);
    assert_guarantees(&sim, 8);
    for d in [day, day + 1] {
        let of = |r: &&Record| matches!(r.what, Observation::Admitted { day, .. } if day == Some(d));
        let n = sim.records.iter().filter(of).count();
        assert!((5..=10).contains(&n), "{n} signups on day {d}");
    }
}

#[test]
fn a_replayed_entry_changes_neither_the_state_nor_any_held_share() {
    let mut sim = Sim::new(12, 4, &policy(1, 200, 400, 60), LeaseSettings::default());
    sim.add_demand(0..4, CLUBS, "lookup", 300.0);
    sim.add_demand(0..2, CLUBS, "signup", 10.0);
    sim.run(5 * S);
    let log = sim.model.log().to_vec();
    assert!(log.len() > 20, "{} entries", log.len());
    for i in 0..4 {
        let (q, now) = sim.model.machine(i).expect("running");
        let (before, shares) = (q.snapshot(), q.held_shares(now.boot));
        for d in &log {
            q.apply(now, d);
        }
        assert!(q.snapshot() == before && q.held_shares(now.boot) == shares, "node {i}");
    }
    sim.run(2 * S);
    assert_guarantees(&sim, 12);
}

#[test]
fn arbitrary_proposals_break_no_bound_and_no_sum() {
    use magpietally_consensus::{DecidedEntry, Index, Proposal, Timestamp, Topic};
    use rand::{RngExt, SeedableRng};
    let mut rng = rand_pcg::Pcg64::seed_from_u64(13);
    let peer = |n: u64| Peer { name: Name::new("x").expect("a name"), session: Session(n) };
    let mut q = Quota::new(peer(0), short_terms(), magpietally_transport::Now::at(S));
    for index in 1..20_000 {
        let mut byte = || rng.random_range(0..=255u8);
        let body = match index % 3 {
            0 => (0..40).map(|_| byte()).collect(),
            _ => {
                let mut n = || u32::from_le_bytes([byte(), byte(), byte() & 15, 0]);
                let items =
                    vec![
                        crate::PoolReport { pool: n() % 4, demand: n(), min_share: n(), share_limit: n() };
                        2
                    ];
                let (day, pool) = (0, n() % 4);
                let days =
                    vec![crate::DailyCountReport { pool, day, requested: n(), returned: n(), limit: 1000 }];
                let (seq, reserve_limit) = (n() % 50, n());
                let (term_ms, reserve_ms, policy_version) = (1, 2, 1);
                let report =
                    crate::Report { seq, policy_version, term_ms, reserve_ms, reserve_limit, items, days };
                crate::ProposalBody::Report(report).encode()
            }
        };
        let proposal = Proposal { topic: Topic::Quota, proposer: peer(1 + index % 7), id: index, body };
        q.apply(
            magpietally_transport::Now::at(S),
            &DecidedEntry { index: Index(index), timestamp: Timestamp(0), proposal },
        );
        let sums = q.state().share_sums();
        assert!(sums.0 <= 1_000_000 && sums.1 <= 1_000_000, "{sums:?} at {index}");
    }
    assert!(q.state().share_sums().0 > 500_000 && q.state().session_count() == 7);
    let mut restored = Quota::new(peer(0), short_terms(), magpietally_transport::Now::at(S));
    restored.restore(magpietally_transport::Now::at(S), &q.snapshot()).expect("its own snapshot");
    assert!(restored.snapshot() == q.snapshot());
}

#[test]
fn two_repeats_of_an_admitted_request_are_free_and_the_third_is_charged() {
    let mut sim = Sim::new(9, 1, &rate_only(10, 10), LeaseSettings::default());
    sim.add_demand(0..1, CLUBS, "lookup", 5.0);
    sim.run(5 * S);
    let (q, now) = sim.model.machine(0).expect("running");
    let mut spend = |key| q.spend(now.boot, CLUBS, "lookup", key).decision;
    assert_eq!(spend(Some(7)), SpendDecision::Admitted);
    assert_eq!([spend(Some(7)), spend(Some(7))], [SpendDecision::Repeat; 2]);
    assert_eq!(spend(Some(7)), SpendDecision::Admitted);
    while spend(None) == SpendDecision::Admitted {}
    assert_eq!(spend(Some(7)), SpendDecision::Repeat);
    assert!(matches!(spend(Some(8)), SpendDecision::Refused { reason: RefusalReason::RateExceeded, .. }));
    assert_eq!(q.spend(now.boot, "nobody", "lookup", None).decision, SpendDecision::Unlimited);
}

#[test]
fn the_checker_catches_a_node_that_serves_after_its_lease() {
    let inject: fn(&mut Quota) = |q| q.injected = Some(InjectedFault::SpendsAfterLease);
    for (inject, expected) in [(inject, true), (|_| {}, false)] {
        let mut sim = Sim::with_injected_fault(2, 3, &rate_only(200, 100), short_terms(), inject);
        sim.add_demand(0..3, CLUBS, "lookup", 600.0);
        sim.run(3 * S);
        sim.model.set_isolated(2, true);
        sim.run(6 * S);
        let violations = check(&sim.records);
        let found = violations.iter().any(|f| matches!(f, Violation::ServedAfterLease { node: 2, .. }));
        assert_eq!(found, expected, "{violations:?}");
        assert_eq!(
            violations.iter().any(|f| matches!(f, Violation::WindowExceeded { .. })),
            expected,
            "{violations:?}"
        );
    }
}

#[test]
fn the_checker_catches_a_node_that_forgets_what_it_spent() {
    let inject: fn(&mut Quota) = |q| q.injected = Some(InjectedFault::ForgetsSpent);
    for (inject, expected) in [(inject, true), (|_| {}, false)] {
        let mut sim = Sim::with_injected_fault(1, 3, &rate_only(50, 400), short_terms(), inject);
        sim.add_demand(0..1, CLUBS, "lookup", 1000.0);
        sim.run(3 * S);
        sim.kill(0);
        sim.start(0);
        sim.run(4 * S);
        let violations = check(&sim.records);
        let found =
            violations.iter().any(|f| matches!(f, Violation::NotEmptyAtStart { node: 0, session: 2, .. }));
        assert_eq!(found, expected, "{violations:?}");
    }
}

#[test]
fn the_checker_catches_a_share_that_moves_with_its_level() {
    let inject: fn(&mut Quota) = |q| q.injected = Some(InjectedFault::LevelMovesWithShare);
    for (inject, expected) in [(inject, true), (|_| {}, false)] {
        let mut sim = Sim::with_injected_fault(2, 3, &rate_only(50, 400), short_terms(), inject);
        for n in 0..4 {
            sim.demand.clear();
            sim.add_demand(n % 3..n % 3 + 1, CLUBS, "lookup", 400.0);
            sim.run(3 * S);
        }
        let violations = check(&sim.records);
        assert_eq!(
            violations.iter().any(|f| matches!(f, Violation::WindowExceeded { .. })),
            expected,
            "{violations:?}"
        );
        assert_eq!(
            violations.iter().any(|f| matches!(f, Violation::PoolExceeded { .. })),
            expected,
            "{violations:?}"
        );
    }
}

#[test]
fn the_checker_catches_a_grant_that_is_taken_twice() {
    let inject: fn(&mut Quota) = |q| q.injected = Some(InjectedFault::UsesGrantTwice);
    for (inject, expected) in [(inject, true), (|_| {}, false)] {
        let mut sim = Sim::with_injected_fault(3, 2, &policy(1, 200, 400, 20), short_terms(), inject);
        sim.add_demand(0..2, CLUBS, "signup", 20.0);
        sim.run(6 * S);
        let violations = check(&sim.records);
        assert_eq!(
            violations.iter().any(|f| matches!(f, Violation::DailyLimitExceeded { .. })),
            expected,
            "{violations:?}"
        );
    }
}

#[test]
fn the_checker_catches_a_daily_count_that_is_too_low_and_a_wrong_retry_after() {
    let mut sim = Sim::new(10, 2, &policy(1, 200, 400, 60), LeaseSettings::default());
    sim.add_demand(0..2, CLUBS, "signup", 20.0);
    sim.add_demand(0..2, CLUBS, "lookup", 200.0);
    sim.run(4 * S);
    sim.record_daily_count(CLUBS, "signup");
    assert_guarantees(&sim, 10);
    let mut records = sim.records.clone();
    for r in &mut records {
        match &mut r.what {
            Observation::Counted { count, .. } => *count = 1,
            Observation::Refused { retry_after, .. } => *retry_after = Duration::ZERO,
            _ => {}
        }
    }
    let violations = check(&records);
    assert!(violations.iter().any(|f| matches!(f, Violation::DailyCountTooLow { .. })), "{violations:?}");
    assert!(violations.iter().any(|f| matches!(f, Violation::RetryAfterBroken { .. })), "{violations:?}");
}

#[test]
fn the_checkers_fleet_bucket_agrees_with_a_check_of_all_pairs_of_times() {
    use rand::{RngExt, SeedableRng};
    let mut rng = rand_pcg::Pcg64::seed_from_u64(11);
    let (mut found, mut clean) = (0, 0);
    for _ in 0..400 {
        let mut times: Vec<u64> = (0..12).map(|_| rng.random_range(0..9000)).collect();
        times.sort_unstable();
        let mut records = vec![Record {
            at: Duration::ZERO,
            node: 0,
            session: 0,
            what: Observation::Policy(rate_only(2, 4)),
        }];
        records.extend(times.iter().map(|&t| Record {
            at: MS * t as u32,
            node: 0,
            session: 1,
            what: Observation::Admitted {
                tenant: CLUBS.into(),
                class: "lookup".into(),
                cost: 1,
                kept: false,
                day: None,
                rate: 0,
            },
        }));
        let pairs = |i: usize, j: usize| (j - i + 1) as u64 * 1000 > 4000 + 2 * (times[j] - times[i]);
        let want = (0..12).any(|i| (i..12).any(|j| pairs(i, j)));
        let got = check(&records).iter().any(|f| matches!(f, Violation::WindowExceeded { .. }));
        assert_eq!(got, want, "{times:?}");
        (found, clean) = (found + u32::from(got), clean + u32::from(!got));
    }
    assert!(found > 20 && clean > 20, "{found} and {clean}");
}
