//! Loops that repeat a call for as long as its errors say that this may help. They block the thread.

use std::io;
use std::time::{Duration, Instant};

use crate::{classify, Call, Class};

/// How long a start waits for what it needs: a process that is started again and again in less would help nobody.
pub const STARTUP_TIMEOUT: Duration = Duration::from_secs(8);
/// How long something that runs on anyway waits for a file.
pub const FILE_TIMEOUT: Duration = Duration::from_millis(500);

/// The first pause before a call is repeated, and the longest: each is twice the one before.
const PAUSE: Duration = Duration::from_millis(2);
const PAUSE_MOST: Duration = Duration::from_millis(100);

/// Backoff between repeated calls, each twice as long as the one before.
#[derive(Debug)]
pub struct Backoff {
    next: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { next: PAUSE }
    }
}

impl Backoff {
    /// The next pause.
    pub fn next_delay(&mut self) -> Duration {
        let pause = self.next;
        self.next = (self.next * 2).min(PAUSE_MOST);
        pause
    }
}

/// How often a call that was interrupted is repeated at once by a thread that others wait for. Each takes processor time from
/// them, on each of their connections.
const INTERRUPTIONS_MOST: u32 = 8;

/// The interruptions of one call in a row, for a thread that serves others: they are repeated at once, but not without end.
#[derive(Debug, Default)]
pub struct Interruptions {
    in_a_row: u32,
}

impl Interruptions {
    /// The class of the call's latest error: after many interruptions in a row as if it lacked something, so that the caller
    /// pauses.
    pub fn limit(&mut self, class: Class) -> Class {
        if class != Class::TryAgain {
            return class;
        }
        self.in_a_row += 1;
        if self.in_a_row < INTERRUPTIONS_MOST {
            Class::TryAgain
        } else {
            Class::OutOfResources
        }
    }
}

/// Repeats a call that was interrupted.
///
/// # Errors
/// Any other error of the call.
pub fn interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            ended => return ended,
        }
    }
}

/// Repeats a call that was interrupted or lacks something for the moment, with pauses, for so long at the most. `what` names
/// it in the log.
///
/// # Errors
/// The call's last error.
pub fn within<T>(
    span: Duration,
    kind: Call,
    what: &str,
    mut call: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let began = Instant::now();
    let mut pauses = Backoff::default();
    loop {
        let error = match call() {
            Ok(value) => return Ok(value),
            Err(error) => error,
        };
        match classify(kind, &error) {
            Class::TryAgain => {}
            Class::OutOfResources if began.elapsed() < span => {
                let pause = pauses.next_delay();
                tracing::warn!(target: "retry", "{what}: {error}; tried again in {} ms", pause.as_millis());
                std::thread::sleep(pause);
            }
            _ => return Err(error),
        }
    }
}

/// The same for what a start needs.
///
/// # Errors
/// The call's last error.
pub fn at_start<T>(kind: Call, what: &str, call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    within(STARTUP_TIMEOUT, kind, what, call)
}

/// Starts a thread, which may lack the memory or the room for one at first.
///
/// # Errors
/// The system's last error.
pub fn spawn<T: Send + 'static>(
    name: &str,
    run: impl FnOnce() -> T + Send + 'static,
) -> io::Result<std::thread::JoinHandle<T>> {
    // A thread that could not be made has dropped what it was to run: what is run is handed over once there is one.
    let (hand_over, take) = std::sync::mpsc::sync_channel(1);
    let take = std::sync::Arc::new(std::sync::Mutex::new(take));
    let handle = at_start(Call::Create, "a thread", || {
        let take = take.clone();
        std::thread::Builder::new().name(name.into()).spawn(move || {
            let taken = take.lock().ok().and_then(|take| take.recv().ok());
            let run: Box<dyn FnOnce() -> T + Send> =
                taken.expect("whoever starts a thread hands over its work");
            run()
        })
    })?;
    let work: Box<dyn FnOnce() -> T + Send> = Box::new(run);
    // The thread waits for it, so this neither fails nor waits.
    let _ = hand_over.send(work);
    Ok(handle)
}

#[cfg(test)]
mod tests;
