//! The clauses, one by one.

use magpietally_store::{Recovered, Seq, Store, StoreError, RECORD_MAX_BYTES};

use super::course::{broken, play, sound, OrBreaks, Step};
use super::{Broken, Clause, Place, Trouble};

/// Plays a clause; whether its trouble could be played.
type Play = fn() -> Result<bool, Broken>;

/// A place, the store on it, and what was appended.
type Filled<P> = (P, <P as Place>::Store, Vec<Vec<u8>>);

/// Holds a store to every clause that its place can play, and says which those are.
///
/// # Errors
/// The first clause that is broken.
pub fn check<P: Place>() -> Result<Vec<Clause>, Broken> {
    let mut held = Vec::new();
    // The quick ones first.
    let clauses: [(Clause, Play); 13] = [
        (Clause::OversizedRefusedWhole, oversized::<P>),
        (Clause::EmptyIsARecord, empty::<P>),
        (Clause::OrderWithoutGap, order::<P>),
        (Clause::NumbersGoOn, numbers::<P>),
        (Clause::OneOpens, one_opens::<P>),
        (Clause::MissingIsSaid, missing::<P>),
        (Clause::ReadOnlyIsSaid, read_only::<P>),
        (Clause::TornTailCutAndSaid, torn::<P>),
        (Clause::SyncedOutlivesCrash, crash::<P>),
        (Clause::SnapshotWholeOrNothing, snapshot::<P>),
        (Clause::FullRefusesAndGoesOn, full::<P>),
        (Clause::DoubtUntilOpened, doubt::<P>),
        (Clause::FlippedBitFound, flipped::<P>),
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

fn filled<P: Place>(clause: Clause, records: usize) -> Result<Filled<P>, Broken> {
    let place = P::fresh();
    let (mut store, got) = place.open().breaks(clause, "opening a new store")?;
    if got != Recovered::default() {
        return broken(clause, format!("a new store gave {got:?}"));
    }
    let all: Vec<_> = (1..=records).map(record).collect();
    for record in &all {
        store.append(record).breaks(clause, "append")?;
    }
    store.sync().breaks(clause, "sync")?;
    Ok((place, store, all))
}

fn opened<P: Place>(clause: Clause, place: &P, all: &[Vec<u8>]) -> Result<P::Store, Broken> {
    let (store, got) = place.open().breaks(clause, "opening it again")?;
    let last = sound(clause, &got, all)?;
    if last != all.len() as u64 {
        return broken(clause, format!("{last} records, promised were {}", all.len()));
    }
    Ok(store)
}

fn oversized<P: Place>() -> Result<bool, Broken> {
    let clause = Clause::OversizedRefusedWhole;
    let (place, mut store, mut all) = filled::<P>(clause, 2)?;
    let large = vec![7; RECORD_MAX_BYTES + 1];
    match store.append(&large) {
        Err(StoreError::TooLarge { size }) if size == large.len() => {}
        other => return broken(clause, format!("{} bytes: {other:?}", large.len())),
    }
    match store.snapshot(Seq(1), &large) {
        Err(StoreError::TooLarge { .. }) => {}
        other => return broken(clause, format!("a snapshot of {} bytes: {other:?}", large.len())),
    }
    all.push(large[1..].to_vec());
    store.append(&large[1..]).breaks(clause, "the largest")?;
    store.sync().breaks(clause, "sync")?;
    drop(store);
    opened(clause, &place, &all)?;
    Ok(true)
}

fn empty<P: Place>() -> Result<bool, Broken> {
    let clause = Clause::EmptyIsARecord;
    let (place, mut store, mut all) = filled::<P>(clause, 1)?;
    for n in 2..=4 {
        let seq = store.append(&[]).breaks(clause, "append")?;
        if seq != Seq(n) {
            return broken(clause, format!("{seq:?} for record {n}"));
        }
        all.push(Vec::new());
    }
    store.sync().breaks(clause, "sync")?;
    drop(store);
    opened(clause, &place, &all)?;
    Ok(true)
}

fn order<P: Place>() -> Result<bool, Broken> {
    let clause = Clause::OrderWithoutGap;
    let (place, store, all) = filled::<P>(clause, 40)?;
    drop(store);
    for _ in 0..3 {
        opened(clause, &place, &all)?;
    }
    Ok(true)
}

fn numbers<P: Place>() -> Result<bool, Broken> {
    let clause = Clause::NumbersGoOn;
    let (place, mut store, all) = filled::<P>(clause, 5)?;
    let next = |store: &mut P::Store, wanted: u64| {
        let before = store.last();
        let seq = store.append(b"n").breaks(clause, "append")?;
        store.sync().breaks(clause, "sync")?;
        if (before, seq, store.last()) != (Seq(wanted - 1), Seq(wanted), Seq(wanted)) {
            return broken(clause, format!("{seq:?} behind {before:?}, wanted was {wanted}"));
        }
        Ok(())
    };
    drop(store);
    store = opened(clause, &place, &all)?;
    next(&mut store, 6)?;
    store.snapshot(Seq(6), b"six").breaks(clause, "snapshot")?;
    next(&mut store, 7)?;
    store.snapshot(Seq(7), b"seven").breaks(clause, "snapshot")?;
    drop(store);
    // Nothing is left but the snapshot.
    let (mut store, _) = place.open().breaks(clause, "opening it again")?;
    next(&mut store, 8)?;
    Ok(true)
}

fn one_opens<P: Place>() -> Result<bool, Broken> {
    let clause = Clause::OneOpens;
    let (place, store, all) = filled::<P>(clause, 3)?;
    match place.open() {
        Err(StoreError::Locked(_)) => {}
        Err(other) => return broken(clause, format!("a second opening: {other}")),
        Ok(_) => return broken(clause, "two have it open"),
    }
    drop(store);
    opened(clause, &place, &all)?;
    Ok(true)
}

fn missing<P: Place>() -> Result<bool, Broken> {
    let clause = Clause::MissingIsSaid;
    let place = P::fresh();
    if !place.trouble(Trouble::Missing) {
        return Ok(false);
    }
    match place.open() {
        Err(StoreError::MissingDirectory(_)) => Ok(true),
        Err(other) => broken(clause, format!("said was: {other}")),
        Ok(_) => broken(clause, "it opened"),
    }
}

fn read_only<P: Place>() -> Result<bool, Broken> {
    let clause = Clause::ReadOnlyIsSaid;
    let (place, store, all) = filled::<P>(clause, 2)?;
    drop(store);
    if !place.trouble(Trouble::ReadOnly) {
        return Ok(false);
    }
    match place.open() {
        Err(StoreError::ReadOnly) => {}
        Err(other) => return broken(clause, format!("said was: {other}")),
        Ok(_) => return broken(clause, "it opened"),
    }
    place.repair();
    opened(clause, &place, &all)?;
    Ok(true)
}

fn torn<P: Place>() -> Result<bool, Broken> {
    let clause = Clause::TornTailCutAndSaid;
    let (place, mut store, mut all) = filled::<P>(clause, 3)?;
    place.mark(1);
    all.push(vec![0xA5; 50]);
    store.append(&all[3]).breaks(clause, "append")?;
    let mut torn = 0;
    place.tears(&mut |left| {
        torn += usize::from(left.torn);
        let at = &left.moment;
        let (store, got) = left.place.open().breaks(clause, at)?;
        let last = sound(clause, &got, &all)?;
        if last < 3 || (left.torn && last > 3) {
            return broken(clause, format!("{at}: {last} records, three were promised"));
        }
        if left.torn != got.torn_tail.is_some() {
            return broken(clause, format!("{at}: torn is {}, said was {:?}", left.torn, got.torn_tail));
        }
        drop(store);
        let (_, again) = left.place.open().breaks(clause, at)?;
        if again.torn_tail.is_some() || again.records != got.records {
            return broken(clause, format!("{at}: opened again it gave {again:?}"));
        }
        Ok(())
    })?;
    if torn == 0 {
        return broken(clause, "the place tore nothing");
    }
    Ok(true)
}

/// Space for this many bytes more is tried, each number: more than a record with its head needs, and a segment's.
const ROOM: usize = 260;

fn full<P: Place>() -> Result<bool, Broken> {
    let clause = Clause::FullRefusesAndGoesOn;
    for room in 0..ROOM {
        let (place, mut store, mut all) = filled::<P>(clause, 3)?;
        if !place.trouble(Trouble::Full { room }) {
            return Ok(false);
        }
        let wanted = vec![0x3C; 100];
        let mut refused = 0;
        // Small steps at the end, so that each number of bytes is left at some time; and once more when it was refused.
        while refused < 2 {
            match store.append(&wanted) {
                Ok(_) => all.push(wanted.clone()),
                Err(StoreError::Full) => refused += 1,
                Err(other) => return broken(clause, format!("room for {room}: {other}")),
            }
            if all.len() > 3 + ROOM / wanted.len() {
                return broken(clause, format!("room for {room}: it took {} records", all.len()));
            }
        }
        match store.snapshot(Seq(2), &[1; 4 * ROOM]) {
            Err(StoreError::Full) => {}
            other => return broken(clause, format!("room for {room}: a snapshot: {other:?}")),
        }
        store.sync().breaks(clause, "a sync of what was taken")?;
        // What a crash now leaves has all that was promised and nothing of what was refused.
        drop(opened(clause, &place.killed(), &all)?);
        place.repair();
        all.push(b"there is space".to_vec());
        let seq = store.append(&all[all.len() - 1]).breaks(clause, "append when there is space again")?;
        if seq != Seq(all.len() as u64) {
            return broken(clause, format!("room for {room}: {seq:?} for record {}", all.len()));
        }
        store.sync().breaks(clause, "sync")?;
        drop(opened(clause, &place.killed(), &all)?);
        drop(store);
        opened(clause, &place, &all)?;
    }
    Ok(true)
}

fn doubt<P: Place>() -> Result<bool, Broken> {
    let clause = Clause::DoubtUntilOpened;
    let (place, mut store, mut all) = filled::<P>(clause, 3)?;
    all.push(record(4));
    store.append(&all[3]).breaks(clause, "append")?;
    if !place.trouble(Trouble::SyncFails) {
        return Ok(false);
    }
    let doubted = |what: &str, got: Result<(), StoreError>| match got {
        Err(StoreError::ReopenRequired(_)) => Ok(()),
        other => broken(clause, format!("{what}: {other:?}")),
    };
    doubted("the sync that fails", store.sync())?;
    place.repair();
    doubted("a sync after it", store.sync())?;
    doubted("an append after it", store.append(b"x").map(drop))?;
    doubted("a snapshot after it", store.snapshot(Seq(3), b"x"))?;
    drop(store);
    // What it gives out now is promised, whatever the failed sync left.
    let (store, got) = place.open().breaks(clause, "opening it again")?;
    let last = sound(clause, &got, &all)?;
    if last < 3 {
        return broken(clause, format!("{last} records, three were promised"));
    }
    place.mark(1);
    drop(store);
    place.crashes(&mut |left| {
        let (_, after) = left.place.open().breaks(clause, &left.moment)?;
        let kept = sound(clause, &after, &all)?;
        let wanted = if left.marked == 1 { last } else { 0 };
        if kept < wanted {
            return broken(clause, format!("{}: {kept} records, given out were {last}", left.moment));
        }
        Ok(())
    })?;
    Ok(true)
}

fn flipped<P: Place>() -> Result<bool, Broken> {
    for (again, covered) in [(false, false), (true, false), (false, true)] {
        flipped_once::<P>(again, covered)?;
    }
    Ok(true)
}

/// With the store as it was left, or opened `again` since, or all of it `covered` by a snapshot.
fn flipped_once<P: Place>(again: bool, covered: bool) -> Result<(), Broken> {
    let clause = Clause::FlippedBitFound;
    let (place, mut store, mut all) = filled::<P>(clause, 4)?;
    store.snapshot(Seq(3), b"the state of three").breaks(clause, "snapshot")?;
    for n in 5..=7 {
        // Short, so that they lie in one file, the later ones behind the earlier.
        all.push(vec![n as u8; 10]);
        store.append(&all[n - 1]).breaks(clause, "append")?;
        store.sync().breaks(clause, "sync")?;
    }
    if covered {
        store.snapshot(Seq(7), b"the state of seven").breaks(clause, "snapshot")?;
    }
    drop(store);
    if again {
        opened(clause, &place, &all)?;
    }
    let (_, whole) = place.killed().open().breaks(clause, "opening it unharmed")?;
    let mut flips = 0;
    place.flips(&mut |left| {
        flips += 1;
        let at = &left.moment;
        let got = match left.place.open() {
            Err(StoreError::Corrupted { .. }) => return Ok(()),
            Err(other) => return broken(clause, format!("{at}: {other}")),
            Ok((_, got)) => got,
        };
        let last =
            sound(clause, &got, &all).map_err(|b| Broken { what: format!("{at}: {}", b.what), ..b })?;
        if got.snapshot.is_some() && got.snapshot != whole.snapshot {
            return broken(clause, format!("{at}: an altered snapshot"));
        }
        // Nothing can tell the flip of the very last from a tear, but it must be said.
        let least = all.len() as u64 - u64::from(got.torn_tail.is_some());
        if last < least {
            return broken(
                clause,
                format!("{at}: {last} of {} records, said was {:?}", all.len(), got.torn_tail),
            );
        }
        Ok(())
    })?;
    if flips == 0 {
        return broken(clause, "the place flipped nothing");
    }
    Ok(())
}

fn crash<P: Place>() -> Result<bool, Broken> {
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
    play::<P>(Clause::SyncedOutlivesCrash, &steps)?;
    Ok(true)
}

fn snapshot<P: Place>() -> Result<bool, Broken> {
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
    play::<P>(Clause::SnapshotWholeOrNothing, &steps)?;
    Ok(true)
}
