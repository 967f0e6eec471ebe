//! Registration of descriptors with the runtime's poller.

use std::fmt;
use std::io;
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};

use magpietally_os_error::retry::Backoff;
use magpietally_os_error::{classify, Call, Class};
use tokio::io::unix::AsyncFd;

/// How long a registration is retried. After this time the user of the connection is no longer waiting for
/// it.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum delay between two attempts; short, because requests on the socket have a deadline.
const DELAY_MAX: Duration = Duration::from_millis(10);

/// The error of a failed registration, with the descriptor, which is still open.
pub struct RegisterError<T> {
    /// The descriptor.
    pub inner: T,
    /// The error of the system call.
    pub error: io::Error,
}

impl<T> fmt::Debug for RegisterError<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RegisterError").field("error", &self.error).finish_non_exhaustive()
    }
}

impl<T: AsRawFd> RegisterError<T> {
    /// Retries the registration with backoff while memory or watches are lacking, for a limited time.
    ///
    /// # Errors
    /// The last error; the descriptor is closed in that case.
    pub async fn retry(self) -> io::Result<AsyncFd<T>> {
        let started = Instant::now();
        let mut backoff = Backoff::default();
        let mut failed = self;
        loop {
            match classify(Call::Create, &failed.error) {
                Class::TryAgain | Class::OutOfResources if started.elapsed() < REGISTER_TIMEOUT => {
                    tokio::time::sleep(backoff.next_delay().min(DELAY_MAX)).await;
                }
                _ => return Err(failed.error),
            }
            match register(failed.inner) {
                Ok(registered) => return Ok(registered),
                Err(error) => failed = error,
            }
        }
    }
}

/// Registers a descriptor for reading and writing.
///
/// # Errors
/// The error of the system call, with the descriptor, which stays open.
// The deprecation recommends an `unsafe` call, because a type could close its descriptor while it is
// registered. The types that are registered here, sockets of the standard library, keep their descriptor open
// until they are dropped.
#[allow(deprecated)]
pub fn register<T: AsRawFd>(inner: T) -> Result<AsyncFd<T>, RegisterError<T>> {
    AsyncFd::try_new(inner).map_err(|failed| {
        let (inner, error) = failed.into_parts();
        RegisterError { inner, error }
    })
}
