//! A node with two classes and helpers to connect to it, for tests of races at the end of connections.

use std::future::Future;

use magpietally_core::{Lifecycle, Process};
use magpietally_net::{listen, Listener};
use serde_json::json;
use tokio::net::TcpStream;
use tokio::task::LocalSet;

use super::*;
use crate::config::Config;
use crate::node::{start_node, OperatorOptions};

/// A request that any node answers, ready or not.
pub(super) const READY: &[u8] = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
/// Time limit for every wait: far longer than any of them takes.
pub(super) const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The client connections of a node that may use `sockets` descriptors and whose classes `look` and `slip`
/// have a deadline of `deadline_ms`.
pub(super) fn new_clients(sockets: usize, deadline_ms: f64) -> Rc<ClientConnections> {
    let class = |name: &str, effect: &str| json!({"Name": name, "Slo": deadline_ms, "Deadline": deadline_ms, "Idempotency": effect, "Value": 1.0, "LateValue": 0.0});
    let settings = json!({
        "Classes": [class("look", "pure"), class("slip", "side_effect")],
        "Contract": {"AskWithin": 10000.0, "ColdShare": 0.2, "WarmWithin": 20000.0, "FallMultiple": 3.0, "Fall": 1000.0,
            "DrainGrace": 750.0},
        "Goal": {"Whole": 1.0, "WorstWindow": 0.0, "WorstClass": 0.0, "WorstTenant": 0.0}, "OverShareWorth": 1.0,
        "Discovery": "subscribe", "Weights": "nominal", "Me": 0, "PeersTotal": 1, "Tick": 1.0,
        "Limits": {"AttemptsCap": 1, "MayDuplicate": false, "Cancel": false, "Probes": false, "RetryAfter": false,
            "ConnectTimeout": 1000.0, "Keepalive": 15000.0, "OpenCap": 20000},
    });
    let unused_address = "127.0.0.1:1".parse().expect("an address");
    let config = Config {
        name: "node-0".into(),
        listen: unused_address,
        discovery: unused_address,
        management: None,
        inherited_fd: None,
        seed: 1,
        max_descriptors: sockets,
        memory_mb: 64,
        saved_list: None,
        received: magpietally_settings::parse(&settings).expect("good settings"),
        restart_only: Default::default(),
    };
    let process = Process::new(2, Lifecycle::new(deadline_ms, false));
    ClientConnections::new(
        start_node(config, process, String::new(), OperatorOptions::default()).expect("good settings"),
    )
}

/// Runs a test on a runtime of its own, and panics if it does not end within [`TEST_TIMEOUT`].
pub(super) fn run_test<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async { timeout(TEST_TIMEOUT, test).await.expect("it ends") })
}

/// Connects to the node, which serves the connection, and returns the client's side.
pub(super) async fn connected(clients: &Rc<ClientConnections>, listener: &Listener) -> TcpStream {
    let peer = TcpStream::connect(address(listener)).await.expect("it listens");
    clients.add_accepted(listener.accept().await.expect("a connection arrives"));
    peer
}

/// The address of a listener.
pub(super) fn address(listener: &Listener) -> std::net::SocketAddr {
    listener.get_ref().local_addr().expect("bound")
}

/// A listener on a free port.
pub(super) async fn new_listener() -> Listener {
    let any_port = "127.0.0.1:0".parse().expect("an address");
    Listener::new(listen(any_port, false).expect("a port")).expect("a runtime")
}

/// Waits until the condition holds, and panics if it does not within [`TEST_TIMEOUT`].
pub(super) async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TEST_TIMEOUT, "timed out waiting: {what}");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
