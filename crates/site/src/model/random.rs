//! Random numbers that are the same on every machine. Each purpose has its own stream, so that the draws of
//! one part of the site do not affect another. All variants of a node therefore face the same arrivals and
//! the same work.

use rand::distr::Distribution;
use rand::{RngExt, SeedableRng};
use rand_distr::{Exp1, StandardNormal};
use rand_pcg::Pcg64Mcg;

/// Purpose of a stream.
#[derive(Clone, Copy, Debug)]
pub enum Purpose {
    /// Arrival times and properties of requests.
    Arrivals = 1,
    /// Targets and random numbers of faults.
    Faults = 2,
    /// Network jitter.
    Network = 3,
    /// Clients' reaction to refusals.
    Clients = 4,
    /// Differences between boxes, and the boxes' own errors.
    Boxes = 5,
    /// Delays of the box list.
    List = 6,
    /// Seeds of the nodes.
    Nodes = 7,
    /// Choice of the node for a try by the front.
    Front = 8,
}

/// A stream of random numbers.
#[derive(Clone, Debug)]
pub struct Stream(Pcg64Mcg);

impl Stream {
    /// Creates the stream of a purpose with a seed.
    pub fn new(seed: u64, purpose: Purpose) -> Self {
        // Adjacent seeds must not give similar streams: both numbers pass through the generator's own mixing.
        Self(Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ ((purpose as u64) << 56)))
    }

    /// Uniform in [0, 1).
    pub fn unit(&mut self) -> f64 {
        self.0.random()
    }

    /// Returns true with this probability. It draws in any case, so that a probability of 0 shifts no other
    /// draw.
    pub fn chance(&mut self, chance: f64) -> bool {
        self.unit() < chance
    }

    /// Uniform between two bounds.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// Uniform integer below a bound that is not 0.
    pub fn below(&mut self, bound: usize) -> usize {
        self.0.random_range(0..bound as u64) as usize
    }

    /// Uniform over all 64-bit integers.
    pub fn number(&mut self) -> u64 {
        self.0.random()
    }

    /// Exponential with mean 1.
    pub fn exponential(&mut self) -> f64 {
        Exp1.sample(&mut self.0)
    }

    /// A positive number with mean 1 and this coefficient of variation: constant for 0, exponential for 1,
    /// log-normal otherwise.
    pub fn varied(&mut self, cv: f64) -> f64 {
        if cv <= 0.0 {
            return 1.0;
        }
        if cv == 1.0 {
            return self.exponential();
        }
        let variance = (1.0 + cv * cv).ln();
        let normal: f64 = StandardNormal.sample(&mut self.0);
        (normal * variance.sqrt() - variance / 2.0).exp()
    }

    /// Index drawn with the weights whose cumulative sums are given; the last sum is the total.
    pub fn pick(&mut self, sums: &[f64]) -> usize {
        let at = self.unit() * sums.last().copied().unwrap_or(0.0);
        sums.partition_point(|sum| *sum <= at).min(sums.len().saturating_sub(1))
    }

    /// `count` distinct numbers below `bound`, sorted; all of them where `bound` is smaller.
    pub fn choose(&mut self, count: usize, bound: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..bound).collect();
        let count = count.min(bound);
        for i in 0..count {
            let other = i + self.below(bound - i);
            all.swap(i, other);
        }
        all.truncate(count);
        all.sort_unstable();
        all
    }
}

/// Cumulative sums of some shares.
pub fn sums(shares: impl Iterator<Item = f64>) -> Vec<f64> {
    shares
        .scan(0.0, |sum, share| {
            *sum += share;
            Some(*sum)
        })
        .collect()
}

/// Cumulative sums of a skewed popularity: the n-th of `count` keys is requested n^-skew times as often as
/// the first.
pub fn popularity(count: usize, skew: f64) -> Vec<f64> {
    sums((1..=count.max(1)).map(|n| (n as f64).powf(-skew)))
}
