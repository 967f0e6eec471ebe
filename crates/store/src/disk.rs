//! What ledgers and stores need of a disk, and the one that the operating system has. Faults are injected behind this seam.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use magpietally_os_error::retry::{self, FILE_TIMEOUT};
use magpietally_os_error::Call;

/// A directory of files that only grow.
pub trait Disk {
    /// A file that is open for writing.
    type File;
    /// The right to write here, until it is dropped or the process ends.
    type Lock;

    /// Takes the right to write here.
    ///
    /// # Errors
    /// [`LockError::Locked`] where another has it; the system's word else.
    fn lock(&mut self) -> Result<Self::Lock, LockError>;

    /// Makes a file that is not there yet.
    ///
    /// # Errors
    /// The system's.
    fn create(&mut self, name: &str) -> io::Result<Self::File>;

    /// Adds bytes at the end; how many of them, at least one.
    ///
    /// # Errors
    /// The system's: no space, no such device, read-only.
    fn append(&mut self, file: &mut Self::File, bytes: &[u8]) -> io::Result<usize>;

    /// Waits until what the file holds would survive a loss of power.
    ///
    /// # Errors
    /// The system's. After one nothing is known of what was written since the last sync, and asking again proves nothing.
    fn sync(&mut self, file: &mut Self::File) -> io::Result<()>;

    /// The same for the names in the directory.
    ///
    /// # Errors
    /// The system's.
    fn sync_directory(&mut self) -> io::Result<()>;

    /// The names in the directory.
    ///
    /// # Errors
    /// The system's.
    fn file_names(&mut self) -> io::Result<Vec<String>>;

    /// Bytes of a file from a place on; none at its end.
    ///
    /// # Errors
    /// The system's.
    fn read(&mut self, name: &str, from: u64, to: &mut [u8]) -> io::Result<usize>;

    /// Removes a file.
    ///
    /// # Errors
    /// The system's.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A directory of the operating system's.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// The file that was read last, kept open for the next piece of it.
    reads: Option<(String, File)>,
}

impl Folder {
    /// A directory that should be there.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Self { path: path.into(), reads: None }
    }
}

impl Disk for Folder {
    type File = File;
    type Lock = Lock;

    fn lock(&mut self) -> Result<Lock, LockError> {
        Lock::acquire(&self.path)
    }

    fn create(&mut self, name: &str) -> io::Result<File> {
        retry::interrupted(|| OpenOptions::new().append(true).create_new(true).open(self.path.join(name)))
    }

    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<usize> {
        match retry::interrupted(|| file.write(bytes)) {
            Ok(0) => Err(ErrorKind::WriteZero.into()),
            written => written,
        }
    }

    fn sync(&mut self, file: &mut File) -> io::Result<()> {
        retry::interrupted(|| file.sync_data())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        let folder = retry::within(FILE_TIMEOUT, Call::File, "a folder", || File::open(&self.path))?;
        retry::interrupted(|| folder.sync_all())
    }

    fn file_names(&mut self) -> io::Result<Vec<String>> {
        // Nothing is changed by looking, so it may be looked at again.
        retry::within(FILE_TIMEOUT, Call::File, "a folder", || {
            let mut names = Vec::new();
            for entry in std::fs::read_dir(&self.path)? {
                // A name that is no text is none of ours.
                names.extend(entry?.file_name().into_string());
            }
            Ok(names)
        })
    }

    fn read(&mut self, name: &str, from: u64, to: &mut [u8]) -> io::Result<usize> {
        // A place that can't be read for a moment must not pass for one that is damaged: what it holds would be forgotten.
        retry::within(FILE_TIMEOUT, Call::File, name, || {
            let mut file = match self.reads.take() {
                Some((open, file)) if open == name => file,
                _ => File::open(self.path.join(name))?,
            };
            file.seek(SeekFrom::Start(from))?;
            let count = file.read(to)?;
            self.reads = Some((name.to_string(), file));
            Ok(count)
        })
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        retry::interrupted(|| std::fs::remove_file(self.path.join(name)))
    }
}

/// Puts a small file in the place of the one of this name, if there is one, for good when this returns. A crash before leaves
/// what was there, so it may be done again.
///
/// # Errors
/// The system's.
pub fn replace_file(folder: &Path, name: &str, contents: &[u8]) -> io::Result<()> {
    let next = folder.join(format!("{name}.next"));
    let mut file = File::create(&next)?;
    file.write_all(contents)?;
    file.sync_all()?;
    std::fs::rename(&next, folder.join(name))?;
    File::open(folder)?.sync_all()
}

/// The right to write in a directory. It ends with the process, however that ends: a lock file that was left behind is
/// locked by nobody.
#[derive(Debug)]
pub struct Lock {
    _file: File,
}

/// Why a directory can't be had.
#[derive(Debug)]
pub enum LockError {
    /// Another process writes in it.
    Locked(String),
    /// The system's word.
    Io(&'static str, io::Error),
}

impl std::fmt::Display for LockError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Locked(by) => write!(f, "lock: held by {by}: one node a directory"),
            Self::Io(what, error) => write!(f, "{what}: {error}"),
        }
    }
}

impl std::error::Error for LockError {}

const LOCK: &str = "lock";

impl Lock {
    /// Takes the lock.
    ///
    /// # Errors
    /// [`LockError::Locked`] with what the holder wrote of itself; the system's word else.
    pub fn acquire(folder: &Path) -> Result<Self, LockError> {
        let path = folder.join(LOCK);
        let open = || {
            let open = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&path);
            // On a disk that can only be read the lock of earlier is as good.
            open.or_else(|error| File::open(&path).map_err(|_| error))
        };
        let mut file =
            retry::within(FILE_TIMEOUT, Call::File, LOCK, open).map_err(|e| LockError::Io(LOCK, e))?;
        match file.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                let by = std::fs::read_to_string(&path).unwrap_or_default();
                let by = by.trim();
                return Err(LockError::Locked(if by.is_empty() {
                    "another process".into()
                } else {
                    by.into()
                }));
            }
            Err(TryLockError::Error(error)) => return Err(LockError::Io(LOCK, error)),
        }
        // For people; what counts is the lock itself, so a full disk is no reason to go without.
        let _ = file.set_len(0).and_then(|()| writeln!(file, "process {}", std::process::id()));
        Ok(Self { _file: file })
    }
}
