//! The site file, in TOML. Unknown fields are rejected, units are part of the names, and [`Site::check`]
//! reports each invalid field.

mod boxes;
mod check;
mod clients;
mod node_settings;
mod platform;

use serde::{Deserialize, Serialize};

use super::faults::Fault;
pub use boxes::{BoxKind, CancelStops, WarmBy};
pub(super) use check::Checks;
pub use clients::{Class, Clients, Effect, KeyGroup, Tenant};
pub use platform::{List, Network, Nodes, Rules};

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

fn one_zone() -> Vec<String> {
    vec!["here".into()]
}

/// The default of shares and factors.
fn one() -> f64 {
    1.0
}

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
}
