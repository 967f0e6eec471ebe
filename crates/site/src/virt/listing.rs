//! Delivery of the list service's updates to the nodes.

use magpietally_policy::{Event, ListFailure, ListedState, ServerEntry, ServerId};

use super::node::Node;
use super::simulation::{SimEvent, Simulation};
use crate::model::faults::Effect;
use crate::model::list::{self, CallResult, State};
use crate::model::time::millis;

impl Simulation<'_> {
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

    pub(super) fn schedule_notice(&mut self, b: usize) {
        let span = self.list.notice_after();
        self.schedule_after(span, SimEvent::Noticed(b));
    }

    pub(super) fn apply_notice(&mut self, b: usize) {
        let draining = self.active.contains(Effect::Draining(b));
        let entry = list::Entry::of(b, &self.boxes[b], draining, self.active.clock_off(b));
        if self.list.record_change(entry).is_some() && !self.list.is_down() {
            self.notify_watchers();
        }
    }

    /// Sends new updates to every watching node, each after its own network delay.
    pub(super) fn notify_watchers(&mut self) {
        for n in 0..self.nodes.len() {
            let Node { watching, incarnation, call, .. } = self.nodes[n];
            if watching || !self.site.list.watched {
                let delay = self.jittered(self.site.network.same_zone_ms);
                self.schedule_after(delay, SimEvent::Push(n, incarnation, call));
            }
        }
    }

    pub(super) fn set_list_down(&mut self, down: bool) {
        self.list.set_down(self.now, down);
        if down {
            for n in 0..self.nodes.len() {
                let Node { watching, incarnation, call, .. } = self.nodes[n];
                if watching {
                    let delay = self.jittered(self.site.network.same_zone_ms);
                    self.schedule_after(delay, SimEvent::WatchEnds(n, incarnation, call));
                }
            }
        }
    }

    /// The list moves to another service with the same contents. Version numbers of the old service are not
    /// valid there, so nodes request the full list.
    pub(super) fn move_list(&mut self) {
        for n in 0..self.nodes.len() {
            let node = &mut self.nodes[n];
            (node.version, node.watching, node.call) = (None, false, node.call + 1);
            self.deliver(n, Event::DiscoveryMoved);
        }
    }

    pub(super) fn watch_ends(&mut self, n: usize, incarnation: u32, call: u64) {
        if self.nodes[n].incarnation == incarnation && self.nodes[n].call == call && self.nodes[n].watching {
            self.nodes[n].watching = false;
            self.deliver(n, Event::ListFailed(ListFailure::Broken));
        }
    }

    pub(super) fn call_list(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        node.call += 1;
        node.watching = false;
        let (incarnation, call) = (node.incarnation, node.call);
        let delay = self.jittered(2.0 * self.site.network.same_zone_ms);
        match self.list.call(self.now) {
            CallResult::Answered(at) => {
                self.schedule_at(at + delay, SimEvent::ListCallDone(n, incarnation, call, true))
            }
            CallResult::Failed(at) => {
                self.schedule_at(at + delay, SimEvent::ListCallDone(n, incarnation, call, false))
            }
        }
    }

    pub(super) fn list_call_done(&mut self, n: usize, incarnation: u32, call: u64, ok: bool) {
        if self.nodes[n].incarnation != incarnation || self.nodes[n].call != call {
            return;
        }
        if !ok || self.list.is_down() {
            self.deliver(n, Event::ListFailed(ListFailure::Broken));
            return;
        }
        (self.nodes[n].watching, self.nodes[n].in_rotation) = (true, true);
        if let Some(until) = self.list.stale_until(self.now) {
            self.schedule_at(until, SimEvent::Push(n, incarnation, call));
        }
        self.push_list(n, incarnation, call);
    }

    pub(super) fn push_list(&mut self, n: usize, incarnation: u32, call: u64) {
        let node = &self.nodes[n];
        if node.incarnation != incarnation || node.call != call || !node.up || self.list.is_down() {
            return;
        }
        let changes = node.version.and_then(|version| self.list.changes_since(self.now, version));
        let (entries, version, whole) = match changes {
            Some((entries, version)) => (entries, version, false),
            None => {
                let (entries, version) = self.list.full_list(self.now);
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
                self.update_known_box(n, list::Entry { app_box: b, state: State::Gone, started: None });
            }
        }
        for e in &entries {
            self.update_known_box(n, *e);
        }
        let entries: Vec<ServerEntry> = entries.into_iter().map(|e| self.entry(e)).collect();
        let event = if whole { Event::List { entries, saved: false } } else { Event::ListChange(entries) };
        self.deliver(n, event);
    }

    /// Updates what a node knows of a box.
    pub(super) fn update_known_box(&mut self, n: usize, e: list::Entry) {
        let b = e.app_box;
        let before = self.nodes[n].known_boxes[b];
        if before.is_some_and(|(_, started)| started != e.started) || e.state == State::Gone {
            // Its connections ended with the previous process.
            let incarnation = self.boxes[b].incarnation();
            let closed = self.nodes[n].forget(b, incarnation);
            self.box_connections[b] = self.box_connections[b].saturating_sub(closed);
        }
        self.nodes[n].known_boxes[b] = Some((e.state, e.started));
        self.referee.node_learned_state(self.now, n, b, e.state == State::Up);
    }
}
