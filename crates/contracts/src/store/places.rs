//! The places of this repository's stores: a simulated disk, a directory, and memory.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use magpietally_store::disk::Folder;
use magpietally_store::sim::{files_after_crash, DiskFault, Loss, Op, SimDisk};
use magpietally_store::{Log, Memory, MemoryMedium, Recovered, StoreError};
use tempfile::TempDir;

use super::{Broken, Left, Place, Trouble, Visit};

/// Small, so that a course of a few records goes through several.
const SEGMENT_BYTES: usize = 200;
const OWNER: &str = "node-1";

/// A [`Log`] on a simulated disk. It crashes behind each operation, within each write at each byte, and loses of what was
/// not synced all, some pages, or all but some bytes.
#[derive(Clone, Debug, Default)]
pub struct Sim(pub SimDisk);

/// Goes through every crash of a course; see [`Sim`]. Also for stores of one's own on a simulated disk.
///
/// # Errors
/// The first of the visitor's.
pub fn sim_crashes<P>(ops: &[Op], of: impl Fn(SimDisk) -> P, visit: &mut Visit<'_, P>) -> Result<(), Broken> {
    let mut marked = 0;
    for n in 0..=ops.len() {
        let (done, last) = (&ops[..n], n.checked_sub(1).map(|n| &ops[n]));
        if let Some(Op::Mark(what)) = last {
            marked = *what;
        }
        let mut left = |files, how: String| {
            let moment = format!("behind operation {n}, {}, {how}", last.map_or("none".into(), short));
            visit(Left { place: of(SimDisk::with_files(files)), marked, moment, torn: false })
        };
        left(files_after_crash(done, None, Loss::Process), "the process died".into())?;
        left(files_after_crash(done, None, Loss::All), "all was lost that was not synced".into())?;
        for kept in [1, 7, 24, 60] {
            left(files_after_crash(done, None, Loss::Prefix(kept)), format!("{kept} bytes were there"))?;
        }
        for odd in 0..3 {
            let mut there = |name: &str, page: usize| (name.len() + page) % 3 == odd;
            left(
                files_after_crash(done, None, Loss::Pages(&mut there)),
                format!("a third of the pages was there, {odd}"),
            )?;
            let mut there = |_: &str, page: usize| page % 3 != odd;
            left(
                files_after_crash(done, None, Loss::Pages(&mut there)),
                format!("a third of the pages was gone, {odd}"),
            )?;
        }
        if let Some(Op::Write(_, bytes)) = last {
            for torn in 0..bytes.len() {
                left(
                    files_after_crash(done, Some(torn), Loss::Process),
                    format!("{torn} bytes of it were done"),
                )?;
            }
        }
    }
    Ok(())
}

fn short(op: &Op) -> String {
    match op {
        Op::Write(name, bytes) => format!("{} bytes to {name}", bytes.len()),
        other => format!("{other:?}"),
    }
}

/// Goes through the tears of what was written last.
///
/// # Errors
/// The first of the visitor's.
pub fn sim_tears<P>(ops: &[Op], of: impl Fn(SimDisk) -> P, visit: &mut Visit<'_, P>) -> Result<(), Broken> {
    if let Some(Op::Write(_, bytes)) = ops.last() {
        for torn in 0..=bytes.len() {
            let place = of(SimDisk::with_files(files_after_crash(ops, Some(torn), Loss::Process)));
            let moment = format!("{torn} of {} bytes", bytes.len());
            visit(Left { place, marked: 1, moment, torn: (1..bytes.len()).contains(&torn) })?;
        }
    }
    Ok(())
}

/// Goes through each bit of all files.
///
/// # Errors
/// The first of the visitor's.
pub fn sim_flips<P>(
    disk: &SimDisk,
    of: impl Fn(SimDisk) -> P,
    visit: &mut Visit<'_, P>,
) -> Result<(), Broken> {
    let files = disk.files();
    for (name, content) in &files {
        for bit in 0..content.len() * 8 {
            let mut files = files.clone();
            if let Some(content) = files.get_mut(name) {
                content[bit / 8] ^= 1 << (bit % 8);
            }
            let place = of(SimDisk::with_files(files));
            visit(Left {
                place,
                marked: 0,
                moment: format!("{name} byte {} bit {}", bit / 8, bit % 8),
                torn: false,
            })?;
        }
    }
    Ok(())
}

/// Plays a trouble on a simulated disk, which can play all.
pub fn sim_trouble(disk: &SimDisk, trouble: Trouble) {
    let from_now = disk.calls()..usize::MAX;
    match trouble {
        Trouble::Full { room } => disk.limit_space(room),
        Trouble::Missing => disk.remove_directory(),
        Trouble::ReadOnly => disk.fail(from_now, DiskFault::ReadOnly),
        Trouble::SyncFails => disk.fail(from_now, DiskFault::Io),
    }
}

impl Place for Sim {
    type Store = Log<SimDisk>;

    fn fresh() -> Self {
        Self::default()
    }

    fn open(&self) -> Result<(Log<SimDisk>, Recovered), StoreError> {
        Log::open_with_segment_bytes(self.0.clone(), OWNER, SEGMENT_BYTES)
    }

    fn mark(&self, what: usize) {
        self.0.mark(what);
    }

    fn crashes(&self, visit: &mut Visit<'_, Self>) -> Result<(), Broken> {
        sim_crashes(&self.0.ops(), Self, visit)
    }

    fn tears(&self, visit: &mut Visit<'_, Self>) -> Result<(), Broken> {
        sim_tears(&self.0.ops(), Self, visit)
    }

    fn flips(&self, visit: &mut Visit<'_, Self>) -> Result<(), Broken> {
        sim_flips(&self.0, Self, visit)
    }

    fn killed(&self) -> Self {
        Self(SimDisk::with_files(self.0.files()))
    }

    fn trouble(&self, trouble: Trouble) -> bool {
        sim_trouble(&self.0, trouble);
        true
    }

    fn repair(&self) {
        self.0.repair();
    }
}

/// What each file holds.
type Files = BTreeMap<String, Vec<u8>>;

/// A [`Log`] in a directory of the system's. A crash is a copy of the files at a mark: a kill of the process, not a loss of
/// power. A full disk and a failing sync can't be played here.
#[derive(Debug)]
pub struct Directory {
    own: TempDir,
    missing: Cell<bool>,
    marks: RefCell<Vec<(usize, Files)>>,
}

/// The share of bits that are flipped in a directory, one in so many: each costs an opening with its syncs, and the
/// simulated disk has all of them. A prime, so that every place of a byte comes.
const EVERY: usize = 61;

impl Directory {
    /// A place with these files. Tests end where the system has no temporary directory.
    fn of(files: &Files) -> Self {
        let own = TempDir::new().expect("a temporary directory");
        for (name, content) in files {
            std::fs::write(own.path().join(name), content).expect("a file");
        }
        Self { own, missing: Cell::new(false), marks: RefCell::default() }
    }

    fn files(&self) -> Files {
        let entries = std::fs::read_dir(self.own.path()).expect("the directory");
        let names = entries.flatten().filter_map(|entry| entry.file_name().into_string().ok());
        names.map(|name| (name.clone(), std::fs::read(self.own.path().join(name)).expect("a file"))).collect()
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        self.own.path()
    }
}

impl Place for Directory {
    type Store = Log<Folder>;

    fn fresh() -> Self {
        Self::of(&BTreeMap::new())
    }

    fn open(&self) -> Result<(Log<Folder>, Recovered), StoreError> {
        let path: PathBuf = if self.missing.get() { self.path().join("missing") } else { self.path().into() };
        Log::open_dir(&path, OWNER)
    }

    fn mark(&self, what: usize) {
        self.marks.borrow_mut().push((what, self.files()));
    }

    fn crashes(&self, visit: &mut Visit<'_, Self>) -> Result<(), Broken> {
        for (marked, files) in self.marks.borrow().iter() {
            let moment = format!("killed at mark {marked}");
            visit(Left { place: Self::of(files), marked: *marked, moment, torn: false })?;
        }
        Ok(())
    }

    fn tears(&self, visit: &mut Visit<'_, Self>) -> Result<(), Broken> {
        let marks = self.marks.borrow();
        let Some((_, before)) = marks.last() else { return Ok(()) };
        let files = self.files();
        for (name, content) in &files {
            let begin = before.get(name).map_or(0, Vec::len);
            for end in begin..content.len() {
                let mut files = files.clone();
                files.insert(name.clone(), content[..end].to_vec());
                let moment = format!("{name} ends at byte {end}");
                visit(Left { place: Self::of(&files), marked: 1, moment, torn: end > begin })?;
            }
        }
        Ok(())
    }

    fn flips(&self, visit: &mut Visit<'_, Self>) -> Result<(), Broken> {
        let files = self.files();
        for (name, content) in files.iter().filter(|(name, _)| *name != "lock") {
            for bit in (0..content.len() * 8).step_by(EVERY) {
                let mut content = content.clone();
                content[bit / 8] ^= 1 << (bit % 8);
                let mut files = files.clone();
                files.insert(name.clone(), content);
                let moment = format!("{name} byte {} bit {}", bit / 8, bit % 8);
                visit(Left { place: Self::of(&files), marked: 0, moment, torn: false })?;
            }
        }
        Ok(())
    }

    fn killed(&self) -> Self {
        Self::of(&self.files())
    }

    fn trouble(&self, trouble: Trouble) -> bool {
        match trouble {
            Trouble::Missing => self.missing.set(true),
            Trouble::ReadOnly => {
                let read_only = self.permit(false);
                // The superuser writes all the same.
                let probe = self.path().join("probe");
                if !read_only || std::fs::write(&probe, []).is_ok() {
                    let _ = std::fs::remove_file(probe);
                    self.repair();
                    return false;
                }
            }
            Trouble::Full { .. } | Trouble::SyncFails => return false,
        }
        true
    }

    fn repair(&self) {
        self.missing.set(false);
        self.permit(true);
    }
}

impl Directory {
    fn permit(&self, write: bool) -> bool {
        use std::os::unix::fs::PermissionsExt;
        let mode = if write { 0o700 } else { 0o500 };
        std::fs::set_permissions(self.path(), std::fs::Permissions::from_mode(mode)).is_ok()
    }
}

/// A [`Memory`] on its shelf. It crashes at each mark with each number of unsynced records.
#[derive(Debug, Default)]
pub struct Shelved {
    shelf: MemoryMedium,
    marks: RefCell<Vec<(usize, MemoryMedium)>>,
}

impl Shelved {
    fn of(shelf: MemoryMedium) -> Self {
        Self { shelf, marks: RefCell::default() }
    }
}

impl Place for Shelved {
    type Store = Memory;

    fn fresh() -> Self {
        Self::default()
    }

    fn open(&self) -> Result<(Memory, Recovered), StoreError> {
        Memory::open(&self.shelf)
    }

    fn mark(&self, what: usize) {
        let all = (0..=self.shelf.unsynced()).map(|kept| (what, self.shelf.after_crash(kept)));
        self.marks.borrow_mut().extend(all);
    }

    fn crashes(&self, visit: &mut Visit<'_, Self>) -> Result<(), Broken> {
        for (marked, shelf) in self.marks.borrow_mut().drain(..) {
            let moment = format!("at mark {marked} with {shelf:?}");
            visit(Left { place: Self::of(shelf), marked, moment, torn: false })?;
        }
        Ok(())
    }

    fn tears(&self, visit: &mut Visit<'_, Self>) -> Result<(), Broken> {
        let unsynced = self.shelf.unsynced();
        for kept in 0..=unsynced {
            let place = Self::of(self.shelf.after_crash(kept));
            visit(Left { place, marked: 1, moment: format!("{kept} kept"), torn: kept < unsynced })?;
        }
        Ok(())
    }

    fn flips(&self, visit: &mut Visit<'_, Self>) -> Result<(), Broken> {
        for (n, shelf) in self.shelf.with_bit_flips().into_iter().enumerate() {
            visit(Left { place: Self::of(shelf), marked: 0, moment: format!("bit {n}"), torn: false })?;
        }
        Ok(())
    }

    fn killed(&self) -> Self {
        Self::of(self.shelf.after_crash(self.shelf.unsynced()))
    }

    fn trouble(&self, trouble: Trouble) -> bool {
        match trouble {
            Trouble::Full { .. } => self.shelf.fill(),
            Trouble::Missing => self.shelf.remove(),
            Trouble::ReadOnly => self.shelf.make_read_only(),
            Trouble::SyncFails => self.shelf.fail_syncs(),
        }
        true
    }

    fn repair(&self) {
        self.shelf.repair();
    }
}
