//! Stores that are broken on purpose: the suite names the clause that each of them breaks.

use std::io;

use magpietally_contracts::store::media::{
    inject_sim_fault, visit_sim_bit_flips, visit_sim_crashes, visit_sim_torn_writes,
};
use magpietally_contracts::store::{check, Clause, CrashVisitor, MediumFault, StoreMedium, Violation};
use magpietally_store::disk::{Disk, LockError};
use magpietally_store::sim::{SimDisk, SimFile};
use magpietally_store::{Log, Recovered, Seq, Store, StoreError, RECORD_MAX_BYTES};

const ACKNOWLEDGES_BEFORE_SYNC: usize = 0;
const IGNORES_A_TORN_TAIL: usize = 1;
const LEAVES_A_GAP: usize = 2;
const DROPS_BEFORE_THE_SNAPSHOT: usize = 3;
const LETS_TWO_OPEN: usize = 4;
const CUTS_THE_OVERSIZED: usize = 5;
const FORGETS_NUMBERS: usize = 6;
const GIVES_OUT_A_FLIPPED_RECORD: usize = 7;
const TRUSTS_A_SECOND_SYNC: usize = 8;
const TAKES_WHAT_A_FULL_DISK_REFUSED: usize = 9;
const MAKES_WHAT_IS_MISSING: usize = 10;
const SKIPS_EMPTY_RECORDS: usize = 11;
const HIDES_A_READ_ONLY_DISK: usize = 12;
const NAMES_NOT_SYNCED: usize = 13;

/// A disk with faults of its own under the store.
struct FaultyDisk<const FAULT: usize>(SimDisk);

impl<const FAULT: usize> Disk for FaultyDisk<FAULT> {
    type File = SimFile;
    type Lock = Option<<SimDisk as Disk>::Lock>;

    fn lock(&mut self) -> Result<Self::Lock, LockError> {
        match self.0.lock() {
            Err(LockError::Locked(_)) if FAULT == LETS_TWO_OPEN => Ok(None),
            Err(LockError::Io(..)) if FAULT == MAKES_WHAT_IS_MISSING => Ok(None),
            other => other.map(Some),
        }
    }

    fn create(&mut self, name: &str) -> io::Result<SimFile> {
        if FAULT == DROPS_BEFORE_THE_SNAPSHOT && name.starts_with("snapshot") {
            for old in self.0.file_names()? {
                let _ = self.0.remove(&old);
            }
        }
        let error = |e| if FAULT == HIDES_A_READ_ONLY_DISK { io::Error::other(e) } else { e };
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
        if FAULT == NAMES_NOT_SYNCED {
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
    before: u64,
    sync_failed: bool,
}

impl<const FAULT: usize> Store for FaultyStore<FAULT> {
    fn append(&mut self, record: &[u8]) -> Result<Seq, StoreError> {
        let record = match FAULT {
            CUTS_THE_OVERSIZED => &record[..record.len().min(RECORD_MAX_BYTES)],
            SKIPS_EMPTY_RECORDS if record.is_empty() => return Ok(Seq(self.log.last().0 + 1)),
            _ => record,
        };
        match self.log.append(record) {
            Ok(seq) if FAULT == FORGETS_NUMBERS => Ok(Seq(seq.0 - self.before)),
            Err(StoreError::Full) if FAULT == TAKES_WHAT_A_FULL_DISK_REFUSED => {
                Ok(Seq(self.log.last().0 + 1))
            }
            other => other,
        }
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        let was = std::mem::replace(&mut self.sync_failed, true);
        match self.log.sync() {
            Err(StoreError::ReopenRequired(_)) if FAULT == TRUSTS_A_SECOND_SYNC && was => Ok(()),
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
        Seq(self.log.last().0 - self.before)
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
        let (log, mut got) = match Log::open_with_segment_bytes(FaultyDisk(self.0.clone()), "node-1", 200) {
            Err(StoreError::Corrupted { .. }) if FAULT == GIVES_OUT_A_FLIPPED_RECORD => {
                // As a store without checksums does: what lies there is what it gives out.
                let (log, mut got) =
                    Log::open_with_segment_bytes(FaultyDisk(SimDisk::default()), "node-1", 200)?;
                got.records.push((Seq(1), b"altered".to_vec()));
                (log, got)
            }
            other => other?,
        };
        match FAULT {
            IGNORES_A_TORN_TAIL => got.torn_tail = None,
            LEAVES_A_GAP if got.records.len() > 20 => drop(got.records.remove(10)),
            _ => {}
        }
        let before = if FAULT == FORGETS_NUMBERS { log.last().0 } else { 0 };
        Ok((FaultyStore { log, before, sync_failed: false }, got))
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
const NONE: usize = usize::MAX;

#[test]
fn the_same_store_without_a_fault_holds_every_clause() {
    assert_eq!(check::<FaultyMedium<NONE>>().map(|held| held.len()), Ok(13));
}

macro_rules! caught {
    ($($name:ident: $fault:ident by $clause:ident;)*) => {$(
        #[test]
        fn $name() {
            let broken = check::<FaultyMedium<$fault>>().expect_err("it is broken");
            assert_eq!(broken.clause, Clause::$clause, "{broken}");
        }
    )*};
}

caught! {
    one_that_leaves_a_gap_is_caught: LEAVES_A_GAP by OrderWithoutGap;
    one_that_forgets_numbers_is_caught: FORGETS_NUMBERS by NumbersGoOn;
    one_that_cuts_the_oversized_is_caught: CUTS_THE_OVERSIZED by OversizedRefusedWhole;
    one_that_skips_empty_records_is_caught: SKIPS_EMPTY_RECORDS by EmptyIsARecord;
    one_that_lets_two_open_it_is_caught: LETS_TWO_OPEN by OneOpens;
    one_that_opens_what_is_missing_is_caught: MAKES_WHAT_IS_MISSING by MissingIsSaid;
    one_that_hides_a_read_only_disk_is_caught: HIDES_A_READ_ONLY_DISK by ReadOnlyIsSaid;
    one_that_ignores_a_torn_tail_is_caught: IGNORES_A_TORN_TAIL by TornTailCutAndSaid;
    one_that_takes_what_a_full_disk_refused_is_caught: TAKES_WHAT_A_FULL_DISK_REFUSED by FullRefusesAndGoesOn;
    one_that_trusts_a_second_sync_is_caught: TRUSTS_A_SECOND_SYNC by DoubtUntilOpened;
    one_that_gives_out_a_flipped_record_is_caught: GIVES_OUT_A_FLIPPED_RECORD by FlippedBitFound;
    one_that_acknowledges_before_its_sync_is_caught: ACKNOWLEDGES_BEFORE_SYNC by SyncedOutlivesCrash;
    one_that_does_not_sync_names_is_caught: NAMES_NOT_SYNCED by SyncedOutlivesCrash;
    one_that_drops_records_before_the_snapshot_is_whole_is_caught: DROPS_BEFORE_THE_SNAPSHOT by SnapshotWholeOrNothing;
}
