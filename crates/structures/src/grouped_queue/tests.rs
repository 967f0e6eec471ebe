use super::*;
use crate::{mix, GOLDEN_GAMMA};

/// Compares with a vector and scans of it.
#[test]
fn the_queue_finds_what_a_scan_of_a_vector_finds() {
    let mut queue: GroupedQueue<u8, u64> = GroupedQueue::default();
    let mut list: Vec<(u64, u8, f64, [f64; 2])> = Vec::new();
    let mut seed = 7u64;
    for key in 0..3_000u64 {
        seed = seed.wrapping_add(GOLDEN_GAMMA);
        let draw = mix(seed);
        let draw_from = |shift: u32, of: u64| (draw >> shift) % of;
        let (group, arrived) = (draw_from(0, 3) as u8, draw_from(8, 9) as f64);
        let deadlines = [draw_from(16, 11) as f64 - 5.0, draw_from(24, 7) as f64];
        queue.push(key, group, arrived, deadlines);
        list.push((key, group, arrived, deadlines));
        for n in 0..draw_from(32, 5).saturating_sub(2) {
            let place = draw_from(40 + 4 * n as u32, list.len().max(1) as u64) as usize;
            let Some(chosen) = list.get(place).map(|l| l.0) else { continue };
            if draw >> 63 == n % 2 {
                list.remove(place);
                queue.remove(chosen);
            } else {
                list.swap_remove(place);
                queue.swap_remove(chosen);
            }
        }
        assert_eq!(queue.len(), list.len());
        let of = |g: u8| list.iter().filter(move |l| l.1 == g);
        // `max_by` takes the last of equals, which is the one with the later place.
        let newest = of(group).max_by(|a, b| a.2.total_cmp(&b.2)).map(|l| l.0);
        assert_eq!(queue.newest_first(&group).next().map(|n| n.1), newest);
        assert_eq!(queue.oldest_first(&group).next().map(|o| o.0), of(group).map(|l| l.2).reduce(f64::min));
        for which in 0..2 {
            let earliest = of(group).map(|l| l.3[which]).reduce(f64::min);
            assert_eq!(queue.by_deadline(&group, which).next().map(|e| e.0), earliest);
        }
        if key % 97 == 0 {
            let all = queue.in_queue_order((0..=key).rev());
            assert!(all.iter().eq(list.iter().map(|l| &l.0)), "the queue keeps the order of the vector");
        }
    }
    assert!(list.len() > 50, "there were items to search");
}
