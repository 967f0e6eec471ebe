//! How many uploads the node waits for, by what is known of their rest, for the status line.

use std::cell::Cell;
use std::fmt;

use crate::last_byte::RestOfRequest;

/// The states in the order in which they are told.
const STATES: [(RestOfRequest, &str); 3] = [
    (RestOfRequest::Unwritten, "being written"),
    (RestOfRequest::MayBeWritten, "may be written"),
    (RestOfRequest::Received, "received"),
];

/// The number of uploads in each state that have no response yet.
#[derive(Debug, Default)]
pub struct UploadStates([Cell<usize>; STATES.len()]);

impl UploadStates {
    /// Counts another upload, which its client is writing.
    pub fn add(&self) -> UploadState<'_> {
        let state = UploadState { states: self, rest: Cell::new(RestOfRequest::Unwritten) };
        self.change(RestOfRequest::Unwritten, |count| count + 1);
        state
    }

    fn change(&self, rest: RestOfRequest, change: impl FnOnce(usize) -> usize) {
        if let Some(index) = STATES.iter().position(|(state, _)| *state == rest) {
            self.0[index].set(change(self.0[index].get()));
        }
    }
}

impl fmt::Display for UploadStates {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("uploads")?;
        for ((_, name), count) in STATES.iter().zip(&self.0) {
            write!(f, " {} {name}", count.get())?;
        }
        Ok(())
    }
}

/// One counted upload; it is counted no more once this is dropped.
#[derive(Debug)]
pub struct UploadState<'a> {
    states: &'a UploadStates,
    rest: Cell<RestOfRequest>,
}

impl UploadState<'_> {
    /// Notes what is known of the upload's rest now.
    pub fn set(&self, rest: RestOfRequest) {
        self.states.change(self.rest.replace(rest), |count| count - 1);
        self.states.change(rest, |count| count + 1);
    }
}

impl Drop for UploadState<'_> {
    fn drop(&mut self) {
        self.states.change(self.rest.get(), |count| count - 1);
    }
}
