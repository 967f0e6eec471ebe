//! One node's side of the protocol: it reports its health, sends route commands while it is its site's
//! speaker, and proposes lease ends and route changes while it leads.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use magpietally_consensus::{DecidedEntry, HeldLease, SnapshotError, StateMachine, Topic, DRIFT, SLACK};
use magpietally_transport::{Name, Now, Peer};

use crate::health::{NodeMetrics, SiteHealth, SiteMetrics};
use crate::route_command::RouteCommand;
use crate::rules::{AddressKind, Rules, RulesError};
use crate::state::{LeaseKey, NodeReport, ProposalBody, State, LEASE_ENDS_MAX};
use crate::timers;

/// Interval of the periodic work: a twentieth of the second within which a site has to be withdrawn.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time between two reports of a node; bounds the load that one node puts on the log.
const REPORT_SPACING: Duration = Duration::from_millis(200);
/// A proposal that has not been decided is repeated after this delay, which is several times the usual
/// decision time.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Report interval of a speaker: a lease of 5 s with a guard of 1.8 s leaves three attempts to renew.
const SPEAKER_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Report interval of the other nodes: two attempts per lease, each repeated after [`RETRY_DELAY`]. 500 nodes
/// produce 250 entries per second.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// The log is considered stalled after this time without an entry, because some node reports every
/// [`REPORT_INTERVAL`]. A lease that expires during a stall does not show that its holder failed.
const LOG_STALL_TIME: Duration = Duration::from_millis(2500);
/// Time after a stall in which every holder has had two attempts to renew its leases.
const LOG_RECOVERY_TIME: Duration = Duration::from_secs(1);
/// Number of own reports whose send time is kept; an older report renews nothing.
const SENT_REPORTS_MAX: usize = 32;
/// A stopping speaker keeps shared addresses announced for this time, so that the next speaker can take over.
const HANDOVER_TIME: Duration = Duration::from_secs(2);

/// Lease duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Counted from the time the request was sent. It has to exceed the router's hold time plus the write
    /// time, or no exclusive address is ever announced.
    pub term: Duration,
}

impl Default for LeaseSettings {
    /// 5 s: see `SPEAKER_REPORT_INTERVAL`.
    fn default() -> Self {
        Self { term: Duration::from_secs(5) }
    }
}

/// Faults injected by tests to verify that the checker detects them; programs never set one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedFault {
    /// No fault.
    #[default]
    None,
    /// Keeps announcing an exclusive address after its lease has expired.
    KeepsExpiredLease,
    /// Counts leases from the decision instead of from the request.
    CountsLeaseFromReply,
    /// Does not withdraw routes that an earlier incarnation left announced.
    SkipsStaleWithdrawal,
}

/// One node's state machine for service addresses.
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
    /// Own reports: sequence number and send time; at most [`SENT_REPORTS_MAX`].
    sent_reports: VecDeque<(u64, Duration)>,
    last_report: Option<(Duration, SiteHealth)>,
    /// The highest sequence number of an own report that was decided.
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
    /// Creates a node of `site` that starts at `now`.
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

    /// Injects a fault, for tests.
    #[doc(hidden)]
    pub fn inject_fault(&mut self, fault: InjectedFault) {
        self.fault = fault;
    }

    /// Sets the rules to propose for the whole fleet. A version that is not newer than the replicated one has
    /// no effect.
    ///
    /// # Errors
    /// The rules are invalid; the previous ones stay in effect.
    pub fn set_rules(&mut self, now: Now, version: u64, rules: Rules) -> Result<(), RulesError> {
        rules.validate()?;
        if announce_guard(&rules) >= self.settings.term {
            return Err(RulesError {
                field: "router_hold".into(),
                reason: "together with write not shorter than the lease term".into(),
            });
        }
        self.configured_rules = Some((version, rules));
        (self.rules_set_at, self.rules_proposed_at) = (now.boot, None);
        Ok(())
    }

    /// Sets the node's metrics over its current window.
    pub fn set_metrics(&mut self, metrics: NodeMetrics) {
        self.metrics = metrics;
    }

    /// The replicated state as far as this node has applied the log.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns whether this node is its site's speaker at `now`.
    pub fn is_speaker(&self, now: Now) -> bool {
        self.speaker_lease.is_some_and(|h| h.is_valid(now.boot))
    }

    /// Returns whether this node owns an exclusive address at `now`. Call it at each use with a fresh clock
    /// reading.
    pub fn is_owner(&self, now: Now, prefix: &str) -> bool {
        self.fault == InjectedFault::KeepsExpiredLease && self.owner_leases.contains_key(prefix)
            || self.owner_leases.get(prefix).is_some_and(|h| h.is_valid(now.boot))
    }

    /// Begins a planned stop of this node; see [`crate::PlannedStop`].
    pub fn begin_leave(&mut self, now: Now) {
        self.leaving_since.get_or_insert(now.boot);
    }

    /// Returns whether a planned stop has emitted its last withdrawal and the log has recorded the node's
    /// departure.
    pub fn has_left(&self) -> bool {
        let alive = self.state.holder(&LeaseKey::Node(self.me.name.clone())) == Some(&self.me);
        self.leaving_since.is_some() && self.announced.is_empty() && !alive
    }

    /// Makes the next commands cover every address; for a newly opened connection to the route daemon.
    pub fn request_full_update(&mut self) {
        self.full_update_due = true;
    }

    /// Returns the route commands to write now. Call it every `TICK_INTERVAL` with a fresh clock reading and
    /// write the commands at once. A write that takes longer than the rules' `write` has to be aborted by
    /// closing the connection.
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
        // Three refreshes within the router's hold time.
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

    /// Returns the prefixes that this node should announce at `now`, with their metric.
    fn desired_routes(&self, now: Duration) -> BTreeMap<String, u32> {
        let rules = &self.state.replicated.rules;
        let has_successor =
            self.state.holder(&LeaseKey::Speaker(self.site.clone())).is_some_and(|p| *p != self.me);
        let is_speaker = self.speaker_lease.is_some_and(|h| h.is_valid(now));
        // Losing contact with the log must not interrupt the service, so shared addresses stay announced for
        // a while.
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

    /// Returns whether this node is or should become its site's speaker: the first in order if the site has
    /// none.
    fn wants_speaker(&self) -> bool {
        match self.state.holder(&LeaseKey::Speaker(self.site.clone())) {
            Some(peer) => *peer == self.me,
            None => self.state.speaker_order(&self.site).next() == Some(&self.me.name),
        }
    }

    /// Returns the exclusive addresses that are assigned to this site and that no other node holds.
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
        // Lease terms are seconds, so the cast cannot truncate.
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

    /// Takes over the leases granted by an own report that was decided; they count from the time it was sent.
    fn report_decided(&mut self, now: Duration, seq: u64) {
        self.decided_seq = self.decided_seq.max(seq);
        let Some(&(_, sent_at)) = self.sent_reports.iter().find(|a| a.0 == seq) else { return };
        let from = if self.fault == InjectedFault::CountsLeaseFromReply { now } else { sent_at };
        let held = HeldLease::new(from, self.settings.term);
        // Only grants of this entry count: the log may have refused this report a renewal that it granted an
        // earlier one.
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

/// Converts a duration of the rules.
pub(crate) fn ms(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}

/// How long before the end of its lease an exclusive address is announced for the last time. A command may
/// take the write time to reach the router, which keeps the route for its hold time by a clock that may be
/// slower.
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
        // The send times of the restored grants may be lost, so only leases that are already held are kept.
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
            // Nodes that do not lead wait for the leader, so that not all of them propose the rules at once.
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
        // Emptied after every tick, which adds at most one proposal per address.
        self.proposals.pop_front().map(|body| body.encode())
    }
}

/// The sites listed in the rules.
pub(crate) fn listed_sites(rules: &Rules) -> BTreeSet<&Name> {
    rules.addresses.iter().flat_map(|a| a.sites.iter()).collect()
}

#[cfg(test)]
#[path = "exhaustive.rs"]
mod exhaustive;
