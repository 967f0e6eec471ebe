//! Stand-ins for clients, servers and discovery, and the nodes under test as processes. Standard library only.
//! All addresses are loopback addresses with free ports.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---- Time, record and verdict ----

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<fs::File>> = OnceLock::new();
static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Milliseconds since the start of the case.
pub fn now_ms() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64() * 1000.0
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Sleeps until this time of the case.
pub fn sleep_until(at_ms: f64) {
    let left = at_ms - now_ms();
    if left > 0.0 {
        thread::sleep(Duration::from_secs_f64(left / 1000.0));
    }
}

/// Writes a line to `record.txt`.
pub fn record(line: &str) {
    if let Some(file) = RECORD.get() {
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{:10.1} {line}", now_ms());
    }
}

/// Writes a line to `record.txt` and to standard output.
pub fn say(line: &str) {
    println!("{line}");
    record(line);
}

/// What a case is given by its script.
pub struct Case {
    /// The temporary folder.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// Begins a case: opens the record and limits the run to 110 s.
pub fn begin() -> Case {
    let _ = now_ms();
    let folder = PathBuf::from(std::env::var("CASE_TMP").expect("CASE_TMP names the temporary folder"));
    let record_file = std::env::var("CASE_RECORD").expect("CASE_RECORD names the record");
    let _ = RECORD.set(Mutex::new(fs::File::create(record_file).expect("the record can be written")));
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    std::panic::set_hook(Box::new(|panic| {
        say(&format!("the case could not run: {panic}"));
        end(2);
    }));
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(110));
        say("the case could not run: out of time");
        end(2);
    });
    say(if trouble { "with the disruption" } else { "without the disruption" });
    Case { folder, trouble }
}

/// Ends all started processes and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
pub fn end(code: i32) -> ! {
    for pid in PIDS.lock().unwrap_or_else(|e| e.into_inner()).iter() {
        signal(*pid, "KILL");
    }
    std::process::exit(code);
}

/// Exits with 2 unless the condition holds.
pub fn need(holds: bool, what: &str) {
    if !holds {
        say(&format!("the case could not run: {what}"));
        end(2);
    }
}

pub fn wait_for(what: &str, within_ms: u64, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + Duration::from_millis(within_ms);
    while !holds() {
        need(Instant::now() < until, what);
        sleep_ms(10);
    }
}

fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {pid} 2>/dev/null")).status();
}

/// A small random number generator (SplitMix64).
pub struct Random(pub u64);

impl Random {
    pub fn from_clock() -> Self {
        Self(SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    /// Evenly distributed in `from..to`.
    pub fn between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// An id that was never used before: 16 hex digits.
pub fn fresh_id() -> String {
    static SALT: OnceLock<u64> = OnceLock::new();
    let salt = *SALT.get_or_init(|| Random::from_clock().next());
    let mut mixed = Random(salt ^ NEXT_ID.fetch_add(1, Ordering::SeqCst).wrapping_mul(0xD6E8_FEB8_6659_FD93));
    format!("{:016x}", mixed.next())
}

/// A port that nobody has, below those that the system hands out by itself: none of the many connections takes it
/// before the process that is told of it.
fn free_port_for(is_free: impl Fn(SocketAddr) -> bool) -> SocketAddr {
    let mut random = Random::from_clock();
    for _ in 0..1000 {
        let at = SocketAddr::from(([127, 0, 0, 1], 18_000 + (random.next() % 13_000) as u16));
        if is_free(at) {
            return at;
        }
    }
    panic!("no free port");
}

pub fn free_port() -> SocketAddr {
    free_port_for(|at| TcpListener::bind(at).is_ok())
}

pub fn free_udp_port() -> SocketAddr {
    free_port_for(|at| UdpSocket::bind(at).is_ok())
}

// ---- Messages ----

#[derive(Clone, Debug)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or("")
    }

    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// Reads one message with a `Content-Length` body, a chunked one, or none.
pub fn read_message(from: &mut impl BufRead) -> Option<Message> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if from.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let mut message = Message { head, body: Vec::new() };
    if message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            if from.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let start = message.body.len();
            message.body.resize(start + size, 0);
            from.read_exact(&mut message.body[start..]).ok()?;
            from.read_exact(&mut [0; 2]).ok()?;
            if size == 0 {
                return Some(message);
            }
        }
    }
    if let Some(length) = message.header("content-length").and_then(|v| v.parse().ok()) {
        message.body = vec![0; length];
        from.read_exact(&mut message.body).ok()?;
    }
    Some(message)
}

// ---- Servers ----

/// A request that reached a server whole.
#[derive(Clone, Debug)]
pub struct Run {
    /// When its first byte arrived, and its last.
    pub first_ms: f64,
    pub last_ms: f64,
    pub server: String,
    pub id: String,
    pub class: String,
    pub told_ms: Option<f64>,
}

/// How a server treats one request.
#[derive(Clone, Copy, Default)]
pub struct Treatment {
    /// How long it works on it.
    pub work_ms: f64,
    /// Whether it sends its answer a second time, this long after the first.
    pub again_after_ms: Option<f64>,
    /// Whether it never answers.
    pub hangs: bool,
}

pub type Script = Arc<dyn Fn(&Message) -> Treatment + Send + Sync>;

/// A server that answers each request with 200 and a body that names the request's id.
#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub at: SocketAddr,
    runs: Arc<Mutex<Vec<Run>>>,
    ended: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(name: &str, script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Self {
            name: name.to_string(),
            at: listener.local_addr().unwrap(),
            runs: Arc::default(),
            ended: Arc::default(),
            open: Arc::default(),
        };
        let this = server.clone();
        listener.set_nonblocking(true).expect("it can be polled");
        thread::spawn(move || {
            while !this.ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_micros(200));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                this.open.lock().unwrap().extend(stream.try_clone());
                let (this, script) = (this.clone(), script.clone());
                thread::spawn(move || this.serve(stream, &script));
            }
        });
        server
    }

    /// The process ends: connections end, and new ones are refused.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        self.open.lock().unwrap().drain(..).for_each(reset);
        say(&format!("{} has ended at {:.1} ms", self.name, now_ms()));
    }

    fn serve(&self, stream: TcpStream, script: &Script) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut out = stream.try_clone().ok()?;
        let mut from = BufReader::new(stream);
        loop {
            if from.fill_buf().ok()?.is_empty() {
                return None;
            }
            let first_ms = now_ms();
            let message = read_message(&mut from)?;
            let id = message.header("x-txn").unwrap_or("").to_string();
            let class = message.target().trim_start_matches('/').split('/').next().unwrap_or("").to_string();
            let told_ms = message.header("x-remaining-ms").and_then(|v| v.parse().ok());
            let run = Run { first_ms, last_ms: now_ms(), server: self.name.clone(), id: id.clone(), class, told_ms };
            record(&format!("run {} {} {} told {:?} ms", run.server, run.class, run.id, run.told_ms));
            self.runs.lock().unwrap().push(run);
            let treatment = script(&message);
            if treatment.hangs {
                // Waits until the node closes the connection.
                let mut rest = Vec::new();
                let _ = from.read_to_end(&mut rest);
                return None;
            }
            thread::sleep(Duration::from_secs_f64(treatment.work_ms / 1000.0));
            let body = answer_body(&id);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            out.write_all(answer.as_bytes()).ok()?;
            if let Some(after) = treatment.again_after_ms {
                let mut out = out.try_clone().ok()?;
                let (server, id) = (self.name.clone(), id.clone());
                thread::spawn(move || {
                    thread::sleep(Duration::from_secs_f64(after / 1000.0));
                    if out.write_all(answer.as_bytes()).is_ok() {
                        record(&format!("second answer {server} {id} after {after:.1} ms"));
                    }
                });
            }
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}

/// The body that a server answers the request of this id with.
pub fn answer_body(id: &str) -> String {
    format!("done {id}")
}

// ---- Discovery ----

#[derive(Clone)]
struct Host {
    name: String,
    at: SocketAddr,
    health: &'static str,
    zone: &'static str,
    changed_in: u64,
}

struct DiscoveryState {
    seq: u64,
    hosts: Vec<Host>,
    /// Whether calls are refused and watches ended.
    down: bool,
    /// Addresses whose watches end, since when they take no call.
    closed: Vec<SocketAddr>,
    /// How long one call takes the service, which handles calls in turn.
    call_ms: f64,
    /// How long a call may wait for its turn before it fails with 503.
    queue_ms: f64,
    /// When the service is done with the calls that have their turn.
    free_at_ms: f64,
    /// Incremented to end all watches.
    epoch: u64,
    /// When each version was first written to any watch of a node, for the record.
    calls: usize,
}

/// One discovery service, which may be reached at several addresses.
#[derive(Clone)]
pub struct Discovery(Arc<Mutex<DiscoveryState>>);

impl Discovery {
    pub fn new(servers: &[Server]) -> Self {
        let hosts = servers
            .iter()
            .map(|s| Host { name: s.name.clone(), at: s.at, health: "active", zone: "east", changed_in: 1 })
            .collect();
        Self(Arc::new(Mutex::new(DiscoveryState {
            seq: 1,
            hosts,
            down: false,
            closed: Vec::new(),
            call_ms: 0.0,
            queue_ms: 3000.0,
            free_at_ms: 0.0,
            epoch: 0,
            calls: 0,
        })))
    }

    /// Serves at a new address.
    pub fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let at = listener.local_addr().unwrap();
        let this = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let refused = {
                    let state = this.0.lock().unwrap();
                    state.down || state.closed.contains(&at)
                };
                if refused {
                    reset(stream);
                    continue;
                }
                let this = this.clone();
                thread::spawn(move || this.serve(stream, at));
            }
        });
        at
    }

    fn serve(&self, stream: TcpStream, at: SocketAddr) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut out = stream.try_clone().ok()?;
        let request = read_message(&mut BufReader::new(stream))?;
        let target = request.target().to_string();
        record(&format!("discovery: call {target}"));
        let (turn_ms, epoch) = {
            let mut state = self.0.lock().unwrap();
            state.calls += 1;
            let begins = state.free_at_ms.max(now_ms());
            let turn_ms = (begins - now_ms() <= state.queue_ms).then(|| begins + state.call_ms);
            if let Some(turn_ms) = turn_ms {
                state.free_at_ms = turn_ms;
            }
            (turn_ms.ok_or(now_ms() + state.queue_ms), state.epoch)
        };
        match turn_ms {
            Ok(turn_ms) => sleep_until(turn_ms),
            Err(end_ms) => {
                sleep_until(end_ms);
                record("discovery: 503 to a call that waited too long");
                out.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").ok()?;
                return None;
            }
        }
        if self.ended(epoch, at) {
            reset(out);
            return None;
        }
        if !target.contains("watch=1") {
            let list = self.list(None);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            return out.write_all(answer.as_bytes()).ok();
        }
        let from: Option<u64> = target.split(['?', '&']).find_map(|p| p.strip_prefix("from=")?.parse().ok());
        let mut told = from.unwrap_or(0);
        out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let mut last_line = Instant::now() - Duration::from_secs(2);
        loop {
            if self.ended(epoch, at) {
                reset(out);
                return None;
            }
            let seq = self.0.lock().unwrap().seq;
            let line = if seq > told {
                let line = self.list(Some(told).filter(|t| *t > 0));
                told = seq;
                Some(line)
            } else {
                (last_line.elapsed() >= Duration::from_secs(2)).then(String::new)
            };
            if let Some(line) = line {
                let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
                out.write_all(chunk.as_bytes()).ok()?;
                if !line.is_empty() {
                    record(&format!("discovery: version {told} written to a watch"));
                }
                last_line = Instant::now();
            }
            sleep_ms(5);
        }
    }

    fn ended(&self, epoch: u64, at: SocketAddr) -> bool {
        let state = self.0.lock().unwrap();
        state.down || state.epoch != epoch || state.closed.contains(&at)
    }

    /// The whole list, or what changed after a version.
    fn list(&self, after: Option<u64>) -> String {
        let state = self.0.lock().unwrap();
        let entries: Vec<String> = state
            .hosts
            .iter()
            .filter(|h| after.is_none_or(|v| h.changed_in > v))
            .map(|h| {
                format!(
                    "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{}\",\"class\":\"m2\",\"block\":0,\
                     \"health\":\"{}\",\"share\":1.0,\"born_ms\":0}}",
                    h.name, h.at, h.zone, h.health
                )
            })
            .collect();
        format!("{{\"seq\":{},\"whole\":{},\"hosts\":[{}]}}", state.seq, after.is_none(), entries.join(","))
    }

    /// The list in the form of the configuration's `known`.
    pub fn known(&self) -> String {
        self.list(None)
    }

    /// A server begins to drain; returns when discovery had the change.
    pub fn drain(&self, name: &str) -> f64 {
        let mut state = self.0.lock().unwrap();
        state.seq += 1;
        let seq = state.seq;
        for host in state.hosts.iter_mut().filter(|h| h.name == name) {
            (host.health, host.changed_in) = ("leaving", seq);
        }
        drop(state);
        say(&format!("discovery: {name} is leaving, version {seq}, at {:.1} ms", now_ms()));
        now_ms()
    }

    /// The service goes down, which ends all watches, or comes back.
    pub fn set_down(&self, down: bool) {
        self.0.lock().unwrap().down = down;
        say(&format!("discovery: {} at {:.1} ms", if down { "down" } else { "back" }, now_ms()));
    }

    /// All open watches end.
    pub fn end_watches(&self) {
        self.0.lock().unwrap().epoch += 1;
        say(&format!("discovery: all watches ended at {:.1} ms", now_ms()));
    }

    /// The service handles one call after another; each takes so long.
    pub fn slow_down(&self, call_ms: f64) {
        self.0.lock().unwrap().call_ms = call_ms;
    }

    /// An address takes no call any more, and its watches end.
    pub fn close_address(&self, at: SocketAddr) {
        self.0.lock().unwrap().closed.push(at);
        record(&format!("discovery: address {at} closed"));
    }

    pub fn calls(&self) -> usize {
        self.0.lock().unwrap().calls
    }
}

/// Another node of the fleet, as discovery sees it: calls until it has a watch, and keeps that.
pub fn other_node(at: SocketAddr) {
    thread::spawn(move || loop {
        let mut stream = TcpStream::connect(at).expect("discovery accepts");
        let call = "GET /v1/endpoints?watch=1&from=1 HTTP/1.1\r\nHost: discovery\r\n\r\n";
        let mut from = BufReader::new(stream.try_clone().unwrap());
        let mut line = String::new();
        if stream.write_all(call.as_bytes()).is_ok() && from.read_line(&mut line).is_ok() && line.contains(" 200 ") {
            let mut rest = Vec::new();
            let _ = from.read_to_end(&mut rest);
        }
        sleep_ms(50 + Random::from_clock().next() % 50);
    });
}

/// Ends a connection: unread bytes are not read, and what is left is dropped.
fn reset(stream: TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}

// ---- Nodes ----

/// The settings of a small deployment, with three nodes and two zones.
pub fn settings(nodes: usize, number: usize) -> String {
    let class = |name: &str, effect: &str, deadline: f64, aim: f64, worth: f64, memory: f64| {
        format!(
            "{{\"Name\":\"{name}\",\"Idempotency\":\"{effect}\",\"DedupScope\":\"all\",\"MemorySpan\":{memory},\
             \"Slo\":{aim},\"Deadline\":{deadline},\"Value\":{worth},\"LateValue\":0.0,\"Stream\":false}}"
        )
    };
    format!(
        "{{\"Classes\":[{},{},{}],\"Clients\":{{\"MarksRetry\":false}},\
         \"Contract\":{{\"AnswerSlack\":20.0,\"AskWithin\":10000.0,\"ColdShare\":0.12,\"DrainGrace\":750.0,\
         \"Fall\":1500.0,\"FallMultiple\":4.0,\"WarmWithin\":23000.0}},\"CountedBy\":\"work\",\
         \"Customers\":[{{\"Name\":\"punjab-clubs\",\"QuotaPerS\":197.0,\"Share\":0.68}},\
         {{\"Name\":\"karachi-clubs\",\"QuotaPerS\":93.0,\"Share\":0.32}}],\"Discovery\":\"subscribe\",\
         \"Family\":\"proxy\",\"Fees\":{{\"Connection\":0.05,\"CrossZone\":0.025,\"Discovery\":0.0,\
         \"Handshake\":0.05,\"LateFail\":0.15,\"Moves\":0.0,\"Origin\":0.0,\"Peer\":0.0,\"Probe\":0.0,\
         \"Waste\":0.02}},\"Goal\":{{\"Whole\":0.45,\"WorstClass\":0.3,\"WorstTenant\":0.1,\
         \"WorstWindow\":0.15}},\"Limits\":{{\"AttemptsCap\":5,\"Cancel\":true,\"ConnectTimeout\":150.0,\
         \"CpuUsPerRequest\":0.0,\"CpuUsPerS\":8000,\"Keepalive\":10000.0,\"MaxRetryAfter\":1000.0,\
         \"MayDuplicate\":true,\"Multiplex\":1,\"OpenCap\":20000,\"Peers\":false,\"Probes\":false,\
         \"RetryAfter\":true}},\"Me\":{number},\"MyZone\":\"east\",\"OverShareWorth\":0.1,\
         \"PeersTotal\":{nodes},\"Shapes\":[\"m2\"],\"Specifics\":{{\"WarmKeys\":true}},\"Stage\":0,\
         \"Stages\":[\"member-web\"],\"Stats\":{{\"Fields\":[],\"Via\":\"silent\"}},\"Tick\":5.0,\
         \"Weights\":\"rough\",\"Zones\":[\"east\",\"west\"]}}",
        class("lookup", "pure", 1000.0, 300.0, 3.0, 5000.0),
        class("signup", "side_effect", 1000.0, 400.0, 3.0, 5000.0),
        class("fee-payment", "token", 600.0, 300.0, 5.0, 1200.0),
    )
}

/// What a node is started with.
#[derive(Clone)]
pub struct NodeSetup {
    pub name: String,
    pub number: usize,
    pub nodes: usize,
    pub listen: SocketAddr,
    pub management: Option<SocketAddr>,
    pub discovery: SocketAddr,
    pub known: String,
    /// Its limits: megabytes of memory, and descriptors.
    pub limits: (u32, u32),
    /// Arguments after those of the deploy file's command.
    pub arguments: String,
}

/// A node: the program of the deploy file as a process.
pub struct Node {
    pub setup: NodeSetup,
    folder: PathBuf,
    child: Child,
}

/// The command that the deploy file names for a node.
fn run_command() -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
    let line = text.lines().find_map(|l| l.strip_prefix("run = ")).expect("a `run` line");
    line.trim().trim_matches('"').to_string()
}

impl Node {
    pub fn start(case: &Case, setup: NodeSetup) -> Self {
        let folder = case.folder.join(format!("{}-{}", setup.name, now_ms() as u64));
        fs::create_dir_all(folder.join("tmp")).expect("a folder");
        let node_config = folder.join("config.json");
        fs::write(&node_config, config(&setup)).expect("a configuration");
        let log = fs::File::create(folder.join("log.txt")).expect("a log");
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(format!("{} {}", run_command(), setup.arguments))
            .env("BALANCER_NAME", &setup.name)
            .env("BALANCER_LISTEN", setup.listen.to_string())
            .env("BALANCER_DISCOVERY", setup.discovery.to_string())
            .env("BALANCER_CONFIG", &node_config)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        let child = command.spawn().expect("the node's command can be started");
        PIDS.lock().unwrap().push(child.id());
        if let Ok(list) = std::env::var("CASE_PIDS") {
            let mut file = fs::OpenOptions::new().create(true).append(true).open(list).expect("a list of processes");
            let _ = writeln!(file, "{}", child.id());
        }
        record(&format!("node {} started at {}", setup.name, setup.listen));
        Self { setup, folder, child }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        say(&format!("node {}: SIG{name} at {:.1} ms", self.setup.name, now_ms()));
        signal(self.pid(), name);
    }

    /// Returns whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Replaces the configuration by one with another address of discovery, and signals it.
    pub fn move_discovery(&mut self, to: SocketAddr) {
        self.setup.discovery = to;
        let path = self.folder.join("config.json");
        let beside = self.folder.join("config.new");
        fs::write(&beside, config(&self.setup)).expect("a configuration");
        fs::rename(&beside, &path).expect("the configuration can be replaced");
        self.signal("HUP");
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default()
    }

    pub fn wait_ready(&self, within_ms: u64) {
        let until = now_ms() + within_ms as f64;
        while !call(self.setup.listen, "GET", "/ready", "").is_some_and(|m| m.status() == 200) {
            if now_ms() > until {
                record(&format!("log of {}: {}", self.setup.name, self.log()));
                need(false, &format!("node {} is not ready", self.setup.name));
            }
            sleep_ms(20);
        }
    }
}

fn config(setup: &NodeSetup) -> String {
    let management = setup.management.map_or(String::new(), |at| format!("\"management\":\"{at}\","));
    format!(
        "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{}\",{management}\"seed\":\"8c1f30d27a5be96{}\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{}}}",
        setup.name,
        setup.listen,
        setup.discovery,
        setup.number % 10,
        setup.limits.0,
        setup.limits.1,
        setup.known,
        settings(setup.nodes, setup.number)
    )
}

/// A call on a connection of its own.
pub fn call(at: SocketAddr, method: &str, path: &str, body: &str) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .ok()?;
    read_message(&mut BufReader::new(stream))
}

// ---- A fleet that decides together ----

/// The names and addresses of the nodes of a fleet; all of them vote.
pub struct FleetFiles {
    names: Vec<String>,
    addresses: Vec<(SocketAddr, SocketAddr)>,
    folder: PathBuf,
}

impl FleetFiles {
    pub fn new(case: &Case, names: &[&str]) -> Self {
        let addresses = names.iter().map(|_| (free_udp_port(), free_port())).collect();
        Self { names: names.iter().map(|n| n.to_string()).collect(), addresses, folder: case.folder.clone() }
    }

    /// Writes the fleet file of a node and returns its argument.
    pub fn argument(&self, number: usize) -> String {
        let voters: Vec<String> = self.names.iter().map(|n| format!("\"{n}\"")).collect();
        let store = self.folder.join(format!("store-{}", self.names[number]));
        fs::create_dir_all(&store).expect("a folder");
        let mut text = format!(
            "fleet = \"review\"\nvoters = [{}]\nstore = \"{}\"\ndatagrams = \"{}\"\nstreams = \"{}\"\n",
            voters.join(", "),
            store.display(),
            self.addresses[number].0,
            self.addresses[number].1
        );
        for (other, name) in self.names.iter().enumerate().filter(|(other, _)| *other != number) {
            let (datagrams, streams) = self.addresses[other];
            text += &format!("[peers.{name}]\ndatagrams = \"{datagrams}\"\nstreams = \"{streams}\"\n");
        }
        let file = self.folder.join(format!("fleet-{}.toml", self.names[number]));
        fs::write(&file, text).expect("a fleet file");
        format!("--fleet {}", file.display())
    }
}

/// Sends a policy document to a node and waits until all nodes have it.
pub fn change_policy(nodes: &[Node], document: &str, version: u64) {
    let at = nodes[0].setup.management.expect("a management address");
    wait_for("no node takes the policy document", 10_000, || {
        call(at, "PUT", "/v1/fleet/policy", document).is_some_and(|m| m.status() == 202)
    });
    for node in nodes {
        let at = node.setup.management.expect("a management address");
        wait_for("the policy document is not taken", 20_000, || {
            call(at, "GET", "/v1/fleet", "")
                .is_some_and(|m| String::from_utf8_lossy(&m.body).contains(&format!("ready under version {version}\n")))
        });
    }
    say(&format!("policy: version {version} is active on all nodes at {:.1} ms", now_ms()));
}

// ---- Clients ----

/// How a request ended for its client.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub class: String,
    pub node: String,
    pub sent_ms: f64,
    pub ended_ms: f64,
    /// The status, or `None` if the connection ended or nothing came in time.
    pub status: Option<u16>,
    pub body: String,
    /// Whether the whole request was written to a connection that the node's machine accepted.
    pub written: bool,
}

/// The bytes of a request with a fresh id.
pub fn request(class: &str, id: &str, remaining_ms: u64, tenant: &str) -> String {
    let common = format!(
        "Host: service.internal\r\nX-Txn: {id}\r\nX-Org: {tenant}\r\nCookie: user={id}\r\n\
         X-Remaining-Ms: {remaining_ms}\r\nX-Estimate: 40000\r\n"
    );
    match class {
        "lookup" => format!("GET /lookup/member HTTP/1.1\r\n{common}\r\n"),
        "signup" => format!("POST /signup/member HTTP/1.1\r\n{common}Content-Length: 6\r\n\r\nfamily"),
        _ => format!(
            "POST /fee-payment/receipt HTTP/1.1\r\n{common}Idempotency-Key: {id}{id}\r\nContent-Length: 3\r\n\r\nfee"
        ),
    }
}

pub fn deadline_ms(class: &str) -> u64 {
    if class == "fee-payment" {
        600
    } else {
        1000
    }
}

/// Clients that send requests at a steady rate to nodes, each on a connection that it keeps.
pub struct Load {
    stop: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Load {
    /// `per_node` clients at each node; each sends a request every `every_ms` on average.
    pub fn start(nodes: &[(String, SocketAddr)], per_node: usize, every_ms: f64, classes: &[&'static str]) -> Self {
        let (stop, outcomes) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let mut threads = Vec::new();
        for (name, at) in nodes {
            for _ in 0..per_node {
                let (name, at, stop, outcomes) = (name.clone(), *at, stop.clone(), outcomes.clone());
                let classes = classes.to_vec();
                let mut random = Random(Random::from_clock().next() ^ threads.len() as u64);
                threads.push(thread::spawn(move || {
                    let mut connection = None;
                    thread::sleep(Duration::from_secs_f64(random.between(0.0, every_ms) / 1000.0));
                    while !stop.load(Ordering::SeqCst) {
                        let began = now_ms();
                        let class = classes[random.next() as usize % classes.len()];
                        let outcome = send_one(&mut connection, &name, at, class);
                        record(&format!(
                            "request {} {} at {}: {:?} after {:.1} ms",
                            outcome.id,
                            outcome.class,
                            outcome.node,
                            outcome.status,
                            outcome.ended_ms - outcome.sent_ms
                        ));
                        outcomes.lock().unwrap().push(outcome);
                        sleep_until(began + random.between(0.5, 1.5) * every_ms);
                    }
                }));
            }
        }
        Self { stop, outcomes, threads }
    }

    pub fn outcomes(&self) -> Vec<Outcome> {
        self.outcomes.lock().unwrap().clone()
    }

    /// Ends the clients and returns all outcomes.
    pub fn finish(self) -> Vec<Outcome> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        Arc::try_unwrap(self.outcomes).map_or_else(|o| o.lock().unwrap().clone(), |o| o.into_inner().unwrap())
    }
}

/// A client's connection that is kept between requests.
pub type Kept = Option<BufReader<TcpStream>>;

/// Sends one request and waits for its answer, as long as the client waits and 3 s more.
pub fn send_one(connection: &mut Kept, name: &str, at: SocketAddr, class: &str) -> Outcome {
    let id = fresh_id();
    let bytes = request(class, &id, deadline_ms(class), "punjab-clubs");
    let (mut sent_ms, mut written) = (now_ms(), false);
    let mut answer = None;
    // A request that crosses the end of a kept connection is sent once more on a new one.
    for _ in 0..2 {
        let kept = connection.is_some();
        if connection.is_none() {
            *connection = TcpStream::connect_timeout(&at, Duration::from_millis(500)).ok().map(|stream| {
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(Duration::from_millis(deadline_ms(class) + 3000)));
                BufReader::new(stream)
            });
        }
        if let Some(open) = connection.as_mut() {
            sent_ms = now_ms();
            written = open.get_mut().write_all(bytes.as_bytes()).is_ok();
            answer = if written { read_message(open) } else { None };
        }
        if answer.as_ref().is_none_or(Message::closes) {
            *connection = None;
        }
        if answer.is_some() || !kept {
            break;
        }
    }
    Outcome {
        id,
        class: class.to_string(),
        node: name.to_string(),
        sent_ms,
        ended_ms: now_ms(),
        status: answer.as_ref().map(Message::status),
        body: answer.map_or(String::new(), |m| String::from_utf8_lossy(&m.body).into_owned()),
        written,
    }
}

/// A line that sums up how requests ended.
pub fn summary(outcomes: &[Outcome]) -> String {
    let mut counts: HashMap<String, usize> = HashMap::new();
    for outcome in outcomes {
        *counts.entry(outcome.status.map_or("none".to_string(), |s| s.to_string())).or_default() += 1;
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort();
    format!("{} requests: {counts:?}", outcomes.len())
}
