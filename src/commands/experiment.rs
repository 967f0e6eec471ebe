//! `magpietally experiment`: compares variants of a node.

use std::collections::BTreeMap;
use std::io::{IsTerminal, Write};

use clap::Args;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use magpietally_site::experiment::{table, worst_first, Line, Plan, StoredResult};

use super::{invalid_input, read_text_file, CommandError};

/// The arguments of a comparison.
#[derive(Args)]
pub struct ExperimentArgs {
    /// The experiment file: sites, seeds and variants in TOML
    file: String,
    /// File that each run's result is appended to as a line of JSON; runs that it already holds are not
    /// repeated
    #[arg(long)]
    results: Option<String>,
    /// Number of threads; by default that of the cores
    #[arg(long)]
    threads: Option<usize>,
    /// Print the worst sites first, and after them this many of the first variant's worst runs
    #[arg(long)]
    worst: Option<usize>,
    /// Print each row of the comparison as a line of JSON, instead of the table
    #[arg(long)]
    json: bool,
}

/// Runs the subcommand.
pub fn run(args: &ExperimentArgs) -> Result<(), CommandError> {
    let text = read_text_file(&args.file).map_err(CommandError::InvalidInput)?;
    let plan = Plan::parse(&text, read_text_file).map_err(|lines| invalid_input(&args.file, &lines))?;
    let earlier_results = match &args.results {
        Some(file) if std::path::Path::new(file).exists() => read_text_file(file)?,
        _ => String::new(),
    };
    let mut results: BTreeMap<String, StoredResult> = plan.resume(&earlier_results);
    let mut results_file = match &args.results {
        Some(file) => {
            let opened = std::fs::OpenOptions::new().create(true).append(true).open(file);
            let mut to = opened.map_err(|e| format!("{file}: {e}"))?;
            // Completes a line that an interrupted run left unfinished, so that the next starts on its own.
            if !earlier_results.is_empty() && !earlier_results.ends_with('\n') {
                writeln!(to).map_err(|e| format!("{file}: {e}"))?;
            }
            Some((file, to))
        }
        None => None,
    };
    let bar = ProgressBar::new(plan.jobs.len() as u64);
    bar.set_draw_target(if std::io::stderr().is_terminal() {
        ProgressDrawTarget::stderr()
    } else {
        ProgressDrawTarget::hidden()
    });
    let style = ProgressStyle::with_template("{wide_bar} {pos}/{len} runs, {eta} left");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.set_position(results.len() as u64);
    let threads = args.threads.or_else(|| std::thread::available_parallelism().ok().map(Into::into));
    let done = results.clone();
    let mut write_error = None;
    plan.run_jobs(&done, threads.unwrap_or(1), |job, run| {
        results.insert(job.digest.clone(), StoredResult::from(run));
        bar.inc(1);
        if let Some((file, to)) = &mut results_file {
            let line = serde_json::to_string(&Line { digest: &job.digest, run }).unwrap_or_default();
            if let Err(error) = writeln!(to, "{line}") {
                write_error.get_or_insert(format!("{file}: {error}"));
            }
        }
    });
    bar.finish_and_clear();
    let mut rows = plan.compare(&results);
    if args.worst.is_some() {
        worst_first(&mut rows);
    }
    if args.json {
        for row in &rows {
            println!("{}", serde_json::to_string(row).map_err(|e| e.to_string())?);
        }
    } else {
        println!("{}: {} runs", plan.experiment.name, results.len());
        print!("{}", table(&rows));
        for (site, seed, goal) in plan.worst(&results, args.worst.unwrap_or(0)) {
            println!("worst: {goal:.4}  {site} --seed {seed}");
        }
    }
    write_error.map_or(Ok(()), |message| Err(CommandError::Failed(message)))
}
