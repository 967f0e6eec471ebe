//! The ids of the open requests of a process, across all of its workers.

use std::collections::hash_map::RandomState;
use std::collections::HashSet;
use std::hash::BuildHasher;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Shards of the set, each with a lock of its own, to keep lock contention between workers low.
const SHARDS: usize = 32;

/// The ids of requests that await their answer. Clones share one set: an id that is open at one worker counts
/// as open at all others, so that no request runs at two of them.
#[derive(Clone, Debug, Default)]
pub struct OpenIds(Arc<Shards>);

#[derive(Debug)]
struct Shards {
    /// Randomly keyed, because clients choose their ids.
    hasher: RandomState,
    shards: Vec<Mutex<HashSet<Box<str>>>>,
}

impl Default for Shards {
    fn default() -> Self {
        Self { hasher: RandomState::new(), shards: (0..SHARDS).map(|_| Mutex::default()).collect() }
    }
}

impl OpenIds {
    fn shard(&self, id: &str) -> MutexGuard<'_, HashSet<Box<str>>> {
        let index = self.0.hasher.hash_one(id) as usize % SHARDS;
        // A worker that panicked while it held the lock left the set consistent: each change is a single
        // call.
        self.0.shards[index].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens an id; returns false if it is already open.
    pub(crate) fn open(&self, id: &str) -> bool {
        self.shard(id).insert(id.into())
    }

    /// Closes an id.
    pub(crate) fn close(&self, id: &str) {
        self.shard(id).remove(id);
    }
}

#[cfg(test)]
mod tests;
