//! What the ledger's own knowledge decides, pure: whether a request that seems to come again may go out, and whether any
//! that needs an intent may be taken at all. Which server and whether to repeat an attempt stay the policy's.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::Duration;

use crate::open_intents::OpenIntent;
use crate::record::{AttemptOutcome, Execution, KeyDigest, Timestamp};

/// What a class may do without the ledger.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RepeatRule {
    /// It may run any number of times: the ledger is not asked.
    Any,
    /// Servers drop a repeat by its key.
    Keyed {
        /// All of them know of each other's work; else those of a zone or a cell do, and which one a request goes to is the
        /// policy's choice.
        everywhere: bool,
        /// For how long after the first send, in microseconds.
        span_us: u64,
    },
    /// It may run once.
    Once,
}

impl RepeatRule {
    /// Must an attempt have its intent written?
    pub fn needs_intent(self) -> bool {
        self != Self::Any
    }
}

/// Why a request is answered as failed without an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// A request with this id was out when the node died: it may have run, and may run once.
    IdMayHaveRun,
    /// A request with this key was out when the node died, and the servers may have forgotten it by the time of a repeat.
    KeyOutOfSpan,
    /// The same, and only a part of the servers would know the repeat for one.
    KeyElsewhere,
    /// The same, and what the ledger holds of it is damaged: when it was first sent is not known.
    KeyNotTrusted,
}

impl RejectionReason {
    /// One word, for the answer to the client.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::IdMayHaveRun => "id-may-have-run",
            Self::KeyOutOfSpan => "key-out-of-span",
            Self::KeyElsewhere => "key-elsewhere",
            Self::KeyNotTrusted => "key-not-trusted",
        }
    }
}

/// Why nothing that needs an intent is taken at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntentError {
    /// The disk failed, and is not back yet.
    Down,
    /// What is being written takes too long.
    Slow,
    /// Too many intents wait to be written.
    QueueFull,
    /// As many intents are open as may be; those of earlier lives await an operator's word.
    TooManyOpen,
    /// Its id is longer than a record may hold.
    IdTooLong,
    /// The node ends.
    Closed,
}

impl fmt::Display for IntentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Down => "down",
            Self::Slow => "slow",
            Self::QueueFull => "busy",
            Self::TooManyOpen => "overfull",
            Self::IdTooLong => "id too long",
            Self::Closed => "closed",
        })
    }
}

/// How a ledger stands, for whoever asks whether one more intent may be noted.
#[derive(Clone, Copy, Debug)]
pub struct LedgerLoad {
    /// The node ends.
    pub closed: bool,
    /// The disk failed, and is not back yet.
    pub down: bool,
    /// More was open at the last death than could be taken over.
    pub over: bool,
    /// Intents that are open, those of earlier lives among them.
    pub open: usize,
    /// Intents that wait to be written, those that are being written among them.
    pub waiting: usize,
    /// For how long the batch of now has been written.
    pub write_elapsed: Option<Duration>,
}

/// How much a ledger bears.
#[derive(Clone, Copy, Debug)]
pub struct IntentLimits {
    /// Open intents.
    pub open: usize,
    /// Waiting intents.
    pub waiting: usize,
    /// A batch that takes longer shows a slow disk.
    pub stall: Duration,
}

impl LedgerLoad {
    /// May one more intent be noted?
    ///
    /// # Errors
    /// Why not; of several reasons the one that lasts longest.
    pub fn check(&self, limits: &IntentLimits) -> Result<(), IntentError> {
        if self.closed {
            Err(IntentError::Closed)
        } else if self.down {
            Err(IntentError::Down)
        } else if self.over || self.open + self.waiting >= limits.open {
            Err(IntentError::TooManyOpen)
        } else if self.write_elapsed.is_some_and(|span| span > limits.stall) {
            Err(IntentError::Slow)
        } else if self.waiting >= limits.waiting {
            Err(IntentError::QueueFull)
        } else {
            Ok(())
        }
    }
}

/// Is it harmless to ask again for a request none of whose attempts is out, as these ended? Only where none may have run.
pub fn is_safe_to_retry(ended: impl IntoIterator<Item = AttemptOutcome>) -> bool {
    ended.into_iter().all(|how| how.execution() == Execution::Never)
}

/// What is known of a key that was out when the node died.
#[derive(Clone, Copy, Debug)]
struct Sent {
    /// The earliest send that is known.
    at: Timestamp,
    trusted: bool,
}

impl Sent {
    /// For how long at least it has been sent, in microseconds; `None` where the clocks do not say. The wall clock may have been
    /// set back since, and the machine's own begins anew when that starts: the longer of both is believed.
    fn age_us(&self, now: Timestamp) -> Option<u64> {
        let by_wall = now.wall_us.checked_sub(self.at.wall_us)?;
        let by_boot = now.mono_us.saturating_sub(self.at.mono_us);
        Some(by_wall.max(by_boot))
    }
}

/// What was out when the node died, by id and by key.
#[derive(Debug, Default)]
pub struct UnknownIntents {
    ids: HashSet<Box<str>>,
    keys: HashMap<KeyDigest, Sent>,
    count: usize,
}

impl UnknownIntents {
    /// Those of a recovery.
    pub fn new<'a>(open: impl IntoIterator<Item = &'a OpenIntent>) -> Self {
        let mut all = Self::default();
        for OpenIntent { intent, trusted } in open {
            all.count += 1;
            let sent = Sent { at: intent.at, trusted: *trusted };
            match intent.key {
                // Of several attempts the first one's time counts: the span of a key begins with it.
                Some(key) => {
                    let first = all.keys.entry(key).or_insert(sent);
                    first.at.wall_us = first.at.wall_us.min(sent.at.wall_us);
                    first.at.mono_us = first.at.mono_us.min(sent.at.mono_us);
                    first.trusted &= sent.trusted;
                }
                None => {
                    all.ids.insert(intent.id.as_str().into());
                }
            }
        }
        all
    }

    /// How many intents they are.
    pub fn count(&self) -> usize {
        self.count
    }

    /// May this request go out? `left_us` is the time that the request has: an attempt may begin as late as that, and the
    /// servers must still know the key by then.
    ///
    /// # Errors
    /// Why it is answered as failed.
    pub fn check_repeat(
        &self,
        right: RepeatRule,
        id: &str,
        key: Option<KeyDigest>,
        now: Timestamp,
        left_us: u64,
    ) -> Result<(), RejectionReason> {
        if self.count == 0 {
            return Ok(());
        }
        match right {
            RepeatRule::Any => Ok(()),
            RepeatRule::Once if self.ids.contains(id) => Err(RejectionReason::IdMayHaveRun),
            RepeatRule::Once => Ok(()),
            RepeatRule::Keyed { everywhere, span_us } => {
                let Some(sent) = key.and_then(|key| self.keys.get(&key)) else { return Ok(()) };
                // A clock that has stepped back behind the send says nothing of how long ago it was.
                let age = sent.age_us(now);
                let in_span = age.is_some_and(|age| age.saturating_add(left_us) < span_us);
                match sent.trusted {
                    false => Err(RejectionReason::KeyNotTrusted),
                    true if !everywhere => Err(RejectionReason::KeyElsewhere),
                    true if !in_span => Err(RejectionReason::KeyOutOfSpan),
                    true => Ok(()),
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
