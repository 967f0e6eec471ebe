//! The rules of advertising, as a document.

use std::fmt;
use std::net::IpAddr;

use magpietally_transport::Name;
use serde::{Deserialize, Serialize};

/// Addresses at most: one report may claim them all and still fits a proposal (64 bytes each of 64 KiB).
pub const ADDRESSES_MAX: usize = 256;
/// Sites an address at most; far above what a route's metric can order usefully.
pub const SITES_MAX: usize = 64;
/// The longest time a rule may state, in milliseconds (a day): sums of a few stay far inside `u64`.
const DURATION_MAX_MS: u32 = 86_400_000;

/// How many sites may advertise at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AddressKind {
    /// Any number.
    Shared,
    /// At most one, by a lease in the log.
    Exclusive,
}

/// One address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressRule {
    /// As `192.0.2.10/32`.
    pub prefix: String,
    /// How many sites at once.
    pub kind: AddressKind,
    /// The metric said with it: the lower is preferred.
    pub med: u32,
    /// Who may advertise it, the preferred first.
    pub sites: Vec<Name>,
}

/// All rules. Times in milliseconds, shares in thousandths.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Rules {
    /// The addresses.
    pub addresses: Vec<AddressRule>,
    /// Health lost for so long withdraws.
    pub hold_down: u32,
    /// Health held for so long advertises again; doubled by each flap that is not yet forgiven.
    pub hold_up: u32,
    /// The doubled hold-up is at most this.
    pub hold_up_max: u32,
    /// Advertised without a withdrawal for so long, one flap is forgiven.
    pub calm: u32,
    /// One site an address is withdrawn in this time, deaths aside.
    pub settling: u32,
    /// Answered in time below this share: sick.
    pub bad: u32,
    /// Answered in time from this share on: well again.
    pub good: u32,
    /// A site that answers less than this share is withdrawn even if the rest can't bear its load.
    pub floor: u32,
    /// Fewer nodes alive: sick.
    pub nodes_min: u32,
    /// Fewer boxes ready: sick.
    pub boxes_min: u32,
    /// The router drops routes of a speaker that is silent for so long.
    pub router_hold: u32,
    /// The carrier's write of one batch of lines takes at most this, or the carrier closes its end.
    pub write: u32,
    /// A speaker that lost the log keeps its shared addresses for so long.
    pub keep_shared: u32,
}

impl Default for Rules {
    /// Reasons stand in `docs/design/addresses.md`.
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

/// What is wrong with rules: the field and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RulesError {
    /// As `addresses[1].prefix`.
    pub field: String,
    /// What is wrong with it.
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
    // Only the plain form, so that two texts never mean one prefix.
    bits <= if ip.is_ipv4() { 32 } else { 128 } && format!("{ip}/{bits}") == prefix
}

impl Rules {
    /// The rule of an address.
    pub fn address(&self, prefix: &str) -> Option<&AddressRule> {
        self.addresses.iter().find(|a| a.prefix == prefix)
    }

    /// Whether the rules can be followed.
    ///
    /// # Errors
    /// The first field that can't, by name.
    pub fn validate(&self) -> Result<(), RulesError> {
        if self.addresses.len() > ADDRESSES_MAX {
            return invalid("addresses", format!("at most {ADDRESSES_MAX}"));
        }
        for (i, a) in self.addresses.iter().enumerate() {
            if !is_canonical_prefix(&a.prefix) {
                return invalid(format!("addresses[{i}].prefix"), "not a prefix as 192.0.2.10/32");
            }
            if self.addresses[..i].iter().any(|b| b.prefix == a.prefix) {
                return invalid(format!("addresses[{i}].prefix"), "named twice");
            }
            if a.sites.is_empty() || a.sites.len() > SITES_MAX {
                return invalid(format!("addresses[{i}].sites"), format!("from 1 to {SITES_MAX} sites"));
            }
            if a.sites.iter().enumerate().any(|(j, s)| s.as_str().is_empty() || a.sites[..j].contains(s)) {
                return invalid(format!("addresses[{i}].sites"), "an empty name or one named twice");
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
            return invalid("hold_up_max", "under hold_up");
        }
        if self.good > 1000 || self.bad > self.good {
            return invalid("bad", "over good, or good over 1000");
        }
        if self.floor > self.bad {
            return invalid("floor", "over bad");
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
