//! Keys ordered by a priority.

use std::collections::{BTreeMap, BTreeSet};

/// Keys ordered by a priority each; of equal priorities the smallest key comes first. Every call takes
/// logarithmic time.
#[derive(Clone, Debug)]
pub struct PriorityMap<K> {
    order: BTreeSet<(u64, K)>,
    priorities: BTreeMap<K, u64>,
}

impl<K> Default for PriorityMap<K> {
    fn default() -> Self {
        Self { order: BTreeSet::new(), priorities: BTreeMap::new() }
    }
}

/// Maps a float to an integer in the order of `f64::total_cmp`.
pub(crate) fn to_ordered(number: f64) -> u64 {
    let bits = number.to_bits();
    if bits >> 63 == 0 {
        bits | 1 << 63
    } else {
        !bits
    }
}

/// The inverse of [`to_ordered`].
pub(crate) fn from_ordered(ordered: u64) -> f64 {
    f64::from_bits(if ordered >> 63 == 1 { ordered & !(1 << 63) } else { !ordered })
}

impl<K: Copy + Ord> PriorityMap<K> {
    /// Sets the priority of a key, in place of its previous one.
    pub fn set(&mut self, key: K, priority: f64) {
        let priority = to_ordered(priority);
        if let Some(before) = self.priorities.insert(key, priority) {
            if before == priority {
                return;
            }
            self.order.remove(&(before, key));
        }
        self.order.insert((priority, key));
    }

    /// Removes a key; false if it is absent.
    pub fn remove(&mut self, key: K) -> bool {
        let priority = self.priorities.remove(&key);
        priority.is_some_and(|priority| self.order.remove(&(priority, key)))
    }

    /// The key with the lowest priority.
    pub fn first(&self) -> Option<K> {
        self.order.first().map(|(_, key)| *key)
    }

    /// The lowest priority.
    pub fn min_priority(&self) -> Option<f64> {
        self.order.first().map(|(n, _)| from_ordered(*n))
    }

    /// All keys with a priority up to and including a bound, in order.
    pub fn up_to(&self, bound: f64) -> impl Iterator<Item = K> + '_ {
        let bound = to_ordered(bound);
        self.order.iter().take_while(move |(n, _)| *n <= bound).map(|(_, key)| *key)
    }

    /// All keys, in order.
    pub fn iter(&self) -> impl Iterator<Item = K> + '_ {
        self.order.iter().map(|(_, key)| *key)
    }
}

impl<K: Copy + Ord> FromIterator<(K, f64)> for PriorityMap<K> {
    fn from_iter<T: IntoIterator<Item = (K, f64)>>(pairs: T) -> Self {
        let mut all = Self::default();
        pairs.into_iter().for_each(|(key, priority)| all.set(key, priority));
        all
    }
}

/// Keys that are deferred until a time or until a level is reached, whichever comes first.
#[derive(Clone, Debug)]
pub struct DeferredSet<K> {
    until: PriorityMap<K>,
    level: PriorityMap<K>,
}

impl<K> Default for DeferredSet<K> {
    fn default() -> Self {
        Self { until: PriorityMap::default(), level: PriorityMap::default() }
    }
}

impl<K: Copy + Ord> DeferredSet<K> {
    /// Defers a key. An infinite bound is never reached.
    pub fn defer(&mut self, key: K, until: f64, level: f64) {
        self.until.set(key, until);
        self.level.set(key, level);
    }

    /// Removes a key; false if it is not deferred.
    pub fn remove(&mut self, key: K) -> bool {
        self.level.remove(key);
        self.until.remove(key)
    }

    /// A key whose time has come or whose level is reached, if any.
    pub fn due(&self, now: f64, level: f64) -> Option<K> {
        self.until.up_to(now).chain(self.level.up_to(level)).next()
    }

    /// All deferred keys, in the order of their times.
    pub fn iter(&self) -> impl Iterator<Item = K> + '_ {
        self.until.iter()
    }
}

#[cfg(test)]
mod tests;
