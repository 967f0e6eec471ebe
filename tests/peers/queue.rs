//! Discovery as a fleet has it: one service for all nodes, which takes calls in turn and turns away what would wait too long.

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::Value;
use socket2::{Domain, Socket, Type};

use super::{answer, line, read_message, PATIENCE};

/// A watch has a line this often where nothing changes.
const QUIET: Duration = Duration::from_secs(2);

/// How much the service can do.
#[derive(Clone, Copy)]
pub struct Capacity {
    /// What a call that it serves takes of it.
    pub work: Duration,
    /// What would wait longer is turned away at once.
    pub room: Duration,
    /// What a call that it turns away takes of it, as a part of one that it serves. It is done at once: calls that wait
    /// their turn wait so much longer.
    pub shed: f64,
}

/// A call that the service got.
#[derive(Clone, Copy)]
pub struct Call {
    pub node: usize,
    pub came: Instant,
    pub shed: bool,
}

struct State {
    capacity: Capacity,
    up: bool,
    version: u64,
    whole: Vec<Value>,
    changes: Vec<Value>,
    /// When all the work that was taken on is done.
    free: Instant,
    /// The work that went into calls that were turned away.
    shed: Duration,
    calls: Vec<Call>,
    /// The watch that each node has, by the time at which its call's turn was over.
    watches: Vec<Option<Instant>>,
    late: Duration,
}

/// The service. Each node has an address of its own to call, which tells whose call it is.
#[derive(Clone)]
pub struct Queue {
    pub addresses: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
}

impl Queue {
    /// A service that can be called; its list is empty, and its version 0.
    pub fn new(nodes: usize, capacity: Capacity) -> Self {
        // Bound and not listening: nobody else gets the port while the service is down, and calls are refused then.
        let ports: Vec<Socket> =
            (0..nodes).map(|_| bind("127.0.0.1:0".parse().expect("an address"))).collect();
        let at = |port: &Socket| port.local_addr().expect("bound").as_socket().expect("an IP address");
        let state = State {
            capacity,
            up: true,
            version: 0,
            whole: Vec::new(),
            changes: Vec::new(),
            free: Instant::now(),
            shed: Duration::ZERO,
            calls: Vec::new(),
            watches: vec![None; nodes],
            late: Duration::ZERO,
        };
        let queue = Self { addresses: ports.iter().map(at).collect(), state: Arc::new(Mutex::new(state)) };
        let (this, clock) = (queue.clone(), queue.clone());
        let end = Instant::now() + 4 * PATIENCE;
        std::thread::spawn(move || {
            this.listen(end);
            drop(ports);
        });
        std::thread::spawn(move || {
            while Instant::now() < end {
                clock.sleep_until(Instant::now() + Duration::from_millis(5));
            }
        });
        queue
    }

    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().expect("no panic"))
    }

    fn sleep_until(&self, due: Instant) {
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let late = due.elapsed();
        self.with(|s| s.late = s.late.max(late));
    }

    /// By how much a thread of this process woke later than it should have, at the worst.
    pub fn late(&self) -> Duration {
        self.with(|s| s.late)
    }

    /// The list from now on. `changes` are what has changed since the list that nodes have saved.
    pub fn tell(&self, version: u64, whole: &[Value], changes: &[Value]) {
        self.with(|s| (s.version, s.whole, s.changes) = (version, whole.to_vec(), changes.to_vec()));
    }

    /// All watches end, and calls are refused.
    pub fn goes_down(&self) {
        self.with(|s| s.up = false);
    }

    /// It is back, with nothing to do, and can do so much.
    pub fn is_back(&self, capacity: Capacity) {
        self.with(|s| (s.up, s.capacity) = (true, capacity));
    }

    /// The calls that it got.
    pub fn calls(&self) -> Vec<Call> {
        self.with(|s| s.calls.clone())
    }

    /// The watch that each node has, by when its call's turn was over.
    pub fn watches(&self) -> Vec<Option<Instant>> {
        self.with(|s| s.watches.clone())
    }

    fn listen(&self, end: Instant) {
        let mut listeners: Vec<TcpListener> = Vec::new();
        while Instant::now() < end {
            match self.with(|s| s.up) {
                true if listeners.is_empty() => {
                    listeners = self.addresses.iter().map(|at| listener(*at)).collect()
                }
                true => {}
                false => listeners.clear(),
            }
            for (node, listener) in listeners.iter().enumerate() {
                while let Ok((stream, _)) = listener.accept() {
                    let this = self.clone();
                    std::thread::spawn(move || this.serve(node, stream));
                }
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn serve(&self, node: usize, mut out: TcpStream) -> Option<()> {
        let request = read_message(&mut BufReader::new(out.try_clone().ok()?), 0)?;
        let Some(turn) = self.turn(node) else { return out.write_all(&answer(503, "", "")).ok() };
        let served = self.wait(turn);
        let (up, version, whole, changes) = self
            .with(|s| (s.up, s.version, line(s.version, true, &s.whole), line(s.version, false, &s.changes)));
        if !up {
            return None;
        }
        let Some((_, from)) = request.path().split_once("?watch=1&from=") else {
            return out.write_all(&answer(200, "", &whole)).ok();
        };
        out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        if from.parse::<u64>().expect("a version") < version {
            say(&mut out, &changes)?;
        }
        if self.there(&mut out)? {
            self.with(|s| s.watches[node] = Some(served));
            self.watch(out);
            self.with(|s| s.watches[node] = None);
        }
        Some(())
    }

    /// Takes a call on: when its turn is over, and what had gone into calls turned away till then.
    fn turn(&self, node: usize) -> Option<(Instant, Duration)> {
        self.with(|s| {
            let came = Instant::now();
            let Capacity { work, room, shed } = s.capacity;
            s.free = s.free.max(came);
            let turned_away = s.free - came > room;
            let cost = if turned_away { work.mul_f64(shed) } else { work };
            s.free += cost;
            s.calls.push(Call { node, came, shed: turned_away });
            if turned_away {
                s.shed += cost;
                return None;
            }
            Some((s.free, s.shed))
        })
    }

    /// Waits until a call's turn is over; when it was.
    fn wait(&self, (due, shed): (Instant, Duration)) -> Instant {
        loop {
            let due = due + (self.with(|s| s.shed) - shed);
            if Instant::now() >= due {
                return due;
            }
            self.sleep_until(due);
        }
    }

    /// Keeps a watch until the node or the service ends it.
    fn watch(&self, mut out: TcpStream) -> Option<()> {
        let mut quiet = Instant::now();
        while self.with(|s| s.up) && self.there(&mut out)? {
            if quiet.elapsed() >= QUIET {
                say(&mut out, "")?;
                quiet = Instant::now();
            }
        }
        Some(())
    }

    /// Whether the node is still there, after a moment in which it would have been seen to go.
    fn there(&self, out: &mut TcpStream) -> Option<bool> {
        out.set_read_timeout(Some(Duration::from_millis(20))).ok()?;
        match out.read(&mut [0; 64]) {
            Ok(n) => Some(n > 0),
            Err(error) => Some(matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)),
        }
    }
}

fn say(out: &mut TcpStream, words: &str) -> Option<()> {
    write!(out, "{:x}\r\n{words}\n\r\n", words.len() + 1).ok()
}

fn bind(at: SocketAddr) -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).expect("a socket");
    socket.bind(&at.into()).expect("a port");
    socket
}

fn listener(at: SocketAddr) -> TcpListener {
    let socket = bind(at);
    socket.listen(128).expect("it listens");
    socket.set_nonblocking(true).expect("a socket");
    socket.into()
}
