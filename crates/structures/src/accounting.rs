//! Accounting of demand and service, and a token bucket.

use crate::DecayingRate;

/// Decaying rates of demand and service of each kind.
#[derive(Clone, Debug, Default)]
pub struct ServiceLevels {
    kinds: Vec<(DecayingRate, DecayingRate)>,
    span: f64,
}

impl ServiceLevels {
    /// Starts without demand or service. The rates lose a factor e in each `span` in milliseconds.
    pub fn new(kinds: usize, span: f64) -> Self {
        Self { kinds: vec![(DecayingRate::default(), DecayingRate::default()); kinds], span }
    }

    /// Adds demand of a kind.
    pub fn add_demand(&mut self, kind: usize, now: f64, amount: f64) {
        if let Some((demand, _)) = self.kinds.get_mut(kind) {
            demand.add(now, self.span, amount);
        }
    }

    /// Adds service of a kind.
    pub fn add_served(&mut self, kind: usize, now: f64, amount: f64) {
        if let Some((_, served)) = self.kinds.get_mut(kind) {
            served.add(now, self.span, amount);
        }
    }

    /// Total demand per second, over all kinds.
    pub fn demand_rate(&self, now: f64) -> f64 {
        self.kinds.iter().map(|(demand, _)| demand.at(now, self.span)).sum()
    }

    /// How much serving one unit of each kind adds to `goal` times the served fraction of the worst kind.
    /// Kinds count less by a factor e for each `near` that their fraction is above the worst; kinds without
    /// demand add nothing.
    pub fn marginal_gains(&self, now: f64, goal: f64, near: f64) -> Vec<f64> {
        let demand: Vec<f64> = self.kinds.iter().map(|(demand, _)| demand.at(now, self.span)).collect();
        let fraction = |((_, served), d): (&(DecayingRate, DecayingRate), &f64)| {
            if *d > 0.0 {
                served.at(now, self.span) / d
            } else {
                1.0
            }
        };
        let fractions: Vec<f64> = self.kinds.iter().zip(&demand).map(fraction).collect();
        let worst = fractions.iter().copied().fold(f64::INFINITY, f64::min);
        let weights: Vec<f64> = fractions.iter().map(|f| (-(f - worst) / near).exp()).collect();
        let sum: f64 = weights.iter().sum();
        let gain = |(w, d): (&f64, &f64)| if *d > 0.0 { goal * w / sum / d } else { 0.0 };
        weights.iter().zip(&demand).map(gain).collect()
    }
}

/// A token bucket that holds the tokens of one second, or one token if that is more.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    updated: f64,
}

impl Default for TokenBucket {
    fn default() -> Self {
        Self { tokens: 0.0, updated: f64::NEG_INFINITY }
    }
}

impl TokenBucket {
    /// Takes a token and returns whether there was one. `now` is in milliseconds.
    pub fn try_take(&mut self, now: f64, per_s: f64) -> bool {
        let tokens = (self.tokens + per_s * (now - self.updated) / 1000.0).min(per_s.max(1.0));
        let available = tokens >= 1.0;
        *self = Self { tokens: if available { tokens - 1.0 } else { tokens }, updated: now };
        available
    }
}

#[cfg(test)]
mod tests;
