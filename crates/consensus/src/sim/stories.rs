//! Single failures, each with what is noticed and what holds.

use super::*;
use crate::founding::NoVoteReason;

fn quiet(seed: u64, voters: usize, nodes: usize) -> Fleet {
    let plan = Plan { voters, nodes, checkpoint: 16, ..Plan::default() };
    let mut fleet = Fleet::new(seed, plan, Faults::default());
    fleet.founded();
    fleet
}

impl Fleet {
    fn leader(&self) -> usize {
        let leads = |i: &usize| self.world.room(*i).is_some_and(|r| r.node.is_leader());
        (0..self.plan.voters).find(leads).expect("a leader")
    }

    fn no_vote(&self, i: usize) -> Option<NoVoteReason> {
        self.world.room(i).expect("it runs").node.status().no_vote
    }

    /// Proposes by `i` until it sees one more of its own decided, for at most `limit`.
    fn decides(&mut self, i: usize, limit: Duration) -> Option<Duration> {
        let before = self.index(i);
        self.propose(i, vec![7]);
        self.world.run_until(limit, |w| w.room(i).is_some_and(|r| r.index > before))
    }
}

/// Power is lost at two of three voters while their writes are under way, and the third was cut off meanwhile.
fn power_losses(seed: u64, early: bool) -> Result<(), String> {
    let plan = Plan { early, voters: 3, nodes: 6, checkpoint: 64, datagrams: false };
    let mut fleet = Fleet::new(seed, plan, Faults::default());
    fleet.sync = 150 * MS;
    (0..6).for_each(|i| fleet.start(i));
    let mut rng = Pcg64::seed_from_u64(seed);
    fleet.founded();
    for step in 0..12_u64 {
        let out = rng.random_range(0..3);
        let rest: Vec<usize> = (0..6).filter(|i| *i != out).collect();
        fleet.world.net_mut().partition(&[out], &rest);
        fleet.world.run(1500 * MS);
        for n in 0..3 {
            fleet.propose(3, (seed << 16 | step << 4 | n).to_le_bytes().to_vec());
        }
        fleet.world.run(rng.random_range(30..600) * MS);
        for i in (0..3).filter(|i| *i != out) {
            fleet.kill(i, false);
            fleet.start(i);
        }
        fleet.world.net_mut().heal();
        fleet.world.run(200 * MS);
    }
    fleet.verdict()
}

#[test]
fn a_voter_that_sends_before_its_promise_is_durable_is_caught_by_name_and_one_that_waits_is_sound() {
    let rules = ["no two nodes decide different entries at one index", "decided is never undone"];
    let caught = |why: String| rules.iter().any(|rule| why.contains(rule));
    let mut forgetful = 0;
    for seed in 0..30 {
        forgetful += usize::from(power_losses(seed, true).is_err_and(caught));
        assert_eq!(power_losses(seed, false), Ok(()));
    }
    println!("caught in {forgetful} of 30");
    assert!(forgetful >= 3, "caught in {forgetful} of 30 runs");
}

#[test]
fn links_that_fail_one_way_between_the_leader_and_one_voter_do_not_stop_the_log() {
    for voters in [3, 5] {
        for seed in 0..6 {
            let mut fleet = quiet(seed, voters, voters + 2);
            let leader = fleet.leader();
            let other = (leader + 1) % voters;
            let (from, to) = if seed % 2 == 0 { (leader, other) } else { (other, leader) };
            fleet.world.net_mut().cut(from, to);
            for _ in 0..10 {
                let took = fleet.decides(voters, Duration::from_secs(5));
                assert!(took.is_some(), "seed {seed}: {voters} voters, {from} to {to} cut");
                fleet.world.run(500 * MS);
            }
            let at = fleet.index(voters);
            assert!(
                fleet.world.run_until(2000 * MS, |w| w.room(other).is_some_and(|r| r.index >= at)).is_some(),
                "the voter behind the cut link learns from the others"
            );
            assert_eq!(fleet.verdict(), Ok(()));
        }
    }
}

#[test]
fn a_voter_that_lost_its_disk_learns_but_does_not_vote() {
    let mut fleet = quiet(1, 3, 4);
    for _ in 0..40 {
        fleet.decides(3, Duration::from_secs(5)).expect("decided");
    }
    let lost = (fleet.leader() + 1) % 3;
    fleet.lose_disk(lost);
    fleet.start(lost);
    fleet.world.run(3000 * MS);
    assert_eq!(fleet.no_vote(lost), Some(NoVoteReason::LostDisk));
    assert_eq!(fleet.index(lost), fleet.index(3), "it learns all");
    // With one more voter away there is no majority of disks: what is proposed now must not be decided.
    let third = (0..3).find(|i| *i != lost && *i != fleet.leader()).expect("a third");
    fleet.kill(third, true);
    assert_eq!(fleet.decides(3, Duration::from_secs(10)), None, "decided with one disk of three");
    fleet.start(third);
    assert!(fleet.decides(3, Duration::from_secs(10)).is_some());
    assert_eq!(fleet.verdict(), Ok(()));
}

#[test]
fn a_full_disk_makes_the_leader_say_so_and_another_lead_until_there_is_space() {
    let mut fleet = quiet(2, 3, 4);
    let leader = fleet.leader();
    fleet.disks[leader].lock().expect("a disk").full = true;
    fleet.propose(3, vec![1]);
    fleet.world.run(100 * MS);
    assert_eq!(fleet.no_vote(leader), Some(NoVoteReason::CannotWrite));
    let status = fleet.world.room(leader).expect("it runs").node.status();
    assert_eq!(status.write_error.as_deref(), Some("no space left"));
    assert!(fleet.decides(3, Duration::from_secs(10)).is_some(), "the others go on");
    assert_ne!(fleet.leader(), leader);
    fleet.disks[leader].lock().expect("a disk").full = false;
    fleet.world.run(5000 * MS);
    assert_eq!(fleet.no_vote(leader), None);
    assert_eq!(fleet.verdict(), Ok(()));
}

#[test]
fn a_node_that_was_away_for_long_catches_up_by_a_snapshot() {
    let mut fleet = quiet(3, 3, 5);
    fleet.kill(4, true);
    for _ in 0..200 {
        fleet.decides(3, Duration::from_secs(5)).expect("decided");
    }
    fleet.start(4);
    let at = fleet.index(3);
    assert!(fleet.world.run_until(5000 * MS, |w| w.room(4).is_some_and(|r| r.index == at)).is_some());
    let digests = [3, 4].map(|i| fleet.world.room(i).map(|r| r.digest));
    assert_eq!(digests[0], digests[1], "the machine is the same");
    fleet.collect();
    let restored = |r: &Record| {
        r.node.name == fleet.names[4]
            && matches!(r.what, crate::check::Observation::Restored { index } if index.0 > 0)
    };
    assert!(fleet.history.iter().any(restored), "by a snapshot");
    assert_eq!(fleet.verdict(), Ok(()));
}

#[test]
fn what_can_not_be_read_is_dropped_and_counted() {
    let mut fleet = quiet(4, 3, 4);
    let from = magpietally_transport::Peer {
        name: fleet.names[1].clone(),
        session: magpietally_transport::Session(1),
    };
    let mut rng = Pcg64::seed_from_u64(9);
    let before = fleet.world.room(0).expect("it runs").node.status().dropped;
    for n in 0..2000_u64 {
        let len = rng.random_range(0..60);
        let mut bytes: Vec<u8> = (0..len).map(|_| rng.random()).collect();
        if let (Some(first), true) = (bytes.first_mut(), n % 4 > 0) {
            *first = crate::wire::FORMAT;
        }
        // Observation tells of other entries at an index stops a node, as it should: not here.
        if !matches!(bytes.get(1), Some(4 | 5)) {
            fleet.world.act(0, |room, now| magpietally_transport::Room::on_message(room, now, &from, &bytes));
        }
    }
    let after = fleet.world.room(0).expect("it runs").node.status().dropped;
    assert!(after > before + 1000, "{before} {after}");
    assert_eq!(fleet.verdict(), Ok(()));
}

#[test]
fn an_entry_that_differs_from_the_one_learnt_is_told_and_the_log_used_no_further() {
    let mut fleet = quiet(5, 3, 4);
    fleet.decides(3, Duration::from_secs(5)).expect("decided");
    let index = fleet.index(3);
    let beat = crate::wire::Wire::Beat { index, hash: [9; 16], leader: None };
    let bytes = crate::wire::encode(&beat).expect("it fits");
    let from = magpietally_transport::Peer {
        name: fleet.names[1].clone(),
        session: magpietally_transport::Session(1),
    };
    fleet.world.act(3, |room, now| magpietally_transport::Room::on_message(room, now, &from, &bytes));
    let status = fleet.world.room(3).expect("it runs").node.status();
    assert_eq!((status.diverged_at, status.no_vote), (Some(index), Some(NoVoteReason::Broken)));
    assert!(!fleet.propose(3, vec![1]), "it takes no proposal");
}

#[test]
fn settings_name_three_to_seven_voters_each_once() {
    let named = |n: &[&str]| n.iter().map(|n| Name::new(n).expect("a name")).collect::<Vec<_>>();
    let why = |n: &[&str]| Settings::new(named(n), 1).check();
    assert_eq!(why(&["a", "b", "c"]), Ok(()));
    assert_eq!(why(&["a", "b"]), Err(crate::SettingsError::VoterCount(2)));
    assert_eq!(why(&["a", "b", "a"]), Err(crate::SettingsError::VoterName(named(&["a"]).remove(0))));
}
