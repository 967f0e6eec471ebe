//! What the node is told at its start: environment and configuration file.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use magpietally_config::file::read_plain_within;
use magpietally_core::ServerListing;
use magpietally_os_error::retry::START_WITHIN;
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
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Where calls on the node itself come in; none where it is not told.
    pub management: Option<SocketAddr>,
    /// The descriptor of the listening socket that it has inherited, where the platform holds it.
    pub inherited_fd: Option<u32>,
    /// For random numbers.
    pub seed: u64,
    /// The most file descriptors that the process may hold.
    pub max_descriptors: usize,
    /// The most memory that it may use, in MB.
    pub memory_mb: usize,
    /// The list of servers as last had.
    pub saved_list: Option<ServerListing>,
    /// The settings.
    pub received: ReceivedSettings,
    /// What the file says of all that holds until the process ends.
    pub restart_only: Arc<Value>,
}

/// The largest configuration that is read, in bytes: a list of thousands of servers is a tenth of it.
const FILE_MOST: usize = 8 << 20;
/// Descriptors where the configuration names no limit.
const SOCKETS: u64 = 1024;
/// The fewest that a node can do anything with.
const SOCKETS_LEAST: u64 = 32;

/// What a reload does not replace. The rest of the file is discovery's address, which it does, and what only a start needs.
const RESTART_ONLY: [&str; 5] = ["name", "listen", "management", "limits", "settings"];
/// Descriptors of the process itself: standard streams, the runtime's, the listener, discovery's old and new call,
/// and those that one side gives up while the other takes them.
const RESERVE: usize = 16;
/// Connections of clients for each MB: the worst of them holds a head, a body and an answer, 0.2 MB in all.
const CLIENTS_PER_MB: usize = 4;
/// Connections to servers for each MB, three for each of a client's: one that rests holds 0.02 MB, most of it hyper's two
/// buffers, so that all together hold a quarter of the memory.
const SERVERS_PER_MB: usize = 12;
/// Memory where the configuration names no limit.
const MEMORY_MB: u64 = 192;
/// The least that a node can do anything with.
const MEMORY_LEAST: u64 = 8;

impl Config {
    /// A worker's part of what the process may hold, with its own number among all nodes' workers: in the policy's eyes
    /// each is a node, so that what holds for all nodes together holds for all workers together.
    ///
    /// # Errors
    /// Where a worker's part is too small to do anything with; names the limit.
    pub fn for_worker(&self, worker: usize, workers: usize) -> Result<Self, String> {
        let mut part = self.clone();
        (part.max_descriptors, part.memory_mb) = (self.max_descriptors / workers, self.memory_mb / workers);
        for (name, own, least) in
            [("sockets", part.max_descriptors, SOCKETS_LEAST), ("memory_mb", part.memory_mb, MEMORY_LEAST)]
        {
            if (own as u64) < least {
                return Err(format!(
                    "limits.{name}: {own} for each of {workers} workers, {least} are needed at least"
                ));
            }
        }
        part.received.open_cap = (self.received.open_cap / workers).max(1);
        let settings = &mut part.received.settings;
        settings.number = settings.number * workers + worker;
        settings.nodes *= workers;
        // Far apart, as the seeds of nodes are.
        part.seed = self.seed.wrapping_add((worker as u64).wrapping_mul(GOLDEN_GAMMA));
        Ok(part)
    }

    /// The first field of a newer file that says something else of what holds until the process ends.
    pub fn changed_restart_only_field(&self, newer: &Self) -> Option<String> {
        difference(&self.restart_only, &newer.restart_only)
    }

    /// How many connections of clients there may be: half of what the process itself does not need, within what
    /// memory can bear.
    pub fn max_client_connections(&self) -> usize {
        (self.connection_descriptors() / 2).min(self.memory_mb * CLIENTS_PER_MB).max(1)
    }

    /// How many connections to servers there may be: the rest, within what memory can bear.
    pub fn max_server_connections(&self) -> usize {
        (self.connection_descriptors() - self.max_client_connections()).min(self.memory_mb * SERVERS_PER_MB)
    }

    /// The descriptors that are for clients and servers.
    fn connection_descriptors(&self) -> usize {
        let managed = if self.management.is_some() { management::MAX_DESCRIPTORS } else { 0 };
        // So few are left only where the limit is near the least; calls then share with the rest.
        (self.max_descriptors - RESERVE).saturating_sub(managed).max(2)
    }
}

/// Reads the configuration of this process.
///
/// # Errors
/// One line that names the file and the field, or the variable.
pub fn load() -> Result<Config, String> {
    let (file, value) = file(START_WITHIN).map_err(|e| e.to_string())?;
    parse(&file, &value, |name| std::env::var(name).ok())
}

/// Why a configuration can't be had.
#[derive(Debug)]
pub enum ConfigError {
    /// The file, by its name here, can't be read.
    Read(String, io::Error),
    /// What it says makes no sense, in one line.
    Invalid(String),
}

impl ConfigError {
    /// May the file be read a moment later?
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Read(_, error) if classify(Call::File, error).may_pass())
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(name, error) => write!(f, "{name}: {error}"),
            Self::Invalid(words) => f.write_str(words),
        }
    }
}

impl std::error::Error for ConfigError {}

/// Reads the file again. The environment is that of the start: what it says of discovery is what the file now
/// replaces, so here the file goes first. The rest of the environment still holds.
///
/// # Errors
/// One line that names the file and the field, or the variable.
pub fn reload() -> Result<Config, ConfigError> {
    // A process that serves is not held up by its disk: the caller tries again.
    let (file, value) = file(Duration::ZERO)?;
    let env = |name: &str| std::env::var(name).ok().filter(|_| name != "BALANCER_DISCOVERY");
    parse(&file, &value, env).map_err(ConfigError::Invalid)
}

/// What the file holds, and how it is named in what is wrong with it.
fn file(within: Duration) -> Result<(String, Value), ConfigError> {
    let wrong = ConfigError::Invalid;
    let path = std::env::var("BALANCER_CONFIG").map_err(|_| wrong("BALANCER_CONFIG: not set".into()))?;
    let name = format!("BALANCER_CONFIG: {path}");
    let text = match read_plain_within(within, path.as_ref(), FILE_MOST) {
        Ok(text) => text,
        Err(error) => return Err(ConfigError::Read(name, error)),
    };
    let value = serde_json::from_str(&text).map_err(|e| wrong(format!("{name}: not JSON: {e}")))?;
    Ok((name, value))
}

/// Reads a configuration; what the environment names goes before what the file says.
fn parse(file: &str, value: &Value, env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let here = |words: String| format!("{file}: {words}");
    let f = value.as_object().ok_or_else(|| here("object expected".into()))?;
    let there = |name: &str| f.get(name).filter(|v| !v.is_null());
    let text_of = |name: &str| {
        let value = there(name).ok_or_else(|| here(format!("{name} is missing")))?;
        magpietally_settings::string(value, name).map_err(here)
    };
    // Where it is from, as well.
    let text = |name: &str| {
        let upper = format!("BALANCER_{}", name.to_uppercase());
        match env(&upper) {
            Some(words) => Ok((upper, words)),
            None => text_of(name).map(|words| (here(name.to_string()), words.to_string())),
        }
    };
    let address = |name: &str| {
        let (from, words) = text(name)?;
        words.parse().map_err(|_| format!("{from}: IP address and port expected, not {words:?}"))
    };
    // Where a node is told nothing of it, it has no second address.
    let managed = env("BALANCER_MANAGEMENT").is_some() || there("management").is_some();
    let management = if managed { Some(address("management")?) } else { None };
    let inherited = env("BALANCER_FD").map(|words| {
        words.parse().map_err(|_| format!("BALANCER_FD: number of a descriptor expected, not {words:?}"))
    });
    let seed = text_of("seed")?;
    let known = there("known")
        .map(|known| server_list::parse_value(known.clone()).map_err(|e| here(format!("known: {e}"))));
    let settings = there("settings").ok_or_else(|| here("settings is missing".into()))?;
    let mut received = magpietally_settings::parse(settings).map_err(here)?;
    speakable(&received).map_err(here)?;
    // Nothing comes by itself over HTTP: where lists are pushed, it is an agent that has them, and it has to be watched.
    if received.settings.discovery == Discovery::Pushed {
        received.settings.discovery = Discovery::Agent;
    }
    let limits = there("limits").map_or(Ok(None), |l| {
        l.as_object().map(Some).ok_or_else(|| here("limits: object expected".into()))
    })?;
    let limit = |name, default, least| limit(limits, name, default, least).map_err(here);
    Ok(Config {
        name: text("name")?.1,
        listen: address("listen")?,
        discovery: address("discovery")?,
        management,
        inherited_fd: inherited.transpose()?,
        seed: u64::from_str_radix(seed, 16)
            .map_err(|_| here(format!("seed: hex digits expected, not {seed:?}")))?,
        max_descriptors: limit("sockets", SOCKETS, SOCKETS_LEAST)?,
        memory_mb: limit("memory_mb", MEMORY_MB, MEMORY_LEAST)?,
        saved_list: known.transpose()?,
        received,
        restart_only: Arc::new(
            RESTART_ONLY.iter().filter_map(|name| Some((*name, there(name)?.clone()))).collect(),
        ),
    })
}

/// A class is the first part of a path, and a tenant the value of a header: what can't stand there would never be asked for,
/// or be asked for under a name that is not the settings'.
fn speakable(received: &ReceivedSettings) -> Result<(), String> {
    let in_path = |b: u8| b.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@".contains(&b);
    let class = |name: &str| name.bytes().all(in_path) && name != "." && name != "..";
    if let Some(n) = received.classes.iter().position(|name| !class(name)) {
        let name = &received.classes[n];
        return Err(format!("settings.Classes[{n}].Name: {name:?} can't be a part of a path"));
    }
    let tenant = |name: &str| name.trim() == name && name.bytes().all(|b| matches!(b, b' '..=b'~'));
    if let Some(n) = received.tenants.iter().position(|name| !tenant(name)) {
        let name = &received.tenants[n];
        return Err(format!("settings.Customers[{n}].Name: {name:?} can't be the value of a header"));
    }
    Ok(())
}

/// The path of the first field in which two values differ.
fn difference(old: &Value, new: &Value) -> Option<String> {
    let nothing = Value::Null;
    let inside = |at: String, old: &Value, new: &Value| {
        difference(old, new).map(|rest| match rest.as_str() {
            "" => at,
            part if part.starts_with('[') => at + part,
            part => format!("{at}.{part}"),
        })
    };
    match (old, new) {
        (Value::Object(a), Value::Object(b)) => a
            .keys()
            .chain(b.keys())
            .find_map(|k| inside(k.clone(), a.get(k).unwrap_or(&nothing), b.get(k).unwrap_or(&nothing))),
        (Value::Array(a), Value::Array(b)) if a.len() == b.len() => {
            (0..a.len()).find_map(|n| inside(format!("[{n}]"), &a[n], &b[n]))
        }
        _ => (old != new).then(String::new),
    }
}

fn limit(limits: Option<&Map<String, Value>>, name: &str, default: u64, least: u64) -> Result<usize, String> {
    let told = limits.and_then(|l| l.get(name)).filter(|v| !v.is_null());
    let count = match told {
        None => default,
        Some(v) => v.as_u64().ok_or_else(|| format!("limits.{name}: whole number expected"))?,
    };
    if count < least {
        return Err(format!("limits.{name}: {least} are needed at least, not {count}"));
    }
    Ok(count.min(1 << 20) as usize)
}
