//! Segment files: their names and headers, and the directory's identity.

use std::fmt;
use std::hash::{BuildHasher, RandomState};

use serde::Serialize;

/// Bytes of a header.
pub const HEADER_BYTES: usize = 68;
/// The version of the format that this program writes, and the last that it reads.
pub const VERSION: u16 = 1;

const MAGIC: [u8; 8] = *b"mpledger";
const SUFFIX: &str = ".seg";

/// Whose directory this is: drawn when it is made, and in the header of each of its segments.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Owner(pub [u8; 16]);

impl Owner {
    /// A new one. The standard library's keys for its hash tables are random for each process and table.
    pub fn random() -> Self {
        let half = || RandomState::new().hash_one(std::process::id()).to_le_bytes();
        let mut own = [0; 16];
        own[..8].copy_from_slice(&half());
        own[8..].copy_from_slice(&half());
        Self(own)
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

/// The head of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Whose it is.
    pub owner: Owner,
    /// Its number; each new one of a directory is higher by one.
    pub number: u64,
    /// The sequence of its first record.
    pub first_seq: u64,
    /// Which life of the node wrote it.
    pub boot: u64,
    /// When, Unix time in microseconds.
    pub wall_us: u64,
    /// Promises were given after a sync.
    pub synced: bool,
}

/// Why a header can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeaderError {
    /// The file ends within it.
    Short,
    /// This is no segment.
    NotOurs,
    /// A later version wrote it.
    Later(u16),
    /// Its checksum does not hold.
    Damaged,
}

impl Header {
    /// Adds the header.
    pub fn write(&self, to: &mut Vec<u8>) {
        let begin = to.len();
        to.extend(MAGIC);
        to.extend(VERSION.to_le_bytes());
        to.extend((HEADER_BYTES as u16).to_le_bytes());
        to.extend(u32::from(self.synced).to_le_bytes());
        to.extend(self.owner.0);
        for value in [self.number, self.first_seq, self.boot, self.wall_us] {
            to.extend(value.to_le_bytes());
        }
        let sum = crc32fast::hash(&to[begin..]);
        to.extend(sum.to_le_bytes());
    }

    /// Reads a header.
    ///
    /// # Errors
    /// What is wrong with it. A version is believed only where the magic stands before it.
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
        let sum = u32::from_le_bytes([bytes[64], bytes[65], bytes[66], bytes[67]]);
        if crc32fast::hash(&bytes[..64]) != sum {
            // A later version may have a longer header, and its sum elsewhere.
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

/// The number that a file name gives; `None` where it is no segment's.
pub fn parse_file_name(name: &str) -> Option<u64> {
    let digits = name.strip_suffix(SUFFIX)?;
    let whole = digits.len() == 20 && digits.bytes().all(|b| b.is_ascii_digit());
    // Numbers are counted up from 1: what is near the end of all numbers was not.
    whole.then(|| digits.parse().ok())?.filter(|number| *number < 1 << 62)
}

/// Does this file look like a copy of a segment under a name that none has?
pub fn looks_like_copy(name: &str) -> bool {
    name.contains(SUFFIX) && parse_file_name(name).is_none()
}

/// Whose directory it is, as its file `identity` says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The node's name.
    pub node: String,
    /// The directory's owner.
    pub owner: Owner,
}

impl Identity {
    /// The file's text.
    pub fn text(&self) -> String {
        format!("magpietally ledger {VERSION}\nnode {}\nowner {}\n", self.node, self.owner)
    }

    /// Reads the file's text.
    ///
    /// # Errors
    /// Names the line.
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

/// What to say of a segment by number.
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
