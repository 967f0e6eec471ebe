//! A site's health, derived from the requests that its nodes handle.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::rules::Rules;

/// Number of slots of [`SLOT_LENGTH`] in a node's window. One second holds about a hundred requests at a
/// small site and is short enough that a failing site is detected within it.
const WINDOW_SLOTS: u64 = 10;
/// Slot length: a tenth of the window, so that the window slides smoothly.
const SLOT_LENGTH: Duration = Duration::from_millis(100);

/// What one node observed in its window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeMetrics {
    /// Total worth of the requests in the last second.
    pub requested_worth: u64,
    /// Worth of those that were answered in time.
    pub answered_worth: u64,
    /// Number of ready servers.
    pub ready_servers: u32,
    /// Measured capacity, in worth per second.
    pub capacity: u64,
}

/// Sliding window over the worth of requests of the last second.
#[derive(Clone, Debug, Default)]
pub struct RequestWindow {
    /// (slot number, requested worth, answered worth); at most [`WINDOW_SLOTS`] + 1.
    slots: VecDeque<(u64, u64, u64)>,
}

impl RequestWindow {
    /// Records a request of this worth that finished at `now`, answered in time or not.
    pub fn record(&mut self, now: Duration, worth: u64, in_time: bool) {
        let slot = (now.as_millis() / SLOT_LENGTH.as_millis()) as u64;
        self.drop_expired(slot);
        let answered_worth = if in_time { worth } else { 0 };
        match self.slots.back_mut() {
            Some(last) if last.0 >= slot => {
                last.1 = last.1.saturating_add(worth);
                last.2 = last.2.saturating_add(answered_worth);
            }
            _ => self.slots.push_back((slot, worth, answered_worth)),
        }
    }

    /// Returns the requested and the answered worth over the window that ends at `now`.
    pub fn totals(&mut self, now: Duration) -> (u64, u64) {
        self.drop_expired((now.as_millis() / SLOT_LENGTH.as_millis()) as u64);
        self.slots.iter().fold((0, 0), |(a, b), s| (a.saturating_add(s.1), b.saturating_add(s.2)))
    }

    fn drop_expired(&mut self, slot: u64) {
        while self.slots.front().is_some_and(|s| s.0 + WINDOW_SLOTS <= slot) {
            self.slots.pop_front();
        }
    }
}

/// Metrics summed over a site's nodes that are alive according to the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SiteMetrics {
    /// Number of live nodes.
    pub nodes: u32,
    /// Number of ready servers: the maximum over the nodes, since all nodes of a site see the same servers.
    pub ready_servers: u32,
    /// Worth of the requests, per second.
    pub requested_worth: u64,
    /// Worth of the requests answered in time, per second.
    pub answered_worth: u64,
    /// Capacity, in worth per second.
    pub capacity: u64,
}

impl SiteMetrics {
    /// Adds the metrics of a node.
    pub fn add(&mut self, metrics: &NodeMetrics) {
        self.nodes += 1;
        self.ready_servers = self.ready_servers.max(metrics.ready_servers);
        self.requested_worth = self.requested_worth.saturating_add(metrics.requested_worth);
        self.answered_worth =
            self.answered_worth.saturating_add(metrics.answered_worth.min(metrics.requested_worth));
        self.capacity = self.capacity.saturating_add(metrics.capacity);
    }

    /// The answered share of the requested worth, in thousandths; 1000 if there are no requests.
    pub fn answered_permille(&self) -> u32 {
        if self.requested_worth == 0 {
            return 1000;
        }
        // At most 1000, because the answered worth never exceeds the requested worth.
        (u128::from(self.answered_worth) * 1000 / u128::from(self.requested_worth)) as u32
    }

    /// Capacity beyond the current load.
    pub fn spare_capacity(&self) -> u64 {
        self.capacity.saturating_sub(self.requested_worth)
    }

    /// Evaluates the site's health. Between the thresholds `bad` and `good` a healthy site stays healthy and
    /// any other counts as degraded.
    pub fn evaluate(&self, rules: &Rules, previous: SiteHealth) -> SiteHealth {
        if self.nodes == 0
            || self.ready_servers == 0
            || (self.requested_worth > 0 && self.answered_worth == 0)
        {
            return SiteHealth::Down;
        }
        if self.nodes < rules.nodes_min
            || self.ready_servers < rules.boxes_min
            || self.answered_permille() < rules.bad
        {
            return SiteHealth::Degraded;
        }
        if self.answered_permille() >= rules.good || previous == SiteHealth::Healthy {
            return SiteHealth::Healthy;
        }
        SiteHealth::Degraded
    }
}

/// The health of a site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SiteHealth {
    /// It answers no requests.
    #[default]
    #[serde(rename = "Dead")]
    Down,
    /// It answers some requests.
    #[serde(rename = "Sick")]
    Degraded,
    /// It may advertise addresses.
    #[serde(rename = "Well")]
    Healthy,
}
