//! The parts of a node besides its policy: connections, timers, its view of the list and its open requests.
//! It stands in for `core` and `http` in virtual time and, like them, leaves the decisions to the policy.

use std::collections::{BTreeSet, VecDeque};

use magpietally_policy::{Event, Outcome};

use super::decider::Decider;
use crate::model::app_box::AppBox;
use crate::model::list::State;
use crate::model::referee::{AttemptNo, RequestNo, TryNo};
use crate::model::time::{micros, Micros};

/// Spans kept back before the client's deadline: the policy's deadline is `MARGIN` earlier, and the node
/// answers in the policy's place `GUARD` earlier. Each is limited to one part in the second number of the
/// time that a request arrived with.
const MARGIN: (Micros, u64) = (20_000, 8);
const GUARD: (Micros, u64) = (9_000, 16);

/// Returns both spans for a request with this remaining time; without the fix of margins only the remaining
/// time itself limits them.
pub(super) fn reserved_time(remaining: Micros, is_fixed: bool) -> (Micros, Micros) {
    if is_fixed {
        (MARGIN.0.min(remaining / MARGIN.1), GUARD.0.min(remaining / GUARD.1))
    } else {
        (MARGIN.0.min(remaining), GUARD.0.min(remaining))
    }
}

/// An idle connection kept for reuse.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdleConnection {
    /// Incarnation of the box that it is connected to.
    incarnation: u32,
    idle_since: Micros,
}

/// One node.
pub(super) struct Node {
    pub(super) up: bool,
    /// Incarnation of the node; events scheduled for another incarnation are ignored.
    pub(super) incarnation: u32,
    pub(super) zone: usize,
    pub(super) decider: Box<dyn Decider>,
    pub(super) events: VecDeque<Event>,
    pub(super) handling: bool,
    pub(super) timer: Option<Micros>,
    /// Version of the list that it has.
    pub(super) version: Option<u64>,
    /// Number of the list call that is pending or watched.
    pub(super) call: u64,
    pub(super) watching: bool,
    /// Whether the front sends tries to it.
    pub(super) in_rotation: bool,
    /// State and start time of each box as the node knows them.
    pub(super) known_boxes: Vec<Option<(State, Option<Micros>)>>,
    /// For each box, when the most recently sent of its answered attempts was sent.
    pub(super) last_answered_sent: Vec<Option<Micros>>,
    /// Open tries: without an answer, or with attempts in flight.
    pub(super) open: BTreeSet<TryNo>,
    /// Idle connections by box.
    kept: Vec<Vec<IdleConnection>>,
}

impl Node {
    pub(super) fn new(zone: usize, boxes: usize, decider: Box<dyn Decider>) -> Self {
        Self {
            up: true,
            incarnation: 0,
            zone,
            decider,
            events: VecDeque::new(),
            handling: false,
            timer: None,
            version: None,
            call: 0,
            watching: false,
            in_rotation: false,
            known_boxes: vec![None; boxes],
            last_answered_sent: vec![None; boxes],
            open: BTreeSet::new(),
            kept: vec![Vec::new(); boxes],
        }
    }

    /// Restarts with empty state except for the last known list.
    pub(super) fn restart(&mut self, decider: Box<dyn Decider>) {
        self.decider = decider;
        self.up = true;
        self.events.clear();
        (self.handling, self.timer, self.version, self.watching) = (false, None, None, false);
        self.last_answered_sent.fill(None);
    }

    /// Returns whether new work may go to this box, as far as the node knows.
    pub(super) fn takes_work(&self, app_box: usize) -> bool {
        matches!(self.known_boxes[app_box], Some((State::Up, _)))
    }

    /// Takes the most recently used idle connection to the current incarnation of the box; returns whether
    /// there was one. Unusable connections are closed and counted in `closed`.
    pub(super) fn take(
        &mut self,
        now: Micros,
        app_box: usize,
        to: &AppBox,
        idle_max_us: Micros,
        closed: &mut usize,
    ) -> bool {
        while let Some(last) = self.kept[app_box].pop() {
            if last.incarnation == to.incarnation() && to.is_running() && now < last.idle_since + idle_max_us
            {
                return true;
            }
            if last.incarnation == to.incarnation() {
                *closed += 1;
            }
        }
        false
    }

    /// Keeps a connection for reuse.
    pub(super) fn put(&mut self, now: Micros, app_box: usize, incarnation: u32) {
        self.kept[app_box].push(IdleConnection { incarnation, idle_since: now });
    }

    /// Closes all idle connections to a box; returns how many led to this incarnation of it.
    pub(super) fn forget(&mut self, app_box: usize, incarnation: u32) -> usize {
        let kept = std::mem::take(&mut self.kept[app_box]);
        kept.iter().filter(|k| k.incarnation == incarnation).count()
    }

    /// Closes all idle connections; returns for each box how many led to its current incarnation.
    pub(super) fn forget_all(&mut self, incarnation: impl Fn(usize) -> u32) -> Vec<(usize, usize)> {
        (0..self.kept.len())
            .map(|b| (b, self.forget(b, incarnation(b))))
            .filter(|(_, closed)| *closed > 0)
            .collect()
    }
}

/// A try at a node, open or finished.
pub(super) struct Try {
    pub(super) request: RequestNo,
    pub(super) node: usize,
    pub(super) incarnation: u32,
    /// Whether it has its answer, or needs none any more.
    pub(super) finished: bool,
    /// Whether the client has received the result or has left.
    pub(super) closed: bool,
    pub(super) attempts: Vec<AttemptNo>,
    pub(super) in_flight: u32,
}

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Its connection is not established yet.
    Connecting,
    /// The request is in transit or at its box.
    Written,
    /// Its node has received its outcome.
    Ended,
}

/// One attempt of a try at a box.
pub(super) struct Attempt {
    pub(super) of: TryNo,
    pub(super) index: usize,
    pub(super) app_box: usize,
    /// Incarnation of the box that it is connected to.
    pub(super) box_incarnation: u32,
    pub(super) sent: Micros,
    pub(super) stage: Stage,
    pub(super) work: f64,
    /// One-way network delay to its box.
    pub(super) delay: Micros,
    /// Whether it occupies one of the box's connections.
    pub(super) holds_connection: bool,
}

/// Outcome of an attempt whose time ran out before its connection was established. It is attributed to the
/// server where at least half of the connect time-out had passed.
pub(super) fn unfinished_connect(waited: Micros, connect: Micros, is_fixed: bool) -> Outcome {
    if is_fixed && waited >= connect / 2 {
        Outcome::Unwritten
    } else {
        Outcome::NotSent
    }
}

/// Longest idle time after which a connection is reused: half of the boxes' keep-alive time.
pub(super) fn idle_max_us(keepalive_ms: f64) -> Micros {
    micros(keepalive_ms * 0.5)
}
