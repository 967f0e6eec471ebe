//! A scripted course of a store, and what may be left of it at each moment.

use magpietally_store::{Recovered, Seq, Store};

use super::{Clause, CrashImage, StoreMedium, Violation};

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
pub fn violation<T>(clause: Clause, detail: impl Into<String>) -> Result<T, Violation> {
    Err(Violation { clause, detail: detail.into() })
}

/// What failed that should not, as a violation.
pub trait OrViolation<T> {
    /// Names the clause.
    fn or_violation(self, clause: Clause, doing: &str) -> Result<T, Violation>;
}

impl<T, E: std::fmt::Display> OrViolation<T> for Result<T, E> {
    fn or_violation(self, clause: Clause, doing: &str) -> Result<T, Violation> {
        self.map_err(|error| Violation { clause, detail: format!("{doing}: {error}") })
    }
}

/// Holds what was recovered against what was `appended` in all: nothing invented, altered or left out in between. The
/// number of the last.
pub fn check_records(clause: Clause, got: &Recovered, appended: &[Vec<u8>]) -> Result<u64, Violation> {
    let covered = got.snapshot.as_ref().map_or(0, |(covers, _)| covers.0);
    for (n, (seq, record)) in got.records.iter().enumerate() {
        if seq.0 != covered + 1 + n as u64 {
            return violation(clause, format!("record {} where {} should be", seq.0, covered + 1 + n as u64));
        }
        if appended.get(seq.0 as usize - 1) != Some(record) {
            return violation(clause, format!("record {} is not the one that was appended", seq.0));
        }
    }
    Ok(covered + got.records.len() as u64)
}

/// Plays the course, and holds what each crash leaves against what was promised by then.
pub fn run_script<M: StoreMedium>(clause: Clause, steps: &[Step]) -> Result<(), Violation> {
    let medium = M::new_empty();
    let (mut store, _) = medium.open().or_violation(clause, "opening a new store")?;
    let mut models = vec![Model::default()];
    medium.mark(0);
    for (n, step) in steps.iter().enumerate() {
        let mut model = models[n].clone();
        match step {
            Step::Append(record) => {
                let seq = store.append(record).or_violation(clause, "append")?;
                if seq.0 != model.appended.len() as u64 + 1 || store.last() != seq {
                    return violation(
                        Clause::NumbersGoOn,
                        format!("{seq:?} behind {} records", model.appended.len()),
                    );
                }
            }
            Step::Sync => store.sync().or_violation(clause, "sync")?,
            Step::Snapshot(covers, state) => {
                store.snapshot(Seq(*covers), state).or_violation(clause, "snapshot")?
            }
            Step::Reopen => {
                drop(store);
                let (again, got) = medium.open().or_violation(clause, "opening it again")?;
                if got.snapshot != model.snapshot
                    || check_records(clause, &got, &model.appended)? != model.appended.len() as u64
                {
                    return violation(clause, format!("step {n}: opened again it gave {got:?}"));
                }
                store = again;
            }
        }
        model.step(step);
        models.push(model);
        medium.mark(n + 1);
    }
    drop(store);
    medium.visit_crashes(&mut |image| check_crash_image(clause, image, &models))
}

fn check_crash_image<M: StoreMedium>(
    clause: Clause,
    image: CrashImage<M>,
    models: &[Model],
) -> Result<(), Violation> {
    let (before, at) = (&models[image.last_mark], &image.description);
    let after = models.get(image.last_mark + 1).unwrap_or(before);
    let (mut store, got) = image.medium.open().or_violation(clause, at)?;
    let last = check_records(clause, &got, &after.appended)
        .map_err(|b| Violation { detail: format!("{at}: {}", b.detail), ..b })?;
    if got.snapshot != before.snapshot && got.snapshot != after.snapshot {
        return violation(
            clause,
            format!("{at}: snapshot {:?}, promised was {:?}", got.snapshot, before.snapshot),
        );
    }
    if last < before.synced as u64 {
        return violation(clause, format!("{at}: {last} records, promised were {}", before.synced));
    }
    // It goes on from there, and nothing of what was cut comes back.
    let seq = store.append(b"next").or_violation(clause, at)?;
    if seq.0 != last + 1 {
        return violation(Clause::NumbersGoOn, format!("{at}: {seq:?} behind {last}"));
    }
    store.sync().or_violation(clause, at)?;
    drop(store);
    let (store, again) = image.medium.open().or_violation(clause, at)?;
    let mut wanted = got;
    wanted.records.push((seq, b"next".to_vec()));
    wanted.torn_tail = None;
    if again != wanted || store.last() != seq {
        return violation(clause, format!("{at}: opened once more it gave {again:?} for {wanted:?}"));
    }
    Ok(())
}
