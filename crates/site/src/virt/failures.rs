//! Boxes and nodes that fail, fall over and restart.

use magpietally_policy::{Event, ServerEntry};

use super::node::{Attempt, Stage};
use super::simulation::{SimEvent, Simulation};
use crate::model::faults::Effect;
use crate::model::list::{self, State};
use crate::model::referee::AttemptNo;
use crate::model::time::{micros, Micros, SECOND};

/// How long a box stays down after it fell over.
const FALLEN_DOWN_US: Micros = 5 * SECOND;
/// Time after which a restarted node without a fresh list serves requests by its saved list.
const READY_WITHIN_US: Micros = 2_500_000;

impl Simulation<'_> {
    pub(super) fn stop_box(&mut self, b: usize) {
        self.boxes[b].stop(self.now);
        self.box_connections[b] = 0;
        self.reschedule_box(b);
        // The connections of attempts in flight to this box break.
        let out: Vec<AttemptNo> = self
            .nodes
            .iter()
            .flat_map(|n| n.open.iter())
            .flat_map(|t| &self.tries[*t].attempts)
            .copied()
            .collect();
        for number in out {
            let a = &self.attempts[number];
            if a.app_box == b && a.stage == Stage::Written && !self.active.contains(Effect::Silent(b)) {
                let delay = a.delay;
                self.schedule_after(delay, SimEvent::Reset(number));
            }
        }
    }

    pub(super) fn fall_over(&mut self, b: usize) {
        self.falls += 1;
        self.fallen[b] = true;
        self.stop_box(b);
        self.schedule_after(FALLEN_DOWN_US, SimEvent::RestartFallen(b));
        self.schedule_notice(b);
    }

    pub(super) fn restart_fallen(&mut self, b: usize) {
        self.fallen[b] = false;
        self.start_box(b);
    }

    pub(super) fn start_box(&mut self, b: usize) {
        if !self.boxes[b].is_running() && !self.fallen[b] && !self.active.contains(Effect::Down(b)) {
            self.boxes[b].start(self.now);
            self.referee.box_started(self.now, b);
            self.schedule_notice(b);
            self.reschedule_box(b);
        }
    }

    pub(super) fn toggle(&mut self, number: usize) {
        let toggle = self.toggles[number];
        let changes = self.active.toggle(&toggle);
        match toggle.effect {
            Effect::Hang(b) | Effect::Errors(b, _) | Effect::Slow(b, _) | Effect::TurnAway(b, _) => {
                self.set_faults(b)
            }
            Effect::Down(b) if changes && toggle.on && self.boxes[b].is_running() => {
                self.stop_box(b);
                self.schedule_notice(b);
            }
            Effect::Down(b) if changes && !toggle.on => self.start_box(b),
            Effect::Draining(b) if changes => {
                self.referee.set_draining(self.now, b, toggle.on);
                self.schedule_notice(b);
            }
            Effect::NodeDown(n) if changes && toggle.on => self.kill_node(n),
            Effect::NodeDown(n) if changes => self.start_node(n),
            Effect::NodeEnds(n) if changes && toggle.on => self.nodes[n].in_rotation = false,
            Effect::NodeEnds(n) if changes => {
                self.kill_node(n);
                self.start_node(n);
            }
            Effect::ListMoved if changes && toggle.on => self.move_list(),
            Effect::ListDown if changes => self.set_list_down(toggle.on),
            Effect::ListClock(b, _) if changes => self.schedule_notice(b),
            _ => {}
        }
    }

    pub(super) fn set_faults(&mut self, b: usize) {
        // A job that ends at this instant ends before the fault takes effect.
        let mut done = std::mem::take(&mut self.done);
        self.boxes[b].set_faults(self.now, self.active.of_box(b), &mut done);
        self.handle_finished(b, done);
    }

    pub(super) fn kill_node(&mut self, n: usize) {
        self.referee.node_killed(n);
        let open = std::mem::take(&mut self.nodes[n].open);
        for number in open {
            for a in self.tries[number].attempts.clone() {
                let Attempt { stage, delay, app_box, box_incarnation, .. } = self.attempts[a];
                if stage == Stage::Ended {
                    continue;
                }
                if stage == Stage::Written {
                    self.schedule_after(delay, SimEvent::CancelAtBox(a));
                }
                self.attempts[a].stage = Stage::Ended;
                if self.attempts[a].holds_connection && self.boxes[app_box].incarnation() == box_incarnation {
                    self.box_connections[app_box] = self.box_connections[app_box].saturating_sub(1);
                }
                self.referee.attempt_ended(self.now, a);
                self.tries[number].in_flight -= 1;
            }
            if !std::mem::replace(&mut self.tries[number].finished, true) {
                let delay = self.client_delay();
                self.schedule_after(delay, SimEvent::Unreachable(number, false));
            }
        }
        let boxes = &self.boxes;
        for (b, closed) in self.nodes[n].forget_all(|b| boxes[b].incarnation()) {
            self.box_connections[b] = self.box_connections[b].saturating_sub(closed);
        }
        let node = &mut self.nodes[n];
        (node.up, node.incarnation, node.watching) = (false, node.incarnation + 1, false);
        node.call += 1;
        // The front keeps sending tries to the node until it notices the failure.
        self.schedule_after(micros(self.site.nodes.noticed_after_ms), SimEvent::FrontChecksNode(n));
    }

    pub(super) fn start_node(&mut self, n: usize) {
        let incarnation = self.nodes[n].incarnation;
        let decider = self.variant.decider(self.site.settings(n), self.node_seed(n, incarnation));
        self.nodes[n].restart(decider);
        self.saved_list(n);
        self.schedule_after(READY_WITHIN_US, SimEvent::Ready(n, incarnation));
    }

    /// Delivers the list that the node had before its restart.
    pub(super) fn saved_list(&mut self, n: usize) {
        let known = self.nodes[n].known_boxes.clone();
        let entries = (0..known.len()).filter_map(|b| {
            let (state, started) = known[b]?;
            Some(list::Entry { app_box: b, state, started })
        });
        let entries: Vec<ServerEntry> =
            entries.filter(|e| e.state != State::Gone).map(|e| self.entry(e)).collect();
        self.deliver(n, Event::List { entries, saved: true });
    }
}
