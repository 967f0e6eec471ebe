//! The operators' file of the fleet: who votes, where nodes reach each other, where the store lies.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use magpietally_policy_change::{Settings, WithoutLease};
use magpietally_quota::Quota;
use magpietally_transport::{Name, Now, Peer};
use serde::Deserialize;

use crate::commands::{invalid_input, read_toml_file, CommandError};

/// The largest file that is read, in bytes: a thousand peers take a tenth of it.
const FILE_MOST: usize = 1 << 20;
/// The longest fleet's name, in bytes: it is hashed, so this only keeps mistakes out.
const FLEET_MOST: usize = 64;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    fleet: String,
    voters: Vec<String>,
    store: PathBuf,
    datagrams: SocketAddr,
    streams: SocketAddr,
    #[serde(default)]
    peers: BTreeMap<String, At>,
    policy_file: Option<PathBuf>,
    #[serde(default)]
    without_lease: Without,
    lease_ms: Option<u64>,
    records: Option<PathBuf>,
    /// A fault for the tests of the checkers; no build of the program knows any.
    planted: Option<String>,
}

/// Where a node is reached.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct At {
    /// Over UDP.
    pub datagrams: SocketAddr,
    /// Over TCP.
    pub streams: SocketAddr,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Without {
    #[default]
    Stop,
    Serve,
}

/// What the file sets, checked.
#[derive(Debug)]
pub struct Options {
    /// The fleet's name.
    pub fleet: String,
    /// Who votes.
    pub voters: Vec<Name>,
    /// The directory of the store.
    pub store: PathBuf,
    /// Where this node listens.
    pub listen: At,
    /// The other nodes, and where each is reached.
    pub peers: BTreeMap<Name, At>,
    /// The document that is watched and proposed when it changes.
    pub policy_file: Option<PathBuf>,
    /// The room's settings.
    pub policy: Settings,
    /// Where each decision is recorded, for checkers.
    pub records: Option<PathBuf>,
    /// A fault of a test's build.
    pub planted: Option<String>,
}

/// Reads the file.
///
/// # Errors
/// One line that names the file, and the line or the field.
pub fn read(file: &str) -> Result<Options, CommandError> {
    let parsed: File = read_toml_file(file, FILE_MOST)?;
    let fail = |field: &str, what: String| invalid_input(file, &[format!("{field}: {what}")]);
    if parsed.fleet.is_empty() || parsed.fleet.len() > FLEET_MOST {
        return Err(fail("fleet", format!("a name of 1 to {FLEET_MOST} bytes is needed")));
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
            Without::Stop => WithoutLease::Stop,
            Without::Serve => WithoutLease::Serve,
        },
        ..Settings::default()
    };
    if let Some(ms) = parsed.lease_ms {
        policy.term = Duration::from_millis(ms);
        policy.vote_timeout = policy.term.mul_f64(1.1) + Duration::from_secs(5);
        policy.retry_interval = policy.retry_interval.min(policy.term / 8);
    }
    if let Some(planted) = &parsed.planted {
        // The quotas' are planted once their room is there.
        let mut probe =
            Quota::new(Peer::default(), magpietally_quota::LeaseSettings::default(), Now::default());
        if !policy.inject_named(planted) && !probe.inject_fault(planted) {
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
        listen: At { datagrams: parsed.datagrams, streams: parsed.streams },
        peers,
        policy_file: parsed.policy_file,
        policy,
        records: parsed.records,
        planted: parsed.planted,
    })
}

#[cfg(test)]
mod tests;
