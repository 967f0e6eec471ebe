//! Sizes beyond those that the operators play: 1,024 nodes in the settings, 1,024 servers on the list, and all of them replaced
//! at once.

mod peers;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use peers::*;
use serde_json::{json, Value};

const COUNT: usize = 1024;
/// How long after a change of the list its sender may still see requests go by the old one, in service of the last that began.
const GRACE: Duration = Duration::from_millis(750);
const MEMORY_MB: usize = 32;

/// Servers that answer all requests, and how many each had.
struct Servers(Vec<(ScriptedServer, Arc<AtomicUsize>)>);

impl Servers {
    fn new() -> Self {
        let server = |_| {
            let served = Arc::new(AtomicUsize::new(0));
            let count = served.clone();
            let serve = move |m: &Message| {
                count.fetch_add(usize::from(m.path() != "/health"), Ordering::SeqCst);
                Reply::Respond(response(200, "", "done"))
            };
            (ScriptedServer::new(serve), served)
        };
        Self((0..COUNT).map(server).collect())
    }

    /// The list's entries, under names that begin so.
    fn hosts(&self, prefix: &str, health: &str) -> Vec<Value> {
        let entry = |(n, (peer, _)): (usize, &(ScriptedServer, _))| {
            host(&format!("{prefix}-{n}"), peer.address, health, n as u64)
        };
        self.0.iter().enumerate().map(entry).collect()
    }

    fn served(&self) -> Vec<usize> {
        self.0.iter().map(|(_, served)| served.load(Ordering::SeqCst)).collect()
    }
}

/// The node's settings with so many nodes.
fn settings(registry: &Registry, nodes: usize, sockets: usize) -> Value {
    let mut told = config(registry.address);
    told["management"] = json!("127.0.0.1:0");
    told["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": sockets});
    (told["settings"]["PeersTotal"], told["settings"]["Me"]) = (json!(nodes), json!(nodes - 1));
    told
}

/// Asks so often, one request after the other; all are served.
fn ask(client: &mut Client, times: usize, id: &str) {
    for n in 0..times {
        let heard = client.exchange(&request("look", &format!("{id}-{n}"), 15_000));
        assert_eq!((heard.status(), heard.body), (200, b"done".to_vec()), "{id}-{n}");
    }
}

/// Replaces all servers at once by others, a few times over, under names that were never there before.
fn replaced(nodes: usize, sockets: usize, rounds: usize) {
    let sides = [Servers::new(), Servers::new()];
    let registry = Registry::new(&sides[0].hosts("g0", "active"));
    let node = Node::ready(&settings(&registry, nodes, sockets));
    wait_until("all are known", || node.metric("app.known_servers") == COUNT as u64);
    let mut client = Client::to(&node);
    // As many as the node rotates over each have their turn.
    let rotated = (8 * COUNT).div_ceil(nodes).min(COUNT);
    let (mut most, mut after, mut slowest) = (0, Vec::new(), Duration::ZERO);
    for round in 0..=rounds {
        let (new, old) = (&sides[round % 2], &sides[(round + 1) % 2]);
        if round > 0 {
            let hosts = new.hosts(&format!("g{round}"), "active");
            let left = old.hosts(&format!("g{}", round - 1), "left");
            registry.publish(1 + round as u64, &hosts, &[hosts.clone(), left].concat());
            let told = Instant::now();
            let before: usize = new.served().iter().sum();
            while new.served().iter().sum::<usize>() == before {
                ask(&mut client, 1, &format!("change-{round}-{}", told.elapsed().as_micros()));
                assert!(told.elapsed() < GRACE, "round {round}: the old ones yet after {:?}", told.elapsed());
            }
            slowest = slowest.max(told.elapsed());
        }
        let (gone, begun) = (old.served(), new.served());
        ask(&mut client, 2 * rotated, &format!("round-{round}"));
        assert_eq!(old.served(), gone, "round {round}: one that left was asked");
        let turns = new.served().iter().zip(&begun).filter(|(now, before)| now > before).count();
        assert!(turns >= rotated * 9 / 10, "round {round}: {turns} of {rotated} had a turn");
        assert_eq!(node.metric("app.known_servers"), COUNT as u64);
        most = most.max(node.memory_kib());
        after.push(node.memory_kib());
    }
    eprintln!(
        "{nodes} nodes, {COUNT} servers: over to the new in {slowest:?}; KiB after each round: {after:?}"
    );
    assert!(most < MEMORY_MB * 1024, "{most} KiB at the most");
    // The first replacements hold old and new at once, and leave the heap in pieces that the later ones find; what those add is
    // growth.
    assert!(after[rounds] < after[rounds / 2] + 1024, "it grows: KiB after each round {after:?}");
}

#[test]
fn one_of_1024_nodes_goes_over_to_1024_other_servers_and_its_memory_stays() {
    replaced(COUNT, 256, 8);
}

#[test]
fn one_node_alone_rotates_over_1024_servers_and_over_1024_others() {
    replaced(1, 1024, 8);
}

/// Node `n` of the fleet, that is only heard of: a name of some length, and an address of its own.
fn far(n: usize) -> (String, [u8; 4]) {
    (format!("a-node-of-a-fleet-that-has-many-others-{n:04}"), [127, 9, (n / 250) as u8, (n % 250) as u8 + 1])
}

/// The datagram by which a node asks to join: its identity and incarnation, the address that it asks, and what it is.
fn announces(n: usize, to: SocketAddr) -> Vec<u8> {
    let (name, ip) = far(n);
    let SocketAddr::V4(to) = to else { panic!("membership is on IPv4") };
    let mut bytes = [&[0x53][..], &ip, &7946u16.to_be_bytes(), &1u32.to_be_bytes()].concat();
    bytes.push(name.len() as u8);
    bytes.extend([name.as_bytes(), &[0, 0], &to.ip().octets(), &to.port().to_be_bytes()].concat());
    bytes.extend([0, 0, 0, 0, 0, 6]);
    bytes
}

/// All that an installation may switch on knows a fleet of 1,024: seeds, members, peers and the list.
#[test]
fn a_node_with_membership_and_a_fleet_of_1024_comes_up_and_names_them_all() {
    let folder = unused_path("sizes");
    std::fs::create_dir_all(folder.join("store")).expect("a directory");
    let at = |n: usize, port: u16| {
        let [a, b, c, d] = far(n).1;
        format!("{a}.{b}.{c}.{d}:{port}")
    };
    let seeds: String = (1..COUNT).map(|n| format!("  {:?},\n", at(n, 7946))).collect();
    let membership = format!("listen = \"127.0.0.1:0\"\nfleet_size = {COUNT}\nseeds = [\n{seeds}]\n");
    let peer = |n: usize| {
        let (name, udp, tcp) = (far(n).0, at(n, 7950), at(n, 7951));
        format!("[peers.{name}]\ndatagrams = {udp:?}\nstreams = {tcp:?}\n")
    };
    let fleet = format!(
        "fleet = \"f\"\nvoters = [{:?}, {:?}, {:?}]\nstore = {:?}\ndatagrams = \"127.0.0.1:0\"\nstreams = \
         \"127.0.0.1:0\"\n{}",
        far(1).0,
        far(2).0,
        far(3).0,
        folder.join("store"),
        (1..COUNT).map(peer).collect::<String>()
    );
    let (first, second) = (folder.join("membership.toml"), folder.join("fleet.toml"));
    std::fs::write(&first, membership).expect("a file");
    std::fs::write(&second, fleet).expect("a file");
    let server = ScriptedServer::healthy("a");
    let entry = |n| host(&format!("s-{n}"), server.address, "active", 1);
    let registry = Registry::new(&(0..COUNT).map(entry).collect::<Vec<_>>());
    let args =
        [("--membership", first), ("--fleet", second)].map(|(a, f)| [a.into(), f.display().to_string()]);
    let args = args.concat();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    // It has no lease, as nobody votes, and so is not ready.
    let node = Node::listening_with_args(&settings(&registry, COUNT, 256), &args);
    wait_until("all servers are known", || node.metric("app.known_servers") == COUNT as u64);
    let word = node.logged_after("membership listens at ").expect("it listens");
    let own: SocketAddr = word.split(' ').next().and_then(|a| a.parse().ok()).expect("an address");
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    let mut told = String::new();
    let missing = |told: &str| -> Vec<usize> {
        (1..COUNT).filter(|n| told.lines().filter(|l| l.starts_with(&far(*n).0)).count() != 1).collect()
    };
    wait_until("all are members", || {
        // Some at a time, as a socket's buffer holds them.
        for n in missing(&told).iter().take(100) {
            socket.send_to(&announces(*n, own), own).expect("sent");
        }
        let out = magpietally(&["members", "--at", &own.to_string()]);
        assert!(out.status.success(), "{}", text(&out.stderr));
        told = text(&out.stdout);
        missing(&told).is_empty()
    });
    let lines: Vec<&str> = told.lines().collect();
    assert_eq!(lines.len(), COUNT + 2, "the node itself, a line before and a line after");
    assert!(told.len() > 65_507, "more than one datagram can hold: {}", told.len());
    assert!(lines[COUNT + 1].starts_with("datagrams: "), "{}", lines[COUNT + 1]);
    let most = node.memory_kib();
    eprintln!("with membership and a fleet of {COUNT}: {most} KiB");
    assert!(most < MEMORY_MB * 1024, "{most} KiB");
}
