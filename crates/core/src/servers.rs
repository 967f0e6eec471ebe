//! The servers that the node knows: where each listens, which of its lives this is, and whether it takes new work.

use std::collections::HashMap;
use std::net::SocketAddr;

use magpietally_policy::{ListedState, Millis, ServerEntry, ServerId};

/// What a source of the list says: all of it, or what changed.
#[derive(Clone, Debug)]
pub struct ServerListing {
    /// The list's version.
    pub version: u64,
    /// The whole list, not just changes.
    pub complete: bool,
    /// The entries.
    pub servers: Vec<ListedServer>,
}

/// One server of a listing.
#[derive(Clone, Debug)]
pub struct ListedServer {
    /// Its name, the same at every node.
    pub name: String,
    /// Where it listens; one that is gone may have none.
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
    /// When it last started, Unix time in milliseconds; 0 for long ago.
    pub start_ms: Millis,
}

/// One life of a server: a connection to another one is of no use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    start_ms: Millis,
}

struct Known {
    name: String,
    place: Endpoint,
    state: ListedState,
    /// When this life began, by the policy's clock. Reckoned once: it must not move while the life goes on.
    started: Option<Millis>,
    /// The rest of what the list said, for a decision module that begins later.
    zone: u64,
    cell: u64,
    kind: u64,
    weight: f64,
}

/// The table of servers.
#[derive(Default)]
pub(crate) struct ServerTable {
    known: HashMap<ServerId, Known>,
    /// The version of the list; `None` asks for the whole.
    pub(crate) version: Option<u64>,
}

/// The same number for a name at every node and after every restart: FNV-1a, mixed so that names that differ
/// in their last digit alone do not stay neighbours.
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

    /// When a server last started, Unix time in milliseconds; 0 for long ago.
    pub(crate) fn start_ms(&self, server: ServerId) -> Millis {
        self.known.get(&server).map_or(0.0, |k| k.place.start_ms)
    }

    /// Where a server listens, if something new may be sent to it.
    pub(crate) fn endpoint(&self, server: ServerId) -> Option<Endpoint> {
        self.known.get(&server).filter(|k| k.state == ListedState::Up).map(|k| k.place)
    }

    /// All of them as the list has them, in the order of their numbers.
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

    /// Takes a listing in: the policy's entries, and the servers whose connections are void.
    pub(crate) fn take(
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
        let mut void = Vec::new();
        let entries: Vec<ServerEntry> =
            listing.servers.into_iter().filter_map(|m| self.enter(m, &started, &mut void)).collect();
        if listing.complete {
            void.extend(
                self.known.iter().filter(|(_, k)| k.state == ListedState::Gone).map(|(server, _)| *server),
            );
            self.known.retain(|_, k| k.state != ListedState::Gone);
        } else {
            // A change costs what it names, however long the list is. One that names a server twice, as gone and as back,
            // leaves what it says last.
            for entry in &entries {
                if self.known.get(&entry.server).is_some_and(|k| k.state == ListedState::Gone) {
                    self.known.remove(&entry.server);
                    void.push(entry.server);
                }
            }
        }
        (entries, void)
    }

    /// Notes what a listing says of a server. It holds from now on, also for sends on their way.
    fn enter(
        &mut self,
        member: ListedServer,
        started: impl Fn(Millis) -> Option<Millis>,
        void: &mut Vec<ServerId>,
    ) -> Option<ServerEntry> {
        let server = ServerId(stable_hash(&member.name));
        let before = self.known.get(&server);
        if let Some(other) = before.filter(|b| b.name != member.name) {
            tracing::warn!(target: "list", "{} and {} have one number, left out", other.name, member.name);
            return None;
        }
        let dial = member.address.or(before.map(|b| b.place.address));
        if before.is_some_and(|b| b.place.start_ms != member.start_ms || Some(b.place.address) != dial) {
            // Its connections ended with the old process.
            void.push(server);
        }
        let same_life = before.filter(|b| b.place.start_ms == member.start_ms);
        let started = same_life.map_or_else(|| started(member.start_ms), |b| b.started);
        let (zone, kind) = (stable_hash(&member.zone), stable_hash(&member.kind));
        let ListedServer { name, cell, state, weight, start_ms: born_ms, .. } = member;
        if let Some(dial) = dial {
            let place = Endpoint { address: dial, start_ms: born_ms };
            self.known.insert(server, Known { name, place, state, started, zone, cell, kind, weight });
        }
        Some(ServerEntry { server, zone, cell, kind, state, weight, started })
    }
}

#[cfg(test)]
mod tests;
