//! A discovery service.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::{read_message, response};

/// A server's entry in discovery's list.
pub fn host(name: &str, at: SocketAddr, health: &str, cell: u64) -> Value {
    json!({"host": name, "dial": at.to_string(), "site": "a", "class": "m", "block": cell,
        "health": health, "share": 1.0, "born_ms": 0})
}

/// A line of a discovery response: the full list (`whole`) or changes to it.
pub fn line(seq: u64, whole: bool, hosts: &[Value]) -> String {
    json!({"seq": seq, "whole": whole, "hosts": hosts}).to_string()
}

#[derive(Default)]
struct RegistryState {
    whole: String,
    /// Lines sent to the open watches, oldest first.
    updates: Vec<String>,
    down: bool,
    /// Whether watches stay open without sending anything.
    silent: bool,
    /// Incremented to end all watches.
    epoch: usize,
    calls: Vec<String>,
    watches: usize,
}

/// A discovery service: a watch receives the full list first, then updates.
#[derive(Clone)]
pub struct Registry {
    pub address: SocketAddr,
    state: Arc<Mutex<RegistryState>>,
}

impl Registry {
    pub fn new(hosts: &[Value]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let state =
            Arc::new(Mutex::new(RegistryState { whole: line(1, true, hosts), ..RegistryState::default() }));
        let registry = Self { address: listener.local_addr().expect("bound"), state };
        let this = registry.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                std::thread::spawn(move || this.serve(stream));
            }
        });
        registry
    }

    fn with<T>(&self, f: impl FnOnce(&mut RegistryState) -> T) -> T {
        f(&mut self.state.lock().expect("no panic"))
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut out = stream.try_clone().ok()?;
        let request = read_message(&mut BufReader::new(stream), 0)?;
        let (whole, down, epoch, mut position) = self.with(|t| {
            t.calls.push(request.path().to_string());
            (t.whole.clone(), t.down, t.epoch, t.updates.len())
        });
        if down {
            return None;
        }
        if !request.path().contains("watch") {
            return out.write_all(&response(200, "", &whole)).ok();
        }
        out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let mut send_line = |line: &str| write!(out, "{:x}\r\n{line}\n\r\n", line.len() + 1);
        send_line(&whole).ok()?;
        self.with(|t| t.watches += 1);
        let mut last_keepalive = Instant::now();
        loop {
            if self.with(|t| t.silent) {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            }
            let (now_epoch, updates) = self.with(|t| (t.epoch, t.updates[position..].to_vec()));
            if now_epoch != epoch {
                return None;
            }
            position += updates.len();
            for line in &updates {
                send_line(line).ok()?;
            }
            if last_keepalive.elapsed() > Duration::from_millis(500) {
                send_line("").ok()?;
                last_keepalive = Instant::now();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Replaces the list by `hosts` and sends `changes` to all watches.
    pub fn publish(&self, seq: u64, hosts: &[Value], changes: &[Value]) {
        self.with(|t| {
            t.whole = line(seq, true, hosts);
            t.updates.push(line(seq, false, changes));
        });
    }

    /// Sends an arbitrary line to all watches.
    pub fn push_line(&self, words: &str) {
        self.with(|t| t.updates.push(words.to_string()));
    }

    /// Takes the service down or up; ends all watches.
    pub fn set_down(&self, down: bool) {
        self.with(|t| {
            (t.down, t.epoch) = (down, t.epoch + 1);
        });
    }

    /// Stops sending on all watches without closing them.
    pub fn go_silent(&self) {
        self.with(|t| t.silent = true);
    }

    pub fn calls(&self) -> Vec<String> {
        self.with(|t| t.calls.clone())
    }

    /// The number of watches started so far.
    pub fn watches(&self) -> usize {
        self.with(|t| t.watches)
    }
}
