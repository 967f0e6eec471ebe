//! When a leader proposes that a site begins or ceases to advertise: the rules that need a clock.
//!
//! Every node keeps these times by its own boot clock, from when it learnt of an entry, so that the next leader goes on
//! where the last one stopped. Each waits longer than the rule says by the drift of clocks, and an entry names the address's last
//! change, so two that think they lead can't both withdraw.

use std::collections::BTreeMap;
use std::time::Duration;

use magpietally_consensus::DRIFT;
use magpietally_transport::Name;

use crate::health::Judgement;
use crate::room::{ms, named};
use crate::rules::{AddressRule, Kind, Rules};
use crate::state::{Body, Effect, State};

/// A decision that was not seen decided is proposed anew after this long; four tries within the second.
const AGAIN: Duration = Duration::from_millis(200);

/// What a node counts time from.
#[derive(Clone, Debug, Default)]
pub(crate) struct Timers {
    /// Whether a site was well, and since when. At most one a site of the rules.
    turned: BTreeMap<Name, (bool, Duration)>,
    /// Last withdrawal, by address.
    withdrawn: BTreeMap<String, Duration>,
    /// Last change, by address.
    changed: BTreeMap<String, Duration>,
    proposed: BTreeMap<String, Duration>,
}

fn long(t: Duration) -> Duration {
    t.mul_f64(1.0 + DRIFT)
}

/// How long a site has to be well, by its flaps.
pub(crate) fn hold_up(rules: &Rules, flaps: u32) -> Duration {
    let doubled = u64::from(rules.hold_up) << flaps.min(16);
    Duration::from_millis(doubled.min(u64::from(rules.hold_up_max)))
}

impl Timers {
    /// After a snapshot everything counts from now.
    pub fn restored(now: Duration, state: &State) -> Self {
        let at: BTreeMap<String, Duration> =
            state.plain.rules.addresses.iter().map(|a| (a.prefix.clone(), now)).collect();
        let mut timers = Self { withdrawn: at.clone(), changed: at, ..Self::default() };
        timers.learnt(now, state, &Effect::default());
        timers
    }

    /// An entry was learnt at `now`.
    pub fn learnt(&mut self, now: Duration, state: &State, effect: &Effect) {
        let rules = &state.plain.rules;
        for site in named(rules) {
            let well = state.judged(site) == Judgement::Well;
            if self.turned.get(site).is_none_or(|t| t.0 != well) {
                self.turned.insert(site.clone(), (well, now));
            }
        }
        if effect.rules {
            let sites = named(rules);
            self.turned.retain(|s, _| sites.contains(s));
            for times in [&mut self.withdrawn, &mut self.changed, &mut self.proposed] {
                times.retain(|p, _| rules.of(p).is_some());
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

    fn since(&self, now: Duration, site: &Name, well: bool) -> Duration {
        match self.turned.get(site) {
            Some((w, at)) if *w == well => now.saturating_sub(*at),
            _ => Duration::ZERO,
        }
    }

    /// What to propose at `now`: at most one change an address.
    pub fn decide(&mut self, now: Duration, state: &State) -> Vec<Body> {
        let mut out = Vec::new();
        for rule in &state.plain.rules.addresses {
            if self.proposed.get(&rule.prefix).is_some_and(|at| now < *at + AGAIN) {
                continue;
            }
            let (prefix, after) = (rule.prefix.clone(), state.last(&rule.prefix));
            let body = if let Some((site, up, waited)) = self.change(now, state, rule) {
                let turn = state.turned(&site);
                Body::Decide { prefix, after, site, up, turn, waited }
            } else if let Some(site) = self.forgiven(now, state, rule) {
                Body::Calm { prefix, after, site }
            } else {
                continue;
            };
            self.proposed.insert(rule.prefix.clone(), now);
            out.push(body);
        }
        out
    }

    fn change(&self, now: Duration, state: &State, rule: &AddressRule) -> Option<(Name, bool, bool)> {
        let rules = &state.plain.rules;
        let prefix = &rule.prefix;
        let here: Vec<&Name> = state.sites(prefix).collect();
        let rank = |s: &Name| (state.judged(s), state.sums(s).share(), s.clone());
        let settled = self.withdrawn.get(prefix).is_none_or(|at| now >= *at + long(ms(rules.settling)));
        // Gone with all its nodes: the leases have waited already.
        let gone = |s: &Name| state.sums(s).nodes == 0;
        let down = |s: &Name| gone(s) || self.since(now, s, false) >= ms(rules.hold_down);
        // All times waited: the least times of the site that begins, and what the one that ceases is due.
        let waited = |s: &Name, up: bool| {
            let held = self.since(now, s, true) >= long(hold_up(rules, state.flaps(prefix, s)));
            match (up, rule.kind) {
                (true, Kind::Shared) => held,
                (true, Kind::Exclusive) => held && settled && here.iter().all(|o| down(o)),
                (false, _) => settled && down(s),
            }
        };
        // An exclusive address leaves even a dead owner only after the hold-down, or with the last of its nodes.
        let patient = |s: &Name, up: bool| match (up, rule.kind) {
            (true, Kind::Exclusive) => here.iter().all(|o| !rule.sites.contains(o) || down(o)),
            (true, Kind::Shared) => true,
            (false, _) => !rule.sites.contains(s) || down(s),
        };
        let ready = |s: &Name, up: bool| {
            state.may(prefix, s, up) && (waited(s, up) || (state.free(prefix, s, up) && patient(s, up)))
        };
        let mut ups: Vec<&Name> = rule.sites.iter().filter(|s| ready(s, true)).collect();
        // The best of bad ones; of good ones the first named.
        ups.sort_by_key(|s| match state.judged(s) {
            Judgement::Well => (std::cmp::Reverse(Judgement::Well), 0),
            other => (std::cmp::Reverse(other), 1000 - state.sums(s).share()),
        });
        if let Some(site) = ups.first() {
            return Some(((*site).clone(), true, waited(site, true)));
        }
        let mut downs: Vec<&Name> = here.iter().copied().filter(|s| ready(s, false)).collect();
        downs.sort_by_key(|s| rank(s));
        downs.first().map(|s| ((*s).clone(), false, waited(s, false)))
    }

    fn forgiven(&self, now: Duration, state: &State, rule: &AddressRule) -> Option<Name> {
        let calm = long(ms(state.plain.rules.calm));
        if self.changed.get(&rule.prefix).is_none_or(|at| now < *at + calm) {
            return None;
        }
        let flaps = &state.plain.routes.get(&rule.prefix)?.flaps;
        flaps.keys().find(|s| self.since(now, s, true) >= calm).cloned()
    }
}
