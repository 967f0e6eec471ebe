//! The operators' settings file: optional features on top of the platform's configuration.

use magpietally_config::WatchOptions;
use magpietally_ledger::recovery::Finding;
use magpietally_ledger::settings::LedgerSettings;
use magpietally_ledger::{Ledger, Options, WriterHandle};
use serde::Deserialize;

use crate::commands::{invalid_input, read_toml_file, CommandError};

/// The largest file that is read.
const FILE_MAX_BYTES: usize = 1 << 20;
/// The most intents of earlier runs with an unknown outcome that are logged one by one.
const UNKNOWN_INTENTS_LOGGED_MAX: usize = 32;

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    ledger: Option<LedgerSettings>,
    boxes: Option<WatchOptions>,
}

/// The features that the file enables.
#[derive(Default)]
pub struct OperatorSettings {
    /// Options of the ledger.
    pub ledger: Option<Options>,
    /// Options of the watched server list file.
    pub server_list: Option<WatchOptions>,
}

/// Reads and checks the file.
///
/// # Errors
/// A line for each problem, with the file's name and the line or the field.
pub fn read(file: &str) -> Result<OperatorSettings, CommandError> {
    let parsed: File = read_toml_file(file, FILE_MAX_BYTES)?;
    let ledger =
        parsed.ledger.map(|l| l.options()).transpose().map_err(|message| invalid_input(file, &[message]))?;
    if let Some(Err(message)) = parsed.boxes.as_ref().map(WatchOptions::check) {
        return Err(invalid_input(file, &[message]));
    }
    Ok(OperatorSettings { ledger, server_list: parsed.boxes })
}

/// Opens the ledger and logs the unfinished records of earlier runs.
///
/// # Errors
/// The directory belongs to another node or can't be read: requests that must not run twice would not be
/// safe.
pub fn start_ledger(
    node: &str,
    options: Options,
) -> Result<(Option<Ledger>, Option<WriterHandle>), CommandError> {
    let directory = options.directory.display().to_string();
    let durability = options.journal_options.durability;
    let (ledger, writer, recovered) = Ledger::start(node, options)
        .map_err(|e| CommandError::Failed(format!("ledger: {directory}: {e}")))?;
    tracing::info!(
        target: "ledger",
        "{directory}, {durability}; {} intents of earlier lives are unknown",
        recovered.open.len()
    );
    for open in recovered.open.iter().take(UNKNOWN_INTENTS_LOGGED_MAX) {
        let intent = &open.intent;
        let trust_note = if open.trusted { "" } else { ", not trusted" };
        tracing::warn!(
            target: "ledger",
            "unknown: {} {} at {}, intent {}{trust_note}",
            intent.class, intent.id, intent.server, intent.number
        );
    }
    if recovered.open.len() > UNKNOWN_INTENTS_LOGGED_MAX {
        tracing::warn!(target: "ledger", "and {} more; `magpietally ledger open`", recovered.open.len() - UNKNOWN_INTENTS_LOGGED_MAX);
    }
    for finding in &recovered.findings {
        if Finding::is_damage(finding) {
            tracing::error!(target: "ledger", "{finding}");
        } else {
            tracing::info!(target: "ledger", "{finding}");
        }
    }
    if recovered.over > 0 {
        let over = recovered.over;
        tracing::error!(target: "ledger", "{over} unknown intents too many: settle them, or raise ledger.open");
    }
    Ok((Some(ledger), Some(writer)))
}

#[cfg(test)]
mod tests;
