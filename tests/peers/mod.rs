//! Test harness: runs the real program against scripted servers, discovery and clients on loopback sockets.
#![allow(dead_code)]

mod client;
pub mod crowd;
pub mod faults;
pub mod host_delay;
pub mod load;
pub mod long_responses;
pub mod member_fleet;
mod messages;
mod node;
pub mod queue;
mod registry;
mod servers;
pub mod soak;
pub mod three_nodes;
pub mod uploads;

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

pub use client::*;
pub use messages::*;
pub use node::*;
pub use registry::*;
pub use servers::*;

/// Time limit for any expected event; ample on a busy machine too.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls the condition until it holds; panics after [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Sleeps until a server connection that just carried a response can be reused for the next request.
pub fn let_connection_idle() {
    std::thread::sleep(Duration::from_millis(50));
}

/// Runs the program with these arguments to its exit.
pub fn magpietally(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_magpietally")).args(args).output().expect("it runs")
}

pub fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Returns a path in the tests' temporary directory; any directory that an earlier run left there is removed.
pub fn unused_path(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    // Fails where no earlier run left one.
    let _ = std::fs::remove_dir_all(&path);
    path
}

/// Writes an operators' file with a ledger of this durability (`promise`) below `directory`, which is created
/// if missing; returns the file's path.
pub fn ledger_file(directory: &Path, promise: &str) -> String {
    std::fs::create_dir_all(directory).expect("a directory");
    let file = directory.join("operators.toml").display().to_string();
    let ledger = directory.join("ledger").display().to_string();
    std::fs::write(&file, format!("[ledger]\ndirectory = {ledger:?}\npromise = {promise:?}\n"))
        .expect("a file");
    file
}
