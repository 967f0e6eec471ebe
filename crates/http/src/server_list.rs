//! How discovery words the list of servers.

use std::net::SocketAddr;

use magpietally_core::{ListedServer, ServerListing};
use magpietally_policy::ListedState;
use serde::Deserialize;
use serde_json::Value;

/// One line of discovery.
#[derive(Deserialize)]
struct Update {
    /// The list's version.
    #[serde(rename = "seq")]
    version: u64,
    /// The whole list, not just changes.
    #[serde(rename = "whole")]
    whole: bool,
    /// The entries.
    hosts: Vec<Host>,
}

/// One server of a line.
#[derive(Deserialize)]
struct Host {
    /// Its name, the same at every node.
    host: String,
    /// Where it listens; one that is gone may have none.
    #[serde(default, rename = "dial")]
    dial: Option<SocketAddr>,
    /// Its zone.
    #[serde(default, rename = "site")]
    zone: String,
    /// Its kind of machine.
    #[serde(default, rename = "class")]
    kind: String,
    /// Its cell.
    #[serde(default, rename = "block")]
    cell: u64,
    /// Its state.
    health: Health,
    /// Its weight.
    #[serde(default = "one", rename = "share")]
    weight: f64,
    /// When it last started, Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    born_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// The state of a server.
#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
enum Health {
    /// In service.
    Active,
    /// Finishing its work.
    Leaving,
    /// Gone.
    Left,
}

impl From<Health> for ListedState {
    fn from(health: Health) -> Self {
        match health {
            Health::Active => Self::Up,
            Health::Leaving => Self::Draining,
            Health::Left => Self::Gone,
        }
    }
}

impl From<Host> for ListedServer {
    fn from(host: Host) -> Self {
        Self {
            name: host.host,
            address: host.dial,
            zone: host.zone,
            kind: host.kind,
            cell: host.cell,
            state: host.health.into(),
            weight: host.weight,
            start_ms: host.born_ms,
        }
    }
}

/// Reads a line's object.
///
/// # Errors
/// Names what is missing or malformed.
pub fn parse_value(value: Value) -> Result<ServerListing, String> {
    checked(serde_json::from_value(value).map_err(|e| e.to_string())?)
}

/// Why a line can't be read.
#[derive(Debug)]
pub enum ListError {
    /// It ends in the middle: what follows may belong to it.
    Truncated(String),
    /// Whatever follows.
    Malformed(String),
}

impl ListError {
    /// What is wrong, in words.
    pub fn message(self) -> String {
        match self {
            Self::Truncated(words) | Self::Malformed(words) => words,
        }
    }
}

/// Reads a line as it came. A list of thousands is read without a tree of values in between.
///
/// # Errors
/// Names what is missing or malformed.
pub fn parse_line(line: &[u8]) -> Result<ServerListing, ListError> {
    let update = serde_json::from_slice(line).map_err(|error| match error.is_eof() {
        true => ListError::Truncated(error.to_string()),
        false => ListError::Malformed(error.to_string()),
    })?;
    checked(update).map_err(ListError::Malformed)
}

fn checked(update: Update) -> Result<ServerListing, String> {
    if let Some(host) = update.hosts.iter().find(|h| h.dial.is_none() && h.health != Health::Left) {
        return Err(format!("{}: dial is missing", host.host));
    }
    let members = update.hosts.into_iter().map(ListedServer::from).collect();
    Ok(ServerListing { version: update.version, complete: update.whole, servers: members })
}
