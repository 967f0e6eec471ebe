//! Measures the cost of the ledger's writer and of recovery, without a node. Run by
//! `docs/measurements/ledger.sh`.
//!
//! `speed DIRECTORY [RECORDS...]`: records per second of the writer compared with writing the same bytes
//! directly, syncs per second compared with the disk's own rate, and the time and memory of a recovery for
//! each number of records.

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
/// The number of records in the write benchmarks.
const WRITE_RECORDS: u64 = 900_000;
/// The duration of each sync benchmark.
const SYNC_DURATION: Duration = Duration::from_secs(3);

fn main() -> Result<(), Failure> {
    let mut args = std::env::args().skip(1);
    let parent = PathBuf::from(args.next().ok_or("speed DIRECTORY [RECORDS...]")?);
    let counts: Vec<u64> = args.map(|a| a.parse()).collect::<Result<_, _>>()?;
    std::fs::create_dir_all(&parent)?;
    // Recovery is measured first, because the memory reported is the peak of the whole process.
    for count in counts {
        measure_recovery(&parent, count)?;
    }
    measure_writes(&parent)?;
    measure_syncs(&parent)
}

/// The records of a request: intent, outcome and final outcome. One request in 50,000 has only the intent.
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

fn journal_options(durability: Durability) -> JournalOptions {
    JournalOptions {
        durability,
        segment_bytes: 64 << 20,
        segment_age_us: u64::MAX,
        segments: usize::MAX,
        age_us: u64::MAX,
        open: 16_384,
        backlog: 1024,
    }
}

/// A directory that is removed at the end.
struct TemporaryDirectory(PathBuf);

impl TemporaryDirectory {
    fn new(parent: &Path, name: &str) -> std::io::Result<Self> {
        let path = parent.join(name);
        // An earlier run may have left it.
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir(&path)?;
        Ok(Self(path))
    }
}

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        // A directory that cannot be removed is left behind.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn journal(temporary: &TemporaryDirectory, durability: Durability) -> Result<Journal<Folder>, Failure> {
    let (mut journal, _) = Journal::open(Folder::new(&temporary.0), OWNER, journal_options(durability))?;
    journal.ensure_segment(Timestamp::default())?;
    Ok(journal)
}

fn print_rate(what: &str, count: u64, bytes: u64, took: Duration) {
    let s = took.as_secs_f64();
    println!("{what:<46} {:>12.0} a second  {:>8.1} MB/s", count as f64 / s, bytes as f64 / s / 1e6);
}

fn measure_writes(parent: &Path) -> Result<(), Failure> {
    for batch in [3, 96, 960] {
        let requests: Vec<Vec<Record>> = (1..=WRITE_RECORDS / 3).map(request).collect();
        let records: Vec<Record> = requests.into_iter().flatten().collect();
        let temporary = TemporaryDirectory::new(parent, "writing")?;
        let mut journal = journal(&temporary, Durability::ProcessCrash)?;
        let began = Instant::now();
        for (n, batch) in records.chunks(batch).enumerate() {
            let now = Timestamp { wall_us: n as u64, mono_us: n as u64 };
            journal.commit(batch, now).map_err(|e| format!("{e:?}"))?;
        }
        let bytes = journal.stats().bytes;
        print_rate(
            &format!("journal, {batch} records a write"),
            records.len() as u64,
            bytes,
            began.elapsed(),
        );
        // The same bytes in the same pieces, written directly.
        let mut pieces: Vec<Vec<u8>> = Vec::new();
        for (n, batch) in records.chunks(batch).enumerate() {
            let mut piece = Vec::new();
            for record in batch {
                encode(record, n as u64, Salt::of(OWNER.0, 1), &mut piece);
            }
            pieces.push(piece);
        }
        let mut file = File::create(temporary.0.join("raw"))?;
        let began = Instant::now();
        for piece in &pieces {
            file.write_all(piece)?;
        }
        print_rate(
            &format!("the same bytes raw, {batch} records a write"),
            records.len() as u64,
            bytes,
            began.elapsed(),
        );
    }
    measure_queue(parent)
}

/// Writes through the queue and the writer thread as a node does, with a caller that does not wait for
/// confirmations.
fn measure_queue(parent: &Path) -> Result<(), Failure> {
    let temporary = TemporaryDirectory::new(parent, "queued")?;
    let (journal, recovered) =
        Journal::open(Folder::new(&temporary.0), OWNER, journal_options(Durability::ProcessCrash))?;
    let options = Options {
        directory: temporary.0.clone(),
        journal_options: journal_options(Durability::ProcessCrash),
        queue: 65_536,
        stall: Duration::from_secs(60),
    };
    let (ledger, running) = Ledger::run(journal, &recovered, options, None)?;
    let began = Instant::now();
    let (mut count, mut busy) = (0u64, 0u64);
    while count < WRITE_RECORDS / 3 {
        let new_intent = NewIntent {
            id: format!("txn-{count:016x}"),
            class: "signup".into(),
            tenant: "punjab-clubs".into(),
            key: None,
            attempt: 0,
            server: "app-1".into(),
            server_start_ms: 0,
            left: Duration::from_secs(1),
        };
        match ledger.record_intent(new_intent) {
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
    print_rate("by the queue and the thread", 3 * count, bytes, began.elapsed());
    println!("  {} writes, asked again {busy} times while the queue was full", ledger.stats().journal.writes);
    Ok(())
}

fn measure_syncs(parent: &Path) -> Result<(), Failure> {
    for batch in [1, 16, 128] {
        let temporary = TemporaryDirectory::new(parent, "syncing")?;
        let mut journal = journal(&temporary, Durability::PowerLoss)?;
        let (began, mut n, mut commits, before) = (Instant::now(), 0u64, 0u64, journal.stats().bytes);
        while began.elapsed() < SYNC_DURATION {
            let records: Vec<Record> = (0..batch).flat_map(|k| request(n + k + 8)).collect();
            n += batch;
            journal.commit(&records, Timestamp { wall_us: n, mono_us: n }).map_err(|e| format!("{e:?}"))?;
            commits += 1;
        }
        let took = began.elapsed();
        let bytes = journal.stats().bytes - before;
        print_rate(&format!("power-loss, {batch} requests a sync: syncs"), commits, bytes, took);
        print_rate(&format!("power-loss, {batch} requests a sync: requests"), commits * batch, bytes, took);
        // The disk's own rate: the same number of bytes appended and synced directly.
        let piece = vec![7u8; (bytes / commits.max(1)) as usize];
        let mut file = File::create(temporary.0.join("raw"))?;
        let (began, mut raw) = (Instant::now(), 0u64);
        while began.elapsed() < SYNC_DURATION {
            file.write_all(&piece)?;
            file.sync_data()?;
            raw += 1;
        }
        print_rate(
            &format!("the disk's own, {} bytes a sync", piece.len()),
            raw,
            raw * piece.len() as u64,
            began.elapsed(),
        );
    }
    Ok(())
}

fn measure_recovery(parent: &Path, count: u64) -> Result<(), Failure> {
    let temporary = TemporaryDirectory::new(parent, "recovering")?;
    let mut journal = journal(&temporary, Durability::ProcessCrash)?;
    let (mut n, mut written) = (0u64, 0u64);
    while written < count {
        let records: Vec<Record> = (0..320).flat_map(|k| request(n + k)).collect();
        n += 320;
        written += records.len() as u64;
        journal.commit(&records, Timestamp { wall_us: n, mono_us: n }).map_err(|e| format!("{e:?}"))?;
    }
    let (bytes, open) = (journal.stats().bytes, journal.open_intents().open().len());
    drop(journal);
    for scope in [ReadScope::Checkpoint, ReadScope::All] {
        let began = Instant::now();
        let recovered =
            recover(&mut Folder::new(&temporary.0), OWNER, RecoveryLimits::default(), scope, &mut |_| {})?;
        let took = began.elapsed();
        if recovered.open.len() != open || recovered.is_damaged() {
            return Err(
                format!("{} open, {open} expected: {:?}", recovered.open.len(), recovered.findings).into()
            );
        }
        println!(
            "{written} records, {:.0} MB, {open} open: recovery from {:<10} {:>8.0} ms, {} records read; most memory {:.1} MB",
            bytes as f64 / 1e6,
            match scope {
                ReadScope::All => "all",
                ReadScope::Checkpoint => "checkpoint",
            },
            took.as_secs_f64() * 1000.0,
            recovered.records,
            peak_memory_mb()
        );
    }
    Ok(())
}

fn peak_memory_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak_kib =
        status.lines().find_map(|l| l.strip_prefix("VmHWM:")?.split_whitespace().next()?.parse::<f64>().ok());
    peak_kib.unwrap_or(0.0) / 1024.0
}
