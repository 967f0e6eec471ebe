//! A fleet of nodes with membership, as processes on loopback with a fault-injecting relay between them.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::time::{Duration, Instant};

use magpietally_contracts::relay::DatagramRelay;
use serde_json::Value;

use super::faults::Faults;
use super::{config, host, response, wait_until, Node, Registry, Reply, ScriptedServer};

/// The time after a fault within which the views of all live nodes agree: a probe period, a suspicion of 9 s
/// at most, the rejoin of nodes declared dead, a few periods of dissemination, and an allowance for a busy
/// machine.
pub const AGREE_WITHIN: Duration = Duration::from_secs(40);

/// The id of a request that the server answers after [`SLOW_RESPONSE_AFTER`].
pub const SLOW_REQUEST: &str = "slow";
/// Longer than a node that was sent SIGTERM goes on.
const SLOW_RESPONSE_AFTER: Duration = Duration::from_secs(20);

/// A node in a view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    pub name: String,
    pub address: String,
    pub state: String,
}

/// The running nodes, each behind a frontend of the relay. Node `i` starts as `m{i}` at frontend `i`; spare
/// frontends are for nodes that are started later.
pub struct MemberFleet {
    pub relay: DatagramRelay,
    pub nodes: Vec<Option<Node>>,
    seed: u64,
    size: usize,
    /// The nodes' own sockets, which the relay forwards to.
    own: Vec<Option<SocketAddr>>,
    config: Value,
    _server: ScriptedServer,
    _registry: Registry,
}

impl MemberFleet {
    /// Starts `size` nodes; `spare` more frontends are left.
    pub fn new(seed: u64, size: usize, spare: usize) -> Self {
        let server = ScriptedServer::new(|request| match request.header("x-txn") {
            Some(SLOW_REQUEST) => Reply::RespondAfter(SLOW_RESPONSE_AFTER, response(200, "", "a")),
            _ => Reply::Respond(response(200, "", "a")),
        });
        let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
        let frontends = size + spare;
        let mut fleet = Self {
            relay: DatagramRelay::new(frontends, seed),
            nodes: (0..frontends).map(|_| None).collect(),
            seed,
            size,
            own: vec![None; frontends],
            config: config(registry.address),
            _server: server,
            _registry: registry,
        };
        for i in 0..size {
            fleet.start(i, &format!("m{i}"));
        }
        fleet
    }

    /// The path of the membership file of a node behind frontend `i`, which is written anew.
    pub fn file(&self, i: usize) -> String {
        let seeds = [0, 1]
            .iter()
            .filter(|&&s| s != i)
            .map(|&s| format!("\"{}\"", self.relay.frontend(s)))
            .collect::<Vec<_>>();
        let file = format!(
            "{}/membership-{}-{}-{i}.toml",
            env!("CARGO_TARGET_TMPDIR"),
            std::process::id(),
            self.seed
        );
        let text = format!(
            "listen = \"127.0.0.1:0\"\nadvertise = \"{}\"\nseeds = [{}]\nfleet_size = {}\n",
            self.relay.frontend(i),
            seeds.join(", "),
            self.size
        );
        std::fs::write(&file, text).expect("a file");
        file
    }

    /// The configuration of a node of this name.
    pub fn config(&self, name: &str) -> Value {
        let mut config = self.config.clone();
        config["name"] = Value::from(name);
        config
    }

    /// Starts a node of this name behind frontend `i`.
    pub fn start(&mut self, i: usize, name: &str) {
        let node = Node::with_args(&self.config(name), &["--membership", &self.file(i)]);
        self.attach(i, node);
    }

    /// Like [`MemberFleet::start`], with the node's wall clock off by `step_ms`.
    pub fn start_with_clock_step(&mut self, i: usize, name: &str, step_ms: i64) {
        let faults = Faults::new(&format!("clock:step={step_ms}:1"), 1);
        let node = Node::with_faults(&self.config(name), &faults, &["--membership", &self.file(i)]);
        self.attach(i, node);
    }

    /// Like [`MemberFleet::start`], with a listening socket that the node inherits and may share with others. A fifth of
    /// its reads of files fail.
    pub fn start_inheriting(&mut self, i: usize, name: &str, listener: &TcpListener) {
        let mut config = self.config(name);
        config["listen"] = Value::from(listener.local_addr().expect("bound").to_string());
        let faults = Faults::new("read:EIO:0.2:on=file", i as u64);
        let node = Node::inheriting_with_args(&config, listener, &faults, &["--membership", &self.file(i)]);
        self.attach(i, node);
        faults.assert_injected();
    }

    /// Puts a running node behind frontend `i`.
    pub fn attach(&mut self, i: usize, node: Node) {
        let mut own = None;
        wait_until("membership listens", || {
            own = node
                .logged_after("membership listens at ")
                .and_then(|rest| rest.split(' ').next()?.parse().ok());
            own.is_some()
        });
        self.relay.attach(i, own.expect("found"));
        self.own[i] = own;
        self.nodes[i] = Some(node);
    }

    /// Kills the node behind frontend `i` (SIGKILL).
    pub fn kill(&mut self, i: usize) {
        self.node(i).kill();
        self.nodes[i] = None;
    }

    /// The socket of the node behind frontend `i`.
    pub fn own(&self, i: usize) -> SocketAddr {
        self.own[i].expect("started")
    }

    /// Node `i`'s view, read from its own socket and not through the relay.
    pub fn view(&self, i: usize) -> Option<Vec<Listed>> {
        let text = query_view(self.own(i))?;
        let lines = text.lines().skip(1).filter(|line| !line.starts_with("datagrams:"));
        Some(lines.filter_map(parse_listed).collect())
    }

    /// The divisor of fleet-wide budgets that node `i` prints.
    pub fn budget_divisor(&self, i: usize) -> Option<u32> {
        let text = query_view(self.own(i))?;
        text.lines().next()?.rsplit(' ').next()?.parse().ok()
    }

    /// The views of all `live` nodes, for an assertion's message.
    pub fn views(&self, live: &[usize]) -> String {
        live.iter().map(|&i| format!("m{i}: {}\n", query_view(self.own(i)).unwrap_or_default())).collect()
    }

    /// Returns whether every `live` node sees all `live` nodes as alive and all `gone` nodes in the state
    /// `gone_as`.
    pub fn agree(&self, live: &[usize], gone: &[usize], gone_as: &str) -> bool {
        live.iter().all(|&i| {
            let Some(view) = self.view(i) else { return false };
            let state = |j: usize| {
                let name = format!("m{j}");
                view.iter().filter(|e| e.name == name).map(|e| e.state.clone()).collect::<Vec<_>>()
            };
            live.iter().all(|&j| state(j).iter().any(|s| s == "alive"))
                && gone.iter().all(|&j| {
                    let s = state(j);
                    !s.is_empty()
                        && s.iter().all(|s| s == gone_as || s == "dead" || s == "left")
                        && s.iter().any(|s| s == gone_as)
                })
        })
    }

    /// Waits until [`MemberFleet::agree`] holds; returns the time it took.
    pub fn wait_agree(&self, what: &str, live: &[usize], gone: &[usize], gone_as: &str) -> Duration {
        let start = Instant::now();
        while !self.agree(live, gone, gone_as) {
            assert!(
                start.elapsed() < AGREE_WITHIN,
                "the views did not agree within {AGREE_WITHIN:?}: {what}\n{}",
                self.views(live)
            );
            std::thread::sleep(Duration::from_millis(100));
        }
        start.elapsed()
    }

    /// The number of `live` nodes that see node `j` as dead.
    pub fn count_seen_dead(&self, live: &[usize], j: usize) -> usize {
        live.iter()
            .filter(|&&i| {
                self.view(i).is_some_and(|v| v.iter().any(|e| e.name == format!("m{j}") && e.state == "dead"))
            })
            .count()
    }

    /// The node behind frontend `i`, which must have been started.
    pub fn node(&mut self, i: usize) -> &mut Node {
        self.nodes[i].as_mut().expect("running")
    }
}

/// Queries a member's view by datagram.
pub fn query_view(at: SocketAddr) -> Option<String> {
    let socket = UdpSocket::bind("127.0.0.1:0").ok()?;
    socket.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    socket.send_to(&[0x51], at).ok()?;
    let mut buf = vec![0u8; 65_536];
    let (n, _) = socket.recv_from(&mut buf).ok()?;
    (n > 0 && buf[0] == 0x56).then(|| String::from_utf8_lossy(&buf[1..n]).into_owned())
}

fn parse_listed(line: &str) -> Option<Listed> {
    let words: Vec<&str> = line.split(' ').collect();
    let word = |n: usize| words.get(n).map(|w| w.to_string());
    Some(Listed { name: word(0)?, address: word(1)?, state: word(words.len() - 1)? })
}
