//! The writing side: batches of records into segments, with checkpoints, rotation and retention. It does what it is told
//! when it is told; the thread that owns it is [`crate::writer`]'s. Time is an argument, the disk a [`Disk`].

use std::collections::VecDeque;
use std::fmt;
use std::io;

use crate::directory::{recover, segments, ReadScope};
use crate::disk::Disk;
use crate::open_intents::OpenIntents;
use crate::record::{encode, Carried, Record, Salt, Timestamp};
use crate::recovery::{Finding, Recovered, RecoveryLimits};
use crate::segment::{file_name, Header, HeaderError, Owner, HEADER_BYTES};

/// The most damaged places that are kept aside, and the most bytes of each.
const KEPT_MOST: (usize, u64) = (16, 1 << 20);

/// What holds for an intent before its attempt is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// It is written: it outlives the process.
    ProcessCrash,
    /// It is synced: it outlives a loss of power.
    PowerLoss,
}

impl fmt::Display for Durability {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ProcessCrash => "process-crash",
            Self::PowerLoss => "power-loss",
        })
    }
}

/// How a journal keeps its segments.
#[derive(Clone, Copy, Debug)]
pub struct JournalOptions {
    /// The promise.
    pub durability: Durability,
    /// A segment that holds so many bytes after its checkpoint is followed by a new one.
    pub segment_bytes: u64,
    /// One that is so old, in microseconds, likewise.
    pub segment_age_us: u64,
    /// The most segments that are kept.
    pub segments: usize,
    /// Segments older than this are not kept, in microseconds of the wall's clock.
    pub age_us: u64,
    /// The most intents that may be open, those of earlier lives among them.
    pub open: usize,
    /// Records after attempts that wait for the disk to come back; further ones are lost, and counted.
    pub backlog: usize,
}

/// A disk that did not do as it was told.
#[derive(Debug)]
pub struct DiskError {
    /// At what.
    pub at: &'static str,
    /// The system's word.
    pub error: io::Error,
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.at, self.error)
    }
}

impl std::error::Error for DiskError {}

/// Why a batch came to nothing.
#[derive(Debug)]
pub enum CommitError {
    /// The disk failed at it.
    Disk(DiskError),
    /// The disk had failed before, and is not back.
    Down,
}

struct Current<F> {
    file: F,
    number: u64,
    /// Bytes since the checkpoint.
    bytes: u64,
    began: Timestamp,
}

/// What a journal has done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JournalStats {
    /// Records written.
    pub records: u64,
    /// Bytes written.
    pub bytes: u64,
    /// Calls to the disk to write.
    pub writes: u64,
    /// Calls to sync.
    pub syncs: u64,
    /// Records after attempts that there was no room for while the disk was away.
    pub lost: u64,
}

/// The segments of a directory, and what is open.
pub struct Journal<D: Disk> {
    disk: D,
    owner: Owner,
    boot: u64,
    options: JournalOptions,
    open_intents: OpenIntents,
    current: Option<Current<D::File>>,
    /// Segments on disk before the current one: number, and when each began by the wall's clock.
    old: VecDeque<(u64, u64)>,
    next_seq: u64,
    next_segment: u64,
    /// Segments whose end was promised to nobody: (segment, from sequence).
    doubts: Vec<(u64, u64)>,
    backlog: VecDeque<Record>,
    buf: Vec<u8>,
    stats: JournalStats,
}

impl<D: Disk> Journal<D> {
    /// Recovers what a directory holds, and gets ready to write behind it. No segment is open yet: [`Journal::heal`] opens
    /// the first one.
    ///
    /// # Errors
    /// Where the directory's names can't be read.
    pub fn open(mut disk: D, owner: Owner, options: JournalOptions) -> io::Result<(Self, Recovered)> {
        let bounds = RecoveryLimits { open: options.open, ..RecoveryLimits::default() };
        let recovered = recover(&mut disk, owner, bounds, ReadScope::Checkpoint, &mut |_| {})?;
        let (found, _) = segments(&mut disk)?;
        let next_segment = found.last_key_value().map_or(1, |(last, _)| last.saturating_add(1));
        let mut open_intents = OpenIntents::new(options.open);
        for open in &recovered.open {
            let carried = Carried { intent: open.intent.clone(), trusted: open.trusted };
            open_intents.apply(&Record::Carried(carried), true);
        }
        let mut old = VecDeque::new();
        for (number, name) in &found {
            let mut head = [0; HEADER_BYTES];
            // One of another node's, or that can't be told, is not ours to remove; one without a head is of no use.
            match disk.read(name, 0, &mut head).map(|count| Header::read(&head[..count])) {
                Ok(Ok(header)) if header.owner == owner => old.push_back((*number, header.wall_us)),
                Ok(Err(HeaderError::Short)) => old.push_back((*number, 0)),
                _ => {}
            }
        }
        for finding in &recovered.findings {
            if let Finding::Damaged { segment, from, to } = finding {
                // What can't be kept aside is still in its place, until the segment is too old.
                if let Err(error) = save_damaged_bytes(&mut disk, segment.0, *from, *to) {
                    tracing::warn!(target: "ledger", "{segment}: its damaged bytes were not kept aside: {error}");
                }
            }
        }
        let journal = Self {
            disk,
            owner,
            // Numbers of segments only grow, so the first that a life writes is the life's own.
            boot: next_segment,
            options,
            open_intents,
            current: None,
            old,
            next_seq: recovered.next_seq.min(1 << 62),
            next_segment,
            doubts: Vec::new(),
            backlog: VecDeque::new(),
            buf: Vec::new(),
            stats: JournalStats::default(),
        };
        Ok((journal, recovered))
    }

    /// Which life of the node this is.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// What is open.
    pub fn open_intents(&self) -> &OpenIntents {
        &self.open_intents
    }

    /// Is a segment open?
    pub fn is_up(&self) -> bool {
        self.current.is_some()
    }

    /// What has been done.
    pub fn stats(&self) -> JournalStats {
        self.stats
    }

    /// Writes a batch: after this returns well each intent in it has its promise. Where it does not, none of its intents
    /// counts; its other records are kept for the next segment.
    ///
    /// # Errors
    /// Where the disk failed, or is not back. Nothing is tried twice.
    pub fn commit(&mut self, batch: &[Record], now: Timestamp) -> Result<(), CommitError> {
        let result = self.try_commit(batch, now);
        if result.is_err() {
            for record in batch.iter().filter(|r| !matches!(r, Record::Intent(_))) {
                self.keep_for_later(record);
            }
        }
        result
    }

    fn try_commit(&mut self, batch: &[Record], now: Timestamp) -> Result<(), CommitError> {
        self.rotate_if_due(now).map_err(CommitError::Disk)?;
        let Some(current) = &mut self.current else { return Err(CommitError::Down) };
        let first = self.next_seq;
        let salt = Salt::of(self.owner.0, current.number);
        self.buf.clear();
        for record in batch {
            encode(record, self.next_seq, salt, &mut self.buf);
            self.next_seq += 1;
        }
        let synced =
            write(&mut self.disk, &mut current.file, &self.buf, self.options.durability, &mut self.stats);
        current.bytes += self.buf.len() as u64;
        if let Err(fault) = synced {
            self.doubt_from(first);
            return Err(CommitError::Disk(fault));
        }
        self.stats.records += batch.len() as u64;
        batch.iter().for_each(|record| self.open_intents.apply(record, true));
        Ok(())
    }

    /// The current segment is closed as it is, and what it holds from this record on is doubted.
    fn doubt_from(&mut self, first: u64) {
        if let Some(current) = self.current.take() {
            self.doubts.push((current.number, first));
            self.old.push_back((current.number, current.began.wall_us));
        }
    }

    /// A record that could not be written waits for the next segment. One of an intent that never counted is not needed.
    fn keep_for_later(&mut self, record: &Record) {
        if let Record::Outcome(outcome) = record {
            if !self.open_intents.is_open(outcome.intent) {
                return;
            }
        }
        self.open_intents.apply(record, true);
        if self.backlog.len() < self.options.backlog {
            self.backlog.push_back(record.clone());
        } else {
            self.stats.lost += 1;
        }
    }

    /// Time has passed: a segment that is old enough is followed by a new one.
    ///
    /// # Errors
    /// Where the disk failed.
    pub fn tick(&mut self, now: Timestamp) -> Result<(), DiskError> {
        self.rotate_if_due(now)
    }

    fn rotate_if_due(&mut self, now: Timestamp) -> Result<(), DiskError> {
        let Some(current) = &self.current else { return Ok(()) };
        let age = now.mono_us.saturating_sub(current.began.mono_us);
        if current.bytes < self.options.segment_bytes
            && (age < self.options.segment_age_us || current.bytes == 0)
        {
            return Ok(());
        }
        self.close_current(false)?;
        self.begin_segment(now)?;
        self.prune(now)
    }

    fn close_current(&mut self, last: bool) -> Result<(), DiskError> {
        let Some(mut current) = self.current.take() else { return Ok(()) };
        let first = self.next_seq;
        self.buf.clear();
        encode(&Record::Closed { last }, first, Salt::of(self.owner.0, current.number), &mut self.buf);
        self.next_seq += 1;
        let synced =
            write(&mut self.disk, &mut current.file, &self.buf, self.options.durability, &mut self.stats);
        self.old.push_back((current.number, current.began.wall_us));
        if synced.is_err() {
            self.doubts.push((current.number, first));
        }
        synced
    }

    /// Opens a segment where none is: at the start, and after the disk had failed. What is open is told at its head, then
    /// what of earlier segments is doubted, then what had to wait.
    ///
    /// # Errors
    /// Where the disk still fails; nothing is changed then.
    pub fn ensure_segment(&mut self, now: Timestamp) -> Result<(), DiskError> {
        if self.current.is_some() {
            return Ok(());
        }
        self.begin_segment(now)?;
        self.prune(now)
    }

    fn begin_segment(&mut self, now: Timestamp) -> Result<(), DiskError> {
        let number = self.next_segment;
        let new_name = file_name(number);
        let mut file = match self.disk.create(&new_name) {
            Ok(file) => file,
            Err(error) => {
                // Left behind by a try that failed half way, or somebody else's: its number is spent.
                if error.kind() == io::ErrorKind::AlreadyExists {
                    self.next_segment += 1;
                }
                return Err(DiskError { at: "new segment", error });
            }
        };
        let (first_seq, wall_us) = (self.next_seq, now.wall_us);
        let synced = self.options.durability == Durability::PowerLoss;
        let salt = Salt::of(self.owner.0, number);
        let mut bytes = Vec::with_capacity(4096);
        Header { owner: self.owner, number, first_seq, boot: self.boot, wall_us, synced }.write(&mut bytes);
        let mut seq = first_seq;
        let mut add = |record: &Record, bytes: &mut Vec<u8>| {
            encode(record, seq, salt, bytes);
            seq += 1;
        };
        for open in self.open_intents.open() {
            let carried = Carried { intent: open.intent.clone(), trusted: open.trusted };
            add(&Record::Carried(carried), &mut bytes);
        }
        add(&Record::Checkpoint { carried: self.open_intents.open().len() as u32 }, &mut bytes);
        for (segment, from) in &self.doubts {
            add(&Record::Doubt { segment: *segment, from: *from }, &mut bytes);
        }
        for record in &self.backlog {
            add(record, &mut bytes);
        }
        let written =
            append_all(&mut self.disk, &mut file, &bytes, &mut self.stats).and_then(|()| match synced {
                false => Ok(()),
                true => sync_whole(&mut self.disk, &mut file, &mut self.stats),
            });
        if let Err(fault) = written {
            // A full disk is tried again and again, and each try must not leave a file.
            drop(file);
            if self.disk.remove(&new_name).is_err() {
                self.next_segment += 1;
                self.next_seq = seq;
                self.doubts.push((number, first_seq));
                self.old.push_back((number, wall_us));
            }
            return Err(fault);
        }
        self.next_segment += 1;
        self.next_seq = seq;
        self.stats.records += self.backlog.len() as u64;
        self.doubts.clear();
        self.backlog.clear();
        self.current = Some(Current { file, number, bytes: 0, began: now });
        Ok(())
    }

    /// Removes segments that are too many or too old. All that is open stands at the head of the current one, so none is
    /// lost with them; but that head must be safe first.
    fn prune(&mut self, now: Timestamp) -> Result<(), DiskError> {
        let most = self.options.segments.max(1) - 1;
        let due = |old: &VecDeque<(u64, u64)>, options: &JournalOptions| {
            old.front().is_some_and(|(_, began)| {
                // Age counts only where it is known, and where the clock has not stepped back behind it.
                let age = if *began == 0 { 0 } else { now.wall_us.saturating_sub(*began) };
                old.len() > most || age > options.age_us
            })
        };
        if !due(&self.old, &self.options) {
            return Ok(());
        }
        if self.options.durability == Durability::ProcessCrash {
            let Some(current) = &mut self.current else { return Ok(()) };
            let safe = sync_whole(&mut self.disk, &mut current.file, &mut self.stats);
            if let Err(fault) = safe {
                // What is written is still promised to outlive the process; it is the old ones that must stay.
                tracing::warn!(target: "ledger", "{fault}; old segments stay");
                return Ok(());
            }
        }
        while due(&self.old, &self.options) {
            let Some((number, _)) = self.old.front() else { break };
            match self.disk.remove(&file_name(*number)) {
                Ok(()) => {}
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                // It is in the way of nothing; the next rotation tries again.
                Err(_) => break,
            }
            self.old.pop_front();
        }
        Ok(())
    }

    /// The node ends, with nothing out or with what could not be waited for.
    ///
    /// # Errors
    /// Where the disk failed; the next start then finds no end in order.
    pub fn close(&mut self) -> Result<(), DiskError> {
        let nothing_out = self.open_intents.open().len() == 0;
        self.close_current(nothing_out)
    }

    /// The disk, for tests that hold what it has against what was promised.
    pub fn into_disk(self) -> D {
        self.disk
    }
}

/// Copies damaged bytes to a file of their own, which retention does not know: `NUMBER-FROM.kept`.
fn save_damaged_bytes<D: Disk>(disk: &mut D, segment: u64, from: u64, to: u64) -> io::Result<()> {
    let aside = format!("{segment:020}-{from}.kept");
    let names = disk.file_names()?;
    if names.contains(&aside) || names.iter().filter(|n| n.ends_with(".kept")).count() >= KEPT_MOST.0 {
        return Ok(());
    }
    let mut bytes = vec![0; (to - from).min(KEPT_MOST.1) as usize];
    let count = disk.read(&file_name(segment), from, &mut bytes)?;
    let mut file = disk.create(&aside)?;
    append_all(disk, &mut file, &bytes[..count], &mut JournalStats::default()).map_err(|fault| fault.error)
}

fn append_all<D: Disk>(
    disk: &mut D,
    file: &mut D::File,
    bytes: &[u8],
    stats: &mut JournalStats,
) -> Result<(), DiskError> {
    let mut rest = bytes;
    while !rest.is_empty() {
        stats.writes += 1;
        let count = disk.append(file, rest).map_err(|error| DiskError { at: "write", error })?;
        stats.bytes += count as u64;
        rest = rest.get(count.max(1)..).unwrap_or_default();
    }
    Ok(())
}

fn sync<D: Disk>(disk: &mut D, file: &mut D::File, stats: &mut JournalStats) -> Result<(), DiskError> {
    stats.syncs += 1;
    disk.sync(file).map_err(|error| DiskError { at: "sync", error })
}

/// The same with the file's name.
fn sync_whole<D: Disk>(disk: &mut D, file: &mut D::File, stats: &mut JournalStats) -> Result<(), DiskError> {
    sync(disk, file, stats)?;
    disk.sync_directory().map_err(|error| DiskError { at: "sync of the directory", error })
}

/// Adds bytes, so that the promise holds for them.
fn write<D: Disk>(
    disk: &mut D,
    file: &mut D::File,
    bytes: &[u8],
    promise: Durability,
    stats: &mut JournalStats,
) -> Result<(), DiskError> {
    append_all(disk, file, bytes, stats)?;
    match promise {
        Durability::ProcessCrash => Ok(()),
        Durability::PowerLoss => sync(disk, file, stats),
    }
}
