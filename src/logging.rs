//! Logging to standard error by a dedicated thread. Callers never block on a full pipe: lines beyond the
//! queue's capacity are dropped and counted, and so are lines that can't be written.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc};
use std::time::Duration;

use clap::ValueEnum;
use magpietally_os_error::{classify, retry, Call, Class};
use tracing_subscriber::fmt::MakeWriter;

/// Lines that may be queued for writing; further ones are dropped.
const QUEUE_CAPACITY: usize = 256;
/// How long the program waits at exit for the last lines: a full pipe must not delay the exit.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(50);

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// `target: message`, for people.
    Text,
    /// One JSON object per line, for programs.
    Json,
}

/// An open log.
pub struct Log {
    queue: LineQueue,
    finished: mpsc::Receiver<()>,
}

/// An item for the writing thread.
enum QueueItem {
    Line(Vec<u8>),
    /// Closes the log: lines queued before it are written, later ones are not.
    Close,
}

/// The queue of the writing thread; clones share it. Each call of `write` is one line.
#[derive(Clone)]
struct LineQueue {
    items: mpsc::SyncSender<QueueItem>,
    dropped: Arc<AtomicU64>,
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.items.try_send(QueueItem::Line(line.to_vec())).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LineQueue {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

/// Creates the bounded queue and starts the thread that writes its lines.
fn start(to: impl Write + Send + 'static) -> io::Result<Log> {
    let (items, queued) = mpsc::sync_channel(QUEUE_CAPACITY);
    let dropped = Arc::new(AtomicU64::new(0));
    let (finished_sender, finished) = mpsc::channel();
    let dropped_by_writer = dropped.clone();
    retry::spawn("log", move || {
        write_lines(&queued, to, &dropped_by_writer);
        drop(finished_sender);
    })?;
    Ok(Log { queue: LineQueue { items, dropped }, finished })
}

fn write_lines(queued: &mpsc::Receiver<QueueItem>, mut to: impl Write, dropped: &AtomicU64) {
    while let Ok(QueueItem::Line(line)) = queued.recv() {
        // A temporarily full disk must not stop logging. The line is dropped: an old line is worth no more
        // than a new one.
        if write_line(&mut to, &line).is_err() {
            dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Writes a whole line. If the write fails part way, a line feed is attempted, so that the next line starts
/// on its own.
fn write_line(to: &mut impl Write, line: &[u8]) -> io::Result<()> {
    let mut rest = line;
    while !rest.is_empty() {
        match to.write(rest) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => rest = &rest[count..],
            Err(error) if classify(Call::File, &error) == Class::TryAgain => {}
            Err(error) if rest.len() < line.len() => {
                let _ = to.write(b"\n");
                return Err(error);
            }
            Err(error) => return Err(error),
        }
    }
    to.flush()
}

/// Opens the log for the whole process.
///
/// # Errors
/// A log is open already, or the thread can't be started.
pub fn open(format: Format) -> Result<Log, String> {
    let opened = start(io::stderr()).map_err(|e| format!("log: {e}"))?;
    let log =
        tracing_subscriber::fmt().with_max_level(tracing::Level::INFO).with_writer(opened.queue.clone());
    let set = match format {
        Format::Text => tracing::subscriber::set_global_default(
            log.with_ansi(false).without_time().with_level(false).finish(),
        ),
        Format::Json => tracing::subscriber::set_global_default(log.json().finish()),
    };
    set.map_err(|e| format!("log: {e}"))?;
    Ok(opened)
}

impl Log {
    /// Returns a function that reads the number of lines dropped so far.
    pub fn dropped_lines(&self) -> impl Fn() -> u64 + Clone + Send + 'static {
        let dropped = self.queue.dropped.clone();
        move || dropped.load(Ordering::Relaxed)
    }

    /// Writes the queued lines, for at most [`FLUSH_TIMEOUT`].
    pub fn close(self) {
        // A write may block for as long as nobody reads, and the queue may be full: the process does not wait
        // for either.
        if self.queue.items.try_send(QueueItem::Close).is_ok() {
            let _ = self.finished.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

#[cfg(test)]
mod tests;
