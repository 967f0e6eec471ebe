//! Which start of a node this is: a number in the store's directory that grows with each.

use std::io;
use std::path::Path;

use magpietally_store::disk::replace_file;
use magpietally_transport::Session;

use super::clock;

const FILE: &str = "session";

/// The number of this start, written down before it is used. The wall clock's seconds where the file is missing, so that a
/// node whose directory was lost is most likely a later session than the one that others remember.
///
/// # Errors
/// The file can't be read or replaced, or holds no number.
pub fn next(folder: &Path) -> io::Result<Session> {
    let path = folder.join(FILE);
    let wall = clock::now().wall_ms / 1000;
    let last = match std::fs::read_to_string(&path) {
        Ok(text) => text.trim().parse::<u64>().map_err(|_| {
            io::Error::new(io::ErrorKind::InvalidData, format!("{FILE}: a number was expected, not {text:?}"))
        })?,
        Err(error) if error.kind() == io::ErrorKind::NotFound => 0,
        // As it is: its number says whether it may pass.
        Err(error) => return Err(error),
    };
    let session = wall.max(last.saturating_add(1));
    replace_file(folder, FILE, format!("{session}\n").as_bytes())?;
    Ok(Session(session))
}

#[cfg(test)]
mod tests;
