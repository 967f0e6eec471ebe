//! A simulated disk: it fails when told to, keeps the course of all that was done to it, and makes of any point of that
//! course what a crash there may leave behind. Files only grow, as a ledger's and a store's do.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::disk::{Disk, LockError};

/// Bytes of a page: what reaches the disk whole or not at all. Small, so that small files have many.
pub const PAGE_BYTES: usize = 64;

/// What was done to the disk, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// A file was made.
    Create(String),
    /// Bytes were added to a file.
    Write(String, Vec<u8>),
    /// A file was synced.
    Sync(String),
    /// A sync failed: what was not on the disk by then may never be.
    SyncFailed(String),
    /// The names were synced.
    SyncDirectory,
    /// A file was removed.
    Remove(String),
    /// The caller's own mark: something was promised here.
    Mark(usize),
}

/// How a call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    /// No space: nothing is done.
    NoSpace,
    /// An error of the device: half of a write is done, nothing of the rest.
    Io,
    /// A write does half and says so, which is no error. Other calls are done.
    ShortWrite,
    /// The disk can only be read.
    ReadOnly,
}

#[derive(Debug, Default)]
struct State {
    files: BTreeMap<String, Vec<u8>>,
    ops: Vec<Op>,
    calls: usize,
    fails: Vec<(std::ops::Range<usize>, DiskFault)>,
    /// Makes each call last, to play a slow disk.
    pause: std::time::Duration,
    /// Somebody writes here.
    locked: bool,
    /// There is no such directory.
    missing: bool,
    /// How many bytes more there is space for; as many as one likes where it is none.
    room: Option<usize>,
}

/// The disk; clones share it.
#[derive(Clone, Debug, Default)]
pub struct SimDisk(Arc<Mutex<State>>);

/// A file's name stands for its handle.
#[derive(Debug)]
pub struct SimFile(String);

impl SimDisk {
    /// A disk with these files, all of them on it for good.
    pub fn with_files(files: BTreeMap<String, Vec<u8>>) -> Self {
        Self(Arc::new(Mutex::new(State { files, ..State::default() })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // Tests that panic end; nobody goes on with what they left.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets calls of these numbers, counted from 0, fail.
    pub fn fail(&self, calls: std::ops::Range<usize>, how: DiskFault) {
        self.state().fails.push((calls, how));
    }

    /// Ends all trouble.
    pub fn repair(&self) {
        let mut state = self.state();
        state.fails.clear();
        state.missing = false;
        state.room = None;
        state.pause = std::time::Duration::ZERO;
    }

    /// Makes every call that writes or syncs take so long.
    pub fn set_latency(&self, pause: std::time::Duration) {
        self.state().pause = pause;
    }

    /// Leaves space for so many bytes, until the repair. Other than with [`DiskFault::NoSpace`] a write does what it can, and
    /// syncs and removals are done, as on a disk of the system's.
    pub fn limit_space(&self, bytes: usize) {
        self.state().room = Some(bytes);
    }

    /// Takes the directory away until the repair.
    pub fn remove_directory(&self) {
        self.state().missing = true;
    }

    /// Notes that something was promised.
    pub fn mark(&self, what: usize) {
        self.state().ops.push(Op::Mark(what));
    }

    /// How many calls there were.
    pub fn calls(&self) -> usize {
        self.state().calls
    }

    /// The course so far.
    pub fn ops(&self) -> Vec<Op> {
        self.state().ops.clone()
    }

    /// The files as the system sees them.
    pub fn files(&self) -> BTreeMap<String, Vec<u8>> {
        self.state().files.clone()
    }

    /// One call: the trouble that it is in, if any.
    fn call(&self) -> Option<DiskFault> {
        let (pause, trouble) = {
            let mut state = self.state();
            let number = state.calls;
            state.calls += 1;
            let trouble = state.fails.iter().find(|(calls, _)| calls.contains(&number)).map(|(_, how)| *how);
            (state.pause, trouble)
        };
        if !pause.is_zero() {
            std::thread::sleep(pause);
        }
        trouble
    }
}

fn error(trouble: DiskFault) -> io::Error {
    match trouble {
        DiskFault::NoSpace => io::ErrorKind::StorageFull.into(),
        DiskFault::ReadOnly => io::ErrorKind::ReadOnlyFilesystem.into(),
        DiskFault::Io | DiskFault::ShortWrite => io::Error::other("input/output error"),
    }
}

/// The right to write to a simulated disk.
#[derive(Debug)]
pub struct SimLock(SimDisk);

impl Drop for SimLock {
    fn drop(&mut self) {
        self.0.state().locked = false;
    }
}

impl Disk for SimDisk {
    type File = SimFile;
    type Lock = SimLock;

    fn lock(&mut self) -> Result<SimLock, LockError> {
        let mut state = self.state();
        if state.missing {
            return Err(LockError::Io("lock", io::ErrorKind::NotFound.into()));
        }
        if std::mem::replace(&mut state.locked, true) {
            return Err(LockError::Locked("another process".into()));
        }
        Ok(SimLock(self.clone()))
    }

    fn create(&mut self, name: &str) -> io::Result<SimFile> {
        if let Some(trouble) = self.call().filter(|t| *t != DiskFault::ShortWrite) {
            return Err(error(trouble));
        }
        let mut state = self.state();
        if state.files.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        state.files.insert(name.to_string(), Vec::new());
        state.ops.push(Op::Create(name.to_string()));
        Ok(SimFile(name.to_string()))
    }

    fn append(&mut self, file: &mut SimFile, bytes: &[u8]) -> io::Result<usize> {
        let trouble = self.call();
        let count = match trouble {
            None => bytes.len(),
            Some(DiskFault::NoSpace | DiskFault::ReadOnly) => 0,
            Some(DiskFault::Io | DiskFault::ShortWrite) => bytes.len().div_ceil(2),
        };
        let mut state = self.state();
        let room = state.room.unwrap_or(usize::MAX);
        if room == 0 && trouble.is_none() {
            return Err(error(DiskFault::NoSpace));
        }
        let count = count.min(room);
        state.room = state.room.map(|room| room - count);
        let Some(content) = state.files.get_mut(&file.0) else {
            return Err(io::ErrorKind::NotFound.into());
        };
        content.extend(&bytes[..count]);
        if count > 0 {
            state.ops.push(Op::Write(file.0.clone(), bytes[..count].to_vec()));
        }
        match trouble {
            None | Some(DiskFault::ShortWrite) => Ok(count),
            Some(trouble) => Err(error(trouble)),
        }
    }

    fn sync(&mut self, file: &mut SimFile) -> io::Result<()> {
        let trouble = self.call().filter(|t| *t != DiskFault::ShortWrite);
        let mut state = self.state();
        state.ops.push(match trouble {
            None => Op::Sync(file.0.clone()),
            Some(_) => Op::SyncFailed(file.0.clone()),
        });
        trouble.map_or(Ok(()), |t| Err(error(t)))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        if let Some(trouble) = self.call().filter(|t| *t != DiskFault::ShortWrite) {
            return Err(error(trouble));
        }
        self.state().ops.push(Op::SyncDirectory);
        Ok(())
    }

    fn file_names(&mut self) -> io::Result<Vec<String>> {
        Ok(self.state().files.keys().cloned().collect())
    }

    fn read(&mut self, name: &str, from: u64, to: &mut [u8]) -> io::Result<usize> {
        let state = self.state();
        let content = state.files.get(name).ok_or(io::ErrorKind::NotFound)?;
        let rest = content.get(from as usize..).unwrap_or_default();
        let count = rest.len().min(to.len());
        to[..count].copy_from_slice(&rest[..count]);
        Ok(count)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        if let Some(trouble) = self.call().filter(|t| *t != DiskFault::ShortWrite) {
            return Err(error(trouble));
        }
        let mut state = self.state();
        state.files.remove(name).ok_or(io::ErrorKind::NotFound)?;
        state.ops.push(Op::Remove(name.to_string()));
        Ok(())
    }
}

/// What a crash takes.
pub enum Loss<'a> {
    /// The process died: all that it wrote is there.
    Process,
    /// Power went: of each file there is what was synced, and of the names those that were.
    All,
    /// Power went: of what was not synced these pages are there, by file and page; the others read as zeros. Names are all
    /// there.
    Pages(&'a mut dyn FnMut(&str, usize) -> bool),
    /// Power went: of what was not synced so many bytes of each file are there. Names are all there.
    Prefix(usize),
}

/// The files after a crash behind these operations; of the last one, where it is a write, only `torn` bytes had been done.
pub fn files_after_crash(ops: &[Op], torn: Option<usize>, mut loss: Loss<'_>) -> BTreeMap<String, Vec<u8>> {
    #[derive(Default)]
    struct File {
        content: Vec<u8>,
        synced: usize,
        doubted: bool,
    }
    let mut files: BTreeMap<&str, File> = BTreeMap::new();
    // Names on the disk, and files that are gone but whose names may still be there.
    let (mut named, mut gone): (BTreeSet<&str>, BTreeMap<&str, File>) = Default::default();
    for (n, op) in ops.iter().enumerate() {
        match op {
            Op::Create(name) => {
                files.insert(name, File::default());
            }
            Op::Write(name, bytes) => {
                let count = torn.filter(|_| n + 1 == ops.len()).unwrap_or(bytes.len()).min(bytes.len());
                if let Some(file) = files.get_mut(name.as_str()) {
                    file.content.extend(&bytes[..count]);
                }
            }
            Op::Sync(name) => {
                if let Some(file) = files.get_mut(name.as_str()).filter(|f| !f.doubted) {
                    file.synced = file.content.len();
                }
            }
            Op::SyncFailed(name) => {
                if let Some(file) = files.get_mut(name.as_str()) {
                    file.doubted = true;
                }
            }
            Op::SyncDirectory => {
                named = files.keys().copied().collect();
                gone.clear();
            }
            Op::Remove(name) => {
                if let Some(file) = files.remove(name.as_str()) {
                    gone.insert(name, file);
                }
            }
            Op::Mark(_) => {}
        }
    }
    if matches!(loss, Loss::All) {
        files.retain(|name, _| named.contains(name));
        files.extend(gone.into_iter().filter(|(name, _)| named.contains(name)));
    }
    let mut left = BTreeMap::new();
    for (name, file) in files {
        let File { mut content, synced, .. } = file;
        match &mut loss {
            Loss::Process => {}
            Loss::All => content.truncate(synced),
            Loss::Prefix(count) => content.truncate(synced + *count),
            Loss::Pages(there) => {
                for page in synced / PAGE_BYTES..content.len().div_ceil(PAGE_BYTES) {
                    if !there(name, page) {
                        let end = ((page + 1) * PAGE_BYTES).min(content.len());
                        content[(page * PAGE_BYTES).max(synced)..end].fill(0);
                    }
                }
            }
        }
        left.insert(name.to_string(), content);
    }
    left
}
