//! `magpietally site`: checks a site file, or simulates a site in virtual time.

use clap::{Args, Subcommand};
use magpietally_site::examples;
use magpietally_site::model::referee::{faults_in_words, Verdict};
use magpietally_site::model::spec::Site;
use magpietally_site::virt::{self, InjectedFault, Pick, Variant};

use super::{invalid_input, read_text_file, CommandError};

/// The operations on a site.
#[derive(Subcommand)]
pub enum SiteCommand {
    /// Check a site file: exit code 0 if it is valid, else 2 and a line for each error
    Check {
        /// The site file
        file: String,
    },
    /// Print an embedded site file, as a template for your own
    Print {
        /// Name of the file: club or demo
        name: String,
    },
    /// Simulate a site in virtual time and print the referee's table; exit code 1 if a rule was broken
    Run(RunArgs),
}

/// The arguments of a simulation.
#[derive(Args)]
pub struct RunArgs {
    /// A site file, or an embedded site: calm, club, demo, or club with a single fault, given by its name,
    /// such as hang
    site: String,
    /// Seed of all random choices
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seconds for which requests arrive, instead of the site's own
    #[arg(long)]
    seconds: Option<f64>,
    /// A baseline instead of the policy: random, round_robin, least_in_flight, two_choices; or a faulty node:
    /// second_run, ignores_drains, refuses_what_ran, loses_requests, pushes_cold, holds_back
    #[arg(long, default_value = "policy")]
    variant: String,
    /// Number of nodes, instead of the site's own
    #[arg(long)]
    nodes: Option<usize>,
    /// Total number of boxes, instead of the site's own; the proportions of its kinds stay the same
    #[arg(long)]
    boxes: Option<usize>,
    /// Print one JSON object with all figures
    #[arg(long)]
    json: bool,
    /// Report the real time used, on standard error
    #[arg(long)]
    cost: bool,
}

/// Loads a site by its embedded name or from a file.
pub fn load_site(name: &str) -> Result<Site, CommandError> {
    match examples::site(name) {
        Some(site) => Ok(site),
        None => {
            let describe = |e| format!("{e}; the embedded sites are {}", examples::names().join(", "));
            let text = read_text_file(name).map_err(|e| CommandError::InvalidInput(describe(e)))?;
            Site::parse(&text).map_err(|lines| invalid_input(name, &lines))
        }
    }
}

/// Finds a variant by its name.
fn find_variant(name: &str) -> Result<Variant, CommandError> {
    if name == "policy" {
        return Ok(Variant::policy());
    }
    let baseline = Pick::ALL.into_iter().find(|p| p.name() == name).map(Variant::baseline);
    let misdeed = || InjectedFault::ALL.into_iter().find(|m| m.name() == name).map(Variant::faulty);
    baseline
        .or_else(misdeed)
        .ok_or_else(|| CommandError::InvalidInput(format!("--variant: {name:?} is unknown")))
}

/// Runs the subcommand.
pub fn run(command: &SiteCommand) -> Result<(), CommandError> {
    match command {
        SiteCommand::Check { file } => {
            let site = Site::parse(&read_text_file(file).map_err(CommandError::InvalidInput)?)
                .map_err(|l| invalid_input(file, &l))?;
            println!(
                "{file}: {} boxes, {} nodes, {:.0} requests a second for {} s; {}",
                site.box_count(),
                site.nodes.count,
                site.rate_per_s(),
                site.for_s,
                faults_in_words(&site)
            );
            Ok(())
        }
        SiteCommand::Print { name } => match examples::text(name) {
            Some(text) => {
                print!("{text}");
                Ok(())
            }
            None => Err(CommandError::InvalidInput(format!("{name:?} is no embedded file: club, demo"))),
        },
        SiteCommand::Run(args) => simulate(args),
    }
}

/// Resizes the site: the proportions of its kinds stay the same, and so does its load relative to their
/// capacity.
fn resize(site: &mut Site, nodes: Option<usize>, boxes: Option<usize>) {
    if let Some(nodes) = nodes {
        site.nodes.count = nodes;
    }
    if let Some(boxes) = boxes {
        let before = site.box_count();
        let mut remaining = boxes;
        let kinds = site.boxes.len();
        for (n, kind) in site.boxes.iter_mut().enumerate() {
            let share = (kind.count * boxes).div_ceil(before.max(1));
            kind.count = if n + 1 == kinds { remaining } else { share.min(remaining) };
            remaining -= kind.count;
        }
        site.boxes.retain(|k| k.count > 0);
    }
}

fn simulate(args: &RunArgs) -> Result<(), CommandError> {
    let mut site = load_site(&args.site)?;
    site.for_s = args.seconds.unwrap_or(site.for_s);
    resize(&mut site, args.nodes, args.boxes);
    site.check().map_err(|lines| invalid_input(&args.site, &lines))?;
    let variant = find_variant(&args.variant)?;
    let (run, took) = virt::run_timed(&site, args.seed, &variant);
    if args.cost {
        let requests = run.verdict.whole.requests as f64;
        eprintln!(
            "{requests} requests, {} events in {took:.2} s: {:.0} requests and {:.0} events a second",
            run.events,
            requests / took,
            run.events as f64 / took
        );
    }
    if args.json {
        println!("{}", serde_json::to_string(&run).map_err(|e| e.to_string())?);
    } else {
        println!("{} under seed {}, {}: {}", run.site, run.seed, run.variant, faults_in_words(&site));
        print!("{}", verdict_table(&run.verdict));
        let fallen = run.fallen;
        println!(
            "connections {}, boxes that fell over {fallen}, busiest box {:.2}",
            run.connections, run.busiest
        );
    }
    let broken = run.verdict.rules_broken();
    if broken > 0 {
        return Err(CommandError::Failed(format!("{broken} rules broken")));
    }
    Ok(())
}

/// Formats the referee's verdict as a table.
pub fn verdict_table(v: &Verdict) -> String {
    let w = &v.whole;
    let percent = |part: f64| format!("{:.1}%", 100.0 * part);
    let mut rows = vec![
        ("requests".to_string(), w.requests.to_string()),
        ("in time".into(), w.in_time.to_string()),
        ("served".into(), w.served.to_string()),
        ("refused".into(), w.refused.to_string()),
        ("failed".into(), w.failed.to_string()),
        ("worth in time".into(), percent(v.worth)),
        (format!("worst 10 s, from {} s", v.worst_10_s_at), percent(v.worst_10_s)),
    ];
    rows.extend(v.classes.iter().map(|(name, part)| (format!("class {name}"), percent(*part))));
    rows.extend(v.tenants.iter().map(|(name, part)| (format!("tenant {name}"), percent(*part))));
    rows.push(("tries beyond the first".into(), format!("{:.3}", v.retries)));
    rows.push(("attempts a try".into(), format!("{:.3}", v.attempts)));
    rows.push(("work for nothing".into(), percent(v.waste)));
    rows.push(("rules broken".into(), v.rules_broken().to_string()));
    let mut text: String = rows.iter().map(|(name, value)| format!("  {name:<24} {value:>10}\n")).collect();
    for breach in v.breaches.iter().take(10) {
        text += &format!("  broken at {:.1} ms: {}\n", breach.at_ms, breach.words);
    }
    text
}
