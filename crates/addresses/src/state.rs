//! The replicated state, derived from the log's entries alone: live nodes, speakers, owners and the sites
//! that advertise each address.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use magpietally_consensus::{DecidedEntry, Grant, Index, Leases};
use magpietally_transport::{Name, Peer};
use serde::{Deserialize, Serialize};

use crate::health::{NodeMetrics, SiteHealth, SiteMetrics};
use crate::rules::{AddressKind, Rules, ADDRESSES_MAX};

/// Maximum number of nodes: twice the size of the largest tested fleet.
const NODES_MAX: usize = 1024;
/// Reports that ask for a longer lease are ignored: a failed holder would stay undetected for more than a
/// minute.
const TERM_MAX_MS: u32 = 60_000;
/// Flaps are counted up to here: 2^16 times any hold-up time exceeds its upper bound.
const FLAPS_MAX: u32 = 16;
/// Maximum number of leases that one entry ends; a proposal has room for many times 64 of the longest keys.
pub(crate) const LEASE_ENDS_MAX: usize = 64;

/// The subject of a lease.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum LeaseKey {
    /// The node is alive.
    Node(Name),
    /// The holder is the speaker of this site.
    Speaker(Name),
    /// The holder advertises this exclusive address.
    Owner(String),
}

/// A node's periodic report, which also renews its leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Sequence number, increasing within the sender's session.
    pub seq: u64,
    /// The sender's site.
    pub site: Name,
    /// The sender's metrics.
    pub metrics: NodeMetrics,
    /// Lease duration in milliseconds, counted from the time the report was sent.
    pub term_ms: u32,
    /// Whether the sender requests or renews the role of its site's speaker.
    pub wants_speaker: bool,
    /// Exclusive addresses whose ownership the sender requests or renews.
    pub wanted_addresses: Vec<String>,
}

/// The body of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalBody {
    /// New rules with their version; ignored unless the version is newer.
    Rules(u64, Rules),
    /// A node's report.
    Report(NodeReport),
    /// The sender is stopping; it has withdrawn its routes or hands them over.
    Leave,
    /// Ends these leases, each named with the entry that granted it.
    EndLeases(Vec<(LeaseKey, Index)>),
    /// A site starts or stops advertising an address; valid only if nothing has changed the address since
    /// `last_change`.
    ChangeRoute {
        /// The address.
        prefix: String,
        /// The address's last change known to the proposer.
        last_change: Index,
        /// The site.
        site: Name,
        /// Whether the site starts advertising.
        announce: bool,
        /// The site's last change to or from healthy known to the proposer.
        last_health_change: Index,
        /// Whether all waiting times of the rules have elapsed at the proposer. If not, the change is applied
        /// only to an address that no site serves or to withdraw a site that is down or no longer listed.
        timers_elapsed: bool,
    },
    /// Decrements the flap count of a site; valid only if nothing has changed the address since
    /// `last_change`.
    ForgiveFlap {
        /// The address.
        prefix: String,
        /// The address's last change known to the proposer.
        last_change: Index,
        /// The site.
        site: Name,
    },
}

impl ProposalBody {
    pub(crate) fn encode(&self) -> Vec<u8> {
        // Serialization cannot fail: the body holds plain values and bounded lists.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        let body: Self = postcard::from_bytes(bytes).ok()?;
        let fits = match &body {
            Self::Report(r) => {
                r.wanted_addresses.len() <= ADDRESSES_MAX
                    && r.term_ms > 0
                    && r.term_ms <= TERM_MAX_MS
                    && r.seq > 0
            }
            Self::EndLeases(leases) => leases.len() <= LEASE_ENDS_MAX,
            Self::Rules(_, rules) => rules.validate().is_ok(),
            _ => true,
        };
        fits.then_some(body)
    }
}

/// The sites that advertise one address, and their flaps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AddressState {
    pub sites: BTreeSet<Name>,
    /// The entry that last changed the address.
    pub last_change: Index,
    /// Withdrawals not yet forgiven, by site.
    pub flaps: BTreeMap<Name, u32>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReplicatedState {
    pub version: u64,
    pub rules: Rules,
    pub nodes: BTreeMap<Name, (Name, NodeMetrics)>,
    pub health: BTreeMap<Name, SiteHealth>,
    /// The entry at which a site last changed to or from healthy.
    pub health_changed_at: BTreeMap<Name, Index>,
    pub routes: BTreeMap<String, AddressState>,
}

/// The state after some entry, identical on every node except for the local times at which this node learned
/// of the grants, which [`Leases`] keeps beside them.
#[derive(Clone, Debug, Default)]
pub struct State {
    pub(crate) replicated: ReplicatedState,
    pub(crate) leases: Leases<LeaseKey>,
}

/// Effects of an entry from which a node starts its timers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Effect {
    /// The address that lost a site.
    pub withdrawn: Option<String>,
    /// The address that changed.
    pub changed: Option<String>,
    /// The sequence number of the report that was accepted.
    pub report: Option<u64>,
    /// Whether the rules changed.
    pub rules_changed: bool,
}

impl State {
    /// Encodes the state as a snapshot.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(&(&self.replicated, self.leases.grants())).unwrap_or_default()
    }

    /// Decodes a snapshot; its leases count as learned at `now`.
    pub(crate) fn decode(bytes: &[u8], now: Duration) -> Result<Self, String> {
        let (replicated, grants): (ReplicatedState, BTreeMap<LeaseKey, Grant>) =
            postcard::from_bytes(bytes).map_err(|e| e.to_string())?;
        replicated.rules.validate().map_err(|e| e.to_string())?;
        Ok(Self { replicated, leases: Leases::restored(grants, now) })
    }

    /// The rules and their version.
    pub fn rules(&self) -> (u64, &Rules) {
        (self.replicated.version, &self.replicated.rules)
    }

    /// The holder of a lease.
    pub fn holder(&self, key: &LeaseKey) -> Option<&Peer> {
        self.leases.get(key).map(|g| &g.holder)
    }

    /// The sites that advertise an address.
    pub fn sites(&self, prefix: &str) -> impl Iterator<Item = &Name> {
        self.replicated.routes.get(prefix).into_iter().flat_map(|r| r.sites.iter())
    }

    /// The health of a site.
    pub fn health(&self, site: &Name) -> SiteHealth {
        self.replicated.health.get(site).copied().unwrap_or_default()
    }

    /// The metrics summed over a site's live nodes.
    pub fn site_metrics(&self, site: &Name) -> SiteMetrics {
        let mut metrics = SiteMetrics::default();
        self.replicated.nodes.values().filter(|(s, _)| s == site).for_each(|(_, f)| metrics.add(f));
        metrics
    }

    /// The live nodes of a site in the order in which they become its speaker.
    pub fn speaker_order<'a>(&'a self, site: &'a Name) -> impl Iterator<Item = &'a Name> {
        self.replicated.nodes.iter().filter(move |(_, (s, _))| s == site).map(|(n, _)| n)
    }

    pub(crate) fn apply(&mut self, now: Duration, decided: &DecidedEntry) -> Effect {
        let Some(body) = ProposalBody::decode(&decided.proposal.body) else { return Effect::default() };
        let proposer = &decided.proposal.proposer;
        let mut effect = Effect::default();
        match body {
            ProposalBody::Rules(version, rules) => {
                if version > self.replicated.version {
                    (self.replicated.version, self.replicated.rules) = (version, rules);
                    let rules = &self.replicated.rules;
                    self.replicated.routes.retain(|prefix, _| rules.address(prefix).is_some());
                    let sites: Vec<Name> = self.replicated.health.keys().cloned().collect();
                    sites.iter().for_each(|site| self.update_health(decided.index, site));
                    effect.rules_changed = true;
                }
            }
            ProposalBody::Report(report) => {
                let seq = report.seq;
                effect.report = self.apply_report(now, decided.index, proposer, report).then_some(seq);
            }
            ProposalBody::Leave => {
                // Owner leases are left to expire: the router may still have unread commands of this node.
                let site = self.replicated.nodes.get(&proposer.name).map(|(s, _)| s.clone());
                self.end_lease_held_by(decided.index, &LeaseKey::Node(proposer.name.clone()), proposer);
                if let Some(site) = site {
                    self.end_lease_held_by(decided.index, &LeaseKey::Speaker(site), proposer);
                }
            }
            ProposalBody::EndLeases(leases) => {
                leases.iter().for_each(|(key, grant)| self.end_lease(decided.index, key, *grant))
            }
            ProposalBody::ChangeRoute {
                prefix,
                last_change,
                site,
                announce,
                last_health_change,
                timers_elapsed,
            } => {
                let is_current = self.last_change(&prefix) == last_change
                    && self.last_health_change(&site) == last_health_change;
                if is_current
                    && self.is_allowed(&prefix, &site, announce)
                    && (timers_elapsed || self.needs_no_wait(&prefix, &site, announce))
                {
                    effect = self.change_route(decided.index, prefix, site, announce);
                }
            }
            ProposalBody::ForgiveFlap { prefix, last_change, site } => {
                if let Some(route) =
                    self.replicated.routes.get_mut(&prefix).filter(|r| r.last_change == last_change)
                {
                    if let Some(flaps) = route.flaps.get_mut(&site) {
                        *flaps -= 1;
                        if *flaps == 0 {
                            route.flaps.remove(&site);
                        }
                        route.last_change = decided.index;
                        effect.changed = Some(prefix);
                    }
                }
            }
        }
        effect
    }

    fn apply_report(&mut self, now: Duration, index: Index, proposer: &Peer, report: NodeReport) -> bool {
        let node_key = LeaseKey::Node(proposer.name.clone());
        match self.leases.get(&node_key) {
            // Reports of an earlier session of the node are ignored.
            Some(g) if g.holder.session > proposer.session => return false,
            None if self.replicated.nodes.len() >= NODES_MAX => return false,
            _ => {}
        }
        let grant = Grant { holder: proposer.clone(), index, term_ms: report.term_ms };
        self.leases.grant(now, node_key, grant.clone());
        let is_available =
            |leases: &Leases<LeaseKey>, key: &LeaseKey| leases.get(key).is_none_or(|g| g.holder == *proposer);
        let speaker_key = LeaseKey::Speaker(report.site.clone());
        if report.wants_speaker && is_available(&self.leases, &speaker_key) {
            self.leases.grant(now, speaker_key, grant.clone());
            for prefix in report.wanted_addresses {
                let allowed = self
                    .replicated
                    .rules
                    .address(&prefix)
                    .is_some_and(|r| r.kind == AddressKind::Exclusive)
                    && self.replicated.routes.get(&prefix).is_some_and(|r| r.sites.contains(&report.site));
                let owner_key = LeaseKey::Owner(prefix);
                if allowed && is_available(&self.leases, &owner_key) {
                    self.leases.grant(now, owner_key, grant.clone());
                }
            }
        }
        let previous =
            self.replicated.nodes.insert(proposer.name.clone(), (report.site.clone(), report.metrics));
        if let Some((site, _)) = previous.filter(|(s, _)| *s != report.site) {
            self.update_health(index, &site);
        }
        self.update_health(index, &report.site);
        true
    }

    fn end_lease_held_by(&mut self, at: Index, key: &LeaseKey, proposer: &Peer) {
        if let Some(index) = self.leases.get(key).filter(|g| g.holder == *proposer).map(|g| g.index) {
            self.end_lease(at, key, index);
        }
    }

    fn end_lease(&mut self, at: Index, key: &LeaseKey, grant: Index) {
        if self.leases.end(key, grant) {
            if let LeaseKey::Node(name) = key {
                if let Some((site, _)) = self.replicated.nodes.remove(name) {
                    self.update_health(at, &site);
                }
            }
        }
    }

    fn update_health(&mut self, at: Index, site: &Name) {
        let metrics = self.site_metrics(site);
        let previous = self.health(site);
        let health = metrics.evaluate(&self.replicated.rules, previous);
        if (previous == SiteHealth::Healthy) != (health == SiteHealth::Healthy) {
            self.replicated.health_changed_at.insert(site.clone(), at);
        }
        if metrics.nodes == 0 {
            // A missing entry means down, so sites without nodes need no entry.
            self.replicated.health.remove(site);
            self.replicated.health_changed_at.remove(site);
        } else {
            self.replicated.health.insert(site.clone(), health);
        }
    }

    pub(crate) fn last_change(&self, prefix: &str) -> Index {
        self.replicated.routes.get(prefix).map(|r| r.last_change).unwrap_or_default()
    }

    pub(crate) fn flaps(&self, prefix: &str, site: &Name) -> u32 {
        self.replicated.routes.get(prefix).and_then(|r| r.flaps.get(site)).copied().unwrap_or_default()
    }

    pub(crate) fn last_health_change(&self, site: &Name) -> Index {
        self.replicated.health_changed_at.get(site).copied().unwrap_or_default()
    }

    /// Returns whether an allowed change needs no waiting time: no site serves the address, or the withdrawn
    /// site is down or no longer listed. Checked again when the entry is applied, because the site may have
    /// recovered by then.
    pub(crate) fn needs_no_wait(&self, prefix: &str, site: &Name, announce: bool) -> bool {
        let listed = |s: &Name| self.replicated.rules.address(prefix).is_some_and(|r| r.sites.contains(s));
        if announce {
            !self.sites(prefix).any(|s| listed(s) && self.health(s) != SiteHealth::Down)
        } else {
            !listed(site) || self.health(site) == SiteHealth::Down
        }
    }

    /// Returns whether the rules that need no clock allow the change: some site always serves the address, a
    /// withdrawal does not overload the remaining sites, and an exclusive address has one owner.
    pub(crate) fn is_allowed(&self, prefix: &str, site: &Name, announce: bool) -> bool {
        let Some(rule) = self.replicated.rules.address(prefix) else { return false };
        let listed = rule.sites.contains(site);
        let current: Vec<&Name> = self.sites(prefix).collect();
        let announced = current.contains(&site);
        let health = self.health(site);
        if announce {
            if announced || !listed || health == SiteHealth::Down {
                return false;
            }
            let healthy = health == SiteHealth::Healthy;
            let any_healthy = rule.sites.iter().any(|s| self.health(s) == SiteHealth::Healthy);
            let served = current.iter().any(|s| self.health(s) != SiteHealth::Down);
            return match (rule.kind, current.first()) {
                // No site serves the address: a healthy site may start, or any site if none is healthy.
                _ if !served => healthy || !any_healthy,
                (AddressKind::Shared, _) => healthy,
                (AddressKind::Exclusive, None) => healthy,
                (AddressKind::Exclusive, Some(owner)) => {
                    !rule.sites.contains(owner)
                        || (healthy
                            && self.health(owner) == SiteHealth::Degraded
                            && self.can_absorb(&[site], owner))
                }
            };
        }
        if !announced {
            return false;
        }
        if !listed {
            return true;
        }
        match health {
            SiteHealth::Healthy => false,
            SiteHealth::Down => true,
            SiteHealth::Degraded if rule.kind == AddressKind::Exclusive => false,
            SiteHealth::Degraded => {
                let rest: Vec<&Name> = current
                    .into_iter()
                    .filter(|s| *s != site && self.health(s) != SiteHealth::Down)
                    .collect();
                let rank = |s: &Name| (self.health(s), self.site_metrics(s).answered_permille(), s.clone());
                let own_rank = rank(site);
                rest.iter().any(|s| rank(s) > own_rank) && self.can_absorb(&rest, site)
            }
        }
    }

    /// Returns whether the sites `rest` have spare capacity for the load of `site`, or `site` answers less
    /// than `floor`, so that keeping it makes no difference.
    fn can_absorb(&self, rest: &[&Name], site: &Name) -> bool {
        let metrics = self.site_metrics(site);
        let spare = rest.iter().fold(0u64, |n, s| n.saturating_add(self.site_metrics(s).spare_capacity()));
        spare >= metrics.requested_worth || metrics.answered_permille() < self.replicated.rules.floor
    }

    fn change_route(&mut self, index: Index, prefix: String, site: Name, announce: bool) -> Effect {
        let exclusive =
            self.replicated.rules.address(&prefix).is_some_and(|r| r.kind == AddressKind::Exclusive);
        let route = self.replicated.routes.entry(prefix.clone()).or_default();
        route.last_change = index;
        let mut withdrawn_sites = Vec::new();
        if announce {
            if exclusive {
                withdrawn_sites.extend(std::mem::take(&mut route.sites));
            }
            route.sites.insert(site);
        } else {
            route.sites.remove(&site);
            withdrawn_sites.push(site);
        }
        let withdrawn = (!withdrawn_sites.is_empty()).then(|| prefix.clone());
        for site in withdrawn_sites {
            let flaps = route.flaps.entry(site).or_default();
            *flaps = (*flaps + 1).min(FLAPS_MAX);
        }
        Effect { withdrawn, changed: Some(prefix), ..Effect::default() }
    }
}
