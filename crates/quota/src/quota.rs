//! One node's room: spends on requests' paths, reports to the log now and then.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use magpietally_consensus::{DecidedEntry, HeldLease, SnapshotError, StateMachine, Topic};
use magpietally_transport::{Now, Peer};

use crate::bucket::{Bucket, LeaseExpiry};
use crate::division::{Share, WHOLE_PPM};
use crate::entry::{DailyCountReport, PoolReport, ProposalBody, Report, DAYS_MAX, ITEMS_MAX};
use crate::policy::{Compiled, Policy, PolicyError};
use crate::repeat::Repeats;
use crate::state::{State, TERM_MAX_MS};
use crate::window::{Window, SLOT};

/// Two reports of a node lie at min_share so far apart: it bounds what one node costs the log, and is an eighth of the two
/// seconds in which demand that moved is to be followed.
const GAP: Duration = Duration::from_millis(250);
/// A report that was not seen decided is said anew after this long: several times what deciding takes.
const RETRY: Duration = Duration::from_millis(500);
/// The leader proposes ended leases so often: an entry that got lost is said again.
const CHORES: Duration = Duration::from_millis(500);
/// Own reports remembered with the time of their asking; an older one renews nothing.
const ASKED_MAX: usize = 16;
/// A part that was not used is given back after this long though nobody asks for it, and day counts with it.
const IDLE: Duration = Duration::from_secs(10);
/// What a node without a part tells a client to wait: by then a report has asked for one and it is granted, if the log
/// can be reached.
const ASKS: Duration = Duration::from_secs(1);
/// Milliseconds of the log's clock in a day.
const DAY_MS: u64 = 86_400_000;

/// How long leases last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Parts by demand last so long after they were asked for; a dead node's are lost for as long.
    pub demand_term: Duration,
    /// What is set aside for a node lasts so long after it last reported: how long one cut off serves.
    pub reserve_term: Duration,
}

impl Default for LeaseSettings {
    /// 6 s by demand, renewed every 2 s: three tries, and at 500 nodes 250 entries a second at most. 120 s for the reserve.
    fn default() -> Self {
        Self { demand_term: Duration::from_secs(6), reserve_term: Duration::from_secs(120) }
    }
}

/// RefusalReason a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The bucket does not hold what it costs; it will, after the time told, if nobody else takes it and the lease lasts.
    RateExceeded,
    /// This node has no part that is large enough; it asks for one. The time told is an estimate.
    NoShare,
    /// This node holds none of the day's count, but the log may have some left. The time told is an estimate.
    NoDailyShare,
    /// The day's count is used up, or out on lease: the time told is the rest of the day by the log's clock.
    DailyLimit,
}

/// What is to become of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpendDecision {
    /// The tenant has no quota.
    Unlimited,
    /// Admitted, and paid for.
    Admitted,
    /// A repeat of one that was admitted here and paid for: one request, said again.
    Repeat,
    /// Refused: to be answered 429.
    Refused {
        /// When to come again; a carrier rounds it up to whole seconds.
        retry_after: Duration,
        /// RefusalReason.
        reason: RefusalReason,
    },
}

/// A verdict and what stood behind it, for records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpendResult {
    /// The verdict.
    pub decision: SpendDecision,
    /// What the request costs, in tokens.
    pub cost: u64,
    /// Whether it was paid out of the part kept for its class.
    pub from_class_quota: bool,
    /// The day whose count it was taken from, in days since 1970.
    pub day: Option<u32>,
    /// This node's rate in the pool asked last, in thousandths of a token a second.
    pub rate_milli: u64,
    /// Changes whenever this node's bucket was made smaller.
    pub reductions: u32,
}

struct Local {
    bucket: Bucket,
    window: Window,
    /// Last asked for.
    used: Option<Duration>,
}

#[derive(Clone, Copy, Default)]
struct Day {
    tokens: u32,
    /// To be told as given back.
    returned: u32,
    window: Window,
}

/// One node's part of the room.
pub struct Quota {
    me: Peer,
    settings: LeaseSettings,
    state: State,
    policy: Compiled,
    pools: Vec<Local>,
    places: HashMap<u32, usize>,
    days: Vec<Day>,
    day: u32,
    /// Pools of an older policy that this node may still have a part of.
    gone: Vec<u32>,
    /// Pool -> (at most this part, while no report from this number on is seen decided).
    promised: HashMap<u32, (u32, u32)>,
    promised_reserve: (u32, u32),
    asked: VecDeque<(u32, Duration)>,
    /// When the last report was made.
    reported: Option<Duration>,
    seq: u32,
    decided: u32,
    expiry: LeaseExpiry,
    repeats: Repeats,
    /// When the stamp last grew, for the rest of the day.
    stamped: Duration,
    chores: Duration,
    due: Duration,
    out: VecDeque<Vec<u8>>,
    #[cfg(any(test, feature = "planted"))]
    pub(crate) planted: Option<Planted>,
}

/// Faults for the checker to catch.
#[cfg(any(test, feature = "planted"))]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Planted {
    AfterLease,
    ForgetsSpent,
    LevelMoves,
    GrantTwice,
}

impl Quota {
    /// A node at its start: it has no part of anything.
    pub fn new(me: Peer, settings: LeaseSettings, now: Now) -> Self {
        // The log takes no longer term, and what is set aside is not to end first.
        let most = Duration::from_millis(u64::from(TERM_MAX_MS));
        let (demand_term, reserve_term) = (settings.demand_term.min(most), settings.reserve_term.min(most));
        let settings = LeaseSettings { demand_term, reserve_term: reserve_term.max(demand_term) };
        Self {
            me,
            settings,
            state: State::default(),
            policy: Compiled::default(),
            pools: Vec::new(),
            places: HashMap::new(),
            days: Vec::new(),
            day: 0,
            gone: Vec::new(),
            promised: HashMap::new(),
            promised_reserve: (WHOLE_PPM, 0),
            asked: VecDeque::new(),
            reported: None,
            seq: 0,
            decided: 0,
            expiry: LeaseExpiry::default(),
            repeats: Repeats::default(),
            stamped: now.boot,
            chores: now.boot,
            due: now.boot,
            out: VecDeque::new(),
            #[cfg(any(test, feature = "planted"))]
            planted: None,
        }
    }

    /// Plants a fault by its name, for tests of the checkers with whole processes; false where there is none of this name,
    /// and always in a build without the feature `planted`, as every build of the program is.
    pub fn inject_fault(&mut self, name: &str) -> bool {
        #[cfg(any(test, feature = "planted"))]
        {
            self.planted = match name {
                "spends-after-lease" => Some(Planted::AfterLease),
                "forgets-spent" => Some(Planted::ForgetsSpent),
                "level-moves" => Some(Planted::LevelMoves),
                "grant-twice" => Some(Planted::GrantTwice),
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

    /// A policy takes hold at this node at `now`: from here on its parts are parts of the new limits.
    ///
    /// # Errors
    /// See [`PolicyError`]; the old one then still holds.
    pub fn set_policy(&mut self, now: Now, policy: &Policy) -> Result<(), PolicyError> {
        let new = policy.compile()?;
        let old = std::mem::replace(&mut self.policy, new);
        let mut had: HashMap<u32, Local> = old.pools.iter().map(|p| p.id).zip(self.pools.drain(..)).collect();
        let old_days: HashMap<u32, (u64, Day)> =
            old.days.iter().zip(&self.days).map(|((id, limit), d)| (*id, (*limit, *d))).collect();
        self.places = self.policy.pools.iter().enumerate().map(|(i, p)| (p.id, i)).collect();
        let fresh = || Local { bucket: Bucket::new(now.boot), window: Window::default(), used: None };
        self.pools = self.policy.pools.iter().map(|p| had.remove(&p.id).unwrap_or_else(fresh)).collect();
        self.gone.extend(had.into_keys());
        self.gone.sort_unstable();
        self.days.clear();
        for (id, limit) in &self.policy.days {
            let mut day = old_days.get(id).map_or(Day::default(), |(_, d)| *d);
            if old_days.get(id).is_some_and(|(before, _)| limit < before) {
                // Granted under the higher limit: void, and the log grants anew by the lower one.
                day.returned = day.returned.saturating_add(std::mem::take(&mut day.tokens));
            }
            self.days.push(day);
        }
        self.refresh_all(now.boot);
        Ok(())
    }

    /// Whether a request may be served: to be asked once for each request, with a clock read for it in the same breath;
    /// the node's own retries and second copies are the same request. `key` is a hash of its `Idempotency-Key`.
    pub fn spend(&mut self, now: Duration, tenant: &str, class: &str, key: Option<u64>) -> SpendResult {
        let mut spent = SpendResult {
            decision: SpendDecision::Unlimited,
            cost: 0,
            from_class_quota: false,
            day: None,
            rate_milli: 0,
            reductions: 0,
        };
        let Some(&t) = self.policy.by_name.get(tenant) else { return spent };
        let rules = &self.policy.tenants[t];
        let class = rules.classes.iter().find(|c| c.name == class);
        let (cost, kept, day) = class.map_or((1, None, None), |c| (c.cost, c.kept, c.day));
        spent.cost = cost;
        if key.is_some_and(|k| self.repeats.free(now, t as u32, k)) {
            spent.decision = SpendDecision::Repeat;
            return spent;
        }
        self.pools[rules.common].used = Some(now);
        if let Some(d) = day {
            self.days[d].window.add(now, 1);
            if self.days[d].tokens == 0 || now >= self.expiry.reserve {
                spent.decision = self.no_day(now, d);
                return spent;
            }
        }
        let mut refused: Option<(Duration, RefusalReason)> = None;
        for place in kept.into_iter().chain([rules.common]) {
            let pool = &mut self.pools[place];
            pool.used = Some(now);
            pool.window.add(now, cost);
            pool.bucket.settle(now, self.expiry);
            spent.reductions = spent.reductions.wrapping_add(pool.bucket.reductions);
            spent.rate_milli = pool.bucket.fills(now, self.expiry).0;
            if pool.bucket.take(cost) {
                spent.decision = SpendDecision::Admitted;
                spent.from_class_quota = Some(place) == kept;
                if let Some(d) = day {
                    self.days[d].tokens -= 1;
                    spent.day = Some(self.day);
                }
                if let Some(k) = key {
                    self.repeats.admitted(now, t as u32, k);
                }
                return spent;
            }
            let wait = pool
                .bucket
                .wait(now, self.expiry, cost)
                .map_or((ASKS, RefusalReason::NoShare), |w| (w, RefusalReason::RateExceeded));
            // A time that is sure is better than an estimate, and a shorter one than a longer.
            let better = refused.is_none_or(|r| {
                (wait.1 != RefusalReason::RateExceeded, wait.0) < (r.1 != RefusalReason::RateExceeded, r.0)
            });
            refused = if better { Some(wait) } else { refused };
        }
        let (retry_after, reason) = refused.unwrap_or((ASKS, RefusalReason::NoShare));
        spent.decision = SpendDecision::Refused { retry_after, reason };
        spent
    }

    fn no_day(&self, now: Duration, d: usize) -> SpendDecision {
        let (id, limit) = self.policy.days[d];
        if self.state.granted(id) < limit {
            return SpendDecision::Refused { retry_after: ASKS, reason: RefusalReason::NoDailyShare };
        }
        let left = Duration::from_millis(DAY_MS - self.state.log_clock().1 % DAY_MS);
        let retry_after = left.saturating_sub(now.saturating_sub(self.stamped)).max(ASKS);
        SpendDecision::Refused { retry_after, reason: RefusalReason::DailyLimit }
    }

    /// What of `class`'s count of today has been granted to all nodes: never less than was admitted.
    pub fn daily_count(&self, tenant: &str, class: &str) -> u64 {
        self.state.granted(crate::policy::number(tenant, class, "day"))
    }

    /// The parts of the first pool, and of the reserve, that this node may spend under now, in parts of a million: over
    /// all nodes, at every moment, at most a million each.
    pub fn held_shares(&self, now: Duration) -> (u32, u32) {
        let share = if self.pools.is_empty() { Share::default() } else { self.share(0) };
        let held = |expiry: Duration, part: u32| if now < expiry { part } else { 0 };
        (held(self.expiry.by_demand, share.by_demand), held(self.expiry.reserve, share.reserve))
    }

    /// What follows from the entries.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The policy version in use.
    pub fn policy_version(&self) -> u64 {
        self.policy.version
    }

    /// This node's part of a pool of its policy now.
    fn share(&self, place: usize) -> Share {
        let Some(sid) = self.state.sid(&self.me) else { return Share::default() };
        let id = self.policy.pools[place].id;
        let capped =
            |n: u32, promise: (u32, u32)| if promise.1 > self.decided { n.min(promise.0) } else { n };
        let held = self.state.part(id, sid).map_or(0, |p| p.1);
        let by_demand = capped(held, self.promised.get(&id).copied().unwrap_or((WHOLE_PPM, 0)));
        let reserve = self.state.member(sid).map_or(0, |m| m.1);
        Share { by_demand, reserve: capped(reserve, self.promised_reserve) }
    }

    fn refresh(&mut self, now: Duration, place: usize) {
        let share = self.share(place);
        let pool = &self.policy.pools[place];
        let bucket = &mut self.pools[place].bucket;
        #[cfg(any(test, feature = "planted"))]
        let before = bucket.fills(now, self.expiry);
        bucket.set(now, self.expiry, share, pool.rate_milli, pool.burst);
        #[cfg(any(test, feature = "planted"))]
        {
            let after = bucket.fills(now, self.expiry);
            let first =
                after.1 > before.1 && self.decided <= 2 && self.planted == Some(Planted::ForgetsSpent);
            if first || (after.1 > before.1 && self.planted == Some(Planted::LevelMoves)) {
                bucket.brim();
            }
        }
    }

    fn refresh_all(&mut self, now: Duration) {
        for place in 0..self.pools.len() {
            self.refresh(now, place);
        }
    }

    /// A report of this node's is seen decided: those before it never will be, and its leases count from its asking.
    fn seen(&mut self, now: Duration, seq: u32) {
        self.decided = self.decided.max(seq);
        let decided = self.decided;
        self.promised.retain(|_, p| p.1 > decided);
        let asked = self.asked.iter().find(|a| a.0 == seq).map(|a| a.1);
        self.asked.retain(|a| a.0 > seq);
        let Some(asked) = asked else { return };
        if now >= self.expiry.by_demand {
            // It had ended: what each bucket lost by that has to be taken before the lease begins anew.
            for pool in &mut self.pools {
                pool.bucket.settle(now, self.expiry);
            }
        }
        let later = |expiry, term| {
            HeldLease::new(Duration::ZERO, expiry).or_later(HeldLease::new(asked, term)).expires_at()
        };
        self.expiry.by_demand = later(self.expiry.by_demand, self.settings.demand_term);
        self.expiry.reserve = later(self.expiry.reserve, self.settings.reserve_term);
        #[cfg(any(test, feature = "planted"))]
        if self.planted == Some(Planted::AfterLease) {
            let never = Duration::from_secs(1 << 30);
            self.expiry = LeaseExpiry { by_demand: never, reserve: never };
        }
    }

    fn day_turned(&mut self, now: Duration) {
        if self.state.log_clock().0 == self.day {
            return;
        }
        (self.day, self.stamped) = (self.state.log_clock().0, now);
        for day in &mut self.days {
            (day.tokens, day.returned) = (0, 0);
        }
    }

    /// Pools that have something to tell, and what.
    fn items(&mut self, now: Duration) -> Vec<PoolReport> {
        let sid = self.state.sid(&self.me);
        let part = |id| sid.and_then(|s| self.state.part(id, s));
        let mut items = Vec::new();
        self.gone.retain(|id| !self.places.contains_key(id) && part(*id).is_some());
        items.extend(self.gone.iter().take(ITEMS_MAX).map(|&pool| PoolReport {
            pool,
            demand: 0,
            min_share: 1,
            share_limit: 0,
        }));
        for place in 0..self.pools.len() {
            let pool = &self.policy.pools[place];
            let known = sid.and_then(|s| self.state.part(pool.id, s));
            let local = &mut self.pools[place];
            let idle = local.used.is_none_or(|u| now.saturating_sub(u) > IDLE);
            if items.len() >= ITEMS_MAX || (idle && known.is_none()) {
                continue;
            }
            let demand = u128::from(local.window.sum(now)) * 1_000_000_000 / u128::from(pool.rate_milli);
            let demand = demand.min(u128::from(WHOLE_PPM)) as u32;
            let min_share = u64::from(WHOLE_PPM) * 100 * pool.dearest / (pool.burst * 80);
            let min_share = min_share.clamp(1, u64::from(WHOLE_PPM)) as u32 + 1;
            let id = pool.id;
            let (told, target, another) = self.state.target(id, sid.unwrap_or(u32::MAX), demand, min_share);
            // A pause of a second gives up what others call for; nobody calling, it waits.
            let wants = if demand == 0 && !idle && !another && known.is_some() { 1 } else { demand };
            let held = self.share(place).by_demand;
            let Some((log_demand, log_held)) = known else {
                if wants > 0 {
                    items.push(PoolReport { pool: id, demand: wants, min_share, share_limit: WHOLE_PPM });
                }
                continue;
            };
            if wants == 0 {
                items.push(PoolReport { pool: id, demand: 0, min_share, share_limit: 0 });
                continue;
            }
            // Told is only what changes something: more where this node lacks, less where another does.
            let far = |a: u32, b: u32| a.abs_diff(b) > a.max(b) / 8 + 2_000;
            let lower = another && log_held > target && far(log_held, target);
            let less = another && told > target && far(told, target);
            let lacks = held < demand + demand / 4;
            let more = lacks
                && ((target > told && far(told, target)) || (demand > log_demand && far(demand, log_demand)));
            if lower || less || more {
                items.push(PoolReport {
                    pool: id,
                    demand: wants,
                    min_share,
                    share_limit: if lower { target.min(held) } else { WHOLE_PPM },
                });
            }
        }
        items
    }

    /// Day counts that have something to tell.
    fn day_items(&mut self, now: Duration) -> Vec<DailyCountReport> {
        let mut items = Vec::new();
        for rules in &self.policy.tenants {
            let used = self.pools[rules.common].used;
            let busy = used.is_some_and(|u| now.saturating_sub(u) < IDLE);
            for &d in &rules.days {
                let (pool, limit) = self.policy.days[d];
                let day = &mut self.days[d];
                if !busy {
                    day.returned = day.returned.saturating_add(std::mem::take(&mut day.tokens));
                }
                let left = limit.saturating_sub(self.state.granted(pool));
                let lately = day.window.sum(now);
                let mut requested = 0;
                if busy && left > 0 && u64::from(day.tokens) <= lately / 4 {
                    // Half a second's worth, for what a node holds when it dies is lost to the day; and never more than
                    // leaves as much again for each other node.
                    let fair = (left / (2 * self.state.session_count().max(1) as u64)).max(1);
                    requested = (lately / 2).clamp(1, fair).min(u64::from(u32::MAX)) as u32;
                }
                if (requested > 0 || day.returned > 0) && items.len() < DAYS_MAX {
                    let returned = std::mem::take(&mut day.returned);
                    items.push(DailyCountReport { pool, day: self.day, requested, returned, limit });
                }
            }
        }
        items
    }

    fn report(&mut self, now: Duration) {
        let waits = if self.seq > self.decided { RETRY } else { GAP };
        if self.reported.is_some_and(|at| now < at + waits) {
            return;
        }
        let sid = self.state.sid(&self.me);
        let holds = sid.is_some()
            && self.policy.pools.iter().any(|p| self.state.part(p.id, sid.unwrap_or(0)).is_some());
        let left = if holds {
            self.expiry.by_demand.saturating_sub(now) < self.settings.demand_term.mul_f64(2.0 / 3.0)
        } else {
            self.expiry.reserve.saturating_sub(now) < self.settings.reserve_term.mul_f64(0.75)
        };
        let items = self.items(now);
        let days = self.day_items(now);
        if !left && items.is_empty() && days.is_empty() {
            return;
        }
        self.seq += 1;
        let (seq, target) = (self.seq, self.state.reserve_target());
        let reserve = sid.and_then(|s| self.state.member(s)).map_or(0, |m| m.1);
        // Only what is well above its part is given up: nodes come and go.
        let reserve_limit = if reserve > target + target / 8 { target } else { WHOLE_PPM };
        let lowers = |promise: (u32, u32), share_limit: u32, decided: u32| {
            (if promise.1 > decided { promise.0.min(share_limit) } else { share_limit }, seq)
        };
        self.promised_reserve = lowers(self.promised_reserve, reserve_limit, self.decided);
        for item in &items {
            let old = self.promised.get(&item.pool).copied().unwrap_or((WHOLE_PPM, 0));
            self.promised.insert(item.pool, lowers(old, item.share_limit, self.decided));
        }
        for item in &items {
            if let Some(&place) = self.places.get(&item.pool) {
                self.refresh(now, place);
            }
        }
        if reserve_limit < WHOLE_PPM {
            self.refresh_all(now);
        }
        if self.asked.len() >= ASKED_MAX {
            self.asked.pop_front();
        }
        self.asked.push_back((seq, now));
        self.reported = Some(now);
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
        self.out.push_back(ProposalBody::Report(report).encode());
    }
}

impl StateMachine for Quota {
    fn topic(&self) -> Topic {
        Topic::Quota
    }

    fn apply(&mut self, now: Now, decided: &DecidedEntry) {
        let at = now.boot;
        let reserve = |q: &Self| q.state.sid(&q.me).and_then(|s| q.state.member(s)).map(|m| m.1);
        let (before, stamp) = (reserve(self), self.state.log_clock().1);
        let changed = self.state.apply(at, decided);
        if self.state.log_clock().1 > stamp {
            self.stamped = at;
        }
        self.day_turned(at);
        let mine = changed.report.filter(|(by, _)| *by == self.me);
        if let Some((_, seq)) = mine {
            let asked = self.asked.iter().any(|a| a.0 == seq);
            self.seen(at, seq);
            for (id, limit, n) in changed.days {
                let place = self.policy.days.iter().position(|d| d.0 == id);
                let Some(place) = place.filter(|_| asked) else { continue };
                let day = &mut self.days[place];
                // Granted under another limit: not to be spent, but given back.
                let current = self.policy.days[place].1 == limit;
                let hands = if current { &mut day.tokens } else { &mut day.returned };
                *hands = hands.saturating_add(n);
                #[cfg(any(test, feature = "planted"))]
                if self.planted == Some(Planted::GrantTwice) {
                    day.tokens += n;
                }
            }
            self.refresh_all(at);
        } else if reserve(self) != before {
            self.refresh_all(at);
        }
        for pool in changed.pools {
            if let Some(&place) = self.places.get(&pool) {
                self.refresh(at, place);
            }
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        self.state.snapshot()
    }

    fn restore(&mut self, now: Now, snapshot: &[u8]) -> Result<(), SnapshotError> {
        self.state = State::restored(now.boot, snapshot).map_err(|e| SnapshotError(e.to_string()))?;
        self.stamped = now.boot;
        self.day_turned(now.boot);
        if let Some((seq, _)) = self.state.sid(&self.me).and_then(|s| self.state.member(s)) {
            self.seen(now.boot, seq);
        }
        self.refresh_all(now.boot);
        Ok(())
    }

    fn tick(&mut self, now: Now, leading: bool) {
        self.due = now.boot + SLOT;
        if leading && now.boot >= self.chores {
            self.chores = now.boot + CHORES;
            let lapsed = self.state.lapsed(now.boot);
            if !lapsed.is_empty() {
                self.out.push_back(ProposalBody::EndLeases(lapsed).encode());
            }
        }
        self.report(now.boot);
    }

    fn next_due(&self) -> Option<Duration> {
        Some(self.due)
    }

    fn take_proposal(&mut self) -> Option<Vec<u8>> {
        self.out.pop_front()
    }
}
