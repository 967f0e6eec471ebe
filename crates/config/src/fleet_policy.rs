//! The fleet's policy as operators write it: one checked document with the settings of the decision module
//! and the quotas. `deploy/fleet-policy.toml` shows every setting. Does no I/O: it turns a text into settings
//! or one error.

use std::collections::BTreeMap;
use std::fmt;

use magpietally_policy::{DedupScope, Effect, Millis, Settings};
use magpietally_quota as quota;
use serde::Deserialize;

/// The node's own settings from the platform, which a document is checked against.
#[derive(Clone, Debug)]
pub struct BaseSettings {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names of the classes by index.
    pub classes: Vec<String>,
    /// The names of the tenants by index.
    pub tenants: Vec<String>,
}

/// A valid document.
#[derive(Clone, Debug)]
pub struct Document {
    /// The decision module's settings under it; `None` if it changes none of the platform's.
    pub settings: Option<Settings>,
    /// The tenants' quotas; their version is assigned by the log.
    pub quotas: quota::Policy,
}

/// The error for which a document is rejected, with its line and field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentError {
    /// The line, counted from 1.
    pub line: usize,
    /// The path of the field, such as `tenants.punjab-clubs.burst`; empty if the text is not valid TOML.
    pub field: String,
    /// The description of the error.
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
    effect: Option<EffectName>,
    group: Option<GroupName>,
    memory_ms: Option<Millis>,
    aim_ms: Option<Millis>,
    worth: Option<f64>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum EffectName {
    Safe,
    Keyed,
    Once,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum GroupName {
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

/// An error with the path of its field; the line is determined afterwards.
struct FieldError(Vec<String>, String);

fn field_error(path: &[&str], message: impl Into<String>) -> FieldError {
    FieldError(path.iter().map(ToString::to_string).collect(), message.into())
}

/// Parses and checks a document. All nodes with the same base settings get the same result for the same text.
///
/// # Errors
/// The first error, with its line and field.
pub fn parse(text: &[u8], base: &BaseSettings) -> Result<Document, DocumentError> {
    let document_error = |message: String| DocumentError { line: 1, field: String::new(), message };
    let text = std::str::from_utf8(text).map_err(|e| document_error(format!("not UTF-8: {e}")))?;
    let file: File = toml::from_str(text).map_err(|error| DocumentError {
        line: error.span().map_or(1, |span| line_at(text, span.start)),
        field: String::new(),
        message: error.message().to_string(),
    })?;
    let checked = file.check(base);
    checked.map_err(|FieldError(path, message)| DocumentError {
        line: line_of(text, &path),
        field: path.join("."),
        message,
    })
}

fn line_at(text: &str, byte: usize) -> usize {
    1 + text.as_bytes()[..byte.min(text.len())].iter().filter(|b| **b == b'\n').count()
}

/// Returns the line of the value at a path, or of the longest prefix of the path that exists.
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
    fn check(&self, base: &BaseSettings) -> Result<Document, FieldError> {
        let mut settings = base.settings.clone();
        let mut changed = false;
        for (name, class) in &self.classes {
            let index = base.classes.iter().position(|c| c == name);
            let index = index.ok_or_else(|| field_error(&["classes", name], "no such class at this node"))?;
            changed |= class.apply(name, &mut settings.classes[index])?;
        }
        changed |= self.limits.apply(&mut settings)?;
        let set = |to: &mut f64, value: Option<f64>| value.is_some_and(|v| std::mem::replace(to, v) != v);
        changed |= set(&mut settings.tuning.retry_share, self.retry.share);
        changed |= set(&mut settings.tuning.retry_most, self.retry.most);
        changed |= set(&mut settings.tuning.eject_at_most, self.ejection.at_most);
        if let Some(failures) = self.ejection.failures {
            changed |= std::mem::replace(&mut settings.tuning.outlier_failures, failures) != failures;
        }
        let mut quotas = Vec::new();
        for (name, tenant) in &self.tenants {
            let index = base.tenants.iter().position(|t| t == name);
            let index =
                index.ok_or_else(|| field_error(&["tenants", name], "no such tenant at this node"))?;
            changed |= set(&mut settings.tenants[index].quota_per_s, tenant.share_per_s);
            quotas.extend(tenant.quota(name, base)?);
        }
        // The remaining checks are the decision module's, which names the fields in its own way.
        settings.validate().map_err(|e| {
            let path: &[&str] = match e.0.split([':', '[', '.']).next() {
                Some("classes") => &["classes"],
                Some("limits") => &["limits"],
                Some("tenants") => &["tenants"],
                Some("tuning") if e.0.contains("retry") => &["retry"],
                Some("tuning") => &["ejection"],
                _ => &[],
            };
            field_error(path, e.0)
        })?;
        let quotas = quota::Policy { version: 0, tenants: quotas };
        quotas.check().map_err(|e| field_error(&["tenants"], e.to_string()))?;
        Ok(Document { settings: changed.then_some(settings), quotas })
    }
}

impl Class {
    /// Applies the settings of a class. Returns whether anything changed. A document may only restrict what
    /// the platform allows a class: whether its requests may run twice is a property of the servers.
    fn apply(&self, name: &str, to: &mut magpietally_policy::Class) -> Result<bool, FieldError> {
        let path = |field| field_error(&["classes", name, field], "");
        let before = to.clone();
        if let Some(effect) = self.effect {
            to.effect = match (effect, to.effect) {
                (EffectName::Once, _) => Effect::Unsafe,
                (EffectName::Safe, Effect::Safe) => Effect::Safe,
                (EffectName::Keyed, Effect::Safe) => Effect::Keyed { scope: DedupScope::Cell, memory: 0.0 },
                (EffectName::Keyed, Effect::Keyed { scope, memory }) => Effect::Keyed { scope, memory },
                (EffectName::Safe, _) | (EffectName::Keyed, Effect::Unsafe) => {
                    return Err(FieldError(path("effect").0, "wider than the platform allows".into()))
                }
            };
        }
        let keyed = |field| match to.effect {
            Effect::Keyed { scope, memory } => Ok((scope, memory)),
            _ => Err(FieldError(path(field).0, "only for a class with the effect \"keyed\"".into())),
        };
        let was_keyed = matches!(before.effect, Effect::Keyed { .. });
        if let Some(group) = self.group {
            let (had, memory) = keyed("group")?;
            let scope = match group {
                GroupName::All => DedupScope::All,
                GroupName::Zone => DedupScope::Zone,
                GroupName::Cell => DedupScope::Cell,
            };
            let width = |g| match g {
                DedupScope::All => 2,
                DedupScope::Zone => 1,
                DedupScope::Cell => 0,
            };
            if was_keyed && width(scope) > width(had) {
                return Err(FieldError(path("group").0, "wider than the platform allows".into()));
            }
            to.effect = Effect::Keyed { scope, memory };
        }
        if let Some(ms) = self.memory_ms {
            let (scope, had) = match to.effect {
                Effect::Keyed { scope, memory } => (scope, memory),
                _ => {
                    return Err(FieldError(
                        path("memory_ms").0,
                        "only for a class with the effect \"keyed\"".into(),
                    ))
                }
            };
            if was_keyed && ms > had {
                return Err(FieldError(
                    path("memory_ms").0,
                    format!("{ms} is more than the platform's {had}"),
                ));
            }
            to.effect = Effect::Keyed { scope, memory: ms };
        }
        to.aim = self.aim_ms.unwrap_or(to.aim);
        to.worth = self.worth.unwrap_or(to.worth);
        Ok((before.effect, before.aim, before.worth) != (to.effect, to.aim, to.worth))
    }
}

impl Limits {
    fn apply(&self, settings: &mut Settings) -> Result<bool, FieldError> {
        let (had, to) = (settings.limits.clone(), &mut settings.limits);
        let reject = |field: &str, message: String| Err(field_error(&["limits", field], message));
        if let Some(attempts) = self.attempts {
            if attempts > had.attempts {
                return reject(
                    "attempts",
                    format!("{attempts} is more than the platform's {}", had.attempts),
                );
            }
            to.attempts = attempts;
        }
        if let Some(second) = self.second_copies {
            if second && !had.second_copies {
                return reject("second_copies", "the platform does not allow them".into());
            }
            to.second_copies = second;
        }
        if let Some(ms) = self.max_retry_after_ms {
            if ms > had.max_retry_after {
                let max = had.max_retry_after;
                return reject("max_retry_after_ms", format!("{ms} is more than the platform's {max}"));
            }
            to.max_retry_after = ms;
        }
        to.connect_timeout = self.connect_timeout_ms.unwrap_or(had.connect_timeout);
        Ok((had.attempts, had.second_copies, had.max_retry_after, had.connect_timeout)
            != (to.attempts, to.second_copies, to.max_retry_after, to.connect_timeout))
    }
}

impl Tenant {
    /// Returns the tenant's quota over the whole fleet, if it has one.
    fn quota(&self, name: &str, base: &BaseSettings) -> Result<Option<quota::TenantQuota>, FieldError> {
        let (rate, burst) = match (self.rate_per_s, self.burst) {
            (Some(rate), Some(burst)) => (rate, burst),
            (None, None) if self.cost.is_empty() && self.kept.is_empty() && self.per_day.is_empty() => {
                return Ok(None)
            }
            (None, _) => return Err(field_error(&["tenants", name, "rate_per_s"], "a quota needs it")),
            (_, None) => return Err(field_error(&["tenants", name, "burst"], "a quota needs it")),
        };
        let class_names = self.cost.keys().map(|c| ("cost", c)).chain(self.kept.keys().map(|c| ("kept", c)));
        for (list, class) in class_names.chain(self.per_day.keys().map(|c| ("per_day", c))) {
            if !base.classes.contains(class) {
                return Err(field_error(&["tenants", name, list, class], "no such class at this node"));
            }
        }
        let kept = self.kept.iter().map(|(class, k)| {
            let rate_milli = to_milli(k.rate_per_s, &["tenants", name, "kept", class, "rate_per_s"])?;
            Ok(quota::ClassQuota { class: class.clone(), rate_milli, burst: k.burst })
        });
        let counts = |map: &BTreeMap<String, u64>| map.iter().map(|(c, n)| (c.clone(), *n)).collect();
        Ok(Some(quota::TenantQuota {
            name: name.to_string(),
            rate_milli: to_milli(rate, &["tenants", name, "rate_per_s"])?,
            burst,
            costs: counts(&self.cost),
            kept: kept.collect::<Result<_, FieldError>>()?,
            per_day: counts(&self.per_day),
        }))
    }
}

/// Converts a rate to thousandths, rounded down so that no more is admitted than the document says.
fn to_milli(per_s: f64, path: &[&str]) -> Result<u64, FieldError> {
    if !(per_s > 0.0 && per_s <= quota::TOKENS_MAX as f64) {
        return Err(field_error(path, format!("{per_s} is outside 0 to {}", quota::TOKENS_MAX)));
    }
    Ok((per_s * 1000.0) as u64)
}

#[cfg(test)]
mod tests;
