//! Conformance suite for transports: [`check`] runs all clauses on a [`Harness`], which starts and stops the
//! nodes of a transport and breaks their links.
//!
//! A clause is skipped where it needs something that a harness can't do (a half-open link without a relay) or
//! that this kind of transport does not guarantee (the order of datagrams). Skipped clauses are listed in
//! [`CheckReport`], so that a test can assert which ones they are.

mod clauses;
mod cluster;
mod sent_messages;

use std::fmt;
use std::time::Duration;

use magpietally_transport::{Name, Session, Transport};

/// One clause of the contract.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Clause {
    /// A message is delivered byte for byte as it was sent.
    NothingAltered,
    /// A delivered message was sent by that sender to that node.
    NothingInvented,
    /// A stream delivers messages in the order in which they were sent.
    Order,
    /// A stream delivers a message at most once.
    AtMostOnce,
    /// A message that a stream accepted and did not deliver is reported as lost, and nothing is lost without
    /// a fault.
    LossTold,
    /// The queue holds as many messages as the capabilities say; the next is refused as `Full`.
    FullTold,
    /// An oversized message is refused, and no part of it is delivered.
    OversizedRefused,
    /// A message of the maximum size is delivered.
    LargestPasses,
    /// An empty message is delivered.
    EmptyPasses,
    /// A message to an unconfigured node is refused as `Unknown`.
    UnknownTold,
    /// Messages are delivered in both directions.
    BothWays,
    /// Every node exchanges messages with every other.
    ManyPeers,
    /// A peer's restart is reported as a new session before its first message, and later messages are
    /// delivered.
    RestartTold,
    /// Nothing of an earlier session is delivered after a later session was seen; it is dropped and reported.
    NothingOlder,
    /// Nothing of another fleet is delivered; it is dropped and reported.
    NothingForeign,
    /// Bytes that can't be parsed are dropped and reported, and have no other effect.
    StrangeDropped,
    /// A peer that falls silent is detected, and reconnects when it responds again.
    HalfOpenNoticed,
    /// A peer that does not read fills only its own queue and delays nobody else.
    SlowAlone,
    /// A broken connection is reestablished.
    BreakMended,
    /// No call panics, blocks or returns events without end.
    Calm,
}

impl fmt::Display for Clause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NothingAltered => "nothing is altered",
            Self::NothingInvented => "nothing is invented",
            Self::Order => "a stream keeps order",
            Self::AtMostOnce => "a stream brings a message at most once",
            Self::LossTold => "what a stream lost is told",
            Self::FullTold => "a queue is bounded and says when it is full",
            Self::OversizedRefused => "the oversized is refused and not cut",
            Self::LargestPasses => "the largest message passes",
            Self::EmptyPasses => "an empty message passes",
            Self::UnknownTold => "an unknown peer is told",
            Self::BothWays => "messages go both ways",
            Self::ManyPeers => "every node talks with every other",
            Self::RestartTold => "a restart is a new session",
            Self::NothingOlder => "nothing of an older session comes",
            Self::NothingForeign => "nothing of another fleet comes",
            Self::StrangeDropped => "strange bytes are dropped and told",
            Self::HalfOpenNoticed => "a half-open peer is noticed",
            Self::SlowAlone => "a slow peer holds up nobody else",
            Self::BreakMended => "a broken connection is made anew",
            Self::Calm => "no call waits or answers without end",
        })
    }
}

/// A violated clause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The clause.
    pub clause: Clause,
    /// What was observed.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.clause, self.detail)
    }
}

impl std::error::Error for Violation {}

/// The clauses that were tested and those that were not. The rules for messages (unaltered, not invented, in
/// order, at most once, no older sessions) are checked in every scenario that runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CheckReport {
    /// Clauses that were tested and hold.
    pub passed: Vec<Clause>,
    /// Clauses that this kind of transport does not guarantee or this harness can't test.
    pub skipped: Vec<Clause>,
}

/// The name of a node of the harness.
pub fn node_name(node: usize) -> Name {
    Name::new(&format!("n{node}")).expect("letters and digits, short")
}

/// Starts and stops nodes of one transport and breaks their links. The nodes are numbered from 0, named by
/// [`node_name`], and belong to one fleet. Each running node knows the addresses of all nodes, including
/// those that do not run.
pub trait Harness {
    /// How many nodes can run at the same time; at least 3.
    fn node_count(&self) -> usize;

    /// Starts a stopped node and returns its session, which is later than any that it had before.
    fn start(&mut self, node: usize) -> Session;

    /// Stops a node without a clean shutdown, if it runs.
    fn kill(&mut self, node: usize);

    /// Calls `act` with the transport of a running node and the current time.
    fn with_node(&mut self, node: usize, act: &mut dyn FnMut(&mut dyn Transport, Duration));

    /// Lets real or virtual time pass.
    fn advance(&mut self, time: Duration);

    /// The longest time that an expected event may take. It is generous, as it elapses only on a fault.
    fn timeout(&self) -> Duration;

    /// The time after which everything under way has been delivered.
    fn settle_time(&self) -> Duration;

    /// Messages that a stream may hold for a peer that does not read, in addition to those queued: its
    /// window, the peer's inbox, and one that has just been read.
    fn in_flight_max(&self) -> usize;

    /// Whether the links between nodes lose messages or break on their own.
    fn is_lossy(&self) -> bool {
        false
    }

    /// Sends `bytes` to node `to` with this node name and session, in this fleet or another, from a separate
    /// address; returns false where the harness can't.
    fn send_as(
        &mut self,
        _name: &Name,
        _session: Session,
        _foreign: bool,
        _to: usize,
        _bytes: &[u8],
    ) -> bool {
        false
    }

    /// Sends exactly these bytes to node `to`, as an unrelated process might; returns false where the harness
    /// can't.
    fn inject_bytes(&mut self, _to: usize, _bytes: &[u8]) -> bool {
        false
    }

    /// Silently discards everything between two nodes, or stops doing so; returns false where the harness
    /// can't.
    fn set_blackhole(&mut self, _a: usize, _b: usize, _on: bool) -> bool {
        false
    }

    /// Resets the connections between two nodes; returns false where the harness can't.
    fn reset_connections(&mut self, _a: usize, _b: usize) -> bool {
        false
    }
}

/// Runs the whole contract.
///
/// # Errors
/// The first violated clause.
pub fn check(harness: &mut impl Harness) -> Result<CheckReport, Violation> {
    clauses::check_clauses(harness)
}
