//! The interface between the core and the transport that moves bytes.

use std::fmt;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use magpietally_policy::{ListFailure, Outcome, RequestId, ServerId};

use crate::node::Core;

/// The content of a request, which only the transport interprets.
pub trait Payload: 'static {
    /// Writes what may be logged of it: sizes and digests, no user names and no secrets.
    ///
    /// # Errors
    /// Those of the writer.
    fn describe(&self, to: &mut dyn fmt::Write) -> fmt::Result;

    /// Its idempotency key, if it has one, by which servers deduplicate repeats.
    fn key(&self) -> Option<&[u8]> {
        None
    }

    /// Returns whether a server may have received all of it, once an attempt was allowed to write it. A server
    /// begins a request with its last byte.
    fn may_be_whole(&self) -> bool {
        true
    }

    /// Returns whether it can be sent only once, because its body is streamed through while it arrives.
    fn is_single_use(&self) -> bool {
        false
    }
}

/// The server that an attempt goes to, and its time limits.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// The request.
    pub id: RequestId,
    /// The attempt's number, from 0.
    pub attempt: usize,
    /// The server.
    pub server: ServerId,
    /// When the attempt times out, unless its server is answering by then.
    pub deadline: Instant,
    /// When the request must be answered.
    pub client_deadline: Instant,
    /// When the attempt must have been written: after that the servers may no longer know its idempotency
    /// key.
    pub send_by: Option<Instant>,
}

/// The result of an attempt.
#[derive(Debug)]
pub struct AttemptResult<Reply> {
    /// The outcome for the policy.
    pub outcome: Outcome,
    /// The server's response, if the outcome is [`Outcome::Done`].
    pub reply: Option<Reply>,
    /// For how long its connection had been idle, if it was a reused one; for the log.
    pub idle_before: Option<Duration>,
    /// How long the server took, if that is not the time since the attempt began.
    pub took: Option<Duration>,
}

/// Why a call that follows the server list ended.
#[derive(Clone, Debug)]
pub struct ListStreamEnd {
    /// The kind of failure, for the policy.
    pub failure: ListFailure,
    /// The message for the log.
    pub message: String,
}

/// Moves bytes for a core: attempts, probes, and the server list.
///
/// The futures run on the core's thread. Dropping one cancels it: an attempt's connection must be closed with
/// it.
pub trait UpstreamTransport: Sized + 'static {
    /// What is sent to a server.
    type Request: Payload;
    /// What a server responds.
    type Reply: 'static;

    /// Makes one attempt. It must call [`Core::endpoint_for_attempt`] when it begins, and
    /// [`Core::endpoint_to_write`] once it is connected: a drain takes effect as soon as it is announced, and
    /// the client may leave in the meantime.
    fn attempt(
        core: Rc<Core<Self>>,
        to: Target,
        request: Rc<Self::Request>,
    ) -> impl Future<Output = AttemptResult<Self::Reply>> + 'static;

    /// Probes a server over a connection of its own.
    fn probe(core: Rc<Core<Self>>, server: ServerId) -> impl Future<Output = Outcome> + 'static;

    /// Follows the server list from [`Core::list_version`] on, passing updates to [`Core::list_received`] and
    /// [`Core::list_unchanged`]; ends when the source ends the stream.
    fn follow_list(core: Rc<Core<Self>>) -> impl Future<Output = ListStreamEnd> + 'static;

    /// Drops the pooled connections to a server whose process has ended or moved.
    fn drop_connections(&self, server: ServerId);

    /// The number of connections to servers, for the log.
    fn connection_count(&self) -> usize;

    /// What else the transport holds, for the end of status lines.
    fn describe_resources(&self) -> String {
        String::new()
    }
}
