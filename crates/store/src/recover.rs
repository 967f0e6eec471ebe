//! What a directory holds, read without changing it.

use std::io::{self, ErrorKind};

use crate::disk::Disk;
use crate::frame::{
    number_of, read_snapshot, segment_name, snapshot_name, Found, Head, Place, Unfit, HEAD, RECORD_HEAD,
    SNAPSHOT_HEAD,
};
use crate::store::{Recovered, Seq, StoreError, TornTail, RECORD_MAX_BYTES};

/// What was read.
#[derive(Debug, Default)]
pub struct Read {
    /// For the user.
    pub recovered: Recovered,
    /// The number for the next file: none has it.
    pub next: u64,
    /// How the next segment is to follow; none where the store is new.
    pub follow: Option<Follow>,
    /// The segments that count, with each one's first record, oldest first.
    pub chain: Vec<(u64, u64)>,
    /// All files of a store in the directory.
    pub files: Vec<String>,
}

/// What the next segment takes over.
#[derive(Debug)]
pub struct Follow {
    /// The segment before it.
    pub prev: u64,
    /// Where that one's records end.
    pub prev_end: u64,
    /// The first record.
    pub first: u64,
    /// The snapshot in effect.
    pub snapshot: u64,
    /// Records that may be in the system's memory only: the next segment has them again.
    pub carried: Vec<Vec<u8>>,
}

/// The system's word as a store's.
pub fn told(what: &str, error: io::Error) -> StoreError {
    match error.kind() {
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded | ErrorKind::FileTooLarge => StoreError::Full,
        ErrorKind::ReadOnlyFilesystem | ErrorKind::PermissionDenied => StoreError::ReadOnly,
        _ => StoreError::Io(what.into(), error),
    }
}

fn damaged<T>(file: &str, at: usize, what: &str) -> Result<T, StoreError> {
    Err(StoreError::Corrupted { file: file.into(), at: at as u64, what: what.into() })
}

fn unfit<T>(file: &str, why: Unfit) -> Result<T, StoreError> {
    match why {
        Unfit::NotWhole => damaged(file, 0, "the head is not whole"),
        Unfit::Version(version) => damaged(file, 8, &format!("format version {version} is not known here")),
        Unfit::OtherOwner(name) => Err(StoreError::OtherOwner(name)),
    }
}

/// A whole file; one longer than `most` bytes is none of ours.
fn file<D: Disk>(disk: &mut D, name: &str, most: usize) -> Result<Vec<u8>, StoreError> {
    let mut bytes = Vec::new();
    loop {
        let begin = bytes.len();
        // A page of the system's at first, then twice as much each time.
        bytes.resize(begin + begin.clamp(4096, 1 << 20), 0);
        let count = disk.read(name, begin as u64, &mut bytes[begin..]).map_err(|e| told(name, e))?;
        bytes.truncate(begin + count);
        if bytes.len() > most {
            return damaged(name, most, "longer than any that is written");
        }
        if count == 0 {
            return Ok(bytes);
        }
    }
}

/// The newest segment that took effect.
struct Newest {
    head: Head,
    bytes: Vec<u8>,
    /// The records written with the head.
    carried: Vec<Found>,
}

/// Reads all. At most one segment, one snapshot and what is behind the snapshot are in memory.
pub fn read<D: Disk>(disk: &mut D, owner: &str, segment_bytes: usize) -> Result<Read, StoreError> {
    // The largest: one byte short of the size, then the largest record.
    let most = HEAD + segment_bytes + RECORD_HEAD + RECORD_MAX_BYTES;
    let files = disk.file_names().map_err(|e| told("names", e))?;
    let of_kind = |kind: &str| -> Vec<u64> {
        let mut numbers: Vec<u64> = files.iter().filter_map(|name| number_of(name, kind)).collect();
        numbers.sort_unstable();
        numbers
    };
    let (segments, snapshots) = (of_kind("log-"), of_kind("snapshot-"));
    let highest = segments.last().max(snapshots.last()).copied().unwrap_or(0);
    let files =
        files.into_iter().filter(|n| number_of(n, "log-").or(number_of(n, "snapshot-")).is_some()).collect();
    let mut out = Read { next: highest.saturating_add(1), files, ..Read::default() };

    let mut newest = None;
    for &number in segments.iter().rev() {
        let name = segment_name(number);
        let bytes = file(disk, &name, most)?;
        let place = Place { owner, number };
        match Head::read(&bytes, owner, number) {
            Ok(head) => {
                let (carried, end) = place.run(&bytes, HEAD, head.carried_end as usize, head.first);
                if end as u64 == head.carried_end {
                    newest = Some(Newest { head, bytes, carried });
                    break;
                }
            }
            Err(Unfit::NotWhole) => {}
            Err(why) => return unfit(&name, why),
        }
        // It was being made when the power went, unless something was appended to it: that comes after its sync.
        if place.claimed_behind(&bytes, 0, 0) {
            return damaged(&name, 0, "the head or what came with it is altered");
        }
        if !bytes.is_empty() {
            out.recovered.torn_tail.get_or_insert(TornTail { file: name, at: 0, bytes: bytes.len() as u64 });
        }
    }
    let Some(Newest { head, bytes, carried }) = newest else {
        // A store that was never whole has its first segment only; else something that was whole is no more.
        return match (segments.first(), snapshots.last()) {
            (None | Some(1), None) => Ok(out),
            (Some(_), _) => damaged(&segment_name(highest), 0, "no segment is whole"),
            (None, Some(&number)) => damaged(&snapshot_name(number), 0, "the segments are gone"),
        };
    };

    // The newest one's tail.
    let (name, place) = (segment_name(head.number), Place { owner, number: head.number });
    let (tail, end) =
        place.run(&bytes, head.carried_end as usize, bytes.len(), head.first + carried.len() as u64);
    let next_seq = head.first + (carried.len() + tail.len()) as u64;
    if end < bytes.len() {
        if place.claimed_behind(&bytes, end, next_seq) {
            return damaged(&name, end, "a record that had been synced is altered");
        }
        out.recovered.torn_tail =
            Some(TornTail { file: name, at: end as u64, bytes: (bytes.len() - end) as u64 });
    }

    let covers = if head.snapshot == 0 {
        0
    } else {
        let name = snapshot_name(head.snapshot);
        if !snapshots.contains(&head.snapshot) {
            return damaged(&name, 0, "the file is gone");
        }
        let bytes = file(disk, &name, SNAPSHOT_HEAD + RECORD_MAX_BYTES)?;
        let (covers, state) = read_snapshot(bytes, owner, head.snapshot).or_else(|why| unfit(&name, why))?;
        out.recovered.snapshot = Some((Seq(covers), state));
        covers
    };

    // What a next segment takes over: what no claim proves to be on the disk.
    let proven = tail
        .iter()
        .map(|r| r.claim.saturating_sub(1))
        .max()
        .map(|claim| claim.max(head.first + carried.len() as u64 - 1));
    let all = || carried.iter().chain(&tail);
    let copy = |r: &Found| bytes[r.bytes.clone()].to_vec();
    out.follow = Some(match proven {
        Some(proven) => Follow {
            prev: head.number,
            prev_end: all().take_while(|r| r.seq <= proven).last().map_or(HEAD, |r| r.bytes.end) as u64,
            first: proven + 1,
            snapshot: head.snapshot,
            carried: all().filter(|r| r.seq > proven).map(copy).collect(),
        },
        None => Follow {
            prev: head.prev,
            prev_end: head.prev_end,
            first: head.first,
            snapshot: head.snapshot,
            carried: all().map(copy).collect(),
        },
    });

    // Back to the first record behind the snapshot.
    let mut runs = vec![all().filter(|r| r.seq > covers).map(|r| (Seq(r.seq), copy(r))).collect::<Vec<_>>()];
    if proven.is_some() {
        out.chain.push((head.number, head.first));
    }
    let (mut prev, mut prev_end, mut first) = (head.prev, head.prev_end, head.first);
    drop(bytes);
    while first > covers + 1 {
        let name = segment_name(prev);
        if !segments.contains(&prev) {
            return damaged(&name, 0, "the file is gone");
        }
        let bytes = file(disk, &name, most)?;
        let head = Head::read(&bytes, owner, prev).or_else(|why| unfit(&name, why))?;
        let (records, end) = Place { owner, number: prev }.run(&bytes, HEAD, prev_end as usize, head.first);
        if end as u64 != prev_end || head.first + records.len() as u64 != first {
            return damaged(&name, end, "a record that had been synced is altered");
        }
        let kept = records.iter().filter(|r| r.seq > covers);
        runs.push(kept.map(|r| (Seq(r.seq), bytes[r.bytes.clone()].to_vec())).collect());
        out.chain.push((prev, head.first));
        (prev, prev_end, first) = (head.prev, head.prev_end, head.first);
    }
    out.chain.reverse();
    out.recovered.records = runs.into_iter().rev().flatten().collect();
    Ok(out)
}
