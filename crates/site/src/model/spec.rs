//! The site file, in TOML. Unknown fields are rejected, units are part of the names, and [`Site::check`]
//! reports each invalid field.

use std::collections::BTreeSet;

use magpietally_policy as policy;
use serde::{Deserialize, Serialize};

use super::faults::Fault;

/// A site.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// How long requests arrive.
    pub for_s: f64,
    /// Names of the zones.
    #[serde(default = "one_zone")]
    pub zones: Vec<String>,
    /// Network delays.
    #[serde(default)]
    pub network: Network,
    /// The nodes.
    #[serde(default)]
    pub nodes: Nodes,
    /// Kinds of app boxes.
    pub boxes: Vec<BoxKind>,
    /// The service that lists the boxes.
    #[serde(default)]
    pub list: List,
    /// The clients.
    pub clients: Clients,
    /// Limits of the four rules.
    #[serde(default)]
    pub rules: Rules,
    /// Scheduled faults.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

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
    #[serde(default = "one")]
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
    #[serde(default = "one")]
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
    #[serde(default = "one")]
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

fn one_zone() -> Vec<String> {
    vec!["here".into()]
}
fn one() -> f64 {
    1.0
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

/// Collects the errors of a site file, each with its field.
pub(super) struct Checks(pub(super) Vec<String>);

impl Checks {
    pub(super) fn reject_if(&mut self, wrong: bool, field: impl AsRef<str>, words: &str) {
        if wrong {
            self.0.push(format!("{}: {words}", field.as_ref()));
        }
    }

    /// Requires a finite value of at least `least`.
    pub(super) fn amount(&mut self, field: impl AsRef<str>, value: f64, least: f64) {
        let field = field.as_ref();
        self.reject_if(
            !(value.is_finite() && value >= least),
            field,
            &format!("{value} is not {least} or more"),
        );
    }

    pub(super) fn above(&mut self, field: impl AsRef<str>, value: f64) {
        self.reject_if(!(value.is_finite() && value > 0.0), field, &format!("{value} is not above 0"));
    }

    pub(super) fn fraction(&mut self, field: impl AsRef<str>, value: f64) {
        self.reject_if(!(0.0..=1.0).contains(&value), field, &format!("{value} is no part of 0 to 1"));
    }

    pub(super) fn ordered(&mut self, field: impl AsRef<str>, low: f64, high: f64, of: &str) {
        self.reject_if(low > high, field, &format!("{high} is below {of}, {low}"));
    }

    fn unique_names<'a>(&mut self, field: &str, names: impl Iterator<Item = &'a String>) {
        let mut seen = BTreeSet::new();
        for (n, name) in names.enumerate() {
            self.reject_if(name.is_empty(), format!("{field}[{n}]"), "a name is empty");
            self.reject_if(!seen.insert(name), format!("{field}[{n}]"), &format!("{name:?} is there twice"));
        }
    }
}

/// Largest number of boxes and of nodes of a site.
const BOXES_AND_NODES_MAX: (usize, usize) = (20_000, 2_000);

impl Site {
    /// Parses a site file and checks it.
    ///
    /// # Errors
    /// One line for each error; syntax errors name line and column.
    pub fn parse(text: &str) -> Result<Self, Vec<String>> {
        let site: Self = toml::from_str(text).map_err(|e| vec![e.to_string().trim_end().to_string()])?;
        site.check()?;
        Ok(site)
    }

    /// Number of boxes.
    pub fn box_count(&self) -> usize {
        self.boxes.iter().map(|k| k.count).sum()
    }

    /// Names of the boxes, kind by kind.
    pub fn box_names(&self) -> Vec<String> {
        let of = |k: &BoxKind| (0..k.count).map(|n| format!("{}-{n}", k.name)).collect::<Vec<_>>();
        self.boxes.iter().flat_map(of).collect()
    }

    /// Kind of each box, by its index.
    pub fn box_kinds(&self) -> Vec<usize> {
        let of = |(n, k): (usize, &BoxKind)| std::iter::repeat_n(n, k.count);
        self.boxes.iter().enumerate().flat_map(of).collect()
    }

    /// Smallest share of its capacity that any box starts with.
    pub fn cold_share(&self) -> f64 {
        self.boxes.iter().map(|k| k.cold_share).fold(f64::INFINITY, f64::min)
    }

    /// Time after which every box is warm, in milliseconds.
    pub fn warm_within_ms(&self) -> f64 {
        self.boxes.iter().map(|k| k.warm_s * 1000.0).fold(0.0, f64::max)
    }

    /// Longest time that a client waits, in milliseconds.
    pub fn longest_deadline_ms(&self) -> f64 {
        self.clients.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max)
    }

    /// Mean work of a request, in milliseconds of a standard core.
    pub fn mean_work_ms(&self) -> f64 {
        let shares: f64 = self.clients.classes.iter().map(|c| c.share).sum();
        self.clients.classes.iter().map(|c| c.share * c.work_ms).sum::<f64>() / shares
    }

    /// Requests per second that all boxes can serve when warm.
    pub fn capacity_per_s(&self) -> f64 {
        let cores: f64 = self.boxes.iter().map(|k| k.count as f64 * f64::from(k.cores) * k.speed).sum();
        cores * 1000.0 / self.mean_work_ms()
    }

    /// Mean number of first tries per second.
    pub fn rate_per_s(&self) -> f64 {
        let load = || self.clients.load.unwrap_or(0.0) * self.capacity_per_s();
        self.clients.rate_per_s.unwrap_or_else(load)
    }

    /// Checks that the site is valid.
    ///
    /// # Errors
    /// One line for each error, with its field.
    pub fn check(&self) -> Result<(), Vec<String>> {
        let mut c = Checks(Vec::new());
        c.above("for_s", self.for_s);
        c.reject_if(self.zones.is_empty(), "zones", "there is none");
        c.unique_names("zones", self.zones.iter());
        self.check_network(&mut c);
        self.check_boxes(&mut c);
        self.check_clients(&mut c);
        for (n, fault) in self.faults.iter().enumerate() {
            fault.check(&format!("faults[{n}]"), self, &mut c);
        }
        if c.0.is_empty() {
            Ok(())
        } else {
            Err(c.0)
        }
    }

    fn check_network(&self, c: &mut Checks) {
        let (n, l, r) = (&self.network, &self.list, &self.rules);
        for (field, value) in [
            ("network.same_zone_ms", n.same_zone_ms),
            ("network.cross_zone_ms", n.cross_zone_ms),
            ("network.client_ms", n.client_ms),
            ("network.jitter", n.jitter),
            ("nodes.noticed_after_ms", self.nodes.noticed_after_ms),
            ("nodes.max_retry_after_ms", self.nodes.max_retry_after_ms),
            ("list.notice_from_ms", l.notice_from_ms),
            ("list.stale_for_ms", l.stale_for_ms),
            ("rules.drain_grace_ms", r.drain_grace_ms),
            ("rules.answer_slack_ms", r.answer_slack_ms),
        ] {
            c.amount(field, value, 0.0);
        }
        for (field, value) in [
            ("network.connect_timeout_ms", n.connect_timeout_ms),
            ("network.keepalive_ms", n.keepalive_ms),
            ("nodes.tick_ms", self.nodes.tick_ms),
            ("list.calls_per_s", l.calls_per_s),
            ("list.call_timeout_ms", l.call_timeout_ms),
            ("rules.told_within_ms", r.told_within_ms),
            ("rules.ask_within_ms", r.ask_within_ms),
            ("rules.fall_multiple", r.fall_multiple),
            ("rules.fall_ms", r.fall_ms),
        ] {
            c.above(field, value);
        }
        c.ordered("list.notice_to_ms", l.notice_from_ms, l.notice_to_ms, "list.notice_from_ms");
        let (count, attempts) = (self.nodes.count, self.nodes.attempts);
        c.reject_if(
            !(1..=BOXES_AND_NODES_MAX.1).contains(&count),
            "nodes.count",
            &format!("{count} is not 1 to {}", BOXES_AND_NODES_MAX.1),
        );
        c.reject_if(attempts == 0, "nodes.attempts", "one is needed at least");
    }

    fn check_boxes(&self, c: &mut Checks) {
        c.unique_names("boxes", self.boxes.iter().map(|k| &k.name));
        let count = self.box_count();
        c.reject_if(
            !(1..=BOXES_AND_NODES_MAX.0).contains(&count),
            "boxes",
            &format!("{count} in all is not 1 to {}", BOXES_AND_NODES_MAX.0),
        );
        for (n, k) in self.boxes.iter().enumerate() {
            let at = |field: &str| format!("boxes[{n}].{field}");
            c.reject_if(k.cores == 0, at("cores"), "one is needed at least");
            c.reject_if(k.slots == Some(0), at("slots"), "one is needed at least");
            c.above(at("speed"), k.speed);
            c.fraction(at("speed_spread"), k.speed_spread);
            c.reject_if(
                k.cold_share <= 0.0,
                at("cold_share"),
                "a box that starts with nothing never warms up",
            );
            c.fraction(at("cold_share"), k.cold_share);
            c.above(at("warm_s"), k.warm_s);
            c.amount(at("crowded_from"), k.crowded_from, 1.0);
            c.fraction(at("crowded_loss"), k.crowded_loss);
            c.fraction(at("known_key_work"), k.known_key_work);
            c.amount(at("handshake_ms"), k.handshake_ms, 0.0);
            c.reject_if(k.connections == 0, at("connections"), "one is needed at least");
            c.fraction(at("errors"), k.errors);
        }
    }

    fn check_clients(&self, c: &mut Checks) {
        let w = &self.clients;
        let both = w.rate_per_s.is_some() == w.load.is_some();
        c.reject_if(both, "clients", "one of rate_per_s and load is needed, and not both");
        c.reject_if(w.classes.is_empty(), "clients.classes", "one is needed at least");
        c.above("clients.rate_per_s", w.rate_per_s.unwrap_or(1.0));
        c.above("clients.load", w.load.unwrap_or(1.0));
        c.fraction("clients.swing", w.swing);
        c.above("clients.swing_s", w.swing_s);
        c.amount("clients.backoff_ms", w.backoff_ms, 0.0);
        c.fraction("clients.heed_retry_after", w.heed_retry_after);
        c.fraction("clients.hurried", w.hurried);
        c.amount("clients.hurried_from_ms", w.hurried_from_ms, 1.0);
        c.ordered("clients.hurried_to_ms", w.hurried_from_ms, w.hurried_to_ms, "clients.hurried_from_ms");
        c.reject_if(w.keys == 0, "clients.keys", "one is needed at least");
        c.amount("clients.key_skew", w.key_skew, 0.0);
        c.fraction("clients.over_share_worth", w.over_share_worth);
        c.unique_names("clients.classes", w.classes.iter().map(|x| &x.name));
        c.unique_names("clients.tenants", w.tenants.iter().map(|x| &x.name));
        for (n, k) in w.classes.iter().enumerate() {
            let at = |field: &str| format!("clients.classes[{n}].{field}");
            c.above(at("share"), k.share);
            c.amount(at("worth"), k.worth, 0.0);
            c.above(at("aim_ms"), k.aim_ms);
            c.ordered(at("deadline_ms"), k.aim_ms, k.deadline_ms, "its aim_ms");
            c.above(at("work_ms"), k.work_ms);
            c.amount(at("work_cv"), k.work_cv, 0.0);
            let keyed = k.effect == Effect::Keyed;
            c.reject_if(
                keyed != (k.key_span_ms > 0.0),
                at("key_span_ms"),
                "goes with keyed classes, and only there",
            );
        }
        for (n, t) in w.tenants.iter().enumerate() {
            c.above(format!("clients.tenants[{n}].share"), t.share);
            c.above(format!("clients.tenants[{n}].quota_per_s"), t.quota_per_s);
        }
    }

    /// Settings of a node of this site.
    pub fn settings(&self, number: usize) -> policy::Settings {
        let (n, r) = (&self.nodes, &self.rules);
        let class = |c: &Class| policy::Class {
            aim: c.aim_ms,
            worth: c.worth,
            late_worth: 0.0,
            effect: match c.effect {
                Effect::Safe => policy::Effect::Safe,
                Effect::Unsafe => policy::Effect::Unsafe,
                Effect::Keyed => policy::Effect::Keyed {
                    scope: match c.key_group {
                        KeyGroup::All => policy::DedupScope::All,
                        KeyGroup::Zone => policy::DedupScope::Zone,
                    },
                    memory: c.key_span_ms,
                },
            },
        };
        let tenant = |t: &Tenant| policy::Tenant { quota_per_s: t.quota_per_s };
        policy::Settings {
            number,
            nodes: n.count,
            classes: self.clients.classes.iter().map(class).collect(),
            tenants: self.clients.tenants.iter().map(tenant).collect(),
            over_share_worth: self.clients.over_share_worth,
            goal: policy::Goal { worth: 0.6, worst_class: 0.3, worst_tenant: 0.1 },
            limits: policy::Limits {
                attempts: n.attempts,
                second_copies: n.second_copies,
                cancel: n.cancel,
                probes: n.probes,
                connect_timeout: self.network.connect_timeout_ms,
                max_retry_after: n.max_retry_after_ms,
            },
            rules: policy::Rules {
                ask_within: r.ask_within_ms,
                cold_share: self.cold_share(),
                warm_within: self.warm_within_ms(),
                fall_multiple: r.fall_multiple,
                fall_window: r.fall_ms,
                drain_grace: r.drain_grace_ms,
            },
            discovery: if self.list.watched { policy::Discovery::Polled } else { policy::Discovery::Pushed },
            weights: policy::Weights::Listed,
            tick: n.tick_ms,
            tuning: policy::Tuning::default(),
        }
    }
}
