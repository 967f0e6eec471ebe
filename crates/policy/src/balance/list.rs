//! Updates from the list of servers, and the choice of the subset that this node rotates over.

use super::*;

const NODES_PER_SERVER: usize = 8; // In large fleets: enough for even load with few connections.
const SUBSET_MIN: usize = 2; // A rotation, and another server when one fails.

const WEIGHTS: (f64, f64) = (1e-6, 1e6); // Bounds, so that the steps of turns don't vanish in rounding.

impl Balancer {
    pub(super) fn on_list(&mut self, entries: Vec<ServerEntry>, response: bool, full: bool) {
        if response {
            self.polling.answered(self.now);
        }
        let mut touched: Vec<ServerId> = entries.iter().map(|e| e.server).collect();
        touched.sort_unstable();
        touched.dedup();
        if full {
            // Listed servers keep their state until their entries are applied: listed again is not returned.
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
        // Minimum limits and longest pauses add up over the nodes that share a server: unscaled, the attempts
        // by which many nodes check a slow server would alone keep it from recovering.
        self.contention = (self.nodes_per_server() / NODES_PER_SERVER as f64).max(1.0);
        let limit = self.initial_limit();
        for id in touched {
            match self.servers.get_mut(&id) {
                // Kept while attempts are in flight, for their outcomes.
                Some(s) if s.entry.state == ListedState::Gone && s.open.is_empty() => {
                    drop(self.servers.remove(&id))
                }
                Some(s) if s.limit.is_nan() => s.limit = limit,
                _ => {}
            }
            self.update_indexes(id);
        }
        self.sizes = None;
        self.choose_subset();
    }

    fn apply_entry(&mut self, mut entry: ServerEntry) {
        let usable = entry.weight.is_finite() && entry.weight > 0.0;
        entry.weight = if usable { entry.weight.clamp(WEIGHTS.0, WEIGHTS.1) } else { 1.0 };
        // Turns skipped so far count by its old size.
        self.resume(entry.server);
        let classes = self.cfg.classes.len();
        let known = self.servers.contains_key(&entry.server);
        let server = self.servers.entry(entry.server).or_insert_with(|| Server::new(entry.clone(), classes));
        // Live weights follow the load, late and equally for all nodes. The highest weight ever listed, at
        // the lowest load, is the server's size.
        server.size = match self.cfg.weights {
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
        if restarted || !server.listed_up() {
            server.turn = f64::NAN;
            self.unplaced.push(entry.server);
        }
        server.entry = entry;
    }

    /// Updates the ring of servers that are up; after a change only with the servers that it names.
    fn update_ring(&mut self, touched: &[ServerId], full: bool) {
        let mut changed = false;
        if full {
            let mut ring: Vec<_> = self.up().map(|s| (mix(s.entry.server.0), s.entry.server)).collect();
            ring.sort_unstable();
            (changed, self.ring) = (ring != self.ring, ring);
        } else {
            for id in touched {
                let (key, up) = ((mix(id.0), *id), self.servers.get(id).is_some_and(Server::listed_up));
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
            // Limits and pauses depend on the number of servers.
            for id in self.deferred.iter().collect::<Vec<ServerId>>() {
                self.resume(id);
            }
        }
    }

    /// How many warm servers a node rotates over: all, unless too many nodes would share one. Connections,
    /// and the traffic that a node needs to learn about each server, grow with both numbers.
    fn subset_size(&self, up: usize) -> usize {
        (NODES_PER_SERVER * up).div_ceil(self.cfg.nodes).max(SUBSET_MIN).min(up)
    }

    pub(super) fn nodes_per_server(&self) -> f64 {
        let up = self.ring.len().max(1);
        (self.cfg.nodes * self.subset_size(up)) as f64 / up as f64
    }

    /// The server at a rank in this node's order of preference. Nodes start at evenly spaced places of the
    /// ring and prefer what follows: their subsets cover the fleet evenly without coordination.
    fn preferred(&self, rank: usize) -> ServerId {
        let count = self.ring.len();
        self.ring[(self.cfg.number * count / self.cfg.nodes + rank) % count].1
    }

    /// Takes servers by rank until the warmth of those not ejected adds up to the wanted size: where many are
    /// down or cold the subset grows, so that the node's traffic does not fall on the few others.
    pub(super) fn choose_subset(&mut self) {
        let count = self.ring.len();
        let wanted = self.subset_size(count) as f64;
        let warmth = |rank: usize| {
            let server = self.servers.get(&self.preferred(rank));
            server.filter(|s| s.ejected.is_none()).map_or(0.0, |s| s.warmth(self.now, &self.cfg.rules))
        };
        // Where none is cold each counts as 1, and the sum is known without iterating.
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
            let mut subset: Vec<ServerId> = (0..taken).map(|rank| self.preferred(rank)).collect();
            subset.sort_unstable();
            let (removed, added) = sorted_difference(&self.subset, &subset);
            (self.subset, self.ring_changed, self.sizes) = (subset, false, None);
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
        self.subset_chosen = self.now;
        self.place_new_servers();
    }

    /// Places servers that are new to the rotation. A server of size w has its turns at (p + k) / w for k =
    /// 0, 1, ..., where p in [0, 1) is its place after the cursor: with equal sizes the plain cyclic order,
    /// with unequal ones an even interleaving. The others keep their turns: if all nodes restarted the
    /// rotation at each change of the list, and it changed faster than a node completes a round, the servers
    /// right after the nodes' offsets would get all traffic.
    fn place_new_servers(&mut self) {
        let mut unplaced = std::mem::take(&mut self.unplaced);
        unplaced.sort_unstable();
        unplaced.dedup();
        let count = self.subset.len().max(1);
        let behind = |at: ServerId| self.subset.partition_point(|id| *id <= at);
        let first = self.cursor_server.map_or(self.cfg.number, behind) % count;
        for id in unplaced {
            let Ok(place) = self.subset.binary_search(&id) else { continue };
            let offset = self.random.next_f64() - 1.0 / self.cfg.nodes as f64;
            let Some(server) = self.servers.get_mut(&id).filter(|s| s.turn.is_nan()) else { continue };
            let after = (place + count - first) % count;
            let warmth = server.warmth(self.now, &self.cfg.rules);
            // Cold servers get a random place: by the cursors alone many nodes would send to one at once.
            let p = if warmth < 1.0 { offset.max(0.0) } else { after as f64 / count as f64 };
            (server.turn, server.turn_warmth) = (self.cursor + p / (server.size * warmth), warmth);
            (server.baseline, server.initial_offset) = (self.served_per_weight, offset);
            self.turns.set(id, server.turn);
            self.deferred.remove(id);
            self.update_indexes(id);
        }
    }

    /// Updates the sets of cold, ejected and probe-due servers, which replace scans of the subset.
    pub(super) fn update_indexes(&mut self, id: ServerId) {
        let server = self.servers.get(&id).filter(|s| s.in_subset);
        let cold = server.is_some_and(|s| s.turn_warmth < 1.0 || s.warmth(self.now, &self.cfg.rules) < 1.0);
        let (ejected, probing) = server.map_or((None, false), |s| (s.ejected, s.probing));
        if if cold { self.cold.insert(id) } else { self.cold.remove(&id) } {
            self.sizes = None;
        }
        let _ = if ejected.is_some() { self.ejected.insert(id) } else { self.ejected.remove(&id) };
        match ejected.filter(|_| !probing) {
            Some(at) => self.probe_due.set(id, at),
            None => drop(self.probe_due.remove(id)),
        }
    }
}
