//! What every transport must hold: [`hold`] plays all clauses on a [`Rig`], which makes and breaks ends of the transport.
//!
//! Where a clause needs what a rig can't do (a half-open link without a relay), or speaks of what its kind does not
//! promise (order of datagrams), it is skipped and named as such in [`Held`], so that a test can state which those are.

mod clauses;
mod cluster;
mod sent_messages;

use std::fmt;
use std::time::Duration;

use magpietally_transport::{Name, Session, Transport};

/// One clause of the contract.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Clause {
    /// What arrives is byte for byte what was sent.
    NothingAltered,
    /// What arrives was sent, by that sender, to that node.
    NothingInvented,
    /// A stream brings messages in the order they were sent.
    Order,
    /// A stream brings a message at most once.
    AtMostOnce,
    /// What a stream took and did not bring is told as lost, and nothing is lost without a fault.
    LossTold,
    /// So many messages wait as is promised; the next is refused as `Full`.
    FullTold,
    /// What is larger than is carried is refused, and nothing of it arrives.
    OversizedRefused,
    /// The largest message that is promised arrives.
    LargestPasses,
    /// An empty message arrives.
    EmptyPasses,
    /// A node that nobody named is told as unknown.
    UnknownTold,
    /// Messages go both ways.
    BothWays,
    /// Every node talks with every other.
    ManyPeers,
    /// A peer's restart is told as a new session before its first message, and messages go on.
    RestartTold,
    /// Nothing of an earlier session comes once a later one was met; it is dropped and told.
    NothingOlder,
    /// Nothing of another fleet comes; it is dropped and told.
    NothingForeign,
    /// What can't be read is dropped and told, and does no harm.
    StrangeDropped,
    /// A peer that falls silent is noticed, and met again when it speaks.
    HalfOpenNoticed,
    /// A peer that does not read fills its own queue and holds up nobody else.
    SlowAlone,
    /// A connection that breaks is made anew.
    BreakMended,
    /// No call panics, waits or answers without end.
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

/// A clause that does not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub clause: Clause,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.clause, self.detail)
    }
}

impl std::error::Error for Violation {}

/// What was played and what was not. The rules on messages (altered, invented, order, once, older sessions) are held
/// in all that is played.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CheckReport {
    /// Clauses that were played and hold.
    pub passed: Vec<Clause>,
    /// Clauses that this kind does not promise or this rig can't play.
    pub skipped: Vec<Clause>,
}

/// The name of a rig's node.
pub fn node_name(node: usize) -> Name {
    Name::new(&format!("n{node}")).expect("letters and digits, short")
}

/// Makes and breaks ends of one transport. Nodes are numbered from 0, named by [`name_of`], of one fleet, and each that
/// runs knows where all of them are (those that do not run, too).
pub trait Harness {
    /// How many nodes it can run at a time; at least 3.
    fn node_count(&self) -> usize;

    /// Starts a node, which does not run, at a session later than any it had; which.
    fn start(&mut self, node: usize) -> Session;

    /// Ends a node with no farewell, if it runs.
    fn kill(&mut self, node: usize);

    /// Acts on a running node's end at the present moment.
    fn with_node(&mut self, node: usize, act: &mut dyn FnMut(&mut dyn Transport, Duration));

    /// Lets time pass, real or virtual.
    fn advance(&mut self, time: Duration);

    /// The longest that anything may take to be seen: generous, it is only waited for on a fault.
    fn timeout(&self) -> Duration;

    /// After this long, what would come has come.
    fn settle_time(&self) -> Duration;

    /// Messages that a stream may hold for a peer that does not read, beside those that wait: its window, the peer's
    /// inbox, and one in hand.
    fn in_flight_max(&self) -> usize;

    /// Whether the links between nodes lose or break of themselves.
    fn is_lossy(&self) -> bool {
        false
    }

    /// Says `bytes` to node `to` as a node of that name and session would, of this fleet or of another, from a place
    /// of its own; false where the rig can't.
    fn send_as(
        &mut self,
        _ghost: &Name,
        _session: Session,
        _foreign: bool,
        _to: usize,
        _bytes: &[u8],
    ) -> bool {
        false
    }

    /// Hands node `to` these very bytes, as a stranger might; false where the rig can't.
    fn inject_bytes(&mut self, _to: usize, _bytes: &[u8]) -> bool {
        false
    }

    /// All between two nodes is swallowed without a word, or passes again; false where the rig can't.
    fn set_blackhole(&mut self, _a: usize, _b: usize, _on: bool) -> bool {
        false
    }

    /// Breaks what connections there are between two nodes; false where the rig can't.
    fn reset_connections(&mut self, _a: usize, _b: usize) -> bool {
        false
    }
}

/// Plays the whole contract.
///
/// # Errors
/// The first clause that does not hold.
pub fn check(harness: &mut impl Harness) -> Result<CheckReport, Violation> {
    clauses::check_clauses(harness)
}
