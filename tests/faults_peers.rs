//! Nodes that talk to each other while their system calls fail: signals, membership's datagrams, the fleet's frames.

mod peers;

use std::path::Path;
use std::time::{Duration, Instant};

use peers::faults::Faults;
use peers::load::{Load, Servers};
use peers::{
    config, host, ledger_file, magpietally, request, text, three_nodes, unused_path, wait_until, Client,
    Node, Registry, ScriptedServer,
};
use serde_json::json;

/// Faults that connections and datagrams between nodes have to bear.
const OF_SOCKETS: &str =
    "recv:EINTR:0.1;recv:short=3:0.2;recv:ENOMEM:0.02;send:EINTR:0.2;epoll_wait:EINTR:0.1;\
    accept4:ECONNABORTED:1:first=2;epoll_add:ENOMEM:1:first=2;connect:ENETUNREACH:1:first=2";

/// Signals are seen whatever becomes of the pipe that wakes the node for them.
#[test]
fn no_signal_is_lost_to_a_pipe_that_fails() {
    let server = ScriptedServer::healthy("a");
    let hosts = [host("s0", server.address, "active", 1)];
    for plan in [
        "send:EPIPE:1:on=local",
        "recv:EINTR:0.7:on=local;send:EINTR:0.3:on=local",
        "recv:EIO:1:on=local",
        "socketpair:EMFILE:1",
    ] {
        let (old, new) = (Registry::new(&hosts), Registry::new(&hosts));
        let mut told = config(old.address);
        let faults = Faults::new(plan, 11);
        let mut node = Node::with_faults(&told, &faults, &[]);
        told["discovery"] = json!(new.address.to_string());
        node.reload(&told.to_string());
        wait_until("the new service is called", || !new.calls().is_empty());
        assert_eq!(Client::to(&node).exchange(&request("look", "t1", 5000)).status(), 200, "{plan}");
        let told_at = Instant::now();
        node.terminate();
        assert_eq!(node.exit_code(), Some(0), "{plan}");
        assert!(told_at.elapsed() < Duration::from_millis(3700), "{plan}: {:?}", told_at.elapsed());
        faults.assert_injected();
    }
}

/// The second address answers, and two workers share the first, while calls fail.
#[test]
fn workers_and_the_second_address_serve_while_calls_fail() {
    let server = ScriptedServer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut told = config(registry.address);
    told["management"] = json!("127.0.0.1:0");
    let plan =
        "getsockopt:ENOBUFS:0.2;recv:EINTR:0.1;recv:short=5:0.2;writev:short=9:0.2;accept4:ECONNABORTED:0.2;\
        accept4:ENFILE:0.1;epoll_add:ENOMEM:0.1;pthread_create:EAGAIN:1:first=3";
    let faults = Faults::new(plan, 12);
    let mut node = Node::with_faults(&told, &faults, &["--workers", "2"]);
    for n in 0..60 {
        assert_eq!(Client::to(&node).exchange(&request("pay", &format!("t{n}"), 5000)).status(), 200);
        assert_eq!(node.management_call("GET", "/v1/readyz").status(), 200);
    }
    faults.assert_injected();
    node.terminate();
    assert_eq!(node.exit_code(), Some(0));
}

/// Where a member is. Each process that runs tests has a loopback address of its own.
fn member_at(number: usize) -> String {
    let process = std::process::id();
    format!("127.78.{}.{}:{}", process >> 8 & 255, process & 255, 7940 + number)
}

/// The membership's file of a node that knows one other.
fn membership_file(place: &Path, number: usize, seed: usize) -> String {
    std::fs::create_dir_all(place).expect("a directory");
    let file = place.join(format!("member-{number}.toml")).display().to_string();
    let text = format!("listen = \"{}\"\nseeds = [\"{}\"]\n", member_at(number), member_at(seed));
    std::fs::write(&file, text).expect("a file");
    file
}

/// Waits until the member of this number knows so many that are alive.
fn wait_for_members(number: usize, count: usize) {
    wait_until("they are alive", || {
        let view = text(&magpietally(&["members", "--at", &member_at(number)]).stdout);
        view.lines().filter(|line| line.ends_with(" alive")).count() == count
    });
}

#[test]
fn members_know_each_other_while_their_datagrams_calls_fail() {
    let server = ScriptedServer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let place = unused_path("faults-members");
    let plan = "recv:ENOMEM:1:first=2;recv:EINTR:0.3;send:ENOBUFS:1:first=2;send:EINTR:0.3";
    let nodes: Vec<(Node, Faults)> = (0..2)
        .map(|node| {
            let mut told = config(registry.address);
            told["name"] = json!(format!("m{node}"));
            let file = membership_file(&place, node, 1 - node);
            let faults = Faults::new(plan, 20 + node as u64);
            (Node::with_faults(&told, &faults, &["--membership", &file]), faults)
        })
        .collect();
    wait_for_members(0, 2);
    wait_for_members(1, 2);
    std::thread::sleep(Duration::from_secs(2));
    nodes.iter().for_each(|(_, faults)| faults.assert_injected());
}

#[test]
fn a_fleet_decides_while_the_calls_of_all_its_nodes_fail() {
    let place = unused_path("faults-frames");
    let server = ScriptedServer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let nodes: Vec<(Node, Faults)> = (0..3)
        .map(|node| {
            let faults = Faults::new(OF_SOCKETS, 30 + node as u64);
            let (told, file) = (three_nodes::config(&registry, node), three_nodes::file(&place, 0, node));
            (Node::listening_with_faults(&told, &faults, &["--fleet", &file]), faults)
        })
        .collect();
    nodes.iter().for_each(|(node, _)| node.wait_ready());
    wait_until("a document is taken", || {
        let _ = nodes[0].0.management_exchange(&three_nodes::proposal("# a new one\n"));
        nodes.iter().all(|(node, _)| node.logged("version 1, ready"))
    });
    for (node, faults) in &nodes {
        assert_eq!(
            Client::to(node).exchange(&request("look", &format!("t{}", node.address), 5000)).status(),
            200
        );
        faults.assert_injected();
    }
}

/// A ledger, the fleet's store and membership in one process: calls of all fail, writes come short, and a SIGKILL may leave half
/// a write. The next life takes up what the files hold. A fleet that can't agree for a while refuses what it gets meanwhile.
#[test]
fn a_node_with_ledger_fleet_and_membership_outlives_a_kill_while_calls_fail() {
    let place = unused_path("faults-together");
    let servers = Servers::new(2, Duration::from_millis(5));
    let registry = Registry::new(&servers.hosts());
    let plan = format!("{OF_SOCKETS};write:short=9:0.3:on=file;write:EINTR:0.1:on=file;open:EMFILE:0.1");
    let operators = ledger_file(&place, "process-crash");
    let start = |node: usize, seed: u64| {
        let faults = Faults::new(&plan, seed);
        let fleet = three_nodes::file(&place, 1, node);
        let membership = membership_file(&place, 10 + node, 10 + (node + 1) % 3);
        let mut args = vec!["--fleet", &fleet, "--membership", &membership];
        if node == 0 {
            args.extend(["--operators", &operators]);
        }
        (Node::listening_with_faults(&three_nodes::config(&registry, node), &faults, &args), faults)
    };
    let mut nodes: Vec<(Node, Faults)> = (0..3).map(|node| start(node, 40 + node as u64)).collect();
    nodes.iter().for_each(|(node, _)| node.wait_ready());
    let load = Load { clients: 8, span: Duration::from_millis(1000), ..Load::default() };
    for life in 0..2 {
        wait_until("a document is taken", || {
            let _ = nodes[0].0.management_exchange(&three_nodes::proposal(&format!("# number {life}\n")));
            nodes.iter().all(|(node, _)| node.logged(&format!("version {}, ready", life + 1)))
        });
        load.run(nodes[0].0.address, &servers).assert_no_violations(0.3);
        nodes[0].1.assert_injected();
        // While it writes down one more, which may be taken or not.
        let _ = nodes[0].0.management_exchange(&three_nodes::proposal("# one more\n"));
        nodes[0].0.kill();
        nodes[0] = start(0, 50 + life);
        nodes[0].0.wait_ready();
        wait_for_members(10, 3);
    }
    load.run(nodes[0].0.address, &servers).assert_no_violations(0.3);
    nodes[0].0.kill();
    let verified = magpietally(&["ledger", "verify", &place.join("ledger").display().to_string()]);
    assert_eq!(verified.status.code(), Some(0), "{}", text(&verified.stdout));
}
