//! Tenant quotas as operators configure them, and their validation.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use serde::{Deserialize, Serialize};

/// Maximum number of tenants with a quota. With four pools each, a node walks through all of them a few times
/// per second.
pub const TENANTS_MAX: usize = 1024;
/// Maximum number of classes in any list of a tenant's quota. The lists are searched linearly on the request
/// path.
pub const CLASSES_MAX: usize = 16;
/// The largest rate or burst in tokens: a bucket counts billionths of a token in 64 bits.
pub const TOKENS_MAX: u64 = 1_000_000_000;

/// The part of a tenant's quota that is reserved for one class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassQuota {
    /// Name of the class.
    pub class: String,
    /// The part of the tenant's rate, in thousandths of a token per second.
    pub rate_milli: u64,
    /// The part of the tenant's burst, in tokens.
    pub burst: u64,
}

/// The quota of one tenant over the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantQuota {
    /// Name of the tenant.
    pub name: String,
    /// Rate in thousandths of a token per second.
    pub rate_milli: u64,
    /// Burst in tokens.
    pub burst: u64,
    /// Cost in tokens of a request, by class; 1 for any class not listed.
    pub costs: Vec<(String, u64)>,
    /// Parts reserved for classes. They are taken out of the rate and burst above, not added to them.
    pub kept: Vec<ClassQuota>,
    /// Daily limit of requests, by class.
    pub per_day: Vec<(String, u64)>,
}

/// The quotas of all tenants, as of one version of the fleet's policy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Policy {
    /// Version of the policy.
    pub version: u64,
    /// The tenants with a quota; all others are unlimited.
    pub tenants: Vec<TenantQuota>,
}

/// Reason why a policy is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PolicyError {
    /// There are more than [`TENANTS_MAX`] tenants.
    TooManyTenants(usize),
    /// A list of the tenant names more than [`CLASSES_MAX`] classes.
    TooManyClasses(String),
    /// A tenant, or a class in one of a tenant's lists, occurs twice.
    Duplicate(String),
    /// A rate, burst, cost or count is zero or above [`TOKENS_MAX`].
    OutOfRange(String),
    /// The class quotas leave the common pool without rate or burst.
    NothingLeftForCommonPool(String),
    /// A class costs more than the burst of the pool it may use, so it could never be admitted.
    CostAboveBurst(String, String),
    /// Two pools have the same id; one of the names has to change.
    PoolIdCollision(String),
}

impl fmt::Display for PolicyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooManyTenants(n) => {
                write!(f, "{n} tenants with a quota, at most {TENANTS_MAX} are allowed")
            }
            Self::TooManyClasses(t) => write!(f, "tenant {t}: a list names more than {CLASSES_MAX} classes"),
            Self::Duplicate(t) => write!(f, "{t} is listed twice"),
            Self::OutOfRange(t) => {
                write!(
                    f,
                    "tenant {t}: rates, bursts, costs and counts must be above 0 and at most {TOKENS_MAX} tokens"
                )
            }
            Self::NothingLeftForCommonPool(t) => {
                write!(f, "tenant {t}: the quotas kept for classes leave nothing for the other classes")
            }
            Self::CostAboveBurst(t, c) => {
                write!(f, "tenant {t}: a {c} costs more than the burst it may draw on")
            }
            Self::PoolIdCollision(t) => {
                write!(f, "tenant {t}: the id of a pool is already taken by another pool; change the name")
            }
        }
    }
}

impl std::error::Error for PolicyError {}

/// Id of a pool or daily count in the log. Two pools with the same id would share one division: that wastes
/// tokens but never exceeds a limit. A policy with such pools is rejected nevertheless.
pub(crate) fn pool_id(tenant: &str, class: &str, kind: &str) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    for part in [tenant, class, kind] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.finalize()
}

/// A pool as a node uses it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CompiledPool {
    pub id: u32,
    pub rate_milli: u64,
    pub burst: u64,
    /// Cost in tokens of the most expensive request that may use the pool. A bucket with a smaller cap serves
    /// no such request.
    pub max_cost: u64,
}

/// The pools and the count that a class of a tenant uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CompiledClass {
    pub name: String,
    pub cost: u64,
    /// Index of the pool reserved for the class.
    pub class_pool: Option<usize>,
    /// Index of its daily count.
    pub daily_count: Option<usize>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CompiledTenant {
    /// Index of the common pool.
    pub common_pool: usize,
    pub classes: Vec<CompiledClass>,
    /// Indices of the tenant's daily counts.
    pub daily_counts: Vec<usize>,
}

/// A validated policy, prepared for lookups on the request path.
#[derive(Clone, Debug, Default)]
pub(crate) struct CompiledPolicy {
    pub version: u64,
    pub tenants: Vec<CompiledTenant>,
    pub by_name: HashMap<String, usize>,
    pub pools: Vec<CompiledPool>,
    /// (id, limit) of each daily count.
    pub daily_limits: Vec<(u32, u64)>,
}

fn check_unique<'a>(tenant: &str, names: impl Iterator<Item = &'a String>) -> Result<(), PolicyError> {
    let mut seen = std::collections::BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            return Err(PolicyError::Duplicate(format!("tenant {tenant}: class {name}")));
        }
        if seen.len() > CLASSES_MAX {
            return Err(PolicyError::TooManyClasses(tenant.to_owned()));
        }
    }
    Ok(())
}

impl TenantQuota {
    fn check(&self) -> Result<(), PolicyError> {
        let t = || self.name.clone();
        check_unique(&self.name, self.costs.iter().map(|c| &c.0))?;
        check_unique(&self.name, self.kept.iter().map(|k| &k.class))?;
        check_unique(&self.name, self.per_day.iter().map(|d| &d.0))?;
        let counts = self.costs.iter().chain(&self.per_day).map(|c| c.1);
        let kept = self.kept.iter().flat_map(|k| [k.burst, k.rate_milli.div_ceil(1000)]);
        let all = counts.chain(kept).chain([self.burst, self.rate_milli.div_ceil(1000)]);
        if all.into_iter().any(|n| n == 0 || n > TOKENS_MAX) {
            return Err(PolicyError::OutOfRange(t()));
        }
        let (rate, burst) = self.common_limits();
        if rate == 0 || burst == 0 {
            return Err(PolicyError::NothingLeftForCommonPool(t()));
        }
        for (class, cost) in self.costs.iter().map(|(c, n)| (c, *n)) {
            if cost > burst {
                return Err(PolicyError::CostAboveBurst(t(), class.clone()));
            }
        }
        Ok(())
    }

    /// Rate and burst of the common pool.
    fn common_limits(&self) -> (u64, u64) {
        self.kept.iter().fold((self.rate_milli, self.burst), |(r, b), k| {
            (r.saturating_sub(k.rate_milli), b.saturating_sub(k.burst))
        })
    }

    /// Returns the cost in tokens of a request of `class`.
    pub fn cost(&self, class: &str) -> u64 {
        self.costs.iter().find(|c| c.0 == class).map_or(1, |c| c.1)
    }
}

impl Policy {
    /// Validates the policy.
    ///
    /// # Errors
    /// See [`PolicyError`].
    pub fn check(&self) -> Result<(), PolicyError> {
        self.compile().map(|_| ())
    }

    pub(crate) fn compile(&self) -> Result<CompiledPolicy, PolicyError> {
        if self.tenants.len() > TENANTS_MAX {
            return Err(PolicyError::TooManyTenants(self.tenants.len()));
        }
        let mut compiled = CompiledPolicy { version: self.version, ..CompiledPolicy::default() };
        let mut pool_ids = BTreeMap::new();
        for t in &self.tenants {
            t.check()?;
            let mut new_pool_id = |class: &str, kind: &str| {
                let id = pool_id(&t.name, class, kind);
                let taken = pool_ids.insert(id, ()).is_some();
                if taken {
                    Err(PolicyError::PoolIdCollision(t.name.clone()))
                } else {
                    Ok(id)
                }
            };
            if compiled.by_name.insert(t.name.clone(), compiled.tenants.len()).is_some() {
                return Err(PolicyError::Duplicate(format!("tenant {}", t.name)));
            }
            let (rate_milli, burst) = t.common_limits();
            let common_pool = compiled.pools.len();
            let max_cost = t.costs.iter().map(|x| x.1).max().unwrap_or(1).max(1);
            compiled.pools.push(CompiledPool { id: new_pool_id("", "common")?, rate_milli, burst, max_cost });
            let mut classes: BTreeMap<&str, CompiledClass> = BTreeMap::new();
            let new_class = |name: &str| CompiledClass {
                name: name.to_owned(),
                cost: t.cost(name),
                class_pool: None,
                daily_count: None,
            };
            for (name, _) in &t.costs {
                classes.insert(name, new_class(name));
            }
            for k in &t.kept {
                let class = classes.entry(&k.class).or_insert_with(|| new_class(&k.class));
                class.class_pool = Some(compiled.pools.len());
                let (rate_milli, burst, max_cost) = (k.rate_milli, k.burst, class.cost);
                compiled.pools.push(CompiledPool {
                    id: new_pool_id(&k.class, "kept")?,
                    rate_milli,
                    burst,
                    max_cost,
                });
            }
            let mut daily_counts = Vec::new();
            for (name, limit) in &t.per_day {
                classes.entry(name).or_insert_with(|| new_class(name)).daily_count =
                    Some(compiled.daily_limits.len());
                daily_counts.push(compiled.daily_limits.len());
                compiled.daily_limits.push((new_pool_id(name, "day")?, *limit));
            }
            compiled.tenants.push(CompiledTenant {
                common_pool,
                classes: classes.into_values().collect(),
                daily_counts,
            });
        }
        Ok(compiled)
    }
}
