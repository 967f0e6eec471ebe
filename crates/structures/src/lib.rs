//! Pure structures that the policy decides with. They know nothing of requests or servers, hold no clock and draw the same
//! numbers on every machine.
//!
//! ```
//! use magpietally_structures::{ByNumber, Rate};
//!
//! let mut turns = ByNumber::default();
//! turns.set("a", 2.0);
//! turns.set("b", 1.0);
//! assert_eq!(turns.first(), Some("b"));
//! turns.set("b", 3.0);
//! assert_eq!(turns.first(), Some("a"));
//!
//! let mut rate = Rate::default();
//! rate.add(0.0, 1000.0, 5.0);
//! assert_eq!(rate.at(0.0, 1000.0), 5.0);
//! ```

use std::collections::{BTreeMap, BTreeSet};

/// The step of SplitMix64's walk (Steele, Lea and Flood, 2014).
pub const GOLDEN: u64 = 0x9E37_79B9_7F4A_7C15;

/// The mixing of SplitMix64.
pub fn mix(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

/// A generator of random numbers: SplitMix64 from this state.
#[derive(Clone, Copy, Debug)]
pub struct SplitMix(pub u64);

impl SplitMix {
    /// The next number, from 0 to 1, without 1.
    pub fn part(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(GOLDEN);
        (mix(self.0) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// A rate that forgets: what is added counts for less the longer ago it was, by a factor e in each span.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    per_s: f64,
    at: f64,
}

impl Rate {
    /// Adds an amount at a time; times and spans are in milliseconds, and time does not run backwards.
    pub fn add(&mut self, now: f64, span: f64, amount: f64) {
        self.per_s = self.at(now, span) + amount * 1000.0 / span.max(1.0);
        self.at = now;
    }

    /// The rate when something was last added.
    pub fn latest(&self) -> f64 {
        self.per_s
    }

    /// The rate at a time, in amounts a second.
    pub fn at(&self, now: f64, span: f64) -> f64 {
        self.per_s * (-(now - self.at).max(0.0) / span.max(1.0)).exp()
    }
}

/// Keys in the order of a number that each has; of equal numbers the least key comes first. Every call takes a time that
/// grows with the logarithm of how many there are.
#[derive(Clone, Debug)]
pub struct ByNumber<K> {
    order: BTreeSet<(u64, K)>,
    of: BTreeMap<K, u64>,
}

impl<K> Default for ByNumber<K> {
    fn default() -> Self {
        Self { order: BTreeSet::new(), of: BTreeMap::new() }
    }
}

/// A number whose order as a whole one is that of `f64::total_cmp`.
fn ordered(number: f64) -> u64 {
    let bits = number.to_bits();
    if bits >> 63 == 0 {
        bits | 1 << 63
    } else {
        !bits
    }
}

impl<K: Copy + Ord> ByNumber<K> {
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

    /// The key with the least number.
    pub fn first(&self) -> Option<K> {
        self.order.first().map(|(_, key)| *key)
    }
}

impl<K: Copy + Ord> FromIterator<(K, f64)> for ByNumber<K> {
    fn from_iter<T: IntoIterator<Item = (K, f64)>>(pairs: T) -> Self {
        let mut all = Self::default();
        pairs.into_iter().for_each(|(key, number)| all.set(key, number));
        all
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Against the walk that it replaces, over numbers that move, meet, and have any sign.
    #[test]
    fn the_first_is_what_a_walk_over_all_would_find() {
        let mut numbers = [0.0f64; 17];
        let mut kept: ByNumber<usize> = numbers.iter().copied().enumerate().collect();
        let mut seed = 1u64;
        for _ in 0..20_000 {
            seed = seed.wrapping_add(GOLDEN);
            let (key, number) = ((mix(seed) % 17) as usize, ((mix(seed) >> 32) % 41) as f64 / 4.0 - 5.0);
            numbers[key] = number;
            kept.set(key, number);
            let walked = (0..17).min_by(|a, b| numbers[*a].total_cmp(&numbers[*b]));
            assert_eq!(kept.first(), walked);
        }
        assert_eq!(kept.order.len(), 17, "old numbers are gone");
    }

    #[test]
    fn a_rate_forgets_by_e_in_its_span() {
        let mut rate = Rate::default();
        rate.add(100.0, 500.0, 1.0);
        assert!((rate.at(600.0, 500.0) - 2.0 / std::f64::consts::E).abs() < 1e-12);
    }
}
