//! The log: lines to standard error by a thread of its own. Nothing waits on a full pipe: lines beyond a bound are
//! dropped and counted, and so are those that can't be written.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc};
use std::time::Duration;

use clap::ValueEnum;
use magpietally_os_error::{classify, retry, Call, Class};
use tracing_subscriber::fmt::MakeWriter;

/// Lines that may wait to be written; further ones are dropped.
const WAITING: usize = 256;
/// How long the end of the program waits for the last lines: a full pipe must not hold it up.
const LAST_LINES: Duration = Duration::from_millis(50);

/// How log lines look.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// `target: words`, for people.
    Text,
    /// One object a line, for programs.
    Json,
}

/// The log while it is open.
pub struct Log {
    queue: Queue,
    written: mpsc::Receiver<()>,
}

/// What the writing thread is told.
enum Entry {
    Line(Vec<u8>),
    /// The log is closed: what came before is written, and no more.
    Close,
}

/// Where lines wait for the thread that writes them; clones share it. A line is what is written at once.
#[derive(Clone)]
struct Queue {
    entries: mpsc::SyncSender<Entry>,
    lost: Arc<AtomicU64>,
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.entries.try_send(Entry::Line(line.to_vec())).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Queue {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

/// A bounded queue, and the thread behind it.
fn start(to: impl Write + Send + 'static) -> io::Result<Log> {
    let (entries, waiting) = mpsc::sync_channel(WAITING);
    let lost = Arc::new(AtomicU64::new(0));
    let (done, written) = mpsc::channel();
    let lost_here = lost.clone();
    retry::spawn("log", move || {
        write_lines(&waiting, to, &lost_here);
        drop(done);
    })?;
    Ok(Log { queue: Queue { entries, lost }, written })
}

fn write_lines(waiting: &mpsc::Receiver<Entry>, mut to: impl Write, lost: &AtomicU64) {
    while let Ok(Entry::Line(line)) = waiting.recv() {
        // A disk that is full for a while must not end the log, and old lines are of no more use than new ones.
        if write_line(&mut to, &line).is_err() {
            lost.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Writes a whole line, where it can. One that was begun is ended, so that the next begins a line of its own.
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
/// Where one is open already, or there is no thread to be had.
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
    /// How many lines have been dropped so far, as a count that can be kept.
    pub fn lost_lines(&self) -> impl Fn() -> u64 + Clone + Send + 'static {
        let lost = self.queue.lost.clone();
        move || lost.load(Ordering::Relaxed)
    }

    /// Writes what waits, for a short while.
    pub fn close(self) {
        // Writing may block for as long as nobody reads, and the queue be full: the process does not wait for that.
        if self.queue.entries.try_send(Entry::Close).is_ok() {
            let _ = self.written.recv_timeout(LAST_LINES);
        }
    }
}

#[cfg(test)]
mod tests;
