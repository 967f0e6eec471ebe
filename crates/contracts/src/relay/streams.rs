//! TCP connections through a relay: one thread, one task a connection, faults by link and direction.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep, sleep_until, Instant};

/// What a link does to the bytes of its connections, one way (by who sends them, not by who dialled).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Stream {
    /// Time added on the way.
    pub delay: Duration,
    /// Bytes are held, and go on once it is off: a path that is cut for a while.
    pub held: bool,
    /// Bytes, and the end of a connection, are swallowed without a word: the other side is gone, and nobody told. A
    /// connection that lost bytes so never passes any again.
    pub silent: bool,
    /// Bytes a second; none is no limit.
    pub rate: Option<u64>,
    /// The share of pieces at which the whole connection is reset instead, drawn by the seed.
    pub reset: f64,
    /// New connections that this side dials are reset at once.
    pub refused: bool,
}

/// Bytes read at a time; with a rate, what passes at a time.
const PIECE: usize = 4096;
/// Pieces a connection holds for their delay, one way: 1 MiB, and past it the sender feels it.
const PIECES: usize = 256;
/// How often a held link looks whether it is still held.
const LOOK: Duration = Duration::from_millis(2);

#[derive(Default)]
struct State {
    links: BTreeMap<(usize, usize), Stream>,
    usual: Stream,
    backs: BTreeMap<usize, SocketAddr>,
    /// Raised at each reset of a pair: connections older than that end.
    resets: BTreeMap<(usize, usize), u64>,
    connections: u64,
    broken: u64,
}

struct Inner {
    state: Mutex<State>,
    random: Mutex<Pcg64>,
    /// Told at each reset.
    reset: Notify,
    stop: Notify,
}

/// The relay for TCP; its thread ends when it is dropped, and all connections with it.
pub struct Streams {
    inner: Arc<Inner>,
    fronts: BTreeMap<(usize, usize), SocketAddr>,
    thread: Option<JoinHandle<()>>,
}

fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

impl Streams {
    /// A relay between `n` nodes. Each ordered pair has a front of its own, as a connection does not say who dials.
    pub fn new(n: usize, seed: u64) -> Self {
        let inner = Arc::new(Inner {
            state: Mutex::default(),
            random: Mutex::new(Pcg64::seed_from_u64(seed)),
            reset: Notify::new(),
            stop: Notify::new(),
        });
        let (mut fronts, mut listeners) = (BTreeMap::new(), Vec::new());
        for way in (0..n).flat_map(|a| (0..n).map(move |b| (a, b))).filter(|(a, b)| a != b) {
            let listener = StdListener::bind("127.0.0.1:0").expect("a port");
            listener.set_nonblocking(true).expect("a socket");
            fronts.insert(way, listener.local_addr().expect("bound"));
            listeners.push((way, listener));
        }
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let carried = inner.clone();
        let thread = std::thread::spawn(move || {
            runtime.block_on(async {
                for (way, listener) in listeners {
                    let listener = TcpListener::from_std(listener).expect("inside the runtime");
                    tokio::spawn(carried.clone().front(way, listener));
                }
                carried.stop.notified().await;
            });
        });
        Self { inner, fronts, thread: Some(thread) }
    }

    /// Where `from` dials to reach `to`.
    pub fn front(&self, from: usize, to: usize) -> SocketAddr {
        self.fronts[&(from, to)]
    }

    /// Node `i`'s own listener (again after a restart).
    pub fn attach(&self, i: usize, back: SocketAddr) {
        self.inner.state().backs.insert(i, back);
    }

    /// Node `i` has no listener: whoever dials it is reset.
    pub fn detach(&self, i: usize) {
        self.inner.state().backs.remove(&i);
    }

    /// What the link from `from` to `to` does from now on.
    pub fn set(&self, from: usize, to: usize, link: Stream) {
        self.inner.state().links.insert((from, to), link);
    }

    /// What every link without a setting of its own does.
    pub fn set_all(&self, link: Stream) {
        self.inner.state().usual = link;
    }

    /// Every link passes all again; a connection that lost bytes stays dead.
    pub fn heal(&self) {
        let mut s = self.inner.state();
        s.links.clear();
        s.usual = Stream::default();
    }

    /// Resets all connections between two nodes, whoever dialled; new ones may be made.
    pub fn reset(&self, a: usize, b: usize) {
        *self.inner.state().resets.entry(pair(a, b)).or_default() += 1;
        self.inner.reset.notify_waiters();
    }

    /// Cuts every link between `a` and `b` both ways, with a reset of what there is.
    pub fn partition(&self, a: &[usize], b: &[usize]) {
        for &x in a {
            for &y in b {
                self.set(x, y, Stream { refused: true, ..Stream::default() });
                self.set(y, x, Stream { refused: true, ..Stream::default() });
                self.reset(x, y);
            }
        }
    }

    /// Connections passed on so far, and those that the relay itself broke or refused.
    pub fn counts(&self) -> (u64, u64) {
        let s = self.inner.state();
        (s.connections, s.broken)
    }
}

impl Drop for Streams {
    fn drop(&mut self) {
        self.inner.stop.notify_one();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn link(&self, way: (usize, usize)) -> Stream {
        let s = self.state();
        s.links.get(&way).copied().unwrap_or(s.usual)
    }

    fn resets(&self, way: (usize, usize)) -> u64 {
        self.state().resets.get(&pair(way.0, way.1)).copied().unwrap_or(0)
    }

    async fn front(self: Arc<Self>, way: (usize, usize), listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(LOOK).await;
                continue;
            };
            tokio::spawn(self.clone().connection(way, stream));
        }
    }

    async fn connection(self: Arc<Self>, way: (usize, usize), mut dialler: TcpStream) {
        let resets = self.resets(way);
        let back = self.state().backs.get(&way.1).copied();
        let listener = match back.filter(|_| !self.link(way).refused) {
            Some(back) => TcpStream::connect(back).await.ok(),
            None => None,
        };
        let Some(mut listener) = listener else {
            self.state().broken += 1;
            abort(dialler);
            return;
        };
        self.state().connections += 1;
        let _ = (dialler.set_nodelay(true), listener.set_nodelay(true));
        // Borrowed halves: an owned one says the end of its way when it is dropped, before any reset.
        let (from_dialler, to_dialler) = dialler.split();
        let (from_listener, to_listener) = listener.split();
        let back_way = (way.1, way.0);
        let broken = tokio::select! {
            ends = async { tokio::try_join!(
                self.pass(way, from_dialler, to_listener),
                self.pass(back_way, from_listener, to_dialler),
            ) } => ends.is_err(),
            () = self.until_reset(way, resets) => true,
        };
        if broken {
            self.state().broken += 1;
            abort(dialler);
            abort(listener);
        }
    }

    async fn until_reset(&self, way: (usize, usize), before: u64) {
        loop {
            let told = self.reset.notified();
            tokio::pin!(told);
            told.as_mut().enable();
            if self.resets(way) != before {
                return;
            }
            told.await;
        }
    }

    /// One way of a connection, with its link's faults. An error where either socket breaks: the connection ends.
    async fn pass(
        &self,
        way: (usize, usize),
        mut from: ReadHalf<'_>,
        mut to: WriteHalf<'_>,
    ) -> io::Result<()> {
        let (push, mut pull) = mpsc::channel::<(Instant, Vec<u8>)>(PIECES);
        let read = async move {
            let mut buffer = vec![0; PIECE];
            let mut swallowed = false;
            loop {
                let n = from.read(&mut buffer).await;
                let link = self.link(way);
                swallowed |= link.silent;
                if swallowed {
                    match n {
                        // Its end is not told either. The other way's end, or a reset, ends the connection.
                        Ok(0) | Err(_) => std::future::pending::<()>().await,
                        Ok(_) => continue,
                    }
                }
                let n = n?;
                if n == 0 {
                    return Ok(());
                }
                if link.reset > 0.0 && self.random.lock().is_ok_and(|mut r| r.random::<f64>() < link.reset) {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                let _ = push.send((Instant::now() + link.delay, buffer[..n].to_vec())).await;
            }
        };
        let write = async {
            while let Some((due, piece)) = pull.recv().await {
                sleep_until(due).await;
                while self.link(way).held {
                    sleep(LOOK).await;
                }
                if let Some(rate) = self.link(way).rate {
                    sleep(Duration::from_secs_f64(piece.len() as f64 / rate.max(1) as f64)).await;
                }
                to.write_all(&piece).await?;
            }
            to.shutdown().await
        };
        tokio::try_join!(read, write).map(|_| ())
    }
}

/// Closes with a reset.
fn abort(stream: TcpStream) {
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    drop(stream);
}
