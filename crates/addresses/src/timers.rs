//! The rules that need a clock: when a leader proposes that a site starts or stops advertising.
//!
//! Every node runs these timers on its own boot clock from the moment it applied an entry, so that a new
//! leader continues where the previous one stopped. Each wait is extended by the maximum clock drift. An
//! entry names the address's last change, so two nodes that both believe to lead cannot both withdraw a site.

use std::collections::BTreeMap;
use std::time::Duration;

use magpietally_consensus::DRIFT;
use magpietally_transport::Name;

use crate::health::SiteHealth;
use crate::protocol::{listed_sites, ms};
use crate::rules::{AddressKind, AddressRule, Rules};
use crate::state::{Effect, ProposalBody, State};

/// A proposal that has not been decided is repeated after this delay: four attempts within a second.
const REPROPOSE_DELAY: Duration = Duration::from_millis(200);

/// The times from which a node measures the waits of the rules.
#[derive(Clone, Debug, Default)]
pub(crate) struct Timers {
    /// Whether a site is healthy, and since when. At most one entry per site listed in the rules.
    health_since: BTreeMap<Name, (bool, Duration)>,
    /// Time of the last withdrawal, by address.
    withdrawn: BTreeMap<String, Duration>,
    /// Time of the last change, by address.
    changed: BTreeMap<String, Duration>,
    proposed: BTreeMap<String, Duration>,
}

fn with_drift(t: Duration) -> Duration {
    t.mul_f64(1.0 + DRIFT)
}

/// How long a site with this many flaps has to be healthy before it advertises again.
pub(crate) fn hold_up(rules: &Rules, flaps: u32) -> Duration {
    let doubled = u64::from(rules.hold_up) << flaps.min(16);
    Duration::from_millis(doubled.min(u64::from(rules.hold_up_max)))
}

impl Timers {
    /// Timers after a snapshot was restored: all of them start at `now`.
    pub fn restored(now: Duration, state: &State) -> Self {
        let restored: BTreeMap<String, Duration> =
            state.replicated.rules.addresses.iter().map(|a| (a.prefix.clone(), now)).collect();
        let mut timers = Self { withdrawn: restored.clone(), changed: restored, ..Self::default() };
        timers.entry_applied(now, state, &Effect::default());
        timers
    }

    /// Updates the timers for an entry that was applied at `now`.
    pub fn entry_applied(&mut self, now: Duration, state: &State, effect: &Effect) {
        let rules = &state.replicated.rules;
        for site in listed_sites(rules) {
            let healthy = state.health(site) == SiteHealth::Healthy;
            if self.health_since.get(site).is_none_or(|t| t.0 != healthy) {
                self.health_since.insert(site.clone(), (healthy, now));
            }
        }
        if effect.rules_changed {
            let sites = listed_sites(rules);
            self.health_since.retain(|s, _| sites.contains(s));
            for times in [&mut self.withdrawn, &mut self.changed, &mut self.proposed] {
                times.retain(|p, _| rules.address(p).is_some());
            }
        }
        if let Some(prefix) = &effect.withdrawn {
            self.withdrawn.insert(prefix.clone(), now);
        }
        if let Some(prefix) = &effect.changed {
            self.changed.insert(prefix.clone(), now);
            self.proposed.remove(prefix);
        }
    }

    fn health_duration(&self, now: Duration, site: &Name, healthy: bool) -> Duration {
        match self.health_since.get(site) {
            Some((w, at)) if *w == healthy => now.saturating_sub(*at),
            _ => Duration::ZERO,
        }
    }

    /// Returns the proposals due at `now`, at most one per address.
    pub fn proposals(&mut self, now: Duration, state: &State) -> Vec<ProposalBody> {
        let mut proposals = Vec::new();
        for rule in &state.replicated.rules.addresses {
            if self.proposed.get(&rule.prefix).is_some_and(|at| now < *at + REPROPOSE_DELAY) {
                continue;
            }
            let (prefix, last_change) = (rule.prefix.clone(), state.last_change(&rule.prefix));
            let body = if let Some((site, announce, timers_elapsed)) = self.due_change(now, state, rule) {
                let last_health_change = state.last_health_change(&site);
                ProposalBody::ChangeRoute {
                    prefix,
                    last_change,
                    site,
                    announce,
                    last_health_change,
                    timers_elapsed,
                }
            } else if let Some(site) = self.forgivable_site(now, state, rule) {
                ProposalBody::ForgiveFlap { prefix, last_change, site }
            } else {
                continue;
            };
            self.proposed.insert(rule.prefix.clone(), now);
            proposals.push(body);
        }
        proposals
    }

    fn due_change(&self, now: Duration, state: &State, rule: &AddressRule) -> Option<(Name, bool, bool)> {
        let rules = &state.replicated.rules;
        let prefix = &rule.prefix;
        let current: Vec<&Name> = state.sites(prefix).collect();
        let rank = |s: &Name| (state.health(s), state.site_metrics(s).answered_permille(), s.clone());
        let settled = self.withdrawn.get(prefix).is_none_or(|at| now >= *at + with_drift(ms(rules.settling)));
        // A site without nodes needs no further wait: its nodes' leases had to expire first.
        let has_no_nodes = |s: &Name| state.site_metrics(s).nodes == 0;
        let held_down =
            |s: &Name| has_no_nodes(s) || self.health_duration(now, s, false) >= ms(rules.hold_down);
        // Whether all waits have elapsed: the hold-up of a site that starts, the hold-down and settling time
        // of one that stops.
        let timers_elapsed = |s: &Name, announce: bool| {
            let held =
                self.health_duration(now, s, true) >= with_drift(hold_up(rules, state.flaps(prefix, s)));
            match (announce, rule.kind) {
                (true, AddressKind::Shared) => held,
                (true, AddressKind::Exclusive) => held && settled && current.iter().all(|o| held_down(o)),
                (false, _) => settled && held_down(s),
            }
        };
        // An exclusive address moves away even from an owner that is down only after the hold-down, or when
        // the owner has no nodes left.
        let held_down_if_exclusive = |s: &Name, announce: bool| match (announce, rule.kind) {
            (true, AddressKind::Exclusive) => current.iter().all(|o| !rule.sites.contains(o) || held_down(o)),
            (true, AddressKind::Shared) => true,
            (false, _) => !rule.sites.contains(s) || held_down(s),
        };
        let is_due = |s: &Name, announce: bool| {
            state.is_allowed(prefix, s, announce)
                && (timers_elapsed(s, announce)
                    || (state.needs_no_wait(prefix, s, announce) && held_down_if_exclusive(s, announce)))
        };
        let mut candidates: Vec<&Name> = rule.sites.iter().filter(|s| is_due(s, true)).collect();
        // Of healthy sites the first listed; otherwise the one with the best health and answered share.
        candidates.sort_by_key(|s| match state.health(s) {
            SiteHealth::Healthy => (std::cmp::Reverse(SiteHealth::Healthy), 0),
            other => (std::cmp::Reverse(other), 1000 - state.site_metrics(s).answered_permille()),
        });
        if let Some(site) = candidates.first() {
            return Some(((*site).clone(), true, timers_elapsed(site, true)));
        }
        let mut withdrawals: Vec<&Name> = current.iter().copied().filter(|s| is_due(s, false)).collect();
        withdrawals.sort_by_key(|s| rank(s));
        withdrawals.first().map(|s| ((*s).clone(), false, timers_elapsed(s, false)))
    }

    fn forgivable_site(&self, now: Duration, state: &State, rule: &AddressRule) -> Option<Name> {
        let calm = with_drift(ms(state.replicated.rules.calm));
        if self.changed.get(&rule.prefix).is_none_or(|at| now < *at + calm) {
            return None;
        }
        let flaps = &state.replicated.routes.get(&rule.prefix)?.flaps;
        flaps.keys().find(|s| self.health_duration(now, s, true) >= calm).cloned()
    }
}
