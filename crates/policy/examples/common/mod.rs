//! Shared by the measurements: a node's settings, its servers, and the memory of the process.

use magpietally_policy::{
    Class, Discovery, Goal, Limits, ListedState, Millis, Rules, ServerEntry, ServerId, Settings, Weights,
};
use magpietally_structures::GOLDEN_GAMMA;

/// Settings of the first of so many nodes, with the platform's usual rules.
pub fn settings(nodes: usize, classes: Vec<Class>) -> Settings {
    Settings {
        number: 0,
        nodes,
        classes,
        tenants: Vec::new(),
        over_share_worth: 0.5,
        goal: Goal { worth: 0.6, worst_class: 0.3, worst_tenant: 0.1 },
        limits: Limits {
            attempts: 3,
            second_copies: false,
            cancel: true,
            probes: true,
            connect_timeout: 150.0,
            max_retry_after: 1000.0,
        },
        rules: Rules {
            ask_within: 10_000.0,
            cold_share: 0.2,
            warm_within: 20_000.0,
            fall_multiple: 3.0,
            fall_window: 1000.0,
            drain_grace: 750.0,
        },
        discovery: Discovery::Pushed,
        weights: Weights::Listed,
        tick: 1.0,
        ..Settings::default()
    }
}

/// The entry of a server by its number; the ids are in no order.
pub fn entry(n: u64, state: ListedState, started: Option<Millis>) -> ServerEntry {
    let server = ServerId(n.wrapping_mul(GOLDEN_GAMMA));
    ServerEntry { server, zone: n % 3, cell: n % 3, kind: 0, state, weight: 1.0, started }
}

/// Resident memory of the process in KiB; 0 if unknown.
pub fn memory() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
