//! An even cover: many nodes that know only how many they are each take the first few of a common table.

use crate::{mix, GOLDEN};

/// The order in which node `number` of `nodes` prefers the members, by their places; `starts` has a hash of each, the same
/// at every node. All nodes fill the same table, as Maglev does (Eisenbud et al., 2016, 3.4): each member in turn takes its
/// next free place by an order of its own, so that each has as many places as any other and keeps most of them when
/// members come and go. Each node reads the table from a place of its own; first parts of the orders are thus an even cover
/// of the members. `block` places in a row hold a member once, where they can.
///
/// The time grows with the places in the table, at the most four times the members or `block` for each node.
pub fn cover(starts: &[u64], nodes: usize, number: usize, block: usize) -> Vec<usize> {
    const FREE: u32 = u32::MAX;
    if starts.is_empty() || nodes == 0 || block == 0 {
        return (0..starts.len()).collect();
    }
    let size = (block * nodes).max(block * starts.len().next_power_of_two());
    let mut walks = starts.to_vec();
    let mut table = vec![FREE; size];
    for filled in 0..size {
        let member = filled % starts.len();
        let walk = &mut walks[member];
        let mut tries = 0;
        let free = loop {
            *walk = walk.wrapping_add(GOLDEN);
            tries += 1;
            let place = mix(*walk) as usize % size;
            // Not twice in what one node reads first, but where nothing else is left.
            let from = place - place % block;
            let twice = table[from..(from + block).min(size)].contains(&(member as u32));
            if table[place] == FREE && (!twice || tries > size) {
                break place;
            }
        };
        table[free] = member as u32;
    }
    let own = number * size / nodes;
    let mut seen = vec![false; starts.len()];
    let places = (own..size).chain(0..own).map(|place| table[place] as usize);
    places.filter(|m| !std::mem::replace(&mut seen[*m], true)).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn starts(members: impl Iterator<Item = u64>) -> Vec<u64> {
        members.map(|m| mix(m.wrapping_mul(GOLDEN))).collect()
    }

    #[test]
    fn all_nodes_together_cover_all_members_evenly() {
        let (members, nodes, each) = (200, 50, 32);
        let starts = starts(0..members);
        let mut nodes_of = vec![0; members as usize];
        for number in 0..nodes {
            let order = cover(&starts, nodes, number, 2);
            assert_eq!(order.len(), members as usize, "each member once");
            order.iter().take(each).for_each(|m| nodes_of[*m] += 1);
        }
        let (least, most) = (nodes_of.iter().min(), nodes_of.iter().max());
        assert!(
            least >= Some(&5) && most <= Some(&11),
            "8 nodes a member on average, not {least:?} to {most:?}"
        );
    }

    #[test]
    fn most_members_stay_where_one_goes() {
        let (with, without) = (starts(0..200), starts((0..200).filter(|m| *m != 77)));
        let (mut kept, mut all) = (0, 0);
        for number in 0..50 {
            let before: Vec<u64> = cover(&with, 50, number, 2).iter().take(32).map(|m| with[*m]).collect();
            let after: Vec<u64> =
                cover(&without, 50, number, 2).iter().take(32).map(|m| without[*m]).collect();
            all += before.len();
            kept += before.iter().filter(|m| after.contains(m)).count();
        }
        assert!(kept * 10 > all * 8, "{kept} of {all}");
    }

    #[test]
    fn nothing_to_cover_is_no_trouble() {
        assert!(cover(&[], 3, 1, 2).is_empty());
        assert_eq!(cover(&[5], 3, 1, 2), [0]);
        assert_eq!(cover(&[5, 6], 0, 0, 0), [0, 1]);
    }
}
