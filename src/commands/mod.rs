//! The subcommands, one file each.

pub mod boxes;
pub mod demo;
pub mod experiment;
pub mod ledger;
pub mod members;
pub mod site;

use magpietally_config::file::{read_regular_within, read_text};
use magpietally_os_error::retry::STARTUP_TIMEOUT;
use serde::de::DeserializeOwned;

/// Why a subcommand did not succeed.
#[derive(Debug)]
pub enum CommandError {
    /// It could not do its work, or the result is negative. Exit code 1.
    Failed(String),
    /// A file or an argument is invalid. Exit code 2.
    InvalidInput(String),
}

impl From<String> for CommandError {
    fn from(message: String) -> Self {
        Self::Failed(message)
    }
}

/// The error for a file's problems: one line each, which starts with the file's name.
pub fn invalid_input(file: &str, lines: &[String]) -> CommandError {
    CommandError::InvalidInput(lines.iter().map(|l| format!("{file}: {l}")).collect::<Vec<_>>().join("\n"))
}

/// The largest text that is read.
const TEXT_MAX_BYTES: usize = 256 << 20;

/// Reads a text file.
///
/// # Errors
/// Names the file and why it can't be read.
pub fn read_text_file(file: &str) -> Result<String, String> {
    read_text(file.as_ref(), TEXT_MAX_BYTES).map_err(|e| format!("{file}: {e}"))
}

/// Reads an operators' TOML file of at most `max_bytes` bytes into `T`.
///
/// # Errors
/// One line that names the file, and the line or the field.
pub fn read_toml_file<T: DeserializeOwned>(file: &str, max_bytes: usize) -> Result<T, CommandError> {
    let text = read_regular_within(STARTUP_TIMEOUT, file.as_ref(), max_bytes)
        .map_err(|e| invalid_input(file, &[e.to_string()]))?;
    toml::from_str(&text).map_err(|error| {
        let line =
            error.span().map_or(1, |span| 1 + text[..span.start.min(text.len())].matches('\n').count());
        invalid_input(file, &[format!("line {line}: {}", error.message())])
    })
}
