//! The fleet's policy as operators write it: one checked document, with what the decision module and the quotas are set
//! with. `deploy/fleet-policy.toml` shows every setting. Pure: text in, settings or one clear error out.

use std::collections::BTreeMap;
use std::fmt;

use magpietally_policy::{DedupScope, Effect, Millis, Settings};
use magpietally_quota as quota;
use serde::Deserialize;

/// What a document is checked against: the node's own settings, which the platform gave it.
#[derive(Clone, Debug)]
pub struct BaseSettings {
    /// The decision module's.
    pub settings: Settings,
    /// The names of the classes, by index.
    pub classes: Vec<String>,
    /// The names of the tenants, by index.
    pub tenants: Vec<String>,
}

/// A document that passed its check.
#[derive(Clone, Debug)]
pub struct Document {
    /// The decision module's settings under it; `None` where it changes none of the platform's.
    pub settings: Option<Settings>,
    /// The tenants' quotas; their version is the log's to give.
    pub quotas: quota::Policy,
}

/// Why a document is refused, with the line and the field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentError {
    /// From 1.
    pub line: usize,
    /// The field's path, as `tenants.punjab-clubs.burst`; empty where the text is no TOML.
    pub field: String,
    /// What is wrong with it.
    pub message: String,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.field.as_str() {
            "" => write!(f, "line {}: {}", self.line, self.message),
            field => write!(f, "line {}: {field}: {}", self.line, self.message),
        }
    }
}

impl std::error::Error for DocumentError {}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct File {
    classes: BTreeMap<String, Class>,
    limits: Limits,
    retry: Retry,
    ejection: Ejection,
    tenants: BTreeMap<String, Tenant>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct Class {
    effect: Option<EffectWord>,
    group: Option<GroupWord>,
    memory_ms: Option<Millis>,
    aim_ms: Option<Millis>,
    worth: Option<f64>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum EffectWord {
    Safe,
    Keyed,
    Once,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum GroupWord {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct Limits {
    attempts: Option<usize>,
    second_copies: Option<bool>,
    connect_timeout_ms: Option<Millis>,
    max_retry_after_ms: Option<Millis>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct Retry {
    share: Option<f64>,
    most: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct Ejection {
    failures: Option<u32>,
    at_most: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct Tenant {
    share_per_s: Option<f64>,
    rate_per_s: Option<f64>,
    burst: Option<u64>,
    cost: BTreeMap<String, u64>,
    kept: BTreeMap<String, Kept>,
    per_day: BTreeMap<String, u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Kept {
    rate_per_s: f64,
    burst: u64,
}

/// A fault by its path; the line is found afterwards.
struct At(Vec<String>, String);

fn at(path: &[&str], message: impl Into<String>) -> At {
    At(path.iter().map(ToString::to_string).collect(), message.into())
}

/// Reads and checks a document. The same text has the same verdict at every node with the same ground.
///
/// # Errors
/// The first fault, with its line and field.
pub fn parse(text: &[u8], ground: &BaseSettings) -> Result<Document, DocumentError> {
    let whole = |message: String| DocumentError { line: 1, field: String::new(), message };
    let text = std::str::from_utf8(text).map_err(|e| whole(format!("not UTF-8: {e}")))?;
    let file: File = toml::from_str(text).map_err(|error| DocumentError {
        line: error.span().map_or(1, |span| line_at(text, span.start)),
        field: String::new(),
        message: error.message().to_string(),
    })?;
    let checked = file.check(ground);
    checked.map_err(|At(path, message)| DocumentError {
        line: line_of(text, &path),
        field: path.join("."),
        message,
    })
}

fn line_at(text: &str, byte: usize) -> usize {
    1 + text.as_bytes()[..byte.min(text.len())].iter().filter(|b| **b == b'\n').count()
}

/// The line of the value at a path, or of the deepest part of the path that is there.
fn line_of(text: &str, path: &[String]) -> usize {
    let Ok(table) = toml::de::DeTable::parse(text) else { return 1 };
    let (mut table, mut line) = (table.into_inner(), 1);
    for key in path {
        let Some((found, value)) = table.into_iter().find(|(k, _)| k.get_ref().as_ref() == key.as_str())
        else {
            return line;
        };
        line = line_at(text, found.span().start);
        match value.into_inner() {
            toml::de::DeValue::Table(inner) => table = inner,
            _ => return line,
        }
    }
    line
}

impl File {
    fn check(&self, ground: &BaseSettings) -> Result<Document, At> {
        let mut settings = ground.settings.clone();
        let mut changed = false;
        for (name, class) in &self.classes {
            let index = ground.classes.iter().position(|c| c == name);
            let index = index.ok_or_else(|| at(&["classes", name], "no such class at this node"))?;
            changed |= class.apply(name, &mut settings.classes[index])?;
        }
        changed |= self.limits.apply(&mut settings)?;
        let set = |to: &mut f64, told: Option<f64>| told.is_some_and(|v| std::mem::replace(to, v) != v);
        changed |= set(&mut settings.tuning.retry_share, self.retry.share);
        changed |= set(&mut settings.tuning.retry_most, self.retry.most);
        changed |= set(&mut settings.tuning.eject_at_most, self.ejection.at_most);
        if let Some(failures) = self.ejection.failures {
            changed |= std::mem::replace(&mut settings.tuning.outlier_failures, failures) != failures;
        }
        let mut quotas = Vec::new();
        for (name, tenant) in &self.tenants {
            let index = ground.tenants.iter().position(|t| t == name);
            let index = index.ok_or_else(|| at(&["tenants", name], "no such tenant at this node"))?;
            changed |= set(&mut settings.tenants[index].quota_per_s, tenant.share_per_s);
            quotas.extend(tenant.quota(name, ground)?);
        }
        // What is left for the decision module to say, in its own words for the fields.
        settings.validate().map_err(|e| {
            let path: &[&str] = match e.0.split([':', '[', '.']).next() {
                Some("classes") => &["classes"],
                Some("limits") => &["limits"],
                Some("tenants") => &["tenants"],
                Some("tuning") if e.0.contains("retry") => &["retry"],
                Some("tuning") => &["ejection"],
                _ => &[],
            };
            at(path, e.0)
        })?;
        let quotas = quota::Policy { version: 0, tenants: quotas };
        quotas.check().map_err(|e| at(&["tenants"], e.to_string()))?;
        Ok(Document { settings: changed.then_some(settings), quotas })
    }
}

impl Class {
    /// Whether anything changed. A document may narrow what the platform allows a class, never widen it: what a class
    /// may do twice is a fact of the servers.
    fn apply(&self, name: &str, to: &mut magpietally_policy::Class) -> Result<bool, At> {
        let path = |field| at(&["classes", name, field], "");
        let before = to.clone();
        if let Some(effect) = self.effect {
            to.effect = match (effect, to.effect) {
                (EffectWord::Once, _) => Effect::Unsafe,
                (EffectWord::Safe, Effect::Safe) => Effect::Safe,
                (EffectWord::Keyed, Effect::Safe) => Effect::Keyed { scope: DedupScope::Cell, memory: 0.0 },
                (EffectWord::Keyed, Effect::Keyed { scope, memory }) => Effect::Keyed { scope, memory },
                (EffectWord::Safe, _) | (EffectWord::Keyed, Effect::Unsafe) => {
                    return Err(At(path("effect").0, "wider than the platform allows".into()))
                }
            };
        }
        let keyed = |field| match to.effect {
            Effect::Keyed { scope, memory } => Ok((scope, memory)),
            _ => Err(At(path(field).0, "only for a class with the effect \"keyed\"".into())),
        };
        let was_keyed = matches!(before.effect, Effect::Keyed { .. });
        if let Some(word) = self.group {
            let (had, memory) = keyed("group")?;
            let scope = match word {
                GroupWord::All => DedupScope::All,
                GroupWord::Zone => DedupScope::Zone,
                GroupWord::Cell => DedupScope::Cell,
            };
            let width = |g| match g {
                DedupScope::All => 2,
                DedupScope::Zone => 1,
                DedupScope::Cell => 0,
            };
            if was_keyed && width(scope) > width(had) {
                return Err(At(path("group").0, "wider than the platform allows".into()));
            }
            to.effect = Effect::Keyed { scope, memory };
        }
        if let Some(ms) = self.memory_ms {
            let (scope, had) = match to.effect {
                Effect::Keyed { scope, memory } => (scope, memory),
                _ => {
                    return Err(At(path("memory_ms").0, "only for a class with the effect \"keyed\"".into()))
                }
            };
            if was_keyed && ms > had {
                return Err(At(path("memory_ms").0, format!("{ms} is more than the platform's {had}")));
            }
            to.effect = Effect::Keyed { scope, memory: ms };
        }
        to.aim = self.aim_ms.unwrap_or(to.aim);
        to.worth = self.worth.unwrap_or(to.worth);
        Ok((before.effect, before.aim, before.worth) != (to.effect, to.aim, to.worth))
    }
}

impl Limits {
    fn apply(&self, settings: &mut Settings) -> Result<bool, At> {
        let (had, to) = (settings.limits.clone(), &mut settings.limits);
        let wide = |field: &str, message: String| Err(at(&["limits", field], message));
        if let Some(attempts) = self.attempts {
            if attempts > had.attempts {
                return wide("attempts", format!("{attempts} is more than the platform's {}", had.attempts));
            }
            to.attempts = attempts;
        }
        if let Some(second) = self.second_copies {
            if second && !had.second_copies {
                return wide("second_copies", "the platform does not allow them".into());
            }
            to.second_copies = second;
        }
        if let Some(ms) = self.max_retry_after_ms {
            if ms > had.max_retry_after {
                let most = had.max_retry_after;
                return wide("max_retry_after_ms", format!("{ms} is more than the platform's {most}"));
            }
            to.max_retry_after = ms;
        }
        to.connect_timeout = self.connect_timeout_ms.unwrap_or(had.connect_timeout);
        Ok((had.attempts, had.second_copies, had.max_retry_after, had.connect_timeout)
            != (to.attempts, to.second_copies, to.max_retry_after, to.connect_timeout))
    }
}

impl Tenant {
    /// Its quota over the fleet, where it has one.
    fn quota(&self, name: &str, ground: &BaseSettings) -> Result<Option<quota::TenantQuota>, At> {
        let (rate, burst) = match (self.rate_per_s, self.burst) {
            (Some(rate), Some(burst)) => (rate, burst),
            (None, None) if self.cost.is_empty() && self.kept.is_empty() && self.per_day.is_empty() => {
                return Ok(None)
            }
            (None, _) => return Err(at(&["tenants", name, "rate_per_s"], "a quota needs it")),
            (_, None) => return Err(at(&["tenants", name, "burst"], "a quota needs it")),
        };
        let named = self.cost.keys().map(|c| ("cost", c)).chain(self.kept.keys().map(|c| ("kept", c)));
        for (list, class) in named.chain(self.per_day.keys().map(|c| ("per_day", c))) {
            if !ground.classes.contains(class) {
                return Err(at(&["tenants", name, list, class], "no such class at this node"));
            }
        }
        let kept = self.kept.iter().map(|(class, k)| {
            let rate_milli = milli(k.rate_per_s, &["tenants", name, "kept", class, "rate_per_s"])?;
            Ok(quota::ClassQuota { class: class.clone(), rate_milli, burst: k.burst })
        });
        let counts = |map: &BTreeMap<String, u64>| map.iter().map(|(c, n)| (c.clone(), *n)).collect();
        Ok(Some(quota::TenantQuota {
            name: name.to_string(),
            rate_milli: milli(rate, &["tenants", name, "rate_per_s"])?,
            burst,
            costs: counts(&self.cost),
            kept: kept.collect::<Result<_, At>>()?,
            per_day: counts(&self.per_day),
        }))
    }
}

/// A rate in thousandths, rounded down so that no more is admitted than was written.
fn milli(per_s: f64, path: &[&str]) -> Result<u64, At> {
    if !(per_s > 0.0 && per_s <= quota::TOKENS_MAX as f64) {
        return Err(at(path, format!("{per_s} is outside 0 to {}", quota::TOKENS_MAX)));
    }
    Ok((per_s * 1000.0) as u64)
}

#[cfg(test)]
mod tests;
