//! The JSON format in which discovery sends the list of servers.

use std::net::SocketAddr;

use magpietally_core::{ListedServer, ServerListing};
use magpietally_policy::ListedState;
use serde::Deserialize;
use serde_json::Value;

/// One JSON object of discovery: the whole list, or changes.
#[derive(Deserialize)]
struct Update {
    /// The list's version.
    #[serde(rename = "seq")]
    version: u64,
    /// Whether this is the whole list and not only changes.
    #[serde(rename = "whole")]
    whole: bool,
    /// The entries.
    hosts: Vec<Host>,
}

/// One entry of the list.
#[derive(Deserialize)]
struct Host {
    /// The server's name, the same at every node.
    host: String,
    /// The address it listens at; a removed server may have none.
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
    #[serde(default = "default_weight", rename = "share")]
    weight: f64,
    /// When it last started, as Unix time in milliseconds; 0 if long ago.
    #[serde(default, rename = "born_ms")]
    start_ms: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// The state of a server.
#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
enum Health {
    /// In service.
    Active,
    /// Draining: finishing its requests.
    Leaving,
    /// Removed.
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
            start_ms: host.start_ms,
        }
    }
}

/// Parses the object of a list.
///
/// # Errors
/// One line that names what is missing or malformed.
pub fn parse_value(value: Value) -> Result<ServerListing, String> {
    validate(serde_json::from_value(value).map_err(|e| e.to_string())?)
}

/// Why a list can't be parsed.
#[derive(Debug)]
pub enum ListError {
    /// The data ends too early: what follows may complete it.
    Truncated(String),
    /// The data is malformed, whatever follows.
    Malformed(String),
}

impl ListError {
    /// Returns the description of the error.
    pub fn message(self) -> String {
        match self {
            Self::Truncated(message) | Self::Malformed(message) => message,
        }
    }
}

/// Parses the bytes of an object. A list of thousands of servers is parsed without an intermediate value
/// tree.
///
/// # Errors
/// Names what is missing or malformed.
pub fn parse_line(line: &[u8]) -> Result<ServerListing, ListError> {
    let update = serde_json::from_slice(line).map_err(|error| match error.is_eof() {
        true => ListError::Truncated(error.to_string()),
        false => ListError::Malformed(error.to_string()),
    })?;
    validate(update).map_err(ListError::Malformed)
}

fn validate(update: Update) -> Result<ServerListing, String> {
    if let Some(host) = update.hosts.iter().find(|h| h.dial.is_none() && h.health != Health::Left) {
        return Err(format!("{}: dial is missing", host.host));
    }
    let members = update.hosts.into_iter().map(ListedServer::from).collect();
    Ok(ServerListing { version: update.version, complete: update.whole, servers: members })
}
