use super::*;

fn fresh(me: usize, identity: u64) -> Founding {
    Founding::new(me, 3, Standing { identity, stage: Stage::Fresh, set: Vec::new() })
}

fn word(f: &Founding) -> Said {
    Said { identity: f.own.identity, stage: f.own.stage, set: f.own.set.clone() }
}

fn tell(all: &mut [Founding], from: usize, to: usize) {
    let said = word(&all[from]);
    all[to].hear(from, said);
}

#[test]
fn no_voter_votes_before_all_have_locked_the_same_set() {
    let mut all = [fresh(0, 10), fresh(1, 11), fresh(2, 12)];
    for (from, to) in [(1, 0), (2, 0), (0, 1)] {
        tell(&mut all, from, to);
    }
    assert_eq!((all[0].own.stage, all[1].own.stage), (Stage::Locked, Stage::Locked));
    assert_eq!(all[1].own.set, [10, 11, 12]);
    tell(&mut all, 1, 0);
    assert_eq!(all[0].own.stage, Stage::Locked, "the third has not locked");
    tell(&mut all, 0, 2);
    tell(&mut all, 2, 0);
    assert_eq!(all[0].own.stage, Stage::Founded);
    tell(&mut all, 0, 1);
    assert_eq!(all[1].own.stage, Stage::Founded);
}

#[test]
fn a_disk_lost_at_any_step_of_the_founding_never_makes_two_sets_that_vote() {
    // All orders of six words (the seventh is always the same), with the second disk lost before any one of them.
    for seed in 0..6_u64.pow(6) {
        for lost in 0..7 {
            let mut all = [fresh(0, 10), fresh(1, 11), fresh(2, 12)];
            let mut ever: Vec<Vec<u64>> = Vec::new();
            let mut draws = seed;
            for step in 0..7 {
                if step == lost {
                    all[1] = fresh(1, 21);
                }
                let (from, to) = [(0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)][(draws % 6) as usize];
                draws /= 6;
                tell(&mut all, from, to);
                ever.extend(all.iter().filter(|f| f.own.stage == Stage::Founded).map(|f| f.own.set.clone()));
            }
            ever.sort();
            ever.dedup();
            assert!(ever.len() <= 1, "two sets vote: {ever:?}");
        }
    }
}

#[test]
fn a_voter_with_another_disk_than_the_founding_one_knows_that_it_must_not_vote() {
    let mut back = fresh(1, 99);
    back.hear(0, Said { identity: 10, stage: Stage::Founded, set: vec![10, 11, 12] });
    assert_eq!(back.why_not(), Some(NoVoteReason::LostDisk));
}
