//! Checks all nodes' records on one clock against what was promised.
//!
//! Every window. Let `A[s,t]` be what was admitted from `s` to `t`. That `A[s,t] <= rate x (t-s) + burst` holds for every
//! `s` is the same as that one bucket for the whole fleet, full at the beginning, never runs dry: its level after an
//! admission at `t` is the least, over all `s <= t`, of `burst + rate x (t-s) - A[s,t]` (a bucket forgets exactly those
//! `s` before it was last full). So one pass over the records in order holds all pairs of moments: O(n log n) for the
//! sorting. A limit that changes changes the bucket: a lower burst cuts its level, a higher adds nothing to it, which is
//! the least over `s` again, each `s` with the burst of its own moment.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::policy::{Policy, TenantQuota};

/// Observation is recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observation {
    /// A policy took hold, everywhere at this moment.
    Policy(Policy),
    /// A session began.
    Started,
    /// The log took a report of a session, whose parts it had ended.
    Renewed,
    /// The log ended a session's parts by demand, or its reserve too.
    Ended {
        /// The reserve too.
        all: bool,
    },
    /// A request was admitted, and paid for.
    Admitted {
        /// Whose.
        tenant: String,
        /// Of which class.
        class: String,
        /// Tokens.
        cost: u64,
        /// Out of the part kept for its class.
        kept: bool,
        /// Counted for this day.
        day: Option<u32>,
        /// The node's rate by what it says, in thousandths of a token a second.
        rate: u64,
    },
    /// A request was refused.
    Refused {
        /// Whose.
        tenant: String,
        /// Of which class.
        class: String,
        /// When to come again.
        retry_after: Duration,
        /// Told as sure, not as an estimate.
        sure: bool,
        /// The node's rate, in thousandths of a token a second.
        rate: u64,
        /// Changes when its bucket was made smaller.
        lowered: u32,
    },
    /// Observation the log says was counted of a day.
    Counted {
        /// Whose.
        tenant: String,
        /// Of which class.
        class: String,
        /// The day.
        day: u32,
        /// How many.
        count: u64,
    },
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// When, by the checker's clock.
    pub at: Duration,
    /// Which node.
    pub node: u32,
    /// Which of its sessions.
    pub session: u64,
    /// Observation.
    pub what: Observation,
}

/// Observation was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// More than rate x time + burst was admitted in a window that ends at `at`.
    WindowExceeded {
        /// Whose.
        tenant: String,
        /// The window's end.
        at: Duration,
        /// By how many tokens, rounded up.
        by: u64,
    },
    /// The same of one part: of a class's kept part, or of the common part (empty class), which then took of a kept one.
    PoolExceeded {
        /// Whose.
        tenant: String,
        /// Of which class.
        class: String,
        /// The window's end.
        at: Duration,
    },
    /// More of a class than its day allows.
    DailyLimitExceeded {
        /// Whose.
        tenant: String,
        /// Of which class.
        class: String,
        /// The day.
        day: u32,
    },
    /// The day's count is less than was admitted.
    DailyCountTooLow {
        /// Whose.
        tenant: String,
        /// Of which class.
        class: String,
        /// The day.
        day: u32,
    },
    /// A session served with more than its reserve after the log had ended its parts.
    ServedAfterLease {
        /// Which node.
        node: u32,
        /// When.
        at: Duration,
    },
    /// A session spent more than the whole quota mints from its start on: it did not begin empty.
    NotEmptyAtStart {
        /// Which node.
        node: u32,
        /// Which session.
        session: u64,
        /// Whose tokens.
        tenant: String,
    },
    /// A request that came when it was told to was refused though the node neither spent nor lost anything meanwhile.
    RetryAfterBroken {
        /// Which node.
        node: u32,
        /// When it came again.
        at: Duration,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WindowExceeded { tenant, at, by } => {
                write!(f, "{tenant}: {by} tokens over in a window up to {at:?}")
            }
            Self::PoolExceeded { tenant, class, at } => {
                write!(f, "{tenant}: the part of {class:?} is over at {at:?}")
            }
            Self::DailyLimitExceeded { tenant, class, day } => {
                write!(f, "{tenant}: too many {class} on day {day}")
            }
            Self::DailyCountTooLow { tenant, class, day } => {
                write!(f, "{tenant}: more {class} admitted on day {day} than counted")
            }
            Self::ServedAfterLease { node, at } => {
                write!(f, "node {node} served at {at:?}, after its lease was ended")
            }
            Self::NotEmptyAtStart { node, session, tenant } => {
                write!(
                    f,
                    "node {node}, session {session}, spent more of {tenant} than was minted since its start"
                )
            }
            Self::RetryAfterBroken { node, at } => {
                write!(f, "node {node} refused at {at:?} what it had told to come")
            }
        }
    }
}

/// Billionths of a token in a token.
const TOKEN: i128 = 1_000_000_000;

/// One bucket for the whole fleet.
#[derive(Clone, Copy)]
struct Bucket {
    level: i128,
    rate: u64,
    burst: i128,
    at: Duration,
}

impl Bucket {
    fn new(at: Duration, rate: u64, burst: u64) -> Self {
        let burst = i128::from(burst) * TOKEN;
        Self { level: burst, rate, burst, at }
    }

    fn to(&mut self, at: Duration) {
        let passed = at.saturating_sub(self.at).as_nanos() as i128;
        self.level = self.burst.min(self.level + passed * i128::from(self.rate) / 1_000 + 1);
        self.at = at;
    }

    fn limits(&mut self, at: Duration, rate: u64, burst: u64) {
        self.to(at);
        self.rate = rate;
        self.burst = i128::from(burst) * TOKEN;
        self.level = self.level.min(self.burst);
    }

    /// Takes `cost`; by how much it is over, if it is. It goes on from empty, so that one overrun is told once.
    fn take(&mut self, at: Duration, cost: u64) -> Option<u64> {
        self.to(at);
        self.level -= i128::from(cost) * TOKEN;
        if self.level >= 0 {
            return None;
        }
        let over = -std::mem::take(&mut self.level);
        u64::try_from((over + TOKEN - 1) / TOKEN).ok()
    }
}

/// The parts of a tenant: (class or empty, rate, burst).
fn parts(t: &TenantQuota) -> Vec<(String, u64, u64)> {
    let (mut rate, mut burst, mut parts) = (t.rate_milli, t.burst, Vec::new());
    for k in &t.kept {
        rate = rate.saturating_sub(k.rate_milli);
        burst = burst.saturating_sub(k.burst);
        parts.push((k.class.clone(), k.rate_milli, k.burst));
    }
    parts.push((String::new(), rate, burst));
    parts
}

/// Where a refusal stood: who, whose, of which class.
type Place = (u32, u64, String, String);

#[derive(Default)]
struct Checker {
    policy: Policy,
    fleet: BTreeMap<String, Bucket>,
    parts: BTreeMap<(String, String), Bucket>,
    days: BTreeMap<(String, String, u32), (u64, u64)>,
    started: BTreeMap<(u32, u64), Duration>,
    ended: BTreeMap<(u32, u64), bool>,
    spent: BTreeMap<(u32, u64, String), u64>,
    told: BTreeMap<Place, (Duration, u64, u32)>,
    violations: Vec<Violation>,
}

impl Checker {
    fn policy(&mut self, at: Duration, policy: &Policy) {
        for t in &policy.tenants {
            let fresh = Bucket::new(at, t.rate_milli, t.burst);
            self.fleet.entry(t.name.clone()).or_insert(fresh).limits(at, t.rate_milli, t.burst);
            for (class, rate, burst) in parts(t) {
                let fresh = Bucket::new(at, rate, burst);
                self.parts.entry((t.name.clone(), class)).or_insert(fresh).limits(at, rate, burst);
            }
        }
        self.policy = policy.clone();
    }

    fn admitted(&mut self, r: &Record, tenant: &str, class: &str, cost: u64, kept: bool, day: Option<u32>) {
        let (at, name) = (r.at, tenant.to_owned());
        if let Some(by) = self.fleet.get_mut(tenant).and_then(|b| b.take(at, cost)) {
            self.violations.push(Violation::WindowExceeded { tenant: name.clone(), at, by });
        }
        let part = if kept { class.to_owned() } else { String::new() };
        let over = self.parts.get_mut(&(name.clone(), part.clone())).and_then(|b| b.take(at, cost));
        if over.is_some() {
            self.violations.push(Violation::PoolExceeded { tenant: name.clone(), class: part, at });
        }
        let Some(t) = self.policy.tenants.iter().find(|t| t.name == tenant) else { return };
        if let (Some(day), Some((_, limit))) = (day, t.per_day.iter().find(|d| d.0 == class)) {
            let (n, most) = self.days.entry((name.clone(), class.to_owned(), day)).or_default();
            (*n, *most) = (*n + 1, (*most).max(*limit));
            if *n == *most + 1 {
                self.violations.push(Violation::DailyLimitExceeded {
                    tenant: name.clone(),
                    class: class.to_owned(),
                    day,
                });
            }
        }
        let who = (r.node, r.session);
        if let Some(began) = self.started.get(&who) {
            let spent = self.spent.entry((r.node, r.session, name.clone())).or_default();
            *spent += cost;
            let minted = u128::from(t.rate_milli) * (at - *began).as_nanos() / 1_000;
            // A higher rate may have held before: only what no policy allowed since is told, by one that never changed.
            if u128::from(*spent) * TOKEN as u128 > minted && self.policy.version <= 1 {
                let violation = Violation::NotEmptyAtStart { node: r.node, session: r.session, tenant: name };
                if !self.violations.contains(&violation) {
                    self.violations.push(violation);
                }
            }
        }
        self.told.retain(|p, _| (p.0, p.1) != who || p.2 != tenant);
    }

    fn record(&mut self, r: &Record) {
        let who = (r.node, r.session);
        match &r.what {
            Observation::Policy(p) => self.policy(r.at, p),
            Observation::Started => {
                self.started.insert(who, r.at);
            }
            Observation::Ended { all } => {
                self.ended.insert(who, *all);
            }
            Observation::Renewed => {
                self.ended.remove(&who);
            }
            Observation::Admitted { tenant, class, cost, kept, day, rate } => {
                self.admitted(r, tenant, class, *cost, *kept, *day);
                let whole =
                    self.policy.tenants.iter().find(|t| t.name == *tenant).map_or(0, |t| t.rate_milli);
                let reserve = whole * crate::RATE_RESERVE_PPM / u64::from(crate::WHOLE_PPM);
                if self.ended.get(&who).is_some_and(|all| *all || *rate > reserve) {
                    self.violations.push(Violation::ServedAfterLease { node: r.node, at: r.at });
                }
            }
            Observation::Refused { tenant, class, retry_after, sure, rate, lowered } => {
                let place = (r.node, r.session, tenant.clone(), class.clone());
                let kept = self.told.get(&place);
                if *sure && kept.is_some_and(|(due, had, low)| r.at >= *due && rate >= had && lowered == low)
                {
                    self.violations.push(Violation::RetryAfterBroken { node: r.node, at: r.at });
                    self.told.remove(&place);
                } else if kept.is_some_and(|(_, had, low)| rate < had || lowered != low) {
                    self.told.remove(&place);
                }
                if *sure && !self.told.contains_key(&place) {
                    // The node counts by its own clock, which may be slow; and whoever carries records rounds.
                    let due = r.at + retry_after.mul_f64(1.0 + magpietally_consensus::DRIFT);
                    self.told.insert(place, (due + Duration::from_millis(1), *rate, *lowered));
                }
            }
            Observation::Counted { tenant, class, day, count } => {
                let key = (tenant.clone(), class.clone(), *day);
                if self.days.get(&key).is_some_and(|(n, _)| n > count) {
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

/// Observation is broken in `records`, which may come in any order; those of one moment count in the order given.
pub fn check(records: &[Record]) -> Vec<Violation> {
    let mut order: Vec<&Record> = records.iter().collect();
    order.sort_by_key(|r| r.at);
    let mut checker = Checker::default();
    for r in order {
        checker.record(r);
    }
    checker.violations
}
