//! The identity of a ledger's directory. The disk, its lock and its simulation are those of the store.

use std::io::{self, ErrorKind};
use std::path::Path;

use magpietally_os_error::retry::{self, FILE_TIMEOUT};
use magpietally_os_error::Call;
use magpietally_store::disk::replace_file;
pub use magpietally_store::disk::{Disk, Folder, Lock};

use crate::segment::{Identity, Owner};

/// Why a directory cannot be used.
#[derive(Debug)]
pub enum DirectoryError {
    /// Another process holds the lock.
    Locked(String),
    /// The directory belongs to another node.
    OtherNode(String),
    /// The identity file is invalid or of a later version.
    Identity(String),
    /// The operating system's error.
    Io(&'static str, io::Error),
}

impl std::fmt::Display for DirectoryError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Locked(holder) => write!(f, "lock: held by {holder}: one node a directory"),
            Self::OtherNode(name) => {
                write!(f, "identity: this is the ledger of {name}; a copy is read with `magpietally ledger`")
            }
            Self::Identity(error) => write!(f, "identity: {error}"),
            Self::Io(what, error) => write!(f, "{what}: {error}"),
        }
    }
}

impl std::error::Error for DirectoryError {}

impl From<magpietally_store::disk::LockError> for DirectoryError {
    fn from(error: magpietally_store::disk::LockError) -> Self {
        match error {
            magpietally_store::disk::LockError::Locked(holder) => Self::Locked(holder),
            magpietally_store::disk::LockError::Io(what, error) => Self::Io(what, error),
        }
    }
}

const IDENTITY: &str = "identity";

/// Reads the owner of a directory, or creates one if there is none yet.
///
/// # Errors
/// [`DirectoryError::OtherNode`] if the directory belongs to another node.
pub fn load_or_create_identity(directory: &Path, node: &str) -> Result<Owner, DirectoryError> {
    let io_error = |e| DirectoryError::Io(IDENTITY, e);
    match read_identity(directory) {
        Ok(identity) if identity.node != node => Err(DirectoryError::OtherNode(identity.node)),
        Ok(identity) => Ok(identity.owner),
        Err(DirectoryError::Io(_, error)) if error.kind() == ErrorKind::NotFound => {
            let identity = Identity { node: node.to_string(), owner: Owner::random() };
            let write = || replace_file(directory, IDENTITY, identity.text().as_bytes());
            retry::at_start(Call::File, IDENTITY, write).map_err(io_error)?;
            Ok(identity.owner)
        }
        Err(error) => Err(error),
    }
}

/// Reads the identity of a directory, for programs that only read it.
///
/// # Errors
/// If it is not the directory of a ledger.
pub fn read_identity(directory: &Path) -> Result<Identity, DirectoryError> {
    let read = || std::fs::read_to_string(directory.join(IDENTITY));
    let text = retry::within(FILE_TIMEOUT, Call::File, IDENTITY, read)
        .map_err(|e| DirectoryError::Io(IDENTITY, e))?;
    Identity::read(&text).map_err(DirectoryError::Identity)
}
