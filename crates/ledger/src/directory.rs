//! Reads a directory of segments: all of them, or from the last complete checkpoint on.

use std::collections::BTreeMap;
use std::io;

use crate::disk::Disk;
use crate::record::Record;
use crate::recovery::{Finding, LocatedRecord, Recovered, Recovery, RecoveryLimits};
use crate::scan::{ScanEvent, Scanner};
use crate::segment::{looks_like_copy, parse_file_name, Owner, SegmentNo};

/// Bytes read at a time.
pub const READ_BYTES: usize = 256 * 1024;

/// Which segments of a directory are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadScope {
    /// Every segment.
    All,
    /// The segments from the last complete checkpoint on, which is enough to know the open intents.
    Checkpoint,
}

/// Lists the segments by number, and the files that look like copies of one.
///
/// # Errors
/// If the file names cannot be read.
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

/// Reads a directory and passes each record to `sink` in order. A file that cannot be read is a finding, not
/// an error.
///
/// # Errors
/// If the file names cannot be read.
pub fn recover<D: Disk>(
    disk: &mut D,
    owner: Owner,
    limits: RecoveryLimits,
    scope: ReadScope,
    sink: &mut impl FnMut(LocatedRecord),
) -> io::Result<Recovered> {
    let (found, copies) = segments(disk)?;
    let mut piece = vec![0; READ_BYTES];
    let from = match scope {
        ReadScope::All => 0,
        ReadScope::Checkpoint => {
            let has_whole_checkpoint =
                |number: &u64| has_checkpoint(disk, owner, *number, &found[number], &mut piece);
            found.keys().rev().copied().find(has_whole_checkpoint).unwrap_or(0)
        }
    };
    let mut recovery = Recovery::new(owner, limits);
    copies.into_iter().for_each(|file| recovery.add_finding(Finding::Doubled { file }));
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

/// Returns whether a segment begins with a complete checkpoint. Reads no more than is needed for that.
fn has_checkpoint(disk: &mut impl Disk, owner: Owner, number: u64, name: &str, piece: &mut [u8]) -> bool {
    // Only the structure matters here, so no open intent needs to be held.
    let mut recovery = Recovery::new(owner, RecoveryLimits { open: 0, findings: 0 });
    recovery.begin(number, &mut |_| {});
    let (mut at, mut past_checkpoint) = (0, false);
    while let Ok(count @ 1..) = disk.read(name, at, piece) {
        at += count as u64;
        // Damage after the checkpoint in the same piece does not invalidate the checkpoint.
        for part in piece[..count].chunks(4096) {
            recovery.push(part, &mut |located| past_checkpoint |= !is_checkpoint_record(&located));
            if recovery.has_checkpoint() {
                return true;
            }
            if past_checkpoint || recovery.is_suspect() {
                return false;
            }
        }
    }
    false
}

fn is_checkpoint_record(located: &LocatedRecord) -> bool {
    matches!(located.record, Record::Carried(_) | Record::Checkpoint { .. })
}

/// Follows a directory while it is being written: each poll reports what was added since the last one.
#[derive(Debug)]
pub struct Follower {
    owner: Owner,
    /// The segment that is being read.
    reading: Option<(u64, Scanner)>,
    piece: Vec<u8>,
}

/// What a follower reports.
#[derive(Debug, PartialEq, Eq)]
pub enum FollowEvent {
    /// A record.
    Record(LocatedRecord),
    /// A problem.
    Finding(Finding),
    /// Segments were removed before they could be read.
    Missed {
        /// The first of them, which may have been read in part.
        from: u64,
        /// The next existing segment.
        to: u64,
    },
}

impl Follower {
    /// Starts at the oldest existing segment.
    pub fn new(owner: Owner) -> Self {
        Self { owner, reading: None, piece: vec![0; READ_BYTES] }
    }

    /// Reads what has been written by now.
    ///
    /// # Errors
    /// If the file names cannot be read. A file that is gone is reported as missed.
    pub fn poll(&mut self, disk: &mut impl Disk, sink: &mut impl FnMut(FollowEvent)) -> io::Result<()> {
        loop {
            // The names are listed first: a segment that is listed was begun after the previous one was
            // finished.
            let (found, _) = segments(disk)?;
            let Some((number, scanner)) = &mut self.reading else {
                let Some((number, _)) = found.first_key_value() else { return Ok(()) };
                self.reading = Some((*number, Scanner::new(self.owner, *number)));
                continue;
            };
            let number = *number;
            if let Some(name) = found.get(&number) {
                let report_event = &mut |item| report(number, item, sink);
                // A file that was removed since the listing is reported as missed below.
                while let Ok(count @ 1..) = disk.read(name, scanner.position(), &mut self.piece) {
                    scanner.push(&self.piece[..count], report_event);
                }
            }
            let Some((next, _)) = found.range(number + 1..).next() else { return Ok(()) };
            if let Some((_, old)) = self.reading.replace((*next, Scanner::new(self.owner, *next))) {
                old.end(&mut |item| report(number, item, sink));
            }
            if *next > number + 1 || !found.contains_key(&number) {
                sink(FollowEvent::Missed { from: number, to: *next });
            }
        }
    }
}

fn report(number: u64, item: ScanEvent, sink: &mut impl FnMut(FollowEvent)) {
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
