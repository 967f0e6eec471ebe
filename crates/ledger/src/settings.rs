//! The operator's settings of a ledger: the section `[ledger]` of the configuration file.

use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;

use crate::journal::{Durability, JournalOptions};
use crate::writer::Options;

/// The section `[ledger]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerSettings {
    /// The directory of the ledger; created if missing.
    pub directory: PathBuf,
    /// What a confirmed intent survives: `process-crash` or `power-loss`.
    pub promise: DurabilitySetting,
    /// MiB after which a new segment is begun; 1 to 1,024.
    #[serde(default = "defaults::segment_mib")]
    pub segment_mib: u64,
    /// Minutes after which a new segment is begun; 1 to 10,080.
    #[serde(default = "defaults::segment_minutes")]
    pub segment_minutes: u64,
    /// Maximum number of segments that are kept; 2 to 10,000.
    #[serde(default = "defaults::segments")]
    pub segments: usize,
    /// Days after which a segment is removed; 1 to 3,650.
    #[serde(default = "defaults::days")]
    pub days: u64,
    /// Maximum number of open intents, including those of earlier incarnations; 64 to 262,144. Each takes
    /// about 300 bytes.
    #[serde(default = "defaults::open")]
    pub open: usize,
    /// Maximum number of intents that may wait to be written; 16 to 65,536.
    #[serde(default = "defaults::queue")]
    pub queue: usize,
    /// Milliseconds after which a write counts as stalled; 10 to 10,000.
    #[serde(default = "defaults::stall_ms")]
    pub stall_ms: u64,
}

/// The values of `promise`.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DurabilitySetting {
    /// Intents are written before the attempt is sent.
    ProcessCrash,
    /// Intents are synced before the attempt is sent.
    PowerLoss,
}

mod defaults {
    pub(super) fn segment_mib() -> u64 {
        64
    }
    pub(super) fn segment_minutes() -> u64 {
        60
    }
    pub(super) fn segments() -> usize {
        64
    }
    pub(super) fn days() -> u64 {
        30
    }
    pub(super) fn open() -> usize {
        16_384
    }
    pub(super) fn queue() -> usize {
        4_096
    }
    pub(super) fn stall_ms() -> u64 {
        250
    }
}

/// Records after attempts that may be queued while the disk is down, for each intent that may be open.
const BACKLOG_PER_OPEN_INTENT: usize = 4;

impl LedgerSettings {
    /// Checks the settings and converts them.
    ///
    /// # Errors
    /// Names the first field that is out of its range.
    pub fn options(&self) -> Result<Options, String> {
        for (name, value, min, max) in [
            ("segment_mib", self.segment_mib, 1, 1024),
            ("segment_minutes", self.segment_minutes, 1, 10_080),
            ("segments", self.segments as u64, 2, 10_000),
            ("days", self.days, 1, 3650),
            ("open", self.open as u64, 64, 262_144),
            ("queue", self.queue as u64, 16, 65_536),
            ("stall_ms", self.stall_ms, 10, 10_000),
        ] {
            if !(min..=max).contains(&value) {
                return Err(format!("ledger.{name}: {value} is not within {min} to {max}"));
            }
        }
        if self.directory.as_os_str().is_empty() {
            return Err("ledger.directory: empty".to_string());
        }
        let durability = match self.promise {
            DurabilitySetting::ProcessCrash => Durability::ProcessCrash,
            DurabilitySetting::PowerLoss => Durability::PowerLoss,
        };
        let journal_options = JournalOptions {
            durability,
            segment_bytes: self.segment_mib << 20,
            segment_age_us: self.segment_minutes * 60_000_000,
            segments: self.segments,
            age_us: self.days * 86_400_000_000,
            open: self.open,
            backlog: self.open * BACKLOG_PER_OPEN_INTENT,
        };
        let (directory, stall) = (self.directory.clone(), Duration::from_millis(self.stall_ms));
        Ok(Options { directory, journal_options, queue: self.queue, stall })
    }
}
