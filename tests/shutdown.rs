//! Shutdowns and starts at critical moments.

mod peers;

use std::net::TcpListener;
use std::time::{Duration, Instant};

use peers::*;
use serde_json::json;

/// SIGTERM while one request is half read and another is at a server, then a second SIGTERM: both get their
/// response, neither runs twice, and the node exits with 0.
#[test]
fn a_second_sigterm_aborts_no_request() {
    let server =
        ScriptedServer::new(|_| Reply::RespondAfter(Duration::from_millis(900), response(200, "", "served")));
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut node = Node::ready(&config(registry.address));
    let (mut out, mut partial) = (Client::to(&node), Client::to(&node));
    out.send(&request("slip", "out", 15_000));
    wait_until("one is out", || server.requests().len() == 1);
    let text = request("slip", "half", 15_000);
    let (first, rest) = text.split_at(text.len() - 2);
    partial.send(first);
    node.terminate();
    node.wait_stopping();
    node.terminate();
    partial.send(rest);
    assert_eq!(out.receive().expect("what was out is answered").status(), 200);
    assert_eq!(partial.receive().expect("what was half read is answered").status(), 200);
    assert_eq!(node.exit_code(), Some(0));
    assert_eq!(server.requests().len(), 2, "each ran once");
}

/// SIGTERM while a request is queued because there is no server, or waits for a connection: it has not run,
/// and is rejected with a `Retry-After`.
#[test]
fn requests_never_sent_are_rejected_at_shutdown() {
    let (full, _fillers) = full_listener();
    let at = full.local_addr().expect("bound");
    for hosts in [vec![], vec![host("s0", at, "active", 1)]] {
        let registry = Registry::new(&hosts);
        let mut node_config = config(registry.address);
        node_config["settings"]["Limits"]["ConnectTimeout"] = json!(1000.0);
        let mut node = Node::ready(&node_config);
        let mut client = Client::to(&node);
        client.send(&request("slip", "t1", 15_000));
        node.terminate();
        let received = client.receive().expect("an answer");
        assert_eq!(
            (received.status(), received.header("retry-after").is_some()),
            (503, true),
            "{}",
            received.head
        );
        assert_eq!(node.exit_code(), Some(0));
    }
}

/// SIGTERM while the list is half read or discovery does not respond: the shutdown does not wait for it.
#[test]
fn a_missing_list_does_not_delay_the_shutdown() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut node = Node::listening(&config(silent.local_addr().expect("bound")), None);
    let start = Instant::now();
    node.terminate();
    assert_eq!(node.exit_code(), Some(0));
    assert!(start.elapsed() < Duration::from_secs(10), "{:?}", start.elapsed());
    let registry = Registry::new(&[]);
    let mut node = Node::ready(&config(registry.address));
    registry.push_line(&"[".repeat(100_000));
    registry.go_silent();
    node.terminate();
    node.terminate();
    assert_eq!(node.exit_code(), Some(0));
}

/// A start while another process listens on the address fails with a message and does not affect that
/// process; once it has ended, the address is free at once.
#[test]
fn a_start_on_an_address_in_use_fails_and_does_not_affect_its_owner() {
    let server = ScriptedServer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut first = Node::ready(&config(registry.address));
    let mut node_config = config(registry.address);
    node_config["listen"] = json!(first.address.to_string());
    let (code, stderr) = run(&node_config);
    assert!(code == Some(1) && stderr.contains("listen: 127.0.0.1:"), "{code:?} {stderr}");
    assert!((0..20)
        .all(|n| Client::to(&first).exchange(&request("slip", &format!("t{n}"), 15_000)).status() == 200));
    first.kill();
    let second = Node::ready(&node_config);
    assert_eq!(Client::to(&second).exchange(&request("slip", "again", 15_000)).status(), 200);
}

/// A node that is killed and restarted with its saved list recognizes cold servers from that list.
#[test]
fn a_killed_node_recognizes_cold_servers_from_its_saved_list() {
    let (a, b) = (ScriptedServer::healthy("a"), ScriptedServer::healthy("b"));
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970");
    let mut hosts = [host("s0", a.address, "active", 1), host("s1", b.address, "active", 1)];
    hosts[1]["born_ms"] = json!(now.as_secs_f64() * 1000.0 - 1000.0);
    let registry = Registry::new(&[]);
    registry.set_down(true);
    let mut node_config = config(registry.address);
    node_config["settings"]["Contract"]["WarmWithin"] = json!(600_000.0);
    node_config["known"] = json!({"seq": 41, "whole": true, "hosts": hosts});
    for incarnation in 0..2 {
        let mut node = Node::ready(&node_config);
        let before = b.requests().len();
        for n in 0..60 {
            assert_eq!(Client::to(&node).exchange(&request("look", &format!("t{n}"), 15_000)).status(), 200);
        }
        let cold = b.requests().len() - before;
        assert!(cold < 20, "incarnation {incarnation}: {cold} of 60 went to the cold server");
        node.kill();
    }
}
