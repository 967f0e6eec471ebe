//! A simulated disk. It injects faults, records all operations, and computes the files that a crash after any
//! of these operations may leave. Its files are append-only, as those of ledgers and stores are.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::disk::{Disk, LockError};

/// The size of a page, in bytes: the unit that reaches the disk completely or not at all. It is small, so
/// that small files have many pages.
pub const PAGE_BYTES: usize = 64;

/// An operation on the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// A file was created.
    Create(String),
    /// Bytes were appended to a file.
    Write(String, Vec<u8>),
    /// A file was synced.
    Sync(String),
    /// A sync failed: bytes that were not on the disk by then may never get there.
    SyncFailed(String),
    /// The file names were synced.
    SyncDirectory,
    /// A file was removed.
    Remove(String),
    /// A mark set by the caller, for example when something became durable.
    Mark(usize),
}

/// An injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    /// There is no space: the call has no effect.
    NoSpace,
    /// A device error: a write is done by half, other calls have no effect.
    Io,
    /// A write is done by half and reports that, which is no error. Other calls succeed.
    ShortWrite,
    /// The disk is read-only.
    ReadOnly,
}

#[derive(Debug, Default)]
struct State {
    files: BTreeMap<String, Vec<u8>>,
    ops: Vec<Op>,
    calls: usize,
    /// Injected faults, by the numbers of the calls that fail.
    faults: Vec<(std::ops::Range<usize>, DiskFault)>,
    /// The duration of each call, to simulate a slow disk.
    latency: std::time::Duration,
    /// Whether the directory is locked.
    locked: bool,
    /// Whether the directory does not exist.
    missing: bool,
    /// The number of bytes that can still be written; `None` for no limit.
    space: Option<usize>,
}

/// The simulated disk. Clones share its content.
#[derive(Clone, Debug, Default)]
pub struct SimDisk(Arc<Mutex<State>>);

/// An open file, identified by its name.
#[derive(Debug)]
pub struct SimFile(String);

impl SimDisk {
    /// Creates a disk with these files, whose content counts as synced.
    pub fn with_files(files: BTreeMap<String, Vec<u8>>) -> Self {
        Self(Arc::new(Mutex::new(State { files, ..State::default() })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // A test that panics ends, so that no other code uses the state it left.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Injects a fault into the calls with these numbers, counted from 0.
    pub fn fail(&self, calls: std::ops::Range<usize>, fault: DiskFault) {
        self.state().faults.push((calls, fault));
    }

    /// Ends all injected faults.
    pub fn repair(&self) {
        let mut state = self.state();
        state.faults.clear();
        state.missing = false;
        state.space = None;
        state.latency = std::time::Duration::ZERO;
    }

    /// Sets the duration of every call that writes or syncs.
    pub fn set_latency(&self, latency: std::time::Duration) {
        self.state().latency = latency;
    }

    /// Limits the space to this number of further bytes, until [`SimDisk::repair`]. Unlike with
    /// [`DiskFault::NoSpace`], a write uses the space that is left, and syncs and removals succeed, as on a
    /// real disk.
    pub fn limit_space(&self, bytes: usize) {
        self.state().space = Some(bytes);
    }

    /// Makes the directory appear missing, until [`SimDisk::repair`].
    pub fn remove_directory(&self) {
        self.state().missing = true;
    }

    /// Records an [`Op::Mark`].
    pub fn mark(&self, mark: usize) {
        self.state().ops.push(Op::Mark(mark));
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> usize {
        self.state().calls
    }

    /// Returns the operations so far, in order.
    pub fn ops(&self) -> Vec<Op> {
        self.state().ops.clone()
    }

    /// Returns the files as a running process sees them.
    pub fn files(&self) -> BTreeMap<String, Vec<u8>> {
        self.state().files.clone()
    }

    /// Counts a call and returns the fault injected into it, if any.
    fn call(&self) -> Option<DiskFault> {
        let (latency, fault) = {
            let mut state = self.state();
            let number = state.calls;
            state.calls += 1;
            let fault =
                state.faults.iter().find(|(calls, _)| calls.contains(&number)).map(|(_, fault)| *fault);
            (state.latency, fault)
        };
        if !latency.is_zero() {
            std::thread::sleep(latency);
        }
        fault
    }
}

fn error(fault: DiskFault) -> io::Error {
    match fault {
        DiskFault::NoSpace => io::ErrorKind::StorageFull.into(),
        DiskFault::ReadOnly => io::ErrorKind::ReadOnlyFilesystem.into(),
        DiskFault::Io | DiskFault::ShortWrite => io::Error::other("input/output error"),
    }
}

/// The lock of a simulated disk.
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
        if let Some(fault) = self.call().filter(|f| *f != DiskFault::ShortWrite) {
            return Err(error(fault));
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
        let fault = self.call();
        let count = match fault {
            None => bytes.len(),
            Some(DiskFault::NoSpace | DiskFault::ReadOnly) => 0,
            Some(DiskFault::Io | DiskFault::ShortWrite) => bytes.len().div_ceil(2),
        };
        let mut state = self.state();
        let space = state.space.unwrap_or(usize::MAX);
        if space == 0 && fault.is_none() {
            return Err(error(DiskFault::NoSpace));
        }
        let count = count.min(space);
        state.space = state.space.map(|space| space - count);
        let Some(content) = state.files.get_mut(&file.0) else {
            return Err(io::ErrorKind::NotFound.into());
        };
        content.extend(&bytes[..count]);
        if count > 0 {
            state.ops.push(Op::Write(file.0.clone(), bytes[..count].to_vec()));
        }
        match fault {
            None | Some(DiskFault::ShortWrite) => Ok(count),
            Some(fault) => Err(error(fault)),
        }
    }

    fn sync(&mut self, file: &mut SimFile) -> io::Result<()> {
        let fault = self.call().filter(|f| *f != DiskFault::ShortWrite);
        let mut state = self.state();
        state.ops.push(match fault {
            None => Op::Sync(file.0.clone()),
            Some(_) => Op::SyncFailed(file.0.clone()),
        });
        fault.map_or(Ok(()), |f| Err(error(f)))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        if let Some(fault) = self.call().filter(|f| *f != DiskFault::ShortWrite) {
            return Err(error(fault));
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
        if let Some(fault) = self.call().filter(|f| *f != DiskFault::ShortWrite) {
            return Err(error(fault));
        }
        let mut state = self.state();
        state.files.remove(name).ok_or(io::ErrorKind::NotFound)?;
        state.ops.push(Op::Remove(name.to_string()));
        Ok(())
    }
}

/// Which data a crash loses.
pub enum Loss<'a> {
    /// The process was killed: everything that it wrote is kept.
    Process,
    /// Power loss: only synced content and synced file names are kept.
    All,
    /// Power loss: of the content that was not synced, only the pages that the function selects by file name
    /// and page number are kept; the others read as zeros. All file names are kept.
    Pages(&'a mut dyn FnMut(&str, usize) -> bool),
    /// Power loss: of the content that was not synced, this number of bytes of each file is kept. All file
    /// names are kept.
    Prefix(usize),
}

/// Returns the files after a crash that follows these operations. If the last one is a write and `torn` is
/// given, only that number of its bytes was written.
pub fn files_after_crash(ops: &[Op], torn: Option<usize>, mut loss: Loss<'_>) -> BTreeMap<String, Vec<u8>> {
    #[derive(Default)]
    struct File {
        content: Vec<u8>,
        synced: usize,
        /// Whether a sync failed, after which later syncs are ineffective.
        sync_failed: bool,
    }
    let mut files: BTreeMap<&str, File> = BTreeMap::new();
    // The synced file names, and removed files whose names may still be on the disk.
    let (mut synced_names, mut removed): (BTreeSet<&str>, BTreeMap<&str, File>) = Default::default();
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
                if let Some(file) = files.get_mut(name.as_str()).filter(|f| !f.sync_failed) {
                    file.synced = file.content.len();
                }
            }
            Op::SyncFailed(name) => {
                if let Some(file) = files.get_mut(name.as_str()) {
                    file.sync_failed = true;
                }
            }
            Op::SyncDirectory => {
                synced_names = files.keys().copied().collect();
                removed.clear();
            }
            Op::Remove(name) => {
                if let Some(file) = files.remove(name.as_str()) {
                    removed.insert(name, file);
                }
            }
            Op::Mark(_) => {}
        }
    }
    if matches!(loss, Loss::All) {
        files.retain(|name, _| synced_names.contains(name));
        files.extend(removed.into_iter().filter(|(name, _)| synced_names.contains(name)));
    }
    let mut remaining = BTreeMap::new();
    for (name, file) in files {
        let File { mut content, synced, .. } = file;
        match &mut loss {
            Loss::Process => {}
            Loss::All => content.truncate(synced),
            Loss::Prefix(count) => content.truncate(synced + *count),
            Loss::Pages(is_kept) => {
                for page in synced / PAGE_BYTES..content.len().div_ceil(PAGE_BYTES) {
                    if !is_kept(name, page) {
                        let end = ((page + 1) * PAGE_BYTES).min(content.len());
                        content[(page * PAGE_BYTES).max(synced)..end].fill(0);
                    }
                }
            }
        }
        remaining.insert(name.to_string(), content);
    }
    remaining
}
