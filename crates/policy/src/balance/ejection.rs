//! Outlier ejection: takes servers out of the rotation and lets them return.

use super::*;

/// Returns whether the outcome shows a process that is down. A refusal is fast; on a broken network path a
/// connection attempt takes the whole timeout.
fn is_refused_connection(outcome: Outcome, took: Millis, limits: &Limits) -> bool {
    outcome == Outcome::ConnectFailed && took < 0.9 * limits.connect_timeout
}

impl Balancer {
    fn eject(&mut self, id: ServerId, certain: bool) {
        let too_many =
            (self.ejected.len() + 1) as f64 > self.cfg.tuning.eject_at_most * self.subset.len() as f64;
        if let Some(server) = self.servers.get_mut(&id) {
            if server.ejected.is_none() && too_many && !certain {
                return;
            }
            server.ejections += 1;
            server.ejected = Some(self.now + backoff(&self.cfg, server.ejections));
        }
        self.update_indexes(id);
        self.choose_subset();
    }

    /// Ejects a server whose process may be down, until a probe that is sent at once has ended: a few broken
    /// connections must not cost a healthy server a second of its turns and then a cold start. Where the
    /// network path is broken no probe is needed.
    fn suspect(&mut self, id: ServerId, outcome: Outcome, took: Millis) {
        let limits = &self.cfg.limits;
        let refused = is_refused_connection(outcome, took, limits);
        let unreachable = outcome == Outcome::ConnectFailed && !refused;
        let (probes, now) = (limits.probes, self.now);
        let Some(server) = self.servers.get_mut(&id) else { return };
        if unreachable || !probes {
            server.down |= refused;
            self.eject(id, true);
        } else if server.ejected.is_none() {
            server.ejected = Some(now);
            self.update_indexes(id);
            self.choose_subset();
        }
    }

    pub(super) fn on_probed(&mut self, id: ServerId, outcome: Outcome, took: Millis) {
        let (now, served, offset) =
            (self.now, self.served_per_weight, self.random.next_f64() - 1.0 / self.cfg.nodes as f64);
        self.resume(id);
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.probing = false;
        if server.ejected.is_none() {
            return self.update_indexes(id);
        }
        if outcome == Outcome::Done {
            // Only a process that was down is cold. If slow ones counted as cold, an overload that ejects
            // each server once would put the whole fleet on cold budgets. Set at each return, as the list may
            // report a start late or never.
            if server.down {
                (server.returned_at, server.baseline, server.initial_offset) = (Some(now), served, offset);
            }
            (server.ejected, server.consecutive_failures, server.down) = (None, 0, false);
            self.update_indexes(id);
            self.choose_subset();
        } else {
            // A probe's connection may fail like any other: after a single refusal it is probed again.
            let refused = is_refused_connection(outcome, took, &self.cfg.limits);
            if refused && server.ejections == 0 {
                (server.ejections, server.ejected) = (1, Some(now));
                return self.update_indexes(id);
            }
            server.down |= refused;
            self.eject(id, true);
        }
    }

    /// Updates the outlier state of a server after an attempt.
    pub(super) fn detect_outlier(&mut self, id: ServerId, outcome: Outcome, took: Millis) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        match outcome {
            Outcome::Done => {
                (server.consecutive_failures, server.ejections) = (0, 0);
                server.last_reset = f64::NEG_INFINITY;
            }
            // A rejection depends on what the client sent; a dead connection says nothing about the server.
            Outcome::Cancelled | Outcome::NotSent | Outcome::Full | Outcome::Rejected | Outcome::Unheard => {}
            Outcome::ConnectFailed => self.suspect(id, outcome, took),
            // Servers close connections on requests that they can't parse and abort single responses. If each
            // counted as a crash, all would get cold budgets. Several at once are checked by a probe.
            Outcome::TimedOut | Outcome::Error | Outcome::Reset | Outcome::Unwritten => {
                let (reset, limits) =
                    (matches!(outcome, Outcome::Reset | Outcome::Unwritten), &self.cfg.limits);
                let repeated =
                    reset && limits.probes && self.now - server.last_reset <= limits.connect_timeout;
                if reset {
                    server.last_reset = self.now;
                }
                server.consecutive_failures += 1;
                if repeated {
                    self.suspect(id, outcome, took);
                } else if server.consecutive_failures >= self.cfg.tuning.outlier_failures {
                    server.consecutive_failures = 0;
                    self.eject(id, false);
                }
            }
        }
    }
}
