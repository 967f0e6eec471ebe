//! A queue whose items are found by group, age and deadline without a scan.

use std::collections::{BTreeMap, BTreeSet};

use crate::priority_map::{from_ordered, to_ordered};

/// The order of arrival: later arrivals are greater; of simultaneous ones, those with the later place.
pub type ArrivalOrder = (u64, u64);

/// A queue of keys with groups and deadlines. Places are those of a vector: [`GroupedQueue::remove`] keeps
/// the order of the other items, [`GroupedQueue::swap_remove`] moves the last item to the free place. Every
/// call, and each step of an iterator, takes logarithmic time.
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
    arrived: u64,
    deadlines: [u64; 2],
}

#[derive(Clone, Debug)]
struct Group<K> {
    by_arrival: BTreeSet<(ArrivalOrder, K)>,
    by_deadline: [BTreeSet<(u64, K)>; 2],
}

impl<G, K> Default for GroupedQueue<G, K> {
    fn default() -> Self {
        Self { items: BTreeMap::new(), places: BTreeMap::new(), groups: BTreeMap::new() }
    }
}

impl<G: Copy + Ord, K: Copy + Ord> GroupedQueue<G, K> {
    /// Appends an item. An item that is already queued stays as it is. Groups are kept when they become
    /// empty: there should be few.
    pub fn push(&mut self, key: K, group: G, arrived: f64, deadlines: [f64; 2]) {
        if self.items.contains_key(&key) {
            return;
        }
        let place = self.places.last_key_value().map_or(0, |(place, _)| place + 1);
        let item = Item { group, place, arrived: to_ordered(arrived), deadlines: deadlines.map(to_ordered) };
        let all = self.groups.entry(group).or_insert_with(|| Group {
            by_arrival: BTreeSet::new(),
            by_deadline: [BTreeSet::new(), BTreeSet::new()],
        });
        all.by_arrival.insert(((item.arrived, place), key));
        for (by_deadline, deadline) in all.by_deadline.iter_mut().zip(item.deadlines) {
            by_deadline.insert((deadline, key));
        }
        self.places.insert(place, key);
        self.items.insert(key, item);
    }

    /// Removes an item; the others keep their order.
    pub fn remove(&mut self, key: K) {
        self.take(key);
    }

    /// Removes an item; the last one takes its place.
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
                group.by_arrival.remove(&((item.arrived, last), moved));
                group.by_arrival.insert(((item.arrived, place), moved));
            }
        }
    }

    fn take(&mut self, key: K) -> Option<u64> {
        let item = self.items.remove(&key)?;
        self.places.remove(&item.place);
        if let Some(group) = self.groups.get_mut(&item.group) {
            group.by_arrival.remove(&((item.arrived, item.place), key));
            for (by_deadline, deadline) in group.by_deadline.iter_mut().zip(item.deadlines) {
                by_deadline.remove(&(deadline, key));
            }
        }
        Some(item.place)
    }

    /// Number of queued items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns whether an item is queued.
    pub fn contains(&self, key: K) -> bool {
        self.items.contains_key(&key)
    }

    /// All groups that have ever had an item, in order.
    pub fn groups(&self) -> impl Iterator<Item = &G> {
        self.groups.keys()
    }

    /// The items of a group, the newest first.
    pub fn newest_first(&self, group: &G) -> impl Iterator<Item = (ArrivalOrder, K)> + '_ {
        self.groups.get(group).into_iter().flat_map(|g| g.by_arrival.iter().rev().copied())
    }

    /// The items of a group with their arrival times, the oldest first.
    pub fn oldest_first(&self, group: &G) -> impl Iterator<Item = (f64, K)> + '_ {
        self.groups
            .get(group)
            .into_iter()
            .flat_map(|g| g.by_arrival.iter().map(|((arrived, _), k)| (from_ordered(*arrived), *k)))
    }

    /// The items of a group by one of their two deadlines, the earliest first.
    pub fn by_deadline(&self, group: &G, which: usize) -> impl Iterator<Item = (f64, K)> + '_ {
        let deadlines = self.groups.get(group).and_then(|g| g.by_deadline.get(which));
        deadlines.into_iter().flatten().map(|(deadline, k)| (from_ordered(*deadline), *k))
    }

    /// Sorts keys by their place in the queue, without duplicates and without keys that are not queued.
    pub fn in_queue_order(&self, keys: impl IntoIterator<Item = K>) -> Vec<K> {
        let placed = keys.into_iter().filter_map(|key| Some((self.items.get(&key)?.place, key)));
        let sorted: BTreeMap<u64, K> = placed.collect();
        sorted.into_values().collect()
    }
}

#[cfg(test)]
mod tests;
