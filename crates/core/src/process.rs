//! What the workers of one process share.

use std::time::Instant;

use tokio::sync::watch;

use crate::lifecycle::Lifecycle;
use crate::metrics::Metrics;
use crate::open_ids::OpenIds;

/// What belongs to the process, whichever worker looks at it. Clones share it.
#[derive(Clone, Debug)]
pub struct Process {
    /// The ids that are open.
    pub open_ids: OpenIds,
    /// What it has done since its start.
    pub metrics: Metrics,
    lifecycle: watch::Sender<Lifecycle>,
}

impl Process {
    /// A process at its start, with so many classes of requests.
    pub fn new(classes: usize, life: Lifecycle) -> Self {
        Self {
            open_ids: OpenIds::default(),
            metrics: Metrics::new(classes),
            lifecycle: watch::Sender::new(life),
        }
    }

    /// What it is doing.
    pub fn lifecycle(&self) -> Lifecycle {
        *self.lifecycle.borrow()
    }

    /// Something has happened; gives what `event` gives.
    pub fn update<T>(&self, event: impl FnOnce(&mut Lifecycle) -> T) -> T {
        let mut given = None;
        self.lifecycle.send_modify(|life| given = Some(event(life)));
        // The closure is called once, before that returns.
        given.expect("it was called")
    }

    /// It is to end.
    pub fn stop(&self) {
        self.update(|life| life.stop(Instant::now()));
    }

    /// Waits until it is to end, or has been told so before.
    pub async fn stopped(&self) {
        // This side keeps a sender, so the wait ends with the word alone.
        let _ = self.lifecycle.subscribe().wait_for(|life| life.stopping_since().is_some()).await;
    }
}
