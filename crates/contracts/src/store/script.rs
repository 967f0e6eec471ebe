//! Scripted store operations, and the checks of what a crash may leave at each moment.

use magpietally_store::{Recovered, Seq, Store};

use super::{Clause, CrashImage, StoreMedium, Violation};

/// One step of a script.
pub enum Step {
    /// Appends a record.
    Append(Vec<u8>),
    /// Makes all earlier records durable.
    Sync,
    /// Takes a snapshot that covers this many records.
    Snapshot(u64, Vec<u8>),
    /// Drops the store and opens it again; everything that it returns is durable.
    Reopen,
}

/// The expected contents.
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

/// Returns a violation of `clause`.
pub fn violation<T>(clause: Clause, detail: impl Into<String>) -> Result<T, Violation> {
    Err(Violation { clause, detail: detail.into() })
}

/// Turns an unexpected error into a violation.
pub trait OrViolation<T> {
    /// Returns the error as a violation of `clause`.
    fn or_violation(self, clause: Clause, operation: &str) -> Result<T, Violation>;
}

impl<T, E: std::fmt::Display> OrViolation<T> for Result<T, E> {
    fn or_violation(self, clause: Clause, operation: &str) -> Result<T, Violation> {
        self.map_err(|error| Violation { clause, detail: format!("{operation}: {error}") })
    }
}

/// Checks recovered records against all that were `appended`: none is invented, altered or missing in
/// between. Returns the number of the last record.
pub fn check_records(clause: Clause, recovered: &Recovered, appended: &[Vec<u8>]) -> Result<u64, Violation> {
    let covered = recovered.snapshot.as_ref().map_or(0, |(covers, _)| covers.0);
    for (n, (seq, record)) in recovered.records.iter().enumerate() {
        if seq.0 != covered + 1 + n as u64 {
            return violation(clause, format!("record {} instead of {}", seq.0, covered + 1 + n as u64));
        }
        if appended.get(seq.0 as usize - 1) != Some(record) {
            return violation(clause, format!("record {} is not the one that was appended", seq.0));
        }
    }
    Ok(covered + recovered.records.len() as u64)
}

/// Runs the script, and checks what each crash leaves against what was durable at that moment.
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
                        format!("{seq:?} after {} records", model.appended.len()),
                    );
                }
            }
            Step::Sync => store.sync().or_violation(clause, "sync")?,
            Step::Snapshot(covers, state) => {
                store.snapshot(Seq(*covers), state).or_violation(clause, "snapshot")?
            }
            Step::Reopen => {
                drop(store);
                let (reopened, recovered) = medium.open().or_violation(clause, "opening it again")?;
                if recovered.snapshot != model.snapshot
                    || check_records(clause, &recovered, &model.appended)? != model.appended.len() as u64
                {
                    return violation(clause, format!("step {n}: reopening returned {recovered:?}"));
                }
                store = reopened;
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
    let (mut store, recovered) = image.medium.open().or_violation(clause, at)?;
    let last = check_records(clause, &recovered, &after.appended)
        .map_err(|b| Violation { detail: format!("{at}: {}", b.detail), ..b })?;
    if recovered.snapshot != before.snapshot && recovered.snapshot != after.snapshot {
        return violation(
            clause,
            format!("{at}: snapshot {:?}, durable was {:?}", recovered.snapshot, before.snapshot),
        );
    }
    if last < before.synced as u64 {
        return violation(clause, format!("{at}: {last} records, {} were durable", before.synced));
    }
    // The store continues from there, and nothing that was truncated comes back.
    let seq = store.append(b"next").or_violation(clause, at)?;
    if seq.0 != last + 1 {
        return violation(Clause::NumbersGoOn, format!("{at}: {seq:?} after {last}"));
    }
    store.sync().or_violation(clause, at)?;
    drop(store);
    let (store, reopened) = image.medium.open().or_violation(clause, at)?;
    let mut expected = recovered;
    expected.records.push((seq, b"next".to_vec()));
    expected.torn_tail = None;
    if reopened != expected || store.last() != seq {
        return violation(clause, format!("{at}: reopening returned {reopened:?}, expected {expected:?}"));
    }
    Ok(())
}
