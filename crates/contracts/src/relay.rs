//! Fault-injecting relays between nodes, for tests. Each node is reached through a frontend address of the
//! relay, which forwards the traffic to the node's own socket and applies the faults that are set for each
//! link and direction. [`DatagramRelay`] does so for datagrams, [`StreamRelay`] for TCP connections.

mod streams;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

pub use streams::{StreamLink, StreamRelay};

/// The faults of a link for each datagram, in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DatagramLink {
    /// Share of datagrams that are dropped.
    pub drop_share: f64,
    /// Share of datagrams that are delivered twice.
    pub duplicate_share: f64,
    /// Added latency.
    pub delay: Duration,
    /// Whether every datagram is dropped.
    pub cut: bool,
}

/// A delayed datagram: due time, sequence number, sender, receiver and payload.
type DelayedDatagram = Reverse<(Instant, u64, usize, usize, Vec<u8>)>;

struct Inner {
    frontends: Vec<UdpSocket>,
    backends: Mutex<Vec<Option<SocketAddr>>>,
    links: Mutex<BTreeMap<(usize, usize), DatagramLink>>,
    default_link: Mutex<DatagramLink>,
    delayed: Mutex<BinaryHeap<DelayedDatagram>>,
    sequence: AtomicU64,
    random: Mutex<Pcg64>,
    stop: AtomicBool,
    /// Numbers of datagrams forwarded and dropped.
    forwarded: AtomicU64,
    dropped: AtomicU64,
}

/// Relay for UDP datagrams; its threads end when it is dropped.
pub struct DatagramRelay {
    inner: Arc<Inner>,
}

/// Datagrams held for a delay at the same time; further ones are dropped.
const DELAYED_DATAGRAMS_MAX: usize = 100_000;

impl DatagramRelay {
    /// Creates a relay with `n` frontends; its random draws are seeded.
    pub fn new(n: usize, seed: u64) -> Self {
        let frontends = (0..n)
            .map(|_| {
                let s = UdpSocket::bind("127.0.0.1:0").expect("a port");
                s.set_read_timeout(Some(Duration::from_millis(20))).expect("a timeout");
                s
            })
            .collect();
        let inner = Arc::new(Inner {
            frontends,
            backends: Mutex::new(vec![None; n]),
            links: Mutex::new(BTreeMap::new()),
            default_link: Mutex::new(DatagramLink::default()),
            delayed: Mutex::new(BinaryHeap::new()),
            sequence: AtomicU64::new(0),
            random: Mutex::new(Pcg64::seed_from_u64(seed)),
            stop: AtomicBool::new(false),
            forwarded: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
        });
        for i in 0..n {
            let inner = inner.clone();
            std::thread::spawn(move || inner.receive_loop(i));
        }
        let release_inner = inner.clone();
        std::thread::spawn(move || release_inner.release_loop());
        Self { inner }
    }

    /// The address to which peers send to reach node `i`.
    pub fn frontend(&self, i: usize) -> SocketAddr {
        self.inner.frontends[i].local_addr().expect("bound")
    }

    /// Sets node `i`'s own socket, to which its datagrams are forwarded. Call it again after a restart of the
    /// node.
    pub fn attach(&self, i: usize, backend: SocketAddr) {
        self.inner.backends.lock().expect("no panic")[i] = Some(backend);
    }

    /// Sets the faults of the link from `from` to `to` from now on.
    pub fn set_link(&self, from: usize, to: usize, link: DatagramLink) {
        self.inner.links.lock().expect("no panic").insert((from, to), link);
    }

    /// Sets the faults of every link without a setting of its own.
    pub fn set_default_link(&self, link: DatagramLink) {
        *self.inner.default_link.lock().expect("no panic") = link;
    }

    /// Cuts every link between `a` and `b`, in both directions.
    pub fn partition(&self, a: &[usize], b: &[usize]) {
        let cut = DatagramLink { cut: true, ..DatagramLink::default() };
        for &x in a {
            for &y in b {
                self.set_link(x, y, cut);
                self.set_link(y, x, cut);
            }
        }
    }

    /// Removes the faults of every link.
    pub fn heal(&self) {
        self.inner.links.lock().expect("no panic").clear();
        *self.inner.default_link.lock().expect("no panic") = DatagramLink::default();
    }

    /// The numbers of datagrams forwarded and dropped so far.
    pub fn counts(&self) -> (u64, u64) {
        (self.inner.forwarded.load(Ordering::SeqCst), self.inner.dropped.load(Ordering::SeqCst))
    }
}

impl Drop for DatagramRelay {
    fn drop(&mut self) {
        self.inner.stop.store(true, Ordering::SeqCst);
    }
}

impl Inner {
    fn receive_loop(&self, to: usize) {
        let mut buf = vec![0u8; 65_536];
        while !self.stop.load(Ordering::SeqCst) {
            let Ok((n, source)) = self.frontends[to].recv_from(&mut buf) else { continue };
            let from = self.backends.lock().expect("no panic").iter().position(|b| *b == Some(source));
            let Some(from) = from else {
                self.dropped.fetch_add(1, Ordering::SeqCst);
                continue;
            };
            let link = self.links.lock().expect("no panic").get(&(from, to)).copied();
            let link = link.unwrap_or_else(|| *self.default_link.lock().expect("no panic"));
            if link.cut || self.random_share() < link.drop_share {
                self.dropped.fetch_add(1, Ordering::SeqCst);
                continue;
            }
            let copies = if self.random_share() < link.duplicate_share { 2 } else { 1 };
            for _ in 0..copies {
                if link.delay.is_zero() {
                    self.forward(from, to, &buf[..n]);
                } else {
                    let mut delayed = self.delayed.lock().expect("no panic");
                    if delayed.len() < DELAYED_DATAGRAMS_MAX {
                        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
                        delayed.push(Reverse((
                            Instant::now() + link.delay,
                            sequence,
                            from,
                            to,
                            buf[..n].to_vec(),
                        )));
                    }
                }
            }
        }
    }

    fn release_loop(&self) {
        while !self.stop.load(Ordering::SeqCst) {
            let due = {
                let mut delayed = self.delayed.lock().expect("no panic");
                let mut due = Vec::new();
                while delayed.peek().is_some_and(|Reverse(d)| d.0 <= Instant::now()) {
                    if let Some(Reverse(d)) = delayed.pop() {
                        due.push(d);
                    }
                }
                due
            };
            for (_, _, from, to, bytes) in due {
                self.forward(from, to, &bytes);
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Sends from the sender's frontend, so that a reply to the source address also passes through the relay.
    fn forward(&self, from: usize, to: usize, bytes: &[u8]) {
        let backend = self.backends.lock().expect("no panic")[to];
        if let Some(backend) = backend {
            let _ = self.frontends[from].send_to(bytes, backend);
            self.forwarded.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// A seeded random draw in [0, 1).
    fn random_share(&self) -> f64 {
        self.random.lock().expect("no panic").random()
    }
}
