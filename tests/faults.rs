//! Nodes whose system calls fail, as Linux documents that they may, under clients that hold the node to its rules.

mod peers;

use std::time::Duration;

use peers::faults::Faults;
use peers::load::{Load, Servers};
use peers::{config, Node, Registry};

/// Runs clients against a node with these faults; at least `served_least` of the requests are served, and none is broken.
fn kept_under(plan: &str, load: Load, served_least: f64) {
    let servers = Servers::new(3, Duration::from_millis(10));
    let registry = Registry::new(&servers.hosts());
    let faults = Faults::new(plan, 7);
    let mut node = Node::with_faults(&config(registry.address), &faults, &[]);
    let report = load.run(node.address, &servers);
    assert!(node.running(), "the node ended: {}", report.sums());
    report.assert_kept(served_least);
    faults.assert_injected();
}

/// Clients that connect anew for every second request.
fn new_connections() -> Load {
    Load { reuse: 2, ..Load::default() }
}

#[test]
fn interrupted_calls_are_repeated() {
    let plan = "recv:EINTR:0.1;peek:EINTR:0.2;send:EINTR:0.1;writev:EINTR:0.1;epoll_wait:EINTR:0.1";
    kept_under(plan, Load { leaves: 7, ..Load::default() }, 0.99);
}

#[test]
fn reads_that_come_short_leave_nothing_unread() {
    kept_under("recv:short=40:0.2", Load::default(), 0.99);
}

#[test]
fn a_connection_that_was_aborted_costs_no_other() {
    kept_under("accept4:ECONNABORTED:0.3;accept4:EPROTO:0.2;accept4:EINTR:0.1", new_connections(), 0.99);
}
