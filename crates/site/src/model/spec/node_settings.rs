//! The settings that the nodes of a site get.

use magpietally_policy as policy;

use super::{Class, Effect, KeyGroup, Site, Tenant};

impl Site {
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
