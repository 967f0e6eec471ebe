//! Ends and starts at awkward moments.

mod peers;

use std::net::TcpListener;
use std::time::{Duration, Instant};

use peers::*;
use serde_json::json;

/// SIGTERM while one request is half read and one is at a server; then SIGTERM again. Each has its answer, nothing ran twice,
/// and the node ends in order.
#[test]
fn a_second_sigterm_cuts_nothing_off() {
    let server =
        ScriptedServer::new(|_| Reply::RespondAfter(Duration::from_millis(900), response(200, "", "served")));
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut node = Node::ready(&config(registry.address));
    let (mut out, mut half) = (Client::to(&node), Client::to(&node));
    out.send(&request("slip", "out", 15_000));
    wait_until("one is out", || server.requests().len() == 1);
    let words = request("slip", "half", 15_000);
    let (first, rest) = words.split_at(words.len() - 2);
    half.send(first);
    node.terminate();
    node.wait_stopping();
    node.terminate();
    half.send(rest);
    assert_eq!(out.receive().expect("what was out is answered").status(), 200);
    assert_eq!(half.receive().expect("what was half read is answered").status(), 200);
    assert_eq!(node.exit_code(), Some(0));
    assert_eq!(server.requests().len(), 2, "each ran once");
}

/// SIGTERM while a request is held, as there is no server for it, and while one waits for a connection: neither has run, and
/// both are told that they may come again.
#[test]
fn what_never_went_out_is_refused_at_the_end() {
    let (full, _fillers) = full_listener();
    let at = full.local_addr().expect("bound");
    for hosts in [vec![], vec![host("s0", at, "active", 1)]] {
        let registry = Registry::new(&hosts);
        let mut told_so = config(registry.address);
        told_so["settings"]["Limits"]["ConnectTimeout"] = json!(1000.0);
        let mut node = Node::ready(&told_so);
        let mut client = Client::to(&node);
        client.send(&request("slip", "t1", 15_000));
        node.terminate();
        let heard = client.receive().expect("an answer");
        assert_eq!((heard.status(), heard.header("retry-after").is_some()), (503, true), "{}", heard.head);
        assert_eq!(node.exit_code(), Some(0));
    }
}

/// SIGTERM while the list is half read, or discovery says nothing at all: the end does not wait for it.
#[test]
fn a_list_that_does_not_come_holds_up_no_end() {
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

/// A start while another process holds the address ends with a word, and takes nothing from the other; once that has ended
/// the address is free at once.
#[test]
fn a_start_while_the_address_is_held_fails_and_harms_nobody() {
    let server = ScriptedServer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut first = Node::ready(&config(registry.address));
    let mut told_so = config(registry.address);
    told_so["listen"] = json!(first.address.to_string());
    let (code, words) = run(&told_so);
    assert!(code == Some(1) && words.contains("listen: 127.0.0.1:"), "{code:?} {words}");
    assert!((0..20)
        .all(|n| Client::to(&first).exchange(&request("slip", &format!("t{n}"), 15_000)).status() == 200));
    first.kill();
    let second = Node::ready(&told_so);
    assert_eq!(Client::to(&second).exchange(&request("slip", "again", 15_000)).status(), 200);
}

/// A node that is killed and started again with its last list knows by it which servers are cold.
#[test]
fn a_node_that_is_killed_starts_from_its_list_alone() {
    let (a, b) = (ScriptedServer::healthy("a"), ScriptedServer::healthy("b"));
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970");
    let mut hosts = [host("s0", a.address, "active", 1), host("s1", b.address, "active", 1)];
    hosts[1]["born_ms"] = json!(now.as_secs_f64() * 1000.0 - 1000.0);
    let registry = Registry::new(&[]);
    registry.set_down(true);
    let mut told_so = config(registry.address);
    told_so["settings"]["Contract"]["WarmWithin"] = json!(600_000.0);
    told_so["known"] = json!({"seq": 41, "whole": true, "hosts": hosts});
    for life in 0..2 {
        let mut node = Node::ready(&told_so);
        let before = b.requests().len();
        for n in 0..60 {
            assert_eq!(Client::to(&node).exchange(&request("look", &format!("t{n}"), 15_000)).status(), 200);
        }
        let cold = b.requests().len() - before;
        assert!(cold < 20, "life {life}: {cold} of 60 went to the cold one");
        node.kill();
    }
}
