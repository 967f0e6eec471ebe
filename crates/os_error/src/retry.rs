//! Loops that repeat a failed call while the class of its errors says that this may help. They block the
//! thread.

use std::io;
use std::time::{Duration, Instant};

use crate::{classify, Call, Class};

/// How long a starting process retries to get the resources it needs. Exiting sooner would only cause
/// frequent restarts.
pub const STARTUP_TIMEOUT: Duration = Duration::from_secs(8);
/// How long a file operation is retried where the process keeps running in any case.
pub const FILE_TIMEOUT: Duration = Duration::from_millis(500);

/// The first delay before a call is repeated.
const DELAY_MIN: Duration = Duration::from_millis(2);
/// The maximum delay before a call is repeated.
const DELAY_MAX: Duration = Duration::from_millis(100);

/// Exponential backoff between repeated calls: each delay is twice the previous one, up to a maximum.
#[derive(Debug)]
pub struct Backoff {
    next: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { next: DELAY_MIN }
    }
}

impl Backoff {
    /// Returns the next delay.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.next;
        self.next = (self.next * 2).min(DELAY_MAX);
        delay
    }
}

/// The maximum number of times in a row that an interrupted call is repeated at once by a thread that serves
/// connections. Each repetition takes processor time from all the others.
const INTERRUPTIONS_MAX: u32 = 8;

/// Counts successive interruptions of a call, for a thread that serves connections: such a call is repeated
/// at once, but only a limited number of times.
#[derive(Debug, Default)]
pub struct Interruptions {
    in_a_row: u32,
}

impl Interruptions {
    /// Returns the class to use for the call's latest error. After too many interruptions in a row this is
    /// [`Class::OutOfResources`], so that the caller pauses.
    pub fn limit(&mut self, class: Class) -> Class {
        if class != Class::TryAgain {
            return class;
        }
        self.in_a_row += 1;
        if self.in_a_row < INTERRUPTIONS_MAX {
            Class::TryAgain
        } else {
            Class::OutOfResources
        }
    }
}

/// Repeats a call while it is interrupted.
///
/// # Errors
/// Any other error of the call.
pub fn interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Repeats a call that is interrupted or lacks a resource, with backoff, for at most `limit`. `what` names
/// the call in the log.
///
/// # Errors
/// The call's last error.
pub fn within<T>(
    limit: Duration,
    kind: Call,
    what: &str,
    mut call: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let started = Instant::now();
    let mut backoff = Backoff::default();
    loop {
        let error = match call() {
            Ok(value) => return Ok(value),
            Err(error) => error,
        };
        match classify(kind, &error) {
            Class::TryAgain => {}
            Class::OutOfResources if started.elapsed() < limit => {
                let delay = backoff.next_delay();
                tracing::warn!(target: "retry", "{what}: {error}; retrying in {} ms", delay.as_millis());
                std::thread::sleep(delay);
            }
            _ => return Err(error),
        }
    }
}

/// Like [`within`] with [`STARTUP_TIMEOUT`], for resources that a starting process needs.
///
/// # Errors
/// The call's last error.
pub fn at_start<T>(kind: Call, what: &str, call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    within(STARTUP_TIMEOUT, kind, what, call)
}

/// Starts a thread, and retries if resources for it are lacking.
///
/// # Errors
/// The last error of the system call.
pub fn spawn<T: Send + 'static>(
    name: &str,
    run: impl FnOnce() -> T + Send + 'static,
) -> io::Result<std::thread::JoinHandle<T>> {
    // A failed attempt to create a thread drops its closure, so the work is sent to the thread once it
    // exists.
    let (sender, receiver) = std::sync::mpsc::sync_channel(1);
    let receiver = std::sync::Arc::new(std::sync::Mutex::new(receiver));
    let handle = at_start(Call::Create, "a thread", || {
        let receiver = receiver.clone();
        std::thread::Builder::new().name(name.into()).spawn(move || {
            let received = receiver.lock().ok().and_then(|receiver| receiver.recv().ok());
            let run: Box<dyn FnOnce() -> T + Send> =
                received.expect("the starter of a thread sends its work");
            run()
        })
    })?;
    let work: Box<dyn FnOnce() -> T + Send> = Box::new(run);
    // The thread is waiting for the work, so this neither fails nor blocks.
    let _ = sender.send(work);
    Ok(handle)
}

#[cfg(test)]
mod tests;
