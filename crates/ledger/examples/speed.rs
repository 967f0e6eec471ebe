//! What the ledger's writer and its recovery cost, without a node: `docs/measurements/ledger.sh` runs it.
//!
//! `speed DIRECTORY [RECORDS...]`: records a second of the writer against the same bytes written raw, syncs a second
//! against the disk's own, and the time and memory of recovery for each count of records.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use magpietally_ledger::directory::{recover, ReadScope};
use magpietally_ledger::disk::Folder;
use magpietally_ledger::journal::{Durability, Journal, JournalOptions};
use magpietally_ledger::record::{
    encode, AttemptOutcome, Final, FinalOutcome, Intent, KeyDigest, Outcome, Record, Salt, Timestamp,
};
use magpietally_ledger::recovery::RecoveryLimits;
use magpietally_ledger::segment::Owner;
use magpietally_ledger::{Ledger, NewIntent, Options};

type Failure = Box<dyn std::error::Error>;

const OWNER: Owner = Owner([1; 16]);
/// Records that the writing is measured with.
const WRITTEN: u64 = 900_000;
/// For how long syncs are counted.
const SYNCING: Duration = Duration::from_secs(3);

fn main() -> Result<(), Failure> {
    let mut args = std::env::args().skip(1);
    let folder = PathBuf::from(args.next().ok_or("speed DIRECTORY [RECORDS...]")?);
    let counts: Vec<u64> = args.map(|a| a.parse()).collect::<Result<_, _>>()?;
    std::fs::create_dir_all(&folder)?;
    // First, as memory is told by the most that the process has ever held.
    for count in counts {
        recovering(&folder, count)?;
    }
    writing(&folder)?;
    syncing(&folder)
}

/// The records of a request: its intent, its outcome, its answer. One in 50,000 has none but the intent.
fn request(n: u64) -> Vec<Record> {
    let at = Timestamp { wall_us: 1_800_000_000_000_000 + n, mono_us: n };
    let id = format!("txn-{n:016x}");
    let intent = Record::Intent(Intent {
        number: n,
        id: id.clone(),
        class: if n.is_multiple_of(2) { "signup" } else { "fee-payment" }.into(),
        tenant: "punjab-clubs".into(),
        key: (!n.is_multiple_of(2)).then(|| KeyDigest::of(&n.to_le_bytes())),
        attempt: 0,
        server: format!("app-{}", n % 12),
        server_start_ms: 1_800_000_000_000,
        left_us: 900_000,
        at,
        boot: 1,
    });
    if n % 50_000 == 7 {
        return vec![intent];
    }
    let outcome = Record::Outcome(Outcome { intent: n, how: AttemptOutcome::Done, at });
    vec![intent, outcome, Record::Final(Final { intent: n, id, told: FinalOutcome::Served, at })]
}

fn journal_options(promise: Durability) -> JournalOptions {
    JournalOptions {
        durability: promise,
        segment_bytes: 64 << 20,
        segment_age_us: u64::MAX,
        segments: usize::MAX,
        age_us: u64::MAX,
        open: 16_384,
        backlog: 1024,
    }
}

/// A directory of its own, gone afterwards.
struct Own(PathBuf);

impl Own {
    fn new(folder: &Path, name: &str) -> std::io::Result<Self> {
        let path = folder.join(name);
        // An earlier run's may be there still.
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Own {
    fn drop(&mut self) {
        // What can't be removed stays.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn journal(own: &Own, promise: Durability) -> Result<Journal<Folder>, Failure> {
    let (mut journal, _) = Journal::open(Folder::new(&own.0), OWNER, journal_options(promise))?;
    journal.ensure_segment(Timestamp::default())?;
    Ok(journal)
}

fn rate(what: &str, count: u64, bytes: u64, took: Duration) {
    let s = took.as_secs_f64();
    println!("{what:<46} {:>12.0} a second  {:>8.1} MB/s", count as f64 / s, bytes as f64 / s / 1e6);
}

fn writing(folder: &Path) -> Result<(), Failure> {
    for batch in [3, 96, 960] {
        let requests: Vec<Vec<Record>> = (1..=WRITTEN / 3).map(request).collect();
        let records: Vec<Record> = requests.into_iter().flatten().collect();
        let own = Own::new(folder, "writing")?;
        let mut journal = journal(&own, Durability::ProcessCrash)?;
        let began = Instant::now();
        for (n, batch) in records.chunks(batch).enumerate() {
            let now = Timestamp { wall_us: n as u64, mono_us: n as u64 };
            journal.commit(batch, now).map_err(|e| format!("{e:?}"))?;
        }
        let bytes = journal.stats().bytes;
        rate(&format!("journal, {batch} records a write"), records.len() as u64, bytes, began.elapsed());
        // The same bytes, in the same pieces, and nothing else.
        let mut pieces: Vec<Vec<u8>> = Vec::new();
        for (n, batch) in records.chunks(batch).enumerate() {
            let mut piece = Vec::new();
            for record in batch {
                encode(record, n as u64, Salt::of(OWNER.0, 1), &mut piece);
            }
            pieces.push(piece);
        }
        let mut file = File::create(own.0.join("raw"))?;
        let began = Instant::now();
        for piece in &pieces {
            file.write_all(piece)?;
        }
        rate(
            &format!("the same bytes raw, {batch} records a write"),
            records.len() as u64,
            bytes,
            began.elapsed(),
        );
    }
    queued(folder)
}

/// By way of the queue and the thread, as a node does: one that asks and never waits.
fn queued(folder: &Path) -> Result<(), Failure> {
    let own = Own::new(folder, "queued")?;
    let (journal, recovered) =
        Journal::open(Folder::new(&own.0), OWNER, journal_options(Durability::ProcessCrash))?;
    let options = Options {
        directory: own.0.clone(),
        journal_options: journal_options(Durability::ProcessCrash),
        queue: 65_536,
        stall: Duration::from_secs(60),
    };
    let (ledger, running) = Ledger::run(journal, &recovered, options, None)?;
    let began = Instant::now();
    let (mut count, mut busy) = (0u64, 0u64);
    while count < WRITTEN / 3 {
        let draft = NewIntent {
            id: format!("txn-{count:016x}"),
            class: "signup".into(),
            tenant: "punjab-clubs".into(),
            key: None,
            attempt: 0,
            server: "app-1".into(),
            server_start_ms: 0,
            left: Duration::from_secs(1),
        };
        match ledger.record_intent(draft) {
            Ok(pending) => {
                ledger.record_outcome(pending.number, AttemptOutcome::Done);
                ledger.record_final_outcome(pending.number, "txn", FinalOutcome::Served);
                count += 1;
            }
            Err(_) => {
                busy += 1;
                std::thread::yield_now();
            }
        }
    }
    if !running.close(Duration::from_secs(60)) {
        return Err("the writer did not end".into());
    }
    let bytes = ledger.stats().journal.bytes;
    rate("by the queue and the thread", 3 * count, bytes, began.elapsed());
    println!("  {} writes, asked again {busy} times while the queue was full", ledger.stats().journal.writes);
    Ok(())
}

fn syncing(folder: &Path) -> Result<(), Failure> {
    for batch in [1, 16, 128] {
        let own = Own::new(folder, "syncing")?;
        let mut journal = journal(&own, Durability::PowerLoss)?;
        let (began, mut n, mut commits, before) = (Instant::now(), 0u64, 0u64, journal.stats().bytes);
        while began.elapsed() < SYNCING {
            let records: Vec<Record> = (0..batch).flat_map(|k| request(n + k + 8)).collect();
            n += batch;
            journal.commit(&records, Timestamp { wall_us: n, mono_us: n }).map_err(|e| format!("{e:?}"))?;
            commits += 1;
        }
        let took = began.elapsed();
        let bytes = journal.stats().bytes - before;
        rate(&format!("power-loss, {batch} requests a sync: syncs"), commits, bytes, took);
        rate(&format!("power-loss, {batch} requests a sync: requests"), commits * batch, bytes, took);
        // The disk's own: the same number of bytes added and synced, and nothing else.
        let piece = vec![7u8; (bytes / commits.max(1)) as usize];
        let mut file = File::create(own.0.join("raw"))?;
        let (began, mut raw) = (Instant::now(), 0u64);
        while began.elapsed() < SYNCING {
            file.write_all(&piece)?;
            file.sync_data()?;
            raw += 1;
        }
        rate(
            &format!("the disk's own, {} bytes a sync", piece.len()),
            raw,
            raw * piece.len() as u64,
            began.elapsed(),
        );
    }
    Ok(())
}

fn recovering(folder: &Path, count: u64) -> Result<(), Failure> {
    let own = Own::new(folder, "recovering")?;
    let mut journal = journal(&own, Durability::ProcessCrash)?;
    let (mut n, mut written) = (0u64, 0u64);
    while written < count {
        let records: Vec<Record> = (0..320).flat_map(|k| request(n + k)).collect();
        n += 320;
        written += records.len() as u64;
        journal.commit(&records, Timestamp { wall_us: n, mono_us: n }).map_err(|e| format!("{e:?}"))?;
    }
    let (bytes, open) = (journal.stats().bytes, journal.open_intents().open().len());
    drop(journal);
    for reach in [ReadScope::Checkpoint, ReadScope::All] {
        let began = Instant::now();
        let recovered =
            recover(&mut Folder::new(&own.0), OWNER, RecoveryLimits::default(), reach, &mut |_| {})?;
        let took = began.elapsed();
        if recovered.open.len() != open || recovered.is_damaged() {
            return Err(
                format!("{} open, {open} expected: {:?}", recovered.open.len(), recovered.findings).into()
            );
        }
        println!(
            "{written} records, {:.0} MB, {open} open: recovery from {:<10} {:>8.0} ms, {} records read; most memory {:.1} MB",
            bytes as f64 / 1e6,
            match reach {
                ReadScope::All => "all",
                ReadScope::Checkpoint => "checkpoint",
            },
            took.as_secs_f64() * 1000.0,
            recovered.records,
            most_memory_mb()
        );
    }
    Ok(())
}

fn most_memory_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let most =
        status.lines().find_map(|l| l.strip_prefix("VmHWM:")?.split_whitespace().next()?.parse::<f64>().ok());
    most.unwrap_or(0.0) / 1024.0
}
