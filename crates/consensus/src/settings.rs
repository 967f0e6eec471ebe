//! How a node of the log is set.

use std::fmt;
use std::time::Duration;

use magpietally_transport::Name;

/// The fewest and the most voters: with 3 one may be lost, with 7 three; more only make every decision dearer.
pub const VOTER_COUNT: std::ops::RangeInclusive<usize> = 3..=7;

/// A node's settings, the same in the whole fleet but for the seed.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Who votes, [`VOTER_COUNT`] of them, in the same order at every node. An odd number: a fourth voter bears no more losses
    /// than three.
    pub voters: Vec<Name>,
    /// For jitter, the choice of peers, and a voter's identity at its first start: a different one at each start.
    pub seed: u64,
    /// One round of heartbeats between voters is five of these: a leader is missed after two to three rounds, and a round
    /// must be longer than the way there and back.
    pub tick_interval: Duration,
    /// How long the leader collects proposals before it passes them on together: one write for many, at little delay.
    pub batch_delay: Duration,
    /// How often a node tells one peer where its log ends.
    pub gossip_interval: Duration,
    /// To how many peers a node passes on what it has just learnt. With 3, one round of a random spread misses about one
    /// node in twenty, which then asks.
    pub fanout: usize,
    /// The most a node asks for of what it missed, in bytes a second, and the most it gives others: the fleet's decisions
    /// must not fill a link that carries clients.
    pub catch_up_bytes_per_s: u64,
    /// A checkpoint of the machines' states is made after so many entries.
    pub checkpoint_entries: u64,
    /// The entries kept for others to catch up with, in number and in bytes; with a snapshot behind them.
    pub keep_entries: usize,
    /// See [`Settings::keep_entries`].
    pub keep_bytes: usize,
}

impl Settings {
    /// The usual ones for these voters.
    pub fn new(voters: Vec<Name>, seed: u64) -> Self {
        Self {
            voters,
            seed,
            tick_interval: Duration::from_millis(40),
            batch_delay: Duration::from_millis(10),
            gossip_interval: Duration::from_millis(500),
            fanout: 3,
            catch_up_bytes_per_s: 1 << 20,
            checkpoint_entries: 2048,
            keep_entries: 16_384,
            keep_bytes: 4 << 20,
        }
    }

    /// Checks them.
    ///
    /// # Errors
    /// See [`SettingsError`].
    pub fn check(&self) -> Result<(), SettingsError> {
        if !VOTER_COUNT.contains(&self.voters.len()) {
            return Err(SettingsError::VoterCount(self.voters.len()));
        }
        for (i, name) in self.voters.iter().enumerate() {
            if name.as_str().is_empty() || self.voters[..i].contains(name) {
                return Err(SettingsError::VoterName(name.clone()));
            }
        }
        let least = Duration::from_millis(1);
        if self.tick_interval < least || self.batch_delay < least || self.gossip_interval < least {
            return Err(SettingsError::TooSmall("tick_interval, batch_delay or gossip_interval"));
        }
        if self.checkpoint_entries == 0 || self.catch_up_bytes_per_s < 1024 {
            return Err(SettingsError::TooSmall("checkpoint_entries or catch_up_bytes_per_s"));
        }
        if (self.keep_entries as u64) < 2 * self.checkpoint_entries {
            return Err(SettingsError::KeepEntries);
        }
        Ok(())
    }
}

/// Why settings were refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// So many voters were named.
    VoterCount(usize),
    /// A voter's name is empty or named twice.
    VoterName(Name),
    /// One of these is nothing, or too little.
    TooSmall(&'static str),
    /// Entries must be kept for twice a checkpoint's number, so that a snapshot's taker finds what follows it.
    KeepEntries,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::VoterCount(n) => {
                write!(
                    f,
                    "{n} voters are named, {} to {} are allowed",
                    VOTER_COUNT.start(),
                    VOTER_COUNT.end()
                )
            }
            Self::VoterName(name) => write!(f, "voter {:?} is empty or named twice", name.as_str()),
            Self::TooSmall(what) => write!(f, "{what}: too little"),
            Self::KeepEntries => write!(f, "keep_entries must be at least twice checkpoint_entries"),
        }
    }
}

impl std::error::Error for SettingsError {}
