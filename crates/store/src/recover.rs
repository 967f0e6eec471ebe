//! Recovery: reads the content of a directory without changing it.

use std::io::{self, ErrorKind};

use crate::disk::Disk;
use crate::format::{
    file_number, read_snapshot, segment_name, snapshot_name, FoundRecord, HeaderError, RecordLocation,
    SegmentHeader, RECORD_HEADER_BYTES, SEGMENT_HEADER_BYTES, SNAPSHOT_HEADER_BYTES,
};
use crate::store::{Recovered, Seq, StoreError, TornTail, RECORD_MAX_BYTES};

/// The content of a directory.
#[derive(Debug, Default)]
pub struct Contents {
    /// The content that is returned to the user.
    pub recovered: Recovered,
    /// The number for the next file, which no file has yet.
    pub next: u64,
    /// How the next segment continues the store; `None` if the store is new.
    pub continuation: Option<Continuation>,
    /// The numbers of the segments in use, each with the sequence number of its first record, oldest first.
    pub chain: Vec<(u64, u64)>,
    /// The names of all files of a store in the directory.
    pub files: Vec<String>,
}

/// How the next segment continues the store.
#[derive(Debug)]
pub struct Continuation {
    /// The number of the previous segment.
    pub prev: u64,
    /// The offset at which the records of the previous segment end.
    pub prev_end: u64,
    /// The sequence number of the first record.
    pub first: u64,
    /// The number of the snapshot in effect.
    pub snapshot: u64,
    /// Records that may only be in the memory of the operating system. They are written again to the next
    /// segment.
    pub carried: Vec<Vec<u8>>,
}

/// Converts the error of a system call.
pub fn store_error(what: &str, error: io::Error) -> StoreError {
    match error.kind() {
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded | ErrorKind::FileTooLarge => StoreError::Full,
        ErrorKind::ReadOnlyFilesystem | ErrorKind::PermissionDenied => StoreError::ReadOnly,
        _ => StoreError::Io(what.into(), error),
    }
}

fn corrupted<T>(file: &str, at: usize, what: &str) -> Result<T, StoreError> {
    Err(StoreError::Corrupted { file: file.into(), at: at as u64, what: what.into() })
}

fn header_error<T>(file: &str, error: HeaderError) -> Result<T, StoreError> {
    match error {
        HeaderError::Invalid => corrupted(file, 0, "the header is incomplete or altered"),
        HeaderError::Version(version) => corrupted(file, 8, &format!("unknown format version {version}")),
        HeaderError::OtherOwner(name) => Err(StoreError::OtherOwner(name)),
    }
}

/// Reads a whole file. A file longer than `max` bytes was not written by a store.
fn read_file<D: Disk>(disk: &mut D, name: &str, max: usize) -> Result<Vec<u8>, StoreError> {
    let mut bytes = Vec::new();
    loop {
        let begin = bytes.len();
        // The first read is one memory page, each later one as much as was read before, up to 1 MiB.
        bytes.resize(begin + begin.clamp(4096, 1 << 20), 0);
        let count = disk.read(name, begin as u64, &mut bytes[begin..]).map_err(|e| store_error(name, e))?;
        bytes.truncate(begin + count);
        if bytes.len() > max {
            return corrupted(name, max, "the file is longer than the maximum");
        }
        if count == 0 {
            return Ok(bytes);
        }
    }
}

/// The newest segment that took effect.
struct NewestSegment {
    header: SegmentHeader,
    bytes: Vec<u8>,
    /// The records that were written together with the header.
    carried: Vec<FoundRecord>,
}

/// Reads the directory. At most one segment, one snapshot and the records after the snapshot are in memory.
pub fn read_directory<D: Disk>(
    disk: &mut D,
    owner: &str,
    segment_bytes: usize,
) -> Result<Contents, StoreError> {
    // The largest segment is one byte short of the segment size when the largest record is appended.
    let max = SEGMENT_HEADER_BYTES + segment_bytes + RECORD_HEADER_BYTES + RECORD_MAX_BYTES;
    let files = disk.file_names().map_err(|e| store_error("names", e))?;
    let numbers_of = |prefix: &str| -> Vec<u64> {
        let mut numbers: Vec<u64> = files.iter().filter_map(|name| file_number(name, prefix)).collect();
        numbers.sort_unstable();
        numbers
    };
    let (segments, snapshots) = (numbers_of("log-"), numbers_of("snapshot-"));
    let highest = segments.last().max(snapshots.last()).copied().unwrap_or(0);
    let files = files
        .into_iter()
        .filter(|n| file_number(n, "log-").or(file_number(n, "snapshot-")).is_some())
        .collect();
    let mut contents = Contents { next: highest.saturating_add(1), files, ..Contents::default() };

    let mut newest = None;
    for &number in segments.iter().rev() {
        let name = segment_name(number);
        let bytes = read_file(disk, &name, max)?;
        let location = RecordLocation { owner, number };
        match SegmentHeader::read(&bytes, owner, number) {
            Ok(header) => {
                let (carried, end) = location.read_sequence(
                    &bytes,
                    SEGMENT_HEADER_BYTES,
                    header.carried_end as usize,
                    header.first,
                );
                if end as u64 == header.carried_end {
                    newest = Some(NewestSegment { header, bytes, carried });
                    break;
                }
            }
            Err(HeaderError::Invalid) => {}
            Err(error) => return header_error(&name, error),
        }
        // The segment was being created when power was lost, unless it has an appended record: those are only
        // written after the sync of the new segment.
        if location.has_claim_after(&bytes, 0, 0) {
            return corrupted(&name, 0, "the header or a record written with it is altered");
        }
        if !bytes.is_empty() {
            contents.recovered.torn_tail.get_or_insert(TornTail {
                file: name,
                at: 0,
                bytes: bytes.len() as u64,
            });
        }
    }
    let Some(NewestSegment { header, bytes, carried }) = newest else {
        // A store whose creation was never completed has at most its first segment; otherwise an intact
        // segment was damaged or removed.
        return match (segments.first(), snapshots.last()) {
            (None | Some(1), None) => Ok(contents),
            (Some(_), _) => corrupted(&segment_name(highest), 0, "no segment is intact"),
            (None, Some(&number)) => corrupted(&snapshot_name(number), 0, "the segments are missing"),
        };
    };

    // The records that were appended to the newest segment.
    let (name, location) = (segment_name(header.number), RecordLocation { owner, number: header.number });
    let (tail, end) = location.read_sequence(
        &bytes,
        header.carried_end as usize,
        bytes.len(),
        header.first + carried.len() as u64,
    );
    let next_seq = header.first + (carried.len() + tail.len()) as u64;
    if end < bytes.len() {
        if location.has_claim_after(&bytes, end, next_seq) {
            return corrupted(&name, end, "a record that had been synced is altered");
        }
        contents.recovered.torn_tail =
            Some(TornTail { file: name, at: end as u64, bytes: (bytes.len() - end) as u64 });
    }

    let covers = if header.snapshot == 0 {
        0
    } else {
        let name = snapshot_name(header.snapshot);
        if !snapshots.contains(&header.snapshot) {
            return corrupted(&name, 0, "the file is missing");
        }
        let bytes = read_file(disk, &name, SNAPSHOT_HEADER_BYTES + RECORD_MAX_BYTES)?;
        let (covers, state) =
            read_snapshot(bytes, owner, header.snapshot).or_else(|error| header_error(&name, error))?;
        contents.recovered.snapshot = Some((Seq(covers), state));
        covers
    };

    // The next segment carries over the records that no claim proves to be on the disk.
    let proven = tail
        .iter()
        .map(|r| r.claim.saturating_sub(1))
        .max()
        .map(|claim| claim.max(header.first + carried.len() as u64 - 1));
    let all = || carried.iter().chain(&tail);
    let copy = |r: &FoundRecord| bytes[r.bytes.clone()].to_vec();
    contents.continuation = Some(match proven {
        Some(proven) => Continuation {
            prev: header.number,
            prev_end: all()
                .take_while(|r| r.seq <= proven)
                .last()
                .map_or(SEGMENT_HEADER_BYTES, |r| r.bytes.end) as u64,
            first: proven + 1,
            snapshot: header.snapshot,
            carried: all().filter(|r| r.seq > proven).map(copy).collect(),
        },
        None => Continuation {
            prev: header.prev,
            prev_end: header.prev_end,
            first: header.first,
            snapshot: header.snapshot,
            carried: all().map(copy).collect(),
        },
    });

    // Read older segments back to the first record after the snapshot.
    let mut sequences =
        vec![all().filter(|r| r.seq > covers).map(|r| (Seq(r.seq), copy(r))).collect::<Vec<_>>()];
    if proven.is_some() {
        contents.chain.push((header.number, header.first));
    }
    let (mut prev, mut prev_end, mut first) = (header.prev, header.prev_end, header.first);
    drop(bytes);
    while first > covers + 1 {
        let name = segment_name(prev);
        if !segments.contains(&prev) {
            return corrupted(&name, 0, "the file is missing");
        }
        let bytes = read_file(disk, &name, max)?;
        let header = SegmentHeader::read(&bytes, owner, prev).or_else(|error| header_error(&name, error))?;
        let (records, end) = RecordLocation { owner, number: prev }.read_sequence(
            &bytes,
            SEGMENT_HEADER_BYTES,
            prev_end as usize,
            header.first,
        );
        if end as u64 != prev_end || header.first + records.len() as u64 != first {
            return corrupted(&name, end, "a record that had been synced is altered");
        }
        let kept = records.iter().filter(|r| r.seq > covers);
        sequences.push(kept.map(|r| (Seq(r.seq), bytes[r.bytes.clone()].to_vec())).collect());
        contents.chain.push((prev, header.first));
        (prev, prev_end, first) = (header.prev, header.prev_end, header.first);
    }
    contents.chain.reverse();
    contents.recovered.records = sequences.into_iter().rev().flatten().collect();
    Ok(contents)
}
