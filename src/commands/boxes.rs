//! `magpietally boxes`: checks a server list file as a node would.

use std::path::PathBuf;

use clap::{Args, Subcommand};
use magpietally_config::file::read as read_file;
use magpietally_config::server_list::{expected_sum, parse, FILE_MAX_BYTES};
use magpietally_config::{Problem, ServerState};
use serde_json::json;

use super::{invalid_input, CommandError};

/// The operations on a list.
#[derive(Subcommand)]
pub enum BoxesCommand {
    /// Report every problem of a list with its line; exit code 2 if there are any
    Check(CheckArgs),
    /// Print the correct value of the list's `sum`
    Sum {
        /// The list file
        file: PathBuf,
    },
}

#[derive(Args)]
pub struct CheckArgs {
    /// The list file
    file: PathBuf,
    /// Print one JSON object, for programs
    #[arg(long)]
    json: bool,
}

/// Runs the subcommand.
pub fn run(command: &BoxesCommand) -> Result<(), CommandError> {
    let file = match command {
        BoxesCommand::Check(args) => &args.file,
        BoxesCommand::Sum { file } => file,
    };
    let name = file.display().to_string();
    let bytes =
        read_file(file, FILE_MAX_BYTES).map_err(|e| CommandError::InvalidInput(format!("{name}: {e}")))?;
    let args = match command {
        BoxesCommand::Check(args) => args,
        BoxesCommand::Sum { .. } => {
            let sum = expected_sum(&bytes)
                .ok_or_else(|| CommandError::InvalidInput(format!("{name}: it has no sum = \"...\"")))?;
            println!("{sum}");
            return Ok(());
        }
    };
    match parse(&bytes) {
        Ok(list) => {
            let draining = list.servers.iter().filter(|b| b.state == ServerState::Draining).count();
            if args.json {
                println!("{}", json!({"boxes": list.servers.len(), "draining": draining, "problems": []}));
            } else {
                println!("{name}: {} boxes, {draining} of them draining", list.servers.len());
            }
            Ok(())
        }
        Err(problems) => {
            if args.json {
                println!("{}", json!({ "problems": problems }));
            }
            Err(invalid_input(&name, &problems.iter().map(Problem::to_string).collect::<Vec<_>>()))
        }
    }
}
