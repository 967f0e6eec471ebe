//! The ledger as a node uses it: a handle shared by all of its threads, and the single writer thread. Records
//! pass through one queue in order. Those that gather while a batch is being written form the next batch
//! (group commit), so that all waiting callers share one sync.

use std::collections::VecDeque;
use std::fmt;
use std::path::PathBuf;
use std::sync::{mpsc, Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use magpietally_os_error::{retry, Call};
use nix::time::{clock_gettime, ClockId};
use tokio::sync::oneshot;

use crate::admission::{IntentError, IntentLimits, LedgerLoad, RejectionReason, RepeatRule, UnknownIntents};
use crate::disk::{load_or_create_identity, DirectoryError, Disk, Folder, Lock};
use crate::journal::{CommitError, Journal, JournalOptions, JournalStats};
use crate::record::{
    AttemptOutcome, Final, FinalOutcome, Intent, KeyDigest, Outcome, Record, Timestamp, ID_MAX_BYTES,
};
use crate::recovery::{Finding, Recovered};

/// Maximum number of records in a batch.
const BATCH_RECORDS_MAX: usize = 1024;
/// The first and the longest delay before a failed disk is retried; the delay doubles each time.
const RETRY_DELAY: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(4));
/// How often an idle writer checks the age of its segment.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Configuration of a ledger.
#[derive(Clone, Debug)]
pub struct Options {
    /// The directory of the ledger.
    pub directory: PathBuf,
    /// How segments are written and retained.
    pub journal_options: JournalOptions,
    /// Maximum number of intents that may wait to be written.
    pub queue: usize,
    /// A batch that takes longer than this indicates a slow disk: requests that need an intent are rejected
    /// until it is finished.
    pub stall: Duration,
}

/// An intent as the caller knows it; the ledger adds its number, the incarnation and the time.
#[derive(Clone, Debug)]
pub struct NewIntent {
    /// The client's id of the request.
    pub id: String,
    /// The name of the class.
    pub class: String,
    /// The name of the tenant; empty if none.
    pub tenant: String,
    /// The digest of the request's key.
    pub key: Option<KeyDigest>,
    /// The number of the attempt within the request, from 0.
    pub attempt: usize,
    /// The name of the server.
    pub server: String,
    /// When the server started, Unix time in milliseconds; 0 if unknown.
    pub server_start_ms: u64,
    /// Time until the request's deadline.
    pub left: Duration,
}

/// An intent that is waiting for its confirmation.
#[derive(Debug)]
pub struct PendingIntent {
    /// The number of the intent, for its outcome.
    pub number: u64,
    /// Receives true once the intent is as durable as configured, and false if it could not be written. A
    /// closed channel means that the ledger has ended.
    pub confirmed: oneshot::Receiver<bool>,
}

enum Queued {
    Intent(Intent, oneshot::Sender<bool>),
    Other(Record),
}

struct Queue {
    waiting: VecDeque<Queued>,
    /// The number of intents in `waiting` and in the batch being written.
    intents: usize,
    /// Since when a batch is being written.
    batch_started: Option<Instant>,
    next_number: u64,
    down: Option<String>,
    closed: bool,
    /// Open intents as of the last batch.
    open: usize,
    recovery_overflow: bool,
    stats: Stats,
}

/// Counters of the ledger, for status lines.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stats {
    /// The journal's counters.
    pub journal: JournalStats,
    /// How often the disk failed.
    pub faults: u64,
    /// The duration of the longest batch since the counters were last read.
    pub slowest: Duration,
}

struct Shared {
    queue: Mutex<Queue>,
    wake: Condvar,
    unknown_intents: UnknownIntents,
    options: Options,
    boot: u64,
    start: StartTime,
}

/// Both clocks at the start of an incarnation. Later times are computed from the monotonic time since then,
/// so that a step of the wall clock changes none of them.
struct StartTime {
    instant: Instant,
    wall: Duration,
    since_boot: Duration,
}

impl StartTime {
    fn now() -> Self {
        // Available since Linux 2.6.39. Without this clock the ages of other incarnations' records are
        // unknown, which zero stands for.
        let since_boot = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default();
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { instant: Instant::now(), wall, since_boot }
    }

    fn current_time(&self) -> Timestamp {
        let age = self.instant.elapsed();
        let micros = |since: Duration| (since + age).as_micros() as u64;
        Timestamp { wall_us: micros(self.wall), mono_us: micros(self.since_boot) }
    }
}

impl Shared {
    fn queue(&self) -> MutexGuard<'_, Queue> {
        // Every critical section leaves the queue consistent, so that it can be used after a panic of a
        // thread that held the lock.
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Timestamp {
        self.start.current_time()
    }
}

/// The ledger of a node; clones share it.
#[derive(Clone)]
pub struct Ledger {
    shared: Arc<Shared>,
}

impl fmt::Debug for Ledger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ledger at {}", self.shared.options.directory.display())
    }
}

/// Waits for the end of the writer thread.
pub struct WriterHandle {
    ledger: Ledger,
    ended: mpsc::Receiver<()>,
}

/// Why a ledger cannot be started.
#[derive(Debug)]
pub enum StartError {
    /// The directory cannot be used.
    Directory(DirectoryError),
    /// A later version of the program wrote a segment, whose meaning is unknown.
    Later(Finding),
    /// The operating system's error.
    Io(&'static str, std::io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Directory(error) => write!(f, "{error}"),
            Self::Later(finding) => write!(f, "{finding}"),
            Self::Io(what, error) => write!(f, "{what}: {error}"),
        }
    }
}

impl std::error::Error for StartError {}

impl Ledger {
    /// Starts a ledger: locks the directory, recovers its contents and starts the writer thread. If the disk
    /// cannot create a new segment, this is no error: the ledger is down until it can.
    ///
    /// # Errors
    /// If the directory is in use or belongs to another node, or cannot be read.
    pub fn start(node: &str, options: Options) -> Result<(Self, WriterHandle, Recovered), StartError> {
        let directory = &options.directory;
        retry::at_start(Call::File, "directory", || std::fs::create_dir_all(directory))
            .map_err(|e| StartError::Io("directory", e))?;
        let lock = Lock::acquire(directory).map_err(|error| StartError::Directory(error.into()))?;
        let owner = load_or_create_identity(directory, node).map_err(StartError::Directory)?;
        let opened = Journal::open(Folder::new(directory), owner, options.journal_options);
        let (journal, recovered) = opened.map_err(|e| StartError::Io("directory", e))?;
        let later = recovered.findings.iter().find(|f| matches!(f, Finding::Later { .. }));
        if let Some(finding) = later {
            return Err(StartError::Later(finding.clone()));
        }
        let (ledger, running) = Self::run(journal, &recovered, options, Some(lock))?;
        Ok((ledger, running, recovered))
    }

    /// Starts the writer thread on this journal. It runs until [`WriterHandle::close`].
    ///
    /// # Errors
    /// If the thread cannot be created.
    pub fn run<D: Disk + Send + 'static>(
        mut journal: Journal<D>,
        recovered: &Recovered,
        options: Options,
        lock: Option<Lock>,
    ) -> Result<(Self, WriterHandle), StartError>
    where
        D::File: Send,
    {
        let queue = Queue {
            waiting: VecDeque::new(),
            intents: 0,
            batch_started: None,
            // Each incarnation has a range of intent numbers of its own.
            next_number: journal.boot() << 32,
            down: None,
            closed: false,
            open: journal.open_intents().open().len(),
            recovery_overflow: recovered.over > 0,
            stats: Stats::default(),
        };
        let shared = Arc::new(Shared {
            queue: Mutex::new(queue),
            wake: Condvar::new(),
            unknown_intents: UnknownIntents::new(&recovered.open),
            options,
            boot: journal.boot(),
            start: StartTime::now(),
        });
        // The first segment is opened before the first request, so that a disk that is full at the start
        // shows in the log.
        if let Err(error) = journal.ensure_segment(shared.now()) {
            tracing::error!(target: "ledger", "down: {error}");
            shared.queue().down = Some(error.to_string());
        }
        let (end, ended) = mpsc::channel();
        let writer_shared = shared.clone();
        let run_writer = move || {
            Writer { journal, shared: writer_shared, retry_delay: RETRY_DELAY.0, last_try: Instant::now() }
                .run();
            // The directory is unlocked after the last byte is written.
            drop(lock);
            drop(end);
        };
        retry::spawn("ledger", run_writer).map_err(|e| StartError::Io("thread", e))?;
        let ledger = Self { shared };
        Ok((ledger.clone(), WriterHandle { ledger, ended }))
    }

    /// Checks whether a request that needs an intent can be accepted now.
    ///
    /// # Errors
    /// The reason why not.
    pub fn check_available(&self) -> Result<(), IntentError> {
        self.check(&self.shared.queue())
    }

    fn check(&self, queue: &Queue) -> Result<(), IntentError> {
        let Options { journal_options, queue: waiting, stall, .. } = &self.shared.options;
        let load = LedgerLoad {
            closed: queue.closed,
            down: queue.down.is_some(),
            recovery_overflow: queue.recovery_overflow,
            open: queue.open,
            waiting: queue.intents,
            write_elapsed: queue.batch_started.map(|since| since.elapsed()),
        };
        load.check(&IntentLimits { open: journal_options.open, waiting: *waiting, stall: *stall })
    }

    /// Checks a request against those that were in flight when the node died.
    ///
    /// # Errors
    /// The reason why the request is answered as failed.
    pub fn check_repeat(
        &self,
        rule: RepeatRule,
        id: &str,
        key: Option<KeyDigest>,
        left: Duration,
    ) -> Result<(), RejectionReason> {
        self.shared.unknown_intents.check_repeat(rule, id, key, self.shared.now(), left.as_micros() as u64)
    }

    /// Enqueues the intent of an attempt. Nothing of the attempt may be sent before the intent is confirmed.
    ///
    /// # Errors
    /// The reason why the intent cannot be recorded; then the attempt must not be made.
    pub fn record_intent(&self, new_intent: NewIntent) -> Result<PendingIntent, IntentError> {
        let at = self.shared.now();
        let (to, confirmed) = oneshot::channel();
        let mut queue = self.shared.queue();
        self.check(&queue)?;
        // A truncated id could not be told from other ids with the same beginning.
        if new_intent.id.len() > ID_MAX_BYTES {
            return Err(IntentError::IdTooLong);
        }
        let number = queue.next_number;
        queue.next_number += 1;
        let NewIntent { id, class, tenant, key, attempt, server, server_start_ms, left } = new_intent;
        let intent = Intent {
            number,
            id,
            class,
            tenant,
            key,
            attempt: attempt.min(usize::from(u16::MAX)) as u16,
            server,
            server_start_ms,
            left_us: left.as_micros() as u64,
            at,
            boot: self.shared.boot,
        };
        queue.intents += 1;
        self.enqueue(queue, Queued::Intent(intent, to));
        Ok(PendingIntent { number, confirmed })
    }

    /// Records the outcome of an attempt.
    pub fn record_outcome(&self, intent: u64, how: AttemptOutcome) {
        let at = self.shared.now();
        self.enqueue_record(Record::Outcome(Outcome { intent, how, at }));
    }

    /// Records the final outcome of a request; `intent` is the number of its last intent.
    pub fn record_final_outcome(&self, intent: u64, id: &str, told: FinalOutcome) {
        let at = self.shared.now();
        self.enqueue_record(Record::Final(Final { intent, id: id.to_string(), told, at }));
    }

    /// Records after an intent are always accepted: there are only a few for each open intent, and open
    /// intents are limited.
    fn enqueue_record(&self, record: Record) {
        let queue = self.shared.queue();
        if !queue.closed {
            self.enqueue(queue, Queued::Other(record));
        }
    }

    fn enqueue(&self, mut queue: MutexGuard<'_, Queue>, queued: Queued) {
        // A busy writer checks the queue again before it sleeps.
        let writer_waits = queue.waiting.is_empty() && queue.batch_started.is_none();
        queue.waiting.push_back(queued);
        drop(queue);
        if writer_waits {
            self.shared.wake.notify_one();
        }
    }

    /// The number of intents that were open when the node died.
    pub fn unknown_count(&self) -> usize {
        self.shared.unknown_intents.count()
    }

    /// Returns the counters and resets the slowest batch.
    pub fn stats(&self) -> Stats {
        let mut queue = self.shared.queue();
        let stats = queue.stats;
        queue.stats.slowest = Duration::ZERO;
        stats
    }

    /// The ledger's part of a status line.
    pub fn status_line(&self) -> String {
        let Stats { journal, faults, slowest } = self.stats();
        let queue = self.shared.queue();
        let state = match self.check(&queue) {
            Ok(()) => "good".to_string(),
            Err(IntentError::Down) => format!("down ({})", queue.down.as_deref().unwrap_or_default()),
            Err(error) => error.to_string(),
        };
        format!(
            "ledger {state}, open {} unknown {} waiting {} records {} bytes {} writes {} syncs {} faults {} lost {} \
             slowest {:.1} ms",
            queue.open,
            self.unknown_count(),
            queue.waiting.len(),
            journal.records,
            journal.bytes,
            journal.writes,
            journal.syncs,
            faults,
            journal.lost,
            slowest.as_secs_f64() * 1000.0
        )
    }
}

impl WriterHandle {
    /// Writes what is queued and ends the writer thread. Returns false if this takes longer than `within`.
    pub fn close(self, within: Duration) -> bool {
        self.ledger.shared.queue().closed = true;
        self.ledger.shared.wake.notify_one();
        // The thread sends nothing on this channel; it drops the sender when it ends.
        self.ended.recv_timeout(within) == Err(mpsc::RecvTimeoutError::Disconnected)
    }
}

struct Writer<D: Disk> {
    journal: Journal<D>,
    shared: Arc<Shared>,
    /// The delay before the disk is retried after a failure, and when it was last tried.
    retry_delay: Duration,
    last_try: Instant,
}

impl<D: Disk> Writer<D> {
    fn run(mut self) {
        let (mut records, mut waiters) = (Vec::new(), Vec::new());
        loop {
            let closed = self.gather(&mut records, &mut waiters);
            let began = Instant::now();
            let confirmed = self.write(&records);
            {
                let mut queue = self.shared.queue();
                queue.batch_started = None;
                queue.intents -= waiters.len();
                queue.open = self.journal.open_intents().open().len();
                let stats = &mut queue.stats;
                stats.journal = self.journal.stats();
                stats.slowest = stats.slowest.max(began.elapsed());
            }
            records.clear();
            for waiter in waiters.drain(..) {
                // A caller that no longer waits has dropped its receiver.
                let _ = <oneshot::Sender<bool>>::send(waiter, confirmed);
            }
            if closed && self.shared.queue().waiting.is_empty() {
                break;
            }
        }
        if let Err(error) = self.journal.close() {
            tracing::warn!(target: "ledger", "could not write the orderly end: {error}");
        }
    }

    /// Waits for records or for the next periodic check, and moves a batch out of the queue. Returns whether
    /// the node is shutting down.
    fn gather(&mut self, records: &mut Vec<Record>, waiters: &mut Vec<oneshot::Sender<bool>>) -> bool {
        let mut queue = self.shared.queue();
        if queue.waiting.is_empty() && !queue.closed {
            let timeout = if self.journal.is_up() {
                IDLE_CHECK_INTERVAL
            } else {
                self.retry_delay.min(IDLE_CHECK_INTERVAL)
            };
            let woken = self.shared.wake.wait_timeout(queue, timeout);
            queue = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
        let count = queue.waiting.len().min(BATCH_RECORDS_MAX);
        for queued in queue.waiting.drain(..count) {
            match queued {
                Queued::Intent(intent, to) => {
                    records.push(Record::Intent(intent));
                    waiters.push(to);
                }
                Queued::Other(record) => records.push(record),
            }
        }
        queue.batch_started = Some(Instant::now());
        queue.closed
    }

    /// Writes a batch. Returns whether its intents are confirmed.
    fn write(&mut self, records: &[Record]) -> bool {
        let now = self.shared.now();
        if !self.journal.is_up() && self.last_try.elapsed() >= self.retry_delay {
            self.last_try = Instant::now();
            match self.journal.ensure_segment(now) {
                Ok(()) => {
                    tracing::info!(target: "ledger", "the disk works again; the ledger is up");
                    self.retry_delay = RETRY_DELAY.0;
                    self.shared.queue().down = None;
                }
                Err(error) => {
                    self.retry_delay = (self.retry_delay * 2).min(RETRY_DELAY.1);
                    self.record_failure(&error.to_string());
                }
            }
        }
        let result = if records.is_empty() {
            self.journal.tick(now).map_err(CommitError::Disk)
        } else {
            self.journal.commit(records, now)
        };
        match result {
            Ok(()) => true,
            Err(CommitError::Disk(error)) => {
                tracing::error!(target: "ledger", "down: {error}; requests that must not run twice are rejected");
                (self.retry_delay, self.last_try) = (RETRY_DELAY.0, Instant::now());
                self.record_failure(&error.to_string());
                false
            }
            Err(CommitError::Down) => false,
        }
    }

    fn record_failure(&self, error: &str) {
        let mut queue = self.shared.queue();
        queue.stats.faults += 1;
        queue.down = Some(error.to_string());
    }
}
