//! Decisions that follow from the ledger's state, without I/O: whether a request that may be a repeat can be
//! sent, and whether a request that needs an intent can be accepted. Which server a request goes to and
//! whether an attempt is repeated is decided by the policy.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::Duration;

use crate::open_intents::OpenIntent;
use crate::record::{AttemptOutcome, Execution, KeyDigest, Timestamp};

/// How often requests of a class may run, and what makes a repeat harmless.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RepeatRule {
    /// Any number of times: the ledger is not consulted.
    Any,
    /// Once per key: servers drop a repeat with the same key.
    Keyed {
        /// Whether all servers recognize each other's keys. Otherwise only the servers of a zone or a cell
        /// do, and the policy chooses which one a request goes to.
        everywhere: bool,
        /// How long servers remember a key after the first send, in microseconds.
        span_us: u64,
    },
    /// Once.
    Once,
}

impl RepeatRule {
    /// Returns whether an attempt must have a recorded intent.
    pub fn needs_intent(self) -> bool {
        self != Self::Any
    }
}

/// Why a request is answered as failed without an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// A request with this id was in flight when the node died: it may have run, and may run only once.
    IdMayHaveRun,
    /// A request with this key was in flight when the node died, and the servers may have forgotten the key
    /// by the time of a repeat.
    KeyOutOfSpan,
    /// A request with this key was in flight when the node died, and only some of the servers would recognize
    /// the repeat.
    KeyElsewhere,
    /// A request with this key was in flight when the node died, and its ledger entry is damaged, so that the
    /// time of its first send is unknown.
    KeyNotTrusted,
}

impl RejectionReason {
    /// The reason as written in the response header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::IdMayHaveRun => "id-may-have-run",
            Self::KeyOutOfSpan => "key-out-of-span",
            Self::KeyElsewhere => "key-elsewhere",
            Self::KeyNotTrusted => "key-not-trusted",
        }
    }
}

/// Why no intent can be recorded at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntentError {
    /// The disk failed and has not recovered.
    Down,
    /// The current write takes too long.
    Slow,
    /// Too many intents are waiting to be written.
    QueueFull,
    /// The maximum number of intents is open; those of earlier incarnations stay open until an operator
    /// settles them.
    TooManyOpen,
    /// The request's id is longer than a record may hold.
    IdTooLong,
    /// The node is shutting down.
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

/// The state of a ledger that decides whether one more intent can be recorded.
#[derive(Clone, Copy, Debug)]
pub struct LedgerLoad {
    /// Whether the node is shutting down.
    pub closed: bool,
    /// Whether the disk failed and has not recovered.
    pub down: bool,
    /// Whether recovery found more open intents than it could hold.
    pub recovery_overflow: bool,
    /// Open intents, including those of earlier incarnations.
    pub open: usize,
    /// Intents waiting to be written, including those in the batch being written.
    pub waiting: usize,
    /// How long the current batch has been in progress.
    pub write_elapsed: Option<Duration>,
}

/// Limits on the intents of a ledger.
#[derive(Clone, Copy, Debug)]
pub struct IntentLimits {
    /// Maximum number of open intents.
    pub open: usize,
    /// Maximum number of waiting intents.
    pub waiting: usize,
    /// A batch that takes longer than this indicates a slow disk.
    pub stall: Duration,
}

impl LedgerLoad {
    /// Checks whether one more intent can be recorded.
    ///
    /// # Errors
    /// The reason why not; of several, the one that lasts longest.
    pub fn check(&self, limits: &IntentLimits) -> Result<(), IntentError> {
        if self.closed {
            Err(IntentError::Closed)
        } else if self.down {
            Err(IntentError::Down)
        } else if self.recovery_overflow || self.open + self.waiting >= limits.open {
            Err(IntentError::TooManyOpen)
        } else if self.write_elapsed.is_some_and(|elapsed| elapsed > limits.stall) {
            Err(IntentError::Slow)
        } else if self.waiting >= limits.waiting {
            Err(IntentError::QueueFull)
        } else {
            Ok(())
        }
    }
}

/// Returns whether a request without attempts in flight can safely be retried, given how its attempts ended:
/// only if none of them can have run.
pub fn is_safe_to_retry(ended: impl IntoIterator<Item = AttemptOutcome>) -> bool {
    ended.into_iter().all(|outcome| outcome.execution() == Execution::Never)
}

/// What is known of a key that was in flight when the node died.
#[derive(Clone, Copy, Debug)]
struct KeySend {
    /// The earliest known send.
    at: Timestamp,
    trusted: bool,
}

impl KeySend {
    /// The minimum time since the send, in microseconds; `None` if the wall clock is behind the send. The
    /// wall clock may have been set back since, and the boot clock restarts with the machine, so the longer
    /// of the two ages counts.
    fn age_us(&self, now: Timestamp) -> Option<u64> {
        let wall_age = now.wall_us.checked_sub(self.at.wall_us)?;
        let boot_age = now.mono_us.saturating_sub(self.at.mono_us);
        Some(wall_age.max(boot_age))
    }
}

/// Requests that were in flight when the node died, by id and by key.
#[derive(Debug, Default)]
pub struct UnknownIntents {
    ids: HashSet<Box<str>>,
    keys: HashMap<KeyDigest, KeySend>,
    count: usize,
}

impl UnknownIntents {
    /// Collects the open intents of a recovery.
    pub fn new<'a>(open: impl IntoIterator<Item = &'a OpenIntent>) -> Self {
        let mut all = Self::default();
        for OpenIntent { intent, trusted } in open {
            all.count += 1;
            let sent = KeySend { at: intent.at, trusted: *trusted };
            match intent.key {
                // Of several attempts the earliest send counts, because the key's lifetime at the servers
                // starts with it.
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

    /// The number of intents.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Checks whether a request may be sent. `left_us` is the time until its deadline: an attempt may start
    /// that late, and the servers must still remember the key then.
    ///
    /// # Errors
    /// The reason why the request is answered as failed.
    pub fn check_repeat(
        &self,
        rule: RepeatRule,
        id: &str,
        key: Option<KeyDigest>,
        now: Timestamp,
        left_us: u64,
    ) -> Result<(), RejectionReason> {
        if self.count == 0 {
            return Ok(());
        }
        match rule {
            RepeatRule::Any => Ok(()),
            RepeatRule::Once if self.ids.contains(id) => Err(RejectionReason::IdMayHaveRun),
            RepeatRule::Once => Ok(()),
            RepeatRule::Keyed { everywhere, span_us } => {
                let Some(sent) = key.and_then(|key| self.keys.get(&key)) else { return Ok(()) };
                // A wall clock that is now behind the send gives no age.
                let age = sent.age_us(now);
                let is_remembered = age.is_some_and(|age| age.saturating_add(left_us) < span_us);
                match sent.trusted {
                    false => Err(RejectionReason::KeyNotTrusted),
                    true if !everywhere => Err(RejectionReason::KeyElsewhere),
                    true if !is_remembered => Err(RejectionReason::KeyOutOfSpan),
                    true => Ok(()),
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
