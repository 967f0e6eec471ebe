//! Experiments: variants of a node × sites × seeds, run in parallel and compared in pairs.
//!
//! Each run is a function of its site, variant and seed. Results are therefore stored as lines of JSON, and
//! an interrupted experiment resumes where it ended: a stored line is used if its digest equals that of a
//! planned run.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;

use serde::{Deserialize, Serialize};

use crate::examples;
use crate::model::referee::goal;
use crate::model::spec::Site;
use crate::virt::{self, Run, Variant};

/// An experiment file.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// The sites.
    pub sites: Vec<Case>,
    /// Number of seeds.
    pub seeds: u64,
    /// The first seed.
    #[serde(default = "first")]
    pub first_seed: u64,
    /// The variants; all others are compared with the first.
    pub variants: Vec<Variant>,
}

fn first() -> u64 {
    1
}

/// A site of an experiment: the name of an embedded site or the path of a site file, unchanged or with some
/// fields set.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(untagged)]
pub enum Case {
    /// Unchanged.
    Plain(String),
    /// With fields set and a name of its own.
    Set(SetCase),
}

/// A site with some of its fields set.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SetCase {
    /// Name of an embedded site, or path of a site file.
    pub site: String,
    /// Name in the results.
    pub name: String,
    /// Values by the path of the field, as in `"clients.load" = 0.8` or `"faults.0.share" = 0.1`.
    pub set: BTreeMap<String, toml::Value>,
}

impl Case {
    fn site(&self) -> &str {
        match self {
            Self::Plain(site) => site,
            Self::Set(case) => &case.site,
        }
    }

    /// Applies the field values to the site.
    fn apply(&self, mut site: Site) -> Result<Site, Vec<String>> {
        let Self::Set(case) = self else { return Ok(site) };
        site.name = case.name.clone();
        let mut value = toml::Value::try_from(&site).map_err(|e| vec![e.to_string()])?;
        for (path, to) in &case.set {
            set(&mut value, path, to.clone()).map_err(|e| vec![e])?;
        }
        let site: Site = value.try_into().map_err(|e: toml::de::Error| vec![e.message().to_string()])?;
        site.check().map(|()| site)
    }
}

/// Sets one field by its path; all parts of the path but the last must exist.
fn set(value: &mut toml::Value, path: &str, to: toml::Value) -> Result<(), String> {
    let (parent, last) = path.rsplit_once('.').unwrap_or(("", path));
    let mut at = value;
    for part in parent.split('.').filter(|p| !p.is_empty()) {
        let inner = match at {
            toml::Value::Array(all) => part.parse::<usize>().ok().and_then(|n| all.get_mut(n)),
            other => other.get_mut(part),
        };
        at = inner.ok_or_else(|| format!("set: {path}: there is no {part}"))?;
    }
    match at {
        toml::Value::Table(table) => {
            table.insert(last.to_string(), to);
            Ok(())
        }
        _ => Err(format!("set: {path}: {last} is no field")),
    }
}

/// One planned run.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index of its site.
    pub site: usize,
    /// Index of its variant.
    pub variant: usize,
    /// Its seed.
    pub seed: u64,
    /// Digest that distinguishes it from all other runs.
    pub digest: String,
}

/// An experiment with its sites, parsed and checked.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The experiment.
    pub experiment: Experiment,
    /// Its sites.
    pub sites: Vec<Site>,
    /// Its runs, in order.
    pub jobs: Vec<Job>,
}

/// A line of results.
#[derive(Clone, Debug, Serialize)]
pub struct Line<'a> {
    /// Digest of the run.
    pub digest: &'a str,
    /// Result of the run.
    pub run: &'a Run,
}

/// The part of a result that comparisons need; read back from a stored line.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct StoredResult {
    /// Score of the goal.
    pub goal: f64,
    /// Share of the worth that was served in time.
    pub worth: f64,
    /// The same share in the worst 10 s.
    pub worst_10_s: f64,
    /// Number of broken rules.
    pub rules_broken: u64,
}

impl From<&Run> for StoredResult {
    fn from(run: &Run) -> Self {
        let v = &run.verdict;
        Self { goal: v.goal(), worth: v.worth, worst_10_s: v.worst_10_s, rules_broken: v.rules_broken() }
    }
}

/// 128-bit FNV-1a in hex: sufficient to distinguish runs, and equal on all machines.
fn digest(text: &str) -> String {
    let step = |h: u128, b: u8| (h ^ u128::from(b)).wrapping_mul(0x0000_0000_0100_0000_0000_0000_0000_013B);
    format!("{:032x}", text.bytes().fold(0x6C62_272E_07BB_0142_62B8_2175_6295_C58D, step))
}

impl Plan {
    /// Parses an experiment's text; `read` returns the text of sites that are not embedded.
    ///
    /// # Errors
    /// One line for each error, with its field or file.
    pub fn parse(text: &str, read: impl Fn(&str) -> Result<String, String>) -> Result<Self, Vec<String>> {
        let experiment: Experiment =
            toml::from_str(text).map_err(|e| vec![e.to_string().trim_end().to_string()])?;
        let mut errors = Vec::new();
        let mut sites = Vec::new();
        for (n, case) in experiment.sites.iter().enumerate() {
            let name = case.site();
            let site = match examples::site(name) {
                Some(site) => Ok(site),
                None => read(name).map_err(|e| vec![e]).and_then(|text| Site::parse(&text)),
            };
            match site.and_then(|site| case.apply(site)) {
                Ok(site) => sites.push(site),
                Err(words) => errors.extend(words.iter().map(|w| format!("sites[{n}] {name}: {w}"))),
            }
        }
        if experiment.variants.is_empty() {
            errors.push("variants: one is needed at least".into());
        }
        if experiment.sites.is_empty() {
            errors.push("sites: one is needed at least".into());
        }
        if experiment.seeds == 0 {
            errors.push("seeds: one is needed at least".into());
        }
        let names = experiment.variants.iter().map(|v| &v.name);
        if names.clone().count() != names.collect::<std::collections::BTreeSet<_>>().len() {
            errors.push("variants: a name is there twice".into());
        }
        if !errors.is_empty() {
            return Err(errors);
        }
        let mut jobs = Vec::new();
        for (s, site) in sites.iter().enumerate() {
            // A site that was parsed can be serialized.
            let site = serde_json::to_string(site).unwrap_or_default();
            for seed in experiment.first_seed..experiment.first_seed.saturating_add(experiment.seeds) {
                for (v, variant) in experiment.variants.iter().enumerate() {
                    let variant = serde_json::to_string(variant).unwrap_or_default();
                    let digest = digest(&format!("{site}\n{variant}\n{seed}"));
                    jobs.push(Job { site: s, variant: v, seed, digest });
                }
            }
        }
        Ok(Self { experiment, sites, jobs })
    }

    /// Reads the results of this plan's runs from stored lines. Truncated lines and lines of other runs are
    /// ignored.
    pub fn resume(&self, lines: &str) -> BTreeMap<String, StoredResult> {
        let mut stored = BTreeMap::new();
        for line in lines.lines() {
            let Ok(value) = serde_json::from_str::<serde_json::Value>(line) else { continue };
            let digest = value["digest"].as_str().unwrap_or_default();
            let v = &value["run"]["verdict"];
            let number = |name: &str| v[name].as_f64();
            let part = |name: &str| number(name).filter(|n| n.is_finite());
            let (Some(worth), Some(worst_10_s), Some(class), Some(tenant)) =
                (part("worth"), part("worst_10_s"), part("worst_class"), part("worst_tenant"))
            else {
                continue;
            };
            let broken = v["broken"].as_object();
            let rules_broken = broken.map_or(0, |b| b.values().filter_map(serde_json::Value::as_u64).sum());
            let goal = goal(worth, worst_10_s, class, tenant);
            stored.insert(digest.to_string(), StoredResult { goal, worth, worst_10_s, rules_broken });
        }
        stored.retain(|digest, _| self.jobs.iter().any(|j| j.digest == *digest));
        stored
    }

    /// Runs the jobs that are not in `done` on the given number of threads, and passes each to `each` when it
    /// ends.
    pub fn run_jobs(
        &self,
        done: &BTreeMap<String, StoredResult>,
        threads: usize,
        mut each: impl FnMut(&Job, &Run),
    ) {
        let left: Vec<&Job> = self.jobs.iter().filter(|j| !done.contains_key(&j.digest)).collect();
        let next = AtomicUsize::new(0);
        let (send, ended) = mpsc::channel();
        std::thread::scope(|scope| {
            for _ in 0..threads.clamp(1, left.len().max(1)) {
                let (send, next, left) = (send.clone(), &next, &left);
                scope.spawn(move || loop {
                    let Some(job) = left.get(next.fetch_add(1, Ordering::Relaxed)) else { return };
                    let variant = &self.experiment.variants[job.variant];
                    let run = virt::run(&self.sites[job.site], job.seed, variant);
                    // The receiver is gone where the experiment was abandoned.
                    if send.send((*job, run)).is_err() {
                        return;
                    }
                });
            }
            drop(send);
            for (job, run) in ended {
                each(job, &run);
            }
        });
    }

    /// The runs of the first variant with the lowest goal: site, seed and goal.
    pub fn worst(&self, results: &BTreeMap<String, StoredResult>, count: usize) -> Vec<(&str, u64, f64)> {
        let first = self.jobs.iter().filter(|j| j.variant == 0);
        let of = |j: &Job| Some((self.sites[j.site].name.as_str(), j.seed, results.get(&j.digest)?.goal));
        let mut all: Vec<(&str, u64, f64)> = first.filter_map(of).collect();
        all.sort_by(|a, b| a.2.total_cmp(&b.2));
        all.truncate(count);
        all
    }

    /// Compares the variants on each site.
    pub fn compare(&self, results: &BTreeMap<String, StoredResult>) -> Vec<Row> {
        let mut rows = Vec::new();
        for (s, site) in self.sites.iter().enumerate() {
            let of = |v: usize| {
                let jobs = self.jobs.iter().filter(move |j| j.site == s && j.variant == v);
                jobs.filter_map(|j| Some((j.seed, results.get(&j.digest)?)))
                    .collect::<BTreeMap<u64, &StoredResult>>()
            };
            let first = of(0);
            for (v, variant) in self.experiment.variants.iter().enumerate() {
                let own = of(v);
                let pairs = own.iter().filter_map(|(seed, k)| Some(k.goal - first.get(seed)?.goal));
                let goals: Vec<f64> = own.values().map(|k| k.goal).collect();
                rows.push(Row {
                    site: site.name.clone(),
                    variant: variant.name.clone(),
                    seeds: own.len(),
                    goal: mean(&goals).0,
                    worth: mean(&own.values().map(|k| k.worth).collect::<Vec<_>>()).0,
                    worst_10_s: mean(&own.values().map(|k| k.worst_10_s).collect::<Vec<_>>()).0,
                    least: goals.iter().copied().fold(f64::INFINITY, f64::min),
                    against_first: mean(&pairs.collect::<Vec<_>>()),
                    rules_broken: own.values().map(|k| k.rules_broken).sum(),
                });
            }
        }
        rows
    }
}

/// Sorts rows by the goal of the first variant of their site, lowest first; rows of a site stay together.
pub fn worst_first(rows: &mut [Row]) {
    let mut first: BTreeMap<String, f64> = BTreeMap::new();
    for row in rows.iter() {
        first.entry(row.site.clone()).or_insert(row.goal);
    }
    rows.sort_by(|a, b| first[&a.site].total_cmp(&first[&b.site]));
}

/// One variant on one site.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Row {
    /// The site.
    pub site: String,
    /// The variant.
    pub variant: String,
    /// Number of seeds.
    pub seeds: usize,
    /// Mean score of the goal.
    pub goal: f64,
    /// Mean share of the worth that was served in time.
    pub worth: f64,
    /// Mean of that share in the worst 10 s.
    pub worst_10_s: f64,
    /// Lowest score of a seed.
    pub least: f64,
    /// Improvement over the first variant, paired by seed: the mean, and half of its 95% interval.
    pub against_first: (f64, f64),
    /// Number of broken rules over all seeds.
    pub rules_broken: u64,
}

/// The mean, and half of its 95% interval by Student's t.
pub fn mean(values: &[f64]) -> (f64, f64) {
    /// Two-sided 95% quantiles for 1 to 30 degrees of freedom.
    const T: [f64; 30] = [
        12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145,
        2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048,
        2.045, 2.042,
    ];
    let n = values.len() as f64;
    let mean = values.iter().sum::<f64>() / n.max(1.0);
    if values.len() < 2 {
        return (mean, f64::INFINITY);
    }
    let variance = values.iter().map(|v| (v - mean) * (v - mean)).sum::<f64>() / (n - 1.0);
    let t = T.get(values.len() - 2).copied().unwrap_or(1.96);
    (mean, t * (variance / n).sqrt())
}

/// The comparison as a table.
pub fn table(rows: &[Row]) -> String {
    let mut text = format!(
        "{:<14} {:<18} {:>5} {:>7} {:>7} {:>7} {:>7} {:>19} {:>6}\n",
        "site", "variant", "seeds", "goal", "worth", "10 s", "least", "against the first", "broken"
    );
    for r in rows {
        let (by, half) = r.against_first;
        let against = if by == 0.0 && half == 0.0 { "-".into() } else { format!("{by:+.4} ± {half:.4}") };
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{:<14} {:<18} {:>5} {:>7.4} {:>7.4} {:>7.4} {:>7.4} {:>19} {:>6}",
            r.site, r.variant, r.seeds, r.goal, r.worth, r.worst_10_s, r.least, against, r.rules_broken
        );
    }
    text
}
