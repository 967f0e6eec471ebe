//! The signals that the process responds to.
//!
//! A handler sets a flag and writes a byte to a pipe, which wakes the node at once. If the pipe can't be
//! created, written or read, the next periodic check sees the flag, so no signal is lost to a failed call.

use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use magpietally_net::register;
use magpietally_os_error::retry::Interruptions;
use magpietally_os_error::{classify, Call, Class};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level, SigId};
use tokio::io::unix::AsyncFd;
use tokio::time::{sleep, timeout};

/// How often the flag is checked regardless of the pipe: half of the spare time that the node's shutdown has.
const FLAG_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long the pipe is left alone after a read from it has failed.
const READ_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Signals of one kind, as delivered to one worker.
pub(crate) struct Signals {
    received: Arc<AtomicBool>,
    pipe: Option<AsyncFd<UnixStream>>,
    handlers: Vec<SigId>,
}

impl Drop for Signals {
    fn drop(&mut self) {
        for handler in self.handlers.drain(..) {
            low_level::unregister(handler);
        }
    }
}

impl Signals {
    /// Listens for SIGTERM and SIGINT.
    ///
    /// # Errors
    /// If the system refuses a handler.
    pub(crate) fn termination() -> io::Result<Self> {
        Self::new(&[SIGTERM, SIGINT])
    }

    /// Listens for SIGHUP.
    ///
    /// # Errors
    /// If the system refuses a handler.
    pub(crate) fn reload_requests() -> io::Result<Self> {
        Self::new(&[SIGHUP])
    }

    fn new(kinds: &[i32]) -> io::Result<Self> {
        let received = Arc::new(AtomicBool::new(false));
        let mut signals = Self { received, pipe: None, handlers: Vec::new() };
        for kind in kinds {
            signals.handlers.push(flag::register(*kind, signals.received.clone())?);
        }
        if let Err(error) = signals.open_pipe(kinds) {
            tracing::warn!(
                target: "signal",
                "no wake-up pipe, checking every {} ms: {error}",
                FLAG_CHECK_INTERVAL.as_millis()
            );
        }
        Ok(signals)
    }

    /// Creates the pipe that these signals are written to; the handlers own its write end.
    fn open_pipe(&mut self, kinds: &[i32]) -> io::Result<()> {
        let (read, write) = UnixStream::pair()?;
        read.set_nonblocking(true)?;
        for kind in kinds {
            self.handlers.push(low_level::pipe::register(*kind, write.try_clone()?)?);
        }
        self.pipe = Some(register(read).map_err(|failed| failed.error)?);
        Ok(())
    }

    /// Waits for the next signal. Signals that arrived since the last call count as one.
    pub(crate) async fn next(&mut self) {
        while !self.received.swap(false, Ordering::SeqCst) {
            let _ = timeout(FLAG_CHECK_INTERVAL, self.wait_for_pipe()).await;
        }
    }

    /// Waits for a byte in the pipe and reads what is there.
    async fn wait_for_pipe(&self) {
        let Some(pipe) = &self.pipe else { return std::future::pending().await };
        let Ok(mut ready) = pipe.readable().await else { return sleep(READ_RETRY_DELAY).await };
        let mut bytes = [0; 64];
        let mut interruptions = Interruptions::default();
        loop {
            let error = match pipe.get_ref().read(&mut bytes) {
                Ok(0) => return sleep(READ_RETRY_DELAY).await,
                Ok(_) => return,
                Err(error) => error,
            };
            match interruptions.limit(classify(Call::Stream, &error)) {
                Class::TryAgain => {}
                Class::WaitForReadiness => return ready.clear_ready(),
                _ => return sleep(READ_RETRY_DELAY).await,
            }
        }
    }
}
