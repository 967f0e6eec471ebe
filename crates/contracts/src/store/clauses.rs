//! The clauses, one by one.

use magpietally_store::{Recovered, Seq, Store, StoreError, RECORD_MAX_BYTES};

use super::script::{check_records, run_script, violation, OrViolation, Step};
use super::{Clause, MediumFault, StoreMedium, Violation};

/// Plays a clause; whether its trouble could be played.
type ClauseCheck = fn() -> Result<bool, Violation>;

/// A place, the store on it, and what was appended.
type FilledMedium<M> = (M, <M as StoreMedium>::Store, Vec<Vec<u8>>);

/// Holds a store to every clause that its place can play, and says which those are.
///
/// # Errors
/// The first clause that is broken.
pub fn check<M: StoreMedium>() -> Result<Vec<Clause>, Violation> {
    let mut held = Vec::new();
    // The quick ones first.
    let clauses: [(Clause, ClauseCheck); 13] = [
        (Clause::OversizedRefusedWhole, oversized::<M>),
        (Clause::EmptyIsARecord, empty::<M>),
        (Clause::OrderWithoutGap, order::<M>),
        (Clause::NumbersGoOn, numbers::<M>),
        (Clause::OneOpens, one_opens::<M>),
        (Clause::MissingIsSaid, missing::<M>),
        (Clause::ReadOnlyIsSaid, read_only::<M>),
        (Clause::TornTailCutAndSaid, torn::<M>),
        (Clause::SyncedOutlivesCrash, crash::<M>),
        (Clause::SnapshotWholeOrNothing, snapshot::<M>),
        (Clause::FullRefusesAndGoesOn, full::<M>),
        (Clause::DoubtUntilOpened, doubt::<M>),
        (Clause::FlippedBitFound, flipped::<M>),
    ];
    for (clause, played) in clauses {
        if played()? {
            held.push(clause);
        }
    }
    Ok(held)
}

/// Records of different sizes, each with bytes of its own.
fn record(n: usize) -> Vec<u8> {
    (0..n * 13 % 90).map(|k| (n * 31 + k * 7) as u8).collect()
}

fn filled_medium<M: StoreMedium>(clause: Clause, records: usize) -> Result<FilledMedium<M>, Violation> {
    let medium = M::new_empty();
    let (mut store, got) = medium.open().or_violation(clause, "opening a new store")?;
    if got != Recovered::default() {
        return violation(clause, format!("a new store gave {got:?}"));
    }
    let all: Vec<_> = (1..=records).map(record).collect();
    for record in &all {
        store.append(record).or_violation(clause, "append")?;
    }
    store.sync().or_violation(clause, "sync")?;
    Ok((medium, store, all))
}

fn reopen<M: StoreMedium>(clause: Clause, medium: &M, all: &[Vec<u8>]) -> Result<M::Store, Violation> {
    let (store, got) = medium.open().or_violation(clause, "opening it again")?;
    let last = check_records(clause, &got, all)?;
    if last != all.len() as u64 {
        return violation(clause, format!("{last} records, promised were {}", all.len()));
    }
    Ok(store)
}

fn oversized<M: StoreMedium>() -> Result<bool, Violation> {
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

fn empty<M: StoreMedium>() -> Result<bool, Violation> {
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

fn order<M: StoreMedium>() -> Result<bool, Violation> {
    let clause = Clause::OrderWithoutGap;
    let (medium, store, all) = filled_medium::<M>(clause, 40)?;
    drop(store);
    for _ in 0..3 {
        reopen(clause, &medium, &all)?;
    }
    Ok(true)
}

fn numbers<M: StoreMedium>() -> Result<bool, Violation> {
    let clause = Clause::NumbersGoOn;
    let (medium, mut store, all) = filled_medium::<M>(clause, 5)?;
    let next = |store: &mut M::Store, wanted: u64| {
        let before = store.last();
        let seq = store.append(b"n").or_violation(clause, "append")?;
        store.sync().or_violation(clause, "sync")?;
        if (before, seq, store.last()) != (Seq(wanted - 1), Seq(wanted), Seq(wanted)) {
            return violation(clause, format!("{seq:?} behind {before:?}, wanted was {wanted}"));
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

fn one_opens<M: StoreMedium>() -> Result<bool, Violation> {
    let clause = Clause::OneOpens;
    let (medium, store, all) = filled_medium::<M>(clause, 3)?;
    match medium.open() {
        Err(StoreError::Locked(_)) => {}
        Err(other) => return violation(clause, format!("a second opening: {other}")),
        Ok(_) => return violation(clause, "two have it open"),
    }
    drop(store);
    reopen(clause, &medium, &all)?;
    Ok(true)
}

fn missing<M: StoreMedium>() -> Result<bool, Violation> {
    let clause = Clause::MissingIsSaid;
    let medium = M::new_empty();
    if !medium.inject_fault(MediumFault::Missing) {
        return Ok(false);
    }
    match medium.open() {
        Err(StoreError::MissingDirectory(_)) => Ok(true),
        Err(other) => violation(clause, format!("said was: {other}")),
        Ok(_) => violation(clause, "it opened"),
    }
}

fn read_only<M: StoreMedium>() -> Result<bool, Violation> {
    let clause = Clause::ReadOnlyIsSaid;
    let (medium, store, all) = filled_medium::<M>(clause, 2)?;
    drop(store);
    if !medium.inject_fault(MediumFault::ReadOnly) {
        return Ok(false);
    }
    match medium.open() {
        Err(StoreError::ReadOnly) => {}
        Err(other) => return violation(clause, format!("said was: {other}")),
        Ok(_) => return violation(clause, "it opened"),
    }
    medium.clear_faults();
    reopen(clause, &medium, &all)?;
    Ok(true)
}

fn torn<M: StoreMedium>() -> Result<bool, Violation> {
    let clause = Clause::TornTailCutAndSaid;
    let (medium, mut store, mut all) = filled_medium::<M>(clause, 3)?;
    medium.mark(1);
    all.push(vec![0xA5; 50]);
    store.append(&all[3]).or_violation(clause, "append")?;
    let mut torn = 0;
    medium.visit_torn_writes(&mut |image| {
        torn += usize::from(image.torn);
        let at = &image.description;
        let (store, got) = image.medium.open().or_violation(clause, at)?;
        let last = check_records(clause, &got, &all)?;
        if last < 3 || (image.torn && last > 3) {
            return violation(clause, format!("{at}: {last} records, three were promised"));
        }
        if image.torn != got.torn_tail.is_some() {
            return violation(clause, format!("{at}: torn is {}, said was {:?}", image.torn, got.torn_tail));
        }
        drop(store);
        let (_, again) = image.medium.open().or_violation(clause, at)?;
        if again.torn_tail.is_some() || again.records != got.records {
            return violation(clause, format!("{at}: opened again it gave {again:?}"));
        }
        Ok(())
    })?;
    if torn == 0 {
        return violation(clause, "the medium tore nothing");
    }
    Ok(true)
}

/// Space for this many bytes more is tried, each number: more than a record with its head needs, and a segment's.
const FREE_BYTES_END: usize = 260;

fn full<M: StoreMedium>() -> Result<bool, Violation> {
    let clause = Clause::FullRefusesAndGoesOn;
    for free_bytes in 0..FREE_BYTES_END {
        let (medium, mut store, mut all) = filled_medium::<M>(clause, 3)?;
        if !medium.inject_fault(MediumFault::Full { free_bytes }) {
            return Ok(false);
        }
        let wanted = vec![0x3C; 100];
        let mut refused = 0;
        // Small steps at the end, so that each number of bytes is left at some time; and once more when it was refused.
        while refused < 2 {
            match store.append(&wanted) {
                Ok(_) => all.push(wanted.clone()),
                Err(StoreError::Full) => refused += 1,
                Err(other) => return violation(clause, format!("room for {free_bytes}: {other}")),
            }
            if all.len() > 3 + FREE_BYTES_END / wanted.len() {
                return violation(clause, format!("room for {free_bytes}: it took {} records", all.len()));
            }
        }
        match store.snapshot(Seq(2), &[1; 4 * FREE_BYTES_END]) {
            Err(StoreError::Full) => {}
            other => return violation(clause, format!("room for {free_bytes}: a snapshot: {other:?}")),
        }
        store.sync().or_violation(clause, "a sync of what was taken")?;
        // What a crash now leaves has all that was promised and nothing of what was refused.
        drop(reopen(clause, &medium.after_process_kill(), &all)?);
        medium.clear_faults();
        all.push(b"there is space".to_vec());
        let seq =
            store.append(&all[all.len() - 1]).or_violation(clause, "append when there is space again")?;
        if seq != Seq(all.len() as u64) {
            return violation(clause, format!("room for {free_bytes}: {seq:?} for record {}", all.len()));
        }
        store.sync().or_violation(clause, "sync")?;
        drop(reopen(clause, &medium.after_process_kill(), &all)?);
        drop(store);
        reopen(clause, &medium, &all)?;
    }
    Ok(true)
}

fn doubt<M: StoreMedium>() -> Result<bool, Violation> {
    let clause = Clause::DoubtUntilOpened;
    let (medium, mut store, mut all) = filled_medium::<M>(clause, 3)?;
    all.push(record(4));
    store.append(&all[3]).or_violation(clause, "append")?;
    if !medium.inject_fault(MediumFault::SyncFails) {
        return Ok(false);
    }
    let expect_reopen_required = |what: &str, got: Result<(), StoreError>| match got {
        Err(StoreError::ReopenRequired(_)) => Ok(()),
        other => violation(clause, format!("{what}: {other:?}")),
    };
    expect_reopen_required("the sync that fails", store.sync())?;
    medium.clear_faults();
    expect_reopen_required("a sync after it", store.sync())?;
    expect_reopen_required("an append after it", store.append(b"x").map(drop))?;
    expect_reopen_required("a snapshot after it", store.snapshot(Seq(3), b"x"))?;
    drop(store);
    // What it gives out now is promised, whatever the failed sync image.
    let (store, got) = medium.open().or_violation(clause, "opening it again")?;
    let last = check_records(clause, &got, &all)?;
    if last < 3 {
        return violation(clause, format!("{last} records, three were promised"));
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
                format!("{}: {kept} records, given out were {last}", image.description),
            );
        }
        Ok(())
    })?;
    Ok(true)
}

fn flipped<M: StoreMedium>() -> Result<bool, Violation> {
    for (again, covered) in [(false, false), (true, false), (false, true)] {
        flipped_once::<M>(again, covered)?;
    }
    Ok(true)
}

/// With the store as it was left, or opened `again` since, or all of it `covered` by a snapshot.
fn flipped_once<M: StoreMedium>(again: bool, covered: bool) -> Result<(), Violation> {
    let clause = Clause::FlippedBitFound;
    let (medium, mut store, mut all) = filled_medium::<M>(clause, 4)?;
    store.snapshot(Seq(3), b"the state of three").or_violation(clause, "snapshot")?;
    for n in 5..=7 {
        // Short, so that they lie in one file, the later ones behind the earlier.
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
    let (_, whole) = medium.after_process_kill().open().or_violation(clause, "opening it unharmed")?;
    let mut flips = 0;
    medium.visit_bit_flips(&mut |image| {
        flips += 1;
        let at = &image.description;
        let got = match image.medium.open() {
            Err(StoreError::Corrupted { .. }) => return Ok(()),
            Err(other) => return violation(clause, format!("{at}: {other}")),
            Ok((_, got)) => got,
        };
        let last = check_records(clause, &got, &all)
            .map_err(|b| Violation { detail: format!("{at}: {}", b.detail), ..b })?;
        if got.snapshot.is_some() && got.snapshot != whole.snapshot {
            return violation(clause, format!("{at}: an altered snapshot"));
        }
        // Nothing can tell the flip of the very last from a tear, but it must be said.
        let expected_min = all.len() as u64 - u64::from(got.torn_tail.is_some());
        if last < expected_min {
            return violation(
                clause,
                format!("{at}: {last} of {} records, said was {:?}", all.len(), got.torn_tail),
            );
        }
        Ok(())
    })?;
    if flips == 0 {
        return violation(clause, "the medium flipped nothing");
    }
    Ok(())
}

fn crash<M: StoreMedium>() -> Result<bool, Violation> {
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
