//! The clients of a site, with their classes and tenants.

use serde::{Deserialize, Serialize};

/// The clients and their behaviour.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// First tries per second; alternative to `load`.
    pub rate_per_s: Option<f64>,
    /// Requested work as a share of the warm capacity of all boxes.
    pub load: Option<f64>,
    /// Amplitude of the swing of the rate, as a share of its mean.
    #[serde(default)]
    pub swing: f64,
    /// Period of the swing.
    #[serde(default = "swing_s")]
    pub swing_s: f64,
    /// Largest number of retries of a request.
    #[serde(default)]
    pub retries: u32,
    /// Backoff before the first retry; doubled for each further one.
    #[serde(default = "backoff_ms")]
    pub backoff_ms: f64,
    /// Share of the clients that honour `Retry-After`.
    #[serde(default = "super::one")]
    pub heed_retry_after: f64,
    /// Share of the requests that arrive with little time left.
    #[serde(default)]
    pub hurried: f64,
    /// Shortest time left of such requests.
    #[serde(default = "hurried_from_ms")]
    pub hurried_from_ms: f64,
    /// Longest time left of such requests.
    #[serde(default = "hurried_to_ms")]
    pub hurried_to_ms: f64,
    /// Number of different keys of requests.
    #[serde(default = "keys")]
    pub keys: usize,
    /// The n-th key is requested n^-skew times as often as the first.
    #[serde(default)]
    pub key_skew: f64,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's quota, as a share of its class's worth.
    #[serde(default = "over_share_worth")]
    pub over_share_worth: f64,
}

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Any number of times.
    Safe,
    /// Boxes drop repeats for a limited time.
    Keyed,
    /// Never.
    Unsafe,
}

/// Which boxes drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum KeyGroup {
    /// All boxes.
    All,
    /// The boxes of one zone.
    Zone,
}

/// A request class.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its weight among all classes.
    pub share: f64,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Time from the first try within which an answer counts as in time.
    pub aim_ms: f64,
    /// How long a client waits in all.
    pub deadline_ms: f64,
    /// Whether it may run again.
    pub effect: Effect,
    /// For keyed classes: how long boxes remember a request, from the first attempt.
    #[serde(default)]
    pub key_span_ms: f64,
    /// For keyed classes: which boxes remember it.
    #[serde(default = "key_group")]
    pub key_group: KeyGroup,
    /// Mean work on a standard core.
    pub work_ms: f64,
    /// Coefficient of variation of the work: 0 is constant, 1 exponential.
    #[serde(default)]
    pub work_cv: f64,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its weight among all tenants.
    pub share: f64,
    /// Requests per second within its quota.
    pub quota_per_s: f64,
}

fn swing_s() -> f64 {
    10.0
}

fn backoff_ms() -> f64 {
    50.0
}

fn hurried_from_ms() -> f64 {
    40.0
}

fn hurried_to_ms() -> f64 {
    80.0
}

fn keys() -> usize {
    500
}

fn over_share_worth() -> f64 {
    0.1
}

fn key_group() -> KeyGroup {
    KeyGroup::All
}
