//! The schedule of faults. Faults may overlap: an effect lasts as long as any fault that causes it, and
//! factors multiply.

use serde::{Deserialize, Serialize};

use super::random::{Purpose, Stream};
use super::spec::{Checks, Site};
use super::time::{micros, seconds, Micros};

/// A kind of fault.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Boxes accept requests and answer none.
    Hang,
    /// Boxes answer a share of the requests with an error at once.
    FastErrors,
    /// Clients send `factor` times as many requests.
    Burst,
    /// Links between one zone and the others carry nothing.
    ZoneCut,
    /// Nodes are killed and restart when the fault ends.
    NodeCrash,
    /// Nodes stop gracefully and restart when the fault ends.
    NodeRestart,
    /// The list moves to another address, and nodes reload their configuration.
    ListMoved,
    /// Boxes drain, stop and restart cold, one after another.
    Release,
    /// A share of all responses is lost.
    LostAnswers,
    /// A share of all connections breaks before the request is written.
    BreakBefore,
    /// A share of all connections breaks after the request is written.
    BreakAfter,
    /// Boxes reject one class.
    TurnAway,
    /// Boxes work at `factor` times their speed; below 1.
    Slow,
    /// The processes of boxes crash and restart cold under the same names when the fault ends.
    BoxCrash,
    /// The machines of boxes are unresponsive: no connection can be established.
    Silent,
    /// The box list answers no call, and watches end.
    ListDown,
    /// The list reports start times of boxes that are `ms` too late.
    ListClock,
    /// A share of the requests arrives with little time left.
    Hurry,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [Self; 18] = [
        Self::Hang,
        Self::FastErrors,
        Self::Burst,
        Self::ZoneCut,
        Self::NodeCrash,
        Self::NodeRestart,
        Self::ListMoved,
        Self::Release,
        Self::LostAnswers,
        Self::BreakBefore,
        Self::BreakAfter,
        Self::TurnAway,
        Self::Slow,
        Self::BoxCrash,
        Self::Silent,
        Self::ListDown,
        Self::ListClock,
        Self::Hurry,
    ];

    /// Name in site files.
    pub fn name(self) -> &'static str {
        match self {
            Self::Hang => "hang",
            Self::FastErrors => "fast_errors",
            Self::Burst => "burst",
            Self::ZoneCut => "zone_cut",
            Self::NodeCrash => "node_crash",
            Self::NodeRestart => "node_restart",
            Self::ListMoved => "list_moved",
            Self::Release => "release",
            Self::LostAnswers => "lost_answers",
            Self::BreakBefore => "break_before",
            Self::BreakAfter => "break_after",
            Self::TurnAway => "turn_away",
            Self::Slow => "slow",
            Self::BoxCrash => "box_crash",
            Self::Silent => "silent",
            Self::ListDown => "list_down",
            Self::ListClock => "list_clock",
            Self::Hurry => "hurry",
        }
    }

    /// Fields that it takes besides its time: boxes, share, factor, class, zone, ms.
    fn takes(self) -> &'static [&'static str] {
        match self {
            Self::Hang | Self::BoxCrash | Self::Silent => &["part", "boxes"],
            Self::FastErrors => &["part", "boxes", "share"],
            Self::Burst => &["factor"],
            Self::ZoneCut => &["zone"],
            Self::NodeCrash | Self::NodeRestart => &["part"],
            Self::Release => &["part", "boxes", "step_ms"],
            Self::LostAnswers | Self::BreakBefore | Self::BreakAfter | Self::Hurry => &["share"],
            Self::TurnAway => &["part", "boxes", "class"],
            Self::Slow => &["part", "boxes", "factor"],
            Self::ListDown | Self::ListMoved => &[],
            Self::ListClock => &["part", "boxes", "ms"],
        }
    }
}

/// One fault of a schedule.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// When it begins.
    pub at_s: f64,
    /// How long it lasts; a release takes as long as its steps.
    #[serde(default)]
    pub for_s: f64,
    /// Share of the boxes or nodes that are affected, at least one; the seed draws which.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<f64>,
    /// Names of the affected boxes, instead of `part`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub boxes: Vec<String>,
    /// Share of the requests, responses or connections that are affected.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// Factor by which the rate or the speed changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub factor: Option<f64>,
    /// Affected class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Affected zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Error of the clock.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ms: Option<f64>,
    /// For a release: time between two boxes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub step_ms: Option<f64>,
}

/// How long a box drains in a release, and how long it is down afterwards.
const RELEASE: (Micros, Micros) = (2_000_000, 1_000_000);

impl Fault {
    /// Creates a fault of a kind with all other fields empty.
    pub fn new(kind: FaultKind, at_s: f64, for_s: f64) -> Self {
        Self {
            kind,
            at_s,
            for_s,
            part: None,
            boxes: Vec::new(),
            share: None,
            factor: None,
            class: None,
            zone: None,
            ms: None,
            step_ms: None,
        }
    }

    pub(super) fn check(&self, at: &str, site: &Site, c: &mut Checks) {
        let field = |name: &str| format!("{at}.{name}");
        let kind = self.kind.name();
        c.amount(field("at_s"), self.at_s, 0.0);
        if self.kind != FaultKind::Release {
            c.above(field("for_s"), self.for_s);
        }
        let given = [
            ("part", self.part.is_some()),
            ("boxes", !self.boxes.is_empty()),
            ("share", self.share.is_some()),
            ("factor", self.factor.is_some()),
            ("class", self.class.is_some()),
            ("zone", self.zone.is_some()),
            ("ms", self.ms.is_some()),
            ("step_ms", self.step_ms.is_some()),
        ];
        let takes = self.kind.takes();
        for (name, there) in given {
            let wanted = takes.contains(&name);
            c.reject_if(there && !wanted, field(name), &format!("{kind} takes none"));
            let either = name == "part" || name == "boxes";
            c.reject_if(!there && wanted && !either, field(name), &format!("{kind} needs one"));
        }
        if takes.contains(&"boxes") {
            let both = self.part.is_some() != self.boxes.is_empty();
            c.reject_if(both, at, &format!("{kind} needs one of part and boxes, and not both"));
        } else if takes.contains(&"part") {
            c.reject_if(self.part.is_none(), field("part"), &format!("{kind} needs one"));
        }
        c.fraction(field("part"), self.part.unwrap_or(0.0));
        c.fraction(field("share"), self.share.unwrap_or(0.0));
        c.above(field("factor"), self.factor.unwrap_or(1.0));
        c.above(field("step_ms"), self.step_ms.unwrap_or(1.0));
        let names = site.box_names();
        for name in &self.boxes {
            c.reject_if(!names.contains(name), field("boxes"), &format!("there is no box {name:?}"));
        }
        if let Some(class) = &self.class {
            let known = site.clients.classes.iter().any(|k| k.name == *class);
            c.reject_if(!known, field("class"), &format!("there is no class {class:?}"));
        }
        if let Some(zone) = &self.zone {
            c.reject_if(!site.zones.contains(zone), field("zone"), &format!("there is no zone {zone:?}"));
        }
    }
}

/// Effect of a fault while it is active.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// A box accepts requests and answers none.
    Hang(usize),
    /// A box answers this share of the requests with errors.
    Errors(usize, f64),
    /// A box rejects a class.
    TurnAway(usize, usize),
    /// The speed of a box is multiplied by this factor.
    Slow(usize, f64),
    /// A box's process is down; it starts cold when this ends.
    Down(usize),
    /// A box's machine is unresponsive.
    Silent(usize),
    /// A box is draining.
    Draining(usize),
    /// A node is down; it starts when this ends.
    NodeDown(usize),
    /// A node finishes its open requests and restarts when this ends.
    NodeEnds(usize),
    /// The list has moved.
    ListMoved,
    /// The request rate is multiplied by this factor.
    Burst(f64),
    /// A zone is cut off from the others.
    ZoneCut(usize),
    /// This share of the responses is lost.
    Lost(f64),
    /// This share of the connections breaks before the request is written.
    BreakBefore(f64),
    /// This share of the connections breaks after the request is written.
    BreakAfter(f64),
    /// The list is down.
    ListDown,
    /// The list reports a start time of a box that is off by this much.
    ListClock(usize, Micros),
    /// This share of the requests arrives with little time left.
    Hurry(f64),
}

/// The begin or end of an effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Toggle {
    /// When it happens.
    pub at: Micros,
    /// Whether the effect begins; otherwise it ends.
    pub on: bool,
    /// The effect.
    pub effect: Effect,
}

/// Returns the whole schedule in order of time; at the same instant ends come before begins. The seed draws
/// the affected boxes and nodes.
pub fn schedule(site: &Site, seed: u64) -> Vec<Toggle> {
    let mut random = Stream::new(seed, Purpose::Faults);
    let names = site.box_names();
    let mut all = Vec::new();
    for fault in &site.faults {
        let of_nodes = matches!(fault.kind, FaultKind::NodeCrash | FaultKind::NodeRestart);
        let bound = if of_nodes { site.nodes.count } else { names.len() };
        let count = ((fault.part.unwrap_or(0.0) * bound as f64).round() as usize).max(1);
        let drawn = random.choose(count, bound);
        let named = |b: &String| names.iter().position(|n| n == b);
        let targets = match fault.part {
            Some(_) => drawn,
            None => fault.boxes.iter().filter_map(named).collect(),
        };
        let (from, to) = (seconds(fault.at_s), seconds(fault.at_s + fault.for_s));
        let mut hold = |from, to, effect| {
            all.push(Toggle { at: from, on: true, effect });
            all.push(Toggle { at: to, on: false, effect });
        };
        let share = fault.share.unwrap_or(0.0);
        let factor = fault.factor.unwrap_or(1.0);
        let class = || site.clients.classes.iter().position(|c| Some(&c.name) == fault.class.as_ref());
        let zone = || site.zones.iter().position(|z| Some(z) == fault.zone.as_ref());
        match fault.kind {
            FaultKind::Hang => targets.iter().for_each(|b| hold(from, to, Effect::Hang(*b))),
            FaultKind::FastErrors => targets.iter().for_each(|b| hold(from, to, Effect::Errors(*b, share))),
            FaultKind::Burst => hold(from, to, Effect::Burst(factor)),
            FaultKind::ZoneCut => hold(from, to, Effect::ZoneCut(zone().unwrap_or(0))),
            FaultKind::NodeRestart => targets.iter().for_each(|n| hold(from, to, Effect::NodeEnds(*n))),
            FaultKind::ListMoved => hold(from, to, Effect::ListMoved),
            FaultKind::NodeCrash => targets.iter().for_each(|n| hold(from, to, Effect::NodeDown(*n))),
            FaultKind::Release => {
                let step = micros(fault.step_ms.unwrap_or(1.0));
                for (n, b) in (0u64..).zip(targets) {
                    let drains = from + n * step;
                    let (ends, back) = (drains + RELEASE.0, drains + RELEASE.0 + RELEASE.1);
                    hold(drains, back, Effect::Draining(b));
                    hold(ends, back, Effect::Down(b));
                }
            }
            FaultKind::LostAnswers => hold(from, to, Effect::Lost(share)),
            FaultKind::BreakBefore => hold(from, to, Effect::BreakBefore(share)),
            FaultKind::BreakAfter => hold(from, to, Effect::BreakAfter(share)),
            FaultKind::TurnAway => {
                let class = class().unwrap_or(0);
                targets.iter().for_each(|b| hold(from, to, Effect::TurnAway(*b, class)));
            }
            FaultKind::Slow => targets.iter().for_each(|b| hold(from, to, Effect::Slow(*b, factor))),
            FaultKind::BoxCrash => targets.iter().for_each(|b| hold(from, to, Effect::Down(*b))),
            FaultKind::Silent => targets.iter().for_each(|b| hold(from, to, Effect::Silent(*b))),
            FaultKind::ListDown => hold(from, to, Effect::ListDown),
            FaultKind::ListClock => {
                let off = micros(fault.ms.unwrap_or(0.0));
                targets.iter().for_each(|b| hold(from, to, Effect::ListClock(*b, off)));
            }
            FaultKind::Hurry => hold(from, to, Effect::Hurry(share)),
        }
    }
    all.sort_by_key(|t| (t.at, t.on));
    all
}

/// The effects that are active now.
#[derive(Clone, Debug, Default)]
pub struct ActiveEffects(Vec<Effect>);

impl ActiveEffects {
    /// Applies a toggle; returns whether the effect really begins or ends, that is, whether no other fault
    /// causes the same effect. Two overlapping faults on the same box count as one that lasts as long as
    /// both.
    pub fn toggle(&mut self, toggle: &Toggle) -> bool {
        if toggle.on {
            let held = self.contains(toggle.effect);
            self.0.push(toggle.effect);
            !held
        } else {
            if let Some(at) = self.0.iter().position(|e| *e == toggle.effect) {
                self.0.remove(at);
            }
            !self.contains(toggle.effect)
        }
    }

    /// Returns whether this effect is active.
    pub fn contains(&self, effect: Effect) -> bool {
        self.0.contains(&effect)
    }

    /// Combined share of the active effects: each applies to the part that the others leave.
    pub fn share(&self, of: impl Fn(&Effect) -> Option<f64>) -> f64 {
        1.0 - self.0.iter().filter_map(of).map(|s| 1.0 - s).product::<f64>()
    }

    /// Product of the factors of the active effects.
    pub fn factor(&self, of: impl Fn(&Effect) -> Option<f64>) -> f64 {
        self.0.iter().filter_map(of).product()
    }

    /// The active faults of one box.
    pub fn of_box(&self, app_box: usize) -> BoxFaults {
        BoxFaults {
            hung: self.contains(Effect::Hang(app_box)),
            errors: self.share(|e| match e {
                Effect::Errors(at, share) if *at == app_box => Some(*share),
                _ => None,
            }),
            slow: self.factor(|e| match e {
                Effect::Slow(at, factor) if *at == app_box => Some(*factor),
                _ => None,
            }),
            rejected_classes: self
                .0
                .iter()
                .filter_map(|e| match e {
                    Effect::TurnAway(at, class) if *at == app_box => Some(*class),
                    _ => None,
                })
                .collect(),
        }
    }

    /// Error of the list's clock for a box.
    pub fn clock_off(&self, app_box: usize) -> Option<Micros> {
        self.0.iter().find_map(|e| match e {
            Effect::ListClock(at, off) if *at == app_box => Some(*off),
            _ => None,
        })
    }

    /// Share of the responses that are lost.
    pub fn lost(&self) -> f64 {
        self.share(|e| if let Effect::Lost(s) = e { Some(*s) } else { None })
    }

    /// Share of the connections that break before the request is written.
    pub fn breaks_before(&self) -> f64 {
        self.share(|e| if let Effect::BreakBefore(s) = e { Some(*s) } else { None })
    }

    /// Share of the connections that break after the request is written.
    pub fn breaks_after(&self) -> f64 {
        self.share(|e| if let Effect::BreakAfter(s) = e { Some(*s) } else { None })
    }

    /// Returns whether the link between these two zones is cut.
    pub fn cuts(&self, from: usize, to: usize) -> bool {
        from != to && (self.contains(Effect::ZoneCut(from)) || self.contains(Effect::ZoneCut(to)))
    }

    /// The active effects.
    pub fn iter(&self) -> impl Iterator<Item = &Effect> {
        self.0.iter()
    }
}

/// The faults that affect one box.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BoxFaults {
    /// Whether it accepts requests and answers none.
    pub hung: bool,
    /// Share of the requests that it answers with errors.
    pub errors: f64,
    /// Factor on its speed.
    pub slow: f64,
    /// Classes that it rejects.
    pub rejected_classes: Vec<usize>,
}

/// Request rate and share of hurried requests at each time of a schedule, for drivers that draw arrivals
/// ahead.
#[derive(Clone, Debug)]
pub struct Rates {
    bursts: Vec<Toggle>,
    hurried_toggles: Vec<Toggle>,
    burst_max: f64,
}

impl Rates {
    /// Takes the rates from a schedule in order of time.
    pub fn of(toggles: &[Toggle]) -> Self {
        let of =
            |f: fn(&Effect) -> bool| toggles.iter().filter(|t| f(&t.effect)).copied().collect::<Vec<_>>();
        let mut rates = Self {
            bursts: of(|e| matches!(e, Effect::Burst(_))),
            hurried_toggles: of(|e| matches!(e, Effect::Hurry(_))),
            burst_max: 1.0,
        };
        rates.burst_max = rates.bursts.iter().map(|t| rates.burst(t.at)).fold(1.0, f64::max);
        rates
    }

    /// The highest value of [`Self::burst`].
    pub fn burst_max(&self) -> f64 {
        self.burst_max
    }

    /// Factor on the request rate.
    pub fn burst(&self, at: Micros) -> f64 {
        product_at(&self.bursts, at, |e| if let Effect::Burst(factor) = e { *factor } else { 1.0 })
    }

    /// Share of the requests that are hurried.
    pub fn hurry(&self, at: Micros) -> f64 {
        1.0 - product_at(&self.hurried_toggles, at, |e| {
            if let Effect::Hurry(share) = e {
                (1.0 - share).max(1e-9)
            } else {
                1.0
            }
        })
    }
}

/// Product of the values active at a time, from toggles in order of time.
fn product_at(toggles: &[Toggle], at: Micros, of: impl Fn(&Effect) -> f64) -> f64 {
    let passed = toggles.iter().take_while(|t| t.at <= at);
    passed.fold(1.0, |product, t| if t.on { product * of(&t.effect) } else { product / of(&t.effect) })
}

#[cfg(test)]
mod tests;
