//! Whose turn it is, and who is ready for it.

use super::*;

const SLOW_START_CAUTION: f64 = 0.5; // Part of the cold budget used; the rest is for chance and uneven nodes.
const REFUSED: f64 = 0.2; // What a refused request counts as where no warm server answers: it comes again.
const LOOKS_MOST: usize = 64; // How many cold servers one event looks at where it need not.
const STEPS_MOST: f64 = 4096.0; // How many turns are made up for one by one; more than these are at once.
const REST_AHEAD: f64 = 1.125; // How far the fleet's factor may rise until a resting server is looked at.
const ROUNDING: f64 = 1e-6; // How much sooner, in ms or parts, a server is looked at, as sums are rounded.

impl Balancer {
    /// Takes turns until one falls to a server that `passes`; the others are passed over in place. Servers
    /// that are full or rest are put aside: nobody looks at them until they may be ready, and the turns that
    /// they were passed over for are made up for then.
    pub(super) fn next_turn(&mut self, passes: impl Fn(&Self, &Server) -> bool) -> Option<ServerId> {
        if self.polling.out_of_date(self.now) {
            return None;
        }
        while let Some(id) = self.aside.due(self.now, self.fleet.min(1.0)) {
            self.wake(id);
        }
        let mut id = self.first_that(&passes)?;
        if !self.cold.is_empty() {
            self.warm_up();
            id = self.first_that(&passes)?;
        }
        (self.cursor, self.cursor_at) = (self.servers.get(&id)?.turn, Some(id));
        while let Some(over) = self.turns.first().filter(|over| *over != id) {
            self.catch_up(over);
        }
        self.catch_up(id);
        Some(id)
    }

    /// Which server is the next in turn that passes. Those ahead of it that are not ready are put aside, but
    /// for cold ones, of which it can't be told when they will be.
    fn first_that(&mut self, passes: &impl Fn(&Self, &Server) -> bool) -> Option<ServerId> {
        let mut aside = Vec::new();
        let found = self.turns.iter().find(|id| {
            let Some(server) = self.servers.get(id) else { return false };
            let good = passes(self, server);
            if !good && !self.cold.contains(id) && !self.ready(server) {
                aside.push((*id, self.ready_from(server)));
            }
            good
        });
        for (id, (at, fleet)) in aside {
            self.turns.remove(id);
            self.aside.defer(id, at, fleet);
        }
        found
    }

    /// From when, and from which factor of the fleet on, a server that is not ready may be, at the soonest.
    fn ready_from(&self, server: &Server) -> (Millis, f64) {
        if server.ejected.is_some() {
            return (f64::INFINITY, f64::INFINITY);
        }
        if server.out.is_empty() {
            // It rests, for less the more the fleet's factor rises.
            let fleet = self.fleet.min(1.0);
            let rested = |f: f64| server.last_sent + self.rest(server, f) - ROUNDING;
            let from = |f: f64| (rested(f), f * (1.0 + f64::EPSILON));
            let ahead = from(fleet * REST_AHEAD);
            return if ahead.0 > self.now { ahead } else { from(fleet) };
        }
        // It is full: an end of an attempt wakes it, or more room.
        let room = server.out.len() as f64 + 1.0;
        (f64::INFINITY, room / server.limit * (1.0 - ROUNDING))
    }

    /// Looks at a server that was put aside again.
    pub(super) fn wake(&mut self, id: ServerId) {
        if self.aside.remove(id) {
            self.catch_up(id);
        }
    }

    /// Passes over a server as often as its turn has come up to the cursor.
    fn catch_up(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let warmth = server.warmth(self.now, &self.set.rules);
        let step = (1.0 / (server.size * server.share * warmth)).max(f64::EPSILON * self.cursor.abs());
        let behind = ((self.cursor - server.turn) / step).floor();
        if behind > STEPS_MOST {
            server.turn += behind * step;
        }
        while server.turn.total_cmp(&self.cursor).then(Some(id).cmp(&self.cursor_at)).is_le() {
            server.turn += step;
            server.turn_warmth = warmth;
        }
        self.turns.set(id, server.turn);
    }

    /// As cold servers warm up their turns come closer; of very many, those of some at a time.
    fn warm_up(&mut self) {
        let from = self.warm_next;
        let round = self.cold.range(from..).chain(self.cold.range(..from));
        let some: Vec<ServerId> = round.copied().take(LOOKS_MOST).collect();
        self.warm_next = some.last().map_or(from, |id| ServerId(id.0.wrapping_add(1)));
        for id in some {
            if let Some(server) = self.servers.get_mut(&id).filter(|s| s.turn_warmth < 1.0) {
                let warmth = server.warmth(self.now, &self.set.rules);
                server.turn = self.cursor + (server.turn - self.cursor) * server.turn_warmth / warmth;
                server.turn_warmth = warmth;
                self.turns.set(id, server.turn);
            }
            self.note(id);
        }
    }

    /// The subset's size once all is warm, and that of what is warm and not ejected, added up now and then.
    fn sizes(&mut self) -> (f64, f64) {
        if let Some((_, all, warm)) = self.sizes.filter(|s| self.now < s.0 + self.warmth_step()) {
            return (all, warm);
        }
        let warm = |s: &&Server| s.ejected.is_none() && s.warmth(self.now, &self.set.rules) >= 1.0;
        let all = self.rotated().map(|s| s.size).sum();
        let warm = self.rotated().filter(warm).map(|s| s.size).sum();
        self.sizes = Some((self.now, all, warm));
        (all, warm)
    }

    /// Counts what warm servers bear, the measure for cold ones: their answers. While none comes, a part of
    /// what is refused stands in, and a cold server gets more for what it answered itself; beside warm ones
    /// that does not count, or a cold budget would feed on itself.
    pub(super) fn bear(&mut self, answered: Option<ServerId>) {
        let (all, warm) = self.sizes();
        let silent = warm <= 0.0 || self.now - self.bore > self.set.rules.fall_window;
        let server = answered.and_then(|id| self.servers.get_mut(&id));
        match server.map(|s| (s.warmth(self.now, &self.set.rules), s)) {
            Some((warmth, s)) if warmth < 1.0 && silent => s.borne -= SLOW_START_CAUTION / (warmth * s.size),
            Some((warmth, _)) if warmth >= 1.0 && warm > 0.0 => {
                (self.borne, self.bore) = (self.borne + 1.0 / warm, self.now);
            }
            None if silent && all > 0.0 => self.borne += REFUSED / all,
            _ => {}
        }
    }

    pub(super) fn ready(&self, server: &Server) -> bool {
        server.ejected.is_none() && self.within_slow_start(server) && self.has_room(server)
    }

    /// A server full with our own attempts is passed over: on turns alone a slow one keeps its full turn
    /// while its queue grows until nothing that it is sent comes in time.
    fn has_room(&self, server: &Server) -> bool {
        let limit = server.allowed(self.fleet, self.least_limit());
        if limit >= 1.0 {
            return (server.out.len() as f64) < limit.floor();
        }
        server.out.is_empty() && self.now - server.last_sent >= self.rest(server, self.fleet)
    }

    /// How long a server with a limit below one rests from one send to the next: so long that on average no
    /// more is out than the limit, but never so long that its recovery would go unseen.
    pub(super) fn rest(&self, server: &Server, fleet: f64) -> Millis {
        let most = self.set.classes.iter().map(|c| 2.0 * c.aim).fold(0.0, f64::max);
        (server.last_took / server.allowed(fleet, self.least_limit())).min(most * self.crowd)
    }

    /// Rule 4: what all nodes send to a cold server in one window must stay below a multiple of what it can
    /// do by now. Each sends it a part of what it sees a warm server bear, counted in requests, not in time:
    /// these add up to that part of what all see, however many or new they are and however little each sees.
    /// Before the first send a random part is waited, or all would send when they hear of it; one need not.
    fn within_slow_start(&self, server: &Server) -> bool {
        let warmth = server.warmth(self.now, &self.set.rules);
        let part = SLOW_START_CAUTION * self.set.rules.fall_multiple * warmth;
        warmth >= 1.0 || (self.borne - server.borne) * part * server.size >= server.stagger
    }
}
