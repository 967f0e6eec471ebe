//! The operators' membership file.

use std::net::SocketAddrV4;
use std::time::Duration;

use magpietally_membership::Settings;
use serde::Deserialize;

use crate::commands::{invalid_input, read_toml_file, CommandError};

/// The largest file that is read.
const FILE_MAX_BYTES: usize = 1 << 16;
/// The most seeds a file may name.
const SEEDS_MAX: usize = 1024;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    listen: String,
    advertise: Option<String>,
    #[serde(default)]
    seeds: Vec<String>,
    fleet_size: Option<u32>,
    probe_period_ms: Option<u64>,
    suspect_for_ms: Option<u64>,
}

/// The settings of the operators' membership file.
pub struct Options {
    /// Address of the node's own socket; port 0 selects a free port.
    pub(super) listen: SocketAddrV4,
    /// Address that peers send to, if it is another one.
    pub(super) advertise: Option<SocketAddrV4>,
    /// Nodes to join through.
    pub(super) seeds: Vec<SocketAddrV4>,
    /// Timing of the protocol.
    pub(super) settings: Settings,
}

/// Reads and checks the file.
///
/// # Errors
/// A line that names the file, and the line or the field.
pub fn read(file: &str) -> Result<Options, CommandError> {
    let parsed: File = read_toml_file(file, FILE_MAX_BYTES)?;
    let address = |field: &str, value: &str| {
        value
            .parse::<SocketAddrV4>()
            .map_err(|_| invalid_input(file, &[format!("{field}: {value:?} is no IPv4 address with a port")]))
    };
    let listen = address("listen", &parsed.listen)?;
    let advertise = parsed.advertise.as_deref().map(|a| address("advertise", a)).transpose()?;
    if advertise.is_some_and(|a| a.port() == 0 || a.ip().is_unspecified()) {
        return Err(invalid_input(
            file,
            &["advertise: peers must be able to send to it: a port and an address".into()],
        ));
    }
    if parsed.seeds.len() > SEEDS_MAX {
        return Err(invalid_input(
            file,
            &[format!("seeds: {} named, at most {SEEDS_MAX}", parsed.seeds.len())],
        ));
    }
    let seeds = parsed.seeds.iter().map(|s| address("seeds", s)).collect::<Result<Vec<_>, _>>()?;
    let mut settings = Settings::default();
    if let Some(n) = parsed.fleet_size {
        settings.fleet_size = n.clamp(1, 100_000);
    }
    let millis = |field: &str, value: Option<u64>, min: u64, default: Duration| match value {
        None => Ok(default),
        Some(ms) if (min..=600_000).contains(&ms) => Ok(Duration::from_millis(ms)),
        Some(ms) => Err(invalid_input(file, &[format!("{field}: {ms} is out of {min} to 600000")])),
    };
    settings.probe_period = millis("probe_period_ms", parsed.probe_period_ms, 100, settings.probe_period)?;
    settings.probe_rtt = settings.probe_rtt.min(settings.probe_period / 2);
    settings.suspicion_min = millis("suspect_for_ms", parsed.suspect_for_ms, 500, settings.suspicion_min)?;
    Ok(Options { listen, advertise, seeds, settings })
}

#[cfg(test)]
mod tests;
