//! Checks the records of routers, nodes and the log, all on one clock, against the protocol's guarantees.
//!
//! Claims and decisions are checked record by record. Time bounds are checked every 20 ms: a violation may be
//! found that much late, and no false violation is reported.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use magpietally_transport::Name;
use serde::{Deserialize, Serialize};

use crate::health::SiteHealth;
use crate::rules::{AddressKind, Rules};

/// Interval at which time bounds are checked: a fiftieth of the tightest bound, one second.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The log counts whole milliseconds, so two roundings may shorten a minimum time of the rules.
const ROUNDING: Duration = Duration::from_millis(2);

/// A site's health and load, as observed by the source of a record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteStatus {
    /// Health of the site.
    pub judgement: SiteHealth,
    /// Worth of the requests, per second.
    pub asked: u64,
    /// Capacity, in worth per second.
    pub capacity: u64,
    /// Answered share of the requested worth, in thousandths.
    pub share: u32,
}

/// A recorded event or state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observation {
    /// Rules took effect in the log.
    Rules(Rules),
    /// The actual status of a site.
    Truth {
        /// The site.
        site: Name,
        /// Its status.
        seen: SiteStatus,
    },
    /// The status of a site according to the log.
    Judged {
        /// The site.
        site: Name,
        /// Its status.
        seen: SiteStatus,
    },
    /// The log decided that a site starts or stops advertising an address.
    Decided {
        /// The address.
        prefix: String,
        /// The site.
        site: Name,
        /// Whether the site starts advertising.
        up: bool,
    },
    /// A route was added to or removed from a router.
    Route {
        /// The address.
        prefix: String,
        /// The site to which it leads.
        site: Name,
        /// The session on which it was announced.
        session: u32,
        /// Whether the route was added.
        up: bool,
    },
    /// A node starts or stops considering itself the owner of an exclusive address.
    Claim {
        /// The address.
        prefix: String,
        /// The node.
        node: u32,
        /// Whether it starts.
        up: bool,
    },
    /// A fault lasts until the given time (an isolated, paused or killed node, no leader): time bounds do not
    /// apply.
    Disturbed {
        /// End of the disturbance.
        until: Duration,
    },
    /// A planned stop of a node began.
    Stopping {
        /// The node.
        node: u32,
    },
    /// A node exited.
    Stopped {
        /// The node.
        node: u32,
        /// Number of requests that were open.
        open: u64,
    },
    /// End of the recording: time bounds are checked up to the last record.
    End,
    /// A request that a node had accepted was lost.
    Lost {
        /// The node.
        node: u32,
    },
}

/// One timestamped observation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Time on the checker's clock.
    pub at: Duration,
    /// The observation.
    pub what: Observation,
}

/// Time bounds that the rules do not specify.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum time from the end of the hold-down to the withdrawal at the router.
    pub withdraw: Duration,
    /// Maximum time that an exclusive address has no route while a site is healthy.
    pub gap: Duration,
    /// Maximum time that an address has no route while some site answers requests.
    pub unrouted: Duration,
    /// Maximum time that a route contradicts the log's decision.
    pub stale: Duration,
}

impl Default for Bounds {
    /// Withdrawal: the guaranteed second. Gap: 12 s, for two leases of 5.07 s (those of the speaker and of
    /// the owner run concurrently) and retries; the same for an address without a route. Stale: the router's
    /// hold time plus a second.
    fn default() -> Self {
        Self {
            withdraw: Duration::from_secs(1),
            gap: Duration::from_secs(12),
            unrouted: Duration::from_secs(12),
            stale: Duration::from_millis(2500),
        }
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Name of the rule.
    pub rule: String,
    /// Time at which it was found.
    pub at: Duration,
    /// The address, site or node concerned.
    #[serde(rename = "of")]
    pub subject: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {:?}: {}", self.rule, self.at, self.subject)
    }
}

/// Result of a check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CheckReport {
    /// The first violation of each rule per subject.
    pub violations: Vec<Violation>,
    /// The longest time that an exclusive address had no route after its first one.
    pub gap: Duration,
    /// Number of decisions that withdrew a site.
    pub withdrawals: usize,
    /// Number of routes added.
    pub routes: usize,
}

impl CheckReport {
    /// Returns whether a rule was violated.
    pub fn has_violation(&self, rule: &str) -> bool {
        self.violations.iter().any(|f| f.rule == rule)
    }
}

#[derive(Default)]
struct Checker {
    rules: Rules,
    truth: BTreeMap<Name, (SiteStatus, Duration)>,
    judged: BTreeMap<Name, (SiteStatus, Duration)>,
    decided: BTreeMap<String, BTreeSet<Name>>,
    routes: BTreeMap<String, BTreeSet<(Name, u32)>>,
    claims: BTreeMap<String, BTreeSet<u32>>,
    disturbed_until: Duration,
    /// Last withdrawal by address, apart from sites that were down or no longer listed; `last_withdrawn` has
    /// all of them.
    settling_from: BTreeMap<String, Duration>,
    last_withdrawn: BTreeMap<String, Duration>,
    /// Number of withdrawals by address and site, and the time of the last one.
    flaps: BTreeMap<(String, Name), (u32, Duration)>,
    /// Start of each running time bound, by rule and subject.
    bound_since: BTreeMap<(&'static str, String), Duration>,
    last_routed: BTreeMap<String, Duration>,
    stopping: BTreeSet<u32>,
    reported: BTreeSet<(&'static str, String)>,
    report: CheckReport,
}

/// Checks records up to the last of them. They may come in any order, except that records of the same time
/// have to be in the order in which they occurred.
pub fn check(records: &[Record], bounds: Bounds) -> CheckReport {
    let mut order: Vec<&Record> = records.iter().collect();
    // A stable sort keeps the order of records of the same time.
    order.sort_by_key(|r| r.at);
    let mut checker = Checker::default();
    let mut next = Duration::ZERO;
    for record in order {
        while next < record.at {
            checker.check_time_bounds(next, &bounds);
            next += CHECK_INTERVAL;
        }
        checker.apply(record.at, &record.what);
    }
    checker.check_time_bounds(next, &bounds);
    checker.report
}

impl Checker {
    fn report_violation(&mut self, rule: &'static str, at: Duration, subject: impl Into<String>) {
        let subject = subject.into();
        if self.reported.insert((rule, subject.clone())) {
            self.report.violations.push(Violation { rule: rule.to_owned(), at, subject });
        }
    }

    fn address_kind(&self, prefix: &str) -> Option<AddressKind> {
        self.rules.address(prefix).map(|r| r.kind)
    }

    fn site_status(&self, site: &Name) -> SiteStatus {
        self.judged.get(site).map(|j| j.0).unwrap_or_default()
    }

    fn apply(&mut self, at: Duration, what: &Observation) {
        match what {
            Observation::Rules(rules) => {
                self.rules = rules.clone();
                self.decided.retain(|p, _| rules.address(p).is_some());
            }
            Observation::Truth { site, seen } => record_health(&mut self.truth, at, site, *seen),
            Observation::Judged { site, seen } => record_health(&mut self.judged, at, site, *seen),
            Observation::Decided { prefix, site, up: true } => self.announce(at, prefix, site),
            Observation::Decided { prefix, site, up: false } => self.withdraw(at, prefix, site),
            Observation::Route { prefix, site, session, up } => {
                let routes = self.routes.entry(prefix.clone()).or_default();
                if !up {
                    routes.remove(&(site.clone(), *session));
                    return;
                }
                routes.insert((site.clone(), *session));
                self.report.routes += 1;
                let speakers: BTreeSet<u32> = routes.iter().map(|r| r.1).collect();
                if speakers.len() > 1 && self.address_kind(prefix) == Some(AddressKind::Exclusive) {
                    self.report_violation("never-two-owners", at, format!("routes of {prefix}"));
                }
            }
            Observation::Claim { prefix, node, up } => {
                let claims = self.claims.entry(prefix.clone()).or_default();
                if !up {
                    claims.remove(node);
                    return;
                }
                claims.insert(*node);
                if claims.len() > 1 {
                    self.report_violation("never-two-owners", at, format!("claims of {prefix}"));
                }
            }
            Observation::Disturbed { until } => self.disturbed_until = self.disturbed_until.max(*until),
            Observation::End => {}
            Observation::Stopping { node } => {
                self.stopping.insert(*node);
            }
            Observation::Stopped { node, open } => {
                if self.stopping.remove(node) && *open > 0 {
                    self.report_violation(
                        "stop-loses-nothing",
                        at,
                        format!("node {node} ended with {open} open"),
                    );
                }
            }
            Observation::Lost { node } => {
                if self.stopping.contains(node) {
                    self.report_violation("stop-loses-nothing", at, format!("a request of node {node}"));
                }
            }
        }
    }

    fn announce(&mut self, at: Duration, prefix: &str, site: &Name) {
        let announced = self.decided.get(prefix).cloned().unwrap_or_default();
        let served = announced.iter().any(|s| self.site_status(s).judgement != SiteHealth::Down);
        if served {
            let healthy = match self.judged.get(site) {
                Some((seen, since)) if seen.judgement == SiteHealth::Healthy => at.saturating_sub(*since),
                _ => Duration::ZERO,
            } + ROUNDING;
            let ms = |n: u64| Duration::from_millis(n);
            if healthy < ms(u64::from(self.rules.hold_up)) {
                self.report_violation("hold-up", at, format!("{site} for {prefix}"));
            }
            let (flaps, last) =
                self.flaps.get(&(prefix.to_owned(), site.clone())).copied().unwrap_or_default();
            let calm = u128::from(self.rules.calm.max(1));
            let forgiven = ((at - last).as_millis() / calm).min(u128::from(flaps)) as u32;
            let damped = (u64::from(self.rules.hold_up) << (flaps - forgiven).min(16))
                .min(u64::from(self.rules.hold_up_max));
            if healthy < ms(damped) {
                self.report_violation("damped", at, format!("{site} for {prefix}"));
            }
        }
        self.decided.entry(prefix.to_owned()).or_default().insert(site.clone());
    }

    fn withdraw(&mut self, at: Duration, prefix: &str, site: &Name) {
        self.report.withdrawals += 1;
        let status = self.site_status(site);
        let kind = self.address_kind(prefix);
        let announced = self.decided.entry(prefix.to_owned()).or_default();
        announced.remove(site);
        let announced = announced.clone();
        let listed = self.rules.address(prefix).is_some_and(|r| r.sites.contains(site));
        if listed && status.judgement != SiteHealth::Down {
            let rest: Vec<SiteStatus> = announced.iter().map(|s| self.site_status(s)).collect();
            let spare: u64 = rest
                .iter()
                .filter(|s| s.judgement != SiteHealth::Down)
                .map(|s| s.capacity.saturating_sub(s.asked))
                .fold(0, u64::saturating_add);
            // An exclusive address is being moved; the next record names the new owner.
            if kind == Some(AddressKind::Shared) {
                if rest.iter().all(|s| s.judgement == SiteHealth::Down) {
                    self.report_violation("never-nobody", at, format!("{site} was the last of {prefix}"));
                }
                if spare < status.asked && status.share >= self.rules.floor {
                    self.report_violation("no-cascade", at, format!("{site} for {prefix}"));
                }
            }
            let settling = Duration::from_millis(u64::from(self.rules.settling));
            if self.settling_from.get(prefix).is_some_and(|last| at + ROUNDING < *last + settling) {
                self.report_violation("one-a-settling-time", at, format!("{site} for {prefix}"));
            }
            self.settling_from.insert(prefix.to_owned(), at);
        }
        self.last_withdrawn.insert(prefix.to_owned(), at);
        let flaps = self.flaps.entry((prefix.to_owned(), site.clone())).or_default();
        // Flaps that were already forgiven no longer count.
        let calm = u128::from(self.rules.calm.max(1));
        let forgiven = ((at - flaps.1).as_millis() / calm).min(u128::from(flaps.0)) as u32;
        *flaps = (flaps.0 - forgiven + 1, at);
    }

    /// Checks the time bounds.
    fn check_time_bounds(&mut self, now: Duration, bounds: &Bounds) {
        let rules = self.rules.clone();
        let truth = |site: &Name| self.truth.get(site).copied().unwrap_or_default();
        let mut bounded: Vec<(&'static str, String, Duration)> = Vec::new();
        let empty = BTreeSet::new();
        let mut gaps = Vec::new();
        for rule in &rules.addresses {
            let prefix = &rule.prefix;
            let routes = self.routes.get(prefix).unwrap_or(&empty);
            let sites: BTreeSet<&Name> = routes.iter().map(|r| &r.0).collect();
            let settling = Duration::from_millis(u64::from(rules.settling + rules.settling / 50));
            let settled = self.last_withdrawn.get(prefix).is_none_or(|at| now >= *at + settling);
            for site in &sites {
                let (status, since) = truth(site);
                let hold_down = Duration::from_millis(u64::from(rules.hold_down));
                let spare: u64 = sites
                    .iter()
                    .filter(|s| *s != site && truth(s).0.judgement == SiteHealth::Healthy)
                    .map(|s| truth(s).0.capacity.saturating_sub(truth(s).0.asked))
                    .sum();
                let other = sites.iter().any(|s| s != site && truth(s).0.judgement == SiteHealth::Healthy);
                let can_withdraw = other && settled && (spare >= status.asked || status.share < rules.floor);
                let degraded = status.judgement != SiteHealth::Healthy && now >= since + hold_down;
                if rule.kind == AddressKind::Shared && can_withdraw && degraded {
                    bounded.push(("withdraw-in-time", format!("{site} for {prefix}"), bounds.withdraw));
                }
                if !self.decided.get(prefix).is_some_and(|d| d.contains(*site)) {
                    bounded.push(("stale-withdrawn", format!("{site} for {prefix}"), bounds.stale));
                }
            }
            if sites.is_empty() && rule.sites.iter().any(|s| truth(s).0.judgement != SiteHealth::Down) {
                bounded.push(("never-nobody", prefix.clone(), bounds.unrouted));
            }
            if rule.kind == AddressKind::Exclusive {
                if !sites.is_empty() {
                    self.last_routed.insert(prefix.clone(), now);
                } else if let Some(last) = self.last_routed.get(prefix) {
                    gaps.push(now - *last);
                    if rule.sites.iter().any(|s| truth(s).0.judgement == SiteHealth::Healthy) {
                        bounded.push(("gap-bounded", prefix.clone(), bounds.gap));
                    }
                }
            }
        }
        self.report.gap = gaps.into_iter().fold(self.report.gap, Duration::max);
        if now < self.disturbed_until {
            bounded.clear();
        }
        let mut bound_since = BTreeMap::new();
        // No bound runs during a disturbance; each starts over afterwards.
        for (rule, subject, bound) in bounded {
            let since = self.bound_since.get(&(rule, subject.clone())).copied().unwrap_or(now);
            if now > since + bound {
                self.report_violation(rule, now, subject.clone());
            }
            bound_since.insert((rule, subject), since);
        }
        self.bound_since = bound_since;
    }
}

/// Stores a site's status with the time since which it has been healthy or not.
fn record_health(
    to: &mut BTreeMap<Name, (SiteStatus, Duration)>,
    at: Duration,
    site: &Name,
    seen: SiteStatus,
) {
    let healthy = |j: SiteHealth| j == SiteHealth::Healthy;
    let since = match to.get(site) {
        Some((before, since)) if healthy(before.judgement) == healthy(seen.judgement) => *since,
        _ => at,
    };
    to.insert(site.clone(), (seen, since));
}
