//! Calls to discovery for the list of servers. This module knows no server and no request: what the list says
//! is for the policy.

use magpietally_structures::SplitMix;

use crate::api::{Discovery, ListFailure, Millis, Settings, WATCH_SILENCE_TIMEOUT};
use crate::balance::Balancer;

// A change counts as known to a node 6 s after discovery had it and could be reached, whatever happened to
// earlier calls, and a drain must take effect 750 ms later. A call may wait 3 s in the queue of the discovery
// service and fail, and the next one may wait as long: 0.75 s are left for the pause that had begun before
// and for the one between the two calls. So these pauses do not grow. Jitter, and only one waiting call per
// node, keep the nodes from overloading the service.
//
// Calls that the service rejects immediately do not wait, and each rejection costs it work: a fleet that
// retries at once keeps it from serving anyone. No node knows how many others are rejected or how fast the
// service is. So each backs off with jitter (`docs/design/asking.md`). The first backoff lasts about as long
// as the service's queue takes to drain, so that a fleet that it can serve within some seconds offers little
// more load than that; later backoffs grow, for slower services.

/// Longest interval between the starts of calls that fail.
const CALL_INTERVAL: Millis = 400.0;
/// Longest pause after a call that itself took longer than the call interval.
const PAUSE_AFTER_SLOW_CALL: Millis = 100.0;
/// Both for calls to an agent, which has one caller. What it has counts as known at once, and two calls in a
/// row may fail.
const AGENT: (Millis, Millis) = (120.0, 30.0);
/// Backoff after calls that are rejected immediately, in a fleet.
const FLEET_BACKOFF: Backoff = Backoff { first: 2500.0, constant_for: 1, growth: 1.2, steep_after: 5 };
/// Backoff of a single node: no other nodes return together with it. After some seconds its calls still get
/// rarer, as its settings may be wrong.
const SINGLE_NODE_BACKOFF: Backoff =
    Backoff { first: CALL_INTERVAL, constant_for: 13, growth: 1.055, steep_after: 50 };
/// Growth of the longest pause per rejection once the service is evidently overloaded, not just busy.
const STEEP_GROWTH: f64 = 1.5;
/// Longest backoff.
const BACKOFF_MAX: Millis = 30_000.0;
/// Least time without a response after which a call counts as failed, even where the settings have less: it
/// may be waiting in the service's queue, and a new call would start at the end of it.
const CALL_TIMEOUT_MIN: Millis = 7500.0;
/// How long the response to a call may take to begin. The service fails calls that wait in its queue for 3 s.
const RESPONSE_TIMEOUT: Millis = 3200.0;
/// The same after a rejection: the service is up but overloaded. Some services let calls wait for 4 s; a node
/// that gives up sooner costs them a call for nothing, and starts again at the end of the queue. A service
/// that has fallen silent meanwhile is still called again within 6 s.
const RESPONSE_TIMEOUT_OVERLOADED: Millis = 4700.0;

// A node without a watch whose calls are rejected can't know which servers are draining: it may still send to
// them, and changes count as known to it although it did not receive them. This lasts too long where the
// service needs longer for a whole fleet than the time until a change counts as known. Such a node sends
// nothing until it has the list: it refuses its requests early, and nodes that have the list serve them. Only
// a rejection shows that discovery is up. While discovery is down nothing counts as known, and a node goes on
// with the list that it has.

/// Time after which a change counts as known, from when discovery had it and could be reached.
const KNOWN_AFTER: Millis = 6000.0;
/// The same for all that discovery has, from a reload.
const KNOWN_AFTER_RELOAD: Millis = 4000.0;
/// Longest time for which a node with a stale list sends nothing. A service that only seems to be up, because
/// something in front of it rejects all calls, must not end all service.
const STALE_MAX: Millis = 9000.0;
/// Least time for a change to reach all watches of a fleet, with no call ahead of it in the service's queue.
const WATCH_LAG_MIN: Millis = 500.0;

/// How the pauses grow between calls that are rejected immediately.
#[derive(Clone, Copy)]
struct Backoff {
    /// Longest first pause.
    first: Millis,
    /// Number of rejections in a row after which the pause starts to grow.
    constant_for: u32,
    /// Growth per further rejection.
    growth: f64,
    /// Number of rejections in a row after which it grows by [`STEEP_GROWTH`] instead.
    steep_after: u32,
}

impl Backoff {
    /// The longest pause after so many rejected calls in a row.
    fn longest(self, rejected: u32) -> Millis {
        let steps = |from: u32, to: u32| i32::try_from(to.saturating_sub(from)).unwrap_or(i32::MAX);
        let grown = self.growth.powi(steps(self.constant_for, rejected.min(self.steep_after)));
        (self.first * grown * STEEP_GROWTH.powi(steps(self.steep_after, rejected))).min(BACKOFF_MAX)
    }
}

/// The calls to discovery.
#[derive(Default)]
pub(crate) struct ListPolling {
    discovery: Discovery,
    /// Longest time between calls.
    max_interval: Millis,
    /// Whether the node is one of a fleet.
    in_fleet: bool,
    call: Call,
    /// Number of calls in a row that were rejected immediately.
    rejected: u32,
    /// How long a node may use a list that may have changed without its knowledge: until the change counts as
    /// known and the drain grace is over, less the time that an attempt may wait for its connection.
    valid_for: Millis,
    valid_for_after_reload: Millis,
    /// When the last call was answered.
    last_response: Millis,
    /// Longest wait of an answered call in the service's queue; changes wait there as well.
    max_wait: Millis,
    /// Until when the list may be used if discovery can be reached; infinite while it is watched.
    valid_until: Millis,
    /// The same for what discovery had at the last reload.
    reload_valid_until: Millis,
    /// Whether discovery is known to be up: it has rejected a call since the list was last watched, or since
    /// discovery was last unreachable.
    reached: bool,
}

/// The state of the call.
#[derive(Clone, Copy, Default)]
enum Call {
    /// No call is needed, or a watch is open.
    #[default]
    Idle,
    /// Started at this time, without a response so far.
    Pending(Millis),
    /// To be started at this time.
    Scheduled(Millis),
}

impl ListPolling {
    pub(crate) fn new(settings: &Settings) -> Self {
        let (discovery, rules) = (settings.discovery, &settings.rules);
        let call = match discovery {
            Discovery::Pushed => Call::Idle,
            Discovery::Polled | Discovery::Agent => Call::Scheduled(f64::NEG_INFINITY),
        };
        let grace = (rules.drain_grace - settings.limits.connect_timeout).max(0.0);
        Self {
            discovery,
            max_interval: rules.ask_within,
            in_fleet: settings.nodes > 1,
            call,
            valid_for: KNOWN_AFTER + grace,
            valid_for_after_reload: KNOWN_AFTER_RELOAD + grace,
            valid_until: f64::INFINITY,
            reload_valid_until: f64::NEG_INFINITY,
            ..Self::default()
        }
    }

    /// Goes on where the calls of `previous` are, which makes no more: with the call in progress or scheduled, the
    /// rejections so far, and what is known of the list's age.
    pub(crate) fn continue_from(&mut self, previous: &Self) {
        self.call = previous.call;
        self.rejected = previous.rejected;
        self.last_response = previous.last_response;
        self.max_wait = previous.max_wait;
        self.valid_until = previous.valid_until;
        self.reload_valid_until = previous.reload_valid_until;
        self.reached = previous.reached;
    }

    /// Handles the response to a call, or a change over the watch.
    pub(crate) fn answered(&mut self, now: Millis) {
        if let Call::Pending(at) = self.call {
            self.max_wait = self.max_wait.max(now - at);
            self.last_response = now;
        }
        (self.call, self.rejected) = (Call::Idle, 0);
        (self.valid_until, self.reached) = (f64::INFINITY, false);
    }

    /// Handles a new address of discovery: it is called at once, whatever happened to calls to the old one.
    pub(crate) fn moved(&mut self, now: Millis) {
        self.reload_valid_until = now + self.valid_for_after_reload;
        self.valid_until = self.valid_until.min(self.reload_valid_until);
        (self.call, self.rejected) = (Call::Scheduled(now), 0);
    }

    /// Updates until when the list is valid after a call failed or the watch ended.
    fn update_validity(&mut self, now: Millis, failure: ListFailure) {
        match (&self.call, failure) {
            (Call::Idle, _) => {
                // Changes that were on the way when the watch broke are missed, too.
                let silent = failure == ListFailure::Silent;
                let lag = if silent { WATCH_SILENCE_TIMEOUT } else { self.max_wait.max(WATCH_LAG_MIN) };
                self.valid_until = (now - lag).max(self.last_response) + self.valid_for;
                if now < self.reload_valid_until {
                    self.valid_until = self.valid_until.min(self.reload_valid_until);
                }
            }
            (Call::Pending(at), ListFailure::Broken) => {
                self.valid_until = self.valid_until.max(at + self.valid_for);
                self.reached = false;
            }
            _ => {}
        }
        self.reached |= failure == ListFailure::Rejected;
    }

    /// Returns whether servers may be draining without the node's knowledge.
    pub(crate) fn is_stale(&self, now: Millis) -> bool {
        self.reached && now >= self.valid_until && now < self.valid_until + STALE_MAX
    }

    /// How long the response to the pending call may take to begin.
    fn response_timeout(&self) -> Millis {
        if self.rejected > 0 {
            RESPONSE_TIMEOUT_OVERLOADED
        } else {
            RESPONSE_TIMEOUT
        }
    }

    /// Handles the failure of a call, or the end of the watch that it had opened. The pause has jitter, so
    /// that nodes that were disconnected together do not return together.
    pub(crate) fn failed(&mut self, now: Millis, failure: ListFailure, random: &mut SplitMix) {
        self.rejected = if failure == ListFailure::Rejected { self.rejected.saturating_add(1) } else { 0 };
        let (interval, slow_pause) = match self.discovery {
            Discovery::Pushed => return,
            Discovery::Polled => {
                self.update_validity(now, failure);
                (
                    (self.max_interval / 20.0).clamp(PAUSE_AFTER_SLOW_CALL, CALL_INTERVAL),
                    PAUSE_AFTER_SLOW_CALL,
                )
            }
            Discovery::Agent => AGENT,
        };
        let took = if let Call::Pending(at) = self.call { now - at } else { 0.0 };
        let pause = (interval - took).max(slow_pause);
        let span = match (self.discovery, self.rejected) {
            (Discovery::Polled, 1..) => {
                let backoff = if self.in_fleet { FLEET_BACKOFF } else { SINGLE_NODE_BACKOFF };
                backoff.longest(self.rejected).max(pause)
            }
            _ => pause,
        };
        self.call = Call::Scheduled(now + span * (0.5 + 0.5 * random.next_f64()));
    }

    /// When [`Self::start_call`] has something to do next.
    pub(crate) fn due(&self) -> Millis {
        match self.call {
            Call::Idle => f64::INFINITY,
            Call::Scheduled(at) => at.max(0.0),
            Call::Pending(at) => at + self.max_interval.max(CALL_TIMEOUT_MIN),
        }
    }

    /// Returns whether a call starts now. A call without a response for too long counts as failed.
    pub(crate) fn start_call(&mut self, now: Millis, random: &mut SplitMix) -> bool {
        match self.call {
            Call::Scheduled(at) if now >= at => {
                if at == f64::NEG_INFINITY {
                    // The list of a node that starts may be old.
                    self.valid_until = now + self.valid_for;
                }
                self.call = Call::Pending(now);
                return true;
            }
            Call::Pending(at) if now - at >= self.max_interval.max(CALL_TIMEOUT_MIN) => {
                self.failed(now, ListFailure::Silent, random);
            }
            _ => {}
        }
        false
    }
}

impl Balancer {
    /// Takes over the calls to discovery from `previous`, whose own are to be ignored from now on. The list itself is
    /// to be passed on as a saved one.
    pub fn continue_list_calls(&mut self, previous: &Self) {
        self.polling.continue_from(&previous.polling);
    }

    /// How long the response to the last call for the list may take to begin.
    pub fn list_response_timeout(&self) -> Millis {
        self.polling.response_timeout()
    }

    /// Returns whether the list is too old to send by: servers may be draining without the node's knowledge.
    pub fn is_list_stale(&self) -> bool {
        self.polling.is_stale(self.now)
    }
}
