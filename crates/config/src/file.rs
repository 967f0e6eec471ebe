//! Reads files that other programs write, with a limit on their size.

use std::fs::File;
use std::io::{self, Read};
use std::path::Path;
use std::time::Duration;

use magpietally_os_error::{retry, Call};

/// Reads a whole file of at most `max_bytes` bytes.
///
/// # Errors
/// An I/O error, or the file is longer. The limit also covers devices, which have no end.
pub fn read(path: &Path, max_bytes: usize) -> io::Result<Vec<u8>> {
    read_bounded(File::open(path)?, max_bytes)
}

/// Reads a whole text file of at most `max_bytes` bytes.
///
/// # Errors
/// Those of [`read`], or the file is not UTF-8.
pub fn read_text(path: &Path, max_bytes: usize) -> io::Result<String> {
    decode_utf8(read(path, max_bytes)?)
}

/// Reads a text file like [`read_text`], but only a regular file, as a long-running process needs: see
/// [`open_regular`].
///
/// # Errors
/// Those of [`read_text`] and [`open_regular`].
pub fn read_regular(path: &Path, max_bytes: usize) -> io::Result<String> {
    decode_utf8(read_bounded(open_regular(path)?, max_bytes)?)
}

/// Reads a required file like [`read_regular`], and retries transient errors of the disk or the file table
/// for up to `timeout`.
///
/// # Errors
/// Those of [`read_regular`].
pub fn read_regular_within(timeout: Duration, path: &Path, max_bytes: usize) -> io::Result<String> {
    let name = path.display().to_string();
    retry::within(timeout, Call::File, &name, || read_regular(path, max_bytes))
}

/// Opens a regular file. Opening a pipe without a writer instead would block a long-running process forever.
///
/// # Errors
/// An I/O error, or the path is not a regular file.
pub fn open_regular(path: &Path) -> io::Result<File> {
    if !std::fs::metadata(path)?.is_file() {
        return Err(io::Error::other("not a file"));
    }
    File::open(path)
}

fn read_bounded(file: File, max_bytes: usize) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    // One byte more than the limit, so that a file that is too long is detected.
    file.take(max_bytes as u64 + 1).read_to_end(&mut bytes)?;
    if bytes.len() > max_bytes {
        return Err(io::Error::other(format!("longer than {max_bytes} bytes")));
    }
    Ok(bytes)
}

fn decode_utf8(bytes: Vec<u8>) -> io::Result<String> {
    String::from_utf8(bytes).map_err(|e| io::Error::other(format!("not UTF-8: {e}")))
}
