//! The start configuration of a node, in the platform's JSON format.

use std::net::SocketAddr;

use serde_json::{json, Value};

use super::list::host_list;
use super::stage::Harness;
use crate::model::random::{Purpose, Stream};
use crate::model::spec::{Class, Effect, KeyGroup, Tenant};

/// Memory in MB and number of sockets available to a node, as in the platform's larger installations.
const MEMORY_MB_AND_SOCKETS: (u64, u64) = (192, 1024);

/// Builds the configuration of a node that reaches the discovery service at `list_address`.
pub(super) fn node_config(harness: &Harness, node_index: usize, list_address: SocketAddr) -> Value {
    let site = &harness.site;
    let (nodes, rules) = (&site.nodes, &site.rules);
    let incarnation = harness.state.borrow().nodes[node_index].incarnation;
    let seed =
        Stream::new(harness.seed ^ ((node_index as u64) << 32) ^ u64::from(incarnation), Purpose::Nodes)
            .number();
    let class = |c: &Class| {
        json!({
            "Name": c.name, "Slo": c.aim_ms, "Deadline": c.deadline_ms, "Value": c.worth, "LateValue": 0.0,
            "Stream": false, "MemorySpan": c.key_span_ms,
            "DedupScope": match c.key_group { KeyGroup::All => "all", KeyGroup::Zone => "zone" },
            "Idempotency": match c.effect {
                Effect::Safe => "pure",
                Effect::Keyed => "token",
                Effect::Unsafe => "side_effect",
            },
        })
    };
    let tenant = |t: &Tenant| json!({"Name": t.name, "QuotaPerS": t.quota_per_s, "Share": t.share});
    json!({
        "name": format!("node-{node_index}"), "listen": "127.0.0.1:0", "discovery": list_address.to_string(),
        "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB_AND_SOCKETS.0, "sockets": MEMORY_MB_AND_SOCKETS.1},
        "known": {"seq": 0, "whole": true, "hosts": host_list(harness)},
        "settings": {
            "Classes": site.clients.classes.iter().map(class).collect::<Vec<_>>(),
            "Customers": site.clients.tenants.iter().map(tenant).collect::<Vec<_>>(),
            "Contract": {
                "AnswerSlack": rules.answer_slack_ms, "AskWithin": rules.ask_within_ms,
                "ColdShare": site.cold_share(), "WarmWithin": site.warm_within_ms(), "DrainGrace": rules.drain_grace_ms,
                "FallMultiple": rules.fall_multiple, "Fall": rules.fall_ms,
            },
            "Discovery": "subscribe", "Weights": "nominal",
            "Goal": {"Whole": 0.45, "WorstWindow": 0.15, "WorstClass": 0.3, "WorstTenant": 0.1},
            "Limits": {
                "AttemptsCap": nodes.attempts, "MayDuplicate": nodes.second_copies, "Cancel": nodes.cancel,
                "Probes": nodes.probes, "ConnectTimeout": site.network.connect_timeout_ms,
                "Keepalive": site.network.keepalive_ms, "MaxRetryAfter": nodes.max_retry_after_ms,
                "RetryAfter": nodes.max_retry_after_ms > 0.0, "OpenCap": 20000,
            },
            "OverShareWorth": site.clients.over_share_worth,
            "Me": node_index, "PeersTotal": nodes.count, "Tick": nodes.tick_ms,
        }
    })
}
