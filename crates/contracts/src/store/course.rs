//! A scripted course of a store, and what may be left of it at each moment.

use magpietally_store::{Recovered, Seq, Store};

use super::{Broken, Clause, Left, Place};

/// One step.
pub enum Step {
    /// A record.
    Append(Vec<u8>),
    /// All before is promised.
    Sync,
    /// A snapshot that covers so many records.
    Snapshot(u64, Vec<u8>),
    /// The store is dropped and opened again: all that it gives out is promised.
    Reopen,
}

/// What should be there.
#[derive(Clone, Debug, Default)]
struct Model {
    appended: Vec<Vec<u8>>,
    synced: usize,
    snapshot: Option<(Seq, Vec<u8>)>,
}

impl Model {
    fn step(&mut self, step: &Step) {
        match step {
            Step::Append(record) => self.appended.push(record.clone()),
            Step::Sync | Step::Reopen => self.synced = self.appended.len(),
            Step::Snapshot(covers, state) => {
                self.synced = self.appended.len();
                self.snapshot = Some((Seq(*covers), state.clone()));
            }
        }
    }
}

/// A violation of a clause.
pub fn broken<T>(clause: Clause, what: impl Into<String>) -> Result<T, Broken> {
    Err(Broken { clause, what: what.into() })
}

/// What failed that should not, as a violation.
pub trait OrBreaks<T> {
    /// Names the clause.
    fn breaks(self, clause: Clause, doing: &str) -> Result<T, Broken>;
}

impl<T, E: std::fmt::Display> OrBreaks<T> for Result<T, E> {
    fn breaks(self, clause: Clause, doing: &str) -> Result<T, Broken> {
        self.map_err(|error| Broken { clause, what: format!("{doing}: {error}") })
    }
}

/// Holds what was recovered against what was `appended` in all: nothing invented, altered or left out in between. The
/// number of the last.
pub fn sound(clause: Clause, got: &Recovered, appended: &[Vec<u8>]) -> Result<u64, Broken> {
    let covered = got.snapshot.as_ref().map_or(0, |(covers, _)| covers.0);
    for (n, (seq, record)) in got.records.iter().enumerate() {
        if seq.0 != covered + 1 + n as u64 {
            return broken(clause, format!("record {} where {} should be", seq.0, covered + 1 + n as u64));
        }
        if appended.get(seq.0 as usize - 1) != Some(record) {
            return broken(clause, format!("record {} is not the one that was appended", seq.0));
        }
    }
    Ok(covered + got.records.len() as u64)
}

/// Plays the course, and holds what each crash leaves against what was promised by then.
pub fn play<P: Place>(clause: Clause, steps: &[Step]) -> Result<(), Broken> {
    let place = P::fresh();
    let (mut store, _) = place.open().breaks(clause, "opening a new store")?;
    let mut models = vec![Model::default()];
    place.mark(0);
    for (n, step) in steps.iter().enumerate() {
        let mut model = models[n].clone();
        match step {
            Step::Append(record) => {
                let seq = store.append(record).breaks(clause, "append")?;
                if seq.0 != model.appended.len() as u64 + 1 || store.last() != seq {
                    return broken(
                        Clause::NumbersGoOn,
                        format!("{seq:?} behind {} records", model.appended.len()),
                    );
                }
            }
            Step::Sync => store.sync().breaks(clause, "sync")?,
            Step::Snapshot(covers, state) => {
                store.snapshot(Seq(*covers), state).breaks(clause, "snapshot")?
            }
            Step::Reopen => {
                drop(store);
                let (again, got) = place.open().breaks(clause, "opening it again")?;
                if got.snapshot != model.snapshot
                    || sound(clause, &got, &model.appended)? != model.appended.len() as u64
                {
                    return broken(clause, format!("step {n}: opened again it gave {got:?}"));
                }
                store = again;
            }
        }
        model.step(step);
        models.push(model);
        place.mark(n + 1);
    }
    drop(store);
    place.crashes(&mut |left| judge(clause, left, &models))
}

fn judge<P: Place>(clause: Clause, left: Left<P>, models: &[Model]) -> Result<(), Broken> {
    let (before, at) = (&models[left.marked], &left.moment);
    let after = models.get(left.marked + 1).unwrap_or(before);
    let (mut store, got) = left.place.open().breaks(clause, at)?;
    let last = sound(clause, &got, &after.appended)
        .map_err(|b| Broken { what: format!("{at}: {}", b.what), ..b })?;
    if got.snapshot != before.snapshot && got.snapshot != after.snapshot {
        return broken(
            clause,
            format!("{at}: snapshot {:?}, promised was {:?}", got.snapshot, before.snapshot),
        );
    }
    if last < before.synced as u64 {
        return broken(clause, format!("{at}: {last} records, promised were {}", before.synced));
    }
    // It goes on from there, and nothing of what was cut comes back.
    let seq = store.append(b"next").breaks(clause, at)?;
    if seq.0 != last + 1 {
        return broken(Clause::NumbersGoOn, format!("{at}: {seq:?} behind {last}"));
    }
    store.sync().breaks(clause, at)?;
    drop(store);
    let (store, again) = left.place.open().breaks(clause, at)?;
    let mut wanted = got;
    wanted.records.push((seq, b"next".to_vec()));
    wanted.torn_tail = None;
    if again != wanted || store.last() != seq {
        return broken(clause, format!("{at}: opened once more it gave {again:?} for {wanted:?}"));
    }
    Ok(())
}
