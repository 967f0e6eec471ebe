//! The ledger as a node uses it: a handle for all of its threads, and the one thread that writes. Records go through one
//! queue in their order; what has gathered while a batch was written is the next batch, so that a sync is shared by all
//! who wait for it.

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

/// Records in a batch.
const BATCH: usize = 1024;
/// How soon a disk that failed is tried again, at first and at the most: each time twice as long.
const HEAL: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(4));
/// How often an idle writer looks whether its segment is old.
const IDLE: Duration = Duration::from_secs(1);

/// How a ledger works.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where it lies.
    pub directory: PathBuf,
    /// How its segments are kept.
    pub journal_options: JournalOptions,
    /// The most intents that may wait to be written.
    pub queue: usize,
    /// A batch that takes longer shows a slow disk: what needs an intent is refused until it is done.
    pub stall: Duration,
}

/// What a caller knows of an intent; the ledger adds its number, its life and the time.
#[derive(Clone, Debug)]
pub struct NewIntent {
    /// The client's id.
    pub id: String,
    /// The class's name.
    pub class: String,
    /// The tenant's name; empty for none.
    pub tenant: String,
    /// The key's digest.
    pub key: Option<KeyDigest>,
    /// Which attempt, from 0.
    pub attempt: usize,
    /// The server's name.
    pub server: String,
    /// When it started, Unix time in milliseconds; 0 for not known.
    pub server_start_ms: u64,
    /// Time that the request has left.
    pub left: Duration,
}

/// An intent that waits for its promise.
#[derive(Debug)]
pub struct PendingIntent {
    /// Its number, for its outcome.
    pub number: u64,
    /// Whether it counts: true once the promise holds. An end without a word is a ledger that has ended.
    pub confirmed: oneshot::Receiver<bool>,
}

enum Queued {
    Intent(Intent, oneshot::Sender<bool>),
    Other(Record),
}

struct Queue {
    waiting: VecDeque<Queued>,
    /// Intents among them.
    intents: usize,
    /// Since when a batch is being written.
    writes_since: Option<Instant>,
    next_number: u64,
    down: Option<String>,
    closed: bool,
    /// Open intents, as of the last batch.
    open: usize,
    over: bool,
    stats: Stats,
}

/// What the ledger has done, for status lines.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stats {
    /// By the journal.
    pub journal: JournalStats,
    /// How often the disk failed.
    pub faults: u64,
    /// The longest batch since the last look.
    pub slowest: Duration,
}

struct Shared {
    queue: Mutex<Queue>,
    wake: Condvar,
    unknown_intents: UnknownIntents,
    options: Options,
    boot: u64,
    began: Began,
}

/// Both clocks at a life's beginning. Times within it are counted from there, so that a wall clock that steps moves none.
struct Began {
    instant: Instant,
    wall: Duration,
    since_boot: Duration,
}

impl Began {
    fn now() -> Self {
        // It is there on every Linux since 2.6.39. Without it no time of another life can be told from any other, which is
        // what zero says.
        let since_boot = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default();
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { instant: Instant::now(), wall, since_boot }
    }

    fn elapsed(&self) -> Timestamp {
        let age = self.instant.elapsed();
        let micros = |since: Duration| (since + age).as_micros() as u64;
        Timestamp { wall_us: micros(self.wall), mono_us: micros(self.since_boot) }
    }
}

impl Shared {
    fn queue(&self) -> MutexGuard<'_, Queue> {
        // A thread that panicked while it held the lock left a whole queue all the same: no call leaves it half changed.
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Timestamp {
        self.began.elapsed()
    }
}

/// A node's ledger; clones share it.
#[derive(Clone)]
pub struct Ledger {
    shared: Arc<Shared>,
}

impl fmt::Debug for Ledger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ledger at {}", self.shared.options.directory.display())
    }
}

/// Waits for the writer's end.
pub struct WriterHandle {
    ledger: Ledger,
    ended: mpsc::Receiver<()>,
}

/// Why a node's ledger can't be had.
#[derive(Debug)]
pub enum StartError {
    /// The directory.
    Directory(DirectoryError),
    /// A later version of the program has written here: what it meant is not known.
    Later(Finding),
    /// The system's word.
    Io(&'static str, std::io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Directory(why) => write!(f, "{why}"),
            Self::Later(finding) => write!(f, "{finding}"),
            Self::Io(what, error) => write!(f, "{what}: {error}"),
        }
    }
}

impl std::error::Error for StartError {}

impl Ledger {
    /// Takes a directory over: locks it, recovers what it holds, and starts the thread that writes. A disk that does not
    /// take a new segment is no error: the ledger is down until it does.
    ///
    /// # Errors
    /// Where the directory is another's, or can't be read.
    pub fn start(node: &str, options: Options) -> Result<(Self, WriterHandle, Recovered), StartError> {
        let folder = &options.directory;
        retry::at_start(Call::File, "directory", || std::fs::create_dir_all(folder))
            .map_err(|e| StartError::Io("directory", e))?;
        let lock = Lock::acquire(folder).map_err(|why| StartError::Directory(why.into()))?;
        let owner = load_or_create_identity(folder, node).map_err(StartError::Directory)?;
        let opened = Journal::open(Folder::new(folder), owner, options.journal_options);
        let (journal, recovered) = opened.map_err(|e| StartError::Io("directory", e))?;
        let later = recovered.findings.iter().find(|f| matches!(f, Finding::Later { .. }));
        if let Some(finding) = later {
            return Err(StartError::Later(finding.clone()));
        }
        let (ledger, running) = Self::run(journal, &recovered, options, Some(lock))?;
        Ok((ledger, running, recovered))
    }

    /// Starts the thread that writes to this journal, for as long as the handle's [`WriterHandle`] lasts.
    ///
    /// # Errors
    /// Where there is no thread to be had.
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
            writes_since: None,
            // Numbers of a life begin where no other life's can reach.
            next_number: journal.boot() << 32,
            down: None,
            closed: false,
            open: journal.open_intents().open().len(),
            over: recovered.over > 0,
            stats: Stats::default(),
        };
        let shared = Arc::new(Shared {
            queue: Mutex::new(queue),
            wake: Condvar::new(),
            unknown_intents: UnknownIntents::new(&recovered.open),
            options,
            boot: journal.boot(),
            began: Began::now(),
        });
        // The first segment, before the first request: whoever starts a node on a full disk sees it in the log.
        if let Err(fault) = journal.ensure_segment(shared.now()) {
            tracing::error!(target: "ledger", "down: {fault}");
            shared.queue().down = Some(fault.to_string());
        }
        let (end, ended) = mpsc::channel();
        let own = shared.clone();
        let work = move || {
            Writer { journal, shared: own, wait: HEAL.0, tried: Instant::now() }.work();
            // The directory is free once the last byte is written.
            drop(lock);
            drop(end);
        };
        retry::spawn("ledger", work).map_err(|e| StartError::Io("thread", e))?;
        let ledger = Self { shared };
        Ok((ledger.clone(), WriterHandle { ledger, ended }))
    }

    /// Whether what needs an intent may be taken now.
    ///
    /// # Errors
    /// Why not.
    pub fn check_available(&self) -> Result<(), IntentError> {
        self.check(&self.shared.queue())
    }

    fn check(&self, queue: &Queue) -> Result<(), IntentError> {
        let Options { journal_options, queue: waiting, stall, .. } = &self.shared.options;
        let load = LedgerLoad {
            closed: queue.closed,
            down: queue.down.is_some(),
            over: queue.over,
            open: queue.open,
            waiting: queue.intents,
            write_elapsed: queue.writes_since.map(|since| since.elapsed()),
        };
        load.check(&IntentLimits { open: journal_options.open, waiting: *waiting, stall: *stall })
    }

    /// May this request go out, by what was out when the node died?
    ///
    /// # Errors
    /// Why it is answered as failed.
    pub fn check_repeat(
        &self,
        right: RepeatRule,
        id: &str,
        key: Option<KeyDigest>,
        left: Duration,
    ) -> Result<(), RejectionReason> {
        self.shared.unknown_intents.check_repeat(right, id, key, self.shared.now(), left.as_micros() as u64)
    }

    /// An attempt is about to be made. Nothing of it may go out before the promise.
    ///
    /// # Errors
    /// Why it can't be noted; then the attempt may not be made.
    pub fn record_intent(&self, draft: NewIntent) -> Result<PendingIntent, IntentError> {
        let at = self.shared.now();
        let (to, confirmed) = oneshot::channel();
        let mut queue = self.shared.queue();
        self.check(&queue)?;
        // One with a longer id could not be told from others by what is left of it.
        if draft.id.len() > ID_MAX_BYTES {
            return Err(IntentError::IdTooLong);
        }
        let number = queue.next_number;
        queue.next_number += 1;
        let NewIntent { id, class, tenant, key, attempt, server, server_start_ms, left } = draft;
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
        self.put(queue, Queued::Intent(intent, to));
        Ok(PendingIntent { number, confirmed })
    }

    /// An attempt has ended.
    pub fn record_outcome(&self, intent: u64, how: AttemptOutcome) {
        let at = self.shared.now();
        self.note(Record::Outcome(Outcome { intent, how, at }));
    }

    /// A request has its final answer, or none is owed any more. `intent` is its last one.
    pub fn record_final_outcome(&self, intent: u64, id: &str, told: FinalOutcome) {
        let at = self.shared.now();
        self.note(Record::Final(Final { intent, id: id.to_string(), told, at }));
    }

    /// What comes after an intent is always taken: there are at most a few for each open one, which are bounded.
    fn note(&self, record: Record) {
        let queue = self.shared.queue();
        if !queue.closed {
            self.put(queue, Queued::Other(record));
        }
    }

    fn put(&self, mut queue: MutexGuard<'_, Queue>, what: Queued) {
        // A writer at work looks again by itself.
        let asleep = queue.waiting.is_empty() && queue.writes_since.is_none();
        queue.waiting.push_back(what);
        drop(queue);
        if asleep {
            self.shared.wake.notify_one();
        }
    }

    /// What was out when the node died: how many intents.
    pub fn unknown_count(&self) -> usize {
        self.shared.unknown_intents.count()
    }

    /// What has been done; the slowest batch is since the last look.
    pub fn stats(&self) -> Stats {
        let mut queue = self.shared.queue();
        let stats = queue.stats;
        queue.stats.slowest = Duration::ZERO;
        stats
    }

    /// Its part of a status line.
    pub fn status_line(&self) -> String {
        let Stats { journal, faults, slowest } = self.stats();
        let queue = self.shared.queue();
        let standing = match self.check(&queue) {
            Ok(()) => "good".to_string(),
            Err(IntentError::Down) => format!("down ({})", queue.down.as_deref().unwrap_or_default()),
            Err(trouble) => trouble.to_string(),
        };
        format!(
            "ledger {standing}, open {} unknown {} waiting {} records {} bytes {} writes {} syncs {} faults {} lost {} \
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
    /// Writes what waits and ends, within so long; false where it took longer.
    pub fn close(self, within: Duration) -> bool {
        self.ledger.shared.queue().closed = true;
        self.ledger.shared.wake.notify_one();
        // The thread says nothing: its end drops the other side.
        self.ended.recv_timeout(within) == Err(mpsc::RecvTimeoutError::Disconnected)
    }
}

struct Writer<D: Disk> {
    journal: Journal<D>,
    shared: Arc<Shared>,
    /// How long the disk is left alone after it failed, and since when.
    wait: Duration,
    tried: Instant,
}

impl<D: Disk> Writer<D> {
    fn work(mut self) {
        let (mut records, mut waiters) = (Vec::new(), Vec::new());
        loop {
            let closed = self.gather(&mut records, &mut waiters);
            let began = Instant::now();
            let good = self.write(&records);
            {
                let mut queue = self.shared.queue();
                queue.writes_since = None;
                queue.intents -= waiters.len();
                queue.open = self.journal.open_intents().open().len();
                let stats = &mut queue.stats;
                stats.journal = self.journal.stats();
                stats.slowest = stats.slowest.max(began.elapsed());
            }
            records.clear();
            for waiter in waiters.drain(..) {
                // Whoever has given up waiting needs no word.
                let _ = <oneshot::Sender<bool>>::send(waiter, good);
            }
            if closed && self.shared.queue().waiting.is_empty() {
                break;
            }
        }
        if let Err(fault) = self.journal.close() {
            tracing::warn!(target: "ledger", "at the end: {fault}");
        }
    }

    /// Waits for records, or until there is something else to do. True once the node ends.
    fn gather(&mut self, records: &mut Vec<Record>, waiters: &mut Vec<oneshot::Sender<bool>>) -> bool {
        let mut queue = self.shared.queue();
        if queue.waiting.is_empty() && !queue.closed {
            let most = if self.journal.is_up() { IDLE } else { self.wait.min(IDLE) };
            let woken = self.shared.wake.wait_timeout(queue, most);
            queue = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
        let count = queue.waiting.len().min(BATCH);
        for queued in queue.waiting.drain(..count) {
            match queued {
                Queued::Intent(intent, to) => {
                    records.push(Record::Intent(intent));
                    waiters.push(to);
                }
                Queued::Other(record) => records.push(record),
            }
        }
        queue.writes_since = Some(Instant::now());
        queue.closed
    }

    /// True where each intent among them has its promise.
    fn write(&mut self, records: &[Record]) -> bool {
        let now = self.shared.now();
        if !self.journal.is_up() && self.tried.elapsed() >= self.wait {
            self.tried = Instant::now();
            match self.journal.ensure_segment(now) {
                Ok(()) => {
                    tracing::info!(target: "ledger", "up again");
                    self.wait = HEAL.0;
                    self.shared.queue().down = None;
                }
                Err(fault) => {
                    self.wait = (self.wait * 2).min(HEAL.1);
                    self.fails(&fault.to_string());
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
            Err(CommitError::Disk(fault)) => {
                tracing::error!(target: "ledger", "down: {fault}; what must not run twice is refused");
                (self.wait, self.tried) = (HEAL.0, Instant::now());
                self.fails(&fault.to_string());
                false
            }
            Err(CommitError::Down) => false,
        }
    }

    fn fails(&self, words: &str) {
        let mut queue = self.shared.queue();
        queue.stats.faults += 1;
        queue.down = Some(words.to_string());
    }
}
