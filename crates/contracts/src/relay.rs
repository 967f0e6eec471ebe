//! Fault-injecting relays between nodes, for tests: each node is reached at a front of the relay, which passes what comes
//! on to the node's own socket, with the faults that are set by link and by direction. [`Relay`] does so for datagrams,
//! [`Streams`] for TCP connections.

mod streams;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

pub use streams::{Stream, Streams};

/// What a link does to each datagram, one way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    /// Share lost.
    pub drop: f64,
    /// Share that arrives twice.
    pub duplicate: f64,
    /// Time added on the way.
    pub delay: Duration,
    /// Nothing passes.
    pub cut: bool,
}

/// A datagram held for its delay: when it is due, in what order it came, from whom, to whom, its bytes.
type Held = Reverse<(Instant, u64, usize, usize, Vec<u8>)>;

struct Inner {
    fronts: Vec<UdpSocket>,
    backs: Mutex<Vec<Option<SocketAddr>>>,
    links: Mutex<BTreeMap<(usize, usize), Link>>,
    usual: Mutex<Link>,
    delayed: Mutex<BinaryHeap<Held>>,
    order: AtomicU64,
    random: Mutex<Pcg64>,
    stop: AtomicBool,
    /// Datagrams passed on and dropped.
    passed: AtomicU64,
    dropped: AtomicU64,
}

/// The relay; it ends its threads when dropped.
pub struct Relay {
    inner: Arc<Inner>,
}

/// Datagrams held for a delay at most; past that they are dropped.
const DELAYED_MOST: usize = 100_000;

impl Relay {
    /// A relay with `n` fronts, its random draws seeded.
    pub fn new(n: usize, seed: u64) -> Self {
        let fronts = (0..n)
            .map(|_| {
                let s = UdpSocket::bind("127.0.0.1:0").expect("a port");
                s.set_read_timeout(Some(Duration::from_millis(20))).expect("a timeout");
                s
            })
            .collect();
        let inner = Arc::new(Inner {
            fronts,
            backs: Mutex::new(vec![None; n]),
            links: Mutex::new(BTreeMap::new()),
            usual: Mutex::new(Link::default()),
            delayed: Mutex::new(BinaryHeap::new()),
            order: AtomicU64::new(0),
            random: Mutex::new(Pcg64::seed_from_u64(seed)),
            stop: AtomicBool::new(false),
            passed: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
        });
        for i in 0..n {
            let inner = inner.clone();
            std::thread::spawn(move || inner.carry(i));
        }
        let later = inner.clone();
        std::thread::spawn(move || later.release());
        Self { inner }
    }

    /// Where peers send to reach node `i`.
    pub fn front(&self, i: usize) -> SocketAddr {
        self.inner.fronts[i].local_addr().expect("bound")
    }

    /// Node `i`'s own socket, where what comes for it goes on (again after a restart).
    pub fn attach(&self, i: usize, back: SocketAddr) {
        self.inner.backs.lock().expect("no panic")[i] = Some(back);
    }

    /// What the link from `from` to `to` does from now on.
    pub fn set(&self, from: usize, to: usize, link: Link) {
        self.inner.links.lock().expect("no panic").insert((from, to), link);
    }

    /// What every link without a setting of its own does.
    pub fn set_all(&self, link: Link) {
        *self.inner.usual.lock().expect("no panic") = link;
    }

    /// Cuts every link between `a` and `b`, both ways.
    pub fn partition(&self, a: &[usize], b: &[usize]) {
        let cut = Link { cut: true, ..Link::default() };
        for &x in a {
            for &y in b {
                self.set(x, y, cut);
                self.set(y, x, cut);
            }
        }
    }

    /// Every link passes all again.
    pub fn heal(&self) {
        self.inner.links.lock().expect("no panic").clear();
        *self.inner.usual.lock().expect("no panic") = Link::default();
    }

    /// Datagrams passed on and dropped so far.
    pub fn counts(&self) -> (u64, u64) {
        (self.inner.passed.load(Ordering::SeqCst), self.inner.dropped.load(Ordering::SeqCst))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.inner.stop.store(true, Ordering::SeqCst);
    }
}

impl Inner {
    fn carry(&self, to: usize) {
        let mut buf = vec![0u8; 65_536];
        while !self.stop.load(Ordering::SeqCst) {
            let Ok((n, source)) = self.fronts[to].recv_from(&mut buf) else { continue };
            let from = self.backs.lock().expect("no panic").iter().position(|b| *b == Some(source));
            let Some(from) = from else {
                self.dropped.fetch_add(1, Ordering::SeqCst);
                continue;
            };
            let link = self.links.lock().expect("no panic").get(&(from, to)).copied();
            let link = link.unwrap_or_else(|| *self.usual.lock().expect("no panic"));
            if link.cut || self.draw() < link.drop {
                self.dropped.fetch_add(1, Ordering::SeqCst);
                continue;
            }
            let copies = if self.draw() < link.duplicate { 2 } else { 1 };
            for _ in 0..copies {
                if link.delay.is_zero() {
                    self.pass(from, to, &buf[..n]);
                } else {
                    let mut delayed = self.delayed.lock().expect("no panic");
                    if delayed.len() < DELAYED_MOST {
                        let order = self.order.fetch_add(1, Ordering::SeqCst);
                        delayed.push(Reverse((
                            Instant::now() + link.delay,
                            order,
                            from,
                            to,
                            buf[..n].to_vec(),
                        )));
                    }
                }
            }
        }
    }

    fn release(&self) {
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
                self.pass(from, to, &bytes);
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Sends from the sender's own front, so that an answer to the source goes back through the relay too.
    fn pass(&self, from: usize, to: usize, bytes: &[u8]) {
        let back = self.backs.lock().expect("no panic")[to];
        if let Some(back) = back {
            let _ = self.fronts[from].send_to(bytes, back);
            self.passed.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// A draw in [0, 1), seeded.
    fn draw(&self) -> f64 {
        self.random.lock().expect("no panic").random()
    }
}
