//! The on-disk format of segments, records and snapshots, without I/O; see `docs/design/store.md`.

use std::ops::Range;

use crc32fast::Hasher;

use crate::store::RECORD_MAX_BYTES;

/// The version of the format that is written, and the only one that is read.
pub const VERSION: u16 = 1;
/// The maximum length of an owner's name, in bytes; it has a fixed size in every header.
pub const OWNER_MAX_BYTES: usize = 64;
/// The size of a segment's header, in bytes.
pub const SEGMENT_HEADER_BYTES: usize = 8 + 2 + 1 + OWNER_MAX_BYTES + 6 * 8 + 4;
/// The size of a record's header, in bytes.
pub const RECORD_HEADER_BYTES: usize = 4 + 8 + 8 + 4;
/// The size of a snapshot's header, in bytes.
pub const SNAPSHOT_HEADER_BYTES: usize = 8 + 2 + 1 + OWNER_MAX_BYTES + 3 * 8 + 4;

const SEGMENT_MAGIC: [u8; 8] = *b"mpstore1";
const SNAPSHOT_MAGIC: [u8; 8] = *b"mpsnaps1";

/// Returns the file name of a segment.
pub fn segment_name(number: u64) -> String {
    format!("log-{number:016x}")
}

/// Returns the file name of a snapshot.
pub fn snapshot_name(number: u64) -> String {
    format!("snapshot-{number:016x}")
}

/// Returns the number in a file name, if the name consists of `prefix` and a number.
pub fn file_number(name: &str, prefix: &str) -> Option<u64> {
    let digits = name
        .strip_prefix(prefix)
        .filter(|d| d.len() == 16 && !d.contains(|c: char| c.is_ascii_uppercase()))?;
    u64::from_str_radix(digits, 16).ok()
}

/// The header of a segment. If it and the records carried with it are intact, it takes effect in place of all
/// earlier headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SegmentHeader {
    /// The number of the segment; later segments have higher numbers.
    pub number: u64,
    /// The number of the previous segment; 0 if there is none.
    pub prev: u64,
    /// The offset at which the records of the previous segment end. Anything after it was never synced, or is
    /// repeated in this segment.
    pub prev_end: u64,
    /// The sequence number of the first record.
    pub first: u64,
    /// The number of the snapshot in effect from this segment on; 0 if there is none.
    pub snapshot: u64,
    /// The offset at which the records end that were written together with the header.
    pub carried_end: u64,
}

/// Why the header of a segment or snapshot can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeaderError {
    /// It is incomplete or altered.
    Invalid,
    /// It has an unknown format version.
    Version(u16),
    /// It belongs to another owner, named here.
    OtherOwner(String),
}

fn bytes_at<const N: usize>(bytes: &[u8], at: usize) -> Option<[u8; N]> {
    bytes.get(at..at + N)?.try_into().ok()
}

fn u64_at(bytes: &[u8], at: usize) -> Option<u64> {
    bytes_at(bytes, at).map(u64::from_le_bytes)
}

/// Appends the fields common to all headers.
fn write_common(to: &mut Vec<u8>, magic: [u8; 8], owner: &str, numbers: &[u64]) {
    to.extend(magic);
    to.extend(VERSION.to_le_bytes());
    to.push(owner.len().min(OWNER_MAX_BYTES) as u8);
    let mut name = [0; OWNER_MAX_BYTES];
    name.iter_mut().zip(owner.bytes()).for_each(|(to, from)| *to = from);
    to.extend(name);
    numbers.iter().for_each(|n| to.extend(n.to_le_bytes()));
}

/// Checks the fields common to all headers, starting with the checksum over the header and `rest`, and
/// returns the numbers.
fn read_common<const N: usize>(
    bytes: &[u8],
    magic: [u8; 8],
    owner: &str,
    rest: &[u8],
) -> Result<[u64; N], HeaderError> {
    let end = 11 + OWNER_MAX_BYTES + N * 8;
    let header = bytes.get(..end).ok_or(HeaderError::Invalid)?;
    let mut hasher = Hasher::new();
    hasher.update(header);
    hasher.update(rest);
    if bytes_at(bytes, end).map(u32::from_le_bytes) != Some(hasher.finalize()) || header[..8] != magic {
        return Err(HeaderError::Invalid);
    }
    let version = u16::from_le_bytes([header[8], header[9]]);
    if version != VERSION {
        return Err(HeaderError::Version(version));
    }
    let found_owner = &header[11..11 + usize::from(header[10]).min(OWNER_MAX_BYTES)];
    if found_owner != owner.as_bytes() {
        return Err(HeaderError::OtherOwner(String::from_utf8_lossy(found_owner).into_owned()));
    }
    let mut numbers = [0; N];
    for (n, number) in numbers.iter_mut().enumerate() {
        *number = u64_at(header, 11 + OWNER_MAX_BYTES + n * 8).ok_or(HeaderError::Invalid)?;
    }
    Ok(numbers)
}

impl SegmentHeader {
    /// Appends the encoded header.
    pub fn write(&self, owner: &str, to: &mut Vec<u8>) {
        let begin = to.len();
        let numbers = [self.number, self.prev, self.prev_end, self.first, self.snapshot, self.carried_end];
        write_common(to, SEGMENT_MAGIC, owner, &numbers);
        let crc = crc32fast::hash(&to[begin..]);
        to.extend(crc.to_le_bytes());
    }

    /// Decodes the header of the segment of this number.
    pub fn read(bytes: &[u8], owner: &str, number: u64) -> Result<Self, HeaderError> {
        let [own, prev, prev_end, first, snapshot, carried_end] =
            read_common(bytes, SEGMENT_MAGIC, owner, &[])?;
        if own != number || prev >= own || first == 0 || carried_end < SEGMENT_HEADER_BYTES as u64 {
            return Err(HeaderError::Invalid);
        }
        Ok(Self { number, prev, prev_end, first, snapshot, carried_end })
    }
}

/// Encodes the whole file of a snapshot.
pub fn write_snapshot(owner: &str, number: u64, covers: u64, state: &[u8]) -> Vec<u8> {
    let mut to = Vec::with_capacity(SNAPSHOT_HEADER_BYTES + state.len());
    write_common(&mut to, SNAPSHOT_MAGIC, owner, &[number, covers, state.len() as u64]);
    let mut hasher = Hasher::new();
    hasher.update(&to);
    hasher.update(state);
    to.extend(hasher.finalize().to_le_bytes());
    to.extend(state);
    to
}

/// Decodes a snapshot. Returns the last record that it covers, and its state.
pub fn read_snapshot(mut bytes: Vec<u8>, owner: &str, number: u64) -> Result<(u64, Vec<u8>), HeaderError> {
    let rest = bytes.get(SNAPSHOT_HEADER_BYTES..).ok_or(HeaderError::Invalid)?;
    let [own, covers, size] = read_common(&bytes, SNAPSHOT_MAGIC, owner, rest)?;
    if own != number || size != rest.len() as u64 {
        return Err(HeaderError::Invalid);
    }
    bytes.drain(..SNAPSHOT_HEADER_BYTES);
    Ok((covers, bytes))
}

/// The location of records. The checksum of a record covers it too, so that a copy of a record elsewhere is
/// not valid.
#[derive(Clone, Copy, Debug)]
pub struct RecordLocation<'a> {
    /// The owner of the store.
    pub owner: &'a str,
    /// The number of the segment.
    pub number: u64,
}

/// An intact record that was found in a segment.
#[derive(Clone, Debug)]
pub struct FoundRecord {
    /// The sequence number of the record.
    pub seq: u64,
    /// The claim about synced records: one more than the sequence number of the last record that had been
    /// synced when this one was written; 0 in a record that was carried over, which claims nothing.
    pub claim: u64,
    /// The range of the record's bytes in the segment.
    pub bytes: Range<usize>,
}

impl RecordLocation<'_> {
    fn checksum(&self, at: usize, header: &[u8], record: &[u8]) -> u32 {
        let mut hasher = Hasher::new();
        hasher.update(self.owner.as_bytes());
        hasher.update(&self.number.to_le_bytes());
        hasher.update(&(at as u64).to_le_bytes());
        hasher.update(header);
        hasher.update(record);
        hasher.finalize()
    }

    /// Appends the encoding of a record that will be at offset `at` of the segment.
    pub fn write(&self, at: usize, seq: u64, claim: u64, record: &[u8], to: &mut Vec<u8>) {
        let mut header = [0; RECORD_HEADER_BYTES - 4];
        header[..4].copy_from_slice(&(record.len() as u32).to_le_bytes());
        header[4..12].copy_from_slice(&seq.to_le_bytes());
        header[12..].copy_from_slice(&claim.to_le_bytes());
        to.extend(header);
        to.extend(self.checksum(at, &header, record).to_le_bytes());
        to.extend(record);
    }

    /// Returns the record at offset `at`, if an intact one is there whose sequence number and claim satisfy
    /// `fits`.
    pub fn read(&self, segment: &[u8], at: usize, fits: impl Fn(u64, u64) -> bool) -> Option<FoundRecord> {
        let size = u32::from_le_bytes(bytes_at(segment, at)?) as usize;
        let (seq, claim) = (u64_at(segment, at + 4)?, u64_at(segment, at + 12)?);
        let crc = u32::from_le_bytes(bytes_at(segment, at + RECORD_HEADER_BYTES - 4)?);
        if size > RECORD_MAX_BYTES || claim > seq || !fits(seq, claim) {
            return None;
        }
        let begin = at + RECORD_HEADER_BYTES;
        let record = segment.get(begin..begin + size)?;
        let intact = self.checksum(at, &segment[at..at + RECORD_HEADER_BYTES - 4], record) == crc;
        intact.then(|| FoundRecord { seq, claim, bytes: begin..begin + size })
    }

    /// Returns the successive records from offset `at` up to `end`, starting with sequence number `first`,
    /// and the offset at which they end.
    pub fn read_sequence(
        &self,
        segment: &[u8],
        mut at: usize,
        end: usize,
        first: u64,
    ) -> (Vec<FoundRecord>, usize) {
        let (segment, mut all) = (&segment[..end.min(segment.len())], Vec::new());
        while let Some(found) = self.read(segment, at, |seq, _| seq == first + all.len() as u64) {
            at = found.bytes.end;
            all.push(found);
        }
        (all, at)
    }

    /// Returns whether an intact record from offset `at` on claims that the record numbered `synced` had been
    /// synced. Every offset is tried, since the start of such a record is unknown; few candidates have
    /// plausible numbers and cost a checksum.
    pub fn has_claim_after(&self, segment: &[u8], at: usize, synced: u64) -> bool {
        (at..segment.len()).any(|offset| self.read(segment, offset, |_, claim| claim > synced).is_some())
    }
}
