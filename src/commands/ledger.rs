//! `magpietally ledger`: reads a node's ledger, and compares it with the servers' own records.

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

/// Limits of recovery in this command, which may use more memory than a node.
const LIMITS: RecoveryLimits = RecoveryLimits { open: 1 << 20, findings: 10_000 };
/// The longest line of the servers' records.
const LINE_MAX_BYTES: u64 = 1 << 20;
/// How often `follow` polls for new records.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The operations on a ledger.
#[derive(Subcommand)]
pub enum LedgerCommand {
    /// Print every record, one line each
    Show(ShowArgs),
    /// Print the intents without an outcome: requests open when the node died, or open now
    Open(ReadArgs),
    /// Read everything and report irregularities; exit code 1 if there is damage
    Verify(ReadArgs),
    /// Print every record as a line of JSON
    Export(ExportArgs),
    /// Print records as they are written
    Follow(FollowArgs),
    /// Compare ledgers with the app boxes' own records; exit code 1 if they differ
    Reconcile(ReconcileArgs),
    /// Settle unknown outcomes by the app boxes' records, so that the next start knows them; the node must be
    /// stopped
    Settle(SettleArgs),
}

#[derive(Args)]
pub struct ReadArgs {
    /// The ledger's directory; it may be in use
    directory: PathBuf,
    /// Print one JSON object per line, for programs
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct ShowArgs {
    #[command(flatten)]
    read: ReadArgs,
    /// Print only the records of this request
    #[arg(long)]
    id: Option<String>,
}

#[derive(Args)]
pub struct ExportArgs {
    /// The ledger's directory; it may be in use
    directory: PathBuf,
    /// Accepted for uniformity with the other subcommands: the output is always JSON
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct FollowArgs {
    #[command(flatten)]
    read: ReadArgs,
    /// Stop after this many seconds; without it only a signal stops it
    #[arg(long, value_name = "SECONDS")]
    seconds: Option<f64>,
}

#[derive(Args)]
pub struct ReconcileArgs {
    /// The ledgers' directories: of all nodes that send to the boxes, or requests of the others would appear
    /// to be missing
    #[arg(required = true)]
    directories: Vec<PathBuf>,
    /// The boxes' records: a line of JSON for each request that ran, with `box`, `id` and, where it has one,
    /// `key`
    #[arg(long, required = true, num_args = 1.., value_name = "FILE")]
    boxes: Vec<PathBuf>,
    /// Print one JSON object per line, and one with the totals at the end
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct SettleArgs {
    /// The ledger's directory
    directory: PathBuf,
    /// The boxes' records: of all boxes, from before the node's death until now
    #[arg(long, required = true, num_args = 1.., value_name = "FILE")]
    boxes: Vec<PathBuf>,
    /// Print one JSON object with the totals
    #[arg(long)]
    json: bool,
}

/// Runs the subcommand.
pub fn run(command: &LedgerCommand) -> Result<(), CommandError> {
    let mut out = Output(BufWriter::new(std::io::stdout().lock()));
    let done = match command {
        LedgerCommand::Show(args) => show(args, &mut out),
        LedgerCommand::Open(args) => open(args, &mut out),
        LedgerCommand::Verify(args) => verify(args, &mut out),
        LedgerCommand::Export(args) => print_records(&args.directory, None, true, &mut out).map(drop),
        LedgerCommand::Follow(args) => follow(args, &mut out),
        LedgerCommand::Reconcile(args) => reconcile(args, &mut out),
        LedgerCommand::Settle(args) => settle(args, &mut out),
    };
    out.0.flush().or_else(Output::write_error)?;
    done
}

/// Standard output. If its reader closes the pipe, the program exits; that is not a failure.
struct Output<'a>(BufWriter<std::io::StdoutLock<'a>>);

impl Output<'_> {
    fn write_error(error: std::io::Error) -> Result<(), CommandError> {
        if error.kind() == ErrorKind::BrokenPipe {
            std::process::exit(0);
        }
        Err(CommandError::Failed(format!("standard output: {error}")))
    }

    fn line(&mut self, line: &str) {
        if let Err(error) = writeln!(self.0, "{line}") {
            // Any other error is reported by the flush at the end.
            let _ = Self::write_error(error);
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
    let identity = read_identity(directory)
        .map_err(|e| CommandError::InvalidInput(format!("{}: {e}", directory.display())))?;
    Ok(identity.owner)
}

/// Reads a ledger, with a running count of the records on a terminal.
fn read(
    directory: &Path,
    scope: ReadScope,
    mut sink: impl FnMut(&LocatedRecord),
) -> Result<Recovered, CommandError> {
    let owner = owner(directory)?;
    let bar =
        if std::io::stderr().is_terminal() { ProgressBar::new_spinner() } else { ProgressBar::hidden() };
    let mut count = 0u64;
    let recovered = recover(&mut Folder::new(directory), owner, LIMITS, scope, &mut |located| {
        count += 1;
        if count.is_multiple_of(65_536) {
            bar.set_message(format!("{count} records"));
            bar.tick();
        }
        sink(&located);
    });
    bar.finish_and_clear();
    recovered.map_err(|e| CommandError::Failed(format!("{}: {e}", directory.display())))
}

fn format_time(at: Timestamp) -> String {
    let at = UNIX_EPOCH.checked_add(Duration::from_micros(at.wall_us)).unwrap_or(UNIX_EPOCH);
    humantime::format_rfc3339_millis(at).to_string()
}

fn format_execution(execution: Execution) -> &'static str {
    match execution {
        Execution::Ran => "ran",
        Execution::Never => "never ran",
        Execution::Unknown => "may have run",
    }
}

fn format_record(record: &Record) -> String {
    let intent = |i: &magpietally_ledger::record::Intent| {
        let key = i.key.map_or(String::new(), |k| format!(" key {k}"));
        let tenant = if i.tenant.is_empty() { String::new() } else { format!(" of {}", i.tenant) };
        format!(
            "{} intent {} {} {}{tenant}{key} attempt {} to {}, {} ms left",
            format_time(i.at),
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
            format!(
                "{} outcome {} {:?}: {}",
                format_time(o.at),
                o.intent,
                o.how,
                format_execution(o.how.execution())
            )
        }
        Record::Final(f) => format!("{} answer {} {} {:?}", format_time(f.at), f.intent, f.id, f.told),
        Record::Settled(s) => {
            format!(
                "{} settled {}: {}",
                format_time(s.at),
                s.intent,
                if s.ran { "ran" } else { "did not run" }
            )
        }
        Record::Carried(c) => {
            format!("carried: {}{}", intent(&c.intent), if c.trusted { "" } else { " (not trusted)" })
        }
        Record::Checkpoint { carried } => format!("checkpoint, {carried} open"),
        Record::Doubt { segment, from } => format!("doubt: segment {segment} from record {from} on"),
        Record::Closed { last } => if *last { "closed, the node ended" } else { "closed" }.to_string(),
    }
}

fn belongs_to_request(record: &Record, id: &str, numbers: &mut Vec<u64>) -> bool {
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
fn print_records(
    directory: &Path,
    id: Option<&str>,
    json: bool,
    out: &mut Output,
) -> Result<Recovered, CommandError> {
    let mut numbers = Vec::new();
    read(directory, ReadScope::All, |located| {
        if id.is_some_and(|id| !belongs_to_request(&located.record, id, &mut numbers)) {
            return;
        }
        if json {
            out.json(located);
        } else {
            let trust_note = if located.trusted { "" } else { "  (not trusted)" };
            out.line(&format!(
                "{}.{} {}{trust_note}",
                located.segment.0,
                located.seq,
                format_record(&located.record)
            ));
        }
    })
}

fn show(args: &ShowArgs, out: &mut Output) -> Result<(), CommandError> {
    let recovered = print_records(&args.read.directory, args.id.as_deref(), args.read.json, out)?;
    if !args.read.json {
        recovered.findings.iter().for_each(|finding| out.line(&format!("! {finding}")));
    }
    Ok(())
}

fn open(args: &ReadArgs, out: &mut Output) -> Result<(), CommandError> {
    let recovered = read(&args.directory, ReadScope::Checkpoint, |_| {})?;
    for open in &recovered.open {
        if args.json {
            out.json(open);
        } else {
            let trust_note = if open.trusted { "" } else { "  (not trusted)" };
            out.line(&format!("{}{trust_note}", format_record(&Record::Intent(open.intent.clone()))));
        }
    }
    if !args.json {
        let over = if recovered.over > 0 { format!(", and {} more", recovered.over) } else { String::new() };
        out.line(&format!("{} open{over}", recovered.open.len()));
        recovered.findings.iter().for_each(|finding| out.line(&format!("! {finding}")));
    }
    Ok(())
}

fn verify(args: &ReadArgs, out: &mut Output) -> Result<(), CommandError> {
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

fn follow(args: &FollowArgs, out: &mut Output) -> Result<(), CommandError> {
    let directory = &args.read.directory;
    let end = match args.seconds {
        Some(s) if !(s.is_finite() && s >= 0.0) => {
            return Err(CommandError::InvalidInput(format!("--seconds: {s} is no time")))
        }
        seconds => seconds.map(|s| std::time::Instant::now() + Duration::from_secs_f64(s)),
    };
    let (mut disk, mut follower) = (Folder::new(directory), Follower::new(owner(directory)?));
    loop {
        let polled = follower.poll(&mut disk, &mut |event| match (event, args.read.json) {
            (FollowEvent::Record(located), true) => out.json(&located),
            (FollowEvent::Record(located), false) => {
                out.line(&format!(
                    "{}.{} {}",
                    located.segment.0,
                    located.seq,
                    format_record(&located.record)
                ));
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
        out.0.flush().or_else(Output::write_error)?;
        if end.is_some_and(|end| std::time::Instant::now() >= end) {
            return Ok(());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Reads the servers' records.
fn read_runs(files: &[PathBuf]) -> Result<Vec<ServerRun>, CommandError> {
    let mut all = Vec::new();
    for file in files {
        let name = file.display();
        let open =
            std::fs::File::open(file).map_err(|e| CommandError::InvalidInput(format!("{name}: {e}")))?;
        let mut from = BufReader::new(open);
        for n in 1.. {
            let invalid =
                |message: String| CommandError::InvalidInput(format!("{name}: line {n}: {message}"));
            let mut line = Vec::new();
            // Bounded, since a file without line feeds, such as a device, would fill the memory.
            let read = from.by_ref().take(LINE_MAX_BYTES + 1).read_until(b'\n', &mut line);
            let length = read.map_err(|e| invalid(e.to_string()))? as u64;
            if length == 0 {
                break;
            }
            if length > LINE_MAX_BYTES {
                return Err(invalid(format!("longer than {LINE_MAX_BYTES} bytes")));
            }
            if !line.trim_ascii().is_empty() {
                all.push(serde_json::from_slice(&line).map_err(|e| invalid(e.to_string()))?);
            }
        }
    }
    Ok(all)
}

fn reconcile(args: &ReconcileArgs, out: &mut Output) -> Result<(), CommandError> {
    let runs = read_runs(&args.boxes)?;
    let (mut index, mut damaged) = (LedgerIndex::new(), false);
    for (n, directory) in args.directories.iter().enumerate() {
        let recovered = read(directory, ReadScope::All, |located| index.add(n, located))?;
        damaged |= recovered.is_damaged();
        for finding in recovered.findings.iter().filter(|f| f.is_damage()) {
            eprintln!("magpietally: {}: {finding}", directory.display());
        }
    }
    let all = index.compare(&runs);
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
            "requests": index.requests(), "runs": runs.len(), "unknown": unknown,
            "other_differences": all.len() - unknown, "damaged": damaged,
        });
        out.json(&sums);
    } else {
        out.line(&format!(
            "{} requests in the ledgers, {} runs at the boxes: {unknown} unknown, {} other differences",
            index.requests(),
            runs.len(),
            all.len() - unknown
        ));
    }
    if all.is_empty() && !damaged {
        return Ok(());
    }
    Err(CommandError::Failed("the ledgers and the boxes' records differ".to_string()))
}

fn settle(args: &SettleArgs, out: &mut Output) -> Result<(), CommandError> {
    let runs = read_runs(&args.boxes)?;
    let name = args.directory.display();
    let owner = owner(&args.directory)?;
    let failed = |e: &dyn std::fmt::Display| CommandError::Failed(format!("{name}: {e}"));
    let _lock = Lock::acquire(&args.directory).map_err(|e| failed(&e))?;
    let mut index = LedgerIndex::new();
    read(&args.directory, ReadScope::All, |located| index.add(0, located))?;
    let unknown: Vec<(u64, bool)> = index
        .compare(&runs)
        .into_iter()
        .filter_map(|d| match d {
            Difference::UnknownAndRan { intent, .. } => Some((intent, true)),
            Difference::UnknownAndDidNot { intent, .. } => Some((intent, false)),
            _ => None,
        })
        .collect();
    // The options remove no segments, and each batch is durable before it is reported.
    let journal_options = JournalOptions {
        durability: Durability::PowerLoss,
        segment_bytes: 64 << 20,
        segment_age_us: u64::MAX,
        segments: usize::MAX,
        age_us: u64::MAX,
        open: LIMITS.open,
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
