//! Leases granted by the log: rights that expire on their own when the holder cannot renew them.
//!
//! The holder counts the term from when it **requested** the lease ([`HeldLease`]). A node that revokes the
//! lease counts from when it **learned** of the grant ([`Leases::expired`]). Each uses its own boot clock.
//! The request precedes the decision, and the decision precedes learning of it, so the holder's term always
//! ends first, whatever was slow, paused or disconnected, provided that the speeds of two boot clocks differ
//! by less than [`DRIFT`]. No wall clock is read.
//!
//! A revocation is itself an entry and names the grant that it ends: a renewal that is decided before it
//! takes precedence.

use std::collections::BTreeMap;
use std::time::Duration;

use magpietally_transport::Peer;
use serde::{Deserialize, Serialize};

use crate::entry::Index;

/// Extra waiting time before a lease is treated as expired, as a fraction of its term. Crystal clocks differ
/// by less than a thousandth; the clocks of virtual machines under time synchronization slew by at most one
/// part in two thousand.
pub const DRIFT: f64 = 0.01;
/// Additional waiting time on top of [`DRIFT`], for timer rounding.
pub const SLACK: Duration = Duration::from_millis(20);

/// A lease as recorded in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The holder and its session: a restarted node holds no lease of an earlier session.
    pub holder: Peer,
    /// The entry that granted the lease or last renewed it.
    pub index: Index,
    /// Term in milliseconds, from the holder's request.
    pub term_ms: u32,
}

impl Grant {
    /// How long a node waits, from when it learned of the grant, until it treats the lease as expired.
    pub fn wait(&self) -> Duration {
        let term = Duration::from_millis(u64::from(self.term_ms));
        term + term.mul_f64(DRIFT) + SLACK
    }
}

/// The leases of one kind by key: the grants recorded in the log, and when this node learned of each.
#[derive(Clone, Debug)]
pub struct Leases<K: Ord + Clone> {
    grants: BTreeMap<K, Grant>,
    learned_at: BTreeMap<K, Duration>,
}

impl<K: Ord + Clone> Default for Leases<K> {
    fn default() -> Self {
        Self { grants: BTreeMap::new(), learned_at: BTreeMap::new() }
    }
}

impl<K: Ord + Clone> Leases<K> {
    /// The leases of a snapshot, learned at `now`.
    pub fn restored(grants: BTreeMap<K, Grant>, now: Duration) -> Self {
        let learned_at = grants.keys().map(|k| (k.clone(), now)).collect();
        Self { grants, learned_at }
    }

    /// The grants recorded in the log, for a snapshot.
    pub fn grants(&self) -> &BTreeMap<K, Grant> {
        &self.grants
    }

    /// The current grant of `key`, if any.
    pub fn get(&self, key: &K) -> Option<&Grant> {
        self.grants.get(key)
    }

    /// Applies an entry that grants or renews `key`, learned by this node at `now`.
    pub fn grant(&mut self, now: Duration, key: K, grant: Grant) {
        self.learned_at.insert(key.clone(), now);
        self.grants.insert(key, grant);
    }

    /// Applies an entry that ends the lease of `key`, if it is still the one granted at `grant`. Returns
    /// whether it was.
    pub fn end(&mut self, key: &K, grant: Index) -> bool {
        if self.grants.get(key).is_none_or(|g| g.index != grant) {
            return false;
        }
        self.grants.remove(key);
        self.learned_at.remove(key);
        true
    }

    /// The leases whose term has ended for their holders by this node's clock, to be proposed for ending.
    pub fn expired(&self, now: Duration) -> impl Iterator<Item = (&K, &Grant)> {
        self.grants
            .iter()
            .filter(move |(k, g)| self.learned_at.get(k).is_some_and(|at| now >= *at + g.wait()))
    }

    /// When the next lease expires.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.grants.iter().filter_map(|(k, g)| Some(*self.learned_at.get(k)? + g.wait())).min()
    }
}

/// A lease as seen by its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    expires_at: Duration,
}

impl HeldLease {
    /// A lease of `term` that was requested at `requested_at` by the holder's boot clock and has since been
    /// granted.
    pub fn new(requested_at: Duration, term: Duration) -> Self {
        Self { expires_at: requested_at + term }
    }

    /// Returns whether the lease is valid at `now`. Check it immediately before each use, with a clock
    /// reading taken after the process last resumed from a pause; never once for a batch of work.
    pub fn is_valid(&self, now: Duration) -> bool {
        now < self.expires_at
    }

    /// When the lease expires, by the holder's boot clock.
    pub fn expires_at(&self) -> Duration {
        self.expires_at
    }

    /// The later of two renewals.
    pub fn or_later(self, other: Self) -> Self {
        Self { expires_at: self.expires_at.max(other.expires_at) }
    }
}

#[cfg(test)]
mod tests;
