//! The parts of a site between the clients and the boxes: network, nodes, box list, rules.

use serde::{Deserialize, Serialize};

/// One-way delays and their variation.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Within a zone.
    pub same_zone_ms: f64,
    /// Between zones.
    pub cross_zone_ms: f64,
    /// Between clients and nodes.
    pub client_ms: f64,
    /// Largest random extension of each delay, as a share of it.
    pub jitter: f64,
    /// Time-out of connection attempts.
    pub connect_timeout_ms: f64,
    /// Idle time after which boxes close connections.
    pub keepalive_ms: f64,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            same_zone_ms: 0.2,
            cross_zone_ms: 2.0,
            client_ms: 0.5,
            jitter: 0.1,
            connect_timeout_ms: 150.0,
            keepalive_ms: 10_000.0,
        }
    }
}

/// The load-balancer nodes.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Nodes {
    /// Number of them.
    pub count: usize,
    /// Time until clients notice that a node is down.
    pub noticed_after_ms: f64,
    /// Largest number of attempts for one request.
    pub attempts: usize,
    /// Whether two attempts of a request may be in flight at once.
    pub second_copies: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether boxes may be probed.
    pub probes: bool,
    /// Longest retry-after time that clients accept; 0: none can be given.
    pub max_retry_after_ms: f64,
    /// Smallest interval between events.
    pub tick_ms: f64,
}

impl Default for Nodes {
    fn default() -> Self {
        Self {
            count: 3,
            noticed_after_ms: 2000.0,
            attempts: 5,
            second_copies: true,
            cancel: true,
            probes: false,
            max_retry_after_ms: 1000.0,
            tick_ms: 1.0,
        }
    }
}

/// The box list: one service for all nodes.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct List {
    /// Shortest delay before it notices a change.
    pub notice_from_ms: f64,
    /// Longest delay before it notices a change.
    pub notice_to_ms: f64,
    /// Whether nodes watch it; otherwise changes are pushed to them.
    pub watched: bool,
    /// Calls that it handles per second, one after another.
    pub calls_per_s: f64,
    /// Time-out of a waiting call.
    pub call_timeout_ms: f64,
    /// How long it serves outdated state after it was down.
    pub stale_for_ms: f64,
}

impl Default for List {
    fn default() -> Self {
        Self {
            notice_from_ms: 300.0,
            notice_to_ms: 2500.0,
            watched: true,
            calls_per_s: 50.0,
            call_timeout_ms: 2000.0,
            stale_for_ms: 1000.0,
        }
    }
}

/// Limits of the four rules.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Time after a node learned of a drain within which its sends to the box must end.
    pub drain_grace_ms: f64,
    /// Time after which a drain counts as known to the nodes even if it was not.
    pub told_within_ms: f64,
    /// Longest time that a node may go without requesting the list.
    pub ask_within_ms: f64,
    /// A cold box falls over when it is sent more than this multiple of its current capacity ...
    pub fall_multiple: f64,
    /// ... over this time.
    pub fall_ms: f64,
    /// How long after the client's deadline a final answer still counts.
    pub answer_slack_ms: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            drain_grace_ms: 750.0,
            told_within_ms: 6000.0,
            ask_within_ms: 10_000.0,
            fall_multiple: 4.0,
            fall_ms: 1500.0,
            answer_slack_ms: 50.0,
        }
    }
}
