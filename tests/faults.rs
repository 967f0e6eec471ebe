//! Nodes whose system calls fail in ways that Linux documents, under load from clients that check the node's
//! guarantees.

mod peers;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use peers::faults::Faults;
use peers::host_delay::HostDelay;
use peers::load::{Load, Servers};
use peers::{config, host, request, response, Client, Node, Registry, Reply, ScriptedServer};

/// Runs a load against a node with these faults; at least `min_served` of the requests are served, and no
/// guarantee is violated.
fn check_under_faults(plan: &str, load: Load, min_served: f64) {
    check_with_servers(&Servers::new(3, Duration::from_millis(10)), plan, load, min_served);
}

/// Like [`check_under_faults`], with these servers.
fn check_with_servers(servers: &Servers, plan: &str, load: Load, min_served: f64) {
    let registry = Registry::new(&servers.hosts());
    let faults = Faults::new(plan, 7);
    let mut node = Node::with_faults(&config(registry.address), &faults, &[]);
    let report = load.run(node.address, servers);
    assert!(node.running(), "the node ended: {}", report.summary());
    report.assert_no_violations(min_served);
    faults.assert_injected();
}

/// Clients that use a connection for two requests and sometimes disconnect before the response.
fn new_connections() -> Load {
    Load { reuse: 2, abandon_every: 7, ..Load::default() }
}

/// Every run of a plan injects each of its faults, however improbable the fault and rare the call.
#[test]
fn every_rule_of_a_plan_is_injected() {
    let plan = "getsockopt:ENOBUFS:0;recv:EINTR:0;recv:short=5:0;writev:short=9:0;accept4:ECONNABORTED:0;\
        accept4:ENFILE:0;epoll_add:ENOMEM:0;connect:ENETUNREACH:0";
    check_under_faults(plan, Load { span: Duration::from_millis(300), ..Load::default() }, 0.97);
}

#[test]
fn interrupted_calls_are_repeated() {
    let plan = "recv:EINTR:0.1;peek:EINTR:0.2;send:EINTR:0.1;writev:EINTR:0.1;epoll_wait:EINTR:0.1";
    check_under_faults(plan, Load { abandon_every: 7, ..Load::default() }, 0.97);
}

#[test]
fn short_reads_leave_nothing_unread() {
    check_under_faults("recv:short=40:0.2", Load::default(), 0.97);
}

#[test]
fn short_writes_are_continued() {
    check_under_faults("writev:short=20:0.2", Load::default(), 0.97);
}

#[test]
fn an_aborted_connection_affects_no_other() {
    check_under_faults(
        "accept4:ECONNABORTED:0.3;accept4:EPROTO:0.2;accept4:EINTR:0.1",
        new_connections(),
        0.97,
    );
}

#[test]
fn accepting_resumes_after_a_shortage_of_descriptors_or_memory() {
    check_under_faults("accept4:ENFILE:0.2;accept4:ENOBUFS:0.1;accept4:EMFILE:0.05", new_connections(), 0.97);
}

#[test]
fn a_failed_socket_registration_is_retried() {
    check_under_faults("epoll_add:ENOMEM:0.1;epoll_add:ENOSPC:0.1", new_connections(), 0.95);
}

#[test]
fn a_shortage_of_ports_routes_or_buffers_fails_no_request() {
    let plan =
        "connect:EADDRNOTAVAIL:0.2;connect:ENETUNREACH:0.2;connect:EINTR:0.1;socket:ENOBUFS:0.2:from_ms=500";
    check_with_servers(&Servers::closing(3, Duration::from_millis(10)), plan, Load::default(), 0.97);
}

#[test]
fn a_shortage_of_buffer_memory_ends_no_connection() {
    let plan = "recv:ENOMEM:0.05;send:ENOBUFS:0.05;writev:ENOBUFS:0.05";
    check_under_faults(plan, Load::default(), 0.97);
}

/// Unsafe requests, a third of all, may not be retried: they fail, but are answered.
#[test]
fn a_broken_connection_to_a_server_leaves_no_request_unanswered() {
    let plan = "recv:broken=ETIMEDOUT:0.03:on=dialled;writev:broken=EHOSTUNREACH:0.03:on=dialled";
    check_under_faults(plan, Load::default(), 0.8);
}

/// A socket may report a transient error of the route to its peer.
#[test]
fn a_transient_error_ends_no_connection() {
    let plan = "recv:ETIMEDOUT:0.03;recv:EHOSTUNREACH:0.03;writev:EHOSTUNREACH:0.03;send:ENETUNREACH:0.03";
    check_under_faults(plan, Load { abandon_every: 7, ..Load::default() }, 0.97);
}

#[test]
fn failing_socket_options_shutdowns_and_closes_cost_no_connection() {
    let plan = "setsockopt:ENOBUFS:0.3:from_ms=500;shutdown:ENOTCONN:0.2;close:EINTR:0.2;close:EIO:0.2";
    check_under_faults(plan, new_connections(), 0.97);
}

/// The time that a request of [`check_remaining_time`] has.
const DEADLINE: Duration = Duration::from_millis(4000);
/// How far the remaining time sent with an attempt may exceed the client's own.
const REMAINING_SLACK: Duration = Duration::from_millis(150);

/// Sends one request while this plan delays it by more than the slack; the remaining time that its server
/// receives must not exceed what its client has left.
fn check_remaining_time(plan: &str) {
    let seen = Arc::new(Mutex::new(Vec::new()));
    let recorded = seen.clone();
    let server = ScriptedServer::new(move |message| {
        let remaining = message.header("x-remaining-ms").and_then(|ms| ms.parse().ok());
        recorded.lock().expect("no panic").push((Instant::now(), remaining.map(Duration::from_millis)));
        Reply::Respond(response(200, "", "served"))
    });
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let faults = Faults::switched_off(plan, 7);
    let node = Node::with_faults(&config(registry.address), &faults, &[]);
    let mut client = Client::to(&node);
    assert_eq!(client.exchange(&request("look", "before", 4000)).status(), 200);
    seen.lock().expect("no panic").clear();
    faults.switch(true);
    if plan.contains("accept") {
        client = Client::to(&node);
    }
    let (host_delay, sent) = (HostDelay::start(), Instant::now());
    assert_eq!(
        client.exchange(&request("slip", "held-up", DEADLINE.as_millis() as u64)).status(),
        200,
        "{plan}"
    );
    faults.assert_injected();
    let seen = seen.lock().expect("no panic");
    let [(at, Some(remaining))] = seen[..] else { panic!("{plan}: one attempt, {seen:?}") };
    let took = at - sent;
    assert!(took > 2 * REMAINING_SLACK, "{plan}: nothing was held up, {took:?}");
    let left = DEADLINE.saturating_sub(took);
    let slack = REMAINING_SLACK + host_delay.max_delay();
    let description =
        format!("{plan}: {took:?} after the request was sent its server received {remaining:?}");
    assert!(remaining <= left + slack, "{description}, more than was left");
    assert!(remaining + slack >= left, "{description}, much less than was left");
}

#[test]
fn time_before_a_connection_is_accepted_or_registered_is_deducted() {
    check_remaining_time("accept4:ENFILE:1:first=40");
    check_remaining_time("epoll_add:ENOMEM:1:first=40:on=accepted");
}

#[test]
fn time_before_a_request_can_be_read_is_deducted() {
    check_remaining_time("recv:ENOMEM:1:first=250:on=accepted");
}

#[test]
fn time_before_an_attempt_can_be_written_is_deducted() {
    check_remaining_time("writev:ENOBUFS:1:first=250:on=dialled");
}

/// Each system call that a start needs may fail transiently: here its first calls fail.
#[test]
fn a_start_survives_calls_that_fail_at_first() {
    let servers = Servers::new(2, Duration::from_millis(5));
    let registry = Registry::new(&servers.hosts());
    for call in [
        "socket:ENOBUFS",
        "socket:EMFILE",
        "bind:ENOMEM",
        "listen:ENOBUFS",
        "epoll_create1:ENFILE",
        "epoll_add:ENOMEM",
        "eventfd:EMFILE",
        "socketpair:ENFILE",
        "pthread_create:EAGAIN",
        "setsockopt:ENOBUFS",
        "open:EMFILE",
        "open:EIO",
    ] {
        let faults = Faults::new(&format!("{call}:1:first=4"), 7);
        let node = Node::with_faults(&config(registry.address), &faults, &[]);
        faults.assert_injected();
        let load = Load { span: Duration::from_millis(200), ..Load::default() };
        load.run(node.address, &servers).assert_no_violations(0.97);
    }
}
