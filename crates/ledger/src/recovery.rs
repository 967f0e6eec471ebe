//! Recovery: derives the open intents from the bytes of segments, and reports what is wrong with them. No
//! I/O; memory is bounded by [`RecoveryLimits`] whatever the input.

use std::fmt;

use serde::Serialize;

use crate::open_intents::{OpenIntent, OpenIntents};
use crate::record::Record;
use crate::scan::{ScanEvent, Scanner};
use crate::segment::{Header, HeaderError, Owner, SegmentNo};

/// Memory limits of a recovery: at most 1.2 KiB for each open intent (typically 300 bytes), 64 bytes for each
/// finding, and 66 KiB of a segment.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryLimits {
    /// Maximum number of open intents; further ones are counted.
    pub open: usize,
    /// Maximum number of findings; further ones are counted.
    pub findings: usize,
}

impl Default for RecoveryLimits {
    fn default() -> Self {
        Self { open: 16_384, findings: 256 }
    }
}

/// Something that an undisturbed run of a node would not have left behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "finding", rename_all = "kebab-case")]
pub enum Finding {
    /// The bytes at the end of a segment are no record: the node or the machine died while writing them.
    Torn {
        /// The segment.
        segment: SegmentNo,
        /// The first byte.
        from: u64,
        /// The number of bytes.
        length: u64,
    },
    /// Bytes in the middle of a segment are no record. The rest of the segment is not trusted.
    Damaged {
        /// The segment.
        segment: SegmentNo,
        /// The first byte.
        from: u64,
        /// Where the next record begins.
        to: u64,
    },
    /// Records are missing, and no failed write was recorded there.
    Gap {
        /// The segment.
        segment: SegmentNo,
        /// The expected sequence.
        expected: u64,
        /// The sequence that was found.
        found: u64,
    },
    /// A write or a sync failed; the records were never confirmed.
    Doubted {
        /// The segment.
        segment: SegmentNo,
        /// The first sequence.
        from: u64,
    },
    /// The header is unusable.
    BadHeader {
        /// The segment.
        segment: SegmentNo,
    },
    /// The file is not a segment.
    NotOurs {
        /// The segment.
        segment: SegmentNo,
    },
    /// The segment was written by a later version of the program and was not read.
    Later {
        /// The segment.
        segment: SegmentNo,
        /// The version of the format.
        version: u16,
    },
    /// The segment belongs to another node and was not read.
    Foreign {
        /// The segment.
        segment: SegmentNo,
        /// The owner of the segment.
        owner: String,
    },
    /// The number in the header differs from the one in the file name; the segment was not read.
    Misnamed {
        /// The number in the file name.
        segment: SegmentNo,
        /// The number in the header.
        says: SegmentNo,
    },
    /// A file that looks like a copy of a segment; it was not read.
    Doubled {
        /// The file.
        file: String,
    },
    /// A segment between others is missing.
    Missing {
        /// The segment.
        segment: SegmentNo,
    },
    /// The file cannot be read to its end.
    Unreadable {
        /// The segment.
        segment: SegmentNo,
        /// The first unreadable byte.
        from: u64,
        /// The operating system's error.
        why: String,
    },
    /// A record of a kind that this version does not know.
    Strange {
        /// The segment.
        segment: SegmentNo,
        /// Its sequence.
        seq: u64,
        /// The code of its kind.
        kind: u8,
    },
    /// The carried records do not match the checkpoint that counts them.
    BadCheckpoint {
        /// The segment.
        segment: SegmentNo,
    },
}

impl Finding {
    /// Returns the finding of a scan event, if it is one. Headers are checked by the caller, who knows what
    /// they should contain.
    pub(crate) fn of(segment: SegmentNo, item: &ScanEvent) -> Option<Self> {
        Some(match *item {
            ScanEvent::UnknownKind { seq, kind, .. } => Self::Strange { segment, seq, kind },
            ScanEvent::Gap { expected, found } => Self::Gap { segment, expected, found },
            ScanEvent::Damage { from, to } => Self::Damaged { segment, from, to },
            ScanEvent::Tail { from, length } => Self::Torn { segment, from, length },
            ScanEvent::Header(_) | ScanEvent::Record { .. } => return None,
        })
    }

    /// Returns whether this is more than what a crash or a failed write leaves behind.
    pub fn is_damage(&self) -> bool {
        !matches!(self, Self::Torn { .. } | Self::Doubted { .. })
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Torn { segment, from, length } => {
                write!(f, "{segment}: torn write at byte {from}, {length} bytes ignored")
            }
            Self::Damaged { segment, from, to } => {
                write!(
                    f,
                    "{segment}: bytes {from} to {to} are damaged; the rest of the segment is not trusted"
                )
            }
            Self::Gap { segment, expected, found } => {
                write!(f, "{segment}: records {expected} to {} are missing", found - 1)
            }
            Self::Doubted { segment, from } => {
                write!(
                    f,
                    "{segment}: a write or a sync failed from record {from} on; those records were never confirmed"
                )
            }
            Self::BadHeader { segment } => {
                write!(f, "{segment}: its header is damaged; the segment is not trusted")
            }
            Self::NotOurs { segment } => write!(f, "{segment}: not a segment file"),
            Self::Later { segment, version } => {
                write!(f, "{segment}: format version {version} is later than this program's")
            }
            Self::Foreign { segment, owner } => {
                write!(f, "{segment}: belongs to another node's ledger ({owner})")
            }
            Self::Misnamed { segment, says } => write!(f, "{segment}: its header says that it is {says}"),
            Self::Doubled { file } => write!(f, "{file}: looks like a copy of a segment; not read"),
            Self::Missing { segment } => write!(f, "{segment}: missing, although a later segment exists"),
            Self::Unreadable { segment, from, why } => {
                write!(f, "{segment}: cannot be read from byte {from} on: {why}")
            }
            Self::Strange { segment, seq, kind } => {
                write!(f, "{segment}: record {seq} is of unknown kind {kind}")
            }
            Self::BadCheckpoint { segment } => write!(f, "{segment}: its checkpoint is inconsistent"),
        }
    }
}

/// The result of a recovery.
#[derive(Clone, Debug, Serialize)]
pub struct Recovered {
    /// Intents without an outcome, by number.
    pub open: Vec<OpenIntent>,
    /// The number of open intents beyond the limit.
    pub over: u64,
    /// The findings.
    pub findings: Vec<Finding>,
    /// The number of findings beyond the limit.
    pub more_findings: u64,
    /// The number of outcomes whose intent was not read.
    pub orphans: u64,
    /// The number of records read.
    pub records: u64,
    /// The number of segments read.
    pub segments: u64,
    /// The next sequence.
    pub next_seq: u64,
    /// Whether the last segment has an orderly end, which its node wrote when it stopped.
    pub in_order: bool,
}

impl Recovered {
    /// Returns whether there is more than what crashes and failed writes leave behind.
    pub fn is_damaged(&self) -> bool {
        self.more_findings > 0 || self.findings.iter().any(Finding::is_damage)
    }
}

/// A record as read, with its position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LocatedRecord {
    /// The segment.
    pub segment: SegmentNo,
    /// The sequence of the record.
    pub seq: u64,
    /// Whether the record, and everything before it in its segment, was undamaged.
    pub trusted: bool,
    /// The record.
    #[serde(flatten)]
    pub record: Record,
}

/// The checkpoint at the head of the segment that is being read.
#[derive(Debug)]
enum Checkpoint {
    /// All records so far were carried ones.
    Reading { open_intents: OpenIntents, count: u32 },
    /// The checkpoint is complete, or there is none.
    Done,
}

/// Reads segments one after the other in the order of their numbers.
#[derive(Debug)]
pub struct Recovery {
    owner: Owner,
    limits: RecoveryLimits,
    open_intents: OpenIntents,
    trusted: bool,
    findings: Vec<Finding>,
    more_findings: u64,
    records: u64,
    segments: u64,
    next_seq: Option<u64>,
    in_order: bool,
    last_number: Option<u64>,
    /// A gap between segments that a record of a failed write may still explain: (segment, expected, found).
    gap: Option<(SegmentNo, u64, u64)>,
    current: Option<Current>,
    /// Whether the current segment began with a complete checkpoint.
    has_checkpoint: bool,
}

#[derive(Debug)]
struct Current {
    number: u64,
    scanner: Option<Scanner>,
    checkpoint: Checkpoint,
}

impl Recovery {
    /// Starts a recovery.
    pub fn new(owner: Owner, limits: RecoveryLimits) -> Self {
        Self {
            owner,
            limits,
            open_intents: OpenIntents::new(limits.open),
            trusted: true,
            findings: Vec::new(),
            more_findings: 0,
            records: 0,
            segments: 0,
            next_seq: None,
            in_order: false,
            last_number: None,
            gap: None,
            current: None,
            has_checkpoint: false,
        }
    }

    /// Adds a finding, also one of the reader of the directory.
    pub fn add_finding(&mut self, finding: Finding) {
        if self.findings.len() < self.limits.findings {
            self.findings.push(finding);
        } else {
            self.more_findings += 1;
        }
    }

    /// Begins the next segment and ends the one before.
    pub fn begin(&mut self, number: u64, sink: &mut impl FnMut(LocatedRecord)) {
        self.end(sink);
        // Of several missing segments in a row only the first is reported; the others follow from the segment
        // numbers.
        if let Some(missing) = self.last_number.map(|last| last + 1).filter(|n| *n < number) {
            self.add_finding(Finding::Missing { segment: SegmentNo(missing) });
            self.trusted = false;
        }
        self.last_number = Some(number);
        self.segments += 1;
        (self.in_order, self.has_checkpoint) = (false, false);
        let checkpoint = Checkpoint::Reading { open_intents: OpenIntents::new(self.limits.open), count: 0 };
        self.current = Some(Current { number, scanner: Some(Scanner::new(self.owner, number)), checkpoint });
    }

    /// Takes the next bytes of the segment.
    pub fn push(&mut self, bytes: &[u8], sink: &mut impl FnMut(LocatedRecord)) {
        let Some(mut scanner) = self.current.as_mut().and_then(|c| c.scanner.take()) else { return };
        scanner.push(bytes, &mut |item| self.handle_event(item, sink));
        if let Some(current) = &mut self.current {
            current.scanner = Some(scanner);
        }
    }

    /// Reports that the rest of the segment cannot be read.
    pub fn unreadable(&mut self, from: u64, why: String) {
        let Some(number) = self.current.as_ref().map(|c| c.number) else { return };
        self.add_finding(Finding::Unreadable { segment: SegmentNo(number), from, why });
        self.trusted = false;
    }

    fn end(&mut self, sink: &mut impl FnMut(LocatedRecord)) {
        let scanner = self.current.as_mut().and_then(|c| c.scanner.take());
        if let Some(scanner) = scanner {
            scanner.end(&mut |item| self.handle_event(item, sink));
        }
        self.report_gap();
        self.current = None;
    }

    /// Reports a gap that no record of a failed write has explained.
    fn report_gap(&mut self) {
        if let Some((segment, expected, found)) = self.gap.take() {
            self.add_finding(Finding::Gap { segment, expected, found });
        }
    }

    /// Ends the recovery after the last segment.
    pub fn finish(mut self, sink: &mut impl FnMut(LocatedRecord)) -> Recovered {
        self.end(sink);
        Recovered {
            open: self.open_intents.open().cloned().collect(),
            over: self.open_intents.overflow(),
            findings: self.findings,
            more_findings: self.more_findings,
            orphans: self.open_intents.orphans(),
            records: self.records,
            segments: self.segments,
            next_seq: self.next_seq.unwrap_or(0),
            in_order: self.in_order,
        }
    }

    /// Returns whether the current segment has shown a complete checkpoint without any problem before it. The
    /// intents that were open then are known without the earlier segments.
    pub fn has_checkpoint(&self) -> bool {
        self.has_checkpoint
    }

    /// Returns whether anything was wrong with what has been read.
    pub fn is_suspect(&self) -> bool {
        !self.trusted
    }

    fn handle_event(&mut self, item: ScanEvent, sink: &mut impl FnMut(LocatedRecord)) {
        let Some(number) = self.current.as_ref().map(|c| c.number) else { return };
        let segment = SegmentNo(number);
        if let Some(finding) = Finding::of(segment, &item) {
            self.add_finding(finding);
        }
        match item {
            ScanEvent::Header(header) => self.check_header(segment, header),
            ScanEvent::Record { seq, record, .. } => {
                self.next_seq = Some(seq.saturating_add(1));
                self.records += 1;
                self.apply(segment, &record);
                sink(LocatedRecord { segment, seq, trusted: self.trusted, record });
            }
            ScanEvent::UnknownKind { seq, .. } => {
                self.next_seq = Some(seq.saturating_add(1));
                self.distrust_rest();
            }
            ScanEvent::Gap { .. } | ScanEvent::Damage { .. } => self.distrust_rest(),
            ScanEvent::Tail { .. } => self.in_order = false,
        }
    }

    /// Stops trusting the rest of this segment. A checkpoint that is not complete by now is not used.
    fn distrust_rest(&mut self) {
        self.trusted = false;
        self.open_intents.forget_early_outcomes();
        let carried = self.current.as_mut().map(|c| std::mem::replace(&mut c.checkpoint, Checkpoint::Done));
        if let Some(Checkpoint::Reading { open_intents, .. }) = carried {
            for open in open_intents.open() {
                self.open_intents.apply(&Record::Intent(open.intent.clone()), false);
            }
        }
    }

    fn check_header(&mut self, segment: SegmentNo, header: Result<Header, HeaderError>) {
        let finding = match header {
            Ok(header) if header.owner != self.owner => {
                Finding::Foreign { segment, owner: header.owner.to_string() }
            }
            Ok(header) if header.number != segment.0 => {
                Finding::Misnamed { segment, says: SegmentNo(header.number) }
            }
            Ok(header) => {
                if let Some(expected) = self.next_seq.filter(|next| *next != header.first_seq) {
                    self.gap = Some((segment, expected, header.first_seq));
                }
                self.next_seq = Some(header.first_seq);
                return;
            }
            Err(HeaderError::Later(version)) => Finding::Later { segment, version },
            Err(HeaderError::NotOurs) => Finding::NotOurs { segment },
            Err(HeaderError::Damaged) => Finding::BadHeader { segment },
            // The file was created but its header was not written: the node died or the disk was full.
            Err(HeaderError::Short) => Finding::Torn { segment, from: 0, length: 0 },
        };
        let torn = !finding.is_damage();
        self.add_finding(finding);
        if !torn {
            self.distrust_rest();
        }
    }

    fn apply(&mut self, segment: SegmentNo, record: &Record) {
        self.in_order = matches!(record, Record::Closed { last: true });
        let Some(current) = &mut self.current else { return };
        match (&mut current.checkpoint, record) {
            (Checkpoint::Reading { open_intents, count }, Record::Carried(_)) => {
                open_intents.apply(record, true);
                *count += 1;
            }
            (Checkpoint::Reading { open_intents, count }, Record::Checkpoint { carried })
                if count == carried =>
            {
                // The writer knew all open intents, so problems in earlier segments no longer matter.
                self.open_intents = std::mem::take(open_intents);
                (self.trusted, self.has_checkpoint) = (true, true);
                current.checkpoint = Checkpoint::Done;
            }
            (Checkpoint::Reading { .. }, _) => {
                self.add_finding(Finding::BadCheckpoint { segment });
                self.distrust_rest();
                self.open_intents.apply(record, false);
            }
            (Checkpoint::Done, Record::Doubt { segment: failed, from }) => {
                self.handle_failed_write(*failed, *from);
            }
            (Checkpoint::Done, _) => self.open_intents.apply(record, self.trusted),
        }
        // A gap is explained by records right after the checkpoint; the first record of another kind ends the
        // wait.
        if !matches!(record, Record::Carried(_) | Record::Checkpoint { .. } | Record::Doubt { .. }) {
            self.report_gap();
        }
    }

    fn handle_failed_write(&mut self, failed: u64, from: u64) {
        self.add_finding(Finding::Doubted { segment: SegmentNo(failed), from });
        self.gap = self.gap.take().filter(|(_, expected, _)| *expected < from);
    }
}
