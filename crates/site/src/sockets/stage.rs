//! What all parts of a run on sockets share: the model, the referee and the clock. One thread, so no locks.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hdrhistogram::Histogram;
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::AbortHandle;

use super::{Latency, NodeCost, Options, Progress, Ran, Report};
use crate::model::app_box::{AppBox, JobId, ServerResponse};
use crate::model::clients::Arrival;
use crate::model::faults::{ActiveEffects, Effect};
use crate::model::list::BoxList;
use crate::model::random::{Purpose, Stream};
use crate::model::referee::{Referee, RequestNo};
use crate::model::spec::{self, Site};
use crate::model::time::Micros;

/// The longest latency that is told apart, in microseconds.
const LONGEST: u64 = 60_000_000;

/// A node as the stage sees it.
#[derive(Default)]
pub(super) struct NodeState {
    pub(super) at: Option<SocketAddr>,
    pub(super) list_at: Option<SocketAddr>,
    pub(super) list_task: Option<AbortHandle>,
    pub(super) pid: Option<u32>,
    /// Which of its lives this is.
    pub(super) life: u32,
    pub(super) up: bool,
    /// The front deals tries to it.
    pub(super) dealt: bool,
    /// Its end is the schedule's.
    pub(super) ends: bool,
    pub(super) last_words: Vec<String>,
    pub(super) cost: NodeCost,
    /// CPU time of its present life when last looked at.
    pub(super) cpu_ms: f64,
}

/// One try, for the box that it reaches.
pub(super) struct TryState {
    pub(super) request: RequestNo,
    pub(super) node: usize,
    pub(super) served: bool,
}

pub(super) struct State {
    pub(super) referee: Referee,
    pub(super) boxes: Vec<AppBox>,
    pub(super) box_kind: Vec<usize>,
    pub(super) box_at: Vec<Option<SocketAddr>>,
    pub(super) box_task: Vec<Option<AbortHandle>>,
    pub(super) box_conns: Vec<usize>,
    pub(super) fallen: Vec<bool>,
    pub(super) falls: u64,
    pub(super) waiting: HashMap<JobId, oneshot::Sender<(ServerResponse, f64)>>,
    pub(super) list: BoxList,
    pub(super) active: ActiveEffects,
    pub(super) rolls: Stream,
    pub(super) requests: Vec<Arrival>,
    /// Requests that go past the nodes.
    pub(super) straight_requests: Vec<Arrival>,
    pub(super) tries: Vec<TryState>,
    pub(super) nodes: Vec<NodeState>,
    pub(super) latency: Histogram<u64>,
    pub(super) straight: Histogram<u64>,
    pub(super) lateness: Histogram<u64>,
    pub(super) troubles: Vec<String>,
    /// Whose an attempt is, and at which box, while it is there: for the boxes' records.
    pub(super) noted: HashMap<JobId, (usize, usize)>,
    pub(super) ran: Vec<Ran>,
}

pub(super) struct Stage {
    pub(super) site: Site,
    pub(super) seed: u64,
    pub(super) program: PathBuf,
    pub(super) workers: u8,
    pub(super) folder: PathBuf,
    pub(super) ledger: Option<String>,
    /// Nodes have the list from a file.
    pub(super) list_file: bool,
    began: Cell<Instant>,
    unix_began_ms: Cell<f64>,
    pub(super) box_names: Vec<String>,
    pub(super) box_wakes: Vec<Notify>,
    /// Raised whenever the list has news, or goes down.
    pub(super) news: watch::Sender<u64>,
    pub(super) state: RefCell<State>,
}

fn histogram() -> Histogram<u64> {
    // Three digits and bounds in this order are what the crate takes.
    Histogram::new_with_bounds(1, LONGEST, 3).expect("constants within the crate's own limits")
}

impl Stage {
    pub(super) fn new(site: &Site, options: &Options) -> Rc<Self> {
        let seed = options.seed;
        let box_kind = site.box_kinds();
        let count = box_kind.len();
        let own = |b: usize| Stream::new(seed ^ ((b as u64 + 1) << 20), Purpose::Boxes);
        let boxes = box_kind.iter().enumerate().map(|(b, k)| AppBox::new(&site.boxes[*k], own(b))).collect();
        let zones = (0..count).map(|b| b % site.zones.len()).collect();
        let node = |n| NodeState {
            cost: NodeCost { name: format!("node-{n}"), ..NodeCost::default() },
            ..NodeState::default()
        };
        let state = State {
            referee: Referee::new(site, zones),
            boxes,
            box_kind,
            box_at: vec![None; count],
            box_task: (0..count).map(|_| None).collect(),
            box_conns: vec![0; count],
            fallen: vec![false; count],
            falls: 0,
            waiting: HashMap::new(),
            list: BoxList::new(&site.list, count, Stream::new(seed, Purpose::List)),
            active: ActiveEffects::default(),
            rolls: Stream::new(seed ^ 0x5EED, Purpose::Faults),
            requests: Vec::new(),
            straight_requests: Vec::new(),
            tries: Vec::new(),
            nodes: (0..site.nodes.count).map(node).collect(),
            latency: histogram(),
            straight: histogram(),
            lateness: histogram(),
            troubles: Vec::new(),
            noted: HashMap::new(),
            ran: Vec::new(),
        };
        let stage = Self {
            site: site.clone(),
            seed,
            program: options.program.clone(),
            workers: options.workers,
            folder: options.folder.clone(),
            ledger: options.ledger.clone(),
            list_file: options.list_file.is_some(),
            began: Cell::new(Instant::now()),
            unix_began_ms: Cell::new(0.0),
            box_names: site.box_names(),
            box_wakes: (0..count).map(|_| Notify::new()).collect(),
            news: watch::channel(0).0,
            state: RefCell::new(state),
        };
        stage.begin();
        Rc::new(stage)
    }

    /// Time starts now.
    pub(super) fn begin(&self) {
        self.began.set(Instant::now());
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.unix_began_ms.set(unix.as_secs_f64() * 1000.0);
    }

    pub(super) fn now(&self) -> Micros {
        self.began.get().elapsed().as_micros() as Micros
    }

    pub(super) fn instant(&self, at: Micros) -> tokio::time::Instant {
        (self.began.get() + Duration::from_micros(at)).into()
    }

    pub(super) async fn until(&self, at: Micros) {
        tokio::time::sleep_until(self.instant(at)).await;
    }

    /// Unix time of one of the stage's, in milliseconds.
    pub(super) fn unix_ms(&self, at: Micros) -> f64 {
        self.unix_began_ms.get() + at as f64 / 1000.0
    }

    pub(super) fn box_zone(&self, b: usize) -> usize {
        b % self.site.zones.len()
    }

    pub(super) fn node_zone(&self, n: usize) -> usize {
        n % self.site.zones.len()
    }

    /// Is the way between a node and a box dead, as far as requests go?
    pub(super) fn is_dead(&self, n: usize, b: usize) -> bool {
        let active = &self.state.borrow().active;
        active.contains(Effect::Silent(b)) || active.cuts(self.node_zone(n), self.box_zone(b))
    }

    /// What a box has on record of an attempt that ran, where it may not run at will.
    pub(super) fn record_of(&self, state: &State, (number, b): (usize, usize)) -> Option<Ran> {
        let request = state.tries[number].request;
        let class = &self.site.clients.classes[state.requests[request].class];
        let key = match class.effect {
            spec::Effect::Safe => return None,
            spec::Effect::Keyed => Some(format!("{request:032x}")),
            spec::Effect::Unsafe => None,
        };
        Some(Ran { at: self.box_names[b].clone(), id: format!("{number:x}"), class: class.name.clone(), key })
    }

    /// Something went wrong with the stage itself.
    pub(super) fn trouble(&self, words: String) {
        self.state.borrow_mut().troubles.push(words);
    }

    pub(super) fn progress(&self) -> Progress {
        let now = self.now();
        let state = self.state.borrow();
        let of_box = |(b, model): (usize, &AppBox)| {
            let word = if !model.is_running() {
                "down"
            } else if state.active.contains(Effect::Hang(b)) {
                "hangs"
            } else if state.active.contains(Effect::Silent(b)) {
                "silent"
            } else if state.active.contains(Effect::Draining(b)) {
                "drains"
            } else if model.warmth(now) < 1.0 {
                "cold"
            } else {
                "serves"
            };
            (self.box_names[b].clone(), word, model.request_count())
        };
        Progress {
            at_s: now as f64 / 1e6,
            sum: state.referee.totals(),
            rules_broken: state.referee.breach_count(),
            nodes: state.nodes.iter().map(|n| (n.cost.name.clone(), n.up)).collect(),
            boxes: state.boxes.iter().enumerate().map(of_box).collect(),
        }
    }

    pub(super) fn report(&self) -> Report {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let wasted: f64 = state.boxes.iter().map(AppBox::wasted).sum();
        state.referee.add_work(wasted, false);
        let zones = (0..self.box_names.len()).map(|b| self.box_zone(b)).collect();
        let referee = std::mem::replace(&mut state.referee, Referee::new(&self.site, zones));
        Report {
            verdict: referee.finish(now),
            latency: Latency::from(&state.latency),
            straight: Latency::from(&state.straight),
            lateness: Latency::from(&state.lateness),
            nodes: state.nodes.iter().map(|n| n.cost.clone()).collect(),
            fallen: state.falls,
            troubles: state.troubles.clone(),
            ran: std::mem::take(&mut state.ran),
        }
    }
}
