//! How well each of some kinds is served, and how much is left of an allowance.

use crate::DecayingRate;

/// What was asked for and what was served, for each of some kinds, both forgotten by a factor e in each span.
#[derive(Clone, Debug, Default)]
pub struct ServiceLevels {
    kinds: Vec<(DecayingRate, DecayingRate)>,
    span: f64,
}

impl ServiceLevels {
    /// Nothing asked for or served yet; the span is in milliseconds.
    pub fn new(kinds: usize, span: f64) -> Self {
        Self { kinds: vec![(DecayingRate::default(), DecayingRate::default()); kinds], span }
    }

    /// So much more of a kind has been asked for.
    pub fn add_demand(&mut self, kind: usize, now: f64, amount: f64) {
        if let Some((asked, _)) = self.kinds.get_mut(kind) {
            asked.add(now, self.span, amount);
        }
    }

    /// So much more of a kind has been served.
    pub fn add_served(&mut self, kind: usize, now: f64, amount: f64) {
        if let Some((_, served)) = self.kinds.get_mut(kind) {
            served.add(now, self.span, amount);
        }
    }

    /// What is asked for a second, of all kinds.
    pub fn demand_rate(&self, now: f64) -> f64 {
        self.kinds.iter().map(|(asked, _)| asked.at(now, self.span)).sum()
    }

    /// What serving one unit of each kind adds to `goal` times the part of the worst kind that is served: all of it for
    /// the worst, less by a factor e for each `near` that a kind is above it. Nothing for what nobody asks for.
    pub fn marginal_gains(&self, now: f64, goal: f64, near: f64) -> Vec<f64> {
        let asked: Vec<f64> = self.kinds.iter().map(|(asked, _)| asked.at(now, self.span)).collect();
        let part = |((_, served), a): (&(DecayingRate, DecayingRate), &f64)| {
            if *a > 0.0 {
                served.at(now, self.span) / a
            } else {
                1.0
            }
        };
        let parts: Vec<f64> = self.kinds.iter().zip(&asked).map(part).collect();
        let worst = parts.iter().copied().fold(f64::INFINITY, f64::min);
        let near: Vec<f64> = parts.iter().map(|p| (-(p - worst) / near).exp()).collect();
        let sum: f64 = near.iter().sum();
        let weight = |(n, a): (&f64, &f64)| if *a > 0.0 { goal * n / sum / a } else { 0.0 };
        near.iter().zip(&asked).map(weight).collect()
    }
}

/// An allowance that fills with time, up to what one second brings or one, whichever is more.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    left: f64,
    since: f64,
}

impl Default for TokenBucket {
    fn default() -> Self {
        Self { left: 0.0, since: f64::NEG_INFINITY }
    }
}

impl TokenBucket {
    /// Takes one, where one is left; the time is in milliseconds.
    pub fn try_take(&mut self, now: f64, per_s: f64) -> bool {
        let left = (self.left + per_s * (now - self.since) / 1000.0).min(per_s.max(1.0));
        let within = left >= 1.0;
        *self = Self { left: if within { left - 1.0 } else { left }, since: now };
        within
    }
}

#[cfg(test)]
mod tests;
