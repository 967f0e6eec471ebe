//! The operators' file: what installations may switch on beside the platform's configuration.

use magpietally_config::WatchOptions;
use magpietally_ledger::recovery::Finding;
use magpietally_ledger::settings::LedgerSettings;
use magpietally_ledger::{Ledger, Options, WriterHandle};
use serde::Deserialize;

use crate::commands::{toml_file, wrong, Failure};

/// The largest file that is read, in bytes.
const FILE_MOST: usize = 1 << 20;
/// Open intents of earlier lives that the log names one by one.
const NAMED: usize = 32;

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    ledger: Option<LedgerSettings>,
    boxes: Option<WatchOptions>,
}

/// What is switched on.
#[derive(Default)]
pub struct Operators {
    /// The ledger.
    pub ledger: Option<Options>,
    /// The box list's file.
    pub boxes: Option<WatchOptions>,
}

/// Reads the file.
///
/// # Errors
/// One line that names the file, and the line or the field.
pub fn read(file: &str) -> Result<Operators, Failure> {
    let parsed: File = toml_file(file, FILE_MOST)?;
    let ledger = parsed.ledger.map(|l| l.options()).transpose().map_err(|words| wrong(file, &[words]))?;
    if let Some(Err(words)) = parsed.boxes.as_ref().map(WatchOptions::check) {
        return Err(wrong(file, &[words]));
    }
    Ok(Operators { ledger, boxes: parsed.boxes })
}

/// Opens the ledger and says in the log what an earlier life has left.
///
/// # Errors
/// Where the directory is another's or can't be read: nothing that must not run twice would be safe.
pub fn start_ledger(node: &str, options: Options) -> Result<(Option<Ledger>, Option<WriterHandle>), Failure> {
    let directory = options.directory.display().to_string();
    let promise = options.journal_options.durability;
    let (ledger, running, recovered) =
        Ledger::start(node, options).map_err(|e| Failure::Failed(format!("ledger: {directory}: {e}")))?;
    tracing::info!(
        target: "ledger",
        "{directory}, {promise}; {} intents of earlier lives are unknown",
        recovered.open.len()
    );
    for open in recovered.open.iter().take(NAMED) {
        let intent = &open.intent;
        let doubt = if open.trusted { "" } else { ", not trusted" };
        tracing::warn!(
            target: "ledger",
            "unknown: {} {} at {}, intent {}{doubt}",
            intent.class, intent.id, intent.server, intent.number
        );
    }
    if recovered.open.len() > NAMED {
        tracing::warn!(target: "ledger", "and {} more; `magpietally ledger open`", recovered.open.len() - NAMED);
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
    Ok((Some(ledger), Some(running)))
}

#[cfg(test)]
mod tests;
