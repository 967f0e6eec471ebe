use super::*;
use crate::{mix, GOLDEN_GAMMA};

/// Compares with a scan, over priorities that change, are equal, have any sign, and are removed.
#[test]
fn the_first_key_is_that_of_a_scan() {
    let mut priorities = [Some(0.0f64); 17];
    let mut map: PriorityMap<usize> = (0..17).map(|key| (key, 0.0)).collect();
    let mut seed = 1u64;
    for _ in 0..20_000 {
        seed = seed.wrapping_add(GOLDEN_GAMMA);
        let (key, priority) = ((mix(seed) % 17) as usize, ((mix(seed) >> 32) % 41) as f64 / 4.0 - 5.0);
        if priority < -4.5 {
            assert_eq!(map.remove(key), priorities[key].take().is_some());
        } else {
            priorities[key] = Some(priority);
            map.set(key, priority);
        }
        let of = |key: &usize| priorities[*key];
        let mut scanned: Vec<usize> = (0..17).filter(|key| of(key).is_some()).collect();
        scanned.sort_by(|a, b| of(a).unwrap_or(0.0).total_cmp(&of(b).unwrap_or(0.0)));
        assert_eq!(map.first(), scanned.first().copied());
        assert_eq!(map.min_priority(), scanned.first().and_then(of));
        assert!(map.iter().eq(scanned.iter().copied()), "previous priorities are gone");
        let up_to: Vec<usize> = map.up_to(1.0).collect();
        assert!(up_to.iter().eq(scanned.iter().filter(|key| of(key) <= Some(1.0))));
    }
}

#[test]
fn deferred_keys_are_due_by_time_or_by_level() {
    let mut deferred = DeferredSet::default();
    deferred.defer(1, 100.0, f64::INFINITY);
    deferred.defer(2, f64::INFINITY, 0.5);
    deferred.defer(3, f64::INFINITY, f64::INFINITY);
    assert_eq!(deferred.due(99.0, 0.4), None);
    assert_eq!(deferred.due(99.0, 0.5), Some(2));
    assert_eq!(deferred.due(100.0, 0.4), Some(1));
    assert!(deferred.remove(1) && !deferred.remove(1));
    assert_eq!(deferred.due(f64::MAX, 0.4), None);
    assert!(deferred.iter().eq([2, 3]));
}
