//! Experiments: variants of a node × sites × seeds, in parallel, compared in pairs.
//!
//! Each run is a function of its site, variant and seed, so results can be kept as lines of JSON and a run that was
//! interrupted goes on where it ended: a line counts where its digest is that of the run that is wanted.

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
    /// How many seeds.
    pub seeds: u64,
    /// The first of them.
    #[serde(default = "first")]
    pub first_seed: u64,
    /// The variants; the others are held against the first.
    pub variants: Vec<Variant>,
}

fn first() -> u64 {
    1
}

/// A site of an experiment: the name of an embedded one or the path of a site file, as it is or with some fields set.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(untagged)]
pub enum Case {
    /// As it is.
    Plain(String),
    /// With fields set, under a name of its own.
    Set(SetCase),
}

/// A site with some of its fields set.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SetCase {
    /// The name of an embedded site, or the path of a site file.
    pub site: String,
    /// What it is called in the results.
    pub name: String,
    /// Fields by their path, as `"clients.load" = 0.8` or `"faults.0.share" = 0.1`.
    pub set: BTreeMap<String, toml::Value>,
}

impl Case {
    fn site(&self) -> &str {
        match self {
            Self::Plain(site) => site,
            Self::Set(case) => &case.site,
        }
    }

    /// The site with its fields set.
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

/// Sets one field by its path; all but the last part must be there.
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

/// One run that an experiment wants.
#[derive(Clone, Debug)]
pub struct Job {
    /// The place of its site.
    pub site: usize,
    /// The place of its variant.
    pub variant: usize,
    /// Its seed.
    pub seed: u64,
    /// What tells it from all others.
    pub digest: String,
}

/// An experiment whose sites are read and checked.
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
    /// The run's digest.
    pub digest: &'a str,
    /// Its outcome.
    pub run: &'a Run,
}

/// The part of a run that comparisons need; read back from a line.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Kept {
    /// The goal's figure.
    pub goal: f64,
    /// Worth in time.
    pub worth: f64,
    /// Of the worst 10 s.
    pub worst_10_s: f64,
    /// Rules broken.
    pub rules_broken: u64,
}

impl From<&Run> for Kept {
    fn from(run: &Run) -> Self {
        let v = &run.verdict;
        Self { goal: v.goal(), worth: v.worth, worst_10_s: v.worst_10_s, rules_broken: v.rules_broken() }
    }
}

/// FNV-1a over 128 bits, in hex: enough to tell runs apart, and the same everywhere.
fn digest(text: &str) -> String {
    let step = |h: u128, b: u8| (h ^ u128::from(b)).wrapping_mul(0x0000_0000_0100_0000_0000_0000_0000_013B);
    format!("{:032x}", text.bytes().fold(0x6C62_272E_07BB_0142_62B8_2175_6295_C58D, step))
}

impl Plan {
    /// Reads an experiment's text; sites that are no embedded ones are read by `read`.
    ///
    /// # Errors
    /// One line for each thing that is wrong, with its field or file.
    pub fn read(text: &str, read: impl Fn(&str) -> Result<String, String>) -> Result<Self, Vec<String>> {
        let experiment: Experiment =
            toml::from_str(text).map_err(|e| vec![e.to_string().trim_end().to_string()])?;
        let mut errors = Vec::new();
        let mut sites = Vec::new();
        for (n, case) in experiment.sites.iter().enumerate() {
            let name = case.site();
            let site = match examples::site(name) {
                Some(site) => Ok(site),
                None => read(name).map_err(|e| vec![e]).and_then(|text| Site::read(&text)),
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
            // A site that has been read can be written.
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

    /// What lines from before say of this plan's runs. A line that was cut off, or is of another run, counts for
    /// nothing.
    pub fn resume(&self, lines: &str) -> BTreeMap<String, Kept> {
        let mut kept = BTreeMap::new();
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
            kept.insert(digest.to_string(), Kept { goal, worth, worst_10_s, rules_broken });
        }
        kept.retain(|digest, _| self.jobs.iter().any(|j| j.digest == *digest));
        kept
    }

    /// Plays the jobs that `done` does not hold on so many threads, and hands each to `each` as it ends.
    pub fn play(&self, done: &BTreeMap<String, Kept>, threads: usize, mut each: impl FnMut(&Job, &Run)) {
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
                    // Nobody listens any more where the experiment was given up.
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

    /// The runs of the first variant that came out worst: site, seed and goal.
    pub fn worst(&self, results: &BTreeMap<String, Kept>, count: usize) -> Vec<(&str, u64, f64)> {
        let first = self.jobs.iter().filter(|j| j.variant == 0);
        let of = |j: &Job| Some((self.sites[j.site].name.as_str(), j.seed, results.get(&j.digest)?.goal));
        let mut all: Vec<(&str, u64, f64)> = first.filter_map(of).collect();
        all.sort_by(|a, b| a.2.total_cmp(&b.2));
        all.truncate(count);
        all
    }

    /// Compares the variants on each site.
    pub fn compare(&self, results: &BTreeMap<String, Kept>) -> Vec<Row> {
        let mut rows = Vec::new();
        for (s, site) in self.sites.iter().enumerate() {
            let of = |v: usize| {
                let jobs = self.jobs.iter().filter(move |j| j.site == s && j.variant == v);
                jobs.filter_map(|j| Some((j.seed, results.get(&j.digest)?))).collect::<BTreeMap<u64, &Kept>>()
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

/// Rows with the site first on which the first variant does worst; rows of a site stay together.
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
    /// How many seeds.
    pub seeds: usize,
    /// Mean of the goal's figure.
    pub goal: f64,
    /// Mean worth in time.
    pub worth: f64,
    /// Mean of the worst 10 s.
    pub worst_10_s: f64,
    /// The least goal of a seed.
    pub least: f64,
    /// How much better than the first variant, seed by seed: the mean, and half of its 95% interval.
    pub against_first: (f64, f64),
    /// Rules broken, over all seeds.
    pub rules_broken: u64,
}

/// The mean, and half of its 95% interval by Student's t.
pub fn mean(values: &[f64]) -> (f64, f64) {
    /// Two-sided 95% points for 1 to 30 degrees of freedom.
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
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "{:<14} {:<18} {:>5} {:>7.4} {:>7.4} {:>7.4} {:>7.4} {:>19} {:>6}",
            r.site, r.variant, r.seeds, r.goal, r.worth, r.worst_10_s, r.least, against, r.rules_broken
        );
    }
    text
}
