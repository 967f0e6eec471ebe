//! The store on a disk: segments of records, and snapshots.

use crate::disk::{Disk, Folder, LockError};
use crate::format::{
    segment_name, snapshot_name, write_snapshot, RecordLocation, SegmentHeader, OWNER_MAX_BYTES,
    SEGMENT_HEADER_BYTES,
};
use crate::recover::{self, store_error, Continuation};
use crate::store::{Recovered, Seq, Store, StoreError, RECORD_MAX_BYTES};

/// The size at which a new segment is started, in bytes. Recovery reads whole segments, a node may have as
/// little as 32 MB of memory, and a snapshot only frees whole segments. Smaller segments take less memory and
/// disk space, but each new segment costs two more syncs.
pub const SEGMENT_BYTES: usize = 4 << 20;

/// A store on a [`Disk`]: a directory or a simulated one.
#[derive(Debug)]
pub struct Log<D: Disk> {
    disk: D,
    owner: String,
    segment_bytes: usize,
    file: D::File,
    number: u64,
    /// The offset at which the intact records of the file end.
    end: u64,
    /// Whether an incomplete record may follow the end; the next record then goes to a new segment.
    torn: bool,
    /// Whether the file has records that are not synced.
    has_unsynced: bool,
    /// The numbers of the older segments in use, each with the sequence number of its first record.
    older: Vec<(u64, u64)>,
    /// The sequence number of this segment's first record.
    first: u64,
    /// The sequence number of the last record.
    last: u64,
    /// The sequence number of the last synced record.
    synced: u64,
    /// The number of the snapshot in effect.
    snapshot: u64,
    /// The last record that the snapshot covers.
    covers: u64,
    /// The number for the next file.
    next: u64,
    /// Why the store must be reopened, after an error that leaves the content of the disk unknown.
    reopen_reason: Option<String>,
    _lock: D::Lock,
}

impl Log<Folder> {
    /// Opens the store in a directory, which should exist. `owner` is the name of the store's user, 1 to 64
    /// bytes long.
    ///
    /// # Errors
    /// Those of [`Log::open`]; [`StoreError::MissingDirectory`] names the directory.
    pub fn open_dir(path: &std::path::Path, owner: &str) -> Result<(Self, Recovered), StoreError> {
        if !path.is_dir() {
            return Err(StoreError::MissingDirectory(path.display().to_string()));
        }
        Self::open(Folder::new(path), owner)
    }
}

impl<D: Disk> Log<D> {
    /// Opens a store, or creates it if there is none. The recovered content is durable when this returns:
    /// records that may not have been synced are written again.
    ///
    /// # Errors
    /// [`StoreError::Locked`], [`StoreError::MissingDirectory`], [`StoreError::ReadOnly`],
    /// [`StoreError::OtherOwner`], [`StoreError::Corrupted`], [`StoreError::Full`] and errors of system
    /// calls.
    pub fn open(disk: D, owner: &str) -> Result<(Self, Recovered), StoreError> {
        Self::open_with_segment_bytes(disk, owner, SEGMENT_BYTES)
    }

    /// Like [`Log::open`], with another segment size, which must not be smaller than when the store was last
    /// opened.
    ///
    /// # Errors
    /// Those of [`Log::open`].
    pub fn open_with_segment_bytes(
        mut disk: D,
        owner: &str,
        segment_bytes: usize,
    ) -> Result<(Self, Recovered), StoreError> {
        if owner.is_empty() || owner.len() > OWNER_MAX_BYTES {
            return Err(invalid_input("an owner's name must have 1 to 64 bytes"));
        }
        let lock = disk.lock().map_err(|error| match error {
            LockError::Locked(by) => StoreError::Locked(by),
            LockError::Io(what, error) if error.kind() == std::io::ErrorKind::NotFound => {
                StoreError::MissingDirectory(what.into())
            }
            LockError::Io(what, error) => store_error(what, error),
        })?;
        let contents = recover::read_directory(&mut disk, owner, segment_bytes)?;
        let new = Continuation { prev: 0, prev_end: 0, first: 1, snapshot: 0, carried: Vec::new() };
        let continuation = contents.continuation.unwrap_or(new);
        let header = SegmentHeader {
            number: contents.next,
            prev: continuation.prev,
            prev_end: continuation.prev_end,
            first: continuation.first,
            snapshot: continuation.snapshot,
            carried_end: 0,
        };
        let (file, end) =
            create_segment(&mut disk, owner, header, &continuation.carried).map_err(|error| {
                let _ = disk.remove(&segment_name(contents.next));
                error.into_store_error()
            })?;
        let keep: Vec<String> = (contents.chain.iter().map(|(number, _)| segment_name(*number)))
            .chain([segment_name(contents.next), snapshot_name(continuation.snapshot)])
            .collect();
        for name in contents.files.iter().filter(|name| !keep.contains(name)) {
            // A file that could not be removed is found again when the store is next opened.
            let _ = disk.remove(name);
        }
        let last = continuation.first + continuation.carried.len() as u64 - 1;
        let covers = contents.recovered.snapshot.as_ref().map_or(0, |(covers, _)| covers.0);
        let log = Self {
            disk,
            owner: owner.into(),
            segment_bytes,
            file,
            number: contents.next,
            end,
            torn: false,
            has_unsynced: false,
            older: contents.chain,
            first: continuation.first,
            last,
            synced: last,
            snapshot: continuation.snapshot,
            covers,
            next: contents.next + 1,
            reopen_reason: None,
            _lock: lock,
        };
        Ok((log, contents.recovered))
    }

    fn check_usable(&self) -> Result<(), StoreError> {
        self.reopen_reason.as_ref().map_or(Ok(()), |reason| Err(StoreError::ReopenRequired(reason.clone())))
    }

    /// Records that the content of the disk is unknown after an error, and returns the error to report.
    fn require_reopen<T>(&mut self, what: &str, error: &std::io::Error) -> Result<T, StoreError> {
        let reason = format!("{what}: {error}");
        self.reopen_reason = Some(reason.clone());
        Err(StoreError::ReopenRequired(reason))
    }

    /// Starts a new segment, from which on `snapshot` is in effect.
    fn start_segment(&mut self, snapshot: u64) -> Result<(), StoreError> {
        self.sync()?;
        let header = SegmentHeader {
            number: self.next,
            prev: self.number,
            prev_end: self.end,
            first: self.last + 1,
            snapshot,
            carried_end: 0,
        };
        match create_segment(&mut self.disk, &self.owner, header, &[]) {
            Ok((file, end)) => {
                self.older.push((self.number, self.first));
                (self.file, self.end, self.number, self.first) = (file, end, self.next, self.last + 1);
                (self.torn, self.snapshot) = (false, snapshot);
                self.next += 1;
                Ok(())
            }
            Err(SegmentError::Write(error)) => {
                if self.disk.remove(&segment_name(self.next)).is_err() {
                    // The file may still exist, so its number is skipped. Gaps in the numbers are allowed.
                    self.next += 1;
                }
                Err(store_error("a new segment", error))
            }
            Err(SegmentError::Sync(error)) => self.require_reopen("sync of a new segment", &error),
        }
    }
}

fn invalid_input(what: &str) -> StoreError {
    StoreError::Io(what.into(), std::io::ErrorKind::InvalidInput.into())
}

/// Why creating a segment failed.
enum SegmentError {
    Write(std::io::Error),
    Sync(std::io::Error),
}

impl SegmentError {
    fn into_store_error(self) -> StoreError {
        match self {
            Self::Write(error) | Self::Sync(error) => store_error("a new segment", error),
        }
    }
}

/// Appends all bytes. An error is returned with the number of bytes that were written.
fn write_all<D: Disk>(
    disk: &mut D,
    file: &mut D::File,
    mut bytes: &[u8],
) -> Result<(), (usize, std::io::Error)> {
    let total = bytes.len();
    while !bytes.is_empty() {
        match disk.append(file, bytes) {
            Ok(count) => bytes = bytes.get(count..).unwrap_or_default(),
            Err(error) => return Err((total - bytes.len(), error)),
        }
    }
    Ok(())
}

/// Creates a segment, which is durable when this returns. Returns its file and the end of its records.
fn create_segment<D: Disk>(
    disk: &mut D,
    owner: &str,
    mut header: SegmentHeader,
    carried: &[Vec<u8>],
) -> Result<(D::File, u64), SegmentError> {
    let (location, mut records) = (RecordLocation { owner, number: header.number }, Vec::new());
    for (seq, record) in (header.first..).zip(carried) {
        location.write(SEGMENT_HEADER_BYTES + records.len(), seq, 0, record, &mut records);
    }
    header.carried_end = (SEGMENT_HEADER_BYTES + records.len()) as u64;
    let mut bytes = Vec::with_capacity(SEGMENT_HEADER_BYTES + records.len());
    header.write(owner, &mut bytes);
    bytes.append(&mut records);
    let mut file = disk.create(&segment_name(header.number)).map_err(SegmentError::Write)?;
    write_all(disk, &mut file, &bytes).map_err(|(_, error)| SegmentError::Write(error))?;
    disk.sync(&mut file).and_then(|()| disk.sync_directory()).map_err(SegmentError::Sync)?;
    Ok((file, header.carried_end))
}

impl<D: Disk> Store for Log<D> {
    fn append(&mut self, record: &[u8]) -> Result<Seq, StoreError> {
        self.check_usable()?;
        if record.len() > RECORD_MAX_BYTES {
            return Err(StoreError::TooLarge { size: record.len() });
        }
        if self.torn || self.end >= self.segment_bytes as u64 {
            self.start_segment(self.snapshot)?;
        }
        let (location, seq) = (RecordLocation { owner: &self.owner, number: self.number }, self.last + 1);
        let mut bytes = Vec::new();
        location.write(self.end as usize, seq, self.synced + 1, record, &mut bytes);
        if let Err((count, error)) = write_all(&mut self.disk, &mut self.file, &bytes) {
            let error = store_error("append", error);
            // If there is no space and nothing was written, the segment is unchanged. Other errors may have
            // written a part.
            self.torn = count > 0 || !matches!(error, StoreError::Full);
            return Err(error);
        }
        self.end += bytes.len() as u64;
        (self.last, self.has_unsynced) = (seq, true);
        Ok(Seq(seq))
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        self.check_usable()?;
        if self.has_unsynced {
            if let Err(error) = self.disk.sync(&mut self.file) {
                return self.require_reopen("sync", &error);
            }
            self.has_unsynced = false;
        }
        self.synced = self.last;
        Ok(())
    }

    fn snapshot(&mut self, covers: Seq, state: &[u8]) -> Result<(), StoreError> {
        self.check_usable()?;
        if state.len() > RECORD_MAX_BYTES {
            return Err(StoreError::TooLarge { size: state.len() });
        }
        if covers.0 > self.last || covers.0 < self.covers {
            return Err(invalid_input(
                "a snapshot must cover only appended records, and no fewer than the previous one",
            ));
        }
        self.sync()?;
        let (id, old) = (self.next, self.snapshot);
        let name = snapshot_name(id);
        let bytes = write_snapshot(&self.owner, id, covers.0, state);
        let created = self.disk.create(&name).and_then(|mut file| {
            write_all(&mut self.disk, &mut file, &bytes).map_err(|(_, error)| error)?;
            Ok(file)
        });
        let result = match created {
            Ok(mut file) => match self.disk.sync(&mut file) {
                // The header of the new segment puts the snapshot into effect.
                Ok(()) => self.start_segment(id),
                Err(error) => self.require_reopen("sync of a snapshot", &error),
            },
            Err(error) => Err(store_error("snapshot", error)),
        };
        if let Err(error) = result {
            // If the header of the new segment may be on the disk, the snapshot file is kept, because the
            // header names it.
            if self.reopen_reason.is_none() && self.disk.remove(&name).is_err() {
                self.next = self.next.max(id + 1);
            }
            return Err(error);
        }
        self.covers = covers.0;
        self.remove_covered(old);
        Ok(())
    }

    fn last(&self) -> Seq {
        Seq(self.last)
    }
}

impl<D: Disk> Log<D> {
    /// Removes the segments that the snapshot covers, oldest first, and the previous snapshot. Files that
    /// remain after an error are removed when the store is next opened.
    fn remove_covered(&mut self, old: u64) {
        let firsts = self.older.iter().skip(1).map(|(_, first)| *first).chain([self.first]);
        let covered = firsts.take_while(|next| *next <= self.covers + 1).count();
        for (number, _) in self.older.drain(..covered) {
            let _ = self.disk.remove(&segment_name(number));
        }
        if old != 0 {
            let _ = self.disk.remove(&snapshot_name(old));
        }
    }
}
