//! The driver on sockets: stand-in app boxes, a box list and open-loop clients on loopback, with real nodes as
//! processes that are started, killed, told to end and told to reload. All ports are the system's choice.
//!
//! Latency counts from when a client meant to ask, not from when it got round to it. What loopback can't show stands in
//! as well as it can: a silent machine's connections come up, as the kernel takes them, and then say nothing; delays
//! between zones are waited at the box; a zone is cut for requests, not for connects.

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
use stage::Stage;

/// How to run a site on sockets.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program whose `node` is run.
    pub program: PathBuf,
    /// Where nodes' configurations are written.
    pub folder: PathBuf,
    /// The seed.
    pub seed: u64,
    /// Part of the requests that go straight to a box, to compare with.
    pub direct: f64,
    /// How many workers each node has.
    pub workers: u8,
    /// The promise of the ledger that each node keeps in the folder, as `node-N-ledger`; `None` for no ledgers.
    pub ledger: Option<String>,
    /// The nodes' list comes from a file in the folder, and not from discovery.
    pub list_file: Option<ListFile>,
}

/// How the list's file is written, a hundred times a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListFile {
    /// Replaced as a whole.
    Whole,
    /// The same, and one in three is a half-written copy.
    Torn,
}

/// A request that may not run at will, and ran at a box: what the box itself would have on record.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Ran {
    /// The box.
    #[serde(rename = "box")]
    pub at: String,
    /// The id that the request came with.
    pub id: String,
    /// Its class.
    pub class: String,
    /// Its key, where it has one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}

/// Why a run could not be made.
#[derive(Debug)]
pub enum SocketError {
    /// The system refused something.
    Io(&'static str, std::io::Error),
    /// A node did not come up.
    Node(String),
}

impl fmt::Display for SocketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(what, error) => write!(f, "{what}: {error}"),
            Self::Node(words) => write!(f, "node: {words}"),
        }
    }
}

impl std::error::Error for SocketError {}

/// Latency in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize, PartialEq)]
pub struct Latency {
    /// How many were measured.
    pub count: u64,
    /// The median.
    pub median_ms: f64,
    /// 99 of 100 were quicker.
    pub p99_ms: f64,
    /// 999 of 1,000 were quicker.
    pub p99_9_ms: f64,
}

impl From<&Histogram<u64>> for Latency {
    fn from(h: &Histogram<u64>) -> Self {
        let at = |q| millis(h.value_at_quantile(q));
        Self { count: h.len(), median_ms: at(0.5), p99_ms: at(0.99), p99_9_ms: at(0.999) }
    }
}

/// What a node cost.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct NodeCost {
    /// Its name.
    pub name: String,
    /// Tries that it was sent.
    pub tries: u64,
    /// CPU time of all its lives, in milliseconds.
    pub cpu_ms: f64,
    /// The most memory that it held, in KiB.
    pub memory_kib: u64,
    /// How often it was started.
    pub starts: u32,
    /// How often it ended by itself.
    pub crashes: u32,
}

/// What a run came to.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The referee's word.
    pub verdict: Verdict,
    /// Served by way of a node, from when it was meant to be asked.
    pub latency: Latency,
    /// Served straight by a box, likewise.
    pub straight: Latency,
    /// How late clients got round to asking.
    pub lateness: Latency,
    /// The nodes.
    pub nodes: Vec<NodeCost>,
    /// Boxes that fell over.
    pub fallen: u64,
    /// What went wrong with the stage itself.
    pub troubles: Vec<String>,
    /// The boxes' records of what may not run at will, in order; kept where there are ledgers.
    #[serde(skip)]
    pub ran: Vec<Ran>,
}

/// How a run fares, once a second.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Seconds since the first request.
    pub at_s: f64,
    /// Sums so far.
    pub sum: Sum,
    /// Rules broken so far.
    pub rules_broken: u64,
    /// Each node's name, and whether it is up.
    pub nodes: Vec<(String, bool)>,
    /// Each box's name, what it is up to, and what it holds.
    pub boxes: Vec<(String, &'static str, usize)>,
}

/// How often progress is told.
const TOLD: Duration = Duration::from_secs(1);

/// Runs a site on sockets. `progress` is called about once a second.
///
/// # Errors
/// Where sockets or processes can't be had, or a node does not come up.
pub fn run(site: &Site, options: &Options, progress: impl FnMut(&Progress)) -> Result<Report, SocketError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| SocketError::Io("runtime", e))?;
    LocalSet::new().block_on(&runtime, play(site, options, progress))
}

async fn play(
    site: &Site,
    options: &Options,
    mut progress: impl FnMut(&Progress),
) -> Result<Report, SocketError> {
    let stage = Stage::new(site, options);
    boxes::begin(&stage).await?;
    if options.list_file.is_some() {
        files::begin(&stage)?;
    }
    for n in 0..site.nodes.count {
        list::begin(&stage, n).await?;
        nodes::start(&stage, n)?;
    }
    nodes::wait_ready(&stage).await?;
    stage.begin();
    let faults = spawn_local(faults(stage.clone()));
    let files = options.list_file.map(|how| spawn_local(files::keep_writing(stage.clone(), how)));
    let clients = spawn_local(clients::ask_all(stage.clone(), options.direct));
    let end = micros(1000.0 * site.for_s);
    while stage.now() < end {
        let left = Duration::from_micros(end - stage.now());
        tokio::time::sleep(left.min(TOLD)).await;
        nodes::sample(&stage);
        progress(&stage.progress());
    }
    // All that was asked is answered, or its time is up.
    let longest = site.longest_deadline_ms();
    tokio::time::sleep(Duration::from_secs_f64((longest + site.rules.answer_slack_ms) / 1000.0)).await;
    clients.abort();
    faults.abort();
    if let Some(files) = files {
        files.abort();
    }
    nodes::sample(&stage);
    nodes::stop_all(&stage).await;
    Ok(stage.report())
}

/// Plays the schedule.
async fn faults(stage: Rc<Stage>) {
    for toggle in schedule(&stage.site, stage.seed) {
        stage.until(toggle.at).await;
        let changes = stage.state.borrow_mut().active.toggle(&toggle);
        match toggle.effect {
            Effect::Hang(b) | Effect::Errors(b, _) | Effect::Slow(b, _) | Effect::TurnAway(b, _) => {
                boxes::set_faults(&stage, b);
            }
            Effect::Down(b) if changes && toggle.on => boxes::stop(&stage, b),
            Effect::Down(b) if changes => boxes::start(&stage, b),
            Effect::Draining(b) if changes => {
                let now = stage.now();
                stage.state.borrow_mut().referee.set_draining(now, b, toggle.on);
                list::tell_later(&stage, b);
            }
            Effect::ListClock(b, _) if changes => list::tell_later(&stage, b),
            Effect::NodeDown(n) if changes && toggle.on => nodes::kill(&stage, n),
            Effect::NodeEnds(n) if changes && toggle.on => nodes::end(&stage, n),
            Effect::NodeDown(n) | Effect::NodeEnds(n) if changes => {
                // A machine that can't start a process again shows as a node that stays down.
                if let Err(error) = nodes::start(&stage, n) {
                    stage.trouble(format!("node {n}: {error}"));
                }
            }
            Effect::ListDown if changes => list::set_down(&stage, toggle.on),
            Effect::ListMoved if changes && toggle.on => {
                for n in 0..stage.site.nodes.count {
                    if let Err(error) = list::moves(&stage, n).await {
                        stage.trouble(format!("list {n}: {error}"));
                    }
                }
            }
            _ => {}
        }
    }
}
