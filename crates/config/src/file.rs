//! Reading files that somebody else writes, within bounds.

use std::fs::File;
use std::io::{self, Read};
use std::path::Path;
use std::time::Duration;

use magpietally_os_error::{retry, Call};

/// Reads a file to its end, `most` bytes at the most.
///
/// # Errors
/// The system's, and a word where there is more than that: a device has no end.
pub fn read(path: &Path, most: usize) -> io::Result<Vec<u8>> {
    bounded(File::open(path)?, most)
}

/// The same as text.
///
/// # Errors
/// Those of [`read`], and a word where it is not UTF-8.
pub fn read_text(path: &Path, most: usize) -> io::Result<String> {
    text(read(path, most)?)
}

/// The same for a process that serves, of a plain file alone: see [`open_regular`].
///
/// # Errors
/// Those of [`read_text`] and [`open_regular`].
pub fn read_regular(path: &Path, most: usize) -> io::Result<String> {
    text(bounded(open_regular(path)?, most)?)
}

/// The same of a file that can't be done without: a disk or a table that fails for a moment is waited for, for so long.
///
/// # Errors
/// Those of [`read_regular`].
pub fn read_regular_within(span: Duration, path: &Path, most: usize) -> io::Result<String> {
    let name = path.display().to_string();
    retry::within(span, Call::File, &name, || read_regular(path, most))
}

/// Opens a file for a process that serves: a pipe without a writer in its place would hold it up for good.
///
/// # Errors
/// The system's, and a word where it is no plain file.
pub fn open_regular(path: &Path) -> io::Result<File> {
    if !std::fs::metadata(path)?.is_file() {
        return Err(io::Error::other("not a file"));
    }
    File::open(path)
}

fn bounded(file: File, most: usize) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    // One more than may be read, so that what is too long is seen to be.
    file.take(most as u64 + 1).read_to_end(&mut bytes)?;
    if bytes.len() > most {
        return Err(io::Error::other(format!("longer than {most} bytes")));
    }
    Ok(bytes)
}

fn text(bytes: Vec<u8>) -> io::Result<String> {
    String::from_utf8(bytes).map_err(|e| io::Error::other(format!("not UTF-8: {e}")))
}
