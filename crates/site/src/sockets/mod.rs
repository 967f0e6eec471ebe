//! The socket driver: emulated servers, a discovery service and open-loop clients on loopback, with real
//! nodes as processes that are started, killed, terminated and reloaded. The operating system chooses all
//! ports.
//!
//! Latency is measured from the intended send time of a request, not from the time the client sent it. Faults
//! that loopback cannot produce are approximated: a silent server still accepts connections, since the kernel
//! does, but never responds; the server waits out the delay between zones; a zone partition affects requests,
//! not connects.

mod boxes;
mod clients;
mod config;
mod files;
mod list;
mod nodes;
mod stage;

use std::fmt;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::task::{spawn_local, LocalSet};

use crate::model::faults::{schedule, Effect};
use crate::model::referee::{Sum, Verdict};
use crate::model::spec::Site;
use crate::model::time::{micros, millis};
use stage::Harness;

/// Options of a run on sockets.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program whose `node` command is run for each node.
    pub program: PathBuf,
    /// The directory in which the nodes' configuration files are written.
    pub folder: PathBuf,
    /// Seed of all random streams.
    pub seed: u64,
    /// Share of the requests (0 to 1) that are sent directly to a server, as a baseline.
    pub direct: f64,
    /// Number of workers of each node.
    pub workers: u8,
    /// The durability promise of the ledger that each node keeps in `node-N-ledger` in the folder; `None` for
    /// no ledgers.
    pub ledger: Option<String>,
    /// How the server list file in the folder is written; `None` if the nodes use discovery instead.
    pub list_file: Option<ListFile>,
}

/// How the server list file is written, a hundred times a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListFile {
    /// Replaced atomically by a complete file.
    Whole,
    /// Replaced atomically, but every third file is truncated.
    Torn,
}

/// A request that is not safe to repeat and was executed by a server: what the server itself would record.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Ran {
    /// The server's name.
    #[serde(rename = "box")]
    pub at: String,
    /// The request id as received by the server.
    pub id: String,
    /// The request's class.
    pub class: String,
    /// The request's idempotency key, if its class uses one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}

/// The reason a run could not be completed.
#[derive(Debug)]
pub enum SocketError {
    /// An operation of the operating system failed.
    Io(&'static str, std::io::Error),
    /// A node did not start.
    Node(String),
}

impl fmt::Display for SocketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(what, error) => write!(f, "{what}: {error}"),
            Self::Node(message) => write!(f, "node: {message}"),
        }
    }
}

impl std::error::Error for SocketError {}

/// Summary of a latency distribution, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize, PartialEq)]
pub struct Latency {
    /// Number of measured requests.
    pub count: u64,
    /// The median.
    pub median_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The 99.9th percentile.
    pub p99_9_ms: f64,
}

impl From<&Histogram<u64>> for Latency {
    fn from(histogram: &Histogram<u64>) -> Self {
        let at = |q| millis(histogram.value_at_quantile(q));
        Self { count: histogram.len(), median_ms: at(0.5), p99_ms: at(0.99), p99_9_ms: at(0.999) }
    }
}

/// Resources that a node used.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct NodeCost {
    /// The node's name.
    pub name: String,
    /// Number of tries sent to the node.
    pub tries: u64,
    /// CPU time of all its processes, in milliseconds.
    pub cpu_ms: f64,
    /// Peak memory, in KiB.
    pub memory_kib: u64,
    /// Number of times it was started.
    pub starts: u32,
    /// Number of times its process ended unexpectedly.
    pub crashes: u32,
}

/// The result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The referee's verdict.
    pub verdict: Verdict,
    /// Latency of requests served through a node, from their intended send time.
    pub latency: Latency,
    /// Latency of requests served directly by a server, from their intended send time.
    pub straight: Latency,
    /// Delay between the intended and the actual send time of a request.
    pub lateness: Latency,
    /// Resources used by each node.
    pub nodes: Vec<NodeCost>,
    /// Number of times a server crashed from overload.
    pub fallen: u64,
    /// Errors of the test harness and unexpected ends of nodes.
    pub troubles: Vec<String>,
    /// The servers' records of executed requests that are not safe to repeat, in order; only kept if there
    /// are ledgers.
    #[serde(skip)]
    pub ran: Vec<Ran>,
}

/// State of a run, reported once a second.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Seconds since the first request.
    pub at_s: f64,
    /// Request totals so far.
    pub sum: Sum,
    /// Number of rule violations so far.
    pub rules_broken: u64,
    /// Each node's name and whether it is up.
    pub nodes: Vec<(String, bool)>,
    /// Each server's name, its state and the number of requests it holds.
    pub boxes: Vec<(String, &'static str, usize)>,
}

/// Interval between progress reports.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a site on sockets. `progress` is called about once a second.
///
/// # Errors
/// Returns an error if a socket or process cannot be created, or if a node does not start.
pub fn run(site: &Site, options: &Options, progress: impl FnMut(&Progress)) -> Result<Report, SocketError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| SocketError::Io("runtime", e))?;
    LocalSet::new().block_on(&runtime, run_site(site, options, progress))
}

async fn run_site(
    site: &Site,
    options: &Options,
    mut progress: impl FnMut(&Progress),
) -> Result<Report, SocketError> {
    let harness = Harness::new(site, options);
    boxes::open_all(&harness).await?;
    if options.list_file.is_some() {
        files::write_first(&harness)?;
    }
    for node_index in 0..site.nodes.count {
        list::open_address(&harness, node_index).await?;
        nodes::start(&harness, node_index)?;
    }
    nodes::wait_ready(&harness).await?;
    harness.reset_clock();
    let faults = spawn_local(apply_faults(harness.clone()));
    let files = options.list_file.map(|mode| spawn_local(files::rewrite_periodically(harness.clone(), mode)));
    let clients = spawn_local(clients::send_all(harness.clone(), options.direct));
    let end = micros(1000.0 * site.for_s);
    while harness.now() < end {
        let left = Duration::from_micros(end - harness.now());
        tokio::time::sleep(left.min(PROGRESS_INTERVAL)).await;
        nodes::sample_costs(&harness);
        progress(&harness.progress());
    }
    // Wait until every request has been answered or has passed its deadline.
    let longest = site.longest_deadline_ms();
    tokio::time::sleep(Duration::from_secs_f64((longest + site.rules.answer_slack_ms) / 1000.0)).await;
    clients.abort();
    faults.abort();
    if let Some(files) = files {
        files.abort();
    }
    nodes::sample_costs(&harness);
    nodes::stop_all(&harness).await;
    Ok(harness.report())
}

/// Applies the fault schedule.
async fn apply_faults(harness: Rc<Harness>) {
    for toggle in schedule(&harness.site, harness.seed) {
        harness.sleep_until(toggle.at).await;
        let changes = harness.state.borrow_mut().active.toggle(&toggle);
        match toggle.effect {
            Effect::Hang(box_index)
            | Effect::Errors(box_index, _)
            | Effect::Slow(box_index, _)
            | Effect::TurnAway(box_index, _) => {
                boxes::set_faults(&harness, box_index);
            }
            Effect::Down(box_index) if changes && toggle.on => boxes::stop(&harness, box_index),
            Effect::Down(box_index) if changes => boxes::start(&harness, box_index),
            Effect::Draining(box_index) if changes => {
                let now = harness.now();
                harness.state.borrow_mut().referee.set_draining(now, box_index, toggle.on);
                list::update_later(&harness, box_index);
            }
            Effect::ListClock(box_index, _) if changes => list::update_later(&harness, box_index),
            Effect::NodeDown(node_index) if changes && toggle.on => nodes::kill(&harness, node_index),
            Effect::NodeEnds(node_index) if changes && toggle.on => nodes::terminate(&harness, node_index),
            Effect::NodeDown(node_index) | Effect::NodeEnds(node_index) if changes => {
                // If the process cannot be restarted, the node stays down and the error is recorded.
                if let Err(error) = nodes::start(&harness, node_index) {
                    harness.record_error(format!("node {node_index}: {error}"));
                }
            }
            Effect::ListDown if changes => list::set_down(&harness, toggle.on),
            Effect::ListMoved if changes && toggle.on => {
                for node_index in 0..harness.site.nodes.count {
                    if let Err(error) = list::move_address(&harness, node_index).await {
                        harness.record_error(format!("list {node_index}: {error}"));
                    }
                }
            }
            _ => {}
        }
    }
}
