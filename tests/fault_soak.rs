//! A soak test: nodes under random system-call faults, repeated signals, many idle connections, crowds of slow
//! clients, and a shutdown by SIGTERM and SIGKILL, with clients that use their connections until the kill. Each seed draws
//! one scenario; `MAGPIETALLY_SOAK_SEEDS=FIRST..END` selects other seeds.

mod peers;

use std::net::TcpStream;
use std::ops::Range;
use std::time::{Duration, Instant};

use peers::crowd::{Behaviour, Crowd};
use peers::faults::Faults;
use peers::host_delay::HostDelay;
use peers::load::{Load, Report, Servers};
use peers::soak::play_seeds;
use peers::{config, ledger_file, unused_path, Node, Registry};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::json;

/// The default seeds.
const SEEDS: Range<u64> = 0..16;
/// The number of scenarios that run at once.
const CONCURRENCY: usize = 4;
/// The shortest time from SIGTERM to SIGKILL: the longest deadline, 3 s at most, and 0.7 s.
const KILLED_AFTER: Duration = Duration::from_millis(3700);
/// The time from the start of a run to SIGTERM.
const TERMINATED_AFTER: Duration = Duration::from_millis(1500);
/// The number of idle connections of some scenarios: more than the node may hold.
const IDLE_CONNECTIONS: usize = 150;

/// What the members of a crowd may do.
const CROWD_BEHAVIOURS: [Behaviour; 9] = [
    Behaviour::StopInBody(60_000),
    Behaviour::StopInBody(400_000),
    Behaviour::StopInChunks(400_000),
    Behaviour::WriteSlowly,
    Behaviour::StopInFields(31_000),
    Behaviour::EndFields(31_000),
    Behaviour::StopInLongField(31_000),
    Behaviour::ManyFields(90),
    Behaviour::BufferedBodies,
];
/// Faults of socket calls; most get a random probability or time span.
const SOCKET_FAULTS: [&str; 34] = [
    "recv:EINTR",
    "recv:short=40",
    "recv:short=1",
    "recv:ENOMEM",
    "peek:EINTR",
    "send:EINTR",
    "send:short=7",
    "send:ENOBUFS",
    "writev:EINTR",
    "writev:short=13",
    "writev:ENOBUFS",
    "writev:ENOMEM",
    "accept4:ECONNABORTED",
    "accept4:EINTR",
    "accept4:EPROTO",
    "accept4:ENFILE",
    "accept4:EMFILE",
    "accept4:ENOBUFS",
    "accept4:ENETUNREACH",
    "connect:EADDRNOTAVAIL",
    "connect:ENETUNREACH",
    "connect:EINTR",
    "socket:ENFILE",
    "epoll_add:ENOMEM",
    "epoll_add:ENOSPC",
    "epoll_wait:EINTR",
    "setsockopt:ENOBUFS",
    "getsockopt:ENOBUFS",
    "close:EIO",
    "shutdown:ENOBUFS",
    "recv:broken=ETIMEDOUT:0.005:on=dialled",
    "recv:ETIMEDOUT",
    "recv:EHOSTUNREACH",
    "writev:EHOSTUNREACH",
];
/// Faults of signals, files and the wall clock, as complete rules.
const OTHER_FAULTS: [&str; 8] = [
    "read:EINTR:0.5:on=local",
    "recv:EINTR:0.5:on=local",
    "send:EPIPE:0.5:on=local",
    "open:EIO:0.3:from_ms=800:for_ms=700",
    "clock:step=3600000:1:from_ms=600:for_ms=900",
    "clock:step=-3600000:1:from_ms=900",
    "write:ENOSPC:0.1:on=file",
    "sync:EIO:0.1",
];

/// A rule that injects the fault now and then, or into every call of a short period. In such a period only
/// nearly every `epoll_wait` is interrupted: a node can't tell that an interrupted wait achieved nothing, and
/// each real one takes a signal.
fn random_rule(fault: &str, random: &mut Pcg64) -> String {
    if random.random_bool(0.3) {
        let (from, span) = (random.random_range(300..1500), random.random_range(30..300));
        let probability = if fault.starts_with("epoll_wait") { 0.9 } else { 1.0 };
        return format!("{fault}:{probability}:from_ms={from}:for_ms={span}");
    }
    let probability = [0.005, 0.02, 0.08][random.random_range(0..3)];
    format!("{fault}:{probability}")
}

/// The scenario of one seed.
struct Scenario {
    seed: u64,
    plan: String,
    load: Load,
    idle_connections: bool,
    ledger: bool,
    /// When SIGHUPs are sent, in milliseconds since the start.
    reloads: Vec<u64>,
    /// The time from the first SIGTERM to a second one, if any.
    second_sigterm: Option<Duration>,
    crowd: Option<SlowCrowd>,
}

/// A crowd of slow clients, and the limits of the node that it comes to.
struct SlowCrowd {
    members: usize,
    behaviours: Vec<Behaviour>,
    memory_mb: usize,
    descriptors: usize,
}

impl SlowCrowd {
    fn new(random: &mut Pcg64) -> Self {
        let mut behaviours = Vec::new();
        for _ in 0..random.random_range(1..5) {
            behaviours.push(CROWD_BEHAVIOURS[random.random_range(0..CROWD_BEHAVIOURS.len())]);
        }
        Self {
            members: random.random_range(10..80),
            behaviours,
            memory_mb: [32, 192][random.random_range(0..2)],
            descriptors: [256, 1024][random.random_range(0..2)],
        }
    }
}

impl Scenario {
    fn new(seed: u64) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut rules = Vec::new();
        for _ in 0..random.random_range(2..7) {
            let fault = SOCKET_FAULTS[random.random_range(0..SOCKET_FAULTS.len())];
            let complete = fault.matches(':').count() > 1;
            rules.push(if complete { fault.to_string() } else { random_rule(fault, &mut random) });
        }
        for _ in 0..random.random_range(0..3) {
            rules.push(OTHER_FAULTS[random.random_range(0..OTHER_FAULTS.len())].to_string());
        }
        let load = Load {
            clients: random.random_range(8..24),
            span: TERMINATED_AFTER + KILLED_AFTER,
            reuse: [1, 3, usize::MAX][random.random_range(0..3)],
            deadline: Duration::from_millis(random.random_range(500..2500)),
            abandon_every: [0, 5, 11][random.random_range(0..3)],
            pause: Duration::from_millis(random.random_range(2..20)),
            node_ends: true,
        };
        let second_sigterm =
            random.random_bool(0.5).then(|| Duration::from_millis(random.random_range(0..2000)));
        let mut reloads: Vec<u64> =
            (0..random.random_range(0..4)).map(|_| random.random_range(100..1400)).collect();
        reloads.sort_unstable();
        let (idle_connections, ledger) = (random.random_bool(0.25), random.random_bool(0.3));
        let crowd = random.random_bool(0.3).then(|| SlowCrowd::new(&mut random));
        Self { seed, plan: rules.join(";"), load, idle_connections, ledger, reloads, second_sigterm, crowd }
    }

    /// Runs the scenario; an error describes what went wrong.
    fn run(&self) -> Result<(), String> {
        let servers = Servers::new(4, Duration::from_millis(8));
        let registry = Registry::new(&servers.hosts());
        let mut node_config = config(registry.address);
        if let Some(SlowCrowd { memory_mb, descriptors, .. }) = &self.crowd {
            node_config["limits"] = json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": descriptors});
        }
        let faults = Faults::new(&self.plan, self.seed);
        let operators = self.operators();
        let args: Vec<&str> = operators.iter().flat_map(|file| ["--operators", file.as_str()]).collect();
        let mut node = Node::with_faults(&node_config, &faults, &args);
        let (address, load) = (node.address, self.load);
        let report = std::thread::scope(|scope| {
            let clients = scope.spawn(|| load.run(address, &servers));
            let count = if self.idle_connections { IDLE_CONNECTIONS } else { 0 };
            let _idle: Vec<_> = (0..count).filter_map(|_| TcpStream::connect(address).ok()).collect();
            let crowd = self.crowd.as_ref();
            let _crowd = crowd.map(|crowd| Crowd::start(address, crowd.members, &crowd.behaviours));
            self.signal(&mut node, &node_config.to_string())?;
            clients.join().map_err(|_| "a client panicked".to_string())
        })?;
        self.check(&report)
    }

    /// Sends the signals; the node has ended when this returns.
    fn signal(&self, node: &mut Node, config: &str) -> Result<(), String> {
        let (began, host_delay) = (Instant::now(), HostDelay::start());
        for at in &self.reloads {
            std::thread::sleep(Duration::from_millis(*at).saturating_sub(began.elapsed()));
            node.reload(config);
        }
        std::thread::sleep(TERMINATED_AFTER.saturating_sub(began.elapsed()));
        if !node.running() {
            return Err("the node ended before it was told to".into());
        }
        let terminated = Instant::now();
        node.terminate();
        if let Some(delay) = self.second_sigterm {
            std::thread::sleep(delay);
            if node.running() {
                node.terminate();
            }
        }
        // Allows for delays that the host may have caused.
        while terminated.elapsed() < KILLED_AFTER + host_delay.max_delay() {
            self.check_memory(node)?;
            if let Some(status) = node.exit_status() {
                let in_order = status.code() == Some(0);
                return if in_order { Ok(()) } else { Err(format!("the node ended with {status}")) };
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        node.kill();
        Ok(())
    }

    /// Checks the peak of the node's memory, if it is running.
    fn check_memory(&self, node: &Node) -> Result<(), String> {
        let Some(SlowCrowd { memory_mb, behaviours, .. }) = &self.crowd else { return Ok(()) };
        match node.try_peak_memory_kib() {
            Some(peak) if peak > memory_mb * 1024 => {
                Err(format!("{peak} KiB of {memory_mb} MB under {behaviours:?}"))
            }
            _ => Ok(()),
        }
    }

    fn operators(&self) -> Option<String> {
        self.ledger.then(|| ledger_file(&unused_path(&format!("soak-{}", self.seed)), "process-crash"))
    }

    fn check(&self, report: &Report) -> Result<(), String> {
        if !report.violations.is_empty() {
            let shown: Vec<_> = report.violations.iter().take(4).collect();
            return Err(format!("{} broken, as {shown:?}", report.violations.len()));
        }
        // Idle connections and crowds take those of other clients, and a ledger whose disk fails causes rejections:
        // neither is an error.
        let min_served = if self.idle_connections || self.ledger || self.crowd.is_some() { 10 } else { 100 };
        if report.served < min_served {
            return Err("hardly anything was served".into());
        }
        Ok(())
    }
}

#[test]
fn nothing_is_lost_under_random_faults_signals_and_ends() {
    play_seeds(SEEDS, CONCURRENCY, |seed| {
        let scenario = Scenario::new(seed);
        scenario.run().map_err(|words| format!("{}: {words}", scenario.plan))
    });
}
