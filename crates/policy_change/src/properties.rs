//! Seeded runs under every fault the model has, read by the checker.

use std::collections::BTreeMap;
use std::time::Duration;

use magpietally_consensus::model::Faults;
use rand::RngExt;

use crate::check::Breach;
use crate::simulation::{short, Play, MS};
use crate::{InjectedFault, ProposalOutcome, ProposalStatus, Settings, WithoutLease};

const NODES: usize = 5;
const SEEDS: u64 = 300;

fn weather(play: &mut Play) -> Faults {
    let slow = if play.rng.random_bool(0.3) { 600 } else { 60 };
    Faults {
        loss: play.rng.random_range(0.0..0.3),
        duplicate: play.rng.random_range(0.0..0.3),
        max_decide_delay: play.rng.random_range(1..slow) * MS,
        max_learn_delay: play.rng.random_range(1..slow) * MS,
    }
}

/// One thing goes wrong, or right again, or somebody proposes.
fn event(play: &mut Play, n: u64) {
    let i = play.rng.random_range(0..NODES);
    match play.rng.random_range(0..16) {
        0 => play.kill(i),
        1 | 2 => play.cut(i, true),
        3 | 4 if play.model.is_running(i) => {
            play.pause(i, true);
            // A shorter stop is not told from a slow moment, see the gate.
            play.run(200 * MS);
        }
        5 => play.model.set_leader(None),
        6 => {
            let other = play.rng.random_range(0..NODES);
            play.model.set_other_leaders(&[i, other]);
        }
        7 => {
            let faults = weather(play);
            play.model.set_faults(faults);
        }
        8 => play.heal(),
        9 if play.model.is_running(i) => {
            // It learns of its renewal when it wakes, long after it asked, and nothing after that.
            let stop = play.rng.random_range(1000..1900) * MS;
            play.pause(i, true);
            play.propose((i + 1) % NODES, &format!("share = {n}"));
            play.run(stop);
            play.pause(i, false);
            play.run(60 * MS);
            play.cut(i, true);
        }
        9 | 10 => {
            play.model.set_leader(Some(i));
            play.cut(i, false);
        }
        11 => {
            let document = format!("share = {n} !n{}", play.rng.random_range(0..NODES));
            play.propose(i, &document);
        }
        _ => {
            play.propose(i, &format!("share = {n}"));
            if play.rng.random_bool(0.3) {
                play.propose((i + 1) % NODES, &format!("share = {n}, too"));
            }
        }
    }
}

/// One run: faults for twelve seconds, then none; what the checker finds, and how many changes took hold.
fn run(seed: u64, plant: Option<InjectedFault>) -> (Vec<Breach>, u64) {
    let mut settings = vec![Settings { injected_fault: plant, ..short() }; NODES];
    if seed.is_multiple_of(4) {
        settings[4].without_lease = WithoutLease::Serve;
    }
    let mut play = Play::new(seed, settings, Faults::default());
    let faults = weather(&mut play);
    play.model.set_faults(faults);
    play.run(1500 * MS);
    let end = play.model.now() + Duration::from_secs(12);
    let mut n = 0;
    while play.model.now() < end {
        n += 1;
        event(&mut play, n);
        let pause = play.rng.random_range(20..500) * MS;
        play.run(pause);
    }
    play.heal();
    // A dead member's lease runs out, what is under way ends, and each has its lease again.
    let s = short();
    play.run(s.lease_wait() + s.vote_timeout + s.close_timeout + 10 * s.retry_interval);
    let ticket = play.propose(1, "share = last").expect("it runs and waits for nothing");
    let took = play.until(LIVE, |p| matches!(p.proposal_status(1, ticket), ProposalStatus::Ended(_)));
    let outcome = play.proposal_status(1, ticket);
    assert!(
        took.is_some() && matches!(outcome, ProposalStatus::Ended(ProposalOutcome::Taken(_))),
        "seed {seed}: after all faults a change is {outcome:?}"
    );
    play.load = 0.0;
    play.run(50 * MS);
    let taken = play.node(0).state().active.0;
    (play.verdict(), taken)
}

/// Three entries (the proposal, the last answer, the last stop), each at most 10 ms to be decided, 10 ms to be learnt and
/// one beat of 50 ms to be said after; twice that.
const LIVE: Duration = Duration::from_millis(420);

#[test]
fn under_every_fault_a_change_takes_hold_everywhere_or_nowhere_and_the_fleet_is_never_stuck() {
    let mut changes = 0;
    for seed in 0..SEEDS {
        let (breaches, taken) = run(seed, None);
        assert!(breaches.is_empty(), "seed {seed}: {}", list(&breaches));
        changes += taken;
    }
    // Or the faults let nothing through and nothing was tried.
    assert!(changes > 3 * SEEDS, "{changes} proposals in all");
}

#[test]
fn each_planted_fault_is_caught_by_the_name_of_its_rule() {
    let plants = [
        (
            InjectedFault::ServesAfterLease,
            vec!["all-or-nothing", "no-going-back", "stale-after-return", "ready-too-early"],
        ),
        (InjectedFault::CountsLeaseFromReply, vec!["all-or-nothing", "ready-too-early"]),
        (InjectedFault::SkipsBarrier, vec!["all-or-nothing", "no-going-back"]),
        (InjectedFault::ServesProposed, vec!["all-or-nothing", "half-taken"]),
    ];
    for (plant, want) in plants {
        let mut found = BTreeMap::new();
        for seed in 0..SEEDS {
            for breach in run(seed, Some(plant)).0 {
                found.entry(breach.rule.name()).or_insert(seed);
            }
            if want.iter().all(|rule| found.contains_key(rule)) {
                break;
            }
        }
        let missed: Vec<_> = want.iter().filter(|rule| !found.contains_key(*rule)).collect();
        assert!(missed.is_empty(), "{plant:?}: not caught by {missed:?}; first seeds: {found:?}");
    }
}

/// A node is stopped between its asking and the answer, learns of it late, and is cut off while a change is made.
fn woken_and_cut(seed: u64, plant: Option<InjectedFault>) -> Vec<Breach> {
    let mut play =
        Play::new(seed, vec![Settings { injected_fault: plant, ..short() }; NODES], Faults::default());
    play.run(300 * MS);
    let decided = |p: &mut Play| {
        let unlearnt = &p.model.log()[p.model.learned_count(3)..];
        unlearnt.iter().any(|d| d.proposal.proposer.name.as_str() == "n3")
    };
    play.until(2000 * MS, decided).expect("it asks for its lease to go on");
    play.pause(3, true);
    play.run(1200 * MS);
    play.propose(1, "share = 1");
    // What it asks for when it wakes is lost.
    play.model.set_faults(Faults { loss: 1.0, ..Faults::default() });
    play.pause(3, false);
    play.run(30 * MS);
    play.cut(3, true);
    play.model.set_faults(Faults::default());
    play.run(4000 * MS);
    play.heal();
    play.run(2000 * MS);
    play.load = 0.0;
    play.run(50 * MS);
    play.verdict()
}

#[test]
fn a_lease_counts_from_the_asking_also_when_the_answer_is_learnt_late() {
    let mut caught = 0;
    for seed in 0..20 {
        assert_eq!(woken_and_cut(seed, None), Vec::new(), "seed {seed}");
        let breaches = woken_and_cut(seed, Some(InjectedFault::CountsLeaseFromReply));
        caught += u32::from(breaches.iter().any(|b| b.rule.name() == "all-or-nothing"));
    }
    assert_eq!(caught, 20, "the planted fault is not caught in every run");
}

fn list(breaches: &[Breach]) -> String {
    breaches.iter().take(5).map(ToString::to_string).collect::<Vec<_>>().join("; ")
}
