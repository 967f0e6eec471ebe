//! Updates from the list of servers, and the choice of the subset that this node rotates over.

use magpietally_structures::{mix, sorted_difference};

use super::{Balancer, Server};
use crate::api::{ListedState, ServerEntry, ServerId, Weights};

/// Number of nodes that share a server in large fleets: enough for even load, with few connections.
const NODES_PER_SERVER: usize = 8;

/// Least size of a subset: enough for a rotation, and for another server when one fails.
const SUBSET_MIN: usize = 2;

/// Least (`.0`) and greatest (`.1`) weight. Beyond them the steps of turns would vanish in rounding.
const WEIGHT_MIN_AND_MAX: (f64, f64) = (1e-6, 1e6);

impl Balancer {
    /// Handles entries of the list. `response`: whether discovery sent them, and they are not saved ones.
    /// `full`: whether they are the whole list, so that servers without an entry are gone.
    pub(super) fn on_list(&mut self, entries: Vec<ServerEntry>, response: bool, full: bool) {
        if response {
            self.polling.answered(self.now);
        }
        let mut touched: Vec<ServerId> = entries.iter().map(|e| e.server).collect();
        touched.sort_unstable();
        touched.dedup();
        if full {
            // Only servers that the list leaves out are marked as gone. The others keep their state until
            // their entries are applied: a server that is listed again has not returned to service.
            let known: Vec<ServerId> = self.servers.keys().copied().collect();
            let (left_out, _) = sorted_difference(&known, &touched);
            for id in &left_out {
                self.servers.entry(*id).and_modify(|s| s.entry.state = ListedState::Gone);
            }
            touched.extend(left_out);
            touched.sort_unstable();
        }
        for entry in entries {
            self.apply_entry(entry);
        }
        self.update_ring(&touched, full);
        // Scales the least limits and the longest pauses, which add up over the nodes that share a server.
        // Unscaled, the attempts by which many nodes check a slow server would alone keep it from recovering.
        self.contention = (self.nodes_per_server() / NODES_PER_SERVER as f64).max(1.0);
        let limit = self.initial_limit();
        for id in touched {
            match self.servers.get_mut(&id) {
                // A server that is gone is kept while it has attempts in flight, for their outcomes.
                Some(server) if server.entry.state == ListedState::Gone && server.in_flight.is_empty() => {
                    drop(self.servers.remove(&id))
                }
                Some(server) if server.limit.is_nan() => server.limit = limit,
                _ => {}
            }
            self.update_indexes(id);
        }
        self.cached_sizes = None;
        self.choose_subset();
    }

    /// Adds or updates the server of one entry.
    fn apply_entry(&mut self, mut entry: ServerEntry) {
        let usable = entry.weight.is_finite() && entry.weight > 0.0;
        entry.weight =
            if usable { entry.weight.clamp(WEIGHT_MIN_AND_MAX.0, WEIGHT_MIN_AND_MAX.1) } else { 1.0 };
        // The turns for which it was skipped so far count by its old size.
        self.resume(entry.server);
        let classes = self.settings.classes.len();
        let known = self.servers.contains_key(&entry.server);
        let server = self.servers.entry(entry.server).or_insert_with(|| Server::new(entry.clone(), classes));
        // Live weights follow the load, late and in the same way for all nodes, so they are no measure for
        // turns. The highest weight that a server was ever listed with, at its lowest load, is its size.
        server.size = match self.settings.weights {
            Weights::Listed => entry.weight,
            Weights::Live => entry.weight.max(if known { server.size } else { 0.0 }),
            Weights::None => 1.0,
        };
        let restarted = entry.started != server.entry.started;
        if restarted {
            // Observations of the previous process say nothing about this one.
            (server.consecutive_failures, server.ejections, server.ejected, server.returned_at) =
                (0, 0, None, None);
            server.down = false;
            server.class_failures.fill((0, f64::NEG_INFINITY));
        }
        if restarted || !server.is_listed_up() {
            server.turn = f64::NAN;
            self.unplaced.push(entry.server);
        }
        server.entry = entry;
    }

    /// Updates the ring of servers that are up: from all servers after a full list, else only by the servers
    /// that the change names.
    fn update_ring(&mut self, touched: &[ServerId], full: bool) {
        let mut changed = false;
        if full {
            let mut ring: Vec<_> =
                self.servers_up().map(|s| (mix(s.entry.server.0), s.entry.server)).collect();
            ring.sort_unstable();
            (changed, self.ring) = (ring != self.ring, ring);
        } else {
            for id in touched {
                let (key, up) = ((mix(id.0), *id), self.servers.get(id).is_some_and(Server::is_listed_up));
                match (self.ring.binary_search(&key), up) {
                    (Ok(at), false) => drop(self.ring.remove(at)),
                    (Err(at), true) => self.ring.insert(at, key),
                    _ => continue,
                }
                changed = true;
            }
        }
        if changed {
            self.ring_changed = true;
            // Limits and pauses depend on the number of servers: deferred servers are checked again.
            for id in self.deferred.iter().collect::<Vec<ServerId>>() {
                self.resume(id);
            }
        }
    }

    /// How many warm servers a node rotates over: all that are up, unless more than `NODES_PER_SERVER` nodes
    /// would share each. The number of connections, and the traffic that a node needs to learn about each
    /// server, grow with the number of nodes and with that of servers.
    fn subset_size(&self, up: usize) -> usize {
        (NODES_PER_SERVER * up).div_ceil(self.settings.nodes).max(SUBSET_MIN).min(up)
    }

    /// How many nodes send to one server, on average.
    pub(super) fn nodes_per_server(&self) -> f64 {
        let up = self.ring.len().max(1);
        (self.settings.nodes * self.subset_size(up)) as f64 / up as f64
    }

    /// The server at a rank in this node's order of preference. Nodes start at evenly spaced places of the
    /// ring and prefer the servers that follow, so their subsets cover the fleet evenly without coordination.
    fn server_at_rank(&self, rank: usize) -> ServerId {
        let count = self.ring.len();
        self.ring[(self.settings.number * count / self.settings.nodes + rank) % count].1
    }

    /// Chooses the subset: takes servers by rank until the warmth of those not ejected adds up to the wanted
    /// size. Where many are down or cold the subset grows, so that the node's traffic does not fall on the
    /// few others.
    pub(super) fn choose_subset(&mut self) {
        let count = self.ring.len();
        let wanted = self.subset_size(count) as f64;
        let warmth = |rank: usize| {
            let server = self.servers.get(&self.server_at_rank(rank));
            server.filter(|s| s.ejected.is_none()).map_or(0.0, |s| s.warmth(self.now, &self.settings.rules))
        };
        // Begins with a subset whose warmth is known, and shrinks or extends it. Where no server is cold each
        // counts as 1, and the warmth of the present subset is known without iterating.
        let (mut taken, mut warm) = (0, 0.0);
        if wanted >= count as f64 {
            taken = count;
        } else if self.cold.is_empty() && !self.ring_changed {
            (taken, warm) = (self.subset.len(), (self.subset.len() - self.ejected.len()) as f64);
        }
        while taken > 0 && warm - warmth(taken - 1) >= wanted {
            taken -= 1;
            warm -= warmth(taken);
        }
        while taken < count && warm < wanted {
            warm += warmth(taken);
            taken += 1;
        }
        if self.ring_changed || taken != self.subset.len() {
            let mut subset: Vec<ServerId> = (0..taken).map(|rank| self.server_at_rank(rank)).collect();
            subset.sort_unstable();
            let (removed, added) = sorted_difference(&self.subset, &subset);
            (self.subset, self.ring_changed, self.cached_sizes) = (subset, false, None);
            for id in removed.iter().chain(&added) {
                if let Some(server) = self.servers.get_mut(id) {
                    (server.in_subset, server.turn) = (!server.in_subset, f64::NAN);
                }
                self.turns.remove(*id);
                self.deferred.remove(*id);
                self.update_indexes(*id);
            }
            self.unplaced.extend(added);
        }
        self.subset_chosen_at = self.now;
        self.place_new_servers();
    }

    /// Gives servers that are new to the rotation their first turns.
    ///
    /// A server of size w has its turns at (p + k) / w after the cursor, for k = 0, 1, ..., where p in [0, 1)
    /// is its place in the cyclic order after the server of the cursor. With equal sizes this is the plain
    /// cyclic order, with unequal ones an even interleaving. The other servers keep their turns: if all nodes
    /// restarted the rotation at each change of the list, and the list changed faster than a node completes a
    /// round, the servers right after the nodes' offsets would get all traffic.
    fn place_new_servers(&mut self) {
        let mut unplaced = std::mem::take(&mut self.unplaced);
        unplaced.sort_unstable();
        unplaced.dedup();
        let count = self.subset.len().max(1);
        let place_after = |at: ServerId| self.subset.partition_point(|id| *id <= at);
        let first = self.cursor_server.map_or(self.settings.number, place_after) % count;
        for id in unplaced {
            let Ok(place) = self.subset.binary_search(&id) else { continue };
            let offset = self.random.next_f64() - 1.0 / self.settings.nodes as f64;
            let Some(server) = self.servers.get_mut(&id).filter(|s| s.turn.is_nan()) else { continue };
            let distance = (place + count - first) % count;
            let warmth = server.warmth(self.now, &self.settings.rules);
            // A cold server gets a random place: by the cursors alone many nodes would send to it at once.
            let place_fraction = if warmth < 1.0 { offset.max(0.0) } else { distance as f64 / count as f64 };
            (server.turn, server.turn_warmth) =
                (self.cursor + place_fraction / (server.size * warmth), warmth);
            (server.slow_start_baseline, server.initial_offset) = (self.served_per_weight, offset);
            self.turns.set(id, server.turn);
            self.deferred.remove(id);
            self.update_indexes(id);
        }
    }

    /// Updates the sets of cold servers, of ejected servers and of due probes after a change of a server.
    /// They spare scans of the subset.
    pub(super) fn update_indexes(&mut self, id: ServerId) {
        let server = self.servers.get(&id).filter(|s| s.in_subset);
        let cold =
            server.is_some_and(|s| s.turn_warmth < 1.0 || s.warmth(self.now, &self.settings.rules) < 1.0);
        let (ejected, probing) = server.map_or((None, false), |s| (s.ejected, s.probing));
        if if cold { self.cold.insert(id) } else { self.cold.remove(&id) } {
            self.cached_sizes = None;
        }
        let _ = if ejected.is_some() { self.ejected.insert(id) } else { self.ejected.remove(&id) };
        match ejected.filter(|_| !probing) {
            Some(at) => self.probe_due.set(id, at),
            None => drop(self.probe_due.remove(id)),
        }
    }
}
