//! Random numbers that are the same on every machine: one stream for each purpose, so that what one part of the
//! site draws does not move what another does. Variants of a node thus meet the same arrivals and the same work.

use rand::distr::Distribution;
use rand::{RngExt, SeedableRng};
use rand_distr::{Exp1, StandardNormal};
use rand_pcg::Pcg64Mcg;

/// What a stream is for.
#[derive(Clone, Copy, Debug)]
pub enum Purpose {
    /// When requests come, and what each is.
    Arrivals = 1,
    /// What faults pick and roll.
    Faults = 2,
    /// The network's jitter.
    Network = 3,
    /// What clients do on a refusal.
    Clients = 4,
    /// How boxes differ, and the errors that they make by themselves.
    Boxes = 5,
    /// The box list's delays.
    List = 6,
    /// Seeds of the nodes.
    Nodes = 7,
    /// Which node the front deals a try to.
    Front = 8,
}

/// A stream of random numbers.
#[derive(Clone, Debug)]
pub struct Stream(Pcg64Mcg);

impl Stream {
    /// The stream of this purpose under a seed.
    pub fn new(seed: u64, purpose: Purpose) -> Self {
        // Neighbouring seeds must not give neighbouring streams: both numbers pass through the generator's own mixing.
        Self(Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ ((purpose as u64) << 56)))
    }

    /// From 0 to 1, without 1.
    pub fn part(&mut self) -> f64 {
        self.0.random()
    }

    /// Does what happens with this chance happen? Draws in any case, so that a chance of 0 moves no other draw.
    pub fn chance(&mut self, chance: f64) -> bool {
        self.part() < chance
    }

    /// Evenly between two bounds.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.part()
    }

    /// Below a bound that is not 0.
    pub fn below(&mut self, bound: usize) -> usize {
        self.0.random_range(0..bound as u64) as usize
    }

    /// Any number.
    pub fn number(&mut self) -> u64 {
        self.0.random()
    }

    /// Exponential with mean 1.
    pub fn exponential(&mut self) -> f64 {
        Exp1.sample(&mut self.0)
    }

    /// A positive number with mean 1 and this coefficient of variation: constant for 0, exponential for 1,
    /// log-normal between and beyond.
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

    /// The place in a list of growing sums, whose last is the whole.
    pub fn pick(&mut self, sums: &[f64]) -> usize {
        let at = self.part() * sums.last().copied().unwrap_or(0.0);
        sums.partition_point(|sum| *sum <= at).min(sums.len().saturating_sub(1))
    }

    /// `count` different numbers below `bound`, sorted; all of them where there are no more.
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

/// Growing sums of some shares.
pub fn sums(shares: impl Iterator<Item = f64>) -> Vec<f64> {
    shares
        .scan(0.0, |sum, share| {
            *sum += share;
            Some(*sum)
        })
        .collect()
}

/// Growing sums of a skewed popularity: the n-th of `count` is wanted n^-skew times as often as the first.
pub fn popularity(count: usize, skew: f64) -> Vec<f64> {
    sums((1..=count.max(1)).map(|n| (n as f64).powf(-skew)))
}
