//! How long appends with their syncs take, and the recovery of many records. In a directory of the system's:
//! `cargo run --release -p magpietally-store --example speed [DIRECTORY]`

use std::time::{Duration, Instant};

use magpietally_store::{Log, Store, StoreError};

/// As many as an entry of the log with a small proposal has.
const SIZE: usize = 200;
const OWNER: &str = "speed";

fn row(what: &str, mut each: Vec<Duration>, records: usize) {
    each.sort_unstable();
    let all: Duration = each.iter().sum();
    let at = |share: f64| each[((each.len() - 1) as f64 * share) as usize].as_secs_f64() * 1e6;
    let rate = records as f64 / all.as_secs_f64();
    println!("| {what} | {records} | {:.0} | {:.0} | {:.0} | {rate:.0} |", at(0.5), at(0.99), at(1.0));
}

fn main() -> Result<(), StoreError> {
    let under = std::env::args().nth(1).unwrap_or_else(|| std::env::temp_dir().display().to_string());
    let error = |e| StoreError::Io("temporary directory".into(), e);
    println!("| what | records | p50 us | p99 us | largest us | records/s |\n|---|---|---|---|---|---|");
    for (batch, rounds) in [(1, 2000), (64, 500)] {
        let directory = tempfile::tempdir_in(&under).map_err(error)?;
        let (mut log, _) = Log::open_dir(directory.path(), OWNER)?;
        let mut each = Vec::new();
        for n in 0..rounds {
            let begin = Instant::now();
            for _ in 0..batch {
                log.append(&[n as u8; SIZE])?;
            }
            log.sync()?;
            each.push(begin.elapsed());
        }
        row(&format!("{batch} append(s) and a sync"), each, batch * rounds);
    }
    let directory = tempfile::tempdir_in(&under).map_err(error)?;
    let (mut log, _) = Log::open_dir(directory.path(), OWNER)?;
    for n in 0..100_000_u32 {
        log.append(&[n as u8; SIZE])?;
    }
    log.sync()?;
    drop(log);
    let mut each = Vec::new();
    for _ in 0..10 {
        let begin = Instant::now();
        let (_, got) = Log::open_dir(directory.path(), OWNER)?;
        each.push(begin.elapsed());
        assert_eq!(got.records.len(), 100_000);
    }
    row("opening with 100,000 records", each, 1_000_000);
    let (mut log, _) = Log::open_dir(directory.path(), OWNER)?;
    let mut each = Vec::new();
    for n in 0..100 {
        let covers = log.append(&[n; SIZE])?;
        let begin = Instant::now();
        log.snapshot(covers, &vec![n; 1 << 20])?;
        each.push(begin.elapsed());
    }
    row("a snapshot of 1 MiB", each, 100);
    Ok(())
}
