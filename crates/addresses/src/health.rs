//! A site's health, from what its nodes see anyway.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::rules::Rules;

/// A node's window is this many slots of [`SLOT_LENGTH`]: one second, long enough for a hundred requests at a small site and
/// short enough that a site that turns bad is seen within it.
const WINDOW_SLOTS: u64 = 10;
/// One slot: a tenth of the window, so that it slides smoothly.
const SLOT_LENGTH: Duration = Duration::from_millis(100);

/// What one node saw in its window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeMetrics {
    /// Worth asked for in the last second.
    pub requested_worth: u64,
    /// Of it, answered in time.
    pub answered_worth: u64,
    /// Boxes ready.
    pub ready_servers: u32,
    /// Worth a second that it can answer, as measured.
    pub capacity: u64,
}

/// Worth asked and answered over the last second.
#[derive(Clone, Debug, Default)]
pub struct RequestWindow {
    /// (slot's number, asked, answered); at most [`WINDOW_SLOTS`] + 1.
    slots: VecDeque<(u64, u64, u64)>,
}

impl RequestWindow {
    /// A request of this worth ended at `now`, answered in time or not.
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

    /// Asked and answered over the window that ends at `now`.
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

/// The sums over a site's nodes that are alive in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SiteMetrics {
    /// Nodes alive.
    pub nodes: u32,
    /// Boxes ready: nodes of a site see the same boxes, so the most that one sees.
    pub ready_servers: u32,
    /// Worth asked for a second.
    pub requested_worth: u64,
    /// Answered in time.
    pub answered_worth: u64,
    /// Worth a second that it can answer.
    pub capacity: u64,
}

impl SiteMetrics {
    /// Adds a node.
    pub fn add(&mut self, metrics: &NodeMetrics) {
        self.nodes += 1;
        self.ready_servers = self.ready_servers.max(metrics.ready_servers);
        self.requested_worth = self.requested_worth.saturating_add(metrics.requested_worth);
        self.answered_worth =
            self.answered_worth.saturating_add(metrics.answered_worth.min(metrics.requested_worth));
        self.capacity = self.capacity.saturating_add(metrics.capacity);
    }

    /// Answered of asked, in thousandths; all if nobody asks.
    pub fn answered_permille(&self) -> u32 {
        if self.requested_worth == 0 {
            return 1000;
        }
        // At most 1000, since no more is answered than asked.
        (u128::from(self.answered_worth) * 1000 / u128::from(self.requested_worth)) as u32
    }

    /// What could be asked of it beyond what is.
    pub fn spare_capacity(&self) -> u64 {
        self.capacity.saturating_sub(self.requested_worth)
    }

    /// The judgement, given the one before: between the two shares it stays what it was.
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

/// What a site is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SiteHealth {
    /// It answers nothing at all.
    #[default]
    #[serde(rename = "Dead")]
    Down,
    /// It answers some.
    #[serde(rename = "Sick")]
    Degraded,
    /// It may advertise.
    #[serde(rename = "Well")]
    Healthy,
}
