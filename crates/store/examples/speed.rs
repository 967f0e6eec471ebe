//! Measures the duration of appends with syncs, of opening a store with many records, and of snapshots. The
//! optional argument is the directory in which temporary stores are created:
//!
//! `cargo run --release -p magpietally-store --example speed [DIRECTORY]`

use std::time::{Duration, Instant};

use magpietally_store::{Log, Store, StoreError};

/// The size of a record, that of a log entry with a small proposal.
const RECORD_BYTES: usize = 200;
const OWNER: &str = "speed";

fn print_row(what: &str, mut durations: Vec<Duration>, records: usize) {
    durations.sort_unstable();
    let total: Duration = durations.iter().sum();
    let quantile =
        |share: f64| durations[((durations.len() - 1) as f64 * share) as usize].as_secs_f64() * 1e6;
    let rate = records as f64 / total.as_secs_f64();
    println!(
        "| {what} | {records} | {:.0} | {:.0} | {:.0} | {rate:.0} |",
        quantile(0.5),
        quantile(0.99),
        quantile(1.0)
    );
}

fn main() -> Result<(), StoreError> {
    let parent = std::env::args().nth(1).unwrap_or_else(|| std::env::temp_dir().display().to_string());
    let error = |e| StoreError::Io("temporary directory".into(), e);
    println!("| what | records | p50 us | p99 us | largest us | records/s |\n|---|---|---|---|---|---|");
    for (batch, rounds) in [(1, 2000), (64, 500)] {
        let directory = tempfile::tempdir_in(&parent).map_err(error)?;
        let (mut log, _) = Log::open_dir(directory.path(), OWNER)?;
        let mut durations = Vec::new();
        for n in 0..rounds {
            let started = Instant::now();
            for _ in 0..batch {
                log.append(&[n as u8; RECORD_BYTES])?;
            }
            log.sync()?;
            durations.push(started.elapsed());
        }
        print_row(&format!("{batch} append(s) and a sync"), durations, batch * rounds);
    }
    let directory = tempfile::tempdir_in(&parent).map_err(error)?;
    let (mut log, _) = Log::open_dir(directory.path(), OWNER)?;
    for n in 0..100_000_u32 {
        log.append(&[n as u8; RECORD_BYTES])?;
    }
    log.sync()?;
    drop(log);
    let mut durations = Vec::new();
    for _ in 0..10 {
        let started = Instant::now();
        let (_, recovered) = Log::open_dir(directory.path(), OWNER)?;
        durations.push(started.elapsed());
        assert_eq!(recovered.records.len(), 100_000);
    }
    print_row("opening with 100,000 records", durations, 1_000_000);
    let (mut log, _) = Log::open_dir(directory.path(), OWNER)?;
    let mut durations = Vec::new();
    for n in 0..100 {
        let covers = log.append(&[n; RECORD_BYTES])?;
        let started = Instant::now();
        log.snapshot(covers, &vec![n; 1 << 20])?;
        durations.push(started.elapsed());
    }
    print_row("a snapshot of 1 MiB", durations, 100);
    Ok(())
}
