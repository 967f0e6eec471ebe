//! The seam between the core and what moves bytes.

use std::fmt;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use magpietally_policy::{ListFailure, Outcome, RequestId, ServerId};

use crate::node::Core;

/// A request's content, for the carrier alone.
pub trait Payload: 'static {
    /// Writes what the log may tell of it: sizes and digests, no names of users and no secrets.
    ///
    /// # Errors
    /// Those of the writer.
    fn describe(&self, to: &mut dyn fmt::Write) -> fmt::Result;

    /// The key by which servers drop its repeats, where it has one.
    fn key(&self) -> Option<&[u8]> {
        None
    }

    /// Can it be sent only once, as it is passed on while it comes?
    fn is_single_use(&self) -> bool {
        false
    }
}

/// Where an attempt goes, and until when.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// The request.
    pub id: RequestId,
    /// The server.
    pub server: ServerId,
    /// When the attempt is given up.
    pub deadline: Instant,
    /// By when it must be written: the servers may not know its key any more from then on.
    pub send_by: Option<Instant>,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptResult<Reply> {
    /// For the policy.
    pub outcome: Outcome,
    /// The server's answer, where the outcome is [`Outcome::Done`].
    pub reply: Option<Reply>,
    /// For how long its connection had been idle, where it was a kept one; for the log.
    pub idle_before: Option<Duration>,
    /// How long the server took, where that is not since the attempt began.
    pub took: Option<Duration>,
}

/// How following the list of servers came to its end.
#[derive(Clone, Debug)]
pub struct ListStreamEnd {
    /// What the policy is told of it.
    pub failure: ListFailure,
    /// What the log is told.
    pub message: String,
}

/// What moves bytes for a core: attempts, probes, and the list of servers.
///
/// The futures run on the core's thread. Dropping one calls it off: an attempt's connection must end with it.
pub trait UpstreamTransport: Sized + 'static {
    /// What goes to a server.
    type Request: Payload;
    /// What comes back.
    type Reply: 'static;

    /// Makes one attempt. It must ask [`Core::endpoint_for_attempt`] when it begins, and again once its connection stands: a drain
    /// holds from the moment it is told, and a client may leave meanwhile.
    fn attempt(
        core: Rc<Core<Self>>,
        to: Target,
        request: Rc<Self::Request>,
    ) -> impl Future<Output = AttemptResult<Self::Reply>> + 'static;

    /// Probes a server over a connection of its own.
    fn probe(core: Rc<Core<Self>>, server: ServerId) -> impl Future<Output = Outcome> + 'static;

    /// Follows the list of servers from [`Core::list_version`] on, handing what it brings to [`Core::list_received`] and
    /// [`Core::list_unchanged`]; ends when the source does.
    fn follow_list(core: Rc<Core<Self>>) -> impl Future<Output = ListStreamEnd> + 'static;

    /// A server's process has ended or moved: what is kept of its connections is void.
    fn drop_connections(&self, server: ServerId);

    /// How many connections to servers there are, for the log.
    fn connection_count(&self) -> usize;
}
