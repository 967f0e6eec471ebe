//! The program: command-line arguments, logging and exit codes. The crates implement the subcommands.

mod commands;
mod fleet;
mod listener_id;
mod logging;
mod membership;
mod operators;
mod shutdown;

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use commands::boxes::BoxesCommand;
use commands::demo::DemoArgs;
use commands::experiment::ExperimentArgs;
use commands::ledger::LedgerCommand;
use commands::site::SiteCommand;
use commands::CommandError;
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
    /// Run one node with the platform's configuration (BALANCER_CONFIG names the file)
    Node(NodeArgs),
    /// Host many instances of the policy for the simulator, over standard input and output
    Simhost,
    /// Demonstrate the node: nodes, app boxes, a box list and clients on loopback, with faults and a referee
    Demo(DemoArgs),
    /// Check an emulated site, or simulate it in virtual time
    #[command(subcommand)]
    Site(SiteCommand),
    /// Inspect the ledger of requests that must not run twice, and compare it with the app boxes' records
    #[command(subcommand)]
    Ledger(LedgerCommand),
    /// Check a box list's file before a node reads it
    #[command(subcommand)]
    Boxes(BoxesCommand),
    /// Compare variants of a node over sites and seeds, in virtual time
    Experiment(ExperimentArgs),
    /// Query a node for its view of the fleet, at the address its membership listens on
    Members(MembersArgs),
}

#[derive(Args)]
struct MembersArgs {
    /// Address that the node's membership listens on (`listen` in its membership file)
    #[arg(long, value_name = "ADDR")]
    at: std::net::SocketAddr,
}

#[derive(Args)]
struct NodeArgs {
    /// Format of log lines on standard error
    #[arg(long, value_enum, default_value_t = Format::Text)]
    log: Format,
    /// How many worker threads to run: the policy treats each as a separate node, all at the same address
    #[arg(long, value_name = "N", default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=64))]
    workers: u8,
    /// The operators' settings file: deploy/operators.toml shows them all. Without it these features are off
    #[arg(long, value_name = "FILE")]
    operators: Option<String>,
    /// Membership with other nodes over UDP: deploy/membership.toml is an example. Without it the node knows
    /// no peers
    #[arg(long, value_name = "FILE")]
    membership: Option<String>,
    /// A fleet that agrees on policy and quotas: deploy/fleet.toml is an example. Without it the node works
    /// alone
    #[arg(long, value_name = "FILE")]
    fleet: Option<String>,
}

/// How long shutdown waits for the ledger's last records; the platform sends SIGKILL soon after.
const LEDGER_FLUSH_TIMEOUT: Duration = Duration::from_millis(120);

fn main() -> ExitCode {
    // clap reports wrong usage itself, with exit code 2.
    let result = match Cli::parse().command {
        Command::Node(args) => node(&args),
        Command::Simhost => simhost().map_err(CommandError::Failed),
        Command::Demo(args) => commands::demo::run(&args),
        Command::Site(command) => commands::site::run(&command),
        Command::Boxes(command) => commands::boxes::run(&command),
        Command::Ledger(command) => commands::ledger::run(&command),
        Command::Experiment(args) => commands::experiment::run(&args),
        Command::Members(args) => commands::members::run(args.at),
    };
    let (message, code) = match result {
        Ok(()) => return ExitCode::SUCCESS,
        Err(CommandError::Failed(message)) => (message, 1),
        Err(CommandError::InvalidInput(message)) => (message, 2),
    };
    for line in message.lines() {
        eprintln!("magpietally: {line}");
    }
    ExitCode::from(code)
}

fn node(args: &NodeArgs) -> Result<(), CommandError> {
    let operators = args.operators.as_deref().map(operators::read).transpose()?.unwrap_or_default();
    let membership_options = args.membership.as_deref().map(membership::read).transpose()?;
    let fleet_options = args.fleet.as_deref().map(fleet::read).transpose()?;
    let config = magpietally_http::config::load()?;
    let log = logging::open(args.log)?;
    // A task that panics leaves its requests unanswered and perhaps the policy's state inconsistent. A node
    // that exits is restarted; one that is only partly working is not. With several workers only the one that
    // panicked ends.
    std::panic::set_hook(Box::new(|panic| {
        tracing::error!(target: "panic", "{panic}");
        if magpietally_http::note_panic() {
            return;
        }
        // Gives the log thread time to write the line; a full pipe must not delay the exit.
        std::thread::sleep(Duration::from_millis(50));
        std::process::exit(101);
    }));
    let server_list = operators.server_list.as_ref().map(ServerListFile::start).transpose();
    let server_list = server_list.map_err(|e| format!("boxes.file: {e}"))?;
    let (ledger, ledger_writer) = match operators.ledger {
        Some(options) => operators::start_ledger(&config.name, options)?,
        None => (None, None),
    };
    let membership = membership_options
        .map(|options| membership::start(&config.name, options, config.inherited_fd))
        .transpose()?;
    let base_settings = || BaseSettings {
        settings: config.received.settings.clone(),
        classes: config.received.classes.clone(),
        tenants: config.received.tenants.clone(),
    };
    let fleet =
        fleet_options.map(|options| fleet::start(&config.name, options, base_settings())).transpose()?;
    let admission = fleet.as_ref().map(|fleet| fleet.shared.clone() as Arc<dyn AdmissionControl>);
    let stop_notice = membership.as_ref().map(membership::MembershipThread::stop_notice);
    let extras = OperatorOptions { ledger, server_list, admission, stop_notice };
    let result = match usize::from(args.workers) {
        1 => magpietally_http::run(config, extras, log.dropped_lines()),
        workers => magpietally_http::run_workers(config, workers, extras, log.dropped_lines()),
    };
    // A background component that failed has requested the shutdown: its error is the one reported.
    let result = result.and(membership.map_or(Ok(()), membership::MembershipThread::leave));
    let result = result.and(fleet.map_or(Ok(()), fleet::FleetThread::leave));
    if ledger_writer.is_some_and(|writer| !writer.close(LEDGER_FLUSH_TIMEOUT)) {
        tracing::warn!(target: "ledger", "the last records were not written in time");
    }
    log.close();
    result.map_err(CommandError::Failed)
}

fn simhost() -> Result<(), String> {
    // A panic stays within its instance and is reported to the simulator in the protocol.
    std::panic::set_hook(Box::new(|panic| eprintln!("{panic}")));
    magpietally_simhost::serve(std::io::stdin().lock(), std::io::stdout().lock())
        .map_err(|e| format!("simhost: {e}"))
}
