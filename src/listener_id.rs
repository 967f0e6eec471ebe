//! Identifies the listening socket that a node has inherited, so that the processes of a hand-over recognize each
//! other.

use std::fs;
use std::io::{self, ErrorKind};
use std::os::unix::fs::MetadataExt;

use magpietally_membership::ListenerId;
use magpietally_os_error::{retry, Call};

/// The boot id of the machine, as a UUID.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";

/// Identifies the socket with descriptor `fd`.
///
/// # Errors
/// The descriptor is not open, or `/proc` can't be read.
pub fn of_descriptor(fd: u32) -> io::Result<ListenerId> {
    let boot = retry::at_start(Call::File, "boot id", || fs::read_to_string(BOOT_ID_FILE))?;
    let socket =
        retry::at_start(Call::File, "listener inode", || fs::metadata(format!("/proc/self/fd/{fd}")))?;
    Ok(ListenerId { boot: parse_boot_id(&boot)?, inode: socket.ino() })
}

fn parse_boot_id(text: &str) -> io::Result<u128> {
    let digits = text.trim().replace('-', "");
    u128::from_str_radix(&digits, 16)
        .map_err(|_| io::Error::new(ErrorKind::InvalidData, format!("boot id: {text:?} is not a UUID")))
}

#[cfg(test)]
mod tests;
