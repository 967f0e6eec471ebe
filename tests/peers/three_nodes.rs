//! A fleet of three nodes, all of them voters.

use std::path::Path;

use serde_json::{json, Value};

use super::Registry;

/// Second octet of the first fleet's loopback address.
const FIRST_FLEET_OCTET: u8 = 120;

/// The configuration of node `f{node}`.
pub fn config(registry: &Registry, node: usize) -> Value {
    let mut config = super::config(registry.address);
    (config["name"], config["management"]) = (json!(format!("f{node}")), json!("127.0.0.1:0"));
    config
}

/// The management request that proposes a policy document.
pub fn proposal(document: &str) -> String {
    let length = document.len();
    format!("PUT /v1/fleet/policy HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{document}")
}

/// Writes the fleet file of a node, with its store below `directory`, and returns the file's path. Each test
/// process uses a loopback address of its own for each of its fleets, so that the ports are free.
pub fn file(directory: &Path, fleet: u8, node: usize) -> String {
    let store = directory.join(format!("store-{node}"));
    std::fs::create_dir_all(&store).expect("a directory");
    let process = std::process::id();
    let ip = format!("127.{}.{}.{}", FIRST_FLEET_OCTET + fleet, process >> 8 & 255, process & 255);
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
    let file = directory.join(format!("fleet-{node}.toml"));
    std::fs::write(&file, text).expect("a file");
    file.display().to_string()
}
