use super::*;
use crate::{mix, GOLDEN_GAMMA};

/// Against the walk that it replaces, over numbers that move, meet, have any sign, and go.
#[test]
fn the_first_is_what_a_walk_over_all_would_find() {
    let mut numbers = [Some(0.0f64); 17];
    let mut kept: PriorityMap<usize> = (0..17).map(|key| (key, 0.0)).collect();
    let mut seed = 1u64;
    for _ in 0..20_000 {
        seed = seed.wrapping_add(GOLDEN_GAMMA);
        let (key, number) = ((mix(seed) % 17) as usize, ((mix(seed) >> 32) % 41) as f64 / 4.0 - 5.0);
        if number < -4.5 {
            assert_eq!(kept.remove(key), numbers[key].take().is_some());
        } else {
            numbers[key] = Some(number);
            kept.set(key, number);
        }
        let of = |key: &usize| numbers[*key];
        let mut walked: Vec<usize> = (0..17).filter(|key| of(key).is_some()).collect();
        walked.sort_by(|a, b| of(a).unwrap_or(0.0).total_cmp(&of(b).unwrap_or(0.0)));
        assert_eq!(kept.first(), walked.first().copied());
        assert_eq!(kept.min_priority(), walked.first().and_then(of));
        assert!(kept.iter().eq(walked.iter().copied()), "old numbers are gone");
        let near: Vec<usize> = kept.up_to(1.0).collect();
        assert!(near.iter().eq(walked.iter().filter(|key| of(key) <= Some(1.0))));
    }
}

#[test]
fn what_is_aside_comes_back_by_time_or_by_level() {
    let mut aside = DeferredSet::default();
    aside.defer(1, 100.0, f64::INFINITY);
    aside.defer(2, f64::INFINITY, 0.5);
    aside.defer(3, f64::INFINITY, f64::INFINITY);
    assert_eq!(aside.due(99.0, 0.4), None);
    assert_eq!(aside.due(99.0, 0.5), Some(2));
    assert_eq!(aside.due(100.0, 0.4), Some(1));
    assert!(aside.remove(1) && !aside.remove(1));
    assert_eq!(aside.due(f64::MAX, 0.4), None);
    assert!(aside.iter().eq([2, 3]));
}
