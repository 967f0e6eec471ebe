use super::*;

fn new_voter(me: usize, identity: u64) -> Bootstrap {
    Bootstrap::new(me, 3, BootstrapState { identity, stage: BootstrapStage::New, set: Vec::new() })
}

fn status_of(f: &Bootstrap) -> PeerStatus {
    PeerStatus { identity: f.own.identity, stage: f.own.stage, set: f.own.set.clone() }
}

fn deliver(all: &mut [Bootstrap], from: usize, to: usize) {
    let status = status_of(&all[from]);
    all[to].receive(from, status);
}

#[test]
fn no_voter_votes_before_all_have_locked_the_same_set() {
    let mut all = [new_voter(0, 10), new_voter(1, 11), new_voter(2, 12)];
    for (from, to) in [(1, 0), (2, 0), (0, 1)] {
        deliver(&mut all, from, to);
    }
    assert_eq!((all[0].own.stage, all[1].own.stage), (BootstrapStage::Locked, BootstrapStage::Locked));
    assert_eq!(all[1].own.set, [10, 11, 12]);
    deliver(&mut all, 1, 0);
    assert_eq!(all[0].own.stage, BootstrapStage::Locked, "the third has not locked");
    deliver(&mut all, 0, 2);
    deliver(&mut all, 2, 0);
    assert_eq!(all[0].own.stage, BootstrapStage::Complete);
    deliver(&mut all, 0, 1);
    assert_eq!(all[1].own.stage, BootstrapStage::Complete);
}

#[test]
fn a_disk_lost_during_bootstrap_never_leads_to_two_voting_sets() {
    // All orders of six messages (the seventh is always the same), with the second voter's disk lost before
    // any one of them.
    for orders in 0..6_u64.pow(6) {
        for lost_at in 0..7 {
            let mut all = [new_voter(0, 10), new_voter(1, 11), new_voter(2, 12)];
            let mut complete_sets: Vec<Vec<u64>> = Vec::new();
            let mut order = orders;
            for step in 0..7 {
                if step == lost_at {
                    all[1] = new_voter(1, 21);
                }
                let (from, to) = [(0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)][(order % 6) as usize];
                order /= 6;
                deliver(&mut all, from, to);
                complete_sets.extend(
                    all.iter().filter(|f| f.own.stage == BootstrapStage::Complete).map(|f| f.own.set.clone()),
                );
            }
            complete_sets.sort();
            complete_sets.dedup();
            assert!(complete_sets.len() <= 1, "two sets vote: {complete_sets:?}");
        }
    }
}

#[test]
fn a_voter_with_a_replaced_disk_does_not_vote() {
    let mut returned = new_voter(1, 99);
    returned.receive(0, PeerStatus { identity: 10, stage: BootstrapStage::Complete, set: vec![10, 11, 12] });
    assert_eq!(returned.no_vote_reason(), Some(NoVoteReason::LostDisk));
}
