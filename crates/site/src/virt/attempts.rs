//! An attempt's way in virtual time: its connection, its box, and its one outcome.

use magpietally_policy::{Event, Outcome, RequestId, ServerId};

use super::faulty::Misdeed;
use super::shell::{unfinished, Attempt, Stage};
use super::world::{Ev, World};
use crate::model::boxes::{AppBox, Finished, Job, JobId, Word};
use crate::model::faults::Effect;
use crate::model::referee::{AttemptNo, Final, TryNo};
use crate::model::time::{millis, Micros};

impl World<'_> {
    pub(super) fn send(&mut self, of: TryNo, b: usize, span: Micros) {
        let n = self.tries[of].node;
        let (number, index) = (self.referee.sent(self.now, of, b), self.tries[of].attempts.len());
        let way = self.way(n, b);
        let end = self.now.saturating_add(span);
        self.attempts.push(Attempt {
            of,
            index,
            app_box: b,
            box_life: self.boxes[b].life(),
            sent: self.now,
            stage: Stage::Connecting,
            work: self.requests[self.tries[of].request].arrival.work,
            way,
            holds: false,
        });
        self.tries[of].attempts.push(number);
        self.tries[of].out += 1;
        self.sent_to[b] += 1;
        if !self.takes_work(n, b) {
            self.after(0, Ev::ConnectEnds(number, Outcome::NotSent));
            return;
        }
        if end < self.ends + self.rest() {
            self.at(end, Ev::End(number));
        }
        let mut closed = 0;
        let kept = self.nodes[n].take(self.now, b, &self.boxes[b], self.idle_most, &mut closed);
        self.box_conns[b] -= closed.min(self.box_conns[b]);
        // The rolls are drawn in any case, so that a share of 0 moves no other draw.
        let share = self.active.breaks_before();
        let (kept_broke, breaks) = (self.rolls.chance(share), self.rolls.chance(share));
        if kept && !kept_broke {
            self.attempts[number].holds = true;
            self.write(number);
            return;
        }
        if kept {
            // It broke while it was idle: nothing was sent, so a new one is still the same attempt.
            self.box_conns[b] = self.box_conns[b].saturating_sub(1);
        }
        self.connections += 1;
        if self.active.holds(Effect::Silent(b)) || self.is_cut(n, b) {
            self.after(self.connect, Ev::ConnectEnds(number, Outcome::ConnectFailed));
        } else if !self.boxes[b].up() || self.box_conns[b] >= self.kind(b).connections {
            self.after(2 * way, Ev::ConnectEnds(number, Outcome::ConnectFailed));
        } else if breaks {
            let told = self.variant.mends.unwritten;
            let outcome = if told { Outcome::Unwritten } else { Outcome::ConnectFailed };
            self.after(2 * way, Ev::ConnectEnds(number, outcome));
        } else {
            self.box_conns[b] += 1;
            let a = &mut self.attempts[number];
            (a.holds, a.work) = (true, a.work + AppBox::handshake_work(&self.site.boxes[self.box_kind[b]]));
            self.after(2 * way, Ev::Connected(number));
        }
    }

    pub(super) fn kind(&self, b: usize) -> &crate::model::spec::BoxKind {
        &self.site.boxes[self.box_kind[b]]
    }

    /// As the node's own list has it; a faulty one looks away.
    pub(super) fn takes_work(&self, n: usize, b: usize) -> bool {
        let blind = [Some(Misdeed::IgnoresDrains), Some(Misdeed::PushesCold)].contains(&self.variant.misdeed);
        blind || self.nodes[n].takes_work(b)
    }

    pub(super) fn connected(&mut self, number: AttemptNo) {
        let Attempt { of, app_box, stage, box_life, .. } = self.attempts[number];
        if stage != Stage::Connecting {
            return;
        }
        if !self.takes_work(self.tries[of].node, app_box) {
            self.end(number, Outcome::NotSent);
        } else if self.boxes[app_box].life() != box_life || !self.boxes[app_box].up() {
            self.end(number, Outcome::ConnectFailed);
        } else {
            self.write(number);
        }
    }

    pub(super) fn write(&mut self, number: AttemptNo) {
        self.referee.written(self.now, number);
        let a = &mut self.attempts[number];
        a.stage = Stage::Written;
        let way = a.way;
        self.after(way, Ev::AtBox(number));
    }

    pub(super) fn connect_ends(&mut self, number: AttemptNo, outcome: Outcome) {
        if self.attempts[number].stage == Stage::Connecting {
            self.end(number, outcome);
        }
    }

    pub(super) fn at_box(&mut self, number: AttemptNo) {
        let Attempt { of, app_box: b, box_life, way, work, .. } = self.attempts[number];
        let n = self.tries[of].node;
        if self.active.holds(Effect::Silent(b)) || self.is_cut(n, b) {
            return;
        }
        if !self.boxes[b].up() || self.boxes[b].life() != box_life {
            self.after(way, Ev::Reset(number));
            return;
        }
        let now = self.now;
        let (warmth, capacity) = (self.boxes[b].warmth(now), self.boxes[b].capacity());
        let falls = self.referee.reached(now, number, work, capacity * warmth, warmth >= 1.0);
        if falls {
            self.fall(b);
            self.after(way, Ev::Reset(number));
            return;
        }
        let share = self.active.breaks_after();
        if self.rolls.chance(share) {
            self.after(way, Ev::Reset(number));
        }
        let arrival = &self.requests[self.tries[of].request].arrival;
        let (key, class, deadline) = (arrival.key, arrival.class, arrival.deadline);
        let job = Job { id: JobId(number as u64), key, class, work, deadline };
        let mut done = std::mem::take(&mut self.done);
        self.boxes[b].offer(now, job, &mut done);
        self.settle(b, done);
    }

    pub(super) fn box_due(&mut self, b: usize, number: u32) {
        if self.box_due[b].1 != number {
            return;
        }
        self.box_due[b].0 = None;
        let mut done = std::mem::take(&mut self.done);
        self.boxes[b].advance(self.now, &mut done);
        self.settle(b, done);
    }

    /// Sends on what a box is done with, and sees to its next event.
    pub(super) fn settle(&mut self, b: usize, mut done: Vec<Finished>) {
        let share = self.active.lost();
        for f in done.drain(..) {
            let number = f.id.0 as usize;
            if f.word == Word::TurnedAway {
                self.referee.turned_away(number);
            } else if f.ran {
                self.referee.ran(self.now, number);
            }
            let lost = self.rolls.chance(share);
            let Attempt { of, stage, way, .. } = self.attempts[number];
            let cut = self.active.holds(Effect::Silent(b)) || self.is_cut(self.tries[of].node, b);
            if lost || cut || stage == Stage::Ended {
                self.referee.work(f.work, false);
                continue;
            }
            self.attempts[number].work = f.work;
            self.after(way, Ev::Back(number, f.word));
        }
        self.done = done;
        self.look_at(b);
    }

    pub(super) fn look_at(&mut self, b: usize) {
        let next = self.boxes[b].next(self.now);
        if next != self.box_due[b].0 {
            self.box_due[b] = (next, self.box_due[b].1.wrapping_add(1));
            if let Some(at) = next {
                self.at(at, Ev::BoxDue(b, self.box_due[b].1));
            }
        }
    }

    pub(super) fn back(&mut self, number: AttemptNo, word: Word) {
        let Attempt { of, app_box: b, stage, sent, work, box_life, .. } = self.attempts[number];
        let first = !self.tries[of].over && word == Word::Served;
        self.referee.work(work, first && stage != Stage::Ended);
        if stage == Stage::Ended {
            return;
        }
        let n = self.tries[of].node;
        let answered = &mut self.nodes[n].answered[b];
        *answered = Some(answered.map_or(sent, |at| at.max(sent)));
        // The connection is kept.
        if self.boxes[b].life() == box_life && self.attempts[number].holds {
            self.attempts[number].holds = false;
            self.nodes[n].put(self.now, b, box_life);
        }
        if first {
            self.give(of, Final::Served, 0);
        }
        let outcome = match word {
            Word::Served => Outcome::Done,
            Word::Error => Outcome::Error,
            Word::TurnedAway => Outcome::Full,
        };
        self.end(number, outcome);
    }

    pub(super) fn reset(&mut self, number: AttemptNo) {
        if self.attempts[number].stage == Stage::Written {
            self.end(number, Outcome::Reset);
        }
    }

    pub(super) fn time_out(&mut self, number: AttemptNo) {
        let Attempt { of, app_box: b, stage, sent, .. } = self.attempts[number];
        let outcome = match stage {
            Stage::Ended => return,
            Stage::Connecting => unfinished(self.now - sent, self.connect, self.variant.mends.silent),
            Stage::Written => {
                let overtaken = self.nodes[self.tries[of].node].answered[b].is_some_and(|at| at > sent);
                if overtaken && self.variant.mends.unheard {
                    Outcome::Unheard
                } else {
                    Outcome::TimedOut
                }
            }
        };
        self.call_off(number, outcome);
    }

    /// The node closes the attempt's connection, and its box hears of it.
    pub(super) fn call_off(&mut self, number: AttemptNo, outcome: Outcome) {
        let Attempt { stage, way, .. } = self.attempts[number];
        if stage == Stage::Written {
            self.after(way, Ev::CancelAtBox(number));
        }
        if stage != Stage::Ended {
            self.end(number, outcome);
        }
    }

    pub(super) fn cancel_at_box(&mut self, number: AttemptNo) {
        let Attempt { app_box: b, box_life, .. } = self.attempts[number];
        if !self.boxes[b].up() || self.boxes[b].life() != box_life {
            return;
        }
        let mut done = std::mem::take(&mut self.done);
        self.boxes[b].cancel(self.now, JobId(number as u64), &mut done);
        self.settle(b, done);
    }

    /// An attempt's one outcome.
    pub(super) fn end(&mut self, number: AttemptNo, outcome: Outcome) {
        let a = &mut self.attempts[number];
        if a.stage == Stage::Ended {
            return;
        }
        a.stage = Stage::Ended;
        let (of, index, b, holds) = (a.of, a.index, a.app_box, std::mem::take(&mut a.holds));
        let (took, lives) = (millis(self.now - a.sent), a.box_life == self.boxes[b].life());
        if holds && lives {
            self.box_conns[b] = self.box_conns[b].saturating_sub(1);
        }
        self.referee.ended(self.now, number);
        let t = &mut self.tries[of];
        t.out -= 1;
        let (n, finished, life) = (t.node, t.over, t.life);
        if self.nodes[n].life == life {
            let server = ServerId(self.server_of[b]);
            let id = RequestId(of as u64);
            self.feed(n, Event::Ended { id, attempt: index, server, outcome, took, finished });
        }
        self.drop_if_over(of);
    }
}
