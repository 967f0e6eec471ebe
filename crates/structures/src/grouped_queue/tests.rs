use super::*;
use crate::{mix, GOLDEN_GAMMA};

/// Against a vector and walks over it.
#[test]
fn it_is_a_list_that_is_searched_without_a_walk() {
    let mut held: GroupedQueue<u8, u64> = GroupedQueue::default();
    let mut list: Vec<(u64, u8, f64, [f64; 2])> = Vec::new();
    let mut seed = 7u64;
    for key in 0..3_000u64 {
        seed = seed.wrapping_add(GOLDEN_GAMMA);
        let draw = mix(seed);
        let part = |shift: u32, of: u64| (draw >> shift) % of;
        let (group, came) = (part(0, 3) as u8, part(8, 9) as f64);
        let ends = [part(16, 11) as f64 - 5.0, part(24, 7) as f64];
        held.push(key, group, came, ends);
        list.push((key, group, came, ends));
        for turn in 0..part(32, 5).saturating_sub(2) {
            let place = part(40 + 4 * turn as u32, list.len().max(1) as u64) as usize;
            let Some(chosen) = list.get(place).map(|l| l.0) else { continue };
            if draw >> 63 == turn % 2 {
                list.remove(place);
                held.remove(chosen);
            } else {
                list.swap_remove(place);
                held.swap_remove(chosen);
            }
        }
        assert_eq!(held.len(), list.len());
        let of = |g: u8| list.iter().filter(move |l| l.1 == g);
        // `max_by` takes the last of equals, which is the one with the later place.
        let youngest = of(group).max_by(|a, b| a.2.total_cmp(&b.2)).map(|l| l.0);
        assert_eq!(held.newest_first(&group).next().map(|y| y.1), youngest);
        assert_eq!(held.oldest_first(&group).next().map(|o| o.0), of(group).map(|l| l.2).reduce(f64::min));
        for which in 0..2 {
            let earliest = of(group).map(|l| l.3[which]).reduce(f64::min);
            assert_eq!(held.by_deadline(&group, which).next().map(|e| e.0), earliest);
        }
        if key % 97 == 0 {
            let all = held.in_queue_order((0..=key).rev());
            assert!(all.iter().eq(list.iter().map(|l| &l.0)), "the order of the list");
        }
    }
    assert!(list.len() > 50, "there was something to search");
}
