//! `magpietally demo`: a demonstration of the node on loopback that needs only this program.

use std::io::IsTerminal;
use std::path::PathBuf;

use clap::Args;
use indicatif::{MultiProgress, ProgressBar, ProgressDrawTarget, ProgressStyle};
use magpietally_site::sockets::{self, ListFile, NodeCost, Options, Progress, Ran, Report};
use serde_json::json;

use super::site::{load_site, verdict_table};
use super::{invalid_input, CommandError};

/// The arguments of the demonstration.
#[derive(Args)]
pub struct DemoArgs {
    /// Seconds for which requests arrive; the times of faults are scaled with it
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// Seed of all random choices
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// A site file, or an embedded site, instead of the demo's: two nodes, six boxes, one hangs and one
    /// restarts cold
    #[arg(long)]
    site: Option<String>,
    /// Requests per second, instead of the site's own rate
    #[arg(long)]
    rate: Option<f64>,
    /// Share of the requests that go directly to a box, for comparison of the latency; 0 to 1
    #[arg(long, default_value_t = 0.0)]
    straight: f64,
    /// Number of workers of each node
    #[arg(long, value_name = "N", default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=64))]
    workers: u8,
    /// Let each node keep a ledger of requests that must not run twice: process-crash or power-loss
    #[arg(long, value_name = "PROMISE", value_parser = ["process-crash", "power-loss"])]
    ledger: Option<String>,
    /// Let the nodes read the box list from a watched file that is replaced 100 times a second: whole, or
    /// torn, where every third copy is half-written
    #[arg(long, value_name = "HOW", value_parser = ["whole", "torn"])]
    list_file: Option<String>,
    /// Keep the nodes' configurations and ledgers and the boxes' records in this new directory
    #[arg(long, value_name = "DIRECTORY")]
    keep: Option<PathBuf>,
    /// Print one JSON object with the result, and nothing else, on standard output
    #[arg(long)]
    json: bool,
}

/// The directory of the nodes' configurations, removed after the run unless it is to be kept.
struct RunDirectory {
    path: PathBuf,
    keep: bool,
}

impl RunDirectory {
    fn new(keep: Option<&PathBuf>) -> Result<Self, CommandError> {
        if let Some(path) = keep {
            std::fs::create_dir(path)
                .map_err(|e| CommandError::InvalidInput(format!("--keep: {}: {e}", path.display())))?;
            return Ok(Self { path: path.clone(), keep: true });
        }
        let path = std::env::temp_dir().join(format!("magpietally-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|e| format!("temporary folder: {e}"))?;
        Ok(Self { path, keep: false })
    }

    /// Writes the servers' own records of requests that must not run twice, one file per server.
    fn write_records(&self, boxes: &[String], ran: &[Ran]) -> std::io::Result<()> {
        let folder = self.path.join("boxes");
        std::fs::create_dir_all(&folder)?;
        for name in boxes {
            let mut lines = String::new();
            for ran in ran.iter().filter(|r| r.at == *name) {
                lines += &serde_json::to_string(ran)?;
                lines.push('\n');
            }
            std::fs::write(folder.join(format!("{name}.jsonl")), lines)?;
        }
        Ok(())
    }
}

impl Drop for RunDirectory {
    fn drop(&mut self) {
        // A temporary directory that can't be removed is left to the system's clean-up.
        if !self.keep {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

/// Runs the subcommand.
pub fn run(args: &DemoArgs) -> Result<(), CommandError> {
    let name = args.site.as_deref().unwrap_or("demo");
    let mut site = load_site(name)?;
    if !(args.seconds.is_finite() && args.seconds > 0.0) {
        return Err(CommandError::InvalidInput(format!("--seconds: {} is not above 0", args.seconds)));
    }
    if !(0.0..=1.0).contains(&args.straight) {
        return Err(CommandError::InvalidInput(format!(
            "--straight: {} is no part of 0 to 1",
            args.straight
        )));
    }
    // The schedule of faults is scaled to the length of the run.
    let scale = args.seconds / site.for_s;
    for fault in &mut site.faults {
        (fault.at_s, fault.for_s) = (fault.at_s * scale, fault.for_s * scale);
    }
    site.for_s = args.seconds;
    if let Some(rate) = args.rate {
        (site.clients.rate_per_s, site.clients.load) = (Some(rate), None);
    }
    site.check().map_err(|lines| invalid_input(name, &lines))?;
    let folder = RunDirectory::new(args.keep.as_ref())?;
    let program = std::env::current_exe().map_err(|e| format!("this program: {e}"))?;
    let (workers, direct) = (args.workers, args.straight);
    let ledger = args.ledger.clone();
    let list_file = args.list_file.as_ref().map(|mode| match mode.as_str() {
        "torn" => ListFile::Torn,
        _ => ListFile::Whole,
    });
    let options =
        Options { program, folder: folder.path.clone(), seed: args.seed, direct, workers, ledger, list_file };
    let display = ProgressDisplay::new(args.json, args.seconds, &site.box_names());
    if !args.json {
        println!(
            "{} nodes, {} app boxes, a box list and {:.0} requests a second for {} s, on loopback; seed {}",
            site.nodes.count,
            site.box_count(),
            site.rate_per_s(),
            args.seconds,
            args.seed
        );
    }
    let report = sockets::run(&site, &options, |progress| display.update(progress));
    display.finish();
    let report = report.map_err(|e| CommandError::Failed(e.to_string()))?;
    if args.ledger.is_some() {
        let kept = folder.write_records(&site.box_names(), &report.ran);
        kept.map_err(|e| format!("boxes' records: {e}"))?;
    }
    let broken = report.verdict.rules_broken();
    let crashes: u32 = report.nodes.iter().map(|n| n.crashes).sum();
    if args.json {
        println!("{}", report_json(&report));
    } else {
        print!("{}", verdict_table(&report.verdict));
        print!("{}", cost_table(&report));
    }
    if broken > 0 || crashes > 0 {
        return Err(CommandError::Failed(format!(
            "{broken} rules broken, {crashes} nodes ended by themselves"
        )));
    }
    Ok(())
}

fn report_json(report: &Report) -> serde_json::Value {
    let v = &report.verdict;
    json!({
        "requests": v.whole.requests, "in_time": v.whole.in_time, "served": v.whole.served,
        "refused": v.whole.refused, "failed": v.whole.failed, "rules_broken": v.rules_broken(),
        "breaches": v.breaches, "worth": v.worth, "worst_10_s": v.worst_10_s, "waste": v.waste,
        "latency": report.latency, "straight": report.straight, "lateness": report.lateness,
        "nodes": report.nodes, "fallen": report.fallen, "troubles": report.troubles,
    })
}

fn cost_table(report: &Report) -> String {
    let mut text = String::new();
    let latency_row = |name: &str, l: &sockets::Latency| {
        let (a, b, c) = (l.median_ms, l.p99_ms, l.p99_9_ms);
        format!("  {name:<24} median {a:.2} ms, 99% {b:.2} ms, 99.9% {c:.2} ms of {}\n", l.count)
    };
    text += &latency_row("by way of a node", &report.latency);
    if report.straight.count > 0 {
        text += &latency_row("straight to a box", &report.straight);
    }
    text += &latency_row("clients were late by", &report.lateness);
    for NodeCost { name, tries, cpu_ms, memory_kib, starts, crashes } in &report.nodes {
        let each = 1000.0 * cpu_ms / (*tries).max(1) as f64;
        let crashed = if *crashes > 0 { format!(", ended by itself {crashes} times") } else { String::new() };
        text += &format!(
            "  {name:<24} {tries} tries, {each:.0} us of CPU each, {:.1} MB, started {starts} times{crashed}\n",
            *memory_kib as f64 / 1024.0
        );
    }
    for message in &report.troubles {
        text += &format!("  trouble: {message}\n");
    }
    text
}

/// The progress display: live on a terminal, plain lines elsewhere, none with JSON output.
enum ProgressDisplay {
    Live { all: MultiProgress, elapsed: ProgressBar, totals: ProgressBar, servers: Vec<ProgressBar> },
    Lines,
    Hidden,
}

impl ProgressDisplay {
    fn new(json: bool, seconds: f64, servers: &[String]) -> Self {
        if json {
            return Self::Hidden;
        }
        // More servers than a screen has lines are shown as totals only.
        if !std::io::stdout().is_terminal() || servers.len() > 30 {
            return Self::Lines;
        }
        let all = MultiProgress::with_draw_target(ProgressDrawTarget::stdout());
        let style = |template| {
            ProgressStyle::with_template(template).unwrap_or_else(|_| ProgressStyle::default_bar())
        };
        let elapsed =
            all.add(ProgressBar::new(seconds.ceil() as u64).with_style(style("{wide_bar} {pos}/{len} s")));
        let line = || all.add(ProgressBar::new_spinner().with_style(style("  {msg}")));
        let totals = line();
        let servers = servers.iter().map(|_| line()).collect();
        Self::Live { elapsed, totals, servers, all }
    }

    fn update(&self, p: &Progress) {
        let s = &p.sum;
        let share = 100.0 * s.in_time as f64 / (s.requests as f64).max(1.0);
        let down: Vec<&str> = p.nodes.iter().filter(|(_, up)| !up).map(|(name, _)| name.as_str()).collect();
        let summary = format!(
            "{} requests, {share:.1}% answered in time, rules broken {}{}",
            s.requests,
            p.rules_broken,
            if down.is_empty() { String::new() } else { format!(", down: {}", down.join(" ")) }
        );
        match self {
            Self::Live { elapsed, totals, servers, .. } => {
                elapsed.set_position(p.at_s as u64);
                totals.set_message(summary);
                for (line, (name, state, held)) in servers.iter().zip(&p.boxes) {
                    line.set_message(format!("{name:<10} {state:<7} {}", "#".repeat((*held).min(60))));
                }
            }
            Self::Lines => {
                let not_serving = p.boxes.iter().filter(|(_, state, _)| *state != "serves");
                let not_serving: Vec<String> =
                    not_serving.map(|(name, state, _)| format!("{name} {state}")).collect();
                println!("{:>5.1} s  {summary}  {}", p.at_s, not_serving.join(", "));
            }
            Self::Hidden => {}
        }
    }

    /// Removes the progress display, so that it is not drawn over later output.
    fn finish(self) {
        if let Self::Live { all, elapsed, totals, servers } = self {
            [elapsed, totals].iter().chain(&servers).for_each(ProgressBar::finish_and_clear);
            // Fails only where the terminal is closed, which needs no clearing.
            let _ = all.clear();
        }
    }
}

#[cfg(test)]
mod tests;
