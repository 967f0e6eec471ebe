//! The state that follows from the log entries alone: every node's shares and the daily counts.

use std::collections::BTreeMap;
use std::time::Duration;

use magpietally_consensus::{DecidedEntry, Grant, Index, Leases};
use magpietally_transport::Peer;
use serde::{Deserialize, Serialize};

use crate::division::{targets, Claim, WHOLE_PPM};
use crate::proposal::{DailyCountReport, ProposalBody, Report};

/// Maximum number of sessions: enough for 500 nodes that each restart a few times while the reserve leases of
/// their older sessions have yet to expire.
const SESSIONS_MAX: usize = 4096;
/// Maximum number of pools with a holder: 1,024 tenants with four pools each.
const POOLS_MAX: usize = 4096;
/// Maximum number of claims over all pools: 16 bytes each, 4 MB. Beyond it a node gets no claim on a further
/// pool until another claim is returned.
const CLAIMS_MAX: usize = 1 << 18;
/// Maximum number of daily counts that were drawn on in one day.
const DAILY_COUNTS_MAX: usize = 1 << 14;
/// Longest lease term that a report may request. The shares of a dead node are unavailable for that long.
pub(crate) const TERM_MAX_MS: u32 = 600_000;
/// Milliseconds per day of the log's clock.
const DAY_MS: u64 = 86_400_000;
/// Half of the reserve is assigned to the known sessions, so that new ones receive some of it at once.
const RESERVE_ASSIGNED_PPM: u32 = WHOLE_PPM / 2;

/// A known session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SessionEntry {
    peer: Peer,
    /// Number of its last report. A report with the same or a lower number is a replay.
    seq: u32,
    /// Its share of every pool's reserve.
    reserve: u32,
    /// Number of pools that it has a claim on.
    claims: u32,
}

/// A session's claim on a pool.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct PoolClaim {
    demand: u32,
    min_share: u32,
    held: u32,
}

impl From<&PoolClaim> for Claim {
    fn from(p: &PoolClaim) -> Self {
        Claim { demand: p.demand, min_share: p.min_share, held: p.held }
    }
}

/// The part of the state that is identical at all nodes at the same log index.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct ReplicatedState {
    next_session_id: u32,
    /// The newest policy version of any report.
    policy_version: u64,
    /// Days since 1970 by the log's clock.
    day: u32,
    /// The newest timestamp of any entry, by the log's clock.
    stamp_ms: u64,
    sessions: BTreeMap<u32, SessionEntry>,
    pools: BTreeMap<u32, BTreeMap<u32, PoolClaim>>,
    /// Tokens granted from each daily count; never less than the number admitted.
    daily_granted: BTreeMap<u32, u64>,
}

/// The effects of one entry.
#[derive(Debug, Default)]
pub(crate) struct Changes {
    /// Pools whose shares may have changed.
    pub pools: Vec<u32>,
    /// The sender and number of the applied report.
    pub report: Option<(Peer, u32)>,
    /// Daily tokens granted to the sender: (count id, limit, tokens).
    pub daily_grants: Vec<(u32, u64, u32)>,
}

/// The replicated state together with the times at which this node learned of each lease.
#[derive(Clone, Debug, Default)]
pub struct State {
    replicated: ReplicatedState,
    by_peer: BTreeMap<Peer, u32>,
    claim_count: usize,
    demand_leases: Leases<u32>,
    reserve_leases: Leases<u32>,
}

impl State {
    pub(crate) fn apply(&mut self, now: Duration, decided: &DecidedEntry) -> Changes {
        let replicated = &mut self.replicated;
        replicated.stamp_ms = replicated.stamp_ms.max(decided.timestamp.0);
        let day = u32::try_from(replicated.stamp_ms / DAY_MS).unwrap_or(u32::MAX);
        if day > replicated.day {
            replicated.day = day;
            replicated.daily_granted.clear();
        }
        match ProposalBody::decode(&decided.proposal.body) {
            Some(ProposalBody::Report(report)) => self.report(now, decided, &report),
            Some(ProposalBody::EndLeases(ends)) => {
                let mut changes = Changes::default();
                for (session_id, grant, all) in ends {
                    changes.pools.extend(self.end_lease(session_id, Index(grant), all));
                }
                changes.pools.sort_unstable();
                changes.pools.dedup();
                for pool in changes.pools.clone() {
                    self.distribute_free(pool);
                }
                changes
            }
            None => Changes::default(),
        }
    }

    fn report(&mut self, now: Duration, decided: &DecidedEntry, report: &Report) -> Changes {
        let peer = &decided.proposal.proposer;
        let longest_ms = report.term_ms.max(report.reserve_ms);
        if longest_ms > TERM_MAX_MS || report.term_ms > report.reserve_ms {
            return Changes::default();
        }
        let known = self.by_peer.get(peer).copied();
        let Some(session_id) = known.or_else(|| self.add_session(peer)) else { return Changes::default() };
        let replicated = &mut self.replicated;
        let session_count = replicated.sessions.len();
        let reserved: u64 = replicated.sessions.values().map(|m| u64::from(m.reserve)).sum();
        let Some(session) = replicated.sessions.get_mut(&session_id) else { return Changes::default() };
        if known.is_some() && report.seq <= session.seq {
            return Changes::default();
        }
        session.seq = report.seq;
        let free = u64::from(WHOLE_PPM).saturating_sub(reserved) as u32;
        session.reserve = session.reserve.min(report.reserve_limit);
        let shortfall = reserve_target(session_count).saturating_sub(session.reserve);
        // What the session gave up in this entry is not counted as free; the next entry may assign it.
        session.reserve += shortfall.min(free / 2);
        replicated.policy_version = replicated.policy_version.max(report.policy_version);
        let mut changes = Changes { report: Some((peer.clone(), report.seq)), ..Changes::default() };
        for item in &report.items {
            self.update_claim(
                session_id,
                item.pool,
                item.demand.min(WHOLE_PPM),
                item.min_share.min(WHOLE_PPM),
                item.share_limit,
            );
            changes.pools.push(item.pool);
        }
        for pool in changes.pools.clone() {
            self.distribute_free(pool);
        }
        let current = report.policy_version >= self.replicated.policy_version;
        changes.daily_grants = report.days.iter().filter_map(|d| self.grant_daily(d, current)).collect();
        let grant = |term_ms| Grant { holder: peer.clone(), index: decided.index, term_ms };
        self.reserve_leases.grant(now, session_id, grant(report.reserve_ms));
        if self.replicated.sessions.get(&session_id).is_some_and(|m| m.claims > 0) {
            self.demand_leases.grant(now, session_id, grant(report.term_ms));
        } else if let Some(old) = self.demand_leases.get(&session_id).map(|g| g.index) {
            self.demand_leases.end(&session_id, old);
        }
        changes
    }

    fn add_session(&mut self, peer: &Peer) -> Option<u32> {
        let replicated = &mut self.replicated;
        if replicated.sessions.len() >= SESSIONS_MAX {
            return None;
        }
        let session_id = replicated.next_session_id;
        replicated.next_session_id += 1;
        replicated
            .sessions
            .insert(session_id, SessionEntry { peer: peer.clone(), seq: 0, reserve: 0, claims: 0 });
        self.by_peer.insert(peer.clone(), session_id);
        Some(session_id)
    }

    /// Updates a session's claim. This can only lower the share it holds.
    fn update_claim(&mut self, session_id: u32, pool: u32, demand: u32, min_share: u32, share_limit: u32) {
        let Some(session) = self.replicated.sessions.get_mut(&session_id) else { return };
        let pools = &mut self.replicated.pools;
        if demand == 0 && share_limit == 0 {
            let Some(parts) = pools.get_mut(&pool) else { return };
            if parts.remove(&session_id).is_some() {
                session.claims -= 1;
                self.claim_count -= 1;
            }
            if parts.is_empty() {
                pools.remove(&pool);
            }
            return;
        }
        let known = pools.get(&pool).is_some_and(|p| p.contains_key(&session_id));
        if !known {
            if self.claim_count >= CLAIMS_MAX || (pools.len() >= POOLS_MAX && !pools.contains_key(&pool)) {
                return;
            }
            session.claims += 1;
            self.claim_count += 1;
        }
        let part = pools.entry(pool).or_default().entry(session_id).or_insert(PoolClaim {
            demand,
            min_share,
            held: 0,
        });
        *part = PoolClaim { demand, min_share, held: part.held.min(share_limit) };
    }

    /// Distributes the free part of a pool to the sessions below their targets. It lowers no share; only the
    /// holders do that.
    fn distribute_free(&mut self, pool: u32) {
        let Some(parts) = self.replicated.pools.get_mut(&pool) else { return };
        let claims: Vec<Claim> = parts.values().map(Claim::from).collect();
        let held: u64 = claims.iter().map(|c| u64::from(c.held)).sum();
        let free = u64::from(WHOLE_PPM).saturating_sub(held);
        let shortfall: Vec<u64> =
            targets(&claims).iter().zip(&claims).map(|(t, c)| u64::from(t.saturating_sub(c.held))).collect();
        let sum: u64 = shortfall.iter().sum();
        if sum == 0 {
            return;
        }
        for (part, shortfall) in parts.values_mut().zip(shortfall) {
            part.held += (shortfall * free.min(sum) / sum) as u32;
        }
    }

    fn grant_daily(&mut self, item: &DailyCountReport, current: bool) -> Option<(u32, u64, u32)> {
        let days = &mut self.replicated.daily_granted;
        if item.day != self.replicated.day
            || (!days.contains_key(&item.pool) && days.len() >= DAILY_COUNTS_MAX)
        {
            return None;
        }
        let granted = days.entry(item.pool).or_default();
        *granted = granted.saturating_sub(u64::from(item.returned));
        if !current {
            return None;
        }
        let n = u64::from(item.requested).min(item.limit.saturating_sub(*granted));
        *granted += n;
        Some((item.pool, item.limit, n as u32))
    }

    /// Ends a session's demand shares, or the whole session if `all`, provided that its lease is still the
    /// one named by `grant`. Returns the pools in which it had a share.
    fn end_lease(&mut self, session_id: u32, grant: Index, all: bool) -> Vec<u32> {
        let ended = if all {
            self.reserve_leases.end(&session_id, grant)
        } else {
            self.demand_leases.end(&session_id, grant)
        };
        if !ended {
            return Vec::new();
        }
        let mut affected_pools = Vec::new();
        for (pool, parts) in &mut self.replicated.pools {
            if parts.remove(&session_id).is_some() {
                self.claim_count -= 1;
                affected_pools.push(*pool);
            }
        }
        self.replicated.pools.retain(|_, parts| !parts.is_empty());
        if let Some(m) = self.replicated.sessions.get_mut(&session_id) {
            m.claims = 0;
        }
        if all {
            if let Some(share) = self.demand_leases.get(&session_id).map(|g| g.index) {
                self.demand_leases.end(&session_id, share);
            }
            if let Some(m) = self.replicated.sessions.remove(&session_id) {
                self.by_peer.remove(&m.peer);
            }
        }
        affected_pools
    }

    /// Leases that have expired by this node's clock, to be proposed for ending.
    pub(crate) fn expired_leases(&self, now: Duration) -> Vec<(u32, u64, bool)> {
        let all = self.reserve_leases.expired(now).map(|(session_id, g)| (*session_id, g.index.0, true));
        let some = self.demand_leases.expired(now).map(|(session_id, g)| (*session_id, g.index.0, false));
        all.chain(some).take(crate::proposal::ENDS_MAX).collect()
    }

    pub(crate) fn session_id(&self, peer: &Peer) -> Option<u32> {
        self.by_peer.get(peer).copied()
    }

    /// A session's last report number and reserve share.
    pub(crate) fn session(&self, session_id: u32) -> Option<(u32, u32)> {
        self.replicated.sessions.get(&session_id).map(|m| (m.seq, m.reserve))
    }

    pub(crate) fn reserve_target(&self) -> u32 {
        reserve_target(self.replicated.sessions.len())
    }

    /// The demand and the share of a session in a pool.
    pub(crate) fn demand_and_share(&self, pool: u32, session_id: u32) -> Option<(u32, u32)> {
        self.replicated.pools.get(&pool)?.get(&session_id).map(|p| (p.demand, p.held))
    }

    /// Returns a session's target share of a pool with the demand known to the log, its target share with
    /// `demand`, and whether another session is clearly short: its share is clearly below both its target and
    /// what it needs or, if `demand` is 0, below what it needs.
    pub(crate) fn target_share(
        &self,
        pool: u32,
        session_id: u32,
        demand: u32,
        min_share: u32,
    ) -> (u32, u32, bool) {
        let none = BTreeMap::new();
        let parts = self.replicated.pools.get(&pool).unwrap_or(&none);
        let mut claims: Vec<Claim> = parts.values().map(Claim::from).collect();
        let position = parts.range(..session_id).count();
        let mut known = 0;
        if parts.contains_key(&session_id) {
            known = targets(&claims)[position];
        } else {
            claims.insert(position, Claim { demand, min_share, held: 0 });
        }
        (claims[position].demand, claims[position].min_share) = (demand, min_share);
        let targets = targets(&claims);
        let shortfall = |(c, t): (&Claim, &u32)| {
            // If the demand of many nodes moves away at once, outdated demand in the log keeps the targets of
            // the others low.
            let needs = (*t).min(c.demand.saturating_add(c.demand / 4));
            let needs = if demand == 0 { needs.max(c.demand) } else { needs };
            needs > c.held + c.held / 8 + 2_000
        };
        let others_short =
            claims.iter().zip(&targets).enumerate().any(|(i, ct)| i != position && shortfall(ct));
        (known, targets[position], others_short)
    }

    /// The peer of a session, to be looked up before an entry that ends leases is applied.
    pub(crate) fn peer(&self, session_id: u32) -> Option<&Peer> {
        self.replicated.sessions.get(&session_id).map(|m| &m.peer)
    }

    /// Returns whether a session has a claim on any pool.
    pub(crate) fn has_claims(&self, session_id: u32) -> bool {
        self.replicated.sessions.get(&session_id).is_some_and(|m| m.claims > 0)
    }

    /// Number of known sessions.
    pub fn session_count(&self) -> usize {
        self.replicated.sessions.len()
    }

    /// Days since 1970 by the log's clock, and its newest timestamp in milliseconds.
    pub fn log_clock(&self) -> (u32, u64) {
        (self.replicated.day, self.replicated.stamp_ms)
    }

    pub(crate) fn granted_today(&self, count: u32) -> u64 {
        self.replicated.daily_granted.get(&count).copied().unwrap_or(0)
    }

    /// The largest sum of demand shares over the pools, and the sum of the reserve shares; each is at most
    /// [`WHOLE_PPM`].
    pub fn share_sums(&self) -> (u64, u64) {
        let pool = |p: &BTreeMap<u32, PoolClaim>| p.values().map(|p| u64::from(p.held)).sum();
        let reserve = self.replicated.sessions.values().map(|m| u64::from(m.reserve)).sum();
        (self.replicated.pools.values().map(pool).max().unwrap_or(0), reserve)
    }

    pub(crate) fn snapshot(&self) -> Vec<u8> {
        // Cannot fail: the values are plain data that postcard can always encode.
        postcard::to_stdvec(&(&self.replicated, self.demand_leases.grants(), self.reserve_leases.grants()))
            .unwrap_or_default()
    }

    pub(crate) fn restored(now: Duration, bytes: &[u8]) -> Result<Self, postcard::Error> {
        type Grants = BTreeMap<u32, Grant>;
        let (replicated, shares, reserves): (ReplicatedState, Grants, Grants) = postcard::from_bytes(bytes)?;
        let by_peer = replicated.sessions.iter().map(|(s, m)| (m.peer.clone(), *s)).collect();
        let claim_count = replicated.pools.values().map(BTreeMap::len).sum();
        let (demand_leases, reserve_leases) =
            (Leases::restored(shares, now), Leases::restored(reserves, now));
        Ok(Self { replicated, by_peer, claim_count, demand_leases, reserve_leases })
    }
}

fn reserve_target(sessions: usize) -> u32 {
    RESERVE_ASSIGNED_PPM / (sessions.max(1) as u32)
}
