//! `magpietally demo`: the node at its work, on loopback, with nothing but this program.

use std::io::IsTerminal;
use std::path::PathBuf;

use clap::Args;
use indicatif::{MultiProgress, ProgressBar, ProgressDrawTarget, ProgressStyle};
use magpietally_site::sockets::{self, ListFile, NodeCost, Options, Progress, Ran, Report};
use serde_json::json;

use super::site::{site_of, verdict_table};
use super::{invalid_input, CommandError};

/// What to show.
#[derive(Args)]
pub struct DemoArgs {
    /// For how many seconds requests come; faults keep their place in the course
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// The seed of all that is drawn
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// A site file, or an embedded site, in place of the demo's: two nodes, six boxes, one hangs and one restarts cold
    #[arg(long)]
    site: Option<String>,
    /// Requests a second, in place of the site's own
    #[arg(long)]
    rate: Option<f64>,
    /// Part of the requests that go straight to a box, to compare the latency with; 0 to 1
    #[arg(long, default_value_t = 0.0)]
    straight: f64,
    /// How many workers each node has
    #[arg(long, value_name = "N", default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=64))]
    workers: u8,
    /// Let each node keep a ledger of what must not run twice: process-crash or power-loss
    #[arg(long, value_name = "PROMISE", value_parser = ["process-crash", "power-loss"])]
    ledger: Option<String>,
    /// Let the nodes have the box list from a watched file, replaced 100 times a second: whole, or torn, with a half-written
    /// copy in every third place
    #[arg(long, value_name = "HOW", value_parser = ["whole", "torn"])]
    list_file: Option<String>,
    /// Keep nodes' configurations, ledgers and the boxes' records in this new directory
    #[arg(long, value_name = "DIRECTORY")]
    keep: Option<PathBuf>,
    /// One object with the result, and nothing else on standard output
    #[arg(long)]
    json: bool,
}

/// Where nodes' configurations lie for the time of a run; gone with it.
struct Folder {
    path: PathBuf,
    keep: bool,
}

impl Folder {
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

    /// The boxes' own records of what may not run at will, a file each.
    fn keep_records(&self, boxes: &[String], ran: &[Ran]) -> std::io::Result<()> {
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

impl Drop for Folder {
    fn drop(&mut self) {
        // A folder that can't be removed is the system's to clear.
        if !self.keep {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

/// Carries it out.
pub fn run(args: &DemoArgs) -> Result<(), CommandError> {
    let name = args.site.as_deref().unwrap_or("demo");
    let mut site = site_of(name)?;
    if !(args.seconds.is_finite() && args.seconds > 0.0) {
        return Err(CommandError::InvalidInput(format!("--seconds: {} is not above 0", args.seconds)));
    }
    if !(0.0..=1.0).contains(&args.straight) {
        return Err(CommandError::InvalidInput(format!(
            "--straight: {} is no part of 0 to 1",
            args.straight
        )));
    }
    // The course is the same, however long it takes.
    let stretch = args.seconds / site.for_s;
    for fault in &mut site.faults {
        (fault.at_s, fault.for_s) = (fault.at_s * stretch, fault.for_s * stretch);
    }
    site.for_s = args.seconds;
    if let Some(rate) = args.rate {
        (site.clients.rate_per_s, site.clients.load) = (Some(rate), None);
    }
    site.check().map_err(|lines| invalid_input(name, &lines))?;
    let folder = Folder::new(args.keep.as_ref())?;
    let program = std::env::current_exe().map_err(|e| format!("this program: {e}"))?;
    let (workers, direct) = (args.workers, args.straight);
    let ledger = args.ledger.clone();
    let list_file = args.list_file.as_ref().map(|how| match how.as_str() {
        "torn" => ListFile::Torn,
        _ => ListFile::Whole,
    });
    let options =
        Options { program, folder: folder.path.clone(), seed: args.seed, direct, workers, ledger, list_file };
    let show = Show::new(args.json, args.seconds, &site.box_names());
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
    let report = sockets::run(&site, &options, |progress| show.tell(progress));
    show.end();
    let report = report.map_err(|e| CommandError::Failed(e.to_string()))?;
    if args.ledger.is_some() {
        let kept = folder.keep_records(&site.box_names(), &report.ran);
        kept.map_err(|e| format!("boxes' records: {e}"))?;
    }
    let broken = report.verdict.rules_broken();
    let crashes: u32 = report.nodes.iter().map(|n| n.crashes).sum();
    if args.json {
        println!("{}", object(&report));
    } else {
        print!("{}", verdict_table(&report.verdict));
        print!("{}", costs(&report));
    }
    if broken > 0 || crashes > 0 {
        return Err(CommandError::Failed(format!(
            "{broken} rules broken, {crashes} nodes ended by themselves"
        )));
    }
    Ok(())
}

fn object(report: &Report) -> serde_json::Value {
    let v = &report.verdict;
    json!({
        "requests": v.whole.requests, "in_time": v.whole.in_time, "served": v.whole.served,
        "refused": v.whole.refused, "failed": v.whole.failed, "rules_broken": v.rules_broken(),
        "breaches": v.breaches, "worth": v.worth, "worst_10_s": v.worst_10_s, "waste": v.waste,
        "latency": report.latency, "straight": report.straight, "lateness": report.lateness,
        "nodes": report.nodes, "fallen": report.fallen, "troubles": report.troubles,
    })
}

fn costs(report: &Report) -> String {
    let mut text = String::new();
    let of = |name: &str, l: &sockets::Latency| {
        let (a, b, c) = (l.median_ms, l.p99_ms, l.p99_9_ms);
        format!("  {name:<24} median {a:.2} ms, 99% {b:.2} ms, 99.9% {c:.2} ms of {}\n", l.count)
    };
    text += &of("by way of a node", &report.latency);
    if report.straight.count > 0 {
        text += &of("straight to a box", &report.straight);
    }
    text += &of("clients were late by", &report.lateness);
    for NodeCost { name, tries, cpu_ms, memory_kib, starts, crashes } in &report.nodes {
        let each = 1000.0 * cpu_ms / (*tries).max(1) as f64;
        let crashed = if *crashes > 0 { format!(", ended by itself {crashes} times") } else { String::new() };
        text += &format!(
            "  {name:<24} {tries} tries, {each:.0} us of CPU each, {:.1} MB, started {starts} times{crashed}\n",
            *memory_kib as f64 / 1024.0
        );
    }
    for words in &report.troubles {
        text += &format!("  trouble: {words}\n");
    }
    text
}

/// The course: live on a terminal, plain lines elsewhere, nothing beside JSON.
enum Show {
    Live { all: MultiProgress, course: ProgressBar, sums: ProgressBar, boxes: Vec<ProgressBar> },
    Lines,
    Nothing,
}

impl Show {
    fn new(json: bool, seconds: f64, boxes: &[String]) -> Self {
        if json {
            return Self::Nothing;
        }
        // More boxes than a screen has lines are told by numbers alone.
        if !std::io::stdout().is_terminal() || boxes.len() > 30 {
            return Self::Lines;
        }
        let all = MultiProgress::with_draw_target(ProgressDrawTarget::stdout());
        let style = |template| {
            ProgressStyle::with_template(template).unwrap_or_else(|_| ProgressStyle::default_bar())
        };
        let course =
            all.add(ProgressBar::new(seconds.ceil() as u64).with_style(style("{wide_bar} {pos}/{len} s")));
        let line = || all.add(ProgressBar::new_spinner().with_style(style("  {msg}")));
        let sums = line();
        let boxes = boxes.iter().map(|_| line()).collect();
        Self::Live { course, sums, boxes, all }
    }

    fn tell(&self, p: &Progress) {
        let s = &p.sum;
        let share = 100.0 * s.in_time as f64 / (s.requests as f64).max(1.0);
        let down: Vec<&str> = p.nodes.iter().filter(|(_, up)| !up).map(|(name, _)| name.as_str()).collect();
        let sums = format!(
            "{} requests, {share:.1}% answered in time, rules broken {}{}",
            s.requests,
            p.rules_broken,
            if down.is_empty() { String::new() } else { format!(", down: {}", down.join(" ")) }
        );
        match self {
            Self::Live { course, sums: line, boxes, .. } => {
                course.set_position(p.at_s as u64);
                line.set_message(sums);
                for (line, (name, word, held)) in boxes.iter().zip(&p.boxes) {
                    line.set_message(format!("{name:<10} {word:<7} {}", "#".repeat((*held).min(60))));
                }
            }
            Self::Lines => {
                let odd = p.boxes.iter().filter(|(_, word, _)| *word != "serves");
                let odd: Vec<String> = odd.map(|(name, word, _)| format!("{name} {word}")).collect();
                println!("{:>5.1} s  {sums}  {}", p.at_s, odd.join(", "));
            }
            Self::Nothing => {}
        }
    }

    /// The course is over: nothing of it may be drawn over what follows.
    fn end(self) {
        if let Self::Live { all, course, sums, boxes } = self {
            [course, sums].iter().chain(&boxes).for_each(ProgressBar::finish_and_clear);
            // A terminal that is gone has nothing to clear.
            let _ = all.clear();
        }
    }
}

#[cfg(test)]
mod tests;
