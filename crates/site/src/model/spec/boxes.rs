//! The app boxes of a site.

use serde::{Deserialize, Serialize};

/// How cold boxes warm up.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum WarmBy {
    /// Evenly with time.
    Time,
    /// With the requests that they have served, at least as fast as with time.
    Requests,
}

/// Effect of a cancellation at the box.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum CancelStops {
    /// None: the work is done all the same.
    Nothing,
    /// Queued requests are dropped.
    Waiting,
    /// Queued and running requests are stopped.
    All,
}

/// App boxes of one kind.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BoxKind {
    /// Name of the kind; its boxes are named after it with a number from 0: `std-0`.
    pub name: String,
    /// Number of them.
    pub count: usize,
    /// Cores of each box.
    #[serde(default = "two")]
    pub cores: u32,
    /// Work done per second by a core, in seconds of a standard core.
    #[serde(default = "super::one")]
    pub speed: f64,
    /// Largest random deviation of the speed, as a share of it.
    #[serde(default)]
    pub speed_spread: f64,
    /// Largest number of running requests; the number of cores where absent.
    pub slots: Option<usize>,
    /// Largest number of queued requests; further ones are rejected without any work.
    #[serde(default = "waiting")]
    pub waiting: usize,
    /// Share of its capacity that a box has when it starts.
    #[serde(default = "cold_share")]
    pub cold_share: f64,
    /// Time after its start at which it has its full capacity at the latest.
    #[serde(default = "warm_s")]
    pub warm_s: f64,
    /// How it warms up.
    #[serde(default = "warm_by")]
    pub warm_by: WarmBy,
    /// Number of running and queued requests per core above which a box loses efficiency.
    #[serde(default = "crowded_from")]
    pub crowded_from: f64,
    /// Share of its capacity that each further request per core costs, down to about a third in all.
    #[serde(default)]
    pub crowded_loss: f64,
    /// Number of recently used keys that a box remembers.
    #[serde(default)]
    pub keys_kept: usize,
    /// Share of its work that a request with a remembered key costs.
    #[serde(default = "super::one")]
    pub known_key_work: f64,
    /// Work of a new connection.
    #[serde(default)]
    pub handshake_ms: f64,
    /// Largest number of connections; further ones are refused.
    #[serde(default = "connections")]
    pub connections: usize,
    /// What a cancellation stops.
    #[serde(default = "cancel_stops")]
    pub cancel_stops: CancelStops,
    /// Whether it drops queued requests after their deadline.
    #[serde(default = "yes")]
    pub drops_expired: bool,
    /// Share of the requests that end with an error; half of them have done their work.
    #[serde(default)]
    pub errors: f64,
    /// Whether it is listed with its size; otherwise with 1.
    #[serde(default = "yes")]
    pub listed_by_size: bool,
}

impl BoxKind {
    /// Size of a box according to the list.
    pub fn listed_size(&self) -> f64 {
        if self.listed_by_size {
            f64::from(self.cores) * self.speed
        } else {
            1.0
        }
    }
}

fn two() -> u32 {
    2
}

fn yes() -> bool {
    true
}

fn waiting() -> usize {
    400
}

fn cold_share() -> f64 {
    0.2
}

fn warm_s() -> f64 {
    15.0
}

fn warm_by() -> WarmBy {
    WarmBy::Time
}

fn crowded_from() -> f64 {
    4.0
}

fn connections() -> usize {
    1000
}

fn cancel_stops() -> CancelStops {
    CancelStops::Waiting
}
