//! Registration of descriptors with the runtime's poll.

use std::fmt;
use std::io;
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};

use magpietally_os_error::retry::Backoff;
use magpietally_os_error::{classify, Call, Class};
use tokio::io::unix::AsyncFd;

/// For how long a registration is tried: whoever waits for the socket's bytes has gone by then.
const REGISTER_WITHIN: Duration = Duration::from_secs(3);
/// The longest pause between two tries. What waits on the socket has a deadline.
const PAUSE_MOST: Duration = Duration::from_millis(10);

/// A descriptor that could not be registered, and is still open.
pub struct RegisterError<T> {
    /// The descriptor.
    pub inner: T,
    /// Why.
    pub error: io::Error,
}

impl<T> fmt::Debug for RegisterError<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RegisterError").field("error", &self.error).finish_non_exhaustive()
    }
}

impl<T: AsRawFd> RegisterError<T> {
    /// Tries again, with pauses, for as long as the lack of memory or watches may pass.
    ///
    /// # Errors
    /// The last error, where it does not; the descriptor is closed then.
    pub async fn retry(self) -> io::Result<AsyncFd<T>> {
        let began = Instant::now();
        let mut pauses = Backoff::default();
        let mut failed = self;
        loop {
            match classify(Call::Create, &failed.error) {
                Class::TryAgain | Class::OutOfResources if began.elapsed() < REGISTER_WITHIN => {
                    tokio::time::sleep(pauses.next_delay().min(PAUSE_MOST)).await;
                }
                _ => return Err(failed.error),
            }
            match register(failed.inner) {
                Ok(registered) => return Ok(registered),
                Err(again) => failed = again,
            }
        }
    }
}

/// Registers a descriptor for reading and writing.
///
/// # Errors
/// The descriptor with the system's error: it stays open.
// The deprecation asks for an `unsafe` call, as a type could close its descriptor while it is registered. The types that are
// registered here, sockets of the standard library, keep theirs open until they are dropped.
#[allow(deprecated)]
pub fn register<T: AsRawFd>(inner: T) -> Result<AsyncFd<T>, RegisterError<T>> {
    AsyncFd::try_new(inner).map_err(|failed| {
        let (inner, error) = failed.into_parts();
        RegisterError { inner, error }
    })
}
