//! What a node is besides its policy: connections, timers, its view of the list, and the requests that it holds. It
//! stands for `core` and `http` in virtual time, and decides as little.

use std::collections::{BTreeSet, VecDeque};

use magpietally_policy::{Event, Outcome};

use super::decider::Decider;
use crate::model::boxes::AppBox;
use crate::model::list::State;
use crate::model::referee::{AttemptNo, RequestNo, TryNo};
use crate::model::time::{micros, Micros};

/// How long before the client's deadline the policy's ends, and the node answers in its place; both at the most the
/// given part of the time that a request came with.
const MARGIN: (Micros, u64) = (20_000, 8);
const GUARD: (Micros, u64) = (9_000, 16);

/// The two of them for a request that came with this time.
pub(super) fn kept_back(remaining: Micros, mended: bool) -> (Micros, Micros) {
    if mended {
        (MARGIN.0.min(remaining / MARGIN.1), GUARD.0.min(remaining / GUARD.1))
    } else {
        (MARGIN.0.min(remaining), GUARD.0.min(remaining))
    }
}

/// A kept connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Kept {
    /// Which life of its box it leads to.
    life: u32,
    idle_since: Micros,
}

/// One node.
pub(super) struct Node {
    pub(super) up: bool,
    /// Which of its lives this is: what was meant for another one is void.
    pub(super) life: u32,
    pub(super) zone: usize,
    pub(super) decider: Box<dyn Decider>,
    pub(super) events: VecDeque<Event>,
    pub(super) feeding: bool,
    pub(super) timer: Option<Micros>,
    /// The list's version that it has.
    pub(super) version: Option<u64>,
    /// The call to the list that is out or watched, by number.
    pub(super) call: u64,
    pub(super) watching: bool,
    /// The front deals tries to it.
    pub(super) dealt: bool,
    /// What it knows of each box.
    pub(super) known: Vec<Option<(State, Option<Micros>)>>,
    /// When the latest of the attempts was sent that each box has answered.
    pub(super) answered: Vec<Option<Micros>>,
    /// Tries that it holds: without an answer, or with attempts out.
    pub(super) open: BTreeSet<TryNo>,
    /// By box.
    kept: Vec<Vec<Kept>>,
}

impl Node {
    pub(super) fn new(zone: usize, boxes: usize, decider: Box<dyn Decider>) -> Self {
        Self {
            up: true,
            life: 0,
            zone,
            decider,
            events: VecDeque::new(),
            feeding: false,
            timer: None,
            version: None,
            call: 0,
            watching: false,
            dealt: false,
            known: vec![None; boxes],
            answered: vec![None; boxes],
            open: BTreeSet::new(),
            kept: vec![Vec::new(); boxes],
        }
    }

    /// Starts again from nothing, but for the list as it was last had.
    pub(super) fn restart(&mut self, decider: Box<dyn Decider>) {
        self.decider = decider;
        self.up = true;
        self.events.clear();
        (self.feeding, self.timer, self.version, self.watching) = (false, None, None, false);
        self.answered.fill(None);
    }

    /// May new work go to this box, as far as the node knows?
    pub(super) fn takes_work(&self, app_box: usize) -> bool {
        matches!(self.known[app_box], Some((State::Up, _)))
    }

    /// A kept connection to the box as it runs, the one used last; those that can't be used are closed, and counted in
    /// `closed`.
    pub(super) fn take(
        &mut self,
        now: Micros,
        app_box: usize,
        to: &AppBox,
        idle_most: Micros,
        closed: &mut usize,
    ) -> bool {
        while let Some(last) = self.kept[app_box].pop() {
            if last.life == to.life() && to.up() && now < last.idle_since + idle_most {
                return true;
            }
            if last.life == to.life() {
                *closed += 1;
            }
        }
        false
    }

    /// Keeps a connection.
    pub(super) fn put(&mut self, now: Micros, app_box: usize, life: u32) {
        self.kept[app_box].push(Kept { life, idle_since: now });
    }

    /// Closes all kept connections to a box; gives how many led to this life of it.
    pub(super) fn forget(&mut self, app_box: usize, life: u32) -> usize {
        let kept = std::mem::take(&mut self.kept[app_box]);
        kept.iter().filter(|k| k.life == life).count()
    }

    /// Closes all kept connections; how many led to the present life of each box.
    pub(super) fn forget_all(&mut self, life: impl Fn(usize) -> u32) -> Vec<(usize, usize)> {
        (0..self.kept.len()).map(|b| (b, self.forget(b, life(b)))).filter(|(_, closed)| *closed > 0).collect()
    }
}

/// A try that a node holds, or held.
pub(super) struct Try {
    pub(super) request: RequestNo,
    pub(super) node: usize,
    pub(super) life: u32,
    /// It has its answer, or none is owed any more.
    pub(super) over: bool,
    /// The client has been told, or has left.
    pub(super) closed: bool,
    pub(super) attempts: Vec<AttemptNo>,
    pub(super) out: u32,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Its connection does not stand yet.
    Connecting,
    /// The request is on its way, or at its box.
    Written,
    /// Its node has its outcome.
    Ended,
}

/// An attempt.
pub(super) struct Attempt {
    pub(super) of: TryNo,
    pub(super) index: usize,
    pub(super) app_box: usize,
    /// The life of the box that its connection leads to.
    pub(super) box_life: u32,
    pub(super) sent: Micros,
    pub(super) stage: Stage,
    pub(super) work: f64,
    /// One way to its box.
    pub(super) way: Micros,
    /// It holds one of the box's connections.
    pub(super) holds: bool,
}

/// How an attempt ends whose time was over before its connection stood: one that had half of the time to connect
/// tells of its server.
pub(super) fn unfinished(waited: Micros, connect: Micros, mended: bool) -> Outcome {
    if mended && waited >= connect / 2 {
        Outcome::Unwritten
    } else {
        Outcome::NotSent
    }
}

/// Half the boxes' keep-alive: what has been idle for longer is not used.
pub(super) fn idle_most(keepalive_ms: f64) -> Micros {
    micros(keepalive_ms * 0.5)
}
