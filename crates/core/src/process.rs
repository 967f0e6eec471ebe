//! State shared by all workers of one process.

use std::time::Instant;

use tokio::sync::watch;

use crate::lifecycle::Lifecycle;
use crate::metrics::Metrics;
use crate::open_ids::OpenIds;
use crate::sent_ids::SentIds;

/// State that belongs to the process as a whole. Clones share it.
#[derive(Clone, Debug)]
pub struct Process {
    /// The request ids that are open.
    pub open_ids: OpenIds,
    /// The ids of requests that must not run twice and may have run.
    pub sent_ids: SentIds,
    /// Counters since the start of the process.
    pub metrics: Metrics,
    lifecycle: watch::Sender<Lifecycle>,
}

impl Process {
    /// Creates the state of a new process that serves `classes` request classes.
    pub fn new(classes: usize, lifecycle: Lifecycle) -> Self {
        Self {
            open_ids: OpenIds::default(),
            sent_ids: SentIds::default(),
            metrics: Metrics::new(classes),
            lifecycle: watch::Sender::new(lifecycle),
        }
    }

    /// The current lifecycle state.
    pub fn lifecycle(&self) -> Lifecycle {
        *self.lifecycle.borrow()
    }

    /// Applies an event to the lifecycle, notifies everyone who watches it, and returns what `event` returns.
    pub fn update<T>(&self, event: impl FnOnce(&mut Lifecycle) -> T) -> T {
        let mut result = None;
        self.lifecycle.send_modify(|lifecycle| result = Some(event(lifecycle)));
        // `send_modify` calls the closure exactly once before it returns.
        result.expect("it was called")
    }

    /// Begins to stop the process.
    pub fn stop(&self) {
        self.update(|lifecycle| lifecycle.stop(Instant::now()));
    }

    /// Waits until the process is stopping; returns at once if it already is.
    pub async fn stopped(&self) {
        // `self` holds a sender, so the channel can't close and the wait ends only when the condition holds.
        let _ = self.lifecycle.subscribe().wait_for(|lifecycle| lifecycle.stopping_since().is_some()).await;
    }
}
