//! The list of servers, and which of them this node rotates over.

use magpietally_structures::{mix, sorted_difference};

use super::*;

const NODES_PER_SERVER: usize = 8; // Where there are many: enough to even out, few enough connections.
const SUBSET_LEAST: usize = 2; // So that there is a round, and another server when one fails.

const WEIGHTS: (f64, f64) = (1e-6, 1e6); // Beyond these nothing would be added to turns.

impl Balancer {
    pub(super) fn on_list(&mut self, entries: Vec<ServerEntry>, answer: bool, whole: bool) {
        if answer {
            self.polling.answered(self.now);
        }
        let mut touched: Vec<ServerId> = entries.iter().map(|e| e.server).collect();
        touched.sort_unstable();
        touched.dedup();
        if whole {
            // Those that it names keep their state until it is read: to be named again is no return.
            let known: Vec<ServerId> = self.servers.keys().copied().collect();
            let (left_out, _) = sorted_difference(&known, &touched);
            for id in &left_out {
                self.servers.entry(*id).and_modify(|s| s.entry.state = ListedState::Gone);
            }
            touched.extend(left_out);
            touched.sort_unstable();
        }
        for entry in entries {
            self.take_entry(entry);
        }
        self.note_members(&touched, whole);
        // Rests and least limits of all sharing nodes add up: kept per node, the looks of a crowd of nodes
        // alone would keep a slow server from the rest that it needs.
        self.crowd = (self.sharing() / NODES_PER_SERVER as f64).max(1.0);
        let limit = self.first_limit();
        for id in touched {
            match self.servers.get_mut(&id) {
                // Kept while attempts are out, so that their outcomes still find it.
                Some(s) if s.entry.state == ListedState::Gone && s.out.is_empty() => {
                    drop(self.servers.remove(&id))
                }
                Some(s) if s.limit.is_nan() => s.limit = limit,
                _ => {}
            }
            self.note(id);
        }
        self.sizes = None;
        self.choose_subset();
    }

    fn take_entry(&mut self, mut entry: ServerEntry) {
        let usable = entry.weight.is_finite() && entry.weight > 0.0;
        entry.weight = if usable { entry.weight.clamp(WEIGHTS.0, WEIGHTS.1) } else { 1.0 };
        // What it was passed over for so far goes by its size so far.
        self.wake(entry.server);
        let classes = self.set.classes.len();
        let known = self.servers.contains_key(&entry.server);
        let server = self.servers.entry(entry.server).or_insert_with(|| Server::new(entry.clone(), classes));
        // Live weights are load in disguise, late and alike for all nodes. The most that a server was ever
        // listed at, when it held least, is its size.
        server.size = match self.set.weights {
            Weights::Listed => entry.weight,
            Weights::Live => entry.weight.max(if known { server.size } else { 0.0 }),
            Weights::None => 1.0,
        };
        let restarted = entry.started != server.entry.started;
        if restarted {
            // What was seen of the process before says nothing about this one.
            (server.consecutive_failures, server.ejections, server.ejected, server.returned) =
                (0, 0, None, None);
            server.down = false;
            server.class_failures.fill((0, f64::NEG_INFINITY));
        }
        if restarted || !server.listed_up() {
            server.turn = f64::NAN;
            self.newcomers.push(entry.server);
        }
        server.entry = entry;
    }

    /// Keeps the ring of those that are up. Of a change only what it names is looked at.
    fn note_members(&mut self, touched: &[ServerId], whole: bool) {
        let mut changed = false;
        if whole {
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
            self.reordered = true;
            // Limits and rests go by how many there are.
            for id in self.aside.iter().collect::<Vec<ServerId>>() {
                self.wake(id);
            }
        }
    }

    /// How many warm servers a node rotates over. All of them, until that would be more nodes to a server
    /// than it should bear: connections, and what a node must send to learn of each, grow with both.
    fn subset_size(&self, up: usize) -> usize {
        (NODES_PER_SERVER * up).div_ceil(self.set.nodes).max(SUBSET_LEAST).min(up)
    }

    /// How many nodes send to a server.
    pub(super) fn sharing(&self) -> f64 {
        let up = self.ring.len().max(1);
        (self.set.nodes * self.subset_size(up)) as f64 / up as f64
    }

    /// Which server this node would rather use than all but so many. Nodes stand at even places on the ring
    /// and prefer what follows their own: first parts cover the fleet evenly, though no node knows another.
    fn preferred(&self, place: usize) -> ServerId {
        let count = self.ring.len();
        self.ring[(self.set.number * count / self.set.nodes + place) % count].1
    }

    /// Takes servers as preferred until those not ejected make up enough warm ones: a subset of which
    /// many are down or cold widens, so that its node's traffic does not fall on the few others.
    pub(super) fn choose_subset(&mut self) {
        let count = self.ring.len();
        let wanted = self.subset_size(count) as f64;
        let part = |place: usize| {
            let server = self.servers.get(&self.preferred(place));
            server.filter(|s| s.ejected.is_none()).map_or(0.0, |s| s.warmth(self.now, &self.set.rules))
        };
        // Where none is cold each is a whole one, and the sum is known without a walk.
        let (mut taken, mut warm) = (0, 0.0);
        if wanted >= count as f64 {
            taken = count;
        } else if self.cold.is_empty() && !self.reordered {
            (taken, warm) = (self.subset.len(), (self.subset.len() - self.ejected.len()) as f64);
        }
        while taken > 0 && warm - part(taken - 1) >= wanted {
            taken -= 1;
            warm -= part(taken);
        }
        while taken < count && warm < wanted {
            warm += part(taken);
            taken += 1;
        }
        if self.reordered || taken != self.subset.len() {
            let mut subset: Vec<ServerId> = (0..taken).map(|place| self.preferred(place)).collect();
            subset.sort_unstable();
            let (leaving, coming) = sorted_difference(&self.subset, &subset);
            (self.subset, self.reordered, self.sizes) = (subset, false, None);
            for id in leaving.iter().chain(&coming) {
                if let Some(server) = self.servers.get_mut(id) {
                    (server.rotated, server.turn) = (!server.rotated, f64::NAN);
                }
                self.turns.remove(*id);
                self.aside.remove(*id);
                self.note(*id);
            }
            self.newcomers.extend(coming);
        }
        self.chosen = self.now;
        self.place_newcomers();
    }

    /// Gives servers that are new to the rotation their place in it. A server of size w has its turns at (p +
    /// k) / w for k = 0, 1, ..., p being its place after the cursor, from 0 to 1: with equal sizes that is
    /// the plain cyclic order, with unequal ones an even interleaving. The others keep their turns: were all
    /// nodes to begin again at each change of the list, the servers after their offsets would get everything
    /// while the list changes faster than a node gets round.
    fn place_newcomers(&mut self) {
        let mut newcomers = std::mem::take(&mut self.newcomers);
        newcomers.sort_unstable();
        newcomers.dedup();
        let count = self.subset.len().max(1);
        let behind = |at: ServerId| self.subset.partition_point(|id| *id <= at);
        let first = self.cursor_at.map_or(self.set.number, behind) % count;
        for id in newcomers {
            let Ok(place) = self.subset.binary_search(&id) else { continue };
            let stagger = self.random.next_f64() - 1.0 / self.set.nodes as f64;
            let Some(server) = self.servers.get_mut(&id).filter(|s| s.turn.is_nan()) else { continue };
            let after = (place + count - first) % count;
            let warmth = server.warmth(self.now, &self.set.rules);
            // Cold ones take a random place: by the cursors alone, many nodes would come at once.
            let p = if warmth < 1.0 { stagger.max(0.0) } else { after as f64 / count as f64 };
            (server.turn, server.turn_warmth) = (self.cursor + p / (server.size * warmth), warmth);
            (server.borne, server.stagger) = (self.borne, stagger);
            self.turns.set(id, server.turn);
            self.aside.remove(id);
            self.note(id);
        }
    }

    /// Notes what a server has come to, for all that is kept in place of walks over the subset.
    pub(super) fn note(&mut self, id: ServerId) {
        let server = self.servers.get(&id).filter(|s| s.rotated);
        let cold = server.is_some_and(|s| s.turn_warmth < 1.0 || s.warmth(self.now, &self.set.rules) < 1.0);
        let (ejected, probing) = server.map_or((None, false), |s| (s.ejected, s.probing));
        if if cold { self.cold.insert(id) } else { self.cold.remove(&id) } {
            self.sizes = None;
        }
        let _ = if ejected.is_some() { self.ejected.insert(id) } else { self.ejected.remove(&id) };
        match ejected.filter(|_| !probing) {
            Some(at) => self.looks.set(id, at),
            None => drop(self.looks.remove(id)),
        }
    }
}
