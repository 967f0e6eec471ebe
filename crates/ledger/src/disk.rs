//! Whose directory a ledger's is. The disk itself, its lock and the one that is simulated are the store's.

use std::io::{self, ErrorKind};
use std::path::Path;

use magpietally_os_error::retry::{self, FILE_TIMEOUT};
use magpietally_os_error::Call;
use magpietally_store::disk::replace_file;
pub use magpietally_store::disk::{Disk, Folder, Lock};

use crate::segment::{Identity, Owner};

/// Why a directory can't be had.
#[derive(Debug)]
pub enum DirectoryError {
    /// Another process writes in it.
    Locked(String),
    /// It is another node's.
    OtherNode(String),
    /// Its identity makes no sense, or is of a later version.
    Identity(String),
    /// The system's word.
    Io(&'static str, io::Error),
}

impl std::fmt::Display for DirectoryError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Locked(by) => write!(f, "lock: held by {by}: one node a directory"),
            Self::OtherNode(name) => {
                write!(f, "identity: this is the ledger of {name}; a copy is read with `magpietally ledger`")
            }
            Self::Identity(words) => write!(f, "identity: {words}"),
            Self::Io(what, error) => write!(f, "{what}: {error}"),
        }
    }
}

impl std::error::Error for DirectoryError {}

impl From<magpietally_store::disk::LockError> for DirectoryError {
    fn from(why: magpietally_store::disk::LockError) -> Self {
        match why {
            magpietally_store::disk::LockError::Locked(by) => Self::Locked(by),
            magpietally_store::disk::LockError::Io(what, error) => Self::Io(what, error),
        }
    }
}

const IDENTITY: &str = "identity";

/// Whose directory it is: read, or drawn where there is none yet.
///
/// # Errors
/// [`DirectoryError::OtherNode`] where it is another node's.
pub fn load_or_create_identity(folder: &Path, node: &str) -> Result<Owner, DirectoryError> {
    let io = |e| DirectoryError::Io(IDENTITY, e);
    match read_identity(folder) {
        Ok(own) if own.node != node => Err(DirectoryError::OtherNode(own.node)),
        Ok(own) => Ok(own.owner),
        Err(DirectoryError::Io(_, error)) if error.kind() == ErrorKind::NotFound => {
            let own = Identity { node: node.to_string(), owner: Owner::random() };
            let write = || replace_file(folder, IDENTITY, own.text().as_bytes());
            retry::at_start(Call::File, IDENTITY, write).map_err(io)?;
            Ok(own.owner)
        }
        Err(why) => Err(why),
    }
}

/// Whose directory it is, for readers.
///
/// # Errors
/// Where it is no ledger's.
pub fn read_identity(folder: &Path) -> Result<Identity, DirectoryError> {
    let read = || std::fs::read_to_string(folder.join(IDENTITY));
    let text = retry::within(FILE_TIMEOUT, Call::File, IDENTITY, read)
        .map_err(|e| DirectoryError::Io(IDENTITY, e))?;
    Identity::read(&text).map_err(DirectoryError::Identity)
}
