//! The clients' ids that are open in a process, over all of its workers.

use std::collections::hash_map::RandomState;
use std::collections::HashSet;
use std::hash::BuildHasher;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Parts of the set with a lock each, so that workers seldom meet at one.
const PARTS: usize = 32;

/// The ids of requests that await their answer. Clones share one set: an id that is open at one worker is seen as open at
/// all others, so that no request runs at two of them.
#[derive(Clone, Debug, Default)]
pub struct OpenIds(Arc<Parts>);

#[derive(Debug)]
struct Parts {
    /// Keyed at random: clients choose their ids.
    hasher: RandomState,
    parts: Vec<Mutex<HashSet<Box<str>>>>,
}

impl Default for Parts {
    fn default() -> Self {
        Self { hasher: RandomState::new(), parts: (0..PARTS).map(|_| Mutex::default()).collect() }
    }
}

impl OpenIds {
    fn part(&self, id: &str) -> MutexGuard<'_, HashSet<Box<str>>> {
        let place = self.0.hasher.hash_one(id) as usize % PARTS;
        // A worker that panicked while it held the lock left a whole set all the same: one call changes it.
        self.0.parts[place].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens an id; false where it is open already.
    pub(crate) fn open(&self, id: &str) -> bool {
        self.part(id).insert(id.into())
    }

    /// Closes an id.
    pub(crate) fn close(&self, id: &str) {
        self.part(id).remove(id);
    }
}

#[cfg(test)]
mod tests;
