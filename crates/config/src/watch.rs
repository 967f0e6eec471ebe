//! Looks at a list's file, ten times a second, on a thread of its own: a file system that hangs hangs nothing else. Looking
//! is the floor that needs no notifications, which network file systems lose.

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

/// How often the file is looked at. Twice this, and the time that a file must stand still, is within what a drain allows.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How soon a file that something is wrong with is looked at again, in milliseconds, for the first looks: a writer that goes on
/// in step with the looks would else show its half-written copies each time.
const AGAIN: [u64; 5] = [7, 13, 23, 41, 61];
const AGAIN_MOST: usize = 20;
/// How long a file that was written in place must have stood still.
const STILL: Duration = Duration::from_millis(250);
/// How often the same trouble is told again.
const TELL: Duration = Duration::from_secs(30);
/// Changes within so short a time may leave the same time stamp.
const STAMPS_APART: Duration = Duration::from_secs(2);

/// The operators' settings of a watched list.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WatchOptions {
    /// The file.
    pub file: PathBuf,
    /// Seconds for which a list that takes away more than half of the boxes is held; 0 to 3,600.
    #[serde(default = "ten")]
    pub hold_s: f64,
}

fn ten() -> f64 {
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

/// A list that was let through, and the how-manieth it is.
#[derive(Clone, Debug, Default)]
pub struct AppliedList {
    /// Counted from 1; 0 where there is none yet.
    pub version: u64,
    /// The list.
    pub list: ServerList,
}

/// A watched file; clones share the watching, which ends with the last of them.
#[derive(Clone, Debug)]
pub struct ServerListFile {
    news: watch::Receiver<Arc<AppliedList>>,
    seen: u64,
}

impl ServerListFile {
    /// Starts to watch.
    ///
    /// # Errors
    /// Where there is no thread to be had.
    pub fn start(options: &WatchOptions) -> std::io::Result<Self> {
        let (tell, news) = watch::channel(Arc::<AppliedList>::default());
        let rules = ReloadRules {
            hold: Duration::from_secs_f64(options.hold_s),
            quiet_period: STILL,
            report_interval: TELL,
        };
        let (mut watcher, mut tracker) = (FileWatcher::new(options.file.clone()), ReloadTracker::new(rules));
        let (name, began) = (options.file.display().to_string(), Instant::now());
        let mut troubled = 0;
        let look = move || {
            while !tell.is_closed() {
                match tracker.observe(began.elapsed(), watcher.check()) {
                    ReloadAction::None => {}
                    ReloadAction::Apply(list) => {
                        let version = tell.borrow().version + 1;
                        tracing::info!(target: "list", "{name}: {} boxes, version {version}", list.servers.len());
                        tell.send_replace(Arc::new(AppliedList { version, list }));
                    }
                    ReloadAction::Report(lines) => {
                        lines.iter().for_each(|line| tracing::warn!(target: "list", "{name}: {line}"));
                    }
                }
                let soon = tracker.has_problem() && troubled < AGAIN_MOST;
                let pause =
                    if soon { Duration::from_millis(AGAIN[troubled % AGAIN.len()]) } else { CHECK_INTERVAL };
                troubled = if tracker.has_problem() { troubled + 1 } else { 0 };
                std::thread::sleep(pause);
            }
        };
        retry::spawn("list", look)?;
        Ok(Self { news, seen: 0 })
    }

    /// The next list that this clone has not handed out; `None` where the watching has ended.
    pub async fn next(&mut self) -> Option<Arc<AppliedList>> {
        loop {
            let now = self.news.borrow_and_update().clone();
            if now.version > self.seen {
                self.seen = now.version;
                return Some(now);
            }
            self.news.changed().await.ok()?;
        }
    }
}

/// What tells one state of a file from another without reading it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stamp {
    device: u64,
    node: u64,
    /// When it was made: the number of a file that is gone is soon another's. `None` where the file system does not say.
    born: Option<SystemTime>,
    size: u64,
    modified: Option<SystemTime>,
}

/// Looks at a file.
#[derive(Debug)]
pub struct FileWatcher {
    path: PathBuf,
    seen: Option<(Stamp, Vec<u8>)>,
}

impl FileWatcher {
    /// It has not been looked at.
    pub fn new(path: PathBuf) -> Self {
        Self { path, seen: None }
    }

    /// Looks once. What was open stays the same file while it is read, whatever happens to its name.
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
            Some((old, _)) if (old.device, old.node, old.born) == (stamp.device, stamp.node, stamp.born) => {
                FileCheck::Modified(bytes)
            }
            // The first look may fall into somebody's writing, too.
            None => FileCheck::Modified(bytes),
            Some(_) => FileCheck::Replaced(bytes),
        }
    }

    /// The file's content, where it may differ from what was seen.
    fn read(&self) -> std::io::Result<Option<(Stamp, Vec<u8>)>> {
        let file = open_regular(&self.path)?;
        let stamp = stamp_of(&file)?;
        let fresh = stamp.modified.and_then(|m| m.elapsed().ok()).is_none_or(|age| age < STAMPS_APART);
        if self.seen.as_ref().is_some_and(|(seen, _)| *seen == stamp) && !fresh {
            return Ok(None);
        }
        let mut bytes = Vec::new();
        // One more than may be read, so that what is too long is seen to be.
        (&file).take(FILE_MAX_BYTES as u64 + 1).read_to_end(&mut bytes)?;
        // It may have grown while it was read: then the stamp is the later one's, and the content is looked at again.
        Ok(Some((stamp, bytes)))
    }
}

fn stamp_of(file: &File) -> std::io::Result<Stamp> {
    let data = file.metadata()?;
    Ok(Stamp {
        device: data.dev(),
        node: data.ino(),
        born: data.created().ok(),
        size: data.len(),
        modified: data.modified().ok(),
    })
}
