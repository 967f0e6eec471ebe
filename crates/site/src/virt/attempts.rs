//! The course of an attempt in virtual time: its connection, its box and its single outcome.

use magpietally_policy::{Event, Outcome, RequestId, ServerId};

use super::faulty::InjectedFault;
use super::node::{unfinished_connect, Attempt, Stage};
use super::simulation::{SimEvent, Simulation};
use crate::model::app_box::{AppBox, FinishedJob, Job, JobId, ServerResponse};
use crate::model::faults::Effect;
use crate::model::referee::{AttemptNo, Final, TryNo};
use crate::model::time::{millis, Micros};

impl Simulation<'_> {
    pub(super) fn send(&mut self, of: TryNo, b: usize, span: Micros) {
        let n = self.tries[of].node;
        let (number, index) = (self.referee.attempt_started(self.now, of, b), self.tries[of].attempts.len());
        let delay = self.delay(n, b);
        let end = self.now.saturating_add(span);
        self.attempts.push(Attempt {
            of,
            index,
            app_box: b,
            box_incarnation: self.boxes[b].incarnation(),
            sent: self.now,
            stage: Stage::Connecting,
            work: self.requests[self.tries[of].request].arrival.work,
            delay,
            holds_connection: false,
        });
        self.tries[of].attempts.push(number);
        self.tries[of].in_flight += 1;
        self.sent_to[b] += 1;
        if !self.takes_work(n, b) {
            self.schedule_after(0, SimEvent::ConnectEnds(number, Outcome::NotSent));
            return;
        }
        if end < self.arrivals_end + self.run_out() {
            self.schedule_at(end, SimEvent::TimeOut(number));
        }
        let mut closed = 0;
        let reused = self.nodes[n].take(self.now, b, &self.boxes[b], self.idle_max_us, &mut closed);
        self.box_connections[b] -= closed.min(self.box_connections[b]);
        // Both random numbers are drawn in any case, so that a share of 0 shifts no other draw.
        let share = self.active.breaks_before();
        let (idle_broke, breaks) = (self.fault_rolls.chance(share), self.fault_rolls.chance(share));
        if reused && !idle_broke {
            self.attempts[number].holds_connection = true;
            self.write(number);
            return;
        }
        if reused {
            // The idle connection had broken and nothing was sent, so the new connection belongs to the same
            // attempt.
            self.box_connections[b] = self.box_connections[b].saturating_sub(1);
        }
        self.connections += 1;
        if self.active.contains(Effect::Silent(b)) || self.is_cut(n, b) {
            self.schedule_after(
                self.connect_timeout_us,
                SimEvent::ConnectEnds(number, Outcome::ConnectFailed),
            );
        } else if !self.boxes[b].is_running() || self.box_connections[b] >= self.kind(b).connections {
            self.schedule_after(2 * delay, SimEvent::ConnectEnds(number, Outcome::ConnectFailed));
        } else if breaks {
            let reports_unwritten = self.variant.fixes.unwritten;
            let outcome = if reports_unwritten { Outcome::Unwritten } else { Outcome::ConnectFailed };
            self.schedule_after(2 * delay, SimEvent::ConnectEnds(number, outcome));
        } else {
            self.box_connections[b] += 1;
            let a = &mut self.attempts[number];
            (a.holds_connection, a.work) =
                (true, a.work + AppBox::handshake_work(&self.site.boxes[self.box_kind[b]]));
            self.schedule_after(2 * delay, SimEvent::Connected(number));
        }
    }

    pub(super) fn kind(&self, b: usize) -> &crate::model::spec::BoxKind {
        &self.site.boxes[self.box_kind[b]]
    }

    /// Returns whether the node may send new work to the box according to its own list. Nodes with certain
    /// injected faults ignore the list.
    pub(super) fn takes_work(&self, n: usize, b: usize) -> bool {
        let blind = [Some(InjectedFault::IgnoresDrains), Some(InjectedFault::PushesCold)]
            .contains(&self.variant.injected);
        blind || self.nodes[n].takes_work(b)
    }

    pub(super) fn connected(&mut self, number: AttemptNo) {
        let Attempt { of, app_box, stage, box_incarnation, .. } = self.attempts[number];
        if stage != Stage::Connecting {
            return;
        }
        if !self.takes_work(self.tries[of].node, app_box) {
            self.end_attempt(number, Outcome::NotSent);
        } else if self.boxes[app_box].incarnation() != box_incarnation || !self.boxes[app_box].is_running() {
            self.end_attempt(number, Outcome::ConnectFailed);
        } else {
            self.write(number);
        }
    }

    pub(super) fn write(&mut self, number: AttemptNo) {
        self.referee.attempt_written(self.now, number);
        let a = &mut self.attempts[number];
        a.stage = Stage::Written;
        let delay = a.delay;
        self.schedule_after(delay, SimEvent::AtBox(number));
    }

    pub(super) fn connect_ends(&mut self, number: AttemptNo, outcome: Outcome) {
        if self.attempts[number].stage == Stage::Connecting {
            self.end_attempt(number, outcome);
        }
    }

    pub(super) fn at_box(&mut self, number: AttemptNo) {
        let Attempt { of, app_box: b, box_incarnation, delay, work, .. } = self.attempts[number];
        let n = self.tries[of].node;
        if self.active.contains(Effect::Silent(b)) || self.is_cut(n, b) {
            return;
        }
        if !self.boxes[b].is_running() || self.boxes[b].incarnation() != box_incarnation {
            self.schedule_after(delay, SimEvent::Reset(number));
            return;
        }
        let now = self.now;
        let (warmth, capacity) = (self.boxes[b].warmth(now), self.boxes[b].capacity());
        let falls_over =
            self.referee.attempt_reached_box(now, number, work, capacity * warmth, warmth >= 1.0);
        if falls_over {
            self.fall_over(b);
            self.schedule_after(delay, SimEvent::Reset(number));
            return;
        }
        let share = self.active.breaks_after();
        if self.fault_rolls.chance(share) {
            self.schedule_after(delay, SimEvent::Reset(number));
        }
        let arrival = &self.requests[self.tries[of].request].arrival;
        let (key, class, deadline) = (arrival.key, arrival.class, arrival.deadline);
        let job = Job { id: JobId(number as u64), key, class, work, deadline };
        let mut done = std::mem::take(&mut self.done);
        self.boxes[b].offer(now, job, &mut done);
        self.handle_finished(b, done);
    }

    pub(super) fn box_due(&mut self, b: usize, number: u32) {
        if self.box_due[b].1 != number {
            return;
        }
        self.box_due[b].0 = None;
        let mut done = std::mem::take(&mut self.done);
        self.boxes[b].advance(self.now, &mut done);
        self.handle_finished(b, done);
    }

    /// Sends back the responses of a box's finished jobs and schedules its next event.
    pub(super) fn handle_finished(&mut self, b: usize, mut done: Vec<FinishedJob>) {
        let share = self.active.lost();
        for f in done.drain(..) {
            let number = f.id.0 as usize;
            if f.response == ServerResponse::Rejected {
                self.referee.attempt_rejected(number);
            } else if f.ran {
                self.referee.attempt_ran(self.now, number);
            }
            let lost = self.fault_rolls.chance(share);
            let Attempt { of, stage, delay, .. } = self.attempts[number];
            let cut = self.active.contains(Effect::Silent(b)) || self.is_cut(self.tries[of].node, b);
            if lost || cut || stage == Stage::Ended {
                self.referee.add_work(f.work, false);
                continue;
            }
            self.attempts[number].work = f.work;
            self.schedule_after(delay, SimEvent::ResponseBack(number, f.response));
        }
        self.done = done;
        self.reschedule_box(b);
    }

    pub(super) fn reschedule_box(&mut self, b: usize) {
        let next = self.boxes[b].next(self.now);
        if next != self.box_due[b].0 {
            self.box_due[b] = (next, self.box_due[b].1.wrapping_add(1));
            if let Some(at) = next {
                self.schedule_at(at, SimEvent::BoxDue(b, self.box_due[b].1));
            }
        }
    }

    pub(super) fn response_back(&mut self, number: AttemptNo, response: ServerResponse) {
        let Attempt { of, app_box: b, stage, sent, work, box_incarnation, .. } = self.attempts[number];
        let first = !self.tries[of].finished && response == ServerResponse::Served;
        self.referee.add_work(work, first && stage != Stage::Ended);
        if stage == Stage::Ended {
            return;
        }
        let n = self.tries[of].node;
        let answered = &mut self.nodes[n].last_answered_sent[b];
        *answered = Some(answered.map_or(sent, |at| at.max(sent)));
        // The connection is kept for reuse.
        if self.boxes[b].incarnation() == box_incarnation && self.attempts[number].holds_connection {
            self.attempts[number].holds_connection = false;
            self.nodes[n].put(self.now, b, box_incarnation);
        }
        if first {
            self.answer(of, Final::Served, 0);
        }
        let outcome = match response {
            ServerResponse::Served => Outcome::Done,
            ServerResponse::Error => Outcome::Error,
            ServerResponse::Rejected => Outcome::Full,
        };
        self.end_attempt(number, outcome);
    }

    pub(super) fn reset(&mut self, number: AttemptNo) {
        if self.attempts[number].stage == Stage::Written {
            self.end_attempt(number, Outcome::Reset);
        }
    }

    pub(super) fn time_out(&mut self, number: AttemptNo) {
        let Attempt { of, app_box: b, stage, sent, .. } = self.attempts[number];
        let outcome = match stage {
            Stage::Ended => return,
            Stage::Connecting => {
                unfinished_connect(self.now - sent, self.connect_timeout_us, self.variant.fixes.silent)
            }
            Stage::Written => {
                let overtaken =
                    self.nodes[self.tries[of].node].last_answered_sent[b].is_some_and(|at| at > sent);
                if overtaken && self.variant.fixes.unheard {
                    Outcome::Unheard
                } else {
                    Outcome::TimedOut
                }
            }
        };
        self.call_off(number, outcome);
    }

    /// Cancels an attempt: the node closes its connection, and the box is notified after the network delay.
    pub(super) fn call_off(&mut self, number: AttemptNo, outcome: Outcome) {
        let Attempt { stage, delay, .. } = self.attempts[number];
        if stage == Stage::Written {
            self.schedule_after(delay, SimEvent::CancelAtBox(number));
        }
        if stage != Stage::Ended {
            self.end_attempt(number, outcome);
        }
    }

    pub(super) fn cancel_at_box(&mut self, number: AttemptNo) {
        let Attempt { app_box: b, box_incarnation, .. } = self.attempts[number];
        if !self.boxes[b].is_running() || self.boxes[b].incarnation() != box_incarnation {
            return;
        }
        let mut done = std::mem::take(&mut self.done);
        self.boxes[b].cancel(self.now, JobId(number as u64), &mut done);
        self.handle_finished(b, done);
    }

    /// Records an attempt's single outcome and reports it to the node's policy.
    pub(super) fn end_attempt(&mut self, number: AttemptNo, outcome: Outcome) {
        let a = &mut self.attempts[number];
        if a.stage == Stage::Ended {
            return;
        }
        a.stage = Stage::Ended;
        let (of, index, b, holds_connection) =
            (a.of, a.index, a.app_box, std::mem::take(&mut a.holds_connection));
        let (took, box_still_runs) =
            (millis(self.now - a.sent), a.box_incarnation == self.boxes[b].incarnation());
        if holds_connection && box_still_runs {
            self.box_connections[b] = self.box_connections[b].saturating_sub(1);
        }
        self.referee.attempt_ended(self.now, number);
        let t = &mut self.tries[of];
        t.in_flight -= 1;
        let (n, finished, incarnation) = (t.node, t.finished, t.incarnation);
        if self.nodes[n].incarnation == incarnation {
            let server = ServerId(self.server_of[b]);
            let id = RequestId(of as u64);
            self.deliver(n, Event::Ended { id, attempt: index, server, outcome, took, finished });
        }
        self.drop_if_finished(of);
    }
}
