//! Deliberately broken stores: the suite must report the clause that each of them violates.

use std::io;

use magpietally_contracts::store::media::{
    inject_sim_fault, visit_sim_bit_flips, visit_sim_crashes, visit_sim_torn_writes,
};
use magpietally_contracts::store::{check, Clause, CrashVisitor, MediumFault, StoreMedium, Violation};
use magpietally_store::disk::{Disk, LockError};
use magpietally_store::sim::{SimDisk, SimFile};
use magpietally_store::{Log, Recovered, Seq, Store, StoreError, RECORD_MAX_BYTES};

const ACKNOWLEDGES_BEFORE_SYNC: usize = 0;
const HIDES_TORN_TAIL: usize = 1;
const OMITS_A_RECORD: usize = 2;
const DELETES_BEFORE_SNAPSHOT: usize = 3;
const ALLOWS_TWO_OPENS: usize = 4;
const TRUNCATES_OVERSIZED: usize = 5;
const RESTARTS_NUMBERING: usize = 6;
const RETURNS_FLIPPED_RECORD: usize = 7;
const ACCEPTS_SECOND_SYNC: usize = 8;
const ACCEPTS_ON_FULL_DISK: usize = 9;
const OPENS_MISSING_DIRECTORY: usize = 10;
const SKIPS_EMPTY_RECORDS: usize = 11;
const HIDES_READ_ONLY: usize = 12;
const SKIPS_DIRECTORY_SYNC: usize = 13;

/// A disk under the store with injected faults.
struct FaultyDisk<const FAULT: usize>(SimDisk);

impl<const FAULT: usize> Disk for FaultyDisk<FAULT> {
    type File = SimFile;
    type Lock = Option<<SimDisk as Disk>::Lock>;

    fn lock(&mut self) -> Result<Self::Lock, LockError> {
        match self.0.lock() {
            Err(LockError::Locked(_)) if FAULT == ALLOWS_TWO_OPENS => Ok(None),
            Err(LockError::Io(..)) if FAULT == OPENS_MISSING_DIRECTORY => Ok(None),
            other => other.map(Some),
        }
    }

    fn create(&mut self, name: &str) -> io::Result<SimFile> {
        if FAULT == DELETES_BEFORE_SNAPSHOT && name.starts_with("snapshot") {
            for old in self.0.file_names()? {
                let _ = self.0.remove(&old);
            }
        }
        let error = |e| if FAULT == HIDES_READ_ONLY { io::Error::other(e) } else { e };
        self.0.create(name).map_err(error)
    }

    fn append(&mut self, file: &mut SimFile, bytes: &[u8]) -> io::Result<usize> {
        self.0.append(file, bytes)
    }

    fn sync(&mut self, file: &mut SimFile) -> io::Result<()> {
        if FAULT == ACKNOWLEDGES_BEFORE_SYNC {
            return Ok(());
        }
        self.0.sync(file)
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        if FAULT == SKIPS_DIRECTORY_SYNC {
            return Ok(());
        }
        self.0.sync_directory()
    }

    fn file_names(&mut self) -> io::Result<Vec<String>> {
        self.0.file_names()
    }

    fn read(&mut self, name: &str, from: u64, to: &mut [u8]) -> io::Result<usize> {
        self.0.read(name, from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.0.remove(name)
    }
}

struct FaultyStore<const FAULT: usize> {
    log: Log<FaultyDisk<FAULT>>,
    number_offset: u64,
    sync_failed: bool,
}

impl<const FAULT: usize> Store for FaultyStore<FAULT> {
    fn append(&mut self, record: &[u8]) -> Result<Seq, StoreError> {
        let record = match FAULT {
            TRUNCATES_OVERSIZED => &record[..record.len().min(RECORD_MAX_BYTES)],
            SKIPS_EMPTY_RECORDS if record.is_empty() => return Ok(Seq(self.log.last().0 + 1)),
            _ => record,
        };
        match self.log.append(record) {
            Ok(seq) if FAULT == RESTARTS_NUMBERING => Ok(Seq(seq.0 - self.number_offset)),
            Err(StoreError::Full) if FAULT == ACCEPTS_ON_FULL_DISK => Ok(Seq(self.log.last().0 + 1)),
            other => other,
        }
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        let failed_before = std::mem::replace(&mut self.sync_failed, true);
        match self.log.sync() {
            Err(StoreError::ReopenRequired(_)) if FAULT == ACCEPTS_SECOND_SYNC && failed_before => Ok(()),
            other => {
                self.sync_failed = other.is_err();
                other
            }
        }
    }

    fn snapshot(&mut self, covers: Seq, state: &[u8]) -> Result<(), StoreError> {
        self.log.snapshot(covers, state)
    }

    fn last(&self) -> Seq {
        Seq(self.log.last().0 - self.number_offset)
    }
}

#[derive(Clone, Default)]
struct FaultyMedium<const FAULT: usize>(SimDisk);

impl<const FAULT: usize> StoreMedium for FaultyMedium<FAULT> {
    type Store = FaultyStore<FAULT>;

    fn new_empty() -> Self {
        Self::default()
    }

    fn open(&self) -> Result<(FaultyStore<FAULT>, Recovered), StoreError> {
        let (log, mut recovered) =
            match Log::open_with_segment_bytes(FaultyDisk(self.0.clone()), "node-1", 200) {
                Err(StoreError::Corrupted { .. }) if FAULT == RETURNS_FLIPPED_RECORD => {
                    // Behaves like a store without checksums, which returns whatever is on the disk.
                    let (log, mut recovered) =
                        Log::open_with_segment_bytes(FaultyDisk(SimDisk::default()), "node-1", 200)?;
                    recovered.records.push((Seq(1), b"altered".to_vec()));
                    (log, recovered)
                }
                other => other?,
            };
        match FAULT {
            HIDES_TORN_TAIL => recovered.torn_tail = None,
            OMITS_A_RECORD if recovered.records.len() > 20 => drop(recovered.records.remove(10)),
            _ => {}
        }
        let number_offset = if FAULT == RESTARTS_NUMBERING { log.last().0 } else { 0 };
        Ok((FaultyStore { log, number_offset, sync_failed: false }, recovered))
    }

    fn mark(&self, label: usize) {
        self.0.mark(label);
    }

    fn visit_crashes(&self, visit: &mut CrashVisitor<'_, Self>) -> Result<(), Violation> {
        visit_sim_crashes(&self.0.ops(), Self, visit)
    }

    fn visit_torn_writes(&self, visit: &mut CrashVisitor<'_, Self>) -> Result<(), Violation> {
        visit_sim_torn_writes(&self.0.ops(), Self, visit)
    }

    fn visit_bit_flips(&self, visit: &mut CrashVisitor<'_, Self>) -> Result<(), Violation> {
        visit_sim_bit_flips(&self.0, Self, visit)
    }

    fn after_process_kill(&self) -> Self {
        Self(SimDisk::with_files(self.0.files()))
    }

    fn inject_fault(&self, fault: MediumFault) -> bool {
        inject_sim_fault(&self.0, fault);
        true
    }

    fn clear_faults(&self) {
        self.0.repair();
    }
}

/// No fault has this number.
const NO_FAULT: usize = usize::MAX;

#[test]
fn the_same_store_without_a_fault_holds_every_clause() {
    assert_eq!(check::<FaultyMedium<NO_FAULT>>().map(|clauses| clauses.len()), Ok(13));
}

macro_rules! caught {
    ($($name:ident: $fault:ident by $clause:ident;)*) => {$(
        #[test]
        fn $name() {
            let violation = check::<FaultyMedium<$fault>>().expect_err("it is broken");
            assert_eq!(violation.clause, Clause::$clause, "{violation}");
        }
    )*};
}

caught! {
    one_that_leaves_a_gap_is_caught: OMITS_A_RECORD by OrderWithoutGap;
    one_that_forgets_numbers_is_caught: RESTARTS_NUMBERING by NumbersGoOn;
    one_that_cuts_the_oversized_is_caught: TRUNCATES_OVERSIZED by OversizedRefusedWhole;
    one_that_skips_empty_records_is_caught: SKIPS_EMPTY_RECORDS by EmptyIsARecord;
    one_that_lets_two_open_it_is_caught: ALLOWS_TWO_OPENS by OneOpens;
    one_that_opens_what_is_missing_is_caught: OPENS_MISSING_DIRECTORY by MissingIsSaid;
    one_that_hides_a_read_only_disk_is_caught: HIDES_READ_ONLY by ReadOnlyIsSaid;
    one_that_ignores_a_torn_tail_is_caught: HIDES_TORN_TAIL by TornTailCutAndSaid;
    one_that_takes_what_a_full_disk_refused_is_caught: ACCEPTS_ON_FULL_DISK by FullRefusesAndGoesOn;
    one_that_trusts_a_second_sync_is_caught: ACCEPTS_SECOND_SYNC by DoubtUntilOpened;
    one_that_gives_out_a_flipped_record_is_caught: RETURNS_FLIPPED_RECORD by FlippedBitFound;
    one_that_acknowledges_before_its_sync_is_caught: ACKNOWLEDGES_BEFORE_SYNC by SyncedOutlivesCrash;
    one_that_does_not_sync_names_is_caught: SKIPS_DIRECTORY_SYNC by SyncedOutlivesCrash;
    one_that_drops_records_before_the_snapshot_is_whole_is_caught: DELETES_BEFORE_SNAPSHOT by SnapshotWholeOrNothing;
}
