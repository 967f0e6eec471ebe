//! What is open: the one rule by which records change it, for the writer as it goes and for recovery afterwards.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::record::{Carried, Intent, Record};

/// The most outcomes that are remembered because they came before their intent.
const EARLY_MOST: usize = 1024;

/// An intent without an outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct OpenIntent {
    /// The intent.
    #[serde(flatten)]
    pub intent: Intent,
    /// Nothing was wrong with the bytes that it was read from, nor before them.
    pub trusted: bool,
}

/// The open intents, at most so many.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OpenIntents {
    open: BTreeMap<u64, OpenIntent>,
    /// Outcomes that overtook their intents.
    early: BTreeSet<u64>,
    most: usize,
    over: u64,
    orphans: u64,
}

impl OpenIntents {
    /// Nothing is open. More than `most` are counted, not held.
    pub fn new(most: usize) -> Self {
        Self { most, ..Self::default() }
    }

    /// The open intents by number.
    pub fn open(&self) -> impl ExactSizeIterator<Item = &OpenIntent> {
        self.open.values()
    }

    /// Is this intent open?
    pub fn is_open(&self, number: u64) -> bool {
        self.open.contains_key(&number)
    }

    /// How many intents there was no room for.
    pub fn over(&self) -> u64 {
        self.over
    }

    /// How many outcomes no intent was known for.
    pub fn orphans(&self) -> u64 {
        self.orphans
    }

    /// Takes a record in. What is not trusted closes nothing: its outcome may be of another life than it seems.
    pub fn apply(&mut self, record: &Record, trusted: bool) {
        match record {
            Record::Intent(intent) => self.enter(intent, trusted),
            Record::Carried(Carried { intent, trusted: was }) => self.enter(intent, trusted && *was),
            Record::Outcome(outcome) => self.close(outcome.intent, trusted),
            Record::Settled(settled) => self.close(settled.intent, trusted),
            Record::Final(_) | Record::Checkpoint { .. } | Record::Doubt { .. } | Record::Closed { .. } => {}
        }
    }

    fn enter(&mut self, intent: &Intent, trusted: bool) {
        if trusted && self.early.remove(&intent.number) {
            return;
        }
        if let Some(known) = self.open.get_mut(&intent.number) {
            // Told again, perhaps by bytes that are worth less: what was known before still is.
            known.trusted |= trusted;
            return;
        }
        if self.open.len() >= self.most {
            self.over += 1;
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
            None if trusted && self.early.len() < EARLY_MOST => {
                self.early.insert(number);
                self.orphans += 1;
            }
            None => self.orphans += 1,
        }
    }

    /// Something is missing from here on: an outcome without its intent is no early one any more, as the intent may have
    /// been lost.
    pub fn forget_early(&mut self) {
        self.early.clear();
    }
}

#[cfg(test)]
mod tests;
