//! Discovery: the whole list, and a watch that tells its changes.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::read_message;
use crate::record::Record;

/// How long discovery writes nothing on a watch while nothing changes.
const EMPTY_LINE_EVERY: Duration = Duration::from_secs(2);

/// One server in the list.
#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub dial: SocketAddr,
    pub health: &'static str,
}

#[derive(Default)]
struct State {
    seq: u64,
    hosts: Vec<Host>,
    /// Changes with their versions.
    changes: Vec<(u64, Host)>,
    /// Raised to end all watches.
    watches_end: u64,
    /// How long a call waits before it fails, while there are too many callers.
    crowded: Option<Duration>,
}

/// A discovery service. Clones share it.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Discovery {
    pub fn start(hosts: Vec<Host>, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State { seq: 1, hosts, ..State::default() };
        let discovery =
            Self { address: listener.local_addr()?, state: Arc::new(Mutex::new(state)), record: record.clone() };
        let this = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                std::thread::spawn(move || this.serve(stream));
            }
        });
        Ok(discovery)
    }

    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap())
    }

    /// The list as JSON.
    pub fn list(&self) -> String {
        self.with(|s| object(s.seq, true, &s.hosts))
    }

    /// Changes the state of a server.
    pub fn set_health(&self, name: &str, health: &'static str) {
        let seq = self.with(|s| {
            s.seq += 1;
            let seq = s.seq;
            if let Some(host) = s.hosts.iter_mut().find(|h| h.name == name) {
                host.health = health;
                s.changes.push((seq, host.clone()));
            }
            seq
        });
        self.record.line(format!("discovery: version {seq}: {name} is {health}"));
    }

    /// Ends all open watches.
    pub fn end_watches(&self) {
        self.record.line("discovery: all open watches end");
        self.with(|s| s.watches_end += 1);
    }

    /// Lets all calls fail after this wait, or serves them again.
    pub fn set_crowded(&self, wait: Option<Duration>) {
        self.record.line(match wait {
            Some(wait) => format!("discovery: crowded, calls fail with 503 after they have waited {} ms", wait.as_millis()),
            None => "discovery: no longer crowded".to_string(),
        });
        self.with(|s| s.crowded = wait);
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut out = stream.try_clone().ok()?;
        out.set_nodelay(true).ok()?;
        let call = read_message(&mut BufReader::new(stream))?;
        self.record.line(format!("discovery: call {}", call.path()));
        if let Some(wait) = self.with(|s| s.crowded) {
            std::thread::sleep(wait);
            self.record.line(format!("discovery: 503 to {}", call.path()));
            let answer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            out.write_all(answer.as_bytes()).ok()?;
            return out.shutdown(Shutdown::Write).ok();
        }
        let list = self.list();
        if !call.path().contains("watch=1") {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
            return out.write_all((head + &list).as_bytes()).ok();
        }
        let (mut told, ends) = self.with(|s| (s.seq, s.watches_end));
        out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let mut line = |text: &str| write!(out, "{:x}\r\n{text}\n\r\n", text.len() + 1);
        line(&list).ok()?;
        self.record.line(format!("discovery: watch open, whole list of version {told} told"));
        let mut last_line = Instant::now();
        while self.with(|s| s.watches_end) == ends {
            let (seq, changed) = self.with(|s| {
                let changed: Vec<Host> = s.changes.iter().filter(|(n, _)| *n > told).map(|(_, h)| h.clone()).collect();
                (s.seq, changed)
            });
            if !changed.is_empty() {
                line(&object(seq, false, &changed)).ok()?;
                self.record.line(format!("discovery: changes up to version {seq} told on a watch"));
                (told, last_line) = (seq, Instant::now());
            } else if last_line.elapsed() >= EMPTY_LINE_EVERY {
                line("").ok()?;
                last_line = Instant::now();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        out.shutdown(Shutdown::Both).ok()
    }
}

fn object(seq: u64, whole: bool, hosts: &[Host]) -> String {
    let entry = |h: &Host| {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"lhr-gulberg","class":"std-2","block":1,"health":"{}","share":1.0,"born_ms":0}}"#,
            h.name, h.dial, h.health
        )
    };
    let entries: Vec<String> = hosts.iter().map(entry).collect();
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, entries.join(","))
}
