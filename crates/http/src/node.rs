//! One node as a process: its listener, its signals and its shutdown.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use magpietally_config::ServerListFile;
use magpietally_core::{AdmissionControl, Core, Lifecycle, Process, Setup};
use magpietally_ledger::Ledger;
use magpietally_net::{listen, Listener};
use magpietally_os_error::retry::{self, Backoff};
use magpietally_os_error::Call;
use magpietally_policy::SettingsError;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::timeout;

use crate::clients::ClientConnections;
use crate::config::{self, Config, ConfigError};
use crate::handover_ids::HandoverIds;
use crate::http_transport::HttpTransport;
use crate::signals::Signals;
use crate::{inherited_listener, management, workers};

type Node = Core<HttpTransport>;

/// How often the node checks during shutdown whether it can end.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// How long the last responses may take to be written: a quarter of the time left until SIGKILL.
const FINAL_WRITE_TIME: Duration = Duration::from_millis(50);
/// How long a process that shares its listening socket waits for its server list before it accepts. If no
/// other process is left, a response that the node is not ready is better than none.
const ACCEPT_WITHIN: Duration = Duration::from_millis(5000);
/// How long a connection to a server may be idle in a process whose successor has started.
const HANDOVER_MAX_IDLE: Duration = Duration::from_millis(100);
/// How often client connections are swept while the node is draining.
const DRAIN_SWEEP_INTERVAL: Duration = Duration::from_millis(20);
/// How often idle connections are swept.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);
/// How often a status line is logged.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

/// Ids of requests that must not run twice that are remembered for each MB; one takes 0.1 KB.
const SENT_IDS_PER_MB: usize = 256;

/// What a worker is given in addition to the configuration.
pub(crate) struct WorkerSetup {
    /// The worker's own listener, or one of several at the same address.
    pub(crate) listener: std::net::TcpListener,
    /// The listener of the management address, for the one worker that serves it.
    pub(crate) management: Option<std::net::TcpListener>,
    /// State shared with the process's other workers.
    pub(crate) process: Process,
    /// Prefix of the worker's status lines.
    pub(crate) label: String,
    /// Options set by operators.
    pub(crate) options: OperatorOptions,
}

/// Options that operators may set beside the platform's configuration.
#[derive(Clone, Debug, Default)]
pub struct OperatorOptions {
    /// Records requests that must not run twice before they are sent.
    pub ledger: Option<Ledger>,
    /// The source of the server list, in place of discovery.
    pub server_list: Option<ServerListFile>,
    /// Admission decisions of the fleet.
    pub admission: Option<Arc<dyn AdmissionControl>>,
    /// Set to true as soon as the node begins to stop, before it finishes its requests.
    pub stop_notice: Option<Arc<AtomicBool>>,
}

/// Runs one node until a signal ends it. `lost_lines` returns the number of lines that the log has dropped so
/// far, for the status lines.
///
/// # Errors
/// One line that names what could not be set up: the runtime, the listener, a signal or the policy's
/// settings.
pub fn run(
    config: Config,
    options: OperatorOptions,
    lost_lines: impl Fn() -> u64 + 'static,
) -> Result<(), String> {
    let OpenedProcess { mut listeners, management, process } = OpenedProcess::new(&config, 1)?;
    let listener = listeners.pop().ok_or("listen: nowhere")?;
    let address = listener_address(&listener).map_err(|e| format!("listen: {e}"))?;
    let name = config.name.clone();
    let setup = WorkerSetup { listener, management, process, label: String::new(), options };
    run_worker(config, setup, || tracing::info!(target: "node", "{name} listens at {address}"), lost_lines)
}

/// What a process opens before its first worker starts.
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
        let lifecycle = Lifecycle::new(config.received.longest_deadline(), config.inherited_fd.is_some());
        let process = Process::new(config.received.classes.len(), lifecycle);
        process.sent_ids.set_capacity(config.memory_mb * SENT_IDS_PER_MB);
        if config.inherited_fd.is_some() {
            process.sent_ids.share(Box::new(HandoverIds::new(config.listen)));
        }
        Ok(Self { listeners, management, process })
    }
}

/// Opens a listener for each worker, all before the first one accepts, so that the kernel distributes
/// connections from the first one on. Workers that inherited a socket all accept from that one.
fn listeners(config: &Config, workers: usize) -> Result<Vec<std::net::TcpListener>, String> {
    let listen_error = |e| format!("listen: {}: {e}", config.listen);
    let first = match config.inherited_fd {
        Some(fd) => inherited_listener::from_fd(fd, config.listen)?,
        None => listen(config.listen, workers > 1).map_err(listen_error)?,
    };
    let at = listener_address(&first).map_err(listen_error)?;
    let mut all = vec![first];
    for _ in 1..workers {
        all.push(match config.inherited_fd {
            Some(_) => duplicate_listener(&all[0]).map_err(listen_error)?,
            None => listen(at, true).map_err(listen_error)?,
        });
    }
    Ok(all)
}

/// Returns the address of a listener.
pub(crate) fn listener_address(listener: &std::net::TcpListener) -> std::io::Result<SocketAddr> {
    retry::at_start(Call::Create, "listener address", || listener.local_addr())
}

/// Duplicates the descriptor of a listener.
pub(crate) fn duplicate_listener(listener: &std::net::TcpListener) -> std::io::Result<std::net::TcpListener> {
    retry::at_start(Call::Create, "duplicate listener descriptor", || listener.try_clone())
}

/// Runs a worker until a signal ends it or its thread has panicked. `on_started` is called once the worker is
/// set up.
pub(crate) fn run_worker(
    config: Config,
    setup: WorkerSetup,
    on_started: impl FnOnce(),
    lost_lines: impl Fn() -> u64 + 'static,
) -> Result<(), String> {
    let build = || tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = retry::at_start(Call::Create, "runtime", build).map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, serve(config, setup, on_started, lost_lines))
}

/// Builds a node: a core with HTTP as its carrier.
pub(crate) fn start_node(
    mut config: Config,
    process: Process,
    label: String,
    options: OperatorOptions,
) -> Result<Rc<Node>, SettingsError> {
    let received = &config.received;
    let setup = Setup {
        settings: received.settings.clone(),
        seed: config.seed,
        classes: received.classes.clone(),
        tenants: received.tenants.clone(),
        open_cap: received.open_cap,
        saved_list: config.saved_list.take(),
        process,
        label,
        ledger: options.ledger,
        admission: options.admission,
    };
    let metrics = setup.process.metrics.clone();
    Core::new(setup, HttpTransport::new(config, options.server_list, metrics))
}

async fn serve(
    config: Config,
    setup: WorkerSetup,
    on_started: impl FnOnce(),
    lost_lines: impl Fn() -> u64 + 'static,
) -> Result<(), String> {
    let mut termination = Signals::termination().map_err(|e| format!("signal: {e}"))?;
    // Without a handler SIGHUP would end the process and lose its open requests.
    let reload_requests = Signals::reload_requests().map_err(|e| format!("signal: {e}"))?;
    let listener = Listener::new(setup.listener).map_err(|e| format!("listen: {e}"))?;
    let management = setup.management.map(Listener::new).transpose();
    let management = management.map_err(|e| format!("management: {e}"))?;
    let process = setup.process;
    let stop_notice = setup.options.stop_notice.clone();
    let node = start_node(config, process.clone(), setup.label, setup.options)
        .map_err(|e| format!("settings: {e}"))?;
    on_started();
    let clients = ClientConnections::new(node.clone());
    if let Some(listener) = management {
        spawn_local(management::serve(node.clone(), listener));
    }
    spawn_local(node.clone().run_timer());
    spawn_local(sweep(node.clone(), clients.clone()));
    spawn_local(log_status(node.clone(), lost_lines));
    spawn_local(reload(node.clone(), reload_requests));
    let begin = spawn_local({
        let node = node.clone();
        async move { node.wait_for_list().await }
    });
    let run = async {
        let accept = async {
            if process.lifecycle().has_shared_socket() {
                // The previous process still accepts from the same socket and serves; clients that came here
                // would only be told that the node is not ready.
                let _ = timeout(ACCEPT_WITHIN, begin).await;
                clients.begin_overlap();
            }
            clients.accept(&listener).await;
        };
        tokio::select! {
            () = accept => {}
            () = termination.next() => {}
            () = process.stopped() => {}
        }
        process.stop();
        if let Some(notice) = stop_notice {
            notice.store(true, Ordering::SeqCst);
        }
        log_stage("stop requested", &node, &clients);
        stop_node(&node, &clients, listener).await;
    };
    tokio::select! {
        () = run => Ok(()),
        () = workers::panicked() => Err("panicked".to_string()),
    }
}

/// Applies the discovery address of a new configuration, also while the node is stopping. Everything else
/// takes effect at the next start, as half of the node's state depends on it. An invalid file changes
/// nothing; one that can't be read at the moment is retried. Signals in quick succession count as one: the
/// file is read after the last.
async fn reload(node: Rc<Node>, mut reload_requests: Signals) {
    loop {
        reload_requests.next().await;
        match read_new_config().await {
            Ok(config) => {
                tracing::info!(target: "reload", "discovery is {}", config.discovery);
                node.transport().discovery_addr.set(config.discovery);
                node.list_source_moved();
                if let Some(field) = node.transport().config.changed_restart_only_field(&config) {
                    tracing::warn!(
                        target: "reload",
                        "{field} is another in the file; it holds from the next start on"
                    );
                }
            }
            Err(message) => tracing::warn!(target: "reload", "{message}; the old configuration stays"),
        }
    }
}

/// Reads the new configuration, retrying until its file can be read.
async fn read_new_config() -> Result<Config, ConfigError> {
    let mut pauses = Backoff::default();
    let mut logged = false;
    loop {
        match config::reload() {
            Err(error) if error.is_transient() => {
                if !std::mem::replace(&mut logged, true) {
                    tracing::warn!(target: "reload", "{error}; retrying");
                }
                tokio::time::sleep(pauses.next_delay()).await;
            }
            ended => return ended,
        }
    }
}

async fn log_status(node: Rc<Node>, lost_lines: impl Fn() -> u64) {
    let mut reported = 0;
    loop {
        let lost = lost_lines();
        node.log_status(node.transport().pool.sample.start_second() + lost.saturating_sub(reported));
        reported = lost;
        tokio::time::sleep(STATUS_INTERVAL).await;
    }
}

async fn sweep(node: Rc<Node>, clients: Rc<ClientConnections>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        node.transport().pool.close_unusable();
        clients.close_overdue();
        clients.follow_overlap();
        // A draining node is swept more often; `stop_node` does this for a stopping one.
        while node.process().lifecycle().draining_since().is_some() {
            clients.close_idle();
            clients.close_overdue();
            tokio::time::sleep(DRAIN_SWEEP_INTERVAL).await;
        }
    }
}

/// Finishes the accepted requests, at the times that the node's lifecycle sets.
pub(crate) async fn stop_node(node: &Rc<Node>, clients: &Rc<ClientConnections>, listener: Listener) {
    let lifecycle = node.process().lifecycle();
    let leave = async {
        while lifecycle.accepts_connections(Instant::now(), clients.count()) {
            clients.close_idle();
            tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        }
    };
    tokio::select! {
        () = clients.accept(&listener), if !lifecycle.has_shared_socket() => {}
        () = leave => {}
    }
    if !lifecycle.has_shared_socket() {
        clients.drain_backlog(&listener).await;
    }
    drop(listener);
    log_stage("no longer accepting", node, clients);
    let mut failing_logged = false;
    while !lifecycle.must_exit(Instant::now()) && (clients.count() > 0 || node.open_requests() > 0) {
        if lifecycle.fails_open_requests(Instant::now()) {
            if !std::mem::replace(&mut failing_logged, true) {
                log_stage("failing open requests", node, clients);
            }
            node.fail_open_requests();
        }
        if lifecycle.has_shared_socket() {
            node.transport().pool.close_idle_for(HANDOVER_MAX_IDLE);
            clients.follow_overlap();
        }
        clients.close_idle();
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
    }
    // A process that got no processor time may arrive here with open requests unanswered.
    node.fail_open_requests();
    let began = Instant::now();
    while clients.has_pending_responses() && began.elapsed() < FINAL_WRITE_TIME {
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
    }
    log_stage("ending", node, clients);
}

/// Logs the progress of the shutdown.
fn log_stage(stage: &str, node: &Node, clients: &ClientConnections) {
    let (connections, requests) = (clients.count(), node.open_requests());
    tracing::info!(target: "node", "{stage}: {connections} connections, {requests} requests open");
}
