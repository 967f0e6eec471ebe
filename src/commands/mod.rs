//! One subcommand a file.

pub mod boxes;
pub mod demo;
pub mod experiment;
pub mod ledger;
pub mod site;

use magpietally_config::file::{read_regular_within, read_text};
use magpietally_os_error::retry::STARTUP_TIMEOUT;
use serde::de::DeserializeOwned;

/// How a subcommand ends: well, failed, or used wrongly.
#[derive(Debug)]
pub enum Failure {
    /// It did its work, and the result is bad; or it could not do it. Exit code 1.
    Failed(String),
    /// A file or an argument makes no sense. Exit code 2.
    Wrong(String),
}

impl From<String> for Failure {
    fn from(words: String) -> Self {
        Self::Failed(words)
    }
}

/// What is wrong with a file, one line each, headed by its name.
pub fn wrong(file: &str, lines: &[String]) -> Failure {
    Failure::Wrong(lines.iter().map(|l| format!("{file}: {l}")).collect::<Vec<_>>().join("\n"))
}

/// The largest text that is read, in bytes.
const TEXT_MOST: usize = 256 << 20;

/// The text of a file.
///
/// # Errors
/// Names the file and why it can't be read.
pub fn text_of(file: &str) -> Result<String, String> {
    read_text(file.as_ref(), TEXT_MOST).map_err(|e| format!("{file}: {e}"))
}

/// An operators' TOML file of at most `most` bytes, read into `T`.
///
/// # Errors
/// One line that names the file, and the line or the field.
pub fn toml_file<T: DeserializeOwned>(file: &str, most: usize) -> Result<T, Failure> {
    let text = read_regular_within(STARTUP_TIMEOUT, file.as_ref(), most)
        .map_err(|e| wrong(file, &[e.to_string()]))?;
    toml::from_str(&text).map_err(|error| {
        let line =
            error.span().map_or(1, |span| 1 + text[..span.start.min(text.len())].matches('\n').count());
        wrong(file, &[format!("line {line}: {}", error.message())])
    })
}
