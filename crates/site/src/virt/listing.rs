//! News of the boxes on their way to the nodes.

use magpietally_policy::{Event, ListFailure, ListedState, ServerEntry, ServerId};

use super::shell::Node;
use super::world::{Ev, World};
use crate::model::faults::Effect;
use crate::model::list::{self, Call, State};
use crate::model::time::millis;

impl World<'_> {
    pub(super) fn entry(&self, e: list::Entry) -> ServerEntry {
        let kind = self.kind(e.app_box);
        let zone = self.box_zone[e.app_box] as u64;
        ServerEntry {
            server: ServerId(self.server_of[e.app_box]),
            zone,
            cell: zone,
            kind: self.box_kind[e.app_box] as u64,
            state: match e.state {
                State::Up => ListedState::Up,
                State::Draining => ListedState::Draining,
                State::Gone => ListedState::Gone,
            },
            weight: kind.listed_size(),
            started: e.started.map(millis),
        }
    }

    pub(super) fn tell_later(&mut self, b: usize) {
        let span = self.list.notice_after();
        self.after(span, Ev::Noticed(b));
    }

    pub(super) fn noticed(&mut self, b: usize) {
        let draining = self.active.holds(Effect::Draining(b));
        let truth = list::Entry::of(b, &self.boxes[b], draining, self.active.clock_off(b));
        if self.list.notice(truth).is_some() && !self.list.down() {
            self.tell_watchers();
        }
    }

    /// All that watch get what is new, each by its own way.
    pub(super) fn tell_watchers(&mut self) {
        for n in 0..self.nodes.len() {
            let Node { watching, life, call, .. } = self.nodes[n];
            if watching || !self.site.list.watched {
                let way = self.jittered(self.site.network.same_zone_ms);
                self.after(way, Ev::Push(n, life, call));
            }
        }
    }

    pub(super) fn set_list_down(&mut self, down: bool) {
        self.list.set_down(self.now, down);
        if down {
            for n in 0..self.nodes.len() {
                let Node { watching, life, call, .. } = self.nodes[n];
                if watching {
                    let way = self.jittered(self.site.network.same_zone_ms);
                    self.after(way, Ev::WatchEnds(n, life, call));
                }
            }
        }
    }

    /// Another service with the same knowledge: its versions mean nothing there, so nodes ask for the whole.
    pub(super) fn move_list(&mut self) {
        for n in 0..self.nodes.len() {
            let node = &mut self.nodes[n];
            (node.version, node.watching, node.call) = (None, false, node.call + 1);
            self.feed(n, Event::DiscoveryMoved);
        }
    }

    pub(super) fn watch_ends(&mut self, n: usize, life: u32, call: u64) {
        if self.nodes[n].life == life && self.nodes[n].call == call && self.nodes[n].watching {
            self.nodes[n].watching = false;
            self.feed(n, Event::ListFailed(ListFailure::Broken));
        }
    }

    pub(super) fn call(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        node.call += 1;
        node.watching = false;
        let (life, call) = (node.life, node.call);
        let way = self.jittered(2.0 * self.site.network.same_zone_ms);
        match self.list.call(self.now) {
            Call::Answered(at) => self.at(at + way, Ev::CallDone(n, life, call, true)),
            Call::Failed(at) => self.at(at + way, Ev::CallDone(n, life, call, false)),
        }
    }

    pub(super) fn call_done(&mut self, n: usize, life: u32, call: u64, ok: bool) {
        if self.nodes[n].life != life || self.nodes[n].call != call {
            return;
        }
        if !ok || self.list.down() {
            self.feed(n, Event::ListFailed(ListFailure::Broken));
            return;
        }
        (self.nodes[n].watching, self.nodes[n].dealt) = (true, true);
        if let Some(until) = self.list.stale_until(self.now) {
            self.at(until, Ev::Push(n, life, call));
        }
        self.push_list(n, life, call);
    }

    pub(super) fn push_list(&mut self, n: usize, life: u32, call: u64) {
        let node = &self.nodes[n];
        if node.life != life || node.call != call || !node.up || self.list.down() {
            return;
        }
        let news = node.version.and_then(|version| self.list.since(self.now, version));
        let (entries, version, whole) = match news {
            Some((entries, version)) => (entries, version, false),
            None => {
                let (entries, version) = self.list.whole(self.now);
                (entries, version, true)
            }
        };
        self.nodes[n].version = Some(version);
        if whole {
            let listed: Vec<bool> = {
                let mut listed = vec![false; self.boxes.len()];
                entries.iter().for_each(|e| listed[e.app_box] = true);
                listed
            };
            for b in (0..self.boxes.len()).filter(|b| !listed[*b]) {
                self.learn(n, list::Entry { app_box: b, state: State::Gone, started: None });
            }
        }
        for e in &entries {
            self.learn(n, *e);
        }
        let entries: Vec<ServerEntry> = entries.into_iter().map(|e| self.entry(e)).collect();
        let event = if whole { Event::List { entries, saved: false } } else { Event::ListChange(entries) };
        self.feed(n, event);
    }

    /// A node takes in what it is told of a box.
    pub(super) fn learn(&mut self, n: usize, e: list::Entry) {
        let b = e.app_box;
        let before = self.nodes[n].known[b];
        if before.is_some_and(|(_, started)| started != e.started) || e.state == State::Gone {
            // Its connections ended with the old process.
            let life = self.boxes[b].life();
            let closed = self.nodes[n].forget(b, life);
            self.box_conns[b] = self.box_conns[b].saturating_sub(closed);
        }
        self.nodes[n].known[b] = Some((e.state, e.started));
        self.referee.told(self.now, n, b, e.state == State::Up);
    }
}
