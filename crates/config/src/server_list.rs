//! The server list as operators and their tools write it: TOML, with the count of its servers, by which a
//! half-written copy is detected. `docs/operate/boxes.md` is the reference of the format.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;

use serde::{Deserialize, Serialize};
use toml::Spanned;

/// The largest file that is read.
pub const FILE_MAX_BYTES: usize = 16 << 20;
/// The most servers of a list.
pub const SERVERS_MAX: usize = 20_000;
/// The longest name of a server.
pub const NAME_MAX_BYTES: usize = 128;
/// The smallest and the largest weight.
pub const WEIGHT_RANGE: (f64, f64) = (0.001, 1000.0);

/// The state of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// It accepts requests.
    #[default]
    Active,
    /// It finishes its requests and accepts no new ones.
    Draining,
}

/// A server of a list.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AppServer {
    /// Its name, which identifies the server across lists.
    pub name: String,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its machine type.
    pub kind: String,
    /// The cell whose servers share the memory of idempotency keys.
    pub cell: u64,
    /// Its weight relative to the other servers.
    pub weight: f64,
    /// Its state.
    pub state: ServerState,
    /// The time of its last start as Unix time in milliseconds; 0 if it started long ago.
    pub started_ms: f64,
}

/// A complete, valid list.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ServerList {
    /// Its servers in the order of the file.
    #[serde(rename = "boxes")]
    pub servers: Vec<AppServer>,
    /// Whether the list is empty on purpose.
    pub empty_is_meant: bool,
    /// Whether the list drops more than half of the servers of the previous one on purpose.
    pub shrink_is_meant: bool,
}

/// A problem of a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Problem {
    /// The line, counted from 1.
    pub line: usize,
    /// The description of the problem.
    #[serde(rename = "words")]
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    count: Spanned<usize>,
    #[serde(default)]
    sum: Option<Spanned<String>>,
    #[serde(default)]
    empty_is_meant: bool,
    #[serde(default)]
    shrink_is_meant: bool,
    #[serde(default, rename = "box")]
    servers: Vec<Spanned<Entry>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Entry {
    name: Spanned<String>,
    address: Spanned<String>,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: u64,
    #[serde(default = "default_weight")]
    weight: Spanned<f64>,
    #[serde(default)]
    state: ServerState,
    #[serde(default = "default_started_ms")]
    started_ms: Spanned<f64>,
}

fn default_weight() -> Spanned<f64> {
    Spanned::new(0..0, 1.0)
}

fn default_started_ms() -> Spanned<f64> {
    Spanned::new(0..0, 0.0)
}

/// Parses a list.
///
/// # Errors
/// All problems of the list, in the order of its lines; only the first error if it is not valid TOML.
pub fn parse(bytes: &[u8]) -> Result<ServerList, Vec<Problem>> {
    let single = |line, message: String| Err(vec![Problem { line, message }]);
    if bytes.len() > FILE_MAX_BYTES {
        return single(1, format!("{} bytes; {FILE_MAX_BYTES} are the most", bytes.len()));
    }
    // Some editors begin a file with a byte order mark.
    let bytes = bytes.strip_prefix(b"\xEF\xBB\xBF").unwrap_or(bytes);
    let text = match std::str::from_utf8(bytes) {
        Ok(text) => text,
        Err(error) => {
            let line = line_of(&bytes[..error.valid_up_to()]);
            return single(line, "not UTF-8: cut within a character, or in another encoding".into());
        }
    };
    let at = |span: &Range<usize>| line_of(&bytes[..span.start.min(bytes.len())]);
    let file: File = match toml::from_str(text) {
        Ok(file) => file,
        Err(error) => {
            let line = error.span().map_or(1, |span| at(&span));
            return single(line, error.message().trim().replace('\n', "; "));
        }
    };
    let mut problems = Vec::new();
    let mut problem =
        |span: Range<usize>, message: String| problems.push(Problem { line: at(&span), message });
    if *file.count.get_ref() != file.servers.len() {
        let (count, actual) = (file.count.get_ref(), file.servers.len());
        problem(
            file.count.span(),
            format!("count is {count}, and there are {actual} boxes: is the copy whole?"),
        );
    }
    if file.servers.len() > SERVERS_MAX {
        problem(file.count.span(), format!("{} boxes; {SERVERS_MAX} are the most", file.servers.len()));
    }
    if let Some(sum) = &file.sum {
        let expected = format!("{:08x}", checksum_without(bytes, &sum.span()));
        if *sum.get_ref() != expected {
            problem(
                sum.span(),
                format!("sum is {}, and the file's is {expected}: is the copy whole?", sum.get_ref()),
            );
        }
    }
    if file.servers.is_empty() && !file.empty_is_meant {
        problem(file.count.span(), "no boxes; where that is meant, say empty_is_meant = true".into());
    }
    let (mut names, mut addresses) = (HashMap::new(), HashMap::new());
    let mut servers = Vec::with_capacity(file.servers.len());
    for entry in file.servers {
        let entry = entry.into_inner();
        let (name, name_span) = (entry.name.get_ref().clone(), entry.name.span());
        if name.is_empty() || name.len() > NAME_MAX_BYTES || !name.bytes().all(|b| b.is_ascii_graphic()) {
            problem(
                name_span.clone(),
                format!("name: 1 to {NAME_MAX_BYTES} visible characters expected, not {name:?}"),
            );
        }
        if let Some(first_line) = names.insert(name.clone(), at(&name_span)) {
            problem(name_span, format!("name: {name} is on line {first_line} already"));
        }
        let address = entry.address.get_ref().parse::<SocketAddr>();
        let address_span = entry.address.span();
        match &address {
            Err(_) => {
                let value = entry.address.get_ref();
                problem(address_span, format!("address: IP address and port expected, not {value:?}"));
            }
            Ok(address) if address.port() == 0 || address.ip().is_unspecified() => {
                problem(address_span, format!("address: {address} is nowhere to connect to"));
            }
            Ok(address) => {
                if let Some(first_line) = addresses.insert(*address, at(&address_span)) {
                    problem(address_span, format!("address: {address} is on line {first_line} already"));
                }
            }
        }
        let weight = *entry.weight.get_ref();
        if !(WEIGHT_RANGE.0..=WEIGHT_RANGE.1).contains(&weight) {
            let (min, max) = WEIGHT_RANGE;
            let hint =
                if weight == 0.0 { "; a box that is to get nothing has state = \"draining\"" } else { "" };
            problem(entry.weight.span(), format!("weight: {weight} is not within {min} to {max}{hint}"));
        }
        let started_ms = *entry.started_ms.get_ref();
        if !(0.0..1e15).contains(&started_ms) {
            problem(
                entry.started_ms.span(),
                format!("started_ms: {started_ms} is no Unix time in milliseconds"),
            );
        }
        let Entry { zone, kind, cell, state, .. } = entry;
        if let Ok(address) = address {
            servers.push(AppServer { name, address, zone, kind, cell, weight, state, started_ms });
        }
    }
    if problems.is_empty() {
        let (empty_is_meant, shrink_is_meant) = (file.empty_is_meant, file.shrink_is_meant);
        return Ok(ServerList { servers, empty_is_meant, shrink_is_meant });
    }
    problems.sort();
    Err(problems)
}

/// Computes the CRC-32 of a file without the value of its `sum`, which includes the quotes.
fn checksum_without(bytes: &[u8], span: &Range<usize>) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(bytes.get(..span.start).unwrap_or_default());
    sum.update(bytes.get(span.end..).unwrap_or_default());
    sum.finalize()
}

/// Returns the correct `sum` of a file; `None` if it has no `sum` or can't be parsed.
pub fn expected_sum(bytes: &[u8]) -> Option<String> {
    let bytes = bytes.strip_prefix(b"\xEF\xBB\xBF").unwrap_or(bytes);
    let file: File = toml::from_str(std::str::from_utf8(bytes).ok()?).ok()?;
    Some(format!("{:08x}", checksum_without(bytes, &file.sum?.span())))
}

fn line_of(before: &[u8]) -> usize {
    1 + before.iter().filter(|b| **b == b'\n').count()
}
