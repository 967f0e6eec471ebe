//! Adaptive concurrency limits and learned weights, updated by each response time.

use super::*;

const PACE_TARGET: f64 = 0.35; // Wanted mean response time over the latency target; above, too many are late.
const LATE: f64 = 1.25; // Pace of a late or missing response, over the latency target.
const CUT: f64 = 2.0; // Pace of an attempt cut off at the target: assumed to need twice as long.
const LIMIT_GAIN: f64 = 0.25; // Gain of one response on its server's limit.
const EXCESS_FROM: f64 = 0.25; // Responses slower than this fraction of the target lower the learned weight.
const WEIGHT_GAIN: (f64, f64) = (0.05, 0.005); // Gain and decay of the learned weight per response.
const TIME_GAIN: f64 = 0.02; // Gain of one response on the usual time on its machine kind.
const LIMIT_FADE: f64 = 0.02; // Fraction that one response takes off a limit far from reached.
const LIMITS: (f64, f64) = (8.0, 0.05); // Initial and least limit of all nodes together on one server.
/// Initial limit where that is below 1 per node: many nodes that send at once overload a server unnoticed.
const SPACED_LIMIT: f64 = 5.0;
const THROTTLE_MIN: f64 = 0.25; // Leaves enough responses to notice a recovery.
const THROTTLE_MAX: f64 = 2.0; // Above 1, so that a few late responses have no effect.

impl Balancer {
    pub(super) fn initial_limit(&self) -> f64 {
        let nodes_per_server = self.nodes_per_server().max(1.0);
        (if nodes_per_server <= LIMITS.0 { LIMITS.0 } else { SPACED_LIMIT }) / nodes_per_server
    }

    pub(super) fn min_limit(&self) -> f64 {
        LIMITS.1 / self.contention
    }

    /// Updates the limit, learned weight and usual times after an attempt on a server.
    pub(super) fn learn(&mut self, class: usize, attempt: &Attempt, outcome: Outcome, took: Millis) {
        let Attempt { server: id, at_limit, alone, .. } = *attempt;
        let done = outcome == Outcome::Done;
        let (initial, min_limit) = (self.initial_limit(), self.min_limit());
        let pace = match outcome {
            Outcome::Done => (took / self.cfg.classes[class].aim).min(LATE),
            // Cut off when it became useless. An attempt with little time left says little.
            Outcome::TimedOut if self.cfg.classes[class].late_worth == 0.0 => {
                CUT * (took / self.cfg.classes[class].aim).min(1.0)
            }
            Outcome::TimedOut => LATE,
            // A rejection without work says nothing about the pace of the requests that share the limit.
            _ => return,
        };
        let count = self.cfg.classes.len();
        if done {
            self.record_answer(Some(id));
            let stats = &mut self.classes[class];
            stats.count = stats.count.saturating_add(1);
            stats.mean += (took - stats.mean) / f64::from(stats.count.min(200));
        }
        // A slowdown of the whole fleet shows in all responses long before each limit has seen enough of its
        // own. One late response for every two well in time means that too much is in flight.
        let step = LIMIT_GAIN * (LATE - PACE_TARGET) / (self.subset.len().max(1) as f64).sqrt();
        if pace >= 1.0 {
            self.throttle = (self.throttle * (-2.0 * step).exp()).max(THROTTLE_MIN);
        } else if pace <= PACE_TARGET {
            self.throttle = (self.throttle * step.exp()).min(THROTTLE_MAX);
        }
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.last_duration = took;
        if done && alone {
            let time = &mut self.idle_times.entry(s.entry.kind).or_insert_with(|| vec![0.0; count])[class];
            *time += (took - *time) * if *time > 0.0 { TIME_GAIN } else { 1.0 };
        }
        // Learns sizes that the list does not tell: a server that exceeds a fraction of the target by more
        // than the fleet does has too many turns. Under light load none exceeds it, and turns stay even.
        let excess = (pace - EXCESS_FROM).max(0.0);
        let usual = &mut self.classes[class].excess;
        *usual += (excess - *usual) * WEIGHT_GAIN.0;
        s.learned = s.learned.powf(1.0 - WEIGHT_GAIN.1) * (WEIGHT_GAIN.0 * (*usual - excess)).exp();
        let unused = s.allowed(self.throttle, min_limit) > 2.0 * (s.open.len() as f64 + 1.0);
        if unused || (s.limit < 1.0 && !at_limit) {
            // A limit far above what is used protects nothing when the whole fleet slows down.
            s.limit *= 1.0 - LIMIT_FADE;
        }
        if s.limit < initial && pace <= PACE_TARGET && at_limit {
            // Below a limit of 1 responses are rare: without fast recovery a few slow seconds would cost
            // minutes. Only up to the initial limit: beyond it many nodes would overload the server.
            s.limit *= (LIMIT_GAIN * (LATE - PACE_TARGET)).exp();
        } else if at_limit {
            // One attempt at a time that is still in time is not too much, even where the whole fleet misses
            // the target.
            let min = if pace < 1.0 { s.limit.min(1.0) } else { min_limit };
            s.limit = (s.limit * (LIMIT_GAIN * (PACE_TARGET - pace)).exp()).max(min);
        }
    }
}
