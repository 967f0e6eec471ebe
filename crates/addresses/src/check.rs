//! Checks records of routers, nodes and the log, all on one clock, against what was promised.
//!
//! Claims and decisions are checked record by record. Bounds in time are looked at on a grid of 20 ms, which may find a fault
//! that much too late, and never one that is none.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use magpietally_transport::Name;
use serde::{Deserialize, Serialize};

use crate::health::Judgement;
use crate::rules::{Kind, Rules};

/// How often bounds in time are looked at: a fiftieth of the tightest, one second.
const GRID: Duration = Duration::from_millis(20);
/// The log's milliseconds are whole, and a rule's least time may be cut by two roundings.
const ROUNDING: Duration = Duration::from_millis(2);

/// A site as somebody saw it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// What it is.
    pub judgement: Judgement,
    /// Worth asked for a second.
    pub asked: u64,
    /// Worth a second that it can answer.
    pub capacity: u64,
    /// Answered of asked, in thousandths.
    pub share: u32,
}

/// What is recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum What {
    /// Rules took hold in the log.
    Rules(Rules),
    /// What a site truly is.
    Truth {
        /// Which.
        site: Name,
        /// What.
        seen: Seen,
    },
    /// What the log says it is.
    Judged {
        /// Which.
        site: Name,
        /// What.
        seen: Seen,
    },
    /// The log decided that a site begins or ceases to advertise.
    Decided {
        /// The address.
        prefix: String,
        /// The site.
        site: Name,
        /// Begins.
        up: bool,
    },
    /// A router's route came or went.
    Route {
        /// The address.
        prefix: String,
        /// Where it leads.
        site: Name,
        /// By which end it was said.
        session: u32,
        /// Came.
        up: bool,
    },
    /// A node says of itself that it owns an exclusive address, or no more.
    Claim {
        /// The address.
        prefix: String,
        /// The node.
        node: u32,
        /// It does.
        up: bool,
    },
    /// Until then something is cut, stopped, killed or without a leader: bounds in time do not hold.
    Disturbed {
        /// Until when.
        until: Duration,
    },
    /// A planned stop of a node began.
    Stopping {
        /// Which.
        node: u32,
    },
    /// A node ended with so many requests open.
    Stopped {
        /// Which.
        node: u32,
        /// How many.
        open: u64,
    },
    /// Nothing was recorded until here: bounds in time are held up to the last record.
    End,
    /// A request that a node took was lost.
    Lost {
        /// Which.
        node: u32,
    },
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// When, by the checker's clock.
    pub at: Duration,
    /// What.
    pub what: What,
}

/// Bounds that the rules do not state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// From the hold-down's end to the router's withdrawal.
    pub withdraw: Duration,
    /// An exclusive address without an owner at the router, a site being well.
    pub gap: Duration,
    /// An address without a route, a site answering.
    pub nobody: Duration,
    /// A route against the log's decision.
    pub stale: Duration,
}

impl Default for Bounds {
    /// One second for withdrawing, by the promise. A gap: two leases of 5.07 s (speaker's and owner's run together, a third
    /// for retries), 12 s in all; the same for nobody. Stale: the router's hold and a second.
    fn default() -> Self {
        Self {
            withdraw: Duration::from_secs(1),
            gap: Duration::from_secs(12),
            nobody: Duration::from_secs(12),
            stale: Duration::from_millis(2500),
        }
    }
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Which rule.
    pub rule: String,
    /// When it was seen.
    pub at: Duration,
    /// Of what.
    pub of: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {:?}: {}", self.rule, self.at, self.of)
    }
}

/// What a check found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The first fault of each rule and thing.
    pub faults: Vec<Fault>,
    /// The longest time an exclusive address had no route after it had its first.
    pub gap: Duration,
    /// Decisions that took a site away.
    pub withdrawals: usize,
    /// Routes that came up.
    pub routes: usize,
}

impl Report {
    /// Whether a rule was broken.
    pub fn broke(&self, rule: &str) -> bool {
        self.faults.iter().any(|f| f.rule == rule)
    }
}

#[derive(Default)]
struct Course {
    rules: Rules,
    truth: BTreeMap<Name, (Seen, Duration)>,
    judged: BTreeMap<Name, (Seen, Duration)>,
    decided: BTreeMap<String, BTreeSet<Name>>,
    routes: BTreeMap<String, BTreeSet<(Name, u32)>>,
    claims: BTreeMap<String, BTreeSet<u32>>,
    quiet: Duration,
    /// Last withdrawal by (address), deaths aside, and of any kind.
    withdrawn: BTreeMap<String, Duration>,
    any_withdrawn: BTreeMap<String, Duration>,
    /// Withdrawals by address and site, and the last of them.
    flaps: BTreeMap<(String, Name), (u32, Duration)>,
    /// Since when a bound in time runs, by rule and thing.
    runs: BTreeMap<(&'static str, String), Duration>,
    had: BTreeMap<String, Duration>,
    stopping: BTreeSet<u32>,
    told: BTreeSet<(&'static str, String)>,
    report: Report,
}

/// Checks records, in any order but for those of one moment, up to the last of them.
pub fn check(records: &[Record], bounds: Bounds) -> Report {
    let mut order: Vec<&Record> = records.iter().collect();
    // Stable: of one moment they stay as they were recorded.
    order.sort_by_key(|r| r.at);
    let mut course = Course::default();
    let mut next = Duration::ZERO;
    for record in order {
        while next < record.at {
            course.look(next, &bounds);
            next += GRID;
        }
        course.take(record.at, &record.what);
    }
    course.look(next, &bounds);
    course.report
}

impl Course {
    fn fault(&mut self, rule: &'static str, at: Duration, of: impl Into<String>) {
        let of = of.into();
        if self.told.insert((rule, of.clone())) {
            self.report.faults.push(Fault { rule: rule.to_owned(), at, of });
        }
    }

    fn kind(&self, prefix: &str) -> Option<Kind> {
        self.rules.of(prefix).map(|r| r.kind)
    }

    fn seen(&self, site: &Name) -> Seen {
        self.judged.get(site).map(|j| j.0).unwrap_or_default()
    }

    fn take(&mut self, at: Duration, what: &What) {
        match what {
            What::Rules(rules) => {
                self.rules = rules.clone();
                self.decided.retain(|p, _| rules.of(p).is_some());
            }
            What::Truth { site, seen } => put(&mut self.truth, at, site, *seen),
            What::Judged { site, seen } => put(&mut self.judged, at, site, *seen),
            What::Decided { prefix, site, up: true } => self.up(at, prefix, site),
            What::Decided { prefix, site, up: false } => self.down(at, prefix, site),
            What::Route { prefix, site, session, up } => {
                let routes = self.routes.entry(prefix.clone()).or_default();
                if !up {
                    routes.remove(&(site.clone(), *session));
                    return;
                }
                routes.insert((site.clone(), *session));
                self.report.routes += 1;
                let speakers: BTreeSet<u32> = routes.iter().map(|r| r.1).collect();
                if speakers.len() > 1 && self.kind(prefix) == Some(Kind::Exclusive) {
                    self.fault("never-two-owners", at, format!("routes of {prefix}"));
                }
            }
            What::Claim { prefix, node, up } => {
                let claims = self.claims.entry(prefix.clone()).or_default();
                if !up {
                    claims.remove(node);
                    return;
                }
                claims.insert(*node);
                if claims.len() > 1 {
                    self.fault("never-two-owners", at, format!("claims of {prefix}"));
                }
            }
            What::Disturbed { until } => self.quiet = self.quiet.max(*until),
            What::End => {}
            What::Stopping { node } => {
                self.stopping.insert(*node);
            }
            What::Stopped { node, open } => {
                if self.stopping.remove(node) && *open > 0 {
                    self.fault("stop-loses-nothing", at, format!("node {node} ended with {open} open"));
                }
            }
            What::Lost { node } => {
                if self.stopping.contains(node) {
                    self.fault("stop-loses-nothing", at, format!("a request of node {node}"));
                }
            }
        }
    }

    fn up(&mut self, at: Duration, prefix: &str, site: &Name) {
        let here = self.decided.get(prefix).cloned().unwrap_or_default();
        let served = here.iter().any(|s| self.seen(s).judgement != Judgement::Dead);
        if served {
            let well = match self.judged.get(site) {
                Some((seen, since)) if seen.judgement == Judgement::Well => at.saturating_sub(*since),
                _ => Duration::ZERO,
            } + ROUNDING;
            let ms = |n: u64| Duration::from_millis(n);
            if well < ms(u64::from(self.rules.hold_up)) {
                self.fault("hold-up", at, format!("{site} for {prefix}"));
            }
            let (flaps, last) =
                self.flaps.get(&(prefix.to_owned(), site.clone())).copied().unwrap_or_default();
            let calm = u128::from(self.rules.calm.max(1));
            let forgiven = ((at - last).as_millis() / calm).min(u128::from(flaps)) as u32;
            let damped = (u64::from(self.rules.hold_up) << (flaps - forgiven).min(16))
                .min(u64::from(self.rules.hold_up_max));
            if well < ms(damped) {
                self.fault("damped", at, format!("{site} for {prefix}"));
            }
        }
        self.decided.entry(prefix.to_owned()).or_default().insert(site.clone());
    }

    fn down(&mut self, at: Duration, prefix: &str, site: &Name) {
        self.report.withdrawals += 1;
        let own = self.seen(site);
        let kind = self.kind(prefix);
        let here = self.decided.entry(prefix.to_owned()).or_default();
        here.remove(site);
        let here = here.clone();
        let named = self.rules.of(prefix).is_some_and(|r| r.sites.contains(site));
        if named && own.judgement != Judgement::Dead {
            let rest: Vec<Seen> = here.iter().map(|s| self.seen(s)).collect();
            let spare: u64 = rest
                .iter()
                .filter(|s| s.judgement != Judgement::Dead)
                .map(|s| s.capacity.saturating_sub(s.asked))
                .fold(0, u64::saturating_add);
            // An exclusive address is moved: who takes it is told by the record that follows.
            if kind == Some(Kind::Shared) {
                if rest.iter().all(|s| s.judgement == Judgement::Dead) {
                    self.fault("never-nobody", at, format!("{site} was the last of {prefix}"));
                }
                if spare < own.asked && own.share >= self.rules.floor {
                    self.fault("no-cascade", at, format!("{site} for {prefix}"));
                }
            }
            let settling = Duration::from_millis(u64::from(self.rules.settling));
            if self.withdrawn.get(prefix).is_some_and(|last| at + ROUNDING < *last + settling) {
                self.fault("one-a-settling-time", at, format!("{site} for {prefix}"));
            }
            self.withdrawn.insert(prefix.to_owned(), at);
        }
        self.any_withdrawn.insert(prefix.to_owned(), at);
        let flaps = self.flaps.entry((prefix.to_owned(), site.clone())).or_default();
        // What was forgiven before doesn't count again.
        let calm = u128::from(self.rules.calm.max(1));
        let forgiven = ((at - flaps.1).as_millis() / calm).min(u128::from(flaps.0)) as u32;
        *flaps = (flaps.0 - forgiven + 1, at);
    }

    /// Looks at the bounds in time.
    fn look(&mut self, now: Duration, bounds: &Bounds) {
        let rules = self.rules.clone();
        let truth = |site: &Name| self.truth.get(site).copied().unwrap_or_default();
        let mut holds: Vec<(&'static str, String, Duration)> = Vec::new();
        let empty = BTreeSet::new();
        let mut gaps = Vec::new();
        for rule in &rules.addresses {
            let prefix = &rule.prefix;
            let routes = self.routes.get(prefix).unwrap_or(&empty);
            let sites: BTreeSet<&Name> = routes.iter().map(|r| &r.0).collect();
            let settling = Duration::from_millis(u64::from(rules.settling + rules.settling / 50));
            let settled = self.any_withdrawn.get(prefix).is_none_or(|at| now >= *at + settling);
            for site in &sites {
                let (own, since) = truth(site);
                let hold_down = Duration::from_millis(u64::from(rules.hold_down));
                let spare: u64 = sites
                    .iter()
                    .filter(|s| *s != site && truth(s).0.judgement == Judgement::Well)
                    .map(|s| truth(s).0.capacity.saturating_sub(truth(s).0.asked))
                    .sum();
                let other = sites.iter().any(|s| s != site && truth(s).0.judgement == Judgement::Well);
                let may = other && settled && (spare >= own.asked || own.share < rules.floor);
                let sick = own.judgement != Judgement::Well && now >= since + hold_down;
                if rule.kind == Kind::Shared && may && sick {
                    holds.push(("withdraw-in-time", format!("{site} for {prefix}"), bounds.withdraw));
                }
                if !self.decided.get(prefix).is_some_and(|d| d.contains(*site)) {
                    holds.push(("stale-withdrawn", format!("{site} for {prefix}"), bounds.stale));
                }
            }
            if sites.is_empty() && rule.sites.iter().any(|s| truth(s).0.judgement != Judgement::Dead) {
                holds.push(("never-nobody", prefix.clone(), bounds.nobody));
            }
            if rule.kind == Kind::Exclusive {
                if !sites.is_empty() {
                    self.had.insert(prefix.clone(), now);
                } else if let Some(last) = self.had.get(prefix) {
                    gaps.push(now - *last);
                    if rule.sites.iter().any(|s| truth(s).0.judgement == Judgement::Well) {
                        holds.push(("gap-bounded", prefix.clone(), bounds.gap));
                    }
                }
            }
        }
        self.report.gap = gaps.into_iter().fold(self.report.gap, Duration::max);
        if now < self.quiet {
            holds.clear();
        }
        let mut runs = BTreeMap::new();
        // While something is disturbed no bound runs; after it each begins anew.
        for (rule, of, bound) in holds {
            let since = self.runs.get(&(rule, of.clone())).copied().unwrap_or(now);
            if now > since + bound {
                self.fault(rule, now, of.clone());
            }
            runs.insert((rule, of), since);
        }
        self.runs = runs;
    }
}

/// Puts what a site is, keeping since when it is well or not.
fn put(to: &mut BTreeMap<Name, (Seen, Duration)>, at: Duration, site: &Name, seen: Seen) {
    let well = |j: Judgement| j == Judgement::Well;
    let since = match to.get(site) {
        Some((before, since)) if well(before.judgement) == well(seen.judgement) => *since,
        _ => at,
    };
    to.insert(site.clone(), (seen, since));
}
