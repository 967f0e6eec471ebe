//! Checks the records of all nodes, taken on one clock, against the guarantees of the quotas.
//!
//! Rate limits. Let `A[s,t]` be the tokens admitted from `s` to `t`. `A[s,t] <= rate x (t-s) + burst` holds
//! for every `s` exactly if a single token bucket for the whole fleet, full at the start, never goes below
//! zero: its level after an admission at `t` is the minimum over all `s <= t` of `burst + rate x (t-s) -
//! A[s,t]` (the bucket forgets exactly those `s` that lie before it was last full). One pass over the records
//! in order therefore checks all pairs of times, in O(n log n) because of the sorting. A change of limits
//! changes the bucket: a lower burst cuts its level and a higher one adds nothing. The level is again the
//! minimum over `s`, each `s` with the burst in effect at that time.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::policy::{Policy, TenantQuota};

/// A recorded event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observation {
    /// A policy took effect, at all nodes at this time.
    Policy(Policy),
    /// A session started.
    Started,
    /// The log accepted a report of a session whose shares it had ended.
    Renewed,
    /// The log ended the demand shares of a session, or its reserve share too.
    Ended {
        /// Whether the reserve share ended too.
        all: bool,
    },
    /// A request was admitted and its cost taken.
    Admitted {
        /// Tenant of the request.
        tenant: String,
        /// Class of the request.
        class: String,
        /// Cost in tokens.
        cost: u64,
        /// Whether the cost was taken from the pool reserved for the class.
        kept: bool,
        /// The day whose count it was taken from, in days since 1970.
        day: Option<u32>,
        /// The node's rate as it reports it, in thousandths of a token per second.
        rate: u64,
    },
    /// A request was refused.
    Refused {
        /// Tenant of the request.
        tenant: String,
        /// Class of the request.
        class: String,
        /// The returned retry delay.
        retry_after: Duration,
        /// Whether the delay is definite, not an estimate.
        sure: bool,
        /// The node's rate, in thousandths of a token per second.
        rate: u64,
        /// Changes when the node's bucket is reduced.
        lowered: u32,
    },
    /// A daily count as the log has it.
    Counted {
        /// Tenant of the count.
        tenant: String,
        /// Class of the count.
        class: String,
        /// The day, in days since 1970.
        day: u32,
        /// Tokens counted.
        count: u64,
    },
}

/// A record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Time of the event by the checker's clock.
    pub at: Duration,
    /// The node.
    pub node: u32,
    /// The node's session.
    pub session: u64,
    /// The event.
    pub what: Observation,
}

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// More than rate x time + burst was admitted in a window that ends at `at`.
    WindowExceeded {
        /// The tenant.
        tenant: String,
        /// End of the window.
        at: Duration,
        /// Excess in tokens, rounded up.
        by: u64,
    },
    /// The same for one pool: that of a class, or the common pool (empty class), which then used tokens
    /// reserved for a class.
    PoolExceeded {
        /// The tenant.
        tenant: String,
        /// The class, empty for the common pool.
        class: String,
        /// End of the window.
        at: Duration,
    },
    /// More requests of a class were admitted than its daily limit allows.
    DailyLimitExceeded {
        /// The tenant.
        tenant: String,
        /// The class.
        class: String,
        /// The day, in days since 1970.
        day: u32,
    },
    /// The daily count is less than the number of admitted requests.
    DailyCountTooLow {
        /// The tenant.
        tenant: String,
        /// The class.
        class: String,
        /// The day, in days since 1970.
        day: u32,
    },
    /// A session served with more than its reserve share after the log had ended its shares.
    ServedAfterLease {
        /// The node.
        node: u32,
        /// Time of the request.
        at: Duration,
    },
    /// A session spent more than the whole quota yields from the session's start on, so its bucket did not
    /// start empty.
    NotEmptyAtStart {
        /// The node.
        node: u32,
        /// The session.
        session: u64,
        /// The tenant whose tokens were spent.
        tenant: String,
    },
    /// A request that was repeated after its definite retry delay was refused, although the node had neither
    /// spent tokens nor lost any share in between.
    RetryAfterBroken {
        /// The node.
        node: u32,
        /// Time of the repeated request.
        at: Duration,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WindowExceeded { tenant, at, by } => {
                write!(f, "{tenant}: {by} tokens too many in a window that ends at {at:?}")
            }
            Self::PoolExceeded { tenant, class, at } => {
                write!(f, "{tenant}: the pool of class {class:?} is exceeded at {at:?}")
            }
            Self::DailyLimitExceeded { tenant, class, day } => {
                write!(f, "{tenant}: too many requests of class {class} on day {day}")
            }
            Self::DailyCountTooLow { tenant, class, day } => {
                write!(f, "{tenant}: more requests of class {class} admitted on day {day} than counted")
            }
            Self::ServedAfterLease { node, at } => {
                write!(f, "node {node} served at {at:?}, after its lease had ended")
            }
            Self::NotEmptyAtStart { node, session, tenant } => {
                write!(
                    f,
                    "node {node}, session {session}, spent more tokens of {tenant} than accrued since its start"
                )
            }
            Self::RetryAfterBroken { node, at } => {
                write!(f, "node {node} refused at {at:?} a request that it had told to come then")
            }
        }
    }
}

/// Billionths of a token in one token.
const NANO_PER_TOKEN: i128 = 1_000_000_000;

/// A token bucket for the whole fleet.
#[derive(Clone, Copy)]
struct FleetBucket {
    level: i128,
    rate: u64,
    burst: i128,
    at: Duration,
}

impl FleetBucket {
    fn new(at: Duration, rate: u64, burst: u64) -> Self {
        let burst = i128::from(burst) * NANO_PER_TOKEN;
        Self { level: burst, rate, burst, at }
    }

    fn advance(&mut self, at: Duration) {
        let elapsed = at.saturating_sub(self.at).as_nanos() as i128;
        self.level = self.burst.min(self.level + elapsed * i128::from(self.rate) / 1_000 + 1);
        self.at = at;
    }

    fn set_limits(&mut self, at: Duration, rate: u64, burst: u64) {
        self.advance(at);
        self.rate = rate;
        self.burst = i128::from(burst) * NANO_PER_TOKEN;
        self.level = self.level.min(self.burst);
    }

    /// Takes `cost` tokens and returns the excess, if any. The level continues from zero after an excess, so
    /// that each is reported once.
    fn take(&mut self, at: Duration, cost: u64) -> Option<u64> {
        self.advance(at);
        self.level -= i128::from(cost) * NANO_PER_TOKEN;
        if self.level >= 0 {
            return None;
        }
        let excess = -std::mem::take(&mut self.level);
        u64::try_from((excess + NANO_PER_TOKEN - 1) / NANO_PER_TOKEN).ok()
    }
}

/// The pools of a tenant: (class, or empty for the common pool; rate; burst).
fn pool_limits(t: &TenantQuota) -> Vec<(String, u64, u64)> {
    let (mut rate, mut burst, mut limits) = (t.rate_milli, t.burst, Vec::new());
    for k in &t.kept {
        rate = rate.saturating_sub(k.rate_milli);
        burst = burst.saturating_sub(k.burst);
        limits.push((k.class.clone(), k.rate_milli, k.burst));
    }
    limits.push((String::new(), rate, burst));
    limits
}

/// Identifies repeated refusals: (node, session, tenant, class).
type RefusalKey = (u32, u64, String, String);

#[derive(Default)]
struct Checker {
    policy: Policy,
    tenant_buckets: BTreeMap<String, FleetBucket>,
    pool_buckets: BTreeMap<(String, String), FleetBucket>,
    daily_counts: BTreeMap<(String, String, u32), (u64, u64)>,
    started: BTreeMap<(u32, u64), Duration>,
    ended: BTreeMap<(u32, u64), bool>,
    spent: BTreeMap<(u32, u64, String), u64>,
    definite_delays: BTreeMap<RefusalKey, (Duration, u64, u32)>,
    violations: Vec<Violation>,
}

impl Checker {
    fn set_policy(&mut self, at: Duration, policy: &Policy) {
        for t in &policy.tenants {
            let new_bucket = FleetBucket::new(at, t.rate_milli, t.burst);
            self.tenant_buckets.entry(t.name.clone()).or_insert(new_bucket).set_limits(
                at,
                t.rate_milli,
                t.burst,
            );
            for (class, rate, burst) in pool_limits(t) {
                let new_bucket = FleetBucket::new(at, rate, burst);
                self.pool_buckets
                    .entry((t.name.clone(), class))
                    .or_insert(new_bucket)
                    .set_limits(at, rate, burst);
            }
        }
        self.policy = policy.clone();
    }

    fn check_admitted(
        &mut self,
        record: &Record,
        tenant: &str,
        class: &str,
        cost: u64,
        kept: bool,
        day: Option<u32>,
    ) {
        let (at, name) = (record.at, tenant.to_owned());
        if let Some(by) = self.tenant_buckets.get_mut(tenant).and_then(|b| b.take(at, cost)) {
            self.violations.push(Violation::WindowExceeded { tenant: name.clone(), at, by });
        }
        let pool = if kept { class.to_owned() } else { String::new() };
        let over = self.pool_buckets.get_mut(&(name.clone(), pool.clone())).and_then(|b| b.take(at, cost));
        if over.is_some() {
            self.violations.push(Violation::PoolExceeded { tenant: name.clone(), class: pool, at });
        }
        let Some(t) = self.policy.tenants.iter().find(|t| t.name == tenant) else { return };
        if let (Some(day), Some((_, limit))) = (day, t.per_day.iter().find(|d| d.0 == class)) {
            let (admitted, limit_max) =
                self.daily_counts.entry((name.clone(), class.to_owned(), day)).or_default();
            (*admitted, *limit_max) = (*admitted + 1, (*limit_max).max(*limit));
            if *admitted == *limit_max + 1 {
                self.violations.push(Violation::DailyLimitExceeded {
                    tenant: name.clone(),
                    class: class.to_owned(),
                    day,
                });
            }
        }
        let session = (record.node, record.session);
        if let Some(started_at) = self.started.get(&session) {
            let spent = self.spent.entry((record.node, record.session, name.clone())).or_default();
            *spent += cost;
            let minted = u128::from(t.rate_milli) * (at - *started_at).as_nanos() / 1_000;
            // A higher rate may have applied before, so this is reported only while the policy has never
            // changed.
            if u128::from(*spent) * NANO_PER_TOKEN as u128 > minted && self.policy.version <= 1 {
                let violation =
                    Violation::NotEmptyAtStart { node: record.node, session: record.session, tenant: name };
                if !self.violations.contains(&violation) {
                    self.violations.push(violation);
                }
            }
        }
        self.definite_delays.retain(|p, _| (p.0, p.1) != session || p.2 != tenant);
    }

    fn check_record(&mut self, record: &Record) {
        let session = (record.node, record.session);
        match &record.what {
            Observation::Policy(p) => self.set_policy(record.at, p),
            Observation::Started => {
                self.started.insert(session, record.at);
            }
            Observation::Ended { all } => {
                self.ended.insert(session, *all);
            }
            Observation::Renewed => {
                self.ended.remove(&session);
            }
            Observation::Admitted { tenant, class, cost, kept, day, rate } => {
                self.check_admitted(record, tenant, class, *cost, *kept, *day);
                let tenant_rate =
                    self.policy.tenants.iter().find(|t| t.name == *tenant).map_or(0, |t| t.rate_milli);
                let reserve = tenant_rate * crate::RATE_RESERVE_PPM / u64::from(crate::WHOLE_PPM);
                if self.ended.get(&session).is_some_and(|all| *all || *rate > reserve) {
                    self.violations.push(Violation::ServedAfterLease { node: record.node, at: record.at });
                }
            }
            Observation::Refused { tenant, class, retry_after, sure, rate, lowered } => {
                let key = (record.node, record.session, tenant.clone(), class.clone());
                let pending = self.definite_delays.get(&key);
                if *sure
                    && pending.is_some_and(|(due, old_rate, old_lowered)| {
                        record.at >= *due && rate >= old_rate && lowered == old_lowered
                    })
                {
                    self.violations.push(Violation::RetryAfterBroken { node: record.node, at: record.at });
                    self.definite_delays.remove(&key);
                } else if pending
                    .is_some_and(|(_, old_rate, old_lowered)| rate < old_rate || lowered != old_lowered)
                {
                    self.definite_delays.remove(&key);
                }
                if *sure && !self.definite_delays.contains_key(&key) {
                    // The node counts by its own clock, which may run slow, and the transport of the records
                    // rounds times.
                    let due = record.at + retry_after.mul_f64(1.0 + magpietally_consensus::DRIFT);
                    self.definite_delays.insert(key, (due + Duration::from_millis(1), *rate, *lowered));
                }
            }
            Observation::Counted { tenant, class, day, count } => {
                let key = (tenant.clone(), class.clone(), *day);
                if self.daily_counts.get(&key).is_some_and(|(n, _)| n > count) {
                    self.violations.push(Violation::DailyCountTooLow {
                        tenant: key.0,
                        class: key.1,
                        day: *day,
                    });
                }
            }
        }
    }
}

/// Returns the violations in `records`, which may be in any order; records with equal times count in the
/// order given.
pub fn check(records: &[Record]) -> Vec<Violation> {
    let mut order: Vec<&Record> = records.iter().collect();
    order.sort_by_key(|r| r.at);
    let mut checker = Checker::default();
    for record in order {
        checker.check_record(record);
    }
    checker.violations
}
