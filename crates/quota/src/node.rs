//! The quota state machine of one node: decides requests locally and reports demand to the log.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use magpietally_consensus::{DecidedEntry, HeldLease, SnapshotError, StateMachine, Topic};
use magpietally_transport::{Now, Peer};

use crate::bucket::{LeaseExpiry, TokenBucket};
use crate::division::{Share, WHOLE_PPM};
use crate::policy::{CompiledPolicy, Policy, PolicyError};
use crate::proposal::{DailyCountReport, PoolReport, ProposalBody, Report, DAYS_MAX, ITEMS_MAX};
use crate::recent_keys::RecentKeys;
use crate::state::{State, TERM_MAX_MS};
use crate::window::{DemandWindow, SLOT};

/// Minimum time between two reports of a node. It bounds the log entries that one node causes, and it is an
/// eighth of the two seconds within which shares must follow demand that moves to another node.
const REPORT_INTERVAL_MIN: Duration = Duration::from_millis(250);
/// Delay before a report that was not seen decided is replaced by a new one: several times the time that
/// deciding takes.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// How often the leader proposes to end expired leases; repeating the proposal covers lost entries.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of own reports whose proposal time is remembered. A report older than these renews no
/// lease.
const REPORT_TIMES_MAX: usize = 16;
/// Time after which an unused share is returned even if no other node needs it. Unused daily tokens are
/// returned too.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Retry delay for a request that this node has no share for. By then the node has reported its demand and
/// received a share, if the log can be reached.
const NO_SHARE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Milliseconds per day of the log's clock.
const DAY_MS: u64 = 86_400_000;

/// Terms of the leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Term of the demand shares, counted from the report that renews them. The shares of a node that died
    /// are unavailable for as long.
    pub demand_term: Duration,
    /// Term of the reserve share, counted from the node's last report. It is how long a node that is cut off
    /// can still serve.
    pub reserve_term: Duration,
}

impl Default for LeaseSettings {
    /// 6 s for demand shares, renewed every 2 s: that allows three tries and costs at most 250 log entries
    /// per second with 500 nodes. 120 s for the reserve.
    fn default() -> Self {
        Self { demand_term: Duration::from_secs(6), reserve_term: Duration::from_secs(120) }
    }
}

/// Reason for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The bucket holds fewer tokens than the request costs. It will hold enough after the returned time if
    /// no other request takes them and the lease lasts.
    RateExceeded,
    /// This node has no share that is large enough and requests one. The returned time is an estimate.
    NoShare,
    /// This node holds none of the daily count, but the log may have some left. The returned time is an
    /// estimate.
    NoDailyShare,
    /// The daily count is used up or leased to other nodes. The returned time is the rest of the day by the
    /// log's clock.
    DailyLimit,
}

/// Whether a request may be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpendDecision {
    /// The tenant has no quota.
    Unlimited,
    /// Admitted; its cost was taken from the bucket.
    Admitted,
    /// A repeat of a request that was admitted and paid for at this node. It costs nothing.
    Repeat,
    /// Refused; the response is a 429.
    Refused {
        /// Delay before the client should retry; the HTTP layer rounds it up to whole seconds.
        retry_after: Duration,
        /// Reason for the refusal.
        reason: RefusalReason,
    },
}

/// A decision and the values it was based on, for the records of the checker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpendResult {
    /// The decision.
    pub decision: SpendDecision,
    /// Cost of the request in tokens.
    pub cost: u64,
    /// Whether the cost was taken from the pool reserved for the request's class.
    pub from_class_quota: bool,
    /// The day whose count the request was taken from, in days since 1970.
    pub day: Option<u32>,
    /// This node's rate in the last pool that was tried, in thousandths of a token per second.
    pub rate_milli: u64,
    /// Changes whenever the rate or the cap of this node's bucket is reduced.
    pub reductions: u32,
}

struct LocalPool {
    bucket: TokenBucket,
    window: DemandWindow,
    /// Time of the last request.
    last_used: Option<Duration>,
}

#[derive(Clone, Copy, Default)]
struct DailyTokens {
    tokens: u32,
    /// Tokens to report as returned.
    returned: u32,
    window: DemandWindow,
}

/// The quota state machine of one node.
pub struct Quota {
    me: Peer,
    settings: LeaseSettings,
    state: State,
    policy: CompiledPolicy,
    pools: Vec<LocalPool>,
    pool_positions: HashMap<u32, usize>,
    daily_tokens: Vec<DailyTokens>,
    day: u32,
    /// Pools of an older policy of which this node may still hold a share.
    retired_pools: Vec<u32>,
    /// Pool id to (limit, seq): this node uses at most `limit` of its share until a report numbered `seq` or
    /// higher is decided.
    share_limits: HashMap<u32, (u32, u32)>,
    own_reserve_limit: (u32, u32),
    report_times: VecDeque<(u32, Duration)>,
    /// Time of the last report.
    last_report: Option<Duration>,
    seq: u32,
    decided_seq: u32,
    expiry: LeaseExpiry,
    recent_keys: RecentKeys,
    /// When the log's timestamp last advanced; used to compute the rest of the day.
    stamp_updated_at: Duration,
    next_expiry_check: Duration,
    next_tick: Duration,
    proposals: VecDeque<Vec<u8>>,
    #[cfg(any(test, feature = "planted"))]
    pub(crate) injected: Option<InjectedFault>,
}

/// Faults that the checker must detect.
#[cfg(any(test, feature = "planted"))]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InjectedFault {
    SpendsAfterLease,
    ForgetsSpent,
    LevelMovesWithShare,
    UsesGrantTwice,
}

impl Quota {
    /// Creates the state machine of a node at its start, without any share.
    pub fn new(me: Peer, settings: LeaseSettings, now: Now) -> Self {
        // The log rejects longer terms, and the reserve lease must not end before the demand lease.
        let max_term = Duration::from_millis(u64::from(TERM_MAX_MS));
        let (demand_term, reserve_term) =
            (settings.demand_term.min(max_term), settings.reserve_term.min(max_term));
        let settings = LeaseSettings { demand_term, reserve_term: reserve_term.max(demand_term) };
        Self {
            me,
            settings,
            state: State::default(),
            policy: CompiledPolicy::default(),
            pools: Vec::new(),
            pool_positions: HashMap::new(),
            daily_tokens: Vec::new(),
            day: 0,
            retired_pools: Vec::new(),
            share_limits: HashMap::new(),
            own_reserve_limit: (WHOLE_PPM, 0),
            report_times: VecDeque::new(),
            last_report: None,
            seq: 0,
            decided_seq: 0,
            expiry: LeaseExpiry::default(),
            recent_keys: RecentKeys::default(),
            stamp_updated_at: now.boot,
            next_expiry_check: now.boot,
            next_tick: now.boot,
            proposals: VecDeque::new(),
            #[cfg(any(test, feature = "planted"))]
            injected: None,
        }
    }

    /// Injects the fault of the given name, for tests of the checkers with whole processes. Returns false if
    /// the name is unknown, and always in a build without the feature `planted`; release builds never have
    /// it.
    pub fn inject_fault(&mut self, name: &str) -> bool {
        #[cfg(any(test, feature = "planted"))]
        {
            self.injected = match name {
                "spends-after-lease" => Some(InjectedFault::SpendsAfterLease),
                "forgets-spent" => Some(InjectedFault::ForgetsSpent),
                "level-moves" => Some(InjectedFault::LevelMovesWithShare),
                "grant-twice" => Some(InjectedFault::UsesGrantTwice),
                _ => return false,
            };
            true
        }
        #[cfg(not(any(test, feature = "planted")))]
        {
            let _ = name;
            false
        }
    }

    /// Applies a policy at this node. From `now` on its shares are fractions of the new limits.
    ///
    /// # Errors
    /// Returns a [`PolicyError`] if the policy is invalid; the previous policy then stays in effect.
    pub fn set_policy(&mut self, now: Now, policy: &Policy) -> Result<(), PolicyError> {
        let new = policy.compile()?;
        let old = std::mem::replace(&mut self.policy, new);
        let mut old_pools: HashMap<u32, LocalPool> =
            old.pools.iter().map(|p| p.id).zip(self.pools.drain(..)).collect();
        let old_days: HashMap<u32, (u64, DailyTokens)> = old
            .daily_limits
            .iter()
            .zip(&self.daily_tokens)
            .map(|((id, limit), d)| (*id, (*limit, *d)))
            .collect();
        self.pool_positions = self.policy.pools.iter().enumerate().map(|(i, p)| (p.id, i)).collect();
        let new_pool = || LocalPool {
            bucket: TokenBucket::new(now.boot),
            window: DemandWindow::default(),
            last_used: None,
        };
        self.pools =
            self.policy.pools.iter().map(|p| old_pools.remove(&p.id).unwrap_or_else(new_pool)).collect();
        self.retired_pools.extend(old_pools.into_keys());
        self.retired_pools.sort_unstable();
        self.daily_tokens.clear();
        for (id, limit) in &self.policy.daily_limits {
            let mut day = old_days.get(id).map_or(DailyTokens::default(), |(_, d)| *d);
            if old_days.get(id).is_some_and(|(before, _)| limit < before) {
                // These tokens were granted under the higher limit. They are void, and the log grants new
                // ones under the lower limit.
                day.returned = day.returned.saturating_add(std::mem::take(&mut day.tokens));
            }
            self.daily_tokens.push(day);
        }
        self.update_all_buckets(now.boot);
        Ok(())
    }

    /// Decides whether a request may be served. Call it once per request with a clock value read immediately
    /// before; retries and hedged requests that the node itself sends belong to the same request. `key` is a
    /// hash of the request's `Idempotency-Key`.
    pub fn spend(&mut self, now: Duration, tenant: &str, class: &str, key: Option<u64>) -> SpendResult {
        let mut result = SpendResult {
            decision: SpendDecision::Unlimited,
            cost: 0,
            from_class_quota: false,
            day: None,
            rate_milli: 0,
            reductions: 0,
        };
        let Some(&tenant_index) = self.policy.by_name.get(tenant) else { return result };
        let tenant_rules = &self.policy.tenants[tenant_index];
        let class = tenant_rules.classes.iter().find(|c| c.name == class);
        let (cost, class_pool, day) =
            class.map_or((1, None, None), |c| (c.cost, c.class_pool, c.daily_count));
        result.cost = cost;
        if key.is_some_and(|k| self.recent_keys.use_free_repeat(now, tenant_index as u32, k)) {
            result.decision = SpendDecision::Repeat;
            return result;
        }
        self.pools[tenant_rules.common_pool].last_used = Some(now);
        if let Some(index) = day {
            self.daily_tokens[index].window.add(now, 1);
            if self.daily_tokens[index].tokens == 0 || now >= self.expiry.reserve {
                result.decision = self.refuse_daily(now, index);
                return result;
            }
        }
        let mut refused: Option<(Duration, RefusalReason)> = None;
        for position in class_pool.into_iter().chain([tenant_rules.common_pool]) {
            let pool = &mut self.pools[position];
            pool.last_used = Some(now);
            pool.window.add(now, cost);
            pool.bucket.advance(now, self.expiry);
            result.reductions = result.reductions.wrapping_add(pool.bucket.reductions);
            result.rate_milli = pool.bucket.rate_and_cap(now, self.expiry).0;
            if pool.bucket.try_take(cost) {
                result.decision = SpendDecision::Admitted;
                result.from_class_quota = Some(position) == class_pool;
                if let Some(index) = day {
                    self.daily_tokens[index].tokens -= 1;
                    result.day = Some(self.day);
                }
                if let Some(k) = key {
                    self.recent_keys.insert(now, tenant_index as u32, k);
                }
                return result;
            }
            let wait = pool
                .bucket
                .time_until(now, self.expiry, cost)
                .map_or((NO_SHARE_RETRY_AFTER, RefusalReason::NoShare), |w| (w, RefusalReason::RateExceeded));
            // A definite delay is preferred to an estimate, and a shorter delay to a longer one.
            let better = refused.is_none_or(|r| {
                (wait.1 != RefusalReason::RateExceeded, wait.0) < (r.1 != RefusalReason::RateExceeded, r.0)
            });
            refused = if better { Some(wait) } else { refused };
        }
        let (retry_after, reason) = refused.unwrap_or((NO_SHARE_RETRY_AFTER, RefusalReason::NoShare));
        result.decision = SpendDecision::Refused { retry_after, reason };
        result
    }

    fn refuse_daily(&self, now: Duration, index: usize) -> SpendDecision {
        let (id, limit) = self.policy.daily_limits[index];
        if self.state.granted_today(id) < limit {
            return SpendDecision::Refused {
                retry_after: NO_SHARE_RETRY_AFTER,
                reason: RefusalReason::NoDailyShare,
            };
        }
        let left = Duration::from_millis(DAY_MS - self.state.log_clock().1 % DAY_MS);
        let retry_after =
            left.saturating_sub(now.saturating_sub(self.stamp_updated_at)).max(NO_SHARE_RETRY_AFTER);
        SpendDecision::Refused { retry_after, reason: RefusalReason::DailyLimit }
    }

    /// Tokens of today's count of `class` that are granted to all nodes; never less than the number admitted.
    pub fn daily_count(&self, tenant: &str, class: &str) -> u64 {
        self.state.granted_today(crate::policy::pool_id(tenant, class, "day"))
    }

    /// The demand share of the first pool and the reserve share that this node may use now, in parts per
    /// million. At every moment each sums to at most a million over all nodes.
    pub fn held_shares(&self, now: Duration) -> (u32, u32) {
        let share = if self.pools.is_empty() { Share::default() } else { self.current_share(0) };
        let held = |expiry: Duration, share: u32| if now < expiry { share } else { 0 };
        (held(self.expiry.by_demand, share.by_demand), held(self.expiry.reserve, share.reserve))
    }

    /// The replicated state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The version of the policy in effect.
    pub fn policy_version(&self) -> u64 {
        self.policy.version
    }

    /// This node's current share of a pool of its policy.
    fn current_share(&self, position: usize) -> Share {
        let Some(session_id) = self.state.session_id(&self.me) else { return Share::default() };
        let id = self.policy.pools[position].id;
        let capped = |n: u32, limit: (u32, u32)| if limit.1 > self.decided_seq { n.min(limit.0) } else { n };
        let held = self.state.demand_and_share(id, session_id).map_or(0, |p| p.1);
        let by_demand = capped(held, self.share_limits.get(&id).copied().unwrap_or((WHOLE_PPM, 0)));
        let reserve = self.state.session(session_id).map_or(0, |m| m.1);
        Share { by_demand, reserve: capped(reserve, self.own_reserve_limit) }
    }

    fn update_bucket(&mut self, now: Duration, position: usize) {
        let share = self.current_share(position);
        let pool = &self.policy.pools[position];
        let bucket = &mut self.pools[position].bucket;
        #[cfg(any(test, feature = "planted"))]
        let before = bucket.rate_and_cap(now, self.expiry);
        bucket.set_share(now, self.expiry, share, pool.rate_milli, pool.burst);
        #[cfg(any(test, feature = "planted"))]
        {
            let after = bucket.rate_and_cap(now, self.expiry);
            let first_share = after.1 > before.1
                && self.decided_seq <= 2
                && self.injected == Some(InjectedFault::ForgetsSpent);
            if first_share
                || (after.1 > before.1 && self.injected == Some(InjectedFault::LevelMovesWithShare))
            {
                bucket.fill_to_cap();
            }
        }
    }

    fn update_all_buckets(&mut self, now: Duration) {
        for position in 0..self.pools.len() {
            self.update_bucket(now, position);
        }
    }

    /// Handles a decided report of this node. Earlier reports can no longer be decided, and the leases count
    /// from the time at which this report was proposed.
    fn report_decided(&mut self, now: Duration, seq: u32) {
        self.decided_seq = self.decided_seq.max(seq);
        let decided = self.decided_seq;
        self.share_limits.retain(|_, p| p.1 > decided);
        let proposed_at = self.report_times.iter().find(|a| a.0 == seq).map(|a| a.1);
        self.report_times.retain(|a| a.0 > seq);
        let Some(proposed_at) = proposed_at else { return };
        if now >= self.expiry.by_demand {
            // The lease had expired. Each bucket must apply that expiry before the lease starts again.
            for pool in &mut self.pools {
                pool.bucket.advance(now, self.expiry);
            }
        }
        let later = |expiry, term| {
            HeldLease::new(Duration::ZERO, expiry).or_later(HeldLease::new(proposed_at, term)).expires_at()
        };
        self.expiry.by_demand = later(self.expiry.by_demand, self.settings.demand_term);
        self.expiry.reserve = later(self.expiry.reserve, self.settings.reserve_term);
        #[cfg(any(test, feature = "planted"))]
        if self.injected == Some(InjectedFault::SpendsAfterLease) {
            let never = Duration::from_secs(1 << 30);
            self.expiry = LeaseExpiry { by_demand: never, reserve: never };
        }
    }

    fn reset_on_new_day(&mut self, now: Duration) {
        if self.state.log_clock().0 == self.day {
            return;
        }
        (self.day, self.stamp_updated_at) = (self.state.log_clock().0, now);
        for day in &mut self.daily_tokens {
            (day.tokens, day.returned) = (0, 0);
        }
    }

    /// Returns the pool entries to report: those whose demand or share has to change.
    fn pool_reports(&mut self, now: Duration) -> Vec<PoolReport> {
        let session_id = self.state.session_id(&self.me);
        let claim = |id| session_id.and_then(|s| self.state.demand_and_share(id, s));
        let mut items = Vec::new();
        self.retired_pools.retain(|id| !self.pool_positions.contains_key(id) && claim(*id).is_some());
        items.extend(self.retired_pools.iter().take(ITEMS_MAX).map(|&pool| PoolReport {
            pool,
            demand: 0,
            min_share: 1,
            share_limit: 0,
        }));
        for position in 0..self.pools.len() {
            let pool = &self.policy.pools[position];
            let known = session_id.and_then(|s| self.state.demand_and_share(pool.id, s));
            let local = &mut self.pools[position];
            let idle = local.last_used.is_none_or(|u| now.saturating_sub(u) > IDLE_TIMEOUT);
            if items.len() >= ITEMS_MAX || (idle && known.is_none()) {
                continue;
            }
            let demand = u128::from(local.window.sum(now)) * 1_000_000_000 / u128::from(pool.rate_milli);
            let demand = demand.min(u128::from(WHOLE_PPM)) as u32;
            let min_share = u64::from(WHOLE_PPM) * 100 * pool.max_cost / (pool.burst * 80);
            let min_share = min_share.clamp(1, u64::from(WHOLE_PPM)) as u32 + 1;
            let id = pool.id;
            let (current_target, target, others_short) =
                self.state.target_share(id, session_id.unwrap_or(u32::MAX), demand, min_share);
            // A pause of one second gives up a share that other nodes need; if no node needs it, the share is
            // kept.
            let reported_demand =
                if demand == 0 && !idle && !others_short && known.is_some() { 1 } else { demand };
            let held = self.current_share(position).by_demand;
            let Some((log_demand, log_held)) = known else {
                if reported_demand > 0 {
                    items.push(PoolReport {
                        pool: id,
                        demand: reported_demand,
                        min_share,
                        share_limit: WHOLE_PPM,
                    });
                }
                continue;
            };
            if reported_demand == 0 {
                items.push(PoolReport { pool: id, demand: 0, min_share, share_limit: 0 });
                continue;
            }
            // Only effective changes are reported: more demand if this node's share is too small, less if
            // another node's is.
            let differs = |a: u32, b: u32| a.abs_diff(b) > a.max(b) / 8 + 2_000;
            let lower_share = others_short && log_held > target && differs(log_held, target);
            let lower_demand = others_short && current_target > target && differs(current_target, target);
            let short = held < demand + demand / 4;
            let raise_demand = short
                && ((target > current_target && differs(current_target, target))
                    || (demand > log_demand && differs(demand, log_demand)));
            if lower_share || lower_demand || raise_demand {
                items.push(PoolReport {
                    pool: id,
                    demand: reported_demand,
                    min_share,
                    share_limit: if lower_share { target.min(held) } else { WHOLE_PPM },
                });
            }
        }
        items
    }

    /// Returns the daily counts to report.
    fn daily_count_reports(&mut self, now: Duration) -> Vec<DailyCountReport> {
        let mut items = Vec::new();
        for tenant_rules in &self.policy.tenants {
            let used = self.pools[tenant_rules.common_pool].last_used;
            let busy = used.is_some_and(|u| now.saturating_sub(u) < IDLE_TIMEOUT);
            for &index in &tenant_rules.daily_counts {
                let (pool, limit) = self.policy.daily_limits[index];
                let day = &mut self.daily_tokens[index];
                if !busy {
                    day.returned = day.returned.saturating_add(std::mem::take(&mut day.tokens));
                }
                let left = limit.saturating_sub(self.state.granted_today(pool));
                let recent = day.window.sum(now);
                let mut requested = 0;
                if busy && left > 0 && u64::from(day.tokens) <= recent / 4 {
                    // Requests half a second's worth, since the tokens a node holds when it dies are lost for
                    // the day, and never so many that less would be left for each other node.
                    let fair_share = (left / (2 * self.state.session_count().max(1) as u64)).max(1);
                    requested = (recent / 2).clamp(1, fair_share).min(u64::from(u32::MAX)) as u32;
                }
                if (requested > 0 || day.returned > 0) && items.len() < DAYS_MAX {
                    let returned = std::mem::take(&mut day.returned);
                    items.push(DailyCountReport { pool, day: self.day, requested, returned, limit });
                }
            }
        }
        items
    }

    fn report_if_due(&mut self, now: Duration) {
        let interval = if self.seq > self.decided_seq { REPORT_RETRY_DELAY } else { REPORT_INTERVAL_MIN };
        if self.last_report.is_some_and(|at| now < at + interval) {
            return;
        }
        let session_id = self.state.session_id(&self.me);
        let holds_shares = session_id.is_some()
            && self
                .policy
                .pools
                .iter()
                .any(|p| self.state.demand_and_share(p.id, session_id.unwrap_or(0)).is_some());
        let renewal_due = if holds_shares {
            self.expiry.by_demand.saturating_sub(now) < self.settings.demand_term.mul_f64(2.0 / 3.0)
        } else {
            self.expiry.reserve.saturating_sub(now) < self.settings.reserve_term.mul_f64(0.75)
        };
        let items = self.pool_reports(now);
        let days = self.daily_count_reports(now);
        if !renewal_due && items.is_empty() && days.is_empty() {
            return;
        }
        self.seq += 1;
        let (seq, target) = (self.seq, self.state.reserve_target());
        let reserve = session_id.and_then(|s| self.state.session(s)).map_or(0, |m| m.1);
        // The reserve share is reduced only if it is well above its target, since nodes come and go.
        let reserve_limit = if reserve > target + target / 8 { target } else { WHOLE_PPM };
        let tighten = |limit: (u32, u32), share_limit: u32, decided: u32| {
            (if limit.1 > decided { limit.0.min(share_limit) } else { share_limit }, seq)
        };
        self.own_reserve_limit = tighten(self.own_reserve_limit, reserve_limit, self.decided_seq);
        for item in &items {
            let old = self.share_limits.get(&item.pool).copied().unwrap_or((WHOLE_PPM, 0));
            self.share_limits.insert(item.pool, tighten(old, item.share_limit, self.decided_seq));
        }
        for item in &items {
            if let Some(&position) = self.pool_positions.get(&item.pool) {
                self.update_bucket(now, position);
            }
        }
        if reserve_limit < WHOLE_PPM {
            self.update_all_buckets(now);
        }
        if self.report_times.len() >= REPORT_TIMES_MAX {
            self.report_times.pop_front();
        }
        self.report_times.push_back((seq, now));
        self.last_report = Some(now);
        let ms = |d: Duration| u32::try_from(d.as_millis()).unwrap_or(u32::MAX);
        let report = Report {
            seq,
            policy_version: self.policy.version,
            term_ms: ms(self.settings.demand_term),
            reserve_ms: ms(self.settings.reserve_term),
            reserve_limit,
            items,
            days,
        };
        self.proposals.push_back(ProposalBody::Report(report).encode());
    }
}

impl StateMachine for Quota {
    fn topic(&self) -> Topic {
        Topic::Quota
    }

    fn apply(&mut self, now: Now, decided: &DecidedEntry) {
        let at = now.boot;
        let reserve = |q: &Self| q.state.session_id(&q.me).and_then(|s| q.state.session(s)).map(|m| m.1);
        let (before, stamp) = (reserve(self), self.state.log_clock().1);
        let changes = self.state.apply(at, decided);
        if self.state.log_clock().1 > stamp {
            self.stamp_updated_at = at;
        }
        self.reset_on_new_day(at);
        let own_report = changes.report.filter(|(by, _)| *by == self.me);
        if let Some((_, seq)) = own_report {
            let remembered = self.report_times.iter().any(|a| a.0 == seq);
            self.report_decided(at, seq);
            for (id, limit, n) in changes.daily_grants {
                let position = self.policy.daily_limits.iter().position(|d| d.0 == id);
                let Some(position) = position.filter(|_| remembered) else { continue };
                let day = &mut self.daily_tokens[position];
                // Tokens granted under another limit must not be spent; they are returned.
                let current = self.policy.daily_limits[position].1 == limit;
                let destination = if current { &mut day.tokens } else { &mut day.returned };
                *destination = destination.saturating_add(n);
                #[cfg(any(test, feature = "planted"))]
                if self.injected == Some(InjectedFault::UsesGrantTwice) {
                    day.tokens += n;
                }
            }
            self.update_all_buckets(at);
        } else if reserve(self) != before {
            self.update_all_buckets(at);
        }
        for pool in changes.pools {
            if let Some(&position) = self.pool_positions.get(&pool) {
                self.update_bucket(at, position);
            }
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        self.state.snapshot()
    }

    fn restore(&mut self, now: Now, snapshot: &[u8]) -> Result<(), SnapshotError> {
        self.state = State::restored(now.boot, snapshot).map_err(|e| SnapshotError(e.to_string()))?;
        self.stamp_updated_at = now.boot;
        self.reset_on_new_day(now.boot);
        if let Some((seq, _)) = self.state.session_id(&self.me).and_then(|s| self.state.session(s)) {
            self.report_decided(now.boot, seq);
        }
        self.update_all_buckets(now.boot);
        Ok(())
    }

    fn tick(&mut self, now: Now, leading: bool) {
        self.next_tick = now.boot + SLOT;
        if leading && now.boot >= self.next_expiry_check {
            self.next_expiry_check = now.boot + EXPIRY_CHECK_INTERVAL;
            let expired = self.state.expired_leases(now.boot);
            if !expired.is_empty() {
                self.proposals.push_back(ProposalBody::EndLeases(expired).encode());
            }
        }
        self.report_if_due(now.boot);
    }

    fn next_due(&self) -> Option<Duration> {
        Some(self.next_tick)
    }

    fn take_proposal(&mut self) -> Option<Vec<u8>> {
        self.proposals.pop_front()
    }
}
