//! Failing system calls under signals, membership's datagrams and the fleet's frames.

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

/// Faults of connections and datagrams between nodes.
const SOCKET_FAULTS: &str =
    "recv:EINTR:0.1;recv:short=3:0.2;recv:ENOMEM:0.02;send:EINTR:0.2;epoll_wait:EINTR:0.1;\
    accept4:ECONNABORTED:1:first=2;epoll_add:ENOMEM:1:first=2;connect:ENETUNREACH:1:first=2";

/// Signals are handled even if the pipe that wakes the node for them fails.
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
        let mut node_config = config(old.address);
        let faults = Faults::new(plan, 11);
        let mut node = Node::with_faults(&node_config, &faults, &[]);
        node_config["discovery"] = json!(new.address.to_string());
        node.reload(&node_config.to_string());
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
    let mut node_config = config(registry.address);
    node_config["management"] = json!("127.0.0.1:0");
    let plan =
        "getsockopt:ENOBUFS:0.2;recv:EINTR:0.1;recv:short=5:0.2;writev:short=9:0.2;accept4:ECONNABORTED:0.2;\
        accept4:ENFILE:0.1;epoll_add:ENOMEM:0.1;pthread_create:EAGAIN:1:first=3";
    let faults = Faults::new(plan, 12);
    let mut node = Node::with_faults(&node_config, &faults, &["--workers", "2"]);
    for n in 0..60 {
        assert_eq!(Client::to(&node).exchange(&request("pay", &format!("t{n}"), 5000)).status(), 200);
        assert_eq!(node.management_call("GET", "/v1/readyz").status(), 200);
    }
    faults.assert_injected();
    node.terminate();
    assert_eq!(node.exit_code(), Some(0));
}

/// The address of a member. Each test process uses a loopback address of its own.
fn member_address(number: usize) -> String {
    let process = std::process::id();
    format!("127.78.{}.{}:{}", process >> 8 & 255, process & 255, 7940 + number)
}

/// Writes the membership file of a node with one seed; returns the file's path.
fn membership_file(directory: &Path, number: usize, seed: usize) -> String {
    std::fs::create_dir_all(directory).expect("a directory");
    let file = directory.join(format!("member-{number}.toml")).display().to_string();
    let text = format!("listen = \"{}\"\nseeds = [\"{}\"]\n", member_address(number), member_address(seed));
    std::fs::write(&file, text).expect("a file");
    file
}

/// Waits until the member of this number reports `count` members as alive.
fn wait_for_members(number: usize, count: usize) {
    wait_until("they are alive", || {
        let view = text(&magpietally(&["members", "--at", &member_address(number)]).stdout);
        view.lines().filter(|line| line.ends_with(" alive")).count() == count
    });
}

#[test]
fn members_find_each_other_while_datagram_calls_fail() {
    let server = ScriptedServer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let directory = unused_path("faults-members");
    let plan = "recv:ENOMEM:1:first=2;recv:EINTR:0.3;send:ENOBUFS:1:first=2;send:EINTR:0.3";
    let nodes: Vec<(Node, Faults)> = (0..2)
        .map(|node| {
            let mut node_config = config(registry.address);
            node_config["name"] = json!(format!("m{node}"));
            let file = membership_file(&directory, node, 1 - node);
            let faults = Faults::new(plan, 20 + node as u64);
            (Node::with_faults(&node_config, &faults, &["--membership", &file]), faults)
        })
        .collect();
    wait_for_members(0, 2);
    wait_for_members(1, 2);
    std::thread::sleep(Duration::from_secs(2));
    nodes.iter().for_each(|(_, faults)| faults.assert_injected());
}

#[test]
fn a_fleet_decides_while_system_calls_of_all_nodes_fail() {
    let directory = unused_path("faults-frames");
    let server = ScriptedServer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let nodes: Vec<(Node, Faults)> = (0..3)
        .map(|node| {
            let faults = Faults::new(SOCKET_FAULTS, 30 + node as u64);
            let (node_config, file) =
                (three_nodes::config(&registry, node), three_nodes::file(&directory, 0, node));
            (Node::listening_with_faults(&node_config, &faults, &["--fleet", &file]), faults)
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

/// A ledger, the fleet's store and membership in one process: calls of all fail, writes are short, and a
/// SIGKILL may leave a partial write. The restarted node recovers from its files. A fleet that can't agree
/// for a while rejects requests meanwhile.
#[test]
fn a_node_with_ledger_fleet_and_membership_survives_a_kill_while_calls_fail() {
    let directory = unused_path("faults-together");
    let servers = Servers::new(2, Duration::from_millis(5));
    let registry = Registry::new(&servers.hosts());
    let plan = format!("{SOCKET_FAULTS};write:short=9:0.3:on=file;write:EINTR:0.1:on=file;open:EMFILE:0.1");
    let operators = ledger_file(&directory, "process-crash");
    let start = |node: usize, seed: u64| {
        let faults = Faults::new(&plan, seed);
        let fleet = three_nodes::file(&directory, 1, node);
        let membership = membership_file(&directory, 10 + node, 10 + (node + 1) % 3);
        let mut args = vec!["--fleet", &fleet, "--membership", &membership];
        if node == 0 {
            args.extend(["--operators", &operators]);
        }
        (Node::listening_with_faults(&three_nodes::config(&registry, node), &faults, &args), faults)
    };
    let mut nodes: Vec<(Node, Faults)> = (0..3).map(|node| start(node, 40 + node as u64)).collect();
    nodes.iter().for_each(|(node, _)| node.wait_ready());
    let load = Load { clients: 8, span: Duration::from_millis(1000), ..Load::default() };
    for incarnation in 0..2 {
        wait_until("a document is taken", || {
            let _ =
                nodes[0].0.management_exchange(&three_nodes::proposal(&format!("# number {incarnation}\n")));
            nodes.iter().all(|(node, _)| node.logged(&format!("version {}, ready", incarnation + 1)))
        });
        load.run(nodes[0].0.address, &servers).assert_no_violations(0.3);
        nodes[0].1.assert_injected();
        // The kill comes while the node stores one more document, which may be accepted or not.
        let _ = nodes[0].0.management_exchange(&three_nodes::proposal("# one more\n"));
        nodes[0].0.kill();
        nodes[0] = start(0, 50 + incarnation);
        nodes[0].0.wait_ready();
        wait_for_members(10, 3);
    }
    load.run(nodes[0].0.address, &servers).assert_no_violations(0.3);
    nodes[0].0.kill();
    let verified = magpietally(&["ledger", "verify", &directory.join("ledger").display().to_string()]);
    assert_eq!(verified.status.code(), Some(0), "{}", text(&verified.stdout));
}
