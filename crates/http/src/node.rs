//! One node as a process: its listener, its signals, and how it ends.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use magpietally_config::ListFile;
use magpietally_core::{AdmissionControl, Core, Lifecycle, Process, Setup};
use magpietally_ledger::Ledger;
use magpietally_net::{listen, Listener};
use magpietally_os_error::retry::{self, Pauses};
use magpietally_os_error::Call;
use magpietally_policy::SettingsError;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::timeout;

use crate::clients::ClientConnections;
use crate::config::{self, Config, ConfigError};
use crate::http_transport::HttpTransport;
use crate::signals::Signals;
use crate::{inherited_listener, management, workers};

type Node = Core<HttpTransport>;

/// How often the node looks whether it can end.
const LOOK: Duration = Duration::from_millis(5);
/// How long the last answers may take to be written: a quarter of what is left until SIGKILL.
const LAST_WORDS: Duration = Duration::from_millis(50);
/// How long a process that shares its listening socket waits for its list before it accepts: an answer that it is not ready
/// is better than none where no other process is left.
const ACCEPT_AFTER: Duration = Duration::from_millis(5000);
/// How long a connection to a server may be idle in a process whose next one has begun.
const UNUSED: Duration = Duration::from_millis(100);
/// How often connections are looked at while the node is drained.
const DRAIN_LOOK: Duration = Duration::from_millis(20);
/// How often idle connections are looked at.
const SWEEP: Duration = Duration::from_millis(200);
/// How often the log says how the node fares.
const STATUS: Duration = Duration::from_secs(1);

/// What a worker is told besides the configuration.
pub(crate) struct WorkerSetup {
    /// Where it accepts; its own, or one of several at the same address.
    pub(crate) listener: std::net::TcpListener,
    /// Where calls to the second address come in, at the one worker that answers them.
    pub(crate) management: Option<std::net::TcpListener>,
    /// What it shares with the process's other workers.
    pub(crate) process: Process,
    /// What its status lines begin with.
    pub(crate) label: String,
    /// What operators switched on.
    pub(crate) options: OperatorOptions,
}

/// What operators may switch on beside the platform's configuration.
#[derive(Clone, Debug, Default)]
pub struct OperatorOptions {
    /// Where what must not run twice is noted before it is sent.
    pub ledger: Option<Ledger>,
    /// Where the list of servers comes from, in place of discovery.
    pub server_list: Option<ListFile>,
    /// What the fleet says of requests.
    pub admission: Option<Arc<dyn AdmissionControl>>,
}

/// Runs one node until a signal ends it. `lost_lines` counts the lines that the log has dropped so far, for the status
/// lines.
///
/// # Errors
/// What could not be set up, in one line: the runtime, the listener, a signal or the policy's settings.
pub fn run(
    config: Config,
    options: OperatorOptions,
    lost_lines: impl Fn() -> u64 + 'static,
) -> Result<(), String> {
    let OpenedProcess { mut listeners, management, process } = OpenedProcess::new(&config, 1)?;
    let listener = listeners.pop().ok_or("listen: nowhere")?;
    let address = listener_address(&listener).map_err(|e| format!("listen: {e}"))?;
    let name = config.name.clone();
    let part = WorkerSetup { listener, management, process, label: String::new(), options };
    run_worker(config, part, || tracing::info!(target: "node", "{name} listens at {address}"), lost_lines)
}

/// What a process opens before its first worker begins.
pub(crate) struct OpenedProcess {
    /// One for each worker.
    pub(crate) listeners: Vec<std::net::TcpListener>,
    pub(crate) management: Option<std::net::TcpListener>,
    pub(crate) process: Process,
}

impl OpenedProcess {
    pub(crate) fn new(config: &Config, workers: usize) -> Result<Self, String> {
        let listeners = listeners(config, workers)?;
        let management = config.management.map(management::open_listener).transpose()?;
        if let Some(at) = management.as_ref().and_then(|m| listener_address(m).ok()) {
            tracing::info!(target: "node", "{} is managed at {at}", config.name);
        }
        let life = Lifecycle::new(config.received.longest_deadline(), config.inherited_fd.is_some());
        Ok(Self { listeners, management, process: Process::new(config.received.classes.len(), life) })
    }
}

/// A listener for each worker. All are there before one accepts, so that the kernel spreads what comes from the first on.
/// Workers that inherited a socket accept from that one, whoever is free.
fn listeners(config: &Config, workers: usize) -> Result<Vec<std::net::TcpListener>, String> {
    let cannot = |e| format!("listen: {}: {e}", config.listen);
    let first = match config.inherited_fd {
        Some(fd) => inherited_listener::from_fd(fd, config.listen)?,
        None => listen(config.listen, workers > 1).map_err(cannot)?,
    };
    let at = listener_address(&first).map_err(cannot)?;
    let mut all = vec![first];
    for _ in 1..workers {
        all.push(match config.inherited_fd {
            Some(_) => duplicate_listener(&all[0]).map_err(cannot)?,
            None => listen(at, true).map_err(cannot)?,
        });
    }
    Ok(all)
}

/// Where a listener is.
pub(crate) fn listener_address(listener: &std::net::TcpListener) -> std::io::Result<SocketAddr> {
    retry::at_start(Call::Create, "the address of a listener", || listener.local_addr())
}

/// Another descriptor of a listener.
pub(crate) fn duplicate_listener(listener: &std::net::TcpListener) -> std::io::Result<std::net::TcpListener> {
    retry::at_start(Call::Create, "another descriptor of a listener", || listener.try_clone())
}

/// Runs a worker until a signal ends it or its thread has panicked. `begun` is called once it accepts.
pub(crate) fn run_worker(
    config: Config,
    part: WorkerSetup,
    begun: impl FnOnce(),
    lost_lines: impl Fn() -> u64 + 'static,
) -> Result<(), String> {
    let build = || tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = retry::at_start(Call::Create, "runtime", build).map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, serve(config, part, begun, lost_lines))
}

/// A core with HTTP for its carrier.
pub(crate) fn start_node(
    mut config: Config,
    process: Process,
    label: String,
    options: OperatorOptions,
) -> Result<Rc<Node>, SettingsError> {
    let told = &config.received;
    let setup = Setup {
        settings: told.settings.clone(),
        seed: config.seed,
        classes: told.classes.clone(),
        tenants: told.tenants.clone(),
        open_cap: told.open_cap,
        saved_list: config.saved_list.take(),
        process,
        label,
        ledger: options.ledger,
        admission: options.admission,
    };
    let figures = setup.process.metrics.clone();
    Core::new(setup, HttpTransport::new(config, options.server_list, figures))
}

async fn serve(
    config: Config,
    part: WorkerSetup,
    begun: impl FnOnce(),
    lost_lines: impl Fn() -> u64 + 'static,
) -> Result<(), String> {
    let mut to_end = Signals::to_end().map_err(|e| format!("signal: {e}"))?;
    // Without a handler SIGHUP ends the process, and with it all that it has taken.
    let to_reload = Signals::to_reload().map_err(|e| format!("signal: {e}"))?;
    let listener = Listener::new(part.listener).map_err(|e| format!("listen: {e}"))?;
    let management = part.management.map(Listener::new).transpose();
    let management = management.map_err(|e| format!("management: {e}"))?;
    let process = part.process;
    let node = start_node(config, process.clone(), part.label, part.options)
        .map_err(|e| format!("settings: {e}"))?;
    begun();
    let clients = ClientConnections::new(node.clone());
    if let Some(listener) = management {
        spawn_local(management::serve(node.clone(), listener));
    }
    spawn_local(node.clone().run_timer());
    spawn_local(sweep(node.clone(), clients.clone()));
    spawn_local(log_status(node.clone(), lost_lines));
    spawn_local(reload(node.clone(), to_reload));
    let begin = spawn_local({
        let node = node.clone();
        async move { node.wait_for_list().await }
    });
    let life = async {
        let accept = async {
            if process.lifecycle().has_shared_socket() {
                // The process before this one accepts from the same socket, and serves: who came here would be told that
                // the node is not ready.
                let _ = timeout(ACCEPT_AFTER, begin).await;
            }
            clients.accept(&listener).await;
        };
        tokio::select! {
            () = accept => {}
            () = to_end.next() => {}
            () = process.stopped() => {}
        }
        process.stop();
        log_stage("told to end", &node, &clients);
        stop_node(&node, &clients, listener).await;
    };
    tokio::select! {
        () = life => Ok(()),
        () = workers::panicked() => Err("panicked".to_string()),
    }
}

/// Takes over what a new configuration says of discovery, also while the node stops. All else in it holds from the next start
/// on: half of a node's state goes by it. A file that makes no sense changes nothing; one that can't be read for the moment is
/// read again. Signals that come in quick succession are one: the file is read after the last.
async fn reload(node: Rc<Node>, mut to_reload: Signals) {
    loop {
        to_reload.next().await;
        match reloaded().await {
            Ok(config) => {
                tracing::info!(target: "reload", "discovery is {}", config.discovery);
                node.transport().discovery_addr.set(config.discovery);
                node.list_source_moved();
                if let Some(field) = node.transport().config.changed_restart_only_field(&config) {
                    tracing::warn!(target: "reload", "{field} is another in the file; it holds from the next start on");
                }
            }
            Err(words) => tracing::warn!(target: "reload", "{words}; the old configuration stays"),
        }
    }
}

/// The new configuration, as soon as its file can be read.
async fn reloaded() -> Result<Config, ConfigError> {
    let mut pauses = Pauses::default();
    let mut logged = false;
    loop {
        match config::reload() {
            Err(error) if error.is_transient() => {
                if !std::mem::replace(&mut logged, true) {
                    tracing::warn!(target: "reload", "{error}; read again");
                }
                tokio::time::sleep(pauses.next_pause()).await;
            }
            ended => return ended,
        }
    }
}

async fn log_status(node: Rc<Node>, lost_lines: impl Fn() -> u64) {
    let mut told = 0;
    loop {
        let lost = lost_lines();
        node.log_status(node.transport().pool.sample.start_second() + lost.saturating_sub(told));
        told = lost;
        tokio::time::sleep(STATUS).await;
    }
}

async fn sweep(node: Rc<Node>, clients: Rc<ClientConnections>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        node.transport().pool.close_unusable();
        clients.close_overdue();
        // A drained node is looked at more often; one that stops, by whoever ends it.
        while node.process().lifecycle().draining_since().is_some() {
            clients.close_idle();
            clients.close_overdue();
            tokio::time::sleep(DRAIN_LOOK).await;
        }
    }
}

/// Finishes all that was taken, by the times that the node's state tells.
pub(crate) async fn stop_node(node: &Rc<Node>, clients: &Rc<ClientConnections>, listener: Listener) {
    let life = node.process().lifecycle();
    let leave = async {
        while life.accepts_connections(Instant::now(), clients.count()) {
            clients.close_idle();
            tokio::time::sleep(LOOK).await;
        }
    };
    tokio::select! {
        () = clients.accept(&listener), if !life.has_shared_socket() => {}
        () = leave => {}
    }
    if !life.has_shared_socket() {
        clients.drain_backlog(&listener).await;
    }
    drop(listener);
    log_stage("accepts no more", node, clients);
    let mut failed = false;
    while !life.must_exit(Instant::now()) && (clients.count() > 0 || node.open_requests() > 0) {
        if life.fails_open_requests(Instant::now()) {
            if !std::mem::replace(&mut failed, true) {
                log_stage("answers what is open", node, clients);
            }
            node.fail_open_requests();
        }
        if life.has_shared_socket() {
            node.transport().pool.close_idle_for(UNUSED);
        }
        clients.close_idle();
        tokio::time::sleep(LOOK).await;
    }
    // A process that had no processor time comes here with all that is open unanswered.
    node.fail_open_requests();
    let began = Instant::now();
    while clients.has_pending_responses() && began.elapsed() < LAST_WORDS {
        tokio::time::sleep(LOOK).await;
    }
    log_stage("ends", node, clients);
}

/// Logs how far the node's end has come.
fn log_stage(what: &str, node: &Node, clients: &ClientConnections) {
    let (connections, requests) = (clients.count(), node.open_requests());
    tracing::info!(target: "node", "{what}: {connections} connections, {requests} requests open");
}
