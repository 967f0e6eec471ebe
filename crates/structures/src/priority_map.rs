//! Keys in the order of a number.

use std::collections::{BTreeMap, BTreeSet};

/// Keys in the order of a number that each has; of equal numbers the least key comes first. Every call takes a time that
/// grows with the logarithm of how many there are.
#[derive(Clone, Debug)]
pub struct PriorityMap<K> {
    order: BTreeSet<(u64, K)>,
    of: BTreeMap<K, u64>,
}

impl<K> Default for PriorityMap<K> {
    fn default() -> Self {
        Self { order: BTreeSet::new(), of: BTreeMap::new() }
    }
}

/// A number whose order as a whole one is that of `f64::total_cmp`.
pub(crate) fn ordered(number: f64) -> u64 {
    let bits = number.to_bits();
    if bits >> 63 == 0 {
        bits | 1 << 63
    } else {
        !bits
    }
}

/// The number that was made a whole one.
pub(crate) fn number(ordered: u64) -> f64 {
    f64::from_bits(if ordered >> 63 == 1 { ordered & !(1 << 63) } else { !ordered })
}

impl<K: Copy + Ord> PriorityMap<K> {
    /// Gives a key its number, in place of the one that it had.
    pub fn set(&mut self, key: K, number: f64) {
        let number = ordered(number);
        if let Some(before) = self.of.insert(key, number) {
            if before == number {
                return;
            }
            self.order.remove(&(before, key));
        }
        self.order.insert((number, key));
    }

    /// Takes a key out; false where it is not there.
    pub fn remove(&mut self, key: K) -> bool {
        let number = self.of.remove(&key);
        number.is_some_and(|number| self.order.remove(&(number, key)))
    }

    /// The key with the least number.
    pub fn first(&self) -> Option<K> {
        self.order.first().map(|(_, key)| *key)
    }

    /// The least number.
    pub fn min_priority(&self) -> Option<f64> {
        self.order.first().map(|(n, _)| number(*n))
    }

    /// All keys whose numbers are no greater than a bound, by their numbers.
    pub fn up_to(&self, bound: f64) -> impl Iterator<Item = K> + '_ {
        let bound = ordered(bound);
        self.order.iter().take_while(move |(n, _)| *n <= bound).map(|(_, key)| *key)
    }

    /// All keys, by their numbers.
    pub fn iter(&self) -> impl Iterator<Item = K> + '_ {
        self.order.iter().map(|(_, key)| *key)
    }
}

impl<K: Copy + Ord> FromIterator<(K, f64)> for PriorityMap<K> {
    fn from_iter<T: IntoIterator<Item = (K, f64)>>(pairs: T) -> Self {
        let mut all = Self::default();
        pairs.into_iter().for_each(|(key, number)| all.set(key, number));
        all
    }
}

/// Keys that are put aside until a time comes or a level is reached, whichever is first.
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
    /// Puts a key aside; infinite ones never come.
    pub fn defer(&mut self, key: K, until: f64, level: f64) {
        self.until.set(key, until);
        self.level.set(key, level);
    }

    /// Takes a key back; false where it is not aside.
    pub fn remove(&mut self, key: K) -> bool {
        self.level.remove(key);
        self.until.remove(key)
    }

    /// One whose time has come or whose level is reached.
    pub fn due(&self, now: f64, level: f64) -> Option<K> {
        self.until.up_to(now).chain(self.level.up_to(level)).next()
    }

    /// All that are aside, by their times.
    pub fn iter(&self) -> impl Iterator<Item = K> + '_ {
        self.until.iter()
    }
}

#[cfg(test)]
mod tests;
