//! The signals that the process goes by.
//!
//! A handler sets a flag and writes a byte to a pipe, which wakes the node at once. Where the pipe can't be made, written or
//! read, the flag is seen at the next look: no signal is lost to a call that fails.

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

/// How often the flag is looked at whether or not the pipe says something: half of what the node's end has in hand.
const LOOK: Duration = Duration::from_millis(100);
/// How long a pipe that could not be read is left alone.
const REST: Duration = Duration::from_millis(5);

/// Signals of one kind, as they come to one worker.
pub(crate) struct Signals {
    came: Arc<AtomicBool>,
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
    /// SIGTERM and SIGINT.
    ///
    /// # Errors
    /// Where the system takes no handler.
    pub(crate) fn to_end() -> io::Result<Self> {
        Self::new(&[SIGTERM, SIGINT])
    }

    /// SIGHUP.
    ///
    /// # Errors
    /// Where the system takes no handler.
    pub(crate) fn to_reload() -> io::Result<Self> {
        Self::new(&[SIGHUP])
    }

    fn new(kinds: &[i32]) -> io::Result<Self> {
        let came = Arc::new(AtomicBool::new(false));
        let mut signals = Self { came, pipe: None, handlers: Vec::new() };
        for kind in kinds {
            signals.handlers.push(flag::register(*kind, signals.came.clone())?);
        }
        if let Err(error) = signals.open_pipe(kinds) {
            tracing::warn!(target: "signal", "no pipe, looked at every {} ms: {error}", LOOK.as_millis());
        }
        Ok(signals)
    }

    /// Makes a pipe that these signals are written to. Its other end is the handlers'.
    fn open_pipe(&mut self, kinds: &[i32]) -> io::Result<()> {
        let (read, write) = UnixStream::pair()?;
        read.set_nonblocking(true)?;
        for kind in kinds {
            self.handlers.push(low_level::pipe::register(*kind, write.try_clone()?)?);
        }
        self.pipe = Some(register(read).map_err(|failed| failed.error)?);
        Ok(())
    }

    /// Waits for the next one. Those that came since the last one are one.
    pub(crate) async fn next(&mut self) {
        while !self.came.swap(false, Ordering::SeqCst) {
            let _ = timeout(LOOK, self.woken()).await;
        }
    }

    /// Waits for a byte in the pipe, and takes what is there.
    async fn woken(&self) {
        let Some(pipe) = &self.pipe else { return std::future::pending().await };
        let Ok(mut ready) = pipe.readable().await else { return sleep(REST).await };
        let mut bytes = [0; 64];
        let mut interruptions = Interruptions::default();
        loop {
            let error = match pipe.get_ref().read(&mut bytes) {
                Ok(0) => return sleep(REST).await,
                Ok(_) => return,
                Err(error) => error,
            };
            match interruptions.bound(classify(Call::Stream, &error)) {
                Class::TryAgain => {}
                Class::WaitForReadiness => return ready.clear_ready(),
                _ => return sleep(REST).await,
            }
        }
    }
}
