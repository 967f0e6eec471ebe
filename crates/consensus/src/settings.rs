//! Settings of a node of the log.

use std::fmt;
use std::time::Duration;

use magpietally_transport::Name;

/// Allowed number of voters. With 3 voters one may fail, with 7 three; more would only make every decision
/// more expensive.
pub const VOTER_COUNT: std::ops::RangeInclusive<usize> = 3..=7;

/// Settings of a node, the same in the whole fleet except for the seed.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The voters, [`VOTER_COUNT`] of them, in the same order on every node. Use an odd number: four voters
    /// tolerate no more failures than three.
    pub voters: Vec<Name>,
    /// Seeds the jitter, the choice of peers, and a voter's identity at its first start; different at each
    /// start.
    pub seed: u64,
    /// Interval of the voters' clock tick. A heartbeat round between voters takes five ticks, and a failed
    /// leader is noticed after two to three rounds. A round must be longer than the round-trip time.
    pub tick_interval: Duration,
    /// How long the leader collects proposals before it replicates them together: one write covers many
    /// proposals, at a small delay.
    pub batch_delay: Duration,
    /// How often a node tells one peer where its log ends.
    pub gossip_interval: Duration,
    /// Number of peers to which a node forwards newly learned entries. With 3, one round of random gossip
    /// misses about one node in twenty, which then requests the entries itself.
    pub fanout: usize,
    /// Limit on the missed entries a node requests, and separately on those it sends to others, in bytes per
    /// second, so that catching up does not fill a link that carries client traffic.
    pub catch_up_bytes_per_s: u64,
    /// Number of entries after which a checkpoint of the state machines is made.
    pub checkpoint_entries: u64,
    /// Limit on the number of decided entries kept for other nodes to catch up; older entries are covered by
    /// a snapshot.
    pub keep_entries: usize,
    /// Limit on the size of the decided entries kept, in bytes; see [`Settings::keep_entries`].
    pub keep_bytes: usize,
}

impl Settings {
    /// Default settings for these voters.
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

    /// Validates the settings.
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
        let min = Duration::from_millis(1);
        if self.tick_interval < min || self.batch_delay < min || self.gossip_interval < min {
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

/// Why settings were rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The number of voters is out of range.
    VoterCount(usize),
    /// A voter's name is empty or listed twice.
    VoterName(Name),
    /// One of these settings is zero or too small.
    TooSmall(&'static str),
    /// Entries must be kept for at least two checkpoints, so that a node that received a snapshot finds the
    /// entries that follow it.
    KeepEntries,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::VoterCount(count) => {
                write!(
                    f,
                    "{count} voters are named, {} to {} are allowed",
                    VOTER_COUNT.start(),
                    VOTER_COUNT.end()
                )
            }
            Self::VoterName(name) => write!(f, "voter {:?} is empty or named twice", name.as_str()),
            Self::TooSmall(what) => write!(f, "{what}: too small"),
            Self::KeepEntries => write!(f, "keep_entries must be at least twice checkpoint_entries"),
        }
    }
}

impl std::error::Error for SettingsError {}
