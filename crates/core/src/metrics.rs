//! What a process has done since its start: apart from what a status line counts, these never go back to 0.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served.
    Passed,
    /// Refused: trying again is harmless.
    Dropped,
    /// Failed.
    BadGateway,
}

/// The names of the ends, as they are counted.
const ENDS: [(RequestOutcome, &str); 3] = [
    (RequestOutcome::Passed, "passed"),
    (RequestOutcome::Dropped, "dropped"),
    (RequestOutcome::BadGateway, "bad_gateway"),
];

/// The figures of a process. Clones share them, so that workers count together.
#[derive(Clone, Debug)]
pub struct Metrics(Arc<Counts>);

#[derive(Debug)]
struct Counts {
    /// By class, by end.
    ends: Vec<[AtomicU64; ENDS.len()]>,
    upstream_tries: AtomicU64,
    in_progress: AtomicUsize,
}

impl Metrics {
    /// For so many classes, all at 0.
    pub fn new(classes: usize) -> Self {
        let ends = (0..classes).map(|_| Default::default()).collect();
        Self(Arc::new(Counts { ends, upstream_tries: AtomicU64::new(0), in_progress: AtomicUsize::new(0) }))
    }

    /// A proper request of a class, whose end is to be counted.
    pub fn start_request(&self, class: usize) -> InProgress {
        InProgress { figures: self.clone(), class, taken: false }
    }

    /// An attempt's last byte has been written.
    pub fn count_upstream_try(&self) {
        self.0.upstream_tries.fetch_add(1, Relaxed);
    }

    /// How many requests of a class ended so.
    pub fn requests_ended(&self, class: usize, end: RequestOutcome) -> u64 {
        self.0.ends.get(class).map_or(0, |ends| ends[end as usize].load(Relaxed))
    }

    /// How many attempts were written whole.
    pub fn upstream_tries(&self) -> u64 {
        self.0.upstream_tries.load(Relaxed)
    }

    /// How many requests were taken and have not ended.
    pub fn in_progress(&self) -> usize {
        self.0.in_progress.load(Relaxed)
    }

    /// The figures as lines: counts as `name:value|c`, what is so at the moment as `name:value|g`.
    pub fn render(&self, classes: &[String], known_servers: usize, skipped_servers: usize) -> String {
        let mut lines = String::new();
        // Writing to a string can't fail.
        for (end, name) in ENDS {
            for (n, class) in classes.iter().enumerate() {
                let _ = writeln!(lines, "app.{name}.{class}:{}|c", self.requests_ended(n, end));
            }
        }
        let _ = writeln!(lines, "app.upstream_tries:{}|c", self.upstream_tries());
        let _ = writeln!(lines, "app.in_progress:{}|g", self.in_progress());
        let _ = writeln!(lines, "app.known_servers:{known_servers}|g");
        let _ = writeln!(lines, "app.skipped_servers:{skipped_servers}|g");
        lines
    }
}

/// A request on its way to its one end. One that is dropped without an end had a client that left.
#[derive(Debug)]
pub struct InProgress {
    figures: Metrics,
    class: usize,
    taken: bool,
}

impl InProgress {
    /// Its last byte has come.
    pub fn mark_received(&mut self) {
        if !std::mem::replace(&mut self.taken, true) {
            self.figures.0.in_progress.fetch_add(1, Relaxed);
        }
    }

    /// It has ended: the one place where that is counted.
    pub fn finish(self, end: RequestOutcome) {
        if let Some(ends) = self.figures.0.ends.get(self.class) {
            ends[end as usize].fetch_add(1, Relaxed);
        }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        if self.taken {
            self.figures.0.in_progress.fetch_sub(1, Relaxed);
        }
    }
}

#[cfg(test)]
mod tests;
