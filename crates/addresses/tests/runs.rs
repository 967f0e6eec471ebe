//! Seeded runs of simulated sites under all kinds of faults, verified by the checker.

mod common;

use std::time::Duration;

use common::{ms, Load, World, EXCLUSIVE, HEALTHY_LOAD, SHARED};
use magpietally_addresses::check::{check, Bounds, CheckReport, Observation, Record};
use magpietally_addresses::{InjectedFault, SiteHealth};
use magpietally_consensus::model::Faults;
use rand::RngExt;

/// A fault to revert later.
enum Undo {
    Isolate(usize),
    Pause(usize),
    Start(usize),
    Elect,
    Load(usize),
}

fn lossy_network() -> Faults {
    Faults { loss: 0.15, duplicate: 0.2, max_decide_delay: ms(150), max_learn_delay: ms(150) }
}

/// Time to recover after the last disturbance: leases expire, the log makes progress again and a new speaker
/// starts.
const RECOVERY_TIME: Duration = Duration::from_secs(14);

/// Elects a running node that is not isolated; the previous leader still believes that it leads.
fn elect(w: &mut World, isolated: &[bool], before: usize) -> usize {
    let candidates: Vec<usize> =
        (0..w.site_of.len()).filter(|&i| w.model.is_running(i) && !isolated[i]).collect();
    if candidates.is_empty() {
        return before;
    }
    let next = candidates[w.rng.random_range(0..candidates.len())];
    w.model.set_leader(Some(next));
    w.model.set_other_leaders(&[before]);
    next
}

/// Runs 40 s of random faults, then about 40 s without faults in which sites degrade and recover.
fn run_with_faults(seed: u64, fault: InjectedFault) -> World {
    let mut w = World::new(seed, 3, 3, lossy_network(), fault);
    let nodes = w.site_of.len();
    let mut isolated = vec![false; nodes];
    let mut undo: Vec<(Duration, Undo)> = Vec::new();
    let mut leader = 0;
    w.run(ms(5000));
    while w.model.now() < ms(45_000) {
        let i = w.rng.random_range(0..nodes);
        let site = w.rng.random_range(0..3usize);
        let undo_at = w.model.now() + ms(w.rng.random_range(300..10_000));
        match w.rng.random_range(0..10u32) {
            0 | 1 => {
                let share = [0, 100, 500, 700, 900][w.rng.random_range(0..5usize)];
                w.loads[site].answered_permille = share;
                undo.push((undo_at, Undo::Load(site)));
            }
            2 => {
                w.loads[site] = Load { capacity: 310, ..w.loads[site] };
                undo.push((undo_at, Undo::Load(site)));
            }
            3 => {
                for j in (0..nodes).filter(|j| j % 3 == site) {
                    w.model.set_isolated(j, true);
                    isolated[j] = true;
                    undo.push((undo_at, Undo::Isolate(j)));
                }
            }
            4 => {
                w.model.set_isolated(i, true);
                isolated[i] = true;
                undo.push((undo_at, Undo::Isolate(i)));
            }
            5 | 6 if w.model.is_running(i) => {
                // The site's speaker, if it has one.
                let i = w.speaker(site).unwrap_or(i);
                w.model.set_paused(i, true);
                undo.push((undo_at, Undo::Pause(i)));
            }
            7 if w.model.is_running(i) => {
                let i = w.speaker(site).unwrap_or(i);
                let closes = w.rng.random_bool(0.5);
                w.kill(i, closes);
                undo.push((undo_at, Undo::Start(i)));
            }
            8 => {
                w.model.set_leader(None);
                undo.push((w.model.now() + ms(w.rng.random_range(300..7000)), Undo::Elect));
            }
            _ => leader = elect(&mut w, &isolated, leader),
        }
        w.disturb(RECOVERY_TIME);
        let pause = w.rng.random_range(200..2500);
        w.run(ms(pause));
        let now = w.model.now();
        let (due, later): (Vec<_>, Vec<_>) = undo.into_iter().partition(|u| u.0 <= now);
        undo = later;
        due.into_iter().for_each(|(_, u)| revert(&mut w, &mut isolated, &mut leader, u));
        if !w.model.is_running(leader) || isolated[leader] {
            leader = elect(&mut w, &isolated, leader);
        }
    }
    undo.into_iter().for_each(|(_, u)| revert(&mut w, &mut isolated, &mut leader, u));
    leader = elect(&mut w, &isolated, leader);
    w.model.set_other_leaders(&[(leader + 1) % nodes]);
    w.model.set_faults(Faults::default());
    w.disturb(RECOVERY_TIME);
    w.run(RECOVERY_TIME);
    for _ in 0..4 {
        let site = w.rng.random_range(0..3usize);
        w.loads[site].answered_permille = [0, 150, 600][w.rng.random_range(0..3usize)];
        let (degraded_ms, healthy_ms) = (w.rng.random_range(500..6000), w.rng.random_range(500..6000));
        w.run(ms(degraded_ms));
        w.loads[site] = HEALTHY_LOAD;
        w.run(ms(healthy_ms));
    }
    w
}

fn revert(w: &mut World, isolated: &mut [bool], leader: &mut usize, undo: Undo) {
    match undo {
        Undo::Isolate(i) => {
            w.model.set_isolated(i, false);
            isolated[i] = false;
        }
        Undo::Pause(i) => w.model.set_paused(i, false),
        Undo::Start(i) => w.start(i),
        Undo::Elect => *leader = elect(w, isolated, *leader),
        Undo::Load(site) => w.loads[site] = HEALTHY_LOAD,
    }
    w.disturb(RECOVERY_TIME);
}

fn check_records(w: &World) -> CheckReport {
    let mut records = w.records.clone();
    records.push(Record { at: w.model.now(), what: Observation::End });
    check(&records, Bounds::default())
}

fn check_seeds(from: u64, to: u64) {
    let mut withdrawals = 0;
    for seed in from..to {
        let w = run_with_faults(seed, InjectedFault::None);
        let report = check_records(&w);
        assert!(report.violations.is_empty(), "seed {seed}: {:?}", report.violations);
        assert!(report.routes > 4, "seed {seed}: {} routes were added", report.routes);
        withdrawals += report.withdrawals;
    }
    assert!(withdrawals > 2 * (to - from) as usize, "{withdrawals} withdrawals: too few to test anything");
}

#[test]
fn all_rules_hold_in_seeded_runs_a() {
    check_seeds(0, 50);
}

#[test]
fn all_rules_hold_in_seeded_runs_b() {
    check_seeds(50, 100);
}

#[test]
fn all_rules_hold_in_seeded_runs_c() {
    check_seeds(100, 150);
}

#[test]
fn all_rules_hold_in_seeded_runs_d() {
    check_seeds(150, 200);
}

#[test]
fn detects_exclusive_address_kept_after_lease_expiry() {
    let mut w = World::new(1, 3, 3, Faults::default(), InjectedFault::KeepsExpiredLease);
    w.run(ms(12_000));
    let owner = w.owner_site().and_then(|s| w.speaker(s)).expect("an owner");
    w.model.set_leader(Some((owner + 1) % 9));
    w.model.set_isolated(owner, true);
    w.disturb(RECOVERY_TIME);
    w.run(ms(20_000));
    assert!(check_records(&w).has_violation("never-two-owners"), "{:?}", check_records(&w).violations);
}

#[test]
fn detects_lease_counted_from_reply() {
    let caught = |fault| {
        (0..20).filter(move |&seed| {
            let slow = Faults { max_decide_delay: ms(300), max_learn_delay: ms(300), ..Faults::default() };
            let mut w = World::new(seed, 3, 3, slow.clone(), fault);
            w.disturb(ms(100_000));
            for _ in 0..3 {
                w.run(ms(15_000));
                let Some(owner) = w.owner_site().and_then(|s| w.speaker(s)) else { continue };
                w.model.set_leader(Some((owner + 1) % 9));
                // Paused between the request and the decision. After it resumes it learns entries, but its
                // own messages are lost.
                w.model.set_paused(owner, true);
                w.run(ms(4300));
                w.model.set_paused(owner, false);
                w.model.set_faults(Faults { loss: 1.0, ..slow.clone() });
                w.run(ms(400));
                w.model.set_faults(slow.clone());
                w.model.set_isolated(owner, true);
                w.run(ms(14_000));
                w.model.set_isolated(owner, false);
            }
            check_records(&w).has_violation("never-two-owners")
        })
    };
    assert!(caught(InjectedFault::CountsLeaseFromReply).count() > 0);
    assert_eq!(caught(InjectedFault::None).next(), None);
}

#[test]
fn detects_stale_route_of_previous_speaker() {
    let run = |fault| {
        let mut w = World::new(3, 3, 3, Faults::default(), fault);
        // A session per site that outlives its speaker, at a route daemon that never drops a silent session.
        w.shared_session = true;
        w.router = magpietally_addresses::router::Router::new(Duration::from_secs(3600));
        w.rules.addresses.truncate(1);
        w.run(ms(15_000));
        let speaker = w.speaker(0).expect("a speaker");
        w.model.set_leader(Some((speaker + 1) % 9));
        w.kill(speaker, false);
        w.loads[0].answered_permille = 500;
        w.disturb(RECOVERY_TIME);
        w.run(ms(30_000));
        check_records(&w)
    };
    let report = run(InjectedFault::SkipsStaleWithdrawal);
    assert!(report.has_violation("stale-withdrawn"), "{:?}", report.violations);
    let report = run(InjectedFault::None);
    assert!(!report.has_violation("stale-withdrawn"), "{:?}", report.violations);
}

#[test]
fn best_degraded_site_stays_and_remaining_sites_are_not_overloaded() {
    let mut w = World::new(4, 3, 3, Faults::default(), InjectedFault::None);
    w.run(ms(15_000));
    assert_eq!(w.state().sites(SHARED).count(), 3);
    for (load, share) in w.loads.iter_mut().zip([500, 700, 600]) {
        load.answered_permille = share;
    }
    w.run(ms(30_000));
    let remaining: Vec<_> = w.state().sites(SHARED).cloned().collect();
    assert_eq!(remaining, vec![w.sites[1].clone()]);
    assert!(w.router.select_site(EXCLUSIVE, 0).is_some());
    w.loads = vec![HEALTHY_LOAD; 3];
    w.run(ms(40_000));
    assert_eq!(w.state().sites(SHARED).count(), 3);
    w.loads = vec![Load { capacity: 310, ..HEALTHY_LOAD }; 3];
    w.loads[0].answered_permille = 500;
    w.run(ms(10_000));
    assert_eq!((w.state().health(&w.sites[0]), w.state().sites(SHARED).count()), (SiteHealth::Degraded, 3));
    assert!(check_records(&w).violations.is_empty(), "{:?}", check_records(&w).violations);
}

#[test]
fn planned_stop_of_speaker_keeps_the_shared_route() {
    let mut w = World::new(5, 3, 3, Faults::default(), InjectedFault::None);
    w.run(ms(15_000));
    let speaker = w.speaker(0).expect("a speaker");
    let site = w.sites[0].clone();
    let (machine, now) = w.model.machine(speaker).expect("running");
    machine.begin_leave(now);
    let took = w.run_until(ms(3000), |w| {
        assert!(w.router.best_sites(SHARED).contains(&site), "no route to the site");
        w.model.machine(speaker).is_some_and(|(m, _)| m.has_left())
    });
    assert!(took.is_some(), "the speaker did not finish its stop");
    w.run(ms(1000));
    assert!(w.speaker(0).is_some_and(|next| next != speaker));
}
