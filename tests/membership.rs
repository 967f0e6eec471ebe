//! Nodes that know each other: five processes of the program on loopback, a fault-injecting relay between them, and
//! kill -9, SIGSTOP and restarts. Every bound below is stated in docs/operate/membership.md.

mod peers;

use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use magpietally_contracts::relay::{DatagramLink, DatagramRelay};
use peers::*;
use serde_json::Value;

const N: usize = 5;
/// Within this long after a fault every live node's view agrees: a probe period to be probed, a suspicion of 9 s at most,
/// the rejoin of who was taken for dead, a few periods to spread, and room for a busy machine.
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
        // One front more than nodes, for a node that comes later.
        let relay = DatagramRelay::new(N + 1, seed);
        let mut fleet = Self {
            seed,
            relay,
            nodes: (0..N).map(|_| None).collect(),
            own: Vec::new(),
            config,
            _server: server,
            _registry: registry,
        };
        for i in 0..N {
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
            "listen = \"127.0.0.1:0\"\nadvertise = \"{}\"\nseeds = [{}]\nfleet_size = {N}\n",
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

    /// Node `i`'s view: name to state, straight from its own socket, not through the relay.
    fn view(&self, i: usize) -> Option<Vec<(String, String)>> {
        let text = ask(self.own[i])?;
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

    /// What each of `live` prints of its view, for a miss.
    fn views(&self, live: &[usize]) -> String {
        live.iter().map(|&i| format!("m{i}: {}\n", ask(self.own[i]).unwrap_or_default())).collect()
    }

    /// Whether every node of `live` takes each of `live` for alive and each of `gone` for `gone_as`.
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

    /// How many of `live` take node `j` for dead now.
    fn dead_to(&self, live: &[usize], j: usize) -> usize {
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

fn ask(at: SocketAddr) -> Option<String> {
    let socket = UdpSocket::bind("127.0.0.1:0").ok()?;
    socket.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    socket.send_to(&[0x51], at).ok()?;
    let mut buf = vec![0u8; 65_536];
    let (n, _) = socket.recv_from(&mut buf).ok()?;
    (n > 0 && buf[0] == 0x56).then(|| String::from_utf8_lossy(&buf[1..n]).into_owned())
}

const ALL: [usize; N] = [0, 1, 2, 3, 4];

#[test]
fn a_fleet_agrees_after_kills_pauses_cuts_and_restarts() {
    let mut f = Fleet::new(11);
    f.wait_agree("the start", &ALL, &[], "dead");

    // A pause of 5 s (SIGSTOP): nobody declares it dead meanwhile, and it is alive to all after.
    f.node(3).pause(true);
    let paused = Instant::now();
    while paused.elapsed() < Duration::from_secs(5) {
        assert_eq!(
            f.dead_to(&[0, 1, 2, 4], 3),
            0,
            "declared dead {:?} into a pause of 5 s",
            paused.elapsed()
        );
        std::thread::sleep(Duration::from_millis(200));
    }
    f.node(3).pause(false);
    f.wait_agree("after a pause of 5 s", &ALL, &[], "dead");

    // kill -9: dead to all others.
    f.node(4).kill();
    f.nodes[4] = None;
    let took = f.wait_agree("after a kill", &[0, 1, 2, 3], &[4], "dead");
    eprintln!("a killed node was dead to all within {took:?}");

    // A restart under the old name: alive to all again.
    f.start(4, "m4");
    f.wait_agree("after a restart under the old name", &ALL, &[], "dead");

    // Two and three cut apart both ways: each side sees the other dead; after the heal all agree.
    f.relay.partition(&[0, 1], &[2, 3, 4]);
    f.wait_agree("side one of a cut", &[0, 1], &[2, 3, 4], "dead");
    f.wait_agree("side two of a cut", &[2, 3, 4], &[0, 1], "dead");
    f.relay.heal();
    f.wait_agree("after the heal", &ALL, &[], "dead");

    // A link that works one way, and 30% loss with duplicates and delay on all: no death that lasts.
    f.relay.set_link(0, 1, DatagramLink { cut: true, ..DatagramLink::default() });
    f.relay.set_default_link(DatagramLink {
        drop_share: 0.3,
        duplicate_share: 0.1,
        delay: Duration::from_millis(20),
        cut: false,
    });
    std::thread::sleep(Duration::from_secs(10));
    f.relay.heal();
    f.wait_agree("after a one-way link and 30% loss", &ALL, &[], "dead");
    let (passed, dropped) = f.relay.counts();
    assert!(passed > 0 && dropped > 0, "the relay passed {passed} and dropped {dropped}");

    // SIGTERM: the node leaves, and is counted out as left, not dead.
    f.node(2).terminate();
    f.wait_agree("after a leave", &[0, 1, 3, 4], &[2], "left");
}

#[test]
fn bent_datagrams_are_counted_and_a_second_node_under_a_taken_name_stops() {
    let mut f = Fleet::new(12);
    f.wait_agree("the start", &ALL, &[], "dead");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let mut bent =
        vec![vec![], vec![0x53], vec![0x53, 1, 2, 3], vec![0x4c, 0xff], vec![0x99; 40], vec![0x53; 2000]];
    bent.push(vec![0x51, 0]);
    for d in &bent {
        socket.send_to(d, f.own[1]).expect("sent");
    }
    wait_until("the bent datagrams are counted", || {
        ask(f.own[1]).is_some_and(|t| t.lines().last().is_some_and(|l| !l.contains(" 0 malformed")))
    });
    f.wait_agree("after bent datagrams", &ALL, &[], "dead");

    // Node 4's name taken by one more process, started later at another address, through the same relay.
    f.start(N, "m4");
    let start = Instant::now();
    let status = loop {
        if let Some(status) = f.node(N).exit_status() {
            break status;
        }
        assert!(start.elapsed() < AGREE_WITHIN, "a node under a taken name went on");
        std::thread::sleep(Duration::from_millis(100));
    };
    assert_eq!(status.code(), Some(1));
    assert!(f.node(N).logged("the name m4 is taken by the node at"), "no clear error");
    assert!(f.node(4).exit_status().is_none(), "the first node under the name ended");
}
