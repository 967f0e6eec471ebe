//! What a node is told at its start, in the platform's words.

use std::net::SocketAddr;

use serde_json::{json, Value};

use super::list::hosts;
use super::stage::Stage;
use crate::model::random::{Purpose, Stream};
use crate::model::spec::{Class, Effect, KeyGroup, Tenant};

/// Memory and descriptors of a node, as on the platform's larger days.
const LIMITS: (u64, u64) = (192, 1024);

/// The configuration of a node whose list is at this address.
pub(super) fn of_node(stage: &Stage, n: usize, list_at: SocketAddr) -> Value {
    let site = &stage.site;
    let (nodes, rules) = (&site.nodes, &site.rules);
    let life = stage.state.borrow().nodes[n].life;
    let seed = Stream::new(stage.seed ^ ((n as u64) << 32) ^ u64::from(life), Purpose::Nodes).number();
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
        "name": format!("node-{n}"), "listen": "127.0.0.1:0", "discovery": list_at.to_string(),
        "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": LIMITS.0, "sockets": LIMITS.1},
        "known": {"seq": 0, "whole": true, "hosts": hosts(stage)},
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
            "Me": n, "PeersTotal": nodes.count, "Tick": nodes.tick_ms,
        }
    })
}
