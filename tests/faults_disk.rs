//! Failing disks and stepped wall clocks: the configuration file, the ledger, the fleet's store.

mod peers;

use std::time::{Duration, Instant};

use peers::faults::Faults;
use peers::load::{Load, Servers};
use peers::three_nodes;
use peers::{
    config, host, ledger_file, magpietally, request, response, text, unused_path, wait_until, Client, Node,
    Registry, Reply, ScriptedServer,
};
use serde_json::json;

const HOUR_MS: i64 = 3_600_000;

/// A new configuration takes effect within 4 s of its signal, even if its file can't be read at first.
#[test]
fn an_unreadable_configuration_is_read_again() {
    let server = ScriptedServer::healthy("a");
    let hosts = [host("s0", server.address, "active", 1)];
    let (old, new) = (Registry::new(&hosts), Registry::new(&hosts));
    let mut node_config = config(old.address);
    let faults = Faults::switched_off("open:EIO:1;open:EMFILE:1", 3);
    let node = Node::with_faults(&node_config, &faults, &[]);
    node_config["discovery"] = json!(new.address.to_string());
    faults.switch(true);
    let signalled = Instant::now();
    node.reload(&node_config.to_string());
    wait_until("the file could not be read", || faults.counts().first().is_some_and(|count| *count >= 3));
    faults.switch(false);
    wait_until("the new service is called", || !new.calls().is_empty());
    assert!(signalled.elapsed() < Duration::from_secs(4), "{:?}", signalled.elapsed());
    assert_eq!(Client::to(&node).exchange(&request("look", "t1", 5000)).status(), 200);
}

/// While the disk fails, requests that need an intent are rejected and all others served; afterwards all are
/// served, and the ledger is intact, also after a SIGKILL.
#[test]
fn a_transient_failure_of_the_ledgers_disk_causes_rejections_and_loses_no_record() {
    let directory = unused_path("faults-ledger");
    let operators = ledger_file(&directory, "power-loss");
    let servers = Servers::new(2, Duration::from_millis(5));
    let registry = Registry::new(&servers.hosts());
    let plan = "write:ENOSPC:0.2:on=file;write:short=7:0.3:on=file;sync:EIO:0.2";
    let faults = Faults::switched_off(plan, 5);
    let mut node = Node::with_faults(&config(registry.address), &faults, &["--operators", &operators]);
    let load = Load { clients: 8, span: Duration::from_millis(1500), ..Load::default() };
    faults.switch(true);
    // After a failed write the ledger pauses for seconds, during which it syncs nothing.
    wait_until("each fault has come", || {
        load.run(node.address, &servers).assert_no_violations(0.3);
        faults.all_injected()
    });
    faults.switch(false);
    wait_until("the disk is back", || {
        Client::to(&node).exchange(&request("slip", "back", 5000)).status() == 200
    });
    load.run(node.address, &servers).assert_no_violations(0.99);
    node.kill();
    let ledger = directory.join("ledger").display().to_string();
    let verified = magpietally(&["ledger", "verify", &ledger]);
    assert_eq!(verified.status.code(), Some(0), "{}", text(&verified.stdout));
    let node = Node::with_args(&config(registry.address), &["--operators", &operators]);
    load.run(node.address, &servers).assert_no_violations(0.99);
}

/// The ledger's directory may fail transiently at the start.
#[test]
fn a_ledger_begins_once_its_disk_works() {
    let directory = unused_path("faults-ledger-start");
    let operators = ledger_file(&directory, "power-loss");
    let servers = Servers::new(1, Duration::ZERO);
    let registry = Registry::new(&servers.hosts());
    for plan in
        ["open:EIO:1:first=5", "write:ENOSPC:1:first=3:on=file", "sync:EIO:1:first=3", "rename:EIO:1:first=2"]
    {
        let _ = std::fs::remove_dir_all(directory.join("ledger"));
        let faults = Faults::new(plan, 5);
        let node = Node::with_faults(&config(registry.address), &faults, &["--operators", &operators]);
        faults.assert_injected();
        wait_until(plan, || Client::to(&node).exchange(&request("slip", "first", 5000)).status() == 200);
    }
}

/// Requests in progress when a node was killed are not sent again, whatever the wall clock says after its
/// restart.
#[test]
fn a_stepped_wall_clock_releases_no_key_and_no_id() {
    let directory = unused_path("faults-clock");
    let operators = ledger_file(&directory, "power-loss");
    let args = ["--operators", operators.as_str()];
    let silent = ScriptedServer::new(|_| Reply::NoResponse);
    let registry = Registry::new(&[host("one", silent.address, "active", 0)]);
    let mut node_config = config(registry.address);
    let class = &mut node_config["settings"]["Classes"][1];
    (class["DedupScope"], class["MemorySpan"]) = ("all".into(), 3000.0.into());
    let mut node = Node::with_args(&node_config, &args);
    let mut clients = [Client::to(&node), Client::to(&node)];
    clients[0].send(&request("slip", "txn-1", 15_000));
    clients[1].send(&request("pay", "txn-2", 15_000));
    wait_until("both are at the server", || silent.requests().len() >= 2);
    node.kill();
    let good = ScriptedServer::healthy("two");
    let registry = Registry::new(&[host("two", good.address, "active", 0)]);
    node_config["discovery"] = registry.address.to_string().into();
    // Longer than the time for which servers remember the key.
    std::thread::sleep(Duration::from_secs(4));
    for step in [HOUR_MS, -HOUR_MS, -3_000] {
        let faults = Faults::new(&format!("clock:step={step}:1"), 1);
        let node = Node::with_faults(&node_config, &faults, &args);
        let mut client = Client::to(&node);
        wait_until("it has the list", || client.exchange(&request("look", "t0", 5000)).status() == 200);
        let outcome = |class: &str, id: &str| Client::to(&node).exchange(&request(class, id, 1000));
        assert_eq!(outcome("slip", "txn-1").status(), 502, "{step}");
        assert_eq!(outcome("pay", "txn-3").status(), 502, "{step}: the key may be forgotten by now");
        assert_eq!(outcome("slip", &format!("new{step}")).status(), 200, "{step}");
    }
}

/// A fleet's store can't go on after a failed sync: its node answers the accepted requests and exits.
#[test]
fn a_failed_sync_of_the_fleets_store_ends_its_node_in_order() {
    let directory = unused_path("faults-fleet");
    let server = ScriptedServer::new(|m| {
        let slow = m.header("x-txn") == Some("out");
        std::thread::sleep(Duration::from_millis(if slow { 900 } else { 5 }));
        Reply::Respond(response(200, "", "served"))
    });
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let config_of = |node| three_nodes::config(&registry, node);
    let faults = Faults::switched_off("sync:EIO:1", 3);
    let start = |node: usize| {
        let args = ["--fleet", &three_nodes::file(&directory, 0, node)];
        match node {
            0 => Node::listening_with_faults(&config_of(node), &faults, &args),
            _ => Node::listening_with_args(&config_of(node), &args),
        }
    };
    let mut nodes: Vec<Node> = (0..3).map(start).collect();
    nodes.iter().for_each(Node::wait_ready);
    let mut out = Client::to(&nodes[0]);
    out.send(&request("slip", "out", 15_000));
    wait_until("it is out", || server.requests().iter().any(|m| m.header("x-txn") == Some("out")));
    faults.switch(true);
    // A proposed document has to be written to the store.
    let document = "# nothing is set\n";
    let length = document.len();
    let put =
        format!("PUT /v1/fleet/policy HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{document}");
    wait_until("the store stops after the failed sync", || {
        let _ = nodes[0].management_exchange(&put);
        nodes[0].logged("can't go on")
    });
    assert_eq!(out.receive().expect("what was out is answered").status(), 200);
    assert_eq!(nodes[0].exit_code(), Some(1));
    faults.assert_injected();
    let mut others = Client::to(&nodes[1]);
    wait_until("the others go on", || others.exchange(&request("look", "t1", 5000)).status() == 200);
    faults.switch(false);
    start(0).wait_ready();
}
