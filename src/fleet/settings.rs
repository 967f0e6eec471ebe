//! The operators' fleet file: the voters, the addresses of the nodes and the directory of the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use magpietally_policy_change::{Settings, WithoutLease};
use magpietally_quota::Quota;
use magpietally_transport::{Name, Now, Peer};
use serde::Deserialize;

use crate::commands::{invalid_input, read_toml_file, CommandError};

/// The largest file that is read: a thousand peers take a tenth of it.
const FILE_MAX_BYTES: usize = 1 << 20;
/// The longest name of a fleet. The name is hashed, so the limit only catches mistakes.
const FLEET_NAME_MAX_BYTES: usize = 64;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    fleet: String,
    voters: Vec<String>,
    store: PathBuf,
    datagrams: SocketAddr,
    streams: SocketAddr,
    #[serde(default)]
    peers: BTreeMap<String, PeerAddresses>,
    policy_file: Option<PathBuf>,
    #[serde(default)]
    without_lease: WithoutLeaseSetting,
    lease_ms: Option<u64>,
    records: Option<PathBuf>,
    /// A fault to inject, for tests of the checkers; no build of the program itself accepts one.
    planted: Option<String>,
}

/// The addresses of a node.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerAddresses {
    /// For UDP.
    pub datagrams: SocketAddr,
    /// For TCP.
    pub streams: SocketAddr,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WithoutLeaseSetting {
    #[default]
    Stop,
    Serve,
}

/// The checked settings of the file.
#[derive(Debug)]
pub struct Options {
    /// The fleet's name.
    pub fleet: String,
    /// The voters.
    pub voters: Vec<Name>,
    /// The directory of the store.
    pub store: PathBuf,
    /// The addresses this node listens on.
    pub listen: PeerAddresses,
    /// The other nodes and their addresses.
    pub peers: BTreeMap<Name, PeerAddresses>,
    /// The policy document, which is watched and proposed when it changes.
    pub policy_file: Option<PathBuf>,
    /// The settings of the policy change protocol.
    pub policy: Settings,
    /// The file that every decision is recorded in, for the checkers.
    pub records: Option<PathBuf>,
    /// The fault that a test build injects.
    pub injected_fault: Option<String>,
}

/// Reads and checks the file.
///
/// # Errors
/// A line that names the file, and the line or the field.
pub fn read(file: &str) -> Result<Options, CommandError> {
    let parsed: File = read_toml_file(file, FILE_MAX_BYTES)?;
    let fail = |field: &str, message: String| invalid_input(file, &[format!("{field}: {message}")]);
    if parsed.fleet.is_empty() || parsed.fleet.len() > FLEET_NAME_MAX_BYTES {
        return Err(fail("fleet", format!("a name of 1 to {FLEET_NAME_MAX_BYTES} bytes is needed")));
    }
    let name = |field: &str, n: &str| Name::new(n).map_err(|e| fail(field, format!("{n:?}: {e}")));
    let voters = parsed.voters.iter().map(|v| name("voters", v)).collect::<Result<Vec<_>, _>>()?;
    let mut peers = BTreeMap::new();
    for (peer, at) in &parsed.peers {
        if at.datagrams.port() == 0 || at.streams.port() == 0 {
            return Err(fail(&format!("peers.{peer}"), "a peer is reached at a port above 0".into()));
        }
        peers.insert(name("peers", peer)?, *at);
    }
    let mut policy = Settings {
        without_lease: match parsed.without_lease {
            WithoutLeaseSetting::Stop => WithoutLease::Stop,
            WithoutLeaseSetting::Serve => WithoutLease::Serve,
        },
        ..Settings::default()
    };
    if let Some(ms) = parsed.lease_ms {
        policy.term = Duration::from_millis(ms);
        policy.vote_timeout = policy.term.mul_f64(1.1) + Duration::from_secs(5);
        policy.retry_interval = policy.retry_interval.min(policy.term / 8);
    }
    if let Some(planted) = &parsed.planted {
        // A fault of the quotas is injected later, once their protocol exists; here only its name is checked.
        let mut quota =
            Quota::new(Peer::default(), magpietally_quota::LeaseSettings::default(), Now::default());
        if !policy.inject_named(planted) && !quota.inject_fault(planted) {
            return Err(fail("planted", format!("{planted:?} is no fault of this build")));
        }
    }
    policy.validate().map_err(|e| fail("lease_ms", e.to_string()))?;
    magpietally_consensus::Settings::new(voters.clone(), 0)
        .check()
        .map_err(|e| fail("voters", e.to_string()))?;
    if parsed.store.as_os_str().is_empty() {
        return Err(fail("store", "empty".into()));
    }
    Ok(Options {
        fleet: parsed.fleet,
        voters,
        store: parsed.store,
        listen: PeerAddresses { datagrams: parsed.datagrams, streams: parsed.streams },
        peers,
        policy_file: parsed.policy_file,
        policy,
        records: parsed.records,
        injected_fault: parsed.planted,
    })
}

#[cfg(test)]
mod tests;
