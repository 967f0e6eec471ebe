//! The referee: it watches clients, nodes and boxes from outside, knows the four rules, and counts worth. It shares no
//! code with the node, and believes nothing that a node says of itself.
//!
//! The rules: (1) each request that a node took has one final answer, by the client's deadline; (2) nothing runs again
//! beyond its class's right, and what may have run is not called refused; (3) no new work for a box 750 ms after news
//! of its drain; (4) no cold box is pushed over. Beside them it notes answers that were held back.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;

use super::faults::FaultKind;
use super::spec::{Effect, KeyGroup, Site};
use super::time::{micros, millis, Micros, SECOND};

/// A client's request, over all its tries.
pub type RequestNo = usize;
/// One try of a request at one node.
pub type TryNo = usize;
/// One attempt of a try at one box.
pub type AttemptNo = usize;

/// The final answer of a try, as its client read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// Served.
    Served,
    /// Refused, as harmless to repeat.
    Refused,
    /// Failed.
    Failed,
}

/// What broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A request was lost, answered twice, or after its time.
    OneAnswer,
    /// An effect ran again, or what may have run was refused.
    Repeats,
    /// A box got new work after its drain.
    Drain,
    /// A cold box was pushed over.
    ColdBox,
    /// A refusal or failure was held back.
    HeldBack,
}

/// One breach, for people.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    /// Which rule.
    pub rule: Rule,
    /// When, in milliseconds.
    pub at_ms: f64,
    /// What happened.
    pub words: String,
}

/// Breaches that are kept in words; all are counted.
const BREACHES_KEPT_MAX: usize = 50;
/// The stretch of time whose worst is told.
const WORST_WINDOW_US: Micros = 10 * SECOND;
/// Part of its time for which a try may have had no attempt out before it is refused or failed: beyond that the
/// answer was held back.
const HELD_BACK_SHARE: f64 = 0.6;
/// The least of it that is held against a node, as requests that come in a rush may be held for a moment.
const HELD_BACK_MIN_US: Micros = 200_000;
/// In how many parts a cold box's window is counted.
const COLD_WINDOW_PARTS: u64 = 30;
/// Chance in what a cold box is sent: the work that may go beyond the multiple, in work of this many mean requests.
const COLD_SLACK_REQUESTS: f64 = 3.0;

struct Request {
    class: usize,
    tenant: Option<usize>,
    worth: f64,
    asked: Micros,
    served: bool,
    answered: bool,
    /// Runs of its effect: when the first send to the group was, by group.
    runs: Vec<(usize, Micros)>,
}

struct Try {
    request: RequestNo,
    node: usize,
    taken: Option<Micros>,
    deadline: Micros,
    finished: bool,
    /// Its node was killed: an answer may still be on its way, and is not owed.
    node_killed: bool,
    /// Attempts that reached a box whole and were not turned away.
    may_have_run: u32,
    /// Its answer was a refusal that promised that nothing had run.
    refused_as_not_run: bool,
    in_flight: u32,
    /// Since when nothing has been out, and for how long in all before.
    idle_since: Micros,
    idle: Micros,
}

struct Attempt {
    of: TryNo,
    app_box: usize,
    sent: Micros,
    finished: bool,
}

#[derive(Clone, Default)]
struct BoxWatch {
    /// Each node's news of the drain: since when.
    told: BTreeMap<usize, Micros>,
    /// When it was to be drained.
    drains: Option<Micros>,
    /// Cold since.
    cold: Option<Micros>,
    /// Work sent in the last window, by parts.
    sent: VecDeque<(Micros, f64)>,
    sum: f64,
    pushed: bool,
}

/// Sums for one class, tenant, window, or the whole.
#[derive(Clone, Copy, Debug, Default, Serialize, PartialEq)]
pub struct Sum {
    /// First tries.
    pub requests: u64,
    /// Answered within the aim, counted from the first asking.
    pub in_time: u64,
    /// Served in the end, in time or not.
    pub served: u64,
    /// Refused in the end.
    pub refused: u64,
    /// Failed in the end.
    pub failed: u64,
    /// Worth asked for.
    pub worth_asked: f64,
    /// Worth answered in time.
    pub worth_in_time: f64,
}

impl Sum {
    /// Part of the worth that was answered in time; 1 where none was asked for.
    pub fn part(&self) -> f64 {
        if self.worth_asked > 0.0 {
            self.worth_in_time / self.worth_asked
        } else {
            1.0
        }
    }
}

/// What the referee has to say in the end.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Verdict {
    /// Over all.
    pub whole: Sum,
    /// Worth in time, as a part.
    pub worth: f64,
    /// The same in the worst 10 s.
    pub worst_10_s: f64,
    /// When those began, in seconds.
    pub worst_10_s_at: f64,
    /// By class.
    pub classes: Vec<(String, f64)>,
    /// By tenant, within its quota.
    pub tenants: Vec<(String, f64)>,
    /// The worst class.
    pub worst_class: f64,
    /// The worst tenant.
    pub worst_tenant: f64,
    /// Tries beyond first ones, for each first one.
    pub retries: f64,
    /// Attempts for each try that a node took.
    pub attempts: f64,
    /// Work that answered nobody, as a part of all work done.
    pub waste: f64,
    /// How many breaches of each rule.
    pub broken: BTreeMap<Rule, u64>,
    /// The first of them in words.
    pub breaches: Vec<Breach>,
}

impl Verdict {
    /// How often rules were broken.
    pub fn rules_broken(&self) -> u64 {
        self.broken.values().sum()
    }

    /// One figure: the whole, the worst 10 s, the worst class and the worst tenant, weighted as the users do.
    pub fn goal(&self) -> f64 {
        goal(self.worth, self.worst_10_s, self.worst_class, self.worst_tenant)
    }
}

/// The users' figure for the worth of the whole, the worst 10 s, the worst class and the worst tenant.
pub fn goal(whole: f64, worst_10_s: f64, worst_class: f64, worst_tenant: f64) -> f64 {
    0.45 * whole + 0.15 * worst_10_s + 0.3 * worst_class + 0.1 * worst_tenant
}

struct ClassRule {
    name: String,
    worth: f64,
    aim: Micros,
    effect: Effect,
    group: KeyGroup,
    span: Micros,
}

/// The referee of one run.
pub struct Referee {
    classes: Vec<ClassRule>,
    tenants: Vec<String>,
    over_share_worth: f64,
    grace: Micros,
    told_within: Micros,
    slack: Micros,
    fall: (f64, Micros),
    mean_work: f64,
    zones: Vec<usize>,
    requests: Vec<Request>,
    tries: Vec<Try>,
    attempts: Vec<Attempt>,
    boxes: Vec<BoxWatch>,
    windows: Vec<Sum>,
    class_sums: Vec<Sum>,
    tenant_sums: Vec<Sum>,
    whole: Sum,
    work_done: f64,
    work_used: f64,
    broken: BTreeMap<Rule, u64>,
    breaches: Vec<Breach>,
}

impl Referee {
    /// A referee who knows the site's rules and in which zone each box is.
    pub fn new(site: &Site, zones: Vec<usize>) -> Self {
        let w = &site.clients;
        let class = |c: &super::spec::Class| ClassRule {
            name: c.name.clone(),
            worth: c.worth,
            aim: micros(c.aim_ms),
            effect: c.effect,
            group: c.key_group,
            span: micros(c.key_span_ms),
        };
        Self {
            classes: w.classes.iter().map(class).collect(),
            tenants: w.tenants.iter().map(|t| t.name.clone()).collect(),
            over_share_worth: w.over_share_worth,
            grace: micros(site.rules.drain_grace_ms),
            told_within: micros(site.rules.told_within_ms),
            slack: micros(site.rules.answer_slack_ms),
            fall: (site.rules.fall_multiple, micros(site.rules.fall_ms)),
            mean_work: site.mean_work_ms() * 1000.0,
            boxes: vec![BoxWatch::default(); zones.len()],
            zones,
            requests: Vec::new(),
            tries: Vec::new(),
            attempts: Vec::new(),
            windows: Vec::new(),
            class_sums: vec![Sum::default(); w.classes.len()],
            tenant_sums: vec![Sum::default(); w.tenants.len()],
            whole: Sum::default(),
            work_done: 0.0,
            work_used: 0.0,
            broken: BTreeMap::new(),
            breaches: Vec::new(),
        }
    }

    fn note(&mut self, rule: Rule, at: Micros, words: impl FnOnce() -> String) {
        *self.broken.entry(rule).or_default() += 1;
        if self.breaches.len() < BREACHES_KEPT_MAX {
            self.breaches.push(Breach { rule, at_ms: millis(at), words: words() });
        }
    }

    // ---- Clients ----

    /// A client has something to ask for. Its tries all count as this one.
    pub fn asked(&mut self, now: Micros, class: usize, tenant: Option<usize>, in_quota: bool) -> RequestNo {
        let worth = self.classes[class].worth * if in_quota { 1.0 } else { self.over_share_worth };
        let request = Request {
            class,
            tenant: tenant.filter(|_| in_quota),
            worth,
            asked: now,
            served: false,
            answered: false,
            runs: Vec::new(),
        };
        self.sums(&request, |sum| {
            sum.requests += 1;
            sum.worth_asked += worth;
        });
        self.requests.push(request);
        self.requests.len() - 1
    }

    fn sums(&mut self, request: &Request, mut add: impl FnMut(&mut Sum)) {
        let window = (request.asked / WORST_WINDOW_US) as usize;
        if self.windows.len() <= window {
            self.windows.resize(window + 1, Sum::default());
        }
        add(&mut self.windows[window]);
        add(&mut self.class_sums[request.class]);
        add(&mut self.whole);
        if let Some(tenant) = request.tenant {
            add(&mut self.tenant_sums[tenant]);
        }
    }

    /// A client sends a try of its request to a node.
    pub fn tried(&mut self, now: Micros, request: RequestNo, node: usize, deadline: Micros) -> TryNo {
        self.tries.push(Try {
            request,
            node,
            taken: None,
            deadline,
            finished: false,
            node_killed: false,
            may_have_run: 0,
            refused_as_not_run: false,
            in_flight: 0,
            idle_since: now,
            idle: 0,
        });
        self.tries.len() - 1
    }

    /// The try's last byte has reached the node: from now on it owes an answer.
    pub fn taken(&mut self, now: Micros, number: TryNo) {
        let try_ = &mut self.tries[number];
        (try_.taken, try_.idle_since) = (Some(now), now);
    }

    /// The node that a try was written to had just been killed, and its end was not through to the client yet.
    pub fn taken_by_killed_node(&mut self, number: TryNo) {
        self.tries[number].node_killed = true;
    }

    /// The client reads a final answer that left its node at `left`.
    pub fn answered(&mut self, now: Micros, left: Micros, number: TryNo, answer: Final) {
        let (over, deadline, request, may_have_run) = {
            let t = &self.tries[number];
            (t.finished, t.deadline, t.request, t.may_have_run > 0)
        };
        if over {
            self.note(Rule::OneAnswer, now, || format!("try {number} was answered twice"));
            return;
        }
        if left > deadline + self.slack {
            self.note(Rule::OneAnswer, now, || {
                format!("try {number} was answered {:.1} ms after its deadline", millis(left - deadline))
            });
        }
        let class = self.requests[request].class;
        if answer == Final::Refused {
            let rule = &self.classes[class];
            let harmless = match rule.effect {
                Effect::Safe => true,
                Effect::Unsafe => !may_have_run,
                Effect::Keyed => !may_have_run || rule.group == KeyGroup::All,
            };
            self.tries[number].refused_as_not_run = match rule.effect {
                Effect::Safe => false,
                Effect::Unsafe => true,
                Effect::Keyed => rule.group != KeyGroup::All,
            };
            if !harmless {
                let name = rule.name.clone();
                self.note(Rule::Repeats, now, || {
                    format!("{name} {number} was refused though it may have run")
                });
            }
        }
        if answer != Final::Served {
            self.check_held_back(left, number);
        }
        let aim = self.classes[class].aim;
        let request = &mut self.requests[request];
        let first = !request.served;
        request.answered = true;
        if answer == Final::Served && first {
            request.served = true;
            let in_time = now.saturating_sub(request.asked) <= aim;
            let request = Request { runs: Vec::new(), ..*request };
            self.sums(&request, |sum| {
                sum.served += 1;
                if in_time {
                    sum.in_time += 1;
                    sum.worth_in_time += request.worth;
                }
            });
        }
        self.tries[number].finished = true;
    }

    /// An answer that the node had nothing to wait for is one that it held back.
    fn check_held_back(&mut self, left: Micros, number: TryNo) {
        let t = &self.tries[number];
        let Some(taken) = t.taken else { return };
        let idle = t.idle + if t.in_flight == 0 { left.saturating_sub(t.idle_since) } else { 0 };
        let whole = t.deadline.saturating_sub(taken);
        if idle >= HELD_BACK_MIN_US && idle as f64 > HELD_BACK_SHARE * whole as f64 {
            self.note(Rule::HeldBack, left, || {
                format!("try {number} had nothing out for {:.0} of its {:.0} ms", millis(idle), millis(whole))
            });
        }
    }

    /// The client gave up, closed, or saw its connection to the node break. `lost`: the node itself ended the
    /// connection of a try that it had taken, without dying.
    pub fn left(&mut self, now: Micros, number: TryNo, lost: bool) {
        if self.tries[number].finished {
            return;
        }
        if lost && self.tries[number].taken.is_some() && !self.tries[number].node_killed {
            self.note(Rule::OneAnswer, now, || format!("try {number} was lost"));
        }
        self.tries[number].finished = true;
    }

    /// A client has done with its request.
    pub fn settled(&mut self, request: RequestNo, refused: bool) {
        let request = &self.requests[request];
        if request.served {
            return;
        }
        let request = Request { runs: Vec::new(), ..*request };
        self.sums(&request, |sum| if refused { sum.refused += 1 } else { sum.failed += 1 });
    }

    // ---- Nodes ----

    /// A node was killed: what it held is its clients' to repeat, and no blame of the next node.
    pub fn node_killed(&mut self, node: usize) {
        for t in self.tries.iter_mut().filter(|t| t.node == node && !t.finished && t.taken.is_some()) {
            t.node_killed = true;
        }
        for watch in &mut self.boxes {
            watch.told.remove(&node);
        }
    }

    /// A node begins an attempt at a box.
    pub fn sent(&mut self, now: Micros, of: TryNo, app_box: usize) -> AttemptNo {
        let t = &mut self.tries[of];
        if t.in_flight == 0 {
            t.idle += now.saturating_sub(t.idle_since);
        }
        t.in_flight += 1;
        self.attempts.push(Attempt { of, app_box, sent: now, finished: false });
        self.attempts.len() - 1
    }

    /// The attempt's first byte is written: from here on it is work for its box.
    pub fn written(&mut self, now: Micros, number: AttemptNo) {
        let Attempt { of, app_box, .. } = self.attempts[number];
        let node = self.tries[of].node;
        let watch = &self.boxes[app_box];
        let told = watch.told.get(&node).copied();
        let at_latest = watch.drains.map(|at| at + self.told_within);
        let told = match (told, at_latest) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        if told.is_some_and(|at| now > at + self.grace) {
            self.note(Rule::Drain, now, || format!("box {app_box} got work of node {node} after its drain"));
        }
    }

    /// The attempt is over as far as its node can tell, and nothing of it is out any more.
    pub fn ended(&mut self, now: Micros, number: AttemptNo) {
        let attempt = &mut self.attempts[number];
        if std::mem::replace(&mut attempt.finished, true) {
            return;
        }
        let t = &mut self.tries[attempt.of];
        t.in_flight -= 1;
        if t.in_flight == 0 {
            t.idle_since = now;
        }
    }

    /// A node was told that a box drains, or that it is in service.
    pub fn told(&mut self, now: Micros, node: usize, app_box: usize, takes_work: bool) {
        let told = &mut self.boxes[app_box].told;
        if takes_work {
            told.remove(&node);
        } else {
            told.entry(node).or_insert(now);
        }
    }

    // ---- Boxes ----

    /// The operators drain a box, or have it back.
    pub fn drains(&mut self, now: Micros, app_box: usize, drains: bool) {
        self.boxes[app_box].drains = drains.then_some(now);
    }

    /// A box's process starts cold.
    pub fn started(&mut self, now: Micros, app_box: usize) {
        let watch = &mut self.boxes[app_box];
        (watch.cold, watch.pushed) = (Some(now), false);
        watch.sent.clear();
        watch.sum = 0.0;
    }

    /// An attempt reached its box whole. `work` is what it brings, `capacity` what the box can do at present, in
    /// microseconds of work a microsecond; `warm` where it is no longer cold. True where the box falls over.
    pub fn reached(&mut self, now: Micros, number: AttemptNo, work: f64, capacity: f64, warm: bool) -> bool {
        let Attempt { of, app_box, .. } = self.attempts[number];
        let t = &mut self.tries[of];
        t.may_have_run += 1;
        if t.refused_as_not_run {
            self.note(Rule::Repeats, now, || {
                format!("try {of} was refused, and reached box {app_box} all the same")
            });
        }
        if warm {
            self.boxes[app_box].cold = None;
        }
        self.check_cold(now, app_box, work, capacity)
    }

    fn check_cold(&mut self, now: Micros, app_box: usize, work: f64, capacity: f64) -> bool {
        let (multiple, window) = self.fall;
        let part = (window / COLD_WINDOW_PARTS).max(1);
        let watch = &mut self.boxes[app_box];
        if watch.cold.is_none() || watch.pushed {
            return false;
        }
        let slot = now / part;
        match watch.sent.back_mut() {
            Some((at, sum)) if *at == slot => *sum += work,
            _ => watch.sent.push_back((slot, work)),
        }
        watch.sum += work;
        while let Some((_, sum)) =
            watch.sent.front().copied().filter(|(at, _)| at + COLD_WINDOW_PARTS <= slot)
        {
            watch.sum -= sum;
            watch.sent.pop_front();
        }
        let most = multiple * capacity * window as f64 + COLD_SLACK_REQUESTS * self.mean_work;
        if watch.sum <= most {
            return false;
        }
        watch.pushed = true;
        let sum = watch.sum;
        self.note(Rule::ColdBox, now, || {
            format!(
                "cold box {app_box} was sent {:.0} ms of work where {:.0} was the most",
                sum / 1e3,
                most / 1e3
            )
        });
        true
    }

    /// An attempt that reached its box was turned away unseen.
    pub fn rejected(&mut self, number: AttemptNo) {
        let of = self.attempts[number].of;
        self.tries[of].may_have_run = self.tries[of].may_have_run.saturating_sub(1);
    }

    /// An attempt's effect ran at its box.
    pub fn ran(&mut self, now: Micros, number: AttemptNo) {
        let Attempt { of, app_box, sent, .. } = self.attempts[number];
        let request = self.tries[of].request;
        let (class, zone) = (self.requests[request].class, self.zones[app_box]);
        let rule = &self.classes[class];
        let again = match rule.effect {
            Effect::Safe => return,
            Effect::Unsafe => {
                let again = !self.requests[request].runs.is_empty();
                self.requests[request].runs.push((0, sent));
                again
            }
            Effect::Keyed => {
                // Boxes of one group drop what they remember; other groups, and later ones, run it again.
                let group = if rule.group == KeyGroup::All { 0 } else { zone };
                let span = rule.span;
                let runs = &mut self.requests[request].runs;
                let known = runs.iter().any(|(g, at)| *g == group && sent < *at + span);
                let again = !known && !runs.is_empty();
                if !known {
                    runs.push((group, sent));
                }
                again
            }
        };
        if again {
            let name = self.classes[class].name.clone();
            self.note(Rule::Repeats, now, || format!("{name} {request} ran again at box {app_box}"));
        }
    }

    /// Boxes did this work, of which `useful` was for an answer that its client had, in microseconds.
    pub fn work(&mut self, done: f64, useful: bool) {
        self.work_done += done;
        if useful {
            self.work_used += done;
        }
    }

    /// Sums so far.
    pub fn so_far(&self) -> Sum {
        self.whole
    }

    /// Rules broken so far.
    pub fn broken_so_far(&self) -> u64 {
        self.broken.values().sum()
    }

    // ---- The end ----

    /// All deadlines have passed: what has no answer is lost.
    pub fn finish(mut self, now: Micros) -> Verdict {
        let owed = |t: &Try| !t.finished && !t.node_killed && t.taken.is_some() && t.deadline < now;
        let open: Vec<TryNo> = (0..self.tries.len()).filter(|n| owed(&self.tries[*n])).collect();
        for number in open {
            self.note(Rule::OneAnswer, now, || format!("try {number} never had an answer"));
        }
        let worst = self.windows.iter().enumerate().filter(|(_, w)| w.requests > 0);
        let worst = worst.min_by(|(_, a), (_, b)| a.part().total_cmp(&b.part()));
        let (at, worst_10_s) = worst.map_or((0, 1.0), |(n, w)| (n, w.part()));
        let part = |sums: &[Sum]| sums.iter().map(Sum::part).fold(1.0, f64::min);
        let named = |names: Vec<String>, sums: &[Sum]| {
            names.into_iter().zip(sums.iter().map(Sum::part)).collect::<Vec<_>>()
        };
        let taken = self.tries.iter().filter(|t| t.taken.is_some()).count().max(1) as f64;
        let first = self.requests.len().max(1) as f64;
        Verdict {
            whole: self.whole,
            worth: self.whole.part(),
            worst_10_s,
            worst_10_s_at: (at as u64 * WORST_WINDOW_US) as f64 / SECOND as f64,
            classes: named(self.classes.iter().map(|c| c.name.clone()).collect(), &self.class_sums),
            tenants: named(self.tenants.clone(), &self.tenant_sums),
            worst_class: part(&self.class_sums),
            worst_tenant: part(&self.tenant_sums),
            retries: self.tries.len() as f64 / first - 1.0,
            attempts: self.attempts.len() as f64 / taken,
            waste: if self.work_done > 0.0 { 1.0 - self.work_used / self.work_done } else { 0.0 },
            broken: self.broken,
            breaches: self.breaches,
        }
    }
}

/// A word on which faults a run had, for reports.
pub fn faults_in_words(site: &Site) -> String {
    let mut kinds: Vec<&str> = FaultKind::ALL.iter().map(|k| k.name()).collect();
    kinds.retain(|k| site.faults.iter().any(|f| f.kind.name() == *k));
    if kinds.is_empty() {
        "calm".into()
    } else {
        kinds.join("+")
    }
}
