//! The clients: the arrivals of first tries, and what a client does with each answer. Without I/O.

use super::faults::Rates;
use super::random::{popularity, sums, Purpose, Stream};
use super::spec::{Effect, KeyGroup, Site};
use super::time::{micros, millis, seconds, Micros, SECOND};

/// A client's request, before its first try.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Time of its first try.
    pub at: Micros,
    /// Its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: Option<usize>,
    /// Whether it is within its tenant's quota.
    pub in_quota: bool,
    /// Zone of the client.
    pub zone: usize,
    /// Key of the data that it concerns.
    pub key: u32,
    /// Its work in microseconds of a standard core.
    pub work: f64,
    /// When its client stops trying.
    pub deadline: Micros,
}

/// First tries in order of time: a Poisson process with a swinging rate and bursts. It is endless; the driver
/// ends it at the end of the site.
pub struct Arrivals {
    random: Stream,
    rate_per_s: f64,
    swing: f64,
    swing_s: f64,
    classes: Vec<f64>,
    tenants: Vec<f64>,
    keys: Vec<f64>,
    zones: usize,
    work: Vec<(f64, f64)>,
    deadlines: Vec<Micros>,
    quotas: Vec<f64>,
    /// Remaining quota of each tenant, and the time at which it was computed.
    quota_left: Vec<(f64, Micros)>,
    hurried: f64,
    hurried_span: (f64, f64),
    at: f64,
}

impl Arrivals {
    /// Creates the arrivals of a site with a seed.
    pub fn new(site: &Site, seed: u64) -> Self {
        let w = &site.clients;
        Self {
            random: Stream::new(seed, Purpose::Arrivals),
            rate_per_s: site.rate_per_s(),
            swing: w.swing,
            swing_s: w.swing_s,
            classes: sums(w.classes.iter().map(|c| c.share)),
            tenants: sums(w.tenants.iter().map(|t| t.share)),
            keys: popularity(w.keys, w.key_skew),
            zones: site.zones.len(),
            work: w.classes.iter().map(|c| (micros(c.work_ms) as f64, c.work_cv)).collect(),
            deadlines: w.classes.iter().map(|c| micros(c.deadline_ms)).collect(),
            quotas: w.tenants.iter().map(|t| t.quota_per_s).collect(),
            quota_left: w.tenants.iter().map(|t| (t.quota_per_s, 0)).collect(),
            hurried: w.hurried,
            hurried_span: (w.hurried_from_ms, w.hurried_to_ms),
            at: 0.0,
        }
    }

    /// Next arrival; `rates` gives the scheduled bursts and the share of hurried requests.
    pub fn next(&mut self, rates: &Rates) -> Arrival {
        let peak = self.rate_per_s * (1.0 + self.swing) * rates.burst_max();
        // Thinning: candidates are drawn at the peak rate and accepted with the rate of their time.
        let at = loop {
            self.at += self.random.exponential() / peak * SECOND as f64;
            let at = self.at as Micros;
            let phase = std::f64::consts::TAU * (self.at / SECOND as f64) / self.swing_s;
            let rate = self.rate_per_s * (1.0 + self.swing * phase.sin()) * rates.burst(at);
            if self.random.unit() * peak < rate {
                break at;
            }
        };
        let class = self.random.pick(&self.classes);
        let tenant = self.random.pick(&self.tenants);
        let tenant = (!self.tenants.is_empty()).then_some(tenant);
        let zone = self.random.below(self.zones);
        let key = self.random.pick(&self.keys) as u32;
        let (mean, cv) = self.work[class];
        let work = mean * self.random.varied(cv);
        let hurried = self.random.chance(1.0 - (1.0 - self.hurried) * (1.0 - rates.hurry(at)));
        let short_span = micros(self.random.between(self.hurried_span.0, self.hurried_span.1));
        let span = if hurried { short_span.min(self.deadlines[class]) } else { self.deadlines[class] };
        let in_quota = tenant.is_none_or(|t| self.take_quota(t, at));
        Arrival { at, class, tenant, in_quota, zone, key, work: work.max(1.0), deadline: at + span }
    }

    fn take_quota(&mut self, tenant: usize, at: Micros) -> bool {
        let quota = self.quotas[tenant];
        let (left, since) = self.quota_left[tenant];
        let left = (left + quota * (at - since) as f64 / SECOND as f64).min(quota.max(1.0));
        let within = left >= 1.0;
        self.quota_left[tenant] = (if within { left - 1.0 } else { left }, at);
        within
    }
}

/// Result of a try for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served.
    Served,
    /// Refused: a retry is harmless, after this time if it is not 0.
    Refused(Micros),
    /// Failed.
    Failed,
    /// The node could not be reached, or its connection broke before an answer.
    Unreachable,
}

/// What clients do after a try that was not served.
pub struct RetryPolicy {
    random: Stream,
    retries_max: u32,
    backoff: Micros,
    heed_share: f64,
    retry_after_max: Micros,
    effects: Vec<(Effect, KeyGroup, Micros)>,
}

impl RetryPolicy {
    /// Creates the retry behaviour of a site's clients with a seed.
    pub fn new(site: &Site, seed: u64) -> Self {
        let w = &site.clients;
        Self {
            random: Stream::new(seed, Purpose::Clients),
            retries_max: w.retries,
            backoff: micros(w.backoff_ms),
            heed_share: w.heed_retry_after,
            retry_after_max: micros(site.nodes.max_retry_after_ms),
            effects: w.classes.iter().map(|c| (c.effect, c.key_group, micros(c.key_span_ms))).collect(),
        }
    }

    /// Returns when the client tries again, if it does. A class that is safe to repeat, or keyed over all
    /// boxes and within its span, is tried again after any failure. Any other class is tried again only where
    /// nothing was done: after a refusal, or where no node was reached before the request was written
    /// (`unsent`).
    pub fn after(
        &mut self,
        now: Micros,
        arrival: &Arrival,
        tries: u32,
        answer: Answer,
        unsent: bool,
    ) -> Option<Micros> {
        let (effect, group, span) = self.effects[arrival.class];
        let harmless = match effect {
            Effect::Safe => true,
            Effect::Keyed => group == KeyGroup::All && now < arrival.at + span,
            Effect::Unsafe => false,
        };
        let (roll, heeds) = (self.random.unit(), self.random.chance(self.heed_share));
        let retry_after = match answer {
            Answer::Served => return None,
            Answer::Refused(retry_after) => retry_after,
            Answer::Failed | Answer::Unreachable if harmless => 0,
            Answer::Unreachable if unsent => 0,
            Answer::Failed | Answer::Unreachable => return None,
        };
        // A client that cannot reach its node turns to another at once, which does not count as one of its
        // retries.
        if tries > self.retries_max + if unsent { 2 } else { 0 } {
            return None;
        }
        let backoff = (self.backoff << (tries.saturating_sub(1)).min(6)) as f64 * (0.5 + roll);
        let wait = if unsent { 0.1 * backoff } else { backoff };
        let wait =
            if heeds { wait.max(retry_after.min(self.retry_after_max) as f64) } else { wait } as Micros;
        let again = now + wait.max(1);
        // No try is made that cannot be answered before the deadline.
        (again + micros(1.0) < arrival.deadline).then_some(again)
    }
}

/// Remaining time that a try reports, in whole milliseconds as on the wire.
pub fn remaining_ms(arrival: &Arrival, now: Micros) -> u64 {
    millis(arrival.deadline.saturating_sub(now)) as u64
}

/// Duration of the arrivals of a site.
pub fn length(site: &Site) -> Micros {
    seconds(site.for_s)
}
