//! A sliding window over the demand of the last second.

use std::time::Duration;

/// Length of one slot.
pub(crate) const SLOT: Duration = Duration::from_millis(125);
/// Number of slots: one second in all, so that demand that moved away leaves the window early enough for its
/// share to be granted elsewhere within two seconds.
const SLOTS: usize = 8;

/// Cost of all requests of the last second, refused ones included.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DemandWindow {
    slots: [u32; SLOTS],
    slot_index: u64,
}

impl DemandWindow {
    fn advance(&mut self, now: Duration) {
        let slot_index = (now.as_millis() / SLOT.as_millis()) as u64;
        for n in self.slot_index + 1..=slot_index.min(self.slot_index + SLOTS as u64) {
            self.slots[(n % SLOTS as u64) as usize] = 0;
        }
        self.slot_index = self.slot_index.max(slot_index);
    }

    pub fn add(&mut self, now: Duration, cost: u64) {
        self.advance(now);
        let slot = &mut self.slots[(self.slot_index % SLOTS as u64) as usize];
        *slot = slot.saturating_add(u32::try_from(cost).unwrap_or(u32::MAX));
    }

    /// Returns the tokens requested in the last second.
    pub fn sum(&mut self, now: Duration) -> u64 {
        self.advance(now);
        self.slots.iter().map(|&n| u64::from(n)).sum()
    }
}
