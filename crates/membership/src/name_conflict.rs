//! Detects another live node under this node's name.
//!
//! A view lists an earlier start of a node until it is declared dead, and a peer may report it as alive without
//! having heard of it lately. Such an entry says nothing about a second live node. The detector therefore asks
//! each other start of the name directly, and counts only responses to its own recent requests: to a name
//! query, which returns how long the responder has been running, and to a SWIM ping, direct or through another
//! member. The ping reaches nodes that can't be reached directly and those that do not know the name query.
//!
//! The two processes of a hand-over are no conflict: they share the clients' listening socket.
//!
//! The times since the start decide which node started later. The wall clock, from which the generations are
//! derived, may have been set back between the two starts; it is used only where the times say nothing.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::id::NodeId;

/// How often other starts of the name are asked.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// The age of a request up to which its response proves that the responder is alive.
const RESPONSE_MAX_AGE: Duration = Duration::from_secs(1);
/// How long a node must have been responding to count as live: a process that is about to exit does not.
const LIVE_AFTER: Duration = Duration::from_secs(2);
/// The longest time between two responses of a live node, which allows for lost datagrams.
const RESPONSE_GAP_MAX: Duration = Duration::from_secs(3);
/// How long a node must have been responding without telling its time since the start, before the order of
/// starts is taken from the identities.
const IDENTITY_ORDER_AFTER: Duration = Duration::from_secs(6);
/// How much two times since the start may differ by rounding to milliseconds alone.
const UPTIME_RESOLUTION: Duration = Duration::from_millis(2);
/// How long a start that is no longer listed is asked after its last query.
const FORGET_AFTER: Duration = Duration::from_secs(10);
/// The most other starts that are tracked at the same time.
pub(crate) const OTHER_STARTS_MAX: usize = 16;

/// Asks the node at an address whether it is live and has the sender's name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NameQuery {
    /// The sender, to whose address the response is sent.
    pub from: NodeId,
    /// Distinguishes the sender's starts; returned in the response.
    pub nonce: u64,
    /// When the query was sent, in milliseconds by the sender's clock; returned in the response.
    pub sent_ms: u64,
}

/// The response of a node that has the name of the query's sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NameResponse {
    /// The responder.
    pub from: NodeId,
    /// From the query.
    pub nonce: u64,
    /// From the query.
    pub sent_ms: u64,
    /// How long the responder has been running, in milliseconds.
    pub uptime_ms: u64,
    /// The responder's listening socket for clients, if it was inherited and may be shared.
    pub listener: Option<ListenerId>,
}

/// Identifies an inherited listening socket: the processes of a hand-over share it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenerId {
    /// The boot id of the machine.
    pub boot: u128,
    /// The socket's inode, which is unique on the machine while the socket is open.
    pub inode: u64,
}

/// The requests that are due to the other starts.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Round {
    /// The starts to ask.
    pub targets: Vec<NodeId>,
    /// The number of this round, for the pings.
    pub number: u8,
}

/// What another start of the name is to this one, by its own response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Relation {
    StartedFirst,
    StartedLater,
    /// The two processes share the clients' listening socket: one hands over to the other.
    SharesListener,
}

/// Another start of the name.
#[derive(Debug)]
struct OtherStart {
    id: NodeId,
    /// When it was last listed in the view or sent a query.
    last_seen: Duration,
    /// The first and the last response without a gap between them.
    responding: Option<(Duration, Duration)>,
    /// Known once it has responded to a query.
    relation: Option<Relation>,
}

impl OtherStart {
    fn new(id: NodeId, now: Duration) -> Self {
        Self { id, last_seen: now, responding: None, relation: None }
    }

    fn responded(&mut self, now: Duration) {
        let first = match self.responding {
            Some((first, last)) if now.saturating_sub(last) <= RESPONSE_GAP_MAX => first,
            _ => now,
        };
        self.responding = Some((first, now));
    }

    /// Returns whether the node is live at `now` and started before `me`.
    fn is_live_and_first(&self, now: Duration, me: &NodeId) -> bool {
        let Some((first, last)) = self.responding else { return false };
        let responding_for = last - first;
        if responding_for < LIVE_AFTER || now.saturating_sub(last) > RESPONSE_MAX_AGE {
            return false;
        }
        match self.relation {
            Some(relation) => relation == Relation::StartedFirst,
            None => responding_for >= IDENTITY_ORDER_AFTER && is_first_by_identity(&self.id, me),
        }
    }
}

/// Returns whether the identity `other` is an earlier start than `me` by the wall clock.
fn is_first_by_identity(other: &NodeId, me: &NodeId) -> bool {
    (other.generation, other.addr) < (me.generation, me.addr)
}

/// Tracks the other starts of a node's name.
pub(crate) struct NameConflictDetector {
    nonce: u64,
    listener: Option<ListenerId>,
    /// When the node started, by the caller's clock; set by the first call of
    /// [`NameConflictDetector::next_round`].
    started: Option<Duration>,
    next_round: Duration,
    round: u8,
    others: BTreeMap<SocketAddrV4, OtherStart>,
}

impl NameConflictDetector {
    /// Creates the detector; `nonce` should differ from that of the node's earlier starts.
    pub fn new(nonce: u64) -> Self {
        Self {
            nonce,
            listener: None,
            started: None,
            next_round: Duration::ZERO,
            round: 0,
            others: BTreeMap::new(),
        }
    }

    /// Sets the node's listening socket, which it has inherited.
    pub fn set_listener(&mut self, listener: ListenerId) {
        self.listener = Some(listener);
    }

    /// Returns when [`NameConflictDetector::next_round`] is to be called next.
    pub fn next_due(&self) -> Duration {
        self.next_round
    }

    /// Returns whether a round is due at `now`.
    pub fn is_due(&self, now: Duration) -> bool {
        now >= self.next_round
    }

    /// Begins a round at `now`. `listed` holds the active members with this node's name and another address.
    pub fn next_round(&mut self, now: Duration, listed: impl Iterator<Item = NodeId>) -> Round {
        self.started.get_or_insert(now);
        self.next_round = now + ROUND_INTERVAL;
        for id in listed {
            self.track(now, id);
        }
        self.others.retain(|_, other| now.saturating_sub(other.last_seen) <= FORGET_AFTER);
        self.round = self.round.wrapping_add(1);
        Round { targets: self.others.values().map(|other| other.id.clone()).collect(), number: self.round }
    }

    fn track(&mut self, now: Duration, id: NodeId) {
        if let Some(other) = self.others.get_mut(&id.addr) {
            other.id = id;
            other.last_seen = now;
        } else if self.others.len() < OTHER_STARTS_MAX {
            self.others.insert(id.addr, OtherStart::new(id, now));
        }
    }

    /// Returns the query to send at `now`.
    pub fn query(&self, now: Duration, me: &NodeId) -> NameQuery {
        NameQuery { from: me.clone(), nonce: self.nonce, sent_ms: millis(now) }
    }

    /// Handles a query received at `now`. Returns the response if the sender has the name of `me`; the sender
    /// is then asked too.
    pub fn on_query(&mut self, now: Duration, me: &NodeId, query: &NameQuery) -> Option<NameResponse> {
        if !query.from.is_other_start_of(me) {
            return None;
        }
        self.track(now, query.from.clone());
        Some(NameResponse {
            from: me.clone(),
            nonce: query.nonce,
            sent_ms: query.sent_ms,
            uptime_ms: millis(self.uptime(now)),
            listener: self.listener,
        })
    }

    /// Handles a response received at `now`. One to a query of an earlier start, or to one that is too old, is
    /// ignored.
    pub fn on_response(&mut self, now: Duration, me: &NodeId, response: &NameResponse) {
        let sent = Duration::from_millis(response.sent_ms);
        let round_trip = Duration::from_millis(millis(now)).checked_sub(sent);
        let Some(round_trip) = round_trip.filter(|time| *time <= RESPONSE_MAX_AGE) else { return };
        if response.nonce != self.nonce || response.from.name != me.name {
            return;
        }
        let relation = self.relation(me, response, sent, round_trip);
        let Some(other) = self.others.get_mut(&response.from.addr) else { return };
        other.id = response.from.clone();
        other.responded(now);
        other.relation = Some(relation);
    }

    /// What the responder is to `me`. The response arrived `round_trip` after the query, which left at `sent`.
    fn relation(
        &self,
        me: &NodeId,
        response: &NameResponse,
        sent: Duration,
        round_trip: Duration,
    ) -> Relation {
        if response.listener.is_some() && response.listener == self.listener {
            return Relation::SharesListener;
        }
        let own_uptime = self.uptime(sent + round_trip / 2);
        let other_uptime = Duration::from_millis(response.uptime_ms);
        // The difference is uncertain by half a round trip.
        let is_uncertain = own_uptime.abs_diff(other_uptime) <= round_trip + UPTIME_RESOLUTION;
        let other_first =
            if is_uncertain { is_first_by_identity(&response.from, me) } else { other_uptime > own_uptime };
        if other_first {
            Relation::StartedFirst
        } else {
            Relation::StartedLater
        }
    }

    /// How long the node has been running at `now`.
    fn uptime(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started.unwrap_or(now))
    }

    /// Handles an ack of the node `from`, received directly or through another member at `now`. It counts if
    /// `number` is that of the last round, or of the one before: the last may just have begun.
    pub fn on_ack(&mut self, now: Duration, from: &NodeId, number: u8) {
        if self.round.wrapping_sub(number) > 1 {
            return;
        }
        if let Some(other) = self.others.get_mut(&from.addr).filter(|other| other.id == *from) {
            other.responded(now);
        }
    }

    /// Returns the live node with the name of `me` that started before it, if there is one at `now`. The node
    /// `me` must then stop.
    pub fn live_first(&self, now: Duration, me: &NodeId) -> Option<&NodeId> {
        self.others.values().find(|other| other.is_live_and_first(now, me)).map(|other| &other.id)
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
