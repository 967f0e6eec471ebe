//! State shared by all parts of a run on sockets: the model, the referee and the clock. A run uses a single
//! thread, so there are no locks.

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

/// Upper bound of the histograms; longer latencies are recorded as this value.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// A node process as seen by the harness.
#[derive(Default)]
pub(super) struct NodeState {
    pub(super) address: Option<SocketAddr>,
    pub(super) list_address: Option<SocketAddr>,
    pub(super) list_listener_task: Option<AbortHandle>,
    pub(super) pid: Option<u32>,
    /// Number of the node's current incarnation.
    pub(super) incarnation: u32,
    pub(super) up: bool,
    /// Whether the front load balancer sends tries to this node.
    pub(super) in_rotation: bool,
    /// Whether the harness itself ends the process, so that its exit is no crash.
    pub(super) expected_exit: bool,
    pub(super) log_tail: Vec<String>,
    pub(super) cost: NodeCost,
    /// CPU time of the current process at the last sample.
    pub(super) sampled_cpu_ms: f64,
}

/// One client try, as looked up by the server that receives it.
pub(super) struct TryState {
    pub(super) request: RequestNo,
    pub(super) node: usize,
    pub(super) served: bool,
}

/// Mutable state of a run.
pub(super) struct State {
    pub(super) referee: Referee,
    pub(super) boxes: Vec<AppBox>,
    pub(super) box_kind: Vec<usize>,
    pub(super) box_addresses: Vec<Option<SocketAddr>>,
    pub(super) listener_tasks: Vec<Option<AbortHandle>>,
    pub(super) open_connections: Vec<usize>,
    pub(super) crashed: Vec<bool>,
    pub(super) overload_crashes: u64,
    pub(super) response_senders: HashMap<JobId, oneshot::Sender<(ServerResponse, f64)>>,
    pub(super) list: BoxList,
    pub(super) active: ActiveEffects,
    pub(super) fault_random: Stream,
    pub(super) requests: Vec<Arrival>,
    /// Requests sent directly to a server, without a node.
    pub(super) direct_requests: Vec<Arrival>,
    pub(super) tries: Vec<TryState>,
    pub(super) nodes: Vec<NodeState>,
    pub(super) latency: Histogram<u64>,
    pub(super) direct_latency: Histogram<u64>,
    pub(super) lateness: Histogram<u64>,
    pub(super) errors: Vec<String>,
    /// Try number and server index of each attempt in progress, for the servers' records.
    pub(super) recorded_attempts: HashMap<JobId, (usize, usize)>,
    pub(super) ran: Vec<Ran>,
}

/// Settings, clock and state of a run, shared by its tasks.
pub(super) struct Harness {
    pub(super) site: Site,
    pub(super) seed: u64,
    pub(super) program: PathBuf,
    pub(super) workers: u8,
    pub(super) folder: PathBuf,
    pub(super) ledger: Option<String>,
    /// Whether the nodes read the server list from a file.
    pub(super) list_file: bool,
    started_at: Cell<Instant>,
    unix_start_ms: Cell<f64>,
    pub(super) box_names: Vec<String>,
    pub(super) box_wakeups: Vec<Notify>,
    /// Incremented whenever the list changes or its availability does.
    pub(super) list_updates: watch::Sender<u64>,
    pub(super) state: RefCell<State>,
}

fn histogram() -> Histogram<u64> {
    // Three significant digits and ascending bounds are valid arguments.
    Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3).expect("constants within the crate's own limits")
}

impl Harness {
    pub(super) fn new(site: &Site, options: &Options) -> Rc<Self> {
        let seed = options.seed;
        let box_kind = site.box_kinds();
        let count = box_kind.len();
        let box_random =
            |box_index: usize| Stream::new(seed ^ ((box_index as u64 + 1) << 20), Purpose::Boxes);
        let boxes = box_kind
            .iter()
            .enumerate()
            .map(|(box_index, k)| AppBox::new(&site.boxes[*k], box_random(box_index)))
            .collect();
        let zones = (0..count).map(|box_index| box_index % site.zones.len()).collect();
        let node = |node_index| NodeState {
            cost: NodeCost { name: format!("node-{node_index}"), ..NodeCost::default() },
            ..NodeState::default()
        };
        let state = State {
            referee: Referee::new(site, zones),
            boxes,
            box_kind,
            box_addresses: vec![None; count],
            listener_tasks: (0..count).map(|_| None).collect(),
            open_connections: vec![0; count],
            crashed: vec![false; count],
            overload_crashes: 0,
            response_senders: HashMap::new(),
            list: BoxList::new(&site.list, count, Stream::new(seed, Purpose::List)),
            active: ActiveEffects::default(),
            fault_random: Stream::new(seed ^ 0x5EED, Purpose::Faults),
            requests: Vec::new(),
            direct_requests: Vec::new(),
            tries: Vec::new(),
            nodes: (0..site.nodes.count).map(node).collect(),
            latency: histogram(),
            direct_latency: histogram(),
            lateness: histogram(),
            errors: Vec::new(),
            recorded_attempts: HashMap::new(),
            ran: Vec::new(),
        };
        let harness = Self {
            site: site.clone(),
            seed,
            program: options.program.clone(),
            workers: options.workers,
            folder: options.folder.clone(),
            ledger: options.ledger.clone(),
            list_file: options.list_file.is_some(),
            started_at: Cell::new(Instant::now()),
            unix_start_ms: Cell::new(0.0),
            box_names: site.box_names(),
            box_wakeups: (0..count).map(|_| Notify::new()).collect(),
            list_updates: watch::channel(0).0,
            state: RefCell::new(state),
        };
        harness.reset_clock();
        Rc::new(harness)
    }

    /// Sets the run's clock to zero.
    pub(super) fn reset_clock(&self) {
        self.started_at.set(Instant::now());
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.unix_start_ms.set(unix.as_secs_f64() * 1000.0);
    }

    pub(super) fn now(&self) -> Micros {
        self.started_at.get().elapsed().as_micros() as Micros
    }

    pub(super) fn instant(&self, at: Micros) -> tokio::time::Instant {
        (self.started_at.get() + Duration::from_micros(at)).into()
    }

    pub(super) async fn sleep_until(&self, at: Micros) {
        tokio::time::sleep_until(self.instant(at)).await;
    }

    /// Converts a time of the run's clock to Unix time in milliseconds.
    pub(super) fn unix_ms(&self, at: Micros) -> f64 {
        self.unix_start_ms.get() + at as f64 / 1000.0
    }

    pub(super) fn box_zone(&self, box_index: usize) -> usize {
        box_index % self.site.zones.len()
    }

    pub(super) fn node_zone(&self, node_index: usize) -> usize {
        node_index % self.site.zones.len()
    }

    /// Returns whether requests between a node and a server get no response, because of a silent server or a
    /// partition.
    pub(super) fn is_unreachable(&self, node_index: usize, box_index: usize) -> bool {
        let active = &self.state.borrow().active;
        active.contains(Effect::Silent(box_index))
            || active.cuts(self.node_zone(node_index), self.box_zone(box_index))
    }

    /// Returns the server's record of an executed attempt, or `None` if its class is safe to repeat.
    pub(super) fn execution_record(&self, state: &State, (number, box_index): (usize, usize)) -> Option<Ran> {
        let request = state.tries[number].request;
        let class = &self.site.clients.classes[state.requests[request].class];
        let key = match class.effect {
            spec::Effect::Safe => return None,
            spec::Effect::Keyed => Some(format!("{request:032x}")),
            spec::Effect::Unsafe => None,
        };
        Some(Ran {
            at: self.box_names[box_index].clone(),
            id: format!("{number:x}"),
            class: class.name.clone(),
            key,
        })
    }

    /// Records an error of the harness or an unexpected end of a node for the report.
    pub(super) fn record_error(&self, message: String) {
        self.state.borrow_mut().errors.push(message);
    }

    pub(super) fn progress(&self) -> Progress {
        let now = self.now();
        let state = self.state.borrow();
        let box_progress = |(box_index, model): (usize, &AppBox)| {
            let status = if !model.is_running() {
                "down"
            } else if state.active.contains(Effect::Hang(box_index)) {
                "hangs"
            } else if state.active.contains(Effect::Silent(box_index)) {
                "silent"
            } else if state.active.contains(Effect::Draining(box_index)) {
                "drains"
            } else if model.warmth(now) < 1.0 {
                "cold"
            } else {
                "serves"
            };
            (self.box_names[box_index].clone(), status, model.request_count())
        };
        Progress {
            at_s: now as f64 / 1e6,
            sum: state.referee.totals(),
            rules_broken: state.referee.breach_count(),
            nodes: state.nodes.iter().map(|node| (node.cost.name.clone(), node.up)).collect(),
            boxes: state.boxes.iter().enumerate().map(box_progress).collect(),
        }
    }

    pub(super) fn report(&self) -> Report {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let wasted: f64 = state.boxes.iter().map(AppBox::wasted).sum();
        state.referee.add_work(wasted, false);
        let zones = (0..self.box_names.len()).map(|box_index| self.box_zone(box_index)).collect();
        let referee = std::mem::replace(&mut state.referee, Referee::new(&self.site, zones));
        Report {
            verdict: referee.finish(now),
            latency: Latency::from(&state.latency),
            straight: Latency::from(&state.direct_latency),
            lateness: Latency::from(&state.lateness),
            nodes: state.nodes.iter().map(|node| node.cost.clone()).collect(),
            fallen: state.overload_crashes,
            troubles: state.errors.clone(),
            ran: std::mem::take(&mut state.ran),
        }
    }
}
