//! What follows from the log's entries alone: who holds which part of what, and the day's counts.

use std::collections::BTreeMap;
use std::time::Duration;

use magpietally_consensus::{DecidedEntry, Grant, Index, Leases};
use magpietally_transport::Peer;
use serde::{Deserialize, Serialize};

use crate::division::{targets, Claim, WHOLE_PPM};
use crate::entry::{DailyCountReport, ProposalBody, Report};

/// Sessions that are counted at most: 500 nodes, each restarted some times while its older sessions' reserve lapses.
const MEMBERS_MAX: usize = 4096;
/// Pools with a holder at most: 1,024 tenants with four each.
const POOLS_MAX: usize = 4096;
/// Parts in all pools at most: 16 bytes each, 4 MB. Past it a node has no part of another pool until one is given back.
const PARTS_MAX: usize = 1 << 18;
/// Day counts at most that have been drawn on in one day.
const DAYS_MAX: usize = 1 << 14;
/// Longest lease that a report may ask for: it is what a dead node's parts are lost for.
pub(crate) const TERM_MAX_MS: u32 = 600_000;
/// Milliseconds of the log's clock in a day.
const DAY_MS: u64 = 86_400_000;
/// Of the reserve, half is given to the nodes that are counted, so that new ones find some of it at once.
const RESERVED: u32 = WHOLE_PPM / 2;

/// One session that is counted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Member {
    peer: Peer,
    /// The last report's number: one with no higher number is a replay.
    seq: u32,
    /// Its part of every pool's reserve.
    reserve: u32,
    /// Pools that it has a claim on.
    parts: u32,
}

/// One claim on a pool, as the log has it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Part {
    demand: u32,
    min_share: u32,
    held: u32,
}

impl From<&Part> for Claim {
    fn from(p: &Part) -> Self {
        Claim { demand: p.demand, min_share: p.min_share, held: p.held }
    }
}

/// The half of the state that is the same at every node at the same index.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Common {
    next: u32,
    /// The newest policy version that a report was made under.
    version: u64,
    /// Days since 1970 by the log's clock.
    day: u32,
    /// When that was last heard, by the log's clock.
    stamp_ms: u64,
    members: BTreeMap<u32, Member>,
    pools: BTreeMap<u32, BTreeMap<u32, Part>>,
    /// Granted of each day's count: never less than was admitted.
    days: BTreeMap<u32, u64>,
}

/// What an entry changed.
#[derive(Debug, Default)]
pub(crate) struct Changed {
    /// Pools whose parts may be others now.
    pub pools: Vec<u32>,
    /// Whose report it was, and its number.
    pub report: Option<(Peer, u32)>,
    /// Granted to its sender: (count's number, limit, how many).
    pub days: Vec<(u32, u64, u32)>,
}

/// The room's state as it follows from the entries, and when this node learnt of each lease.
#[derive(Clone, Debug, Default)]
pub struct State {
    common: Common,
    by_peer: BTreeMap<Peer, u32>,
    parts: usize,
    shares: Leases<u32>,
    reserves: Leases<u32>,
}

impl State {
    pub(crate) fn apply(&mut self, now: Duration, decided: &DecidedEntry) -> Changed {
        let c = &mut self.common;
        c.stamp_ms = c.stamp_ms.max(decided.timestamp.0);
        let day = u32::try_from(c.stamp_ms / DAY_MS).unwrap_or(u32::MAX);
        if day > c.day {
            c.day = day;
            c.days.clear();
        }
        match ProposalBody::decode(&decided.proposal.body) {
            Some(ProposalBody::Report(r)) => self.report(now, decided, &r),
            Some(ProposalBody::EndLeases(ends)) => {
                let mut changed = Changed::default();
                for (sid, grant, all) in ends {
                    changed.pools.extend(self.end(sid, Index(grant), all));
                }
                changed.pools.sort_unstable();
                changed.pools.dedup();
                for pool in changed.pools.clone() {
                    self.divide(pool);
                }
                changed
            }
            None => Changed::default(),
        }
    }

    fn report(&mut self, now: Duration, decided: &DecidedEntry, r: &Report) -> Changed {
        let peer = &decided.proposal.proposer;
        let ms = r.term_ms.max(r.reserve_ms);
        if ms > TERM_MAX_MS || r.term_ms > r.reserve_ms {
            return Changed::default();
        }
        let known = self.by_peer.get(peer).copied();
        let Some(sid) = known.or_else(|| self.join(peer)) else { return Changed::default() };
        let c = &mut self.common;
        let counted = c.members.len();
        let reserved: u64 = c.members.values().map(|m| u64::from(m.reserve)).sum();
        let Some(member) = c.members.get_mut(&sid) else { return Changed::default() };
        if known.is_some() && r.seq <= member.seq {
            return Changed::default();
        }
        member.seq = r.seq;
        let free = u64::from(WHOLE_PPM).saturating_sub(reserved) as u32;
        member.reserve = member.reserve.min(r.reserve_limit);
        let lacks = reserve_target(counted).saturating_sub(member.reserve);
        // What it gave up in this very entry is not counted as free: it may be had by the next.
        member.reserve += lacks.min(free / 2);
        c.version = c.version.max(r.policy_version);
        let mut changed = Changed { report: Some((peer.clone(), r.seq)), ..Changed::default() };
        for item in &r.items {
            self.claim(
                sid,
                item.pool,
                item.demand.min(WHOLE_PPM),
                item.min_share.min(WHOLE_PPM),
                item.share_limit,
            );
            changed.pools.push(item.pool);
        }
        for pool in changed.pools.clone() {
            self.divide(pool);
        }
        let current = r.policy_version >= self.common.version;
        changed.days = r.days.iter().filter_map(|d| self.count(d, current)).collect();
        let grant = |term_ms| Grant { holder: peer.clone(), index: decided.index, term_ms };
        self.reserves.grant(now, sid, grant(r.reserve_ms));
        if self.common.members.get(&sid).is_some_and(|m| m.parts > 0) {
            self.shares.grant(now, sid, grant(r.term_ms));
        } else if let Some(old) = self.shares.get(&sid).map(|g| g.index) {
            self.shares.end(&sid, old);
        }
        changed
    }

    fn join(&mut self, peer: &Peer) -> Option<u32> {
        let c = &mut self.common;
        if c.members.len() >= MEMBERS_MAX {
            return None;
        }
        let sid = c.next;
        c.next += 1;
        c.members.insert(sid, Member { peer: peer.clone(), seq: 0, reserve: 0, parts: 0 });
        self.by_peer.insert(peer.clone(), sid);
        Some(sid)
    }

    /// A member's claim changes: what it holds may only become less by it.
    fn claim(&mut self, sid: u32, pool: u32, demand: u32, min_share: u32, share_limit: u32) {
        let Some(member) = self.common.members.get_mut(&sid) else { return };
        let pools = &mut self.common.pools;
        if demand == 0 && share_limit == 0 {
            let Some(parts) = pools.get_mut(&pool) else { return };
            if parts.remove(&sid).is_some() {
                member.parts -= 1;
                self.parts -= 1;
            }
            if parts.is_empty() {
                pools.remove(&pool);
            }
            return;
        }
        let known = pools.get(&pool).is_some_and(|p| p.contains_key(&sid));
        if !known {
            if self.parts >= PARTS_MAX || (pools.len() >= POOLS_MAX && !pools.contains_key(&pool)) {
                return;
            }
            member.parts += 1;
            self.parts += 1;
        }
        let part = pools.entry(pool).or_default().entry(sid).or_insert(Part { demand, min_share, held: 0 });
        *part = Part { demand, min_share, held: part.held.min(share_limit) };
    }

    /// Gives what is free of a pool to those who have less than they should. Nobody is lowered: holders do that.
    fn divide(&mut self, pool: u32) {
        let Some(parts) = self.common.pools.get_mut(&pool) else { return };
        let claims: Vec<Claim> = parts.values().map(Claim::from).collect();
        let held: u64 = claims.iter().map(|c| u64::from(c.held)).sum();
        let free = u64::from(WHOLE_PPM).saturating_sub(held);
        let lacks: Vec<u64> =
            targets(&claims).iter().zip(&claims).map(|(t, c)| u64::from(t.saturating_sub(c.held))).collect();
        let sum: u64 = lacks.iter().sum();
        if sum == 0 {
            return;
        }
        for (part, lacks) in parts.values_mut().zip(lacks) {
            part.held += (lacks * free.min(sum) / sum) as u32;
        }
    }

    fn count(&mut self, item: &DailyCountReport, current: bool) -> Option<(u32, u64, u32)> {
        let days = &mut self.common.days;
        if item.day != self.common.day || (!days.contains_key(&item.pool) && days.len() >= DAYS_MAX) {
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

    /// Ends a member's parts, or all of it, if its lease is still the one named; the pools that it had parts of.
    fn end(&mut self, sid: u32, grant: Index, all: bool) -> Vec<u32> {
        let ended = if all { self.reserves.end(&sid, grant) } else { self.shares.end(&sid, grant) };
        if !ended {
            return Vec::new();
        }
        let mut had = Vec::new();
        for (pool, parts) in &mut self.common.pools {
            if parts.remove(&sid).is_some() {
                self.parts -= 1;
                had.push(*pool);
            }
        }
        self.common.pools.retain(|_, parts| !parts.is_empty());
        if let Some(m) = self.common.members.get_mut(&sid) {
            m.parts = 0;
        }
        if all {
            if let Some(share) = self.shares.get(&sid).map(|g| g.index) {
                self.shares.end(&sid, share);
            }
            if let Some(m) = self.common.members.remove(&sid) {
                self.by_peer.remove(&m.peer);
            }
        }
        had
    }

    /// Leases that have ended for their holders by this node's count, to be proposed for ending.
    pub(crate) fn lapsed(&self, now: Duration) -> Vec<(u32, u64, bool)> {
        let all = self.reserves.expired(now).map(|(sid, g)| (*sid, g.index.0, true));
        let some = self.shares.expired(now).map(|(sid, g)| (*sid, g.index.0, false));
        all.chain(some).take(crate::entry::ENDS_MAX).collect()
    }

    pub(crate) fn sid(&self, peer: &Peer) -> Option<u32> {
        self.by_peer.get(peer).copied()
    }

    /// The last report's number and the part of the reserve of a member.
    pub(crate) fn member(&self, sid: u32) -> Option<(u32, u32)> {
        self.common.members.get(&sid).map(|m| (m.seq, m.reserve))
    }

    pub(crate) fn reserve_target(&self) -> u32 {
        reserve_target(self.common.members.len())
    }

    /// What a member wants and holds of a pool.
    pub(crate) fn part(&self, pool: u32, sid: u32) -> Option<(u32, u32)> {
        self.common.pools.get(&pool)?.get(&sid).map(|p| (p.demand, p.held))
    }

    /// What a member should have of a pool: as the log knows its demand, and if it wanted `demand`. And whether another
    /// clearly has less than it wants and should have, or, `demand` being nothing, than it wants.
    pub(crate) fn target(&self, pool: u32, sid: u32, demand: u32, min_share: u32) -> (u32, u32, bool) {
        let none = BTreeMap::new();
        let parts = self.common.pools.get(&pool).unwrap_or(&none);
        let mut claims: Vec<Claim> = parts.values().map(Claim::from).collect();
        let place = parts.range(..sid).count();
        let mut known = 0;
        if parts.contains_key(&sid) {
            known = targets(&claims)[place];
        } else {
            claims.insert(place, Claim { demand, min_share, held: 0 });
        }
        (claims[place].demand, claims[place].min_share) = (demand, min_share);
        let targets = targets(&claims);
        let lacks = |(c, t): (&Claim, &u32)| {
            // While many nodes' demand moves away at once, the log's old word of the others' keeps targets low.
            let needs = (*t).min(c.demand.saturating_add(c.demand / 4));
            let needs = if demand == 0 { needs.max(c.demand) } else { needs };
            needs > c.held + c.held / 8 + 2_000
        };
        let another = claims.iter().zip(&targets).enumerate().any(|(i, ct)| i != place && lacks(ct));
        (known, targets[place], another)
    }

    /// Whose sessions an entry of ended leases names, as this state has them before it.
    pub(crate) fn peer(&self, sid: u32) -> Option<&Peer> {
        self.common.members.get(&sid).map(|m| &m.peer)
    }

    /// Whether a session has a claim on any pool.
    pub(crate) fn holds(&self, sid: u32) -> bool {
        self.common.members.get(&sid).is_some_and(|m| m.parts > 0)
    }

    /// How many sessions are counted.
    pub fn session_count(&self) -> usize {
        self.common.members.len()
    }

    /// Days since 1970 by the log's clock, and its last stamp in milliseconds.
    pub fn log_clock(&self) -> (u32, u64) {
        (self.common.day, self.common.stamp_ms)
    }

    pub(crate) fn granted(&self, count: u32) -> u64 {
        self.common.days.get(&count).copied().unwrap_or(0)
    }

    /// The largest sum of parts of any pool, and the sum of the parts of the reserve: each at most [`WHOLE_PPM`].
    pub fn share_sums(&self) -> (u64, u64) {
        let pool = |p: &BTreeMap<u32, Part>| p.values().map(|p| u64::from(p.held)).sum();
        let reserve = self.common.members.values().map(|m| u64::from(m.reserve)).sum();
        (self.common.pools.values().map(pool).max().unwrap_or(0), reserve)
    }

    pub(crate) fn snapshot(&self) -> Vec<u8> {
        // Plain values: postcard has nothing to refuse.
        postcard::to_stdvec(&(&self.common, self.shares.grants(), self.reserves.grants())).unwrap_or_default()
    }

    pub(crate) fn restored(now: Duration, bytes: &[u8]) -> Result<Self, postcard::Error> {
        type Grants = BTreeMap<u32, Grant>;
        let (common, shares, reserves): (Common, Grants, Grants) = postcard::from_bytes(bytes)?;
        let by_peer = common.members.iter().map(|(s, m)| (m.peer.clone(), *s)).collect();
        let parts = common.pools.values().map(BTreeMap::len).sum();
        let (shares, reserves) = (Leases::restored(shares, now), Leases::restored(reserves, now));
        Ok(Self { common, by_peer, parts, shares, reserves })
    }
}

fn reserve_target(members: usize) -> u32 {
    RESERVED / (members.max(1) as u32)
}
