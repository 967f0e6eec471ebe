//! Property tests: seeded simulations under all faults of the model, verified by the checker.

use std::collections::BTreeMap;
use std::time::Duration;

use magpietally_consensus::model::Faults;
use rand::RngExt;

use crate::check::Breach;
use crate::simulation::{short_settings, Simulation, MS};
use crate::{InjectedFault, ProposalOutcome, ProposalStatus, Settings, WithoutLease};

const NODES: usize = 5;
const SEEDS: u64 = 300;

fn random_faults(sim: &mut Simulation) -> Faults {
    let slow = if sim.rng.random_bool(0.3) { 600 } else { 60 };
    Faults {
        loss: sim.rng.random_range(0.0..0.3),
        duplicate: sim.rng.random_range(0.0..0.3),
        max_decide_delay: sim.rng.random_range(1..slow) * MS,
        max_learn_delay: sim.rng.random_range(1..slow) * MS,
    }
}

/// Injects or ends a random fault, or proposes a change.
fn random_event(sim: &mut Simulation, n: u64) {
    let i = sim.rng.random_range(0..NODES);
    match sim.rng.random_range(0..16) {
        0 => sim.kill(i),
        1 | 2 => sim.isolate(i, true),
        3 | 4 if sim.model.is_running(i) => {
            sim.pause(i, true);
            // A pause below `PAUSE_MIN` is not detected, see `admission.rs`.
            sim.run(200 * MS);
        }
        5 => sim.model.set_leader(None),
        6 => {
            let other = sim.rng.random_range(0..NODES);
            sim.model.set_other_leaders(&[i, other]);
        }
        7 => {
            let faults = random_faults(sim);
            sim.model.set_faults(faults);
        }
        8 => sim.end_faults(),
        9 if sim.model.is_running(i) => {
            // On resuming, the node learns of its renewal long after it requested it, and of nothing after
            // that.
            let pause = sim.rng.random_range(1000..1900) * MS;
            sim.pause(i, true);
            sim.propose((i + 1) % NODES, &format!("share = {n}"));
            sim.run(pause);
            sim.pause(i, false);
            sim.run(60 * MS);
            sim.isolate(i, true);
        }
        9 | 10 => {
            sim.model.set_leader(Some(i));
            sim.isolate(i, false);
        }
        11 => {
            let document = format!("share = {n} !n{}", sim.rng.random_range(0..NODES));
            sim.propose(i, &document);
        }
        _ => {
            sim.propose(i, &format!("share = {n}"));
            if sim.rng.random_bool(0.3) {
                sim.propose((i + 1) % NODES, &format!("share = {n}, too"));
            }
        }
    }
}

/// Runs one seed: faults for 12 s, then none. Returns the breaches that the checker finds and the last active
/// version.
fn run_seed(seed: u64, fault: Option<InjectedFault>) -> (Vec<Breach>, u64) {
    let mut settings = vec![Settings { injected_fault: fault, ..short_settings() }; NODES];
    if seed.is_multiple_of(4) {
        settings[4].without_lease = WithoutLease::Serve;
    }
    let mut sim = Simulation::new(seed, settings, Faults::default());
    let faults = random_faults(&mut sim);
    sim.model.set_faults(faults);
    sim.run(1500 * MS);
    let end = sim.model.now() + Duration::from_secs(12);
    let mut n = 0;
    while sim.model.now() < end {
        n += 1;
        random_event(&mut sim, n);
        let pause = sim.rng.random_range(20..500) * MS;
        sim.run(pause);
    }
    sim.end_faults();
    // Enough for a dead member's lease to expire, for a change in progress to end and for each node to get
    // its lease back.
    let s = short_settings();
    sim.run(s.lease_wait() + s.vote_timeout + s.close_timeout + 10 * s.retry_interval);
    let ticket = sim.propose(1, "share = last").expect("the node runs and has no pending proposal");
    let took =
        sim.run_until(CHANGE_TIMEOUT, |p| matches!(p.proposal_status(1, ticket), ProposalStatus::Ended(_)));
    let outcome = sim.proposal_status(1, ticket);
    assert!(
        took.is_some() && matches!(outcome, ProposalStatus::Ended(ProposalOutcome::Taken(_))),
        "seed {seed}: after all faults a change is {outcome:?}"
    );
    sim.load = 0.0;
    sim.run(50 * MS);
    let taken = sim.node(0).state().active.0;
    (sim.breaches(), taken)
}

/// Twice the longest duration of a change without faults: three entries (the proposal, the last answer, the
/// last confirmed stop), each taking at most 10 ms to be decided, 10 ms to be learned and one tick of 50 ms
/// to be proposed.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(420);

#[test]
fn changes_are_all_or_nothing_under_every_fault_and_succeed_once_faults_end() {
    let mut changes = 0;
    for seed in 0..SEEDS {
        let (breaches, taken) = run_seed(seed, None);
        assert!(breaches.is_empty(), "seed {seed}: {}", format_breaches(&breaches));
        changes += taken;
    }
    // Otherwise the faults let no changes through and the runs tested nothing.
    assert!(changes > 3 * SEEDS, "{changes} proposals in all");
}

#[test]
fn each_injected_fault_breaks_the_matching_rules() {
    let faults = [
        (
            InjectedFault::ServesAfterLease,
            vec!["all-or-nothing", "no-going-back", "stale-after-return", "ready-too-early"],
        ),
        (InjectedFault::CountsLeaseFromReply, vec!["all-or-nothing", "ready-too-early"]),
        (InjectedFault::SkipsBarrier, vec!["all-or-nothing", "no-going-back"]),
        (InjectedFault::ServesProposed, vec!["all-or-nothing", "half-taken"]),
    ];
    for (fault, expected) in faults {
        let mut found = BTreeMap::new();
        for seed in 0..SEEDS {
            for breach in run_seed(seed, Some(fault)).0 {
                found.entry(breach.rule.name()).or_insert(seed);
            }
            if expected.iter().all(|rule| found.contains_key(rule)) {
                break;
            }
        }
        let missed: Vec<_> = expected.iter().filter(|rule| !found.contains_key(*rule)).collect();
        assert!(missed.is_empty(), "{fault:?}: not caught by {missed:?}; first seeds: {found:?}");
    }
}

/// Runs a change during which one node, paused between a lease request and its grant, resumes, learns of the
/// grant late and is then isolated. Returns the breaches.
fn run_with_late_grant(seed: u64, fault: Option<InjectedFault>) -> Vec<Breach> {
    let mut sim = Simulation::new(
        seed,
        vec![Settings { injected_fault: fault, ..short_settings() }; NODES],
        Faults::default(),
    );
    sim.run(300 * MS);
    let renewal_decided = |p: &mut Simulation| {
        let not_learned = &p.model.log()[p.model.learned_count(3)..];
        not_learned.iter().any(|d| d.proposal.proposer.name.as_str() == "n3")
    };
    sim.run_until(2000 * MS, renewal_decided).expect("the node requests a renewal");
    sim.pause(3, true);
    sim.run(1200 * MS);
    sim.propose(1, "share = 1");
    // What the node requests on resuming is lost.
    sim.model.set_faults(Faults { loss: 1.0, ..Faults::default() });
    sim.pause(3, false);
    sim.run(30 * MS);
    sim.isolate(3, true);
    sim.model.set_faults(Faults::default());
    sim.run(4000 * MS);
    sim.end_faults();
    sim.run(2000 * MS);
    sim.load = 0.0;
    sim.run(50 * MS);
    sim.breaches()
}

#[test]
fn lease_counts_from_its_request_even_if_the_grant_is_learned_late() {
    let mut caught = 0;
    for seed in 0..20 {
        assert_eq!(run_with_late_grant(seed, None), Vec::new(), "seed {seed}");
        let breaches = run_with_late_grant(seed, Some(InjectedFault::CountsLeaseFromReply));
        caught += u32::from(breaches.iter().any(|b| b.rule.name() == "all-or-nothing"));
    }
    assert_eq!(caught, 20, "the injected fault is not caught in every run");
}

fn format_breaches(breaches: &[Breach]) -> String {
    breaches.iter().take(5).map(ToString::to_string).collect::<Vec<_>>().join("; ")
}
