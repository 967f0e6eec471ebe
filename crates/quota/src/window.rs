//! What was asked for lately.

use std::time::Duration;

/// One slot of the window.
pub(crate) const SLOT: Duration = Duration::from_millis(125);
/// Slots of a window: a second in all. Demand that moves away is gone from it in time to be given elsewhere within two.
const SLOTS: usize = 8;

/// Costs asked for in the last second, refused ones too.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Window {
    slots: [u32; SLOTS],
    at: u64,
}

impl Window {
    fn turn(&mut self, now: Duration) {
        let at = (now.as_millis() / SLOT.as_millis()) as u64;
        for n in self.at + 1..=at.min(self.at + SLOTS as u64) {
            self.slots[(n % SLOTS as u64) as usize] = 0;
        }
        self.at = self.at.max(at);
    }

    pub fn add(&mut self, now: Duration, cost: u64) {
        self.turn(now);
        let slot = &mut self.slots[(self.at % SLOTS as u64) as usize];
        *slot = slot.saturating_add(u32::try_from(cost).unwrap_or(u32::MAX));
    }

    /// Tokens asked for in the last second.
    pub fn sum(&mut self, now: Duration) -> u64 {
        self.turn(now);
        self.slots.iter().map(|&n| u64::from(n)).sum()
    }
}
