//! Shares the ids of requests that must not run twice between the two processes of a hand-over, through files
//! in the platform's temporary directory. Each process appends to files of its own and reads those of others.
//! Without the directory each process knows its own ids only.

use std::collections::HashMap;
use std::ffi::OsString;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime};

use magpietally_core::{IdDigest, SentIdExchange};

/// Length of an id in a file.
const ID_BYTES: usize = size_of::<IdDigest>();
/// Size from which a process begins another file; it keeps two.
const FILE_MAX_BYTES: u64 = 64 * 1024;
/// How often the directory is listed.
const LIST_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a file that is not written is removed: its process has ended, or creates it again.
const STALE_AFTER: Duration = Duration::from_secs(60);

/// The files of one listening address.
pub(crate) struct HandoverIds {
    directory: PathBuf,
    /// The beginning of the names of all files of this address.
    prefix: String,
    /// The beginning of the names of this process's files.
    own_prefix: String,
    /// The number of this process's current file.
    generation: u64,
    /// The files of other processes, by name.
    others: HashMap<OsString, OtherFile>,
    listed_at: Option<Instant>,
    failure_logged: bool,
}

/// A file of another process, read so far.
struct OtherFile {
    file: File,
    /// The beginning of an id that is written in part.
    partial: Vec<u8>,
}

impl OtherFile {
    /// Reads the ids that were appended since the last call.
    fn read(&mut self, ids: &mut Vec<IdDigest>) -> io::Result<()> {
        self.file.read_to_end(&mut self.partial)?;
        let whole = self.partial.len() - self.partial.len() % ID_BYTES;
        for bytes in self.partial.drain(..whole).collect::<Vec<u8>>().chunks_exact(ID_BYTES) {
            let mut id = [0; ID_BYTES];
            id.copy_from_slice(bytes);
            ids.push(IdDigest(id));
        }
        Ok(())
    }
}

impl HandoverIds {
    /// The files of a process that listens at this address.
    pub(crate) fn new(listen: SocketAddr) -> Self {
        let prefix = format!("magpietally-ids-{}-", listen.to_string().replace([':', '[', ']'], "_"));
        // Processes of different namespaces may have the same number.
        let started = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_nanos();
        let own_prefix = format!("{prefix}{}-{started}-", std::process::id());
        Self {
            directory: std::env::temp_dir(),
            prefix,
            own_prefix,
            generation: 0,
            others: HashMap::new(),
            listed_at: None,
            failure_logged: false,
        }
    }

    fn own_path(&self, generation: u64) -> PathBuf {
        self.directory.join(format!("{}{generation}", self.own_prefix))
    }

    fn append(&mut self, id: IdDigest) -> io::Result<()> {
        // Opened each time: another process may have removed the file as stale.
        let mut file = OpenOptions::new().create(true).append(true).open(self.own_path(self.generation))?;
        let written = file.write_all(&id.0);
        if written.is_err() || file.metadata()?.len() >= FILE_MAX_BYTES {
            // What follows an id that was written in part could not be read.
            self.generation += 1;
            if let Some(old) = self.generation.checked_sub(2) {
                let _ = fs::remove_file(self.own_path(old));
            }
        }
        written
    }

    /// Opens the files of other processes that are new, and forgets those that are gone.
    fn list(&mut self) -> io::Result<()> {
        let mut listed = HashMap::new();
        for entry in fs::read_dir(&self.directory)? {
            let entry = entry?;
            let name = entry.file_name();
            let text = name.to_string_lossy();
            if !text.starts_with(&self.prefix) || text.starts_with(&self.own_prefix) {
                continue;
            }
            if let Some(known) = self.others.remove(&name) {
                listed.insert(name, known);
            } else if is_stale(&entry) {
                let _ = fs::remove_file(entry.path());
            } else {
                listed.insert(name, OtherFile { file: File::open(entry.path())?, partial: Vec::new() });
            }
        }
        self.others = listed;
        Ok(())
    }

    fn log_failure(&mut self, error: &io::Error) {
        if !std::mem::replace(&mut self.failure_logged, true) {
            let directory = self.directory.display();
            tracing::warn!(target: "handover", "{directory}: ids are not shared with another process: {error}");
        }
    }
}

fn is_stale(entry: &fs::DirEntry) -> bool {
    let modified = entry.metadata().and_then(|metadata| metadata.modified());
    let age = modified.ok().and_then(|at| SystemTime::now().duration_since(at).ok());
    age.is_some_and(|age| age >= STALE_AFTER)
}

impl SentIdExchange for HandoverIds {
    fn publish(&mut self, id: IdDigest) {
        if let Err(error) = self.append(id) {
            self.log_failure(&error);
        }
    }

    fn receive(&mut self) -> Vec<IdDigest> {
        if self.listed_at.is_none_or(|at| at.elapsed() >= LIST_INTERVAL) {
            self.listed_at = Some(Instant::now());
            if let Err(error) = self.list() {
                self.log_failure(&error);
            }
        }
        let mut ids = Vec::new();
        let failed = self.others.values_mut().find_map(|other| other.read(&mut ids).err());
        if let Some(error) = failed {
            self.log_failure(&error);
        }
        ids
    }
}

#[cfg(test)]
mod tests;
