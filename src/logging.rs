//! The log: lines to standard error by a thread of its own. Nothing waits on a full pipe: lines beyond a bound are
//! dropped and counted.

use std::io::Write;
use std::sync::mpsc;
use std::time::Duration;

use clap::ValueEnum;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};

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
    guard: WorkerGuard,
    dropped: ErrorCounter,
}

/// A bounded writer, and the thread behind it.
fn writer(to: impl Write + Send + 'static) -> (NonBlocking, WorkerGuard) {
    NonBlockingBuilder::default().lossy(true).buffered_lines_limit(WAITING).thread_name("log").finish(to)
}

/// Opens the log for the whole process.
///
/// # Errors
/// Where one is open already.
pub fn open(format: Format) -> Result<Log, String> {
    let (writer, guard) = writer(std::io::stderr());
    let dropped = writer.error_counter();
    let log = tracing_subscriber::fmt().with_max_level(tracing::Level::INFO).with_writer(writer);
    let set = match format {
        Format::Text => tracing::subscriber::set_global_default(
            log.with_ansi(false).without_time().with_level(false).finish(),
        ),
        Format::Json => tracing::subscriber::set_global_default(log.json().finish()),
    };
    set.map_err(|e| format!("log: {e}"))?;
    Ok(Log { guard, dropped })
}

impl Log {
    /// How many lines have been dropped so far, as a count that can be kept.
    pub fn lost_lines(&self) -> impl Fn() -> u64 + Clone + Send + 'static {
        let dropped = self.dropped.clone();
        move || dropped.dropped_lines() as u64
    }

    /// Writes what waits, for a short while, and says what was dropped.
    pub fn close(self) {
        let (done, written) = mpsc::channel::<()>();
        let Self { guard, .. } = self;
        // Writing may block for as long as nobody reads: that is left to a thread that the process does not wait for.
        std::thread::spawn(move || {
            drop(guard);
            drop(done);
        });
        let _ = written.recv_timeout(LAST_LINES);
    }
}

#[cfg(test)]
mod tests;
