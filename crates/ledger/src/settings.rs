//! The operators' settings of a ledger: the section `[ledger]` of their file.

use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;

use crate::journal::{Durability, JournalOptions};
use crate::writer::Options;

/// What an operator may say.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerSettings {
    /// Where the ledger lies; made where it is not there.
    pub directory: PathBuf,
    /// `process-crash` or `power-loss`.
    pub promise: Word,
    /// MiB after which a segment is followed by a new one; 1 to 1,024.
    #[serde(default = "defaults::segment_mib")]
    pub segment_mib: u64,
    /// Minutes after which it is, likewise; 1 to 10,080.
    #[serde(default = "defaults::segment_minutes")]
    pub segment_minutes: u64,
    /// The most segments that are kept; 2 to 10,000.
    #[serde(default = "defaults::segments")]
    pub segments: usize,
    /// Days after which a segment is removed; 1 to 3,650.
    #[serde(default = "defaults::days")]
    pub days: u64,
    /// The most intents that may be open, those of earlier lives among them; 64 to 262,144. Each takes about 300 bytes.
    #[serde(default = "defaults::open")]
    pub open: usize,
    /// The most intents that may wait to be written; 16 to 65,536.
    #[serde(default = "defaults::queue")]
    pub queue: usize,
    /// Milliseconds after which a write counts as stalled; 10 to 10,000.
    #[serde(default = "defaults::stall_ms")]
    pub stall_ms: u64,
}

/// The promise by name.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Word {
    /// Written before the send.
    ProcessCrash,
    /// Synced before the send.
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

/// Records after attempts that may wait for a disk to come back, for each intent that may be open.
const BACKLOG_EACH: usize = 4;

impl LedgerSettings {
    /// Checks the bounds.
    ///
    /// # Errors
    /// Names the first field that is out of its bounds.
    pub fn options(&self) -> Result<Options, String> {
        for (name, value, least, most) in [
            ("segment_mib", self.segment_mib, 1, 1024),
            ("segment_minutes", self.segment_minutes, 1, 10_080),
            ("segments", self.segments as u64, 2, 10_000),
            ("days", self.days, 1, 3650),
            ("open", self.open as u64, 64, 262_144),
            ("queue", self.queue as u64, 16, 65_536),
            ("stall_ms", self.stall_ms, 10, 10_000),
        ] {
            if !(least..=most).contains(&value) {
                return Err(format!("ledger.{name}: {value} is not within {least} to {most}"));
            }
        }
        if self.directory.as_os_str().is_empty() {
            return Err("ledger.directory: empty".to_string());
        }
        let promise = match self.promise {
            Word::ProcessCrash => Durability::ProcessCrash,
            Word::PowerLoss => Durability::PowerLoss,
        };
        let journal_options = JournalOptions {
            durability: promise,
            segment_bytes: self.segment_mib << 20,
            segment_age_us: self.segment_minutes * 60_000_000,
            segments: self.segments,
            age_us: self.days * 86_400_000_000,
            open: self.open,
            backlog: self.open * BACKLOG_EACH,
        };
        let (directory, stall) = (self.directory.clone(), Duration::from_millis(self.stall_ms));
        Ok(Options { directory, journal_options, queue: self.queue, stall })
    }
}
