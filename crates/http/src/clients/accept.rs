//! Accepting connections, and making room for them.

use std::cell::Cell;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use magpietally_net::{Accepted, Listener, Shortage, Stream, Unregistered};
use magpietally_os_error::retry::Pauses;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::closing::CloseReason;
use super::{Client, ClientConnections};
use crate::watched_stream::{ConnectionPhase, WatchedStream};

/// From this age on a request that is still coming makes room for others where there is none.
const STALE: Duration = Duration::from_millis(250);
/// A connection that has just come gets this long to bring its request, before it is closed as idle.
const FRESH: Duration = Duration::from_millis(200);
/// How long the log keeps quiet of the same trouble.
const QUIET: Duration = Duration::from_secs(5);
/// How long the backlog is emptied at the end.
const BACKLOG_WITHIN: Duration = Duration::from_millis(100);
/// How long accepting waits for a connection to be closed, where no more may be held; and for how long a lack of descriptors
/// must last before fewer connections are held.
const EXHAUSTED: Duration = Duration::from_millis(20);
/// So many descriptors are left to others when they have run out: the call to discovery, and attempts.
const LEFT: usize = 8;
/// How long descriptors must have sufficed before more connections are held again than when they ran out.
const EASE_AFTER: Duration = Duration::from_secs(1);

/// Something that accepting lacks, from its first failure to its first success.
#[derive(Default)]
struct Lack {
    since: Option<Instant>,
    pauses: Pauses,
    logged: Option<Instant>,
}

impl Lack {
    fn is_over(&mut self) {
        if self.since.take().is_some() {
            self.pauses = Pauses::default();
        }
    }

    /// Has it lasted for longer than a moment?
    fn lasts(&mut self) -> bool {
        self.since.get_or_insert_with(Instant::now).elapsed() >= EXHAUSTED
    }

    fn log(&mut self, shortage: &Shortage) {
        if self.logged.is_none_or(|at| at.elapsed() >= QUIET) {
            self.logged = Some(Instant::now());
            tracing::warn!(target: "accept", "{}", shortage.error);
        }
    }
}

/// How many connections fewer than usual are held, as descriptors have run out.
#[derive(Default)]
pub(super) struct Reduction {
    by: Cell<usize>,
    since: Cell<Option<Instant>>,
}

impl Reduction {
    /// By how many.
    pub(super) fn get(&self) -> usize {
        self.by.get()
    }

    fn set(&self, by: usize) {
        self.by.set(by);
        self.since.set(Some(Instant::now()));
    }

    /// Takes half of it back, where descriptors have not run out again for a while.
    pub(super) fn ease(&self) {
        if self.since.get().is_none_or(|since| since.elapsed() >= EASE_AFTER) {
            self.by.set(self.by.get() / 2);
        }
    }
}

impl ClientConnections {
    /// Accepts connections; never ends.
    pub async fn accept(self: &Rc<Self>, listener: &Listener) {
        let mut lack = Lack::default();
        loop {
            self.room().await;
            match listener.accept().await {
                Ok(accepted) => {
                    lack.is_over();
                    self.serve(accepted);
                }
                Err(shortage) => self.wait_for_room(listener, &shortage, &mut lack).await,
            }
        }
    }

    /// Makes room for what accepting lacks, and pauses.
    async fn wait_for_room(&self, listener: &Listener, shortage: &Shortage, lack: &mut Lack) {
        lack.log(shortage);
        self.make_room(listener, shortage, lack.lasts());
        sleep(lack.pauses.next_pause().min(EXHAUSTED)).await;
    }

    /// Lets go of what is idle, so that accepting has what it lacks. Fewer connections are held only where the process's own
    /// descriptors stay short: whatever became free would else be taken by the next of the backlog.
    fn make_room(&self, listener: &Listener, shortage: &Shortage, lasts: bool) {
        if shortage.is_of_own_descriptors() || lasts {
            self.node.transport().pool.evict_idle();
        }
        if shortage.is_of_own_descriptors() && lasts && !listener.has_spare_descriptor() {
            let held = self.count().saturating_sub(LEFT);
            self.fewer.set(self.most.saturating_sub(held.max(1)));
        }
    }

    /// Waits until one connection more may be held. The descriptor of one that makes room is free when its task has ended, and
    /// no sooner: a crowd that waits in the backlog would else be let in all at once.
    async fn room(&self) {
        while self.count() >= self.most.saturating_sub(self.fewer.get()).max(1) {
            if !self.open.borrow().values().any(|c| c.evicted.get()) {
                self.evict();
            }
            // One that is busy may be idle by then.
            let _ = timeout(EXHAUSTED, self.freed.notified()).await;
        }
    }

    /// Accepts what the backlog still holds, but not without end what a crowd goes on adding to it.
    pub async fn drain_backlog(self: &Rc<Self>, listener: &Listener) {
        let began = Instant::now();
        let mut lack = Lack::default();
        while began.elapsed() < BACKLOG_WITHIN {
            if timeout(EXHAUSTED, self.room()).await.is_err() {
                continue;
            }
            match timeout(EXHAUSTED, listener.accept()).await {
                Ok(Ok(accepted)) => {
                    lack.is_over();
                    self.serve(accepted);
                }
                Ok(Err(shortage)) => self.wait_for_room(listener, &shortage, &mut lack).await,
                // Nothing waits any more.
                Err(_) => return,
            }
        }
    }

    /// Has one connection closed, those first that never said a word, then the one that has been idle for longest, then
    /// the one whose request has been coming for longest; none where all are busy.
    pub(super) fn evict(&self) {
        let open = self.open.borrow();
        let rank = |c: &Client| match c.sock.phase() {
            _ if c.lingers.get() => None,
            (ConnectionPhase::Idle, since) => {
                // A crowd that says nothing must not push out those that are used.
                let crowd = !c.sock.has_received_any() && since.elapsed() >= FRESH;
                Some((if crowd { 0 } else { 1 }, since))
            }
            (ConnectionPhase::Reading, since) if since.elapsed() >= STALE => Some((2, since)),
            _ => None,
        };
        let mut all: Vec<_> = open.iter().filter_map(|(n, c)| Some((rank(c)?, *n, c))).collect();
        all.sort_unstable_by_key(|(rank, number, _)| (*rank, *number));
        // The kernel is asked of no more than it takes.
        if let Some((.., client)) = all.into_iter().find(|(.., client)| client.sock.is_quiet()) {
            client.evicted.set(true);
            client.close_for(CloseReason::Evicted);
        }
    }

    /// Takes over a connection. One that the poll has no room for yet is held until it has.
    pub(super) fn serve(self: &Rc<Self>, accepted: Accepted) {
        match Stream::new(accepted.socket) {
            Ok(stream) => self.begin(stream, accepted.unread_since),
            Err(unregistered) => {
                let unread_since = accepted.unread_since.unwrap_or_else(Instant::now);
                self.registering.set(self.registering.get() + 1);
                let clients = self.clone();
                tokio::task::spawn_local(async move {
                    let registered = clients.register(unregistered).await;
                    clients.registering.set(clients.registering.get() - 1);
                    if let Some(stream) = registered {
                        clients.begin(stream, Some(unread_since));
                    }
                });
            }
        }
    }

    async fn register(&self, unregistered: Unregistered<TcpStream>) -> Option<Stream> {
        self.log(|| tracing::warn!(target: "accept", "not registered yet: {}", unregistered.error));
        match unregistered.retry().await {
            Ok(registered) => Some(Stream::from(registered)),
            Err(error) => {
                self.log(|| tracing::error!(target: "accept", "a connection is closed unread: {error}"));
                self.freed.notify_one();
                None
            }
        }
    }

    /// Serves a connection whose first bytes may have waited for a while.
    fn begin(self: &Rc<Self>, stream: Stream, unread_since: Option<Instant>) {
        if let Some(since) = unread_since {
            stream.delayed_since(since);
        }
        let number = self.last.get() + 1;
        self.last.set(number);
        let client = Rc::new(Client {
            number,
            sock: WatchedStream::for_client(stream),
            close: Notify::new(),
            reason: Cell::default(),
            evicted: Cell::default(),
            lingers: Cell::default(),
        });
        self.open.borrow_mut().insert(number, client.clone());
        let clients = self.clone();
        tokio::task::spawn_local(async move {
            clients.converse(client).await;
            clients.open.borrow_mut().remove(&number);
            clients.freed.notify_one();
        });
    }
}
