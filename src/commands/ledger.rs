//! `magpietally ledger`: what a node's ledger holds, and whether it agrees with the app boxes' own records.

use std::io::{BufRead, BufReader, BufWriter, ErrorKind, IsTerminal, Read, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::{Args, Subcommand};
use indicatif::ProgressBar;
use magpietally_ledger::directory::{recover, FollowEvent, Follower, ReadScope};
use magpietally_ledger::disk::{read_identity, Folder, Lock};
use magpietally_ledger::journal::{Durability, Journal, JournalOptions};
use magpietally_ledger::reconcile::{Difference, LedgerIndex, ServerRun};
use magpietally_ledger::record::{Execution, Record, Settled, Timestamp};
use magpietally_ledger::recovery::{LocatedRecord, Recovered, RecoveryLimits};
use magpietally_ledger::segment::Owner;
use serde_json::json;

use super::CommandError;

/// What recovery may hold here, where there is a whole machine's memory.
const BOUNDS: RecoveryLimits = RecoveryLimits { open: 1 << 20, findings: 10_000 };
/// The longest line of the boxes' records, in bytes.
const LINE_MOST: u64 = 1 << 20;
/// How often a follower looks.
const LOOK: Duration = Duration::from_millis(200);

/// What to do with a ledger.
#[derive(Subcommand)]
pub enum LedgerCommand {
    /// Print every record, one line each
    Show(ShowArgs),
    /// Print the intents without an outcome: what was out when the node died, or is out now
    Open(ReadArgs),
    /// Read everything and name what is not as it should be; exit code 1 where there is damage
    Verify(ReadArgs),
    /// Print every record as a line of JSON
    Export(ExportArgs),
    /// Print records as they come
    Follow(FollowArgs),
    /// Hold ledgers against the app boxes' own records; exit code 1 where they differ
    Reconcile(ReconcileArgs),
    /// Settle what is unknown by the app boxes' records, so that it is not unknown at the next start; the node must be down
    Settle(SettleArgs),
}

#[derive(Args)]
pub struct ReadArgs {
    /// The ledger's directory; it may be in use
    directory: PathBuf,
    /// One object a line, for programs
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct ShowArgs {
    #[command(flatten)]
    read: ReadArgs,
    /// Records of this request alone
    #[arg(long)]
    id: Option<String>,
}

#[derive(Args)]
pub struct ExportArgs {
    /// The ledger's directory; it may be in use
    directory: PathBuf,
    /// For the sake of habit: it is always JSON
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct FollowArgs {
    #[command(flatten)]
    read: ReadArgs,
    /// End after so many seconds; without it only a signal ends it
    #[arg(long, value_name = "SECONDS")]
    seconds: Option<f64>,
}

#[derive(Args)]
pub struct ReconcileArgs {
    /// The ledgers' directories: of all nodes before the boxes, or requests of the others would seem to be missing
    #[arg(required = true)]
    directories: Vec<PathBuf>,
    /// The boxes' records: a line of JSON for each request that ran, with `box`, `id` and, where it has one, `key`
    #[arg(long, required = true, num_args = 1.., value_name = "FILE")]
    boxes: Vec<PathBuf>,
    /// One object a line, and one with the sums at the end
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct SettleArgs {
    /// The ledger's directory
    directory: PathBuf,
    /// The boxes' records: all of the boxes', from before the node's death until now
    #[arg(long, required = true, num_args = 1.., value_name = "FILE")]
    boxes: Vec<PathBuf>,
    /// One object with the sums
    #[arg(long)]
    json: bool,
}

/// Carries it out.
pub fn run(command: &LedgerCommand) -> Result<(), CommandError> {
    let mut out = Out(BufWriter::new(std::io::stdout().lock()));
    let done = match command {
        LedgerCommand::Show(args) => show(args, &mut out),
        LedgerCommand::Open(args) => open(args, &mut out),
        LedgerCommand::Verify(args) => verify(args, &mut out),
        LedgerCommand::Export(args) => records(&args.directory, None, true, &mut out).map(drop),
        LedgerCommand::Follow(args) => follow(args, &mut out),
        LedgerCommand::Reconcile(args) => reconcile(args, &mut out),
        LedgerCommand::Settle(args) => settle(args, &mut out),
    };
    out.0.flush().or_else(Out::gone)?;
    done
}

/// Standard output. Whoever reads it may leave: that ends the writing, and is no failure.
struct Out<'a>(BufWriter<std::io::StdoutLock<'a>>);

impl Out<'_> {
    fn gone(error: std::io::Error) -> Result<(), CommandError> {
        if error.kind() == ErrorKind::BrokenPipe {
            std::process::exit(0);
        }
        Err(CommandError::Failed(format!("standard output: {error}")))
    }

    fn line(&mut self, line: &str) {
        if let Err(error) = writeln!(self.0, "{line}") {
            // What can't be written at all is told when it is flushed at the end.
            let _ = Self::gone(error);
        }
    }

    fn json<T: serde::Serialize>(&mut self, value: &T) {
        match serde_json::to_string(value) {
            Ok(line) => self.line(&line),
            Err(error) => self.line(&json!({ "error": error.to_string() }).to_string()),
        }
    }
}

fn owner(directory: &Path) -> Result<Owner, CommandError> {
    let own = read_identity(directory)
        .map_err(|e| CommandError::InvalidInput(format!("{}: {e}", directory.display())))?;
    Ok(own.owner)
}

/// Reads a whole ledger, with a count on a terminal while that takes.
fn read(
    directory: &Path,
    reach: ReadScope,
    mut sink: impl FnMut(&LocatedRecord),
) -> Result<Recovered, CommandError> {
    let owner = owner(directory)?;
    let bar =
        if std::io::stderr().is_terminal() { ProgressBar::new_spinner() } else { ProgressBar::hidden() };
    let mut count = 0u64;
    let recovered = recover(&mut Folder::new(directory), owner, BOUNDS, reach, &mut |seen| {
        count += 1;
        if count.is_multiple_of(65_536) {
            bar.set_message(format!("{count} records"));
            bar.tick();
        }
        sink(&seen);
    });
    bar.finish_and_clear();
    recovered.map_err(|e| CommandError::Failed(format!("{}: {e}", directory.display())))
}

fn time(at: Timestamp) -> String {
    let at = UNIX_EPOCH.checked_add(Duration::from_micros(at.wall_us)).unwrap_or(UNIX_EPOCH);
    humantime::format_rfc3339_millis(at).to_string()
}

fn fate(fate: Execution) -> &'static str {
    match fate {
        Execution::Ran => "ran",
        Execution::Never => "never ran",
        Execution::Unknown => "may have run",
    }
}

fn words(record: &Record) -> String {
    let intent = |i: &magpietally_ledger::record::Intent| {
        let key = i.key.map_or(String::new(), |k| format!(" key {k}"));
        let tenant = if i.tenant.is_empty() { String::new() } else { format!(" of {}", i.tenant) };
        format!(
            "{} intent {} {} {}{tenant}{key} attempt {} to {}, {} ms left",
            time(i.at),
            i.number,
            i.class,
            i.id,
            i.attempt,
            i.server,
            i.left_us / 1000
        )
    };
    match record {
        Record::Intent(i) => intent(i),
        Record::Outcome(o) => {
            format!("{} outcome {} {:?}: {}", time(o.at), o.intent, o.how, fate(o.how.execution()))
        }
        Record::Final(f) => format!("{} answer {} {} {:?}", time(f.at), f.intent, f.id, f.told),
        Record::Settled(s) => {
            format!("{} settled {}: {}", time(s.at), s.intent, if s.ran { "ran" } else { "did not run" })
        }
        Record::Carried(c) => {
            format!("carried: {}{}", intent(&c.intent), if c.trusted { "" } else { " (not trusted)" })
        }
        Record::Checkpoint { carried } => format!("checkpoint, {carried} open"),
        Record::Doubt { segment, from } => format!("doubt: segment {segment} from record {from} on"),
        Record::Closed { last } => if *last { "closed, the node ended" } else { "closed" }.to_string(),
    }
}

fn is_about(record: &Record, id: &str, numbers: &mut Vec<u64>) -> bool {
    match record {
        Record::Intent(i) if i.id == id => numbers.push(i.number),
        Record::Carried(c) if c.intent.id == id => numbers.push(c.intent.number),
        Record::Final(f) => return f.id == id,
        Record::Outcome(o) => return numbers.contains(&o.intent),
        Record::Settled(s) => return numbers.contains(&s.intent),
        _ => return false,
    }
    true
}

/// Prints records as they are read.
fn records(directory: &Path, id: Option<&str>, json: bool, out: &mut Out) -> Result<Recovered, CommandError> {
    let mut numbers = Vec::new();
    read(directory, ReadScope::All, |seen| {
        if id.is_some_and(|id| !is_about(&seen.record, id, &mut numbers)) {
            return;
        }
        if json {
            out.json(seen);
        } else {
            let doubt = if seen.trusted { "" } else { "  (not trusted)" };
            out.line(&format!("{}.{} {}{doubt}", seen.segment.0, seen.seq, words(&seen.record)));
        }
    })
}

fn show(args: &ShowArgs, out: &mut Out) -> Result<(), CommandError> {
    let recovered = records(&args.read.directory, args.id.as_deref(), args.read.json, out)?;
    if !args.read.json {
        recovered.findings.iter().for_each(|finding| out.line(&format!("! {finding}")));
    }
    Ok(())
}

fn open(args: &ReadArgs, out: &mut Out) -> Result<(), CommandError> {
    let recovered = read(&args.directory, ReadScope::Checkpoint, |_| {})?;
    for open in &recovered.open {
        if args.json {
            out.json(open);
        } else {
            let doubt = if open.trusted { "" } else { "  (not trusted)" };
            out.line(&format!("{}{doubt}", words(&Record::Intent(open.intent.clone()))));
        }
    }
    if !args.json {
        let over = if recovered.over > 0 { format!(", and {} more", recovered.over) } else { String::new() };
        out.line(&format!("{} open{over}", recovered.open.len()));
        recovered.findings.iter().for_each(|finding| out.line(&format!("! {finding}")));
    }
    Ok(())
}

fn verify(args: &ReadArgs, out: &mut Out) -> Result<(), CommandError> {
    let recovered = read(&args.directory, ReadScope::All, |_| {})?;
    if args.json {
        out.json(&json!({
            "segments": recovered.segments, "records": recovered.records, "open": recovered.open.len(),
            "over": recovered.over, "orphans": recovered.orphans, "in_order": recovered.in_order,
            "damaged": recovered.is_damaged(), "findings": recovered.findings, "more_findings": recovered.more_findings,
        }));
    } else {
        recovered.findings.iter().for_each(|finding| out.line(&finding.to_string()));
        let ended = if recovered.in_order { "its node ended in order" } else { "no end in order" };
        out.line(&format!(
            "{} segments, {} records, {} open, {ended}",
            recovered.segments,
            recovered.records,
            recovered.open.len()
        ));
    }
    if recovered.is_damaged() {
        return Err(CommandError::Failed(format!("{}: damaged", args.directory.display())));
    }
    Ok(())
}

fn follow(args: &FollowArgs, out: &mut Out) -> Result<(), CommandError> {
    let directory = &args.read.directory;
    let end = match args.seconds {
        Some(s) if !(s.is_finite() && s >= 0.0) => {
            return Err(CommandError::InvalidInput(format!("--seconds: {s} is no time")))
        }
        seconds => seconds.map(|s| std::time::Instant::now() + Duration::from_secs_f64(s)),
    };
    let (mut disk, mut follower) = (Folder::new(directory), Follower::new(owner(directory)?));
    loop {
        let polled = follower.poll(&mut disk, &mut |news| match (news, args.read.json) {
            (FollowEvent::Record(seen), true) => out.json(&seen),
            (FollowEvent::Record(seen), false) => {
                out.line(&format!("{}.{} {}", seen.segment.0, seen.seq, words(&seen.record)));
            }
            (FollowEvent::Finding(finding), true) => out.json(&finding),
            (FollowEvent::Finding(finding), false) => out.line(&format!("! {finding}")),
            (FollowEvent::Missed { from, to }, true) => {
                out.json(&json!({"finding": "missed", "from": from, "to": to}))
            }
            (FollowEvent::Missed { from, to }, false) => {
                out.line(&format!(
                    "! segments {from} to {} were gone before they were read to the end",
                    to - 1
                ));
            }
        });
        polled.map_err(|e| CommandError::Failed(format!("{}: {e}", directory.display())))?;
        out.0.flush().or_else(Out::gone)?;
        if end.is_some_and(|end| std::time::Instant::now() >= end) {
            return Ok(());
        }
        std::thread::sleep(LOOK);
    }
}

/// The boxes' records.
fn runs(files: &[PathBuf]) -> Result<Vec<ServerRun>, CommandError> {
    let mut all = Vec::new();
    for file in files {
        let name = file.display();
        let open =
            std::fs::File::open(file).map_err(|e| CommandError::InvalidInput(format!("{name}: {e}")))?;
        let mut from = BufReader::new(open);
        for n in 1.. {
            let bad = |words: String| CommandError::InvalidInput(format!("{name}: line {n}: {words}"));
            let mut line = Vec::new();
            // A file that is no file of lines, as a device, must not fill the memory with its first.
            let read = from.by_ref().take(LINE_MOST + 1).read_until(b'\n', &mut line);
            let length = read.map_err(|e| bad(e.to_string()))? as u64;
            if length == 0 {
                break;
            }
            if length > LINE_MOST {
                return Err(bad(format!("longer than {LINE_MOST} bytes")));
            }
            if !line.trim_ascii().is_empty() {
                all.push(serde_json::from_slice(&line).map_err(|e| bad(e.to_string()))?);
            }
        }
    }
    Ok(all)
}

fn reconcile(args: &ReconcileArgs, out: &mut Out) -> Result<(), CommandError> {
    let runs = runs(&args.boxes)?;
    let (mut books, mut damaged) = (LedgerIndex::new(), false);
    for (n, directory) in args.directories.iter().enumerate() {
        let recovered = read(directory, ReadScope::All, |seen| books.add(n, seen))?;
        damaged |= recovered.is_damaged();
        for finding in recovered.findings.iter().filter(|f| f.is_damage()) {
            eprintln!("magpietally: {}: {finding}", directory.display());
        }
    }
    let all = books.compare(&runs);
    let unknown = all.iter().filter(|d| d.is_unknown()).count();
    for difference in &all {
        if args.json {
            out.json(difference);
        } else {
            out.line(&difference.to_string());
        }
    }
    if args.json {
        let sums = json!({
            "requests": books.requests(), "runs": runs.len(), "unknown": unknown,
            "other_differences": all.len() - unknown, "damaged": damaged,
        });
        out.json(&sums);
    } else {
        out.line(&format!(
            "{} requests in the ledgers, {} runs at the boxes: {unknown} unknown, {} other differences",
            books.requests(),
            runs.len(),
            all.len() - unknown
        ));
    }
    if all.is_empty() && !damaged {
        return Ok(());
    }
    Err(CommandError::Failed("the ledgers and the boxes' records differ".to_string()))
}

fn settle(args: &SettleArgs, out: &mut Out) -> Result<(), CommandError> {
    let runs = runs(&args.boxes)?;
    let name = args.directory.display();
    let owner = owner(&args.directory)?;
    let failed = |e: &dyn std::fmt::Display| CommandError::Failed(format!("{name}: {e}"));
    let _lock = Lock::acquire(&args.directory).map_err(|e| failed(&e))?;
    let mut books = LedgerIndex::new();
    read(&args.directory, ReadScope::All, |seen| books.add(0, seen))?;
    let unknown: Vec<(u64, bool)> = books
        .compare(&runs)
        .into_iter()
        .filter_map(|d| match d {
            Difference::UnknownAndRan { intent, .. } => Some((intent, true)),
            Difference::UnknownAndDidNot { intent, .. } => Some((intent, false)),
            _ => None,
        })
        .collect();
    // Nothing is removed here, and each batch is safe before it is told of.
    let journal_options = JournalOptions {
        durability: Durability::PowerLoss,
        segment_bytes: 64 << 20,
        segment_age_us: u64::MAX,
        segments: usize::MAX,
        age_us: u64::MAX,
        open: BOUNDS.open,
        backlog: 0,
    };
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let at = Timestamp { wall_us: wall.as_micros() as u64, mono_us: 0 };
    let (mut journal, _) =
        Journal::open(Folder::new(&args.directory), owner, journal_options).map_err(|e| failed(&e))?;
    journal.ensure_segment(at).map_err(|e| failed(&e))?;
    let records: Vec<Record> = unknown
        .iter()
        .map(|(intent, ran)| Record::Settled(Settled { intent: *intent, ran: *ran, at }))
        .collect();
    journal.commit(&records, at).map_err(|_| failed(&"the disk took no records"))?;
    journal.close().map_err(|e| failed(&e))?;
    let ran = unknown.iter().filter(|(_, ran)| *ran).count();
    if args.json {
        out.json(&json!({"settled": unknown.len(), "ran": ran, "did_not_run": unknown.len() - ran}));
    } else {
        out.line(&format!("{} settled: {ran} ran, {} did not", unknown.len(), unknown.len() - ran));
    }
    Ok(())
}
