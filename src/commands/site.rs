//! `magpietally site`: check a site file, or play a site in virtual time.

use clap::{Args, Subcommand};
use magpietally_site::examples;
use magpietally_site::model::referee::{faults_in_words, Verdict};
use magpietally_site::model::spec::Site;
use magpietally_site::virt::{self, InjectedFault, Pick, Variant};

use super::{text_of, wrong, Failure};

/// What to do with a site.
#[derive(Subcommand)]
pub enum SiteCommand {
    /// Check a site file: exit code 0 where it makes sense, 2 and one line for each fault where not
    Check {
        /// The site file
        file: String,
    },
    /// Print an embedded site file, to start one's own from
    Print {
        /// Its name: club or demo
        name: String,
    },
    /// Play a site in virtual time: the referee's table, exit code 1 where a rule broke
    Run(RunArgs),
}

/// What to play.
#[derive(Args)]
pub struct RunArgs {
    /// A site file, or an embedded site: calm, club, demo, or club with one fault by its name, as hang
    site: String,
    /// The seed of all that is drawn
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seconds for which requests come, in place of the site's own
    #[arg(long)]
    seconds: Option<f64>,
    /// A baseline in place of the policy: random, round_robin, least_in_flight, two_choices; or a faulty node:
    /// second_run, ignores_drains, refuses_what_ran, loses_requests, pushes_cold, holds_back
    #[arg(long, default_value = "policy")]
    variant: String,
    /// How many nodes, in place of the site's own
    #[arg(long)]
    nodes: Option<usize>,
    /// How many boxes in all, in place of the site's own: its kinds in the same proportion
    #[arg(long)]
    boxes: Option<usize>,
    /// One object with all figures
    #[arg(long)]
    json: bool,
    /// Tell what it cost in real time, on standard error
    #[arg(long)]
    cost: bool,
}

/// A site by its embedded name or from a file.
pub fn site_of(name: &str) -> Result<Site, Failure> {
    match examples::site(name) {
        Some(site) => Ok(site),
        None => {
            let words = |e| format!("{e}; the embedded sites are {}", examples::names().join(", "));
            let text = text_of(name).map_err(|e| Failure::Wrong(words(e)))?;
            Site::parse(&text).map_err(|lines| wrong(name, &lines))
        }
    }
}

/// A variant by its name.
fn variant_of(name: &str) -> Result<Variant, Failure> {
    if name == "policy" {
        return Ok(Variant::policy());
    }
    let pick = Pick::ALL.into_iter().find(|p| p.name() == name).map(Variant::baseline);
    let misdeed = || InjectedFault::ALL.into_iter().find(|m| m.name() == name).map(Variant::faulty);
    pick.or_else(misdeed).ok_or_else(|| Failure::Wrong(format!("--variant: {name:?} is unknown")))
}

/// Carries it out.
pub fn run(command: &SiteCommand) -> Result<(), Failure> {
    match command {
        SiteCommand::Check { file } => {
            let site = Site::parse(&text_of(file).map_err(Failure::Wrong)?).map_err(|l| wrong(file, &l))?;
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
            None => Err(Failure::Wrong(format!("{name:?} is no embedded file: club, demo"))),
        },
        SiteCommand::Run(args) => play(args),
    }
}

/// The site at another size: its kinds in the same proportion, its load the same part of what they can do.
fn resize(site: &mut Site, nodes: Option<usize>, boxes: Option<usize>) {
    if let Some(nodes) = nodes {
        site.nodes.count = nodes;
    }
    if let Some(boxes) = boxes {
        let before = site.box_count();
        let mut left = boxes;
        let kinds = site.boxes.len();
        for (n, kind) in site.boxes.iter_mut().enumerate() {
            let share = (kind.count * boxes).div_ceil(before.max(1));
            kind.count = if n + 1 == kinds { left } else { share.min(left) };
            left -= kind.count;
        }
        site.boxes.retain(|k| k.count > 0);
    }
}

fn play(args: &RunArgs) -> Result<(), Failure> {
    let mut site = site_of(&args.site)?;
    site.for_s = args.seconds.unwrap_or(site.for_s);
    resize(&mut site, args.nodes, args.boxes);
    site.check().map_err(|lines| wrong(&args.site, &lines))?;
    let variant = variant_of(&args.variant)?;
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
        return Err(Failure::Failed(format!("{broken} rules broken")));
    }
    Ok(())
}

/// The referee's word as a table.
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
