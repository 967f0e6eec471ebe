//! The open intents, and how records change them. The writer applies records as it writes them, recovery as
//! it reads them.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::record::{Carried, Intent, Record};

/// Maximum number of outcomes that are remembered because they precede their intent.
const EARLY_OUTCOMES_MAX: usize = 1024;

/// An intent without an outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct OpenIntent {
    /// The intent.
    #[serde(flatten)]
    pub intent: Intent,
    /// Whether the intent, and everything before it in its segment, was read from undamaged bytes.
    pub trusted: bool,
}

/// The open intents, up to a maximum number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OpenIntents {
    open: BTreeMap<u64, OpenIntent>,
    /// Intents whose outcome was read before the intent itself.
    early_outcomes: BTreeSet<u64>,
    open_max: usize,
    overflow: u64,
    orphans: u64,
}

impl OpenIntents {
    /// Starts without open intents. Intents beyond the maximum are counted but not held.
    pub fn new(open_max: usize) -> Self {
        Self { open_max, ..Self::default() }
    }

    /// The open intents by number.
    pub fn open(&self) -> impl ExactSizeIterator<Item = &OpenIntent> {
        self.open.values()
    }

    /// Returns whether this intent is open.
    pub fn is_open(&self, number: u64) -> bool {
        self.open.contains_key(&number)
    }

    /// The number of intents beyond the maximum.
    pub fn overflow(&self) -> u64 {
        self.overflow
    }

    /// The number of outcomes whose intent was not known.
    pub fn orphans(&self) -> u64 {
        self.orphans
    }

    /// Applies a record. An untrusted outcome closes nothing, because it may belong to another incarnation
    /// than it seems to.
    pub fn apply(&mut self, record: &Record, trusted: bool) {
        match record {
            Record::Intent(intent) => self.add(intent, trusted),
            Record::Carried(Carried { intent, trusted: was_trusted }) => {
                self.add(intent, trusted && *was_trusted)
            }
            Record::Outcome(outcome) => self.close(outcome.intent, trusted),
            Record::Settled(settled) => self.close(settled.intent, trusted),
            Record::Final(_) | Record::Checkpoint { .. } | Record::Doubt { .. } | Record::Closed { .. } => {}
        }
    }

    fn add(&mut self, intent: &Intent, trusted: bool) {
        if trusted && self.early_outcomes.remove(&intent.number) {
            return;
        }
        if let Some(known) = self.open.get_mut(&intent.number) {
            // A repeated intent, perhaps read from damaged bytes, does not lower the trust of the first
            // reading.
            known.trusted |= trusted;
            return;
        }
        if self.open.len() >= self.open_max {
            self.overflow += 1;
            return;
        }
        self.open.insert(intent.number, OpenIntent { intent: intent.clone(), trusted });
    }

    fn close(&mut self, number: u64, trusted: bool) {
        match self.open.get_mut(&number) {
            Some(open) if !trusted => open.trusted = false,
            Some(_) => {
                self.open.remove(&number);
            }
            None if trusted && self.early_outcomes.len() < EARLY_OUTCOMES_MAX => {
                self.early_outcomes.insert(number);
                self.orphans += 1;
            }
            None => self.orphans += 1,
        }
    }

    /// Forgets early outcomes after missing records. An outcome without its intent no longer counts as early,
    /// because the intent itself may have been lost.
    pub fn forget_early_outcomes(&mut self) {
        self.early_outcomes.clear();
    }
}

#[cfg(test)]
mod tests;
