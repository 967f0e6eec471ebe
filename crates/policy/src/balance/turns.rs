//! Which server has the next turn, and which servers are ready for one.
//!
//! Every server of the subset has a next turn, a number; the lowest is next. Servers that may be ready are in
//! `turns`. A server that is not is deferred until it may be ready; the turns that pass meanwhile are made up
//! for, without sends, when it resumes.

use super::{Balancer, Server};
use crate::api::{Millis, ServerId};

/// Fraction of the budget of a cold server that is used. The rest is a reserve for chance and for nodes with
/// more than the average traffic.
const SLOW_START_SHARE: f64 = 0.5;

/// Fraction of a response that a refused request counts as while no warm server answers: its client will
/// retry.
const REFUSAL_WEIGHT: f64 = 0.2;

/// Greatest number of cold servers whose turns are updated at once, which bounds the work for an event.
const WARM_UP_BATCH_MAX: usize = 64;

/// Greatest number of passed turns that are made up for one by one; more are added in a single step.
const SINGLE_STEPS_MAX: f64 = 4096.0;

/// Factor by which the throttle may rise before a pausing server is checked again.
const THROTTLE_RECHECK_FACTOR: f64 = 1.125;

/// How much earlier than computed a deferred server is checked, because sums are rounded: for a time in
/// milliseconds, for a throttle as a fraction.
const ROUNDING_MARGIN: f64 = 1e-6;

impl Balancer {
    /// Takes turns until one falls to a server that `passes`, and returns that server. The servers before it
    /// are skipped: they lose this turn and keep their place in the rotation. Servers at their limit or
    /// pausing are deferred: they are not checked until they may be ready, and are then advanced past the
    /// turns that they were skipped for. While the list is stale no server gets a turn: any may be draining
    /// without the node's knowledge.
    pub(super) fn next_turn(&mut self, passes: impl Fn(&Self, &Server) -> bool) -> Option<ServerId> {
        if self.polling.is_stale(self.now) {
            return None;
        }
        while let Some(id) = self.deferred.due(self.now, self.throttle.min(1.0)) {
            self.resume(id);
        }
        let mut id = self.first_passing(&passes)?;
        // Turns of cold servers may have moved closer since they were set.
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
    /// ones: when they will be ready can't be told.
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

    /// The earliest time and the least throttle at which a server that is not ready may become ready;
    /// whichever is reached first counts. Infinite: only an event for the server can make it ready.
    fn ready_from(&self, server: &Server) -> (Millis, f64) {
        if server.ejected.is_some() {
            return (f64::INFINITY, f64::INFINITY);
        }
        if server.in_flight.is_empty() {
            // It is pausing, for less time the higher the throttle is. It is checked when its pause would end
            // at a slightly higher throttle, or once the throttle is higher than that; if that time has
            // passed, when its pause ends at the present throttle, or at any rise.
            let throttle = self.throttle.min(1.0);
            let pause_end = |level: f64| server.last_sent + self.pause(server, level) - ROUNDING_MARGIN;
            let from = |level: f64| (pause_end(level), level * (1.0 + f64::EPSILON));
            let ahead = from(throttle * THROTTLE_RECHECK_FACTOR);
            return if ahead.0 > self.now { ahead } else { from(throttle) };
        }
        // It is at its limit. The end of an attempt or a higher throttle makes it ready.
        let needed = server.in_flight.len() as f64 + 1.0;
        (f64::INFINITY, needed / server.limit * (1.0 - ROUNDING_MARGIN))
    }

    /// Returns a server to the rotation if it is deferred.
    pub(super) fn resume(&mut self, id: ServerId) {
        if self.deferred.remove(id) {
            self.advance_turn(id);
        }
    }

    /// Advances the next turn of a server past the cursor. The steps between its turns are the smaller, the
    /// larger its size, its learned weight and its warmth are.
    fn advance_turn(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let warmth = server.warmth(self.now, &self.settings.rules);
        // A step must not vanish when it is added to a large turn.
        let step =
            (1.0 / (server.size * server.learned_weight * warmth)).max(f64::EPSILON * self.cursor.abs());
        let passed_turns = ((self.cursor - server.turn) / step).floor();
        if passed_turns > SINGLE_STEPS_MAX {
            server.turn += passed_turns * step;
        }
        while server.turn.total_cmp(&self.cursor).then(Some(id).cmp(&self.cursor_server)).is_le() {
            server.turn += step;
            server.turn_warmth = warmth;
        }
        self.turns.set(id, server.turn);
    }

    /// Moves the next turns of cold servers closer as they warm up. Where there are many, each call updates
    /// some of them, in a cycle.
    fn advance_cold_turns(&mut self) {
        let from = self.warm_up_from;
        let cycle = self.cold.range(from..).chain(self.cold.range(..from));
        let batch: Vec<ServerId> = cycle.copied().take(WARM_UP_BATCH_MAX).collect();
        self.warm_up_from = batch.last().map_or(from, |id| ServerId(id.0.wrapping_add(1)));
        for id in batch {
            if let Some(server) = self.servers.get_mut(&id).filter(|s| s.turn_warmth < 1.0) {
                let warmth = server.warmth(self.now, &self.settings.rules);
                server.turn = self.cursor + (server.turn - self.cursor) * server.turn_warmth / warmth;
                server.turn_warmth = warmth;
                self.turns.set(id, server.turn);
            }
            self.update_indexes(id);
        }
    }

    /// Total size of the subset, and of its warm servers that are not ejected. Cached until the subset
    /// changes, and for one warmth interval at most.
    fn subset_sizes(&mut self) -> (f64, f64) {
        if let Some((_, all, warm)) = self.cached_sizes.filter(|s| self.now < s.0 + self.warmth_interval()) {
            return (all, warm);
        }
        let is_warm = |s: &&Server| s.ejected.is_none() && s.warmth(self.now, &self.settings.rules) >= 1.0;
        let all = self.subset_servers().map(|s| s.size).sum();
        let warm = self.subset_servers().filter(is_warm).map(|s| s.size).sum();
        self.cached_sizes = Some((self.now, all, warm));
        (all, warm)
    }

    /// Counts a response of a server, or a request without one (`None`), for the budgets of cold servers.
    /// These are measured by the responses of warm servers. While there are none, a fraction of the refusals
    /// stands in, and a cold server earns budget by its own responses. Beside warm servers its own responses
    /// don't count: the budget of a cold server would feed itself.
    pub(super) fn record_answer(&mut self, answered: Option<ServerId>) {
        let (all, warm) = self.subset_sizes();
        let no_warm_responses =
            warm <= 0.0 || self.now - self.last_warm_response > self.settings.rules.fall_window;
        let server = answered.and_then(|id| self.servers.get_mut(&id));
        match server.map(|s| (s.warmth(self.now, &self.settings.rules), s)) {
            Some((warmth, server)) if warmth < 1.0 && no_warm_responses => {
                server.slow_start_baseline -= SLOW_START_SHARE / (warmth * server.size)
            }
            Some((warmth, _)) if warmth >= 1.0 && warm > 0.0 => {
                (self.served_per_weight, self.last_warm_response) =
                    (self.served_per_weight + 1.0 / warm, self.now);
            }
            None if no_warm_responses && all > 0.0 => self.served_per_weight += REFUSAL_WEIGHT / all,
            _ => {}
        }
    }

    /// Returns whether a server could be sent a request now.
    pub(super) fn is_ready(&self, server: &Server) -> bool {
        server.ejected.is_none() && self.within_slow_start(server) && self.has_capacity(server)
    }

    /// Returns whether a server is below the limit of this node's attempts in flight. By turns alone a slow
    /// server would keep its full share of requests while its queue grows, until no response is in time.
    fn has_capacity(&self, server: &Server) -> bool {
        let limit = server.effective_limit(self.throttle, self.min_limit());
        if limit >= 1.0 {
            return (server.in_flight.len() as f64) < limit.floor();
        }
        server.in_flight.is_empty() && self.now - server.last_sent >= self.pause(server, self.throttle)
    }

    /// Pause between sends to a server with a limit below 1: long enough that on average no more is in flight
    /// than the limit, but never so long that its recovery would go unnoticed.
    pub(super) fn pause(&self, server: &Server, throttle: f64) -> Millis {
        let max_pause = self.settings.classes.iter().map(|c| 2.0 * c.aim).fold(0.0, f64::max);
        (server.last_duration / server.effective_limit(throttle, self.min_limit()))
            .min(max_pause * self.contention)
    }

    /// Rule 4 of the platform: returns whether a server is warm, or its budget allows a send.
    ///
    /// What all nodes send to a cold server in one window must stay below a multiple of its present capacity.
    /// Each node sends it a fraction of what it sees a warm server answer, counted in requests, not in time.
    /// The parts of all nodes add up to the same fraction of all responses, however many nodes there are,
    /// however new they are and however little each sees. The first send has a random delay, as otherwise all
    /// nodes that learn of the server together would send at once; a single node needs none.
    fn within_slow_start(&self, to: &Server) -> bool {
        let warmth = to.warmth(self.now, &self.settings.rules);
        let share = SLOW_START_SHARE * self.settings.rules.fall_multiple * warmth;
        warmth >= 1.0
            || (self.served_per_weight - to.slow_start_baseline) * share * to.size >= to.initial_offset
    }
}
