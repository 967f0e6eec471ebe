//! Requests that their clients say again.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// How long a repeat of an admitted request costs nothing: past it a client has had its answer, or gave up.
const SPAN: Duration = Duration::from_secs(30);
/// How often: a key that comes for ever is not a repeat.
const FREE: u8 = 2;
/// Keys remembered at most; the oldest goes first, and its repeats cost again.
const KEYS_MAX: usize = 1 << 14;

/// Keys admitted lately at this node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Repeats {
    /// Until when, and how many repeats are free yet.
    keys: HashMap<(u32, u64), (Duration, u8)>,
    order: VecDeque<(u32, u64)>,
}

impl Repeats {
    /// Whether `key` of `tenant` is a repeat that costs nothing.
    pub fn free(&mut self, now: Duration, tenant: u32, key: u64) -> bool {
        match self.keys.get_mut(&(tenant, key)) {
            Some((until, free)) if now < *until && *free > 0 => {
                *free -= 1;
                true
            }
            _ => false,
        }
    }

    /// Remembers an admitted request.
    pub fn admitted(&mut self, now: Duration, tenant: u32, key: u64) {
        if self.keys.insert((tenant, key), (now + SPAN, FREE)).is_none() {
            if self.order.len() >= KEYS_MAX {
                if let Some(old) = self.order.pop_front() {
                    self.keys.remove(&old);
                }
            }
            self.order.push_back((tenant, key));
        }
    }
}
