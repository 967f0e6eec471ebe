//! The ids of requests that must not run twice, may have run, and whose clients have no answer, across all
//! workers of a process and, during a hand-over, its other process. Such an id may come again after its client
//! has left.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

pub use magpietally_ledger::KeyDigest as IdDigest;

/// How long an id is known after its request has ended. A client that has left sends an id again at once, or
/// never.
const RETENTION: Duration = Duration::from_secs(10);
/// The default maximum number of ids.
const DEFAULT_CAPACITY: usize = 16 * 1024;

/// Tells the other process of a hand-over which ids were sent, and learns of its ids.
pub trait SentIdExchange: Send {
    /// Publishes the id of a request that is about to be sent.
    fn publish(&mut self, id: IdDigest);

    /// Returns the ids that the other process has published since the last call.
    fn receive(&mut self) -> Vec<IdDigest>;
}

/// The set of ids; clones share it.
#[derive(Clone, Default)]
pub struct SentIds(Arc<Mutex<State>>);

struct State {
    /// Whether each known request is still open.
    known: HashMap<IdDigest, bool>,
    /// Requests whose client left without an answer, and those of the other process, by the time until which
    /// they are known.
    abandoned: VecDeque<(Instant, IdDigest)>,
    capacity: usize,
    exchange: Option<Box<dyn SentIdExchange>>,
}

impl Default for State {
    fn default() -> Self {
        Self { known: HashMap::new(), abandoned: VecDeque::new(), capacity: DEFAULT_CAPACITY, exchange: None }
    }
}

impl fmt::Debug for SentIds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ids", self.state().known.len())
    }
}

impl SentIds {
    fn state(&self) -> MutexGuard<'_, State> {
        // A worker that panicked while it held the lock has at most forgotten to queue an id for removal.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the maximum number of ids.
    pub fn set_capacity(&self, capacity: usize) {
        self.state().capacity = capacity.max(1);
    }

    /// Shares the ids with the other process of a hand-over.
    pub fn share(&self, exchange: Box<dyn SentIdExchange>) {
        self.state().exchange = Some(exchange);
    }

    /// Returns whether a request with this id may have run.
    pub(crate) fn contains(&self, id: IdDigest, now: Instant) -> bool {
        let mut state = self.state();
        state.receive(now);
        state.expire(now);
        state.known.contains_key(&id)
    }

    /// Returns whether one more id can be remembered. None is forgotten early to make room.
    pub(crate) fn has_room(&self) -> bool {
        let state = self.state();
        state.known.len() < state.capacity
    }

    /// Remembers the id of a request that is about to be sent.
    pub(crate) fn record(&self, id: IdDigest) {
        let mut state = self.state();
        if state.known.insert(id, true).is_some() {
            return;
        }
        if let Some(exchange) = &mut state.exchange {
            exchange.publish(id);
        }
    }

    /// Notes that the client of a request has left without an answer.
    pub(crate) fn abandon(&self, id: IdDigest, now: Instant) {
        let mut state = self.state();
        let Some(open) = state.known.get_mut(&id).filter(|open| **open) else { return };
        *open = false;
        state.abandoned.push_back((now + RETENTION, id));
    }

    /// Forgets a request that certainly did not run, or whose client has its answer: such a client may use the
    /// id for another request.
    pub(crate) fn forget(&self, id: IdDigest) {
        self.state().known.remove(&id);
    }
}

impl State {
    /// Adds the ids of the other process.
    fn receive(&mut self, now: Instant) {
        let Some(exchange) = &mut self.exchange else { return };
        for id in exchange.receive() {
            if self.known.insert(id, false).is_none() {
                self.abandoned.push_back((now + RETENTION, id));
            }
        }
    }

    fn expire(&mut self, now: Instant) {
        while self.abandoned.front().is_some_and(|(until, _)| *until <= now) {
            if let Some((_, id)) = self.abandoned.pop_front() {
                self.known.remove(&id);
            }
        }
    }
}

#[cfg(test)]
mod tests;
