//! Adaptive concurrency limits and learned weights, updated by each response time.
//!
//! The pace of an attempt is its response time over the latency target of its class.

use super::{Attempt, Balancer};
use crate::api::{Millis, Outcome};

/// Wanted mean pace. Above it too many responses are late.
const PACE_TARGET: f64 = 0.35;

/// Pace that a late or missing response counts as.
const LATE_PACE: f64 = 1.25;

/// Pace that an attempt counts as that was cut off at the latency target: it is assumed to have needed twice
/// as long.
const CUT_OFF_PACE: f64 = 2.0;

/// Gain of one response on the limit of its server: factor on the difference from the wanted pace.
const LIMIT_GAIN: f64 = 0.25;

/// Pace above which a response lowers the learned weight of its server.
const EXCESS_FROM_PACE: f64 = 0.25;

/// `.0`: gain of one response on the learned weight of its server. `.1`: fraction, on a logarithmic scale, by
/// which one response moves the learned weight back towards 1.
const WEIGHT_GAIN_AND_DECAY: (f64, f64) = (0.05, 0.005);

/// Gain of one response on the usual time of its class on the machine kind.
const IDLE_TIME_GAIN: f64 = 0.02;

/// Fraction by which one response lowers a limit that is far from reached.
const UNUSED_LIMIT_DECAY: f64 = 0.02;

/// Initial (`.0`) and least (`.1`) limit of the attempts in flight on one server, for all nodes together.
const LIMIT_INITIAL_AND_MIN: (f64, f64) = (8.0, 0.05);

/// Initial limit, for all nodes together, where that is below 1 per node: many nodes that may each send at
/// once overload a server without noticing.
const SPACED_INITIAL_LIMIT: f64 = 5.0;

/// Least throttle. It leaves enough responses to notice a recovery.
const THROTTLE_MIN: f64 = 0.25;

/// Greatest throttle. It is above 1, so that a few late responses have no effect.
const THROTTLE_MAX: f64 = 2.0;

impl Balancer {
    /// Limit of this node's attempts in flight that a server begins with.
    pub(super) fn initial_limit(&self) -> f64 {
        let nodes_per_server = self.nodes_per_server().max(1.0);
        (if nodes_per_server <= LIMIT_INITIAL_AND_MIN.0 {
            LIMIT_INITIAL_AND_MIN.0
        } else {
            SPACED_INITIAL_LIMIT
        }) / nodes_per_server
    }

    /// Least limit of this node's attempts in flight that a server can have.
    pub(super) fn min_limit(&self) -> f64 {
        LIMIT_INITIAL_AND_MIN.1 / self.contention
    }

    /// Updates the throttle, the usual times, and the learned weight and limit of the server after an
    /// attempt.
    pub(super) fn learn_from(&mut self, class: usize, attempt: &Attempt, outcome: Outcome, took: Millis) {
        let Attempt { server: id, at_limit, alone, .. } = *attempt;
        let done = outcome == Outcome::Done;
        let (initial, min_limit) = (self.initial_limit(), self.min_limit());
        let pace = match outcome {
            Outcome::Done => (took / self.settings.classes[class].aim).min(LATE_PACE),
            // Cut off when its response became useless. An attempt that had little time left when it was sent
            // says little, and counts as a lower pace.
            Outcome::TimedOut if self.settings.classes[class].late_worth == 0.0 => {
                CUT_OFF_PACE * (took / self.settings.classes[class].aim).min(1.0)
            }
            Outcome::TimedOut => LATE_PACE,
            // A rejection without work says nothing about the pace of the other requests under the limit.
            _ => return,
        };
        let class_count = self.settings.classes.len();
        if done {
            self.record_answer(Some(id));
            let stats = &mut self.class_stats[class];
            stats.responses = stats.responses.saturating_add(1);
            stats.mean_time += (took - stats.mean_time) / f64::from(stats.responses.min(200));
        }
        // A slowdown of the whole fleet shows in the responses of all servers together long before the limit
        // of each server has seen enough of them. A late response counts twice: half as many late responses
        // as ones well in time mean that too much is in flight.
        let step = LIMIT_GAIN * (LATE_PACE - PACE_TARGET) / (self.subset.len().max(1) as f64).sqrt();
        if pace >= 1.0 {
            self.throttle = (self.throttle * (-2.0 * step).exp()).max(THROTTLE_MIN);
        } else if pace <= PACE_TARGET {
            self.throttle = (self.throttle * step.exp()).min(THROTTLE_MAX);
        }
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.last_duration = took;
        if done && alone {
            let time =
                &mut self.idle_times.entry(server.entry.kind).or_insert_with(|| vec![0.0; class_count])
                    [class];
            *time += (took - *time) * if *time > 0.0 { IDLE_TIME_GAIN } else { 1.0 };
        }
        // Learns sizes that the list does not tell: a server whose responses exceed a fraction of the latency
        // target by more than those of the fleet has too many turns. Under light load no response exceeds it,
        // and turns stay even.
        let excess = (pace - EXCESS_FROM_PACE).max(0.0);
        let mean_excess = &mut self.class_stats[class].mean_excess;
        *mean_excess += (excess - *mean_excess) * WEIGHT_GAIN_AND_DECAY.0;
        server.learned_weight = server.learned_weight.powf(1.0 - WEIGHT_GAIN_AND_DECAY.1)
            * (WEIGHT_GAIN_AND_DECAY.0 * (*mean_excess - excess)).exp();
        let unused =
            server.effective_limit(self.throttle, min_limit) > 2.0 * (server.in_flight.len() as f64 + 1.0);
        if unused || (server.limit < 1.0 && !at_limit) {
            // A limit that is far from reached would protect nothing when the whole fleet slows down at once.
            server.limit *= 1.0 - UNUSED_LIMIT_DECAY;
        }
        if server.limit < initial && pace <= PACE_TARGET && at_limit {
            // Recovers fast. Below a limit of 1 responses are rare, and a server that was slow for seconds
            // would be avoided for minutes. Only up to the initial limit, though: beyond it many nodes would
            // overload the server.
            server.limit *= (LIMIT_GAIN * (LATE_PACE - PACE_TARGET)).exp();
        } else if at_limit {
            // One attempt at a time with a response in time is not too much, even where the whole fleet is so
            // slow that it misses the wanted pace.
            let min = if pace < 1.0 { server.limit.min(1.0) } else { min_limit };
            server.limit = (server.limit * (LIMIT_GAIN * (PACE_TARGET - pace)).exp()).max(min);
        }
    }
}
