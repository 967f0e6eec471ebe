//! The media of this repository's stores: a simulated disk, a directory, and memory.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use magpietally_store::disk::Folder;
use magpietally_store::sim::{files_after_crash, DiskFault, Loss, Op, SimDisk};
use magpietally_store::{Log, Memory, MemoryMedium, Recovered, StoreError};
use tempfile::TempDir;

use super::{CrashImage, CrashVisitor, MediumFault, StoreMedium, Violation};

/// Small, so that a script of a few records uses several segments.
const SEGMENT_BYTES: usize = 200;
const OWNER: &str = "node-1";

/// A [`Log`] on a simulated disk. It crashes after each operation and at each byte of each write, and loses
/// all unsynced data, some of its pages, or all but its first bytes.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk(pub SimDisk);

/// Visits every crash of a recorded sequence of operations; see [`SimulatedDisk`]. Also for other stores on a
/// simulated disk.
///
/// # Errors
/// The first error that the visitor returns.
pub fn visit_sim_crashes<M>(
    ops: &[Op],
    wrap: impl Fn(SimDisk) -> M,
    visit: &mut CrashVisitor<'_, M>,
) -> Result<(), Violation> {
    let mut last_mark = 0;
    for n in 0..=ops.len() {
        let (done, last) = (&ops[..n], n.checked_sub(1).map(|n| &ops[n]));
        if let Some(Op::Mark(label)) = last {
            last_mark = *label;
        }
        let mut visit_image = |files, loss: String| {
            let description =
                format!("after operation {n}, {}, {loss}", last.map_or("none".into(), describe));
            visit(CrashImage {
                medium: wrap(SimDisk::with_files(files)),
                last_mark,
                description,
                torn: false,
            })
        };
        visit_image(files_after_crash(done, None, Loss::Process), "the process died".into())?;
        visit_image(files_after_crash(done, None, Loss::All), "all unsynced data was lost".into())?;
        for kept in [1, 7, 24, 60] {
            visit_image(
                files_after_crash(done, None, Loss::Prefix(kept)),
                format!("{kept} unsynced bytes survived"),
            )?;
        }
        for third in 0..3 {
            let mut survives = |name: &str, page: usize| (name.len() + page) % 3 == third;
            visit_image(
                files_after_crash(done, None, Loss::Pages(&mut survives)),
                format!("one third of the pages survived ({third})"),
            )?;
            let mut survives = |_: &str, page: usize| page % 3 != third;
            visit_image(
                files_after_crash(done, None, Loss::Pages(&mut survives)),
                format!("one third of the pages was lost ({third})"),
            )?;
        }
        if let Some(Op::Write(_, bytes)) = last {
            for torn in 0..bytes.len() {
                visit_image(
                    files_after_crash(done, Some(torn), Loss::Process),
                    format!("{torn} bytes of it were written"),
                )?;
            }
        }
    }
    Ok(())
}

fn describe(op: &Op) -> String {
    match op {
        Op::Write(name, bytes) => format!("{} bytes to {name}", bytes.len()),
        other => format!("{other:?}"),
    }
}

/// Visits the torn states of the last write.
///
/// # Errors
/// The first error that the visitor returns.
pub fn visit_sim_torn_writes<M>(
    ops: &[Op],
    wrap: impl Fn(SimDisk) -> M,
    visit: &mut CrashVisitor<'_, M>,
) -> Result<(), Violation> {
    if let Some(Op::Write(_, bytes)) = ops.last() {
        for torn in 0..=bytes.len() {
            let medium = wrap(SimDisk::with_files(files_after_crash(ops, Some(torn), Loss::Process)));
            let description = format!("{torn} of {} bytes", bytes.len());
            visit(CrashImage { medium, last_mark: 1, description, torn: (1..bytes.len()).contains(&torn) })?;
        }
    }
    Ok(())
}

/// Visits the disk with each bit of all files flipped, one at a time.
///
/// # Errors
/// The first error that the visitor returns.
pub fn visit_sim_bit_flips<M>(
    disk: &SimDisk,
    wrap: impl Fn(SimDisk) -> M,
    visit: &mut CrashVisitor<'_, M>,
) -> Result<(), Violation> {
    let files = disk.files();
    for (name, content) in &files {
        for bit in 0..content.len() * 8 {
            let mut files = files.clone();
            if let Some(content) = files.get_mut(name) {
                content[bit / 8] ^= 1 << (bit % 8);
            }
            let medium = wrap(SimDisk::with_files(files));
            visit(CrashImage {
                medium,
                last_mark: 0,
                description: format!("{name} byte {} bit {}", bit / 8, bit % 8),
                torn: false,
            })?;
        }
    }
    Ok(())
}

/// Injects a fault into a simulated disk, which supports all of them.
pub fn inject_sim_fault(disk: &SimDisk, fault: MediumFault) {
    let from_now = disk.calls()..usize::MAX;
    match fault {
        MediumFault::Full { free_bytes } => disk.limit_space(free_bytes),
        MediumFault::Missing => disk.remove_directory(),
        MediumFault::ReadOnly => disk.fail(from_now, DiskFault::ReadOnly),
        MediumFault::SyncFails => disk.fail(from_now, DiskFault::Io),
    }
}

impl StoreMedium for SimulatedDisk {
    type Store = Log<SimDisk>;

    fn new_empty() -> Self {
        Self::default()
    }

    fn open(&self) -> Result<(Log<SimDisk>, Recovered), StoreError> {
        Log::open_with_segment_bytes(self.0.clone(), OWNER, SEGMENT_BYTES)
    }

    fn mark(&self, label: usize) {
        self.0.mark(label);
    }

    fn visit_crashes(&self, visit: &mut CrashVisitor<'_, Self>) -> Result<(), Violation> {
        visit_sim_crashes(&self.0.ops(), Self, visit)
    }

    fn visit_torn_writes(&self, visit: &mut CrashVisitor<'_, Self>) -> Result<(), Violation> {
        visit_sim_torn_writes(&self.0.ops(), Self, visit)
    }

    fn visit_bit_flips(&self, visit: &mut CrashVisitor<'_, Self>) -> Result<(), Violation> {
        visit_sim_bit_flips(&self.0, Self, visit)
    }

    fn after_process_kill(&self) -> Self {
        Self(SimDisk::with_files(self.0.files()))
    }

    fn inject_fault(&self, fault: MediumFault) -> bool {
        inject_sim_fault(&self.0, fault);
        true
    }

    fn clear_faults(&self) {
        self.0.repair();
    }
}

/// File contents by name.
type Files = BTreeMap<String, Vec<u8>>;

/// A [`Log`] in a directory of the file system. A crash is a copy of the files at a mark: a kill of the
/// process, not a power loss. A full disk and a failing sync can't be injected here.
#[derive(Debug)]
pub struct Directory {
    directory: TempDir,
    missing: Cell<bool>,
    marks: RefCell<Vec<(usize, Files)>>,
}

/// One in this many bits is flipped in a directory: each flip costs an opening with its syncs, and the
/// simulated disk covers all bits. A prime, so that every bit position within a byte occurs.
const BIT_FLIP_STRIDE: usize = 61;

impl Directory {
    /// Creates a directory with these files. Panics where the system has no temporary directory.
    fn with_files(files: &Files) -> Self {
        let directory = TempDir::new().expect("a temporary directory");
        for (name, content) in files {
            std::fs::write(directory.path().join(name), content).expect("a file");
        }
        Self { directory, missing: Cell::new(false), marks: RefCell::default() }
    }

    fn files(&self) -> Files {
        let entries = std::fs::read_dir(self.directory.path()).expect("the directory");
        let names = entries.flatten().filter_map(|entry| entry.file_name().into_string().ok());
        names
            .map(|name| (name.clone(), std::fs::read(self.directory.path().join(name)).expect("a file")))
            .collect()
    }

    /// The path of the directory.
    pub fn path(&self) -> &Path {
        self.directory.path()
    }
}

impl StoreMedium for Directory {
    type Store = Log<Folder>;

    fn new_empty() -> Self {
        Self::with_files(&BTreeMap::new())
    }

    fn open(&self) -> Result<(Log<Folder>, Recovered), StoreError> {
        let path: PathBuf = if self.missing.get() { self.path().join("missing") } else { self.path().into() };
        Log::open_dir(&path, OWNER)
    }

    fn mark(&self, label: usize) {
        self.marks.borrow_mut().push((label, self.files()));
    }

    fn visit_crashes(&self, visit: &mut CrashVisitor<'_, Self>) -> Result<(), Violation> {
        for (last_mark, files) in self.marks.borrow().iter() {
            let description = format!("killed at mark {last_mark}");
            visit(CrashImage {
                medium: Self::with_files(files),
                last_mark: *last_mark,
                description,
                torn: false,
            })?;
        }
        Ok(())
    }

    fn visit_torn_writes(&self, visit: &mut CrashVisitor<'_, Self>) -> Result<(), Violation> {
        let marks = self.marks.borrow();
        let Some((_, before)) = marks.last() else { return Ok(()) };
        let files = self.files();
        for (name, content) in &files {
            let begin = before.get(name).map_or(0, Vec::len);
            for end in begin..content.len() {
                let mut files = files.clone();
                files.insert(name.clone(), content[..end].to_vec());
                let description = format!("{name} ends at byte {end}");
                visit(CrashImage {
                    medium: Self::with_files(&files),
                    last_mark: 1,
                    description,
                    torn: end > begin,
                })?;
            }
        }
        Ok(())
    }

    fn visit_bit_flips(&self, visit: &mut CrashVisitor<'_, Self>) -> Result<(), Violation> {
        let files = self.files();
        for (name, content) in files.iter().filter(|(name, _)| *name != "lock") {
            for bit in (0..content.len() * 8).step_by(BIT_FLIP_STRIDE) {
                let mut content = content.clone();
                content[bit / 8] ^= 1 << (bit % 8);
                let mut files = files.clone();
                files.insert(name.clone(), content);
                let description = format!("{name} byte {} bit {}", bit / 8, bit % 8);
                visit(CrashImage {
                    medium: Self::with_files(&files),
                    last_mark: 0,
                    description,
                    torn: false,
                })?;
            }
        }
        Ok(())
    }

    fn after_process_kill(&self) -> Self {
        Self::with_files(&self.files())
    }

    fn inject_fault(&self, fault: MediumFault) -> bool {
        match fault {
            MediumFault::Missing => self.missing.set(true),
            MediumFault::ReadOnly => {
                let read_only = self.set_writable(false);
                // The superuser can write in spite of the permissions.
                let probe = self.path().join("probe");
                if !read_only || std::fs::write(&probe, []).is_ok() {
                    let _ = std::fs::remove_file(probe);
                    self.clear_faults();
                    return false;
                }
            }
            MediumFault::Full { .. } | MediumFault::SyncFails => return false,
        }
        true
    }

    fn clear_faults(&self) {
        self.missing.set(false);
        self.set_writable(true);
    }
}

impl Directory {
    fn set_writable(&self, write: bool) -> bool {
        use std::os::unix::fs::PermissionsExt;
        let mode = if write { 0o700 } else { 0o500 };
        std::fs::set_permissions(self.path(), std::fs::Permissions::from_mode(mode)).is_ok()
    }
}

/// A [`Memory`] store with its storage. It crashes at each mark, once for each number of unsynced records
/// that survive.
#[derive(Debug, Default)]
pub struct InMemory {
    storage: MemoryMedium,
    marks: RefCell<Vec<(usize, MemoryMedium)>>,
}

impl InMemory {
    fn with_storage(storage: MemoryMedium) -> Self {
        Self { storage, marks: RefCell::default() }
    }
}

impl StoreMedium for InMemory {
    type Store = Memory;

    fn new_empty() -> Self {
        Self::default()
    }

    fn open(&self) -> Result<(Memory, Recovered), StoreError> {
        Memory::open(&self.storage)
    }

    fn mark(&self, label: usize) {
        let all = (0..=self.storage.unsynced()).map(|kept| (label, self.storage.after_crash(kept)));
        self.marks.borrow_mut().extend(all);
    }

    fn visit_crashes(&self, visit: &mut CrashVisitor<'_, Self>) -> Result<(), Violation> {
        for (last_mark, storage) in self.marks.borrow_mut().drain(..) {
            let description = format!("at mark {last_mark} with {storage:?}");
            visit(CrashImage { medium: Self::with_storage(storage), last_mark, description, torn: false })?;
        }
        Ok(())
    }

    fn visit_torn_writes(&self, visit: &mut CrashVisitor<'_, Self>) -> Result<(), Violation> {
        let unsynced = self.storage.unsynced();
        for kept in 0..=unsynced {
            let medium = Self::with_storage(self.storage.after_crash(kept));
            visit(CrashImage {
                medium,
                last_mark: 1,
                description: format!("{kept} unsynced records survived"),
                torn: kept < unsynced,
            })?;
        }
        Ok(())
    }

    fn visit_bit_flips(&self, visit: &mut CrashVisitor<'_, Self>) -> Result<(), Violation> {
        for (n, storage) in self.storage.with_bit_flips().into_iter().enumerate() {
            visit(CrashImage {
                medium: Self::with_storage(storage),
                last_mark: 0,
                description: format!("bit {n}"),
                torn: false,
            })?;
        }
        Ok(())
    }

    fn after_process_kill(&self) -> Self {
        Self::with_storage(self.storage.after_crash(self.storage.unsynced()))
    }

    fn inject_fault(&self, fault: MediumFault) -> bool {
        match fault {
            MediumFault::Full { .. } => self.storage.fill(),
            MediumFault::Missing => self.storage.remove(),
            MediumFault::ReadOnly => self.storage.make_read_only(),
            MediumFault::SyncFails => self.storage.fail_syncs(),
        }
        true
    }

    fn clear_faults(&self) {
        self.storage.repair();
    }
}
