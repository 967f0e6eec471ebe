//! Writes batches of records into segments, with checkpoints, rotation and retention. It acts only when
//! called; the thread that owns it is in [`crate::writer`]. Time is an argument and the disk is a [`Disk`].

use std::collections::VecDeque;
use std::fmt;
use std::io;

use crate::directory::{recover, segments, ReadScope};
use crate::disk::Disk;
use crate::open_intents::OpenIntents;
use crate::record::{encode, Carried, Record, Salt, Timestamp};
use crate::recovery::{Finding, Recovered, RecoveryLimits};
use crate::segment::{file_name, Header, HeaderError, Owner, HEADER_BYTES};

/// The maximum number of damaged ranges that are saved, and the maximum bytes of each.
const SAVED_RANGES_MAX: (usize, u64) = (16, 1 << 20);

/// What an intent survives once it is confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// The intent is written before the attempt is sent: it survives a crash of the process.
    ProcessCrash,
    /// The intent is synced before the attempt is sent: it survives a power loss.
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

/// How a journal writes and retains its segments.
#[derive(Clone, Copy, Debug)]
pub struct JournalOptions {
    /// What a confirmed intent survives.
    pub durability: Durability,
    /// A new segment is begun once the current one holds this many bytes after its checkpoint.
    pub segment_bytes: u64,
    /// A new segment is begun once the current one is this old, in microseconds.
    pub segment_age_us: u64,
    /// Maximum number of segments that are kept.
    pub segments: usize,
    /// Segments older than this are removed, in microseconds by the wall clock.
    pub age_us: u64,
    /// Maximum number of open intents, including those of earlier incarnations.
    pub open: usize,
    /// Maximum number of records after attempts that are queued while the disk is down; further ones are
    /// dropped and counted.
    pub backlog: usize,
}

/// A failed disk operation.
#[derive(Debug)]
pub struct DiskError {
    /// The operation.
    pub at: &'static str,
    /// The operating system's error.
    pub error: io::Error,
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.at, self.error)
    }
}

impl std::error::Error for DiskError {}

/// Why a batch was not committed.
#[derive(Debug)]
pub enum CommitError {
    /// The disk failed during the write.
    Disk(DiskError),
    /// The disk failed earlier and has not recovered.
    Down,
}

struct Current<F> {
    file: F,
    number: u64,
    /// Bytes since the checkpoint.
    bytes: u64,
    began: Timestamp,
}

/// Counters of a journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JournalStats {
    /// Records written.
    pub records: u64,
    /// Bytes written.
    pub bytes: u64,
    /// Write calls to the disk.
    pub writes: u64,
    /// Sync calls to the disk.
    pub syncs: u64,
    /// Records after attempts that were dropped because the backlog was full while the disk was down.
    pub lost: u64,
}

/// The segments of a directory and the open intents.
pub struct Journal<D: Disk> {
    disk: D,
    owner: Owner,
    boot: u64,
    options: JournalOptions,
    open_intents: OpenIntents,
    current: Option<Current<D::File>>,
    /// Segments on disk before the current one: number, and Unix time in microseconds at which each began; 0
    /// if unknown.
    old: VecDeque<(u64, u64)>,
    next_seq: u64,
    next_segment: u64,
    /// Segments whose tail was never confirmed: (segment, first unconfirmed sequence).
    unconfirmed: Vec<(u64, u64)>,
    backlog: VecDeque<Record>,
    buf: Vec<u8>,
    stats: JournalStats,
}

impl<D: Disk> Journal<D> {
    /// Recovers the contents of a directory and prepares to write after them. No segment is open yet:
    /// [`Journal::ensure_segment`] opens the first one.
    ///
    /// # Errors
    /// If the file names of the directory cannot be read.
    pub fn open(mut disk: D, owner: Owner, options: JournalOptions) -> io::Result<(Self, Recovered)> {
        let limits = RecoveryLimits { open: options.open, ..RecoveryLimits::default() };
        let recovered = recover(&mut disk, owner, limits, ReadScope::Checkpoint, &mut |_| {})?;
        let (found, _) = segments(&mut disk)?;
        let next_segment = found.last_key_value().map_or(1, |(last, _)| last.saturating_add(1));
        let mut open_intents = OpenIntents::new(options.open);
        for open in &recovered.open {
            let carried = Carried { intent: open.intent.clone(), trusted: open.trusted };
            open_intents.apply(&Record::Carried(carried), true);
        }
        let mut old = VecDeque::new();
        for (number, name) in &found {
            let mut header_bytes = [0; HEADER_BYTES];
            // A segment of another node, or with an unreadable owner, must not be removed. One without a
            // complete header holds nothing and can be.
            match disk.read(name, 0, &mut header_bytes).map(|count| Header::read(&header_bytes[..count])) {
                Ok(Ok(header)) if header.owner == owner => old.push_back((*number, header.wall_us)),
                Ok(Err(HeaderError::Short)) => old.push_back((*number, 0)),
                _ => {}
            }
        }
        for finding in &recovered.findings {
            if let Finding::Damaged { segment, from, to } = finding {
                // If saving fails, the bytes are still in the segment until retention removes it.
                if let Err(error) = save_damaged_bytes(&mut disk, segment.0, *from, *to) {
                    tracing::warn!(target: "ledger", "{segment}: its damaged bytes could not be saved: {error}");
                }
            }
        }
        let journal = Self {
            disk,
            owner,
            // Segment numbers only grow, so the first one that an incarnation writes identifies it.
            boot: next_segment,
            options,
            open_intents,
            current: None,
            old,
            next_seq: recovered.next_seq.min(1 << 62),
            next_segment,
            unconfirmed: Vec::new(),
            backlog: VecDeque::new(),
            buf: Vec::new(),
            stats: JournalStats::default(),
        };
        Ok((journal, recovered))
    }

    /// The incarnation of the node.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// The open intents.
    pub fn open_intents(&self) -> &OpenIntents {
        &self.open_intents
    }

    /// Returns whether a segment is open for writing.
    pub fn is_up(&self) -> bool {
        self.current.is_some()
    }

    /// The counters so far.
    pub fn stats(&self) -> JournalStats {
        self.stats
    }

    /// Writes a batch. On success each intent in it is as durable as configured. On failure none of its
    /// intents counts; its other records are queued for the next segment.
    ///
    /// # Errors
    /// If the disk fails or has not recovered. Nothing is retried.
    pub fn commit(&mut self, batch: &[Record], now: Timestamp) -> Result<(), CommitError> {
        let result = self.try_commit(batch, now);
        if result.is_err() {
            for record in batch.iter().filter(|r| !matches!(r, Record::Intent(_))) {
                self.enqueue_unwritten(record);
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
        if let Err(error) = synced {
            self.mark_unconfirmed(first);
            return Err(CommitError::Disk(error));
        }
        self.stats.records += batch.len() as u64;
        batch.iter().for_each(|record| self.open_intents.apply(record, true));
        Ok(())
    }

    /// Stops writing to the current segment. Its records from this sequence on are unconfirmed.
    fn mark_unconfirmed(&mut self, first: u64) {
        if let Some(current) = self.current.take() {
            self.unconfirmed.push((current.number, first));
            self.old.push_back((current.number, current.began.wall_us));
        }
    }

    /// Queues a record that could not be written for the next segment. The outcome of an intent that was
    /// never confirmed is not needed.
    fn enqueue_unwritten(&mut self, record: &Record) {
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

    /// Begins a new segment if the current one is old enough.
    ///
    /// # Errors
    /// If the disk fails.
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
            self.unconfirmed.push((current.number, first));
        }
        synced
    }

    /// Opens a segment if none is open: at the start and after a disk failure. The segment begins with a
    /// checkpoint of the open intents, followed by the unconfirmed tails of earlier segments and the queued
    /// records.
    ///
    /// # Errors
    /// If the disk still fails; nothing is changed then.
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
                // A leftover of an attempt that failed half way, or a file of another program: its number
                // cannot be used.
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
        for (segment, from) in &self.unconfirmed {
            add(&Record::Doubt { segment: *segment, from: *from }, &mut bytes);
        }
        for record in &self.backlog {
            add(record, &mut bytes);
        }
        let written =
            append_all(&mut self.disk, &mut file, &bytes, &mut self.stats).and_then(|()| match synced {
                false => Ok(()),
                true => sync_with_directory(&mut self.disk, &mut file, &mut self.stats),
            });
        if let Err(error) = written {
            // Opening a segment is retried as long as the disk is full, and no attempt may leave a file
            // behind.
            drop(file);
            if self.disk.remove(&new_name).is_err() {
                self.next_segment += 1;
                self.next_seq = seq;
                self.unconfirmed.push((number, first_seq));
                self.old.push_back((number, wall_us));
            }
            return Err(error);
        }
        self.next_segment += 1;
        self.next_seq = seq;
        self.stats.records += self.backlog.len() as u64;
        self.unconfirmed.clear();
        self.backlog.clear();
        self.current = Some(Current { file, number, bytes: 0, began: now });
        Ok(())
    }

    /// Removes segments that are too many or too old. Every open intent is repeated in the checkpoint of the
    /// current segment, so none is lost with them; that checkpoint must be synced first.
    fn prune(&mut self, now: Timestamp) -> Result<(), DiskError> {
        let old_max = self.options.segments.max(1) - 1;
        let due = |old: &VecDeque<(u64, u64)>, options: &JournalOptions| {
            old.front().is_some_and(|(_, began)| {
                // The age counts only if it is known and the clock is not behind the segment's beginning.
                let age = if *began == 0 { 0 } else { now.wall_us.saturating_sub(*began) };
                old.len() > old_max || age > options.age_us
            })
        };
        if !due(&self.old, &self.options) {
            return Ok(());
        }
        if self.options.durability == Durability::ProcessCrash {
            let Some(current) = &mut self.current else { return Ok(()) };
            let synced = sync_with_directory(&mut self.disk, &mut current.file, &mut self.stats);
            if let Err(error) = synced {
                // The written data still survives a process crash as promised, but the old segments must
                // stay.
                tracing::warn!(target: "ledger", "{error}; old segments are kept");
                return Ok(());
            }
        }
        while due(&self.old, &self.options) {
            let Some((number, _)) = self.old.front() else { break };
            match self.disk.remove(&file_name(*number)) {
                Ok(()) => {}
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                // A segment that cannot be removed does no harm; the next rotation tries again.
                Err(_) => break,
            }
            self.old.pop_front();
        }
        Ok(())
    }

    /// Closes the current segment at the end of the node, and records whether any intent is still open.
    ///
    /// # Errors
    /// If the disk fails; the next start then finds no orderly end.
    pub fn close(&mut self) -> Result<(), DiskError> {
        let no_open_intents = self.open_intents.open().len() == 0;
        self.close_current(no_open_intents)
    }

    /// The disk, for tests that compare its contents with what was confirmed.
    pub fn into_disk(self) -> D {
        self.disk
    }
}

/// Copies damaged bytes to a file that retention does not remove: `NUMBER-FROM.kept`.
fn save_damaged_bytes<D: Disk>(disk: &mut D, segment: u64, from: u64, to: u64) -> io::Result<()> {
    let saved_name = format!("{segment:020}-{from}.kept");
    let names = disk.file_names()?;
    if names.contains(&saved_name)
        || names.iter().filter(|n| n.ends_with(".kept")).count() >= SAVED_RANGES_MAX.0
    {
        return Ok(());
    }
    let mut bytes = vec![0; (to - from).min(SAVED_RANGES_MAX.1) as usize];
    let count = disk.read(&file_name(segment), from, &mut bytes)?;
    let mut file = disk.create(&saved_name)?;
    append_all(disk, &mut file, &bytes[..count], &mut JournalStats::default()).map_err(|failed| failed.error)
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

/// Syncs a file and its directory entry.
fn sync_with_directory<D: Disk>(
    disk: &mut D,
    file: &mut D::File,
    stats: &mut JournalStats,
) -> Result<(), DiskError> {
    sync(disk, file, stats)?;
    disk.sync_directory().map_err(|error| DiskError { at: "sync of the directory", error })
}

/// Appends bytes with the configured durability.
fn write<D: Disk>(
    disk: &mut D,
    file: &mut D::File,
    bytes: &[u8],
    durability: Durability,
    stats: &mut JournalStats,
) -> Result<(), DiskError> {
    append_all(disk, file, bytes, stats)?;
    match durability {
        Durability::ProcessCrash => Ok(()),
        Durability::PowerLoss => sync(disk, file, stats),
    }
}
