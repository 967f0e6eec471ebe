//! Checks a list's file ten times a second on a dedicated thread, so that a file system that hangs blocks
//! nothing else. Polling needs no change notifications, which network file systems lose.

use std::fs::File;
use std::io::Read;
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use magpietally_os_error::retry;
use serde::Deserialize;
use tokio::sync::watch;

use crate::file::open_regular;
use crate::reload::{FileCheck, ReloadAction, ReloadRules, ReloadTracker};
use crate::server_list::{ServerList, FILE_MAX_BYTES};

/// How often the file is checked. Twice this and `QUIET_PERIOD` together are within the time allowed for a
/// drain.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pauses before the first rechecks of a file with a problem. They are irregular: a writer in step with
/// regular checks would show a half-written copy each time.
const RECHECK_PAUSES_MS: [u64; 5] = [7, 13, 23, 41, 61];
/// The most rechecks after such pauses.
const RECHECKS_MAX: usize = 20;
/// How long a file that was modified in place must stay unchanged before it is read.
const QUIET_PERIOD: Duration = Duration::from_millis(250);
/// How often the same problem is reported again.
const REPORT_INTERVAL: Duration = Duration::from_secs(30);
/// Changes within this time may leave the same time stamp.
const TIMESTAMP_RESOLUTION: Duration = Duration::from_secs(2);

/// The operators' settings of a watched list.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WatchOptions {
    /// The file.
    pub file: PathBuf,
    /// Seconds for which a list that drops more than half of the servers is held back; 0 to 3,600.
    #[serde(default = "default_hold_s")]
    pub hold_s: f64,
}

fn default_hold_s() -> f64 {
    10.0
}

impl WatchOptions {
    /// Checks the bounds.
    ///
    /// # Errors
    /// Names the field.
    pub fn check(&self) -> Result<(), String> {
        if self.file.as_os_str().is_empty() {
            return Err("boxes.file: empty".into());
        }
        if !(0.0..=3600.0).contains(&self.hold_s) {
            return Err(format!("boxes.hold_s: {} is not within 0 to 3600", self.hold_s));
        }
        Ok(())
    }
}

/// An applied list and its version.
#[derive(Clone, Debug, Default)]
pub struct AppliedList {
    /// Counted from 1; 0 if no list has been applied yet.
    pub version: u64,
    /// The list.
    pub list: ServerList,
}

/// A watched server list file. Clones share the watching thread, which ends when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct ServerListFile {
    applied: watch::Receiver<Arc<AppliedList>>,
    seen_version: u64,
}

impl ServerListFile {
    /// Starts to watch the file.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn start(options: &WatchOptions) -> std::io::Result<Self> {
        let (publisher, applied) = watch::channel(Arc::<AppliedList>::default());
        let rules = ReloadRules {
            hold: Duration::from_secs_f64(options.hold_s),
            quiet_period: QUIET_PERIOD,
            report_interval: REPORT_INTERVAL,
        };
        let (mut watcher, mut tracker) = (FileWatcher::new(options.file.clone()), ReloadTracker::new(rules));
        let (name, started) = (options.file.display().to_string(), Instant::now());
        let mut failed_checks = 0;
        let run = move || {
            while !publisher.is_closed() {
                match tracker.observe(started.elapsed(), watcher.check()) {
                    ReloadAction::None => {}
                    ReloadAction::Apply(list) => {
                        let version = publisher.borrow().version + 1;
                        tracing::info!(target: "list", "{name}: {} boxes, version {version}", list.servers.len());
                        publisher.send_replace(Arc::new(AppliedList { version, list }));
                    }
                    ReloadAction::Report(lines) => {
                        lines.iter().for_each(|line| tracing::warn!(target: "list", "{name}: {line}"));
                    }
                }
                let recheck = tracker.has_problem() && failed_checks < RECHECKS_MAX;
                let pause = if recheck {
                    Duration::from_millis(RECHECK_PAUSES_MS[failed_checks % RECHECK_PAUSES_MS.len()])
                } else {
                    CHECK_INTERVAL
                };
                failed_checks = if tracker.has_problem() { failed_checks + 1 } else { 0 };
                std::thread::sleep(pause);
            }
        };
        retry::spawn("list", run)?;
        Ok(Self { applied, seen_version: 0 })
    }

    /// Waits for the next list that this clone has not returned yet; `None` if the watching thread has ended.
    pub async fn next(&mut self) -> Option<Arc<AppliedList>> {
        loop {
            let current = self.applied.borrow_and_update().clone();
            if current.version > self.seen_version {
                self.seen_version = current.version;
                return Some(current);
            }
            self.applied.changed().await.ok()?;
        }
    }
}

/// Metadata that distinguishes the states of a file without reading it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stamp {
    device: u64,
    inode: u64,
    /// The time of creation: inode numbers of deleted files are soon reused. `None` if the file system does
    /// not record it.
    created: Option<SystemTime>,
    size: u64,
    modified: Option<SystemTime>,
}

/// Detects changes of a file.
#[derive(Debug)]
pub struct FileWatcher {
    path: PathBuf,
    seen: Option<(Stamp, Vec<u8>)>,
}

impl FileWatcher {
    /// Creates a watcher that has not checked the file yet.
    pub fn new(path: PathBuf) -> Self {
        Self { path, seen: None }
    }

    /// Checks the file once. The opened file stays the same while it is read, even if the path is replaced.
    pub fn check(&mut self) -> FileCheck {
        let (stamp, bytes) = match self.read() {
            Ok(Some(read)) => read,
            Ok(None) => return FileCheck::Unchanged,
            Err(error) => {
                self.seen = None;
                return FileCheck::Unreadable(format!("can't be read: {error}"));
            }
        };
        if let Some((seen, _)) = self.seen.as_mut().filter(|(_, old)| *old == bytes) {
            *seen = stamp;
            return FileCheck::Unchanged;
        }
        match self.seen.replace((stamp, bytes.clone())) {
            Some((old, _))
                if (old.device, old.inode, old.created) == (stamp.device, stamp.inode, stamp.created) =>
            {
                FileCheck::Modified(bytes)
            }
            // The file may also be being written at the first check.
            None => FileCheck::Modified(bytes),
            Some(_) => FileCheck::Replaced(bytes),
        }
    }

    /// Reads the file if its content may differ from the last check's.
    fn read(&self) -> std::io::Result<Option<(Stamp, Vec<u8>)>> {
        let file = open_regular(&self.path)?;
        let stamp = file_stamp(&file)?;
        let recently_modified =
            stamp.modified.and_then(|m| m.elapsed().ok()).is_none_or(|age| age < TIMESTAMP_RESOLUTION);
        if self.seen.as_ref().is_some_and(|(seen, _)| *seen == stamp) && !recently_modified {
            return Ok(None);
        }
        let mut bytes = Vec::new();
        // One byte more than the limit, so that a file that is too long is detected.
        (&file).take(FILE_MAX_BYTES as u64 + 1).read_to_end(&mut bytes)?;
        // If the file grew while it was read, the stamp is that of before, so the next check reads it again.
        Ok(Some((stamp, bytes)))
    }
}

fn file_stamp(file: &File) -> std::io::Result<Stamp> {
    let metadata = file.metadata()?;
    Ok(Stamp {
        device: metadata.dev(),
        inode: metadata.ino(),
        created: metadata.created().ok(),
        size: metadata.len(),
        modified: metadata.modified().ok(),
    })
}
