//! Checks of a site file. Each error names its field.

use std::collections::BTreeSet;

use super::{Effect, Site};

/// Collects the errors of a site file, each with its field.
pub(in crate::model) struct Checks(pub(in crate::model) Vec<String>);

impl Checks {
    pub(in crate::model) fn reject_if(&mut self, wrong: bool, field: impl AsRef<str>, words: &str) {
        if wrong {
            self.0.push(format!("{}: {words}", field.as_ref()));
        }
    }

    /// Requires a finite value of at least `least`.
    pub(in crate::model) fn amount(&mut self, field: impl AsRef<str>, value: f64, least: f64) {
        let field = field.as_ref();
        self.reject_if(
            !(value.is_finite() && value >= least),
            field,
            &format!("{value} is not {least} or more"),
        );
    }

    pub(in crate::model) fn above(&mut self, field: impl AsRef<str>, value: f64) {
        self.reject_if(!(value.is_finite() && value > 0.0), field, &format!("{value} is not above 0"));
    }

    pub(in crate::model) fn fraction(&mut self, field: impl AsRef<str>, value: f64) {
        self.reject_if(!(0.0..=1.0).contains(&value), field, &format!("{value} is no part of 0 to 1"));
    }

    pub(in crate::model) fn ordered(&mut self, field: impl AsRef<str>, low: f64, high: f64, of: &str) {
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
}
