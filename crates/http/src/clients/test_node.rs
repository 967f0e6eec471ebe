//! A node with one class, and connections that it holds, for tests of what crosses their end.

use std::future::Future;

use magpietally_core::{Life, Process};
use magpietally_net::{listen, Listener};
use serde_json::json;
use tokio::net::TcpStream;
use tokio::task::LocalSet;

use super::*;
use crate::config::Config;
use crate::service::{start, Extras};

/// What any node answers, ready or not.
pub(super) const READY: &[u8] = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
/// How long anything is waited for: far longer than it takes.
pub(super) const PATIENCE: Duration = Duration::from_secs(30);

/// The clients of a node that may hold so many descriptors. Its classes `look` and `slip` have so many milliseconds.
pub(super) fn clients(sockets: usize, time: f64) -> Rc<ClientConnections> {
    let class = |name: &str, effect: &str| json!({"Name": name, "Slo": time, "Deadline": time, "Idempotency": effect, "Value": 1.0, "LateValue": 0.0});
    let settings = json!({
        "Classes": [class("look", "pure"), class("slip", "side_effect")],
        "Contract": {"AskWithin": 10000.0, "ColdShare": 0.2, "WarmWithin": 20000.0, "FallMultiple": 3.0, "Fall": 1000.0,
            "DrainGrace": 750.0},
        "Goal": {"Whole": 1.0, "WorstWindow": 0.0, "WorstClass": 0.0, "WorstTenant": 0.0}, "OverShareWorth": 1.0,
        "Discovery": "subscribe", "Weights": "nominal", "Me": 0, "PeersTotal": 1, "Tick": 1.0,
        "Limits": {"AttemptsCap": 1, "MayDuplicate": false, "Cancel": false, "Probes": false, "RetryAfter": false,
            "ConnectTimeout": 1000.0, "Keepalive": 15000.0, "OpenCap": 20000},
    });
    let nowhere = "127.0.0.1:1".parse().expect("an address");
    let config = Config {
        name: "node-0".into(),
        listen: nowhere,
        discovery: nowhere,
        management: None,
        inherited: None,
        seed: 1,
        sockets,
        memory_mb: 64,
        known: None,
        told: magpietally_settings::told(&settings).expect("good settings"),
        lasting: Default::default(),
    };
    let process = Process::new(2, Life::new(time, false));
    ClientConnections::new(start(config, process, String::new(), Extras::default()).expect("good settings"))
}

/// Runs to its end, which must come.
pub(super) fn play<T>(story: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async { timeout(PATIENCE, story).await.expect("it ends") })
}

/// A connection that the node holds, and its far end.
pub(super) async fn connected(clients: &Rc<ClientConnections>, listener: &Listener) -> TcpStream {
    let far = TcpStream::connect(address(listener)).await.expect("it listens");
    clients.serve(listener.accept().await.expect("one has come"));
    far
}

/// Where a listener is.
pub(super) fn address(listener: &Listener) -> std::net::SocketAddr {
    listener.get_ref().local_addr().expect("bound")
}

/// Where connections come.
pub(super) async fn listener() -> Listener {
    let nowhere_else = "127.0.0.1:0".parse().expect("an address");
    Listener::new(listen(nowhere_else, false).expect("a port")).expect("a runtime")
}

/// Waits until it holds, which it must.
pub(super) async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "waited in vain: {what}");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
