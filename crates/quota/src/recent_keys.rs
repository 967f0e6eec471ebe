//! Recently admitted idempotency keys, so that repeated requests are not charged again.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// How long a repeat of an admitted request is free. After that the client has its response or gave up.
const FREE_REPEAT_WINDOW: Duration = Duration::from_secs(30);
/// Number of free repeats. A key that keeps coming is not a repeat.
const FREE_REPEATS: u8 = 2;
/// Maximum number of remembered keys. The oldest is dropped first, and its repeats are charged again.
const KEYS_MAX: usize = 1 << 14;

/// Keys of requests that this node admitted recently.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentKeys {
    /// (tenant, key) to the end of the free period and the number of free repeats left.
    keys: HashMap<(u32, u64), (Duration, u8)>,
    order: VecDeque<(u32, u64)>,
}

impl RecentKeys {
    /// Returns whether the request with `key` is a free repeat, and uses up one free repeat if so.
    pub fn use_free_repeat(&mut self, now: Duration, tenant: u32, key: u64) -> bool {
        match self.keys.get_mut(&(tenant, key)) {
            Some((expires_at, free_repeats)) if now < *expires_at && *free_repeats > 0 => {
                *free_repeats -= 1;
                true
            }
            _ => false,
        }
    }

    /// Remembers the key of an admitted request.
    pub fn insert(&mut self, now: Duration, tenant: u32, key: u64) {
        if self.keys.insert((tenant, key), (now + FREE_REPEAT_WINDOW, FREE_REPEATS)).is_none() {
            if self.order.len() >= KEYS_MAX {
                if let Some(oldest) = self.order.pop_front() {
                    self.keys.remove(&oldest);
                }
            }
            self.order.push_back((tenant, key));
        }
    }
}
