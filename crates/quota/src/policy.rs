//! What the operators want: tenants' quotas, checked.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use serde::{Deserialize, Serialize};

/// Tenants with a quota at most: with four pools each that is what one node walks through a few times a second.
pub const TENANTS_MAX: usize = 1024;
/// Classes at most that a tenant's quota names, in any of its lists: they are searched one by one on a request's path.
pub const CLASSES_MAX: usize = 16;
/// The largest rate or burst, in tokens: a bucket counts in billionths of a token in 64 bits.
pub const TOKENS_MAX: u64 = 1_000_000_000;

/// A part of a tenant's quota that only one class can use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassQuota {
    /// The class.
    pub class: String,
    /// Of the tenant's rate, in thousandths of a token a second.
    pub rate_milli: u64,
    /// Of the tenant's burst, in tokens.
    pub burst: u64,
}

/// One tenant's quota over the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantQuota {
    /// Whose.
    pub name: String,
    /// Thousandths of a token a second.
    pub rate_milli: u64,
    /// Tokens that may be spent at once.
    pub burst: u64,
    /// What a request of a class costs, in tokens; of any other class one.
    pub costs: Vec<(String, u64)>,
    /// Parts kept for classes: taken from the rate and burst above, not added to them.
    pub kept: Vec<ClassQuota>,
    /// Requests of a class a day.
    pub per_day: Vec<(String, u64)>,
}

/// All tenants' quotas, under a version of the fleet's policy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Policy {
    /// The policy's version.
    pub version: u64,
    /// Who has a quota; everybody else is not limited.
    pub tenants: Vec<TenantQuota>,
}

/// Why a policy was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PolicyError {
    /// More than [`TENANTS_MAX`].
    TooManyTenants(usize),
    /// A tenant's list names more than [`CLASSES_MAX`] classes.
    TooManyClasses(String),
    /// A tenant, or a class in one of its lists, stands there twice.
    Duplicate(String),
    /// A rate, burst, cost or count that is zero or above [`TOKENS_MAX`].
    OutOfRange(String),
    /// The kept parts leave the common part without rate or burst.
    NothingLeftForCommonPool(String),
    /// A class costs more than the burst that it may draw on: it could never be admitted.
    CostAboveBurst(String, String),
    /// Two pools have the same number; one of the names has to change.
    PoolIdCollision(String),
}

impl fmt::Display for PolicyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooManyTenants(n) => {
                write!(f, "{n} tenants with a quota, at most {TENANTS_MAX} are allowed")
            }
            Self::TooManyClasses(t) => write!(f, "tenant {t}: a list names more than {CLASSES_MAX} classes"),
            Self::Duplicate(t) => write!(f, "{t} stands there twice"),
            Self::OutOfRange(t) => {
                write!(
                    f,
                    "tenant {t}: rates, bursts, costs and counts are above 0 and at most {TOKENS_MAX} tokens"
                )
            }
            Self::NothingLeftForCommonPool(t) => {
                write!(f, "tenant {t}: the kept parts leave nothing for the other classes")
            }
            Self::CostAboveBurst(t, c) => {
                write!(f, "tenant {t}: a {c} costs more than the burst it may draw on")
            }
            Self::PoolIdCollision(t) => {
                write!(f, "tenant {t}: a pool's number is taken by another's; change the name")
            }
        }
    }
}

impl std::error::Error for PolicyError {}

/// A pool's number: what the log calls it. Two pools with one number would share one division, which wastes but is never
/// over; a policy with such is refused all the same.
pub(crate) fn number(tenant: &str, class: &str, kind: &str) -> u32 {
    let mut h = crc32fast::Hasher::new();
    for part in [tenant, class, kind] {
        h.update(part.as_bytes());
        h.update(&[0]);
    }
    h.finalize()
}

/// One pool as a node uses it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Pool {
    pub id: u32,
    pub rate_milli: u64,
    pub burst: u64,
    /// The dearest request that may draw on it, in tokens: a smaller cap serves nobody.
    pub dearest: u64,
}

/// What one class of one tenant draws on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Class {
    pub name: String,
    pub cost: u64,
    /// Place of its kept pool.
    pub kept: Option<usize>,
    /// Place of its day's count.
    pub day: Option<usize>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Rules {
    /// Place of the common pool.
    pub common: usize,
    pub classes: Vec<Class>,
    /// Places of the tenant's day counts.
    pub days: Vec<usize>,
}

/// A policy made ready for requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Compiled {
    pub version: u64,
    pub tenants: Vec<Rules>,
    pub by_name: HashMap<String, usize>,
    pub pools: Vec<Pool>,
    /// (number, limit) of each day's count.
    pub days: Vec<(u32, u64)>,
}

fn once<'a>(tenant: &str, names: impl Iterator<Item = &'a String>) -> Result<(), PolicyError> {
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
        once(&self.name, self.costs.iter().map(|c| &c.0))?;
        once(&self.name, self.kept.iter().map(|k| &k.class))?;
        once(&self.name, self.per_day.iter().map(|d| &d.0))?;
        let counts = self.costs.iter().chain(&self.per_day).map(|c| c.1);
        let kept = self.kept.iter().flat_map(|k| [k.burst, k.rate_milli.div_ceil(1000)]);
        let all = counts.chain(kept).chain([self.burst, self.rate_milli.div_ceil(1000)]);
        if all.into_iter().any(|n| n == 0 || n > TOKENS_MAX) {
            return Err(PolicyError::OutOfRange(t()));
        }
        let (rate, burst) = self.common();
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

    /// Rate and burst of the common part.
    fn common(&self) -> (u64, u64) {
        self.kept.iter().fold((self.rate_milli, self.burst), |(r, b), k| {
            (r.saturating_sub(k.rate_milli), b.saturating_sub(k.burst))
        })
    }

    /// What a request of `class` costs, in tokens.
    pub fn cost(&self, class: &str) -> u64 {
        self.costs.iter().find(|c| c.0 == class).map_or(1, |c| c.1)
    }
}

impl Policy {
    /// Whether it can be used.
    ///
    /// # Errors
    /// See [`PolicyError`].
    pub fn check(&self) -> Result<(), PolicyError> {
        self.compile().map(|_| ())
    }

    pub(crate) fn compile(&self) -> Result<Compiled, PolicyError> {
        if self.tenants.len() > TENANTS_MAX {
            return Err(PolicyError::TooManyTenants(self.tenants.len()));
        }
        let mut c = Compiled { version: self.version, ..Compiled::default() };
        let mut numbers = BTreeMap::new();
        for t in &self.tenants {
            t.check()?;
            let mut number = |class: &str, kind: &str| {
                let id = number(&t.name, class, kind);
                let taken = numbers.insert(id, ()).is_some();
                if taken {
                    Err(PolicyError::PoolIdCollision(t.name.clone()))
                } else {
                    Ok(id)
                }
            };
            if c.by_name.insert(t.name.clone(), c.tenants.len()).is_some() {
                return Err(PolicyError::Duplicate(format!("tenant {}", t.name)));
            }
            let (rate_milli, burst) = t.common();
            let common = c.pools.len();
            let dearest = t.costs.iter().map(|x| x.1).max().unwrap_or(1).max(1);
            c.pools.push(Pool { id: number("", "common")?, rate_milli, burst, dearest });
            let mut classes: BTreeMap<&str, Class> = BTreeMap::new();
            let fresh =
                |name: &str| Class { name: name.to_owned(), cost: t.cost(name), kept: None, day: None };
            for (name, _) in &t.costs {
                classes.insert(name, fresh(name));
            }
            for k in &t.kept {
                let class = classes.entry(&k.class).or_insert_with(|| fresh(&k.class));
                class.kept = Some(c.pools.len());
                let (rate_milli, burst, dearest) = (k.rate_milli, k.burst, class.cost);
                c.pools.push(Pool { id: number(&k.class, "kept")?, rate_milli, burst, dearest });
            }
            let mut days = Vec::new();
            for (name, limit) in &t.per_day {
                classes.entry(name).or_insert_with(|| fresh(name)).day = Some(c.days.len());
                days.push(c.days.len());
                c.days.push((number(name, "day")?, *limit));
            }
            c.tenants.push(Rules { common, classes: classes.into_values().collect(), days });
        }
        Ok(c)
    }
}
