//! One app box. It accepts requests into its slots and its queue, rejects others, and does their work at a
//! speed that depends on its cores, its warmth and the contention on it. Without I/O: times and requests in,
//! responses out.
//!
//! Running requests share the cores evenly. Each has a finish mark on the box's own scale of work done per
//! request; the next to finish is the one with the lowest mark. Progress on the scale has a constant rate
//! between events.

use std::collections::{HashMap, VecDeque};

use super::faults::BoxFaults;
use super::random::Stream;
use super::spec::{BoxKind, CancelStops, WarmBy};
use super::time::{micros, seconds, Micros};

/// Number of steps in which a cold box warms up.
const WARM_STEPS: u64 = 64;
/// Lowest efficiency of a box under contention.
const CONTENTION_EFFICIENCY_MIN: f64 = 0.34;
/// Requests per core after which a box that warms up by requests is warm.
const WARM_REQUESTS_PER_CORE: f64 = 2000.0;
/// Remaining work below this, in microseconds, counts as done, so that the rounding of times leaves no
/// request with a tiny remainder.
const WORK_EPSILON_US: f64 = 1e-6;

/// An attempt, as numbered by the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// A request at a box.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Number of the attempt.
    pub id: JobId,
    /// Key of the data that it concerns.
    pub key: u32,
    /// Its class; a box may reject whole classes.
    pub class: usize,
    /// Its work in microseconds of a standard core, including that of a new connection.
    pub work: f64,
    /// When its client gives up.
    pub deadline: Micros,
}

/// A box's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerResponse {
    /// Served: it ran.
    Served,
    /// An error; it may have run.
    Error,
    /// Rejected before any work was done.
    Rejected,
}

/// A request that a box has finished.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FinishedJob {
    /// Its number.
    pub id: JobId,
    /// The response.
    pub response: ServerResponse,
    /// Whether it ran.
    pub ran: bool,
    /// Work done for it, in microseconds of a standard core.
    pub work: f64,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    job: Job,
    /// Value of `progress` at which its work is done.
    finish_progress: f64,
    work: f64,
}

/// An app box.
#[derive(Clone, Debug)]
pub struct AppBox {
    cores: f64,
    speed: f64,
    slots: usize,
    queue_max: usize,
    cold_share: f64,
    warm: Micros,
    warm_by: WarmBy,
    contention: (f64, f64),
    keys_kept: usize,
    known_key_work: f64,
    cancel_stops: CancelStops,
    drops_expired: bool,
    own_errors: f64,
    random: Stream,
    up: bool,
    /// Number of its starts so far: attempts sent to an earlier incarnation do not belong to this one.
    incarnation: u32,
    /// When it last started cold.
    started: Option<Micros>,
    served_since: u64,
    hung: bool,
    errors: f64,
    slow: f64,
    rejected_classes: Vec<usize>,
    running: Vec<Running>,
    queue: VecDeque<Job>,
    progress: f64,
    at: Micros,
    rate: f64,
    keys: HashMap<u32, u64>,
    key_order: VecDeque<(u32, u64)>,
    key_uses: u64,
    /// Work done for requests that were cancelled or lost in a crash, in microseconds of a standard core.
    wasted: f64,
}

impl AppBox {
    /// Creates a warm box of a kind. `random` determines its speed and its own errors.
    pub fn new(kind: &BoxKind, mut random: Stream) -> Self {
        let spread = random.between(-kind.speed_spread, kind.speed_spread);
        Self {
            cores: f64::from(kind.cores),
            speed: kind.speed * (1.0 + spread).max(0.05),
            slots: kind.slots.unwrap_or(kind.cores as usize),
            queue_max: kind.waiting,
            cold_share: kind.cold_share,
            warm: seconds(kind.warm_s),
            warm_by: kind.warm_by,
            contention: (kind.crowded_from, kind.crowded_loss),
            keys_kept: kind.keys_kept,
            known_key_work: kind.known_key_work,
            cancel_stops: kind.cancel_stops,
            drops_expired: kind.drops_expired,
            own_errors: kind.errors,
            random,
            up: true,
            incarnation: 0,
            started: None,
            served_since: 0,
            hung: false,
            errors: 0.0,
            slow: 1.0,
            rejected_classes: Vec::new(),
            running: Vec::new(),
            queue: VecDeque::new(),
            progress: 0.0,
            at: 0,
            rate: 0.0,
            keys: HashMap::new(),
            key_order: VecDeque::new(),
            key_uses: 0,
            wasted: 0.0,
        }
    }

    /// Returns whether its process runs.
    pub fn is_running(&self) -> bool {
        self.up
    }

    /// Its incarnation: how often it has been restarted.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// When it last started cold.
    pub fn started(&self) -> Option<Micros> {
        self.started
    }

    /// Number of running and queued requests.
    pub fn request_count(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Wasted work, in microseconds of a standard core.
    pub fn wasted(&self) -> f64 {
        self.wasted
    }

    /// Capacity of the warm box, in microseconds of work per microsecond.
    pub fn capacity(&self) -> f64 {
        self.cores * self.speed
    }

    /// Share of its capacity that is available at its current warmth.
    pub fn warmth(&self, now: Micros) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let step = (self.warm / WARM_STEPS).max(1);
        let by_time = ((now.saturating_sub(started)) / step * step) as f64 / self.warm.max(1) as f64;
        let by_requests = match self.warm_by {
            WarmBy::Time => 0.0,
            WarmBy::Requests => self.served_since as f64 / (WARM_REQUESTS_PER_CORE * self.cores),
        };
        (self.cold_share + (1.0 - self.cold_share) * by_time.max(by_requests)).min(1.0)
    }

    fn is_warm(&self, now: Micros) -> bool {
        self.warmth(now) >= 1.0
    }

    /// Applies the faults that affect the box. Requests that finished up to now or are rejected are appended
    /// to `out`.
    pub fn set_faults(&mut self, now: Micros, faults: BoxFaults, out: &mut Vec<FinishedJob>) {
        self.advance(now, out);
        (self.hung, self.errors, self.slow, self.rejected_classes) =
            (faults.hung, faults.errors, faults.slow, faults.rejected_classes);
        // Requests that arrived while it hung start now where there are slots.
        self.fill(now, out);
    }

    /// Returns whether it rejects this class.
    pub fn rejects_class(&self, class: usize) -> bool {
        self.rejected_classes.contains(&class)
    }

    /// Stops its process; all running and queued requests are lost.
    pub fn stop(&mut self, now: Micros) {
        self.advance_progress(now);
        for r in &self.running {
            self.wasted += r.work - (r.finish_progress - self.progress).max(0.0);
        }
        self.running.clear();
        self.queue.clear();
        self.keys.clear();
        self.key_order.clear();
        self.up = false;
    }

    /// Starts its process, cold, under the same name.
    pub fn start(&mut self, now: Micros) {
        self.advance_progress(now);
        (self.up, self.started, self.served_since) = (true, Some(now), 0);
        self.incarnation += 1;
        self.set_rate(now);
    }

    /// Handles an arriving request. Requests that it finishes, now or in the time that passed, are appended
    /// to `out`.
    pub fn offer(&mut self, now: Micros, job: Job, out: &mut Vec<FinishedJob>) {
        self.advance(now, out);
        let done = |response, ran| FinishedJob { id: job.id, response, ran, work: 0.0 };
        if !self.up {
            return;
        }
        if self.hung {
            // Accepted but not processed.
            if self.queue.len() < self.queue_max {
                self.queue.push_back(job);
            }
            return;
        }
        if self.rejects_class(job.class) {
            out.push(done(ServerResponse::Rejected, false));
            return;
        }
        if self.random.chance(self.errors) {
            // A faulty release fails before doing the work in half of the cases and afterwards in the other
            // half.
            let ran = self.random.chance(0.5);
            out.push(done(ServerResponse::Error, ran));
            return;
        }
        if self.running.len() < self.slots {
            self.begin(job);
            self.set_rate(now);
        } else if self.queue.len() < self.queue_max {
            self.queue.push_back(job);
            self.set_rate(now);
        } else {
            out.push(done(ServerResponse::Rejected, false));
        }
    }

    /// Handles the cancellation of an attempt; returns whether its work was stopped.
    pub fn cancel(&mut self, now: Micros, id: JobId, out: &mut Vec<FinishedJob>) -> bool {
        self.advance(now, out);
        if self.cancel_stops == CancelStops::Nothing {
            return false;
        }
        if let Some(at) = self.queue.iter().position(|job| job.id == id) {
            self.queue.remove(at);
            self.set_rate(now);
            return true;
        }
        if self.cancel_stops == CancelStops::All {
            if let Some(at) = self.running.iter().position(|r| r.job.id == id) {
                let r = self.running.remove(at);
                self.wasted += r.work - (r.finish_progress - self.progress).max(0.0);
                self.fill(now, out);
                return true;
            }
        }
        false
    }

    /// Time of the next event that happens without input, not before `now`.
    pub fn next(&self, now: Micros) -> Option<Micros> {
        if !self.up || self.rate <= 0.0 {
            return None;
        }
        let least = self.running.iter().map(|r| r.finish_progress).fold(f64::INFINITY, f64::min);
        if !least.is_finite() {
            return None;
        }
        let ends = self.at + ((least - self.progress).max(0.0) / self.rate).ceil() as Micros;
        let warms = match self.started {
            Some(started) if !self.is_warm(now) => {
                let step = (self.warm / WARM_STEPS).max(1);
                started + (now.saturating_sub(started) / step + 1) * step
            }
            _ => Micros::MAX,
        };
        Some(ends.min(warms).max(now))
    }

    /// Advances time to `now`. Requests that finished are appended to `out` in the order in which they
    /// finished.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<FinishedJob>) {
        self.advance_progress(now);
        let before = out.len();
        while let Some(at) = self.ended() {
            let Running { job, work, .. } = self.running.remove(at);
            let error = self.own_errors > 0.0 && self.random.chance(self.own_errors);
            // Half of the requests that end with an error have done their work.
            let ran = !error || self.random.chance(0.5);
            let response = if error { ServerResponse::Error } else { ServerResponse::Served };
            out.push(FinishedJob { id: job.id, response, ran, work });
            self.served_since += 1;
            self.remember(job.key);
            self.fill(now, out);
        }
        if out.len() > before || self.started.is_some() {
            self.set_rate(now);
        }
    }

    /// Index of the request that finished first; of equal ones the oldest.
    fn ended(&self) -> Option<usize> {
        let ended = self
            .running
            .iter()
            .enumerate()
            .filter(|(_, r)| r.finish_progress <= self.progress + WORK_EPSILON_US);
        ended
            .min_by(|(_, a), (_, b)| {
                a.finish_progress.total_cmp(&b.finish_progress).then(a.job.id.cmp(&b.job.id))
            })
            .map(|(at, _)| at)
    }

    fn advance_progress(&mut self, now: Micros) {
        if !self.hung {
            self.progress += self.rate * now.saturating_sub(self.at) as f64;
        }
        self.at = now.max(self.at);
    }

    fn fill(&mut self, now: Micros, out: &mut Vec<FinishedJob>) {
        while !self.hung && self.running.len() < self.slots {
            let Some(job) = self.queue.pop_front() else { break };
            if self.drops_expired && job.deadline <= now {
                out.push(FinishedJob {
                    id: job.id,
                    response: ServerResponse::Rejected,
                    ran: false,
                    work: 0.0,
                });
            } else {
                self.begin(job);
            }
        }
        self.set_rate(now);
    }

    fn begin(&mut self, job: Job) {
        let known = self.keys_kept > 0 && self.keys.contains_key(&job.key);
        let work = job.work * if known { self.known_key_work } else { 1.0 };
        self.running.push(Running { job, finish_progress: self.progress + work, work });
    }

    fn remember(&mut self, key: u32) {
        if self.keys_kept == 0 {
            return;
        }
        self.key_uses += 1;
        self.keys.insert(key, self.key_uses);
        self.key_order.push_back((key, self.key_uses));
        // `key_order` also contains outdated uses; a key that was used again since stays.
        while self.keys.len() > self.keys_kept || self.key_order.len() > 4 * self.keys_kept {
            let Some((old, use_then)) = self.key_order.pop_front() else { break };
            if self.keys.get(&old) == Some(&use_then) {
                if self.keys.len() > self.keys_kept {
                    self.keys.remove(&old);
                } else {
                    self.key_order.push_back((old, use_then));
                }
            }
        }
    }

    /// Sets the rate at which one running request progresses per microsecond.
    fn set_rate(&mut self, now: Micros) {
        let running = self.running.len() as f64;
        if running == 0.0 || self.hung || !self.up {
            self.rate = 0.0;
            return;
        }
        let (from, loss) = self.contention;
        let beyond = (self.request_count() as f64 / self.cores - from).max(0.0);
        let efficiency = (1.0 - loss * beyond).max(CONTENTION_EFFICIENCY_MIN);
        let each = (self.cores / running).min(1.0);
        self.rate = self.speed * self.slow * self.warmth(now) * efficiency * each;
    }

    /// Work of a new connection to a box of this kind, in microseconds of a standard core.
    pub fn handshake_work(kind: &BoxKind) -> f64 {
        micros(kind.handshake_ms) as f64
    }
}
