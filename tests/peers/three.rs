//! A fleet of three nodes that decide together.

use std::path::Path;

use serde_json::{json, Value};

use super::Registry;

/// The second number of the first fleet's address.
const FLEETS_FROM: u8 = 120;

/// The configuration of a node.
pub fn config(registry: &Registry, node: usize) -> Value {
    let mut told = super::config(registry.address);
    (told["name"], told["management"]) = (json!(format!("f{node}")), json!("127.0.0.1:0"));
    told
}

/// The call that proposes a document.
pub fn proposal(document: &str) -> String {
    let length = document.len();
    format!("PUT /v1/fleet/policy HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{document}")
}

/// The fleet's file of a node, whose store lies in this folder. Each process that runs tests has a loopback address of its own for
/// each of its fleets, so that the ports are free.
pub fn file(place: &Path, fleet: u8, node: usize) -> String {
    let store = place.join(format!("store-{node}"));
    std::fs::create_dir_all(&store).expect("a directory");
    let process = std::process::id();
    let ip = format!("127.{}.{}.{}", FLEETS_FROM + fleet, process >> 8 & 255, process & 255);
    let at =
        |node: usize| format!("datagrams = \"{ip}:{}\"\nstreams = \"{ip}:{}\"\n", 7950 + node, 7960 + node);
    let mut text = format!(
        "fleet = \"test\"\nvoters = [\"f0\", \"f1\", \"f2\"]\nlease_ms = 3000\nstore = {}\n{}",
        format_args!("{:?}", store.display().to_string()),
        at(node)
    );
    for peer in (0..3).filter(|peer| *peer != node) {
        text += &format!("[peers.f{peer}]\n{}", at(peer));
    }
    let file = place.join(format!("fleet-{node}.toml"));
    std::fs::write(&file, text).expect("a file");
    file.display().to_string()
}
