//! Outlier ejection: takes servers out of the rotation and lets them return.

use super::{backoff, Balancer};
use crate::api::{Limits, Millis, Outcome, ServerId};

/// Returns whether the outcome shows a process that is down: a connection that was refused, which is fast. On
/// a broken network path a connection attempt takes the whole timeout.
fn is_refused_connection(outcome: Outcome, took: Millis, limits: &Limits) -> bool {
    outcome == Outcome::ConnectFailed && took < 0.9 * limits.connect_timeout
}

impl Balancer {
    /// Ejects a server, or extends its ejection with a longer backoff. Unless it is `certain` that the server
    /// itself fails, no more than a fraction of the subset is ejected: many failures at once are more likely
    /// caused by the requests or by the whole fleet.
    fn eject(&mut self, id: ServerId, certain: bool) {
        let too_many =
            (self.ejected.len() + 1) as f64 > self.settings.tuning.eject_at_most * self.subset.len() as f64;
        if let Some(server) = self.servers.get_mut(&id) {
            if server.ejected.is_none() && too_many && !certain {
                return;
            }
            server.ejections += 1;
            server.ejected = Some(self.now + backoff(&self.settings, server.ejections));
        }
        self.update_indexes(id);
        self.choose_subset();
    }

    /// Handles a connection that failed or broke, after which the server's process may be down. The server is
    /// ejected until a probe, sent at once, has ended: a few broken connections must not cost a healthy
    /// server a second of its turns and then a cold start. A broken network path needs no confirmation by a
    /// probe.
    fn suspect(&mut self, id: ServerId, outcome: Outcome, took: Millis) {
        let limits = &self.settings.limits;
        let refused = is_refused_connection(outcome, took, limits);
        let path_broken = outcome == Outcome::ConnectFailed && !refused;
        let (probes, now) = (limits.probes, self.now);
        let Some(server) = self.servers.get_mut(&id) else { return };
        if path_broken || !probes {
            server.down |= refused;
            self.eject(id, true);
        } else if server.ejected.is_none() {
            // The next sweep sends the probe.
            server.ejected = Some(now);
            self.update_indexes(id);
            self.choose_subset();
        }
    }

    /// Handles the end of a probe: returns the server to the rotation, or extends its ejection.
    pub(super) fn on_probed(&mut self, id: ServerId, outcome: Outcome, took: Millis) {
        let (now, served, offset) =
            (self.now, self.served_per_weight, self.random.next_f64() - 1.0 / self.settings.nodes as f64);
        self.resume(id);
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.probing = false;
        if server.ejected.is_none() {
            return self.update_indexes(id);
        }
        if outcome == Outcome::Done {
            // Only a process that was down is cold. If slow ones counted as cold, an overload that ejects
            // each server once would put the whole fleet on cold budgets. The time is set at each such
            // return, as the list may report the start late or never.
            if server.down {
                (server.returned_at, server.slow_start_baseline, server.initial_offset) =
                    (Some(now), served, offset);
            }
            (server.ejected, server.consecutive_failures, server.down) = (None, 0, false);
            self.update_indexes(id);
            self.choose_subset();
        } else {
            // The connection of a probe may fail by chance like any other: after a single refusal the server
            // is probed again at once.
            let refused = is_refused_connection(outcome, took, &self.settings.limits);
            if refused && server.ejections == 0 {
                (server.ejections, server.ejected) = (1, Some(now));
                return self.update_indexes(id);
            }
            server.down |= refused;
            self.eject(id, true);
        }
    }

    /// Updates the failure counts of a server after an attempt, and ejects it if it is an outlier.
    pub(super) fn detect_outlier(&mut self, id: ServerId, outcome: Outcome, took: Millis) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        match outcome {
            Outcome::Done => {
                (server.consecutive_failures, server.ejections) = (0, 0);
                server.last_reset = f64::NEG_INFINITY;
            }
            // A rejection depends on what the client sent, and a dead connection says nothing about the
            // server.
            Outcome::Cancelled | Outcome::NotSent | Outcome::Full | Outcome::Rejected | Outcome::Unheard => {}
            Outcome::ConnectFailed => self.suspect(id, outcome, took),
            // Servers close connections on requests that they can't parse and abort single responses. If each
            // such end counted as a crash, all servers would get cold budgets. Two resets within a connect
            // timeout may be a crash: a probe finds out, where probes are permitted.
            Outcome::TimedOut | Outcome::Error | Outcome::Reset | Outcome::Unwritten => {
                let (reset, limits) =
                    (matches!(outcome, Outcome::Reset | Outcome::Unwritten), &self.settings.limits);
                let repeated =
                    reset && limits.probes && self.now - server.last_reset <= limits.connect_timeout;
                if reset {
                    server.last_reset = self.now;
                }
                server.consecutive_failures += 1;
                if repeated {
                    self.suspect(id, outcome, took);
                } else if server.consecutive_failures >= self.settings.tuning.outlier_failures {
                    server.consecutive_failures = 0;
                    self.eject(id, false);
                }
            }
        }
    }
}
