//! The rules for advertising addresses, as a settings document.

use std::fmt;
use std::net::IpAddr;

use magpietally_transport::Name;
use serde::{Deserialize, Serialize};

/// Maximum number of addresses: a report that requests all of them fits a proposal (64 bytes each of 64 KiB).
pub const ADDRESSES_MAX: usize = 256;
/// Maximum number of sites per address, far more than a route metric can usefully order.
pub const SITES_MAX: usize = 64;
/// Longest duration in the rules (one day); sums of a few durations cannot overflow `u64`.
const DURATION_MAX_MS: u32 = 86_400_000;

/// How many sites may advertise at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AddressKind {
    /// Any number of sites.
    Shared,
    /// At most one site, enforced by a lease in the log.
    Exclusive,
}

/// The rule of one address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressRule {
    /// The prefix in canonical form, such as `192.0.2.10/32`.
    pub prefix: String,
    /// How many sites may advertise it at once.
    pub kind: AddressKind,
    /// The metric (MED) announced with the route; lower values are preferred.
    pub med: u32,
    /// The sites that may advertise it, in order of preference.
    pub sites: Vec<Name>,
}

/// All rules. Durations are in milliseconds, shares in thousandths.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Rules {
    /// The addresses with their rules.
    pub addresses: Vec<AddressRule>,
    /// A site is withdrawn after it has been unhealthy for this time.
    pub hold_down: u32,
    /// A site advertises again after it has been healthy for this time, doubled for each flap not yet
    /// forgiven.
    pub hold_up: u32,
    /// Upper bound of the doubled hold-up.
    pub hold_up_max: u32,
    /// One flap is forgiven after a site has been healthy and the address unchanged for this time.
    pub calm: u32,
    /// At most one site per address is withdrawn within this time, apart from sites that are down.
    pub settling: u32,
    /// A site that answers less than this share in time is degraded.
    pub bad: u32,
    /// A degraded site is healthy again when it answers at least this share in time.
    pub good: u32,
    /// A site that answers less than this share is withdrawn even if the other sites cannot absorb its load.
    pub floor: u32,
    /// A site with fewer live nodes is degraded.
    pub nodes_min: u32,
    /// A site with fewer ready servers is degraded.
    pub boxes_min: u32,
    /// The router drops the routes of a speaker that has been silent for this time.
    pub router_hold: u32,
    /// Writing one batch of commands takes at most this time; otherwise the node closes the connection.
    pub write: u32,
    /// A speaker that lost contact with the log keeps its shared addresses announced for this time.
    pub keep_shared: u32,
}

impl Default for Rules {
    /// `docs/design/addresses.md` gives the reasons for these values.
    fn default() -> Self {
        Self {
            addresses: Vec::new(),
            hold_down: 2_000,
            hold_up: 5_000,
            hold_up_max: 300_000,
            calm: 60_000,
            settling: 10_000,
            bad: 800,
            good: 950,
            floor: 200,
            nodes_min: 1,
            boxes_min: 1,
            router_hold: 1_500,
            write: 200,
            keep_shared: 60_000,
        }
    }
}

/// An invalid rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RulesError {
    /// Path of the field, such as `addresses[1].prefix`.
    pub field: String,
    /// Why the value is invalid.
    pub reason: String,
}

impl fmt::Display for RulesError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

impl std::error::Error for RulesError {}

fn invalid<T>(field: impl Into<String>, reason: impl Into<String>) -> Result<T, RulesError> {
    Err(RulesError { field: field.into(), reason: reason.into() })
}

fn is_canonical_prefix(prefix: &str) -> bool {
    let Some((ip, length)) = prefix.split_once('/') else { return false };
    let (Ok(ip), Ok(bits)) = (ip.parse::<IpAddr>(), length.parse::<u8>()) else { return false };
    // Only the canonical form is accepted, so that two texts never denote the same prefix.
    bits <= if ip.is_ipv4() { 32 } else { 128 } && format!("{ip}/{bits}") == prefix
}

impl Rules {
    /// The rule of an address, if there is one.
    pub fn address(&self, prefix: &str) -> Option<&AddressRule> {
        self.addresses.iter().find(|a| a.prefix == prefix)
    }

    /// Validates the rules.
    ///
    /// # Errors
    /// The first invalid field.
    pub fn validate(&self) -> Result<(), RulesError> {
        if self.addresses.len() > ADDRESSES_MAX {
            return invalid("addresses", format!("at most {ADDRESSES_MAX}"));
        }
        for (i, a) in self.addresses.iter().enumerate() {
            if !is_canonical_prefix(&a.prefix) {
                return invalid(
                    format!("addresses[{i}].prefix"),
                    "not a canonical prefix such as 192.0.2.10/32",
                );
            }
            if self.addresses[..i].iter().any(|b| b.prefix == a.prefix) {
                return invalid(format!("addresses[{i}].prefix"), "listed twice");
            }
            if a.sites.is_empty() || a.sites.len() > SITES_MAX {
                return invalid(format!("addresses[{i}].sites"), format!("from 1 to {SITES_MAX} sites"));
            }
            if a.sites.iter().enumerate().any(|(j, s)| s.as_str().is_empty() || a.sites[..j].contains(s)) {
                return invalid(format!("addresses[{i}].sites"), "an empty name or a name listed twice");
            }
        }
        let durations = [
            ("hold_down", self.hold_down),
            ("hold_up", self.hold_up),
            ("hold_up_max", self.hold_up_max),
            ("calm", self.calm),
            ("settling", self.settling),
            ("router_hold", self.router_hold),
            ("write", self.write),
            ("keep_shared", self.keep_shared),
        ];
        for (field, ms) in durations {
            if ms == 0 || ms > DURATION_MAX_MS {
                return invalid(field, format!("from 1 to {DURATION_MAX_MS} ms"));
            }
        }
        if self.hold_up_max < self.hold_up {
            return invalid("hold_up_max", "less than hold_up");
        }
        if self.good > 1000 || self.bad > self.good {
            return invalid("bad", "greater than good, or good greater than 1000");
        }
        if self.floor > self.bad {
            return invalid("floor", "greater than bad");
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
