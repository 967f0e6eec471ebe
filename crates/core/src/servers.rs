//! The servers that the node knows: their addresses, their incarnations, and whether they accept new work.

use std::collections::HashMap;
use std::net::SocketAddr;

use magpietally_policy::{ListedState, Millis, ServerEntry, ServerId};

/// A message of the list's source: the complete list, or changes to it.
#[derive(Clone, Debug)]
pub struct ServerListing {
    /// The list's version.
    pub version: u64,
    /// Whether this is the complete list rather than changes.
    pub complete: bool,
    /// The entries.
    pub servers: Vec<ListedServer>,
}

/// One server of a listing.
#[derive(Clone, Debug)]
pub struct ListedServer {
    /// Its name, the same at every node.
    pub name: String,
    /// The address that it listens on; a server that is gone may have none.
    pub address: Option<SocketAddr>,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its cell.
    pub cell: u64,
    /// Its state.
    pub state: ListedState,
    /// Its weight.
    pub weight: f64,
    /// When it last started, in milliseconds of Unix time; 0 if that is long ago.
    pub start_ms: Millis,
}

/// The address of one incarnation of a server. Connections to another incarnation can't be used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// The address that it listens on.
    pub address: SocketAddr,
    start_ms: Millis,
}

impl Endpoint {
    /// The endpoint of a server that listens at `address` and last started at `start_ms`, in milliseconds of
    /// Unix time.
    pub fn new(address: SocketAddr, start_ms: Millis) -> Self {
        Self { address, start_ms }
    }
}

struct Known {
    name: String,
    endpoint: Endpoint,
    state: ListedState,
    /// When this incarnation started, by the policy's clock. Computed once: it must stay the same for the
    /// lifetime of the incarnation.
    started: Option<Millis>,
    /// The remaining fields of the entry, for a decision module that is created later.
    zone: u64,
    cell: u64,
    kind: u64,
    weight: f64,
}

/// The table of servers.
#[derive(Default)]
pub(crate) struct ServerTable {
    known: HashMap<ServerId, Known>,
    /// The version of the list; `None` if the complete list is needed first.
    pub(crate) version: Option<u64>,
}

/// A hash of a name that is the same at every node and after every restart: FNV-1a, mixed so that names that
/// differ only in their last digit do not stay neighbours.
pub fn stable_hash(name: &str) -> u64 {
    let hash =
        name.bytes().fold(0xCBF2_9CE4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01B3));
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
    mixed ^ (mixed >> 32)
}

impl ServerTable {
    pub(crate) fn len(&self) -> usize {
        self.known.len()
    }

    pub(crate) fn name(&self, server: ServerId) -> Option<&str> {
        self.known.get(&server).map(|k| k.name.as_str())
    }

    /// When a server last started, in milliseconds of Unix time; 0 if that is long ago.
    pub(crate) fn start_ms(&self, server: ServerId) -> Millis {
        self.known.get(&server).map_or(0.0, |k| k.endpoint.start_ms)
    }

    /// The endpoint of a server, if new requests may be sent to it.
    pub(crate) fn endpoint(&self, server: ServerId) -> Option<Endpoint> {
        self.known.get(&server).filter(|k| k.state == ListedState::Up).map(|k| k.endpoint)
    }

    /// All servers as they are listed, ordered by id.
    pub(crate) fn entries(&self) -> Vec<ServerEntry> {
        let entry = |(server, k): (&ServerId, &Known)| ServerEntry {
            server: *server,
            zone: k.zone,
            cell: k.cell,
            kind: k.kind,
            state: k.state,
            weight: k.weight,
            started: k.started,
        };
        let mut all: Vec<ServerEntry> = self.known.iter().map(entry).collect();
        all.sort_by_key(|e| e.server);
        all
    }

    /// Applies a listing. Returns the entries for the policy, and the servers whose connections are stale.
    pub(crate) fn apply(
        &mut self,
        listing: ServerListing,
        started: impl Fn(Millis) -> Option<Millis>,
    ) -> (Vec<ServerEntry>, Vec<ServerId>) {
        if listing.complete {
            for known in self.known.values_mut() {
                known.state = ListedState::Gone;
            }
        }
        self.version = Some(listing.version);
        let mut stale = Vec::new();
        let entries: Vec<ServerEntry> =
            listing.servers.into_iter().filter_map(|s| self.update(s, &started, &mut stale)).collect();
        if listing.complete {
            stale.extend(
                self.known.iter().filter(|(_, k)| k.state == ListedState::Gone).map(|(server, _)| *server),
            );
            self.known.retain(|_, k| k.state != ListedState::Gone);
        } else {
            // The cost of a change depends on its own size, not on the length of the list. If it names a
            // server twice, as gone and as up again, the last entry wins.
            for entry in &entries {
                if self.known.get(&entry.server).is_some_and(|k| k.state == ListedState::Gone) {
                    self.known.remove(&entry.server);
                    stale.push(entry.server);
                }
            }
        }
        (entries, stale)
    }

    /// Updates the table from one entry. The change takes effect at once, also for attempts that are not
    /// written yet.
    fn update(
        &mut self,
        listed: ListedServer,
        started: impl Fn(Millis) -> Option<Millis>,
        stale: &mut Vec<ServerId>,
    ) -> Option<ServerEntry> {
        let server = ServerId(stable_hash(&listed.name));
        let before = self.known.get(&server);
        if let Some(other) = before.filter(|b| b.name != listed.name) {
            tracing::warn!(
                target: "list", "{} and {} have the same id, the second is ignored", other.name, listed.name
            );
            return None;
        }
        let address = listed.address.or(before.map(|b| b.endpoint.address));
        if before
            .is_some_and(|b| b.endpoint.start_ms != listed.start_ms || Some(b.endpoint.address) != address)
        {
            // Its connections ended with the old process.
            stale.push(server);
        }
        let same_incarnation = before.filter(|b| b.endpoint.start_ms == listed.start_ms);
        let started = same_incarnation.map_or_else(|| started(listed.start_ms), |b| b.started);
        let (zone, kind) = (stable_hash(&listed.zone), stable_hash(&listed.kind));
        let ListedServer { name, cell, state, weight, start_ms, .. } = listed;
        if let Some(address) = address {
            let endpoint = Endpoint::new(address, start_ms);
            self.known.insert(server, Known { name, endpoint, state, started, zone, cell, kind, weight });
        }
        Some(ServerEntry { server, zone, cell, kind, state, weight, started })
    }
}

#[cfg(test)]
mod tests;
