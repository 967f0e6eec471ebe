//! The disk interface of ledgers and stores, and its implementation on a directory. Tests inject faults
//! behind this interface.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use magpietally_os_error::retry::{self, FILE_TIMEOUT};
use magpietally_os_error::Call;

/// A directory of append-only files.
pub trait Disk {
    /// A file open for appending.
    type File;
    /// The exclusive right to write in the directory, until it is dropped or the process ends.
    type Lock;

    /// Acquires the exclusive right to write in the directory.
    ///
    /// # Errors
    /// [`LockError::Locked`] if another process has it; otherwise the error of the system call.
    fn lock(&mut self) -> Result<Self::Lock, LockError>;

    /// Creates a file, which must not exist yet.
    ///
    /// # Errors
    /// The error of the system call.
    fn create(&mut self, name: &str) -> io::Result<Self::File>;

    /// Appends bytes and returns how many were written, at least one.
    ///
    /// # Errors
    /// The error of the system call: no space, no such device, read-only.
    fn append(&mut self, file: &mut Self::File, bytes: &[u8]) -> io::Result<usize>;

    /// Waits until the content of the file would survive a power loss.
    ///
    /// # Errors
    /// The error of the system call. After an error the state of the bytes written since the last sync is
    /// unknown, and a later sync that succeeds proves nothing about them.
    fn sync(&mut self, file: &mut Self::File) -> io::Result<()>;

    /// Like [`Disk::sync`], for the file names in the directory.
    ///
    /// # Errors
    /// The error of the system call.
    fn sync_directory(&mut self) -> io::Result<()>;

    /// Returns the names of the files in the directory.
    ///
    /// # Errors
    /// The error of the system call.
    fn file_names(&mut self) -> io::Result<Vec<String>>;

    /// Reads bytes of a file from an offset and returns how many; 0 at the end of the file.
    ///
    /// # Errors
    /// The error of the system call.
    fn read(&mut self, name: &str, from: u64, to: &mut [u8]) -> io::Result<usize>;

    /// Removes a file.
    ///
    /// # Errors
    /// The error of the system call.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A directory of the file system.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// The file that was read last, with its name, kept open for the next read.
    last_read: Option<(String, File)>,
}

impl Folder {
    /// Uses a directory, which should exist.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Self { path: path.into(), last_read: None }
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
        let directory = retry::within(FILE_TIMEOUT, Call::File, "directory", || File::open(&self.path))?;
        retry::interrupted(|| directory.sync_all())
    }

    fn file_names(&mut self) -> io::Result<Vec<String>> {
        // Listing changes nothing, so it can be repeated.
        retry::within(FILE_TIMEOUT, Call::File, "directory", || {
            let mut names = Vec::new();
            for entry in std::fs::read_dir(&self.path)? {
                // Names that are not valid UTF-8 are not those of stores or ledgers.
                names.extend(entry?.file_name().into_string());
            }
            Ok(names)
        })
    }

    fn read(&mut self, name: &str, from: u64, to: &mut [u8]) -> io::Result<usize> {
        // A temporary read error must not be taken for damage, since damaged content would be discarded.
        retry::within(FILE_TIMEOUT, Call::File, name, || {
            let mut file = match self.last_read.take() {
                Some((open, file)) if open == name => file,
                _ => File::open(self.path.join(name))?,
            };
            file.seek(SeekFrom::Start(from))?;
            let count = file.read(to)?;
            self.last_read = Some((name.to_string(), file));
            Ok(count)
        })
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        retry::interrupted(|| std::fs::remove_file(self.path.join(name)))
    }
}

/// Writes a small file and atomically replaces the existing one of this name, if any. The new content is
/// durable when this returns. A crash before that leaves the former content, so the call can be repeated.
///
/// # Errors
/// The error of the system call.
pub fn replace_file(directory: &Path, name: &str, contents: &[u8]) -> io::Result<()> {
    let next = directory.join(format!("{name}.next"));
    let mut file = File::create(&next)?;
    file.write_all(contents)?;
    file.sync_all()?;
    std::fs::rename(&next, directory.join(name))?;
    File::open(directory)?.sync_all()
}

/// The exclusive right to write in a directory. The lock ends with the process in any case: a lock file that
/// was left behind is not locked.
#[derive(Debug)]
pub struct Lock {
    _file: File,
}

/// Why the lock of a directory could not be acquired.
#[derive(Debug)]
pub enum LockError {
    /// Another process holds it; the text describes that process.
    Locked(String),
    /// An error of a system call.
    Io(&'static str, io::Error),
}

impl std::fmt::Display for LockError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Locked(by) => write!(f, "lock: held by {by}; a directory can be used by one node only"),
            Self::Io(what, error) => write!(f, "{what}: {error}"),
        }
    }
}

impl std::error::Error for LockError {}

const LOCK: &str = "lock";

impl Lock {
    /// Acquires the lock.
    ///
    /// # Errors
    /// [`LockError::Locked`] with the holder's description of itself; otherwise the error of the system call.
    pub fn acquire(directory: &Path) -> Result<Self, LockError> {
        let path = directory.join(LOCK);
        let open = || {
            let open = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&path);
            // On a read-only disk an existing lock file can be locked just as well.
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
        // The content is only informative, so an error such as a full disk is ignored.
        let _ = file.set_len(0).and_then(|()| writeln!(file, "process {}", std::process::id()));
        Ok(Self { _file: file })
    }
}
