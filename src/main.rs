//! The program: arguments, log and exit codes; each subcommand is a crate's to carry out.

mod commands;
mod end;
mod fleet;
mod logging;
mod membership;
mod operators;

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use commands::boxes::BoxesCommand;
use commands::demo::DemoArgs;
use commands::experiment::ExperimentArgs;
use commands::ledger::LedgerCommand;
use commands::site::SiteCommand;
use commands::Failure;
use logging::Format;
use magpietally_config::fleet_policy::BaseSettings;
use magpietally_config::ServerListFile;
use magpietally_core::AdmissionControl;
use magpietally_http::OperatorOptions;

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
    /// Look into the ledger of requests that must not run twice, and hold it against the app boxes' records
    #[command(subcommand)]
    Ledger(LedgerCommand),
    /// Check a box list's file before a node gets to see it
    #[command(subcommand)]
    Boxes(BoxesCommand),
    /// Compare variants of a node over sites and seeds, in virtual time
    Experiment(ExperimentArgs),
    /// Ask a node for its view of the fleet, at the address its membership listens on
    Members(MembersArgs),
}

#[derive(Args)]
struct MembersArgs {
    /// Where the node's membership listens (`listen` in its membership file)
    #[arg(long, value_name = "ADDR")]
    at: std::net::SocketAddr,
}

#[derive(Args)]
struct NodeArgs {
    /// How log lines look on standard error
    #[arg(long, value_enum, default_value_t = Format::Text)]
    log: Format,
    /// How many cores to use: each worker is a node of its own in the policy's eyes, at the same address
    #[arg(long, value_name = "N", default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=64))]
    workers: u8,
    /// The operators' settings, beside the platform's: deploy/operators.toml shows them all. Without it what they set is off
    #[arg(long, value_name = "FILE")]
    operators: Option<String>,
    /// Membership with other nodes over UDP: deploy/membership.toml shows it. Without it the node knows no peer
    #[arg(long, value_name = "FILE")]
    membership: Option<String>,
    /// A fleet that decides together on policy and quotas: deploy/fleet.toml shows it. Without it the node stands alone
    #[arg(long, value_name = "FILE")]
    fleet: Option<String>,
}

/// How long the end of a node waits for the ledger's last records; SIGKILL is near by then.
const LAST_RECORDS: Duration = Duration::from_millis(120);

fn main() -> ExitCode {
    // Wrong use ends with 2 in clap's own words.
    let ended = match Cli::parse().command {
        Command::Node(args) => node(&args),
        Command::Simhost => simhost().map_err(Failure::Failed),
        Command::Demo(args) => commands::demo::run(&args),
        Command::Site(command) => commands::site::run(&command),
        Command::Boxes(command) => commands::boxes::run(&command),
        Command::Ledger(command) => commands::ledger::run(&command),
        Command::Experiment(args) => commands::experiment::run(&args),
        Command::Members(args) => membership::members(args.at),
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

fn node(args: &NodeArgs) -> Result<(), Failure> {
    let operators = args.operators.as_deref().map(operators::read).transpose()?.unwrap_or_default();
    let members = args.membership.as_deref().map(membership::read).transpose()?;
    let fleet = args.fleet.as_deref().map(fleet::read).transpose()?;
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
        std::thread::sleep(Duration::from_millis(50));
        std::process::exit(101);
    }));
    let boxes = operators.boxes.as_ref().map(ServerListFile::start).transpose();
    let boxes = boxes.map_err(|e| format!("boxes.file: {e}"))?;
    let (ledger, running) = match operators.ledger {
        Some(options) => operators::start_ledger(&config.name, options)?,
        None => (None, None),
    };
    let members = members.map(|options| membership::start(&config.name, options)).transpose()?;
    let ground = || BaseSettings {
        settings: config.received.settings.clone(),
        classes: config.received.classes.clone(),
        tenants: config.received.tenants.clone(),
    };
    let fleet = fleet.map(|options| fleet::start(&config.name, options, ground())).transpose()?;
    let gate = fleet.as_ref().map(|fleet| fleet.gate.clone() as Arc<dyn AdmissionControl>);
    let extras = OperatorOptions { ledger, server_list: boxes, admission: gate };
    let ended = match usize::from(args.workers) {
        1 => magpietally_http::run(config, extras, log.lost_lines()),
        workers => magpietally_http::run_workers(config, workers, extras, log.lost_lines()),
    };
    // A part that could not go on has ended the node in order; that is what is told of its end.
    let ended = ended.and(members.map_or(Ok(()), membership::Running::leave));
    let ended = ended.and(fleet.map_or(Ok(()), fleet::Running::leave));
    if running.is_some_and(|running| !running.close(LAST_RECORDS)) {
        tracing::warn!(target: "ledger", "its last records were not written in time");
    }
    log.close();
    ended.map_err(Failure::Failed)
}

fn simhost() -> Result<(), String> {
    // A panic within one instance is its own, and told on the wire.
    std::panic::set_hook(Box::new(|fault| eprintln!("{fault}")));
    magpietally_simhost::serve(std::io::stdin().lock(), std::io::stdout().lock())
        .map_err(|e| format!("simhost: {e}"))
}
