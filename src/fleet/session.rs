//! The session number of a node's start: kept in the store's directory and increased with each start.

use std::io;
use std::path::Path;

use magpietally_store::disk::replace_file;
use magpietally_transport::Session;

use super::clock;

const SESSION_FILE: &str = "session";

/// Determines the session number of this start and persists it before use. Where the file is missing it is
/// the wall clock in seconds, so that a node that lost its directory most likely gets a later session than
/// the one its peers remember.
///
/// # Errors
/// The file can't be read or replaced, or holds no number.
pub fn next_session(directory: &Path) -> io::Result<Session> {
    let path = directory.join(SESSION_FILE);
    let wall = clock::now().wall_ms / 1000;
    let last = match std::fs::read_to_string(&path) {
        Ok(text) => text.trim().parse::<u64>().map_err(|_| {
            io::Error::new(
                io::ErrorKind::InvalidData,
                format!("{SESSION_FILE}: a number was expected, not {text:?}"),
            )
        })?,
        Err(error) if error.kind() == io::ErrorKind::NotFound => 0,
        // Returned unchanged: the caller decides by its error number whether to retry.
        Err(error) => return Err(error),
    };
    let session = wall.max(last.saturating_add(1));
    replace_file(directory, SESSION_FILE, format!("{session}\n").as_bytes())?;
    Ok(Session(session))
}

#[cfg(test)]
mod tests;
