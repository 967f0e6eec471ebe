//! The checks of the individual clauses.

use magpietally_store::{Recovered, Seq, Store, StoreError, RECORD_MAX_BYTES};

use super::script::{check_records, run_script, violation, OrViolation, Step};
use super::{Clause, MediumFault, StoreMedium, Violation};

/// Checks one clause; returns whether the medium could inject the fault that it needs.
type ClauseCheck = fn() -> Result<bool, Violation>;

/// A medium, the store on it, and the appended records.
type FilledMedium<M> = (M, <M as StoreMedium>::Store, Vec<Vec<u8>>);

/// Checks a store against every clause that its medium can test, and returns those clauses.
///
/// # Errors
/// The first violated clause.
pub fn check<M: StoreMedium>() -> Result<Vec<Clause>, Violation> {
    let mut passed = Vec::new();
    // The fast ones come first.
    let clauses: [(Clause, ClauseCheck); 13] = [
        (Clause::OversizedRefusedWhole, oversized_record::<M>),
        (Clause::EmptyIsARecord, empty_record::<M>),
        (Clause::OrderWithoutGap, record_order::<M>),
        (Clause::NumbersGoOn, sequence_numbers::<M>),
        (Clause::OneOpens, exclusive_open::<M>),
        (Clause::MissingIsSaid, missing_directory::<M>),
        (Clause::ReadOnlyIsSaid, read_only_directory::<M>),
        (Clause::TornTailCutAndSaid, torn_tail::<M>),
        (Clause::SyncedOutlivesCrash, crash_recovery::<M>),
        (Clause::SnapshotWholeOrNothing, snapshot::<M>),
        (Clause::FullRefusesAndGoesOn, full_disk::<M>),
        (Clause::DoubtUntilOpened, failed_sync::<M>),
        (Clause::FlippedBitFound, bit_flips::<M>),
    ];
    for (clause, check) in clauses {
        if check()? {
            passed.push(clause);
        }
    }
    Ok(passed)
}

/// Records of different sizes and contents.
fn record(n: usize) -> Vec<u8> {
    (0..n * 13 % 90).map(|k| (n * 31 + k * 7) as u8).collect()
}

fn filled_medium<M: StoreMedium>(clause: Clause, records: usize) -> Result<FilledMedium<M>, Violation> {
    let medium = M::new_empty();
    let (mut store, recovered) = medium.open().or_violation(clause, "opening a new store")?;
    if recovered != Recovered::default() {
        return violation(clause, format!("a new store returned {recovered:?}"));
    }
    let all: Vec<_> = (1..=records).map(record).collect();
    for record in &all {
        store.append(record).or_violation(clause, "append")?;
    }
    store.sync().or_violation(clause, "sync")?;
    Ok((medium, store, all))
}

fn reopen<M: StoreMedium>(clause: Clause, medium: &M, all: &[Vec<u8>]) -> Result<M::Store, Violation> {
    let (store, recovered) = medium.open().or_violation(clause, "opening it again")?;
    let last = check_records(clause, &recovered, all)?;
    if last != all.len() as u64 {
        return violation(clause, format!("{last} records, {} were durable", all.len()));
    }
    Ok(store)
}

fn oversized_record<M: StoreMedium>() -> Result<bool, Violation> {
    let clause = Clause::OversizedRefusedWhole;
    let (medium, mut store, mut all) = filled_medium::<M>(clause, 2)?;
    let large = vec![7; RECORD_MAX_BYTES + 1];
    match store.append(&large) {
        Err(StoreError::TooLarge { size }) if size == large.len() => {}
        other => return violation(clause, format!("{} bytes: {other:?}", large.len())),
    }
    match store.snapshot(Seq(1), &large) {
        Err(StoreError::TooLarge { .. }) => {}
        other => return violation(clause, format!("a snapshot of {} bytes: {other:?}", large.len())),
    }
    all.push(large[1..].to_vec());
    store.append(&large[1..]).or_violation(clause, "the largest")?;
    store.sync().or_violation(clause, "sync")?;
    drop(store);
    reopen(clause, &medium, &all)?;
    Ok(true)
}

fn empty_record<M: StoreMedium>() -> Result<bool, Violation> {
    let clause = Clause::EmptyIsARecord;
    let (medium, mut store, mut all) = filled_medium::<M>(clause, 1)?;
    for n in 2..=4 {
        let seq = store.append(&[]).or_violation(clause, "append")?;
        if seq != Seq(n) {
            return violation(clause, format!("{seq:?} for record {n}"));
        }
        all.push(Vec::new());
    }
    store.sync().or_violation(clause, "sync")?;
    drop(store);
    reopen(clause, &medium, &all)?;
    Ok(true)
}

fn record_order<M: StoreMedium>() -> Result<bool, Violation> {
    let clause = Clause::OrderWithoutGap;
    let (medium, store, all) = filled_medium::<M>(clause, 40)?;
    drop(store);
    for _ in 0..3 {
        reopen(clause, &medium, &all)?;
    }
    Ok(true)
}

fn sequence_numbers<M: StoreMedium>() -> Result<bool, Violation> {
    let clause = Clause::NumbersGoOn;
    let (medium, mut store, all) = filled_medium::<M>(clause, 5)?;
    let next = |store: &mut M::Store, wanted: u64| {
        let before = store.last();
        let seq = store.append(b"n").or_violation(clause, "append")?;
        store.sync().or_violation(clause, "sync")?;
        if (before, seq, store.last()) != (Seq(wanted - 1), Seq(wanted), Seq(wanted)) {
            return violation(clause, format!("{seq:?} after {before:?}, expected {wanted}"));
        }
        Ok(())
    };
    drop(store);
    store = reopen(clause, &medium, &all)?;
    next(&mut store, 6)?;
    store.snapshot(Seq(6), b"six").or_violation(clause, "snapshot")?;
    next(&mut store, 7)?;
    store.snapshot(Seq(7), b"seven").or_violation(clause, "snapshot")?;
    drop(store);
    // Nothing is left but the snapshot.
    let (mut store, _) = medium.open().or_violation(clause, "opening it again")?;
    next(&mut store, 8)?;
    Ok(true)
}

fn exclusive_open<M: StoreMedium>() -> Result<bool, Violation> {
    let clause = Clause::OneOpens;
    let (medium, store, all) = filled_medium::<M>(clause, 3)?;
    match medium.open() {
        Err(StoreError::Locked(_)) => {}
        Err(other) => return violation(clause, format!("opening the store twice: {other}")),
        Ok(_) => return violation(clause, "the store was opened twice"),
    }
    drop(store);
    reopen(clause, &medium, &all)?;
    Ok(true)
}

fn missing_directory<M: StoreMedium>() -> Result<bool, Violation> {
    let clause = Clause::MissingIsSaid;
    let medium = M::new_empty();
    if !medium.inject_fault(MediumFault::Missing) {
        return Ok(false);
    }
    match medium.open() {
        Err(StoreError::MissingDirectory(_)) => Ok(true),
        Err(other) => violation(clause, format!("reported: {other}")),
        Ok(_) => violation(clause, "the store opened"),
    }
}

fn read_only_directory<M: StoreMedium>() -> Result<bool, Violation> {
    let clause = Clause::ReadOnlyIsSaid;
    let (medium, store, all) = filled_medium::<M>(clause, 2)?;
    drop(store);
    if !medium.inject_fault(MediumFault::ReadOnly) {
        return Ok(false);
    }
    match medium.open() {
        Err(StoreError::ReadOnly) => {}
        Err(other) => return violation(clause, format!("reported: {other}")),
        Ok(_) => return violation(clause, "the store opened"),
    }
    medium.clear_faults();
    reopen(clause, &medium, &all)?;
    Ok(true)
}

fn torn_tail<M: StoreMedium>() -> Result<bool, Violation> {
    let clause = Clause::TornTailCutAndSaid;
    let (medium, mut store, mut all) = filled_medium::<M>(clause, 3)?;
    medium.mark(1);
    all.push(vec![0xA5; 50]);
    store.append(&all[3]).or_violation(clause, "append")?;
    let mut torn = 0;
    medium.visit_torn_writes(&mut |image| {
        torn += usize::from(image.torn);
        let at = &image.description;
        let (store, recovered) = image.medium.open().or_violation(clause, at)?;
        let last = check_records(clause, &recovered, &all)?;
        if last < 3 || (image.torn && last > 3) {
            return violation(clause, format!("{at}: {last} records, three were durable"));
        }
        if image.torn != recovered.torn_tail.is_some() {
            return violation(
                clause,
                format!("{at}: torn is {}, reported: {:?}", image.torn, recovered.torn_tail),
            );
        }
        drop(store);
        let (_, again) = image.medium.open().or_violation(clause, at)?;
        if again.torn_tail.is_some() || again.records != recovered.records {
            return violation(clause, format!("{at}: returned {again:?} when opened again"));
        }
        Ok(())
    })?;
    if torn == 0 {
        return violation(clause, "the medium produced no torn write");
    }
    Ok(true)
}

/// Every number of free bytes below this one is tried: more than a record with its header and a segment
/// header need.
const FREE_BYTES_END: usize = 260;

fn full_disk<M: StoreMedium>() -> Result<bool, Violation> {
    let clause = Clause::FullRefusesAndGoesOn;
    for free_bytes in 0..FREE_BYTES_END {
        let (medium, mut store, mut all) = filled_medium::<M>(clause, 3)?;
        if !medium.inject_fault(MediumFault::Full { free_bytes }) {
            return Ok(false);
        }
        let wanted = vec![0x3C; 100];
        let mut refused = 0;
        // The appends are repeated until two were refused, so that refusing an append once more is covered
        // too. Over all values of `free_bytes`, each number of remaining bytes occurs.
        while refused < 2 {
            match store.append(&wanted) {
                Ok(_) => all.push(wanted.clone()),
                Err(StoreError::Full) => refused += 1,
                Err(other) => return violation(clause, format!("{free_bytes} bytes free: {other}")),
            }
            if all.len() > 3 + FREE_BYTES_END / wanted.len() {
                return violation(
                    clause,
                    format!("{free_bytes} bytes free: it accepted {} records", all.len()),
                );
            }
        }
        match store.snapshot(Seq(2), &[1; 4 * FREE_BYTES_END]) {
            Err(StoreError::Full) => {}
            other => return violation(clause, format!("{free_bytes} bytes free: a snapshot: {other:?}")),
        }
        store.sync().or_violation(clause, "syncing the accepted records")?;
        // A crash now must leave everything that was durable and nothing of what was refused.
        drop(reopen(clause, &medium.after_process_kill(), &all)?);
        medium.clear_faults();
        all.push(b"there is space".to_vec());
        let seq =
            store.append(&all[all.len() - 1]).or_violation(clause, "appending when there is space again")?;
        if seq != Seq(all.len() as u64) {
            return violation(clause, format!("{free_bytes} bytes free: {seq:?} for record {}", all.len()));
        }
        store.sync().or_violation(clause, "sync")?;
        drop(reopen(clause, &medium.after_process_kill(), &all)?);
        drop(store);
        reopen(clause, &medium, &all)?;
    }
    Ok(true)
}

fn failed_sync<M: StoreMedium>() -> Result<bool, Violation> {
    let clause = Clause::DoubtUntilOpened;
    let (medium, mut store, mut all) = filled_medium::<M>(clause, 3)?;
    all.push(record(4));
    store.append(&all[3]).or_violation(clause, "append")?;
    if !medium.inject_fault(MediumFault::SyncFails) {
        return Ok(false);
    }
    let expect_reopen_required = |operation: &str, result: Result<(), StoreError>| match result {
        Err(StoreError::ReopenRequired(_)) => Ok(()),
        other => violation(clause, format!("{operation}: {other:?}")),
    };
    expect_reopen_required("the failing sync", store.sync())?;
    medium.clear_faults();
    expect_reopen_required("a sync after it", store.sync())?;
    expect_reopen_required("an append after it", store.append(b"x").map(drop))?;
    expect_reopen_required("a snapshot after it", store.snapshot(Seq(3), b"x"))?;
    drop(store);
    // What the reopened store returns is durable now, whatever the failed sync left.
    let (store, recovered) = medium.open().or_violation(clause, "opening it again")?;
    let last = check_records(clause, &recovered, &all)?;
    if last < 3 {
        return violation(clause, format!("{last} records, three were durable"));
    }
    medium.mark(1);
    drop(store);
    medium.visit_crashes(&mut |image| {
        let (_, after) = image.medium.open().or_violation(clause, &image.description)?;
        let kept = check_records(clause, &after, &all)?;
        let wanted = if image.last_mark == 1 { last } else { 0 };
        if kept < wanted {
            return violation(
                clause,
                format!("{}: {kept} records, {last} were returned before", image.description),
            );
        }
        Ok(())
    })?;
    Ok(true)
}

fn bit_flips<M: StoreMedium>() -> Result<bool, Violation> {
    for (again, covered) in [(false, false), (true, false), (false, true)] {
        check_bit_flips::<M>(again, covered)?;
    }
    Ok(true)
}

/// Checks the store as it was closed, or after it was opened `again`, or with all of it `covered` by a
/// snapshot.
fn check_bit_flips<M: StoreMedium>(again: bool, covered: bool) -> Result<(), Violation> {
    let clause = Clause::FlippedBitFound;
    let (medium, mut store, mut all) = filled_medium::<M>(clause, 4)?;
    store.snapshot(Seq(3), b"the state of three").or_violation(clause, "snapshot")?;
    for n in 5..=7 {
        // Short records, so that all are in one file and later records follow the flipped ones.
        all.push(vec![n as u8; 10]);
        store.append(&all[n - 1]).or_violation(clause, "append")?;
        store.sync().or_violation(clause, "sync")?;
    }
    if covered {
        store.snapshot(Seq(7), b"the state of seven").or_violation(clause, "snapshot")?;
    }
    drop(store);
    if again {
        reopen(clause, &medium, &all)?;
    }
    let (_, undamaged) = medium.after_process_kill().open().or_violation(clause, "opening it undamaged")?;
    let mut flips = 0;
    medium.visit_bit_flips(&mut |image| {
        flips += 1;
        let at = &image.description;
        let recovered = match image.medium.open() {
            Err(StoreError::Corrupted { .. }) => return Ok(()),
            Err(other) => return violation(clause, format!("{at}: {other}")),
            Ok((_, recovered)) => recovered,
        };
        let last = check_records(clause, &recovered, &all)
            .map_err(|b| Violation { detail: format!("{at}: {}", b.detail), ..b })?;
        if recovered.snapshot.is_some() && recovered.snapshot != undamaged.snapshot {
            return violation(clause, format!("{at}: an altered snapshot"));
        }
        // A flip in the very last record can't be distinguished from a torn write, but it must be reported.
        let expected_min = all.len() as u64 - u64::from(recovered.torn_tail.is_some());
        if last < expected_min {
            return violation(
                clause,
                format!("{at}: {last} of {} records, reported: {:?}", all.len(), recovered.torn_tail),
            );
        }
        Ok(())
    })?;
    if flips == 0 {
        return violation(clause, "the medium flipped no bit");
    }
    Ok(())
}

fn crash_recovery<M: StoreMedium>() -> Result<bool, Violation> {
    let mut steps = Vec::new();
    for n in 1..=12 {
        steps.push(Step::Append(record(n)));
        if n % 3 != 2 {
            steps.push(Step::Sync);
        }
        if n % 5 == 0 {
            steps.push(Step::Reopen);
        }
    }
    steps.push(Step::Reopen);
    run_script::<M>(Clause::SyncedOutlivesCrash, &steps)?;
    Ok(true)
}

fn snapshot<M: StoreMedium>() -> Result<bool, Violation> {
    let append = |n| Step::Append(record(n));
    let state = |n: u64, size: usize| Step::Snapshot(n, (0..size).map(|k| (k as u64 * n) as u8).collect());
    let steps = [
        append(1),
        append(2),
        append(3),
        Step::Sync,
        state(2, 150),
        append(4),
        append(5),
        state(5, 70),
        Step::Reopen,
        state(5, 20),
        append(6),
        Step::Sync,
        append(7),
        Step::Reopen,
        Step::Reopen,
        state(6, 0),
        append(8),
        Step::Sync,
    ];
    run_script::<M>(Clause::SnapshotWholeOrNothing, &steps)?;
    Ok(true)
}
