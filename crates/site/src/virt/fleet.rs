//! Boxes and nodes that fail, fall over, and come back.

use magpietally_policy::{Event, ServerEntry};

use super::shell::{Attempt, Stage};
use super::world::{Ev, World};
use crate::model::faults::Effect;
use crate::model::list::{self, State};
use crate::model::referee::AttemptNo;
use crate::model::time::{micros, Micros, SECOND};

/// How long a box that fell over stays down.
const FALLEN: Micros = 5 * SECOND;
/// When a node that has not heard of the list yet serves by what it had.
const READY_WITHIN: Micros = 2_500_000;

impl World<'_> {
    pub(super) fn stop_box(&mut self, b: usize) {
        self.boxes[b].stop(self.now);
        self.box_conns[b] = 0;
        self.look_at(b);
        // What is out there breaks.
        let out: Vec<AttemptNo> = self
            .nodes
            .iter()
            .flat_map(|n| n.open.iter())
            .flat_map(|t| &self.tries[*t].attempts)
            .copied()
            .collect();
        for number in out {
            let a = &self.attempts[number];
            if a.app_box == b && a.stage == Stage::Written && !self.active.holds(Effect::Silent(b)) {
                let way = a.way;
                self.after(way, Ev::Reset(number));
            }
        }
    }

    pub(super) fn fall(&mut self, b: usize) {
        self.falls += 1;
        self.fallen[b] = true;
        self.stop_box(b);
        self.after(FALLEN, Ev::Rises(b));
        self.tell_later(b);
    }

    pub(super) fn rises(&mut self, b: usize) {
        self.fallen[b] = false;
        self.start_box(b);
    }

    pub(super) fn start_box(&mut self, b: usize) {
        if !self.boxes[b].up() && !self.fallen[b] && !self.active.holds(Effect::Down(b)) {
            self.boxes[b].start(self.now);
            self.referee.started(self.now, b);
            self.tell_later(b);
            self.look_at(b);
        }
    }

    pub(super) fn toggle(&mut self, number: usize) {
        let toggle = self.toggles[number];
        let changes = self.active.toggle(&toggle);
        match toggle.effect {
            Effect::Hang(b) | Effect::Errors(b, _) | Effect::Slow(b, _) | Effect::TurnAway(b, _) => {
                self.set_faults(b)
            }
            Effect::Down(b) if changes && toggle.on && self.boxes[b].up() => {
                self.stop_box(b);
                self.tell_later(b);
            }
            Effect::Down(b) if changes && !toggle.on => self.start_box(b),
            Effect::Draining(b) if changes => {
                self.referee.drains(self.now, b, toggle.on);
                self.tell_later(b);
            }
            Effect::NodeDown(n) if changes && toggle.on => self.kill_node(n),
            Effect::NodeDown(n) if changes => self.start_node(n),
            Effect::NodeEnds(n) if changes && toggle.on => self.nodes[n].dealt = false,
            Effect::NodeEnds(n) if changes => {
                self.kill_node(n);
                self.start_node(n);
            }
            Effect::ListMoved if changes && toggle.on => self.move_list(),
            Effect::ListDown if changes => self.set_list_down(toggle.on),
            Effect::ListClock(b, _) if changes => self.tell_later(b),
            _ => {}
        }
    }

    pub(super) fn set_faults(&mut self, b: usize) {
        // What ends at this very instant has ended before the fault holds.
        let mut done = std::mem::take(&mut self.done);
        self.boxes[b].set_faults(self.now, self.active.of_box(b), &mut done);
        self.settle(b, done);
    }

    pub(super) fn kill_node(&mut self, n: usize) {
        self.referee.node_killed(n);
        let open = std::mem::take(&mut self.nodes[n].open);
        for number in open {
            for a in self.tries[number].attempts.clone() {
                let Attempt { stage, way, app_box, box_life, .. } = self.attempts[a];
                if stage == Stage::Ended {
                    continue;
                }
                if stage == Stage::Written {
                    self.after(way, Ev::CancelAtBox(a));
                }
                self.attempts[a].stage = Stage::Ended;
                if self.attempts[a].holds && self.boxes[app_box].life() == box_life {
                    self.box_conns[app_box] = self.box_conns[app_box].saturating_sub(1);
                }
                self.referee.ended(self.now, a);
                self.tries[number].out -= 1;
            }
            if !std::mem::replace(&mut self.tries[number].over, true) {
                let way = self.client_way();
                self.after(way, Ev::Unreachable(number, false));
            }
        }
        let boxes = &self.boxes;
        for (b, closed) in self.nodes[n].forget_all(|b| boxes[b].life()) {
            self.box_conns[b] = self.box_conns[b].saturating_sub(closed);
        }
        let node = &mut self.nodes[n];
        (node.up, node.life, node.watching) = (false, node.life + 1, false);
        node.call += 1;
        // The front goes on dealing to it until it notices.
        self.after(micros(self.site.nodes.noticed_after_ms), Ev::FrontLooks(n));
    }

    pub(super) fn start_node(&mut self, n: usize) {
        let life = self.nodes[n].life;
        let decider = self.variant.decider(self.site.settings(n), self.node_seed(n, life));
        self.nodes[n].restart(decider);
        self.saved_list(n);
        self.after(READY_WITHIN, Ev::Ready(n, life));
    }

    /// The list as the node last had it, from before its start.
    pub(super) fn saved_list(&mut self, n: usize) {
        let known = self.nodes[n].known.clone();
        let entries = (0..known.len()).filter_map(|b| {
            let (state, started) = known[b]?;
            Some(list::Entry { app_box: b, state, started })
        });
        let entries: Vec<ServerEntry> =
            entries.filter(|e| e.state != State::Gone).map(|e| self.entry(e)).collect();
        self.feed(n, Event::List { entries, saved: true });
    }
}
