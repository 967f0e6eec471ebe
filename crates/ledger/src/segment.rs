//! Segment files: their names and headers, and the identity of the directory.

use std::fmt;
use std::hash::{BuildHasher, RandomState};

use serde::Serialize;

/// Bytes of a header.
pub const HEADER_BYTES: usize = 68;
/// The version of the format that this program writes, and the latest that it reads.
pub const VERSION: u16 = 1;

const MAGIC: [u8; 8] = *b"mpledger";
const SUFFIX: &str = ".seg";

/// A random id of a ledger's directory, chosen when it is created and written in the header of each of its
/// segments.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Owner(pub [u8; 16]);

impl Owner {
    /// Generates a new owner. The standard library's hash keys are random for each process and table.
    pub fn random() -> Self {
        let half = || RandomState::new().hash_one(std::process::id()).to_le_bytes();
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&half());
        bytes[8..].copy_from_slice(&half());
        Self(bytes)
    }
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// The header of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The owner of the directory.
    pub owner: Owner,
    /// The number of the segment; each new one of a directory is higher by one.
    pub number: u64,
    /// The sequence of its first record.
    pub first_seq: u64,
    /// The incarnation of the node that wrote it.
    pub boot: u64,
    /// When it was begun, Unix time in microseconds.
    pub wall_us: u64,
    /// Whether intents were confirmed only after a sync.
    pub synced: bool,
}

/// Why a header is unusable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeaderError {
    /// The file ends within the header.
    Short,
    /// The file is not a segment.
    NotOurs,
    /// A later version wrote it.
    Later(u16),
    /// The checksum is wrong.
    Damaged,
}

impl Header {
    /// Appends the header.
    pub fn write(&self, to: &mut Vec<u8>) {
        let start = to.len();
        to.extend(MAGIC);
        to.extend(VERSION.to_le_bytes());
        to.extend((HEADER_BYTES as u16).to_le_bytes());
        to.extend(u32::from(self.synced).to_le_bytes());
        to.extend(self.owner.0);
        for value in [self.number, self.first_seq, self.boot, self.wall_us] {
            to.extend(value.to_le_bytes());
        }
        let checksum = crc32fast::hash(&to[start..]);
        to.extend(checksum.to_le_bytes());
    }

    /// Reads a header.
    ///
    /// # Errors
    /// What is wrong with it. The version is used only after the magic string matched.
    pub fn read(bytes: &[u8]) -> Result<Self, HeaderError> {
        if bytes.len() >= MAGIC.len() && bytes[..MAGIC.len()] != MAGIC {
            return Err(HeaderError::NotOurs);
        }
        let Some(bytes) = bytes.first_chunk::<HEADER_BYTES>() else { return Err(HeaderError::Short) };
        let number = |at: usize| {
            let mut value = [0; 8];
            value.copy_from_slice(&bytes[at..at + 8]);
            u64::from_le_bytes(value)
        };
        let version = u16::from_le_bytes([bytes[8], bytes[9]]);
        let checksum = u32::from_le_bytes([bytes[64], bytes[65], bytes[66], bytes[67]]);
        if crc32fast::hash(&bytes[..64]) != checksum {
            // A later version may have a longer header with the checksum elsewhere.
            return Err(if version > VERSION { HeaderError::Later(version) } else { HeaderError::Damaged });
        }
        if version > VERSION {
            return Err(HeaderError::Later(version));
        }
        let mut owner = [0; 16];
        owner.copy_from_slice(&bytes[16..32]);
        Ok(Self {
            owner: Owner(owner),
            number: number(32),
            first_seq: number(40),
            boot: number(48),
            wall_us: number(56),
            synced: bytes[12] & 1 == 1,
        })
    }
}

/// The file name of a segment.
pub fn file_name(number: u64) -> String {
    format!("{number:020}{SUFFIX}")
}

/// The number in a segment's file name; `None` if the name is not one of a segment.
pub fn parse_file_name(name: &str) -> Option<u64> {
    let digits = name.strip_suffix(SUFFIX)?;
    let is_valid = digits.len() == 20 && digits.bytes().all(|b| b.is_ascii_digit());
    // Numbers count up from 1, so one near the maximum was not written by this program.
    is_valid.then(|| digits.parse().ok())?.filter(|number| *number < 1 << 62)
}

/// Returns whether a file looks like a renamed copy of a segment.
pub fn looks_like_copy(name: &str) -> bool {
    name.contains(SUFFIX) && parse_file_name(name).is_none()
}

/// The owner of a directory, as its file `identity` states.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The name of the node.
    pub node: String,
    /// The owner of the directory.
    pub owner: Owner,
}

impl Identity {
    /// Formats the file.
    pub fn text(&self) -> String {
        format!("magpietally ledger {VERSION}\nnode {}\nowner {}\n", self.node, self.owner)
    }

    /// Parses the file.
    ///
    /// # Errors
    /// The line that is invalid, and why.
    pub fn read(text: &str) -> Result<Self, String> {
        let mut lines = text.lines();
        let version = lines.next().and_then(|l| l.strip_prefix("magpietally ledger "));
        let version: u16 =
            version.and_then(|v| v.parse().ok()).ok_or("line 1: not the identity of a ledger")?;
        if version > VERSION {
            return Err(format!("line 1: version {version}; this program knows up to {VERSION}"));
        }
        let node = lines.next().and_then(|l| l.strip_prefix("node ")).ok_or("line 2: node expected")?;
        let owner = lines.next().and_then(|l| l.strip_prefix("owner "));
        let owner = owner.filter(|o| o.len() == 32).and_then(|o| u128::from_str_radix(o, 16).ok());
        let owner = owner.ok_or("line 3: owner and 32 hex digits expected")?;
        Ok(Self { node: node.to_string(), owner: Owner(owner.to_be_bytes()) })
    }
}

/// The number of a segment, for display.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct SegmentNo(pub u64);

impl fmt::Display for SegmentNo {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "segment {}", self.0)
    }
}

#[cfg(test)]
mod tests;
