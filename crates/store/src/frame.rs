//! How a segment, a record and a snapshot lie on the disk; see `docs/design/store.md`. Pure.

use std::ops::Range;

use crc32fast::Hasher;

use crate::store::RECORD_MAX_BYTES;

/// The version of the format that is written, and the only one that is read.
pub const VERSION: u16 = 1;
/// The longest owner's name, in bytes: it has a fixed place in every head.
pub const OWNER_MAX: usize = 64;
/// Bytes of a segment's head.
pub const HEAD: usize = 8 + 2 + 1 + OWNER_MAX + 6 * 8 + 4;
/// Bytes before a record's own.
pub const RECORD_HEAD: usize = 4 + 8 + 8 + 4;
/// Bytes of a snapshot's head.
pub const SNAPSHOT_HEAD: usize = 8 + 2 + 1 + OWNER_MAX + 3 * 8 + 4;

const SEGMENT: [u8; 8] = *b"mpstore1";
const SNAPSHOT: [u8; 8] = *b"mpsnaps1";

/// The name of a segment's file.
pub fn segment_name(number: u64) -> String {
    format!("log-{number:016x}")
}

/// The name of a snapshot's file.
pub fn snapshot_name(number: u64) -> String {
    format!("snapshot-{number:016x}")
}

/// The number in a file's name, where it is one of these.
pub fn number_of(name: &str, kind: &str) -> Option<u64> {
    let digits =
        name.strip_prefix(kind).filter(|d| d.len() == 16 && !d.contains(|c: char| c.is_ascii_uppercase()))?;
    u64::from_str_radix(digits, 16).ok()
}

/// The head of a segment. One that is whole, with the records it carries, takes effect in the place of all before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Its number; each later one's is higher.
    pub number: u64,
    /// The segment before it; 0 where there is none.
    pub prev: u64,
    /// Where that one's records end. What lies behind was never promised, or is here again.
    pub prev_end: u64,
    /// The sequence of its first record.
    pub first: u64,
    /// The snapshot that holds from here on; 0 where there is none.
    pub snapshot: u64,
    /// Where the records end that were written together with the head.
    pub carried_end: u64,
}

/// Why a head or a snapshot can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unfit {
    /// Not all there, or altered.
    NotWhole,
    /// Of a format that is not known here.
    Version(u16),
    /// Another owner's.
    OtherOwner(String),
}

fn take<const N: usize>(bytes: &[u8], at: usize) -> Option<[u8; N]> {
    bytes.get(at..at + N)?.try_into().ok()
}

fn u64_at(bytes: &[u8], at: usize) -> Option<u64> {
    take(bytes, at).map(u64::from_le_bytes)
}

fn put_common(to: &mut Vec<u8>, magic: [u8; 8], owner: &str, numbers: &[u64]) {
    to.extend(magic);
    to.extend(VERSION.to_le_bytes());
    to.push(owner.len().min(OWNER_MAX) as u8);
    let mut name = [0; OWNER_MAX];
    name.iter_mut().zip(owner.bytes()).for_each(|(to, from)| *to = from);
    to.extend(name);
    numbers.iter().for_each(|n| to.extend(n.to_le_bytes()));
}

/// Checks what all heads have, the checksum over `crc_of` first; the numbers.
fn common<const N: usize>(bytes: &[u8], magic: [u8; 8], owner: &str, rest: &[u8]) -> Result<[u64; N], Unfit> {
    let end = 11 + OWNER_MAX + N * 8;
    let head = bytes.get(..end).ok_or(Unfit::NotWhole)?;
    let mut hasher = Hasher::new();
    hasher.update(head);
    hasher.update(rest);
    if take(bytes, end).map(u32::from_le_bytes) != Some(hasher.finalize()) || head[..8] != magic {
        return Err(Unfit::NotWhole);
    }
    let version = u16::from_le_bytes([head[8], head[9]]);
    if version != VERSION {
        return Err(Unfit::Version(version));
    }
    let whose = &head[11..11 + usize::from(head[10]).min(OWNER_MAX)];
    if whose != owner.as_bytes() {
        return Err(Unfit::OtherOwner(String::from_utf8_lossy(whose).into_owned()));
    }
    let mut numbers = [0; N];
    for (n, number) in numbers.iter_mut().enumerate() {
        *number = u64_at(head, 11 + OWNER_MAX + n * 8).ok_or(Unfit::NotWhole)?;
    }
    Ok(numbers)
}

impl Head {
    /// Adds the head.
    pub fn write(&self, owner: &str, to: &mut Vec<u8>) {
        let begin = to.len();
        let numbers = [self.number, self.prev, self.prev_end, self.first, self.snapshot, self.carried_end];
        put_common(to, SEGMENT, owner, &numbers);
        let crc = crc32fast::hash(&to[begin..]);
        to.extend(crc.to_le_bytes());
    }

    /// Reads the head of a segment of this number.
    pub fn read(bytes: &[u8], owner: &str, number: u64) -> Result<Self, Unfit> {
        let [own, prev, prev_end, first, snapshot, carried_end] = common(bytes, SEGMENT, owner, &[])?;
        if own != number || prev >= own || first == 0 || carried_end < HEAD as u64 {
            return Err(Unfit::NotWhole);
        }
        Ok(Self { number, prev, prev_end, first, snapshot, carried_end })
    }
}

/// A snapshot's whole file.
pub fn write_snapshot(owner: &str, number: u64, covers: u64, state: &[u8]) -> Vec<u8> {
    let mut to = Vec::with_capacity(SNAPSHOT_HEAD + state.len());
    put_common(&mut to, SNAPSHOT, owner, &[number, covers, state.len() as u64]);
    let mut hasher = Hasher::new();
    hasher.update(&to);
    hasher.update(state);
    to.extend(hasher.finalize().to_le_bytes());
    to.extend(state);
    to
}

/// What a snapshot covers, and its state.
pub fn read_snapshot(mut bytes: Vec<u8>, owner: &str, number: u64) -> Result<(u64, Vec<u8>), Unfit> {
    let rest = bytes.get(SNAPSHOT_HEAD..).ok_or(Unfit::NotWhole)?;
    let [own, covers, size] = common(&bytes, SNAPSHOT, owner, rest)?;
    if own != number || size != rest.len() as u64 {
        return Err(Unfit::NotWhole);
    }
    bytes.drain(..SNAPSHOT_HEAD);
    Ok((covers, bytes))
}

/// Where a record is: its checksum is over this too, so that a copy of it elsewhere is none.
#[derive(Clone, Copy, Debug)]
pub struct Place<'a> {
    /// Whose store.
    pub owner: &'a str,
    /// Which segment.
    pub number: u64,
}

/// A record that was found whole.
#[derive(Clone, Debug)]
pub struct Found {
    /// Its number.
    pub seq: u64,
    /// One more than the last record that had been synced when it was written; 0 where it was carried over, which says
    /// nothing of that kind.
    pub claim: u64,
    /// Where its bytes are.
    pub bytes: Range<usize>,
}

impl Place<'_> {
    fn checksum(&self, at: usize, head: &[u8], record: &[u8]) -> u32 {
        let mut hasher = Hasher::new();
        hasher.update(self.owner.as_bytes());
        hasher.update(&self.number.to_le_bytes());
        hasher.update(&(at as u64).to_le_bytes());
        hasher.update(head);
        hasher.update(record);
        hasher.finalize()
    }

    /// Adds a record that will lie at byte `at` of the segment.
    pub fn write(&self, at: usize, seq: u64, claim: u64, record: &[u8], to: &mut Vec<u8>) {
        let mut head = [0; RECORD_HEAD - 4];
        head[..4].copy_from_slice(&(record.len() as u32).to_le_bytes());
        head[4..12].copy_from_slice(&seq.to_le_bytes());
        head[12..].copy_from_slice(&claim.to_le_bytes());
        to.extend(head);
        to.extend(self.checksum(at, &head, record).to_le_bytes());
        to.extend(record);
    }

    /// The record at byte `at`, where a whole one is there that `fits` by number and claim.
    pub fn read(&self, segment: &[u8], at: usize, fits: impl Fn(u64, u64) -> bool) -> Option<Found> {
        let size = u32::from_le_bytes(take(segment, at)?) as usize;
        let (seq, claim) = (u64_at(segment, at + 4)?, u64_at(segment, at + 12)?);
        let crc = u32::from_le_bytes(take(segment, at + RECORD_HEAD - 4)?);
        if size > RECORD_MAX_BYTES || claim > seq || !fits(seq, claim) {
            return None;
        }
        let begin = at + RECORD_HEAD;
        let record = segment.get(begin..begin + size)?;
        let whole = self.checksum(at, &segment[at..at + RECORD_HEAD - 4], record) == crc;
        whole.then(|| Found { seq, claim, bytes: begin..begin + size })
    }

    /// The records from byte `at` on, up to `end`, the first of them `first`; and where they stop.
    pub fn run(&self, segment: &[u8], mut at: usize, end: usize, first: u64) -> (Vec<Found>, usize) {
        let (segment, mut all) = (&segment[..end.min(segment.len())], Vec::new());
        while let Some(found) = self.read(segment, at, |seq, _| seq == first + all.len() as u64) {
            at = found.bytes.end;
            all.push(found);
        }
        (all, at)
    }

    /// Whether a whole record lies behind byte `at` that claims that number `synced` had been synced. Looked for at every
    /// byte, since nothing says where it begins; few pass the test of their numbers and cost a checksum.
    pub fn claimed_behind(&self, segment: &[u8], at: usize, synced: u64) -> bool {
        (at..segment.len()).any(|place| self.read(segment, place, |_, claim| claim > synced).is_some())
    }
}
