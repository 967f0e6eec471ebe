//! Things that wait, found by their group, their age and their ends without a walk over all.

use std::collections::{BTreeMap, BTreeSet};

use crate::priority_map::{number, ordered};

/// How young something is: what came later is greater, of what came together what has the later place.
pub type ArrivalOrder = (u64, u64);

/// Things that wait, each with its place in a list. Places are those of a vector from which things are taken anywhere: by
/// [`GroupedQueue::remove`] the others keep their order, by [`GroupedQueue::swap_remove`] the last one takes the place that falls free.
/// Every call, and each step of an iterator, takes a time that grows with the logarithm of how many there are.
#[derive(Clone, Debug)]
pub struct GroupedQueue<G, K> {
    items: BTreeMap<K, Item<G>>,
    places: BTreeMap<u64, K>,
    groups: BTreeMap<G, Group<K>>,
}

#[derive(Clone, Debug)]
struct Item<G> {
    group: G,
    place: u64,
    came: u64,
    ends: [u64; 2],
}

#[derive(Clone, Debug)]
struct Group<K> {
    by_age: BTreeSet<(ArrivalOrder, K)>,
    by_end: [BTreeSet<(u64, K)>; 2],
}

impl<G, K> Default for GroupedQueue<G, K> {
    fn default() -> Self {
        Self { items: BTreeMap::new(), places: BTreeMap::new(), groups: BTreeMap::new() }
    }
}

impl<G: Copy + Ord, K: Copy + Ord> GroupedQueue<G, K> {
    /// Adds a thing at the end of the list. One that is there already stays as it is. Groups are kept when they become
    /// empty: there should be few.
    pub fn push(&mut self, key: K, group: G, came: f64, ends: [f64; 2]) {
        if self.items.contains_key(&key) {
            return;
        }
        let place = self.places.last_key_value().map_or(0, |(place, _)| place + 1);
        let item = Item { group, place, came: ordered(came), ends: ends.map(ordered) };
        let all = self
            .groups
            .entry(group)
            .or_insert_with(|| Group { by_age: BTreeSet::new(), by_end: [BTreeSet::new(), BTreeSet::new()] });
        all.by_age.insert(((item.came, place), key));
        for (by_end, end) in all.by_end.iter_mut().zip(item.ends) {
            by_end.insert((end, key));
        }
        self.places.insert(place, key);
        self.items.insert(key, item);
    }

    /// Takes a thing out; the others keep their order.
    pub fn remove(&mut self, key: K) {
        self.take(key);
    }

    /// Takes a thing out; the last of the list takes its place.
    pub fn swap_remove(&mut self, key: K) {
        let Some(place) = self.take(key) else { return };
        let Some((last, moved)) = self.places.last_key_value().map(|(l, k)| (*l, *k)).filter(|l| l.0 > place)
        else {
            return;
        };
        self.places.remove(&last);
        self.places.insert(place, moved);
        if let Some(item) = self.items.get_mut(&moved) {
            item.place = place;
            if let Some(group) = self.groups.get_mut(&item.group) {
                group.by_age.remove(&((item.came, last), moved));
                group.by_age.insert(((item.came, place), moved));
            }
        }
    }

    fn take(&mut self, key: K) -> Option<u64> {
        let item = self.items.remove(&key)?;
        self.places.remove(&item.place);
        if let Some(group) = self.groups.get_mut(&item.group) {
            group.by_age.remove(&((item.came, item.place), key));
            for (by_end, end) in group.by_end.iter_mut().zip(item.ends) {
                by_end.remove(&(end, key));
            }
        }
        Some(item.place)
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Does nothing wait?
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Does this wait?
    pub fn contains(&self, key: K) -> bool {
        self.items.contains_key(&key)
    }

    /// The groups that have ever had anything, in order.
    pub fn groups(&self) -> impl Iterator<Item = &G> {
        self.groups.keys()
    }

    /// A group's, the youngest first.
    pub fn newest_first(&self, group: &G) -> impl Iterator<Item = (ArrivalOrder, K)> + '_ {
        self.groups.get(group).into_iter().flat_map(|g| g.by_age.iter().rev().copied())
    }

    /// A group's with the times when they came, the oldest first.
    pub fn oldest_first(&self, group: &G) -> impl Iterator<Item = (f64, K)> + '_ {
        self.groups
            .get(group)
            .into_iter()
            .flat_map(|g| g.by_age.iter().map(|((came, _), k)| (number(*came), *k)))
    }

    /// A group's by one of their two ends, the earliest first.
    pub fn by_deadline(&self, group: &G, which: usize) -> impl Iterator<Item = (f64, K)> + '_ {
        let ends = self.groups.get(group).and_then(|g| g.by_end.get(which));
        ends.into_iter().flatten().map(|(end, k)| (number(*end), *k))
    }

    /// Puts keys into the order of the list, each once; those that do not wait are left out.
    pub fn in_queue_order(&self, keys: impl IntoIterator<Item = K>) -> Vec<K> {
        let placed = keys.into_iter().filter_map(|key| Some((self.items.get(&key)?.place, key)));
        let sorted: BTreeMap<u64, K> = placed.collect();
        sorted.into_values().collect()
    }
}

#[cfg(test)]
mod tests;
