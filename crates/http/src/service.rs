//! One node as a process: its listener, its signals, and how it ends.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use magpietally_config::ListFile;
use magpietally_core::{Core, Ids, Setup};
use magpietally_ledger::Ledger;
use magpietally_policy::SettingsError;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};

use crate::carrier::Http;
use crate::clients::Clients;
use crate::config::{self, Config};
use crate::workers;

type Node = Core<Http>;

/// How long connections still come after SIGTERM, at the least.
const ACCEPT: Duration = Duration::from_millis(500);
/// How soon after SIGTERM SIGKILL may come, which resets what it finds: the longest deadline, within this, and so
/// much more.
const PATIENCE: (Duration, Duration) = (Duration::from_millis(3000), Duration::from_millis(700));
/// How long before that the node begins to close connections, fails what is still open, and ends at the latest.
const CLOSE_BEFORE: Duration = Duration::from_millis(1400);
const FAIL_BEFORE: Duration = Duration::from_millis(500);
const END_BEFORE: Duration = Duration::from_millis(200);
/// How often the node looks whether it can end.
const LOOK: Duration = Duration::from_millis(5);
/// Connections that the kernel may hold until they are accepted.
const BACKLOG: i32 = 1024;
/// How often idle connections are looked at.
const SWEEP: Duration = Duration::from_millis(200);
/// How often the log says how the node fares.
const STATUS: Duration = Duration::from_secs(1);

/// What a worker is told besides the configuration.
pub(crate) struct Part {
    /// Where it accepts; its own, or one of several at the same address.
    pub(crate) listener: std::net::TcpListener,
    /// The ids that are open in the process.
    pub(crate) ids: Ids,
    /// What its status lines begin with.
    pub(crate) label: String,
    /// What operators switched on.
    pub(crate) extras: Extras,
    /// Whether the process ends.
    pub(crate) end: End,
}

/// Whether a process ends, for all of its workers: a signal that comes while one of them is being started again reaches
/// only the others.
#[derive(Clone, Debug)]
pub(crate) struct End(watch::Sender<bool>);

impl End {
    pub(crate) fn new() -> Self {
        Self(watch::Sender::new(false))
    }

    fn tell(&self) {
        self.0.send_replace(true);
    }

    /// Waits until it is told, or has been.
    async fn told(&self) {
        // This side keeps a sender, so the wait ends with the word alone.
        let _ = self.0.subscribe().wait_for(|told| *told).await;
    }
}

/// What operators may switch on beside the platform's configuration.
#[derive(Clone, Debug, Default)]
pub struct Extras {
    /// Where what must not run twice is noted before it is sent.
    pub ledger: Option<Ledger>,
    /// Where the list of servers comes from, in place of discovery.
    pub boxes: Option<ListFile>,
}

/// Runs one node until a signal ends it. `lost_lines` counts the lines that the log has dropped so far, for the status
/// lines.
///
/// # Errors
/// What could not be set up, in one line: the runtime, the listener, a signal or the policy's settings.
pub fn run(config: Config, extras: Extras, lost_lines: impl Fn() -> u64 + 'static) -> Result<(), String> {
    let listener = listen(config.listen, false).map_err(|e| format!("listen: {}: {e}", config.listen))?;
    let address = listener.local_addr().map_err(|e| format!("listen: {e}"))?;
    let name = config.name.clone();
    let part = Part { listener, ids: Ids::default(), label: String::new(), extras, end: End::new() };
    work(config, part, || tracing::info!(target: "node", "{name} listens at {address}"), lost_lines)
}

/// Runs a worker until a signal ends it or its thread has panicked. `begun` is called once it accepts.
pub(crate) fn work(
    config: Config,
    part: Part,
    begun: impl FnOnce(),
    lost_lines: impl Fn() -> u64 + 'static,
) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, serve(config, part, begun, lost_lines))
}

/// A listener; `shared` lets others listen at the same address, between which the kernel spreads connections.
pub(crate) fn listen(at: SocketAddr, shared: bool) -> std::io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(shared)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// A core with HTTP for its carrier.
fn start(mut config: Config, ids: Ids, label: String, extras: Extras) -> Result<Rc<Node>, SettingsError> {
    let told = &config.told;
    let setup = Setup {
        settings: told.settings.clone(),
        seed: config.seed,
        classes: told.classes.clone(),
        tenants: told.tenants.clone(),
        open_cap: told.open_cap,
        known: config.known.take(),
        ids,
        label,
        ledger: extras.ledger,
    };
    Core::new(setup, Http::new(config, extras.boxes))
}

async fn serve(
    config: Config,
    part: Part,
    begun: impl FnOnce(),
    lost_lines: impl Fn() -> u64 + 'static,
) -> Result<(), String> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("signal: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("signal: {e}"))?;
    // Without a handler SIGHUP ends the process, and with it all that it has taken.
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("signal: {e}"))?;
    let listener = TcpListener::from_std(part.listener).map_err(|e| format!("listen: {e}"))?;
    let node = start(config, part.ids, part.label, part.extras).map_err(|e| format!("settings: {e}"))?;
    begun();
    let clients = Clients::new(node.clone());
    spawn_local(node.clone().run_timer());
    spawn_local(sweep(node.clone(), clients.clone()));
    spawn_local(log_status(node.clone(), lost_lines));
    spawn_local(reload(node.clone(), hangup));
    let life = async {
        tokio::select! {
            () = clients.accept(&listener) => {}
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = part.end.told() => {}
        }
        part.end.tell();
        stop(&node, &clients, listener).await;
    };
    tokio::select! {
        () = life => Ok(()),
        () = workers::panicked() => Err("panicked".to_string()),
    }
}

/// Takes over what a new configuration says of discovery, also while the node stops. A file that can't be read
/// changes nothing. Signals that come in quick succession are one: the file is read after the last.
async fn reload(node: Rc<Node>, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        match config::reload() {
            Ok(config) => {
                tracing::info!(target: "reload", "discovery is {}", config.discovery);
                node.carrier().discovery.set(config.discovery);
                node.list_moved();
            }
            Err(words) => tracing::warn!(target: "reload", "{words}; the old configuration stays"),
        }
    }
}

async fn log_status(node: Rc<Node>, lost_lines: impl Fn() -> u64) {
    let mut told = 0;
    loop {
        let lost = lost_lines();
        node.log_status(node.carrier().pool.sample.renew() + lost.saturating_sub(told));
        told = lost;
        tokio::time::sleep(STATUS).await;
    }
}

async fn sweep(node: Rc<Node>, clients: Rc<Clients>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        node.carrier().pool.sweep();
        clients.sweep();
    }
}

/// When SIGKILL may come, counted from SIGTERM.
fn patience(longest_deadline: f64) -> Duration {
    let most = PATIENCE.0.as_secs_f64();
    PATIENCE.1 + Duration::from_secs_f64((longest_deadline / 1000.0).clamp(0.0, most))
}

/// Finishes all that was taken. The node says at `/ready` that it wants no more, and goes on for most of the time there
/// is as if nothing were: connections come, and clients use what they have. Where each were sent away at once, and had
/// nowhere to go as the node that was restarted before is not back yet or the others are down or full, all its requests
/// would fail; and one connection that is refused makes a front take the node for gone, with all that are open. It
/// also spares the others a rush of new connections when they are fewer. It does harm where whoever waits for the end
/// of this process is in a hurry, or where a node is stopped because it serves badly.
async fn stop(node: &Rc<Node>, clients: &Rc<Clients>, listener: TcpListener) {
    let told = Instant::now();
    node.stopping.set(Some(told));
    let killed = patience(node.carrier().config.told.longest_deadline);
    let after = |before: Duration| told.elapsed() >= killed.saturating_sub(before);
    let leave = async {
        while told.elapsed() < ACCEPT || (clients.count() > 0 && !after(CLOSE_BEFORE)) {
            tokio::time::sleep(LOOK).await;
        }
    };
    tokio::select! {
        () = clients.accept(&listener) => {}
        () = leave => {}
    }
    node.closing.set(true);
    clients.empty_backlog(&listener).await;
    drop(listener);
    while !after(END_BEFORE) && (clients.count() > 0 || node.open_requests() > 0) {
        if after(FAIL_BEFORE) {
            node.fail_open();
        }
        clients.close_idle();
        tokio::time::sleep(LOOK).await;
    }
}
