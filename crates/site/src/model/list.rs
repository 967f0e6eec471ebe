//! The box list: one service that notices changes of boxes with a delay, handles calls one after another, and
//! may be down. Without I/O.

use std::collections::VecDeque;

use super::app_box::AppBox;
use super::random::Stream;
use super::spec::List;
use super::time::{micros, Micros, SECOND};

/// State of a box as the list knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// In service.
    Up,
    /// Finishing its work.
    Draining,
    /// Gone.
    Gone,
}

/// The list's entry of a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Number of the box.
    pub app_box: usize,
    /// Its state.
    pub state: State,
    /// When it last started.
    pub started: Option<Micros>,
}

impl Entry {
    /// Builds the entry from the box's true state: gone, draining or up, and its start time by the list's
    /// clock (`off`: the error of that clock).
    pub fn of(app_box: usize, model: &AppBox, draining: bool, off: Option<Micros>) -> Self {
        let state = match (model.is_running(), draining) {
            (false, _) => State::Gone,
            (true, true) => State::Draining,
            (true, false) => State::Up,
        };
        let started = match off {
            Some(off) => Some(model.started().unwrap_or(0) + off),
            None => model.started(),
        };
        Self { app_box, state, started }
    }
}

/// Result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// It is answered at this time.
    Answered(Micros),
    /// It fails at this time.
    Failed(Micros),
}

/// Number of changes that the list keeps; callers with older versions get the full list.
const CHANGES_KEPT_MAX: usize = 4096;

/// The list service.
#[derive(Clone, Debug)]
pub struct BoxList {
    notice: (Micros, Micros),
    per_call_us: Micros,
    call_timeout: Micros,
    stale_for: Micros,
    random: Stream,
    entries: Vec<Entry>,
    /// The change of each of the latest versions.
    changes: VecDeque<Entry>,
    /// Version of the newest change.
    version: u64,
    down: bool,
    /// Until when it serves the state from the time when it went down.
    stale_until: Micros,
    stale_version: u64,
    /// When the calls so far are finished.
    busy_until: Micros,
}

impl BoxList {
    /// Creates a service that knows all boxes as up.
    pub fn new(spec: &List, boxes: usize, random: Stream) -> Self {
        let entry = |app_box| Entry { app_box, state: State::Up, started: None };
        Self {
            notice: (micros(spec.notice_from_ms), micros(spec.notice_to_ms)),
            per_call_us: ((SECOND as f64 / spec.calls_per_s).round() as Micros).max(1),
            call_timeout: micros(spec.call_timeout_ms),
            stale_for: micros(spec.stale_for_ms),
            random,
            entries: (0..boxes).map(entry).collect(),
            changes: VecDeque::new(),
            version: 1,
            down: false,
            stale_until: 0,
            stale_version: 1,
            busy_until: 0,
        }
    }

    /// Draws the delay after which it notices a change that happens now.
    pub fn notice_after(&mut self) -> Micros {
        self.random.between(self.notice.0 as f64, self.notice.1 as f64) as Micros
    }

    /// Records a noticed change; returns its version, or `None` where nothing changed.
    pub fn record_change(&mut self, entry: Entry) -> Option<u64> {
        if self.entries[entry.app_box] == entry {
            return None;
        }
        self.entries[entry.app_box] = entry;
        self.version += 1;
        self.changes.push_back(entry);
        if self.changes.len() > CHANGES_KEPT_MAX {
            self.changes.pop_front();
        }
        Some(self.version)
    }

    /// Takes the service down, or up again with the state from when it went down.
    pub fn set_down(&mut self, now: Micros, down: bool) {
        if down && !self.down {
            self.stale_version = self.version;
        }
        if !down && self.down {
            (self.stale_until, self.busy_until) = (now + self.stale_for, now);
        }
        self.down = down;
    }

    /// Returns whether it is down.
    pub fn is_down(&self) -> bool {
        self.down
    }

    /// Returns until when it serves outdated state, or `None` where its state is current.
    pub fn stale_until(&self, now: Micros) -> Option<Micros> {
        (now < self.stale_until).then_some(self.stale_until)
    }

    /// Handles a call of a node. Calls are handled one after another and fail when they would wait too long.
    pub fn call(&mut self, now: Micros) -> CallResult {
        if self.down {
            return CallResult::Failed(now);
        }
        let done = self.busy_until.max(now) + self.per_call_us;
        if done - now > self.call_timeout {
            return CallResult::Failed(now + self.call_timeout);
        }
        self.busy_until = done;
        CallResult::Answered(done)
    }

    /// Newest version that it currently serves.
    pub fn version(&self, now: Micros) -> u64 {
        if now < self.stale_until {
            self.stale_version
        } else {
            self.version
        }
    }

    /// Returns the changes after a version, and the version that they lead to; `None` where the full list is
    /// needed.
    pub fn changes_since(&self, now: Micros, version: u64) -> Option<(Vec<Entry>, u64)> {
        let newest = self.version(now);
        let oldest = self.version - self.changes.len() as u64;
        if version < oldest || version > newest {
            return None;
        }
        let (from, to) = ((version - oldest) as usize, (newest - oldest) as usize);
        Some((self.changes.range(from..to).copied().collect(), newest))
    }

    /// Returns the full list as currently served, and its version.
    pub fn full_list(&self, now: Micros) -> (Vec<Entry>, u64) {
        let newest = self.version(now);
        let mut entries = self.entries.clone();
        // Later changes are undone, newest first.
        let hidden = (self.version - newest) as usize;
        let known = self.changes.len().saturating_sub(hidden);
        for place in (known..self.changes.len()).rev() {
            let app_box = self.changes[place].app_box;
            let before = self.changes.range(..place).rev().find(|e| e.app_box == app_box);
            let first = Entry { app_box, state: State::Up, started: None };
            entries[app_box] = before.copied().unwrap_or(first);
        }
        entries.retain(|e| e.state != State::Gone);
        (entries, newest)
    }
}

#[cfg(test)]
mod tests;
