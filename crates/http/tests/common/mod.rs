//! The configuration of a node with one class, for tests that run workers in their own process.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use magpietally_http::config::Config;
use serde_json::json;

/// Time limit for anything that a test waits for: far longer than it takes.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Installs a panic hook that reports panics of worker threads, as the program does.
pub fn note_panics() {
    std::panic::set_hook(Box::new(|fault| {
        eprintln!("{fault}");
        magpietally_http::note_panic();
    }));
}

/// A node that listens at a free port. Requests of its class `look` have a deadline of `time` milliseconds.
pub fn config(discovery: SocketAddr, time: f64) -> Config {
    let settings = json!({
        "Classes": [{"Name": "look", "Slo": time, "Deadline": time, "Idempotency": "pure", "Value": 1.0, "LateValue": 0.0}],
        "Contract": {"AskWithin": 10000.0, "ColdShare": 0.2, "WarmWithin": 20000.0, "FallMultiple": 3.0, "Fall": 1000.0,
            "DrainGrace": 750.0},
        "Goal": {"Whole": 1.0, "WorstWindow": 0.0, "WorstClass": 0.0, "WorstTenant": 0.0}, "OverShareWorth": 1.0,
        "Discovery": "subscribe", "Weights": "nominal", "Me": 0, "PeersTotal": 1, "Tick": 1.0,
        "Limits": {"AttemptsCap": 1, "MayDuplicate": false, "Cancel": false, "Probes": false, "RetryAfter": false,
            "ConnectTimeout": 1000.0, "Keepalive": 15000.0, "OpenCap": 20000},
    });
    let listen = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port is free");
    Config {
        name: "node-0".into(),
        listen,
        discovery,
        management: None,
        inherited_fd: None,
        seed: 1,
        max_descriptors: 512,
        memory_mb: 64,
        saved_list: None,
        received: magpietally_settings::parse(&settings).expect("good settings"),
        restart_only: Arc::default(),
    }
}
