//! `magpietally experiment`: variants of a node held against one another.

use std::collections::BTreeMap;
use std::io::{IsTerminal, Write};

use clap::Args;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use magpietally_site::experiment::{table, worst_first, Line, Plan, StoredResult};

use super::{text_of, wrong, Failure};

/// What to compare.
#[derive(Args)]
pub struct ExperimentArgs {
    /// The experiment file: sites, seeds and variants in TOML
    file: String,
    /// Where each run's result is kept, one line of JSON each; runs that are there already are not played again
    #[arg(long)]
    results: Option<String>,
    /// Threads; as many as there are cores by default
    #[arg(long)]
    threads: Option<usize>,
    /// Worst sites first, and then this many of the first variant's worst runs
    #[arg(long)]
    worst: Option<usize>,
    /// The comparison as one line of JSON for each row, in place of the table
    #[arg(long)]
    json: bool,
}

/// Carries it out.
pub fn run(args: &ExperimentArgs) -> Result<(), Failure> {
    let text = text_of(&args.file).map_err(Failure::Wrong)?;
    let plan = Plan::parse(&text, text_of).map_err(|lines| wrong(&args.file, &lines))?;
    let before = match &args.results {
        Some(file) if std::path::Path::new(file).exists() => text_of(file)?,
        _ => String::new(),
    };
    let mut results: BTreeMap<String, StoredResult> = plan.resume(&before);
    let mut kept = match &args.results {
        Some(file) => {
            let opened = std::fs::OpenOptions::new().create(true).append(true).open(file);
            let mut to = opened.map_err(|e| format!("{file}: {e}"))?;
            // A line that an interrupt cut off must not run into the next.
            if !before.is_empty() && !before.ends_with('\n') {
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
    let mut trouble = None;
    plan.run_jobs(&done, threads.unwrap_or(1), |job, run| {
        results.insert(job.digest.clone(), StoredResult::from(run));
        bar.inc(1);
        if let Some((file, to)) = &mut kept {
            let line = serde_json::to_string(&Line { digest: &job.digest, run }).unwrap_or_default();
            if let Err(error) = writeln!(to, "{line}") {
                trouble.get_or_insert(format!("{file}: {error}"));
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
    trouble.map_or(Ok(()), |words| Err(Failure::Failed(words)))
}
