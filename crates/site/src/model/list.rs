//! The box list: one service that notices late what boxes do, handles calls in turn, and may be down. Pure.

use std::collections::VecDeque;

use super::app_box::AppBox;
use super::random::Stream;
use super::spec::List;
use super::time::{micros, Micros, SECOND};

/// The state of a box, as the list knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// In service.
    Up,
    /// Finishing its work.
    Draining,
    /// Gone.
    Gone,
}

/// What the list says of a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its number.
    pub app_box: usize,
    /// Its state.
    pub state: State,
    /// When it last started.
    pub started: Option<Micros>,
}

impl Entry {
    /// What is true of a box: down, draining or up, with its start as the list's clock has it (`off`: by how much that
    /// is wrong).
    pub fn of(app_box: usize, model: &AppBox, draining: bool, off: Option<Micros>) -> Self {
        let state = match (model.up(), draining) {
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

/// How a call goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// It is answered at this time.
    Answered(Micros),
    /// It fails at this time.
    Failed(Micros),
}

/// How many changes the list remembers; older versions get the whole list.
const CHANGES_KEPT_MAX: usize = 4096;

/// The service.
#[derive(Clone, Debug)]
pub struct BoxList {
    notice: (Micros, Micros),
    per_call_us: Micros,
    call_timeout: Micros,
    stale_for: Micros,
    random: Stream,
    entries: Vec<Entry>,
    /// What each of the latest versions changed.
    changes: VecDeque<Entry>,
    /// The version of the newest change.
    version: u64,
    down: bool,
    /// Until when it tells what it knew when it went down.
    stale_until: Micros,
    stale_version: u64,
    /// When the calls so far are done.
    busy_until: Micros,
}

impl BoxList {
    /// A service that knows all boxes as up.
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

    /// How long it takes to notice what happens now.
    pub fn notice_after(&mut self) -> Micros {
        self.random.between(self.notice.0 as f64, self.notice.1 as f64) as Micros
    }

    /// A change is noticed; its version, or `None` where it is no change.
    pub fn notice(&mut self, entry: Entry) -> Option<u64> {
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

    /// It goes down, or comes back with what it knew when it went.
    pub fn set_down(&mut self, now: Micros, down: bool) {
        if down && !self.down {
            self.stale_version = self.version;
        }
        if !down && self.down {
            (self.stale_until, self.busy_until) = (now + self.stale_for, now);
        }
        self.down = down;
    }

    /// Is it down?
    pub fn down(&self) -> bool {
        self.down
    }

    /// Does it tell the truth as far as it knows, and if not, until when not?
    pub fn stale_until(&self, now: Micros) -> Option<Micros> {
        (now < self.stale_until).then_some(self.stale_until)
    }

    /// A node calls: calls are handled in turn, and fail when they would have to wait too long.
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

    /// The newest version that it tells of at present.
    pub fn version(&self, now: Micros) -> u64 {
        if now < self.stale_until {
            self.stale_version
        } else {
            self.version
        }
    }

    /// What changed after a version, and up to which; `None` where the whole list is needed.
    pub fn since(&self, now: Micros, version: u64) -> Option<(Vec<Entry>, u64)> {
        let newest = self.version(now);
        let oldest = self.version - self.changes.len() as u64;
        if version < oldest || version > newest {
            return None;
        }
        let (from, to) = ((version - oldest) as usize, (newest - oldest) as usize);
        Some((self.changes.range(from..to).copied().collect(), newest))
    }

    /// The whole list as it tells it at present, and its version.
    pub fn whole(&self, now: Micros) -> (Vec<Entry>, u64) {
        let newest = self.version(now);
        let mut entries = self.entries.clone();
        // What came after it is taken back, newest first.
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
