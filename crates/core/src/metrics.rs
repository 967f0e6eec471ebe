//! Metrics of a process since its start. Unlike the counts on a status line, the counters are never reset.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served.
    Passed,
    /// Refused; the client can safely retry.
    Dropped,
    /// Failed.
    BadGateway,
}

/// The outcomes with their names in the metrics.
const OUTCOMES: [(RequestOutcome, &str); 3] = [
    (RequestOutcome::Passed, "passed"),
    (RequestOutcome::Dropped, "dropped"),
    (RequestOutcome::BadGateway, "bad_gateway"),
];

/// The metrics of a process. Clones share the counters, so that all workers count into the same ones.
#[derive(Clone, Debug)]
pub struct Metrics(Arc<Counters>);

#[derive(Debug)]
struct Counters {
    /// Finished requests by class, then by outcome.
    outcomes: Vec<[AtomicU64; OUTCOMES.len()]>,
    upstream_tries: AtomicU64,
    in_progress: AtomicUsize,
}

impl Metrics {
    /// Creates metrics for `classes` request classes, all counters at 0.
    pub fn new(classes: usize) -> Self {
        let outcomes = (0..classes).map(|_| Default::default()).collect();
        Self(Arc::new(Counters {
            outcomes,
            upstream_tries: AtomicU64::new(0),
            in_progress: AtomicUsize::new(0),
        }))
    }

    /// Starts tracking a valid request of a class; its outcome is counted when it finishes.
    pub fn start_request(&self, class: usize) -> InProgress {
        InProgress { metrics: self.clone(), class, received: false }
    }

    /// Counts an attempt whose last byte has been written to a server.
    pub fn count_upstream_try(&self) {
        self.0.upstream_tries.fetch_add(1, Relaxed);
    }

    /// The number of requests of a class that ended with this outcome.
    pub fn requests_ended(&self, class: usize, outcome: RequestOutcome) -> u64 {
        self.0.outcomes.get(class).map_or(0, |outcomes| outcomes[outcome as usize].load(Relaxed))
    }

    /// The number of attempts that were written completely.
    pub fn upstream_tries(&self) -> u64 {
        self.0.upstream_tries.load(Relaxed)
    }

    /// The number of requests that were received completely and have not finished.
    pub fn in_progress(&self) -> usize {
        self.0.in_progress.load(Relaxed)
    }

    /// Renders the metrics as lines: counters as `name:value|c`, gauges as `name:value|g`.
    pub fn render(&self, classes: &[String], known_servers: usize, skipped_servers: usize) -> String {
        let mut lines = String::new();
        // Writing to a string can't fail.
        for (outcome, name) in OUTCOMES {
            for (n, class) in classes.iter().enumerate() {
                let _ = writeln!(lines, "app.{name}.{class}:{}|c", self.requests_ended(n, outcome));
            }
        }
        let _ = writeln!(lines, "app.upstream_tries:{}|c", self.upstream_tries());
        let _ = writeln!(lines, "app.in_progress:{}|g", self.in_progress());
        let _ = writeln!(lines, "app.known_servers:{known_servers}|g");
        let _ = writeln!(lines, "app.skipped_servers:{skipped_servers}|g");
        lines
    }
}

/// A request that has not finished. Dropping it without an outcome means that its client disconnected; no
/// outcome is counted then.
#[derive(Debug)]
pub struct InProgress {
    metrics: Metrics,
    class: usize,
    received: bool,
}

impl InProgress {
    /// Marks the request as completely received: from now on it counts as in progress.
    pub fn mark_received(&mut self) {
        if !std::mem::replace(&mut self.received, true) {
            self.metrics.0.in_progress.fetch_add(1, Relaxed);
        }
    }

    /// Finishes the request and counts its outcome. Nothing else counts outcomes.
    pub fn finish(self, outcome: RequestOutcome) {
        if let Some(outcomes) = self.metrics.0.outcomes.get(self.class) {
            outcomes[outcome as usize].fetch_add(1, Relaxed);
        }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        if self.received {
            self.metrics.0.in_progress.fetch_sub(1, Relaxed);
        }
    }
}

#[cfg(test)]
mod tests;
