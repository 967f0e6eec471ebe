//! Reads the settings object that the platform passes to a node, and the simulator to an instance, into the
//! policy's [`Settings`] and the values that only a node with sockets needs. Unknown keys are ignored. A
//! value that is missing, of another type, out of range or an unknown word is an error that names its path in
//! the object. There are no defaults, so that no value of one deployment applies to another that does not set
//! it.

mod fields;

use magpietally_policy::{
    Class, DedupScope, Discovery, Effect, Goal, Limits, Millis, Rules, Settings, Tenant, Tuning, Weights,
};
use serde_json::Value;

pub use fields::{integer, list, number, optional_number, string, FieldError, Fields, Range};

/// The maximum number of nodes. Larger values are rejected because shares are computed from products with it.
const NODES_MAX: u64 = 1_000_000;

fn class(f: &Fields) -> Result<(Class, Millis), FieldError> {
    let scopes = [("all", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Cell)];
    #[derive(Clone, Copy)]
    enum EffectKind {
        Safe,
        Keyed,
        Unsafe,
    }
    let effects =
        [("pure", EffectKind::Safe), ("token", EffectKind::Keyed), ("side_effect", EffectKind::Unsafe)];
    let effect = match f.choice("Idempotency", &effects)? {
        EffectKind::Safe => Effect::Safe,
        EffectKind::Unsafe => Effect::Unsafe,
        EffectKind::Keyed => Effect::Keyed {
            scope: f.choice("DedupScope", &scopes)?,
            memory: f.number_in("MemorySpan", Range::Positive)?,
        },
    };
    let class = Class {
        aim: f.number_in("Slo", Range::Positive)?,
        worth: f.number_in("Value", Range::NonNegative)?,
        late_worth: f.number_in("LateValue", Range::Share)?,
        effect,
    };
    Ok((class, f.number_in("Deadline", Range::Positive)?))
}

fn tenant(f: &Fields) -> Result<Tenant, FieldError> {
    // Only the rate is used; an invalid share means that the two were mixed up.
    if f.optional_number_in("Share", Range::Share)? == Some(0.0) {
        return Err(format!("{}: 0: must be above 0", f.path("Share")));
    }
    Ok(Tenant { quota_per_s: f.number_in("QuotaPerS", Range::NonNegative)? })
}

fn limits(f: &Fields) -> Result<Limits, FieldError> {
    Ok(Limits {
        attempts: usize::try_from(f.integer_at_least("AttemptsCap", 1)?).unwrap_or(usize::MAX),
        second_copies: f.flag("MayDuplicate")?,
        cancel: f.flag("Cancel")?,
        probes: f.flag("Probes")?,
        connect_timeout: f.number_in("ConnectTimeout", Range::Positive)?,
        max_retry_after: if f.flag("RetryAfter")? {
            f.number_in("MaxRetryAfter", Range::NonNegative)?
        } else {
            0.0
        },
    })
}

fn rules(f: &Fields) -> Result<Rules, FieldError> {
    Ok(Rules {
        ask_within: f.number_in("AskWithin", Range::Positive)?,
        cold_share: f.number_in("ColdShare", Range::Share)?,
        warm_within: f.number_in("WarmWithin", Range::NonNegative)?,
        fall_multiple: f.number_in("FallMultiple", Range::Positive)?,
        fall_window: f.number_in("Fall", Range::Positive)?,
        drain_grace: f.number_in("DrainGrace", Range::NonNegative)?,
    })
}

/// The contents of the settings object: the policy's settings, and what only a node with sockets needs.
#[derive(Clone, Debug)]
pub struct ReceivedSettings {
    /// The policy's settings.
    pub settings: Settings,
    /// The names of the classes, by index.
    pub classes: Vec<String>,
    /// The deadline of each class, by index: how long its clients wait in total.
    pub deadlines: Vec<Millis>,
    /// The names of the tenants, by index.
    pub tenants: Vec<String>,
    /// How long a connection may be idle before servers close it.
    pub keepalive: Millis,
    /// The maximum number of open requests of a node.
    pub open_cap: usize,
}

impl ReceivedSettings {
    /// The longest deadline of a class.
    pub fn longest_deadline(&self) -> Millis {
        self.deadlines.iter().copied().fold(0.0, f64::max)
    }
}

/// Parses the settings object of a node with sockets.
///
/// # Errors
/// The first field that is missing or invalid, as in `settings.Classes[1].Deadline is missing`.
pub fn parse(value: &Value) -> Result<ReceivedSettings, FieldError> {
    parse_named(value, "settings")
}

/// Parses a settings object that error messages call `name`.
///
/// # Errors
/// The first field that is missing or invalid.
pub fn parse_named(value: &Value, name: &str) -> Result<ReceivedSettings, FieldError> {
    let f = Fields::from_value(value, name)?;
    let classes = f.objects("Classes")?;
    if classes.is_empty() {
        return Err(format!("{}: no classes, one is needed at least", f.path("Classes")));
    }
    let class_names = fields::names(&classes)?;
    let (classes, deadlines) = classes.iter().map(class).collect::<Result<Vec<_>, _>>()?.into_iter().unzip();
    let tenants = f.objects("Customers")?;
    let tenant_names = fields::names(&tenants)?;
    let tenants = tenants.iter().map(tenant).collect::<Result<Vec<_>, _>>()?;
    let (number, nodes) = (f.integer_at_least("Me", 0)?, f.integer_at_least("PeersTotal", 1)?);
    if nodes > NODES_MAX {
        return Err(format!("{}: {nodes} is more than {NODES_MAX}", f.path("PeersTotal")));
    }
    if number >= nodes {
        return Err(format!("{}: {number}: own number must be below the count of nodes", f.path("Me")));
    }
    let (limits_object, rules_object, goal_object) =
        (f.object("Limits")?, f.object("Contract")?, f.object("Goal")?);
    let goal = |key| goal_object.number_in(key, Range::NonNegative);
    let discovery =
        f.choice("Discovery", &[("subscribe", Discovery::Polled), ("automatic", Discovery::Pushed)])?;
    let weights = [
        ("nominal", Weights::Listed),
        ("rough", Weights::Listed),
        ("live", Weights::Live),
        ("silent", Weights::None),
    ];
    let settings = Settings {
        number: number as usize,
        nodes: nodes as usize,
        classes,
        tenants,
        over_share_worth: f.number_in("OverShareWorth", Range::Share)?,
        goal: Goal {
            worth: goal("Whole")? + goal("WorstWindow")?,
            worst_class: goal("WorstClass")?,
            worst_tenant: goal("WorstTenant")?,
        },
        limits: limits(&limits_object)?,
        rules: rules(&rules_object)?,
        discovery,
        weights: f.choice("Weights", &weights)?,
        tick: f.number_in("Tick", Range::NonNegative)?,
        tuning: Tuning::default(),
    };
    Ok(ReceivedSettings {
        settings,
        classes: class_names,
        deadlines,
        tenants: tenant_names,
        keepalive: limits_object.number_in("Keepalive", Range::NonNegative)?,
        open_cap: usize::try_from(limits_object.integer_at_least("OpenCap", 1)?).unwrap_or(usize::MAX),
    })
}
