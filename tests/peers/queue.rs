//! A discovery service shared by a fleet: it serves calls one after another and sheds those that would wait
//! too long.

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::Value;
use socket2::{Domain, Socket, Type};

use super::{line, read_message, response, WAIT_TIMEOUT};

/// Interval of keepalive lines on a watch.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// The service's capacity.
#[derive(Clone, Copy)]
pub struct Capacity {
    /// Service time of a call that is served.
    pub work: Duration,
    /// A call that would wait longer is shed at once.
    pub max_wait: Duration,
    /// Service time of a call that is shed, as a fraction of `work`. It is spent at once, so queued calls
    /// wait that much longer.
    pub shed_cost: f64,
}

/// A call that the service received.
#[derive(Clone, Copy)]
pub struct Call {
    pub node: usize,
    pub received_at: Instant,
    pub shed: bool,
}

struct State {
    capacity: Capacity,
    up: bool,
    version: u64,
    whole: Vec<Value>,
    changes: Vec<Value>,
    /// When all accepted work is done.
    idle_at: Instant,
    /// Total service time spent on shed calls.
    shed_work: Duration,
    calls: Vec<Call>,
    /// For each node with an open watch, when the call that opened it was served.
    watches: Vec<Option<Instant>>,
    max_wakeup_delay: Duration,
}

/// The service. Each node calls an address of its own, which identifies the caller.
#[derive(Clone)]
pub struct QueuedDiscovery {
    pub addresses: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
}

impl QueuedDiscovery {
    /// Starts the service with an empty list of version 0.
    pub fn new(nodes: usize, capacity: Capacity) -> Self {
        // Bound but not listening: the ports stay reserved while the service is down, and calls are refused
        // then.
        let ports: Vec<Socket> =
            (0..nodes).map(|_| bind("127.0.0.1:0".parse().expect("an address"))).collect();
        let at = |port: &Socket| port.local_addr().expect("bound").as_socket().expect("an IP address");
        let state = State {
            capacity,
            up: true,
            version: 0,
            whole: Vec::new(),
            changes: Vec::new(),
            idle_at: Instant::now(),
            shed_work: Duration::ZERO,
            calls: Vec::new(),
            watches: vec![None; nodes],
            max_wakeup_delay: Duration::ZERO,
        };
        let service = Self { addresses: ports.iter().map(at).collect(), state: Arc::new(Mutex::new(state)) };
        let (this, clock) = (service.clone(), service.clone());
        let end = Instant::now() + 4 * WAIT_TIMEOUT;
        std::thread::spawn(move || {
            this.listen(end);
            drop(ports);
        });
        std::thread::spawn(move || {
            while Instant::now() < end {
                clock.sleep_until(Instant::now() + Duration::from_millis(5));
            }
        });
        service
    }

    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().expect("no panic"))
    }

    fn sleep_until(&self, due: Instant) {
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let delay = due.elapsed();
        self.with(|s| s.max_wakeup_delay = s.max_wakeup_delay.max(delay));
    }

    /// The longest delay with which a sleeping thread of this process woke up.
    pub fn max_wakeup_delay(&self) -> Duration {
        self.with(|s| s.max_wakeup_delay)
    }

    /// Replaces the list. `changes` are the changes since the list that the nodes have saved.
    pub fn publish(&self, version: u64, whole: &[Value], changes: &[Value]) {
        self.with(|s| (s.version, s.whole, s.changes) = (version, whole.to_vec(), changes.to_vec()));
    }

    /// Takes the service down: all watches end, and calls are refused.
    pub fn stop(&self) {
        self.with(|s| s.up = false);
    }

    /// Brings the service up again, idle, with this capacity.
    pub fn restart(&self, capacity: Capacity) {
        self.with(|s| (s.up, s.capacity) = (true, capacity));
    }

    /// The calls received so far.
    pub fn calls(&self) -> Vec<Call> {
        self.with(|s| s.calls.clone())
    }

    /// For each node with an open watch, when the call that opened it was served.
    pub fn watches(&self) -> Vec<Option<Instant>> {
        self.with(|s| s.watches.clone())
    }

    fn listen(&self, end: Instant) {
        let mut listeners: Vec<TcpListener> = Vec::new();
        while Instant::now() < end {
            match self.with(|s| s.up) {
                true if listeners.is_empty() => {
                    listeners = self.addresses.iter().map(|at| listen_on(*at)).collect()
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
        let Some(ticket) = self.enqueue(node) else { return out.write_all(&response(503, "", "")).ok() };
        let served = self.wait(ticket);
        let (up, version, whole, changes) = self
            .with(|s| (s.up, s.version, line(s.version, true, &s.whole), line(s.version, false, &s.changes)));
        if !up {
            return None;
        }
        let Some((_, from)) = request.path().split_once("?watch=1&from=") else {
            return out.write_all(&response(200, "", &whole)).ok();
        };
        out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        if from.parse::<u64>().expect("a version") < version {
            send_line(&mut out, &changes)?;
        }
        if self.is_connected(&mut out)? {
            self.with(|s| s.watches[node] = Some(served));
            self.watch(out);
            self.with(|s| s.watches[node] = None);
        }
        Some(())
    }

    /// Enqueues a call. Returns when it is due to be served and the shed work until then; `None` if it is
    /// shed.
    fn enqueue(&self, node: usize) -> Option<(Instant, Duration)> {
        self.with(|s| {
            let received_at = Instant::now();
            let Capacity { work, max_wait, shed_cost } = s.capacity;
            s.idle_at = s.idle_at.max(received_at);
            let shed = s.idle_at - received_at > max_wait;
            let cost = if shed { work.mul_f64(shed_cost) } else { work };
            s.idle_at += cost;
            s.calls.push(Call { node, received_at, shed });
            if shed {
                s.shed_work += cost;
                return None;
            }
            Some((s.idle_at, s.shed_work))
        })
    }

    /// Waits until a queued call is served; returns when it was due, including the work shed meanwhile.
    fn wait(&self, (due, shed_before): (Instant, Duration)) -> Instant {
        loop {
            let due = due + (self.with(|s| s.shed_work) - shed_before);
            if Instant::now() >= due {
                return due;
            }
            self.sleep_until(due);
        }
    }

    /// Serves a watch until the node or the service ends it.
    fn watch(&self, mut out: TcpStream) -> Option<()> {
        let mut last_keepalive = Instant::now();
        while self.with(|s| s.up) && self.is_connected(&mut out)? {
            if last_keepalive.elapsed() >= KEEPALIVE_INTERVAL {
                send_line(&mut out, "")?;
                last_keepalive = Instant::now();
            }
        }
        Some(())
    }

    /// Returns whether the node still holds the connection; waits up to 20 ms for its end.
    fn is_connected(&self, out: &mut TcpStream) -> Option<bool> {
        out.set_read_timeout(Some(Duration::from_millis(20))).ok()?;
        match out.read(&mut [0; 64]) {
            Ok(n) => Some(n > 0),
            Err(error) => Some(matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)),
        }
    }
}

fn send_line(out: &mut TcpStream, words: &str) -> Option<()> {
    write!(out, "{:x}\r\n{words}\n\r\n", words.len() + 1).ok()
}

fn bind(at: SocketAddr) -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).expect("a socket");
    socket.bind(&at.into()).expect("a port");
    socket
}

fn listen_on(at: SocketAddr) -> TcpListener {
    let socket = bind(at);
    socket.listen(128).expect("it listens");
    socket.set_nonblocking(true).expect("a socket");
    socket.into()
}
