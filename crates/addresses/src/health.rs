//! A site's health, from what its nodes see anyway.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::rules::Rules;

/// A node's window is this many slots of [`SLOT`]: one second, long enough for a hundred requests at a small site and
/// short enough that a site that turns bad is seen within it.
const SLOTS: u64 = 10;
/// One slot: a tenth of the window, so that it slides smoothly.
const SLOT: Duration = Duration::from_millis(100);

/// What one node saw in its window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Figures {
    /// Worth asked for in the last second.
    pub asked: u64,
    /// Of it, answered in time.
    pub answered: u64,
    /// Boxes ready.
    pub boxes: u32,
    /// Worth a second that it can answer, as measured.
    pub capacity: u64,
}

/// Worth asked and answered over the last second.
#[derive(Clone, Debug, Default)]
pub struct Window {
    /// (slot's number, asked, answered); at most [`SLOTS`] + 1.
    slots: VecDeque<(u64, u64, u64)>,
}

impl Window {
    /// A request of this worth ended at `now`, answered in time or not.
    pub fn ended(&mut self, now: Duration, worth: u64, in_time: bool) {
        let slot = (now.as_millis() / SLOT.as_millis()) as u64;
        self.slide(slot);
        let answered = if in_time { worth } else { 0 };
        match self.slots.back_mut() {
            Some(last) if last.0 >= slot => {
                last.1 = last.1.saturating_add(worth);
                last.2 = last.2.saturating_add(answered);
            }
            _ => self.slots.push_back((slot, worth, answered)),
        }
    }

    /// Asked and answered over the window that ends at `now`.
    pub fn sums(&mut self, now: Duration) -> (u64, u64) {
        self.slide((now.as_millis() / SLOT.as_millis()) as u64);
        self.slots.iter().fold((0, 0), |(a, b), s| (a.saturating_add(s.1), b.saturating_add(s.2)))
    }

    fn slide(&mut self, slot: u64) {
        while self.slots.front().is_some_and(|s| s.0 + SLOTS <= slot) {
            self.slots.pop_front();
        }
    }
}

/// The sums over a site's nodes that are alive in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sums {
    /// Nodes alive.
    pub nodes: u32,
    /// Boxes ready: nodes of a site see the same boxes, so the most that one sees.
    pub boxes: u32,
    /// Worth asked for a second.
    pub asked: u64,
    /// Answered in time.
    pub answered: u64,
    /// Worth a second that it can answer.
    pub capacity: u64,
}

impl Sums {
    /// Adds a node.
    pub fn add(&mut self, f: &Figures) {
        self.nodes += 1;
        self.boxes = self.boxes.max(f.boxes);
        self.asked = self.asked.saturating_add(f.asked);
        self.answered = self.answered.saturating_add(f.answered.min(f.asked));
        self.capacity = self.capacity.saturating_add(f.capacity);
    }

    /// Answered of asked, in thousandths; all if nobody asks.
    pub fn share(&self) -> u32 {
        if self.asked == 0 {
            return 1000;
        }
        // At most 1000, since no more is answered than asked.
        (u128::from(self.answered) * 1000 / u128::from(self.asked)) as u32
    }

    /// What could be asked of it beyond what is.
    pub fn spare(&self) -> u64 {
        self.capacity.saturating_sub(self.asked)
    }

    /// The judgement, given the one before: between the two shares it stays what it was.
    pub fn judge(&self, rules: &Rules, before: Judgement) -> Judgement {
        if self.nodes == 0 || self.boxes == 0 || (self.asked > 0 && self.answered == 0) {
            return Judgement::Dead;
        }
        if self.nodes < rules.nodes_min || self.boxes < rules.boxes_min || self.share() < rules.bad {
            return Judgement::Sick;
        }
        if self.share() >= rules.good || before == Judgement::Well {
            return Judgement::Well;
        }
        Judgement::Sick
    }
}

/// What a site is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Judgement {
    /// It answers nothing at all.
    #[default]
    Dead,
    /// It answers some.
    Sick,
    /// It may advertise.
    Well,
}
