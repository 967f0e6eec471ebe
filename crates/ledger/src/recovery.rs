//! Recovery: from the bytes of segments to what is open, and what is wrong. Pure; the memory it takes is bounded by
//! [`RecoveryLimits`], whatever the bytes.

use std::fmt;

use serde::Serialize;

use crate::open_intents::{OpenIntent, OpenIntents};
use crate::record::Record;
use crate::scan::{ScanEvent, Scanner};
use crate::segment::{Header, HeaderError, Owner, SegmentNo};

/// What recovery may hold: about 1.2 KiB for each open intent at the most (300 bytes as a rule), 64 bytes a finding, and
/// 66 KiB of a segment.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryLimits {
    /// Open intents; further ones are counted.
    pub open: usize,
    /// Findings; further ones are counted.
    pub findings: usize,
}

impl Default for RecoveryLimits {
    fn default() -> Self {
        Self { open: 16_384, findings: 256 }
    }
}

/// Something that is not as a quiet life would have left it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "finding", rename_all = "kebab-case")]
pub enum Finding {
    /// Bytes at a segment's end are no record: they were being written when the node or the machine died.
    Torn {
        /// Where.
        segment: SegmentNo,
        /// From which byte on.
        from: u64,
        /// How many bytes.
        length: u64,
    },
    /// Bytes in a segment's middle are no record. What follows them in it is not trusted.
    Damaged {
        /// Where.
        segment: SegmentNo,
        /// From which byte on.
        from: u64,
        /// Where the next record begins.
        to: u64,
    },
    /// Records are missing, and nothing says that a write had failed there.
    Gap {
        /// Where.
        segment: SegmentNo,
        /// The sequence that should have come.
        expected: u64,
        /// The one that came.
        found: u64,
    },
    /// A write or a sync failed; what it held was promised to nobody.
    Doubted {
        /// Where.
        segment: SegmentNo,
        /// From which sequence on.
        from: u64,
    },
    /// The header can't be used.
    BadHeader {
        /// Where.
        segment: SegmentNo,
    },
    /// The file is no segment at all.
    NotOurs {
        /// Where.
        segment: SegmentNo,
    },
    /// A later version of the program wrote it; it was not read.
    Later {
        /// Where.
        segment: SegmentNo,
        /// The format's version.
        version: u16,
    },
    /// Another node's; it was not read.
    Foreign {
        /// Where.
        segment: SegmentNo,
        /// Whose it is.
        owner: String,
    },
    /// The header names another number than the file: it was not read.
    Misnamed {
        /// What the file is called.
        segment: SegmentNo,
        /// What the header says.
        says: SegmentNo,
    },
    /// A file that seems to be a second copy of a segment; it was not read.
    Doubled {
        /// The file.
        file: String,
    },
    /// A segment between others is not there.
    Missing {
        /// Which.
        segment: SegmentNo,
    },
    /// The file can't be read to its end.
    Unreadable {
        /// Which.
        segment: SegmentNo,
        /// From which byte on.
        from: u64,
        /// The system's word.
        why: String,
    },
    /// A record that this version does not know.
    Strange {
        /// Where.
        segment: SegmentNo,
        /// Its sequence.
        seq: u64,
        /// Its kind.
        kind: u8,
    },
    /// What is carried and what says how much is carried do not agree.
    BadCheckpoint {
        /// Where.
        segment: SegmentNo,
    },
}

impl Finding {
    /// What an item of a segment shows to be wrong; a header is judged by who knows what it should be.
    pub(crate) fn of(segment: SegmentNo, item: &ScanEvent) -> Option<Self> {
        Some(match *item {
            ScanEvent::UnknownKind { seq, kind, .. } => Self::Strange { segment, seq, kind },
            ScanEvent::Gap { expected, found } => Self::Gap { segment, expected, found },
            ScanEvent::Damage { from, to } => Self::Damaged { segment, from, to },
            ScanEvent::Tail { from, length } => Self::Torn { segment, from, length },
            ScanEvent::Header(_) | ScanEvent::Record { .. } => return None,
        })
    }

    /// Is this more than what a crash or a failed write leaves behind?
    pub fn is_damage(&self) -> bool {
        !matches!(self, Self::Torn { .. } | Self::Doubted { .. })
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Torn { segment, from, length } => {
                write!(f, "{segment}: torn at byte {from}, {length} bytes cut")
            }
            Self::Damaged { segment, from, to } => {
                write!(f, "{segment}: bytes {from} to {to} are damaged; what follows in it is not trusted")
            }
            Self::Gap { segment, expected, found } => {
                write!(f, "{segment}: records {expected} to {} are missing", found - 1)
            }
            Self::Doubted { segment, from } => {
                write!(
                    f,
                    "{segment}: a write or a sync failed from record {from} on; nothing of it was promised"
                )
            }
            Self::BadHeader { segment } => write!(f, "{segment}: its header is damaged; it is not trusted"),
            Self::NotOurs { segment } => write!(f, "{segment}: this file is no segment"),
            Self::Later { segment, version } => {
                write!(f, "{segment}: version {version} of the format, later than this program's")
            }
            Self::Foreign { segment, owner } => write!(f, "{segment}: from another node's ledger ({owner})"),
            Self::Misnamed { segment, says } => write!(f, "{segment}: its header says that it is {says}"),
            Self::Doubled { file } => write!(f, "{file}: a second copy of a segment, not read"),
            Self::Missing { segment } => write!(f, "{segment}: missing between others"),
            Self::Unreadable { segment, from, why } => {
                write!(f, "{segment}: can't be read from byte {from} on: {why}")
            }
            Self::Strange { segment, seq, kind } => {
                write!(f, "{segment}: record {seq} is of kind {kind}, which this program does not know")
            }
            Self::BadCheckpoint { segment } => write!(f, "{segment}: its checkpoint does not hold together"),
        }
    }
}

/// What recovery came to.
#[derive(Clone, Debug, Serialize)]
pub struct Recovered {
    /// Intents without an outcome, by number.
    pub open: Vec<OpenIntent>,
    /// Open intents that there was no room for.
    pub over: u64,
    /// What is not as it should be.
    pub findings: Vec<Finding>,
    /// Findings that there was no room for.
    pub more_findings: u64,
    /// Outcomes of intents that were not seen.
    pub orphans: u64,
    /// Records read.
    pub records: u64,
    /// Segments read.
    pub segments: u64,
    /// The sequence that comes next.
    pub next_seq: u64,
    /// The last segment ends in order, as its node did.
    pub in_order: bool,
}

impl Recovered {
    /// Has anything more happened than crashes and failed writes?
    pub fn is_damaged(&self) -> bool {
        self.more_findings > 0 || self.findings.iter().any(Finding::is_damage)
    }
}

/// A record as recovery sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LocatedRecord {
    /// Its segment.
    pub segment: SegmentNo,
    /// Its sequence.
    pub seq: u64,
    /// Nothing was wrong with the bytes, nor before them in the segment.
    pub trusted: bool,
    /// The record.
    #[serde(flatten)]
    pub record: Record,
}

/// The checkpoint at the head of the segment that is being read.
#[derive(Debug)]
enum Head {
    /// So far all records were carried.
    Carries { open_intents: OpenIntents, count: u32 },
    /// It is complete, or there is none.
    Past,
}

/// Reads segments one after the other, in the order of their numbers.
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
    last: Option<u64>,
    /// A gap between segments that a doubt may still explain: (segment, expected, found).
    gap: Option<(SegmentNo, u64, u64)>,
    current: Option<Current>,
    /// The current segment began with a whole checkpoint.
    checkpoint: bool,
}

#[derive(Debug)]
struct Current {
    number: u64,
    scanner: Option<Scanner>,
    head: Head,
}

impl Recovery {
    /// Nothing is read yet.
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
            last: None,
            gap: None,
            current: None,
            checkpoint: false,
        }
    }

    /// Notes something that the reader of the directory saw.
    pub fn find(&mut self, finding: Finding) {
        if self.findings.len() < self.limits.findings {
            self.findings.push(finding);
        } else {
            self.more_findings += 1;
        }
    }

    /// A segment begins; the one before is over.
    pub fn begin(&mut self, number: u64, sink: &mut impl FnMut(LocatedRecord)) {
        self.end(sink);
        // Of a long row that is missing the first is named, and how far it goes shows in the numbers.
        if let Some(missing) = self.last.map(|last| last + 1).filter(|n| *n < number) {
            self.find(Finding::Missing { segment: SegmentNo(missing) });
            self.trusted = false;
        }
        self.last = Some(number);
        self.segments += 1;
        (self.in_order, self.checkpoint) = (false, false);
        let head = Head::Carries { open_intents: OpenIntents::new(self.limits.open), count: 0 };
        self.current = Some(Current { number, scanner: Some(Scanner::new(self.owner, number)), head });
    }

    /// Its next bytes.
    pub fn push(&mut self, bytes: &[u8], sink: &mut impl FnMut(LocatedRecord)) {
        let Some(mut scanner) = self.current.as_mut().and_then(|c| c.scanner.take()) else { return };
        scanner.push(bytes, &mut |item| self.take(item, sink));
        if let Some(current) = &mut self.current {
            current.scanner = Some(scanner);
        }
    }

    /// The rest of it can't be had.
    pub fn unreadable(&mut self, from: u64, why: String) {
        let Some(number) = self.current.as_ref().map(|c| c.number) else { return };
        self.find(Finding::Unreadable { segment: SegmentNo(number), from, why });
        self.trusted = false;
    }

    fn end(&mut self, sink: &mut impl FnMut(LocatedRecord)) {
        let scanner = self.current.as_mut().and_then(|c| c.scanner.take());
        if let Some(scanner) = scanner {
            scanner.end(&mut |item| self.take(item, sink));
        }
        self.unexplained();
        self.current = None;
    }

    /// A gap that no doubt has explained is a finding.
    fn unexplained(&mut self) {
        if let Some((segment, expected, found)) = self.gap.take() {
            self.find(Finding::Gap { segment, expected, found });
        }
    }

    /// All segments are read.
    pub fn finish(mut self, sink: &mut impl FnMut(LocatedRecord)) -> Recovered {
        self.end(sink);
        Recovered {
            open: self.open_intents.open().cloned().collect(),
            over: self.open_intents.over(),
            findings: self.findings,
            more_findings: self.more_findings,
            orphans: self.open_intents.orphans(),
            records: self.records,
            segments: self.segments,
            next_seq: self.next_seq.unwrap_or(0),
            in_order: self.in_order,
        }
    }

    /// Whether the segment that is being read has shown a whole checkpoint with nothing wrong before it: all that was
    /// open then is known, without the segments before.
    pub fn has_checkpoint(&self) -> bool {
        self.checkpoint
    }

    /// Something was wrong with what has been read.
    pub fn is_doubted(&self) -> bool {
        !self.trusted
    }

    fn take(&mut self, item: ScanEvent, sink: &mut impl FnMut(LocatedRecord)) {
        let Some(number) = self.current.as_ref().map(|c| c.number) else { return };
        let segment = SegmentNo(number);
        if let Some(finding) = Finding::of(segment, &item) {
            self.find(finding);
        }
        match item {
            ScanEvent::Header(header) => self.head(segment, header),
            ScanEvent::Record { seq, record, .. } => {
                self.next_seq = Some(seq.saturating_add(1));
                self.records += 1;
                self.apply(segment, &record);
                sink(LocatedRecord { segment, seq, trusted: self.trusted, record });
            }
            ScanEvent::UnknownKind { seq, .. } => {
                self.next_seq = Some(seq.saturating_add(1));
                self.doubt_rest();
            }
            ScanEvent::Gap { .. } | ScanEvent::Damage { .. } => self.doubt_rest(),
            ScanEvent::Tail { .. } => self.in_order = false,
        }
    }

    /// What follows in this segment is not trusted; a checkpoint that is not whole by now is of no use.
    fn doubt_rest(&mut self) {
        self.trusted = false;
        self.open_intents.forget_early();
        let carried = self.current.as_mut().map(|c| std::mem::replace(&mut c.head, Head::Past));
        if let Some(Head::Carries { open_intents, .. }) = carried {
            for open in open_intents.open() {
                self.open_intents.apply(&Record::Intent(open.intent.clone()), false);
            }
        }
    }

    fn head(&mut self, segment: SegmentNo, header: Result<Header, HeaderError>) {
        let trouble = match header {
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
            // Made, and not a header written: its node died, or its disk was full.
            Err(HeaderError::Short) => Finding::Torn { segment, from: 0, length: 0 },
        };
        let torn = !trouble.is_damage();
        self.find(trouble);
        if !torn {
            self.doubt_rest();
        }
    }

    fn apply(&mut self, segment: SegmentNo, record: &Record) {
        self.in_order = matches!(record, Record::Closed { last: true });
        let Some(current) = &mut self.current else { return };
        match (&mut current.head, record) {
            (Head::Carries { open_intents, count }, Record::Carried(_)) => {
                open_intents.apply(record, true);
                *count += 1;
            }
            (Head::Carries { open_intents, count }, Record::Checkpoint { carried }) if count == carried => {
                // The writer knew all that was open: what went wrong in earlier segments matters no more.
                self.open_intents = std::mem::take(open_intents);
                (self.trusted, self.checkpoint) = (true, true);
                current.head = Head::Past;
            }
            (Head::Carries { .. }, _) => {
                self.find(Finding::BadCheckpoint { segment });
                self.doubt_rest();
                self.open_intents.apply(record, false);
            }
            (Head::Past, Record::Doubt { segment: doubted, from }) => {
                self.doubts_at(*doubted, *from);
            }
            (Head::Past, _) => self.open_intents.apply(record, self.trusted),
        }
        // A gap is explained by what stands right after the checkpoint; the first record of any other kind ends the wait.
        if !matches!(record, Record::Carried(_) | Record::Checkpoint { .. } | Record::Doubt { .. }) {
            self.unexplained();
        }
    }

    fn doubts_at(&mut self, doubted: u64, from: u64) {
        self.find(Finding::Doubted { segment: SegmentNo(doubted), from });
        self.gap = self.gap.take().filter(|(_, expected, _)| *expected < from);
    }
}
