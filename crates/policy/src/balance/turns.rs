//! Which server has the next turn, and which servers are ready for one.

use super::*;

const SLOW_START_SHARE: f64 = 0.5; // Used part of the cold budget; the rest is for chance and uneven nodes.
const REFUSAL_WEIGHT: f64 = 0.2; // Weight of a refusal while no warm server answers; its client retries.
const WARM_UP_MAX: usize = 64; // Cold servers whose turns one event updates.
const STEPS_MAX: f64 = 4096.0; // Turns made up for one by one; more are added in one step.
const THROTTLE_AHEAD: f64 = 1.125; // Rise of the throttle after which a pausing server is checked.
const ROUNDING: f64 = 1e-6; // How much earlier, in ms or relative, to check, against rounding.

impl Balancer {
    /// Takes turns until one falls to a server that `passes`; the others are skipped in place. Servers at
    /// their limit or pausing are deferred: they are not checked until they may be ready, and are then
    /// advanced past the turns that they were skipped for.
    pub(super) fn next_turn(&mut self, passes: impl Fn(&Self, &Server) -> bool) -> Option<ServerId> {
        if self.polling.is_stale(self.now) {
            return None;
        }
        while let Some(id) = self.deferred.due(self.now, self.throttle.min(1.0)) {
            self.resume(id);
        }
        let mut id = self.first_passing(&passes)?;
        if !self.cold.is_empty() {
            self.advance_cold_turns();
            id = self.first_passing(&passes)?;
        }
        (self.cursor, self.cursor_server) = (self.servers.get(&id)?.turn, Some(id));
        while let Some(skipped) = self.turns.first().filter(|skipped| *skipped != id) {
            self.advance_turn(skipped);
        }
        self.advance_turn(id);
        Some(id)
    }

    /// The next server in turn that passes. Servers ahead of it that are not ready are deferred, except cold
    /// ones, which may become ready at any time.
    fn first_passing(&mut self, passes: &impl Fn(&Self, &Server) -> bool) -> Option<ServerId> {
        let mut not_ready = Vec::new();
        let found = self.turns.iter().find(|id| {
            let Some(server) = self.servers.get(id) else { return false };
            let passing = passes(self, server);
            if !passing && !self.cold.contains(id) && !self.is_ready(server) {
                not_ready.push((*id, self.ready_from(server)));
            }
            passing
        });
        for (id, (at, throttle)) in not_ready {
            self.turns.remove(id);
            self.deferred.defer(id, at, throttle);
        }
        found
    }

    /// The earliest time and the least throttle at which a server that is not ready may be.
    fn ready_from(&self, server: &Server) -> (Millis, f64) {
        if server.ejected.is_some() {
            return (f64::INFINITY, f64::INFINITY);
        }
        if server.open.is_empty() {
            // Pausing: for less time the higher the throttle is.
            let throttle = self.throttle.min(1.0);
            let pause_end = |f: f64| server.last_sent + self.pause(server, f) - ROUNDING;
            let from = |f: f64| (pause_end(f), f * (1.0 + f64::EPSILON));
            let ahead = from(throttle * THROTTLE_AHEAD);
            return if ahead.0 > self.now { ahead } else { from(throttle) };
        }
        // At its limit: resumed by the end of an attempt or a higher limit.
        let needed = server.open.len() as f64 + 1.0;
        (f64::INFINITY, needed / server.limit * (1.0 - ROUNDING))
    }

    /// Returns a deferred server to the rotation.
    pub(super) fn resume(&mut self, id: ServerId) {
        if self.deferred.remove(id) {
            self.advance_turn(id);
        }
    }

    /// Advances a server past all its turns up to the cursor.
    fn advance_turn(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let warmth = server.warmth(self.now, &self.cfg.rules);
        let step = (1.0 / (server.size * server.learned * warmth)).max(f64::EPSILON * self.cursor.abs());
        let behind = ((self.cursor - server.turn) / step).floor();
        if behind > STEPS_MAX {
            server.turn += behind * step;
        }
        while server.turn.total_cmp(&self.cursor).then(Some(id).cmp(&self.cursor_server)).is_le() {
            server.turn += step;
            server.turn_warmth = warmth;
        }
        self.turns.set(id, server.turn);
    }

    /// Moves the next turns of cold servers closer as they warm up; of many servers, a part at a time.
    fn advance_cold_turns(&mut self) {
        let from = self.warm_up_from;
        let round = self.cold.range(from..).chain(self.cold.range(..from));
        let batch: Vec<ServerId> = round.copied().take(WARM_UP_MAX).collect();
        self.warm_up_from = batch.last().map_or(from, |id| ServerId(id.0.wrapping_add(1)));
        for id in batch {
            if let Some(server) = self.servers.get_mut(&id).filter(|s| s.turn_warmth < 1.0) {
                let warmth = server.warmth(self.now, &self.cfg.rules);
                server.turn = self.cursor + (server.turn - self.cursor) * server.turn_warmth / warmth;
                server.turn_warmth = warmth;
                self.turns.set(id, server.turn);
            }
            self.update_indexes(id);
        }
    }

    /// Total size of the subset, and of its warm servers that are not ejected. Cached for a warmth interval.
    fn subset_sizes(&mut self) -> (f64, f64) {
        if let Some((_, all, warm)) = self.sizes.filter(|s| self.now < s.0 + self.warmth_interval()) {
            return (all, warm);
        }
        let warm = |s: &&Server| s.ejected.is_none() && s.warmth(self.now, &self.cfg.rules) >= 1.0;
        let all = self.rotation().map(|s| s.size).sum();
        let warm = self.rotation().filter(warm).map(|s| s.size).sum();
        self.sizes = Some((self.now, all, warm));
        (all, warm)
    }

    /// Counts the responses of warm servers, which set the budgets of cold ones. While there are none, a
    /// fraction of the refusals stands in, and a cold server earns budget by its own responses. Beside warm
    /// servers these don't count: a cold budget would feed itself.
    pub(super) fn record_answer(&mut self, answered: Option<ServerId>) {
        let (all, warm) = self.subset_sizes();
        let silent = warm <= 0.0 || self.now - self.last_warm_response > self.cfg.rules.fall_window;
        let server = answered.and_then(|id| self.servers.get_mut(&id));
        match server.map(|s| (s.warmth(self.now, &self.cfg.rules), s)) {
            Some((warmth, s)) if warmth < 1.0 && silent => s.baseline -= SLOW_START_SHARE / (warmth * s.size),
            Some((warmth, _)) if warmth >= 1.0 && warm > 0.0 => {
                (self.served_per_weight, self.last_warm_response) =
                    (self.served_per_weight + 1.0 / warm, self.now);
            }
            None if silent && all > 0.0 => self.served_per_weight += REFUSAL_WEIGHT / all,
            _ => {}
        }
    }

    pub(super) fn is_ready(&self, server: &Server) -> bool {
        server.ejected.is_none() && self.within_slow_start(server) && self.has_capacity(server)
    }

    /// Returns whether a server is below its limit. By turns alone a slow server would keep its share while
    /// its queue grows, until no response is in time.
    fn has_capacity(&self, server: &Server) -> bool {
        let limit = server.allowed(self.throttle, self.min_limit());
        if limit >= 1.0 {
            return (server.open.len() as f64) < limit.floor();
        }
        server.open.is_empty() && self.now - server.last_sent >= self.pause(server, self.throttle)
    }

    /// Pause between sends to a server with a limit below 1, so that on average no more is in flight than the
    /// limit; short enough to notice a recovery.
    pub(super) fn pause(&self, server: &Server, throttle: f64) -> Millis {
        let max = self.cfg.classes.iter().map(|c| 2.0 * c.aim).fold(0.0, f64::max);
        (server.last_duration / server.allowed(throttle, self.min_limit())).min(max * self.contention)
    }

    /// Rule 4: what all nodes send to a cold server in one window must stay below a multiple of its present
    /// capacity. Each node sends it a fraction of what it sees a warm server answer, counted in requests, not
    /// in time: this adds up to the same fraction for any number of nodes, however new they are and little
    /// they see. The first send has a random delay, which spreads the sends of nodes that learn of the server
    /// together; a single node needs none.
    fn within_slow_start(&self, to: &Server) -> bool {
        let warmth = to.warmth(self.now, &self.cfg.rules);
        let share = SLOW_START_SHARE * self.cfg.rules.fall_multiple * warmth;
        warmth >= 1.0 || (self.served_per_weight - to.baseline) * share * to.size >= to.initial_offset
    }
}
