//! Several workers in one process, for machines with more than one core. Each is a thread with its own
//! runtime, listener, connection to discovery and policy, and counts as a node of its own for the policy.
//! They share the address, by SO_REUSEPORT, and the ids of open requests. A worker that panics is torn down
//! and restarted; the others go on.

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

/// How long a worker that died stays down: its clients have turned to other nodes by then.
const RESTART_DELAY: Duration = Duration::from_millis(100);
/// More deaths than this within this time end the process, so that its supervisor notices the fault.
const MAX_DEATHS: (usize, Duration) = (8, Duration::from_secs(60));

thread_local! {
    /// Whether this thread belongs to a worker.
    static IS_WORKER: Cell<bool> = const { Cell::new(false) };
    /// Notified when a task of this thread has panicked. The runtime catches the panic and would carry on
    /// with the worker's state incomplete.
    static PANIC_NOTICE: RefCell<Rc<Notify>> = RefCell::new(Rc::new(Notify::new()));
}

/// Called by the panic hook. Returns whether the panicking thread is a worker's, which is then ended.
pub fn note_panic() -> bool {
    // A thread that is ending has already dropped its thread-local values.
    let is_worker = IS_WORKER.try_with(Cell::get).unwrap_or(false);
    if is_worker {
        let _ = PANIC_NOTICE.try_with(|notice| notice.borrow().notify_one());
    }
    is_worker
}

/// Waits until a task of this thread has panicked.
pub(crate) async fn panicked() {
    let notice = PANIC_NOTICE.with(|notice| notice.borrow().clone());
    notice.notified().await;
}

/// A worker's number and how it ended.
type WorkerExit = (usize, Result<(), String>);

struct Workers {
    config: Config,
    count: usize,
    address: SocketAddr,
    /// The platform's socket, from which all workers accept; `None` where each has its own.
    inherited: Option<TcpListener>,
    management: Option<TcpListener>,
    process: Process,
    options: OperatorOptions,
    exit_sender: mpsc::Sender<WorkerExit>,
}

impl Workers {
    /// Opens the listener of a worker that is restarted.
    fn listener(&self) -> std::io::Result<TcpListener> {
        match &self.inherited {
            Some(socket) => duplicate_listener(socket),
            None => listen(self.address, true),
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
        // The first worker serves the management address; after a restart it continues with the same
        // listener.
        let management = self.management.as_ref().filter(|_| worker == 0).map(duplicate_listener);
        let management = management.transpose().map_err(|e| format!("management: {e}"))?;
        let setup =
            WorkerSetup { listener, management, process, label: format!("worker {worker}: "), options };
        let exit_sender = self.exit_sender.clone();
        let run = move || {
            IS_WORKER.set(true);
            let on_started = || tracing::info!(target: "worker", "{worker} has started");
            let end = catch_unwind(AssertUnwindSafe(|| run_worker(config, setup, on_started, lost_lines)));
            // The send fails only when the process is ending.
            let _ = exit_sender.send((worker, end.unwrap_or_else(|_| Err("panicked".to_string()))));
        };
        let thread = retry::spawn(&format!("worker-{worker}"), run);
        thread.map(drop).map_err(|e| format!("worker {worker}: {e}"))
    }
}

/// Runs `count` workers until a signal ends them all. The first one's status lines report the lost log lines.
///
/// # Errors
/// One line that names what could not be set up, or says that workers died too often.
pub fn run_workers(
    config: Config,
    count: usize,
    options: OperatorOptions,
    lost_lines: impl Fn() -> u64 + Clone + Send + 'static,
) -> Result<(), String> {
    let OpenedProcess { listeners, management, process } = OpenedProcess::new(&config, count)?;
    let listen_error = |e| format!("listen: {}: {e}", config.listen);
    let Some(first) = listeners.first() else { return Err("workers: none are wanted".into()) };
    let address = listener_address(first).map_err(listen_error)?;
    let inherited =
        config.inherited_fd.map(|_| duplicate_listener(first)).transpose().map_err(listen_error)?;
    let (exit_sender, exits) = mpsc::channel();
    let name = config.name.clone();
    let workers = Workers { config, count, address, inherited, management, process, options, exit_sender };
    let lost_lines_of = |worker: usize| {
        let lost_lines = lost_lines.clone();
        move || if worker == 0 { lost_lines() } else { 0 }
    };
    for (worker, listener) in listeners.into_iter().enumerate() {
        workers.start(worker, listener, lost_lines_of(worker))?;
    }
    tracing::info!(target: "node", "{name} listens at {address}");
    let mut deaths = VecDeque::new();
    let mut running = count;
    while running > 0 {
        // `workers` keeps a sender, so the channel is never closed.
        let Ok((worker, end)) = exits.recv() else { return Err("workers: no word of them".into()) };
        // Once a worker has ended because the process is ending, none is restarted.
        let Some(message) = end.err().filter(|_| running == count) else {
            running -= 1;
            continue;
        };
        tracing::error!(target: "worker", "{worker} ended: {message}");
        deaths.push_back(Instant::now());
        while deaths.front().is_some_and(|death| death.elapsed() > MAX_DEATHS.1) {
            deaths.pop_front();
        }
        if deaths.len() > MAX_DEATHS.0 {
            return Err(format!("workers died {} times within {} s", deaths.len(), MAX_DEATHS.1.as_secs()));
        }
        std::thread::sleep(RESTART_DELAY);
        let listener = workers.listener().map_err(|e| format!("listen: {address}: {e}"))?;
        workers.start(worker, listener, lost_lines_of(worker))?;
    }
    Ok(())
}
