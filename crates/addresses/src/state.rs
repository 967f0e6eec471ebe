//! What follows from the log's entries alone: who is alive, who speaks, who owns, which site advertises what.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use magpietally_consensus::{DecidedEntry, Grant, Index, Leases};
use magpietally_transport::{Name, Peer};
use serde::{Deserialize, Serialize};

use crate::health::{Figures, Judgement, Sums};
use crate::rules::{Kind, Rules, ADDRESSES_MAX};

/// Nodes at most: twice the largest fleet measured.
const NODES_MAX: usize = 1024;
/// A longer lease is refused: a dead holder would be missed for a minute.
const TERM_MAX_MS: u32 = 60_000;
/// Flaps counted at most: 2^16 times any hold-up is past its upper bound.
const FLAPS_MAX: u32 = 16;
/// Leases one entry ends, at most: 64 of the longest keys fit a proposal many times.
pub(crate) const ENDS_MAX: usize = 64;

/// What a lease is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Key {
    /// This node is alive.
    Node(Name),
    /// Its holder speaks for this site.
    Speaker(Name),
    /// Its holder advertises this exclusive address.
    Owner(String),
}

/// A node's report. It renews the node's leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The sender's number for it, growing within its session.
    pub seq: u64,
    /// Its site.
    pub site: Name,
    /// What it saw.
    pub figures: Figures,
    /// How long its leases last from the asking, in milliseconds.
    pub term_ms: u32,
    /// It asks to speak for its site, or to go on.
    pub speak: bool,
    /// Exclusive addresses it asks to own, or to go on owning.
    pub own: Vec<String>,
}

/// The body of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Rules of a later version.
    Rules(u64, Rules),
    /// A node's report.
    Report(Report),
    /// The sender stops and has withdrawn.
    Leave,
    /// These leases have ended for their holders.
    End(Vec<(Key, Index)>),
    /// A site begins or ceases to advertise, if the address is still as it was left at `after`.
    Decide {
        /// The address.
        prefix: String,
        /// The address's last change that the proposer knew.
        after: Index,
        /// The site.
        site: Name,
        /// Begins.
        up: bool,
        /// The site's last turn, to being well or not, that the proposer knew.
        turn: Index,
        /// The proposer has waited all times that the rules state; if not, it may only be done for an address that nobody
        /// serves, or to a site that is dead.
        waited: bool,
    },
    /// One flap of a site is forgiven, if the address is still as it was left at `after`.
    Calm {
        /// The address.
        prefix: String,
        /// The address's last change that the proposer knew.
        after: Index,
        /// The site.
        site: Name,
    },
}

impl Body {
    pub(crate) fn encode(&self) -> Vec<u8> {
        // Plain values of bounded lists: postcard has nothing to refuse.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        let body: Self = postcard::from_bytes(bytes).ok()?;
        let fits = match &body {
            Self::Report(r) => {
                r.own.len() <= ADDRESSES_MAX && r.term_ms > 0 && r.term_ms <= TERM_MAX_MS && r.seq > 0
            }
            Self::End(ends) => ends.len() <= ENDS_MAX,
            Self::Rules(_, rules) => rules.check().is_ok(),
            _ => true,
        };
        fits.then_some(body)
    }
}

/// Who advertises one address.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Route {
    pub sites: BTreeSet<Name>,
    /// The entry that last changed it.
    pub last: Index,
    /// Withdrawals not yet forgiven.
    pub flaps: BTreeMap<Name, u32>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Plain {
    pub version: u64,
    pub rules: Rules,
    pub nodes: BTreeMap<Name, (Name, Figures)>,
    pub judged: BTreeMap<Name, Judgement>,
    /// The entry at which a site last turned to being well or not.
    pub turned: BTreeMap<Name, Index>,
    pub routes: BTreeMap<String, Route>,
}

/// The state at some entry: the same at every node. Only [`Leases`] holds, beside it, when this node learnt.
#[derive(Clone, Debug, Default)]
pub struct State {
    pub(crate) plain: Plain,
    pub(crate) leases: Leases<Key>,
}

/// What an entry did that a node counts time from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Effect {
    /// This address lost a site.
    pub withdrawn: Option<String>,
    /// This address changed.
    pub changed: Option<String>,
    /// A report of this number was taken.
    pub report: Option<u64>,
    /// The rules changed.
    pub rules: bool,
}

impl State {
    /// The snapshot's bytes.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(&(&self.plain, self.leases.grants())).unwrap_or_default()
    }

    /// A snapshot, its leases learnt at `now`.
    pub(crate) fn decode(bytes: &[u8], now: Duration) -> Result<Self, String> {
        let (plain, grants): (Plain, BTreeMap<Key, Grant>) =
            postcard::from_bytes(bytes).map_err(|e| e.to_string())?;
        plain.rules.check().map_err(|e| e.to_string())?;
        Ok(Self { plain, leases: Leases::restored(grants, now) })
    }

    /// The rules and their version.
    pub fn rules(&self) -> (u64, &Rules) {
        (self.plain.version, &self.plain.rules)
    }

    /// Who holds a lease.
    pub fn holder(&self, key: &Key) -> Option<&Peer> {
        self.leases.get(key).map(|g| &g.holder)
    }

    /// The sites that advertise an address.
    pub fn sites(&self, prefix: &str) -> impl Iterator<Item = &Name> {
        self.plain.routes.get(prefix).into_iter().flat_map(|r| r.sites.iter())
    }

    /// What a site is.
    pub fn judged(&self, site: &Name) -> Judgement {
        self.plain.judged.get(site).copied().unwrap_or_default()
    }

    /// The sums over a site's live nodes.
    pub fn sums(&self, site: &Name) -> Sums {
        let mut sums = Sums::default();
        self.plain.nodes.values().filter(|(s, _)| s == site).for_each(|(_, f)| sums.add(f));
        sums
    }

    /// The live nodes of a site in the order in which they speak.
    pub fn order<'a>(&'a self, site: &'a Name) -> impl Iterator<Item = &'a Name> {
        self.plain.nodes.iter().filter(move |(_, (s, _))| s == site).map(|(n, _)| n)
    }

    pub(crate) fn apply(&mut self, now: Duration, decided: &DecidedEntry) -> Effect {
        let Some(body) = Body::decode(&decided.proposal.body) else { return Effect::default() };
        let by = &decided.proposal.proposer;
        let mut effect = Effect::default();
        match body {
            Body::Rules(version, rules) => {
                if version > self.plain.version {
                    (self.plain.version, self.plain.rules) = (version, rules);
                    let rules = &self.plain.rules;
                    self.plain.routes.retain(|prefix, _| rules.of(prefix).is_some());
                    let sites: Vec<Name> = self.plain.judged.keys().cloned().collect();
                    sites.iter().for_each(|site| self.judge(decided.index, site));
                    effect.rules = true;
                }
            }
            Body::Report(report) => {
                let seq = report.seq;
                effect.report = self.report(now, decided.index, by, report).then_some(seq);
            }
            Body::Leave => {
                // What it owns lapses by itself: the router may still be reading its last lines.
                let site = self.plain.nodes.get(&by.name).map(|(s, _)| s.clone());
                self.end_if_held(decided.index, &Key::Node(by.name.clone()), by);
                if let Some(site) = site {
                    self.end_if_held(decided.index, &Key::Speaker(site), by);
                }
            }
            Body::End(ends) => ends.iter().for_each(|(key, grant)| self.end(decided.index, key, *grant)),
            Body::Decide { prefix, after, site, up, turn, waited } => {
                let known = self.last(&prefix) == after && self.turned(&site) == turn;
                if known && self.may(&prefix, &site, up) && (waited || self.free(&prefix, &site, up)) {
                    effect = self.decide(decided.index, prefix, site, up);
                }
            }
            Body::Calm { prefix, after, site } => {
                if let Some(route) = self.plain.routes.get_mut(&prefix).filter(|r| r.last == after) {
                    if let Some(flaps) = route.flaps.get_mut(&site) {
                        *flaps -= 1;
                        if *flaps == 0 {
                            route.flaps.remove(&site);
                        }
                        route.last = decided.index;
                        effect.changed = Some(prefix);
                    }
                }
            }
        }
        effect
    }

    fn report(&mut self, now: Duration, index: Index, by: &Peer, report: Report) -> bool {
        let alive = Key::Node(by.name.clone());
        match self.leases.get(&alive) {
            // An earlier start of the same node says nothing any more.
            Some(g) if g.holder.session > by.session => return false,
            None if self.plain.nodes.len() >= NODES_MAX => return false,
            _ => {}
        }
        let grant = Grant { holder: by.clone(), index, term_ms: report.term_ms };
        self.leases.grant(now, alive, grant.clone());
        let free = |leases: &Leases<Key>, key: &Key| leases.get(key).is_none_or(|g| g.holder == *by);
        let speaker = Key::Speaker(report.site.clone());
        if report.speak && free(&self.leases, &speaker) {
            self.leases.grant(now, speaker, grant.clone());
            for prefix in report.own {
                let allowed = self.plain.rules.of(&prefix).is_some_and(|r| r.kind == Kind::Exclusive)
                    && self.plain.routes.get(&prefix).is_some_and(|r| r.sites.contains(&report.site));
                let owner = Key::Owner(prefix);
                if allowed && free(&self.leases, &owner) {
                    self.leases.grant(now, owner, grant.clone());
                }
            }
        }
        let before = self.plain.nodes.insert(by.name.clone(), (report.site.clone(), report.figures));
        if let Some((site, _)) = before.filter(|(s, _)| *s != report.site) {
            self.judge(index, &site);
        }
        self.judge(index, &report.site);
        true
    }

    fn end_if_held(&mut self, at: Index, key: &Key, by: &Peer) {
        if let Some(index) = self.leases.get(key).filter(|g| g.holder == *by).map(|g| g.index) {
            self.end(at, key, index);
        }
    }

    fn end(&mut self, at: Index, key: &Key, grant: Index) {
        if self.leases.end(key, grant) {
            if let Key::Node(name) = key {
                if let Some((site, _)) = self.plain.nodes.remove(name) {
                    self.judge(at, &site);
                }
            }
        }
    }

    fn judge(&mut self, at: Index, site: &Name) {
        let sums = self.sums(site);
        let before = self.judged(site);
        let judgement = sums.judge(&self.plain.rules, before);
        if (before == Judgement::Well) != (judgement == Judgement::Well) {
            self.plain.turned.insert(site.clone(), at);
        }
        if sums.nodes == 0 {
            // None is the same as dead, and sites without nodes take no room.
            self.plain.judged.remove(site);
            self.plain.turned.remove(site);
        } else {
            self.plain.judged.insert(site.clone(), judgement);
        }
    }

    pub(crate) fn last(&self, prefix: &str) -> Index {
        self.plain.routes.get(prefix).map(|r| r.last).unwrap_or_default()
    }

    pub(crate) fn flaps(&self, prefix: &str, site: &Name) -> u32 {
        self.plain.routes.get(prefix).and_then(|r| r.flaps.get(site)).copied().unwrap_or_default()
    }

    pub(crate) fn turned(&self, site: &Name) -> Index {
        self.plain.turned.get(site).copied().unwrap_or_default()
    }

    /// Whether a change that is allowed needs no waiting: nobody serves the address, or it loses a site that is dead or
    /// not named any more. Asked again when the entry is applied: a dead site may be back by then.
    pub(crate) fn free(&self, prefix: &str, site: &Name, up: bool) -> bool {
        let named = |s: &Name| self.plain.rules.of(prefix).is_some_and(|r| r.sites.contains(s));
        if up {
            !self.sites(prefix).any(|s| named(s) && self.judged(s) != Judgement::Dead)
        } else {
            !named(site) || self.judged(site) == Judgement::Dead
        }
    }

    /// Whether the rules that need no clock allow it: never nobody, no cascade, one owner.
    pub(crate) fn may(&self, prefix: &str, site: &Name, up: bool) -> bool {
        let Some(rule) = self.plain.rules.of(prefix) else { return false };
        let named = rule.sites.contains(site);
        let here: Vec<&Name> = self.sites(prefix).collect();
        let is = here.contains(&site);
        let judged = self.judged(site);
        if up {
            if is || !named || judged == Judgement::Dead {
                return false;
            }
            let well = judged == Judgement::Well;
            let any_well = rule.sites.iter().any(|s| self.judged(s) == Judgement::Well);
            let serves = here.iter().any(|s| self.judged(s) != Judgement::Dead);
            return match (rule.kind, here.first()) {
                // Nobody serves it: the best there is, at once.
                _ if !serves => well || !any_well,
                (Kind::Shared, _) => well,
                (Kind::Exclusive, None) => well,
                (Kind::Exclusive, Some(owner)) => {
                    !rule.sites.contains(owner)
                        || (well && self.judged(owner) == Judgement::Sick && self.bears(&[site], owner))
                }
            };
        }
        if !is {
            return false;
        }
        if !named {
            return true;
        }
        match judged {
            Judgement::Well => false,
            Judgement::Dead => true,
            Judgement::Sick if rule.kind == Kind::Exclusive => false,
            Judgement::Sick => {
                let rest: Vec<&Name> =
                    here.into_iter().filter(|s| *s != site && self.judged(s) != Judgement::Dead).collect();
                let rank = |s: &Name| (self.judged(s), self.sums(s).share(), s.clone());
                let own = rank(site);
                rest.iter().any(|s| rank(s) > own) && self.bears(&rest, site)
            }
        }
    }

    /// Whether `rest` can bear what is asked of `site`, or it serves so little that it makes no difference.
    fn bears(&self, rest: &[&Name], site: &Name) -> bool {
        let sums = self.sums(site);
        let spare = rest.iter().fold(0u64, |n, s| n.saturating_add(self.sums(s).spare()));
        spare >= sums.asked || sums.share() < self.plain.rules.floor
    }

    fn decide(&mut self, index: Index, prefix: String, site: Name, up: bool) -> Effect {
        let exclusive = self.plain.rules.of(&prefix).is_some_and(|r| r.kind == Kind::Exclusive);
        let route = self.plain.routes.entry(prefix.clone()).or_default();
        route.last = index;
        let mut lost = Vec::new();
        if up {
            if exclusive {
                lost.extend(std::mem::take(&mut route.sites));
            }
            route.sites.insert(site);
        } else {
            route.sites.remove(&site);
            lost.push(site);
        }
        let withdrawn = (!lost.is_empty()).then(|| prefix.clone());
        for site in lost {
            let flaps = route.flaps.entry(site).or_default();
            *flaps = (*flaps + 1).min(FLAPS_MAX);
        }
        Effect { withdrawn, changed: Some(prefix), ..Effect::default() }
    }
}
