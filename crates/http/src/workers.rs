//! Several workers in one process, for machines with more than one core. Each is a thread with a runtime, a listener, a
//! connection to discovery and a policy of its own, and a node of its own in the policy's eyes; they share the address, by
//! SO_REUSEPORT, and the ids that are open. A worker that panics is ended whole and started again; the others go on.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use magpietally_core::Process;
use magpietally_net::listen;
use magpietally_os_error::retry;
use tokio::sync::Notify;

use crate::config::Config;
use crate::node::{
    duplicate_listener, listener_address, run_worker, OpenedProcess, OperatorOptions, WorkerSetup,
};

/// How long a worker that died stays down: its clients have turned to others by then.
const DOWN: Duration = Duration::from_millis(100);
/// So many deaths within so long end the process: what starts it again sees that something is wrong.
const DEATHS_MOST: (usize, Duration) = (8, Duration::from_secs(60));

thread_local! {
    /// This thread is a worker's.
    static WORKS: Cell<bool> = const { Cell::new(false) };
    /// Told when a task of this thread's has panicked. The runtime catches that, and would go on half alive.
    static PANICKED: RefCell<Rc<Notify>> = RefCell::new(Rc::new(Notify::new()));
}

/// For the panic hook: a worker's thread has panicked, and will be ended. False on any other thread.
pub fn note_panic() -> bool {
    // A thread that is ending has no such values any more.
    let works = WORKS.try_with(Cell::get).unwrap_or(false);
    if works {
        let _ = PANICKED.try_with(|told| told.borrow().notify_one());
    }
    works
}

/// Waits until a task of this thread's has panicked.
pub(crate) async fn panicked() {
    let told = PANICKED.with(|told| told.borrow().clone());
    told.notified().await;
}

/// How a worker ended.
type Ended = (usize, Result<(), String>);

struct Workers {
    config: Config,
    count: usize,
    at: SocketAddr,
    /// The platform's socket, which all accept from; `None` where each has its own.
    inherited: Option<TcpListener>,
    management: Option<TcpListener>,
    process: Process,
    options: OperatorOptions,
    ended: mpsc::Sender<Ended>,
}

impl Workers {
    /// Where a worker that is started again accepts.
    fn listener(&self) -> std::io::Result<TcpListener> {
        match &self.inherited {
            Some(socket) => duplicate_listener(socket),
            None => listen(self.at, true),
        }
    }

    /// Starts a worker on a thread of its own.
    fn start(
        &self,
        worker: usize,
        listener: TcpListener,
        lost_lines: impl Fn() -> u64 + Send + 'static,
    ) -> Result<(), String> {
        let config = self.config.for_worker(worker, self.count)?;
        let (process, options) = (self.process.clone(), self.options.clone());
        // The first answers calls to the second address; started again, it goes on with the same listener.
        let management = self.management.as_ref().filter(|_| worker == 0).map(duplicate_listener);
        let management = management.transpose().map_err(|e| format!("management: {e}"))?;
        let part =
            WorkerSetup { listener, management, process, label: format!("worker {worker}: "), options };
        let ended = self.ended.clone();
        let run = move || {
            WORKS.set(true);
            let begun = || tracing::info!(target: "worker", "{worker} has begun");
            let end = catch_unwind(AssertUnwindSafe(|| run_worker(config, part, begun, lost_lines)));
            // Where nobody listens any more the process ends.
            let _ = ended.send((worker, end.unwrap_or_else(|_| Err("panicked".to_string()))));
        };
        let thread = retry::spawn(&format!("worker-{worker}"), run);
        thread.map(drop).map_err(|e| format!("worker {worker}: {e}"))
    }
}

/// Runs so many workers until a signal ends them all. The first one's status lines tell of lost lines.
///
/// # Errors
/// What could not be set up, in one line, or that workers died too often.
pub fn run_workers(
    config: Config,
    count: usize,
    options: OperatorOptions,
    lost_lines: impl Fn() -> u64 + Clone + Send + 'static,
) -> Result<(), String> {
    let OpenedProcess { listeners, management, process } = OpenedProcess::new(&config, count)?;
    let cannot = |e| format!("listen: {}: {e}", config.listen);
    let Some(first) = listeners.first() else { return Err("workers: none are wanted".into()) };
    let at = listener_address(first).map_err(cannot)?;
    let inherited = config.inherited_fd.map(|_| duplicate_listener(first)).transpose().map_err(cannot)?;
    let (ended, ends) = mpsc::channel();
    let name = config.name.clone();
    let workers = Workers { config, count, at, inherited, management, process, options, ended };
    let lost = |worker: usize| {
        let lost_lines = lost_lines.clone();
        move || if worker == 0 { lost_lines() } else { 0 }
    };
    for (worker, listener) in listeners.into_iter().enumerate() {
        workers.start(worker, listener, lost(worker))?;
    }
    tracing::info!(target: "node", "{name} listens at {at}");
    let mut deaths = VecDeque::new();
    let mut left = count;
    while left > 0 {
        // This side keeps a sender, so the channel never ends.
        let Ok((worker, end)) = ends.recv() else { return Err("workers: no word of them".into()) };
        // Where one has ended as it was told to the process ends: nothing is started again.
        let Some(words) = end.err().filter(|_| left == count) else {
            left -= 1;
            continue;
        };
        tracing::error!(target: "worker", "{worker} ended: {words}");
        deaths.push_back(Instant::now());
        while deaths.front().is_some_and(|at| at.elapsed() > DEATHS_MOST.1) {
            deaths.pop_front();
        }
        if deaths.len() > DEATHS_MOST.0 {
            return Err(format!("workers died {} times within {} s", deaths.len(), DEATHS_MOST.1.as_secs()));
        }
        std::thread::sleep(DOWN);
        let listener = workers.listener().map_err(|e| format!("listen: {at}: {e}"))?;
        workers.start(worker, listener, lost(worker))?;
    }
    Ok(())
}
