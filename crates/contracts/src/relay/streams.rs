//! Relay for TCP connections: one thread, one task for each connection, faults by link and direction.

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

/// The faults of a link for the bytes of its connections, in one direction (that of the sender, whichever
/// side opened the connection).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamLink {
    /// Added latency.
    pub delay: Duration,
    /// Whether bytes are held back until this is unset: a path that is interrupted for a while.
    pub paused: bool,
    /// Whether bytes and the end of a connection are silently discarded, as when the other side has vanished
    /// without closing the connection. A connection that has lost bytes this way never delivers any again.
    pub blackhole: bool,
    /// Bandwidth limit in bytes per second; `None` means unlimited.
    pub bytes_per_s: Option<u64>,
    /// Share of chunks at which the whole connection is reset instead of forwarding them; the draws are
    /// seeded.
    pub reset_share: f64,
    /// Whether new connections opened by this side are reset at once.
    pub refuse_connections: bool,
}

/// Maximum bytes read at a time, and so the unit in which a bandwidth limit applies.
const CHUNK_BYTES: usize = 4096;
/// Chunks that a connection holds for their delay, in one direction: 1 MiB, after which the sender is
/// blocked.
const CHUNKS_MAX: usize = 256;
/// How often a paused link checks whether it is still paused.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Default)]
struct State {
    links: BTreeMap<(usize, usize), StreamLink>,
    default_link: StreamLink,
    backends: BTreeMap<usize, SocketAddr>,
    /// Incremented at each reset of a pair of nodes; connections opened before it are aborted.
    resets: BTreeMap<(usize, usize), u64>,
    connections: u64,
    aborted: u64,
}

struct Inner {
    state: Mutex<State>,
    random: Mutex<Pcg64>,
    /// Notified at each reset.
    reset: Notify,
    stop: Notify,
}

/// Relay for TCP connections; its thread and all its connections end when it is dropped.
pub struct StreamRelay {
    inner: Arc<Inner>,
    frontends: BTreeMap<(usize, usize), SocketAddr>,
    thread: Option<JoinHandle<()>>,
}

fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

impl StreamRelay {
    /// Creates a relay between `n` nodes. Each ordered pair has its own frontend, because a connection does
    /// not identify the node that opens it.
    pub fn new(n: usize, seed: u64) -> Self {
        let inner = Arc::new(Inner {
            state: Mutex::default(),
            random: Mutex::new(Pcg64::seed_from_u64(seed)),
            reset: Notify::new(),
            stop: Notify::new(),
        });
        let (mut frontends, mut listeners) = (BTreeMap::new(), Vec::new());
        for direction in (0..n).flat_map(|a| (0..n).map(move |b| (a, b))).filter(|(a, b)| a != b) {
            let listener = StdListener::bind("127.0.0.1:0").expect("a port");
            listener.set_nonblocking(true).expect("a socket");
            frontends.insert(direction, listener.local_addr().expect("bound"));
            listeners.push((direction, listener));
        }
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let shared = inner.clone();
        let thread = std::thread::spawn(move || {
            runtime.block_on(async {
                for (direction, listener) in listeners {
                    let listener = TcpListener::from_std(listener).expect("inside the runtime");
                    tokio::spawn(shared.clone().accept_loop(direction, listener));
                }
                shared.stop.notified().await;
            });
        });
        Self { inner, frontends, thread: Some(thread) }
    }

    /// The address to which `from` connects to reach `to`.
    pub fn frontend(&self, from: usize, to: usize) -> SocketAddr {
        self.frontends[&(from, to)]
    }

    /// Sets node `i`'s own listener. Call it again after a restart of the node.
    pub fn attach(&self, i: usize, backend: SocketAddr) {
        self.inner.state().backends.insert(i, backend);
    }

    /// Removes node `i`'s listener: connections to it are reset.
    pub fn detach(&self, i: usize) {
        self.inner.state().backends.remove(&i);
    }

    /// Sets the faults of the link from `from` to `to` from now on.
    pub fn set_link(&self, from: usize, to: usize, link: StreamLink) {
        self.inner.state().links.insert((from, to), link);
    }

    /// Sets the faults of every link without a setting of its own.
    pub fn set_default_link(&self, link: StreamLink) {
        self.inner.state().default_link = link;
    }

    /// Removes the faults of every link; a connection that has lost bytes stays dead.
    pub fn heal(&self) {
        let mut s = self.inner.state();
        s.links.clear();
        s.default_link = StreamLink::default();
    }

    /// Resets all connections between two nodes, whichever side opened them; new ones may be opened.
    pub fn reset(&self, a: usize, b: usize) {
        *self.inner.state().resets.entry(pair(a, b)).or_default() += 1;
        self.inner.reset.notify_waiters();
    }

    /// Refuses new connections between `a` and `b` in both directions and resets the existing ones.
    pub fn partition(&self, a: &[usize], b: &[usize]) {
        for &x in a {
            for &y in b {
                self.set_link(x, y, StreamLink { refuse_connections: true, ..StreamLink::default() });
                self.set_link(y, x, StreamLink { refuse_connections: true, ..StreamLink::default() });
                self.reset(x, y);
            }
        }
    }

    /// The numbers of connections forwarded so far and of those that the relay itself aborted or refused.
    pub fn counts(&self) -> (u64, u64) {
        let s = self.inner.state();
        (s.connections, s.aborted)
    }
}

impl Drop for StreamRelay {
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

    fn link(&self, direction: (usize, usize)) -> StreamLink {
        let s = self.state();
        s.links.get(&direction).copied().unwrap_or(s.default_link)
    }

    fn resets(&self, direction: (usize, usize)) -> u64 {
        self.state().resets.get(&pair(direction.0, direction.1)).copied().unwrap_or(0)
    }

    async fn accept_loop(self: Arc<Self>, direction: (usize, usize), listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(POLL_INTERVAL).await;
                continue;
            };
            tokio::spawn(self.clone().relay_connection(direction, stream));
        }
    }

    async fn relay_connection(self: Arc<Self>, direction: (usize, usize), mut client: TcpStream) {
        let resets = self.resets(direction);
        let backend = self.state().backends.get(&direction.1).copied();
        let listener = match backend.filter(|_| !self.link(direction).refuse_connections) {
            Some(backend) => TcpStream::connect(backend).await.ok(),
            None => None,
        };
        let Some(mut listener) = listener else {
            self.state().aborted += 1;
            abort(client);
            return;
        };
        self.state().connections += 1;
        let _ = (client.set_nodelay(true), listener.set_nodelay(true));
        // Borrowed halves: dropping an owned half would shut its direction down before any reset.
        let (from_client, to_client) = client.split();
        let (from_listener, to_listener) = listener.split();
        let return_direction = (direction.1, direction.0);
        let aborted = tokio::select! {
            ends = async { tokio::try_join!(
                self.copy_direction(direction, from_client, to_listener),
                self.copy_direction(return_direction, from_listener, to_client),
            ) } => ends.is_err(),
            () = self.wait_for_reset(direction, resets) => true,
        };
        if aborted {
            self.state().aborted += 1;
            abort(client);
            abort(listener);
        }
    }

    async fn wait_for_reset(&self, direction: (usize, usize), before: u64) {
        loop {
            let notified = self.reset.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if self.resets(direction) != before {
                return;
            }
            notified.await;
        }
    }

    /// Copies one direction of a connection with the faults of its link. An error on either socket ends the
    /// connection.
    async fn copy_direction(
        &self,
        direction: (usize, usize),
        mut from: ReadHalf<'_>,
        mut to: WriteHalf<'_>,
    ) -> io::Result<()> {
        let (sender, mut receiver) = mpsc::channel::<(Instant, Vec<u8>)>(CHUNKS_MAX);
        let read = async move {
            let mut buffer = vec![0; CHUNK_BYTES];
            let mut blackholed = false;
            loop {
                let n = from.read(&mut buffer).await;
                let link = self.link(direction);
                blackholed |= link.blackhole;
                if blackholed {
                    match n {
                        // The end of the stream is not forwarded either. The end of the other direction, or a
                        // reset, ends the connection.
                        Ok(0) | Err(_) => std::future::pending::<()>().await,
                        Ok(_) => continue,
                    }
                }
                let n = n?;
                if n == 0 {
                    return Ok(());
                }
                if link.reset_share > 0.0
                    && self.random.lock().is_ok_and(|mut r| r.random::<f64>() < link.reset_share)
                {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                let _ = sender.send((Instant::now() + link.delay, buffer[..n].to_vec())).await;
            }
        };
        let write = async {
            while let Some((due, chunk)) = receiver.recv().await {
                sleep_until(due).await;
                while self.link(direction).paused {
                    sleep(POLL_INTERVAL).await;
                }
                if let Some(rate) = self.link(direction).bytes_per_s {
                    sleep(Duration::from_secs_f64(chunk.len() as f64 / rate.max(1) as f64)).await;
                }
                to.write_all(&chunk).await?;
            }
            to.shutdown().await
        };
        tokio::try_join!(read, write).map(|_| ())
    }
}

/// Closes the connection with a reset.
fn abort(stream: TcpStream) {
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    drop(stream);
}
