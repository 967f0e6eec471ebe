//! Data structures of the policy. They know nothing about requests or servers, read no clock, and produce the
//! same results on every machine.
//!
//! ```
//! use magpietally_structures::{PriorityMap, DecayingRate};
//!
//! let mut turns = PriorityMap::default();
//! turns.set("a", 2.0);
//! turns.set("b", 1.0);
//! assert_eq!(turns.first(), Some("b"));
//! turns.set("b", 3.0);
//! assert_eq!(turns.first(), Some("a"));
//!
//! let mut rate = DecayingRate::default();
//! rate.add(0.0, 1000.0, 5.0);
//! assert_eq!(rate.at(0.0, 1000.0), 5.0);
//! ```

mod accounting;
mod grouped_queue;
mod priority_map;

pub use accounting::{ServiceLevels, TokenBucket};
pub use grouped_queue::{ArrivalOrder, GroupedQueue};
pub use priority_map::{DeferredSet, PriorityMap};

/// The golden gamma: the increment of SplitMix64 (Steele, Lea and Flood, 2014).
pub const GOLDEN_GAMMA: u64 = 0x9E37_79B9_7F4A_7C15;

/// The output function of SplitMix64; a hash of 64 bits.
pub fn mix(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

/// The SplitMix64 random number generator, with its state.
#[derive(Clone, Copy, Debug, Default)]
pub struct SplitMix(pub u64);

impl SplitMix {
    /// The next number, uniform in [0, 1).
    pub fn next_f64(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(GOLDEN_GAMMA);
        (mix(self.0) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// An exponentially decaying rate: amounts lose a factor e in each span since they were added.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingRate {
    per_s: f64,
    at: f64,
}

impl DecayingRate {
    /// Adds an amount at the time `now`. Times and spans are in milliseconds, and time must not run
    /// backwards.
    pub fn add(&mut self, now: f64, span: f64, amount: f64) {
        self.per_s = self.at(now, span) + amount * 1000.0 / span.max(1.0);
        self.at = now;
    }

    /// The rate at the time of the last addition.
    pub fn latest(&self) -> f64 {
        self.per_s
    }

    /// The rate at the time `now`, in amounts per second.
    pub fn at(&self, now: f64, span: f64) -> f64 {
        self.per_s * (-(now - self.at).max(0.0) / span.max(1.0)).exp()
    }
}

/// The elements of two sorted lists that only the first has, and those that only the second has.
pub fn sorted_difference<K: Copy + Ord>(first: &[K], second: &[K]) -> (Vec<K>, Vec<K>) {
    let (mut a, mut b) = (first.iter().peekable(), second.iter().peekable());
    let (mut only_first, mut only_second) = (Vec::new(), Vec::new());
    loop {
        match (a.peek(), b.peek()) {
            (Some(x), Some(y)) if x == y => {
                a.next();
                b.next();
            }
            (Some(x), y) if y.is_none_or(|y| x < y) => {
                only_first.push(**x);
                a.next();
            }
            (_, Some(y)) => {
                only_second.push(**y);
                b.next();
            }
            _ => return (only_first, only_second),
        }
    }
}

#[cfg(test)]
mod tests;
