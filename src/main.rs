//! The program: arguments, log and exit codes; each subcommand is a crate's to carry out.

mod commands;
mod logging;

use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use commands::demo::DemoArgs;
use commands::experiment::ExperimentArgs;
use commands::site::SiteCommand;
use commands::Failure;
use logging::Format;

/// A load-balancer node: successive requests go to the ready servers in turn.
#[derive(Parser)]
#[command(name = "magpietally", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run one node, as the platform's configuration says (BALANCER_CONFIG names the file)
    Node(NodeArgs),
    /// Host many instances of the policy on the simulator's wire: standard input and output
    Simhost,
    /// Show the node at its work: nodes, app boxes, a box list and clients on loopback, with faults and a referee
    Demo(DemoArgs),
    /// Check an emulated site, or play it in virtual time
    #[command(subcommand)]
    Site(SiteCommand),
    /// Compare variants of a node over sites and seeds, in virtual time
    Experiment(ExperimentArgs),
}

#[derive(Args)]
struct NodeArgs {
    /// How log lines look on standard error
    #[arg(long, value_enum, default_value_t = Format::Text)]
    log: Format,
    /// How many cores to use: each worker is a node of its own in the policy's eyes, at the same address
    #[arg(long, value_name = "N", default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=64))]
    workers: u8,
}

fn main() -> ExitCode {
    // Wrong use ends with 2 in clap's own words.
    let ended = match Cli::parse().command {
        Command::Node(args) => node(&args).map_err(Failure::Failed),
        Command::Simhost => simhost().map_err(Failure::Failed),
        Command::Demo(args) => commands::demo::run(&args),
        Command::Site(command) => commands::site::run(&command),
        Command::Experiment(args) => commands::experiment::run(&args),
    };
    let (words, code) = match ended {
        Ok(()) => return ExitCode::SUCCESS,
        Err(Failure::Failed(words)) => (words, 1),
        Err(Failure::Wrong(words)) => (words, 2),
    };
    for line in words.lines() {
        eprintln!("magpietally: {line}");
    }
    ExitCode::from(code)
}

fn node(args: &NodeArgs) -> Result<(), String> {
    let config = magpietally_http::config::load()?;
    let log = logging::open(args.log)?;
    // A task that panics leaves what it held unanswered, and perhaps the policy half changed. A node that
    // ends is started again; one that is half dead is not. Of several workers only the one that panicked ends.
    std::panic::set_hook(Box::new(|fault| {
        tracing::error!(target: "panic", "{fault}");
        if magpietally_http::note_panic() {
            return;
        }
        // Time for the line; a full pipe must not hold up the end.
        std::thread::sleep(std::time::Duration::from_millis(50));
        std::process::exit(101);
    }));
    let ended = match usize::from(args.workers) {
        1 => magpietally_http::run(config, log.lost_lines()),
        workers => magpietally_http::run_workers(config, workers, log.lost_lines()),
    };
    log.close();
    ended
}

fn simhost() -> Result<(), String> {
    // A panic within one instance is its own, and told on the wire.
    std::panic::set_hook(Box::new(|fault| eprintln!("{fault}")));
    magpietally_simhost::serve(std::io::stdin().lock(), std::io::stdout().lock())
        .map_err(|e| format!("simhost: {e}"))
}
