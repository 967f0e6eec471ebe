//! Membership of five nodes on loopback with a fault-injecting relay between them, under kill -9, SIGSTOP and
//! restarts. Every bound below is stated in docs/operate/membership.md.

mod peers;

use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use magpietally_contracts::relay::{DatagramLink, DatagramRelay};
use peers::*;
use serde_json::Value;

const NODES: usize = 5;
/// The time after a fault within which the views of all live nodes agree: a probe period, a suspicion of 9 s
/// at most, the rejoin of nodes declared dead, a few periods of dissemination, and an allowance for a busy
/// machine.
const AGREE_WITHIN: Duration = Duration::from_secs(40);

struct Fleet {
    seed: u64,
    relay: DatagramRelay,
    nodes: Vec<Option<Node>>,
    own: Vec<SocketAddr>,
    config: Value,
    _server: ScriptedServer,
    _registry: Registry,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let server = ScriptedServer::healthy("a");
        let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
        let config = config(registry.address);
        // One more front than nodes, for a node that joins later.
        let relay = DatagramRelay::new(NODES + 1, seed);
        let mut fleet = Self {
            seed,
            relay,
            nodes: (0..NODES).map(|_| None).collect(),
            own: Vec::new(),
            config,
            _server: server,
            _registry: registry,
        };
        for i in 0..NODES {
            fleet.start(i, &format!("m{i}"));
        }
        fleet
    }

    fn file(&self, i: usize) -> String {
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
            "listen = \"127.0.0.1:0\"\nadvertise = \"{}\"\nseeds = [{}]\nfleet_size = {NODES}\n",
            self.relay.frontend(i),
            seeds.join(", ")
        );
        std::fs::write(&file, text).expect("a file");
        file
    }

    fn start(&mut self, i: usize, name: &str) -> SocketAddr {
        let mut config = self.config.clone();
        config["name"] = Value::from(name);
        let node = Node::with_args(&config, &["--membership", &self.file(i)]);
        let mut own = None;
        wait_until("membership listens", || {
            own = node
                .logged_after("membership listens at ")
                .and_then(|rest| rest.split(' ').next()?.parse().ok());
            own.is_some()
        });
        let own = own.expect("found");
        self.relay.attach(i, own);
        if self.own.len() <= i {
            self.own.push(own);
            self.nodes.push(None);
        } else {
            self.own[i] = own;
        }
        self.nodes[i] = Some(node);
        own
    }

    /// Node `i`'s view as names and states, read from its own socket and not through the relay.
    fn view(&self, i: usize) -> Option<Vec<(String, String)>> {
        let text = query_view(self.own[i])?;
        Some(
            text.lines()
                .skip(1)
                .filter(|l| !l.starts_with("datagrams:"))
                .filter_map(|l| {
                    let words: Vec<&str> = l.split(' ').collect();
                    Some((words.first()?.to_string(), words.last()?.to_string()))
                })
                .collect(),
        )
    }

    /// The views of all `live` nodes, for an assertion's message.
    fn views(&self, live: &[usize]) -> String {
        live.iter().map(|&i| format!("m{i}: {}\n", query_view(self.own[i]).unwrap_or_default())).collect()
    }

    /// Returns whether every `live` node sees all `live` nodes as alive and all `gone` nodes in the state
    /// `gone_as`.
    fn agree(&self, live: &[usize], gone: &[usize], gone_as: &str) -> bool {
        live.iter().all(|&i| {
            let Some(view) = self.view(i) else { return false };
            let state = |j: usize| {
                view.iter().filter(|(n, _)| *n == format!("m{j}")).map(|(_, s)| s.clone()).collect::<Vec<_>>()
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

    fn wait_agree(&self, what: &str, live: &[usize], gone: &[usize], gone_as: &str) -> Duration {
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
    fn count_seen_dead(&self, live: &[usize], j: usize) -> usize {
        live.iter()
            .filter(|&&i| {
                self.view(i).is_some_and(|v| v.iter().any(|(n, s)| *n == format!("m{j}") && s == "dead"))
            })
            .count()
    }

    fn node(&mut self, i: usize) -> &mut Node {
        self.nodes[i].as_mut().expect("running")
    }
}

/// Queries a member's view by datagram.
fn query_view(at: SocketAddr) -> Option<String> {
    let socket = UdpSocket::bind("127.0.0.1:0").ok()?;
    socket.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    socket.send_to(&[0x51], at).ok()?;
    let mut buf = vec![0u8; 65_536];
    let (n, _) = socket.recv_from(&mut buf).ok()?;
    (n > 0 && buf[0] == 0x56).then(|| String::from_utf8_lossy(&buf[1..n]).into_owned())
}

const ALL: [usize; NODES] = [0, 1, 2, 3, 4];

#[test]
fn a_fleet_agrees_after_kills_pauses_partitions_and_restarts() {
    let mut fleet = Fleet::new(11);
    fleet.wait_agree("the start", &ALL, &[], "dead");

    // A pause of 5 s (SIGSTOP): no node declares it dead meanwhile, and all see it as alive afterwards.
    fleet.node(3).pause(true);
    let paused = Instant::now();
    while paused.elapsed() < Duration::from_secs(5) {
        assert_eq!(
            fleet.count_seen_dead(&[0, 1, 2, 4], 3),
            0,
            "declared dead {:?} into a pause of 5 s",
            paused.elapsed()
        );
        std::thread::sleep(Duration::from_millis(200));
    }
    fleet.node(3).pause(false);
    fleet.wait_agree("after a pause of 5 s", &ALL, &[], "dead");

    // kill -9: all others see the node as dead.
    fleet.node(4).kill();
    fleet.nodes[4] = None;
    let took = fleet.wait_agree("after a kill", &[0, 1, 2, 3], &[4], "dead");
    eprintln!("a killed node was dead to all within {took:?}");

    // A restart under the old name: all see it as alive again.
    fleet.start(4, "m4");
    fleet.wait_agree("after a restart under the old name", &ALL, &[], "dead");

    // A partition into two and three nodes: each side sees the other as dead; after it heals all agree.
    fleet.relay.partition(&[0, 1], &[2, 3, 4]);
    fleet.wait_agree("side one of a cut", &[0, 1], &[2, 3, 4], "dead");
    fleet.wait_agree("side two of a cut", &[2, 3, 4], &[0, 1], "dead");
    fleet.relay.heal();
    fleet.wait_agree("after the heal", &ALL, &[], "dead");

    // A link that works one way, and 30% loss with duplicates and delay on all links: no node stays declared
    // dead.
    fleet.relay.set_link(0, 1, DatagramLink { cut: true, ..DatagramLink::default() });
    fleet.relay.set_default_link(DatagramLink {
        drop_share: 0.3,
        duplicate_share: 0.1,
        delay: Duration::from_millis(20),
        cut: false,
    });
    std::thread::sleep(Duration::from_secs(10));
    fleet.relay.heal();
    fleet.wait_agree("after a one-way link and 30% loss", &ALL, &[], "dead");
    let (passed, dropped) = fleet.relay.counts();
    assert!(passed > 0 && dropped > 0, "the relay passed {passed} and dropped {dropped}");

    // SIGTERM: the node leaves, and is seen as left, not dead.
    fleet.node(2).terminate();
    fleet.wait_agree("after a leave", &[0, 1, 3, 4], &[2], "left");
}

#[test]
fn malformed_datagrams_are_counted_and_a_second_node_with_a_name_in_use_exits() {
    let mut fleet = Fleet::new(12);
    fleet.wait_agree("the start", &ALL, &[], "dead");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let mut malformed =
        vec![vec![], vec![0x53], vec![0x53, 1, 2, 3], vec![0x4c, 0xff], vec![0x99; 40], vec![0x53; 2000]];
    malformed.push(vec![0x51, 0]);
    for datagram in &malformed {
        socket.send_to(datagram, fleet.own[1]).expect("sent");
    }
    wait_until("the malformed datagrams are counted", || {
        query_view(fleet.own[1])
            .is_some_and(|t| t.lines().last().is_some_and(|l| !l.contains(" 0 malformed")))
    });
    fleet.wait_agree("after malformed datagrams", &ALL, &[], "dead");

    // Another process starts later with node 4's name, at another address and through the same relay.
    fleet.start(NODES, "m4");
    let start = Instant::now();
    let status = loop {
        if let Some(status) = fleet.node(NODES).exit_status() {
            break status;
        }
        assert!(start.elapsed() < AGREE_WITHIN, "a node under a taken name went on");
        std::thread::sleep(Duration::from_millis(100));
    };
    assert_eq!(status.code(), Some(1));
    assert!(fleet.node(NODES).logged("the name m4 is taken by the node at"), "no clear error");
    assert!(fleet.node(4).exit_status().is_none(), "the first node under the name ended");
}
