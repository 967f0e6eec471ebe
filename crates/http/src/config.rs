//! The configuration that a node reads at its start, from the environment and a configuration file.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use magpietally_config::file::read_regular_within;
use magpietally_core::ServerListing;
use magpietally_os_error::retry::STARTUP_TIMEOUT;
use magpietally_os_error::{classify, Call};
use magpietally_policy::Discovery;
use magpietally_settings::ReceivedSettings;
use magpietally_structures::GOLDEN_GAMMA;
use serde_json::{Map, Value};

use crate::management;
use crate::server_list;

/// The node's configuration.
#[derive(Clone)]
pub struct Config {
    /// The node's name.
    pub name: String,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The management address, if one is configured.
    pub management: Option<SocketAddr>,
    /// The descriptor of the inherited listening socket, if the platform holds it.
    pub inherited_fd: Option<u32>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Limit of the process's open file descriptors.
    pub max_descriptors: usize,
    /// Memory limit, in MB.
    pub memory_mb: usize,
    /// The list of servers as last received before the start.
    pub saved_list: Option<ServerListing>,
    /// The settings of the policy.
    pub received: ReceivedSettings,
    /// The part of the file that takes effect only at a restart.
    pub restart_only: Arc<Value>,
}

/// Size limit of the configuration file; a list of thousands of servers takes a tenth of it.
const MAX_FILE_BYTES: usize = 8 << 20;
/// Descriptor limit where the configuration names none.
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// The smallest descriptor limit with which a node can work.
const MIN_DESCRIPTORS: u64 = 32;

/// Fields that a reload does not apply. It applies discovery's address; the rest of the file only matters at
/// a start.
const RESTART_ONLY: [&str; 5] = ["name", "listen", "management", "limits", "settings"];
/// Descriptors of the process itself: standard streams, the runtime, the listener, the old and the new call
/// to discovery, and those that one side is closing while the other side already opens new ones.
const RESERVED_DESCRIPTORS: usize = 16;
/// Client connections for each MB. One holds a head, the unreserved parts of a body and a response, and its
/// task, 0.03 MB in all; more than that is reserved in a memory budget.
const CLIENT_CONNECTIONS_PER_MB: usize = 8;
/// Server connections for each MB. One holds 0.03 MB, most of it in hyper's buffers.
const SERVER_CONNECTIONS_PER_MB: usize = 6;
/// Bytes read at a time for each MB, and their bounds: one less than hyper's initial buffer, which then never
/// grows, and its largest.
const READ_BYTES_PER_MB: usize = 200;
const READ_BYTES_MIN: usize = 8 * 1024 - 1;
const READ_BYTES_MAX: usize = 32 * 1024;
/// Memory limit where the configuration names none.
const DEFAULT_MEMORY_MB: u64 = 192;
/// The smallest memory limit with which a node can work.
const MIN_MEMORY_MB: u64 = 8;

impl Config {
    /// The configuration of one worker: its share of the process's limits, and a number of its own among the
    /// workers of all nodes. The policy treats each worker as a node, so that a limit for all nodes together
    /// holds for all workers together.
    ///
    /// # Errors
    /// Names the limit of which a worker's share is too small.
    pub fn for_worker(&self, worker: usize, workers: usize) -> Result<Self, String> {
        let mut part = self.clone();
        (part.max_descriptors, part.memory_mb) = (self.max_descriptors / workers, self.memory_mb / workers);
        for (name, share, min) in
            [("sockets", part.max_descriptors, MIN_DESCRIPTORS), ("memory_mb", part.memory_mb, MIN_MEMORY_MB)]
        {
            if (share as u64) < min {
                return Err(format!(
                    "limits.{name}: {share} for each of {workers} workers, {min} are needed at least"
                ));
            }
        }
        part.received.open_cap = (self.received.open_cap / workers).max(1);
        let settings = &mut part.received.settings;
        settings.number = settings.number * workers + worker;
        settings.nodes *= workers;
        // Spreads the seeds as far apart as those of nodes.
        part.seed = self.seed.wrapping_add((worker as u64).wrapping_mul(GOLDEN_GAMMA));
        Ok(part)
    }

    /// Returns the path of the first field that differs in a newer file and takes effect only at a restart.
    pub fn changed_restart_only_field(&self, newer: &Self) -> Option<String> {
        first_difference(&self.restart_only, &newer.restart_only)
    }

    /// The maximum number of client connections: half of the descriptors that the process itself does not
    /// need, as far as memory allows.
    pub fn max_client_connections(&self) -> usize {
        (self.connection_descriptors() / 2).min(self.memory_mb * CLIENT_CONNECTIONS_PER_MB).max(1)
    }

    /// The maximum number of server connections: the other half, as far as memory allows.
    pub fn max_server_connections(&self) -> usize {
        (self.connection_descriptors() - self.max_client_connections())
            .min(self.memory_mb * SERVER_CONNECTIONS_PER_MB)
    }

    /// The maximum number of bytes that a connection reads at a time. hyper doubles its buffer when a read fills
    /// it, and an idle connection keeps it.
    pub fn read_max_bytes(&self) -> usize {
        (self.memory_mb * READ_BYTES_PER_MB).clamp(READ_BYTES_MIN, READ_BYTES_MAX)
    }

    /// The number of descriptors for client and server connections.
    fn connection_descriptors(&self) -> usize {
        let for_management = if self.management.is_some() { management::MAX_DESCRIPTORS } else { 0 };
        // Only a limit close to the minimum leaves so few; calls then compete for descriptors with the
        // connections.
        (self.max_descriptors - RESERVED_DESCRIPTORS).saturating_sub(for_management).max(2)
    }
}

/// Reads the configuration of this process.
///
/// # Errors
/// One line that names the file and the field, or the environment variable.
pub fn load() -> Result<Config, String> {
    let (file, value) = read_file(STARTUP_TIMEOUT).map_err(|e| e.to_string())?;
    parse(&file, &value, |name| std::env::var(name).ok())
}

/// Why a configuration can't be read.
#[derive(Debug)]
pub enum ConfigError {
    /// The file, named here, can't be read.
    Read(String, io::Error),
    /// The content is invalid, as described in one line.
    Invalid(String),
}

impl ConfigError {
    /// Returns whether reading the file may succeed a moment later.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Read(_, error) if classify(Call::File, error).is_transient())
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(name, error) => write!(f, "{name}: {error}"),
            Self::Invalid(text) => f.write_str(text),
        }
    }
}

impl std::error::Error for ConfigError {}

/// Reads the file again. The environment dates from the start, and its discovery address is what a new file
/// replaces, so for that field the file takes precedence. The rest of the environment still applies.
///
/// # Errors
/// Names the file and the field, or the environment variable.
pub fn reload() -> Result<Config, ConfigError> {
    // A serving process must not wait for its disk: the caller retries.
    let (file, value) = read_file(Duration::ZERO)?;
    let env = |name: &str| std::env::var(name).ok().filter(|_| name != "BALANCER_DISCOVERY");
    parse(&file, &value, env).map_err(ConfigError::Invalid)
}

/// Reads the file; returns the name under which errors refer to it, and its content.
fn read_file(within: Duration) -> Result<(String, Value), ConfigError> {
    let invalid = ConfigError::Invalid;
    let path = std::env::var("BALANCER_CONFIG").map_err(|_| invalid("BALANCER_CONFIG: not set".into()))?;
    let name = format!("BALANCER_CONFIG: {path}");
    let text = match read_regular_within(within, path.as_ref(), MAX_FILE_BYTES) {
        Ok(text) => text,
        Err(error) => return Err(ConfigError::Read(name, error)),
    };
    let value = serde_json::from_str(&text).map_err(|e| invalid(format!("{name}: not JSON: {e}")))?;
    Ok((name, value))
}

/// Parses a configuration. Environment variables take precedence over the file.
fn parse(file: &str, value: &Value, env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let in_file = |text: String| format!("{file}: {text}");
    let fields = value.as_object().ok_or_else(|| in_file("object expected".into()))?;
    let field = |name: &str| fields.get(name).filter(|v| !v.is_null());
    let file_text = |name: &str| {
        let value = field(name).ok_or_else(|| in_file(format!("{name} is missing")))?;
        magpietally_settings::string(value, name).map_err(in_file)
    };
    // Also returns where the value comes from, for errors.
    let text = |name: &str| {
        let upper = format!("BALANCER_{}", name.to_uppercase());
        match env(&upper) {
            Some(text) => Ok((upper, text)),
            None => file_text(name).map(|text| (in_file(name.to_string()), text.to_string())),
        }
    };
    let address = |name: &str| {
        let (from, text) = text(name)?;
        text.parse().map_err(|_| format!("{from}: IP address and port expected, not {text:?}"))
    };
    // Without a setting there is no management address.
    let has_management = env("BALANCER_MANAGEMENT").is_some() || field("management").is_some();
    let management = if has_management { Some(address("management")?) } else { None };
    let inherited = env("BALANCER_FD").map(|text| {
        text.parse().map_err(|_| format!("BALANCER_FD: number of a descriptor expected, not {text:?}"))
    });
    let seed = file_text("seed")?;
    let saved_list = field("known")
        .map(|known| server_list::parse_value(known.clone()).map_err(|e| in_file(format!("known: {e}"))));
    let settings = field("settings").ok_or_else(|| in_file("settings is missing".into()))?;
    let mut received = magpietally_settings::parse(settings).map_err(in_file)?;
    validate_names(&received).map_err(in_file)?;
    // HTTP pushes no lists. Where the settings say that lists are pushed, an agent has them, and the node
    // watches it.
    if received.settings.discovery == Discovery::Pushed {
        received.settings.discovery = Discovery::Agent;
    }
    let limits = field("limits").map_or(Ok(None), |l| {
        l.as_object().map(Some).ok_or_else(|| in_file("limits: object expected".into()))
    })?;
    let limit = |name, default, min| limit(limits, name, default, min).map_err(in_file);
    Ok(Config {
        name: text("name")?.1,
        listen: address("listen")?,
        discovery: address("discovery")?,
        management,
        inherited_fd: inherited.transpose()?,
        seed: u64::from_str_radix(seed, 16)
            .map_err(|_| in_file(format!("seed: hex digits expected, not {seed:?}")))?,
        max_descriptors: limit("sockets", DEFAULT_DESCRIPTORS, MIN_DESCRIPTORS)?,
        memory_mb: limit("memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB)?,
        saved_list: saved_list.transpose()?,
        received,
        restart_only: Arc::new(
            RESTART_ONLY.iter().filter_map(|name| Some((*name, field(name)?.clone()))).collect(),
        ),
    })
}

/// Checks that class names can be part of a path and tenant names the value of a header. Other names could
/// never be requested, or only under a different spelling.
fn validate_names(received: &ReceivedSettings) -> Result<(), String> {
    let is_path_char = |b: u8| b.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@".contains(&b);
    let is_valid_class = |name: &str| name.bytes().all(is_path_char) && name != "." && name != "..";
    if let Some(n) = received.classes.iter().position(|name| !is_valid_class(name)) {
        let name = &received.classes[n];
        return Err(format!("settings.Classes[{n}].Name: {name:?} can't be a part of a path"));
    }
    let is_valid_tenant = |name: &str| name.trim() == name && name.bytes().all(|b| matches!(b, b' '..=b'~'));
    if let Some(n) = received.tenants.iter().position(|name| !is_valid_tenant(name)) {
        let name = &received.tenants[n];
        return Err(format!("settings.Customers[{n}].Name: {name:?} can't be the value of a header"));
    }
    Ok(())
}

/// Returns the path of the first field in which two values differ.
fn first_difference(old: &Value, new: &Value) -> Option<String> {
    let nothing = Value::Null;
    let nested = |at: String, old: &Value, new: &Value| {
        first_difference(old, new).map(|rest| match rest.as_str() {
            "" => at,
            part if part.starts_with('[') => at + part,
            part => format!("{at}.{part}"),
        })
    };
    match (old, new) {
        (Value::Object(a), Value::Object(b)) => a
            .keys()
            .chain(b.keys())
            .find_map(|k| nested(k.clone(), a.get(k).unwrap_or(&nothing), b.get(k).unwrap_or(&nothing))),
        (Value::Array(a), Value::Array(b)) if a.len() == b.len() => {
            (0..a.len()).find_map(|n| nested(format!("[{n}]"), &a[n], &b[n]))
        }
        _ => (old != new).then(String::new),
    }
}

fn limit(limits: Option<&Map<String, Value>>, name: &str, default: u64, min: u64) -> Result<usize, String> {
    let given = limits.and_then(|l| l.get(name)).filter(|v| !v.is_null());
    let count = match given {
        None => default,
        Some(v) => v.as_u64().ok_or_else(|| format!("limits.{name}: whole number expected"))?,
    };
    if count < min {
        return Err(format!("limits.{name}: {min} are needed at least, not {count}"));
    }
    Ok(count.min(1 << 20) as usize)
}
