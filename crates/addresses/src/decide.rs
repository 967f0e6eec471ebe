//! When a leader proposes that a site begins or ceases to advertise: the rules that need a clock.
//!
//! Every node keeps these times by its own boot clock, from when it learnt of an entry, so that the next leader goes on
//! where the last one stopped. Each waits longer than the rule says by [`DRIFT`], and an entry names the address's last
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
            let body = if let Some((site, up)) = self.change(now, state, rule) {
                Body::Decide { prefix, after, site, up }
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

    fn change(&self, now: Duration, state: &State, rule: &AddressRule) -> Option<(Name, bool)> {
        let rules = &state.plain.rules;
        let prefix = &rule.prefix;
        let here: Vec<&Name> = state.sites(prefix).collect();
        let rank = |s: &Name| (state.judged(s), state.sums(s).share(), s.clone());
        let settled = self.withdrawn.get(prefix).is_none_or(|at| now >= *at + long(ms(rules.settling)));
        // Gone with all its nodes: the leases have waited already.
        let gone = |s: &Name| state.sums(s).nodes == 0;
        let down = |s: &Name| gone(s) || self.since(now, s, false) >= ms(rules.hold_down);
        let serves = here.iter().any(|s| state.judged(s) != Judgement::Dead);
        let up = |s: &Name| {
            let held = self.since(now, s, true) >= long(hold_up(rules, state.flaps(prefix, s)));
            match rule.kind {
                Kind::Shared => !serves || held,
                Kind::Exclusive => {
                    here.iter().all(|o| down(o))
                        && (here.iter().all(|o| state.judged(o) == Judgement::Dead) || (held && settled))
                }
            }
        };
        let mut ups: Vec<&Name> = rule.sites.iter().filter(|s| state.may(prefix, s, true) && up(s)).collect();
        // The best of bad ones; of good ones the first named.
        ups.sort_by_key(|s| match state.judged(s) {
            Judgement::Well => (std::cmp::Reverse(Judgement::Well), 0),
            other => (std::cmp::Reverse(other), 1000 - state.sums(s).share()),
        });
        if let Some(site) = ups.first() {
            return Some(((*site).clone(), true));
        }
        let mut downs: Vec<&Name> = here
            .iter()
            .copied()
            .filter(|s| state.may(prefix, s, false))
            .filter(|s| {
                !rule.sites.contains(s) || (down(s) && (settled || state.judged(s) == Judgement::Dead))
            })
            .collect();
        downs.sort_by_key(|s| rank(s));
        downs.first().map(|s| ((*s).clone(), false))
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
