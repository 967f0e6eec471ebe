//! The interface of the decision module: settings, events, actions and status. Times are in milliseconds.

use std::fmt;

/// A point in time or a duration, in milliseconds. The clock may start anywhere but never runs backwards.
pub type Millis = f64;

/// The id of a server in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

/// The id of a client request; unique over the lifetime of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Which servers deduplicate a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Any number of times.
    Safe,
    /// The servers of one scope drop repeats, for `memory` after the first send.
    Keyed {
        /// The servers that share their memory of keys.
        scope: DedupScope,
        /// How long they remember a key.
        memory: Millis,
    },
    /// It must not run twice.
    Unsafe,
}

/// A request class.
#[derive(Clone, Debug)]
pub struct Class {
    /// Latency target: a response within this time has its full worth.
    pub aim: Millis,
    /// Value of a response in time.
    pub worth: f64,
    /// Fraction of the worth that a later response still has.
    pub late_worth: f64,
    /// Whether it may run more than once.
    pub effect: Effect,
}

/// A tenant and its share of the service.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second within its share, over all nodes.
    pub quota_per_s: f64,
}

/// Weights of the parts of the service objective, set by the operators.
#[derive(Clone, Debug, Default)]
pub struct Goal {
    /// The worth served, in total and in the worst window.
    pub worth: f64,
    /// The worst served class.
    pub worst_class: f64,
    /// The worst served tenant, within its share.
    pub worst_tenant: f64,
}

/// What the platform permits.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Maximum attempts per request.
    pub attempts: usize,
    /// Whether two attempts of a request may be in flight at the same time.
    pub second_copies: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether servers may be probed.
    pub probes: bool,
    /// Time after which a connection attempt has failed.
    pub connect_timeout: Millis,
    /// Longest retry-after that a refused client can be given; 0: none can.
    pub max_retry_after: Millis,
}

/// Parameters of the four rules of the platform.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Where the list is polled: longest time between two calls.
    pub ask_within: Millis,
    /// Least fraction of its capacity that a server has right after its start.
    pub cold_share: f64,
    /// Time after its start until it has its full capacity at the latest.
    pub warm_within: Millis,
    /// A cold server fails when it is sent more than this many times its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long.
    pub fall_window: Millis,
    /// How long after a server is listed as draining or gone it may still be sent new work.
    pub drain_grace: Millis,
}

/// Limits of retries and ejections. Operators may change them while a fleet runs; the platform sets none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Retries that may cost work, as a fraction of first attempts.
    pub retry_share: f64,
    /// Maximum of the retry budget, in attempts.
    pub retry_most: f64,
    /// Failures in a row that make a server an outlier; a single one proves nothing.
    pub outlier_failures: u32,
    /// Fraction of a node's servers that may be ejected for timeouts: more failures than that are more likely
    /// caused by the requests or the whole fleet.
    pub eject_at_most: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self { retry_share: 0.1, retry_most: 10.0, outlier_failures: 3, eject_at_most: 0.5 }
    }
}

/// How changes of the list arrive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// Without a call by the node.
    #[default]
    Pushed,
    /// After the node has called discovery, and over the watch that the call opens.
    Polled,
    /// From an agent beside the node, to which the node keeps a subscription. What the agent has counts as
    /// known to the node at once.
    Agent,
}

/// Time without data after which a watch is closed as [`ListFailure::Silent`]. A watch has a line every 2 s.
pub const WATCH_SILENCE_TIMEOUT: Millis = 3200.0;

/// How a call for the list failed, or a watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListFailure {
    /// Discovery could not be reached, failed after some time, or closed the connection.
    Broken,
    /// Discovery was reached but sent nothing, or nothing more, until a timeout.
    Silent,
    /// Discovery rejected the call immediately: it has more callers than it can serve.
    Rejected,
}

/// Meaning of the listed weights.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weights {
    /// Nothing.
    #[default]
    None,
    /// The size of the server, exact or nearly so.
    Listed,
    /// Size divided by one more than the requests in flight per core some time ago.
    Live,
}

/// Settings of a node. The default is empty and invalid.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Index of this node, from 0.
    pub number: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// The request classes; events name them by their index.
    pub classes: Vec<Class>,
    /// The tenants; events name them by their index. May be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a fraction of its class's worth.
    pub over_share_worth: f64,
    /// Weights of the service objective.
    pub goal: Goal,
    /// What the platform permits.
    pub limits: Limits,
    /// Parameters of the four rules.
    pub rules: Rules,
    /// How changes of the list arrive.
    pub discovery: Discovery,
    /// Meaning of the listed weights.
    pub weights: Weights,
    /// Shortest interval between two events.
    pub tick: Millis,
    /// Limits of retries and ejections.
    pub tuning: Tuning,
}

/// Maximum number of nodes: shares per node are computed from products with it.
const NODES_MAX: usize = 1_000_000;

/// Why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks that the settings are valid.
    ///
    /// # Errors
    /// Names the first invalid field and its bound: no classes, a time or amount that is negative or not
    /// finite, an own number that is not below the number of nodes, a share outside 0 to 1.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let fail = |what: String| Err(SettingsError(what));
        if self.classes.is_empty() {
            return fail("classes: no classes, at least one is required".into());
        }
        if self.nodes > NODES_MAX {
            return fail(format!("nodes: {} is more than {NODES_MAX}", self.nodes));
        }
        if self.number >= self.nodes {
            return fail("number: own number must be below the count of nodes".into());
        }
        if self.tuning.outlier_failures == 0 {
            return fail("tuning.outlier_failures: must be above 0".into());
        }
        if self.limits.attempts == 0 {
            return fail("limits.attempts: no attempts allowed, at least one is required".into());
        }
        let (l, r, g) = (&self.limits, &self.rules, &self.goal);
        let mut amounts = vec![
            ("limits.connect_timeout".to_string(), l.connect_timeout),
            ("limits.max_retry_after".into(), l.max_retry_after),
            ("rules.ask_within".into(), r.ask_within),
            ("rules.warm_within".into(), r.warm_within),
            ("rules.fall_multiple".into(), r.fall_multiple),
            ("rules.fall_window".into(), r.fall_window),
            ("tick".into(), self.tick),
            ("tuning.retry_share".into(), self.tuning.retry_share),
            ("tuning.retry_most".into(), self.tuning.retry_most),
            ("goal.worth".into(), g.worth),
            ("goal.worst_class".into(), g.worst_class),
            ("goal.worst_tenant".into(), g.worst_tenant),
        ];
        let mut shares = vec![
            ("rules.cold_share".to_string(), r.cold_share),
            ("over_share_worth".into(), self.over_share_worth),
            ("tuning.eject_at_most".into(), self.tuning.eject_at_most),
        ];
        for (n, class) in self.classes.iter().enumerate() {
            amounts.push((format!("classes[{n}].aim"), class.aim));
            amounts.push((format!("classes[{n}].worth"), class.worth));
            if let Effect::Keyed { memory, .. } = class.effect {
                amounts.push((format!("classes[{n}].effect.memory"), memory));
            }
            shares.push((format!("classes[{n}].late_worth"), class.late_worth));
            if class.aim <= 0.0 {
                return fail(format!("classes[{n}].aim: must be above 0"));
            }
        }
        for (n, tenant) in self.tenants.iter().enumerate() {
            amounts.push((format!("tenants[{n}].quota_per_s"), tenant.quota_per_s));
        }
        if let Some((name, value)) = amounts.iter().find(|(_, v)| !v.is_finite() || *v < 0.0) {
            return fail(format!("{name}: {value} is negative or not finite"));
        }
        if let Some((name, value)) = shares.iter().find(|(_, v)| !(0.0..=1.0).contains(v)) {
            return fail(format!("{name}: {value} is a share outside 0 to 1"));
        }
        Ok(())
    }
}

/// The listed state of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListedState {
    /// In service.
    Up,
    /// Finishing its work; it must get no new requests.
    Draining,
    /// Not in service.
    #[default]
    Gone,
}

/// A server's entry in the list.
#[derive(Clone, Debug, Default)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: u64,
    /// Its cell, whose servers share their memory of keys.
    pub cell: u64,
    /// Its machine kind.
    pub kind: u64,
    /// Its state.
    pub state: ListedState,
    /// Its weight relative to the other servers; see [`Weights`].
    pub weight: f64,
    /// When it last started; `None` if long ago.
    pub started: Option<Millis>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// Served.
    Done,
    /// Answered with an error; it may have run.
    Error,
    /// Rejected by the server without work, as it is full; it never ran.
    Full,
    /// No response in time; it may have run, or may still run.
    TimedOut,
    /// No byte in time, though the server answered requests sent later; it may have run.
    Unheard,
    /// The connection failed; it never ran.
    ConnectFailed,
    /// The connection broke, or was not established within the timeout, before the request's last byte was
    /// written; it never ran.
    Unwritten,
    /// The connection broke after the request was written; it may have run.
    Reset,
    /// Cancelled by this node; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// The server found the request invalid; its client has that response.
    Rejected,
}

impl Outcome {
    /// Returns whether this outcome proves that the request never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::Unwritten | Self::NotSent)
    }
}

/// An input of the decision module.
#[derive(Clone, Debug)]
pub enum Event {
    /// The whole list: servers that it leaves out are gone.
    List {
        /// Its entries.
        entries: Vec<ServerEntry>,
        /// Whether it was saved before a restart: perhaps out of date, and no response to a call.
        saved: bool,
    },
    /// Entries that have changed.
    ListChange(Vec<ServerEntry>),
    /// A call for the list failed, or the watch ended.
    ListFailed(ListFailure),
    /// Discovery has a new address: calls to the old one are void.
    DiscoveryMoved,
    /// A client request arrived; it must get exactly one final answer.
    Request {
        /// The request.
        id: RequestId,
        /// Its class, an index into [`Settings::classes`].
        class: usize,
        /// Its tenant, an index into [`Settings::tenants`], if any.
        tenant: Option<usize>,
        /// When the client gives up. Where the client of a refused request keeps its first deadline, its
        /// repeat arrives with less time left than a new request, and is treated as the older one that it is.
        deadline: Millis,
        /// Whether its body is relayed while it arrives, so that it can be sent again only if no part of it
        /// was sent.
        non_replayable: bool,
    },
    /// A streamed response has begun; the client is bound to this attempt.
    Streaming {
        /// The request.
        id: RequestId,
        /// The attempt's number, from 0.
        attempt: usize,
    },
    /// An attempt ended.
    Ended {
        /// The request.
        id: RequestId,
        /// The attempt's number, from 0.
        attempt: usize,
        /// The server that it was sent to.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took: Millis,
        /// Whether the client has its final answer.
        finished: bool,
    },
    /// A probe ended.
    Probed {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took: Millis,
    },
    /// The client disconnected; it needs no answer any more.
    ClientGone(RequestId),
    /// The timer set by [`Action::SetTimer`] fired.
    Timer,
}

/// What the node must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the next attempt of a request; attempts are numbered from 0.
    Send {
        /// The request.
        id: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// The attempt times out after this; `None`: at the client's deadline.
        timeout: Option<Millis>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: usize,
    },
    /// Final answer: refused; a retry by the client is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should wait before a retry; 0: not given.
        stay_away: Millis,
    },
    /// Final answer: failed.
    Fail(RequestId),
    /// Send [`Event::Timer`] after this time; a timer set earlier stays.
    SetTimer(Millis),
    /// Call discovery for the list and watch its changes.
    Subscribe,
    /// Probe a server.
    Probe(ServerId),
}

/// The state of the module, for the node's log.
#[derive(Clone, Debug)]
pub struct BalancerStatus {
    /// Requests in the queue.
    pub queued: usize,
    /// Requests without a final answer, including queued ones.
    pub open: usize,
    /// Scales all limits while below 1: how far the whole fleet has slowed down.
    pub fleet_factor: f64,
    /// Retries that the budget still allows.
    pub retry_budget: f64,
    /// The servers that are up.
    pub servers: Vec<ServerStatus>,
}

/// The state of one server.
#[derive(Clone, Debug)]
pub struct ServerStatus {
    /// The server.
    pub server: ServerId,
    /// This node's attempts in flight.
    pub in_flight: usize,
    /// Limit of these attempts.
    pub limit: f64,
    /// Learned factor on its size.
    pub learned_weight: f64,
    /// Fraction of its capacity that it is assumed to have.
    pub warmth: f64,
    /// Whether it is ejected.
    pub ejected: bool,
}
