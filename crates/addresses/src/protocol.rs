//! One node's part of the room: reports, speaks if it is its site's speaker, and does the fleet's chores if it leads.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use magpietally_consensus::{DecidedEntry, HeldLease, SnapshotError, StateMachine, Topic, DRIFT, SLACK};
use magpietally_transport::{Name, Now, Peer};

use crate::health::{NodeMetrics, SiteHealth, SiteMetrics};
use crate::route_command::RouteCommand;
use crate::rules::{AddressKind, Rules, RulesError};
use crate::state::{LeaseKey, NodeReport, ProposalBody, State, LEASE_ENDS_MAX};
use crate::timers;

/// What is due is looked for so often: a twentieth of the second in which a site has to be withdrawn.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Two reports of a node lie at least so far apart: it bounds what one node costs the log.
const REPORT_SPACING: Duration = Duration::from_millis(200);
/// A report or a chore that was not seen decided is said anew after this long: several times what deciding takes.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// A speaker reports so often: with a term of 5 s and a guard of 1.8 s it has three tries.
const SPEAKER_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Others: two tries, each said again after [`RETRY_DELAY`]; 250 entries a second at 500 nodes.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// No entry for so long means that the log stood still (somebody reports every [`REPORT_INTERVAL`]); leases that lapsed meanwhile
/// say nothing of their holders.
const LOG_STALL_TIME: Duration = Duration::from_millis(2500);
/// And so long after it moves again they have had two tries to renew.
const LOG_RECOVERY_TIME: Duration = Duration::from_secs(1);
/// Own reports remembered with the time of their asking; an older one renews nothing.
const SENT_REPORTS_MAX: usize = 32;
/// A stopping speaker leaves shared addresses up so long for the next one to take over.
const HANDOVER_TIME: Duration = Duration::from_secs(2);

/// How long leases last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// From the asking on. It has to be longer than the router's hold and the write together, or no exclusive address is
    /// ever announced.
    pub term: Duration,
}

impl Default for LeaseSettings {
    /// 5 s: see `SPEAKER_REPORT_INTERVAL`.
    fn default() -> Self {
        Self { term: Duration::from_secs(5) }
    }
}

/// Faults planted for tests, to see that checkers catch them. Never set by a program.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedFault {
    /// None.
    #[default]
    None,
    /// Keeps an exclusive address after its lease.
    KeepsExpiredLease,
    /// Counts leases from the answer instead of from the asking.
    CountsLeaseFromReply,
    /// Says nothing of what an earlier start left announced.
    SkipsStaleWithdrawal,
}

/// One node's part.
#[derive(Clone)]
pub struct Addresses {
    me: Peer,
    site: Name,
    settings: LeaseSettings,
    fault: InjectedFault,
    pub(crate) state: State,
    configured_rules: Option<(u64, Rules)>,
    rules_set_at: Duration,
    rules_proposed_at: Option<Duration>,
    metrics: NodeMetrics,
    seq: u64,
    /// Own reports: number and when asked; at most [`SENT_REPORTS_MAX`].
    sent_reports: VecDeque<(u64, Duration)>,
    last_report: Option<(Duration, SiteHealth)>,
    /// The last report's number that was seen decided.
    decided_seq: u64,
    speaker_lease: Option<HeldLease>,
    owner_leases: BTreeMap<String, HeldLease>,
    announced: BTreeMap<String, u32>,
    refreshed_at: Duration,
    full_update_due: bool,
    leaving_since: Option<Duration>,
    leave_proposed_at: Option<Duration>,
    last_entry_at: Duration,
    log_resumed_at: Duration,
    ends_proposed_at: Option<Duration>,
    pub(crate) timers: timers::Timers,
    next_tick: Duration,
    proposals: VecDeque<ProposalBody>,
}

impl Addresses {
    /// A node of `site`, started at `now`.
    pub fn new(me: Peer, site: Name, settings: LeaseSettings, now: Now) -> Self {
        Self {
            me,
            site,
            settings,
            fault: InjectedFault::None,
            state: State::default(),
            configured_rules: None,
            rules_set_at: now.boot,
            rules_proposed_at: None,
            metrics: NodeMetrics::default(),
            seq: 0,
            sent_reports: VecDeque::new(),
            last_report: None,
            decided_seq: 0,
            speaker_lease: None,
            owner_leases: BTreeMap::new(),
            announced: BTreeMap::new(),
            refreshed_at: now.boot,
            full_update_due: true,
            leaving_since: None,
            leave_proposed_at: None,
            last_entry_at: now.boot,
            log_resumed_at: now.boot,
            ends_proposed_at: None,
            timers: timers::Timers::default(),
            next_tick: now.boot,
            proposals: VecDeque::new(),
        }
    }

    /// Plants a fault, for tests.
    #[doc(hidden)]
    pub fn inject_fault(&mut self, fault: InjectedFault) {
        self.fault = fault;
    }

    /// Rules of a version, to hold in the whole fleet. An older version than the log's changes nothing.
    ///
    /// # Errors
    /// Rules that can't be followed; those before stay.
    pub fn set_rules(&mut self, now: Now, version: u64, rules: Rules) -> Result<(), RulesError> {
        rules.validate()?;
        if announce_guard(&rules) >= self.settings.term {
            return Err(RulesError {
                field: "router_hold".into(),
                reason: "with write not under the lease's term".into(),
            });
        }
        self.configured_rules = Some((version, rules));
        (self.rules_set_at, self.rules_proposed_at) = (now.boot, None);
        Ok(())
    }

    /// What this node saw in its window.
    pub fn set_metrics(&mut self, metrics: NodeMetrics) {
        self.metrics = metrics;
    }

    /// The log's state as far as this node has learnt it.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Whether this node speaks for its site at `now`.
    pub fn is_speaker(&self, now: Now) -> bool {
        self.speaker_lease.is_some_and(|h| h.is_valid(now.boot))
    }

    /// Whether this node holds an exclusive address at `now`: asked at each use, with a fresh clock.
    pub fn is_owner(&self, now: Now, prefix: &str) -> bool {
        self.fault == InjectedFault::KeepsExpiredLease && self.owner_leases.contains_key(prefix)
            || self.owner_leases.get(prefix).is_some_and(|h| h.is_valid(now.boot))
    }

    /// A planned stop of this node begins: see [`crate::PlannedStop`].
    pub fn begin_leave(&mut self, now: Now) {
        self.leaving_since.get_or_insert(now.boot);
    }

    /// Whether a planned stop has handed out its last withdrawal, and the log knows of it.
    pub fn has_left(&self) -> bool {
        let alive = self.state.holder(&LeaseKey::Node(self.me.name.clone())) == Some(&self.me);
        self.leaving_since.is_some() && self.announced.is_empty() && !alive
    }

    /// The whole state is to be said anew: the carrier's end was opened again.
    pub fn request_full_update(&mut self) {
        self.full_update_due = true;
    }

    /// The lines to be written now. The carrier calls it every `TICK_INTERVAL` with a clock just read and writes the lines at once;
    /// a write that takes longer than the rules' `write` is given up by closing the end.
    pub fn take_commands(&mut self, now: Now) -> Vec<RouteCommand> {
        let now = now.boot;
        let desired = self.desired_routes(now);
        let mut commands = Vec::new();
        if self.full_update_due && self.state.replicated.version > 0 {
            self.full_update_due = false;
            let stale =
                self.state.replicated.rules.addresses.iter().filter(|a| !desired.contains_key(&a.prefix));
            if self.fault != InjectedFault::SkipsStaleWithdrawal {
                commands.extend(stale.map(|a| RouteCommand::Withdraw { prefix: a.prefix.clone() }));
            }
            self.announced.retain(|prefix, _| self.state.replicated.rules.address(prefix).is_none());
        }
        let withdrawn = self.announced.keys().filter(|p| !desired.contains_key(*p));
        commands.extend(withdrawn.map(|p| RouteCommand::Withdraw { prefix: p.clone() }));
        // Three tries within the router's hold time.
        let refresh_interval = ms(self.state.replicated.rules.router_hold) / 3;
        let refresh_all = now >= self.refreshed_at + refresh_interval;
        if refresh_all {
            self.refreshed_at = now;
        }
        for (prefix, med) in &desired {
            if refresh_all || self.announced.get(prefix) != Some(med) {
                commands.push(RouteCommand::Announce { prefix: prefix.clone(), med: *med });
            }
        }
        self.announced = desired;
        commands
    }

    /// What this node is to have announced at `now`, with the metric.
    fn desired_routes(&self, now: Duration) -> BTreeMap<String, u32> {
        let rules = &self.state.replicated.rules;
        let has_successor =
            self.state.holder(&LeaseKey::Speaker(self.site.clone())).is_some_and(|p| *p != self.me);
        let is_speaker = self.speaker_lease.is_some_and(|h| h.is_valid(now));
        // Without the log nothing can be decided; a lost log must not be lost service.
        let keeps_shared = self.speaker_lease.is_some_and(|h| now < h.expires_at() + ms(rules.keep_shared))
            && self.own_health() != SiteHealth::Down;
        let is_handing_over = |since: Duration| {
            now < since + HANDOVER_TIME && self.state.speaker_order(&self.site).any(|n| *n != self.me.name)
        };
        let shared =
            !has_successor && (is_speaker || keeps_shared) && self.leaving_since.is_none_or(is_handing_over);
        let exclusive = is_speaker && self.leaving_since.is_none();
        let guarded_until = now + announce_guard(rules);
        rules
            .addresses
            .iter()
            .filter(|a| self.state.sites(&a.prefix).any(|s| *s == self.site))
            .filter(|a| match a.kind {
                AddressKind::Shared => shared,
                AddressKind::Exclusive if self.fault == InjectedFault::KeepsExpiredLease => {
                    self.owner_leases.contains_key(&a.prefix)
                }
                AddressKind::Exclusive => {
                    exclusive && self.owner_leases.get(&a.prefix).is_some_and(|h| h.is_valid(guarded_until))
                }
            })
            .map(|a| (a.prefix.clone(), a.med))
            .collect()
    }

    fn own_health(&self) -> SiteHealth {
        let mut metrics = SiteMetrics::default();
        metrics.add(&self.metrics);
        metrics.evaluate(&self.state.replicated.rules, SiteHealth::Degraded)
    }

    /// Whether this node is or should be its site's speaker: the first in order when nobody is.
    fn wants_speaker(&self) -> bool {
        match self.state.holder(&LeaseKey::Speaker(self.site.clone())) {
            Some(peer) => *peer == self.me,
            None => self.state.speaker_order(&self.site).next() == Some(&self.me.name),
        }
    }

    /// Exclusive addresses that its site was chosen for and nobody else holds yet.
    fn wanted_addresses(&self) -> Vec<String> {
        let rules = &self.state.replicated.rules;
        let assigned = rules.addresses.iter().filter(|a| {
            a.kind == AddressKind::Exclusive
                && self.state.sites(&a.prefix).any(|s| *s == self.site)
                && self.state.holder(&LeaseKey::Owner(a.prefix.clone())).is_none_or(|p| *p == self.me)
        });
        assigned.map(|a| a.prefix.clone()).collect()
    }

    fn propose_report(&mut self, now: Duration) {
        let wants_speaker = self.wants_speaker();
        let wanted_addresses = if wants_speaker { self.wanted_addresses() } else { Vec::new() };
        let health = self.own_health();
        if let Some((last, reported_health)) = self.last_report {
            let lacks_lease = wants_speaker && !self.speaker_lease.is_some_and(|h| h.is_valid(now))
                || wanted_addresses
                    .iter()
                    .any(|p| !self.owner_leases.get(p).is_some_and(|h| h.is_valid(now)));
            let interval = if wants_speaker { SPEAKER_REPORT_INTERVAL } else { REPORT_INTERVAL };
            let wait = if lacks_lease || reported_health != health {
                REPORT_SPACING
            } else if self.decided_seq < self.seq {
                RETRY_DELAY
            } else {
                interval
            };
            if now < last + wait {
                return;
            }
        }
        self.seq += 1;
        self.last_report = Some((now, health));
        if self.sent_reports.len() >= SENT_REPORTS_MAX {
            self.sent_reports.pop_front();
        }
        self.sent_reports.push_back((self.seq, now));
        // Terms are seconds.
        let term_ms = self.settings.term.as_millis() as u32;
        let (seq, site, metrics) = (self.seq, self.site.clone(), self.metrics);
        self.proposals.push_back(ProposalBody::Report(NodeReport {
            seq,
            site,
            metrics,
            term_ms,
            wants_speaker,
            wanted_addresses,
        }));
    }

    /// An own report was decided: what the log granted by it counts from its asking.
    fn report_decided(&mut self, now: Duration, seq: u64) {
        self.decided_seq = self.decided_seq.max(seq);
        let Some(&(_, sent_at)) = self.sent_reports.iter().find(|a| a.0 == seq) else { return };
        let from = if self.fault == InjectedFault::CountsLeaseFromReply { now } else { sent_at };
        let held = HeldLease::new(from, self.settings.term);
        // Only grants of this very entry: a report may have been refused a renewal that an earlier one got.
        let Some(index) = self.state.leases.get(&LeaseKey::Node(self.me.name.clone())).map(|g| g.index)
        else {
            return;
        };
        let speaker_key = LeaseKey::Speaker(self.site.clone());
        if self.state.leases.get(&speaker_key).is_some_and(|g| g.holder == self.me && g.index == index) {
            if !self.speaker_lease.is_some_and(|h| h.is_valid(now)) {
                self.full_update_due = true;
            }
            self.speaker_lease = Some(self.speaker_lease.map_or(held, |h| h.or_later(held)));
        }
        for (key, grant) in self.state.leases.grants() {
            if let LeaseKey::Owner(prefix) = key {
                if grant.holder == self.me && grant.index == index {
                    let held = self.owner_leases.get(prefix).map_or(held, |h| h.or_later(held));
                    self.owner_leases.insert(prefix.clone(), held);
                }
            }
        }
    }

    fn leader_tasks(&mut self, now: Duration) {
        let log_stalled =
            now > self.last_entry_at + LOG_STALL_TIME || now < self.log_resumed_at + LOG_RECOVERY_TIME;
        if !log_stalled && self.ends_proposed_at.is_none_or(|at| now >= at + RETRY_DELAY) {
            let expired: Vec<_> = self
                .state
                .leases
                .expired(now)
                .take(LEASE_ENDS_MAX)
                .map(|(k, g)| (k.clone(), g.index))
                .collect();
            if !expired.is_empty() {
                self.ends_proposed_at = Some(now);
                self.proposals.push_back(ProposalBody::EndLeases(expired));
            }
        }
        if self.state.replicated.version > 0 {
            self.proposals.extend(self.timers.proposals(now, &self.state));
        }
    }
}

/// A time of the rules.
pub(crate) fn ms(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}

/// How long before its lease ends an exclusive address is last announced: the line may take the write's time to reach the
/// router, which then holds it for its hold time by a clock that may be slower.
fn announce_guard(rules: &Rules) -> Duration {
    (ms(rules.router_hold) + ms(rules.write)).mul_f64(1.0 + DRIFT) + SLACK
}

impl StateMachine for Addresses {
    fn topic(&self) -> Topic {
        Topic::Addresses
    }

    fn apply(&mut self, now: Now, decided: &DecidedEntry) {
        let now = now.boot;
        if now > self.last_entry_at + LOG_STALL_TIME {
            self.log_resumed_at = now;
        }
        self.last_entry_at = now;
        let effect = self.state.apply(now, decided);
        if let Some(seq) = effect.report.filter(|_| decided.proposal.proposer == self.me) {
            self.report_decided(now, seq);
        }
        if self.fault != InjectedFault::KeepsExpiredLease {
            let (state, me) = (&self.state, &self.me);
            self.owner_leases.retain(|p, _| state.holder(&LeaseKey::Owner(p.clone())) == Some(me));
        }
        self.timers.entry_applied(now, &self.state, &effect);
    }

    fn snapshot(&self) -> Vec<u8> {
        self.state.encode()
    }

    fn restore(&mut self, now: Now, snapshot: &[u8]) -> Result<(), SnapshotError> {
        self.state = State::decode(snapshot, now.boot).map_err(SnapshotError)?;
        // Grants that came with it were asked for at times that may be forgotten: only what is held is kept.
        let (state, me) = (&self.state, &self.me);
        self.owner_leases.retain(|p, _| state.holder(&LeaseKey::Owner(p.clone())) == Some(me));
        (self.last_entry_at, self.log_resumed_at) = (now.boot, now.boot);
        self.timers = timers::Timers::restored(now.boot, &self.state);
        Ok(())
    }

    fn tick(&mut self, now: Now, leading: bool) {
        let now = now.boot;
        self.next_tick = now + TICK_INTERVAL;
        if let Some(since) = self.leaving_since {
            let is_last_node = self.state.speaker_order(&self.site).all(|n| *n == self.me.name);
            let ready = !is_last_node || self.announced.is_empty();
            let recently_proposed = self.leave_proposed_at.is_some_and(|at| now < at + RETRY_DELAY);
            if ready && !recently_proposed && !self.has_left() && now >= since {
                self.leave_proposed_at = Some(now);
                self.proposals.push_back(ProposalBody::Leave);
            }
        } else {
            self.propose_report(now);
        }
        if let Some((version, rules)) = &self.configured_rules {
            // Who doesn't lead waits for who does, lest all say it at once.
            let may_propose = leading || now >= self.rules_set_at + LOG_RECOVERY_TIME;
            if *version > self.state.replicated.version
                && may_propose
                && self.rules_proposed_at.is_none_or(|at| now >= at + RETRY_DELAY)
            {
                self.rules_proposed_at = Some(now);
                self.proposals.push_back(ProposalBody::Rules(*version, rules.clone()));
            }
        }
        if leading {
            self.leader_tasks(now);
        }
    }

    fn next_due(&self) -> Option<Duration> {
        Some(self.next_tick)
    }

    fn take_proposal(&mut self) -> Option<Vec<u8>> {
        // Emptied after every tick, which adds one an address at most.
        self.proposals.pop_front().map(|body| body.encode())
    }
}

/// The sites that rules name.
pub(crate) fn listed_sites(rules: &Rules) -> BTreeSet<&Name> {
    rules.addresses.iter().flat_map(|a| a.sites.iter()).collect()
}

#[cfg(test)]
#[path = "exhaustive.rs"]
mod exhaustive;
