//! Reading a directory of segments: all of it, or from the last whole checkpoint on.

use std::collections::BTreeMap;
use std::io;

use crate::disk::Disk;
use crate::record::Record;
use crate::recovery::{Finding, LocatedRecord, Recovered, Recovery, RecoveryLimits};
use crate::scan::{ScanEvent, Scanner};
use crate::segment::{looks_like_copy, parse_file_name, Owner, SegmentNo};

/// Bytes that are read at a time.
pub const READ_BYTES: usize = 256 * 1024;

/// How much of a directory is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadScope {
    /// Every segment.
    All,
    /// From the last whole checkpoint on: enough to know what is open.
    Checkpoint,
}

/// Segments by number, and what looks like a copy of one.
///
/// # Errors
/// The disk's.
pub fn segments(disk: &mut impl Disk) -> io::Result<(BTreeMap<u64, String>, Vec<String>)> {
    let (mut found, mut copies) = (BTreeMap::new(), Vec::new());
    for name in disk.file_names()? {
        match parse_file_name(&name) {
            Some(number) => {
                found.insert(number, name);
            }
            None if looks_like_copy(&name) => copies.push(name),
            None => {}
        }
    }
    copies.sort();
    Ok((found, copies))
}

/// Reads a directory. Each record goes to `sink` in order. A file that can't be read is a finding.
///
/// # Errors
/// Where the names can't be read.
pub fn recover<D: Disk>(
    disk: &mut D,
    owner: Owner,
    limits: RecoveryLimits,
    reach: ReadScope,
    sink: &mut impl FnMut(LocatedRecord),
) -> io::Result<Recovered> {
    let (found, copies) = segments(disk)?;
    let mut piece = vec![0; READ_BYTES];
    let from = match reach {
        ReadScope::All => 0,
        ReadScope::Checkpoint => {
            let whole = |number: &u64| has_checkpoint(disk, owner, *number, &found[number], &mut piece);
            found.keys().rev().copied().find(whole).unwrap_or(0)
        }
    };
    let mut recovery = Recovery::new(owner, limits);
    copies.into_iter().for_each(|file| recovery.find(Finding::Doubled { file }));
    for (number, name) in found.range(from..) {
        recovery.begin(*number, sink);
        let mut at = 0;
        loop {
            match disk.read(name, at, &mut piece) {
                Ok(0) => break,
                Ok(count) => {
                    recovery.push(&piece[..count], sink);
                    at += count as u64;
                }
                Err(error) => {
                    recovery.unreadable(at, error.to_string());
                    break;
                }
            }
        }
    }
    Ok(recovery.finish(sink))
}

/// Does a segment begin with a whole checkpoint? Reads no further than that.
fn has_checkpoint(disk: &mut impl Disk, owner: Owner, number: u64, name: &str, piece: &mut [u8]) -> bool {
    // Only the shape counts here, so none of the open intents need be held.
    let mut recovery = Recovery::new(owner, RecoveryLimits { open: 0, findings: 0 });
    recovery.begin(number, &mut |_| {});
    let (mut at, mut past) = (0, false);
    while let Ok(count @ 1..) = disk.read(name, at, piece) {
        at += count as u64;
        // What follows the checkpoint in the same piece may be damaged, which says nothing against it.
        for part in piece[..count].chunks(4096) {
            recovery.push(part, &mut |seen| past |= !is_head(&seen));
            if recovery.has_checkpoint() {
                return true;
            }
            if past || recovery.is_doubted() {
                return false;
            }
        }
    }
    false
}

fn is_head(seen: &LocatedRecord) -> bool {
    matches!(seen.record, Record::Carried(_) | Record::Checkpoint { .. })
}

/// Follows a directory while its writer goes on: each call tells what has come since the last.
#[derive(Debug)]
pub struct Follower {
    owner: Owner,
    /// The segment that is being read.
    reading: Option<(u64, Scanner)>,
    piece: Vec<u8>,
}

/// What a follower sees.
#[derive(Debug, PartialEq, Eq)]
pub enum FollowEvent {
    /// A record.
    Record(LocatedRecord),
    /// Something wrong.
    Finding(Finding),
    /// Segments were removed before they could be read.
    Missed {
        /// From this one.
        from: u64,
        /// The next that is there.
        to: u64,
    },
}

impl Follower {
    /// Begins at the oldest segment that is there.
    pub fn new(owner: Owner) -> Self {
        Self { owner, reading: None, piece: vec![0; READ_BYTES] }
    }

    /// Reads what there is by now.
    ///
    /// # Errors
    /// Where the names can't be read. A file that is gone is told as missed.
    pub fn poll(&mut self, disk: &mut impl Disk, sink: &mut impl FnMut(FollowEvent)) -> io::Result<()> {
        loop {
            // The names first: a segment that is there by then was begun after the end of the one before.
            let (found, _) = segments(disk)?;
            let Some((number, scanner)) = &mut self.reading else {
                let Some((number, _)) = found.first_key_value() else { return Ok(()) };
                self.reading = Some((*number, Scanner::new(self.owner, *number)));
                continue;
            };
            let number = *number;
            if let Some(name) = found.get(&number) {
                let told = &mut |item| tell(number, item, sink);
                // What is gone between the look and the read has been missed, as below.
                while let Ok(count @ 1..) = disk.read(name, scanner.at_end(), &mut self.piece) {
                    scanner.push(&self.piece[..count], told);
                }
            }
            let Some((next, _)) = found.range(number + 1..).next() else { return Ok(()) };
            if let Some((_, old)) = self.reading.replace((*next, Scanner::new(self.owner, *next))) {
                old.end(&mut |item| tell(number, item, sink));
            }
            if *next > number + 1 || !found.contains_key(&number) {
                sink(FollowEvent::Missed { from: number, to: *next });
            }
        }
    }
}

fn tell(number: u64, item: ScanEvent, sink: &mut impl FnMut(FollowEvent)) {
    let segment = SegmentNo(number);
    sink(match item {
        ScanEvent::Record { seq, record, .. } => {
            FollowEvent::Record(LocatedRecord { segment, seq, trusted: true, record })
        }
        ScanEvent::Header(Err(_)) => FollowEvent::Finding(Finding::BadHeader { segment }),
        other => match Finding::of(segment, &other) {
            Some(finding) => FollowEvent::Finding(finding),
            None => return,
        },
    });
}
