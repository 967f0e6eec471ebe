//! The settings object that the platform hands a node and the simulator an instance, read into the policy's
//! [`Settings`] and what only a node on sockets needs. Unknown keys are passed over. What is missing, of another type, out of
//! range or an unknown word is named by its path in the object: no figure of one deployment stands in for what another was
//! not told.

mod fields;

use magpietally_policy::{
    Class, DedupScope, Discovery, Effect, Goal, Limits, Millis, Rules, Settings, Tenant, Tuning, Weights,
};
use serde_json::Value;

pub use fields::{integer, list, number, optional_number, string, FieldError, Fields, Range};

/// The most nodes that are believed: what is shared out among them is counted in products with their number.
const NODES_MOST: u64 = 1_000_000;

fn class(f: &Fields) -> Result<(Class, Millis), FieldError> {
    let groups = [("all", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Cell)];
    #[derive(Clone, Copy)]
    enum Word {
        Safe,
        Keyed,
        Unsafe,
    }
    let words = [("pure", Word::Safe), ("token", Word::Keyed), ("side_effect", Word::Unsafe)];
    let effect = match f.choice("Idempotency", &words)? {
        Word::Safe => Effect::Safe,
        Word::Unsafe => Effect::Unsafe,
        Word::Keyed => Effect::Keyed {
            scope: f.choice("DedupScope", &groups)?,
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
    // The rate is what counts; a share that is no share says that the two were mixed up.
    if f.optional_number_in("Share", Range::Share)? == Some(0.0) {
        return Err(format!("{}: 0: must be above 0", f.path("Share")));
    }
    Ok(Tenant { quota_per_s: f.number_in("QuotaPerS", Range::NonNegative)? })
}

fn limits(l: &Fields) -> Result<Limits, FieldError> {
    Ok(Limits {
        attempts: usize::try_from(l.integer_at_least("AttemptsCap", 1)?).unwrap_or(usize::MAX),
        second_copies: l.flag("MayDuplicate")?,
        cancel: l.flag("Cancel")?,
        probes: l.flag("Probes")?,
        connect_timeout: l.number_in("ConnectTimeout", Range::Positive)?,
        max_retry_after: if l.flag("RetryAfter")? {
            l.number_in("MaxRetryAfter", Range::NonNegative)?
        } else {
            0.0
        },
    })
}

fn rules(r: &Fields) -> Result<Rules, FieldError> {
    Ok(Rules {
        ask_within: r.number_in("AskWithin", Range::Positive)?,
        cold_share: r.number_in("ColdShare", Range::Share)?,
        warm_within: r.number_in("WarmWithin", Range::NonNegative)?,
        fall_multiple: r.number_in("FallMultiple", Range::Positive)?,
        fall_window: r.number_in("Fall", Range::Positive)?,
        drain_grace: r.number_in("DrainGrace", Range::NonNegative)?,
    })
}

/// What the settings object says: the module's part, and what only a node on sockets needs.
#[derive(Clone, Debug)]
pub struct ReceivedSettings {
    /// The module's settings.
    pub settings: Settings,
    /// The names of the classes, by index.
    pub classes: Vec<String>,
    /// How long a client of each class waits in all, by index.
    pub deadlines: Vec<Millis>,
    /// The names of the tenants, by index.
    pub tenants: Vec<String>,
    /// Servers close connections that have been idle for this long.
    pub keepalive: Millis,
    /// The most requests that may be open at a node.
    pub open_cap: usize,
}

impl ReceivedSettings {
    /// The longest deadline of a class.
    pub fn longest_deadline(&self) -> Millis {
        self.deadlines.iter().copied().fold(0.0, f64::max)
    }
}

/// Reads the settings object that a node on sockets is given.
///
/// # Errors
/// Names the first field that is missing or malformed, as `settings.Classes[1].Deadline`.
pub fn parse(value: &Value) -> Result<ReceivedSettings, FieldError> {
    parse_named(value, "settings")
}

/// The same where the object goes by another name.
///
/// # Errors
/// Names the first field that is missing or malformed.
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
    if nodes > NODES_MOST {
        return Err(format!("{}: {nodes} is more than {NODES_MOST}", f.path("PeersTotal")));
    }
    if number >= nodes {
        return Err(format!("{}: {number}: own number must be below the count of nodes", f.path("Me")));
    }
    let (l, r, g) = (f.object("Limits")?, f.object("Contract")?, f.object("Goal")?);
    let goal = |key| g.number_in(key, Range::NonNegative);
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
        limits: limits(&l)?,
        rules: rules(&r)?,
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
        keepalive: l.number_in("Keepalive", Range::NonNegative)?,
        open_cap: usize::try_from(l.integer_at_least("OpenCap", 1)?).unwrap_or(usize::MAX),
    })
}
