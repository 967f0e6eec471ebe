//! The store on a disk: segments of records, and snapshots beside them.

use crate::disk::{Disk, Folder, LockError};
use crate::frame::{segment_name, snapshot_name, write_snapshot, Head, Place, HEAD, OWNER_MAX};
use crate::recover::{self, told, Follow};
use crate::store::{Recovered, Seq, Store, StoreError, RECORD_MAX_BYTES};

/// Bytes after which a segment is followed by another. Recovery reads a segment whole, a node has from 32 MB on, and a
/// snapshot frees whole segments only: smaller is leaner, but costs two syncs more each time.
pub const SEGMENT_BYTES: usize = 4 << 20;

/// A store on a [`Disk`]: a directory or a simulated one.
#[derive(Debug)]
pub struct Log<D: Disk> {
    disk: D,
    owner: String,
    segment_bytes: usize,
    file: D::File,
    number: u64,
    /// The end of the whole records in the file.
    end: u64,
    /// Half a record lies behind the end: the next one goes to a new segment.
    torn: bool,
    /// Something in the file is not synced.
    fresh: bool,
    /// The segments that count but this one, with each one's first record.
    older: Vec<(u64, u64)>,
    /// This one's.
    first: u64,
    last: u64,
    synced: u64,
    /// The snapshot in effect, and what it covers.
    snapshot: u64,
    covers: u64,
    next: u64,
    doubt: Option<String>,
    _lock: D::Lock,
}

impl Log<Folder> {
    /// Opens the store in a directory, which should be there; `owner` names who writes, in 1 to 64 bytes.
    ///
    /// # Errors
    /// As [`Log::open`]; [`StoreError::MissingDirectory`] names the directory.
    pub fn open_dir(path: &std::path::Path, owner: &str) -> Result<(Self, Recovered), StoreError> {
        if !path.is_dir() {
            return Err(StoreError::MissingDirectory(path.display().to_string()));
        }
        Self::open(Folder::new(path), owner)
    }
}

impl<D: Disk> Log<D> {
    /// Opens a store, or makes it where there is none. What was recovered is on the disk for good when this returns: the
    /// part of it that may not be is written again.
    ///
    /// # Errors
    /// [`StoreError::Locked`], [`StoreError::MissingDirectory`], [`StoreError::ReadOnly`], [`StoreError::OtherOwner`],
    /// [`StoreError::Corrupted`], [`StoreError::Full`] and the system's word.
    pub fn open(disk: D, owner: &str) -> Result<(Self, Recovered), StoreError> {
        Self::open_with_segment_bytes(disk, owner, SEGMENT_BYTES)
    }

    /// The same with segments of another size, which must not shrink from one opening to the next.
    ///
    /// # Errors
    /// As [`Log::open`].
    pub fn open_with_segment_bytes(
        mut disk: D,
        owner: &str,
        segment_bytes: usize,
    ) -> Result<(Self, Recovered), StoreError> {
        if owner.is_empty() || owner.len() > OWNER_MAX {
            return Err(wrong("an owner's name has 1 to 64 bytes"));
        }
        let lock = disk.lock().map_err(|why| match why {
            LockError::Locked(by) => StoreError::Locked(by),
            LockError::Io(what, error) if error.kind() == std::io::ErrorKind::NotFound => {
                StoreError::MissingDirectory(what.into())
            }
            LockError::Io(what, error) => told(what, error),
        })?;
        let read = recover::read(&mut disk, owner, segment_bytes)?;
        let new = Follow { prev: 0, prev_end: 0, first: 1, snapshot: 0, carried: Vec::new() };
        let follow = read.follow.unwrap_or(new);
        let head = Head {
            number: read.next,
            prev: follow.prev,
            prev_end: follow.prev_end,
            first: follow.first,
            snapshot: follow.snapshot,
            carried_end: 0,
        };
        let (file, end) = begin(&mut disk, owner, head, &follow.carried).map_err(|failed| {
            let _ = disk.remove(&segment_name(read.next));
            failed.error()
        })?;
        let keep: Vec<String> = (read.chain.iter().map(|(number, _)| segment_name(*number)))
            .chain([segment_name(read.next), snapshot_name(follow.snapshot)])
            .collect();
        for name in read.files.iter().filter(|name| !keep.contains(name)) {
            // What stays is found again at the next opening.
            let _ = disk.remove(name);
        }
        let last = follow.first + follow.carried.len() as u64 - 1;
        let covers = read.recovered.snapshot.as_ref().map_or(0, |(covers, _)| covers.0);
        let log = Self {
            disk,
            owner: owner.into(),
            segment_bytes,
            file,
            number: read.next,
            end,
            torn: false,
            fresh: false,
            older: read.chain,
            first: follow.first,
            last,
            synced: last,
            snapshot: follow.snapshot,
            covers,
            next: read.next + 1,
            doubt: None,
            _lock: lock,
        };
        Ok((log, read.recovered))
    }

    fn trusted(&self) -> Result<(), StoreError> {
        self.doubt.as_ref().map_or(Ok(()), |why| Err(StoreError::ReopenRequired(why.clone())))
    }

    fn doubt<T>(&mut self, what: &str, error: &std::io::Error) -> Result<T, StoreError> {
        let why = format!("{what}: {error}");
        self.doubt = Some(why.clone());
        Err(StoreError::ReopenRequired(why))
    }

    /// Goes on in a new segment, from which on `snapshot` holds.
    fn follow(&mut self, snapshot: u64) -> Result<(), StoreError> {
        self.sync()?;
        let head = Head {
            number: self.next,
            prev: self.number,
            prev_end: self.end,
            first: self.last + 1,
            snapshot,
            carried_end: 0,
        };
        match begin(&mut self.disk, &self.owner, head, &[]) {
            Ok((file, end)) => {
                self.older.push((self.number, self.first));
                (self.file, self.end, self.number, self.first) = (file, end, self.next, self.last + 1);
                (self.torn, self.snapshot) = (false, snapshot);
                self.next += 1;
                Ok(())
            }
            Err(Failed::Write(error)) => {
                if self.disk.remove(&segment_name(self.next)).is_err() {
                    // The name may be taken. Where it is not, a number is left out, which nobody minds.
                    self.next += 1;
                }
                Err(told("a new segment", error))
            }
            Err(Failed::Sync(error)) => self.doubt("a new segment's sync", &error),
        }
    }
}

fn wrong(what: &str) -> StoreError {
    StoreError::Io(what.into(), std::io::ErrorKind::InvalidInput.into())
}

/// How making a segment failed.
enum Failed {
    Write(std::io::Error),
    Sync(std::io::Error),
}

impl Failed {
    fn error(self) -> StoreError {
        match self {
            Self::Write(error) | Self::Sync(error) => told("a new segment", error),
        }
    }
}

fn write<D: Disk>(disk: &mut D, file: &mut D::File, mut bytes: &[u8]) -> Result<(), (usize, std::io::Error)> {
    let all = bytes.len();
    while !bytes.is_empty() {
        match disk.append(file, bytes) {
            Ok(count) => bytes = bytes.get(count..).unwrap_or_default(),
            Err(error) => return Err((all - bytes.len(), error)),
        }
    }
    Ok(())
}

/// Makes a segment, on the disk for good when this returns; its file and its end.
fn begin<D: Disk>(
    disk: &mut D,
    owner: &str,
    mut head: Head,
    carried: &[Vec<u8>],
) -> Result<(D::File, u64), Failed> {
    let (place, mut records) = (Place { owner, number: head.number }, Vec::new());
    for (seq, record) in (head.first..).zip(carried) {
        place.write(HEAD + records.len(), seq, 0, record, &mut records);
    }
    head.carried_end = (HEAD + records.len()) as u64;
    let mut bytes = Vec::with_capacity(HEAD + records.len());
    head.write(owner, &mut bytes);
    bytes.append(&mut records);
    let mut file = disk.create(&segment_name(head.number)).map_err(Failed::Write)?;
    write(disk, &mut file, &bytes).map_err(|(_, error)| Failed::Write(error))?;
    disk.sync(&mut file).and_then(|()| disk.sync_directory()).map_err(Failed::Sync)?;
    Ok((file, head.carried_end))
}

impl<D: Disk> Store for Log<D> {
    fn append(&mut self, record: &[u8]) -> Result<Seq, StoreError> {
        self.trusted()?;
        if record.len() > RECORD_MAX_BYTES {
            return Err(StoreError::TooLarge { size: record.len() });
        }
        if self.torn || self.end >= self.segment_bytes as u64 {
            self.follow(self.snapshot)?;
        }
        let (place, seq) = (Place { owner: &self.owner, number: self.number }, self.last + 1);
        let mut bytes = Vec::new();
        place.write(self.end as usize, seq, self.synced + 1, record, &mut bytes);
        if let Err((count, error)) = write(&mut self.disk, &mut self.file, &bytes) {
            let error = told("append", error);
            // No space and nothing written: the place is as good as before. Of other errors nobody says what they left.
            self.torn = count > 0 || !matches!(error, StoreError::Full);
            return Err(error);
        }
        self.end += bytes.len() as u64;
        (self.last, self.fresh) = (seq, true);
        Ok(Seq(seq))
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        self.trusted()?;
        if self.fresh {
            if let Err(error) = self.disk.sync(&mut self.file) {
                return self.doubt("sync", &error);
            }
            self.fresh = false;
        }
        self.synced = self.last;
        Ok(())
    }

    fn snapshot(&mut self, covers: Seq, state: &[u8]) -> Result<(), StoreError> {
        self.trusted()?;
        if state.len() > RECORD_MAX_BYTES {
            return Err(StoreError::TooLarge { size: state.len() });
        }
        if covers.0 > self.last || covers.0 < self.covers {
            return Err(wrong("a snapshot covers what was appended, and no less than the one before"));
        }
        self.sync()?;
        let (id, old) = (self.next, self.snapshot);
        let name = snapshot_name(id);
        let bytes = write_snapshot(&self.owner, id, covers.0, state);
        let made = self.disk.create(&name).and_then(|mut file| {
            write(&mut self.disk, &mut file, &bytes).map_err(|(_, error)| error)?;
            Ok(file)
        });
        let done = match made {
            Ok(mut file) => match self.disk.sync(&mut file) {
                // From the new segment's head on it holds.
                Ok(()) => self.follow(id),
                Err(error) => self.doubt("a snapshot's sync", &error),
            },
            Err(error) => Err(told("snapshot", error)),
        };
        if let Err(error) = done {
            // Where the segment's head may be on the disk, the file stays: the head names it.
            if self.doubt.is_none() && self.disk.remove(&name).is_err() {
                self.next = self.next.max(id + 1);
            }
            return Err(error);
        }
        self.covers = covers.0;
        self.drop_covered(old);
        Ok(())
    }

    fn last(&self) -> Seq {
        Seq(self.last)
    }
}

impl<D: Disk> Log<D> {
    /// Removes what the snapshot covers, oldest first, and the one before it. What stays by an error goes at the next
    /// opening.
    fn drop_covered(&mut self, old: u64) {
        let firsts = self.older.iter().skip(1).map(|(_, first)| *first).chain([self.first]);
        let gone = firsts.take_while(|next| *next <= self.covers + 1).count();
        for (number, _) in self.older.drain(..gone) {
            let _ = self.disk.remove(&segment_name(number));
        }
        if old != 0 {
            let _ = self.disk.remove(&snapshot_name(old));
        }
    }
}
