//! A soak test of uploads and long responses: clients that write slowly, pause, stop and leave, servers that read slowly,
//! pause, hold, answer early and close, crowds, signals in series, hand-overs and failing system calls. Each seed draws one
//! scenario; `MAGPIETALLY_SOAK_SEEDS=FIRST..END` selects other seeds.

mod peers;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::time::{Duration, Instant};

use peers::crowd::{Behaviour, Crowd};
use peers::faults::Faults;
use peers::host_delay::HostDelay;
use peers::long_responses::{Pace, FRAMINGS, LONG_RESPONSE_BYTES};
use peers::soak::play_seeds;
use peers::uploads::*;
use peers::{bytes, config, host, listener_node, request, Node, Registry};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{json, Value};

/// The default seeds.
const SEEDS: Range<u64> = 0..16;
/// The number of scenarios that run at once.
const CONCURRENCY: usize = 8;
/// The time from the start of a run to the first SIGTERM.
const TERMINATED_AFTER: Duration = Duration::from_millis(2000);
/// The shortest time from SIGTERM to SIGKILL: the longest deadline, 3 s at most, and 0.7 s.
const KILLED_AFTER: Duration = Duration::from_millis(3700);
/// How long the next process of a hand-over serves alone.
const SERVED_AFTER: Duration = Duration::from_millis(800);
/// How long after its client's time a final answer may come.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// How long a client waits after that, to tell a late answer from none.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(2500);
/// How long the last request of a run may take, from the time at which clients begin no more.
const LAST_ANSWER_WAIT: Duration = Duration::from_millis(5000);
/// A close of a resting connection may cross a request that is being written; its client sees the end within this time.
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(2);
/// What a long response may take; one that is on its way that shortly before the kill may be cut off.
const LONG_RESPONSE_TIME: Duration = Duration::from_millis(2000);
/// Largest body that a node buffers whole.
const BUFFERED_REQUEST_MAX_BYTES: usize = 512 * 1024;

/// Faults that a run may have, one at a time.
const FAULTS: [&str; 6] = [
    "recv:ENOMEM:0.02",
    "recv:short=1000:0.2",
    "peek:EINTR:0.2",
    "writev:short=300:0.2",
    "writev:ENOBUFS:0.02",
    "accept4:EINTR:0.1",
];
/// What the members of a crowd may do.
const CROWD_BEHAVIOURS: [Behaviour; 5] = [
    Behaviour::StopInBody(400_000),
    Behaviour::StopInChunks(400_000),
    Behaviour::WriteSlowly,
    Behaviour::Silent,
    Behaviour::BufferedBodies,
];

/// What a scenario does to its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NodeEnd {
    /// It serves throughout.
    None,
    /// SIGTERM, again after a time if any, and SIGKILL.
    Stopped { second_sigterm: Option<Duration> },
    /// The same, while the next process accepts from the same socket.
    HandedOver,
}

/// The scenario of one seed.
#[derive(Debug)]
struct Scenario {
    seed: u64,
    servers: Vec<ServerPlan>,
    /// Whether all servers read as fast as they can.
    sound_servers: bool,
    clients: u64,
    memory_mb: usize,
    descriptors: usize,
    /// The node's receive buffer towards its clients, if it is small.
    receive_buffer_bytes: Option<usize>,
    crowd: Option<(usize, Behaviour)>,
    fault: Option<&'static str>,
    reloads: Vec<u64>,
    node_end: NodeEnd,
}

fn pick<T: Clone>(random: &mut Pcg64, of: &[T]) -> T {
    of[random.random_range(0..of.len())].clone()
}

fn millis(random: &mut Pcg64, range: Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

/// How a server that is not sound reads.
fn unsound_script(random: &mut Pcg64) -> Vec<ReadStep> {
    let first = ReadStep::Read(random.random_range(5_000..40_000));
    let paced = ReadStep::ReadPaced {
        bytes: usize::MAX,
        // 20 to 100 kB/s.
        piece: random.random_range(1000..5000),
        interval: Duration::from_millis(50),
    };
    match random.random_range(0..6) {
        0 | 1 => vec![first, ReadStep::Hold],
        2 => vec![first, paced],
        3 => vec![first, ReadStep::Pause(millis(random, 100..1500))],
        4 => vec![first, ReadStep::Answer(pick(random, &[200, 500, 503])), ReadStep::Hold],
        _ => vec![first, ReadStep::Close],
    }
}

fn server_plan(random: &mut Pcg64, sound: bool) -> ServerPlan {
    let script = if sound || random.random_bool(0.3) { Vec::new() } else { unsound_script(random) };
    let pace = Pace {
        before_body: millis(random, 0..400),
        piece_bytes: random.random_range(10_000..40_000),
        between_pieces: millis(random, 1..60),
    };
    let late = !sound && random.random_bool(0.15);
    let opens_after = if late { millis(random, 200..1500) } else { Duration::ZERO };
    let segment_bytes = random.random_bool(0.7).then_some(SEGMENT_BYTES);
    ServerPlan { script, pace, opens_after, segment_bytes }
}

impl Scenario {
    fn new(seed: u64) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let random = &mut random;
        let sound_servers = random.random_bool(0.4);
        let count = random.random_range(2..5);
        let servers = (0..count).map(|_| server_plan(random, sound_servers)).collect();
        let crowd = random.random_bool(0.3).then(|| {
            let behaviour = pick(random, &CROWD_BEHAVIOURS);
            (random.random_range(10..80), behaviour)
        });
        let node_end = match random.random_range(0..4) {
            0 => NodeEnd::None,
            1 => NodeEnd::HandedOver,
            _ => {
                NodeEnd::Stopped { second_sigterm: random.random_bool(0.5).then(|| millis(random, 0..2000)) }
            }
        };
        let mut reloads: Vec<u64> =
            (0..random.random_range(0..4)).map(|_| random.random_range(100..1900)).collect();
        reloads.sort_unstable();
        Self {
            seed,
            servers,
            sound_servers,
            clients: random.random_range(4..12),
            memory_mb: pick(random, &[32, 48, 192]),
            descriptors: pick(random, &[256, 1024]),
            receive_buffer_bytes: random.random_bool(0.3).then(|| pick(random, &[4096, 16_384])),
            crowd,
            fault: random.random_bool(0.25).then(|| pick(random, &FAULTS)),
            reloads,
            node_end,
        }
    }

    /// How long clients send requests.
    fn span(&self) -> Duration {
        match self.node_end {
            NodeEnd::None => TERMINATED_AFTER + LONG_RESPONSE_TIME,
            NodeEnd::Stopped { .. } => TERMINATED_AFTER + KILLED_AFTER,
            NodeEnd::HandedOver => TERMINATED_AFTER + KILLED_AFTER + SERVED_AFTER,
        }
    }

    /// Runs the scenario; an error describes what went wrong.
    fn run(&self) -> Result<Summary, String> {
        let servers: Vec<_> = self.servers.iter().cloned().map(ReadingServer::with_plan).collect();
        let entry =
            |(n, server): (usize, &ReadingServer)| host(&format!("s{n}"), server.address, "active", 1);
        let registry = Registry::new(&servers.iter().enumerate().map(entry).collect::<Vec<_>>());
        let mut node_config = config(registry.address);
        node_config["settings"]["Limits"]["Probes"] = Value::from(false);
        node_config["limits"] =
            json!({"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.descriptors});
        node_config["management"] = json!("127.0.0.1:0");
        let faults = Faults::new(self.fault.unwrap_or_default(), self.seed);
        let shared = self.listening_socket(&mut node_config);
        let mut node = listener_node(&node_config, shared.as_ref(), &faults);
        // Where no process follows, the end of this one is to be the end of the socket.
        let shared = shared.filter(|_| self.node_end == NodeEnd::HandedOver);
        let (address, host_delay) = (node.address, HostDelay::start());
        let (played, ended) = std::thread::scope(|scope| {
            let began = Instant::now();
            let clients: Vec<_> = (0..self.clients)
                .map(|number| scope.spawn(move || Client::new(self, number, address).run(began)))
                .collect();
            let _crowd = self.crowd.map(|(members, behaviour)| Crowd::start(address, members, &[behaviour]));
            let ended = self.drive(&mut node, &node_config, shared.as_ref(), &faults, began);
            let played: Vec<_> =
                clients.into_iter().flat_map(|client| client.join().expect("no panic")).collect();
            (played, ended)
        });
        let killed_at = ended?;
        self.check(&played, &servers, killed_at, host_delay.max_delay())
    }

    /// The listening socket that the node inherits, where it has one.
    fn listening_socket(&self, node_config: &mut Value) -> Option<TcpListener> {
        let socket = match (self.receive_buffer_bytes, self.node_end) {
            (Some(size), _) => listener_with_buffer(size),
            (None, NodeEnd::HandedOver) => TcpListener::bind("127.0.0.1:0").expect("a port"),
            (None, _) => return None,
        };
        node_config["listen"] = json!(socket.local_addr().expect("bound").to_string());
        Some(socket)
    }

    /// Sends the signals and starts the next process; returns when the first one ended, if it did.
    fn drive(
        &self,
        node: &mut Node,
        node_config: &Value,
        shared: Option<&TcpListener>,
        faults: &Faults,
        began: Instant,
    ) -> Result<Option<Instant>, String> {
        for at in &self.reloads {
            std::thread::sleep(Duration::from_millis(*at).saturating_sub(began.elapsed()));
            node.reload(&node_config.to_string());
        }
        std::thread::sleep(TERMINATED_AFTER.saturating_sub(began.elapsed()));
        self.check_memory(node)?;
        if !node.running() {
            return Err("the node ended before it was told to".into());
        }
        let second_sigterm = match self.node_end {
            NodeEnd::None => {
                std::thread::sleep((self.span() + LAST_ANSWER_WAIT).saturating_sub(began.elapsed()));
                self.check_memory(node)?;
                return if node.running() { Ok(None) } else { Err("the node ended".into()) };
            }
            NodeEnd::Stopped { second_sigterm } => second_sigterm,
            NodeEnd::HandedOver => None,
        };
        let next = (self.node_end == NodeEnd::HandedOver).then(|| listener_node(node_config, shared, faults));
        let terminated = Instant::now();
        node.terminate();
        if let Some(delay) = second_sigterm {
            std::thread::sleep(delay);
            if node.running() {
                node.terminate();
            }
        }
        while terminated.elapsed() < KILLED_AFTER && node.running() {
            self.check_memory(node)?;
            std::thread::sleep(Duration::from_millis(5));
        }
        let killed = terminated.elapsed() >= KILLED_AFTER;
        match node.exit_status() {
            Some(status) if status.code() != Some(0) => return Err(format!("the node ended with {status}")),
            Some(_) => {}
            None if killed => node.kill(),
            None => {}
        }
        let killed_at = Instant::now();
        if let Some(mut next) = next {
            std::thread::sleep((self.span() + LAST_ANSWER_WAIT).saturating_sub(began.elapsed()));
            self.check_memory(&next)?;
            if !next.running() {
                return Err("the next process ended".into());
            }
        }
        Ok(Some(killed_at))
    }

    fn check_memory(&self, node: &Node) -> Result<(), String> {
        match node.try_peak_memory_kib() {
            Some(peak) if peak > self.memory_mb * 1024 => Err(format!("{peak} KiB of {} MB", self.memory_mb)),
            _ => Ok(()),
        }
    }

    fn check(
        &self,
        played: &[Played],
        servers: &[ReadingServer],
        killed_at: Option<Instant>,
        host_delay: Duration,
    ) -> Result<Summary, String> {
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for message in servers.iter().flat_map(ReadingServer::received) {
            let Some(id) = message.header("x-txn") else { continue };
            *runs.entry(id.to_string()).or_default() += 1;
        }
        let mut violations = Vec::new();
        let mut summary = Summary::default();
        for request in played {
            let run = runs.get(&request.id).copied().unwrap_or(0);
            if request.class == "slip" && run > 1 {
                violations.push(format!("{}: ran {run} times", request.id));
            }
            summary.count(request);
            if let Some(violation) = self.violation(request, run, killed_at, host_delay) {
                violations.push(format!("{} {violation}: {}", request.id, request.describe()));
            }
        }
        if violations.is_empty() {
            return Ok(summary);
        }
        let shown: Vec<_> = violations.iter().take(5).collect();
        Err(format!("{} of {summary:?}: {shown:#?}", violations.len()))
    }

    /// What a request shows that is against the rules.
    fn violation(
        &self,
        request: &Played,
        runs: usize,
        killed_at: Option<Instant>,
        host_delay: Duration,
    ) -> Option<&'static str> {
        let end = &request.end;
        if request.leaves {
            return None;
        }
        let near_kill = |span: Duration| killed_at.is_some_and(|at| request.sent_at + span > at);
        let Some(written_at) = end.written_at else {
            // The node may answer early where its servers do not read, or it has no room.
            let is_cut = end.ended_at.is_some() || matches!(end.status(), Some(502 | 504));
            let is_sound = self.sound_servers && self.fault.is_none() && self.crowd.is_none();
            let expected = near_kill(KILLED_AFTER) || request.crossed_close();
            return (is_sound && is_cut && !expected).then_some("cut off while its client wrote");
        };
        let Some((answer, answered_at)) = &end.answer else {
            let crossed =
                runs == 0 && (request.crossed_close() || (request.is_reset() && near_kill(KILLED_AFTER)));
            let is_cut_response = request.is_long_response() && near_kill(LONG_RESPONSE_TIME);
            return (!crossed && !is_cut_response).then_some("no answer");
        };
        if request.is_long_response() {
            let is_whole = answer.status() != 200 || answer.body == bytes(LONG_RESPONSE_BYTES);
            return (!is_whole && !near_kill(LONG_RESPONSE_TIME)).then_some("a spoilt answer");
        }
        let waited = answered_at.saturating_duration_since(written_at);
        (waited > request.remaining + ANSWER_SLACK + host_delay).then_some("late")
    }
}

/// One request as its client saw it.
struct Played {
    id: String,
    class: &'static str,
    what: String,
    remaining: Duration,
    /// Whether the client leaves before the answer.
    leaves: bool,
    /// Whether the connection had carried a request before.
    reused: bool,
    sent_at: Instant,
    end: UploadEnd,
}

impl Played {
    fn is_long_response(&self) -> bool {
        self.class == "look"
    }

    /// Whether the connection ended without an answer and without the request having been read.
    fn is_reset(&self) -> bool {
        self.end.answer.is_none() && self.end.ended_at.is_some()
    }

    /// Whether the node may have closed a resting connection before it read any of the request.
    fn crossed_close(&self) -> bool {
        let ended_after = self.end.ended_at.map(|at| at.saturating_duration_since(self.sent_at));
        self.reused && ended_after.is_some_and(|span| span < CLOSE_RACE_WINDOW)
    }

    fn describe(&self) -> String {
        let after = |at: Option<Instant>| at.map(|at| at.saturating_duration_since(self.sent_at));
        format!(
            "{} {}, {:?} left, reused {}: written after {:?}, {:?} after {:?}, ended after {:?}",
            self.class,
            self.what,
            self.remaining,
            self.reused,
            after(self.end.written_at),
            self.end.status(),
            after(self.end.answer.as_ref().map(|(_, at)| *at)),
            after(self.end.ended_at)
        )
    }
}

/// How many requests ended in which way.
#[derive(Debug, Default)]
struct Summary {
    sent: usize,
    served: usize,
    refused: usize,
    failed: usize,
    unanswered: usize,
}

impl Summary {
    fn count(&mut self, request: &Played) {
        self.sent += 1;
        match request.end.status() {
            Some(200) => self.served += 1,
            Some(429 | 503) => self.refused += 1,
            Some(_) => self.failed += 1,
            None => self.unanswered += 1,
        }
    }
}

/// A client that sends one request after the other and keeps its connection.
struct Client {
    random: Pcg64,
    name: String,
    node: SocketAddr,
    span: Duration,
    open: Option<TcpStream>,
}

impl Client {
    fn new(scenario: &Scenario, number: u64, node: SocketAddr) -> Self {
        let random = Pcg64::seed_from_u64(scenario.seed << 16 | (number + 1));
        let name = format!("u{}-{number}", scenario.seed);
        Self { random, name, node, span: scenario.span(), open: None }
    }

    fn run(mut self, began: Instant) -> Vec<Played> {
        let mut played = Vec::new();
        while began.elapsed() < self.span {
            let id = format!("{}-{}", self.name, played.len());
            match self.play(id) {
                Some(request) => played.push(request),
                // The node is gone.
                None => std::thread::sleep(Duration::from_millis(20)),
            }
            let pause = millis(&mut self.random, 0..40);
            std::thread::sleep(pause);
        }
        played
    }

    fn play(&mut self, id: String) -> Option<Played> {
        let remaining = millis(&mut self.random, 300..1500);
        let (class, what, message, script, leaves) = if self.random.random_bool(0.25) {
            let framing = pick(&mut self.random, &FRAMINGS);
            let message = framing.name_in(&request("look", &id, remaining.as_millis() as u64)).into_bytes();
            ("look", format!("{framing:?}"), message, Vec::new(), false)
        } else {
            let upload = self.upload(&id, remaining);
            let (script, leaves) = self.script(upload.length);
            let what = format!("{:?} {} by {script:?}", upload.framing, upload.length);
            (upload.class, what, upload.encode(), script, leaves)
        };
        let kept = self.open.take();
        let reused = kept.is_some();
        let stream = match kept {
            Some(stream) => stream,
            None => self.connect()?,
        };
        let sent_at = Instant::now();
        let end = send_on(&stream, &message, &script, remaining + ANSWER_SLACK + LATE_ANSWER_WAIT);
        let closes = |answer: &peers::Message| {
            answer.header("connection") == Some("close")
                || (answer.header("content-length").is_none() && answer.header("transfer-encoding").is_none())
        };
        let keeps =
            end.written_at.is_some() && end.answer.as_ref().is_some_and(|(answer, _)| !closes(answer));
        self.open = (keeps && !leaves).then_some(stream);
        Some(Played { id, class, what, remaining, leaves, reused, sent_at, end })
    }

    fn connect(&mut self) -> Option<TcpStream> {
        let buffers = [None, None, Some(100_000), Some(208 * 1024), Some(1 << 20)];
        connect(self.node, pick(&mut self.random, &buffers)).ok()
    }

    fn upload(&mut self, id: &str, remaining: Duration) -> Upload {
        let random = &mut self.random;
        let framings = [
            UploadFraming::Length,
            UploadFraming::Chunks(8000),
            UploadFraming::Chunks(700),
            UploadFraming::OneChunk,
        ];
        let length = match random.random_range(0..20) {
            0..4 => random.random_range(1000..70_000),
            4..10 => BUFFERED_REQUEST_MAX_BYTES + random.random_range(0..20_000),
            10..17 => random.random_range(100_000..1_200_000),
            _ => random.random_range(2_500_000..4_900_000),
        };
        let (class, framing) = (pick(random, &["pay", "slip"]), pick(random, &framings));
        Upload { class, id: id.to_string(), remaining, framing, length, answered_in: None }
    }

    /// How the client writes, and whether it leaves.
    fn script(&mut self, length: usize) -> (Vec<WriteStep>, bool) {
        let random = &mut self.random;
        let some = random.random_range(0..length.min(800_000));
        match random.random_range(0..20) {
            0..9 => (Vec::new(), false),
            9..12 => {
                let interval = millis(random, 2..50);
                // 64 to 400 kB/s.
                let piece = random.random_range(64..400) * interval.as_millis() as usize;
                let bytes = some.min(piece * 40);
                (vec![WriteStep::WritePaced { bytes, piece, interval }], false)
            }
            12..14 => (vec![WriteStep::WriteAllBut(3), WriteStep::Pause(millis(random, 20..300))], false),
            14..17 => (vec![WriteStep::Write(some), WriteStep::Pause(millis(random, 50..400))], false),
            17 => (vec![WriteStep::Write(some), WriteStep::HalfClose], true),
            18 => (vec![WriteStep::WriteAllBut(0), WriteStep::HalfClose], true),
            _ => (vec![WriteStep::Write(some), WriteStep::Leave], true),
        }
    }
}

#[test]
fn uploads_and_long_responses_of_mixed_peers_get_their_final_answers() {
    play_seeds(SEEDS, CONCURRENCY, |seed| {
        let scenario = Scenario::new(seed);
        let summary = scenario.run().map_err(|words| format!("{words}\n{scenario:#?}"))?;
        println!("seed {seed}: {summary:?}");
        Ok(())
    });
}
