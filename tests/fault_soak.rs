//! A soak: nodes under random system-call faults, signals in series, crowds, and an end by SIGTERM and SIGKILL, with clients that
//! use their connections until the kill. Each seed draws its own. `MAGPIETALLY_SOAK_SEEDS=FIRST..END` runs others.

mod peers;

use std::net::TcpStream;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use peers::faults::Faults;
use peers::host_delay::HostDelay;
use peers::load::{Load, Report, Servers};
use peers::{config, ledger_file, unused_path, Node, Registry};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// The seeds that are played where none are named.
const SEEDS: Range<u64> = 0..16;
/// How many are played at once.
const AT_ONCE: usize = 4;
/// How long SIGKILL comes after SIGTERM, at the earliest: the longest deadline, 3 s at most, and 0.7 s.
const KILLED_AFTER: Duration = Duration::from_millis(3700);
/// How long a run goes on before SIGTERM.
const SERVES: Duration = Duration::from_millis(1500);
/// Idle connections of a crowd: more than the node may hold.
const CROWD: usize = 150;

/// Faults of single calls, at any time.
const OF_SOCKETS: [&str; 34] = [
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
/// Faults of what the node needs beside: signals, files, the wall clock. Each holds as it stands.
const OF_THE_REST: [&str; 8] = [
    "read:EINTR:0.5:on=local",
    "recv:EINTR:0.5:on=local",
    "send:EPIPE:0.5:on=local",
    "open:EIO:0.3:from_ms=800:for_ms=700",
    "clock:step=3600000:1:from_ms=600:for_ms=900",
    "clock:step=-3600000:1:from_ms=900",
    "write:ENOSPC:0.1:on=file",
    "sync:EIO:0.1",
];

/// A fault that comes now and then, or at each call of a moment. Waits are interrupted at nearly each: a wait that ends so is the
/// only one of which a node can't see that it came to nothing, and takes a signal each time.
fn often(fault: &str, random: &mut Pcg64) -> String {
    if random.random_bool(0.3) {
        let (from, span) = (random.random_range(300..1500), random.random_range(30..300));
        let probability = if fault.starts_with("epoll_wait") { 0.9 } else { 1.0 };
        return format!("{fault}:{probability}:from_ms={from}:for_ms={span}");
    }
    let probability = [0.005, 0.02, 0.08][random.random_range(0..3)];
    format!("{fault}:{probability}")
}

/// What one seed plays.
struct Story {
    seed: u64,
    plan: String,
    load: Load,
    crowd: bool,
    ledger: bool,
    /// SIGHUPs, at so many milliseconds.
    reloads: Vec<u64>,
    /// SIGTERM comes again so long after the first.
    told_again: Option<Duration>,
}

impl Story {
    fn new(seed: u64) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut rules = Vec::new();
        for _ in 0..random.random_range(2..7) {
            let fault = OF_SOCKETS[random.random_range(0..OF_SOCKETS.len())];
            let complete = fault.matches(':').count() > 1;
            rules.push(if complete { fault.to_string() } else { often(fault, &mut random) });
        }
        for _ in 0..random.random_range(0..3) {
            rules.push(OF_THE_REST[random.random_range(0..OF_THE_REST.len())].to_string());
        }
        let load = Load {
            clients: random.random_range(8..24),
            span: SERVES + KILLED_AFTER,
            reuse: [1, 3, usize::MAX][random.random_range(0..3)],
            deadline: Duration::from_millis(random.random_range(500..2500)),
            abandon_every: [0, 5, 11][random.random_range(0..3)],
            pause: Duration::from_millis(random.random_range(2..20)),
            node_ends: true,
        };
        let told_again = random.random_bool(0.5).then(|| Duration::from_millis(random.random_range(0..2000)));
        let mut reloads: Vec<u64> =
            (0..random.random_range(0..4)).map(|_| random.random_range(100..1400)).collect();
        reloads.sort_unstable();
        let (crowd, ledger) = (random.random_bool(0.25), random.random_bool(0.3));
        Self { seed, plan: rules.join(";"), load, crowd, ledger, reloads, told_again }
    }

    /// Plays it; what was wrong, if anything was.
    fn play(&self) -> Result<(), String> {
        let servers = Servers::new(4, Duration::from_millis(8));
        let registry = Registry::new(&servers.hosts());
        let told = config(registry.address);
        let faults = Faults::new(&self.plan, self.seed);
        let operators = self.operators();
        let args: Vec<&str> = operators.iter().flat_map(|file| ["--operators", file.as_str()]).collect();
        let mut node = Node::with_faults(&told, &faults, &args);
        let (address, load) = (node.address, self.load);
        let report = std::thread::scope(|scope| {
            let clients = scope.spawn(|| load.run(address, &servers));
            let crowd = if self.crowd { CROWD } else { 0 };
            let _idle: Vec<_> = (0..crowd).filter_map(|_| TcpStream::connect(address).ok()).collect();
            self.signal(&mut node, &told.to_string())?;
            clients.join().map_err(|_| "a client panicked".to_string())
        })?;
        self.judge(&report)
    }

    /// Sends the signals; the node has ended when this returns.
    fn signal(&self, node: &mut Node, config: &str) -> Result<(), String> {
        let (began, host_delay) = (Instant::now(), HostDelay::start());
        for at in &self.reloads {
            std::thread::sleep(Duration::from_millis(*at).saturating_sub(began.elapsed()));
            node.reload(config);
        }
        std::thread::sleep(SERVES.saturating_sub(began.elapsed()));
        if !node.running() {
            return Err("the node ended before it was told to".into());
        }
        let told = Instant::now();
        node.terminate();
        if let Some(again) = self.told_again {
            std::thread::sleep(again);
            if node.running() {
                node.terminate();
            }
        }
        // Not while the machine itself may have held the node up.
        while told.elapsed() < KILLED_AFTER + host_delay.max_delay() {
            if let Some(status) = node.exit_status() {
                let in_order = status.code() == Some(0);
                return if in_order { Ok(()) } else { Err(format!("the node ended with {status}")) };
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        node.kill();
        Ok(())
    }

    fn operators(&self) -> Option<String> {
        self.ledger.then(|| ledger_file(&unused_path(&format!("soak-{}", self.seed)), "process-crash"))
    }

    fn judge(&self, report: &Report) -> Result<(), String> {
        if !report.violations.is_empty() {
            let shown: Vec<_> = report.violations.iter().take(4).collect();
            return Err(format!("{} broken, as {shown:?}", report.violations.len()));
        }
        // A crowd takes the connections of others, and a ledger whose disk fails refuses: both are no loss.
        let least = if self.crowd || self.ledger { 10 } else { 100 };
        if report.served < least {
            return Err("hardly anything was served".into());
        }
        Ok(())
    }
}

/// The seeds to be played.
fn seeds() -> Range<u64> {
    let Ok(named) = std::env::var("MAGPIETALLY_SOAK_SEEDS") else { return SEEDS };
    let (first, end) = named.split_once("..").expect("FIRST..END");
    first.parse().expect("a number")..end.parse().expect("a number")
}

#[test]
fn nothing_is_lost_under_random_faults_signals_and_ends() {
    let seeds = seeds();
    let next = AtomicU64::new(seeds.start);
    let failures = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..AT_ONCE {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::SeqCst);
                if !seeds.contains(&seed) {
                    return;
                }
                let story = Story::new(seed);
                if let Err(words) = story.play() {
                    failures.lock().expect("no panic").push(format!("seed {seed}, {}: {words}", story.plan));
                }
            });
        }
    });
    let failures = failures.into_inner().expect("no panic");
    assert!(failures.is_empty(), "{} of {} seeds: {failures:#?}", failures.len(), seeds.count());
}
