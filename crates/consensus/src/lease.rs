//! Leases that the log grants: rights that end by themselves when their holder can't renew them.
//!
//! The holder counts from when it **asked** ([`HeldLease`]), the one who takes the right away from when it **learnt** of the
//! grant ([`Leases::expired`]), each by its own boot clock. The asking came before the deciding and that before the
//! learning, so the holder's count ends first, whatever was slow, stopped or cut off, as long as two boot clocks differ
//! in speed by less than [`DRIFT`]. No wall clock is read.
//!
//! Taking away is an entry itself and names the grant that it ends: a renewal decided before it wins.

use std::collections::BTreeMap;
use std::time::Duration;

use magpietally_transport::Peer;
use serde::{Deserialize, Serialize};

use crate::entry::Index;

/// How much longer than the term the waiter waits, as a share of it: crystal clocks differ by less than a thousandth;
/// virtual machines under a disciplined clock slew by at most a two-thousandth.
pub const DRIFT: f64 = 0.01;
/// And this much on top, for the rounding of timers.
pub const SLACK: Duration = Duration::from_millis(20);

/// A lease as the log has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Who holds it, at which start: a restarted node holds nothing of its earlier session.
    pub holder: Peer,
    /// The entry that granted or last renewed it.
    pub index: Index,
    /// How long it lasts from the holder's asking on, in milliseconds.
    pub term_ms: u32,
}

impl Grant {
    /// How long a waiter waits from when it learnt of the grant.
    pub fn wait(&self) -> Duration {
        let term = Duration::from_millis(u64::from(self.term_ms));
        term + term.mul_f64(DRIFT) + SLACK
    }
}

/// The leases of one kind, by key: what the log says of them, and when this node learnt of each.
#[derive(Clone, Debug)]
pub struct Leases<K: Ord + Clone> {
    grants: BTreeMap<K, Grant>,
    learnt: BTreeMap<K, Duration>,
}

impl<K: Ord + Clone> Default for Leases<K> {
    fn default() -> Self {
        Self { grants: BTreeMap::new(), learnt: BTreeMap::new() }
    }
}

impl<K: Ord + Clone> Leases<K> {
    /// None yet, or those of a snapshot, learnt at `now`.
    pub fn restored(grants: BTreeMap<K, Grant>, now: Duration) -> Self {
        let learnt = grants.keys().map(|k| (k.clone(), now)).collect();
        Self { grants, learnt }
    }

    /// What the log says, for a snapshot.
    pub fn grants(&self) -> &BTreeMap<K, Grant> {
        &self.grants
    }

    /// Who holds `key`, if anybody.
    pub fn get(&self, key: &K) -> Option<&Grant> {
        self.grants.get(key)
    }

    /// An entry grants or renews `key`; this node learns of it at `now`.
    pub fn grant(&mut self, now: Duration, key: K, grant: Grant) {
        self.learnt.insert(key.clone(), now);
        self.grants.insert(key, grant);
    }

    /// An entry ends `key`'s lease if it is still the one granted at `grant`; whether it was.
    pub fn end(&mut self, key: &K, grant: Index) -> bool {
        if self.grants.get(key).is_none_or(|g| g.index != grant) {
            return false;
        }
        self.grants.remove(key);
        self.learnt.remove(key);
        true
    }

    /// The leases that have ended for their holders by now, by this node's count: to be proposed for ending.
    pub fn expired(&self, now: Duration) -> impl Iterator<Item = (&K, &Grant)> {
        self.grants.iter().filter(move |(k, g)| self.learnt.get(k).is_some_and(|at| now >= *at + g.wait()))
    }

    /// When the next of them lapses.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.grants.iter().filter_map(|(k, g)| Some(*self.learnt.get(k)? + g.wait())).min()
    }
}

/// A lease in its holder's own hands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    until: Duration,
}

impl HeldLease {
    /// A lease of `term` that was asked for at `asked`, by the holder's boot clock, and granted since.
    pub fn new(asked: Duration, term: Duration) -> Self {
        Self { until: asked + term }
    }

    /// Whether it holds at `now`. To be asked at the very moment of each use, with a clock read after the process was last
    /// stopped, never once for a batch of work.
    pub fn is_valid(&self, now: Duration) -> bool {
        now < self.until
    }

    /// When it ends.
    pub fn expires_at(&self) -> Duration {
        self.until
    }

    /// The later of two renewals.
    pub fn or_later(self, other: Self) -> Self {
        Self { until: self.until.max(other.until) }
    }
}

#[cfg(test)]
mod tests;
